"""Relays between processes, one for each way of speech, all in one process: bytes are passed on as they come, until
an
order says otherwise. What is held is released in order once the fault is over, as TCP would."""
from __future__ import annotations

import time

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.interface import SECOND
from threadshift.links.sockets import READ_SIZE, connect, listener
from threadshift.standins.common import Faults, Record

STEP = 0.005               # s between two looks at a fault in force
WHOLE = 1 << 30            # bytes


class Route:
    """One relay. Orders: cut L (both directions are held), forth L, back L (one is), delay L MS, rate L BYTES a
    second,
    mute L (accepts and never speaks), reset (all connections at once), tear N (after so many bytes more)."""

    def __init__(self, name: str, address: Address, to: Address, record: Record):
        self.name, self.to, self.record = name, to, record
        self.faults = Faults()
        self.sock = listener(address, shared=False)
        self.address = Address(address.host, self.sock.getsockname()[1])
        self.open: set[socket.socket] = set()
        self.left = WHOLE                   # bytes until a connection is torn
        self.greenlets = {gevent.spawn(self.accept)}

    def execute_order(self, words: list[str]) -> None:
        self.record.note("relay", route=self.name, words=words)
        if words[0] == "reset":
            self.reset()
        elif words[0] == "tear":
            self.left = int(words[1])
        elif words[0] == "heal":
            self.faults.until.clear()
        else:
            self.faults.order(*words)

    def reset(self) -> None:
        for sock in list(self.open):
            sock.close()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.spawn(sock)

    def spawn(self, sock: socket.socket) -> None:
        it = gevent.spawn(self.converse, sock)
        self.greenlets.add(it)
        it.link(self.greenlets.discard)

    def converse(self, sock: socket.socket) -> None:
        self.open.add(sock)
        other = None
        try:
            while self.faults.amount("mute") or self.faults.amount("cut"):
                gevent.sleep(STEP)
            other = connect(self.to, SECOND)
            other.settimeout(None)
            self.open.add(other)
            ways = [gevent.spawn(self.pump, sock, other, "forth"), gevent.spawn(self.pump, other, sock, "back")]
            gevent.joinall(ways, count=1)
            gevent.killall(ways)
        except OSError:
            pass
        finally:
            for each in (sock, other):
                if each is not None:
                    self.open.discard(each)
                    each.close()

    def pump(self, one: socket.socket, other: socket.socket, way: str) -> None:
        try:
            while data := one.recv(READ_SIZE):
                if self.faults.amount("delay"):
                    gevent.sleep(self.faults.amount("delay") / 1000)
                if rate := self.faults.amount("rate"):
                    gevent.sleep(len(data) / rate)
                while any(self.faults.amount(each) for each in ("cut", "mute", way)):
                    gevent.sleep(STEP)
                if len(data) > self.left:
                    other.sendall(data[:self.left])
                    self.left = WHOLE
                    self.reset()
                    return
                self.left -= len(data) if self.left < WHOLE else 0
                other.sendall(data)
        except OSError:
            pass

    def stop(self) -> None:
        self.sock.close()
        gevent.killall(list(self.greenlets))


class Relays:
    """All routes, by name. An order is a route's name, or '*', and the fault."""

    def __init__(self, routes: list[tuple[str, Address, Address]], record: Record):
        self.routes = {name: Route(name, at, to, record) for name, at, to in routes}
        self.started = time.monotonic_ns()

    @property
    def address(self) -> str:
        return ",".join(f"{name}={route.address}" for name, route in self.routes.items())

    def start(self) -> None:
        """They listen from the first moment on."""

    def execute_order(self, words: list[str]) -> None:
        names = self.routes if words[0] == "*" else words[0].split(",")
        for name in list(names):
            self.routes[name].execute_order(words[1:])

    def stop(self) -> None:
        for route in self.routes.values():
            route.stop()
