"""A router: hears front ends' routes, chooses among them, and steers new connections to service addresses.

Best path, the documented part of RFC 4271 section 9.1.2.2: the shortest AS path, the lowest origin, the lowest MED
(compared between all neighbours); among equals connections take turns. A change of choice takes effect after the
stated convergence delay. Every best route is reflected to the other neighbours, its next hop kept, so that front ends
can see each other. Service connections are carried through as bytes: one that stands stays where it is.
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
from threadshift.bgp.session import Them, Us
from threadshift.bgp.speaker import PeerAddress, Speaker
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND
from threadshift.links.sockets import READ_SIZE, connect, listener
from threadshift.standins.common import Faults, Record

LOOK = 10 * MS             # how often routes are looked at


class Router:
    """`services` are triples: a prefix, where its clients connect, and the port at which front ends serve it.

    Orders: reset PEER, stall PEER, garbage PEER, malformed PEER, refresh PEER, refuse L, down PEER, up PEER.
    """

    def __init__(self, asn: int, listen: Address, peers: Sequence[tuple[str, str, int]],
                 services: Sequence[tuple[str, Address, int]], converge: int, hold: int, record: Record,
                 steer: str = "routes"):
        self.services = [(ipaddress.ip_network(prefix), at, port) for prefix, at, port in services]
        self.converge, self.record, self.steer = converge, record, steer
        self.faults = Faults()
        can = Capabilities(frozenset(Family), asn, True)
        self.speaker = Speaker(
            Us(asn, 0x7F000001, hold, can),
            [PeerAddress(Them(name, number, passive=True), Address(host, 0)) for name, host, number in peers],
            listen, self.reflected, self.note, lambda: 0.5)
        self.best: dict[Prefix, list[Path]] = {}         # chosen
        self.steers: dict[Prefix, list[Path]] = {}       # in effect, the convergence delay later
        self.turn = 0
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
            self.group.spawn(self.serve, sock, prefix, port)
        self.group.spawn(self.look)

    def stop(self) -> None:
        for sock in self.socks:
            sock.close()
        self.speaker.stop("the router ends")
        self.group.kill()

    def note(self, event: str, level: str = "info", **fields: Any) -> None:
        self.record.note(event, **fields)

    # Routes.

    def look(self) -> None:
        """Chooses anew whenever routes changed; refusing, it closes what comes."""
        while True:
            gevent.sleep(LOOK / SECOND)
            self.speaker.tick(time.monotonic_ns())
            if self.faults.amount("refuse"):
                for name in self.speaker.told:
                    self.execute_order(["reset", name])
            best = self.chosen()
            if best != self.best:
                self.best = best
                self.record.note("chosen", routes={str(prefix): [str(path.next_hop) for path in paths]
                                                   for prefix, paths in best.items()})
                self.group.spawn(self.take_effect, best)
                self.speaker.announce()

    def chosen(self) -> dict[Prefix, list[Path]]:
        if self.steer == "routes":
            return {prefix: self.choose(self.speaker.heard.of(prefix)) for prefix in self.prefixes()}
        # Baselines: what front ends say of themselves is not heeded, at most whether they are there.
        hops = [Path(ipaddress.ip_address(peer.address.host)) for name, peer in self.speaker.peers.items()
                if self.steer == "static" or name in self.speaker.told]
        return {prefix: hops for prefix, _, _ in self.services}

    def prefixes(self) -> set[Prefix]:
        return {prefix for routes in self.speaker.heard.routes.values() for prefix in routes}

    @staticmethod
    def choose(paths: list[Path]) -> list[Path]:
        def rank(path: Path) -> tuple:
            return len(path.as_path) + len(path.as_sets), path.origin, path.med or 0
        least = min(map(rank, paths), default=())
        return sorted((path for path in paths if rank(path) == least), key=lambda path: int(path.next_hop))

    def take_effect(self, best: dict[Prefix, list[Path]]) -> None:
        gevent.sleep(self.converge / SECOND)
        self.steers = best
        self.record.note("steers", routes={str(prefix): [str(path.next_hop) for path in paths]
                                           for prefix, paths in best.items()})

    def reflected(self, them: Them) -> dict[Prefix, Path]:
        """The best of what others announce, for one neighbour."""
        found = {}
        for prefix in self.prefixes():
            paths = [routes[prefix] for name, routes in self.speaker.heard.routes.items()
                     if name != them.name and prefix in routes]
            if chosen := self.choose(paths):
                found[prefix] = Path(chosen[0].next_hop, (self.speaker.us.asn, *chosen[0].as_path), chosen[0].origin,
                                     chosen[0].med, None, chosen[0].communities, chosen[0].large)
        return found

    # Steering.

    def serve(self, sock: socket.socket, prefix: Prefix, port: int) -> None:
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
            self.turn += 1
            hop = paths[self.turn % len(paths)].next_hop
            self.record.note("steered", prefix=str(prefix), hop=str(hop))
            self.group.spawn(self.carry, client, Address(str(hop), port))

    def carry(self, client: socket.socket, to: Address) -> None:
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
            while data := source.recv(READ_SIZE):
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
        connection = getattr(session.wire, "connection", None)
        if order == "reset" and connection is not None:
            connection.sock.shutdown(socket.SHUT_RDWR)
        elif order == "stall" and connection is not None:
            connection.greenlets.kill()         # reads and writes nothing more, and closes nothing
        elif order == "garbage":
            session.wire.send(b"\0" * 64)
        elif order == "malformed":
            session.wire.send(codec.message(codec.UPDATE, b"\0\0\0\4\x40\1\1\7\x20\xc0\0\2\1"))
        elif order == "refresh":
            session.wire.send(codec.write_refresh(Family.IPV4))
        elif order == "down":
            neighbour.stop(now, codec.ADMIN_SHUTDOWN, "maintenance")
        elif order == "up":
            neighbour.start(now)
        else:
            raise ValueError("no such order, or no session")
