"""BGP-4 messages: bytes to calls on a `Hears`, calls to bytes.

RFC 4271 section 4 with 4760, 5492, 6793, 1997, 8092, 2918, 4724, 9003; errors by 4271 section 6 as revised by 7606.
What ends a session is a `Fault` with the code, subcode and data of the NOTIFICATION that it calls for.
"""
from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Protocol

from threadshift.errors import ThreadshiftError
from threadshift.bgp.path import Capabilities, Family, NextHop, Origin, Path, Prefix

MARKER = b"\xff" * 16
HEADER = struct.Struct(">16sHB")
LONGEST = 4096             # octets of a message (RFC 4271, section 4.1)
VERSION = 4
AS_TRANS = 23456           # RFC 6793: stands for a number that two octets cannot hold
OPEN, UPDATE, NOTIFICATION, KEEPALIVE, ROUTE_REFRESH = 1, 2, 3, 4, 5
SHORTEST = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, ROUTE_REFRESH: 23}
UNICAST = 1                # subsequent address family identifier

# Error codes and the subcodes used here (RFC 4271, section 4.5; 6608; 4486).
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = 1, 2, 3, 4, 5, 6
NOT_SYNCHRONISED, BAD_LENGTH, BAD_TYPE = 1, 2, 3
BAD_VERSION, BAD_PEER_AS, BAD_IDENTIFIER, BAD_PARAMETER, BAD_HOLD_TIME = 1, 2, 3, 4, 6
MALFORMED_LIST, BAD_NETWORK = 1, 10
MAX_PREFIXES, ADMIN_SHUTDOWN, DECONFIGURED, ADMIN_RESET, REJECTED, OTHER_CHANGE, COLLISION, OUT_OF_RESOURCES = (
    1, 2, 3, 4, 5, 6, 7, 8)
LONGEST_REASON = 255       # octets of a shutdown communication (RFC 9003)

# Path attributes and their flags: optional 0x80, transitive 0x40, partial 0x20, extended length 0x10.
A_ORIGIN, A_AS_PATH, A_NEXT_HOP, A_MED, A_LOCAL_PREF, A_ATOMIC, A_AGGREGATOR, A_COMMUNITIES = 1, 2, 3, 4, 5, 6, 7, 8
A_REACH, A_UNREACH, A_AS4_PATH, A_AS4_AGGREGATOR, A_LARGE = 14, 15, 17, 18, 32
OPTIONAL, TRANSITIVE, PARTIAL, EXTENDED = 0x80, 0x40, 0x20, 0x10
FLAGS = {A_ORIGIN: TRANSITIVE, A_AS_PATH: TRANSITIVE, A_NEXT_HOP: TRANSITIVE, A_MED: OPTIONAL,
         A_LOCAL_PREF: TRANSITIVE, A_ATOMIC: TRANSITIVE, A_AGGREGATOR: OPTIONAL | TRANSITIVE,
         A_COMMUNITIES: OPTIONAL | TRANSITIVE, A_REACH: OPTIONAL, A_UNREACH: OPTIONAL,
         A_AS4_PATH: OPTIONAL | TRANSITIVE, A_AS4_AGGREGATOR: OPTIONAL | TRANSITIVE, A_LARGE: OPTIONAL | TRANSITIVE}
SET, SEQUENCE, CONFED_SEQUENCE, CONFED_SET = 1, 2, 3, 4
C_MULTIPROTOCOL, C_REFRESH, C_RESTART, C_FOUR_OCTETS = 1, 2, 64, 65


class Fault(ThreadshiftError):
    """A message that ends its session, with the NOTIFICATION that says why."""

    help = "tell the peer's operators what it sent; the session is begun anew"

    def __init__(self, code: int, subcode: int, data: bytes = b"", text: str = ""):
        super().__init__(text or f"error {code}/{subcode}")
        self.code, self.subcode, self.data = code, subcode, data


class Hears(Protocol):
    """What is done with messages as they are decoded."""

    def opened(self, asn: int, hold: int, router: int, can: Capabilities) -> None: ...
    def kept_alive(self) -> None: ...
    def notified(self, code: int, subcode: int, data: bytes) -> None: ...
    def announced(self, prefixes: Sequence[Prefix], path: Path) -> None: ...
    def withdrawn(self, prefixes: Sequence[Prefix]) -> None: ...
    def end_of_rib(self, family: Family) -> None: ...
    def refresh_asked(self, family: Family) -> None: ...
    def noted(self, problem: str) -> None: ...


# Reading.

class Reader:
    """Cuts a stream into messages and hands each on. `four_octets` is set once both sides have offered it."""

    def __init__(self, hears: Hears):
        self.hears, self.buffer = hears, bytearray()
        self.four_octets = False
        self.ended = False       # set by who hears: what follows in the stream is not read

    def feed(self, data: bytes) -> None:
        """Raises Fault; nothing after that may be read."""
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= HEADER.size and not self.ended:
            marker, length, kind = HEADER.unpack_from(self.buffer, at)
            if marker != MARKER:
                raise Fault(HEADER_ERROR, NOT_SYNCHRONISED, text="the marker is not all ones")
            if kind not in SHORTEST:
                raise Fault(HEADER_ERROR, BAD_TYPE, bytes([kind]), f"no message has type {kind}")
            if not SHORTEST[kind] <= length <= LONGEST or kind == KEEPALIVE and length != HEADER.size:
                raise Fault(HEADER_ERROR, BAD_LENGTH, struct.pack(">H", length), f"type {kind} with length {length}")
            if len(self.buffer) - at < length:
                break
            body = bytes(self.buffer[at + HEADER.size:at + length])
            at += length
            self.message(kind, body)
        del self.buffer[:at]

    def message(self, kind: int, body: bytes) -> None:
        if kind == OPEN:
            self.hears.opened(*read_open(body))
        elif kind == UPDATE:
            read_update(body, self.four_octets, self.hears)
        elif kind == NOTIFICATION:
            self.hears.notified(body[0], body[1], body[2:])
        elif kind == KEEPALIVE:
            self.hears.kept_alive()
        elif body[:2] in (b"\x00\x01", b"\x00\x02") and body[3] == UNICAST and len(body) == 4:
            self.hears.refresh_asked(Family(body[1]))
        else:
            # RFC 7313: a refresh of what was never offered is ignored.
            self.hears.noted("a route refresh for a family that is not spoken here")


def read_open(body: bytes) -> tuple[int, int, int, Capabilities]:
    """AS number, hold time in s, router id, capabilities."""
    version, asn, hold, router, length = struct.unpack_from(">BHHIB", body)
    if version != VERSION:
        raise Fault(OPEN_ERROR, BAD_VERSION, struct.pack(">H", VERSION), f"version {version}")
    if hold in (1, 2):
        raise Fault(OPEN_ERROR, BAD_HOLD_TIME, text=f"a hold time of {hold} s")
    if router == 0:
        raise Fault(OPEN_ERROR, BAD_IDENTIFIER, text="the router id is 0")
    parameters = body[10:]
    if length != len(parameters):
        raise Fault(OPEN_ERROR, 0, text="the parameters' length is wrong")
    can = Capabilities(families=frozenset())
    families: set[Family] = set()
    at = 0
    while at < len(parameters):
        if at + 2 > len(parameters) or at + 2 + parameters[at + 1] > len(parameters):
            raise Fault(OPEN_ERROR, 0, text="a parameter runs past the message")
        kind, value = parameters[at], parameters[at + 2:at + 2 + parameters[at + 1]]
        if kind != 2:
            raise Fault(OPEN_ERROR, BAD_PARAMETER, text=f"parameter {kind} is not known")
        can = read_capabilities(value, can, families)
        at += 2 + len(value)
    if can.four_octets is not None:
        asn = can.four_octets
    if asn == 0:
        raise Fault(OPEN_ERROR, BAD_PEER_AS, text="AS 0 (RFC 7607)")
    # RFC 4760: who names no family speaks IPv4 unicast.
    return asn, hold, router, replace(can, families=frozenset(families) or frozenset({Family.IPV4}))


def read_capabilities(value: bytes, can: Capabilities, families: set[Family]) -> Capabilities:
    """One parameter's capabilities; what is not known is skipped (RFC 5492, section 3)."""
    at = 0
    while at < len(value):
        if at + 2 > len(value) or at + 2 + value[at + 1] > len(value):
            raise Fault(OPEN_ERROR, 0, text="a capability runs past its parameter")
        code, data = value[at], value[at + 2:at + 2 + value[at + 1]]
        at += 2 + len(data)
        if code == C_MULTIPROTOCOL and len(data) == 4 and data[3] == UNICAST and data[:2] in (b"\0\1", b"\0\2"):
            families.add(Family(data[1]))
        elif code == C_FOUR_OCTETS and len(data) == 4:
            can = replace(can, four_octets=int.from_bytes(data, "big"))
        elif code == C_REFRESH:
            can = replace(can, refresh=True)
        elif code == C_RESTART and len(data) >= 2 and len(data) % 4 == 2:
            head = int.from_bytes(data[:2], "big")
            kept = frozenset(Family(data[n + 1]) for n in range(2, len(data), 4)
                             if data[n:n + 2] in (b"\0\1", b"\0\2") and data[n + 2] == UNICAST and data[n + 3] & 0x80)
            can = replace(can, restart_time=head & 0xFFF, restarting=bool(head & 0x8000), kept=kept)
    return can


def read_prefixes(data: bytes, family: Family, fault: Fault) -> list[Prefix]:
    """The prefixes of one field. Raises the fault given where they do not parse."""
    size, found, at = (32 if family is Family.IPV4 else 128), [], 0
    kind = ipaddress.IPv4Network if family is Family.IPV4 else ipaddress.IPv6Network
    while at < len(data):
        length = data[at]
        octets = (length + 7) // 8
        if length > size or at + 1 + octets > len(data):
            raise fault
        number = int.from_bytes(data[at + 1:at + 1 + octets].ljust(size // 8, b"\0"), "big")
        number &= ~((1 << (size - length)) - 1)         # trailing bits have no meaning
        found.append(kind((number, length)))
        at += 1 + octets
    return found


class Withdraw(ThreadshiftError):
    """RFC 7606: the routes of this message count as withdrawn; the session goes on."""

    help = "none: the peer sent attributes that RFC 7606 has treated so; tell its operators"


class Attributes:
    """The path attributes of one UPDATE, read with RFC 7606's three grades of mending."""

    def __init__(self, four_octets: bool, hears: Hears):
        self.four_octets, self.hears = four_octets, hears
        self.seen: dict[int, bytes] = {}
        self.problem = ""                # why its routes count as withdrawn

    def read(self, data: bytes) -> None:
        at = 0
        while at < len(data):
            # A length that does not fit: the rest cannot be read, but the prefixes' fields can (section 3.j).
            if at + 3 > len(data):
                self.problem = self.problem or "an attribute runs past the message"
                return
            flags, code = data[at], data[at + 1]
            wide = bool(flags & EXTENDED)
            head = 4 if wide else 3
            if at + head > len(data):
                self.problem = self.problem or "an attribute runs past the message"
                return
            length = int.from_bytes(data[at + 2:at + head], "big")
            value = data[at + head:at + head + length]
            if len(value) < length:
                self.problem = self.problem or f"attribute {code} runs past the message"
                return
            at += head + length
            self.one(flags, code, value)

    def one(self, flags: int, code: int, value: bytes) -> None:
        if code in self.seen:
            if code in (A_REACH, A_UNREACH):
                raise Fault(UPDATE_ERROR, MALFORMED_LIST, text=f"attribute {code} stands twice")
            self.hears.noted(f"attribute {code} stands twice; the first counts")
            return
        wanted = FLAGS.get(code)
        if wanted is None:
            if not flags & OPTIONAL:
                raise Fault(UPDATE_ERROR, 2, bytes([flags, code]), f"well-known attribute {code} is not known")
            return                                      # optional, not known: passed over
        if flags & (OPTIONAL | TRANSITIVE) != wanted:
            if code in (A_ATOMIC, A_AGGREGATOR, A_AS4_AGGREGATOR, A_AS4_PATH):
                self.hears.noted(f"attribute {code} has wrong flags and is discarded")
                return
            self.problem = self.problem or f"attribute {code} has wrong flags"
        self.seen[code] = value

    def path(self, next_hop: NextHop | None) -> Path:
        """The path of the routes announced. Raises Withdraw where an attribute is wrong or lacking."""
        if self.problem:
            raise Withdraw(self.problem)
        seen = self.seen
        if A_ORIGIN not in seen or A_AS_PATH not in seen:
            raise Withdraw("ORIGIN or AS_PATH is lacking")
        if len(seen[A_ORIGIN]) != 1 or seen[A_ORIGIN][0] > 2:
            raise Withdraw("ORIGIN is wrong")
        sequence, sets = self.as_path(seen[A_AS_PATH], 4 if self.four_octets else 2)
        if not self.four_octets and A_AS4_PATH in seen:
            sequence = self.merged(sequence, seen[A_AS4_PATH])
        if next_hop is None:
            value = seen.get(A_NEXT_HOP, b"")
            if len(value) != 4:
                raise Withdraw("NEXT_HOP is lacking or wrong")
            next_hop = ipaddress.IPv4Address(value)
        return Path(next_hop, sequence, Origin(seen[A_ORIGIN][0]), self.number(A_MED), self.number(A_LOCAL_PREF),
                    tuple(value[0] for value in self.groups(A_COMMUNITIES, ">I")),
                    tuple((one, two, three) for one, two, three in self.groups(A_LARGE, ">III")), sets)

    def number(self, code: int) -> int | None:
        value = self.seen.get(code)
        if value is None:
            return None
        if len(value) != 4:
            raise Withdraw(f"attribute {code} has {len(value)} octets")
        return int.from_bytes(value, "big")

    def groups(self, code: int, form: str) -> list[tuple]:
        value = self.seen.get(code)
        if value is None:
            return []
        if not value or len(value) % struct.calcsize(form):
            raise Withdraw(f"attribute {code} has {len(value)} octets")
        return list(struct.iter_unpack(form, value))

    @staticmethod
    def as_path(value: bytes, octets: int) -> tuple[tuple[int, ...], tuple[frozenset[int], ...]]:
        sequence: list[int] = []
        sets: list[frozenset[int]] = []
        at = 0
        while at < len(value):
            if at + 2 > len(value) or value[at] not in (SET, SEQUENCE) or value[at + 1] == 0:
                raise Withdraw("AS_PATH is malformed")
            end = at + 2 + value[at + 1] * octets
            if end > len(value):
                raise Withdraw("AS_PATH is malformed")
            numbers = [int.from_bytes(value[n:n + octets], "big") for n in range(at + 2, end, octets)]
            if value[at] == SEQUENCE:
                sequence += numbers
            else:
                sets.append(frozenset(numbers))
            at = end
        return tuple(sequence), tuple(sets)

    def merged(self, sequence: tuple[int, ...], value: bytes) -> tuple[int, ...]:
        """RFC 6793, section 4.2.3: the newer part of the one, then the whole of the other."""
        try:
            real, _ = self.as_path(value, 4)
        except Withdraw:
            self.hears.noted("AS4_PATH is malformed and is discarded")
            return sequence
        return sequence if len(real) > len(sequence) else sequence[:len(sequence) - len(real)] + real


def read_update(body: bytes, four_octets: bool, hears: Hears) -> None:
    """One UPDATE as calls: withdrawals first, then what it announces."""
    bad_list = Fault(UPDATE_ERROR, MALFORMED_LIST, text="the lengths in an UPDATE do not fit")
    if len(body) < 4:
        raise bad_list
    gone_length = int.from_bytes(body[:2], "big")
    if 4 + gone_length > len(body):
        raise bad_list
    attributes_at = 4 + gone_length
    attributes_length = int.from_bytes(body[2 + gone_length:attributes_at], "big")
    if attributes_at + attributes_length > len(body):
        raise bad_list
    bad_network = Fault(UPDATE_ERROR, BAD_NETWORK, text="a prefix does not parse")
    gone = read_prefixes(body[2:2 + gone_length], Family.IPV4, bad_network)
    there = read_prefixes(body[attributes_at + attributes_length:], Family.IPV4, bad_network)
    attributes = Attributes(four_octets, hears)
    attributes.read(body[attributes_at:attributes_at + attributes_length])
    reach, unreach = attributes.seen.get(A_REACH), attributes.seen.get(A_UNREACH)
    if not (body[4:] or gone):
        hears.end_of_rib(Family.IPV4)
        return
    if unreach is not None:
        if len(unreach) < 3:
            raise Fault(UPDATE_ERROR, 9, text="MP_UNREACH_NLRI is too short")
        if unreach[:3] == b"\0\2\1":
            lost = read_prefixes(unreach[3:], Family.IPV6, bad_network)
            if not lost and len(attributes.seen) == 1 and not there and not gone:
                hears.end_of_rib(Family.IPV6)
                return
            gone += lost
    if gone:
        hears.withdrawn(gone)
    announce(there, None, attributes, hears)
    if reach is not None:
        six, next_hop = read_reach(reach, bad_network)
        announce(six, next_hop, attributes, hears)


def read_reach(value: bytes, bad_network: Fault) -> tuple[list[Prefix], NextHop | None]:
    """MP_REACH_NLRI (RFC 4760, section 3), for IPv6 unicast; other families are passed over."""
    bad = Fault(UPDATE_ERROR, 9, text="MP_REACH_NLRI does not parse")
    if len(value) < 5 or 5 + value[3] > len(value):
        raise bad
    if value[:3] != b"\0\2\1":
        return [], None
    hop = value[4:4 + value[3]]
    if len(hop) not in (16, 32):         # the second is link-local, for who shares a link (RFC 2545)
        raise bad
    return read_prefixes(value[5 + value[3]:], Family.IPV6, bad_network), ipaddress.IPv6Address(hop[:16])


def announce(prefixes: list[Prefix], next_hop: NextHop | None, attributes: Attributes, hears: Hears) -> None:
    if not prefixes:
        return
    try:
        path = attributes.path(next_hop)
    except Withdraw as problem:
        hears.noted(f"{len(prefixes)} routes count as withdrawn: {problem}")
        hears.withdrawn(prefixes)
        return
    hears.announced(prefixes, path)


# Writing.

def message(kind: int, body: bytes = b"") -> bytes:
    return HEADER.pack(MARKER, HEADER.size + len(body), kind) + body


def write_open(asn: int, hold: int, router: int, can: Capabilities) -> bytes:
    capabilities = b"".join(struct.pack(">BBHBB", C_MULTIPROTOCOL, 4, family, 0, UNICAST)
                            for family in sorted(can.families))
    if can.refresh:
        capabilities += struct.pack(">BB", C_REFRESH, 0)
    if can.restart_time is not None:
        kept = b"".join(struct.pack(">HBB", family, UNICAST, 0x80) for family in sorted(can.kept))
        capabilities += struct.pack(">BBH", C_RESTART, 2 + len(kept), can.restarting << 15 | can.restart_time) + kept
    capabilities += struct.pack(">BBI", C_FOUR_OCTETS, 4, asn)
    parameter = struct.pack(">BB", 2, len(capabilities)) + capabilities
    return message(OPEN, struct.pack(">BHHIB", VERSION, asn if asn < 65536 else AS_TRANS, hold, router,
                                     len(parameter)) + parameter)


def write_keepalive() -> bytes:
    return message(KEEPALIVE)


def write_notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    return message(NOTIFICATION, bytes([code, subcode]) + data[:LONGEST - 21])


def write_refresh(family: Family) -> bytes:
    return message(ROUTE_REFRESH, struct.pack(">HBB", family, 0, UNICAST))


def write_reason(text: str) -> bytes:
    """A shutdown communication (RFC 9003): whole characters of UTF-8, at most 255 octets."""
    data = text.encode()[:LONGEST_REASON].decode(errors="ignore").encode()
    return bytes([len(data)]) + data


def read_reason(data: bytes) -> str:
    """The text of a shutdown communication, fit for a log; empty where there is none."""
    if not data or data[0] > len(data) - 1:
        return ""
    return "".join(each if each.isprintable() else " " for each in data[1:1 + data[0]].decode(errors="replace"))


def attribute(code: int, value: bytes) -> bytes:
    wide = len(value) > 255
    head = struct.pack(">BBH" if wide else ">BBB", FLAGS[code] | EXTENDED * wide, code, len(value))
    return head + value


def path_attributes(path: Path, four_octets: bool) -> bytes:
    """All but MP_REACH_NLRI, in the order of their codes (RFC 4271, section 5)."""
    form = ">I" if four_octets else ">H"
    numbers = [number if four_octets or number < 65536 else AS_TRANS for number in path.as_path]
    segments = b"".join(struct.pack(">BB", SEQUENCE, len(part)) + b"".join(struct.pack(form, each) for each in part)
                        for part in (numbers[n:n + 255] for n in range(0, len(numbers), 255)))
    out = attribute(A_ORIGIN, bytes([path.origin])) + attribute(A_AS_PATH, segments)
    if path.next_hop.version == 4:
        out += attribute(A_NEXT_HOP, path.next_hop.packed)
    if path.med is not None:
        out += attribute(A_MED, struct.pack(">I", path.med))
    if path.local_pref is not None:
        out += attribute(A_LOCAL_PREF, struct.pack(">I", path.local_pref))
    if path.communities:
        out += attribute(A_COMMUNITIES, b"".join(struct.pack(">I", each) for each in path.communities))
    if not four_octets and any(each > 65535 for each in path.as_path):
        real = struct.pack(">BB", SEQUENCE, len(path.as_path[:255])) + b"".join(
            struct.pack(">I", each) for each in path.as_path[:255])
        out += attribute(A_AS4_PATH, real)
    if path.large_communities:
        out += attribute(A_LARGE, b"".join(struct.pack(">III", *each) for each in path.large_communities))
    return out


def prefix_octets(prefix: Prefix) -> bytes:
    return bytes([prefix.prefixlen]) + prefix.network_address.packed[:(prefix.prefixlen + 7) // 8]


def portions(prefixes: Iterable[Prefix], room: int) -> list[bytes]:
    """Prefixes in as few fields as fit a message each."""
    found, part = [], bytearray()
    for prefix in prefixes:
        octets = prefix_octets(prefix)
        if part and len(part) + len(octets) > room:
            found.append(bytes(part))
            part.clear()
        part += octets
    return [*found, bytes(part)] if part else found


def write_routes(prefixes: Iterable[Prefix], path: Path, four_octets: bool) -> list[bytes]:
    """UPDATEs that announce prefixes of one family, all with this path."""
    shared = path_attributes(path, four_octets)
    room = LONGEST - HEADER.size - 4 - len(shared)
    if path.next_hop.version == 4:
        return [message(UPDATE, b"\0\0" + struct.pack(">H", len(shared)) + shared + part)
                for part in portions(prefixes, room)]
    found = []
    hop = b"\0\2\1" + bytes([16]) + path.next_hop.packed + b"\0"
    for part in portions(prefixes, room - 4 - len(hop)):
        attributes = shared + attribute(A_REACH, hop + part)
        found.append(message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes))
    return found


def write_withdrawals(prefixes: Sequence[Prefix]) -> list[bytes]:
    """UPDATEs that withdraw prefixes of both families."""
    room = LONGEST - HEADER.size - 4
    found = [message(UPDATE, struct.pack(">H", len(part)) + part + b"\0\0")
             for part in portions((each for each in prefixes if each.version == 4), room)]
    for part in portions((each for each in prefixes if each.version == 6), room - 7):
        attributes = attribute(A_UNREACH, b"\0\2\1" + part)
        found.append(message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes))
    return found


def write_end_of_rib(family: Family) -> bytes:
    """RFC 4724, section 2."""
    if family is Family.IPV4:
        return message(UPDATE, b"\0\0\0\0")
    attributes = attribute(A_UNREACH, b"\0\2\1")
    return message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes)
