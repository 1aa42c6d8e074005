"""The listener for FastCGI clients: accepts connections, admits or refuses requests, closes connections for new ones.

connection_eviction.py decides which connections stay open and for how long, invoke/admission.py which requests are
admitted under overload.
"""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.pool import Group

from threadshift.engine.engine import PendingRequest, RequestEngine, may_have_run
from threadshift.fastcgi import activation_shares, codec, connection_eviction, requests
from threadshift.fastcgi.codec import BEGIN, ProtocolError, Records
from threadshift.fastcgi.connection import MAX_OPEN_REQUESTS, READ_SIZE, WRITE_TIMEOUT, Connection, Request
from threadshift.fastcgi.lateness import Progress, Stage
from threadshift.fastcgi.postponed import FrontEnd, PostponedRequests
from threadshift.fastcgi.requests import InvalidRequest
from threadshift.fastcgi.used_ids import UsedIds
from threadshift.interface import MS, SECOND, Effect, NamespaceType
from threadshift.invoke.admission import Admission
from threadshift.invoke.input_age import InputAge
from threadshift.invoke.poll_monitor import STALL_THRESHOLD, PollMonitor
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.links.sockets import BACKLOG, accept_connections, has_events
from threadshift.links.turns import Turns
from threadshift.log import exception_fields
from threadshift.memory_budget import MemoryBudget

LIMIT_CHECK_INTERVAL = 100 * MS    # between two checks of the connections' time limits, which are seconds
CLOSE_POLL_INTERVAL = 2 * MS       # between two checks whether connections are closed
MAX_CLOSE_POLLS = 10               # an overloaded event loop takes as long to run their greenlets
EVICTION_RETRY_DELAY = 100 * MS    # after no connection could be evicted, while new ones are refused without waiting
FLUSH_TIME = 100 * MS              # at the end, for the last requests to be answered; a refusal takes a ms

# Reasons of refusals.
CLOSING, LATE, FULL, OVERLOADED, FAULT = "closing", "too-late", "too-many-activations", "overloaded", "fault"
TOO_MANY_CONNECTIONS, MEMORY_SHORT = "too-many-connections", "memory-short"


def describe_sends(pending: PendingRequest) -> list[str]:
    """Returns the sends of a request for its line in the log: worker, ms after the admission, outcome."""
    return [f"{sent.worker} +{(sent.sent_at - pending.admitted_at) // MS} "
            f"{sent.outcome.value if sent.outcome else 'open'}"
            for sent in pending.sends]


class FastCgiListener:
    """Accepts client connections and is the engine's port to clients."""

    def __init__(self, max_connections: Callable[[], int], max_activations: int, types: dict[str, NamespaceType],
                 max_retry_after: int, admission: Admission, front_end: FrontEnd, note: Callable[..., None],
                 chance: Callable[[], float], memory_budget: MemoryBudget, max_used_ids: int,
                 longest_answer: int):
        self.max_connections, self.max_activations, self.types, self.max_retry_after = (
            max_connections, max_activations, types, max_retry_after)
        self.admission, self.front_end, self.note, self.chance = admission, front_end, note, chance
        self.longest_answer = longest_answer
        self.memory_budget, self.used_ids = memory_budget, UsedIds(max_used_ids)
        self.poll_monitor, self.refusal_counters = PollMonitor(), RefusalCounters()
        self.connections: set[Connection] = set()
        self.greenlets = Group()
        self.read_turns = Turns()
        self.postponed = PostponedRequests(self, self.greenlets.spawn)
        self.closing = False
        self.limit_check_due = self.eviction_failed_at = 0
        self.longest_unread = 0      # ns that a request may have lain unread, since the last state that was logged
        self.engine: RequestEngine

    def accept(self, sock: socket.socket) -> None:
        """Accepts connections until the socket is closed."""
        age = InputAge(self.poll_monitor, time.monotonic_ns())
        for client in accept_connections(sock, self.note, lambda began: age.on_read(began, is_empty=False)):
            self.wait_for_room()
            if len(self.connections) >= self.max_connections():
                self.refusal_counters.record(time.monotonic_ns(), TOO_MANY_CONNECTIONS)
                self.refuse_connection(client)
                continue
            self.add_connection(client, age.received_since)

    def refuse_connection(self, client: socket.socket) -> None:
        """Closes a connection above the limit; requests that were received on it already get a refusal."""
        with suppress(OSError, ProtocolError):
            client.settimeout(0)
            begun = [id_ for kind, id_, _ in Records().feed(client.recv(READ_SIZE)) if kind == BEGIN]
            client.send(b"".join(codec.response(id_, self.unavailable(TOO_MANY_CONNECTIONS))
                                 for id_ in begun[:MAX_OPEN_REQUESTS]))
        client.close()

    def wait_for_room(self) -> None:
        """Closes other connections until one more fits; the limit shrinks as connections to workers are opened.

        Hundreds of connections that arrive together are too recent to be closed within ACTIVITY_GRACE. Refusing a new
        one at once would lose the request that a usual client has sent on it, so it waits for the first that may be
        closed. Where there is none, new ones are refused without waiting for EVICTION_RETRY_DELAY."""
        since = time.monotonic_ns()
        while len(self.connections) >= self.max_connections():
            if self.make_room():
                continue
            now = time.monotonic_ns()
            if now - self.eviction_failed_at < EVICTION_RETRY_DELAY:
                return
            if now - since > connection_eviction.ACTIVITY_GRACE + CLOSE_POLL_INTERVAL:
                self.eviction_failed_at = now
                return
            gevent.sleep(CLOSE_POLL_INTERVAL / SECOND)

    def add_connection(self, client: socket.socket, received_since: int) -> None:
        """Starts to serve an accepted connection, which was made at `received_since` at the earliest."""
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(client, self, InputAge(self.poll_monitor, received_since))
        self.connections.add(connection)
        self.greenlets.spawn(self.serve, connection)

    def make_room(self) -> bool:
        """Closes some idle connections and waits until one is closed; returns whether one was."""
        closing = [each for each in connection_eviction.candidates(self.connections, time.monotonic_ns())
                   if each.end()]
        for _ in range(MAX_CLOSE_POLLS if closing else 0):
            gevent.sleep(CLOSE_POLL_INTERVAL / SECOND)
            if any(each not in self.connections for each in closing):
                return True
        return False

    @property
    def under_way(self) -> int:
        """The number of requests that are read, postponed or pending, and of connections with unsent responses."""
        return sum(len(each.open) + bool(each.outbox.size) for each in self.connections)

    def serve(self, connection: Connection) -> None:
        """Serves one connection until its end."""
        try:
            connection.serve()
        except Exception as fault:      # a fault of this program ends only this connection, and is logged
            self.note("fault", level="error", **exception_fields(fault))
        finally:
            self.connections.discard(connection)

    def on_request(self, request: Request, received_since: int, unread_input: int) -> None:
        """Answers, refuses, postpones or admits a complete request, which may have arrived at `received_since`.

        `unread_input` is the number of bytes that have arrived behind it. Raises InvalidRequest."""
        parameters = request.parameters
        assert parameters is not None
        if parameters.get(b"SCRIPT_NAME") == requests.ALIVE_PATH:
            request.pending = True
            request.respond(requests.OK_HEAD if self.front_end.ready() else self.unavailable("not-ready"))
            return
        # This check comes first: under overload a refusal must be cheap, and all other work would be wasted.
        if not self.admission.admit(b"HTTP_X_AGAIN" in parameters):
            self.refuse(request, OVERLOADED)
            return
        parsed = requests.parse_request(parameters, request.body, self.types)
        request.pending, request.parameters, request.body = True, {}, b""
        # The request may have waited unread since the event loop polled last, while its client's time went on.
        now = time.monotonic_ns()
        unread = max(now - received_since, self.poll_monitor.unread_time(now))
        self.longest_unread = max(self.longest_unread, unread)
        request.progress = Progress(parsed.id, now - unread, now, now - unread + parsed.call.left)
        after_stall = unread >= STALL_THRESHOLD
        if not (after_stall or unread_input or self.front_end.list_is_stale() or self.front_end.has_unread_update()):
            self.admit(request, parsed, now - unread)
        elif not self.has_room(request):
            self.refuse(request, FULL, parsed.id)
        else:
            self.postponed.add(request, parsed, now - unread, unread_input, after_stall)

    def on_input_handled(self) -> None:
        """Input of a connection has been read: requests that waited for it may go on."""
        self.postponed.on_input_handled()

    def has_room(self, request: Request) -> bool:
        """Whether one more request may be pending, on this connection."""
        pending = len(self.engine.requests) + len(self.postponed)
        if activation_shares.is_ample(pending, self.max_activations):
            return True
        own = sum(each.progress is not None for each in request.connection.open.values() if each is not request)
        return activation_shares.may_admit(own, pending, self.max_activations,
                                           sum(bool(each.open) for each in self.connections))

    # The owner of postponed requests.

    def is_open(self, request: Request) -> bool:
        return request.connection.open.get(request.id) is request

    def input_read(self, request: Request) -> int:
        return request.connection.bytes_read

    def refuse_late(self, request: Request, parsed: requests.ParsedRequest) -> None:
        self.refuse(request, LATE, parsed.id)

    def admit_postponed(self, request: Request, parsed: requests.ParsedRequest, received_at: int) -> None:
        """Admits or refuses a request that has waited long enough."""
        try:
            self.admit(request, parsed, received_at)
        except InvalidRequest as problem:
            request.connection.refuse_invalid(request, problem)
        except Exception as fault:      # a fault of this program ends only this request, and is logged
            self.note("fault", level="error", **exception_fields(fault))
            self.refuse(request, FAULT)

    def admit(self, request: Request, parsed: requests.ParsedRequest, received_at: int) -> None:
        """Refuses a request or gives it to the engine. Its time counts from `received_at`. Raises InvalidRequest."""
        if parsed.id in self.engine.requests:
            raise InvalidRequest(409, "a request with this id is open")
        if parsed.id in self.used_ids:
            raise InvalidRequest(409, "a request with this id may have run, and must not run twice")
        now = time.monotonic_ns()
        late = received_at + parsed.call.left <= now
        if self.closing or late or not self.has_room(request):
            self.refuse(request, CLOSING if self.closing else LATE if late else FULL, parsed.id)
            return
        request.pending = self.engine.admit(now, parsed.id, parsed.call, request, received_at)

    def refuse(self, request: Request, reason: str, id_: str = "") -> None:
        """Refuses a request that was not admitted: nothing ran, so its client may safely retry."""
        now = time.monotonic_ns()
        self.refusal_counters.record(now, reason)
        if id_:
            self.note("request-refused", reason=reason, id=id_, read_ms=(now - request.began_at) // MS)
        request.pending = True
        request.respond(self.unavailable(reason))

    def refuse_half_read(self, request: Request) -> None:
        """Refuses a request that is still being read, as the memory for what clients send is short."""
        self.refuse(request, MEMORY_SHORT)

    def unavailable(self, reason: str) -> bytes:
        """Returns a refusal whose retry advice is a random time between half the maximum and the maximum."""
        return requests.unavailable_response(reason, int(self.max_retry_after * (1 - self.chance() / 2)))

    def log_late(self, progress: Progress, stage: Stage) -> None:
        """Logs, once, a request that ends long after its time, and where it was then."""
        now = time.monotonic_ns()
        if progress.is_late(now) and not progress.is_logged:
            progress.is_logged = True
            self.note("request-late", level="warning", **progress.fields(stage, now))

    def take_longest_unread(self) -> int:
        """The longest time, in ns, for which a request may have lain unread since this was asked last."""
        longest, self.longest_unread = self.longest_unread, 0
        return longest

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
                      left_ms=pending.time_left(pending.answered_at) // MS, attempts=describe_sends(pending))
        pending.client.respond(requests.final_response(answer))

    def on_finished(self, pending: PendingRequest) -> None:
        if self.types[pending.call.type].effect is not Effect.REPEATABLE and may_have_run(pending):
            self.used_ids.add(pending.id)

    # Time.

    def tick(self, now: int) -> None:
        """Checks the time limits of connections and logs refusals, each when it is due."""
        if now < self.limit_check_due:
            return
        self.limit_check_due = now + LIMIT_CHECK_INTERVAL
        for each in [each for each in self.connections if each.check_due <= now]:
            each.check_limits(now)
        self.log_refusals(now)

    def end(self, sock: socket.socket) -> None:
        """Closes the listening socket and all connections, once no request is pending.

        Connections that the kernel has accepted are served first, and unread requests get a refusal: they would be
        lost if their connections were just closed."""
        sock.settimeout(0)
        with suppress(OSError):
            for _ in range(BACKLOG):
                self.add_connection(sock.accept()[0], time.monotonic_ns())
        sock.close()
        until = time.monotonic_ns() + FLUSH_TIME
        gevent.sleep(CLOSE_POLL_INTERVAL / SECOND)
        while time.monotonic_ns() < until and any(
                each.busy or has_events(each.sock, select.POLLIN) for each in self.connections):
            gevent.sleep(CLOSE_POLL_INTERVAL / SECOND)
        for each in list(self.connections):
            each.shut()
        self.greenlets.join(WRITE_TIMEOUT / SECOND)
        self.greenlets.kill()
        self.log_refusals(time.monotonic_ns(), flush=True)

    def log_refusals(self, now: int, flush: bool = False) -> None:
        """Logs the counts of refusals that are due, or all of them."""
        for report in self.refusal_counters.due_reports(now, flush):
            self.note("turned-away", level="warning", **report)
