"""What ties a front end to its speaker: gathers the signs, lets the announcer judge, hands routes to the speaker."""
from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable
from typing import Any, Protocol

from threadshift.bgp.announce import Signs, Standing
from threadshift.bgp.announcer import Announcer, Preference, ServiceAddress
from threadshift.bgp.drain import Drain, Stage
from threadshift.bgp.path import Capabilities, Family, Path, Prefix
from threadshift.bgp.session import Them, Us
from threadshift.bgp.speaker import PeerAddress, Speaker
from threadshift.gateway.fitness import fitness
from threadshift.interface import MS

CHECK_INTERVAL = 50 * MS   # a quarter of the shortest time for which any sign must persist
OPERATOR_ORDERS = {
    "announce": Standing.FULL, "last-resort": Standing.LAST, "withdraw": Standing.WITHDRAWN, "auto": None}


class Announced(Protocol):
    """The front end whose service is announced, as far as its signs go."""

    told: Any
    engine: Any
    links: dict[str, Any]
    listeners: list[Any]
    admission: Any
    arrivals: Any
    recent: Any
    list_applied_at: int
    roster_lost: bool
    chance: Callable[[], float]

    def note(self, event: str, **fields: Any) -> None: ...


class ServiceAnnouncer:
    """The announcements of one front end."""

    def __init__(self, front: Announced):
        told = front.told.announcing
        assert told is not None
        self.front, self.told = front, told
        now = time.monotonic_ns()
        looks = {Standing[name.upper()]: Preference(look.med, look.prepend, look.local_pref, look.communities)
                 for name, look in told.route_attributes.items()}
        self.drain = Drain(told.converge, told.fade)
        self.announcer = Announcer(
            told.asn, told.next_hops, [ServiceAddress(each.prefix, frozenset(each.types)) for each in told.addresses],
            self.drain, front.chance, now, looks)
        # No graceful restart is offered: its helper would keep the routes of a front end that is dead.
        can = Capabilities(frozenset(Family(1 if hop.version == 4 else 2) for hop in told.next_hops), told.asn, True)
        self.speaker = Speaker(
            Us(told.asn, told.router, told.hold, can),
            [PeerAddress(Them(each.name, each.asn, each.passive), each.address, each.source, each.ttl_security)
             for each in told.peers],
            told.listen, self.wanted, front.note, front.chance)
        self.next = 0

    def start(self) -> None:
        """Raises OSError where the speaker cannot listen."""
        self.speaker.start()

    def tick(self, now: int) -> None:
        if now < self.next:
            return
        self.next = now + CHECK_INTERVAL
        self.drain.tick(now, self.front.arrivals.per_second(now), self.front.arrivals.last,
                        bool(self.speaker.established))
        heard = self.speaker.heard.of if self.told.reflects else None
        changes = self.announcer.tick(now, self.signs(now), heard)
        for change in changes:
            self.front.note("announcement", level="warning" if change.verdict.standing > change.before else "info",
                            prefix=str(change.prefix), before=change.before.name.lower(),
                            now=change.verdict.standing.name.lower(), reason=change.verdict.reason)
        if changes:
            self.speaker.announce()
        self.speaker.tick(now)

    def signs(self, now: int) -> Signs:
        """What this front end knows of itself."""
        front = self.front
        fleet = fitness(front.engine.dispatcher, lambda name: name in front.links and front.links[name].up, now)
        return Signs(
            listening=all(sock.fileno() >= 0 for sock in front.listeners), lag=int(front.admission.smoothed_lag),
            roster_age=now - front.list_applied_at if front.roster_lost else 0, **fleet._asdict(),
            asked_per_s=front.recent.per_second(now), refused=front.admission.refused_share,
            service=front.recent.service(now), drain=self.drain.standing)

    def wanted(self, them: Them) -> dict[Prefix, Path]:
        return self.announcer.wanted(them.internal(self.speaker.us))

    def leave(self, now: int) -> None:
        self.drain.begin(now, self.front.arrivals.per_second(now))

    def left(self) -> bool:
        return self.drain.stage is Stage.DONE

    def say(self, word: str, prefix: str | None) -> list[str]:
        """The operator's word, for one address or all; which it holds for. Raises ValueError, KeyError."""
        wanted: list[Prefix] = [each.prefix for each in self.told.addresses]
        if prefix is not None:
            one = ipaddress.ip_network(prefix)
            if one not in wanted:
                raise KeyError(prefix)
            wanted = [one]
        for each in wanted:
            self.announcer.say(each, OPERATOR_ORDERS[word])
        self.next = 0
        self.tick(time.monotonic_ns())
        return [str(each) for each in wanted]

    def status(self, now: int) -> dict[str, Any]:
        return {
            "addresses": {str(prefix): {
                "standing": held.verdict.standing.name.lower(), "reason": held.verdict.reason,
                "for-s": round((now - held.since) / 1e9, 1), "changes": held.changes, "flaps": held.flaps,
                "operator": self.announcer.word[prefix].name.lower() if prefix in self.announcer.word else None,
                "others": self.announcer.others(self.speaker.heard.of(prefix)) if self.told.reflects else None,
            } for prefix, held in self.announcer.held.items()},
            "drain": self.drain.stage.value, "peers": self.speaker.status(now)}
