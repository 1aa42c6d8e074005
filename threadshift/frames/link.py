"""The connections to one worker that speaks binary frames, what is in flight on each, and what a break proves.

A Link owns its greenlets and ends them in stop(): a reader for each connection, one that dials, and one that writes
while a socket is full. Each answer becomes a call of the request or query it belongs to. Nothing here decides what
follows from it.
"""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import socket

from threadshift.conf.settings import parse_load_report
from threadshift.conf.values import Address
from threadshift.frames import pool
from threadshift.frames.codec import (
    CANCEL, ERROR, EXPIRED, FULL, HEALTHY, INVOKE, LOAD, MISS, OK, PROBE, UNHEALTHY, Frame, FrameDecoder,
    ProtocolError, encode)
from threadshift.interface import MS, SECOND, Copy, Outcome
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, BufferedSender, connect, has_events, time_since_poll
from threadshift.log import exception_fields
from threadshift.memory_budget import MemoryBudget

MAX_USED_IDS = 128         # ids remembered for each connection, on which they may not be sent again

# The field `how` of an answer, and the codes that may answer a send, a load order and a probe.
COPY_BY_NAME = {"reused": Copy.FOUND, "init": Copy.LOAD_STARTED, "shared_init": Copy.WAITED,
                "init_error": Copy.LOAD_FAILED}
SEND_OUTCOMES = {OK: Outcome.COMPLETED, MISS: Outcome.MISS, FULL: Outcome.FULL, ERROR: Outcome.ERROR,
                 EXPIRED: Outcome.NEVER_SENT}
LOAD_OUTCOMES = {OK: Outcome.COMPLETED, FULL: Outcome.FULL, ERROR: Outcome.ERROR}
PROBE_ANSWERS = (HEALTHY, UNHEALTHY)


class LinkSettings(NamedTuple):
    """Limits of the connections to one worker, in ns and bytes."""

    connect_timeout: int     # until a connection that is not up counts as unreachable
    write_timeout: int       # without progress, until a connection that takes no bytes is closed
    idle_timeout: int        # after which workers close an idle connection
    max_sends: int           # in flight on one connection
    max_connections: int     # to each worker
    dial_threshold: int      # sends on each connection from which another is dialled
    max_buffered: int        # waiting to be written to one connection
    max_body: int            # of an answer


class LinkOwner(Protocol):
    """The owner of a link.

    catch_up_after_stall() is called before an answer or a new connection is acted upon, and may wait a moment.
    has_unread_update() returns whether news of workers has arrived that is not applied yet: nothing is sent then.
    make_room_for_connection() makes room for one more connection and returns False if there is none; it closes other
    connections only if something waits for the new one. dials_ahead() returns whether connections are dialled before
    anything waits for them, which is not the case if there are too many workers to have a connection each.
    connection_opened() is called when a dial begins: a dial counts as a connection from then on."""

    def catch_up_after_stall(self) -> None: ...
    def has_unread_update(self) -> bool: ...
    def make_room_for_connection(self, wanted: bool) -> bool: ...
    def dials_ahead(self) -> bool: ...
    def connection_opened(self, link: Link) -> None: ...
    def connection_closed(self, link: Link) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...
    @property
    def worker_budget(self) -> MemoryBudget: ...     # for answers of all workers that are received in part


def invoke_frame(id_: bytes, call: Any, left: int) -> bytes:
    """The frame of a send with `left` ns until its deadline."""
    fields = f"class={call.type},key={call.function},wait={max(1, left // MS)}"
    if call.mark:
        fields += f",once={call.mark}"          # lets the worker recognize a repeat
    return encode(INVOKE, id_, fields, call.body)


def query_frame(id_: bytes, query: Any) -> bytes:
    """The frame of a load order, or of a probe for a load report."""
    return encode(LOAD, id_, f"key={query.function},n=1") if query.function else encode(PROBE, id_)


def current_invoke_frame(id_: bytes, pending: Any) -> bytes:
    """The frame of a send that has waited, with the time that is left now."""
    return invoke_frame(id_, pending.call, pending.time_left(time.monotonic_ns()))


class Connection(BufferedSender):
    """One connection to a worker."""

    def __init__(self, sock: socket.socket, settings: LinkSettings, owner: LinkOwner):
        super().__init__(sock, settings.max_buffered, settings.write_timeout)
        self.owner = owner
        self.decoder = FrameDecoder(settings.max_body)
        self.gave_way = False                   # it was closed as it held the most of the memory for answers
        self.in_flight: dict[bytes, Any] = {}   # (pending, number) of a send, or a PendingWorkerQuery
        self.used_ids: dict[bytes, None] = {}
        self.has_answered = self.suspected = False
        self.last_received_at = time.monotonic_ns()
        self.reader: gevent.Greenlet | None = None

    def may_write(self) -> bool:
        return not self.owner.has_unread_update()

    def held_bytes(self) -> int:
        """What is held of an answer that has not arrived whole."""
        return len(self.decoder.buffer)

    def give_way(self) -> None:
        """Drops what is held. Its reader then ends the connection."""
        self.gave_way = True
        self.decoder.buffer = b""
        self.shut()

    def refresh(self) -> None:
        """Updates the time left in the requests that are not written yet, and holds back those without any."""
        now = time.monotonic_ns()
        for id_ in self.outbox.unwritten:
            receiver = self.in_flight.get(id_)
            if not isinstance(receiver, tuple):
                continue
            left = receiver[0].time_left(now)
            if left > 0:
                self.outbox.replace(id_, invoke_frame(id_, receiver[0].call, left))
            else:
                self.outbox.hold_back(id_)      # the engine ends it, as its deadline has passed


class Link:
    """All connections to one worker."""

    def __init__(self, worker: str, address: Address, settings: LinkSettings, owner: LinkOwner,
                 chance: Callable[[], float], random_bits: Callable[[int], int]):
        self.worker, self.address, self.settings, self.owner, self.random_bits = (
            worker, address, settings, owner, random_bits)
        self.note = owner.note
        self.backoff = ReconnectBackoff(chance)
        self.dial_not_before = 0
        self.connections: list[Connection] = []
        self.queue: dict[bytes, Any] = {}       # as Connection.in_flight, waiting for the first connection
        # The connection of each send, None while it is queued, and its id there; by request id and send number.
        self.routes: dict[tuple[str, int], tuple[Connection | None, bytes]] = {}
        self.dialler: gevent.Greenlet | None = None
        self.stopped = False
        if owner.dials_ahead():
            self.dial()

    # Requests of the engine's worker port.

    def invoke(self, pending: Any, number: int, left: int) -> Outcome | None:
        """Sends a request, and dials another connection if all are busy."""
        id_ = bytes.fromhex(pending.id)
        outcome = self.transmit(id_, (pending, number), invoke_frame(id_, pending.call, left))
        if self.connections and pool.should_dial(
                self.connections, self.dialler is not None, self.settings.max_connections,
                self.settings.dial_threshold):
            self.dial()
        return outcome

    def transmit(self, id_: bytes, receiver: Any, frame: bytes) -> Outcome | None:
        """Puts a frame that will be answered on the connection that fits, and records where it is in flight.

        Idle connections that the worker has closed in the meantime are closed here, too. A request whose deadline has
        passed while it waited is not written."""
        if isinstance(receiver, tuple) and receiver[0].time_left(time.monotonic_ns()) <= 0:
            return Outcome.NEVER_SENT
        while (connection := pool.choose_connection(self.connections, id_, self.settings.max_sends)) is not None and (
                not connection.in_flight and self.is_closing(connection)):
            self.close_connection(connection)
        if connection is None and (isinstance(receiver, tuple) or not (self.connections or self.owner.dials_ahead())):
            return self.queue_until_connected(receiver, id_)
        if connection is None or not connection.outbox.put(id_, frame):
            if not self.connections:
                self.dial()
            return Outcome.UNREACHABLE      # the worker does not read; what no longer fits has not been sent
        connection.in_flight[id_] = receiver
        connection.used_ids[id_] = None
        if len(connection.used_ids) > MAX_USED_IDS:
            del connection.used_ids[next(iter(connection.used_ids))]
        connection.write()
        if isinstance(receiver, tuple):
            self.routes[receiver[0].id, receiver[1]] = connection, id_
        elif connection.outbox.withdraw(id_):
            # A load order or a probe is sent at once or not at all: late ones would reach the worker in a burst.
            del connection.in_flight[id_]
            return Outcome.UNREACHABLE
        return None

    def queue_until_connected(self, receiver: Any, id_: bytes) -> Outcome | None:
        """Queues a send or query until a connection comes up, and dials one."""
        if self.stopped or time.monotonic_ns() < self.dial_not_before or id_ in self.queue or (
                len(self.connections) >= self.settings.max_connections and not self.close_idle_connection()):
            return Outcome.UNREACHABLE
        if len(self.queue) >= self.settings.max_sends:
            return Outcome.UNREACHABLE      # one connection could not carry more; it has not been sent
        self.queue[id_] = receiver
        if isinstance(receiver, tuple):
            self.routes[receiver[0].id, receiver[1]] = None, id_
        self.dial()
        return None

    def close_idle_connection(self) -> bool:
        """Closes a connection with nothing in flight, when all connections are in use and none fits."""
        for connection in self.connections:
            if not connection.in_flight:
                self.close_connection(connection)
                return True
        return False

    def order_load(self, query: Any) -> Outcome | None:
        """Sends a load order or a probe."""
        id_ = self.new_id()
        return self.transmit(id_, query, query_frame(id_, query))

    def probe(self, query: Any) -> Outcome | None:
        return self.order_load(query)

    def new_id(self) -> bytes:
        """A random id that is not in use on this link."""
        while True:
            id_ = self.random_bits(64).to_bytes(8, "big")
            if id_ not in self.queue and not any(id_ in each.in_flight for each in self.connections):
                return id_

    def is_closing(self, connection: Connection) -> bool:
        """Whether the worker has closed an idle connection, read or not, or is about to: nothing is written on it."""
        if pool.is_idle_timeout_near(time.monotonic_ns(), connection.last_received_at, self.settings.idle_timeout):
            return True
        return has_events(connection.sock, select.POLLRDHUP)

    def cancel(self, pending: Any, number: int, notify_worker: bool) -> Outcome:
        """Stops waiting for a send; returns NEVER_SENT if nothing of it was written.

        The worker gets a cancel frame in any case, or it would go on working."""
        if self.withdraw(pending, number):
            return Outcome.NEVER_SENT
        connection, id_ = self.routes.pop((pending.id, number), (None, b""))
        if connection is None or connection.in_flight.pop(id_, None) is None:
            return Outcome.CANCELLED
        sent_at = connection.outbox.first_written_at.pop(id_, 0)
        if connection.outbox.put(None, encode(CANCEL, id_)):
            connection.write()
        connection.suspected = connection.suspected or pool.is_suspected(connection.last_received_at, sent_at)
        if connection.suspected and not connection.in_flight:
            self.close_connection(connection)
        return Outcome.CANCELLED

    def withdraw(self, pending: Any, number: int) -> bool:
        """Withdraws a send, also one that waits for a dial; returns False if any of it has been written."""
        connection, id_ = self.routes.get((pending.id, number), (None, b""))
        if not id_ or (self.queue.pop(id_, None) is None if connection is None
                       else not connection.outbox.withdraw(id_)):
            return False
        if connection is not None:
            del connection.in_flight[id_]
        del self.routes[pending.id, number]
        return True

    def withdraw_unsent(self) -> None:
        """Ends everything that waits here and of which nothing has been written: it never ran.

        Called when nothing more may be sent to this worker."""
        now = time.monotonic_ns()
        queued, self.queue = [*self.queue.values()], {}
        for connection in self.connections:
            for id_, receiver in list(connection.in_flight.items()):
                if connection.outbox.withdraw(id_):
                    del connection.in_flight[id_]
                    queued.append(receiver)
        for receiver in queued:
            self.report_end(receiver, now, Outcome.UNREACHABLE)

    @property
    def busy(self) -> bool:
        """Whether anything waits for a connection or for an answer."""
        return bool(self.queue) or any(each.in_flight for each in self.connections)

    @property
    def up(self) -> bool:
        """Whether there is a connection."""
        return bool(self.connections)

    def report_end(self, receiver: Any, now: int, outcome: Outcome) -> None:
        """Reports the outcome of a send or query that has got no answer."""
        if isinstance(receiver, tuple):
            self.routes.pop((receiver[0].id, receiver[1]), None)
            receiver[0].on_send_ended(now, receiver[1], outcome)
        else:
            receiver.on_answered(now, outcome)

    # Connections.

    def dial(self) -> None:
        """Starts to dial a connection, unless a dial is under way."""
        if self.dialler is None and not self.stopped:
            self.owner.connection_opened(self)
            self.dialler = gevent.spawn(self.connect)

    def end_dial(self) -> None:
        """Ends the dial under way, which brought no connection."""
        if self.dialler is not None:
            self.dialler = None
            self.owner.connection_closed(self)

    def connect(self) -> None:
        """Dials one more connection; tries again after pauses while there is no connection at all."""
        problem = ""
        while not self.stopped:
            gevent.sleep(max(0, self.dial_not_before - time.monotonic_ns()) / SECOND)
            try:
                if not self.owner.make_room_for_connection(bool(self.queue)):
                    if not self.queue:
                        self.end_dial()         # dialled again once something waits for it
                        return
                    raise OSError("no file descriptor is free for the connection")
                sock = connect(self.address, self.settings.connect_timeout)
                break
            except OSError as failed:
                if self.queue:
                    self.owner.catch_up_after_stall()
                now = time.monotonic_ns()
                self.dial_not_before = self.backoff.on_disconnected(now)
                if not problem:
                    problem = str(failed)
                    self.note("link-down", worker=self.worker, problem=problem, sends=len(self.queue))
                queued, self.queue = self.queue, {}
                for receiver in queued.values():
                    self.report_end(receiver, now, Outcome.UNREACHABLE)
                if not self.queue and (self.connections or not self.owner.dials_ahead()):
                    self.end_dial()
                    return
        else:
            return
        if self.queue:
            # A disconnect of a client or a drain of the worker may be unread.
            self.owner.catch_up_after_stall()
        if self.stopped:
            sock.close()                    # stop() came while it was dialled, and counts it no more
            return
        sock.settimeout(None)               # only the dispatcher judges a silent worker
        connection = Connection(sock, self.settings, self.owner)
        self.backoff.on_connected(connection.last_received_at)
        self.connections.append(connection)
        self.dialler = None
        connection.reader = gevent.spawn(self.read, connection)
        queued, self.queue = self.queue, {}
        for id_, receiver in queued.items():
            if not isinstance(receiver, tuple) and receiver.is_done:
                continue                        # it has timed out
            # The frame carries the time left now, or the worker would go on after the client has given up.
            frame = (current_invoke_frame(id_, receiver[0]) if isinstance(receiver, tuple)
                     else query_frame(id_, receiver))
            if (outcome := self.transmit(id_, receiver, frame)) is not None:
                self.report_end(receiver, time.monotonic_ns(), outcome)

    def read(self, connection: Connection) -> None:
        """Reads answers from one connection until it ends."""
        problem, checkpoint = "", Checkpoint()
        try:
            while True:
                checkpoint.wait()
                if not self.read_answers(connection):
                    break
        except (OSError, ProtocolError) as failed:
            problem = str(failed) or type(failed).__name__
        except Exception as fault:          # a bug of this program is logged, and what waits here is ended below
            self.note("fault", level="error", **exception_fields(fault))
            problem = "internal error"
        connection.suspected = True         # so that it carries nothing new while catch_up_after_stall() waits
        if connection.in_flight:
            self.owner.catch_up_after_stall()
        if not problem and connection.decoder.is_mid_frame:
            problem = "closed inside a frame"
        self.on_connection_lost(connection, problem)

    def read_answers(self, connection: Connection) -> bool:
        """Reads once and handles the answers; False at the end. Raises ProtocolError after the answers ahead of it.

        What was read is referred to in here alone: read() would hold the last answers until more arrives."""
        data = connection.sock.recv(READ_SIZE)
        if connection.gave_way:
            raise ConnectionAbortedError("answers that have arrived in part hold too much memory")
        if not data:
            return False
        connection.last_received_at = time.monotonic_ns()
        try:
            answers = connection.decoder.feed(data)
        except ProtocolError as refused:
            self.handle_frames(connection, getattr(refused, "before", []))
            raise
        self.handle_frames(connection, answers)
        self.owner.worker_budget.record(connection, connection.held_bytes())
        return True

    def handle_frames(self, connection: Connection, frames: list[Frame]) -> None:
        """Passes answers that were read together on, once everything that is to be known before has been read."""
        if frames:
            self.owner.catch_up_after_stall()
        for frame in frames:
            self.handle_frame(connection, frame)

    def handle_frame(self, connection: Connection, frame: Frame) -> None:
        """Passes one answer to the send or query that waits for it; drops an answer that nothing waits for."""
        receiver = connection.in_flight.get(frame.id)
        if receiver is None:
            return
        now = time.monotonic_ns()
        if frame.code not in (SEND_OUTCOMES if isinstance(receiver, tuple)
                              else LOAD_OUTCOMES if receiver.function else PROBE_ANSWERS):
            raise ProtocolError(f"code {frame.code} does not answer what was sent")
        load = parse_load_report(frame.fields["stats"], ";") if "stats" in frame.fields else None
        if isinstance(receiver, tuple):
            copy = COPY_BY_NAME.get(frame.fields.get("how", ""), Copy.UNKNOWN)
        elif receiver.function:
            copies = frame.fields.get("n", "0")
            if not (copies.isascii() and copies.isdigit() and len(copies) < 6):
                raise ProtocolError(f"n={copies[:20]} is not a number of copies")
        del connection.in_flight[frame.id]
        connection.has_answered = True
        sent_at = connection.outbox.first_written_at.pop(frame.id, now)
        if isinstance(receiver, tuple):
            pending, number = receiver
            self.routes.pop((pending.id, number), None)
            # The delay in this process is not counted as the worker's: when this process is at its own limit, every
            # worker would look slow.
            pending.on_send_ended(now, number, SEND_OUTCOMES[frame.code], body=frame.body, copy=copy, report=load,
                                  waited=max(0, now - time_since_poll() - sent_at))
        elif receiver.function:
            receiver.on_answered(now, LOAD_OUTCOMES[frame.code], copies=int(copies))
        else:
            receiver.on_answered(now, Outcome.COMPLETED, report=load)
        if connection.suspected and not connection.in_flight:
            connection.suspected = False      # the worker is alive; the send that was given up was slow

    def on_connection_lost(self, connection: Connection, problem: str) -> None:
        """Handles the end of one connection: what was never sent moves to another, the rest may have run."""
        if connection not in self.connections:
            return
        lost = list(connection.in_flight.items())
        unwritten = {key: entry[1] for key, entry in connection.outbox.unwritten.items()}
        self.close_connection(connection)
        now = time.monotonic_ns()
        if problem or lost:
            self.note("link-broke", worker=self.worker, problem=problem or "closed", sends=len(lost))
        if not self.connections and not self.stopped:
            self.dial_not_before = self.backoff.on_disconnected(now) if problem or lost else now
            if self.owner.dials_ahead():
                self.dial()
        for id_, receiver in lost:
            if id_ not in unwritten:
                self.report_end(receiver, now, Outcome.RESET)
                continue
            frame = current_invoke_frame(id_, receiver[0]) if isinstance(receiver, tuple) else unwritten[id_]
            if (outcome := self.transmit(id_, receiver, frame)) is not None:
                self.report_end(receiver, now, outcome)

    def close_connection(self, connection: Connection) -> None:
        """Closes one connection and forgets what was in flight on it."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.connection_closed(self)
        if connection.writer is not None:
            connection.writer.kill(block=False)
        if connection.reader is not None and connection.reader is not gevent.getcurrent():
            connection.reader.kill(block=False)
        # A greenlet that was killed refers to its frames, and so to the connection: a reference cycle, with what was
        # received in part in it, until the next full garbage collection.
        connection.reader = None
        connection.sock.close()
        self.owner.worker_budget.forget(connection)
        connection.decoder.buffer = b""         # the reader, where it has called this, records once more
        connection.in_flight, connection.used_ids = {}, {}
        connection.outbox.clear()

    def stop(self) -> None:
        """Ends the link and its greenlets; what waits for answers ends as after a break."""
        self.stopped = True
        if self.dialler is not None:
            self.dialler.kill(block=False)
            self.end_dial()
        self.withdraw_unsent()
        for connection in list(self.connections):
            self.on_connection_lost(connection, "stopped")
