"""The `bgp` block of a configuration: what is announced, to whom, and how each standing looks."""
from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from typing import NamedTuple

from threadshift.conf import values
from threadshift.conf.reading import Block, Directive, Word, nearest
from threadshift.conf.values import Address
from threadshift.interface import SECOND

LEAST_HOLD, MOST_HOLD = 3, 240     # s; RFC 4271: 3 at least; longer than minutes keeps a dead front end's routes
STANDINGS = ("full", "lesser", "poor", "last")


class Peer(NamedTuple):
    """A router that is spoken to."""

    name: str
    address: Address
    asn: int
    passive: bool
    source: str                # our address on this connection, empty: the system's choice
    ttl_security: bool


class Announced(NamedTuple):
    """A service address."""

    prefix: ipaddress.IPv4Network | ipaddress.IPv6Network
    types: tuple[str, ...]     # empty: all


class Look(NamedTuple):
    """How a standing looks in a route."""

    med: int
    prepend: int
    local_pref: int
    communities: tuple[int, ...]


class Announcing(NamedTuple):
    asn: int
    router: int
    hold: int                  # s
    next_hops: tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, ...]
    listen: Address | None
    reflects: bool             # routers reflect other front ends' routes to us
    fade: int                  # ns, the most that a drain waits for traffic to fade
    converge: int              # ns, from a withdrawal to the last connection that may still come
    peers: tuple[Peer, ...]
    addresses: tuple[Announced, ...]
    looks: dict[str, Look]


def as_number(text: str) -> int:
    number = values.count(text) if len(text) < 10 else int(text) if text.isdigit() else 0
    if not 0 < number < 2**32:
        raise ValueError("an AS number from 1 to 4294967295 is wanted")
    return number


def router_id(text: str) -> int:
    number = int(ipaddress.IPv4Address(text))
    if not number:
        raise ValueError("a router id is not 0.0.0.0")
    return number


def hold_time(text: str) -> int:
    seconds, rest = divmod(values.duration(text), SECOND)
    if rest or not LEAST_HOLD <= seconds <= MOST_HOLD:
        raise ValueError(f"whole seconds from {LEAST_HOLD}s to {MOST_HOLD}s are wanted")
    return seconds


def community(text: str) -> int:
    high, mark, low = text.partition(":")
    if not mark or not high.isdigit() or not low.isdigit() or int(high) > 65535 or int(low) > 65535:
        raise ValueError("a community such as 65001:100 is wanted")
    return int(high) << 16 | int(low)


def whole(text: str) -> int:
    if not text.isdigit() or int(text) >= 2**32:
        raise ValueError("a whole number below 4294967296 is wanted")
    return int(text)


BGP = Block({
    "local-as": Word(as_number, wanted=True), "router-id": Word(router_id, wanted=True),
    "hold-time": Word(hold_time, 9),
    "next-hop": Word(lambda words: tuple(map(ipaddress.ip_address, words)), wanted=True, words=-1),
    "listen": Word(values.address), "reflects": Word(values.flag, False),
    "fade": Word(values.duration, 5 * SECOND), "converge": Word(values.duration, 2 * SECOND),
}, nested=frozenset({"peer", "address", "standing"}))
PEER = Block({"address": Word(values.address, wanted=True), "as": Word(as_number, wanted=True),
              "passive": Word(values.flag, False),
              "source": Word(lambda text: str(ipaddress.ip_address(text)), ""),
              "ttl-security": Word(values.flag, False)})
ADDRESS = Block({"types": Word(tuple, (), words=-1)})
LOOK = Block({"med": Word(whole, wanted=True), "prepend": Word(whole, 0), "local-pref": Word(whole, wanted=True),
              "communities": Word(lambda words: tuple(map(community, words)), (), words=-1)})


def announcing(line: Directive, types: Sequence[str]) -> Announcing:
    """A `bgp` block. Raises ConfigurationError."""
    lines = line.block or []
    found = BGP.read(lines, line, line.file)
    addresses = tuple(address(each, types) for each in lines if each.name == "address")
    peers = tuple(peer(each) for each in lines if each.name == "peer")
    if not addresses or not peers:
        raise line.wrong(f"'bgp' needs {'an address' if not addresses else 'a peer'} block at least")
    for kind, names in (("address", [str(each.prefix) for each in addresses]),
                        ("peer", [each.name for each in peers])):
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice:
            raise line.wrong(f"'{kind} {twice}' stands twice")
    versions = {each.version for each in found["next-hop"]}
    lacking = next((each for each in addresses if each.prefix.version not in versions), None)
    if lacking:
        raise line.wrong(f"'address {lacking.prefix}' has no next-hop of its own kind, IPv{lacking.prefix.version}")
    looks = dict(look(each) for each in lines if each.name == "standing")
    return Announcing(found["local-as"], found["router-id"], found["hold-time"], found["next-hop"], found["listen"],
                      found["reflects"], found["fade"], found["converge"], peers, addresses, looks)


def peer(line: Directive) -> Peer:
    found = PEER.read(line.block or (), line, line.file)
    if len(line.words) != 1:
        raise line.wrong("'peer' takes one name before its block")
    if found["address"].path:
        raise line.wrong(f"peer {line.words[0]}: BGP is spoken over TCP, not over a Unix socket")
    return Peer(line.words[0], found["address"], found["as"], found["passive"], found["source"],
                found["ttl-security"])


def address(line: Directive, types: Sequence[str]) -> Announced:
    found = ADDRESS.read(line.block or (), line, line.file)
    try:
        prefix = ipaddress.ip_network(line.words[0] if len(line.words) == 1 else "")
    except ValueError as problem:
        raise line.wrong(f"'address' takes one prefix such as 192.0.2.1/32 before its block: {problem}") from None
    for name in found["types"]:
        if name not in types:
            raise line.wrong(f"address {prefix}: no type '{name}'{nearest(name, types)}")
    return Announced(prefix, found["types"])


def look(line: Directive) -> tuple[str, Look]:
    if len(line.words) != 1 or line.words[0] not in STANDINGS:
        raise line.wrong(f"'standing' takes one of {', '.join(STANDINGS)} before its block")
    return line.words[0], Look(**{name.replace("-", "_"): value
                                  for name, value in LOOK.read(line.block or (), line, line.file).items()})
