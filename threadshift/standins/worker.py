"""A worker: loads functions from a store on demand, runs calls on a few cores, and reports its load.

The work of a call is time spent on a core of the stand-in, not of the machine, so that many workers fit on one; what
a call answers is really computed from its body. Everything that crosses its sockets is recorded, with a mark that
the client wrote in the body, so that audits need not believe any front end.
"""
from __future__ import annotations

import hashlib
import json
import os
import re
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from threadshift.conf.values import Address
from threadshift.eviction.node import Evictor, keeper
from threadshift.eviction.policies import Facts, digest
from threadshift.interface import MS, SECOND
from threadshift.links.codec import VERSION, Frame, FrameDecoder, ProtocolError, encode
from threadshift.links.sockets import READ_SIZE, connect
from threadshift.standins.common import LONGEST_FRAME, Peer, Record, Server

MARK = re.compile(rb'"mark":"([^"]{1,64})"')
WORK = re.compile(rb'"work_ms":([0-9.]{1,12})')
MOST_COPIES = 500          # functions told in one answer
TICK = 20 * MS             # how often idle copies, reports and our own stalls are looked at


def mark_of(body: bytes) -> str:
    found = MARK.search(body[:256])
    return found[1].decode(errors="replace") if found else ""


def run(operation: str, body: bytes) -> tuple[bytes, str | None]:
    """What a function answers, and the name of its own error, if any."""
    if operation == "upper":
        return body.upper(), None
    if operation == "reverse":
        return body[::-1], None
    if operation == "count":
        return str(len(body.split())).encode(), None
    if operation == "sum":
        try:
            return f"{sum(map(float, body.split())):g}".encode(), None
        except ValueError:
            return b"words that are no numbers", "NotNumbers"
    if operation == "digest":
        return hashlib.sha256(body).hexdigest().encode(), None
    return body, None


@dataclass(slots=True)
class Machine:
    """What a worker is made of and promises."""

    name: str
    zone: str = ""
    size: float = 1.0
    cores: int = 2
    memory_mb: float = 4096
    max_loads: int = 4               # at a time
    max_calls: int = 64               # calls held; past it, full
    idle_keep_alive: int = 10 * SECOND      # an idle copy stays so long
    cold_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1e9
    fall_time: int = SECOND
    report_every: int = 200 * MS
    loads_on_miss: bool = True
    cancel_drops: bool = True    # a cancel takes waiting work out of the queue


@dataclass(slots=True, eq=False)
class Job:
    """One call held here."""

    peer: Peer
    frame: Frame
    came: int
    ends: int
    copy: str = "found"
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class LoadedCopy:
    """One copy of a function."""

    pack: dict[str, Any]
    busy: int = 0
    idle_since: int = 0
    since: int = 0
    uses: int = 0


@dataclass(slots=True, eq=False)
class FunctionState:
    """A function here: its copies, loads under way and calls that wait for a lane."""

    copies: list[LoadedCopy] = field(default_factory=list)
    loading: int = 0
    lanes: int = 1
    queue: deque[Job] = field(default_factory=deque)
    changed: Event = field(default_factory=Event)        # set and renewed when a load ended
    failed: str = ""


class Worker(Server):
    """Orders: die, hang L, slow L X, stall L, cut L (stalls for front ends of other zones), late L MS, lie L,
    break-mid-frame L, break-after-run L, drain, flush."""

    def __init__(self, address: Address, machine: Machine, store: Address, record: Record):
        super().__init__(address)
        self.machine, self.store, self.record = machine, store, record
        self.started, self.started_wall = time.monotonic_ns(), time.time_ns()
        self.functions: dict[str, FunctionState] = {}
        self.cores = BoundedSemaphore(machine.cores)
        self.load_slots = BoundedSemaphore(machine.max_loads)
        self.jobs: dict[tuple[int, int], Job] = {}
        self.loading = self.running = 0
        self.used_mb = 0.0
        self.draining = self.down = False
        self.pushed: deque[tuple[int, float]] = deque()     # (when, work ms) received, within the fall time
        self.remembered: dict[str, bytes] = {}              # answers by mark, of deduplicated calls
        self.load: dict[str, float] = {}
        self.read_at = 0
        self.evictor = Evictor(machine.name)

    def start(self) -> None:
        super().start()
        self.group.spawn(self.tend)
        self.record.note("up", started=self.started_wall, cores=self.machine.cores, size=self.machine.size,
                         zone=self.machine.zone)

    def execute_order(self, words: list[str]) -> None:
        self.record.note("order", words=words)
        if words[0] == "die":
            os._exit(9)
        elif words[0] == "drain":
            self.draining = True
            for peer in self.peers:
                peer.send("draining")
        elif words[0] == "flush":
            for state in self.functions.values():
                for copy in [each for each in state.copies if not each.busy]:
                    self.unload(state, copy)
        else:
            self.faults.order(*words)

    # What comes in.

    def hear(self, peer: Peer, frame: Frame) -> None:
        kind = frame["kind"]
        if kind == "hello":
            if peer.name:
                raise ProtocolError("a second hello")
            if frame["version"] != VERSION:
                raise ProtocolError(f"version {frame['version']} is not spoken here, version {VERSION} is")
            peer.name, peer.zone = frame["name"] or "?", str(frame.get("zone", ""))
            peer.send("hello", version=VERSION, name=self.machine.name, started=self.started_wall,
                      size=self.machine.size, zone=self.machine.zone, draining=self.draining,
                      policies={name: digest(each) for name, each in self.evictor.policies.items()})
            self.told_of_eviction(peer, frame)
        elif not peer.name:
            raise ProtocolError(f"'{kind}' came before hello")
        elif kind == "invoke":
            self.invoke(peer, frame)
        elif kind == "cancel":
            job = self.jobs.get((id(peer), frame["id"]))
            if job is not None:
                self.record.note("cancel", front=peer.name, mark=mark_of(job.frame["body"]))
                job.cancelled = self.machine.cancel_drops
        elif kind == "hold":
            self.record.note("hold", front=peer.name, function=frame["function"])
            self.group.spawn(self.hold, peer, frame)
        elif kind == "unload":
            state = self.state_of(frame["function"])
            for copy in [each for each in state.copies if not each.busy]:
                self.unload(state, copy)
        elif kind == "ask":
            if not self.faults.amount("hang"):
                peer.send("status", id=frame["id"], load=self.load)
        elif kind == "ping":
            self.told_of_eviction(peer, frame)
            it = self.evictor
            peer.send("pong", epoch=it.force.epoch, complaint=it.complaint, lacks=it.lacks,
                      copies=[name for name, state in self.functions.items() if state.copies][:MOST_COPIES])
        elif kind != "refused":
            raise ProtocolError(f"'{kind}' is not for a worker to hear")

    def told_of_eviction(self, peer: Peer, frame: Frame) -> None:
        """Which policy is in force, and which other workers hold what."""
        if self.evictor.hear(frame.get("eviction")):
            self.record.note("epoch", front=peer.name, epoch=self.evictor.force.epoch,
                             policy=self.evictor.force.policy, lacks=self.evictor.lacks)
        self.evictor.hear_copies(time.monotonic_ns(), frame.get("holders"))

    def invoke(self, peer: Peer, frame: Frame) -> None:
        now = time.monotonic_ns()
        work = (frame.get("work") or 0) / MS
        self.record.note("invoke", front=peer.name, mark=mark_of(frame["body"]), function=frame["function"],
                         type=frame["type"], effect=frame["effect"], work_ms=work)
        self.push(now, work)
        if len(self.jobs) >= self.machine.max_calls or self.draining:
            self.record.note("turned", mark=mark_of(frame["body"]), kind="full")
            self.answer(peer, "full", id=frame["id"])
            return
        job = Job(peer, frame, now, now + frame["left"])
        self.jobs[id(peer), frame["id"]] = job
        state = self.state_of(frame["function"])
        state.lanes = max(1, int(frame.get("lanes", 1)))
        state.queue.append(job)
        self.serve(frame["function"], state, job)

    def push(self, now: int, work: float) -> None:
        """Falls over, and stays down, when sent too much while cold."""
        it = self.machine
        if not it.cold_time or now - self.started >= it.cold_time:
            return
        self.pushed.append((now, work))
        while self.pushed[0][0] <= now - it.fall_time:
            self.pushed.popleft()
        bears = it.fall_multiple * self.able(now) * it.cores * it.fall_time / MS
        if sum(each for _, each in self.pushed) > bears and len(self.pushed) > 3:
            self.record.note("fell-over", pushed_ms=sum(each for _, each in self.pushed), bears_ms=bears)
            os._exit(9)

    def able(self, now: int) -> float:
        it = self.machine
        warm = min(1.0, (now - self.started) / it.cold_time) if it.cold_time else 1.0
        return it.cold_share + (1 - it.cold_share) * warm

    # Copies.

    def state_of(self, function: str) -> FunctionState:
        return self.functions.setdefault(function, FunctionState())

    def serve(self, function: str, state: FunctionState, newest: Job | None = None) -> None:
        """Begins what can begin; starts a load where calls wait and none is under way."""
        while state.queue:
            free = next((copy for copy in state.copies if copy.busy < state.lanes), None)
            if free is None:
                break
            job = state.queue.popleft()
            free.busy += 1
            free.uses += 1
            self.group.spawn(self.work, function, state, free, job)
        if newest is None or newest not in state.queue:
            return
        if not self.machine.loads_on_miss:
            if not state.copies and not state.loading:
                state.queue.remove(newest)
                self.done(newest, "miss")
        elif len(state.queue) > state.loading * state.lanes:
            newest.copy = "began"
            self.group.spawn(self.bring, function, state)
        else:
            newest.copy = "waited"

    def bring(self, function: str, state: FunctionState) -> None:
        """One load, from the fetch to the copy that stands."""
        state.loading += 1
        self.loading += 1
        try:
            with self.load_slots:
                pack = self.fetch(function)
                if isinstance(pack, dict) and not self.room(pack["memory_mb"]):
                    pack = "no memory is free"
                if isinstance(pack, dict):
                    self.used_mb += pack["memory_mb"]
                    gevent.sleep(pack["start_ms"] * self.slowness() / 1000)
                    now = time.monotonic_ns()
                    state.copies.append(LoadedCopy(pack, idle_since=now, since=now))
        finally:
            state.loading -= 1
            self.loading -= 1
        state.failed = pack if isinstance(pack, str) else ""
        self.record.note("load", function=function, failed=state.failed)
        if state.failed and not state.copies and not state.loading:
            while state.queue:
                self.done(state.queue.popleft(), "miss", load_failed=True)
        changed, state.changed = state.changed, Event()
        changed.set()
        self.serve(function, state)

    def fetch(self, function: str) -> dict[str, Any] | str:
        """The pack, checked against its digest, or why there is none. A pack that fails is never run."""
        try:
            sock = connect(self.store, SECOND)
        except OSError as problem:
            return f"store: {problem}"
        try:
            sock.sendall(encode("hello", version=VERSION, name=self.machine.name)
                         + encode("fetch", id=1, function=function))
            sock.settimeout(10)
            frames = FrameDecoder(LONGEST_FRAME)
            while data := sock.recv(READ_SIZE):
                for frame in frames.feed(data):
                    if frame["kind"] != "pack":
                        return f"store: {frame.get('reason', frame['kind'])}"
                    if hashlib.sha256(frame["body"]).hexdigest() != frame["digest"]:
                        return "the pack does not match its digest"
                    return json.loads(frame["body"])
            return "store: closed"
        except (OSError, ProtocolError) as problem:
            return f"store: {problem}"
        finally:
            sock.close()

    def room(self, wanted_mb: float) -> bool:
        """Makes room by unloading idle copies, in the order of the policy in force."""
        if self.used_mb + wanted_mb <= self.machine.memory_mb:
            return True
        now = time.monotonic_ns()
        of = {self.facts(now, name, copy, number): (state, copy) for name, state in self.functions.items()
              for number, copy in enumerate(state.copies)}
        for facts in self.evictor.order(now, list(of)):
            if self.used_mb + wanted_mb <= self.machine.memory_mb:
                break
            self.unload(*of[facts])
            others = sorted(self.evictor.elsewhere(now, facts.name))
            self.record.note("evicted", function=facts.name, epoch=self.evictor.force.epoch, others=others,
                             spare=keeper(facts.name, [self.machine.name, *others]) != self.machine.name)
        return self.used_mb + wanted_mb <= self.machine.memory_mb

    @staticmethod
    def facts(now: int, name: str, copy: LoadedCopy, number: int) -> Facts:
        return Facts(name, int(copy.pack["memory_mb"] * (1 << 20)), int(copy.pack["start_ms"] * MS),
                     0 if copy.busy else now - copy.idle_since, now - copy.since, copy.uses, busy=copy.busy > 0,
                     number=number)

    def unload(self, state: FunctionState, copy: LoadedCopy) -> None:
        state.copies.remove(copy)
        self.used_mb -= copy.pack["memory_mb"]

    def hold(self, peer: Peer, frame: Frame) -> None:
        """Answers once the copies stand, or it is plain that they will not."""
        state, wanted = self.state_of(frame["function"]), frame["copies"]
        if self.draining:
            self.answer(peer, "held", id=frame["id"], outcome="full", copies=0)
            return
        for copy in state.copies:
            copy.idle_since = time.monotonic_ns()
        for _ in range(wanted - len(state.copies) - state.loading):
            self.group.spawn(self.bring, frame["function"], state)
        gevent.sleep(0)
        while len(state.copies) < wanted and state.loading:
            state.changed.wait()
        outcome = "stands" if len(state.copies) >= wanted else "error"
        self.answer(peer, "held", id=frame["id"], outcome=outcome, copies=len(state.copies))

    # Running.

    def slowness(self) -> float:
        return max(1.0, self.faults.amount("slow")) / self.able(time.monotonic_ns())

    def work(self, function: str, state: FunctionState, copy: LoadedCopy, job: Job) -> None:
        """One call on one lane."""
        try:
            while hung := self.faults.left("hang"):
                gevent.sleep(hung)
            with self.cores:
                if job.cancelled or time.monotonic_ns() >= job.ends:
                    self.done(job, "full")          # never begun
                    return
                self.running += 1
                self.record.note("run", front=job.peer.name, mark=mark_of(job.frame["body"]), function=function,
                                 effect=job.frame["effect"])
                try:
                    real = WORK.search(job.frame["body"][:256])
                    work_ms = float(real[1]) if real else (job.frame.get("work") or 0) / MS or copy.pack["work_ms"]
                    gevent.sleep(work_ms * self.slowness() / self.machine.size / 1000)
                finally:
                    self.running -= 1
            while hung := self.faults.left("hang"):
                gevent.sleep(hung)
            key = job.frame.get("mark") if job.frame["effect"] == "deduplicated" else None
            body, error = run(copy.pack["operation"], job.frame["body"])
            if key is not None:
                body = self.remembered.setdefault(key, body)
            if late := self.faults.amount("late"):
                gevent.sleep(late / 1000)
            self.done(job, "result", body=body, function_error=error, copy=job.copy,
                      waited=time.monotonic_ns() - job.came)
        finally:
            copy.busy -= 1
            copy.idle_since = time.monotonic_ns()
            self.serve(function, state)

    def done(self, job: Job, kind: str, **fields: Any) -> None:
        self.jobs.pop((id(job.peer), job.frame["id"]), None)
        self.record.note("turned" if kind in ("full", "miss") else "done", mark=mark_of(job.frame["body"]), kind=kind)
        self.answer(job.peer, kind, id=job.frame["id"], **fields)

    def answer(self, peer: Peer, kind: str, **fields: Any) -> None:
        if self.faults.once("break-after-run"):
            peer.raw(None)
        elif self.faults.once("break-mid-frame"):
            peer.raw(encode(kind, load=self.load, **fields)[:7])
            peer.raw(None)
        else:
            peer.send(kind, load=self.load, **fields)

    def cut_off(self, peer: Peer) -> float:
        return max(super().cut_off(peer), self.faults.left("cut") if peer.zone != self.machine.zone else 0)

    def gone(self, peer: Peer) -> None:
        for job in self.jobs.values():
            if job.peer is peer:
                job.cancelled = True        # nobody waits for it; what has begun runs on
                self.record.note("cut-off", front=peer.name, mark=mark_of(job.frame["body"]))

    # Beside.

    def tend(self) -> None:
        """Idle copies go, reports are made anew, and a standstill of this process is recorded."""
        before = reported = time.monotonic_ns()
        while True:
            gevent.sleep(TICK / SECOND)
            now = time.monotonic_ns()
            if now - before > 5 * TICK:
                self.record.note("stood-still", since=before)
            before = now
            for state in self.functions.values():
                for copy in [each for each in state.copies if not each.busy]:
                    if now - copy.idle_since > self.machine.idle_keep_alive:
                        self.unload(state, copy)
            if now - reported >= self.machine.report_every and not self.faults.amount("lie"):
                reported = now
                pinned = sum(copy.pack["memory_mb"] for state in self.functions.values()
                             for copy in state.copies if copy.busy) / self.machine.memory_mb
                self.load = {"waiting": float(sum(len(state.queue) for state in self.functions.values())),
                             "held": float(len(self.jobs)), "busy": self.running / self.machine.cores,
                             "loading": float(self.loading), "pinned": min(1.0, pinned)}
