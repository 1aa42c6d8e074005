"""All service addresses of a front end: their standings over time, and the routes that these make. Free of I/O."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import NamedTuple

from threadshift.bgp.announce import Borne, Hysteresis, Signs, Standing, Verdict, judge
from threadshift.bgp.drain import Drain
from threadshift.bgp.path import NextHop, Path, Prefix

STANDING = 9000            # the function of our large community (AS:9000:standing), by which halls know each other


class ServiceAddress(NamedTuple):
    """An address and the namespace types that it serves; none: all."""

    prefix: Prefix
    types: frozenset[str] = frozenset()


class Preference(NamedTuple):
    """How a standing looks in a route. To peers of our own AS local preference decides, to others the rest."""

    med: int
    prepend: int = 0
    local_pref: int = 100
    communities: tuple[int, ...] = ()


PREFERENCES = {            # each step is worse by every measure a router may look at first
    Standing.FULL: Preference(100, 0, 200), Standing.LESSER: Preference(200, 1, 150),
    Standing.POOR: Preference(300, 2, 100), Standing.LAST: Preference(900, 4, 10)}


class Change(NamedTuple):
    prefix: Prefix
    before: Standing
    verdict: Verdict


class Announcer:
    """Judges every address on each tick."""

    def __init__(self, asn: int, next_hops: Iterable[NextHop], addresses: Iterable[ServiceAddress], drain: Drain,
                 chance: Callable[[], float], now: int, preferences: dict[Standing, Preference] | None = None):
        self.asn, self.addresses, self.drain = asn, tuple(addresses), drain
        self.hops = {hop.version: hop for hop in next_hops}
        self.preferences = PREFERENCES | (preferences or {})
        self.borne = Borne()
        self.held = {each.prefix: Hysteresis(chance, now) for each in self.addresses}
        self.word: dict[Prefix, Standing] = {}       # the operator's, by address

    def tick(self, now: int, signs: Signs, heard: Callable[[Prefix], list[Path]] | None) -> list[Change]:
        """What changes now. `heard` gives the routes that routers reflect, None where none does."""
        self.borne.learn(now, signs)
        changes = []
        for address in self.addresses:
            others = None if heard is None else self.others(heard(address.prefix))
            told = signs if address.prefix not in self.word else replace(
                signs, operator=self.word[address.prefix])
            held = self.held[address.prefix]
            before = held.verdict.standing
            if held.heed(now, judge(told, self.borne, address.types, others, held.waited(now))):
                changes.append(Change(address.prefix, before, held.verdict))
        return changes

    def others(self, paths: list[Path]) -> int:
        """Front ends elsewhere that announce it at a better preference than last resort."""
        ours = set(self.hops.values())
        return sum(path.next_hop not in ours and self.standing_of(path) < Standing.LAST for path in paths)

    def standing_of(self, path: Path) -> Standing:
        """By our own community; a route without one is taken to be full."""
        told = [value for _, function, value in path.large if function == STANDING and value <= Standing.WITHDRAWN]
        return Standing(told[0]) if told else Standing.FULL

    def wanted(self, internal: bool) -> dict[Prefix, Path]:
        """The routes for a peer of our own AS, or of another."""
        return {each.prefix: self.path(each.prefix, internal) for each in self.addresses
                if self.held[each.prefix].verdict.standing < Standing.WITHDRAWN and each.prefix.version in self.hops}

    def path(self, prefix: Prefix, internal: bool) -> Path:
        standing = self.held[prefix].verdict.standing
        it = self.preferences[standing]
        return Path(self.hops[prefix.version], () if internal else (self.asn,) * (1 + it.prepend), med=it.med,
                    local_pref=it.local_pref if internal else None, communities=it.communities,
                    large=((self.asn, STANDING, int(standing)),))

    def say(self, prefix: Prefix, standing: Standing | None) -> None:
        """The operator's word on one address; None takes it back."""
        if standing is None:
            self.word.pop(prefix, None)
        else:
            self.word[prefix] = standing
