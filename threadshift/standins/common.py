"""What the stand-ins share: serving frames on a socket, a record of what crossed it, and faults by order."""
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
from threadshift.links.sockets import READ_SIZE, listener

LONGEST_FRAME = 16 << 20   # bytes
WAITING = 4096             # frames a peer may leave unread before its connection is closed


class Record:
    """Lines of what was seen, each written at once: what a killed process saw up to then counts."""

    def __init__(self, path: str | None, **always: Any):
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else -1
        self.always = always

    def note(self, event: str, **fields: Any) -> None:
        if self.file >= 0:
            line = {"t": time.monotonic_ns(), "e": event, **self.always, **fields}
            os.write(self.file, json.dumps(line, separators=(",", ":")).encode() + b"\n")


class Faults:
    """Faults in force: a name, until when, and how much. 'slow 10s 3' is three times as slow for ten seconds."""

    def __init__(self) -> None:
        self.until: dict[str, tuple[int, float]] = {}

    def order(self, name: str, length: str = "24h", amount: str = "1") -> None:
        self.until[name] = time.monotonic_ns() + values.duration(length), float(amount)

    def amount(self, name: str) -> float:
        """0 where it is not in force."""
        end, amount = self.until.get(name, (0, 0.0))
        return amount if time.monotonic_ns() < end else 0.0

    def left(self, name: str) -> float:
        """Seconds until it ends."""
        return max(0, self.until.get(name, (0, 0.0))[0] - time.monotonic_ns()) / SECOND

    def once(self, name: str) -> bool:
        """True once for each order."""
        return self.amount(name) > 0 and self.until.pop(name, None) is not None


class Peer:
    """One connection to a stand-in; frames out are queued and written by a greenlet of its own."""

    def __init__(self, sock: socket.socket):
        self.sock, self.name, self.zone = sock, "", ""
        self.cut: Callable[[Peer], float] = lambda peer: 0
        self.queue: Queue = Queue(WAITING)

    def send(self, kind: str, **fields: Any) -> None:
        self.raw(encode(kind, **fields))

    def raw(self, data: bytes | None) -> None:
        """None closes the connection after what waits."""
        try:
            self.queue.put_nowait(data)
        except gevent.queue.Full:
            self.sock.close()

    def write(self) -> None:
        with suppress(OSError):
            while (data := self.queue.get()) is not None:
                while cut := self.cut(self):
                    gevent.sleep(cut)
                self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_RDWR)


class Server:
    """Accepts peers and reads their frames; what is said goes to `hear`. Ended by stop()."""

    def __init__(self, address: Address):
        self.address = address
        self.faults = Faults()
        self.group = Group()
        self.peers: set[Peer] = set()
        self.sock: socket.socket | None = None

    def start(self) -> None:
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
                self.group.spawn(self.converse, sock)

    def converse(self, sock: socket.socket) -> None:
        peer, frames = Peer(sock), FrameDecoder(LONGEST_FRAME)
        peer.cut = self.cut_off
        writer = gevent.spawn(peer.write)
        self.peers.add(peer)
        try:
            while data := sock.recv(READ_SIZE):
                for frame in frames.feed(data):
                    self.hear(peer, frame)
                while cut := self.cut_off(peer):
                    gevent.sleep(cut)       # accepts, but reads nothing on
        except ProtocolError as problem:
            peer.send("refused", reason=str(problem))
            gevent.sleep(0.01)
        except OSError:
            pass
        finally:
            self.peers.discard(peer)
            self.gone(peer)
            writer.kill()
            sock.close()

    def later(self, delay: float, act: Callable[..., None], *words: Any) -> None:
        """Does something after so many seconds, unless the stand-in is stopped before."""
        def wait() -> None:
            gevent.sleep(delay)
            act(*words)
        self.group.spawn(wait)

    def hear(self, peer: Peer, frame: Frame) -> None:
        raise NotImplementedError

    def cut_off(self, peer: Peer) -> float:
        """Seconds for which nothing is read from this peer or written to it."""
        return self.faults.left("stall")

    def gone(self, peer: Peer) -> None:
        """A peer's connection ended."""

    def stop(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.group.kill()


def follow_orders(execute_order: Callable[[list[str]], None]) -> None:
    """Reads orders, one a line, from standard input until it ends. A wrong one is said on standard error."""
    for line in FileObject(sys.stdin.buffer, "rb"):
        words = line.decode(errors="replace").split()
        if not words:
            continue
        try:
            execute_order(words)
        except (ValueError, TypeError, KeyError) as problem:
            print(f"order '{' '.join(words)}': {problem}", file=sys.stderr, flush=True)
