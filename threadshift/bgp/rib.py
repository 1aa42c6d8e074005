"""What is to be announced, and what each neighbour was told of it. Free of I/O."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from threadshift.bgp import codec
from threadshift.bgp.path import Family, Path, Prefix


class Told:
    """Routes out to one neighbour: the difference between wanted and told becomes as few UPDATEs as will do."""

    def __init__(self, families: Iterable[Family], four_octets: bool):
        self.families, self.four_octets = frozenset(families), four_octets
        self.told: dict[Prefix, Path] = {}

    def changes(self, wanted: dict[Prefix, Path]) -> list[bytes]:
        """Messages that bring the neighbour from what it was told to what is wanted; withdrawals first."""
        wanted = {prefix: path for prefix, path in wanted.items() if Family.of(prefix) in self.families}
        gone = [prefix for prefix in self.told if prefix not in wanted]
        groups: dict[tuple[Path, Family], list[Prefix]] = defaultdict(list)
        for prefix, path in wanted.items():
            if self.told.get(prefix) != path:
                groups[path, Family.of(prefix)].append(prefix)
        out = codec.write_withdrawals(gone)
        for (path, _), prefixes in groups.items():
            out += codec.write_routes(prefixes, path, self.four_octets)
        self.told = dict(wanted)
        return out

    def again(self, family: Family) -> list[bytes]:
        """Everything of one family once more, for a route refresh, then End-of-RIB."""
        groups: dict[Path, list[Prefix]] = defaultdict(list)
        for prefix, path in self.told.items():
            if Family.of(prefix) is family:
                groups[path].append(prefix)
        out = [data for path, prefixes in groups.items()
               for data in codec.write_routes(prefixes, path, self.four_octets)]
        return [*out, codec.write_end_of_rib(family)]

    def first(self, wanted: dict[Prefix, Path]) -> list[bytes]:
        """All that a new session is told: routes, then End-of-RIB for each family."""
        return [*self.changes(wanted), *(codec.write_end_of_rib(family) for family in sorted(self.families))]


class Heard:
    """Routes in from neighbours; bounded, as a peer may send a whole table."""

    def __init__(self, most: int):
        self.most = most                 # routes kept of one neighbour
        self.routes: dict[str, dict[Prefix, Path]] = defaultdict(dict)

    def announced(self, neighbour: str, prefixes: Sequence[Prefix], path: Path) -> bool:
        """False where the neighbour sent more than is kept; its session should end."""
        held = self.routes[neighbour]
        for prefix in prefixes:
            held[prefix] = path
        return len(held) <= self.most

    def withdrawn(self, neighbour: str, prefixes: Sequence[Prefix]) -> None:
        for prefix in prefixes:
            self.routes[neighbour].pop(prefix, None)

    def lost(self, neighbour: str) -> None:
        self.routes.pop(neighbour, None)

    def of(self, prefix: Prefix) -> list[Path]:
        return [routes[prefix] for routes in self.routes.values() if prefix in routes]
