"""One worker's connection: dialling, hello, many calls at once, keepalive, and what a break proves.

A Link owns two greenlets, ended by stop(): one dials and reads, one writes. What comes in becomes a call on the
handle it belongs to; nothing here decides what follows from it.
"""
from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from threadshift.conf.installation import Bounds
from threadshift.conf.values import Address
from threadshift.interface import SECOND, Copy, Outcome, Report
from threadshift.links.codec import VERSION, Frame, FrameDecoder, ProtocolError, encode, pack
from threadshift.links.outbox import Outbox
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ, connect, time_since_poll, write_out

PORTION = 16 << 10         # bytes of answers heard before others have their turn: some hundred
SILENT = 3                 # keepalives without a frame from the worker until the link counts as broken
COPIES = {copy.value: copy for copy in Copy}
HELD = {"stands": Outcome.COMPLETED, "full": Outcome.FULL, "error": Outcome.ERROR}


class LinkOwner(Protocol):
    """What a link tells of a worker, beside answers: it is up with this hello, it said that it drains.
    catch_up_after_stall() is called before answers are heard: it may wait a moment."""

    def catch_up_after_stall(self) -> None: ...
    def hello(self, worker: str, hello: Frame) -> str: ...
    def draining(self, worker: str) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


def report(told: Any) -> Report | None:
    """A load report off the wire; what is no number is taken as not told."""
    if not isinstance(told, dict):
        return None
    values = (told.get(name) for name in Report._fields)
    return Report(*(float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None
                    for value in values))


class LinkExtension(Protocol):
    """What more is told to a worker with a hello or a ping, and heard with its answer."""

    def extra_fields(self, worker: str) -> dict[str, Any]: ...
    def on_frame(self, worker: str, frame: Frame) -> None: ...


def invoke_fields(pending: Any, left: int) -> dict[str, Any]:
    """What an invoke frame says of a call with so many ns left."""
    call = pending.call
    fields = {"function": call.function, "type": call.type, "effect": pending.activation.type_stats.effect.value,
              "left": left,
              "body": call.body, "lanes": call.lanes, "activation": pending.id}
    if call.mark:
        fields["mark"] = call.mark
    if call.work:
        fields["work"] = call.work
    return fields


class Link:
    """The connection to one worker. Keys are ids of frames; `waiting` has what each id's answer goes to."""

    def __init__(self, worker: str, address: Address, bounds: Bounds, front_end: str, zone: str, owner: LinkOwner,
                 chance: Callable[[], float], extension: LinkExtension | None = None):
        self.extension = extension
        self.worker, self.address, self.bounds, self.owner = worker, address, bounds, owner
        self.front_end, self.zone = front_end, zone
        self.outbox = Outbox(bounds.worker_buffer)
        self.backoff = ReconnectBackoff(chance)
        self.not_before = 0
        self.sock: socket.socket | None = None
        self.up = False
        self.waiting: dict[int, Any] = {}       # (pending, number) of an invoke, or an Asked
        self.ids: dict[tuple, int] = {}         # the way back for cancels
        self.number = count(1).__next__
        self.heard = 0
        self.started = 0                        # of the worker's life that said hello last, its own clock
        self.wake = Event()
        self.stopped = False
        self.greenlet = gevent.spawn(self.run)

    # What the engine's port asks for.

    def invoke(self, pending: Any, number: int, left: int) -> Outcome | None:
        return self.put((pending, number), "invoke", invoke_fields(pending, left))

    def order_load(self, asked: Any) -> Outcome | None:
        return self.put(asked, "hold", {"function": asked.function, "copies": 1})

    def probe(self, asked: Any) -> Outcome | None:
        return self.put(asked, "ask", {})

    def put(self, what: Any, kind: str, fields: dict[str, Any]) -> Outcome | None:
        """Queues a frame, or says that the worker is not to be reached: nothing of it will be written then."""
        if self.stopped or not self.up and time.monotonic_ns() < self.not_before:
            return Outcome.UNREACHABLE
        id_ = self.number()
        if not self.outbox.put(id_, pack({"kind": kind, "id": id_, **fields})):
            # A worker that does not read: what fits no more never left, and tells as much as a refused connection.
            return Outcome.UNREACHABLE
        self.waiting[id_] = what
        self.ids[self.key(what)] = id_
        self.wake.set()
        return None

    def cancel(self, pending: Any, number: int, notify_worker: bool) -> Outcome:
        """Stops waiting for a send. MOOT where it never left."""
        if self.withdraw(pending, number):
            return Outcome.NEVER_SENT
        id_ = self.ids.pop((pending.id, number), None)
        if id_ is None:
            return Outcome.CANCELLED
        self.waiting.pop(id_, None)
        self.outbox.first_written_at.pop(id_, None)
        if notify_worker and self.up and self.outbox.put(None, encode("cancel", id=id_)):
            self.wake.set()
        return Outcome.CANCELLED

    def withdraw(self, pending: Any, number: int) -> bool:
        """Takes back a send of which nothing has left; False where that is too late."""
        id_ = self.ids.get((pending.id, number))
        if id_ is None or not self.outbox.withdraw(id_):
            return False
        del self.ids[pending.id, number]
        self.waiting.pop(id_, None)
        return True

    def extra_fields(self) -> dict[str, Any]:
        return self.extension.extra_fields(self.worker) if self.extension is not None else {}

    def send_ping(self) -> None:
        """A ping, with what more there is to tell."""
        if self.up and self.outbox.put(None, encode("ping", **self.extra_fields())):
            self.wake.set()

    def take_back(self) -> None:
        """Ends all that waits here and of which nothing is written: it never ran. Called when nothing more may go to
        this worker, so that what a full socket held up does not leave once the grace is over."""
        now = time.monotonic_ns()
        for id_, what in list(self.waiting.items()):
            if self.outbox.withdraw(id_):
                self.waiting.pop(id_, None)
                self.ids.pop(self.key(what), None)
                self.end(what, now, Outcome.UNREACHABLE)

    @property
    def busy(self) -> bool:
        """Whether something waits for this worker's answer."""
        return bool(self.waiting)

    @staticmethod
    def end(what: Any, now: int, outcome: Outcome) -> None:
        if isinstance(what, tuple):
            what[0].on_send_ended(now, what[1], outcome)
        else:
            what.on_answered(now, outcome)

    @staticmethod
    def key(what: Any) -> tuple:
        return (what[0].id, what[1]) if isinstance(what, tuple) else (id(what),)

    # The connection.

    def run(self) -> None:
        while not self.stopped:
            gevent.sleep(max(0, self.not_before - time.monotonic_ns()) / SECOND)
            writer = None
            problem = "closed by the worker"
            try:
                self.sock = connect(self.address, self.bounds.connect)
                frames = FrameDecoder(self.bounds.frame)
                self.greet(frames)
                writer = gevent.spawn(self.write)
                self.read(frames)
                if frames.has_partial_frame:
                    problem = "closed by the worker inside a frame"
            except (OSError, ProtocolError) as failed:
                problem = str(failed) or type(failed).__name__
                if isinstance(failed, ProtocolError):
                    self.refuse(problem)
            finally:
                self.up = False
                if writer is not None:
                    writer.kill()
                if self.sock is not None:
                    self.sock.close()
                    self.sock = None
            if self.waiting:
                self.owner.catch_up_after_stall()
            if not self.stopped:
                self.broke(problem)

    def greet(self, frames: FrameDecoder) -> None:
        """Hellos both ways; the worker's name must be the one the roster has for this address."""
        assert self.sock is not None
        self.sock.sendall(encode("hello", version=VERSION, name=self.front_end, zone=self.zone,
                                 **self.extra_fields()))
        first: list[Frame] = []
        until = time.monotonic_ns() + self.bounds.connect
        while not first:
            self.sock.settimeout(max(1, until - time.monotonic_ns()) / SECOND)
            try:
                data = self.sock.recv(READ)
            except TimeoutError:
                raise OSError("no hello in time") from None
            if not data:
                raise OSError("closed before its hello")
            first = frames.feed(data)
        hello = first.pop(0)
        if hello["kind"] != "hello":
            raise ProtocolError(f"'{hello['kind']}' came before hello")
        if hello["version"] != VERSION:
            raise ProtocolError(f"version {hello['version']} is not spoken here, version {VERSION} is")
        problem = self.owner.hello(self.worker, hello)
        if problem:
            raise ProtocolError(problem)
        if self.extension is not None:
            self.extension.on_frame(self.worker, hello)
        started = hello.get("started", 0)
        if hello.get("draining") or self.started and started > self.started:
            # What waited for the link was meant for the life before, warm as it was; this one is cold, or drains.
            self.take_back()
        self.started = started or self.started
        self.heard = time.monotonic_ns()
        self.up = True
        self.backoff.on_connected(self.heard)
        for frame in first:
            self.hear(frame)

    def read(self, frames: FrameDecoder) -> None:
        assert self.sock is not None
        while True:
            self.sock.settimeout(self.bounds.keepalive / SECOND)
            try:
                data = self.sock.recv(PORTION)
            except TimeoutError:
                # Nothing heard: ask whether it lives. Half-open connections show only this way.
                if time.monotonic_ns() - self.heard > SILENT * self.bounds.keepalive:
                    raise OSError("silent past its keepalives") from None
                self.send_ping()
                continue
            if not data:
                return
            self.heard = time.monotonic_ns()
            came = frames.feed(data)
            for frame in came:
                if frame["kind"] == "draining":
                    self.hear(frame)        # before what answers bring, also where it was said after them
            self.owner.catch_up_after_stall()
            for frame in came:
                if frame["kind"] != "draining":
                    self.hear(frame)

    def refresh(self) -> None:
        """Calls that waited, for the link or its socket, say how much time is left now, not when they were queued."""
        now = time.monotonic_ns()
        for id_ in self.outbox.unwritten:
            what = self.waiting.get(id_)
            if isinstance(what, tuple):
                fields = invoke_fields(what[0], what[0].time_left(now))
                self.outbox.replace(id_, pack({"kind": "invoke", "id": id_, **fields}))

    def write(self) -> None:
        """Writes what waits. A worker that takes no byte for the write limit is broken off."""
        sock = self.sock
        assert sock is not None
        self.refresh()
        try:
            while True:
                write_out(sock, self.outbox, self.bounds.write, self.refresh)
                self.wake.clear()
                self.wake.wait()
        except OSError:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)     # the reader notices and tidies up

    def hear(self, frame: Frame) -> None:
        """One frame as the call on the handle that it belongs to; an answer that nobody waits for is dropped."""
        kind, now = frame["kind"], time.monotonic_ns()
        if kind == "pong":
            if self.extension is not None:
                self.extension.on_frame(self.worker, frame)
            return
        if kind == "draining":
            self.owner.draining(self.worker)
            return
        if kind == "refused":
            raise OSError(f"refused by the worker: {frame['reason'][:200]}")
        if kind not in ("result", "error", "full", "miss", "held", "status"):
            raise ProtocolError(f"'{kind}' is not for a worker to send here")
        what = self.waiting.pop(frame["id"], None)
        if what is None:
            return
        self.ids.pop(self.key(what), None)
        left = self.outbox.first_written_at.pop(frame["id"], now)
        load = report(frame.get("load"))
        if isinstance(what, tuple) != (kind in ("result", "error", "full", "miss")):
            raise ProtocolError(f"'{kind}' answers something else")
        if kind == "held":
            what.on_answered(now, HELD.get(frame["outcome"], Outcome.ERROR), copies=frame["copies"])
        elif kind == "status":
            what.on_answered(now, Outcome.COMPLETED, report=load)
        else:
            pending, number = what
            failed = bool(frame.get("load_failed"))
            copy = Copy.LOAD_FAILED if failed else COPIES.get(frame.get("copy", ""), Copy.UNKNOWN)
            outcome = {"result": Outcome.COMPLETED, "error": Outcome.ERROR, "full": Outcome.FULL}.get(
                kind, Outcome.MISS)
            error = frame.get("function_error")
            # What we held it up ourselves, before writing and since the answer lay ready, is not the worker's: at the
            # limit of our own processor every worker would look slow, be passed over, and cost yet longer walks.
            waited = max(0, now - time_since_poll() - left)
            pending.on_send_ended(now, number, outcome, waited=waited, body=frame.get("body", b""),
                          error=error if isinstance(error, str) else "", copy=copy, report=load)

    def refuse(self, reason: str) -> None:
        """Tells the peer why, as far as its socket takes it at once."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.settimeout(0)
                self.sock.send(encode("refused", reason=reason))

    def broke(self, problem: str) -> None:
        """Every frame that waits for an answer ends: as never run, or as maybe run. Then a pause."""
        now = time.monotonic_ns()
        self.not_before = self.backoff.on_disconnected(now)
        ended = [(what, self.outbox.is_unsent(id_)) for id_, what in self.waiting.items()]
        self.waiting.clear()
        self.ids.clear()
        self.outbox.clear()
        self.owner.note("link-broke", worker=self.worker, problem=problem, sends=len(ended))
        for what, never in ended:
            self.end(what, now, Outcome.UNREACHABLE if never else Outcome.RESET)

    def stop(self) -> None:
        """Ends the link and its greenlets; what waits for answers ends like after a break."""
        self.stopped = True
        self.greenlet.kill()
        self.broke("stopped")
