"""Routing information bases (RFC 4271, section 3.2): routes advertised to and received from peers. Free of I/O."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from threadshift.bgp import codec
from threadshift.bgp.path import Family, Path, Prefix


class AdjRibOut:
    """The routes advertised to one neighbour. Changes are encoded in as few UPDATEs as possible."""

    def __init__(self, families: Iterable[Family], four_octet_as: bool):
        self.families, self.four_octet_as = frozenset(families), four_octet_as
        self.advertised: dict[Prefix, Path] = {}

    def update(self, routes: dict[Prefix, Path]) -> list[bytes]:
        """Messages that change what was advertised into these routes, withdrawals first."""
        routes = {prefix: path for prefix, path in routes.items() if Family.of(prefix) in self.families}
        withdrawn = [prefix for prefix in self.advertised if prefix not in routes]
        groups: dict[tuple[Path, Family], list[Prefix]] = defaultdict(list)
        for prefix, path in routes.items():
            if self.advertised.get(prefix) != path:
                groups[path, Family.of(prefix)].append(prefix)
        out = codec.write_withdrawals(withdrawn)
        for (path, _), prefixes in groups.items():
            out += codec.write_routes(prefixes, path, self.four_octet_as)
        self.advertised = dict(routes)
        return out

    def refresh(self, family: Family) -> list[bytes]:
        """Messages that advertise all routes of one family again, for a route refresh, with End-of-RIB."""
        groups: dict[Path, list[Prefix]] = defaultdict(list)
        for prefix, path in self.advertised.items():
            if Family.of(prefix) is family:
                groups[path].append(prefix)
        out = [data for path, prefixes in groups.items()
               for data in codec.write_routes(prefixes, path, self.four_octet_as)]
        return [*out, codec.write_end_of_rib(family)]

    def initial_update(self, routes: dict[Prefix, Path]) -> list[bytes]:
        """Messages for a new session: all routes, then End-of-RIB for each family."""
        return [*self.update(routes), *(codec.write_end_of_rib(family) for family in sorted(self.families))]


class AdjRibIn:
    """The routes received from neighbours; bounded, as a peer may send a full routing table."""

    def __init__(self, max_routes: int):
        self.max_routes = max_routes     # of one neighbour
        self.routes: dict[str, dict[Prefix, Path]] = defaultdict(dict)

    def add(self, neighbour: str, prefixes: Sequence[Prefix], path: Path) -> bool:
        """False if the neighbour exceeds its limit and its session should end."""
        routes = self.routes[neighbour]
        for prefix in prefixes:
            routes[prefix] = path
        return len(routes) <= self.max_routes

    def remove(self, neighbour: str, prefixes: Sequence[Prefix]) -> None:
        for prefix in prefixes:
            self.routes[neighbour].pop(prefix, None)

    def remove_neighbour(self, neighbour: str) -> None:
        self.routes.pop(neighbour, None)

    def paths(self, prefix: Prefix) -> list[Path]:
        """The paths to one prefix, from all neighbours."""
        return [routes[prefix] for routes in self.routes.values() if prefix in routes]
