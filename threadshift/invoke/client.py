"""A small HTTP/1.1 client for the command line, load and tests: one connection, one request at a time."""
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
from threadshift.links.sockets import READ, connect, shows


class NoAnswer(ThreadshiftError):
    """The connection failed, or ended before its answer did."""

    help = "see whether the gateway runs and listens at that address"


@dataclass
class Reply:
    """An answer as it comes in; called by httptools."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    over: bool = False
    keep: bool = True
    parser: Any = None

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.status, self.keep = self.parser.get_status_code(), self.parser.should_keep_alive()
        self.over = self.status >= 200


class Client:
    """Keeps one connection and dials anew when it was closed between two requests."""

    def __init__(self, address: Address, limit: int = 30 * SECOND):
        self.address, self.limit = address, limit
        self.sock: socket.socket | None = None

    def ask(self, method: str, path: str, headers: Mapping[str, str | None] | None = None,
            body: bytes = b"", limit: int | None = None) -> Reply:
        """Raises NoAnswer. A request is never sent twice by itself: it may have run."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items() if value is not None]
        reply = Reply()
        reply.parser = httptools.HttpResponseParser(reply)
        try:
            # Closed meanwhile, or with bytes that nobody asked for. Found by a day on which most front ends were
            # killed at once: the next call went to a connection that had ended with its front end, and was lost.
            if self.sock is not None and shows(self.sock, select.POLLIN):
                self.close()
            if self.sock is None:
                self.sock = connect(self.address, 5 * SECOND)
            self.sock.settimeout((limit or self.limit) / SECOND)
            self.sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            while not reply.over:
                data = self.sock.recv(READ)
                if not data:
                    raise NoAnswer("closed before its answer")
                reply.parser.feed_data(data)
        except (OSError, httptools.HttpParserError) as problem:
            self.close()
            raise NoAnswer(str(problem) or type(problem).__name__) from None
        except BaseException:
            self.close()
            raise
        if not reply.keep:
            self.close()
        return reply

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None
