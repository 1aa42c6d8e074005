"""The speaker: sockets and greenlets around neighbours. Decides nothing; slows no call.

Each connection has a reading and a writing greenlet; what waits to be written is bounded, and a peer that takes
nothing for WRITE_LIMIT is closed (RFC 9687's send hold timer, in short).
"""
from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Group, Pool

from threadshift.bgp import codec
from threadshift.bgp.pace import Pace
from threadshift.bgp.path import Family, Path, Prefix
from threadshift.bgp.rib import Heard, Told
from threadshift.bgp.session import Neighbour, Session, State, LocalSpeaker, RemotePeer
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.sockets import READ, listener

DIAL_LIMIT = 3 * SECOND    # ns; a router of this site answers within ms
WRITE_LIMIT = 5 * SECOND   # ns; bytes that no peer takes
MOST_WAITING = 1 << 20     # bytes to be written to one peer: over 10,000 routes
MOST_HEARD = 10_000        # routes kept of one peer; a full table is refused
CLOSE_LIMIT = SECOND       # ns; a last NOTIFICATION leaves within it or not at all
MOST_REFUSED = 8           # connections that are being told why they are not wanted; more are just closed
FULL_HOPS = 255            # GTSM (RFC 5082): the TTL that only a neighbour can have
IP_MINTTL = 21             # Linux: the least TTL that a socket takes


class PeerAddress(NamedTuple):
    """Where a peer is, and how it is dialled."""

    remote: RemotePeer
    address: Address
    source: str = ""             # our address on this connection; empty: the system's choice
    ttl_security: bool = False


class Connection:
    """One TCP connection, dialled or accepted; ended by close()."""

    def __init__(self, wire: TcpWire, peer: PeerAddress, sock: socket.socket | None):
        self.wire, self.peer, self.sock = wire, peer, sock
        self.out: list[bytes] = []
        self.size = 0
        self.wake = Event()
        self.closing = False
        self.greenlets = Group()
        self.greenlets.spawn(self.run)

    def run(self) -> None:
        problem = ""
        try:
            if self.sock is None:
                self.sock = self.dial()
            self.secure(self.sock)
            self.sock.settimeout(None)
            self.wire.up(self)
            self.greenlets.spawn(self.write)
            while not self.closing and (data := self.sock.recv(READ)):
                if not self.closing:
                    self.wire.data(self, data)
        except OSError as failed:
            problem = str(failed)
        if not self.closing:
            self.wire.failed(self, problem)

    def dial(self) -> socket.socket:
        address = self.peer.address
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
        self.sock = sock
        sock.settimeout(DIAL_LIMIT / SECOND)
        if self.peer.source:
            sock.bind((self.peer.source, 0))
        sock.connect((address.host, address.port))
        return sock

    def secure(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.peer.ttl_security and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, FULL_HOPS)
            sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, FULL_HOPS)

    def send(self, data: bytes) -> None:
        if self.closing:
            return
        self.out.append(data)
        self.size += len(data)
        self.wake.set()
        if self.size > MOST_WAITING and self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)    # the reader notices

    def write(self) -> None:
        sock = self.sock
        assert sock is not None
        with suppress(OSError):
            while self.out or not self.closing:
                if not self.out:
                    self.wake.clear()
                    self.wake.wait()
                    continue
                data, self.out, self.size = b"".join(self.out), [], 0
                with gevent.Timeout((CLOSE_LIMIT if self.closing else WRITE_LIMIT) / SECOND, False):
                    sock.sendall(data)
                    continue
                break
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()

    def close(self) -> None:
        """What waits is still written, for a moment; then the socket closes."""
        if self.closing:
            return
        self.closing = True
        self.wake.set()
        if self.sock is not None and not self.out:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)


class TcpWire:
    """A session's port to TCP; may dial several times in its life. Events of an older connection are dropped."""

    def __init__(self, speaker: Speaker, peer: PeerAddress, sock: socket.socket | None = None):
        self.speaker, self.peer = speaker, peer
        self.session: Session
        self.connection: Connection | None = None
        self.accepted = sock

    def dial(self) -> None:
        self.connection = Connection(self, self.peer, None)

    def take(self) -> None:
        """Begins to read an accepted connection, once the session has it."""
        self.connection = Connection(self, self.peer, self.accepted)

    def send(self, data: bytes) -> None:
        self.speaker.sent += 1
        if self.connection is not None:
            self.connection.send(data)
        elif self.accepted is not None:         # its OPEN, before the greenlets run
            self.take()
            assert self.connection is not None
            self.connection.send(data)

    def close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    # From the connection.

    def up(self, connection: Connection) -> None:
        if connection is self.connection and self.accepted is None:
            self.session.tcp_up(time.monotonic_ns())

    def data(self, connection: Connection, data: bytes) -> None:
        if connection is self.connection:
            self.session.data(time.monotonic_ns(), data)

    def failed(self, connection: Connection, problem: str) -> None:
        if connection is self.connection:
            self.connection = None
            connection.close()
            self.session.tcp_failed(time.monotonic_ns())


class Speaker:
    """All neighbours of one front end. tick() is wanted a few times a second; stop() ends every greenlet."""

    def __init__(self, local: LocalSpeaker, peers: Sequence[PeerAddress], listen: Address | None,
                 wanted: Callable[[RemotePeer], dict[Prefix, Path]], note: Callable[..., Any],
                 chance: Callable[[], float]):
        self.local, self.listen, self.wanted, self.note = local, listen, wanted, note
        self.peers = {peer.remote.name: peer for peer in peers}
        self.heard = Heard(MOST_HEARD)
        self.told: dict[str, Told] = {}
        self.sent = 0
        self.neighbours = {name: Neighbour(local, peer.remote, self, self.wire_to(peer), chance)
                           for name, peer in self.peers.items()}
        self.greenlets = Group()
        self.refusals = Pool(MOST_REFUSED)
        self.pace = Pace(time.monotonic_ns())
        self.sock: socket.socket | None = None

    def wire_to(self, peer: PeerAddress) -> Callable[[Neighbour], TcpWire]:
        return lambda neighbour: TcpWire(self, peer)

    def start(self) -> None:
        """Raises OSError where it cannot listen."""
        if self.listen is not None:
            self.sock = listener(self.listen, shared=False)
            self.greenlets.spawn(self.accept)
        now = time.monotonic_ns()
        for neighbour in self.neighbours.values():
            neighbour.begin(now)
        self.tick(now)

    def accept(self) -> None:
        assert self.sock is not None
        while True:
            try:
                sock, source = self.sock.accept()
            except OSError as problem:
                if self.sock.fileno() < 0:
                    return
                self.note("bgp-accept-failed", level="warning", problem=str(problem))
                gevent.sleep(0.1)
                continue
            peer = next((each for each in self.peers.values() if each.address.host == source[0]), None)
            if peer is None:
                sock.close()
                continue
            neighbour = self.neighbours[peer.remote.name]
            if neighbour.incoming(time.monotonic_ns(), TcpWire(self, peer, sock)) is not None:
                continue
            if self.refusals.free_count():
                stands = neighbour.state is State.ESTABLISHED
                self.refusals.spawn(self.refuse, sock, codec.COLLISION if stands else codec.REJECTED)
            else:
                sock.close()

    @staticmethod
    def refuse(sock: socket.socket, subcode: int) -> None:
        """Says why (RFC 4271, section 6.8; RFC 4486), and reads until the peer has heard: a close on bytes unread
        would reset the connection under the message."""
        with suppress(OSError), gevent.Timeout(CLOSE_LIMIT / SECOND, False):
            sock.sendall(codec.write_notification(codec.CEASE, subcode))
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(READ):
                pass
        sock.close()

    def tick(self, now: int) -> None:
        for neighbour in self.pace.turns(self.neighbours.values(), now):
            neighbour.tick(now)

    def announce(self) -> None:
        """Brings every established neighbour to what is wanted now."""
        for name, told in self.told.items():
            session = self.neighbours[name].established_session
            if session is not None:
                for data in told.changes(self.wanted(self.peers[name].remote)):
                    session.wire.send(data)

    def stop(self, reason: str) -> None:
        """Says goodbye to every neighbour. Their routes go with the sessions."""
        if self.sock is not None:
            self.sock.close()
        now = time.monotonic_ns()
        for neighbour in self.neighbours.values():
            neighbour.stop(now, codec.ADMIN_SHUTDOWN, reason)
        gevent.sleep(0)
        self.greenlets.kill()
        self.refusals.kill()

    @property
    def established(self) -> int:
        return len(self.told)

    # What neighbours tell.

    def up(self, now: int, neighbour: Neighbour) -> None:
        name = neighbour.remote.name
        session = neighbour.session
        told = self.told[name] = Told(session.can.families & self.local.can.families, session.reader.four_octets)
        self.note("bgp-up", peer=name, hold_s=session.hold // SECOND)
        for data in told.first(self.wanted(neighbour.remote)):
            session.wire.send(data)

    def down(self, now: int, neighbour: Neighbour, why: str) -> None:
        self.told.pop(neighbour.remote.name, None)
        self.heard.lost(neighbour.remote.name)
        self.note("bgp-down", level="warning", peer=neighbour.remote.name, why=why)

    def announced(self, neighbour: Neighbour, prefixes: Sequence[Prefix], path: Path) -> None:
        if not self.heard.announced(neighbour.remote.name, prefixes, path):
            raise codec.Fault(codec.CEASE, codec.MAX_PREFIXES, text=f"more than {MOST_HEARD} routes")

    def withdrawn(self, neighbour: Neighbour, prefixes: Sequence[Prefix]) -> None:
        self.heard.withdrawn(neighbour.remote.name, prefixes)

    def end_of_rib(self, neighbour: Neighbour, family: Family) -> None:
        """Nothing here waits for it."""

    def refresh_asked(self, neighbour: Neighbour, family: Family) -> None:
        told, session = self.told.get(neighbour.remote.name), neighbour.established_session
        if told is not None and session is not None:
            for data in told.again(family):
                session.wire.send(data)

    def noted(self, neighbour: Neighbour, problem: str) -> None:
        self.note("bgp-mended", peer=neighbour.remote.name, problem=problem)

    def status(self, now: int) -> dict[str, Any]:
        return {name: {
            "state": it.state.value, "as": it.remote.asn, "address": str(self.peers[name].address),
            "up-s": round((now - it.since) / SECOND, 1) if it.state is State.ESTABLISHED else None,
            "again-ms": max(0, it.idle_until - now) // MS if it.idle_until else None,
            "ups": it.ups, "downs": it.downs, "last": it.last,
            "told": len(self.told[name].told) if name in self.told else 0,
            "heard": len(self.heard.routes.get(name, ())),
        } for name, it in self.neighbours.items()}
