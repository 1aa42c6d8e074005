"""One client's connection: FastCGI records to requests, answers back under their numbers.

One greenlet a connection reads; answers are written by whoever brings them, and by a greenlet of its own only while a
client does not take them. Who is kept and for how long is decided in connection_eviction.py.
"""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent import socket

from threadshift.engine.engine import PendingRequest
from threadshift.fastcgi import codec, connection_eviction, requests
from threadshift.fastcgi.codec import ABORT, BEGIN, GET_VALUES, PARAMS, STDIN, ProtocolError, Records
from threadshift.fastcgi.requests import LONGEST_BODY, LONGEST_PARAMS, InvalidRequest
from threadshift.interface import MS, SECOND
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.links.sockets import BufferedSender, has_events

READ = 16 << 10            # bytes a read: several usual requests, and little memory a connection
WRITE = 2 * SECOND         # without progress, until a client that takes no answer is cut off
BUFFER = 1 << 20           # bytes of answers that wait for one client; its open requests' usual answers fit
MOST_OPEN = 32             # requests on one connection; the protocol's bound
DROPPED = 256 << 10        # bytes for requests that have ended, until the connection is closed
IDS_TOLD = 4               # of requests whose connection ended, in one line of the log
PROMPT = 50 * MS           # from accepting to the first bytes: what comes so soon came with the connection

MANY = requests.busy("too many requests on one connection", 0)


class Listener(Protocol):
    """What a connection asks of the listener that accepted it."""

    refusal_counters: RefusalCounters
    max_connections: Callable[[], int]   # connections that clients may hold now
    note: Callable[..., None]

    def take(self, request: Request, unread: int) -> None: ...


class Request:
    """One request under way: being read, then held by the engine."""

    __slots__ = ("connection", "number", "keep", "began", "params", "body", "told", "pending")

    def __init__(self, connection: Connection, number: int, keep: bool, began: int):
        self.connection, self.number, self.keep, self.began = connection, number, keep, began
        self.params, self.body = b"", b""
        self.told: dict[bytes, str] | None = None       # its parameters, once they are whole
        self.pending: Any = None                           # the activation; True while it is being taken

    def respond(self, content: bytes, status: int = codec.COMPLETE) -> None:
        self.connection.respond(self, content, status)


class Connection(BufferedSender):
    """One client connection."""

    def __init__(self, sock: socket.socket, listener: Listener, unread: int):
        super().__init__(sock, BUFFER, WRITE)
        self.listener, self.unread = listener, unread
        self.accepted = self.active = time.monotonic_ns()
        self.limit = self.accepted + connection_eviction.FIRST_ANSWER_TIMEOUT
        self.open: dict[int, Request] = {}
        self.answered = self.last = self.ended = False
        self.offences = self.dropped = 0

    @property
    def busy(self) -> bool:
        return bool(self.open) or bool(self.outbox.size)

    def serve(self) -> None:
        """Reads until the end. Returns with the connection closed and nothing of it held."""
        records = Records()
        try:
            while not self.last or self.open:
                data = self.sock.recv(READ)
                if not data or self.ended:
                    return
                now = self.active = time.monotonic_ns()
                if self.unread and now - self.accepted > PROMPT:
                    self.unread = 0     # it was sent later
                offences = self.offences
                for kind, number, content in records.feed(data):
                    self.hear(kind, number, content)
                if self.offences > offences:
                    gevent.sleep(connection_eviction.read_pause(self.offences, bool(self.open)) / SECOND)
        except ProtocolError as problem:
            self.listener.refusal_counters.record(time.monotonic_ns(), "unreadable")
            self.listener.note("unreadable", level="debug", problem=str(problem))
            self.offences += 1
            self.give_up_all()
            gevent.sleep(connection_eviction.CLOSE_DELAY / SECOND)
        except OSError:
            pass
        finally:
            self.give_up_all()
            if self.writer is not None:
                self.writer.join(WRITE / SECOND)
            self.sock.close()

    def give_up_all(self) -> None:
        """The client is gone, or is to go: nothing is owed to it any more."""
        gone, self.open = list(self.open.values()), {}
        if ids := [request.pending.id for request in gone if isinstance(request.pending, PendingRequest)]:
            self.listener.note("client-gone", requests=len(ids), ids=ids[:IDS_TOLD])
        for request in gone:
            self.let_go(request)

    def let_go(self, request: Request) -> None:
        if isinstance(request.pending, PendingRequest) and not request.pending.is_settled:
            request.pending.on_client_gone(time.monotonic_ns())

    def hear(self, kind: int, number: int, content: bytes) -> None:
        """One record. Raises ProtocolError."""
        if number == 0:
            if kind == GET_VALUES:
                self.put(codec.values(content, self.listener.max_connections(), MOST_OPEN))
                self.offences += 1      # nobody needs it twice; asked again and again, it is answered slowly
            elif kind in (BEGIN, ABORT, PARAMS, STDIN):
                raise ProtocolError(f"type {kind} under number 0")
            else:
                self.put(codec.unknown(kind))
                self.offences += 1
            return
        request = self.open.get(number)
        if kind == BEGIN:
            self.begin(number, content)
        elif request is None:
            # Of a request that was answered early, or was given up: the rest of it is still on its way.
            self.dropped += len(content)
            if self.dropped > DROPPED:
                raise ProtocolError("a request goes on and on after its end")
        elif kind == ABORT:
            del self.open[number]
            self.let_go(request)
        elif kind in (PARAMS, STDIN):
            try:
                (self.params if kind == PARAMS else self.stdin)(request, content)
            except InvalidRequest as problem:
                self.unfit(request, problem)
        else:
            raise ProtocolError(f"type {kind} is not for a client to send")

    def begin(self, number: int, content: bytes) -> None:
        role, keep = codec.begin(content)
        if number in self.open:
            raise ProtocolError(f"number {number} is begun twice")
        now = time.monotonic_ns()
        request = Request(self, number, keep, now)
        if len(self.open) >= MOST_OPEN:
            self.offences += 1
            self.listener.refusal_counters.record(now, "too-many-open")
            self.put(codec.response(number, MANY))
            return
        self.open[number] = request
        self.limit = min(self.limit, now + connection_eviction.REQUEST_READ_TIMEOUT)
        if role != codec.RESPONDER:
            self.offences += 1
            request.respond(b"", codec.UNKNOWN_ROLE)

    def params(self, request: Request, content: bytes) -> None:
        """Raises InvalidRequest, as stdin() does."""
        if request.told is not None:
            raise ProtocolError("parameters after their end")
        if content:
            request.params += content
            if len(request.params) > LONGEST_PARAMS:
                raise InvalidRequest(413, f"parameters pass {LONGEST_PARAMS} bytes")
            return
        request.told, request.params = requests.parameters(request.params), b""

    def stdin(self, request: Request, content: bytes) -> None:
        if request.told is None:
            raise ProtocolError("a body before the end of the parameters")
        if request.pending is not None:
            raise ProtocolError("a body after its end")
        if content:
            request.body += content
            if len(request.body) > LONGEST_BODY:
                raise InvalidRequest(413, f"a body passes {LONGEST_BODY} bytes")
            return
        unread, self.unread, self.dropped = self.unread, 0, 0
        self.listener.take(request, unread)

    def unfit(self, request: Request, problem: InvalidRequest) -> None:
        self.offences += 1
        self.listener.refusal_counters.record(time.monotonic_ns(), "unfit")
        self.listener.note("unfit", level="debug", problem=str(problem))
        request.respond(requests.unfit(problem))

    # Answers.

    def respond(self, request: Request, content: bytes, status: int = codec.COMPLETE) -> None:
        if self.open.get(request.number) is not request:
            return                      # its client gave it up: the number may be another's by now
        del self.open[request.number]
        self.answered = True
        self.active = time.monotonic_ns()
        self.last = self.last or not request.keep
        self.put(codec.response(request.number, content, status))

    def put(self, data: bytes) -> None:
        if self.outbox.put(None, data):
            self.write()
        else:
            self.shut()                 # it takes no answers

    def written(self) -> None:
        if self.last and not self.open:
            self.shut(socket.SHUT_RD)

    def end(self) -> bool:
        """Ends a connection with nothing open; False where something lies unread on it, which is a request.

        Nothing is read from here on: one taken from a connection that we have closed could not be answered. Found by
        an incident, 53 requests of one day."""
        if not self.ended and not has_events(self.sock, select.POLLIN):
            self.ended = True
            self.shut()
        return self.ended

    def look(self, now: int) -> None:
        """A limit has passed, or may have: what is overdue ends."""
        self.limit = now + connection_eviction.FIRST_ANSWER_TIMEOUT
        for request in [each for each in self.open.values() if each.pending is None]:
            if now - request.began >= connection_eviction.REQUEST_READ_TIMEOUT:
                self.unfit(request, InvalidRequest(400, "the request did not end in time"))
            else:
                self.limit = min(self.limit, request.began + connection_eviction.REQUEST_READ_TIMEOUT)
        if not self.busy:
            left = connection_eviction.remaining_idle_time(self, now)
            if left <= 0:
                self.end()
            else:
                self.limit = min(self.limit, now + left)
