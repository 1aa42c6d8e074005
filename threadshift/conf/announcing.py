"""The `bgp` block of a configuration: which addresses are announced, to which routers, and with which attributes."""
from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from typing import NamedTuple

from threadshift.conf import values
from threadshift.conf.reading import ONE_OR_MORE, BlockSpec, Directive, DirectiveSpec, nearest
from threadshift.conf.values import Address
from threadshift.interface import SECOND

MIN_HOLD = 3               # s; the least that RFC 4271 allows
MAX_HOLD = 240             # s; a longer one would keep a dead front end's routes for minutes
STANDINGS = ("full", "lesser", "poor", "last")


class BgpPeer(NamedTuple):
    """A router with which a BGP session is held."""

    name: str
    address: Address
    asn: int
    passive: bool
    source: str                # our address on this connection, empty: the system's choice
    ttl_security: bool


class AnnouncedAddress(NamedTuple):
    """A service address that is announced."""

    prefix: ipaddress.IPv4Network | ipaddress.IPv6Network
    types: tuple[str, ...]     # namespace types that are served there, empty: all


class RouteAttributes(NamedTuple):
    """The attributes of a route that is announced with one standing."""

    med: int
    prepend: int
    local_pref: int
    communities: tuple[int, ...]


class BgpConfig(NamedTuple):
    """A whole `bgp` block."""

    asn: int
    router: int
    hold: int                  # s
    next_hops: tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, ...]
    listen: Address | None
    reflects: bool             # routers reflect other front ends' routes to us
    fade: int                  # ns, the most that a drain waits for traffic to fade
    converge: int              # ns, from a withdrawal to the last connection that may still come
    peers: tuple[BgpPeer, ...]
    addresses: tuple[AnnouncedAddress, ...]
    route_attributes: dict[str, RouteAttributes]      # by standing


def as_number(text: str) -> int:
    """The number of an autonomous system."""
    number = values.count(text) if len(text) < 10 else int(text) if text.isdigit() else 0
    if not 0 < number < 2**32:
        raise ValueError("an AS number from 1 to 4294967295 is wanted")
    return number


def router_id(text: str) -> int:
    """A BGP identifier, written as an IPv4 address."""
    number = int(ipaddress.IPv4Address(text))
    if not number:
        raise ValueError("a router id is not 0.0.0.0")
    return number


def hold_time(text: str) -> int:
    """A BGP hold time in seconds."""
    seconds, rest = divmod(values.duration(text), SECOND)
    if rest or not MIN_HOLD <= seconds <= MAX_HOLD:
        raise ValueError(f"whole seconds from {MIN_HOLD}s to {MAX_HOLD}s are wanted")
    return seconds


def community(text: str) -> int:
    """A BGP community such as 65001:100, as its 32-bit number."""
    high, colon, low = text.partition(":")
    if not colon or not high.isdigit() or not low.isdigit() or int(high) > 65535 or int(low) > 65535:
        raise ValueError("a community such as 65001:100 is wanted")
    return int(high) << 16 | int(low)


def whole_number(text: str) -> int:
    """A whole number of 32 bits; 0 is allowed."""
    if not text.isdigit() or int(text) >= 2**32:
        raise ValueError("a whole number below 4294967296 is wanted")
    return int(text)


BGP = BlockSpec({
    "local-as": DirectiveSpec(as_number, required=True),
    "router-id": DirectiveSpec(router_id, required=True),
    "hold-time": DirectiveSpec(hold_time, 9),
    "next-hop": DirectiveSpec(lambda words: tuple(map(ipaddress.ip_address, words)), required=True,
                              word_count=ONE_OR_MORE),
    "listen": DirectiveSpec(values.address),
    "reflects": DirectiveSpec(values.flag, False),
    "fade": DirectiveSpec(values.duration, 5 * SECOND),
    "converge": DirectiveSpec(values.duration, 2 * SECOND),
}, nested=frozenset({"peer", "address", "standing"}))
PEER = BlockSpec({
    "address": DirectiveSpec(values.address, required=True),
    "as": DirectiveSpec(as_number, required=True),
    "passive": DirectiveSpec(values.flag, False),
    "source": DirectiveSpec(lambda text: str(ipaddress.ip_address(text)), ""),
    "ttl-security": DirectiveSpec(values.flag, False),
})
ADDRESS = BlockSpec({"types": DirectiveSpec(tuple, (), word_count=ONE_OR_MORE)})
STANDING = BlockSpec({
    "med": DirectiveSpec(whole_number, required=True),
    "prepend": DirectiveSpec(whole_number, 0),
    "local-pref": DirectiveSpec(whole_number, required=True),
    "communities": DirectiveSpec(lambda words: tuple(map(community, words)), (), word_count=ONE_OR_MORE),
})


def parse_bgp(line: Directive, types: Sequence[str]) -> BgpConfig:
    """Reads a `bgp` block; `types` are the known namespace types. Raises ConfigurationError."""
    lines = line.block or []
    found = BGP.read(lines, line, line.file)
    addresses = tuple(parse_address(each, types) for each in lines if each.name == "address")
    peers = tuple(parse_peer(each) for each in lines if each.name == "peer")
    if not addresses or not peers:
        raise line.error(f"'bgp' needs {'an address' if not addresses else 'a peer'} block at least")
    for kind, names in (("address", [str(each.prefix) for each in addresses]),
                        ("peer", [each.name for each in peers])):
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice:
            raise line.error(f"'{kind} {twice}' stands twice")
    versions = {each.version for each in found["next-hop"]}
    lacking = next((each for each in addresses if each.prefix.version not in versions), None)
    if lacking:
        raise line.error(f"'address {lacking.prefix}' has no next-hop of its own kind, IPv{lacking.prefix.version}")
    route_attributes = dict(parse_standing(each) for each in lines if each.name == "standing")
    return BgpConfig(found["local-as"], found["router-id"], found["hold-time"], found["next-hop"], found["listen"],
                     found["reflects"], found["fade"], found["converge"], peers, addresses, route_attributes)


def parse_peer(line: Directive) -> BgpPeer:
    """Reads one `peer` block."""
    found = PEER.read(line.block or (), line, line.file)
    if len(line.words) != 1:
        raise line.error("'peer' takes one name before its block")
    if found["address"].path:
        raise line.error(f"peer {line.words[0]}: BGP is spoken over TCP, not over a Unix socket")
    return BgpPeer(line.words[0], found["address"], found["as"], found["passive"], found["source"],
                   found["ttl-security"])


def parse_address(line: Directive, types: Sequence[str]) -> AnnouncedAddress:
    """Reads one `address` block; `types` are the known namespace types."""
    found = ADDRESS.read(line.block or (), line, line.file)
    try:
        prefix = ipaddress.ip_network(line.words[0] if len(line.words) == 1 else "")
    except ValueError as problem:
        raise line.error(f"'address' takes one prefix such as 192.0.2.1/32 before its block: {problem}") from None
    for name in found["types"]:
        if name not in types:
            raise line.error(f"address {prefix}: no type '{name}'{nearest(name, types)}")
    return AnnouncedAddress(prefix, found["types"])


def parse_standing(line: Directive) -> tuple[str, RouteAttributes]:
    """Reads one `standing` block: its name and its route attributes."""
    if len(line.words) != 1 or line.words[0] not in STANDINGS:
        raise line.error(f"'standing' takes one of {', '.join(STANDINGS)} before its block")
    return line.words[0], RouteAttributes(**{
        name.replace("-", "_"): value for name, value in STANDING.read(line.block or (), line, line.file).items()})
