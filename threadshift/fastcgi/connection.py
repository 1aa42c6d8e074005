"""One client connection: decodes FastCGI records into requests and sends responses with the id of their request.

One greenlet for each connection reads. Whoever has a response writes it; another greenlet writes only while the
client's socket is full. connection_eviction.py decides how long a connection stays open.
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
from threadshift.fastcgi.lateness import Progress, Stage
from threadshift.fastcgi.requests import MAX_BODY, MAX_PARAMS, InvalidRequest
from threadshift.interface import SECOND
from threadshift.invoke.input_age import InputAge
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.sockets import BufferedSender, has_events, unread_bytes
from threadshift.links.turns import Turns
from threadshift.memory_budget import MemoryBudget

READ_SIZE = 16 << 10           # bytes a read: several usual requests, and little memory for each connection
WRITE_TIMEOUT = 2 * SECOND     # without progress, until a client that reads no responses is disconnected
MAX_BUFFERED = 1 << 20         # bytes of usual responses that wait for one client; enough for all its open requests
LONG_RESPONSE = 4 << 10        # bytes, above which a response must leave RESERVED_FOR_SHORT free
RESERVED_FOR_SHORT = 128 << 10 # bytes of what waits; the short responses to all open requests fit into them
MAX_OPEN_REQUESTS = 32         # on one connection; the protocol's limit
MAX_DROPPED = 256 << 10        # bytes of records for requests that have ended, until the connection is closed
MAX_LOGGED_IDS = 4             # of requests whose connection ended, in one line of the log
REQUEST_OVERHEAD = 2_048       # bytes that a request being read takes besides its body and its parameters' values

TOO_LONG = requests.text_response(b"502 Bad Gateway", "unread responses leave no room for the answer")
TOO_MANY_REQUESTS = requests.unavailable_response("too many requests on one connection", 0)


class Listener(Protocol):
    """What a connection needs from the listener that accepted it."""

    refusal_counters: RefusalCounters
    max_connections: Callable[[], int]   # that clients may hold now
    longest_answer: int                  # of a worker, bytes
    note: Callable[..., None]
    read_turns: Turns                    # of the connections whose input keeps coming
    memory_budget: MemoryBudget

    def on_request(self, request: Request, received_since: int, unread_input: int) -> None: ...
    def on_input_handled(self) -> None: ...
    def log_late(self, progress: Progress, stage: Stage) -> None: ...
    def refuse_half_read(self, request: Request) -> None: ...


class Request:
    """One open request: it is read first and then pending in the engine."""

    __slots__ = ("connection", "id", "keep_open", "began_at", "raw_parameters", "body", "parameters", "pending",
                 "size", "progress")

    def __init__(self, connection: Connection, id_: int, keep_open: bool, began_at: int):
        self.connection, self.id, self.keep_open, self.began_at = connection, id_, keep_open, began_at
        self.raw_parameters, self.body = b"", b""
        self.parameters: dict[bytes, str] | None = None    # once they are complete
        self.pending: Any = None                           # None while it is read, True until it is admitted
        self.size = REQUEST_OVERHEAD                       # bytes held while it is read
        self.progress: Progress | None = None              # once it is read and valid

    def respond(self, content: bytes, status: int = codec.COMPLETE) -> None:
        """Sends the response and ends the request."""
        self.connection.respond(self, content, status)


class Connection(BufferedSender):
    """One client connection."""

    def __init__(self, sock: socket.socket, listener: Listener, age: InputAge):
        super().__init__(sock, MAX_BUFFERED + listener.longest_answer, WRITE_TIMEOUT)
        self.listener, self.age = listener, age
        self.accepted = self.active = time.monotonic_ns()
        self.check_due = self.accepted + connection_eviction.FIRST_ANSWER_TIMEOUT
        self.open: dict[int, Request] = {}
        self.completed: list[Request] = []       # read whole, by the read that is being handled
        self.unwritten: list[Progress] = []      # of requests whose responses wait for the socket
        self.records = Records()
        self.answered = self.closes_when_done = self.ended = False
        self.is_handling_input = False           # what is sent meanwhile is written together, once all is handled
        self.offences = self.dropped = 0
        self.bytes_read = 0

    @property
    def busy(self) -> bool:
        """Whether a request is open or a response is still being written."""
        return bool(self.open) or bool(self.outbox.size)

    def serve(self) -> None:
        """Reads until the end of the connection. Returns with the connection closed and its requests abandoned."""
        checkpoint = Checkpoint(turns=self.listener.read_turns, is_ready=self.has_unread_input)
        try:
            while not self.closes_when_done or self.open:
                checkpoint.wait()
                if not self.read():
                    return
        except ProtocolError as problem:
            self.listener.refusal_counters.record(time.monotonic_ns(), "unreadable")
            self.listener.note("unreadable", level="debug", problem=str(problem))
            self.offences += 1
            self.abandon_all()
            gevent.sleep(connection_eviction.CLOSE_DELAY / SECOND)
        except OSError:
            pass
        finally:
            self.abandon_all()
            if self.writer is not None:
                self.writer.join(WRITE_TIMEOUT / SECOND)
            self.listener.memory_budget.forget(self)
            self.sock.close()

    def read(self) -> bool:
        """Reads once and handles what was read; False at the end of the connection. Raises ProtocolError.

        What was read is referred to in here alone: serve() would hold it until something else arrives."""
        began = time.monotonic_ns()
        data = self.sock.recv(READ_SIZE)
        if not data or self.ended or has_events(self.sock, select.POLLRDHUP):
            return False            # nobody waits for answers on a connection that its client has closed
        self.active = time.monotonic_ns()
        self.bytes_read += len(data)
        self.age.on_read(began, is_empty=len(data) < READ_SIZE)
        offences = self.offences
        self.handle_input(data)
        del data
        if self.offences > offences:
            self.age.pause(self.sock, connection_eviction.read_pause(self.offences, bool(self.open)))
        return True

    def has_unread_input(self) -> bool:
        """Whether input, or the end of the connection, is unread."""
        return has_events(self.sock, select.POLLIN)

    def handle_input(self, data: bytes) -> None:
        """Handles the records that these bytes complete. Raises ProtocolError.

        The answers to them leave in one write: hundreds of small writes to a client that does not read take long."""
        self.is_handling_input = True
        try:
            for kind, id_, content in self.records.feed(data):
                self.on_record(kind, id_, content)
            self.pass_completed_on()
            self.listener.on_input_handled()
        finally:
            self.is_handling_input = False
            if self.outbox.size:
                self.write()
            self.record_memory()

    def pass_completed_on(self) -> None:
        """Passes on the requests that the last read completed, but for those that it aborted as well."""
        completed, self.completed = self.completed, []
        unread_input = unread_bytes(self.sock) if completed else 0
        for request in completed:
            if self.open.get(request.id) is not request:
                continue
            try:
                self.listener.on_request(request, self.age.received_since, unread_input)
            except InvalidRequest as problem:
                self.refuse_invalid(request, problem)

    def record_memory(self) -> None:
        """Records what is held for this client. May close this connection, or others."""
        self.listener.memory_budget.record(self, self.held_bytes())

    def held_bytes(self) -> int:
        """What is held for this client: requests and a record that are being read, and unread responses."""
        return (sum(each.size for each in self.half_read) + len(self.records.buffer) + self.outbox.held_bytes()
                if not self.ended else 0)

    @property
    def half_read(self) -> list[Request]:
        """The requests that are being read."""
        return [each for each in self.open.values() if each.pending is None]

    def give_way(self) -> None:
        """Refuses the requests that are being read: nothing of them ran, so the client may safely retry them.

        A connection that holds most without any is closed: its client reads too little, or sends no request."""
        if half_read := self.half_read:
            for request in half_read:
                self.listener.refuse_half_read(request)
            return
        self.ended = True
        self.outbox.clear()
        self.records = Records()
        self.shut()

    def abandon_all(self) -> None:
        """Ends all open requests without a response: the client is gone, or is about to be disconnected."""
        abandoned, self.open = list(self.open.values()), {}
        self.completed.clear()
        if ids := [request.pending.id for request in abandoned if isinstance(request.pending, PendingRequest)]:
            self.listener.note("client-gone", requests=len(ids), ids=ids[:MAX_LOGGED_IDS])
        for request in abandoned:
            self.abandon(request)
        self.log_unwritten()

    def abandon(self, request: Request) -> None:
        """Tells the engine that the client of this request is gone."""
        if request.progress is not None:
            self.listener.log_late(request.progress, request.progress.stage(request.pending))
        if isinstance(request.pending, PendingRequest) and not request.pending.is_settled:
            request.pending.on_client_gone(time.monotonic_ns())

    def on_record(self, kind: int, id_: int, content: bytes) -> None:
        """Handles one record. Raises ProtocolError."""
        if id_ == 0:
            if kind == GET_VALUES:
                self.send(codec.values(content, self.listener.max_connections(), MAX_OPEN_REQUESTS))
                self.offences += 1      # no client needs the values twice, so repeated queries are answered slowly
            elif kind in (BEGIN, ABORT, PARAMS, STDIN):
                raise ProtocolError(f"a record of type {kind} has request id 0")
            else:
                self.send(codec.unknown(kind))
                self.offences += 1
            return
        request = self.open.get(id_)
        if kind == BEGIN:
            self.on_begin(id_, content)
        elif request is None:
            # The rest of a request that was answered early or aborted may still arrive.
            self.dropped += codec.HEADER.size + len(content)
            if self.dropped > MAX_DROPPED:
                raise ProtocolError("a request continues too long after its end")
        elif kind == ABORT:
            del self.open[id_]
            self.abandon(request)
        elif kind in (PARAMS, STDIN):
            try:
                (self.on_params if kind == PARAMS else self.on_stdin)(request, content)
            except InvalidRequest as problem:
                self.refuse_invalid(request, problem)
        else:
            raise ProtocolError(f"clients may not send records of type {kind}")

    def on_begin(self, id_: int, content: bytes) -> None:
        """Opens a request, or refuses it where too many are open. Raises ProtocolError."""
        role, keep_open = codec.begin(content)
        if id_ in self.open:
            raise ProtocolError(f"request id {id_} is begun twice")
        now = time.monotonic_ns()
        request = Request(self, id_, keep_open, now)
        if len(self.open) >= MAX_OPEN_REQUESTS:
            self.offences += 1
            self.listener.refusal_counters.record(now, "too-many-open")
            self.send(codec.response(id_, TOO_MANY_REQUESTS))
            return
        self.open[id_] = request
        self.check_due = min(self.check_due, now + connection_eviction.REQUEST_READ_TIMEOUT)
        if role != codec.RESPONDER:
            self.offences += 1
            request.respond(b"", codec.UNKNOWN_ROLE)

    def on_params(self, request: Request, content: bytes) -> None:
        """Appends to the parameters; empty content ends them. Raises InvalidRequest and ProtocolError."""
        if request.parameters is not None:
            raise ProtocolError("parameters follow their end")
        if content:
            request.raw_parameters += content
            request.size += len(content)
            if len(request.raw_parameters) > MAX_PARAMS:
                raise InvalidRequest(413, f"parameters exceed {MAX_PARAMS} bytes")
            return
        request.parameters, request.raw_parameters = requests.parse_parameters(request.raw_parameters), b""

    def on_stdin(self, request: Request, content: bytes) -> None:
        """Appends to the body; empty content completes the request. Raises InvalidRequest and ProtocolError."""
        if request.parameters is None:
            raise ProtocolError("a body precedes the end of the parameters")
        if request.pending is not None:
            raise ProtocolError("a body follows its end")
        if content:
            request.body += content
            request.size += len(content)
            if len(request.body) > MAX_BODY:
                raise InvalidRequest(413, f"the body exceeds {MAX_BODY} bytes")
            return
        self.dropped = 0
        if request.parameters.get(b"SCRIPT_NAME") == requests.ALIVE_PATH:
            self.listener.on_request(request, self.age.received_since, unread_input=0)
            return
        request.pending = True
        self.completed.append(request)

    def refuse_invalid(self, request: Request, problem: InvalidRequest) -> None:
        """Refuses a request for its content."""
        self.offences += 1
        self.listener.refusal_counters.record(time.monotonic_ns(), "unfit")
        self.listener.note("unfit", level="debug", problem=str(problem))
        request.respond(requests.invalid_response(problem))

    # Responses.

    def respond(self, request: Request, content: bytes, status: int = codec.COMPLETE) -> None:
        """Sends a response and ends its request."""
        if self.open.get(request.id) is not request:
            return                      # its client aborted it: the id may belong to another request by now
        del self.open[request.id]
        if request.progress is not None:
            self.listener.log_late(request.progress, request.progress.stage(request.pending))
            self.unwritten.append(request.progress)
        self.answered = True
        self.active = time.monotonic_ns()
        self.closes_when_done = self.closes_when_done or not request.keep_open
        response = codec.response(request.id, content, status)
        if len(response) > LONG_RESPONSE and (
                self.outbox.size + len(response) > self.outbox.max_size - RESERVED_FOR_SHORT):
            # Only this request fails: with the connection, all other requests on it would be lost.
            self.listener.note("response-too-long", level="warning", bytes=len(response), waiting=self.outbox.size)
            response = codec.response(request.id, TOO_LONG)
        self.send(response)

    def send(self, data: bytes) -> None:
        """Sends as much as the socket takes and buffers the rest; disconnects a client that reads too little."""
        if self.ended:
            return
        if not self.outbox.put(None, data):
            self.shut()
        elif not self.is_handling_input:
            self.write()
            if self.outbox.size:
                self.record_memory()

    def written(self) -> None:
        self.log_unwritten()
        if self.closes_when_done and not self.open:
            self.shut(socket.SHUT_RD)

    def log_unwritten(self) -> None:
        """Logs the responses that waited for the socket until after the end of their requests' time."""
        unwritten, self.unwritten = self.unwritten, []
        for progress in unwritten:
            self.listener.log_late(progress, Stage.IN_OUTBOX)

    def end(self) -> bool:
        """Closes a connection without open requests, unless input, which must be a request, is unread on it.

        Returns whether it is closed. Nothing is read after this: a request read from a connection that we have closed
        could not be answered. Without the check, 53 requests were lost on one day."""
        if not self.ended and not self.has_unread_input():
            self.ended = True
            self.shut()
        return self.ended

    def check_limits(self, now: int) -> None:
        """Ends what is overdue and sets when the next check is due; called when a limit may have passed."""
        self.check_due = now + connection_eviction.FIRST_ANSWER_TIMEOUT
        for request in self.half_read:
            if now - request.began_at >= connection_eviction.REQUEST_READ_TIMEOUT:
                self.refuse_invalid(request, InvalidRequest(400, "the request did not end in time"))
            else:
                self.check_due = min(self.check_due, request.began_at + connection_eviction.REQUEST_READ_TIMEOUT)
        if not self.busy:
            left = connection_eviction.remaining_idle_time(self, now)
            if left <= 0:
                self.end()
            else:
                self.check_due = min(self.check_due, now + left)
