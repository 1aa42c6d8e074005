"""Follows the coordinator's stream of events, over HTTP/1.1; dialled anew when it breaks or falls silent."""
from __future__ import annotations

import select
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from threadshift.conf.values import Address
from threadshift.coordinator.events import Numbers, Stream, Unbelievable, Word
from threadshift.interface import MS, SECOND
from threadshift.links.redial import Redial
from threadshift.links.sockets import READ, connect, shows
from threadshift.log import fault_of

PATH = "/v2/stream"
SILENT = 1_800 * MS        # without even the comment of each second, until the stream is dialled anew
SILENT_AGAIN = 1_200 * MS  # the same after a silence, until it speaks: word counts as told after four seconds of two
CONNECT = 500 * MS         # until another try: word counts as told two seconds after a break
LONGEST_PAUSE = 400 * MS   # between two tries, for the same reason
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
        """What of the body is in data. Raises OSError."""
        self.size += 0 if self.begun else len(data)
        if self.size > LONGEST_HEAD and not self.begun:
            raise OSError(f"a head over {LONGEST_HEAD} bytes")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            raise OSError(f"not HTTP/1.1: {str(problem)[:100]}") from None
        if self.begun and self.parser.get_status_code() != 200:
            raise OSError(f"status {self.parser.get_status_code()}")
        body, self.body = b"".join(self.body), []
        return body


class Following:
    """One front end's stream. Word of workers goes to `heard`, in order, each once."""

    def __init__(self, address: Address, heard: Callable[[Word], None], lost: Callable[[], None],
                 note: Callable[..., None], chance: Callable[[], float]):
        self.address, self.heard, self.lost, self.note = address, heard, lost, note
        self.numbers = Numbers()
        self.redial = Redial(chance, LONGEST_PAUSE)
        self.sock: socket.socket | None = None
        self.silent = False              # the connection before fell silent, and this one has not spoken yet
        self.caught_up = False           # a coordinator has answered since the start: `known` was as old as that
        self.moved = Event()

    def known(self, id_: str, data: Any) -> None:
        """One event, from wherever it came."""
        try:
            told = self.numbers.hear(id_, data)
        except Unbelievable as problem:
            self.note("event-unreadable", level="warning", problem=str(problem))
            return
        if told is not None:
            try:
                self.heard(told)
            except Exception as fault:      # ours, and loud: the next event is followed all the same
                self.note("fault", level="error", **fault_of(fault))

    def move(self, address: Address) -> None:
        """Goes on at another address, at once, with the numbers kept."""
        if address == self.address:
            return
        self.address = address
        self.redial = Redial(self.redial.chance, LONGEST_PAUSE)
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
            self.lost()
            pause = self.redial.broke(time.monotonic_ns()) - time.monotonic_ns()
            self.note("coordinator-lost", level="warning", problem=problem, again_ms=max(0, pause) // MS)
            self.moved.wait(max(0, pause) / SECOND)

    def catch_up(self, sock: socket.socket) -> None:
        """The first answer since the start has begun: the list is up to date once all that was missed is read."""
        gevent.sleep(CATCH_UP / SECOND)
        self.caught_up = not shows(sock, select.POLLIN)

    def follow(self, address: Address) -> str:
        """One connection until it ends; why it ended."""
        sock = None
        try:
            sock = connect(address, CONNECT)
            if address != self.address:
                return "moved"
            self.sock = sock
            sock.sendall(f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n"
                         f"Last-Event-ID: {self.numbers.last}\r\n\r\n".encode())
            sock.settimeout((SILENT_AGAIN if self.silent else SILENT) / SECOND)
            response, stream = Response(), Stream()
            while data := sock.recv(READ):
                if (body := response.feed(data)) and self.silent:
                    self.silent = False
                    sock.settimeout(SILENT / SECOND)
                events = stream.feed(body)
                if events:
                    self.redial.up(time.monotonic_ns())
                for event in events:
                    self.known(event.id, event.data)
                if response.begun and not self.caught_up:
                    self.catch_up(sock)
                if response.ended:
                    return "ended by the coordinator"
            return "closed by the coordinator"
        except TimeoutError:
            self.silent = self.silent or self.sock is not None
            return "silent" if self.sock is not None else "no connection in time"
        except (OSError, Unbelievable) as failed:
            return str(failed) or type(failed).__name__
        finally:
            self.sock = None
            if sock is not None:
                sock.close()
