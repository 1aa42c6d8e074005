"""HTTP/1.1 connections: bytes to exchanges, answers to bytes, in the order the requests came.

One greenlet reads a connection and one writes it; both end with it. Parsing is httptools' (llhttp, strict): a
request with both lengths, a bad chunk or a malformed header ends in one 400 and a close.
"""
from __future__ import annotations

import heapq
import time
from collections import deque
from contextlib import suppress
from http import HTTPStatus
from typing import Any, Protocol

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from threadshift.conf.installation import Bounds
from threadshift.interface import MS, SECOND
from threadshift.invoke.requests import Problem, Response, problem

READ = 64 << 10            # bytes a read
NEVER = 1 << 62            # ns; no limit
LOOK = 100 * MS            # between two looks at all limits; they are of seconds
PROMPT = 50 * MS           # from accepting to the first bytes: what comes so soon came with the connection
SPARED = SECOND            # ns without a request, after which a connection makes room where none is left
ROOM = 16                  # connections ended at a time for it: looking through all costs more than ending some
LINGER = SECOND            # ns; after a refusal the client's bytes are read so long, or it would not see why
REASONS = {status.value: status.phrase for status in HTTPStatus}
SINGLE = frozenset({"time-left", "tenant", "idempotency-key", "repetition", "work-hint", "host", "batch"})


def whole(response: Response, keep: bool = True, with_body: bool = True) -> bytes:
    """A response as it goes out."""
    head = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, '')}",
            *(f"{name}: {value}" for name, value in response.headers), f"Content-Length: {len(response.body)}"]
    if not keep:
        head.append("Connection: close")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + (response.body if with_body else b"")


class Exchange:
    """One request and its answer. `pending` is the activation taken for it, if any."""

    __slots__ = ("connection", "method", "path", "headers", "body", "keep_alive", "response", "pending", "waits",
                 "unread")

    def __init__(self, connection: Connection, method: str, path: str, headers: dict[str, str], body: bytes,
                 keep_alive: bool):
        self.connection, self.method, self.path, self.headers, self.body, self.keep_alive = (
            connection, method, path, headers, body, keep_alive)
        self.response: Response | None = None
        self.pending: Any = None
        self.unread = 0              # ns that it waited with its connection, before that was accepted
        self.waits: Any = None       # the deferred call whose answer it waits for

    def respond(self, response: Response) -> None:
        if self.response is None:
            self.response = response
            self.connection.answered(self)


class Watch:
    """The time limits of all connections, looked at together: a timer for each read costs more than the read."""

    def __init__(self) -> None:
        self.open: set[Connection] = set()
        self.due = 0

    def tick(self, now: int) -> None:
        if now < self.due:
            return
        self.due = now + LOOK
        for each in [each for each in self.open if each.limit <= now or each.write_limit <= now]:
            each.expire(now)

    def make_room(self, now: int) -> None:
        """Ends the connections that have asked nothing for longest, of those that have not for SPARED."""
        idle = [each for each in self.open if not each.line and not each.began
                and each.limit - each.bounds.idle <= now - SPARED]
        for each in heapq.nsmallest(ROOM, idle, key=lambda each: each.limit):
            each.expire(now)


class Application(Protocol):
    """Who answers exchanges, and when."""

    closing: bool

    def handle(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None: ...


class Connection:
    """One client connection."""

    def __init__(self, sock: socket.socket, application: Application, bounds: Bounds, watch: Watch,
                 unread: int = 0):
        self.sock, self.application, self.bounds, self.watch = sock, application, bounds, watch
        # A connection that waited to be accepted held its first request meanwhile.
        self.accepted, self.unread = time.monotonic_ns(), unread
        self.limit = self.accepted + bounds.idle      # something must have come by then ...
        self.write_limit = NEVER                            # ... and what is being written must be taken
        self.expired = self.writing = False
        self.pause = 0                          # ns for which nothing is read, asked for by the application
        self.line: deque[Exchange] = deque()    # answers owed, in order
        self.wake = Event()
        self.ended = self.last = False          # nothing more is read; nothing more is answered
        self.parser = httptools.HttpRequestParser(self)
        self.began = 0                          # when the request under way sent its first byte, 0: none
        self.reset()

    def reset(self) -> None:
        self.url, self.size, self.body = b"", 0, bytearray()
        self.headers: dict[str, str] = {}
        self.complaint: Problem | None = None

    # Called by httptools.

    def on_message_begin(self) -> None:
        self.reset()
        self.began = self.began or time.monotonic_ns()

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grow(len(name) + len(value))
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        if key in SINGLE and key in self.headers:
            raise Problem(400, "bad-request", f"{key} stands twice", key)
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def grow(self, count: int) -> None:
        self.size += count
        if self.size > self.bounds.headers:
            raise Problem(431, "headers-too-large", f"request line and headers pass {self.bounds.headers} bytes")

    def on_headers_complete(self) -> None:
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) > self.bounds.body:
            raise Problem(413, "body-too-large", f"the bound is {self.bounds.body} bytes", "Content-Length")
        if "host" not in self.headers and self.parser.get_http_version() == "1.1":
            raise Problem(400, "bad-request", "HTTP/1.1 needs one", "Host")
        if "upgrade" in self.headers:
            raise Problem(400, "bad-request", "no upgrade is offered here", "Upgrade")
        if self.headers.get("expect", "").lower() == "100-continue" and not self.line:
            with suppress(OSError):
                self.sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.bounds.body:
            raise Problem(413, "body-too-large", f"the bound is {self.bounds.body} bytes")

    def on_message_complete(self) -> None:
        self.began = 0
        if len(self.line) >= self.bounds.pipeline:
            raise Problem(400, "pipeline-too-deep", f"{self.bounds.pipeline} requests wait for their answers here")
        keep = self.parser.should_keep_alive() and not self.application.closing
        exchange = Exchange(self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.headers,
                            bytes(self.body), keep)
        exchange.unread, self.unread = self.unread, 0
        self.line.append(exchange)
        self.application.handle(exchange)

    # The two greenlets.

    def serve(self) -> None:
        """Reads until the end. Returns with the connection closed and no greenlet left."""
        writer = gevent.spawn(self.write)
        self.watch.open.add(self)
        try:
            complaint = self.read()
            if complaint is not None:
                last = Exchange(self, "", "", {}, b"", False)
                self.line.append(last)
                last.respond(problem(complaint))
                writer.join((self.bounds.longest_wait + self.bounds.write) / SECOND)
                self.linger()
        finally:
            self.ended = True
            self.watch.open.discard(self)
            for exchange in [each for each in self.line if each.response is None]:
                self.application.gone(exchange)
            writer.kill()
            self.sock.close()

    def read(self) -> Problem | None:
        while not self.last:
            try:
                data = self.sock.recv(READ)
            except OSError:
                data = b""
            if self.expired and self.began:
                return Problem(408, "request-too-slow", "the request did not end in time")
            if not data or self.expired:
                return None
            now = time.monotonic_ns()
            if self.unread and now - self.accepted > PROMPT:
                self.unread = 0         # it was sent later
            if not self.began:
                self.began, self.limit = now, now + self.bounds.request
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserCallbackError as failed:
                if isinstance(failed.__context__, Problem):
                    return failed.__context__
                raise
            except httptools.HttpParserError as failed:
                return Problem(400, "bad-request", f"not HTTP/1.1: {str(failed)[:120]}")
            if not self.began:
                self.limit = now + self.bounds.idle
            try:
                self.flush()        # what was refused at once needs no other greenlet
            except OSError:
                return None
            if self.pause:
                # Told to come back later, it is not heard before: reading and refusing costs half of serving.
                gevent.sleep(self.pause / SECOND)
                self.pause = 0
        return None

    def expire(self, now: int) -> None:
        """A limit has passed. A client that waits for our answer has none but the answer's own."""
        if self.write_limit <= now:
            self.write_limit, how = NEVER, socket.SHUT_RDWR
        elif self.line and not self.began:
            self.limit = now + self.bounds.idle
            return
        else:
            self.limit, how, self.expired = NEVER, socket.SHUT_RD, True
        with suppress(OSError):
            self.sock.shutdown(how)         # the reader wakes and sees why

    def write(self) -> None:
        """Writes answers in order as they are ready; a client that takes none in time is cut off."""
        try:
            while not self.last:
                self.flush()
                self.wake.clear()
                if not self.last and (self.writing or not self.line or self.line[0].response is None):
                    self.wake.wait()
        except OSError:
            self.last = True
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def flush(self) -> None:
        """Writes the answers that are ready, in order; one greenlet at a time. Raises OSError."""
        if self.writing:
            return
        self.writing = True
        try:
            while not self.last and self.line and self.line[0].response is not None:
                parts, keep = [], True
                while keep and self.line and self.line[0].response is not None:
                    exchange = self.line.popleft()
                    keep = exchange.keep_alive
                    parts.append(self.bytes_of(exchange, keep))
                self.write_limit = time.monotonic_ns() + self.bounds.write
                self.sock.sendall(b"".join(parts) if len(parts) > 1 else parts[0])
                self.write_limit = NEVER
                if not keep:
                    self.last = True
                    if not self.ended:
                        self.sock.shutdown(socket.SHUT_WR)
        finally:
            self.writing = False
            self.wake.set()

    @staticmethod
    def bytes_of(exchange: Exchange, keep: bool) -> bytes:
        response = exchange.response
        assert response is not None
        if keep and response.ready:
            return response.ready
        return whole(response, keep, exchange.method != "HEAD")

    def answered(self, exchange: Exchange) -> None:
        """An exchange has its answer; it goes out once it is first in line."""
        if self.line and self.line[0] is exchange:
            self.wake.set()

    def linger(self) -> None:
        """Reads and drops what still comes, or a reset would take the refusal from the client unseen."""
        until = time.monotonic_ns() + LINGER
        with suppress(OSError):
            while (left := until - time.monotonic_ns()) > 0:
                self.sock.settimeout(left / SECOND)
                if not self.sock.recv(READ):
                    return
