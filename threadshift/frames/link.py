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
    ASK, ERROR, FINE, FULL, GIVE_UP, HOLD, INVOKE, MISS, OK, OVER, UNWELL, Answer, Frames, NotFrames, encode)
from threadshift.interface import MS, SECOND, Copy, Outcome
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import Outgoing, connect, shows, since_ready
from threadshift.log import exception_fields

READ = 16 << 10            # bytes a read: many usual answers, and little memory a connection
MOST_USED = 128            # ids remembered a connection that may not go over it again
COPIES = {"reused": Copy.FOUND, "init": Copy.BEGAN, "shared_init": Copy.WAITED, "init_error": Copy.LOAD_FAILED}
ENDS = {OK: Outcome.COMPLETED, MISS: Outcome.MISS, FULL: Outcome.FULL, ERROR: Outcome.ERROR, OVER: Outcome.MOOT}
ORDERS = {OK: Outcome.COMPLETED, FULL: Outcome.FULL, ERROR: Outcome.ERROR}
PROBES = (FINE, UNWELL)


class Told(NamedTuple):
    """What is told of workers' connections at start, and bounds derived from it."""

    connect: int         # ns until a connection that is not up counts as unreachable
    write: int           # ns without progress until one that takes no bytes is broken off
    idle: int            # ns after which workers close an idle one
    streams: int         # sends on one at once
    most: int            # connections to each worker
    shared: int          # sends on each from which another is dialled
    buffer: int          # bytes waiting to be written to one
    body: int            # bytes of an answer's body


class Owner(Protocol):
    """Whose link it is. settle() is called before what answers bring, or a dial that came up, is
    acted upon: it may wait a moment. room() makes room for one
    more connection, by ending others only where it is wanted for something that waits; False where there is none.
    dials_ahead() tells whether connections are dialled before anything waits for them: not where workers are too many
    to have one each. Each dial is counted as a connection from its begin on."""

    def settle(self) -> None: ...
    def room(self, wanted: bool) -> bool: ...
    def dials_ahead(self) -> bool: ...
    def connection_opened(self, link: Link) -> None: ...
    def connection_closed(self, link: Link) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


def request(id_: bytes, call: Any, left: int) -> bytes:
    """The frame of a send with so much time left."""
    fields = f"class={call.type},key={call.function},wait={max(1, left // MS)}"
    if call.mark:
        fields += f",once={call.mark}"          # by which a worker knows a repeat
    return encode(INVOKE, id_, fields, call.body)


def frame_of_order(id_: bytes, asked: Any) -> bytes:
    """The frame of a load order, or of a question for a report."""
    return encode(HOLD, id_, f"key={asked.function},n=1") if asked.function else encode(ASK, id_)


def request_now(id_: bytes, pending: Any) -> bytes:
    """The frame of a send that has waited: it says how much time is left now."""
    return request(id_, pending.call, pending.time_left(time.monotonic_ns()))


class Connection(Outgoing):
    """One connection to a worker."""

    def __init__(self, sock: socket.socket, told: Told):
        super().__init__(sock, told.buffer, told.write)
        self.waiting: dict[bytes, Any] = {}     # (pending, number) of a send, or an Asked
        self.used: dict[bytes, None] = {}
        self.proven = self.doubted = False
        self.heard = time.monotonic_ns()
        self.reader: gevent.Greenlet | None = None

    def refresh(self) -> None:
        """Requests that waited for the socket say how much time is left now, not when they were queued."""
        for id_ in self.outbox.unwritten:
            what = self.waiting.get(id_)
            if isinstance(what, tuple):
                self.outbox.replace(id_, request_now(id_, what[0]))


class Link:
    """All connections to one worker."""

    def __init__(self, worker: str, address: Address, told: Told, owner: Owner, chance: Callable[[], float],
                 bits: Callable[[int], int]):
        self.worker, self.address, self.told, self.owner, self.bits = worker, address, told, owner, bits
        self.note = owner.note
        self.backoff = ReconnectBackoff(chance)
        self.not_before = 0
        self.connections: list[Connection] = []
        self.queue: dict[bytes, Any] = {}       # what waits for the first connection, as in Connection.waiting
        self.ways: dict[tuple[str, int], tuple[Connection | None, bytes]] = {}   # where a send waits, for cancels
        self.dialler: gevent.Greenlet | None = None
        self.stopped = False
        if owner.dials_ahead():
            self.dial()

    # What the engine's port asks for.

    def invoke(self, pending: Any, number: int, left: int) -> Outcome | None:
        id_ = bytes.fromhex(pending.id)
        outcome = self.place(id_, (pending, number), request(id_, pending.call, left))
        if self.connections and pool.another(self.connections, self.dialler is not None, self.told.most,
                                             self.told.shared):
            self.dial()
        return outcome

    def place(self, id_: bytes, what: Any, frame: bytes) -> Outcome | None:
        """Puts a frame on the connection that fits and notes where it waits: the one way for all frames that are
        answered. Idle connections that were closed meanwhile are ended on the way. Nothing of a request whose time
        is up while it waited here is written."""
        if isinstance(what, tuple) and what[0].time_left(time.monotonic_ns()) <= 0:
            return Outcome.MOOT
        while (connection := pool.fit(self.connections, id_, self.told.streams)) is not None and (
                not connection.waiting and self.closed(connection)):
            self.end(connection)
        if connection is None and (isinstance(what, tuple) or not (self.connections or self.owner.dials_ahead())):
            return self.wait_for_dial(what, id_)
        if connection is None or not connection.outbox.put(id_, frame):
            if not self.connections:
                self.dial()
            return Outcome.UNREACHABLE      # a worker that does not read: what fits no more never left
        connection.waiting[id_] = what
        connection.used[id_] = None
        if len(connection.used) > MOST_USED:
            del connection.used[next(iter(connection.used))]
        connection.write()
        if isinstance(what, tuple):
            self.ways[what[0].id, what[1]] = connection, id_
        elif connection.outbox.withdraw(id_):
            # An order or a question leaves at once or not at all: late ones would come to the worker in a bunch.
            del connection.waiting[id_]
            return Outcome.UNREACHABLE
        return None

    def wait_for_dial(self, what: Any, id_: bytes) -> Outcome | None:
        if self.stopped or time.monotonic_ns() < self.not_before or id_ in self.queue or (
                len(self.connections) >= self.told.most and not self.make_room()):
            return Outcome.UNREACHABLE
        if len(self.queue) >= self.told.streams:
            return Outcome.UNREACHABLE      # more than one connection takes: it never left
        self.queue[id_] = what
        if isinstance(what, tuple):
            self.ways[what[0].id, what[1]] = None, id_
        self.dial()
        return None

    def make_room(self) -> bool:
        """Ends a connection that carries nothing, where all that there may be stand and none can be used."""
        for connection in self.connections:
            if not connection.waiting:
                self.end(connection)
                return True
        return False

    def order_load(self, asked: Any) -> Outcome | None:
        id_ = self.number()
        return self.place(id_, asked, frame_of_order(id_, asked))

    def probe(self, asked: Any) -> Outcome | None:
        return self.order_load(asked)

    def number(self) -> bytes:
        """An id of our own, which meets no other that is open here."""
        while True:
            id_ = self.bits(64).to_bytes(8, "big")
            if id_ not in self.queue and not any(id_ in each.waiting for each in self.connections):
                return id_

    def closed(self, connection: Connection) -> bool:
        """Whether the peer has closed an idle connection, seen or not, or is about to: nothing is written on it."""
        if pool.stale(time.monotonic_ns(), connection.heard, self.told.idle):
            return True
        return shows(connection.sock, select.POLLRDHUP)

    def cancel(self, pending: Any, number: int, tell: bool) -> Outcome:
        """Stops waiting for a send. MOOT where it never left. The worker is told in any case, or it works on."""
        if self.withdraw(pending, number):
            return Outcome.MOOT
        connection, id_ = self.ways.pop((pending.id, number), (None, b""))
        if connection is None or connection.waiting.pop(id_, None) is None:
            return Outcome.CANCELLED
        left = connection.outbox.left.pop(id_, 0)
        if connection.outbox.put(None, encode(GIVE_UP, id_)):
            connection.write()
        connection.doubted = connection.doubted or pool.doubt(connection.heard, left)
        if connection.doubted and not connection.waiting:
            self.end(connection)
        return Outcome.CANCELLED

    def withdraw(self, pending: Any, number: int) -> bool:
        """Takes back a send of which nothing has left, not even where it waits for a dial; False where it has."""
        connection, id_ = self.ways.get((pending.id, number), (None, b""))
        if not id_ or (self.queue.pop(id_, None) is None if connection is None
                       else not connection.outbox.withdraw(id_)):
            return False
        if connection is not None:
            del connection.waiting[id_]
        del self.ways[pending.id, number]
        return True

    def take_back(self) -> None:
        """Ends all that waits here and of which nothing is written: it never ran. Called when nothing more may go to
        this worker."""
        now = time.monotonic_ns()
        queued, self.queue = [*self.queue.values()], {}
        for connection in self.connections:
            for id_, what in list(connection.waiting.items()):
                if connection.outbox.withdraw(id_):
                    del connection.waiting[id_]
                    queued.append(what)
        for what in queued:
            self.finish(what, now, Outcome.UNREACHABLE)

    @property
    def busy(self) -> bool:
        return bool(self.queue) or any(each.waiting for each in self.connections)

    @property
    def up(self) -> bool:
        return bool(self.connections)

    def finish(self, what: Any, now: int, outcome: Outcome) -> None:
        if isinstance(what, tuple):
            self.ways.pop((what[0].id, what[1]), None)
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
            gevent.sleep(max(0, self.not_before - time.monotonic_ns()) / SECOND)
            try:
                if not self.owner.room(bool(self.queue)):
                    if not self.queue:
                        self.end_dial()         # dialled once something waits for it
                        return
                    raise OSError("no descriptor is free for it")
                sock = connect(self.address, self.told.connect)
                break
            except OSError as failed:
                if self.queue:
                    self.owner.settle()
                now = time.monotonic_ns()
                self.not_before = self.backoff.on_disconnected(now)
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
            self.owner.settle()             # word that a client is gone, or that the worker drains, may lie unread
        if self.stopped:
            sock.close()                    # while it came up; it is counted no more
            return
        sock.settimeout(None)               # silence of a worker is judged by the decisions alone
        connection = Connection(sock, self.told)
        self.backoff.on_connected(connection.heard)
        self.connections.append(connection)
        self.dialler = None
        connection.reader = gevent.spawn(self.read, connection)
        queued, self.queue = self.queue, {}
        for id_, what in queued.items():
            if not isinstance(what, tuple) and what.is_done:
                continue                        # its time is up
            # The time that is left is told as it is now, or the worker would work on for nobody.
            frame = request_now(id_, what[0]) if isinstance(what, tuple) else frame_of_order(id_, what)
            if (outcome := self.place(id_, what, frame)) is not None:
                self.finish(what, time.monotonic_ns(), outcome)

    def read(self, connection: Connection) -> None:
        frames, problem, answers = Frames(self.told.body), "", []
        sock = connection.sock
        try:
            while not problem:
                try:
                    data = sock.recv(READ)
                    if not data:
                        break
                    connection.heard = time.monotonic_ns()
                    answers = frames.feed(data)
                except NotFrames as refused:
                    problem, answers = str(refused), getattr(refused, "before", [])
                if answers:
                    self.owner.settle()
                for answer in answers:
                    self.hear(connection, answer)
        except (OSError, NotFrames) as failed:
            problem = str(failed) or type(failed).__name__
        except Exception as fault:          # ours; loud, and what waits here is not left waiting
            self.note("fault", level="error", **exception_fields(fault))
            problem = "a fault of ours"
        connection.doubted = True           # carries nothing new while settle() waits
        if connection.waiting:
            self.owner.settle()
        self.broke(connection, problem or ("closed inside a frame" if frames.torn else ""))

    def hear(self, connection: Connection, it: Answer) -> None:
        """One answer as the call on the handle that it belongs to; one that nobody waits for is dropped."""
        what = connection.waiting.get(it.id)
        if what is None:
            return
        now = time.monotonic_ns()
        if it.code not in (ENDS if isinstance(what, tuple) else ORDERS if what.fn else PROBES):
            raise NotFrames(f"code {it.code} answers something else")
        load = report(it.fields["stats"], ";") if "stats" in it.fields else None
        if isinstance(what, tuple):
            copy = COPIES.get(it.fields.get("how", ""), Copy.UNTOLD)
        elif what.fn:
            copies = it.fields.get("n", "0")
            if not (copies.isascii() and copies.isdigit() and len(copies) < 6):
                raise NotFrames(f"n={copies[:20]} is no number of copies")
        del connection.waiting[it.id]
        connection.proven = True
        left = connection.outbox.left.pop(it.id, now)
        if isinstance(what, tuple):
            pending, number = what
            self.ways.pop((pending.id, number), None)
            # What we held it up ourselves is not the worker's, or at our own limit every worker would look slow.
            pending.on_send_ended(now, number, ENDS[it.code], body=it.body, copy=copy, report=load,
                          waited=max(0, now - since_ready() - left))
        elif what.fn:
            what.on_answered(now, ORDERS[it.code], copies=int(copies))
        else:
            what.on_answered(now, Outcome.COMPLETED, report=load)
        if connection.doubted and not connection.waiting:
            connection.doubted = False       # it lives: what was given up was slow

    def broke(self, connection: Connection, problem: str) -> None:
        """Ends what waits on one connection: what never left goes over another, the rest may have run."""
        if connection not in self.connections:
            return
        ended = list(connection.waiting.items())
        frames = {key: entry[1] for key, entry in connection.outbox.unwritten.items()}
        self.end(connection)
        now = time.monotonic_ns()
        if problem or ended:
            self.note("link-broke", worker=self.worker, problem=problem or "closed", sends=len(ended))
        if not self.connections and not self.stopped:
            self.not_before = self.backoff.on_disconnected(now) if problem or ended else now
            if self.owner.dials_ahead():
                self.dial()
        for id_, what in ended:
            if id_ not in frames:
                self.finish(what, now, Outcome.RESET)
                continue
            frame = request_now(id_, what[0]) if isinstance(what, tuple) else frames[id_]
            if (outcome := self.place(id_, what, frame)) is not None:
                self.finish(what, now, outcome)

    def end(self, connection: Connection) -> None:
        """Closes one connection, on which nothing counts any more."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.connection_closed(self)
        if connection.writer is not None:
            connection.writer.kill(block=False)
        if connection.reader is not None and connection.reader is not gevent.getcurrent():
            connection.reader.kill(block=False)
        connection.sock.close()
        connection.waiting, connection.used = {}, {}
        connection.outbox.clear()

    def stop(self) -> None:
        """Ends the link and its greenlets; what waits for answers ends like after a break."""
        self.stopped = True
        if self.dialler is not None:
            self.dialler.kill(block=False)
            self.end_dial()
        self.take_back()
        for connection in list(self.connections):
            self.broke(connection, "stopped")
