"""Relays between processes, one for each route, all in one process.

Bytes are passed on as they arrive until an order says otherwise. What a fault holds back is passed on in order when
the fault ends, as TCP would."""
from __future__ import annotations

import time

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.interface import SECOND
from threadshift.links.sockets import READ_SIZE, connect, listener, read_chunks
from threadshift.standins.common import Faults, Record

FAULT_POLL_INTERVAL = 0.005    # s between two checks whether a fault is still active
UNLIMITED = 1 << 30            # bytes


class Route:
    """One relay. Orders:

    cut L         holds both directions back; forth L and back L hold one
    delay L MS    delays each read; rate L BYTES limits the bytes a second
    mute L        accepts connections and sends nothing
    reset         closes all connections at once
    tear N        closes all connections after N more bytes
    heal          ends all faults
    """

    def __init__(self, name: str, address: Address, to: Address, record: Record):
        self.name, self.to, self.record = name, to, record
        self.faults = Faults()
        self.sock = listener(address, shared=False)
        self.address = Address(address.host, self.sock.getsockname()[1])
        self.open: set[socket.socket] = set()
        self.bytes_until_tear = UNLIMITED
        self.greenlets = {gevent.spawn(self.accept)}

    def execute_order(self, words: list[str]) -> None:
        self.record.note("relay", route=self.name, words=words)
        if words[0] == "reset":
            self.reset()
        elif words[0] == "tear":
            self.bytes_until_tear = int(words[1])
        elif words[0] == "heal":
            self.faults.active.clear()
        else:
            self.faults.order(*words)

    def reset(self) -> None:
        """Closes all connections."""
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
        greenlet = gevent.spawn(self.relay, sock)
        self.greenlets.add(greenlet)
        greenlet.link(self.greenlets.discard)

    def relay(self, sock: socket.socket) -> None:
        """Connects to the target and copies both directions until one of them ends."""
        self.open.add(sock)
        other = None
        try:
            while self.faults.amount("mute") or self.faults.amount("cut"):
                gevent.sleep(FAULT_POLL_INTERVAL)
            other = connect(self.to, SECOND)
            other.settimeout(None)
            self.open.add(other)
            pumps = [gevent.spawn(self.pump, sock, other, "forth"), gevent.spawn(self.pump, other, sock, "back")]
            gevent.joinall(pumps, count=1)
            gevent.killall(pumps)
        except OSError:
            pass
        finally:
            for each in (sock, other):
                if each is not None:
                    self.open.discard(each)
                    each.close()

    def pump(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        """Copies one direction, subject to the active faults."""
        try:
            for data in read_chunks(source, READ_SIZE):
                if self.faults.amount("delay"):
                    gevent.sleep(self.faults.amount("delay") / 1000)
                if rate := self.faults.amount("rate"):
                    gevent.sleep(len(data) / rate)
                while any(self.faults.amount(each) for each in ("cut", "mute", direction)):
                    gevent.sleep(FAULT_POLL_INTERVAL)
                if len(data) > self.bytes_until_tear:
                    sink.sendall(data[:self.bytes_until_tear])
                    self.bytes_until_tear = UNLIMITED
                    self.reset()
                    return
                self.bytes_until_tear -= len(data) if self.bytes_until_tear < UNLIMITED else 0
                sink.sendall(data)
        except OSError:
            pass

    def stop(self) -> None:
        self.sock.close()
        gevent.killall(list(self.greenlets))


class Relays:
    """All routes by name. An order is a route's name, several with commas or '*', followed by the fault."""

    def __init__(self, routes: list[tuple[str, Address, Address]], record: Record):
        """`routes` are triples of a name, the address to listen on, and the target."""
        self.routes = {name: Route(name, at, to, record) for name, at, to in routes}
        self.started = time.monotonic_ns()

    @property
    def address(self) -> str:
        """NAME=ADDRESS of all routes, separated by commas."""
        return ",".join(f"{name}={route.address}" for name, route in self.routes.items())

    def start(self) -> None:
        """Does nothing: routes listen as soon as they are made."""

    def execute_order(self, words: list[str]) -> None:
        names = self.routes if words[0] == "*" else words[0].split(",")
        for name in list(names):
            self.routes[name].execute_order(words[1:])

    def stop(self) -> None:
        for route in self.routes.values():
            route.stop()
