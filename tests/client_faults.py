"""A rig of real processes, of the platform or the daemon, under clients that misbehave, checked from outside.

    python -m tests.client_faults PROGRAM PICTURE FIRST_SEED COUNT [--seconds N]

PROGRAM is platform or daemon. The pictures are those of tests/abusive_clients.py, from one or several connections to
one front end, `halves` (hundreds of clients that write slowly, stop half way or send heads of very many short
fields), `leavers` (clients that close with much unread, and on the platform ids that come again) and `all`. Checked:
each usual request is answered in its time, nothing is sent for clients that have left, nothing that may run once runs
twice, own memory stays under the limit, no process ends. One line a seed is printed; the exit status is 1 where a
check fails.
"""
from __future__ import annotations

import argparse
import json
import os
import random
import resource
import signal
import sys
import tempfile
import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket, subprocess
from gevent.event import Event
from gevent.pool import Group

from tests.abusive_clients import http_request
from tests.live import ScriptedWorker
from tests.memory_floods import MemoryWatch
from tests.platform import (
    SETTINGS, Coordinator, Worker, begin, configuration, event, instance, params, request)
from tests.processes import ROOT
from tests.soak import TimerLag
from threadshift.fastcgi.codec import ABORT, END, PARAMS, STDIN, STDOUT, Records, record
from threadshift.frames.codec import FROM_WORKER, FULL, INVOKE, LOAD, OK, encode as encode_frame
from threadshift.interface import MS, SECOND
from threadshift.links.codec import encode as encode_message
from threadshift.standins.ports import ReservedPorts

ANSWER_TOLERANCE = SECOND // 2     # after its time, until a request without an answer counts as lost
LEAVING_TOLERANCE = 150 * MS       # after a client has left, while an attempt may begin: 100 ms, and 50 ms more
SOCKETS = 384
WORKERS = 8
FRONT_ENDS = 3
WORK_S, LOAD_S = 0.02, 0.2
MAX_LOADS = 4                      # at once at one worker
MAX_HELD = 100                     # requests at one worker, until it refuses
USUAL_CONNECTIONS = 2              # to each front end
USUAL_RATE = 46                    # requests a second at each front end
USUAL_DEADLINES_MS = (514, 639, 1000, 2000)
USUAL_FUNCTIONS = 30
GROUP_GAPS_S = (0, 0.0005, 0.001, 0.003)     # between requests that follow each other on one connection
CROWD = 150                        # clients of the picture `halves`
DEFAULT_SECONDS = 6.0
WARMUP_S = 1.0
ABUSERS = ((8, 0), (8, 5), (8, 60), (1, 0), (1, 20))     # by seed: connections, and ms until a request is taken back
ABUSE = ("withdrawn", "closing", "new-names", "unsound")
PICTURES = (*ABUSE, "halves", "leavers")
GATEWAY_CONF = """
listen 127.0.0.1:{port}
name f0
roster file {roster}
log json info
type check {{
    target-latency 600ms
    action-timeout 2500ms
    effect repeatable
}}
type submit {{
    target-latency 500ms
    action-timeout 2s
    utility 2
    effect once-only
}}
functions submit-* {{
    type submit
}}
functions * {{
    type check
    lanes 2
}}
bounds {{
    keepalive 1s
}}
"""


@dataclass(eq=False)
class UsualRequest:
    """One request of a usual client; times are monotonic ns."""

    id: str
    front_end: int
    sent_at: int
    due: int
    status: str = ""
    answered_at: int = 0


class Work:
    """The model of a worker, for both protocols: loads functions, runs requests, refuses where it holds too many."""

    def __init__(self, rig: Rig):
        self.rig, self.held, self.loads = rig, 0, 0
        self.functions: dict[str, Event] = {}

    def take(self, id_: str, function: str, reply) -> None:
        """A request has arrived; reply(served) is called at its end."""
        self.rig.arrivals[id_].append(time.monotonic_ns())
        if self.held >= MAX_HELD:
            reply(False)
        else:
            self.rig.runs[id_].append(time.monotonic_ns())
            self.held += 1
            self.rig.greenlets.spawn(self.run, function, reply)

    def run(self, function: str, reply) -> None:
        try:
            self.load(function)
            gevent.sleep(WORK_S)
        finally:
            self.held -= 1
        with suppress(OSError):
            reply(True)

    def load(self, function: str) -> None:
        """Waits until the function is loaded."""
        if function not in self.functions:
            loaded = self.functions[function] = Event()
            while self.loads >= MAX_LOADS:
                gevent.sleep(LOAD_S / 4)
            self.loads += 1
            gevent.sleep(LOAD_S)
            self.loads -= 1
            loaded.set()
            while len(self.functions) > USUAL_FUNCTIONS + MAX_HELD:
                self.functions.pop(next(iter(self.functions)))
        else:
            self.functions[function].wait()


def platform_script(work: Work):
    """What a worker of the platform does with a frame."""
    def on_frame(worker, sock, frame) -> None:
        def reply(served: bool) -> None:
            sock.sendall(encode_frame(OK if served else FULL, frame.id, "how=reused", b"did" if served else b"",
                                      FROM_WORKER))
        if frame.code == INVOKE:
            work.take(frame.id.hex(), frame.fields["key"], reply)
        elif frame.code == LOAD:
            sock.sendall(encode_frame(OK, frame.id, "n=1", sender=FROM_WORKER))
    return on_frame


def daemon_script(work: Work):
    """What a worker of the daemon does on a connection."""
    def converse(worker, sock, frames) -> None:
        for frame in frames:
            def reply(served: bool, id_: int = frame.get("id", 0)) -> None:
                sock.sendall(encode_message("result", id=id_, body=b"did", copy="found") if served
                             else encode_message("refused", id=id_, reason="full"))
            if frame["kind"] == "invoke":
                work.take(frame["body"].decode("latin-1"), frame["function"], reply)
            elif frame["kind"] == "hold":
                sock.sendall(encode_message("held", id=frame["id"], outcome="stands", copies=1))
            elif frame["kind"] == "ping":
                sock.sendall(encode_message("pong"))
    return converse


class PlatformProgram:
    """Three front ends on the platform."""

    name, front_ends = "platform", FRONT_ENDS
    memory_mb = 96
    has_client_ids, requests_of_leavers = True, 32     # a client names its requests, so that one may come again

    def __init__(self, rig: Rig):
        self.rig = rig
        self.workers = [Worker(platform_script(Work(rig))) for _ in range(WORKERS)]
        self.coordinator = Coordinator([event(1, *(
            instance(f"s-{n}", worker.address) for n, worker in enumerate(self.workers)), full=True)])

    def start(self, number: int) -> subprocess.Popen:
        settings = json.loads(json.dumps(SETTINGS))
        settings["peersTotal"] = self.front_ends
        for lane in settings["lanes"]:
            lane["giveUp"] = 2500.0
        path = Path(self.rig.folder, f"n{number}.json")
        path.write_text(json.dumps(configuration(
            name=f"n{number}", listen=f"127.0.0.1:{self.rig.ports[number]}", settings=settings,
            coordinator=str(self.coordinator.address),
            limits={"cores": 1.0, "memory_mb": self.memory_mb, "sockets": SOCKETS})))
        return subprocess.Popen([sys.executable, "-m", "threadshift.node"], cwd=ROOT, stderr=self.rig.log(number),
                                env=os.environ | {"NODE_CONFIG": str(path)})

    def front_end_pids(self, process: subprocess.Popen) -> list[int]:
        return [process.pid]

    def connect(self, number: int) -> PlatformConnection:
        return PlatformConnection(self.rig, number)

    @staticmethod
    def whole_request(id_: str, type_: str, left_ms: int, function: int, number: int = 1) -> bytes:
        return request(number, id_, b"x", type_, str(left_ms), f"{function:016x}")

    @staticmethod
    def halves(rng: random.Random, number: int) -> list[bytes]:
        """What one client of a crowd sends, in parts."""
        kind = number % 3
        if kind == 0:       # writes slowly
            data = request(1, f"{rng.getrandbits(64):016x}", b"x" * 64)
            return [data[at:at + 8] for at in range(0, len(data), 8)]
        if kind == 1:       # stops half way through large requests
            return [b"".join(begin(each) + params(each, {"SCRIPT_NAME": "/ops/check"}) + record(
                STDIN, each, bytes(16 << 10)) for each in range(1, 33))]
        return [b"".join(begin(each) + record(PARAMS, each, b"\1\1ab" * 4_000) for each in range(1, 33))]

    def stop(self) -> None:
        for each in [self.coordinator, *self.workers]:
            each.stop()


class DaemonProgram:
    """The daemon with one front end."""

    name, front_ends = "daemon", 1
    memory_mb = 256
    has_client_ids, requests_of_leavers = False, 12

    def __init__(self, rig: Rig):
        self.rig = rig
        self.workers = [ScriptedWorker(f"w{n}", daemon_script(Work(rig))) for n in range(WORKERS)]

    def start(self, number: int) -> subprocess.Popen:
        roster, conf = Path(self.rig.folder, "workers"), Path(self.rig.folder, "threadshift.conf")
        roster.write_text("".join(f"worker {each.name} {each.address}\n" for each in self.workers))
        conf.write_text(GATEWAY_CONF.format(port=self.rig.ports[number], roster=roster))
        return subprocess.Popen(
            [sys.executable, "-m", "threadshift", "run", str(conf)], cwd=ROOT, stderr=self.rig.log(number),
            stdout=self.rig.log(number), stdin=subprocess.DEVNULL, preexec_fn=self.limit_memory)

    def limit_memory(self) -> None:
        """Sets the limit that the daemon finds for its own memory."""
        resource.setrlimit(resource.RLIMIT_DATA, (self.memory_mb << 20,) * 2)

    def front_end_pids(self, process: subprocess.Popen) -> list[int]:
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
        return [int(each) for each in children.split()]

    def connect(self, number: int) -> HttpConnection:
        return HttpConnection(self.rig, number)

    @staticmethod
    def whole_request(id_: str, type_: str, left_ms: int, function: int, number: int = 1) -> bytes:
        return http_request(f"{type_}-{function:x}", id_.encode(), str(left_ms))

    @staticmethod
    def halves(rng: random.Random, number: int) -> list[bytes]:
        kind = number % 3
        if kind == 0:
            data = http_request("check-slow", b"x" * 64, "2000")
            return [data[at:at + 8] for at in range(0, len(data), 8)]
        if kind == 1:
            return [http_request("check-half", bytes(900_000), "2000")[:-1]]
        return [b"POST /v1/functions/check-a/calls HTTP/1.1\r\n" + b"a: b\r\n" * 20_000]

    def stop(self) -> None:
        for each in self.workers:
            each.stop()


PROGRAMS = {each.name: each for each in (PlatformProgram, DaemonProgram)}


class PlatformConnection:
    """One connection of usual clients to a front end on the platform."""

    def __init__(self, rig: Rig, number: int):
        self.rig, self.front_end, self.is_closed = rig, number, False
        self.sock = socket.create_connection(("127.0.0.1", rig.ports[number]), 2)
        self.sock.settimeout(None)
        self.open: dict[int, UsualRequest] = {}
        self.numbers = iter(range(1, 65_000))
        rig.greenlets.spawn(self.read)

    @property
    def is_free(self) -> bool:
        return not self.is_closed and len(self.open) < 30

    def send(self, usual: UsualRequest, type_: str, left_ms: int, function: int) -> None:
        number = next(self.numbers)
        self.open[number] = usual
        self.sock.sendall(PlatformProgram.whole_request(usual.id, type_, left_ms, function, number))

    def read(self) -> None:
        records, status = Records(), {}
        with suppress(OSError):
            while data := self.sock.recv(65536):
                for kind, number, content in records.feed(data):
                    if kind == STDOUT and content:
                        status.setdefault(number, content[8:11].decode())
                    elif kind == END and (usual := self.open.pop(number, None)) is not None:
                        usual.status, usual.answered_at = status.pop(number, "?"), time.monotonic_ns()
        self.is_closed = True


class HttpConnection:
    """One connection of usual clients to the daemon, with one request at a time."""

    def __init__(self, rig: Rig, number: int):
        self.rig, self.front_end, self.is_closed = rig, number, False
        self.sock = socket.create_connection(("127.0.0.1", rig.ports[number]), 2)
        self.sock.settimeout(None)
        self.usual: UsualRequest | None = None
        rig.greenlets.spawn(self.read)

    @property
    def is_free(self) -> bool:
        return not self.is_closed and self.usual is None

    def send(self, usual: UsualRequest, type_: str, left_ms: int, function: int) -> None:
        self.usual = usual
        self.sock.sendall(DaemonProgram.whole_request(usual.id, type_, left_ms, function))

    def read(self) -> None:
        received = b""
        with suppress(OSError):
            while data := self.sock.recv(65536):
                received += data
                head, separator, body = received.partition(b"\r\n\r\n")
                lengths = [int(line[15:]) for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length:")]
                if separator and len(body) >= (lengths or [0])[0] and self.usual is not None:
                    self.usual.status, self.usual.answered_at = head[9:12].decode(), time.monotonic_ns()
                    self.usual, received = None, b""
        self.is_closed = True


class Rig:
    """One play: processes, workers, usual clients and one picture of misbehaving ones."""

    def __init__(self, program: str, picture: str, seed: int, folder: str, seconds: float):
        self.rng, self.folder, self.seconds, self.picture, self.seed = (
            random.Random(f"{program} {picture} {seed}"), folder, seconds, picture, seed)
        self.arrivals: dict[str, list[int]] = defaultdict(list)      # by id, at all workers
        self.runs: dict[str, list[int]] = defaultdict(list)          # the same without those that a worker refused
        self.left: dict[str, int] = {}                               # by id, when its client left
        self.once_only: set[str] = set()
        self.usual: list[UsualRequest] = []
        self.lag, self.greenlets = TimerLag(), Group()
        self.program = PROGRAMS[program](self)
        self.reserved = ReservedPorts()         # so that plays side by side never have one in common
        self.ports = self.reserved.reserve(self.program.front_ends)
        self.processes: list[subprocess.Popen] = []
        self.watches: list[MemoryWatch] = []
        self.sent_by_others = 0
        self.broken: dict[str, list[str]] = defaultdict(list)

    def log(self, number: int):
        return open(Path(self.folder, f"n{number}.log"), "ab")      # noqa: SIM115  ends with the process

    def address(self) -> tuple[str, int]:
        """The front end at which the picture is played."""
        return "127.0.0.1", self.ports[-1]

    # Usual clients.

    def until_ready(self, number: int) -> None:
        """Waits until a request is served."""
        with gevent.Timeout(20):
            while True:
                with suppress(OSError):
                    connection = self.program.connect(number)
                    probe = UsualRequest(f"{self.rng.getrandbits(64):016x}", number, 0, 0)
                    connection.send(probe, "check", 2000, 0)
                    for _ in range(200):
                        if probe.status or connection.is_closed:
                            break
                        gevent.sleep(0.01)
                    connection.sock.close()
                    if probe.status == "200":
                        return
                gevent.sleep(0.05)

    def send_usual(self, number: int) -> None:
        """Sends usual requests, some of which follow each other closely on one connection."""
        rng, connections = self.rng, []
        wanted = USUAL_CONNECTIONS if self.program.name == "platform" else 10 * USUAL_CONNECTIONS
        while True:
            gevent.sleep(rng.expovariate(USUAL_RATE / 2))
            for _ in range(rng.choice((1, 1, 2, 4))):
                connections = [each for each in connections if not each.is_closed]
                free = [each for each in connections if each.is_free]
                with suppress(OSError):
                    if len(connections) < wanted or not free:
                        connections.append(self.program.connect(number))
                        free = connections[-1:]
                    self.send_one(rng.choice(free))
                gevent.sleep(rng.choice(GROUP_GAPS_S))

    def send_one(self, connection) -> None:
        left_ms, type_ = self.rng.choice(USUAL_DEADLINES_MS), self.rng.choice(("check", "check", "submit"))
        usual = UsualRequest(f"{self.rng.getrandbits(64):016x}", connection.front_end, 0, 0)
        connection.send(usual, type_, left_ms, self.rng.randrange(USUAL_FUNCTIONS))
        usual.sent_at = time.monotonic_ns()
        usual.due = usual.sent_at + left_ms * MS
        self.usual.append(usual)
        if type_ == "submit":
            self.once_only.add(usual.id)

    # Pictures.

    def abuse(self) -> None:
        """Lets clients of a process of their own send as fast as they can."""
        path = Path(self.folder, "withdrawn")
        connections, delay_ms = ABUSERS[self.seed % len(ABUSERS)]
        done = subprocess.run(
            [sys.executable, "-m", "tests.abusive_clients", self.program.name, self.picture,
             *map(str, self.address()), str(self.seconds), str(connections), str(delay_ms), str(self.seed),
             str(path)], cwd=ROOT, stdout=subprocess.PIPE)
        self.sent_by_others += int(done.stdout)
        for line in path.read_bytes().splitlines():
            id_, when = line.split()
            self.left[id_.decode()] = int(when)

    def crowd(self) -> None:
        """Lets hundreds of clients write slowly, stop half way, or send heads of very many fields."""
        until = time.monotonic() + self.seconds

        def run(number: int) -> None:
            while time.monotonic() < until:
                with suppress(OSError), socket.create_connection(self.address(), 1) as sock:
                    self.sent_by_others += 1
                    sock.settimeout(1)
                    for part in self.program.halves(self.rng, number):
                        sock.sendall(part)
                        gevent.sleep(0.05)
                    gevent.sleep(self.rng.random())
        gevent.joinall([self.greenlets.spawn(run, number) for number in range(CROWD)])

    def leavers(self) -> None:
        """Lets clients send many requests at once and close, and send the same ids again on a new connection."""
        until = time.monotonic() + self.seconds

        def run() -> None:
            while time.monotonic() < until:
                ids = [f"{self.rng.getrandbits(64):016x}" for _ in range(self.program.requests_of_leavers)]
                if self.program.has_client_ids:
                    self.once_only.update(ids)
                for _ in range(2 if self.program.has_client_ids else 1):
                    with suppress(OSError):
                        self.send_and_leave(ids)
                    gevent.sleep(self.rng.choice((0, 0.02, 0.2, 0.6)))
                if self.program.has_client_ids:
                    for id_ in ids:
                        self.left.pop(id_, None)    # they are checked by what ran twice
        gevent.joinall([self.greenlets.spawn(run) for _ in range(8)])

    def send_and_leave(self, ids: list[str]) -> None:
        sock = socket.create_connection(self.address(), 1)
        data = [self.program.whole_request(id_, "submit", 2000, self.rng.randrange(USUAL_FUNCTIONS), number)
                for number, id_ in enumerate(ids, start=1)]
        sock.sendall(b"".join(data))
        self.sent_by_others += len(ids)
        gevent.sleep(self.rng.choice((0, 0, 0.005, 0.05)))
        if self.program.name == "platform" and self.rng.random() < 0.3:
            sock.sendall(b"".join(record(ABORT, number) for number in range(1, len(ids) + 1)))
        sock.close()
        now = time.monotonic_ns()
        for id_ in ids:
            self.left.setdefault(id_, now)

    # Running and checking.

    def run(self) -> None:
        self.processes = [self.program.start(number) for number in range(self.program.front_ends)]
        try:
            for number in range(self.program.front_ends):
                self.until_ready(number)
            self.watches = [MemoryWatch(pid) for each in self.processes for pid in self.program.front_end_pids(each)]
            for number in range(self.program.front_ends):
                self.greenlets.spawn(self.send_usual, number)
            gevent.sleep(WARMUP_S)
            {"halves": self.crowd, "leavers": self.leavers}.get(self.picture, self.abuse)()
            gevent.sleep((max(USUAL_DEADLINES_MS) * MS + ANSWER_TOLERANCE) / SECOND + 0.2)
            self.check()
        finally:
            self.close()

    def check(self) -> None:
        now = time.monotonic_ns()
        for each in self.usual:
            late = (each.answered_at or now) - each.due - ANSWER_TOLERANCE - self.lag.around(each.due)
            if late > 0:
                self.broken["late"].append(f"{each.id} at {each.front_end}: {each.status or 'none'} "
                                           f"{(late + ANSWER_TOLERANCE) / MS:.0f} ms late")
        for id_, left_at in self.left.items():
            for arrived_at in self.arrivals.get(id_, ()):
                late = arrived_at - left_at - LEAVING_TOLERANCE - self.lag.around(arrived_at)
                if late > 0:
                    self.broken["sent after its client left"].append(
                        f"{id_}: {(late + LEAVING_TOLERANCE) / MS:.0f} ms after")
        for id_ in self.once_only:
            if len(self.runs.get(id_, ())) > 1:
                at = self.runs[id_]
                self.broken["ran twice"].append(f"{id_}: {(at[1] - at[0]) / MS:.0f} ms apart")
        if self.peak_mb > self.program.memory_mb:
            self.broken["memory"].append(f"{self.peak_mb:.0f} MB")
        if any(each.poll() is not None for each in self.processes):
            self.broken["crash"].append("a process has ended")

    @property
    def peak_mb(self) -> float:
        return max(each.peak_mb for each in self.watches)

    def close(self) -> None:
        for watch in self.watches:
            watch.stop()
        for each in self.processes:
            each.send_signal(signal.SIGTERM)
        for each in self.processes:
            with suppress(subprocess.TimeoutExpired):
                each.wait(15)
            if each.poll() is None:
                each.kill()
                each.wait()
        self.greenlets.kill()
        self.lag.greenlet.kill()
        self.program.stop()
        self.reserved.release()

    def summary(self) -> str:
        """One line on the play."""
        flooded = [each for each in self.usual if each.front_end == self.program.front_ends - 1]
        times = sorted((each.answered_at - each.sent_at) / MS for each in flooded if each.answered_at) or [0.0]
        latest = max(((each.answered_at - each.due) / MS for each in self.usual if each.answered_at), default=0.0)
        served = sum(each.status == "200" for each in flooded) / max(1, len(flooded))
        counts = {what: len(some) for what, some in self.broken.items()}
        worst = max((late for _, late in self.lag.delays), default=0)
        return (f"seed {self.seed}: {f'BROKEN {counts}' if counts else 'kept'}; {self.program.name}, {self.picture}: "
                f"{self.sent_by_others} sent, {len(self.usual)} usual, at the front end {served:.2f} served, "
                f"median {times[len(times) // 2]:.0f} ms, p99 {times[int(len(times) * 0.99)]:.0f} ms, latest "
                f"{latest:.0f} ms after its time, peak {self.peak_mb:.0f} MB, own lag {worst / MS:.0f} ms")


def play(program: str, picture: str, seed: int, seconds: float = DEFAULT_SECONDS, keep: str = "") -> Rig:
    """Plays one seed; `keep` names a folder for the logs."""
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(program, picture, seed, keep or folder, seconds)
        rig.run()
    return rig


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays pictures of misbehaving clients and says what broke.")
    parser.add_argument("program", choices=sorted(PROGRAMS))
    parser.add_argument("picture", choices=(*PICTURES, "all"))
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--logs", default="", help="folder for the logs; for one seed")
    arguments = parser.parse_args()
    broken = False
    for picture in PICTURES if arguments.picture == "all" else (arguments.picture,):
        for seed in range(arguments.first, arguments.first + arguments.count):
            rig = play(arguments.program, picture, seed, arguments.seconds, arguments.logs)
            broken = broken or bool(rig.broken)
            print(rig.summary(), flush=True)
            for what, some in rig.broken.items():
                for each in some[:4]:
                    print(f"    {what}: {each}", flush=True)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
