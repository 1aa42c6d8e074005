"""BGP routes: prefixes, path attributes, and the supported address families."""
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
    """Unicast address families, by address family identifier (RFC 4760)."""

    IPV4 = 1
    IPV6 = 2

    @staticmethod
    def of(prefix: Prefix) -> Family:
        return Family.IPV4 if prefix.version == 4 else Family.IPV6


@dataclass(frozen=True, slots=True)
class Path:
    """The path attributes shared by the prefixes of an announcement."""

    next_hop: NextHop
    as_path: tuple[int, ...] = ()            # a single AS_SEQUENCE; the neighbour's number comes first
    origin: Origin = Origin.IGP
    med: int | None = None
    local_pref: int | None = None
    communities: tuple[int, ...] = ()        # RFC 1997, four octets each
    large_communities: tuple[tuple[int, int, int], ...] = ()     # RFC 8092
    as_sets: tuple[frozenset[int], ...] = ()     # only received, and used only for the length of the path


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The capabilities of one side of a session (RFC 5492)."""

    families: frozenset[Family] = frozenset({Family.IPV4})
    four_octet_asn: int | None = None        # RFC 6793: the AS number, which OPEN may be unable to hold
    route_refresh: bool = False              # RFC 2918
    restart_time: int | None = None          # RFC 4724: seconds; None if graceful restart is not advertised
    restarting: bool = False
    forwarding_preserved: frozenset[Family] = frozenset()    # families whose forwarding state survived a restart
