"""A worker: loads functions from a store on demand, runs calls on a few cores, and reports its load.

A call's work occupies one of the stand-in's simulated cores without using the machine's processor, so that many
workers run on one machine; the answer is really computed from the call's body. What crosses the sockets is recorded
with the mark that the client wrote into the body, so that an audit does not depend on any front end.
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
from threadshift.eviction.node import Evictor, last_copy_holder
from threadshift.eviction.facts import Facts
from threadshift.eviction.policies import digest
from threadshift.interface import MS, SECOND
from threadshift.links.codec import VERSION, Frame, FrameDecoder, ProtocolError, encode
from threadshift.links.sockets import READ_SIZE, connect, read_chunks
from threadshift.standins.common import MAX_FRAME_LENGTH, Peer, Record, Server

MARK = re.compile(rb'"mark":"([^"]{1,64})"')
WORK = re.compile(rb'"work_ms":([0-9.]{1,12})')
MAX_REPORTED_COPIES = 500  # functions in one pong
TICK = 20 * MS             # interval of the checks for idle copies, reports and standstills of this process


def mark_of(body: bytes) -> str:
    """The mark that the client wrote into the body, or an empty string."""
    found = MARK.search(body[:256])
    return found[1].decode(errors="replace") if found else ""


def run(operation: str, body: bytes) -> tuple[bytes, str | None]:
    """The answer of a function, and the name of the function's own error, if any."""
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
    """The resources of a worker and its rules."""

    name: str
    zone: str = ""
    size: float = 1.0
    cores: int = 2
    memory_mb: float = 4096
    max_loads: int = 4           # at a time
    max_calls: int = 64          # calls that wait or run; more are answered with 'full'
    idle_keep_alive: int = 10 * SECOND
    cold_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1e9
    fall_time: int = SECOND
    report_every: int = 200 * MS
    loads_on_miss: bool = True
    cancel_drops: bool = True    # a cancel keeps a waiting call from running


@dataclass(slots=True, eq=False)
class Job:
    """One call that waits or runs here."""

    peer: Peer
    frame: Frame
    received_at: int
    deadline: int
    copy: str = "found"
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class LoadedCopy:
    """One loaded copy of a function."""

    pack: dict[str, Any]
    busy: int = 0                # lanes in use
    idle_since: int = 0
    loaded_at: int = 0
    uses: int = 0


@dataclass(slots=True, eq=False)
class FunctionState:
    """One function on this worker: its copies, its loads under way, and the calls that wait for a lane."""

    copies: list[LoadedCopy] = field(default_factory=list)
    loading: int = 0
    lanes: int = 1
    queue: deque[Job] = field(default_factory=deque)
    changed: Event = field(default_factory=Event)        # set, and replaced by a new one, when a load ends
    failed: str = ""             # why the last load failed


class Worker(Server):
    """A worker process. Orders:

    die                   ends at once
    hang L, slow L X      runs nothing for L, or X times as slow
    stall L, cut L        neither reads nor writes; `cut` affects only front ends of other zones
    late L MS             sends results late
    lie L                 keeps reporting the same load
    break-mid-frame L     breaks the connection within the next answer, once
    break-after-run L     breaks the connection in place of the next answer, once
    drain                 announces that it drains, and accepts no more calls
    flush                 unloads all idle copies
    """

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
        self.recent_work: deque[tuple[int, float]] = deque()    # (time, work ms) of the calls within the fall time
        self.remembered: dict[str, bytes] = {}              # answers by mark, of deduplicated calls
        self.load: dict[str, float] = {}
        self.read_at = 0
        self.evictor = Evictor(machine.name)

    def start(self) -> None:
        super().start()
        self.group.spawn(self.run_periodic_tasks)
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

    # Frames of front ends.

    def handle_frame(self, peer: Peer, frame: Frame) -> None:
        kind = frame["kind"]
        if kind == "hello":
            if peer.name:
                raise ProtocolError("hello was sent a second time")
            if frame["version"] != VERSION:
                raise ProtocolError(f"version {frame['version']} is not supported, only version {VERSION}")
            peer.name, peer.zone = frame["name"] or "?", str(frame.get("zone", ""))
            peer.send("hello", version=VERSION, name=self.machine.name, started=self.started_wall,
                      size=self.machine.size, zone=self.machine.zone, draining=self.draining,
                      policies={name: digest(each) for name, each in self.evictor.policies.items()})
            self.update_eviction(peer, frame)
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
            self.group.spawn(self.order_load, peer, frame)
        elif kind == "unload":
            state = self.state_of(frame["function"])
            for copy in [each for each in state.copies if not each.busy]:
                self.unload(state, copy)
        elif kind == "ask":
            if not self.faults.amount("hang"):
                peer.send("status", id=frame["id"], load=self.load)
        elif kind == "ping":
            self.update_eviction(peer, frame)
            evictor = self.evictor
            peer.send("pong", epoch=evictor.active_policy.epoch, complaint=evictor.complaint,
                      lacks=evictor.policy_mismatch,
                      copies=[name for name, state in self.functions.items() if state.copies][:MAX_REPORTED_COPIES])
        elif kind != "refused":
            raise ProtocolError(f"'{kind}' is not a message to a worker")

    def update_eviction(self, peer: Peer, frame: Frame) -> None:
        """Applies the active eviction policy and the list of copies on other workers."""
        if self.evictor.update_policy(frame.get("eviction")):
            self.record.note("epoch", front=peer.name, epoch=self.evictor.active_policy.epoch,
                             policy=self.evictor.active_policy.policy, lacks=self.evictor.policy_mismatch)
        self.evictor.update_holders(time.monotonic_ns(), frame.get("holders"))

    def invoke(self, peer: Peer, frame: Frame) -> None:
        """Queues a call, or answers 'full' when the worker drains or has too many calls."""
        now = time.monotonic_ns()
        work_ms = (frame.get("work") or 0) / MS
        self.record.note("invoke", front=peer.name, mark=mark_of(frame["body"]), function=frame["function"],
                         type=frame["type"], effect=frame["effect"], work_ms=work_ms)
        self.crash_if_overloaded(now, work_ms)
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

    def crash_if_overloaded(self, now: int, work_ms: float) -> None:
        """Ends the process when it is sent more work within the fall time than a cold worker can take."""
        machine = self.machine
        if not machine.cold_time or now - self.started >= machine.cold_time:
            return
        self.recent_work.append((now, work_ms))
        while self.recent_work[0][0] <= now - machine.fall_time:
            self.recent_work.popleft()
        limit_ms = machine.fall_multiple * self.speed(now) * machine.cores * machine.fall_time / MS
        if sum(each for _, each in self.recent_work) > limit_ms and len(self.recent_work) > 3:
            self.record.note("fell-over", pushed_ms=sum(each for _, each in self.recent_work), bears_ms=limit_ms)
            os._exit(9)

    def speed(self, now: int) -> float:
        """The share of the full speed that a worker of this age has: it grows linearly over the cold time."""
        machine = self.machine
        warm = min(1.0, (now - self.started) / machine.cold_time) if machine.cold_time else 1.0
        return machine.cold_share + (1 - machine.cold_share) * warm

    # Copies.

    def state_of(self, function: str) -> FunctionState:
        return self.functions.setdefault(function, FunctionState())

    def serve(self, function: str, state: FunctionState, newest: Job | None = None) -> None:
        """Runs calls on free lanes. For the newest call, if it waits: starts a load, joins one, or answers 'miss'."""
        while state.queue:
            free = next((copy for copy in state.copies if copy.busy < state.lanes), None)
            if free is None:
                break
            job = state.queue.popleft()
            free.busy += 1
            free.uses += 1
            self.group.spawn(self.run_call, function, state, free, job)
        if newest is None or newest not in state.queue:
            return
        if not self.machine.loads_on_miss:
            if not state.copies and not state.loading:
                state.queue.remove(newest)
                self.done(newest, "miss")
        elif len(state.queue) > state.loading * state.lanes:
            newest.copy = "began"
            self.group.spawn(self.load_copy, function, state)
        else:
            newest.copy = "waited"

    def load_copy(self, function: str, state: FunctionState) -> None:
        """Loads one copy: fetches the pack, makes room for it, and starts it."""
        state.loading += 1
        self.loading += 1
        try:
            with self.load_slots:
                pack = self.fetch(function)
                if isinstance(pack, dict) and not self.make_room(pack["memory_mb"]):
                    pack = "no memory is free"
                if isinstance(pack, dict):
                    self.used_mb += pack["memory_mb"]
                    gevent.sleep(pack["start_ms"] * self.slowness() / 1000)
                    now = time.monotonic_ns()
                    state.copies.append(LoadedCopy(pack, idle_since=now, loaded_at=now))
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
        """The pack, checked against its digest, or the reason why there is none."""
        try:
            sock = connect(self.store, SECOND)
        except OSError as problem:
            return f"store: {problem}"
        try:
            sock.sendall(encode("hello", version=VERSION, name=self.machine.name)
                         + encode("fetch", id=1, function=function))
            sock.settimeout(10)
            frames = FrameDecoder(MAX_FRAME_LENGTH)
            for data in read_chunks(sock, READ_SIZE):
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

    def make_room(self, wanted_mb: float) -> bool:
        """Unloads idle copies in the order of the active policy; returns whether enough memory is free."""
        if self.used_mb + wanted_mb <= self.machine.memory_mb:
            return True
        now = time.monotonic_ns()
        copies = {self.facts(now, name, copy, number): (state, copy) for name, state in self.functions.items()
              for number, copy in enumerate(state.copies)}
        for facts in self.evictor.eviction_order(now, list(copies)):
            if self.used_mb + wanted_mb <= self.machine.memory_mb:
                break
            self.unload(*copies[facts])
            others = sorted(self.evictor.other_holders(now, facts.name))
            self.record.note("evicted", function=facts.name, epoch=self.evictor.active_policy.epoch, others=others,
                             spare=last_copy_holder(facts.name, [self.machine.name, *others]) != self.machine.name)
        return self.used_mb + wanted_mb <= self.machine.memory_mb

    @staticmethod
    def facts(now: int, name: str, copy: LoadedCopy, number: int) -> Facts:
        return Facts(name, int(copy.pack["memory_mb"] * (1 << 20)), int(copy.pack["start_ms"] * MS),
                     0 if copy.busy else now - copy.idle_since, now - copy.loaded_at, copy.uses, busy=copy.busy > 0,
                     number=number)

    def unload(self, state: FunctionState, copy: LoadedCopy) -> None:
        state.copies.remove(copy)
        self.used_mb -= copy.pack["memory_mb"]

    def order_load(self, peer: Peer, frame: Frame) -> None:
        """Loads copies as ordered, and answers once they are loaded or a load has failed."""
        state, wanted = self.state_of(frame["function"]), frame["copies"]
        if self.draining:
            self.answer(peer, "held", id=frame["id"], outcome="full", copies=0)
            return
        for copy in state.copies:
            copy.idle_since = time.monotonic_ns()
        for _ in range(wanted - len(state.copies) - state.loading):
            self.group.spawn(self.load_copy, frame["function"], state)
        gevent.sleep(0)
        while len(state.copies) < wanted and state.loading:
            state.changed.wait()
        outcome = "stands" if len(state.copies) >= wanted else "error"
        self.answer(peer, "held", id=frame["id"], outcome=outcome, copies=len(state.copies))

    # Calls.

    def slowness(self) -> float:
        """The factor by which loads and calls take longer now."""
        return max(1.0, self.faults.amount("slow")) / self.speed(time.monotonic_ns())

    def run_call(self, function: str, state: FunctionState, copy: LoadedCopy, job: Job) -> None:
        """Runs one call on one lane, and answers it."""
        try:
            while hung := self.faults.remaining("hang"):
                gevent.sleep(hung)
            with self.cores:
                if job.cancelled or time.monotonic_ns() >= job.deadline:
                    self.done(job, "full")          # it has not run
                    return
                self.running += 1
                self.record.note("run", front=job.peer.name, mark=mark_of(job.frame["body"]), function=function,
                                 effect=job.frame["effect"])
                try:
                    given = WORK.search(job.frame["body"][:256])
                    work_ms = float(given[1]) if given else (job.frame.get("work") or 0) / MS or copy.pack["work_ms"]
                    gevent.sleep(work_ms * self.slowness() / self.machine.size / 1000)
                finally:
                    self.running -= 1
            while hung := self.faults.remaining("hang"):
                gevent.sleep(hung)
            key = job.frame.get("mark") if job.frame["effect"] == "deduplicated" else None
            body, error = run(copy.pack["operation"], job.frame["body"])
            if key is not None:
                body = self.remembered.setdefault(key, body)
            if late := self.faults.amount("late"):
                gevent.sleep(late / 1000)
            self.done(job, "result", body=body, function_error=error, copy=job.copy,
                      waited=time.monotonic_ns() - job.received_at)
        finally:
            copy.busy -= 1
            copy.idle_since = time.monotonic_ns()
            self.serve(function, state)

    def done(self, job: Job, kind: str, **fields: Any) -> None:
        """Records the end of a call, and answers it."""
        self.jobs.pop((id(job.peer), job.frame["id"]), None)
        self.record.note("turned" if kind in ("full", "miss") else "done", mark=mark_of(job.frame["body"]), kind=kind)
        self.answer(job.peer, kind, id=job.frame["id"], **fields)

    def answer(self, peer: Peer, kind: str, **fields: Any) -> None:
        """Sends an answer with the load report, unless a fault breaks the connection instead."""
        if self.faults.consume("break-after-run"):
            peer.send_bytes(None)
        elif self.faults.consume("break-mid-frame"):
            peer.send_bytes(encode(kind, load=self.load, **fields)[:7])
            peer.send_bytes(None)
        else:
            peer.send(kind, load=self.load, **fields)

    def blocked_for(self, peer: Peer) -> float:
        return max(super().blocked_for(peer), self.faults.remaining("cut") if peer.zone != self.machine.zone else 0)

    def on_disconnected(self, peer: Peer) -> None:
        for job in self.jobs.values():
            if job.peer is peer:
                job.cancelled = True        # a call that runs already is finished all the same
                self.record.note("cut-off", front=peer.name, mark=mark_of(job.frame["body"]))

    # Periodic tasks.

    def run_periodic_tasks(self) -> None:
        """Unloads idle copies, updates the load report, and records a standstill of this process."""
        last_check = last_report = time.monotonic_ns()
        while True:
            gevent.sleep(TICK / SECOND)
            now = time.monotonic_ns()
            if now - last_check > 5 * TICK:
                self.record.note("stood-still", since=last_check)
            last_check = now
            for state in self.functions.values():
                for copy in [each for each in state.copies if not each.busy]:
                    if now - copy.idle_since > self.machine.idle_keep_alive:
                        self.unload(state, copy)
            if now - last_report >= self.machine.report_every and not self.faults.amount("lie"):
                last_report = now
                pinned = sum(copy.pack["memory_mb"] for state in self.functions.values()
                             for copy in state.copies if copy.busy) / self.machine.memory_mb
                self.load = {"waiting": float(sum(len(state.queue) for state in self.functions.values())),
                             "held": float(len(self.jobs)), "busy": self.running / self.machine.cores,
                             "loading": float(self.loading), "pinned": min(1.0, pinned)}
