"""The BGP speaker: sockets and greenlets for the neighbours of one front end. Makes no decisions about routes.

Each connection has a reading and a writing greenlet. The data waiting to be written is bounded, and a peer that
accepts none for SEND_HOLD_TIME is disconnected (a simple form of RFC 9687's send hold timer).
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
from threadshift.bgp.dial_limiter import DialLimiter
from threadshift.bgp.path import Family, Path, Prefix
from threadshift.bgp.rib import AdjRibIn, AdjRibOut
from threadshift.bgp.session import LocalSpeaker, Neighbour, RemotePeer, Session, State
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.sockets import READ_SIZE, accept_connections, listener, read_chunks

CONNECT_TIMEOUT = 3 * SECOND       # a router of this site answers within milliseconds
SEND_HOLD_TIME = 5 * SECOND        # in which a peer must accept data
CLOSE_TIMEOUT = SECOND             # for a last NOTIFICATION
MAX_QUEUED_BYTES = 1 << 20         # to one peer: more than 10,000 routes
MAX_ROUTES = 10_000                # accepted from one peer; a full routing table is refused
MAX_REFUSALS = 8                   # connections that are sent a NOTIFICATION at a time; further ones are just closed
GTSM_TTL = 255                     # RFC 5082: only packets of a direct neighbour arrive with it
IP_MINTTL = 21                     # Linux socket option: the lowest TTL that is accepted


class PeerAddress(NamedTuple):
    """A peer with its address and the options of the connection."""

    remote: RemotePeer
    address: Address
    source: str = ""             # local address of the connection; empty: chosen by the system
    ttl_security: bool = False


class Connection:
    """One TCP connection, dialled or accepted, until close()."""

    def __init__(self, transport: TcpTransport, peer: PeerAddress, sock: socket.socket | None):
        self.transport, self.peer, self.sock = transport, peer, sock
        self.send_queue: list[bytes] = []
        self.queued_bytes = 0
        self.wake = Event()
        self.closing = False
        self.greenlets = Group()
        self.greenlets.spawn(self.run)

    def run(self) -> None:
        """Connects if necessary, and reads until the connection ends."""
        problem = ""
        try:
            if self.sock is None:
                self.sock = self.dial()
            self.set_options(self.sock)
            self.sock.settimeout(None)
            self.transport.on_connected(self)
            self.greenlets.spawn(self.write)
            for data in read_chunks(self.sock, READ_SIZE):
                if not self.closing:
                    self.transport.on_data(self, data)
                if self.closing:
                    break
        except OSError as failed:
            problem = str(failed)
        if not self.closing:
            self.transport.on_failed(self, problem)

    def dial(self) -> socket.socket:
        address = self.peer.address
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
        self.sock = sock
        sock.settimeout(CONNECT_TIMEOUT / SECOND)
        if self.peer.source:
            sock.bind((self.peer.source, 0))
        sock.connect((address.host, address.port))
        return sock

    def set_options(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.peer.ttl_security and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, GTSM_TTL)
            sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, GTSM_TTL)

    def send(self, data: bytes) -> None:
        """Queues data; a peer with too much queued data is disconnected."""
        if self.closing:
            return
        self.send_queue.append(data)
        self.queued_bytes += len(data)
        self.wake.set()
        if self.queued_bytes > MAX_QUEUED_BYTES and self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)    # the reading greenlet notices the end

    def write(self) -> None:
        """Writes queued data until the connection is closed or the peer accepts no more."""
        sock = self.sock
        assert sock is not None
        with suppress(OSError):
            while self.send_queue or not self.closing:
                if not self.send_queue:
                    self.wake.clear()
                    self.wake.wait()
                    continue
                data, self.send_queue, self.queued_bytes = b"".join(self.send_queue), [], 0
                with gevent.Timeout((CLOSE_TIMEOUT if self.closing else SEND_HOLD_TIME) / SECOND, False):
                    sock.sendall(data)
                    continue
                break
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()

    def close(self) -> None:
        """Closes the socket after queued data is written, at most CLOSE_TIMEOUT later."""
        if self.closing:
            return
        self.closing = True
        self.wake.set()
        if self.sock is not None and not self.send_queue:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)


class TcpTransport:
    """The transport of a session, which may dial several times. Events of an earlier connection are dropped."""

    def __init__(self, speaker: Speaker, peer: PeerAddress, sock: socket.socket | None = None):
        self.speaker, self.peer = speaker, peer
        self.session: Session
        self.connection: Connection | None = None
        self.accepted = sock

    def dial(self) -> None:
        self.connection = Connection(self, self.peer, None)

    def start_accepted(self) -> None:
        """Begins to read an accepted connection, once a session has it."""
        self.connection = Connection(self, self.peer, self.accepted)

    def send(self, data: bytes) -> None:
        self.speaker.messages_sent += 1
        if self.connection is not None:
            self.connection.send(data)
        elif self.accepted is not None:         # the OPEN of an accepted connection
            self.start_accepted()
            assert self.connection is not None
            self.connection.send(data)

    def close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    # Events of the connection.

    def on_connected(self, connection: Connection) -> None:
        if connection is self.connection and self.accepted is None:
            self.session.tcp_up(time.monotonic_ns())

    def on_data(self, connection: Connection, data: bytes) -> None:
        if connection is self.connection:
            self.session.receive(time.monotonic_ns(), data)

    def on_failed(self, connection: Connection, problem: str) -> None:
        if connection is self.connection:
            self.connection = None
            connection.close()
            self.session.tcp_failed(time.monotonic_ns())


class Speaker:
    """All neighbours of one front end. tick() must be called a few times a second; stop() ends every greenlet.

    `routes_for` returns the routes to advertise to a peer, `note` writes to the log."""

    def __init__(self, local: LocalSpeaker, peers: Sequence[PeerAddress], listen: Address | None,
                 routes_for: Callable[[RemotePeer], dict[Prefix, Path]], note: Callable[..., Any],
                 chance: Callable[[], float]):
        self.local, self.listen, self.routes_for, self.note = local, listen, routes_for, note
        self.peers = {peer.remote.name: peer for peer in peers}
        self.adj_rib_in = AdjRibIn(MAX_ROUTES)
        self.adj_ribs_out: dict[str, AdjRibOut] = {}     # of the established sessions, by the peer's name
        self.messages_sent = 0
        self.neighbours = {name: Neighbour(local, peer.remote, self, self.transport_to(peer), chance)
                           for name, peer in self.peers.items()}
        self.greenlets = Group()
        self.refusals = Pool(MAX_REFUSALS)
        self.dial_limiter = DialLimiter(time.monotonic_ns())
        self.sock: socket.socket | None = None

    def transport_to(self, peer: PeerAddress) -> Callable[[Neighbour], TcpTransport]:
        return lambda neighbour: TcpTransport(self, peer)

    def start(self) -> None:
        """Listens and starts all sessions. Raises OSError if it cannot listen."""
        if self.listen is not None:
            self.sock = listener(self.listen, shared=False)
            self.greenlets.spawn(self.accept)
        now = time.monotonic_ns()
        for neighbour in self.neighbours.values():
            neighbour.start_limited(now)
        self.tick(now)

    def accept(self) -> None:
        """Accepts connections from the configured peers."""
        assert self.sock is not None
        for sock in accept_connections(self.sock, lambda event, **fields: self.note(f"bgp-{event}", **fields)):
            peer = self.configured_peer(sock)
            if peer is None:
                sock.close()
                continue
            neighbour = self.neighbours[peer.remote.name]
            if neighbour.incoming(time.monotonic_ns(), TcpTransport(self, peer, sock)) is not None:
                continue
            if self.refusals.free_count():
                is_established = neighbour.state is State.ESTABLISHED
                self.refusals.spawn(self.refuse, sock,
                                    codec.CONNECTION_COLLISION if is_established else codec.CONNECTION_REJECTED)
            else:
                sock.close()

    def configured_peer(self, sock: socket.socket) -> PeerAddress | None:
        """The peer at the other end of an accepted connection; None for anyone else, and where it has ended."""
        with suppress(OSError):
            host = sock.getpeername()[0]
            return next((each for each in self.peers.values() if each.address.host == host), None)
        return None

    @staticmethod
    def refuse(sock: socket.socket, subcode: int) -> None:
        """Sends a CEASE (RFC 4271, section 6.8; RFC 4486) and reads until the peer closes: closing a socket with
        unread data would reset the connection before the message is delivered."""
        with suppress(OSError), gevent.Timeout(CLOSE_TIMEOUT / SECOND, False):
            sock.sendall(codec.write_notification(codec.CEASE, subcode))
            sock.shutdown(socket.SHUT_WR)
            for _ in read_chunks(sock, READ_SIZE):
                pass
        sock.close()

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""
        for neighbour in self.dial_limiter.due_neighbours(self.neighbours.values(), now):
            neighbour.tick(now)

    def announce(self) -> None:
        """Advertises the present routes to every established neighbour."""
        for name, adj_rib_out in self.adj_ribs_out.items():
            session = self.neighbours[name].established_session
            if session is not None:
                for data in adj_rib_out.update(self.routes_for(self.peers[name].remote)):
                    session.transport.send(data)

    def stop(self, reason: str) -> None:
        """Ends all sessions with a CEASE; the peers drop the routes with them."""
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
        """The number of established sessions."""
        return len(self.adj_ribs_out)

    # Events of the neighbours.

    def up(self, now: int, neighbour: Neighbour) -> None:
        name = neighbour.remote.name
        session = neighbour.session
        adj_rib_out = self.adj_ribs_out[name] = AdjRibOut(
            session.capabilities.families & self.local.capabilities.families, session.reader.four_octet_as)
        self.note("bgp-up", peer=name, hold_s=session.hold_time // SECOND)
        for data in adj_rib_out.initial_update(self.routes_for(neighbour.remote)):
            session.transport.send(data)

    def down(self, now: int, neighbour: Neighbour, why: str) -> None:
        self.adj_ribs_out.pop(neighbour.remote.name, None)
        self.adj_rib_in.remove_neighbour(neighbour.remote.name)
        self.note("bgp-down", level="warning", peer=neighbour.remote.name, why=why)

    def announced(self, neighbour: Neighbour, prefixes: Sequence[Prefix], path: Path) -> None:
        if not self.adj_rib_in.add(neighbour.remote.name, prefixes, path):
            raise codec.ProtocolError(codec.CEASE, codec.MAX_PREFIXES_REACHED, text=f"more than {MAX_ROUTES} routes")

    def withdrawn(self, neighbour: Neighbour, prefixes: Sequence[Prefix]) -> None:
        self.adj_rib_in.remove(neighbour.remote.name, prefixes)

    def end_of_rib(self, neighbour: Neighbour, family: Family) -> None:
        """Does nothing: no decision waits for the end of the initial routes."""

    def refresh_asked(self, neighbour: Neighbour, family: Family) -> None:
        adj_rib_out, session = self.adj_ribs_out.get(neighbour.remote.name), neighbour.established_session
        if adj_rib_out is not None and session is not None:
            for data in adj_rib_out.refresh(family):
                session.transport.send(data)

    def noted(self, neighbour: Neighbour, problem: str) -> None:
        self.note("bgp-mended", peer=neighbour.remote.name, problem=problem)

    def status(self, now: int) -> dict[str, Any]:
        """The state of each neighbour, for operators."""
        return {name: {
            "state": it.state.value, "as": it.remote.asn, "address": str(self.peers[name].address),
            "up-s": round((now - it.since) / SECOND, 1) if it.state is State.ESTABLISHED else None,
            "again-ms": max(0, it.idle_until - now) // MS if it.idle_until else None,
            "ups": it.ups, "downs": it.downs, "last": it.last_end_reason,
            "told": len(self.adj_ribs_out[name].advertised) if name in self.adj_ribs_out else 0,
            "heard": len(self.adj_rib_in.routes.get(name, ())),
        } for name, it in self.neighbours.items()}
