"""A small HTTP/1.1 client for the command line, load tools and tests: one connection, one request at a time."""
from __future__ import annotations

import select
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import httptools
from gevent import socket

from threadshift.errors import ThreadshiftError
from threadshift.conf.values import Address
from threadshift.interface import SECOND
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.sockets import READ_SIZE, connect, has_events

CONNECT_TIMEOUT = 5 * SECOND
DEFAULT_TIMEOUT = 30 * SECOND


class NoAnswer(ThreadshiftError):
    """The connection failed, or ended before the answer was complete."""

    help = "see whether the gateway runs and listens at that address"


@dataclass
class Reply:
    """An answer while it is received; httptools calls the on_ methods."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    keep_alive: bool = True
    parser: Any = None

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.status, self.keep_alive = self.parser.get_status_code(), self.parser.should_keep_alive()
        self.is_complete = self.status >= 200


class Client:
    """Keeps one connection and opens a new one when it was closed between two requests."""

    def __init__(self, address: Address, timeout: int = DEFAULT_TIMEOUT):
        self.address, self.timeout = address, timeout
        self.sock: socket.socket | None = None

    def request(self, method: str, path: str, headers: Mapping[str, str | None] | None = None,
                body: bytes = b"", timeout: int | None = None) -> Reply:
        """Sends a request and waits for its answer. Never sends it twice, as it may have run. Raises NoAnswer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items() if value is not None]
        reply = Reply()
        reply.parser = httptools.HttpResponseParser(reply)
        try:
            # The connection was closed meanwhile, or holds bytes that no request asked for. Without this check, after
            # most front ends were killed at once, the next call was written to a connection that had ended with its
            # front end, and was lost.
            if self.sock is not None and has_events(self.sock, select.POLLIN):
                self.close()
            if self.sock is None:
                self.sock = connect(self.address, CONNECT_TIMEOUT)
            self.sock.settimeout((timeout or self.timeout) / SECOND)
            self.sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            checkpoint = Checkpoint()
            while not reply.is_complete:
                checkpoint.wait()
                data = self.sock.recv(READ_SIZE)
                if not data:
                    raise NoAnswer("the connection was closed before its answer was complete")
                reply.parser.feed_data(data)
        except (OSError, httptools.HttpParserError) as problem:
            self.close()
            raise NoAnswer(str(problem) or type(problem).__name__) from None
        except BaseException:
            self.close()
            raise
        if not reply.keep_alive:
            self.close()
        return reply

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None
