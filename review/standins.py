"""Stand-ins for the platform: clients, workers and a coordinator, and the start of front ends. Standard library only.

Written from the protocol page. Everything runs in one process on one event loop, on loopback addresses and the real
clock. What crosses the sockets is written to `record.txt` in the folder of the case, one line an event:
seconds since the start of the case, who, what, and the facts of it.
"""
from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 110.0          # a case may run for 120 s
LATE_S = 0.55                   # a final answer may come half a second after its time, and 50 ms for sockets
MAX_LAG_S = 0.25                # of the stand-ins' own event loop
READY_TIMEOUT_S = 30.0          # in which a front end has to be ready

INVOKE, CANCEL, ALIVE, PROBE, LOAD, UNLOAD = 10, 11, 12, 13, 14, 16
OK, MISS, FULL, ERROR, OVER, HEALTHY = 100, 102, 103, 104, 105, 106
FRAME = struct.Struct(">BBHI8s")
FCGI = struct.Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6

# The settings of a small deployment, by the figures of the first brief: one hall, and loads that are rationed.
SETTINGS: dict[str, Any] = {
    "peersTotal": 1, "tick": 4.0, "zone": "hall-a", "orgs": [],
    "lanes": [
        {"name": "qty-check", "aim": 600.0, "giveUp": 2500.0, "effect": "safe", "worth": 1.0, "lateValue": 0.3},
        {"name": "nom-submit", "aim": 500.0, "giveUp": 2000.0, "effect": "unsafe", "worth": 2.0, "lateValue": 0.3}],
    "limits": {"maxAttempts": 4, "cancel": True, "mayDuplicate": False, "probes": True, "retryAfter": True,
               "maxRetryAfter": 1000.0, "streamsPerConn": 32, "connectTimeout": 250.0, "connIdle": 30000.0},
    "familyInfo": {"placementCalls": True, "loadFree": 6.0, "loadRatio": 0.2, "loadWindow": 5000.0,
                   "loadWait": 10000.0, "notLoaded": "load", "staysLoaded": 9500.0},
    "rules": {"drainGrace": 1000.0, "coldShare": 0.2, "cold": 17000.0, "fallMultiple": 2.0, "overloadFor": 1000.0}}


def settings(**changes: Any) -> dict[str, Any]:
    """The settings with these top-level parts changed."""
    return json.loads(json.dumps(SETTINGS)) | changes


class CannotRun(Exception):
    """The case could not be carried out, which says nothing of the rule."""


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, who: str, what: str, **facts: Any) -> float:
        """Writes one line; returns its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        if not self.file.closed:        # the last tasks end behind the case
            self.file.write(f"{now:9.4f} {who:<14} {what:<16} {text}\n")
        return now


def encode_frame(code: int, id_: bytes, fields: str = "", body: bytes = b"") -> bytes:
    """One frame of a worker."""
    payload = fields.encode("ascii") + body
    return FRAME.pack(2, code, len(fields), len(body), id_) + payload + struct.pack(">I", zlib.crc32(payload))


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, bytes, dict[str, str], bytes]:
    """The next frame of a front end: code, id, fields and body."""
    mark, code, fields, body, id_ = FRAME.unpack(await reader.readexactly(FRAME.size))
    payload = await reader.readexactly(fields + body + 4)
    if mark != 1 or zlib.crc32(payload[:-4]) != struct.unpack(">I", payload[-4:])[0]:
        raise ConnectionError("not a frame of a front end")
    text = payload[:fields].decode("ascii")
    return code, id_, dict(part.split("=", 1) for part in text.split(",")) if text else {}, payload[fields:-4]


class Server:
    """A listening stand-in on a free loopback port."""

    def __init__(self, record: Record, name: str):
        self.record, self.name = record, name
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass                    # by stop(); a server's task that ends as cancelled is reported as a fault
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_all(self) -> None:
        """Resets the open connections."""
        for writer in list(self.writers):
            reset(writer)

    async def stop(self) -> None:
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Run:
    """One run of a request by a worker."""

    def __init__(self, id_: str, worker: str, class_: str, began: float):
        self.id, self.worker, self.class_, self.began = id_, worker, class_, began
        self.ended: float | None = None


class Worker(Server):
    """A sound worker: has every function loaded, runs each request for `work` seconds, and answers."""

    def __init__(self, record: Record, name: str, work: float = 0.04, stops_when_cancelled: bool = False):
        super().__init__(record, name)
        self.work, self.stops_when_cancelled = work, stops_when_cancelled
        self.runs: list[Run] = []
        self.orders: list[tuple[float, str]] = []      # to load: when, function
        self.hangs = False          # takes requests and answers none
        self.knows: Callable[[str], bool] = lambda key: True

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_: dict[bytes, asyncio.Task] = {}
        while True:
            code, id_, fields, body = await read_frame(reader)
            if code == INVOKE:
                began = self.record.note(self.name, "run", id=id_.hex(), cls=fields["class"], key=fields["key"],
                                         wait=fields["wait"])
                run = Run(id_.hex(), self.name, fields["class"], began)
                self.runs.append(run)
                if not self.hangs:
                    task = asyncio.create_task(self.execute(writer, id_, run, fields, body))
                    open_[id_] = task
                    task.add_done_callback(lambda _, id_=id_: open_.pop(id_, None))
            elif code == CANCEL:
                self.record.note(self.name, "cancel-heard", id=id_.hex())
                if self.stops_when_cancelled and id_ in open_:
                    open_.pop(id_).cancel()
            elif code in (ALIVE, PROBE) and not self.hangs:
                writer.write(encode_frame(HEALTHY, id_, "stats=util:0.1;inflight:1" if code == PROBE else ""))
            elif code == LOAD:
                if fields["n"] != "0":
                    self.orders.append((self.record.note(self.name, "load-order", key=fields["key"]), fields["key"]))
                if not self.hangs:
                    writer.write(encode_frame(OK, id_, "n=1"))

    async def execute(self, writer: asyncio.StreamWriter, id_: bytes, run: Run, fields: dict[str, str],
                      body: bytes) -> None:
        await asyncio.sleep(self.work)
        known = self.knows(fields["key"])
        run.ended = self.record.note(self.name, "ran" if known else "error", id=run.id)
        if not writer.is_closing():
            writer.write(encode_frame(OK, id_, "how=reused", b"did " + body) if known
                         else encode_frame(ERROR, id_))


class Coordinator(Server):
    """A sound coordinator: tells each front end the events that it misses, and a comment every second."""

    def __init__(self, record: Record, name: str = "coordinator"):
        super().__init__(record, name)
        self.events: list[dict[str, Any]] = []
        self.generation = 0
        self.published_at: dict[int, float] = {}
        self.published = asyncio.Condition()
        self.answers_after = 0.0       # seconds from a call to its answer
        self.is_silent = False         # open streams get nothing, not even comments

    def add(self, *instances: dict[str, Any], full: bool = False) -> int:
        """Adds an event; returns its number."""
        self.generation += 1
        index = len(self.events) + 1
        self.events.append({"index": index, "endpoints": {
            "generation": self.generation, "reset": full, "instances": list(instances)}})
        self.published_at[index] = self.record.note(
            self.name, "event", index=index,
            tells=",".join(f"{each['instanceId']}:{each['lifecycle']}" for each in instances))
        return index

    @property
    def known(self) -> dict[str, Any]:
        """What the configuration of a front end that starts now holds."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        last = next(int(line.split(":")[1]) for line in head.split("\r\n")
                    if line.lower().startswith("last-event-id"))
        self.record.note(self.name, "asked", last=last)
        left = asyncio.create_task(ended(reader))
        await asyncio.wait([left], timeout=self.answers_after)
        if left.done():
            self.record.note(self.name, "asker-left", last=last)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.record.note(self.name, "answers", last=last)
        comment_at = time.monotonic()
        while not left.done():
            if not self.is_silent:
                for event in self.events[last:]:
                    writer.write(f"id: {event['index']}\ndata: {json.dumps(event)}\n\n".encode())
                    last = event["index"]
                    self.record.note(self.name, "told", index=last)
                if time.monotonic() >= comment_at:
                    writer.write(b": alive\n\n")
                    comment_at += 1.0
            await asyncio.sleep(0.01)


async def ended(reader: asyncio.StreamReader) -> None:
    """Returns at the end of a connection on which nothing more is expected."""
    with suppress(OSError):
        await reader.read(1)


def instance(worker: Worker, state: str = "Ready", **facts: Any) -> dict[str, Any]:
    """A worker as the coordinator lists it."""
    return {"instanceId": worker.name, "hostPort": worker.address, "zone": "hall-a", "cell": 0, "lifecycle": state,
            "weight": 1.0, "startedAtMs": 0} | facts


def free_address() -> str:
    """A loopback address with a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        address = "127.0.0.1", random.randrange(16_384, 32_768)
        with socket.socket() as sock, suppress(OSError):
            sock.bind(address)
            return f"{address[0]}:{address[1]}"


class FrontEnd:
    """One front end, started with the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, coordinator: Coordinator, settings_: dict[str, Any],
                 memory_mb: int = 96, sockets: int = 256):
        self.record, self.folder, self.name, self.coordinator = record, folder, name, coordinator
        self.settings, self.limits = settings_, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.address = free_address()
        self.process: subprocess.Popen | None = None
        self.log = None
        self.starts = 0

    def write_config(self, coordinator: Coordinator | None = None) -> Path:
        """Replaces the configuration file by one as of now."""
        coordinator = coordinator or self.coordinator
        path, part = self.folder / f"{self.name}.json", self.folder / f"{self.name}.part"
        part.write_text(json.dumps({
            "name": self.name, "listen": self.address, "seed": f"{0x8c1f30d27a5be964 + self.starts:x}",
            "limits": self.limits, "coordinator": coordinator.address, "known": coordinator.known,
            "settings": self.settings}))
        part.replace(path)
        return path

    def start(self) -> None:
        self.starts += 1
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.folder / f"{self.name}-{self.starts}"
        private.mkdir()
        self.log = (self.folder / f"{self.name}-{self.starts}.log").open("wb")
        environment = os.environ | {"NODE_NAME": self.name, "NODE_LISTEN": self.address, "TMPDIR": str(private),
                                    "NODE_CONFIG": str(self.write_config())}
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.note(self.name, "started", pid=self.process.pid)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        if not self.has_ended:
            self.record.note(self.name, number.name)
            os.kill(self.pid, number)

    async def until_ready(self) -> None:
        """Waits until /alive is answered with 200, as the platform does."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.has_ended:
                raise CannotRun(f"{self.name} ended with {self.process.returncode} before it was ready")
            try:
                client = await Client.connect(self.record, "front", self.address)
                answer = await client.call({"SCRIPT_NAME": "/alive"}, b"", 1.0, note=False)
                client.close()
                if answer is not None and answer.status == 200:
                    self.record.note(self.name, "ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready within {READY_TIMEOUT_S:g} s")

    def status(self, field: str) -> int:
        """A figure of the process in kB, by its name in /proc/PID/status."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        raise CannotRun(f"/proc has no {field}")

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.pid, signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        if self.log is not None:
            self.log.close()


class Answer:
    """The answer to one request."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status, self.headers, self.body = status, headers, body

    @property
    def kind(self) -> str:
        return "served" if self.status == 200 else "refused" if self.status in (429, 503) else "failed"


def encode_pairs(pairs: dict[str, str]) -> bytes:
    """Name-value pairs of FastCGI."""
    found = b""
    for name, value in pairs.items():
        for text in (name, value):
            found += bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 0x80000000)
        found += name.encode() + value.encode("latin-1")
    return found


def record_of(kind: int, number: int, content: bytes = b"") -> bytes:
    return FCGI.pack(1, kind, number, len(content), 0) + content


def encode_request(number: int, parameters: dict[str, str], body: bytes) -> bytes:
    """All records of one request, with KEEP_CONN."""
    return (record_of(BEGIN, number, struct.pack(">HB5x", 1, 1)) + record_of(PARAMS, number, encode_pairs(parameters))
            + record_of(PARAMS, number) + (record_of(STDIN, number, body) if body else b"")
            + record_of(STDIN, number))


def parameters_of(id_: str, class_: str, key: str, allow_ms: float, **more: str) -> dict[str, str]:
    """The parameters of a usual request."""
    return {"SCRIPT_NAME": f"/ops/{class_}", "HTTP_X_JOB_ID": id_, "HTTP_X_ALLOW_MS": f"{allow_ms:g}",
            "HTTP_X_ITEM": key, "HTTP_X_SIZE_MS": "40", "HTTP_X_SPEC": "memory_mb:512;lanes:2"} | more


class Client:
    """A connection of a web server to a front end, with up to 32 requests open."""

    def __init__(self, record: Record, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.record, self.name, self.reader, self.writer = record, name, reader, writer
        self.open: dict[int, tuple[asyncio.Future, bytearray]] = {}
        self.withdrawn: set[int] = set()     # numbers that are not used again here: an answer may cross their end
        self.has_ended = False
        self.task = asyncio.create_task(self.read())

    @classmethod
    async def connect(cls, record: Record, name: str, address: str) -> Client:
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(record, name, reader, writer)

    async def read(self) -> None:
        try:
            while True:
                _, kind, number, length, padding = FCGI.unpack(await self.reader.readexactly(8))
                content = (await self.reader.readexactly(length + padding))[:length]
                if number not in self.open:
                    continue
                future, received = self.open[number]
                if kind == STDOUT:
                    received += content
                elif kind == END:
                    del self.open[number]
                    if not future.done():
                        future.set_result(self.parse(bytes(received), content[4]))
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        self.has_ended = True
        for future, _ in self.open.values():
            if not future.done():
                future.set_result(None)
        self.open.clear()

    @staticmethod
    def parse(content: bytes, protocol_status: int) -> Answer:
        if protocol_status:
            return Answer(503 if protocol_status == 2 else 500, {}, b"")
        head, _, body = content.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode("latin-1").split("\r\n"))
        return Answer(int(headers["Status"].split()[0]), headers, body)

    async def call(self, parameters: dict[str, str], body: bytes, allow_s: float, note: bool = True) -> Answer | None:
        """Sends a request. The answer; None where the connection ended or nothing came in time."""
        number = next(each for each in range(1, 1 << 16) if each not in self.open and each not in self.withdrawn)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.open[number] = future, bytearray()
        id_ = parameters.get("HTTP_X_JOB_ID", "-")
        self.writer.write(encode_request(number, parameters, body))
        if note:
            self.record.note(self.name, "asked", id=id_, path=parameters.get("SCRIPT_NAME"),
                             allow=parameters.get("HTTP_X_ALLOW_MS"))
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), allow_s)
        except TimeoutError:
            if number in self.open:
                del self.open[number]
                self.withdrawn.add(number)
                self.writer.write(record_of(ABORT, number))
            if note:
                self.record.note(self.name, "gave-up", id=id_)
            return None
        if note:
            self.record.note(self.name, "answered" if answer else "connection-ended", id=id_,
                             **({"status": answer.status, "kind": answer.kind, "body": answer.body[:40]}
                                if answer else {}))
        return answer

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


class Traffic:
    """Usual clients of one front end: requests at an even pace, over some connections, and what became of them."""

    def __init__(self, case: Case, front_end: FrontEnd, per_second: float, seed: int = 1, connections: int = 3,
                 functions: int = 24, allow_ms: float = 1500.0):
        self.case, self.front_end, self.pause = case, front_end, 1 / per_second
        self.random, self.connections, self.functions, self.allow_ms = (
            random.Random(seed), connections, functions, allow_ms)
        self.clients: list[Client] = []
        self.kinds: dict[str, int] = {}
        self.lost: list[str] = []        # ids of requests without a final answer half a second after their time
        self.calls: set[asyncio.Task] = set()

    async def run(self) -> None:
        while True:
            call = asyncio.create_task(self.ask())
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.pause)

    async def ask(self) -> None:
        id_, once = f"{self.random.getrandbits(64):016x}", self.random.random() < 0.24
        key = f"{self.random.randrange(self.functions) + (1 << 60) + (once << 56):016x}"
        self.clients = [each for each in self.clients if not each.has_ended]
        client = min(self.clients, key=lambda each: len(each.open), default=None)
        if client is None or len(self.clients) < self.connections:
            client = await Client.connect(self.case.record, "client", self.front_end.address)
            self.clients.append(client)
        answer = await client.call(parameters_of(id_, "nom-submit" if once else "qty-check", key, self.allow_ms),
                                   b"x" * 200, self.allow_ms / 1000 + LATE_S)
        kind = answer.kind if answer else "lost"
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if answer is None:
            self.lost.append(id_)

    async def settle(self) -> None:
        """Waits for what is still open."""
        if self.calls:
            await asyncio.wait(self.calls)


class Lag:
    """How late the event loop of the stand-ins themselves was: a case that ran late says nothing."""

    def __init__(self) -> None:
        self.most = 0.0

    async def run(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.most = max(self.most, time.monotonic() - before - 0.02)


class Case:
    """What a case has started, and ends with it."""

    def __init__(self, folder: Path):
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.front_ends: list[FrontEnd] = []
        self.servers: list[Server] = []
        self.tasks: list[asyncio.Task] = []
        self.lag = Lag()

    async def worker(self, name: str, **facts: Any) -> Worker:
        worker = Worker(self.record, name, **facts)
        await worker.start()
        self.servers.append(worker)
        return worker

    async def coordinator(self, name: str = "coordinator") -> Coordinator:
        coordinator = Coordinator(self.record, name)
        await coordinator.start()
        self.servers.append(coordinator)
        return coordinator

    def front_end(self, name: str, coordinator: Coordinator, settings_: dict[str, Any], **limits: int) -> FrontEnd:
        front_end = FrontEnd(self.record, self.folder, name, coordinator, settings_, **limits)
        self.front_ends.append(front_end)
        return front_end

    def spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for front_end in self.front_ends:
            front_end.end()
        for server in self.servers:
            await server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(file: str, story: Callable[[Case], Awaitable[str]]) -> None:
    """Plays a case and ends the process: 1 where the story returns how the rule was broken, 0 where it held."""
    async def run() -> int:
        case, task = Case(Path(file).resolve().parent), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        verdict, exit_ = "COULD NOT RUN: ended by a signal", COULD_NOT_RUN
        try:
            case.spawn(case.lag.run())
            broken = await asyncio.wait_for(story(case), CASE_TIMEOUT_S)
            if case.lag.most > MAX_LAG_S:
                raise CannotRun(f"the stand-ins themselves were {case.lag.most:.3f} s late")
            verdict, exit_ = (f"BROKEN: {broken}", BROKEN) if broken else ("HELD", HELD)
        except (CannotRun, TimeoutError, OSError) as problem:
            verdict = f"COULD NOT RUN: {problem!r}"
        except asyncio.CancelledError:
            pass                    # by one of these signals
        finally:
            await case.end()
        case.record.note("case", "verdict", trouble=int(case.has_trouble), is_=verdict)
        case.record.file.close()
        print(verdict)
        return exit_
    sys.exit(asyncio.run(run()))
