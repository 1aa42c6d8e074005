"""Sockets of all three kinds, IPv4, IPv6 and Unix: to listen at and to dial."""
from __future__ import annotations

import os
import select
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.outbox import Outbox

READ = 64 << 10            # bytes a read; a usual frame or request fits many times
BACKLOG = 1024             # connections that the kernel keeps for us to accept
ACCEPT_PAUSE = 100 * MS    # after an accept that failed for want of descriptors


def listener(address: Address, shared: bool) -> socket.socket:
    """A listening socket; `shared` lets several processes of ours listen at the same port."""
    family = socket.AF_UNIX if address.path else socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    if address.path:
        with suppress(FileNotFoundError):
            os.unlink(address.path)
        sock.bind(address.path)
    else:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    return sock


def connect(address: Address, limit: int) -> socket.socket:
    """A connected socket. Waits for at most limit ns; raises OSError."""
    family = socket.AF_UNIX if address.path else socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(limit / SECOND)
        sock.connect(address.path or (address.host, address.port))
        if not address.path:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock
    except BaseException:
        sock.close()
        raise


def accept_connections(sock: socket.socket, note: Callable[..., None]) -> Iterator[socket.socket]:
    """Connections as they come, until the listener is closed; what fails is noted and tried again after a pause."""
    while True:
        try:
            client, _ = sock.accept()
        except OSError as problem:
            if sock.closed or sock.fileno() < 0:
                return
            note("accept-failed", level="warning", problem=str(problem))
            gevent.sleep(ACCEPT_PAUSE / SECOND)
            continue
        yield client


def write_out(sock: socket.socket, outbox: Outbox, limit: int, refresh: Callable[[], None] = lambda: None) -> None:
    """Writes what waits in the outbox. Raises OSError where the peer takes no byte for limit ns.

    Each chunk is cut when it can be written, not before: what is taken back while we wait must not leave after all,
    and what did leave would be counted against frames that it is not of. refresh() is called after each wait."""
    while chunk := outbox.chunk():
        try:
            outbox.wrote(sock.send(chunk, 0, 0.0), time.monotonic_ns())
        except BlockingIOError:
            socket.wait_write(sock.fileno(), limit / SECOND)
            refresh()
    outbox.wrote(0)


class BufferedSender:
    """What goes out on one socket: written at once as far as the operating system takes it, the rest by a greenlet.

    Where that fails the socket is shut, and whoever reads it notices and tidies up."""

    def __init__(self, sock: socket.socket, most: int, limit: int):
        self.sock, self.outbox, self.write_limit = sock, Outbox(most), limit
        self.writer: gevent.Greenlet | None = None

    def write(self) -> None:
        """Writes what waits in the outbox."""
        if self.writer is not None:
            return
        try:
            while chunk := self.outbox.chunk():
                self.outbox.wrote(self.sock.send(chunk, 0, 0.0), time.monotonic_ns())
            self.outbox.wrote(0)
            self.written()
        except BlockingIOError:
            self.writer = gevent.spawn(self.write_rest)
        except OSError:
            self.shut()

    def write_rest(self) -> None:
        try:
            write_out(self.sock, self.outbox, self.write_limit, self.refresh)
            self.written()
        except OSError:
            self.shut()
        finally:
            self.writer = None

    def refresh(self) -> None:
        """What waits is about to be written after the socket was full."""

    def written(self) -> None:
        """All that waited is written."""

    def shut(self, how: int = socket.SHUT_RDWR) -> None:
        with suppress(OSError):
            self.sock.shutdown(how)


def has_events(sock: socket.socket, events: int) -> bool:
    """Whether a socket shows one of these events of poll() now, seen by its reader or not."""
    look = select.poll()
    look.register(sock.fileno(), events)
    return bool(look.poll(0))


def time_since_poll() -> int:
    """ns since the event loop last looked which sockets have something to read: what is read now lay ready then."""
    return max(0, int((time.time() - gevent.get_hub().loop.now()) * SECOND))
