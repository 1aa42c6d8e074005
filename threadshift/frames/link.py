"""One worker that speaks binary frames: its connections, what waits on each, and what a break proves.

A Link owns its greenlets, ended by stop(): one a connection that reads, one that dials, and one that writes while a
socket is full. What comes in becomes a call on the handle it belongs to; nothing here decides what follows.
"""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import socket

from threadshift.conf.settings import report
from threadshift.conf.values import Address
from threadshift.frames import pool
from threadshift.frames.codec import (
    CANCEL, ERROR, EXPIRED, FULL, HEALTHY, INVOKE, LOAD, MISS, OK, PROBE, UNHEALTHY, Frame, FrameDecoder,
    ProtocolError, encode)
from threadshift.interface import MS, SECOND, Copy, Outcome
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import BufferedSender, connect, has_events, time_since_poll
from threadshift.log import exception_fields

READ = 16 << 10            # bytes a read: many usual answers, and little memory a connection
MAX_USED_IDS = 128         # ids remembered a connection that may not go over it again
COPIES = {"reused": Copy.FOUND, "init": Copy.LOAD_STARTED, "shared_init": Copy.WAITED, "init_error": Copy.LOAD_FAILED}
ENDS = {OK: Outcome.COMPLETED, MISS: Outcome.MISS, FULL: Outcome.FULL, ERROR: Outcome.ERROR,
        EXPIRED: Outcome.NEVER_SENT}
ORDERS = {OK: Outcome.COMPLETED, FULL: Outcome.FULL, ERROR: Outcome.ERROR}
PROBES = (HEALTHY, UNHEALTHY)


class LinkSettings(NamedTuple):
    """What is told of workers' connections at start, and bounds derived from it."""

    connect_timeout: int     # ns until a connection that is not up counts as unreachable
    write_timeout: int       # ns without progress until one that takes no bytes is broken off
    idle_timeout: int        # ns after which workers close an idle one
    max_sends: int           # sends on one at once
    max_connections: int     # connections to each worker
    dial_threshold: int      # sends on each from which another is dialled
    max_buffered: int        # bytes waiting to be written to one
    max_body: int            # bytes of an answer's body


class Owner(Protocol):
    """Whose link it is. catch_up_after_stall() is called before what answers bring, or a dial that came up, is
    acted upon: it may wait a moment. make_room_for_connection() makes room for one
    more connection, by ending others only where it is wanted for something that waits; False where there is none.
    dials_ahead() tells whether connections are dialled before anything waits for them: not where workers are too many
    to have one each. Each dial is counted as a connection from its begin on."""

    def catch_up_after_stall(self) -> None: ...
    def make_room_for_connection(self, wanted: bool) -> bool: ...
    def dials_ahead(self) -> bool: ...
    def connection_opened(self, link: Link) -> None: ...
    def connection_closed(self, link: Link) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


def invoke_frame(id_: bytes, call: Any, left: int) -> bytes:
    """The frame of a send with so much time left."""
    fields = f"class={call.type},key={call.function},wait={max(1, left // MS)}"
    if call.mark:
        fields += f",once={call.mark}"          # by which a worker knows a repeat
    return encode(INVOKE, id_, fields, call.body)


def order_frame(id_: bytes, asked: Any) -> bytes:
    """The frame of a load order, or of a question for a report."""
    return encode(LOAD, id_, f"key={asked.function},n=1") if asked.function else encode(PROBE, id_)


def current_invoke_frame(id_: bytes, pending: Any) -> bytes:
    """The frame of a send that has waited: it says how much time is left now."""
    return invoke_frame(id_, pending.call, pending.time_left(time.monotonic_ns()))


class Connection(BufferedSender):
    """One connection to a worker."""

    def __init__(self, sock: socket.socket, settings: LinkSettings):
        super().__init__(sock, settings.max_buffered, settings.write_timeout)
        self.in_flight: dict[bytes, Any] = {}   # (pending, number) of a send, or an Asked
        self.used_ids: dict[bytes, None] = {}
        self.has_answered = self.suspected = False
        self.last_received_at = time.monotonic_ns()
        self.reader: gevent.Greenlet | None = None

    def refresh(self) -> None:
        """Requests that waited for the socket say how much time is left now, not when they were queued."""
        for id_ in self.outbox.unwritten:
            what = self.in_flight.get(id_)
            if isinstance(what, tuple):
                self.outbox.replace(id_, current_invoke_frame(id_, what[0]))


class Link:
    """All connections to one worker."""

    def __init__(self, worker: str, address: Address, settings: LinkSettings, owner: Owner,
                 chance: Callable[[], float], bits: Callable[[int], int]):
        self.worker, self.address, self.settings, self.owner, self.bits = worker, address, settings, owner, bits
        self.note = owner.note
        self.backoff = ReconnectBackoff(chance)
        self.dial_not_before = 0
        self.connections: list[Connection] = []
        self.queue: dict[bytes, Any] = {}       # what waits for the first connection, as in Connection.in_flight
        self.routes: dict[tuple[str, int], tuple[Connection | None, bytes]] = {}   # where a send waits, for cancels
        self.dialler: gevent.Greenlet | None = None
        self.stopped = False
        if owner.dials_ahead():
            self.dial()

    # What the engine's port asks for.

    def invoke(self, pending: Any, number: int, left: int) -> Outcome | None:
        id_ = bytes.fromhex(pending.id)
        outcome = self.transmit(id_, (pending, number), invoke_frame(id_, pending.call, left))
        if self.connections and pool.should_dial(
                self.connections, self.dialler is not None, self.settings.max_connections,
                self.settings.dial_threshold):
            self.dial()
        return outcome

    def transmit(self, id_: bytes, what: Any, frame: bytes) -> Outcome | None:
        """Puts a frame on the connection that fits and notes where it waits: the one way for all frames that are
        answered. Idle connections that were closed meanwhile are ended on the way. Nothing of a request whose time
        is up while it waited here is written."""
        if isinstance(what, tuple) and what[0].time_left(time.monotonic_ns()) <= 0:
            return Outcome.NEVER_SENT
        while (connection := pool.choose_connection(self.connections, id_, self.settings.max_sends)) is not None and (
                not connection.in_flight and self.is_closing(connection)):
            self.close_connection(connection)
        if connection is None and (isinstance(what, tuple) or not (self.connections or self.owner.dials_ahead())):
            return self.queue_until_connected(what, id_)
        if connection is None or not connection.outbox.put(id_, frame):
            if not self.connections:
                self.dial()
            return Outcome.UNREACHABLE      # a worker that does not read: what fits no more never left
        connection.in_flight[id_] = what
        connection.used_ids[id_] = None
        if len(connection.used_ids) > MAX_USED_IDS:
            del connection.used_ids[next(iter(connection.used_ids))]
        connection.write()
        if isinstance(what, tuple):
            self.routes[what[0].id, what[1]] = connection, id_
        elif connection.outbox.withdraw(id_):
            # An order or a question leaves at once or not at all: late ones would come to the worker in a bunch.
            del connection.in_flight[id_]
            return Outcome.UNREACHABLE
        return None

    def queue_until_connected(self, what: Any, id_: bytes) -> Outcome | None:
        if self.stopped or time.monotonic_ns() < self.dial_not_before or id_ in self.queue or (
                len(self.connections) >= self.settings.max_connections and not self.close_idle_connection()):
            return Outcome.UNREACHABLE
        if len(self.queue) >= self.settings.max_sends:
            return Outcome.UNREACHABLE      # more than one connection takes: it never left
        self.queue[id_] = what
        if isinstance(what, tuple):
            self.routes[what[0].id, what[1]] = None, id_
        self.dial()
        return None

    def close_idle_connection(self) -> bool:
        """Ends a connection that carries nothing, where all that there may be stand and none can be used."""
        for connection in self.connections:
            if not connection.in_flight:
                self.close_connection(connection)
                return True
        return False

    def order_load(self, asked: Any) -> Outcome | None:
        id_ = self.new_id()
        return self.transmit(id_, asked, order_frame(id_, asked))

    def probe(self, asked: Any) -> Outcome | None:
        return self.order_load(asked)

    def new_id(self) -> bytes:
        """An id of our own, which meets no other that is open here."""
        while True:
            id_ = self.bits(64).to_bytes(8, "big")
            if id_ not in self.queue and not any(id_ in each.in_flight for each in self.connections):
                return id_

    def is_closing(self, connection: Connection) -> bool:
        """Whether the peer has closed an idle connection, seen or not, or is about to: nothing is written on it."""
        if pool.is_idle_timeout_near(time.monotonic_ns(), connection.last_received_at, self.settings.idle_timeout):
            return True
        return has_events(connection.sock, select.POLLRDHUP)

    def cancel(self, pending: Any, number: int, notify_worker: bool) -> Outcome:
        """Stops waiting for a send. MOOT where it never left. The worker is told in any case, or it works on."""
        if self.withdraw(pending, number):
            return Outcome.NEVER_SENT
        connection, id_ = self.routes.pop((pending.id, number), (None, b""))
        if connection is None or connection.in_flight.pop(id_, None) is None:
            return Outcome.CANCELLED
        left = connection.outbox.first_written_at.pop(id_, 0)
        if connection.outbox.put(None, encode(CANCEL, id_)):
            connection.write()
        connection.suspected = connection.suspected or pool.is_suspected(connection.last_received_at, left)
        if connection.suspected and not connection.in_flight:
            self.close_connection(connection)
        return Outcome.CANCELLED

    def withdraw(self, pending: Any, number: int) -> bool:
        """Takes back a send of which nothing has left, not even where it waits for a dial; False where it has."""
        connection, id_ = self.routes.get((pending.id, number), (None, b""))
        if not id_ or (self.queue.pop(id_, None) is None if connection is None
                       else not connection.outbox.withdraw(id_)):
            return False
        if connection is not None:
            del connection.in_flight[id_]
        del self.routes[pending.id, number]
        return True

    def take_back(self) -> None:
        """Ends all that waits here and of which nothing is written: it never ran. Called when nothing more may go to
        this worker."""
        now = time.monotonic_ns()
        queued, self.queue = [*self.queue.values()], {}
        for connection in self.connections:
            for id_, what in list(connection.in_flight.items()):
                if connection.outbox.withdraw(id_):
                    del connection.in_flight[id_]
                    queued.append(what)
        for what in queued:
            self.finish(what, now, Outcome.UNREACHABLE)

    @property
    def busy(self) -> bool:
        return bool(self.queue) or any(each.in_flight for each in self.connections)

    @property
    def up(self) -> bool:
        return bool(self.connections)

    def finish(self, what: Any, now: int, outcome: Outcome) -> None:
        if isinstance(what, tuple):
            self.routes.pop((what[0].id, what[1]), None)
            what[0].on_send_ended(now, what[1], outcome)
        else:
            what.on_answered(now, outcome)

    # The connections.

    def dial(self) -> None:
        if self.dialler is None and not self.stopped:
            self.owner.connection_opened(self)
            self.dialler = gevent.spawn(self.connect)

    def end_dial(self) -> None:
        """No connection came of the dial under way."""
        if self.dialler is not None:
            self.dialler = None
            self.owner.connection_closed(self)

    def connect(self) -> None:
        """Brings one more connection up; while there is none, tries again after pauses."""
        problem = ""
        while not self.stopped:
            gevent.sleep(max(0, self.dial_not_before - time.monotonic_ns()) / SECOND)
            try:
                if not self.owner.make_room_for_connection(bool(self.queue)):
                    if not self.queue:
                        self.end_dial()         # dialled once something waits for it
                        return
                    raise OSError("no descriptor is free for it")
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
                for what in queued.values():
                    self.finish(what, now, Outcome.UNREACHABLE)
                if not self.queue and (self.connections or not self.owner.dials_ahead()):
                    self.end_dial()
                    return
        else:
            return
        if self.queue:
            # word that a client is gone, or that the worker drains, may lie unread
            self.owner.catch_up_after_stall()
        if self.stopped:
            sock.close()                    # while it came up; it is counted no more
            return
        sock.settimeout(None)               # silence of a worker is judged by the decisions alone
        connection = Connection(sock, self.settings)
        self.backoff.on_connected(connection.last_received_at)
        self.connections.append(connection)
        self.dialler = None
        connection.reader = gevent.spawn(self.read, connection)
        queued, self.queue = self.queue, {}
        for id_, what in queued.items():
            if not isinstance(what, tuple) and what.is_done:
                continue                        # its time is up
            # The time that is left is told as it is now, or the worker would work on for nobody.
            frame = current_invoke_frame(id_, what[0]) if isinstance(what, tuple) else order_frame(id_, what)
            if (outcome := self.transmit(id_, what, frame)) is not None:
                self.finish(what, time.monotonic_ns(), outcome)

    def read(self, connection: Connection) -> None:
        frames, problem, answers = FrameDecoder(self.settings.max_body), "", []
        sock = connection.sock
        try:
            while not problem:
                try:
                    data = sock.recv(READ)
                    if not data:
                        break
                    connection.last_received_at = time.monotonic_ns()
                    answers = frames.feed(data)
                except ProtocolError as refused:
                    problem, answers = str(refused), getattr(refused, "before", [])
                if answers:
                    self.owner.catch_up_after_stall()
                for answer in answers:
                    self.on_frame(connection, answer)
        except (OSError, ProtocolError) as failed:
            problem = str(failed) or type(failed).__name__
        except Exception as fault:          # ours; loud, and what waits here is not left waiting
            self.note("fault", level="error", **exception_fields(fault))
            problem = "a fault of ours"
        connection.suspected = True         # carries nothing new while catch_up_after_stall() waits
        if connection.in_flight:
            self.owner.catch_up_after_stall()
        self.on_connection_lost(connection, problem or ("closed inside a frame" if frames.torn else ""))

    def on_frame(self, connection: Connection, it: Frame) -> None:
        """One answer as the call on the handle that it belongs to; one that nobody waits for is dropped."""
        what = connection.in_flight.get(it.id)
        if what is None:
            return
        now = time.monotonic_ns()
        if it.code not in (ENDS if isinstance(what, tuple) else ORDERS if what.fn else PROBES):
            raise ProtocolError(f"code {it.code} answers something else")
        load = report(it.fields["stats"], ";") if "stats" in it.fields else None
        if isinstance(what, tuple):
            copy = COPIES.get(it.fields.get("how", ""), Copy.UNKNOWN)
        elif what.fn:
            copies = it.fields.get("n", "0")
            if not (copies.isascii() and copies.isdigit() and len(copies) < 6):
                raise ProtocolError(f"n={copies[:20]} is no number of copies")
        del connection.in_flight[it.id]
        connection.has_answered = True
        left = connection.outbox.first_written_at.pop(it.id, now)
        if isinstance(what, tuple):
            pending, number = what
            self.routes.pop((pending.id, number), None)
            # What we held it up ourselves is not the worker's, or at our own limit every worker would look slow.
            pending.on_send_ended(now, number, ENDS[it.code], body=it.body, copy=copy, report=load,
                          waited=max(0, now - time_since_poll() - left))
        elif what.fn:
            what.on_answered(now, ORDERS[it.code], copies=int(copies))
        else:
            what.on_answered(now, Outcome.COMPLETED, report=load)
        if connection.suspected and not connection.in_flight:
            connection.suspected = False      # it lives: what was given up was slow

    def on_connection_lost(self, connection: Connection, problem: str) -> None:
        """Ends what waits on one connection: what never left goes over another, the rest may have run."""
        if connection not in self.connections:
            return
        ended = list(connection.in_flight.items())
        frames = {key: entry[1] for key, entry in connection.outbox.unwritten.items()}
        self.close_connection(connection)
        now = time.monotonic_ns()
        if problem or ended:
            self.note("link-broke", worker=self.worker, problem=problem or "closed", sends=len(ended))
        if not self.connections and not self.stopped:
            self.dial_not_before = self.backoff.on_disconnected(now) if problem or ended else now
            if self.owner.dials_ahead():
                self.dial()
        for id_, what in ended:
            if id_ not in frames:
                self.finish(what, now, Outcome.RESET)
                continue
            frame = current_invoke_frame(id_, what[0]) if isinstance(what, tuple) else frames[id_]
            if (outcome := self.transmit(id_, what, frame)) is not None:
                self.finish(what, now, outcome)

    def close_connection(self, connection: Connection) -> None:
        """Closes one connection, on which nothing counts any more."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.connection_closed(self)
        if connection.writer is not None:
            connection.writer.kill(block=False)
        if connection.reader is not None and connection.reader is not gevent.getcurrent():
            connection.reader.kill(block=False)
        connection.sock.close()
        connection.in_flight, connection.used_ids = {}, {}
        connection.outbox.clear()

    def stop(self) -> None:
        """Ends the link and its greenlets; what waits for answers ends like after a break."""
        self.stopped = True
        if self.dialler is not None:
            self.dialler.kill(block=False)
            self.end_dial()
        self.take_back()
        for connection in list(self.connections):
            self.on_connection_lost(connection, "stopped")
