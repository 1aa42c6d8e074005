"""A router: receives the routes of front ends, selects among them, and forwards connections to service addresses.

The best path is selected by a part of RFC 4271 section 9.1.2.2: the shortest AS path, then the lowest origin, then
the lowest MED (compared between all neighbours); connections are spread round robin over equal paths. A new selection
takes effect after the convergence delay. Each best route is reflected to the other neighbours with its next hop
unchanged, so that front ends can see each other. Service connections are relayed as bytes, and an established one
keeps its front end.
"""
from __future__ import annotations

import ipaddress
import time
from collections.abc import Sequence
from typing import Any

import gevent
from gevent import socket
from gevent.pool import Group

from threadshift.bgp import codec
from threadshift.bgp.path import Capabilities, Family, Path, Prefix
from threadshift.bgp.session import LocalSpeaker, RemotePeer
from threadshift.bgp.speaker import PeerAddress, Speaker
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.sockets import READ_SIZE, connect, listener, read_chunks
from threadshift.standins.common import Faults, Record

ROUTE_CHECK_INTERVAL = 10 * MS


class Router:
    """`services` are triples of a prefix, the address for its clients, and the port on which front ends serve it.

    Orders: reset PEER, stall PEER, garbage PEER, malformed PEER, refresh PEER, refuse L, down PEER, up PEER.
    """

    def __init__(self, asn: int, listen: Address, peers: Sequence[tuple[str, str, int]],
                 services: Sequence[tuple[str, Address, int]], converge: int, hold: int, record: Record,
                 steer: str = "routes"):
        self.services = [(ipaddress.ip_network(prefix), at, port) for prefix, at, port in services]
        self.converge, self.record, self.steer = converge, record, steer
        self.faults = Faults()
        capabilities = Capabilities(frozenset(Family), asn, True)
        self.speaker = Speaker(
            LocalSpeaker(asn, 0x7F000001, hold, capabilities),
            [PeerAddress(RemotePeer(name, number, passive=True), Address(host, 0)) for name, host, number in peers],
            listen, self.reflected, self.note, lambda: 0.5)
        self.best: dict[Prefix, list[Path]] = {}         # the current selection
        self.steers: dict[Prefix, list[Path]] = {}       # the selection in effect, after the convergence delay
        self.connection_count = 0
        self.group = Group()
        self.socks: list[socket.socket] = []
        self.address = listen

    def start(self) -> None:
        self.speaker.start()
        assert self.speaker.sock is not None
        self.address = Address(self.address.host, self.speaker.sock.getsockname()[1])
        for n, (prefix, at, port) in enumerate(self.services):
            sock = listener(at, shared=False)
            self.services[n] = (prefix, Address(at.host, sock.getsockname()[1]), port)
            self.socks.append(sock)
            self.group.spawn(self.accept_clients, sock, prefix, port)
        self.group.spawn(self.watch_routes)

    def stop(self) -> None:
        for sock in self.socks:
            sock.close()
        self.speaker.stop("the router ends")
        self.group.kill()

    def note(self, event: str, level: str = "info", **fields: Any) -> None:
        self.record.note(event, **fields)

    # Routes.

    def watch_routes(self) -> None:
        """Selects again whenever routes changed; while `refuse` is active, resets every session."""
        while True:
            gevent.sleep(ROUTE_CHECK_INTERVAL / SECOND)
            self.speaker.tick(time.monotonic_ns())
            if self.faults.amount("refuse"):
                for name in self.speaker.adj_ribs_out:
                    self.execute_order(["reset", name])
            best = self.select_all()
            if best != self.best:
                self.best = best
                self.record.note("chosen", routes={str(prefix): [str(path.next_hop) for path in paths]
                                                   for prefix, paths in best.items()})
                self.group.spawn(self.take_effect, best)
                self.speaker.announce()

    def select_all(self) -> dict[Prefix, list[Path]]:
        if self.steer == "routes":
            return {prefix: self.best_paths(self.speaker.adj_rib_in.paths(prefix)) for prefix in self.prefixes()}
        # The baselines ignore announcements: "alive" uses every established session, "static" every configured one.
        hops = [Path(ipaddress.ip_address(peer.address.host)) for name, peer in self.speaker.peers.items()
                if self.steer == "static" or name in self.speaker.adj_ribs_out]
        return {prefix: hops for prefix, _, _ in self.services}

    def prefixes(self) -> set[Prefix]:
        return {prefix for routes in self.speaker.adj_rib_in.routes.values() for prefix in routes}

    @staticmethod
    def best_paths(paths: list[Path]) -> list[Path]:
        def rank(path: Path) -> tuple:
            return len(path.as_path) + len(path.as_sets), path.origin, path.med or 0
        least = min(map(rank, paths), default=())
        return sorted((path for path in paths if rank(path) == least), key=lambda path: int(path.next_hop))

    def take_effect(self, best: dict[Prefix, list[Path]]) -> None:
        """Uses a new selection after the convergence delay."""
        gevent.sleep(self.converge / SECOND)
        self.steers = best
        self.record.note("steers", routes={str(prefix): [str(path.next_hop) for path in paths]
                                           for prefix, paths in best.items()})

    def reflected(self, remote: RemotePeer) -> dict[Prefix, Path]:
        """The best routes of all other neighbours, to announce to this one."""
        found = {}
        for prefix in self.prefixes():
            paths = [routes[prefix] for name, routes in self.speaker.adj_rib_in.routes.items()
                     if name != remote.name and prefix in routes]
            if best := self.best_paths(paths):
                found[prefix] = Path(best[0].next_hop, (self.speaker.local.asn, *best[0].as_path), best[0].origin,
                                     best[0].med, None, best[0].communities, best[0].large_communities)
        return found

    # Forwarding.

    def accept_clients(self, sock: socket.socket, prefix: Prefix, port: int) -> None:
        while True:
            try:
                client, _ = sock.accept()
            except OSError:
                return
            paths = self.steers.get(prefix, [])
            if not paths:
                self.record.note("unrouted", prefix=str(prefix))
                client.close()
                continue
            self.connection_count += 1
            hop = paths[self.connection_count % len(paths)].next_hop
            self.record.note("steered", prefix=str(prefix), hop=str(hop))
            self.group.spawn(self.forward, client, Address(str(hop), port))

    def forward(self, client: socket.socket, to: Address) -> None:
        try:
            front = connect(to, SECOND)
        except OSError:
            client.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        front.settimeout(None)
        back = gevent.spawn(self.pump, front, client)
        self.pump(client, front)
        back.join()
        client.close()
        front.close()

    @staticmethod
    def pump(source: socket.socket, sink: socket.socket) -> None:
        try:
            for data in read_chunks(source, READ_SIZE):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    # Faults.

    def execute_order(self, words: list[str]) -> None:
        order, rest = words[0], words[1:]
        self.record.note("order", words=words)
        if order == "refuse":
            self.faults.order(order, *rest)
            return
        neighbour = self.speaker.neighbours[rest[0]]
        session, now = neighbour.session, time.monotonic_ns()
        connection = getattr(session.transport, "connection", None)
        if order == "reset" and connection is not None:
            connection.sock.shutdown(socket.SHUT_RDWR)
        elif order == "stall" and connection is not None:
            connection.greenlets.kill()         # stops all reads and writes, and leaves the connection open
        elif order == "garbage":
            session.transport.send(b"\0" * 64)
        elif order == "malformed":
            session.transport.send(codec.message(codec.UPDATE, b"\0\0\0\4\x40\1\1\7\x20\xc0\0\2\1"))
        elif order == "refresh":
            session.transport.send(codec.write_refresh(Family.IPV4))
        elif order == "down":
            neighbour.stop(now, codec.ADMIN_SHUTDOWN, "maintenance")
        elif order == "up":
            neighbour.start(now)
        else:
            raise ValueError("unknown order, or the peer has no session")
