"""A soak of real front end processes under drawn faults, with the rules checked from outside.

    python -m tests.soak FIRST_SEED COUNT [--at-once N]

Each seed draws a deployment (deadlines, drain grace, limits, 1 to 5 front ends, 3 to 1,600 workers) and some seconds
of trouble: releases of workers, a coordinator that breaks off, workers that hang, reset, turn away; front ends that
are stopped for a moment, told of new configurations in a row, told to end and killed at the earliest moment that the
protocol allows, or killed at once; on some seeds a crowd of silent and of withdrawing clients. Clients go on sending
on their open connections until the kill. A line a seed is printed; the exit code is 1 where a rule is broken.

Not checked here: the budget of workers in slow start (tests/test_ramp.py).
"""
from __future__ import annotations

import argparse
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
from gevent import socket, subprocess
from gevent.pool import Group

from tests.live import Server, free_port
from tests.platform import SETTINGS, Coordinator, configuration, event, instance, request
from tests.processes import ROOT
from threadshift.fastcgi import codec
from threadshift.fastcgi.codec import ABORT, END, STDOUT, record
from threadshift.frames.codec import (
    CANCEL, FROM_FRONT_END, FROM_WORKER, FULL, HEALTHY, INVOKE, LOAD, MISS, OK, PROBE, FrameDecoder, encode)
from threadshift.interface import MS, SECOND

LATE = SECOND // 2             # past its time, until a request without an answer is lost
SLACK = 50 * MS                # that the protocol gives to each time limit
GONE = 100 * MS                # after a client has left, within which an attempt may still begin
LEFT_SLACK = 150 * MS          # on the time that is passed on to a worker
CROSSING = 50 * MS             # within which a request may cross the close of its connection
SERVING = 700 * MS             # after SIGTERM, in which requests are served; killed a longest deadline later
LONGEST = 3 * SECOND           # of deadlines, that counts for the kill
TOLD_AFTER_BREAK = 2 * SECOND
READY = 10.0                   # s
TURNED_AWAY = ("429", "503")
NEVER_RAN = (MISS, FULL)


@dataclass
class Plan:
    """What one seed draws."""

    seed: int
    chance: random.Random = field(init=False)

    def __post_init__(self) -> None:
        draw = self.chance = random.Random(self.seed)
        self.front_ends = draw.choice((1, 2, 3, 3, 5))
        self.workers = draw.choice((3, 8, 12, 40, 120, 400, 1_600))
        self.deadline_ms = draw.choice((250, 400, 700, 1_280, 2_500))
        self.grace_ms = draw.choice((0, 100, 300, 1_000, 2_000))
        self.sockets = draw.choice((256, 512))
        self.per_second = draw.choice((15, 30, 50))
        self.seconds = 7.0
        self.crowd = draw.random() < 0.4
        self.cancels = draw.random() < 0.7
        self.attempts = draw.choice((2, 3, 4))
        self.bad = draw.random() < 0.6       # some workers hang, reset and turn away

    def settings(self) -> dict:
        settings = json.loads(json.dumps(SETTINGS))
        settings["peersTotal"] = self.front_ends
        settings["lanes"] = [
            dict(name=name, aim=self.deadline_ms * 0.4, giveUp=float(self.deadline_ms), effect=effect, worth=1.0,
                 lateValue=0.3) for name, effect in (("check", "safe"), ("submit", "unsafe"))]
        settings["limits"] |= {"maxAttempts": self.attempts, "cancel": self.cancels, "connIdle": 4_000.0}
        settings["rules"]["drainGrace"] = float(self.grace_ms)
        return settings


@dataclass(eq=False)
class Asked:
    """One request of a usual client."""

    id: str
    front_end: str
    type: str
    at: int                    # when its last byte was written
    deadline: int
    status: str = ""
    answered: int = 0
    left: int = 0              # when its client left, 0: it stayed
    excused: bool = False      # its process was killed without a word


@dataclass(eq=False)
class Attempt:
    """One send as a worker saw it."""

    id: str
    worker: str
    at: int
    wait_ms: int
    ended: int = 0             # answered, given up, or its connection ended
    code: int = 0              # of the answer


class Lag:
    """How late this process's own timers come: what is measured here can be off by as much."""

    PERIOD = 0.005

    def __init__(self) -> None:
        self.late: list[tuple[int, int]] = []
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            before = time.monotonic_ns()
            gevent.sleep(self.PERIOD)
            late = time.monotonic_ns() - before - int(self.PERIOD * SECOND)
            if late > 5 * MS:
                self.late.append((before, late))

    def around(self, at: int) -> int:
        return max((late for since, late in self.late if since - SECOND < at < since + late + SECOND), default=0)


class SoakWorker(Server):
    """A worker that answers after a while, unless it is told to misbehave."""

    def __init__(self, soak: Soak, name: str):
        self.soak, self.name, self.hangs, self.bad = soak, name, False, False
        self.drained = 0           # when it was told to drain
        super().__init__()

    def converse(self, sock: socket.socket) -> None:
        cut, open_ = FrameDecoder(1 << 20, FROM_FRONT_END), {}
        try:
            while data := sock.recv(65536):
                for it in cut.feed(data):
                    self.hear(sock, it, open_)
        finally:
            for attempt in open_.values():
                attempt.ended = attempt.ended or time.monotonic_ns()

    def hear(self, sock: socket.socket, it, open_: dict) -> None:
        now, draw = time.monotonic_ns(), self.soak.plan.chance
        if it.code in (INVOKE, LOAD):
            self.soak.reached(self, it.code, now)
        if it.code == INVOKE:
            attempt = Attempt(it.id.hex(), self.name, now, int(it.fields["wait"]))
            open_[it.id] = attempt
            self.soak.attempts[attempt.id].append(attempt)
            if self.hangs:
                return
            if self.bad and draw.random() < 0.1:
                sock.shutdown(socket.SHUT_RDWR)
                return
            code = draw.choice((MISS, FULL)) if self.bad and draw.random() < 0.2 else OK
            self.soak.greenlets.spawn(self.reply, sock, it, attempt, code, draw.expovariate(1 / 0.015))
        elif it.code == CANCEL and it.id in open_:
            open_.pop(it.id).ended = now
        elif it.code == LOAD:
            sock.sendall(encode(OK, it.id, "n=1", sender=FROM_WORKER))
        elif it.code == PROBE and not self.hangs:
            sock.sendall(encode(HEALTHY, it.id, sender=FROM_WORKER))

    @staticmethod
    def reply(sock: socket.socket, it, attempt: Attempt, code: int, after: float) -> None:
        gevent.sleep(after)
        if not attempt.ended:
            attempt.ended, attempt.code = time.monotonic_ns(), code
            with suppress(OSError):
                sock.sendall(encode(code, it.id, "how=reused", b"did" if code == OK else b"", FROM_WORKER))


class Connection:
    """One connection of the users' web servers to one front end process."""

    def __init__(self, soak: Soak, front_end: FrontEnd):
        self.soak, self.process = soak, front_end.process
        self.sock = socket.create_connection(tuple(front_end.address), 2)
        self.sock.settimeout(None)
        self.open: dict[int, Asked] = {}
        self.numbers, self.over = iter(range(1, 65_000)), False
        self.since = time.monotonic_ns()
        soak.greenlets.spawn(self.read)

    def ask(self, it: Asked) -> int:
        number = next(self.numbers)
        self.open[number] = it
        self.sock.sendall(request(number, it.id, b"x", it.type, str(self.soak.plan.deadline_ms),
                                  f"{self.soak.plan.chance.randrange(40):016x}"))
        it.at = time.monotonic_ns()
        it.deadline = it.at + self.soak.plan.deadline_ms * MS
        return number

    def leave(self, number: int) -> None:
        it = self.open.get(number)
        if it is not None:
            it.left = time.monotonic_ns()
            self.sock.sendall(record(ABORT, number))

    def read(self) -> None:
        records, status = codec.Records(), {}
        with suppress(OSError):
            while data := self.sock.recv(65536):
                for kind, number, content in records.feed(data):
                    if kind == STDOUT and content:
                        status.setdefault(number, content[8:11].decode())
                    elif kind == END:
                        self.answered(number, status.pop(number, ""))
        self.over = True
        self.ended(time.monotonic_ns())

    def answered(self, number: int, status: str) -> None:
        it = self.open.pop(number, None)
        if it is None:
            self.soak.broke("lost", f"a second answer, or one under an unknown number {number}")
        elif not it.left:
            it.status, it.answered = status or "?", time.monotonic_ns()

    def ended(self, now: int) -> None:
        self.sock.close()
        for it in self.open.values():
            if it.answered or it.left:
                continue
            if self.process in self.soak.killed_at_once:
                it.excused = True
            elif now - it.at <= CROSSING + self.soak.lag.around(now):
                it.excused = True       # crossed the close; sent again elsewhere
            else:
                self.soak.broke("lost", f"{it.id}: connection ended {(now - it.at) / MS:.0f} ms after it, no answer")
                it.excused = True


class FrontEnd:
    """One front end: its process now, and the clients that use it."""

    def __init__(self, soak: Soak, name: str, folder: str):
        self.soak, self.name = soak, name
        self.address = ("127.0.0.1", free_port())
        self.path = os.path.join(folder, f"{name}.json")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")      # noqa: SIM115  closed with the folder
        self.process: subprocess.Popen | None = None
        self.ending = 0            # since SIGTERM
        self.serving = False
        self.connections: list[Connection] = []

    def write(self) -> None:
        plan = self.soak.plan
        content = json.dumps(configuration(
            name=self.name, listen=f"127.0.0.1:{self.address[1]}", coordinator=str(self.soak.coordinator.address),
            known=self.soak.known(), settings=plan.settings(),
            limits={"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}))
        with open(self.path + ".new", "w") as file:
            file.write(content)
        os.replace(self.path + ".new", self.path)

    def start(self) -> None:
        self.write()
        self.ending = 0
        self.process = subprocess.Popen(
            [sys.executable, "-m", "threadshift.node"], cwd=ROOT, stderr=self.log,
            env=os.environ | {"NODE_CONFIG": self.path})
        self.soak.greenlets.spawn(self.watch, self.process)
        with gevent.Timeout(READY, False):
            while not self.alive():
                gevent.sleep(0.02)
            self.serving = True
            return
        self.soak.broke("ready", f"{self.name} is not ready after {READY} s")

    def watch(self, process: subprocess.Popen) -> None:
        code = process.wait()
        if process not in self.soak.expected_ends or code not in (0, -signal.SIGKILL):
            self.soak.broke("crash", f"{self.name} ended with {code}")

    def alive(self) -> bool:
        with suppress(OSError), gevent.Timeout(1, False):
            sock = socket.create_connection(self.address, 1)
            try:
                sock.sendall(codec.record(codec.BEGIN, 1, codec.BEGUN.pack(codec.RESPONDER, 0)) + codec.stream(
                    codec.PARAMS, 1, codec.pair(b"SCRIPT_NAME", b"/alive")) + codec.stream(codec.STDIN, 1, b""))
                return b"Status: 200" in sock.recv(4096)
            finally:
                sock.close()
        return False

    def signal(self, number: int) -> None:
        self.soak.trouble(self, signal.Signals(number).name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def connection(self) -> Connection | None:
        """An open connection, or a new one where the page lets clients open one."""
        self.connections = [each for each in self.connections if not each.over]
        free = [each for each in self.connections if each.process is self.process and len(each.open) < 30]
        since_term = time.monotonic_ns() - self.ending if self.ending else 0
        if free and (len(free) > 3 or since_term > SERVING - 300 * MS or self.soak.plan.chance.random() < 0.8):
            return self.soak.plan.chance.choice(free)
        if since_term > SERVING - 300 * MS or not self.serving:
            return None
        try:
            self.connections.append(Connection(self.soak, self))
        except OSError:
            return None
        return self.connections[-1]

    def ask_on_and_on(self) -> None:
        """The usual clients: requests at a pace, some withdrawn."""
        draw = self.soak.plan.chance
        while True:
            gevent.sleep(draw.expovariate(self.soak.plan.per_second))
            connection = self.connection() if self.serving else None
            if connection is None:
                continue
            it = Asked(f"{draw.getrandbits(64):016x}", self.name, draw.choice(("check", "check", "submit")), 0, 0)
            try:
                number = connection.ask(it)
            except OSError:
                connection.open = {key: each for key, each in connection.open.items() if each is not it}
                continue                # the connection had ended: it was not taken
            self.soak.asked.append(it)
            if draw.random() < 0.05:
                self.soak.greenlets.spawn(self.leave_later, connection, number, draw.random() * 0.1)

    @staticmethod
    def leave_later(connection: Connection, number: int, after: float) -> None:
        gevent.sleep(after)
        with suppress(OSError):
            connection.leave(number)


class Soak:
    """One seed: everything it starts is ended by close()."""

    def __init__(self, seed: int, folder: str):
        self.plan = Plan(seed)
        self.lag, self.greenlets = Lag(), Group()
        self.asked: list[Asked] = []
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.holds: list[int] = []
        self.troubled: list[tuple[int, str, str]] = []
        self.broken: list[tuple[str, str]] = []
        self.killed_at_once: set = set()
        self.expected_ends: set = set()
        self.told: dict[str, int] = {}         # worker: when its drain counts as told
        self.names = iter(range(1 << 30))
        self.workers: dict[str, SoakWorker] = {}
        self.index = 0
        self.coordinator = Coordinator()
        self.broke_off = -TOLD_AFTER_BREAK
        for _ in range(self.plan.workers):
            self.new_worker()
        self.history = [self.event(*(self.entry(each) for each in self.workers.values()), full=True)]
        self.coordinator.events = list(self.history)
        self.front_ends = [FrontEnd(self, f"n{n}", folder) for n in range(self.plan.front_ends)]

    def broke(self, rule: str, what: str, front_end: str = "", at: int = 0) -> None:
        """A rule is broken; with the troubles of that front end shortly before."""
        near = [f"{what_} {(at - when) / MS:.0f} ms before" for when, name, what_ in self.troubled
                if name == front_end and at - SECOND < when <= at] if at else []
        self.broken.append((rule, f"{what}; {', '.join(near)}" if near else what))

    def trouble(self, front_end: FrontEnd, what: str) -> None:
        self.troubled.append((time.monotonic_ns(), front_end.name, what))

    # Workers and what is told of them.

    def new_worker(self) -> SoakWorker:
        it = SoakWorker(self, f"s-{next(self.names):08x}")
        self.workers[it.name] = it
        return it

    def entry(self, it: SoakWorker, state: str = "Ready", started: int = 0) -> dict:
        return instance(it.name, it.address, state, startedAtMs=started)

    def event(self, *entries: dict, full: bool = False) -> dict:
        self.index += 1
        return event(self.index, *entries, full=full)

    def known(self) -> dict:
        return {"index": self.index, "updates": list(self.history)}

    def tell(self, it: dict) -> None:
        self.history.append(it)
        self.coordinator.publish(it)

    def told_by_now(self) -> int:
        """When a change made now counts as told: at once, but for a while after the coordinator broke off."""
        return max(time.monotonic_ns(), self.broke_off + TOLD_AFTER_BREAK)

    def reached(self, worker: SoakWorker, code: int, now: int) -> None:
        """A request or a load order has come to a worker."""
        if code == LOAD:
            self.holds.append(now)
        told = self.told.get(worker.name)
        if told is not None:
            late = now - told - self.plan.grace_ms * MS
            if late > SLACK + self.lag.around(now):
                what = "order" if code == LOAD else "request"
                self.broke("drain", f"{what} at {worker.name} {late / MS:.0f} ms late")

    # Troubles.

    def release(self) -> None:
        """Replaces a part of the workers, in one or two steps."""
        draw = self.plan.chance
        while True:
            gevent.sleep(0.5 + draw.random() * 1.5)
            count = max(1, int(len(self.workers) * draw.choice((0.05, 0.2, 0.4))))
            staying = [each for each in self.workers.values() if not each.drained]
            going = draw.sample(staying, min(count, max(0, len(staying) - 1)))
            started = int(time.time() * 1_000)
            fresh = [self.new_worker() for _ in going]
            for each in going:
                each.drained = time.monotonic_ns()
                self.told[each.name] = self.told_by_now()
            self.tell(self.event(*(self.entry(each, "Terminating") for each in going),
                                 *(self.entry(each, started=started) for each in fresh)))
            if draw.random() < 0.5:
                gevent.sleep(self.plan.grace_ms / 1_000 + 0.2)
                self.tell(self.event(*(self.entry(each, "Gone") for each in going)))

    def break_coordinator(self) -> None:
        draw = self.plan.chance
        while True:
            gevent.sleep(1 + draw.random() * 3)
            address, self.broke_off = self.coordinator.address, time.monotonic_ns()
            self.coordinator.stop()
            gevent.sleep(draw.choice((0.05, 0.5, 1.5)))
            events = list(self.history)
            self.coordinator = Coordinator(events, address)

    def misbehave(self) -> None:
        draw = self.plan.chance
        for each in draw.sample(list(self.workers.values()), max(1, len(self.workers) // 8)):
            each.bad = True
        while True:
            gevent.sleep(1 + draw.random())
            several = draw.sample(list(self.workers.values()), max(1, len(self.workers) // 10))
            for each in several:
                each.hangs = True
            gevent.sleep(0.5 + draw.random() * 2)
            for each in several:
                each.hangs = False

    def crowd(self) -> None:
        """Clients that connect and say nothing, and some that withdraw hundreds of requests at once."""
        draw = self.plan.chance
        while True:
            gevent.sleep(0.5 + draw.random())
            front_end = draw.choice(self.front_ends)
            socks = []
            with suppress(OSError), gevent.Timeout(1, False):
                for _ in range(150):
                    socks.append(socket.create_connection(front_end.address, 0.2))
                for number in range(1, 31):
                    socks[0].sendall(request(number, f"{draw.getrandbits(64):016x}", b"x", "check", "200")
                                     + record(ABORT, number))
            gevent.sleep(0.8)
            for each in socks:
                each.close()

    def disturb(self, front_end: FrontEnd) -> None:
        """Signals in series to one front end."""
        draw = self.plan.chance
        while True:
            gevent.sleep(0.3 + draw.random() * 1.5)
            trouble = draw.choice(("reload", "stop", "restart", "restart", "kill"))
            if trouble == "reload":
                for _ in range(draw.randint(1, 4)):
                    front_end.write()
                    front_end.signal(signal.SIGHUP)
                    gevent.sleep(draw.choice((0, 0.02, 0.3)))
            elif trouble == "stop":
                front_end.signal(signal.SIGSTOP)
                gevent.sleep(draw.choice((0.03, 0.15, 0.4)))
                front_end.signal(signal.SIGCONT)
            elif trouble == "kill":
                process = front_end.process
                self.killed_at_once.add(process)
                self.expected_ends.add(process)
                front_end.signal(signal.SIGKILL)
                self.again(front_end, process)
            else:
                self.restart(front_end)

    def restart(self, front_end: FrontEnd) -> None:
        """SIGTERM, perhaps with further signals behind it, and the kill at the page's earliest."""
        draw, process = self.plan.chance, front_end.process
        self.expected_ends.add(process)
        front_end.ending = time.monotonic_ns()
        front_end.signal(signal.SIGTERM)
        longest = min(LONGEST, self.plan.deadline_ms * MS)
        kill_at = front_end.ending + longest + SERVING
        while time.monotonic_ns() < kill_at and process.poll() is None:
            gevent.sleep(min(0.1 + draw.random() * 0.3, max(0, kill_at - time.monotonic_ns()) / SECOND))
            if draw.random() < 0.3 and time.monotonic_ns() < kill_at:
                front_end.signal(draw.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        self.judge_kill(front_end, process)
        front_end.signal(signal.SIGKILL)
        self.again(front_end, process)

    def judge_kill(self, front_end: FrontEnd, process) -> None:
        """What is still unanswered now is lost, but for what was written a moment ago."""
        now = time.monotonic_ns()
        if process.poll() is not None:
            return                      # it ended by itself: connections' ends are judged as they come
        for connection in front_end.connections:
            for it in connection.open.values():
                if connection.process is process and not (it.left or it.answered):
                    if now - it.at > CROSSING + self.lag.around(now):
                        self.broke("lost", f"{it.id}: unanswered at the kill, {(now - it.at) / MS:.0f} ms old, "
                                           f"sent {(it.at - front_end.ending) / MS:.0f} ms after SIGTERM")
                    it.excused = True
        self.killed_at_once.add(process)

    def again(self, front_end: FrontEnd, process) -> None:
        front_end.serving = False
        process.wait()
        gevent.sleep(self.plan.chance.choice((0, 0.3, 1.0)))
        front_end.start()

    # Running.

    def run(self) -> None:
        gevent.joinall([gevent.spawn(each.start) for each in self.front_ends])
        plan, troubles = self.plan, Group()
        for each in self.front_ends:
            self.greenlets.spawn(each.ask_on_and_on)
        gevent.sleep(0.5)
        troubles.spawn(self.release)
        if plan.chance.random() < 0.5:
            troubles.spawn(self.break_coordinator)
        if plan.bad:
            troubles.spawn(self.misbehave)
        if plan.crowd:
            troubles.spawn(self.crowd)
        disturbed = [troubles.spawn(self.disturb, each) for each in self.front_ends]
        gevent.sleep(plan.seconds)
        gevent.killall(disturbed)
        for each in self.front_ends:
            each.signal(signal.SIGCONT)
            each.serving = each.serving and not each.ending
        for each in self.front_ends:
            each.serving = False
        gevent.sleep((plan.deadline_ms * MS + LATE) / SECOND + 0.2)
        troubles.kill()
        self.judge()

    def judge(self) -> None:
        by_id = {it.id: it for it in self.asked}
        now = time.monotonic_ns()
        for it in self.asked:
            if it.excused or it.left:
                continue
            if not it.answered and now > it.deadline + LATE + self.lag.around(it.deadline):
                self.broke("lost", f"{it.id}: no answer in its time ({it.front_end})", it.front_end, it.deadline)
            elif it.answered > it.deadline + LATE + self.lag.around(it.deadline):
                self.broke("lost", f"{it.id}: answered {it.status} {(it.answered - it.deadline) / MS:.0f} ms late",
                           it.front_end, it.answered)
        for id_, attempts in self.attempts.items():
            if id_ in by_id:
                self.judge_attempts(by_id[id_], attempts)

    def judge_attempts(self, it: Asked, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            slack = self.lag.around(attempt.at)
            if it.left and attempt.at - it.left > GONE + SLACK + slack:
                self.broke("lost", f"{it.id}: attempt {(attempt.at - it.left) / MS:.0f} ms after its client left",
                           it.front_end, attempt.at)
            if attempt.wait_ms * MS > it.deadline - attempt.at + LEFT_SLACK + slack:
                self.broke("lost", f"{it.id}: passes on {attempt.wait_ms} ms, "
                                   f"{(it.deadline - attempt.at) / MS:.0f} are left, written "
                                   f"{(attempt.at - it.at) / MS:.0f} ms before", it.front_end, attempt.at)
            if it.answered and attempt.at > it.answered + SLACK + slack:
                self.broke("lost", f"{it.id}: attempt {(attempt.at - it.answered) / MS:.0f} ms after its answer")
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            may_have_run = earlier.code not in NEVER_RAN
            if it.type == "submit" and may_have_run:
                self.broke("duplicate", f"{it.id}: sent again to {later.worker} though it may have run")
            elif not earlier.ended or earlier.ended > later.at + SLACK + self.lag.around(later.at):
                self.broke("duplicate", f"{it.id}: two attempts at once")

    def close(self) -> None:
        for each in self.front_ends:
            self.expected_ends.add(each.process)
            self.killed_at_once.add(each.process)
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
            if each.process is not None:
                each.process.wait()
            each.log.close()
        self.greenlets.kill()
        self.lag.greenlet.kill()
        for server in [self.coordinator, *self.workers.values()]:
            server.stop()

    def summary(self) -> str:
        statuses = Counter(it.status or ("left" if it.left else "excused" if it.excused else "none")
                           for it in self.asked)
        plan, worst = self.plan, max((late for _, late in self.lag.late), default=0)
        rules = Counter(rule for rule, _ in self.broken)
        verdict = f"BROKEN {dict(rules)}" if rules else "kept"
        return (f"seed {plan.seed}: {verdict}; {plan.front_ends} front ends, "
                f"{plan.workers} workers, deadline {plan.deadline_ms} ms, grace {plan.grace_ms} ms"
                f"{', crowd' if plan.crowd else ''}; {len(self.asked)} requests {dict(statuses)}; "
                f"own lag {worst / MS:.0f} ms")


def play(seed: int, keep: str = "") -> Soak:
    """Plays one seed; `keep` names a folder for the logs of front ends."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, keep or folder)
        try:
            soak.run()
        finally:
            soak.close()
    return soak


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays seeds of the soak and says what broke.")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--at-once", type=int, default=1, help="seeds played side by side, each by its own process")
    parser.add_argument("--logs", default="", help="folder for the logs of front ends; for one seed")
    told = parser.parse_args()
    if told.at_once > 1:
        return in_parts(told.first, told.count, told.at_once)
    broken = False
    for seed in range(told.first, told.first + told.count):
        soak = play(seed, told.logs)
        broken = broken or bool(soak.broken)
        print(soak.summary(), flush=True)
        for rule, what in soak.broken[:8]:
            print(f"    {rule}: {what}", flush=True)
    return int(broken)


def in_parts(first: int, count: int, at_once: int) -> int:
    size = -(-count // at_once)
    children = [subprocess.Popen([sys.executable, "-m", "tests.soak", str(first + part * size),
                                  str(min(size, count - part * size))], cwd=ROOT)
                for part in range(at_once) if part * size < count]
    return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(main())
