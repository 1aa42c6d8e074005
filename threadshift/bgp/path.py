"""Routes as BGP knows them: prefixes, path attributes, and the address families spoken here."""
from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from enum import IntEnum

Prefix = ipaddress.IPv4Network | ipaddress.IPv6Network
NextHop = ipaddress.IPv4Address | ipaddress.IPv6Address


class Origin(IntEnum):
    """RFC 4271, section 5.1.1."""

    IGP = 0
    EGP = 1
    INCOMPLETE = 2


class Family(IntEnum):
    """Unicast, by its address family identifier (RFC 4760)."""

    IPV4 = 1
    IPV6 = 2

    @staticmethod
    def of(prefix: Prefix) -> Family:
        return Family.IPV4 if prefix.version == 4 else Family.IPV6


@dataclass(frozen=True, slots=True)
class Path:
    """What is announced of some prefixes."""

    next_hop: NextHop
    as_path: tuple[int, ...] = ()            # one sequence; the first is the neighbour's
    origin: Origin = Origin.IGP
    med: int | None = None
    local_pref: int | None = None
    communities: tuple[int, ...] = ()        # RFC 1997, four octets each
    large_communities: tuple[tuple[int, int, int], ...] = ()     # RFC 8092
    as_sets: tuple[frozenset[int], ...] = ()     # only ever heard, and only counted for length


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What one side of a session can do (RFC 5492)."""

    families: frozenset[Family] = frozenset({Family.IPV4})
    four_octets: int | None = None           # RFC 6793: the real AS number
    refresh: bool = False                    # RFC 2918
    restart_time: int | None = None          # RFC 4724: seconds; None where it is not offered
    restarting: bool = False
    kept: frozenset[Family] = frozenset()    # families whose forwarding state was kept over a restart
