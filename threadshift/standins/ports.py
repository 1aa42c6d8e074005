"""Ports on loopback for processes that are started later, or started again.

They lie below the range from which the system assigns ports: from within it, a port could be assigned to another
process before its own one listens. It was once given to a relay of the same test, so that an order to one front end
reached the peers of another.
"""
from __future__ import annotations

import random
from contextlib import ExitStack, suppress
from pathlib import Path

from gevent import socket

LOOPBACK = "127.0.0.1"
DEFAULT_EPHEMERAL_PORT = 32_768    # the usual lowest one, where the system's setting cannot be read


def lowest_ephemeral_port() -> int:
    """The lowest port that the system assigns to sockets that are bound to none."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except OSError:
        return DEFAULT_EPHEMERAL_PORT


def draw_port(count: int = 1) -> int:
    """Draws the first of `count` consecutive ports, which may be in use."""
    low = lowest_ephemeral_port()
    return random.randrange(low // 2, low - count + 1)


class ReservedPorts:
    """Ports that nobody else draws until release(), although nothing may listen at them for a while.

    Each is held by a bound socket. As that does not listen and permits reuse of its address, a listener that asks for
    reuse, as all listeners of this program do, may be opened at the port, closed, and opened again."""

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Reserves ports that are free now."""
        found: list[int] = []
        while len(found) < count:
            with suppress(OSError):         # the port is in use
                found.append(self.hold(draw_port()))
        return found

    def reserve_consecutive(self, count: int) -> int:
        """Reserves consecutive ports that are free now; returns the first."""
        while True:
            first, others = draw_port(count), ReservedPorts()
            try:
                for port in range(first, first + count):
                    others.hold(port)
            except OSError:
                others.release()            # one of the ports is in use
                continue
            self.sockets += others.sockets
            return first

    def hold(self, port: int) -> int:
        """Reserves this port. Raises OSError if it is in use or reserved."""
        with ExitStack() as on_error:
            sock = on_error.enter_context(socket.socket())
            sock.bind((LOOPBACK, port))
            # Only now: with it, the port could be bound although another one holds it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            on_error.pop_all()
        self.sockets.append(sock)
        return port

    def release(self) -> None:
        """Gives all ports back."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()


def free_ports(count: int) -> list[int]:
    """Ports that are free now, for processes that listen at once: until they do, others may draw the same."""
    reserved = ReservedPorts()
    try:
        return reserved.reserve(count)
    finally:
        reserved.release()
