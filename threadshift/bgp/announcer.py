"""The service addresses of a front end: their standings over time, and the routes that follow. Free of I/O."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import NamedTuple

from threadshift.bgp.announce import Decision, DemonstratedCapacity, Hysteresis, ServiceHealth, decide
from threadshift.bgp.drain import Drain
from threadshift.bgp.path import NextHop, Path, Prefix
from threadshift.bgp.standing import Standing

STANDING_FUNCTION = 9000   # of the large community AS:9000:standing, by which zones know each other's standing


class ServiceAddress(NamedTuple):
    """An address and the namespace types that it serves; empty: all."""

    prefix: Prefix
    types: frozenset[str] = frozenset()


class Preference(NamedTuple):
    """The route attributes of a standing. LOCAL_PREF decides at peers of the same AS, the others elsewhere."""

    med: int
    prepend: int = 0             # additional copies of the own AS number in AS_PATH
    local_pref: int = 100
    communities: tuple[int, ...] = ()


PREFERENCES = {            # a worse standing is worse in every attribute that a router may compare first
    Standing.FULL: Preference(100, 0, 200), Standing.LESSER: Preference(200, 1, 150),
    Standing.POOR: Preference(300, 2, 100), Standing.LAST: Preference(900, 4, 10)}


class Change(NamedTuple):
    """A standing that has just taken effect."""

    prefix: Prefix
    before: Standing
    decision: Decision


class Announcer:
    """Decides on the standing of every address at each tick."""

    def __init__(self, asn: int, next_hops: Iterable[NextHop], addresses: Iterable[ServiceAddress], drain: Drain,
                 chance: Callable[[], float], now: int, preferences: dict[Standing, Preference] | None = None):
        self.asn, self.addresses, self.drain = asn, tuple(addresses), drain
        self.next_hops = {hop.version: hop for hop in next_hops}
        self.preferences = PREFERENCES | (preferences or {})
        self.capacity = DemonstratedCapacity()
        self.states = {each.prefix: Hysteresis(chance, now) for each in self.addresses}
        self.overrides: dict[Prefix, Standing] = {}      # by the operator

    def tick(self, now: int, health: ServiceHealth,
             received: Callable[[Prefix], list[Path]] | None) -> list[Change]:
        """The changes that take effect now. `received` returns the routes that routers reflect; None if none does."""
        self.capacity.learn(now, health)
        changes = []
        for address in self.addresses:
            others = None if received is None else self.count_others(received(address.prefix))
            address_health = health if address.prefix not in self.overrides else replace(
                health, operator=self.overrides[address.prefix])
            state = self.states[address.prefix]
            before = state.decision.standing
            if state.update(now, decide(address_health, self.capacity, address.types, others,
                                        state.time_at_last_resort(now))):
                changes.append(Change(address.prefix, before, state.decision))
        return changes

    def count_others(self, paths: list[Path]) -> int:
        """Counts other front ends that announce an address at a better preference than last resort."""
        own = set(self.next_hops.values())
        return sum(path.next_hop not in own and self.standing_of(path) < Standing.LAST for path in paths)

    def standing_of(self, path: Path) -> Standing:
        """Reads a route's standing from its large community; a route without one counts as full."""
        standings = [value for _, function, value in path.large_communities
                     if function == STANDING_FUNCTION and value <= Standing.WITHDRAWN]
        return Standing(standings[0]) if standings else Standing.FULL

    def routes(self, internal: bool) -> dict[Prefix, Path]:
        """The routes to advertise to a peer of the own AS (`internal`) or of another."""
        return {each.prefix: self.path(each.prefix, internal) for each in self.addresses
                if self.states[each.prefix].decision.standing < Standing.WITHDRAWN
                and each.prefix.version in self.next_hops}

    def path(self, prefix: Prefix, internal: bool) -> Path:
        """The path attributes of one address at its present standing."""
        standing = self.states[prefix].decision.standing
        preference = self.preferences[standing]
        return Path(self.next_hops[prefix.version], () if internal else (self.asn,) * (1 + preference.prepend),
                    med=preference.med, local_pref=preference.local_pref if internal else None,
                    communities=preference.communities,
                    large_communities=((self.asn, STANDING_FUNCTION, int(standing)),))

    def set_override(self, prefix: Prefix, standing: Standing | None) -> None:
        """Sets the operator's override for one address; None removes it."""
        if standing is None:
            self.overrides.pop(prefix, None)
        else:
            self.overrides[prefix] = standing
