"""The connection to one worker: dialling, hello, many calls at a time, keepalive, and what a break proves.

A Link owns two greenlets, ended by stop(): one dials and reads, the other writes. Each frame that arrives is reported
to the request or query that waits for it; the link takes no decisions on calls.
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

from threadshift.conf.gateway_config import Bounds
from threadshift.conf.values import Address
from threadshift.interface import SECOND, Copy, Outcome, Report
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.codec import VERSION, Frame, FrameDecoder, ProtocolError, encode, pack
from threadshift.links.outbox import Outbox
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, connect, time_since_poll, write_out
from threadshift.memory_budget import MemoryBudget

MAX_SILENT_KEEPALIVES = 3      # the link counts as broken after so many keepalive intervals without a frame
COPY_BY_NAME = {copy.value: copy for copy in Copy}
LOAD_OUTCOMES = {"stands": Outcome.COMPLETED, "full": Outcome.FULL, "error": Outcome.ERROR}


class LinkOwner(Protocol):
    """What a link reports of its worker, besides answers."""

    # Called before answers are handled; may wait for a moment.
    def catch_up_after_stall(self) -> None: ...
    def has_unread_update(self) -> bool: ...       # of the worker list: nothing is sent before it is applied
    # The worker's hello arrived. A text that is returned is the reason why the link is refused.
    def on_hello(self, worker: str, hello: Frame) -> str: ...
    # The worker says that it drains.
    def on_draining(self, worker: str) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...
    @property
    def worker_budget(self) -> MemoryBudget: ...   # for frames of all workers that are received in part


def parse_report(fields: Any) -> Report | None:
    """A load report from the wire. A value that is not a number counts as unknown."""
    if not isinstance(fields, dict):
        return None
    values = (fields.get(name) for name in Report._fields)
    return Report(*(float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None
                    for value in values))


class LinkExtension(Protocol):
    """Adds fields to each hello and ping that a worker is sent, and reads those of its hello and pongs."""

    def extra_fields(self, worker: str) -> dict[str, Any]: ...
    def on_frame(self, worker: str, frame: Frame) -> None: ...


def invoke_fields(pending: Any, left: int) -> dict[str, Any]:
    """The fields of an invoke frame for a call that has `left` ns left."""
    call = pending.call
    fields = {"function": call.function, "type": call.type, "effect": pending.activation.type_stats.effect.value,
              "left": left, "body": call.body, "lanes": call.lanes, "activation": pending.id}
    if call.mark:
        fields["mark"] = call.mark
    if call.work:
        fields["work"] = call.work
    return fields


class Link:
    """The connection to one worker, made anew whenever it breaks."""

    def __init__(self, worker: str, address: Address, bounds: Bounds, front_end: str, zone: str, owner: LinkOwner,
                 chance: Callable[[], float], extension: LinkExtension | None = None):
        self.extension = extension
        self.worker, self.address, self.bounds, self.owner = worker, address, bounds, owner
        self.front_end, self.zone = front_end, zone
        self.outbox = Outbox(bounds.worker_buffer)
        self.backoff = ReconnectBackoff(chance)
        self.not_before = 0
        self.sock: socket.socket | None = None
        self.decoder = FrameDecoder(bounds.frame)
        self.up = self.gave_way = False         # gave_way: it ends as it held the most of the memory for frames
        # By frame id, what its answer goes to: (PendingRequest, send number) or a PendingWorkerQuery.
        self.receivers: dict[int, Any] = {}
        self.frame_ids: dict[tuple, int] = {}   # by receiver_key(), to find the frame of a send to cancel
        self.next_id = count(1).__next__
        self.last_frame_at = 0
        self.worker_started_at = 0              # by the worker's clock, from its last hello; 0: unknown
        self.has_output = Event()
        self.stopped = False
        self.greenlet = gevent.spawn(self.run)

    # The engine's steps.

    def invoke(self, pending: Any, number: int, left: int) -> Outcome | None:
        """Sends a call. An outcome that is returned is final."""
        return self.enqueue((pending, number), "invoke", invoke_fields(pending, left))

    def order_load(self, query: Any) -> Outcome | None:
        """Orders one copy of the query's function."""
        return self.enqueue(query, "hold", {"function": query.function, "copies": 1})

    def probe(self, query: Any) -> Outcome | None:
        """Requests a load report."""
        return self.enqueue(query, "ask", {})

    def enqueue(self, receiver: Any, kind: str, fields: dict[str, Any]) -> Outcome | None:
        """Queues a frame. Returns UNREACHABLE where it cannot be sent; nothing of it will be written then."""
        if self.stopped or not self.up and time.monotonic_ns() < self.not_before:
            return Outcome.UNREACHABLE
        id_ = self.next_id()
        if not self.outbox.put(id_, pack({"kind": kind, "id": id_, **fields})):
            # The worker does not read and its buffer is full: like a refused connection, nothing was sent.
            return Outcome.UNREACHABLE
        self.receivers[id_] = receiver
        self.frame_ids[self.receiver_key(receiver)] = id_
        self.has_output.set()
        return None

    def cancel(self, pending: Any, number: int, notify_worker: bool) -> Outcome:
        """Stops waiting for a send. Returns NEVER_SENT where nothing of it was written."""
        if self.withdraw(pending, number):
            return Outcome.NEVER_SENT
        id_ = self.frame_ids.pop((pending.id, number), None)
        if id_ is None:
            return Outcome.CANCELLED
        self.receivers.pop(id_, None)
        self.outbox.first_written_at.pop(id_, None)
        if notify_worker and self.up and self.outbox.put(None, encode("cancel", id=id_)):
            self.has_output.set()
        return Outcome.CANCELLED

    def withdraw(self, pending: Any, number: int) -> bool:
        """Withdraws a send of which nothing was written; False where that is too late."""
        id_ = self.frame_ids.get((pending.id, number))
        if id_ is None or not self.outbox.withdraw(id_):
            return False
        del self.frame_ids[pending.id, number]
        self.receivers.pop(id_, None)
        return True

    def extra_fields(self) -> dict[str, Any]:
        """What the extension adds to a hello or a ping."""
        return self.extension.extra_fields(self.worker) if self.extension is not None else {}

    def send_ping(self) -> None:
        """Sends a keepalive ping with the extension's fields."""
        if self.up and self.outbox.put(None, encode("ping", **self.extra_fields())):
            self.has_output.set()

    def withdraw_unsent(self) -> None:
        """Ends as UNREACHABLE all sends and queries of which nothing was written. Called when nothing more may go to
        this worker, so that what a full socket delayed is not sent once the drain grace is over."""
        now = time.monotonic_ns()
        for id_, receiver in list(self.receivers.items()):
            if self.outbox.withdraw(id_):
                self.receivers.pop(id_, None)
                self.frame_ids.pop(self.receiver_key(receiver), None)
                self.report_end(receiver, now, Outcome.UNREACHABLE)

    @property
    def busy(self) -> bool:
        """Whether a send or a query waits for this worker's answer."""
        return bool(self.receivers)

    @staticmethod
    def report_end(receiver: Any, now: int, outcome: Outcome) -> None:
        """Reports an outcome to a send's request or to a query."""
        if isinstance(receiver, tuple):
            receiver[0].on_send_ended(now, receiver[1], outcome)
        else:
            receiver.on_answered(now, outcome)

    @staticmethod
    def receiver_key(receiver: Any) -> tuple:
        """The key of a receiver in `frame_ids`."""
        return (receiver[0].id, receiver[1]) if isinstance(receiver, tuple) else (id(receiver),)

    # The connection.

    def run(self) -> None:
        """Connects, reads until the connection breaks, and begins anew after a pause."""
        while not self.stopped:
            gevent.sleep(max(0, self.not_before - time.monotonic_ns()) / SECOND)
            writer = None
            problem = "closed by the worker"
            try:
                self.sock = connect(self.address, self.bounds.connect)
                self.decoder, self.gave_way = FrameDecoder(self.bounds.frame), False
                self.exchange_hellos()
                writer = gevent.spawn(self.write)
                self.read()
                if self.decoder.is_mid_frame:
                    problem = "closed by the worker inside a frame"
            except (OSError, ProtocolError) as failed:
                problem = str(failed) or type(failed).__name__
                if isinstance(failed, ProtocolError):
                    self.send_refusal(problem)
            finally:
                self.up = False
                self.decoder = FrameDecoder(self.bounds.frame)      # a frame in part is of no use any more
                self.owner.worker_budget.forget(self)
                if writer is not None:
                    writer.kill()
                if self.sock is not None:
                    self.sock.close()
                    self.sock = None
            if self.receivers:
                self.owner.catch_up_after_stall()
            if not self.stopped:
                self.on_connection_lost(problem)

    def exchange_hellos(self) -> None:
        """Sends and reads a hello. The owner checks that the worker is the one listed with this address."""
        assert self.sock is not None
        self.sock.sendall(encode("hello", version=VERSION, name=self.front_end, zone=self.zone,
                                 **self.extra_fields()))
        first_frames: list[Frame] = []
        deadline, checkpoint = time.monotonic_ns() + self.bounds.connect, Checkpoint()
        while not first_frames:
            checkpoint.wait()
            self.sock.settimeout(max(1, deadline - time.monotonic_ns()) / SECOND)
            try:
                data = self.sock.recv(READ_SIZE)
            except TimeoutError:
                raise OSError("no hello in time") from None
            if not data:
                raise OSError("closed before its hello")
            first_frames = self.decoder.feed(data)
            self.record_memory()
        hello = first_frames.pop(0)
        if hello["kind"] != "hello":
            raise ProtocolError(f"'{hello['kind']}' came before hello")
        if hello["version"] != VERSION:
            raise ProtocolError(f"protocol version {hello['version']} is not supported, version {VERSION} is")
        problem = self.owner.on_hello(self.worker, hello)
        if problem:
            raise ProtocolError(problem)
        if self.extension is not None:
            self.extension.on_frame(self.worker, hello)
        started = hello.get("started", 0)
        if hello.get("draining") or self.worker_started_at and started > self.worker_started_at:
            # What waited for this connection was meant for the worker before its restart, which was warm. Now it is
            # cold, or it drains.
            self.withdraw_unsent()
        self.worker_started_at = started or self.worker_started_at
        self.last_frame_at = time.monotonic_ns()
        self.up = True
        self.backoff.on_connected(self.last_frame_at)
        for frame in first_frames:
            self.handle_frame(frame)

    def read(self) -> None:
        """Handles frames until the worker closes the connection."""
        checkpoint = Checkpoint()
        while True:
            checkpoint.wait()
            if not self.read_frames():
                return

    def read_frames(self) -> bool:
        """Reads once and handles the frames; False at the end. Raises OSError and ProtocolError.

        What was read is referred to in here alone: read() would hold it until something else arrives."""
        assert self.sock is not None
        self.sock.settimeout(self.bounds.keepalive / SECOND)
        try:
            data = self.sock.recv(READ_SIZE)
        except TimeoutError:
            # Only a ping finds a half-open connection.
            if time.monotonic_ns() - self.last_frame_at > MAX_SILENT_KEEPALIVES * self.bounds.keepalive:
                raise OSError("silent for longer than the keepalive limit") from None
            self.send_ping()
            return True
        if self.gave_way:
            raise OSError("frames that have arrived in part hold too much memory")
        if not data:
            return False
        self.last_frame_at = time.monotonic_ns()
        frames = self.decoder.feed(data)
        for frame in frames:
            if frame["kind"] == "draining":
                self.handle_frame(frame)        # before the answers, even where it came after them
        self.owner.catch_up_after_stall()
        for frame in frames:
            if frame["kind"] != "draining":
                self.handle_frame(frame)
        self.record_memory()
        return True

    def record_memory(self) -> None:
        """Records what is held for this worker. May end this connection, or those of others."""
        self.owner.worker_budget.record(self, self.held_bytes())

    def held_bytes(self) -> int:
        """What is held of a frame that has not arrived whole."""
        return len(self.decoder.buffer)

    def give_way(self) -> None:
        """Drops what is held. The greenlet that reads then ends the connection."""
        self.gave_way = True
        self.decoder.buffer = bytearray()
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def update_time_left(self) -> None:
        """Updates the time left in the calls that are not written yet, and holds back those without any."""
        now = time.monotonic_ns()
        for id_ in self.outbox.unwritten:
            receiver = self.receivers.get(id_)
            if isinstance(receiver, tuple):
                left = receiver[0].time_left(now)
                if left > 0:
                    self.outbox.replace(id_, pack({"kind": "invoke", "id": id_, **invoke_fields(receiver[0], left)}))
                else:
                    self.outbox.hold_back(id_)      # the engine ends it, as its deadline has passed

    def write(self) -> None:
        """Writes queued frames. A worker that takes no byte within the write limit is disconnected."""
        sock = self.sock
        assert sock is not None
        self.update_time_left()
        try:
            while True:
                write_out(sock, self.outbox, self.bounds.write, self.update_time_left,
                          lambda: not self.owner.has_unread_update())
                self.has_output.clear()
                self.has_output.wait()
        except OSError:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)     # the reader notices and cleans up

    def handle_frame(self, frame: Frame) -> None:
        """Reports one frame to its receiver. An answer without a receiver is dropped."""
        kind, now = frame["kind"], time.monotonic_ns()
        if kind == "pong":
            if self.extension is not None:
                self.extension.on_frame(self.worker, frame)
            return
        if kind == "draining":
            self.owner.on_draining(self.worker)
            return
        if kind == "refused":
            raise OSError(f"refused by the worker: {frame['reason'][:200]}")
        if kind not in ("result", "error", "full", "miss", "held", "status"):
            raise ProtocolError(f"a worker may not send '{kind}' here")
        receiver = self.receivers.pop(frame["id"], None)
        if receiver is None:
            return
        self.frame_ids.pop(self.receiver_key(receiver), None)
        written_at = self.outbox.first_written_at.pop(frame["id"], now)
        load = parse_report(frame.get("load"))
        if isinstance(receiver, tuple) != (kind in ("result", "error", "full", "miss")):
            raise ProtocolError(f"'{kind}' does not answer the frame with this id")
        if kind == "held":
            receiver.on_answered(now, LOAD_OUTCOMES.get(frame["outcome"], Outcome.ERROR), copies=frame["copies"])
        elif kind == "status":
            receiver.on_answered(now, Outcome.COMPLETED, report=load)
        else:
            pending, number = receiver
            load_failed = bool(frame.get("load_failed"))
            copy = Copy.LOAD_FAILED if load_failed else COPY_BY_NAME.get(frame.get("copy", ""), Copy.UNKNOWN)
            outcome = {"result": Outcome.COMPLETED, "error": Outcome.ERROR, "full": Outcome.FULL}.get(
                kind, Outcome.MISS)
            error = frame.get("function_error")
            # Time spent in this process, before writing and since the answer was ready to be read, is not counted as
            # the worker's. Otherwise every worker would look slow and be passed over when this process reaches the
            # limit of its processor, and the longer search for a worker would cost still more.
            waited = max(0, now - time_since_poll() - written_at)
            pending.on_send_ended(now, number, outcome, waited=waited, body=frame.get("body", b""),
                                  error=error if isinstance(error, str) else "", copy=copy, report=load)

    def send_refusal(self, reason: str) -> None:
        """Sends the worker the reason of a refusal, if its socket takes it without waiting."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.settimeout(0)
                self.sock.send(encode("refused", reason=reason))

    def on_connection_lost(self, problem: str) -> None:
        """Ends all sends and queries: UNREACHABLE where nothing was written, else RESET. Sets the next attempt."""
        now = time.monotonic_ns()
        self.not_before = self.backoff.on_disconnected(now)
        ended = [(receiver, self.outbox.is_unsent(id_)) for id_, receiver in self.receivers.items()]
        self.receivers.clear()
        self.frame_ids.clear()
        self.outbox.clear()
        self.owner.note("link-broke", worker=self.worker, problem=problem, sends=len(ended))
        for receiver, is_unsent in ended:
            self.report_end(receiver, now, Outcome.UNREACHABLE if is_unsent else Outcome.RESET)

    def stop(self) -> None:
        """Ends the link and its greenlets. Sends and queries end as after a broken connection."""
        self.stopped = True
        self.greenlet.kill()
        self.on_connection_lost("stopped")
