"""Follows the coordinator's stream of events, over HTTP/1.1; dialled anew when it breaks or falls silent."""
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
from threadshift.coordinator.freshness import LONGEST_PAUSE, Freshness
from threadshift.interface import MS, SECOND
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, connect, has_events
from threadshift.log import exception_fields

PATH = "/v2/stream"
LONGEST_HEAD = 16 << 10    # bytes before the first event
CATCH_UP = 10 * MS         # after the head, for the events that were missed: they are written right behind it


class Response:
    """The head and the chunks of one response, as httptools reads them."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.begun = self.ended = False
        self.size = 0

    def on_headers_complete(self) -> None:
        self.begun = True

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        self.ended = True

    def feed(self, data: bytes) -> bytes:
        """What of the body is in data, which may hold the end of the head, too. Raises OSError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            raise OSError(f"not HTTP/1.1: {str(problem)[:100]}") from None
        if not self.begun:
            self.size += len(data)
            if self.size > LONGEST_HEAD:
                raise OSError(f"a head over {LONGEST_HEAD} bytes")
        if self.begun and self.parser.get_status_code() != 200:
            raise OSError(f"status {self.parser.get_status_code()}")
        body, self.body = b"".join(self.body), []
        return body


class CoordinatorStream:
    """One front end's stream. What it says of workers goes to `on_update`, in order, each event once."""

    def __init__(self, address: Address, on_update: Callable[[ListUpdate], None], on_lost: Callable[[], None],
                 note: Callable[..., None], chance: Callable[[], float]):
        self.address, self.on_update, self.on_lost, self.note = address, on_update, on_lost, note
        self.sequence, self.freshness = EventSequence(), Freshness()
        self.backoff = ReconnectBackoff(chance, LONGEST_PAUSE)
        self.sock: socket.socket | None = None
        self.moved = Event()

    def apply_known(self, events: Iterable[Any]) -> None:
        """The events of a configuration."""
        for update in self.sequence.accept_known(events):
            if isinstance(update, InvalidEvent):
                self.note("event-unreadable", level="warning", problem=str(update))
            else:
                self.hand_on(update)

    def apply(self, id_: str, data: str) -> None:
        """One event of the stream. Raises MissingEvents."""
        try:
            update = self.sequence.accept(id_, data)
        except InvalidEvent as problem:
            self.note("event-unreadable", level="warning", problem=str(problem))
            return
        if update is not None:
            self.hand_on(update)

    def hand_on(self, update: ListUpdate) -> None:
        if update.problems:
            self.note("event-unreadable", level="warning", problem="; ".join(update.problems)[:500],
                      entries=len(update.problems))
        try:
            self.on_update(update)
        except Exception as fault:      # ours, and loud: the next event is followed all the same
            self.note("fault", level="error", **exception_fields(fault))

    def has_unread_data(self) -> bool:
        """Whether something of the coordinator has arrived and is not read yet."""
        return self.sock is not None and has_events(self.sock, select.POLLIN)

    def move(self, address: Address) -> None:
        """Goes on at another address, at once, with the numbers kept."""
        if address == self.address:
            return
        self.address = address
        self.backoff = ReconnectBackoff(self.backoff.chance, LONGEST_PAUSE)
        self.freshness.failures = 0
        self.moved.set()
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        while True:
            self.moved.clear()
            address = self.address
            problem = self.follow(address)
            if address != self.address:
                continue
            self.on_lost()
            pause = self.backoff.on_disconnected(time.monotonic_ns()) - time.monotonic_ns()
            self.note("coordinator-lost", level="warning", problem=problem, again_ms=max(0, pause) // MS)
            self.moved.wait(max(0, pause) / SECOND)

    def follow(self, address: Address) -> str:
        """One connection until it ends; why it ended."""
        sock, response, silent = None, Response(), False
        try:
            sock = connect(address, self.freshness.dialled())
            if address != self.address:
                return "moved"
            self.sock = sock
            sock.sendall(f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n"
                         f"Last-Event-ID: {self.sequence.last}\r\n\r\n".encode())
            sock.settimeout(self.freshness.dialled() / SECOND)
            self.read(sock, response)
            return "ended by the coordinator" if response.ended else "closed by the coordinator"
        except TimeoutError:
            silent = response.begun
            return "silent" if silent else "no connection in time" if self.sock is None else "no answer in time"
        except (OSError, InvalidEvent, MissingEvents) as failed:
            return str(failed) or type(failed).__name__
        finally:
            self.sock = None
            self.freshness.lost(silent, response.begun)
            if sock is not None:
                sock.close()

    def read(self, sock: socket.socket, response: Response) -> None:
        """Applies the events of one connection until it ends. Raises OSError, InvalidEvent, MissingEvents."""
        parser = EventParser()
        while not response.ended and (data := sock.recv(READ_SIZE)):
            body = response.feed(data)
            if response.begun:
                self.freshness.received(time.monotonic_ns())
            if body:
                self.freshness.spoke()
            events = parser.feed(body)
            if events:
                self.backoff.on_connected(time.monotonic_ns())
            for event in events:
                self.apply(event.id, event.data)
            if response.begun:
                sock.settimeout(self.freshness.silence() / SECOND)
                self.catch_up(sock)

    def catch_up(self, sock: socket.socket) -> None:
        """The list is current once all that was missed, which is written right behind the head, has been read."""
        if self.freshness.current:
            return
        gevent.sleep(CATCH_UP / SECOND)
        if not has_events(sock, select.POLLIN):
            self.note("coordinator-current", last_event=self.sequence.last, failures=self.freshness.failures)
            self.freshness.caught_up()
