"""What the stand-ins share: a server of frames, a record of the events that they see, and faults on order."""
from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.fileobject import FileObject
from gevent.pool import Group
from gevent.queue import Queue

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.interface import SECOND
from threadshift.links.codec import Frame, FrameDecoder, ProtocolError, encode
from threadshift.links.sockets import READ_SIZE, listener, read_chunks

MAX_FRAME_LENGTH = 16 << 20    # bytes
MAX_UNREAD_FRAMES = 4096       # for one peer; its connection is closed when it leaves more unread


class Record:
    """A file of events, one JSON object a line. Each line is written at once, so that nothing is lost on SIGKILL."""

    def __init__(self, path: str | None, **always: Any):
        """`always` are fields that each line has. Nothing is written where `path` is None."""
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else -1
        self.common_fields = always

    def note(self, event: str, **fields: Any) -> None:
        """Writes one event with its time."""
        if self.file >= 0:
            line = {"t": time.monotonic_ns(), "e": event, **self.common_fields, **fields}
            os.write(self.file, json.dumps(line, separators=(",", ":")).encode() + b"\n")


class Faults:
    """The active faults: for each name its end and its amount. "slow 10s 3" means three times as slow for 10 s."""

    def __init__(self) -> None:
        self.active: dict[str, tuple[int, float]] = {}     # name: (end, amount)

    def order(self, name: str, length: str = "24h", amount: str = "1") -> None:
        """Activates a fault, or replaces the active one of this name."""
        self.active[name] = time.monotonic_ns() + values.duration(length), float(amount)

    def amount(self, name: str) -> float:
        """The amount of a fault, 0 where it is not active."""
        end, amount = self.active.get(name, (0, 0.0))
        return amount if time.monotonic_ns() < end else 0.0

    def remaining(self, name: str) -> float:
        """Seconds until a fault ends, 0 where it is not active."""
        return max(0, self.active.get(name, (0, 0.0))[0] - time.monotonic_ns()) / SECOND

    def consume(self, name: str) -> bool:
        """Whether a fault is active; ends it, so that each order acts once."""
        return self.amount(name) > 0 and self.active.pop(name, None) is not None


class Peer:
    """One connection to a stand-in. A greenlet of its own writes the frames that are queued."""

    def __init__(self, sock: socket.socket):
        self.sock, self.name, self.zone = sock, "", ""
        self.blocked_for: Callable[[Peer], float] = lambda peer: 0
        self.queue: Queue = Queue(MAX_UNREAD_FRAMES)

    def send(self, kind: str, **fields: Any) -> None:
        """Queues a frame."""
        self.send_bytes(encode(kind, **fields))

    def send_bytes(self, data: bytes | None) -> None:
        """Queues bytes; None closes the connection after everything that was queued before."""
        try:
            self.queue.put_nowait(data)
        except gevent.queue.Full:
            self.sock.close()

    def write(self) -> None:
        """Writes what is queued, and waits while a fault blocks the connection."""
        with suppress(OSError):
            while (data := self.queue.get()) is not None:
                while blocked := self.blocked_for(self):
                    gevent.sleep(blocked)
                self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_RDWR)


class Server:
    """Accepts connections and reads their frames, each of which a subclass handles in `handle_frame`."""

    def __init__(self, address: Address):
        self.address = address
        self.faults = Faults()
        self.group = Group()
        self.peers: set[Peer] = set()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Listens; `address` then has the port that was given where it named none."""
        self.sock = listener(self.address, shared=False)
        if not self.address.path:
            self.address = Address(self.address.host, self.sock.getsockname()[1])
        self.group.spawn(self.accept)

    def accept(self) -> None:
        assert self.sock is not None
        with suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                if not self.address.path:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.group.spawn(self.serve_peer, sock)

    def serve_peer(self, sock: socket.socket) -> None:
        """Reads one connection until it ends. A frame that breaks the protocol closes it."""
        peer, frames = Peer(sock), FrameDecoder(MAX_FRAME_LENGTH)
        peer.blocked_for = self.blocked_for
        writer = gevent.spawn(peer.write)
        self.peers.add(peer)
        try:
            for data in read_chunks(sock, READ_SIZE):
                for frame in frames.feed(data):
                    self.handle_frame(peer, frame)
                while blocked := self.blocked_for(peer):
                    gevent.sleep(blocked)   # the connection stays open, and nothing more is read from it
        except ProtocolError as problem:
            peer.send("refused", reason=str(problem))
            gevent.sleep(0.01)
        except OSError:
            pass
        finally:
            self.peers.discard(peer)
            self.on_disconnected(peer)
            writer.kill()
            sock.close()

    def call_later(self, delay: float, action: Callable[..., None], *arguments: Any) -> None:
        """Calls `action` after `delay` seconds, unless the stand-in is stopped before."""
        def wait() -> None:
            gevent.sleep(delay)
            action(*arguments)
        self.group.spawn(wait)

    def handle_frame(self, peer: Peer, frame: Frame) -> None:
        raise NotImplementedError

    def blocked_for(self, peer: Peer) -> float:
        """Seconds for which a fault keeps this peer's connection from being read and written."""
        return self.faults.remaining("stall")

    def on_disconnected(self, peer: Peer) -> None:
        """Is called when a peer's connection has ended."""

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self.sock is not None:
            self.sock.close()
        self.group.kill()


def follow_orders(execute_order: Callable[[list[str]], None]) -> None:
    """Executes orders from standard input, one a line, until it ends. Reports an invalid one on standard error."""
    for line in FileObject(sys.stdin.buffer, "rb"):
        words = line.decode(errors="replace").split()
        if not words:
            continue
        try:
            execute_order(words)
        except (ValueError, TypeError, KeyError) as problem:
            print(f"order '{' '.join(words)}': {problem}", file=sys.stderr, flush=True)
