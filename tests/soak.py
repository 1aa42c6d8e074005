"""A soak test of real front end processes under random faults, with the rules checked from outside.

    python -m tests.soak FIRST_SEED COUNT [--at-once N]

Each seed draws a deployment (deadlines, drain grace, limits, 1 to 5 front ends, 3 to 1,600 workers) and some seconds
of faults: workers are replaced, the coordinator breaks off, workers hang, reset connections and refuse; front ends
are stopped in series, with requests on new connections meanwhile, reload several configurations in a row, receive
SIGTERM and are killed as early as the protocol allows, or are killed at once; on some seeds many clients send nothing
or abort their requests. Clients go on sending on their open connections until the kill. One line a seed is printed;
the exit status is 1 where a rule is broken.

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
from tests.platform import SETTINGS, Coordinator, configuration, event, instance
from tests.platform import request as encode_request
from tests.processes import ROOT
from threadshift.fastcgi import codec
from threadshift.fastcgi.codec import ABORT, END, STDOUT, record
from threadshift.frames.codec import (
    CANCEL, FROM_FRONT_END, FROM_WORKER, FULL, HEALTHY, INVOKE, LOAD, MISS, OK, PROBE, FrameDecoder, encode)
from threadshift.interface import MS, SECOND

ANSWER_TOLERANCE = SECOND // 2     # after its deadline, until a request without an answer counts as lost
TOLERANCE = 50 * MS                # that the protocol allows on each time limit
ABORT_TOLERANCE = 100 * MS         # after a client has left, while an attempt may still begin
TIME_LEFT_TOLERANCE = 150 * MS     # on the time left that is stated to a worker
CLOSE_CROSSING_TIME = 50 * MS      # in which a request may cross the close of its connection
ACCEPTING_TIME = 700 * MS          # after SIGTERM, while requests are served; the kill is a longest deadline later
MAX_DEADLINE = 3 * SECOND          # longer deadlines count as this for the kill
NOTIFIED_AFTER_BREAK = 2 * SECOND  # after the coordinator breaks off, until a change counts as notified
READY_TIMEOUT_S = 10.0
MAX_FURTHER_STOPS = 3              # in a series
MAX_STOPPED_S = 0.4                # in a series: a process that is stopped for longer than ANSWER_TOLERANCE is late
RUN_BETWEEN_STOPS_S = (0, 0.001, 0.003, 0.03)
FURTHER_STOP_S = (0.03, 0.2)
REQUESTS_DURING_A_STOP = 3
REFUSED_STATUSES = ("429", "503")
NEVER_RAN = (MISS, FULL)


@dataclass
class Plan:
    """The deployment and the faults that one seed draws."""

    seed: int
    rng: random.Random = field(init=False)
    series_rng: random.Random = field(init=False)    # for the series of stops: other draws do not depend on them

    def __post_init__(self) -> None:
        rng = self.rng = random.Random(self.seed)
        self.series_rng = random.Random(f"series {self.seed}")
        self.front_ends = rng.choice((1, 2, 3, 3, 5))
        self.workers = rng.choice((3, 8, 12, 40, 120, 400, 1_600))
        self.deadline_ms = rng.choice((250, 400, 700, 1_280, 2_500))
        self.grace_ms = rng.choice((0, 100, 300, 1_000, 2_000))
        self.max_sockets = rng.choice((256, 512))
        self.requests_per_second = rng.choice((15, 30, 50))
        self.duration_s = 7.0
        self.has_crowd = rng.random() < 0.4
        self.may_cancel = rng.random() < 0.7
        self.max_attempts = rng.choice((2, 3, 4))
        self.has_bad_workers = rng.random() < 0.6    # some workers hang, reset and refuse

    def settings(self) -> dict:
        """The settings of the platform for this deployment."""
        settings = json.loads(json.dumps(SETTINGS))
        settings["peersTotal"] = self.front_ends
        settings["lanes"] = [
            dict(name=name, aim=self.deadline_ms * 0.4, giveUp=float(self.deadline_ms), effect=effect, worth=1.0,
                 lateValue=0.3) for name, effect in (("check", "safe"), ("submit", "unsafe"))]
        settings["limits"] |= {"maxAttempts": self.max_attempts, "cancel": self.may_cancel, "connIdle": 4_000.0}
        settings["rules"]["drainGrace"] = float(self.grace_ms)
        return settings


@dataclass(eq=False)
class ClientRequest:
    """One request of a usual client; times are monotonic ns."""

    id: str
    front_end: str
    type: str
    sent_at: int               # when its last byte was written
    deadline: int
    status: str = ""
    answered_at: int = 0
    left_at: int = 0           # when its client left, 0: it stayed
    is_excused: bool = False   # no answer is owed: its process was killed, or it crossed the close of its connection


@dataclass(eq=False)
class Attempt:
    """One send as its worker received it."""

    id: str
    worker: str
    received_at: int
    wait_ms: int
    ended_at: int = 0          # when it was answered or cancelled, or its connection ended
    code: int = 0              # of the answer


class TimerLag:
    """How late the timers of this process fire: every time measured here can be off by as much."""

    PERIOD_S = 0.005

    def __init__(self) -> None:
        self.delays: list[tuple[int, int]] = []
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            before = time.monotonic_ns()
            gevent.sleep(self.PERIOD_S)
            late = time.monotonic_ns() - before - int(self.PERIOD_S * SECOND)
            if late > 5 * MS:
                self.delays.append((before, late))

    def around(self, at: int) -> int:
        """The longest delay within a second of this time, ns."""
        return max((late for since, late in self.delays if since - SECOND < at < since + late + SECOND), default=0)


class SoakWorker(Server):
    """A worker that answers after a while, unless faults are injected into it."""

    def __init__(self, soak: Soak, name: str):
        self.soak, self.name, self.hangs, self.misbehaves = soak, name, False, False
        self.drained_at = 0        # when its drain was published
        super().__init__()

    def converse(self, sock: socket.socket) -> None:
        frames, open_attempts = FrameDecoder(1 << 20, FROM_FRONT_END), {}
        try:
            while data := sock.recv(65536):
                for frame in frames.feed(data):
                    self.on_frame(sock, frame, open_attempts)
        finally:
            for attempt in open_attempts.values():
                attempt.ended_at = attempt.ended_at or time.monotonic_ns()

    def on_frame(self, sock: socket.socket, frame, open_attempts: dict) -> None:
        now, rng = time.monotonic_ns(), self.soak.plan.rng
        if frame.code in (INVOKE, LOAD):
            self.soak.on_worker_received(self, frame.code, now)
        if frame.code == INVOKE:
            attempt = Attempt(frame.id.hex(), self.name, now, int(frame.fields["wait"]))
            open_attempts[frame.id] = attempt
            self.soak.attempts[attempt.id].append(attempt)
            if self.hangs:
                return
            if self.misbehaves and rng.random() < 0.1:
                sock.shutdown(socket.SHUT_RDWR)
                return
            code = rng.choice((MISS, FULL)) if self.misbehaves and rng.random() < 0.2 else OK
            self.soak.greenlets.spawn(self.reply, sock, frame, attempt, code, rng.expovariate(1 / 0.015))
        elif frame.code == CANCEL and frame.id in open_attempts:
            open_attempts.pop(frame.id).ended_at = now
        elif frame.code == LOAD:
            sock.sendall(encode(OK, frame.id, "n=1", sender=FROM_WORKER))
        elif frame.code == PROBE and not self.hangs:
            sock.sendall(encode(HEALTHY, frame.id, sender=FROM_WORKER))

    @staticmethod
    def reply(sock: socket.socket, frame, attempt: Attempt, code: int, after: float) -> None:
        gevent.sleep(after)
        if not attempt.ended_at:
            attempt.ended_at, attempt.code = time.monotonic_ns(), code
            with suppress(OSError):
                sock.sendall(encode(code, frame.id, "how=reused", b"did" if code == OK else b"", FROM_WORKER))


class Connection:
    """One connection of the clients' web servers to one front end process."""

    def __init__(self, soak: Soak, front_end: FrontEnd):
        self.soak, self.process = soak, front_end.process
        self.sock = socket.create_connection(tuple(front_end.address), 2)
        self.sock.settimeout(None)
        self.open: dict[int, ClientRequest] = {}
        self.numbers, self.is_closed = iter(range(1, 65_000)), False
        self.opened_at = time.monotonic_ns()
        soak.greenlets.spawn(self.read)

    def send(self, request: ClientRequest) -> int:
        """Sends a request; returns its FastCGI id."""
        number = next(self.numbers)
        self.open[number] = request
        self.sock.sendall(encode_request(number, request.id, b"x", request.type, str(self.soak.plan.deadline_ms),
                                         f"{self.soak.plan.rng.randrange(40):016x}"))
        request.sent_at = time.monotonic_ns()
        request.deadline = request.sent_at + self.soak.plan.deadline_ms * MS
        return number

    def abort(self, number: int) -> None:
        """Aborts a request if it is still open."""
        request = self.open.get(number)
        if request is not None:
            request.left_at = time.monotonic_ns()
            self.sock.sendall(record(ABORT, number))

    def read(self) -> None:
        records, status = codec.Records(), {}
        with suppress(OSError):
            while data := self.sock.recv(65536):
                for kind, number, content in records.feed(data):
                    if kind == STDOUT and content:
                        status.setdefault(number, content[8:11].decode())
                    elif kind == END:
                        self.on_answer(number, status.pop(number, ""))
        self.is_closed = True
        self.on_closed(time.monotonic_ns())

    def on_answer(self, number: int, status: str) -> None:
        request = self.open.pop(number, None)
        if request is None:
            self.soak.report("lost", f"a second answer, or one under an unknown number {number}")
        elif not request.left_at:
            request.status, request.answered_at = status or "?", time.monotonic_ns()

    def on_closed(self, now: int) -> None:
        self.sock.close()
        for request in self.open.values():
            if request.answered_at or request.left_at:
                continue
            if self.process in self.soak.killed_at_once:
                request.is_excused = True
            elif now - request.sent_at <= CLOSE_CROSSING_TIME + self.soak.lag.around(now):
                request.is_excused = True       # it crossed the close; its client sends it again elsewhere
            else:
                self.soak.report("lost", f"{request.id}: connection ended "
                                         f"{(now - request.sent_at) / MS:.0f} ms after it, no answer")
                request.is_excused = True


class FrontEnd:
    """One front end: its current process, and the clients that use it."""

    def __init__(self, soak: Soak, name: str, folder: str):
        self.soak, self.name = soak, name
        self.address = ("127.0.0.1", free_port())
        self.path = os.path.join(folder, f"{name}.json")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")      # noqa: SIM115  closed with the folder
        self.process: subprocess.Popen | None = None
        self.terminated_at = 0     # when SIGTERM was sent, 0: not yet
        self.serving = False
        self.connections: list[Connection] = []

    def write_config(self) -> None:
        """Writes the configuration file with the current worker list."""
        plan = self.soak.plan
        content = json.dumps(configuration(
            name=self.name, listen=f"127.0.0.1:{self.address[1]}", coordinator=str(self.soak.coordinator.address),
            known=self.soak.known(), settings=plan.settings(),
            limits={"cores": 1.0, "memory_mb": 192, "sockets": plan.max_sockets}))
        with open(self.path + ".new", "w") as file:
            file.write(content)
        os.replace(self.path + ".new", self.path)

    def start(self) -> None:
        """Starts a process and waits until it is ready."""
        self.write_config()
        self.terminated_at = 0
        # In a greenlet of its own: the calling one may be killed inside Popen, and close() ends only known processes.
        gevent.spawn(self.launch).join()
        with gevent.Timeout(READY_TIMEOUT_S, False):
            while not self.is_ready():
                gevent.sleep(0.02)
            self.serving = True
            return
        self.soak.report("ready", f"{self.name} is not ready after {READY_TIMEOUT_S} s")

    def launch(self) -> None:
        """Starts the process and watches it."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "threadshift.node"], cwd=ROOT, stderr=self.log,
            env=os.environ | {"NODE_CONFIG": self.path})
        self.soak.greenlets.spawn(self.watch, self.process)

    def watch(self, process: subprocess.Popen) -> None:
        """Reports a process that ends unexpectedly."""
        code = process.wait()
        if process not in self.soak.expected_ends or code not in (0, -signal.SIGKILL):
            self.soak.report("crash", f"{self.name} ended with {code}")

    def is_ready(self) -> bool:
        """Whether the health check of the process succeeds."""
        with suppress(OSError), gevent.Timeout(1, False):
            sock = socket.create_connection(self.address, 1)
            try:
                sock.sendall(codec.record(codec.BEGIN, 1, codec.BEGIN_BODY.pack(codec.RESPONDER, 0)) + codec.stream(
                    codec.PARAMS, 1, codec.pair(b"SCRIPT_NAME", b"/alive")) + codec.stream(codec.STDIN, 1, b""))
                return b"Status: 200" in sock.recv(4096)
            finally:
                sock.close()
        return False

    def signal(self, number: int) -> None:
        self.soak.record_fault(self, signal.Signals(number).name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def connection(self) -> Connection | None:
        """An open connection, or a new one while the protocol lets clients open one; None where there is neither."""
        self.connections = [each for each in self.connections if not each.is_closed]
        free = [each for each in self.connections if each.process is self.process and len(each.open) < 30]
        since_term = time.monotonic_ns() - self.terminated_at if self.terminated_at else 0
        if free and (len(free) > 3 or since_term > ACCEPTING_TIME - 300 * MS or self.soak.plan.rng.random() < 0.8):
            return self.soak.plan.rng.choice(free)
        if since_term > ACCEPTING_TIME - 300 * MS or not self.serving:
            return None
        try:
            self.connections.append(Connection(self.soak, self))
        except OSError:
            return None
        return self.connections[-1]

    def send_requests(self) -> None:
        """Sends the requests of usual clients at a fixed mean rate and aborts some of them."""
        rng = self.soak.plan.rng
        while True:
            gevent.sleep(rng.expovariate(self.soak.plan.requests_per_second))
            connection = self.connection() if self.serving else None
            if connection is None:
                continue
            request = ClientRequest(
                f"{rng.getrandbits(64):016x}", self.name, rng.choice(("check", "check", "submit")), 0, 0)
            number = self.send_request(connection, request)
            if number and rng.random() < 0.05:
                self.soak.greenlets.spawn(self.abort_later, connection, number, rng.random() * 0.1)

    def send_request(self, connection: Connection, request: ClientRequest) -> int:
        """Sends a request; returns its FastCGI id, or 0 where the connection was closed: it was not accepted then."""
        try:
            number = connection.send(request)
        except OSError:
            connection.open = {key: each for key, each in connection.open.items() if each is not request}
            return 0
        self.soak.requests.append(request)
        return number

    def send_on_new_connections(self) -> None:
        """Sends some requests, each on a connection of its own, which stays open for further ones."""
        rng = self.soak.plan.series_rng
        for _ in range(REQUESTS_DURING_A_STOP if self.serving and not self.terminated_at else 0):
            with suppress(OSError):
                connection = Connection(self.soak, self)
                self.connections.append(connection)
                self.send_request(connection, ClientRequest(f"{rng.getrandbits(64):016x}", self.name, "check", 0, 0))

    @staticmethod
    def abort_later(connection: Connection, number: int, after: float) -> None:
        gevent.sleep(after)
        with suppress(OSError):
            connection.abort(number)


class Soak:
    """The run of one seed; close() ends everything that it started."""

    def __init__(self, seed: int, folder: str):
        self.plan = Plan(seed)
        self.lag, self.greenlets = TimerLag(), Group()
        self.requests: list[ClientRequest] = []
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.load_orders: list[int] = []
        self.faults: list[tuple[int, str, str]] = []
        self.violations: list[tuple[str, str]] = []
        self.killed_at_once: set = set()
        self.expected_ends: set = set()
        self.drain_notified_at: dict[str, int] = {}     # worker: when its drain counts as notified
        self.names = iter(range(1 << 30))
        self.workers: dict[str, SoakWorker] = {}
        self.index = 0
        self.coordinator = Coordinator()
        self.broken_off_at = -NOTIFIED_AFTER_BREAK
        for _ in range(self.plan.workers):
            self.new_worker()
        self.history = [self.event(*(self.entry(each) for each in self.workers.values()), full=True)]
        self.coordinator.events = list(self.history)
        self.front_ends = [FrontEnd(self, f"n{n}", folder) for n in range(self.plan.front_ends)]

    def report(self, rule: str, what: str, front_end: str = "", at: int = 0) -> None:
        """Records a broken rule, with the faults of that front end in the second before it."""
        near = [f"{what_} {(at - when) / MS:.0f} ms before" for when, name, what_ in self.faults
                if name == front_end and at - SECOND < when <= at] if at else []
        self.violations.append((rule, f"{what}; {', '.join(near)}" if near else what))

    def record_fault(self, front_end: FrontEnd, what: str) -> None:
        """Records a fault that was injected into a front end."""
        self.faults.append((time.monotonic_ns(), front_end.name, what))

    # Workers and the updates about them.

    def new_worker(self) -> SoakWorker:
        worker = SoakWorker(self, f"s-{next(self.names):08x}")
        self.workers[worker.name] = worker
        return worker

    def entry(self, worker: SoakWorker, state: str = "Ready", started: int = 0) -> dict:
        return instance(worker.name, worker.address, state, startedAtMs=started)

    def event(self, *entries: dict, full: bool = False) -> dict:
        self.index += 1
        return event(self.index, *entries, full=full)

    def known(self) -> dict:
        """The updates so far, as a configuration file has them."""
        return {"index": self.index, "updates": list(self.history)}

    def publish(self, update: dict) -> None:
        self.history.append(update)
        self.coordinator.publish(update)

    def notification_time(self) -> int:
        """When a change made now counts as notified: at once, or some time after the coordinator broke off."""
        return max(time.monotonic_ns(), self.broken_off_at + NOTIFIED_AFTER_BREAK)

    def on_worker_received(self, worker: SoakWorker, code: int, now: int) -> None:
        """Checks that a request or a load order did not arrive after the drain grace of its worker."""
        if code == LOAD:
            self.load_orders.append(now)
        notified_at = self.drain_notified_at.get(worker.name)
        if notified_at is not None:
            late = now - notified_at - self.plan.grace_ms * MS
            if late > TOLERANCE + self.lag.around(now):
                what = "order" if code == LOAD else "request"
                self.report("drain", f"{what} at {worker.name} {late / MS:.0f} ms late")

    # Faults.

    def replace_workers(self) -> None:
        """Replaces a part of the workers, in one or two steps."""
        rng = self.plan.rng
        while True:
            gevent.sleep(0.5 + rng.random() * 1.5)
            count = max(1, int(len(self.workers) * rng.choice((0.05, 0.2, 0.4))))
            staying = [each for each in self.workers.values() if not each.drained_at]
            going = rng.sample(staying, min(count, max(0, len(staying) - 1)))
            started = int(time.time() * 1_000)
            fresh = [self.new_worker() for _ in going]
            for each in going:
                each.drained_at = time.monotonic_ns()
                self.drain_notified_at[each.name] = self.notification_time()
            self.publish(self.event(*(self.entry(each, "Terminating") for each in going),
                                    *(self.entry(each, started=started) for each in fresh)))
            if rng.random() < 0.5:
                gevent.sleep(self.plan.grace_ms / 1_000 + 0.2)
                self.publish(self.event(*(self.entry(each, "Gone") for each in going)))

    def break_coordinator(self) -> None:
        """Stops the coordinator now and then and starts another at its address."""
        rng = self.plan.rng
        while True:
            gevent.sleep(1 + rng.random() * 3)
            address, self.broken_off_at = self.coordinator.address, time.monotonic_ns()
            self.coordinator.stop()
            gevent.sleep(rng.choice((0.05, 0.5, 1.5)))
            events = list(self.history)
            self.coordinator = Coordinator(events, address)

    def inject_worker_faults(self) -> None:
        """Lets some workers reset and refuse all the time, and others hang for a while."""
        rng = self.plan.rng
        for each in rng.sample(list(self.workers.values()), max(1, len(self.workers) // 8)):
            each.misbehaves = True
        while True:
            gevent.sleep(1 + rng.random())
            several = rng.sample(list(self.workers.values()), max(1, len(self.workers) // 10))
            for each in several:
                each.hangs = True
            gevent.sleep(0.5 + rng.random() * 2)
            for each in several:
                each.hangs = False

    def inject_crowd(self) -> None:
        """Opens many connections that send nothing, and one that sends and aborts thirty requests at once."""
        rng = self.plan.rng
        while True:
            gevent.sleep(0.5 + rng.random())
            front_end = rng.choice(self.front_ends)
            socks = []
            with suppress(OSError), gevent.Timeout(1, False):
                for _ in range(150):
                    socks.append(socket.create_connection(front_end.address, 0.2))
                for number in range(1, 31):
                    socks[0].sendall(encode_request(number, f"{rng.getrandbits(64):016x}", b"x", "check", "200")
                                     + record(ABORT, number))
            gevent.sleep(0.8)
            for each in socks:
                each.close()

    def inject_process_faults(self, front_end: FrontEnd) -> None:
        """Sends a series of signals to one front end."""
        rng = self.plan.rng
        while True:
            gevent.sleep(0.3 + rng.random() * 1.5)
            fault = rng.choice(("reload", "stop", "restart", "restart", "kill"))
            if fault == "reload":
                for _ in range(rng.randint(1, 4)):
                    front_end.write_config()
                    front_end.signal(signal.SIGHUP)
                    gevent.sleep(rng.choice((0, 0.02, 0.3)))
            elif fault == "stop":
                self.stop_in_series(front_end, rng.choice((0.03, 0.15, 0.4)))
            elif fault == "kill":
                process = front_end.process
                self.killed_at_once.add(process)
                self.expected_ends.add(process)
                front_end.signal(signal.SIGKILL)
                self.start_again(front_end, process)
            else:
                self.terminate(front_end)

    def stop_in_series(self, front_end: FrontEnd, first_s: float) -> None:
        """Stops a front end once or several times in quick succession; requests arrive during each stop."""
        rng = self.plan.series_rng
        left_s = MAX_STOPPED_S
        for duration_s in (first_s, *(rng.uniform(*FURTHER_STOP_S) for _ in range(MAX_FURTHER_STOPS))):
            left_s -= duration_s
            if left_s < 0:
                return
            front_end.signal(signal.SIGSTOP)
            self.greenlets.spawn(front_end.send_on_new_connections)
            gevent.sleep(duration_s)
            front_end.signal(signal.SIGCONT)
            gevent.sleep(rng.choice(RUN_BETWEEN_STOPS_S))

    def terminate(self, front_end: FrontEnd) -> None:
        """Sends SIGTERM, perhaps further signals, and kills at the earliest time that the protocol allows."""
        rng, process = self.plan.rng, front_end.process
        self.expected_ends.add(process)
        front_end.terminated_at = time.monotonic_ns()
        front_end.signal(signal.SIGTERM)
        longest = min(MAX_DEADLINE, self.plan.deadline_ms * MS)
        kill_at = front_end.terminated_at + longest + ACCEPTING_TIME
        while time.monotonic_ns() < kill_at and process.poll() is None:
            gevent.sleep(min(0.1 + rng.random() * 0.3, max(0, kill_at - time.monotonic_ns()) / SECOND))
            if rng.random() < 0.3 and time.monotonic_ns() < kill_at:
                front_end.signal(rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        self.check_kill(front_end, process)
        front_end.signal(signal.SIGKILL)
        self.start_again(front_end, process)

    def check_kill(self, front_end: FrontEnd, process) -> None:
        """Reports the requests that are unanswered at the kill as lost, except those written a moment ago."""
        now = time.monotonic_ns()
        if process.poll() is not None:
            return                      # it ended by itself: each connection is checked as it closes
        for connection in front_end.connections:
            for request in connection.open.values():
                if connection.process is process and not (request.left_at or request.answered_at):
                    if now - request.sent_at > CLOSE_CROSSING_TIME + self.lag.around(now):
                        self.report(
                            "lost", f"{request.id}: unanswered at the kill, "
                                    f"{(now - request.sent_at) / MS:.0f} ms old, "
                                    f"sent {(request.sent_at - front_end.terminated_at) / MS:.0f} ms after SIGTERM")
                    request.is_excused = True
        self.killed_at_once.add(process)

    def start_again(self, front_end: FrontEnd, process) -> None:
        """Starts a new process of a front end after the old one has ended."""
        front_end.serving = False
        process.wait()
        gevent.sleep(self.plan.rng.choice((0, 0.3, 1.0)))
        front_end.start()

    # Running.

    def run(self) -> None:
        """Runs the clients and the faults, and then checks what happened."""
        gevent.joinall([gevent.spawn(each.start) for each in self.front_ends])
        plan, fault_greenlets = self.plan, Group()
        for each in self.front_ends:
            self.greenlets.spawn(each.send_requests)
        gevent.sleep(0.5)
        fault_greenlets.spawn(self.replace_workers)
        if plan.rng.random() < 0.5:
            fault_greenlets.spawn(self.break_coordinator)
        if plan.has_bad_workers:
            fault_greenlets.spawn(self.inject_worker_faults)
        if plan.has_crowd:
            fault_greenlets.spawn(self.inject_crowd)
        process_faults = [fault_greenlets.spawn(self.inject_process_faults, each) for each in self.front_ends]
        gevent.sleep(plan.duration_s)
        gevent.killall(process_faults)
        for each in self.front_ends:
            each.signal(signal.SIGCONT)
            each.serving = each.serving and not each.terminated_at
        for each in self.front_ends:
            each.serving = False
        gevent.sleep((plan.deadline_ms * MS + ANSWER_TOLERANCE) / SECOND + 0.2)
        fault_greenlets.kill()
        self.check()

    def check(self) -> None:
        """Checks that every request was answered in time."""
        by_id = {request.id: request for request in self.requests}
        now = time.monotonic_ns()
        for request in self.requests:
            if request.is_excused or request.left_at:
                continue
            if not request.answered_at and (
                    now > request.deadline + ANSWER_TOLERANCE + self.lag.around(request.deadline)):
                self.report("lost", f"{request.id}: no answer in its time ({request.front_end})",
                            request.front_end, request.deadline)
            elif request.answered_at > request.deadline + ANSWER_TOLERANCE + self.lag.around(request.deadline):
                self.report("lost", f"{request.id}: answered {request.status} "
                                    f"{(request.answered_at - request.deadline) / MS:.0f} ms late",
                            request.front_end, request.answered_at)
        for id_, attempts in self.attempts.items():
            if id_ in by_id:
                self.check_attempts(by_id[id_], attempts)

    def check_attempts(self, request: ClientRequest, attempts: list[Attempt]) -> None:
        """Checks the sends of one request: when they began, what time left they stated, and that none overlap."""
        for attempt in attempts:
            slack = self.lag.around(attempt.received_at)
            if request.left_at and attempt.received_at - request.left_at > ABORT_TOLERANCE + TOLERANCE + slack:
                self.report("lost", f"{request.id}: attempt {(attempt.received_at - request.left_at) / MS:.0f} ms "
                                    "after its client left", request.front_end, attempt.received_at)
            if attempt.wait_ms * MS > request.deadline - attempt.received_at + TIME_LEFT_TOLERANCE + slack:
                self.report("lost", f"{request.id}: passes on {attempt.wait_ms} ms, "
                                    f"{(request.deadline - attempt.received_at) / MS:.0f} are left, written "
                                    f"{(attempt.received_at - request.sent_at) / MS:.0f} ms before",
                            request.front_end, attempt.received_at)
            if request.answered_at and attempt.received_at > request.answered_at + TOLERANCE + slack:
                self.report("lost", f"{request.id}: attempt "
                                    f"{(attempt.received_at - request.answered_at) / MS:.0f} ms after its answer")
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            may_have_run = earlier.code not in NEVER_RAN
            if request.type == "submit" and may_have_run:
                self.report("duplicate", f"{request.id}: sent again to {later.worker} though it may have run")
            elif not earlier.ended_at or (
                    earlier.ended_at > later.received_at + TOLERANCE + self.lag.around(later.received_at)):
                self.report("duplicate", f"{request.id}: two attempts at once")

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
        """One line on the run."""
        statuses = Counter(
            request.status or ("left" if request.left_at else "excused" if request.is_excused else "none")
            for request in self.requests)
        plan, worst = self.plan, max((late for _, late in self.lag.delays), default=0)
        rules = Counter(rule for rule, _ in self.violations)
        verdict = f"BROKEN {dict(rules)}" if rules else "kept"
        return (f"seed {plan.seed}: {verdict}; {plan.front_ends} front ends, "
                f"{plan.workers} workers, deadline {plan.deadline_ms} ms, grace {plan.grace_ms} ms"
                f"{', crowd' if plan.has_crowd else ''}; {len(self.requests)} requests {dict(statuses)}; "
                f"own lag {worst / MS:.0f} ms")


def run_seed(seed: int, keep: str = "") -> Soak:
    """Runs one seed; `keep` names a folder for the logs of front ends."""
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
    arguments = parser.parse_args()
    if arguments.at_once > 1:
        return run_in_parts(arguments.first, arguments.count, arguments.at_once)
    broken = False
    for seed in range(arguments.first, arguments.first + arguments.count):
        soak = run_seed(seed, arguments.logs)
        broken = broken or bool(soak.violations)
        print(soak.summary(), flush=True)
        for rule, what in soak.violations[:8]:
            print(f"    {rule}: {what}", flush=True)
    return int(broken)


def run_in_parts(first: int, count: int, at_once: int) -> int:
    size = -(-count // at_once)
    children = [subprocess.Popen([sys.executable, "-m", "tests.soak", str(first + part * size),
                                  str(min(size, count - part * size))], cwd=ROOT)
                for part in range(at_once) if part * size < count]
    return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(main())
