"""HTTP/1.1 connections: reads requests from clients and writes the answers, in the order of the requests.

One greenlet reads a connection and one writes it; both end with it. Requests are parsed by httptools (llhttp,
strict): a request with both kinds of length, a bad chunk or a malformed header is answered by one 400, and the
connection is closed.
"""
from __future__ import annotations

import heapq
import select
import time
from collections import deque
from contextlib import suppress
from http import HTTPStatus
from typing import Any, Protocol

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from threadshift.conf.gateway_config import Bounds
from threadshift.interface import MS, SECOND
from threadshift.invoke.input_age import InputAge
from threadshift.invoke.requests import Problem, Response, problem_response, retry_headers
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.sockets import has_events
from threadshift.links.turns import Turns
from threadshift.memory_budget import MemoryBudget

READ_SIZE = 64 << 10                     # bytes
NO_DEADLINE = 1 << 62
DEADLINE_CHECK_INTERVAL = 100 * MS       # short enough for deadlines of seconds
MIN_IDLE_TIME = SECOND                   # without a request, before a connection may be ended to make room
EVICTION_BATCH = 16                      # connections ended at a time: searching all costs more than ending some
HEADER_OVERHEAD = 256                    # bytes of memory that a header takes beside its name and value
REQUEST_OVERHEAD = 4_096                 # the same of a request that is being read, with its parser
MEMORY_RETRY_DELAY = 500 * MS            # for which a client stays away that held the most
UNLIMITED = 1 << 62                      # bytes
LINGER_TIME = SECOND                     # for which input is read after a refusal, or the client may not see it
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
SINGLE_VALUE_HEADERS = frozenset({
    "time-left", "tenant", "idempotency-key", "repetition", "work-hint", "host", "batch"})


def serialize(response: Response, keep_alive: bool = True, with_body: bool = True) -> bytes:
    """The bytes of a response as they are sent."""
    head = [f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, '')}",
            *(f"{name}: {value}" for name, value in response.headers), f"Content-Length: {len(response.body)}"]
    if not keep_alive:
        head.append("Connection: close")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + (response.body if with_body else b"")


class Exchange:
    """One request and its answer. `pending` is the request that the engine has for it, if any."""

    __slots__ = ("connection", "method", "path", "headers", "body", "keep_alive", "response", "pending",
                 "awaited_call", "received_since")

    def __init__(self, connection: Connection, method: str, path: str, headers: dict[str, str], body: bytes,
                 keep_alive: bool):
        self.connection, self.method, self.path, self.headers, self.body, self.keep_alive = (
            connection, method, path, headers, body, keep_alive)
        self.response: Response | None = None
        self.pending: Any = None
        self.received_since = connection.age.received_since if connection.age else time.monotonic_ns()
        self.awaited_call: Any = None    # the deferred call whose answer it waits for

    def forget_request(self) -> None:
        """Drops what was received, as the application has taken what it needs: the answer may take long."""
        self.path, self.headers, self.body = "", {}, b""

    def respond(self, response: Response) -> None:
        if self.response is None:
            self.response = response
            self.connection.on_answered(self)


class TimeoutMonitor:
    """What all connections share. Checks their deadlines: a timer for each read costs more than the read itself."""

    def __init__(self, memory_budget: MemoryBudget | None = None) -> None:
        self.connections: set[Connection] = set()
        self.memory_budget = memory_budget or MemoryBudget(UNLIMITED)
        self.read_turns = Turns()     # of the connections whose input keeps coming
        self.next_check = 0

    def tick(self, now: int) -> None:
        if now < self.next_check:
            return
        self.next_check = now + DEADLINE_CHECK_INTERVAL
        for each in [each for each in self.connections if each.read_deadline <= now or each.write_deadline <= now]:
            each.expire(now)

    def make_room(self, now: int) -> None:
        """Ends the connections that have been idle for longest, of those without a request for MIN_IDLE_TIME."""
        idle = [each for each in self.connections if not each.exchanges and not each.request_started
                and each.read_deadline - each.bounds.idle <= now - MIN_IDLE_TIME]
        for each in heapq.nsmallest(EVICTION_BATCH, idle, key=lambda each: each.read_deadline):
            each.expire(now)


class Application(Protocol):
    """Answers exchanges, at once or later. While it is `closing`, connections are closed after their next answer."""

    closing: bool

    def handle(self, exchange: Exchange) -> None: ...
    def on_client_gone(self, exchange: Exchange) -> None: ...


class Connection:
    """One client connection."""

    def __init__(self, sock: socket.socket, application: Application, bounds: Bounds, timeout_monitor: TimeoutMonitor,
                 age: InputAge | None = None):
        self.sock, self.application, self.bounds, self.timeout_monitor = sock, application, bounds, timeout_monitor
        self.age = age                          # None where the age of input does not matter
        self.read_deadline = time.monotonic_ns() + bounds.idle
        self.write_deadline = NO_DEADLINE
        self.is_expired = self.is_writing = self.gave_way = False
        self.being_written = 0                  # bytes of answers that the operating system has not taken whole
        self.read_pause = 0                     # ns for which nothing is read next; set by the application
        self.exchanges: deque[Exchange] = deque()    # those whose answers are owed, in order
        self.wake = Event()
        self.reading_ended = self.writing_ended = False
        self.parser = httptools.HttpRequestParser(self)
        self.request_started = 0                # when the first byte of the request being read arrived; 0: none
        self.reset()

    def reset(self) -> None:
        self.url, self.header_size, self.body = b"", 0, bytearray()
        self.header_fields = 0
        self.repeated: dict[str, list[str]] = {}     # the values of header fields that came more than once
        self.headers: dict[str, str] = {}
        self.complaint: Problem | None = None

    # Called by httptools.

    def on_message_begin(self) -> None:
        self.reset()
        self.request_started = self.request_started or time.monotonic_ns()

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.add_header_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.add_header_size(len(name) + len(value))
        self.header_fields += 1
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        if key in SINGLE_VALUE_HEADERS and key in self.headers:
            raise Problem(400, "bad-request", f"header {key} is repeated", key)
        if key in self.headers:
            # They are joined once: to join each as it comes takes a time quadratic in their number.
            self.repeated.setdefault(key, [self.headers[key]]).append(text)
        else:
            self.headers[key] = text

    def add_header_size(self, count: int) -> None:
        self.header_size += count
        if self.header_size > self.bounds.headers:
            raise Problem(431, "headers-too-large",
                          f"request line and headers are larger than {self.bounds.headers} bytes")

    def on_headers_complete(self) -> None:
        for key, values in self.repeated.items():
            self.headers[key] = ", ".join(values)
        self.repeated.clear()
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) > self.bounds.body:
            raise Problem(413, "body-too-large", f"the limit is {self.bounds.body} bytes", "Content-Length")
        if "host" not in self.headers and self.parser.get_http_version() == "1.1":
            raise Problem(400, "bad-request", "HTTP/1.1 requires a Host header", "Host")
        if "upgrade" in self.headers:
            raise Problem(400, "bad-request", "upgrades are not supported", "Upgrade")
        if self.headers.get("expect", "").lower() == "100-continue" and not self.exchanges:
            with suppress(OSError):
                self.sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.bounds.body:
            raise Problem(413, "body-too-large", f"the limit is {self.bounds.body} bytes")

    def on_message_complete(self) -> None:
        self.request_started = 0
        if len(self.exchanges) >= self.bounds.pipeline:
            raise Problem(400, "pipeline-too-deep",
                          f"{self.bounds.pipeline} requests of this connection wait for their answers already")
        keep_alive = self.parser.should_keep_alive() and not self.application.closing
        exchange = Exchange(self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.headers,
                            bytes(self.body), keep_alive)
        self.reset()                # or the body would be held twice
        self.exchanges.append(exchange)
        self.application.handle(exchange)
        exchange.forget_request()

    # The two greenlets.

    def serve(self) -> None:
        """Serves the connection until it ends. Returns with the connection closed and no greenlet left."""
        writer = gevent.spawn(self.write)
        self.timeout_monitor.connections.add(self)
        try:
            refusal = self.read()
            if refusal is not None:
                last = Exchange(self, "", "", {}, b"", False)
                self.exchanges.append(last)
                last.respond(problem_response(refusal))
                writer.join((self.bounds.longest_wait + self.bounds.write) / SECOND)
                self.linger()
        finally:
            self.reading_ended = True
            self.timeout_monitor.connections.discard(self)
            for exchange in [each for each in self.exchanges if each.response is None]:
                self.application.on_client_gone(exchange)
            writer.kill()
            self.sock.close()
            # An answer may still come: nothing is held for it, and this connection records nothing any more.
            self.exchanges.clear()
            self.reset()
            self.request_started = 0
            self.timeout_monitor.memory_budget.forget(self)
            # The parser refers to this connection: a reference cycle, with what was read in it, until the next full
            # garbage collection.
            del self.parser

    def read(self) -> Problem | None:
        """Reads requests until the connection ends; returns the reason if it ends by a refusal."""
        checkpoint = Checkpoint(turns=self.timeout_monitor.read_turns,
                                is_ready=lambda: has_events(self.sock, select.POLLIN))
        try:
            while not self.writing_ended:
                checkpoint.wait()
                if not self.read_input():
                    return None
        except Problem as refusal:
            return refusal.with_traceback(None)
        return None

    def read_input(self) -> bool:
        """Reads once and handles what was read; False at the end. Raises Problem, the reason of a refusal.

        What was read is referred to in here alone: read() would hold it until something else arrives."""
        began = time.monotonic_ns()
        try:
            data = self.sock.recv(READ_SIZE)
        except OSError:
            data = b""
        if self.is_expired and self.request_started:
            raise self.reason_of_expiry()
        if not data or self.is_expired:
            return False
        now = time.monotonic_ns()
        if self.age is not None:
            self.age.on_read(began, is_empty=len(data) < READ_SIZE)
        if not self.request_started:
            self.request_started, self.read_deadline = now, now + self.bounds.request
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as failed:
            if isinstance(failed.__context__, Problem):
                raise failed.__context__ from None
            raise
        except httptools.HttpParserError as failed:
            raise Problem(400, "bad-request", f"not HTTP/1.1: {str(failed)[:120]}") from None
        del data
        if not self.request_started:
            self.read_deadline = now + self.bounds.idle
        try:
            self.flush()        # a refusal that is ready needs no switch to the writing greenlet
        except OSError:
            return False
        self.record_memory()
        if self.read_pause:
            # A client that was told to retry later is not read before: to read and refuse a request costs half as
            # much as to serve it.
            if self.age is not None:
                self.age.pause(self.sock, self.read_pause)
            self.read_pause = 0
        return True

    def reason_of_expiry(self) -> Problem:
        """Why a request that was not read whole is refused."""
        if self.gave_way:
            return Problem(503, "memory-short", "requests that have arrived in part hold too much memory",
                           headers=[("Final", "rejected"), *retry_headers(MEMORY_RETRY_DELAY)])
        return Problem(408, "request-too-slow", "the request was not complete in time")

    # What is held for the client.

    def record_memory(self) -> None:
        """Records what is held for this client. May end this connection, or others."""
        self.timeout_monitor.memory_budget.record(self, self.held_bytes())

    def held_bytes(self) -> int:
        """What is held for this client: a request that is being read, and answers that are not written."""
        half_read = 0
        if self.request_started and not self.gave_way:
            half_read = REQUEST_OVERHEAD + self.header_size + HEADER_OVERHEAD * self.header_fields + len(self.body)
        return half_read + self.being_written + sum(
            len(each.response.body) + len(each.response.serialized)
            for each in self.exchanges if each.response is not None)

    def give_way(self) -> None:
        """Ends the connection, with a refusal where a request is being read, which did not run.

        Called again, or without such a request, it drops the answers that the client does not read."""
        is_half_read = bool(self.request_started) and not self.gave_way
        self.gave_way = self.is_expired = True
        self.reset()
        for exchange in self.exchanges:
            exchange.body = b""
            if exchange.response is not None and not is_half_read:
                exchange.response = Response(503, [])
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD if is_half_read else socket.SHUT_RDWR)

    def expire(self, now: int) -> None:
        """A deadline has passed. While a client waits for our answer, only the answer's own time limit applies."""
        if self.write_deadline <= now:
            self.write_deadline, how = NO_DEADLINE, socket.SHUT_RDWR
        elif self.exchanges and not self.request_started:
            self.read_deadline = now + self.bounds.idle
            return
        else:
            self.read_deadline, how, self.is_expired = NO_DEADLINE, socket.SHUT_RD, True
        with suppress(OSError):
            self.sock.shutdown(how)         # wakes the reading greenlet, which sees why

    def write(self) -> None:
        """Writes answers in order as they become ready; ends if the client does not accept data in time."""
        try:
            while not self.writing_ended:
                self.flush()
                self.wake.clear()
                if not self.writing_ended and (
                        self.is_writing or not self.exchanges or self.exchanges[0].response is None):
                    self.wake.wait()
        except OSError:
            self.writing_ended = True
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def flush(self) -> None:
        """Writes the answers that are ready, in order; one greenlet at a time. Raises OSError."""
        if self.is_writing:
            return
        self.is_writing = True
        try:
            while not self.writing_ended and self.exchanges and self.exchanges[0].response is not None:
                data, keep_alive = self.take_answers()
                self.write_deadline, self.being_written = time.monotonic_ns() + self.bounds.write, len(data)
                self.sock.sendall(data)
                self.write_deadline = NO_DEADLINE
                if not keep_alive:
                    self.writing_ended = True
                    if not self.reading_ended:
                        self.sock.shutdown(socket.SHUT_WR)
        finally:
            self.is_writing, self.being_written = False, 0
            self.wake.set()

    def take_answers(self) -> tuple[bytes, bool]:
        """The bytes of the answers that are ready, and whether the connection is kept after them."""
        parts, keep_alive = [], True
        while keep_alive and self.exchanges and self.exchanges[0].response is not None:
            exchange = self.exchanges.popleft()
            keep_alive = exchange.keep_alive
            parts.append(self.bytes_of(exchange, keep_alive))
        return b"".join(parts) if len(parts) > 1 else parts[0], keep_alive

    @staticmethod
    def bytes_of(exchange: Exchange, keep_alive: bool) -> bytes:
        response = exchange.response
        assert response is not None
        if keep_alive and response.serialized:
            return response.serialized
        return serialize(response, keep_alive, exchange.method != "HEAD")

    def on_answered(self, exchange: Exchange) -> None:
        """An exchange has its answer, which is written once all answers before it are."""
        if self.exchanges and self.exchanges[0] is exchange:
            self.wake.set()
        self.record_memory()

    def linger(self) -> None:
        """Reads and drops further input for a while: a reset would hide the refusal from the client otherwise."""
        until, checkpoint = time.monotonic_ns() + LINGER_TIME, Checkpoint(turns=self.timeout_monitor.read_turns)
        with suppress(OSError):
            while (left := until - time.monotonic_ns()) > 0:
                checkpoint.wait()
                self.sock.settimeout(left / SECOND)
                if not self.sock.recv(READ_SIZE):
                    return
