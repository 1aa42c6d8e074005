"""Follows the coordinator's event stream over HTTP/1.1, and dials it again when it breaks or falls silent."""
from __future__ import annotations

import select
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from threadshift.conf.values import Address
from threadshift.coordinator.events import EventParser, EventSequence, InvalidEvent, ListUpdate, MissingEvents
from threadshift.coordinator.freshness import MAX_RETRY_PAUSE, Freshness
from threadshift.discovery.unapplied import UnappliedUpdates
from threadshift.interface import MS, SECOND
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, connect, has_events
from threadshift.log import exception_fields

PATH = "/v2/stream"
MAX_HEAD_SIZE = 16 << 10   # bytes of the response before the first event
CATCH_UP_WAIT = 10 * MS    # for the events that were missed: they are written right behind the head


class Response:
    """The head and the chunks of one response, as httptools reads them."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.headers_complete = self.message_complete = False
        self.head_size = 0         # bytes received before the head was complete

    def on_headers_complete(self) -> None:
        self.headers_complete = True

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        self.message_complete = True

    def feed(self, data: bytes) -> bytes:
        """Returns the part of the body in data, which may begin with the end of the head. Raises OSError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            raise OSError(f"not HTTP/1.1: {str(problem)[:100]}") from None
        if not self.headers_complete:
            self.head_size += len(data)
            if self.head_size > MAX_HEAD_SIZE:
                raise OSError(f"response head is over {MAX_HEAD_SIZE} bytes")
        if self.headers_complete and self.parser.get_status_code() != 200:
            raise OSError(f"status {self.parser.get_status_code()}")
        body, self.body = b"".join(self.body), []
        return body


class CoordinatorStream:
    """The stream of one front end. Its updates of the list are passed to `on_update`, in order, each event once."""

    def __init__(self, address: Address, on_update: Callable[[ListUpdate], None], on_lost: Callable[[], None],
                 note: Callable[..., None], chance: Callable[[], float]):
        self.address, self.on_update, self.on_lost, self.note = address, on_update, on_lost, note
        self.sequence, self.freshness = EventSequence(), Freshness()
        self.backoff = ReconnectBackoff(chance, MAX_RETRY_PAUSE)
        self.unapplied = UnappliedUpdates()
        self.address_changed = Event()

    @property
    def sock(self) -> socket.socket | None:
        """The socket of the present connection."""
        return self.unapplied.sock

    def apply_known(self, events: Iterable[Any]) -> None:
        """Applies the events of a configuration."""
        updates = list(self.sequence.accept_known(events))
        for update in self.unapplied.counted_down(updates):
            if isinstance(update, InvalidEvent):
                self.note("event-unreadable", level="warning", problem=str(update))
            else:
                self.deliver(update)

    def apply(self, id_: str, data: str) -> None:
        """Applies one event of the stream. Raises MissingEvents."""
        try:
            update = self.sequence.accept(id_, data)
        except InvalidEvent as problem:
            self.note("event-unreadable", level="warning", problem=str(problem))
            return
        if update is not None:
            self.deliver(update)

    def deliver(self, update: ListUpdate) -> None:
        """Passes an update on, and logs the entries in it that could not be parsed."""
        if update.problems:
            self.note("event-unreadable", level="warning", problem="; ".join(update.problems)[:500],
                      entries=len(update.problems))
        try:
            self.on_update(update)
        except Exception as fault:      # a bug of this program is logged, and the next event is still applied
            self.note("fault", level="error", **exception_fields(fault))

    def has_unread_data(self) -> bool:
        """Whether data of the coordinator has arrived that is to be applied before anything is sent."""
        return self.unapplied.hold_sends()

    def move(self, address: Address) -> None:
        """Continues the stream at another address at once, from the last event on."""
        if address == self.address:
            return
        self.address = address
        self.backoff = ReconnectBackoff(self.backoff.chance, MAX_RETRY_PAUSE)
        self.freshness.failures = 0
        self.address_changed.set()
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Follows the stream for ever, with pauses between attempts that failed."""
        while True:
            self.address_changed.clear()
            address = self.address
            problem = self.follow_connection(address)
            if address != self.address:
                continue
            self.on_lost()
            pause = self.backoff.on_disconnected(time.monotonic_ns()) - time.monotonic_ns()
            self.note("coordinator-lost", level="warning", problem=problem, again_ms=max(0, pause) // MS)
            self.address_changed.wait(max(0, pause) / SECOND)

    def follow_connection(self, address: Address) -> str:
        """Reads one connection until it ends; returns why it ended."""
        sock, response, silent = None, Response(), False
        try:
            sock = connect(address, self.freshness.attempt_timeout())
            if address != self.address:
                return "moved"
            self.unapplied.sock = sock
            sock.sendall(f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n"
                         f"Last-Event-ID: {self.sequence.last}\r\n\r\n".encode())
            sock.settimeout(self.freshness.attempt_timeout() / SECOND)
            self.read(sock, response)
            return "ended by the coordinator" if response.message_complete else "closed by the coordinator"
        except TimeoutError:
            silent = response.headers_complete
            return "silent" if silent else "no connection in time" if self.sock is None else "no answer in time"
        except (OSError, InvalidEvent, MissingEvents) as failed:
            return str(failed) or type(failed).__name__
        finally:
            self.unapplied.clear()
            self.freshness.on_lost(silent, response.headers_complete)
            if sock is not None:
                sock.close()

    def read(self, sock: socket.socket, response: Response) -> None:
        """Applies the events of one connection until it ends. Raises OSError, InvalidEvent, MissingEvents."""
        parser, checkpoint = EventParser(), Checkpoint()
        while not response.message_complete:
            checkpoint.wait()
            if not self.read_events(sock, response, parser):
                return

    def read_events(self, sock: socket.socket, response: Response, parser: EventParser) -> bool:
        """Reads once and applies the events; False at the end of the connection. Raises as read().

        What was read is referred to in here alone: read() would hold the last list until more arrives."""
        data = sock.recv(READ_SIZE)
        if not data:
            return False
        body = response.feed(data)
        if response.headers_complete:
            self.freshness.on_bytes(time.monotonic_ns())
        if body:
            self.freshness.on_body()
        events = parser.feed(body)
        if events:
            self.backoff.on_connected(time.monotonic_ns())
        for event in self.unapplied.counted_down(events):
            self.apply(event.id, event.data)
        self.unapplied.on_applied()
        if response.headers_complete:
            sock.settimeout(self.freshness.silence_timeout() / SECOND)
            self.catch_up(sock)
        return True

    def catch_up(self, sock: socket.socket) -> None:
        """Records that the list is current once the missed events, which are written right behind the head, have been
        read."""
        if self.freshness.current:
            return
        gevent.sleep(CATCH_UP_WAIT / SECOND)
        if not has_events(sock, select.POLLIN):
            self.note("coordinator-current", last_event=self.sequence.last, failures=self.freshness.failures)
            self.freshness.on_caught_up()
