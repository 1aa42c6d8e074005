"""Sockets over IPv4, IPv6 and Unix paths: listening, connecting, buffered writing."""
from __future__ import annotations

import fcntl
import os
import select
import sys
import termios
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.checkpoint import Checkpoint
from threadshift.links.outbox import Outbox

READ_SIZE = 16 << 10       # bytes a read, some hundred frames; all are handled before the event loop polls again
INT_SIZE = 4               # bytes of a C int
BACKLOG = 1024             # connections that the kernel queues until they are accepted
MAX_ACCEPTS = 16           # connections accepted between two polls of the event loop
ACCEPT_PAUSE = 100 * MS    # after an accept that failed because no file descriptor was free
MAX_STATEMENT_AGE = 5 * MS # of the time left that a frame states when it is written
MAX_STATEMENTS = 3         # until a frame is written all the same, as stating the time of very many takes long


def listener(address: Address, shared: bool) -> socket.socket:
    """A listening socket. With `shared`, several processes of an installation may listen at the same port."""
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
    """A connected socket. Waits for at most `limit` ns; raises OSError."""
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


def accept_connections(sock: socket.socket, note: Callable[..., None],
                       on_accept: Callable[[int], None] = lambda began: None) -> Iterator[socket.socket]:
    """Yields connections until the listener is closed. A failed accept is logged and retried after a pause.

    on_accept() is called after each accept with the time at which it began, in monotonic ns."""
    checkpoint = Checkpoint(MAX_ACCEPTS)
    while True:
        checkpoint.wait()
        began = time.monotonic_ns()
        try:
            client, _ = sock.accept()
        except OSError as problem:
            if sock.closed or sock.fileno() < 0:
                return
            note("accept-failed", level="warning", problem=str(problem))
            gevent.sleep(ACCEPT_PAUSE / SECOND)
            continue
        on_accept(began)
        yield client


def read_chunks(sock: socket.socket, size: int) -> Iterator[bytes]:
    """Yields what arrives, at most `size` bytes at a time, until the peer closes. Raises OSError.

    The event loop polls between two chunks, so that a peer that sends faster than its input is handled keeps nobody
    else waiting."""
    checkpoint = Checkpoint()
    while True:
        checkpoint.wait()
        data = sock.recv(size)
        if not data:
            return
        yield data


def always() -> bool:
    return True


def current_chunk(outbox: Outbox, refresh: Callable[[], None], may_write: Callable[[], bool]) -> bytes:
    """The next bytes to write. refresh() updates what frames state of the time left.

    It is called again where the process was stopped since: that time is not left any more. Raises BlockingIOError
    where nothing may be written yet."""
    for _ in range(MAX_STATEMENTS):
        stated_at = time.monotonic_ns()
        if outbox.size and not may_write():
            raise BlockingIOError
        refresh()
        chunk = outbox.chunk()
        if time.monotonic_ns() - stated_at < MAX_STATEMENT_AGE:
            break
    return chunk


def write_out(sock: socket.socket, outbox: Outbox, limit: int, refresh: Callable[[], None] = lambda: None,
              may_write: Callable[[], bool] = always) -> None:
    """Writes what waits in the outbox. Raises OSError where the peer takes no byte for `limit` ns.

    Each chunk is cut when it can be written, not before. Otherwise a frame that is withdrawn during the wait would
    be sent all the same, and its bytes would be counted as those of other frames. refresh() is called before each
    write; where may_write() is false, the event loop polls before it is asked again.
    """
    while True:
        try:
            chunk = current_chunk(outbox, refresh, may_write)
            if not chunk:
                break
            outbox.wrote(sock.send(chunk, 0, 0.0), time.monotonic_ns())
        except BlockingIOError:
            socket.wait_write(sock.fileno(), limit / SECOND)
    outbox.wrote(0)


class BufferedSender:
    """Writes to one socket: at once as far as the operating system takes the bytes, the rest in a greenlet.

    When a write fails the socket is shut down, and the greenlet that reads it notices and cleans up.
    """

    def __init__(self, sock: socket.socket, max_buffered: int, limit: int):
        self.sock, self.outbox, self.write_limit = sock, Outbox(max_buffered), limit
        self.writer: gevent.Greenlet | None = None

    def write(self) -> None:
        """Writes what waits in the outbox, unless the greenlet does so already."""
        if self.writer is not None:
            return
        try:
            while chunk := current_chunk(self.outbox, self.refresh, self.may_write):
                self.outbox.wrote(self.sock.send(chunk, 0, 0.0), time.monotonic_ns())
            self.outbox.wrote(0)
            self.written()
        except BlockingIOError:
            self.writer = gevent.spawn(self.write_rest)
        except OSError:
            self.shut()

    def write_rest(self) -> None:
        """Writes what waits, as the socket becomes writable."""
        try:
            write_out(self.sock, self.outbox, self.write_limit, self.refresh, self.may_write)
            self.written()
        except OSError:
            self.shut()
        finally:
            self.writer = None

    def refresh(self) -> None:
        """Called right before output is written."""

    def may_write(self) -> bool:
        """Whether output may be written now; asked before each write."""
        return True

    def written(self) -> None:
        """Called when the outbox is empty."""

    def shut(self, how: int = socket.SHUT_RDWR) -> None:
        """Shuts the socket down, if it is still connected."""
        with suppress(OSError):
            self.sock.shutdown(how)


def has_events(sock: socket.socket, events: int) -> bool:
    """Whether one of these events of poll() holds for the socket now, whether or not its reader has seen it."""
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes have arrived on the socket and are not read; 0 where it is closed."""
    with suppress(OSError, ValueError):
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT_SIZE)), sys.byteorder)
    return 0


def time_since_poll() -> int:
    """ns since the event loop last polled its sockets. What is read now was ready then."""
    return max(0, int((time.time() - gevent.get_hub().loop.now()) * SECOND))
