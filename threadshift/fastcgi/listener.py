"""The listener for FastCGI clients: accepts connections, takes or refuses their requests, ends what must make room.

Who is kept and for how long is decided in connection_eviction.py, who is let in in invoke/admission.py.
"""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.pool import Group

from threadshift.engine.engine import PendingRequest, RequestEngine
from threadshift.fastcgi import codec, connection_eviction, requests
from threadshift.fastcgi.codec import BEGIN, ProtocolError, Records
from threadshift.fastcgi.connection import MOST_OPEN, READ, WRITE, Connection, Request
from threadshift.fastcgi.postponed import FrontEnd, PostponedRequests
from threadshift.fastcgi.requests import InvalidRequest
from threadshift.interface import MS, SECOND, NamespaceType
from threadshift.invoke.admission import Admission
from threadshift.invoke.poll_monitor import STALL_THRESHOLD, PollMonitor
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.links.sockets import BACKLOG, accept_connections, has_events
from threadshift.log import exception_fields

LOOK = 100 * MS            # between two looks at all limits; they are of seconds
ROOM_WAIT = 2 * MS         # for connections that make room to end
ROOM_WAITS = 10            # such waits at the most: a loop at its limit takes as long to come round
VAIN = 100 * MS            # without waiting for room again once that was in vain: who comes is closed upon at once
FLUSH = 100 * MS           # at the end, for what was let in last to be answered; a refusal takes a ms

CLOSING, LATE, FULL, OVERLOADED, FAULT = "closing", "too-late", "too-many-activations", "overloaded", "fault"
CROWDED = "too-many-connections"


def attempts_of(pending: PendingRequest) -> list[str]:
    """The attempts of a request for its line in the log: worker, ms after the request was taken, outcome."""
    return [f"{sent.worker} +{(sent.sent_at - pending.admitted_at) // MS} "
            f"{sent.outcome.value if sent.outcome else 'open'}"
            for sent in pending.sends]


class FastCgiListener:
    """The listener and all connections; the engine's port to clients."""

    def __init__(self, max_connections: Callable[[], int], max_activations: int, types: dict[str, NamespaceType],
                 max_retry_advice: int, admission: Admission, front_end: FrontEnd, note: Callable[..., None],
                 chance: Callable[[], float]):
        self.max_connections, self.max_activations, self.types, self.max_retry_advice = (
            max_connections, max_activations, types, max_retry_advice)
        self.admission, self.front_end, self.note, self.chance = admission, front_end, note, chance
        self.poll_monitor, self.refusal_counters = PollMonitor(), RefusalCounters()
        self.connections: set[Connection] = set()
        self.greenlets = Group()
        self.postponed = PostponedRequests(self, self.greenlets.spawn)
        self.closing = False
        self.due = self.in_vain = 0
        self.engine: RequestEngine

    def accept(self, sock: socket.socket) -> None:
        for client in accept_connections(sock, self.note):
            self.wait_for_room()
            if len(self.connections) >= self.max_connections():
                self.refusal_counters.record(time.monotonic_ns(), CROWDED)
                self.turn_away(client)
                continue
            self.welcome(client)

    def turn_away(self, client: socket.socket) -> None:
        """Closes a connection for which there is no room; requests that lie on it already are refused in words."""
        with suppress(OSError, ProtocolError):
            client.settimeout(0)
            begun = [number for kind, number, _ in Records().feed(client.recv(READ)) if kind == BEGIN]
            client.send(b"".join(codec.response(number, self.busy(CROWDED)) for number in begun[:MOST_OPEN]))
        client.close()

    def wait_for_room(self) -> None:
        """Ends others until one more has room: workers may have come meanwhile, and clients leave room for them.

        Hundreds that come at once are too new to go, for as long as GRACE. Closed upon for that, a usual client lost
        what it had sent on a new connection: it waits for the first that may go. In vain, none is waited for again
        for a while."""
        since = time.monotonic_ns()
        while len(self.connections) >= self.max_connections():
            if self.make_room():
                continue
            now = time.monotonic_ns()
            if now - self.in_vain < VAIN:
                return
            if now - since > connection_eviction.ACTIVITY_GRACE + ROOM_WAIT:
                self.in_vain = now
                return
            gevent.sleep(ROOM_WAIT / SECOND)

    def welcome(self, client: socket.socket) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(client, self, self.poll_monitor.unread_time(time.monotonic_ns()))
        self.connections.add(connection)
        self.greenlets.spawn(self.converse, connection)

    def make_room(self) -> bool:
        """Ends some connections that nothing is owed on, and waits until they are closed; whether any was."""
        going = [each for each in connection_eviction.candidates(self.connections, time.monotonic_ns())
                 if each.end()]
        for _ in range(ROOM_WAITS if going else 0):
            gevent.sleep(ROOM_WAIT / SECOND)
            if any(each not in self.connections for each in going):
                return True
        return False

    @property
    def under_way(self) -> int:
        """Requests being read, waiting or served, and connections with an answer that is still to be written."""
        return sum(len(each.open) + bool(each.outbox.size) for each in self.connections)

    def converse(self, connection: Connection) -> None:
        try:
            connection.serve()
        except Exception as fault:      # ours; it ends this connection alone, and loudly
            self.note("fault", level="error", **exception_fields(fault))
        finally:
            self.connections.discard(connection)

    def take(self, request: Request, unread: int) -> None:
        """A whole request: answered, refused, or taken. Raises InvalidRequest."""
        told = request.told
        assert told is not None
        if told.get(b"SCRIPT_NAME") == requests.ALIVE:
            request.pending = True
            request.respond(requests.DONE if self.front_end.ready() else self.busy("not-ready"))
            return
        # First, as what is refused must cost as little as can be: at the limit all else is work for nothing.
        if not self.admission.admit(b"HTTP_X_AGAIN" in told):
            self.refuse(request, OVERLOADED)
            return
        asked = requests.read(told, request.body, self.types)
        request.pending, request.told, request.body = True, {}, b""
        # It may have lain unread since the event loop looked last: its client's time ran all the while.
        unread = max(unread, self.poll_monitor.unread_time(time.monotonic_ns()))
        if unread < STALL_THRESHOLD and not self.front_end.list_is_stale() and not self.front_end.has_unread_update():
            self.let_in(request, asked, unread)
        elif len(self.postponed) + len(self.engine.requests) >= self.max_activations:
            self.refuse(request, FULL, asked.ivk)
        else:
            self.postponed.add(request, asked, unread)

    # What postponed requests ask for.

    def still_open(self, request: Request) -> bool:
        return request.connection.open.get(request.number) is request

    def unread_on(self, request: Request) -> bool:
        """Whether something lies unread on the connection of a request that is open."""
        return self.still_open(request) and has_events(request.connection.sock, select.POLLIN | select.POLLRDHUP)

    def refuse_late(self, request: Request, asked: requests.ParsedRequest) -> None:
        self.refuse(request, LATE, asked.ivk)

    def take_postponed(self, request: Request, asked: requests.ParsedRequest, unread: int) -> None:
        """A request that has waited long enough: refused, or the engine's from here on."""
        try:
            self.let_in(request, asked, unread)
        except InvalidRequest as problem:
            request.connection.unfit(request, problem)
        except Exception as fault:      # ours; it ends this request alone, and loudly
            self.note("fault", level="error", **exception_fields(fault))
            self.refuse(request, FAULT)

    def let_in(self, request: Request, asked: requests.ParsedRequest, unread: int) -> None:
        """Refused, or the engine's from here on. Raises InvalidRequest."""
        if asked.ivk in self.engine.requests:
            raise InvalidRequest(409, "a request with this id is open")
        call = asked.call._replace(left=asked.call.left - unread)
        if self.closing or call.left <= 0 or len(self.engine.requests) >= self.max_activations:
            self.refuse(request, CLOSING if self.closing else LATE if call.left <= 0 else FULL, asked.ivk)
            return
        request.pending = self.engine.admit(time.monotonic_ns(), asked.ivk, call, request)

    def refuse(self, request: Request, reason: str, id_: str = "") -> None:
        """Not taken: nothing ran, so trying again is harmless."""
        now = time.monotonic_ns()
        self.refusal_counters.record(now, reason)
        if id_:
            self.note("request-refused", reason=reason, id=id_, read_ms=(now - request.began) // MS)
        request.pending = True
        request.respond(self.busy(reason))

    def busy(self, reason: str) -> bytes:
        return requests.busy(reason, int(self.max_retry_advice * (1 - self.chance() / 2)))

    # The engine's port.

    def has_unread_disconnect(self, pending: PendingRequest) -> bool:
        connection = pending.client.connection
        return connection.sock.fileno() < 0 or has_events(connection.sock, select.POLLRDHUP)

    def on_answered(self, pending: PendingRequest) -> None:
        answer = pending.answer
        assert answer is not None
        if answer.reason != "completed":
            self.refusal_counters.record(pending.answered_at, f"{answer.final.value}-{answer.reason}")
        if answer.reason != "completed" or len(pending.sends) > 1:
            self.note("request-ended", reason=answer.reason, id=pending.id, type=pending.call.type,
                      answer=answer.final.value, after_ms=(pending.answered_at - pending.admitted_at) // MS,
                      left_ms=pending.time_left(pending.answered_at) // MS, attempts=attempts_of(pending))
        pending.client.respond(requests.final(answer))

    def on_finished(self, pending: PendingRequest) -> None:
        """Nothing is kept beyond the handle."""

    # Time.

    def tick(self, now: int) -> None:
        if now < self.due:
            return
        self.due = now + LOOK
        for each in [each for each in self.connections if each.limit <= now]:
            each.look(now)
        self.tell_turned_away(now)

    def end(self, sock: socket.socket) -> None:
        """Ends the listener and all connections, once nothing is owed. What the kernel has accepted for us is let in
        first, and what lies unread is refused in words: closed upon, it would be lost."""
        sock.settimeout(0)
        with suppress(OSError):
            for _ in range(BACKLOG):
                self.welcome(sock.accept()[0])
        sock.close()
        until = time.monotonic_ns() + FLUSH
        gevent.sleep(ROOM_WAIT / SECOND)
        while time.monotonic_ns() < until and any(
                each.busy or has_events(each.sock, select.POLLIN) for each in self.connections):
            gevent.sleep(ROOM_WAIT / SECOND)
        for each in list(self.connections):
            each.shut()
        self.greenlets.join(WRITE / SECOND)
        self.greenlets.kill()
        self.tell_turned_away(time.monotonic_ns(), all_=True)

    def tell_turned_away(self, now: int, all_: bool = False) -> None:
        for line in self.refusal_counters.due_reports(now, all_):
            self.note("turned-away", level="warning", **line)
