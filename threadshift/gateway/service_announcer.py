"""Connects a front end with its BGP speaker: gathers its health, has the announcer decide, and advertises routes."""
from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable
from typing import Any, Protocol

from threadshift.bgp.announce import ServiceHealth
from threadshift.bgp.announcer import Announcer, Preference, ServiceAddress
from threadshift.bgp.drain import Drain, Stage
from threadshift.bgp.path import Capabilities, Family, Path, Prefix
from threadshift.bgp.session import LocalSpeaker, RemotePeer
from threadshift.bgp.speaker import PeerAddress, Speaker
from threadshift.bgp.standing import OPERATOR_ORDERS, Standing
from threadshift.gateway.fitness import fitness
from threadshift.interface import MS

CHECK_INTERVAL = 50 * MS   # a quarter of the shortest time for which any signal must persist


class Announced(Protocol):
    """The front end whose service is announced, as far as its health depends on it."""

    config: Any
    engine: Any
    links: dict[str, Any]
    listeners: list[Any]
    admission: Any
    connection_rate: Any
    recent_calls: Any
    list_applied_at: int
    is_discovery_lost: bool
    chance: Callable[[], float]

    def note(self, event: str, **fields: Any) -> None: ...


class ServiceAnnouncer:
    """The announcements of one front end, and the BGP speaker that carries them."""

    def __init__(self, front: Announced):
        config = front.config.announcing
        assert config is not None
        self.front, self.config = front, config
        now = time.monotonic_ns()
        preferences = {Standing[name.upper()]: Preference(each.med, each.prepend, each.local_pref, each.communities)
                       for name, each in config.route_attributes.items()}
        self.drain = Drain(config.converge, config.fade)
        self.announcer = Announcer(
            config.asn, config.next_hops,
            [ServiceAddress(each.prefix, frozenset(each.types)) for each in config.addresses],
            self.drain, front.chance, now, preferences)
        # Graceful restart is not offered: a peer that supports it would keep the routes of a front end that is dead.
        capabilities = Capabilities(
            frozenset(Family(1 if hop.version == 4 else 2) for hop in config.next_hops), config.asn, True)
        self.speaker = Speaker(
            LocalSpeaker(config.asn, config.router, config.hold, capabilities),
            [PeerAddress(RemotePeer(each.name, each.asn, each.passive), each.address, each.source, each.ttl_security)
             for each in config.peers],
            config.listen, self.routes_for, front.note, front.chance)
        self.next_check = 0

    def start(self) -> None:
        """Raises OSError if the speaker cannot listen."""
        self.speaker.start()

    def tick(self, now: int) -> None:
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL
        self.drain.tick(now, self.front.connection_rate.per_second(now), self.front.connection_rate.last,
                        bool(self.speaker.established))
        received = self.speaker.adj_rib_in.paths if self.config.reflects else None
        changes = self.announcer.tick(now, self.health(now), received)
        for change in changes:
            self.front.note("announcement", level="warning" if change.decision.standing > change.before else "info",
                            prefix=str(change.prefix), before=change.before.name.lower(),
                            now=change.decision.standing.name.lower(), reason=change.decision.reason)
        if changes:
            self.speaker.announce()
        self.speaker.tick(now)

    def health(self, now: int) -> ServiceHealth:
        """The state of this front end on which its announcements depend."""
        front = self.front
        workers = fitness(front.engine.dispatcher, lambda name: name in front.links and front.links[name].up, now)
        return ServiceHealth(
            listening=all(sock.fileno() >= 0 for sock in front.listeners), loop_lag=int(front.admission.smoothed_lag),
            roster_age=now - front.list_applied_at if front.is_discovery_lost else 0, **workers._asdict(),
            calls_per_second=front.recent_calls.per_second(now), refused_share=front.admission.refused_share,
            call_stats=front.recent_calls.call_stats(now), drain=self.drain.standing)

    def routes_for(self, remote: RemotePeer) -> dict[Prefix, Path]:
        """The routes to announce to a peer."""
        return self.announcer.routes(remote.is_internal(self.speaker.local))

    def begin_drain(self, now: int) -> None:
        self.drain.begin(now, self.front.connection_rate.per_second(now))

    def is_drained(self) -> bool:
        return self.drain.stage is Stage.DONE

    def apply_operator_order(self, order: str, prefix: str | None) -> list[str]:
        """Applies an operator's order to one address, or to all, and returns these. Raises ValueError, KeyError."""
        prefixes: list[Prefix] = [each.prefix for each in self.config.addresses]
        if prefix is not None:
            network = ipaddress.ip_network(prefix)
            if network not in prefixes:
                raise KeyError(prefix)
            prefixes = [network]
        for each in prefixes:
            self.announcer.set_override(each, OPERATOR_ORDERS[order])
        self.next_check = 0
        self.tick(time.monotonic_ns())
        return [str(each) for each in prefixes]

    def status(self, now: int) -> dict[str, Any]:
        return {
            "addresses": {str(prefix): {
                "standing": announced.decision.standing.name.lower(), "reason": announced.decision.reason,
                "for-s": round((now - announced.since) / 1e9, 1), "changes": announced.changes,
                "flaps": announced.flaps,
                "operator": self.announcer.overrides[prefix].name.lower()
                if prefix in self.announcer.overrides else None,
                "others": self.announcer.count_others(self.speaker.adj_rib_in.paths(prefix))
                if self.config.reflects else None,
            } for prefix, announced in self.announcer.states.items()},
            "drain": self.drain.stage.value, "peers": self.speaker.status(now)}
