"""Decodes BGP-4 messages into calls of a `MessageHandler`, and encodes messages.

Formats: RFC 4271 section 4, with RFC 4760, 5492, 6793, 1997, 8092, 2918, 4724 and 9003. Error handling: RFC 4271
section 6 as revised by RFC 7606. An error that ends the session is a `ProtocolError` with the code, subcode and data
of the NOTIFICATION to send.
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
MAX_MESSAGE_SIZE = 4096    # octets (RFC 4271, section 4.1)
VERSION = 4
AS_TRANS = 23456           # RFC 6793: in place of a number that does not fit into two octets
SAFI_UNICAST = 1           # subsequent address family identifier
MAX_REASON_SIZE = 255      # octets of a shutdown communication (RFC 9003)

# Message types (RFC 4271, section 4.1; RFC 2918).
OPEN = 1
UPDATE = 2
NOTIFICATION = 3
KEEPALIVE = 4
ROUTE_REFRESH = 5
MIN_MESSAGE_SIZES = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, ROUTE_REFRESH: 23}    # octets

# Error codes (RFC 4271, section 4.5).
HEADER_ERROR = 1
OPEN_ERROR = 2
UPDATE_ERROR = 3
HOLD_TIMER_EXPIRED = 4
FSM_ERROR = 5
CEASE = 6

# Subcodes of HEADER_ERROR.
CONNECTION_NOT_SYNCHRONIZED = 1
BAD_MESSAGE_LENGTH = 2
BAD_MESSAGE_TYPE = 3

# Subcodes of OPEN_ERROR.
UNSPECIFIC = 0
UNSUPPORTED_VERSION = 1
BAD_PEER_AS = 2
BAD_BGP_IDENTIFIER = 3
UNSUPPORTED_PARAMETER = 4
UNACCEPTABLE_HOLD_TIME = 6

# Subcodes of UPDATE_ERROR.
MALFORMED_ATTRIBUTE_LIST = 1
UNRECOGNIZED_WELL_KNOWN_ATTRIBUTE = 2
OPTIONAL_ATTRIBUTE_ERROR = 9
INVALID_NETWORK_FIELD = 10

# Subcodes of CEASE (RFC 4486).
MAX_PREFIXES_REACHED = 1
ADMIN_SHUTDOWN = 2
PEER_DECONFIGURED = 3
ADMIN_RESET = 4
CONNECTION_REJECTED = 5
OTHER_CONFIGURATION_CHANGE = 6
CONNECTION_COLLISION = 7
OUT_OF_RESOURCES = 8

# Path attributes: type codes and flags.
ATTR_ORIGIN = 1
ATTR_AS_PATH = 2
ATTR_NEXT_HOP = 3
ATTR_MED = 4
ATTR_LOCAL_PREF = 5
ATTR_ATOMIC_AGGREGATE = 6
ATTR_AGGREGATOR = 7
ATTR_COMMUNITIES = 8
ATTR_MP_REACH_NLRI = 14
ATTR_MP_UNREACH_NLRI = 15
ATTR_AS4_PATH = 17
ATTR_AS4_AGGREGATOR = 18
ATTR_LARGE_COMMUNITIES = 32
FLAG_OPTIONAL = 0x80
FLAG_TRANSITIVE = 0x40
FLAG_PARTIAL = 0x20
FLAG_EXTENDED_LENGTH = 0x10
ATTRIBUTE_FLAGS = {
    ATTR_ORIGIN: FLAG_TRANSITIVE, ATTR_AS_PATH: FLAG_TRANSITIVE, ATTR_NEXT_HOP: FLAG_TRANSITIVE,
    ATTR_MED: FLAG_OPTIONAL, ATTR_LOCAL_PREF: FLAG_TRANSITIVE, ATTR_ATOMIC_AGGREGATE: FLAG_TRANSITIVE,
    ATTR_AGGREGATOR: FLAG_OPTIONAL | FLAG_TRANSITIVE, ATTR_COMMUNITIES: FLAG_OPTIONAL | FLAG_TRANSITIVE,
    ATTR_MP_REACH_NLRI: FLAG_OPTIONAL, ATTR_MP_UNREACH_NLRI: FLAG_OPTIONAL,
    ATTR_AS4_PATH: FLAG_OPTIONAL | FLAG_TRANSITIVE, ATTR_AS4_AGGREGATOR: FLAG_OPTIONAL | FLAG_TRANSITIVE,
    ATTR_LARGE_COMMUNITIES: FLAG_OPTIONAL | FLAG_TRANSITIVE}

# Types of AS_PATH segments (RFC 4271, section 4.3; RFC 5065).
AS_SET = 1
AS_SEQUENCE = 2
AS_CONFED_SEQUENCE = 3
AS_CONFED_SET = 4

# Capability codes.
CAPABILITY_MULTIPROTOCOL = 1         # RFC 4760
CAPABILITY_ROUTE_REFRESH = 2         # RFC 2918
CAPABILITY_GRACEFUL_RESTART = 64     # RFC 4724
CAPABILITY_FOUR_OCTET_AS = 65        # RFC 6793


class ProtocolError(ThreadshiftError):
    """A message that ends its session, with the NOTIFICATION that says why."""

    help = "report the message to the peer's operators; a new session is started"

    def __init__(self, code: int, subcode: int, data: bytes = b"", text: str = ""):
        super().__init__(text or f"error {code}/{subcode}")
        self.code, self.subcode, self.data = code, subcode, data


class MessageHandler(Protocol):
    """Receives the messages that a `Reader` decodes."""

    def opened(self, asn: int, hold_time: int, router_id: int, capabilities: Capabilities) -> None: ...
    def kept_alive(self) -> None: ...
    def notified(self, code: int, subcode: int, data: bytes) -> None: ...
    def announced(self, prefixes: Sequence[Prefix], path: Path) -> None: ...
    def withdrawn(self, prefixes: Sequence[Prefix]) -> None: ...
    def end_of_rib(self, family: Family) -> None: ...
    def refresh_asked(self, family: Family) -> None: ...
    def noted(self, problem: str) -> None: ...


# Decoding.

class Reader:
    """Splits a byte stream into messages and passes each to the handler."""

    def __init__(self, handler: MessageHandler):
        self.handler, self.buffer = handler, bytearray()
        self.four_octet_as = False   # set once both sides have advertised the capability
        self.ended = False           # set by the handler; the rest of the stream is not read

    def feed(self, data: bytes) -> None:
        """Raises ProtocolError, after which the stream must not be read further."""
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= HEADER.size and not self.ended:
            marker, length, kind = HEADER.unpack_from(self.buffer, at)
            if marker != MARKER:
                raise ProtocolError(HEADER_ERROR, CONNECTION_NOT_SYNCHRONIZED, text="the marker is not all ones")
            if kind not in MIN_MESSAGE_SIZES:
                raise ProtocolError(HEADER_ERROR, BAD_MESSAGE_TYPE, bytes([kind]), f"unknown message type {kind}")
            if not MIN_MESSAGE_SIZES[kind] <= length <= MAX_MESSAGE_SIZE or (
                    kind == KEEPALIVE and length != HEADER.size):
                raise ProtocolError(HEADER_ERROR, BAD_MESSAGE_LENGTH, struct.pack(">H", length),
                                    f"message of type {kind} has the invalid length {length}")
            if len(self.buffer) - at < length:
                break
            body = bytes(self.buffer[at + HEADER.size:at + length])
            at += length
            self.message(kind, body)
        del self.buffer[:at]

    def message(self, kind: int, body: bytes) -> None:
        """Decodes one message."""
        if kind == OPEN:
            self.handler.opened(*read_open(body))
        elif kind == UPDATE:
            read_update(body, self.four_octet_as, self.handler)
        elif kind == NOTIFICATION:
            self.handler.notified(body[0], body[1], body[2:])
        elif kind == KEEPALIVE:
            self.handler.kept_alive()
        elif body[:2] in (b"\x00\x01", b"\x00\x02") and body[3] == SAFI_UNICAST and len(body) == 4:
            self.handler.refresh_asked(Family(body[1]))
        else:
            # RFC 7313: a refresh request for a family that was not advertised is ignored.
            self.handler.noted("ignored a route refresh for an unsupported address family")


def read_open(body: bytes) -> tuple[int, int, int, Capabilities]:
    """Returns AS number, hold time in seconds, router id and capabilities."""
    version, asn, hold_time, router_id, length = struct.unpack_from(">BHHIB", body)
    if version != VERSION:
        raise ProtocolError(OPEN_ERROR, UNSUPPORTED_VERSION, struct.pack(">H", VERSION),
                            f"BGP version {version} is not supported")
    if hold_time in (1, 2):
        raise ProtocolError(OPEN_ERROR, UNACCEPTABLE_HOLD_TIME, text=f"a hold time of {hold_time} s is not allowed")
    if router_id == 0:
        raise ProtocolError(OPEN_ERROR, BAD_BGP_IDENTIFIER, text="the router id is 0")
    parameters = body[10:]
    if length != len(parameters):
        raise ProtocolError(OPEN_ERROR, UNSPECIFIC, text="the length of the optional parameters is wrong")
    capabilities = Capabilities(families=frozenset())
    families: set[Family] = set()
    at = 0
    while at < len(parameters):
        if at + 2 > len(parameters) or at + 2 + parameters[at + 1] > len(parameters):
            raise ProtocolError(OPEN_ERROR, UNSPECIFIC, text="an optional parameter extends past the message")
        kind, value = parameters[at], parameters[at + 2:at + 2 + parameters[at + 1]]
        if kind != 2:
            raise ProtocolError(OPEN_ERROR, UNSUPPORTED_PARAMETER, text=f"unknown optional parameter {kind}")
        capabilities = read_capabilities(value, capabilities, families)
        at += 2 + len(value)
    if capabilities.four_octet_asn is not None:
        asn = capabilities.four_octet_asn
    if asn == 0:
        raise ProtocolError(OPEN_ERROR, BAD_PEER_AS, text="AS 0 is not allowed (RFC 7607)")
    # RFC 4760: a peer that lists no family supports IPv4 unicast.
    return asn, hold_time, router_id, replace(
        capabilities, families=frozenset(families) or frozenset({Family.IPV4}))


def read_capabilities(value: bytes, capabilities: Capabilities, families: set[Family]) -> Capabilities:
    """Adds the capabilities of one parameter; unknown ones are skipped (RFC 5492, section 3)."""
    at = 0
    while at < len(value):
        if at + 2 > len(value) or at + 2 + value[at + 1] > len(value):
            raise ProtocolError(OPEN_ERROR, UNSPECIFIC, text="a capability extends past its parameter")
        code, data = value[at], value[at + 2:at + 2 + value[at + 1]]
        at += 2 + len(data)
        if code == CAPABILITY_MULTIPROTOCOL and len(data) == 4 and data[3] == SAFI_UNICAST and (
                data[:2] in (b"\0\1", b"\0\2")):
            families.add(Family(data[1]))
        elif code == CAPABILITY_FOUR_OCTET_AS and len(data) == 4:
            capabilities = replace(capabilities, four_octet_asn=int.from_bytes(data, "big"))
        elif code == CAPABILITY_ROUTE_REFRESH:
            capabilities = replace(capabilities, route_refresh=True)
        elif code == CAPABILITY_GRACEFUL_RESTART and len(data) >= 2 and len(data) % 4 == 2:
            head = int.from_bytes(data[:2], "big")
            preserved = frozenset(
                Family(data[n + 1]) for n in range(2, len(data), 4)
                if data[n:n + 2] in (b"\0\1", b"\0\2") and data[n + 2] == SAFI_UNICAST and data[n + 3] & 0x80)
            capabilities = replace(capabilities, restart_time=head & 0xFFF, restarting=bool(head & 0x8000),
                                   forwarding_preserved=preserved)
    return capabilities


def read_prefixes(data: bytes, family: Family, error: ProtocolError) -> list[Prefix]:
    """Decodes the prefixes of one field. Raises `error` if they are malformed."""
    size, found, at = (32 if family is Family.IPV4 else 128), [], 0
    kind = ipaddress.IPv4Network if family is Family.IPV4 else ipaddress.IPv6Network
    while at < len(data):
        length = data[at]
        octets = (length + 7) // 8
        if length > size or at + 1 + octets > len(data):
            raise error
        number = int.from_bytes(data[at + 1:at + 1 + octets].ljust(size // 8, b"\0"), "big")
        number &= ~((1 << (size - length)) - 1)         # trailing bits are irrelevant (RFC 4271, section 4.3)
        found.append(kind((number, length)))
        at += 1 + octets
    return found


class TreatAsWithdraw(ThreadshiftError):
    """RFC 7606: the routes of the message are treated as withdrawn; the session continues."""

    help = "none here: RFC 7606 has such routes treated as withdrawn; report the attributes to the peer's operators"


class Attributes:
    """The path attributes of one UPDATE, with the error handling of RFC 7606."""

    def __init__(self, four_octet_as: bool, handler: MessageHandler):
        self.four_octet_as, self.handler = four_octet_as, handler
        self.values: dict[int, bytes] = {}
        self.problem = ""                # why the routes are treated as withdrawn; empty if they are not

    def read(self, data: bytes) -> None:
        """Reads all attributes of an UPDATE."""
        at = 0
        while at < len(data):
            # After a length that does not fit, the remaining attributes cannot be read, but the prefixes of the
            # other fields can (RFC 7606, section 3.j).
            if at + 3 > len(data):
                self.problem = self.problem or "an attribute extends past the message"
                return
            flags, code = data[at], data[at + 1]
            has_extended_length = bool(flags & FLAG_EXTENDED_LENGTH)
            head = 4 if has_extended_length else 3
            if at + head > len(data):
                self.problem = self.problem or "an attribute extends past the message"
                return
            length = int.from_bytes(data[at + 2:at + head], "big")
            value = data[at + head:at + head + length]
            if len(value) < length:
                self.problem = self.problem or f"attribute {code} extends past the message"
                return
            at += head + length
            self.add(flags, code, value)

    def add(self, flags: int, code: int, value: bytes) -> None:
        """Checks the flags of one attribute and stores its value."""
        if code in self.values:
            if code in (ATTR_MP_REACH_NLRI, ATTR_MP_UNREACH_NLRI):
                raise ProtocolError(UPDATE_ERROR, MALFORMED_ATTRIBUTE_LIST, text=f"attribute {code} occurs twice")
            self.handler.noted(f"attribute {code} occurs twice; only the first is used")
            return
        expected = ATTRIBUTE_FLAGS.get(code)
        if expected is None:
            if not flags & FLAG_OPTIONAL:
                raise ProtocolError(UPDATE_ERROR, UNRECOGNIZED_WELL_KNOWN_ATTRIBUTE, bytes([flags, code]),
                                    f"unknown well-known attribute {code}")
            return                                      # unknown optional attributes are ignored
        if flags & (FLAG_OPTIONAL | FLAG_TRANSITIVE) != expected:
            if code in (ATTR_ATOMIC_AGGREGATE, ATTR_AGGREGATOR, ATTR_AS4_AGGREGATOR, ATTR_AS4_PATH):
                self.handler.noted(f"discarded attribute {code} with wrong flags")
                return
            self.problem = self.problem or f"attribute {code} has wrong flags"
        self.values[code] = value

    def to_path(self, next_hop: NextHop | None) -> Path:
        """The path of the announced routes. Raises TreatAsWithdraw if an attribute is malformed or missing."""
        if self.problem:
            raise TreatAsWithdraw(self.problem)
        values = self.values
        if ATTR_ORIGIN not in values or ATTR_AS_PATH not in values:
            raise TreatAsWithdraw("ORIGIN or AS_PATH is missing")
        if len(values[ATTR_ORIGIN]) != 1 or values[ATTR_ORIGIN][0] > 2:
            raise TreatAsWithdraw("ORIGIN is malformed")
        sequence, sets = self.as_path(values[ATTR_AS_PATH], 4 if self.four_octet_as else 2)
        if not self.four_octet_as and ATTR_AS4_PATH in values:
            sequence = self.merge_as4_path(sequence, values[ATTR_AS4_PATH])
        if next_hop is None:
            value = values.get(ATTR_NEXT_HOP, b"")
            if len(value) != 4:
                raise TreatAsWithdraw("NEXT_HOP is missing or malformed")
            next_hop = ipaddress.IPv4Address(value)
        return Path(next_hop, sequence, Origin(values[ATTR_ORIGIN][0]),
                    self.integer(ATTR_MED), self.integer(ATTR_LOCAL_PREF),
                    tuple(value[0] for value in self.tuples(ATTR_COMMUNITIES, ">I")),
                    tuple((one, two, three) for one, two, three in self.tuples(ATTR_LARGE_COMMUNITIES, ">III")), sets)

    def integer(self, code: int) -> int | None:
        """The value of an attribute of four octets; None if it is absent."""
        value = self.values.get(code)
        if value is None:
            return None
        if len(value) != 4:
            raise TreatAsWithdraw(f"attribute {code} has the invalid length {len(value)}")
        return int.from_bytes(value, "big")

    def tuples(self, code: int, form: str) -> list[tuple]:
        """The values of a list attribute by the struct format of one element."""
        value = self.values.get(code)
        if value is None:
            return []
        if not value or len(value) % struct.calcsize(form):
            raise TreatAsWithdraw(f"attribute {code} has the invalid length {len(value)}")
        return list(struct.iter_unpack(form, value))

    @staticmethod
    def as_path(value: bytes, octets: int) -> tuple[tuple[int, ...], tuple[frozenset[int], ...]]:
        """The numbers of all AS_SEQUENCE segments, and the AS_SETs; each number has `octets` octets."""
        sequence: list[int] = []
        sets: list[frozenset[int]] = []
        at = 0
        while at < len(value):
            if at + 2 > len(value) or value[at] not in (AS_SET, AS_SEQUENCE) or value[at + 1] == 0:
                raise TreatAsWithdraw("AS_PATH is malformed")
            end = at + 2 + value[at + 1] * octets
            if end > len(value):
                raise TreatAsWithdraw("AS_PATH is malformed")
            numbers = [int.from_bytes(value[n:n + octets], "big") for n in range(at + 2, end, octets)]
            if value[at] == AS_SEQUENCE:
                sequence += numbers
            else:
                sets.append(frozenset(numbers))
            at = end
        return tuple(sequence), tuple(sets)

    def merge_as4_path(self, sequence: tuple[int, ...], value: bytes) -> tuple[int, ...]:
        """RFC 6793, section 4.2.3: the leading part of AS_PATH that AS4_PATH lacks, followed by AS4_PATH."""
        try:
            as4_sequence, _ = self.as_path(value, 4)
        except TreatAsWithdraw:
            self.handler.noted("discarded a malformed AS4_PATH")
            return sequence
        return sequence if len(as4_sequence) > len(sequence) else (
            sequence[:len(sequence) - len(as4_sequence)] + as4_sequence)


def read_update(body: bytes, four_octet_as: bool, handler: MessageHandler) -> None:
    """Decodes one UPDATE; the handler receives withdrawals before announcements."""
    bad_lengths = ProtocolError(UPDATE_ERROR, MALFORMED_ATTRIBUTE_LIST,
                                text="the lengths in an UPDATE are inconsistent")
    if len(body) < 4:
        raise bad_lengths
    withdrawn_length = int.from_bytes(body[:2], "big")
    if 4 + withdrawn_length > len(body):
        raise bad_lengths
    attributes_at = 4 + withdrawn_length
    attributes_length = int.from_bytes(body[2 + withdrawn_length:attributes_at], "big")
    if attributes_at + attributes_length > len(body):
        raise bad_lengths
    bad_network = ProtocolError(UPDATE_ERROR, INVALID_NETWORK_FIELD, text="a prefix is malformed")
    withdrawn = read_prefixes(body[2:2 + withdrawn_length], Family.IPV4, bad_network)
    announced = read_prefixes(body[attributes_at + attributes_length:], Family.IPV4, bad_network)
    attributes = Attributes(four_octet_as, handler)
    attributes.read(body[attributes_at:attributes_at + attributes_length])
    mp_reach, mp_unreach = (
        attributes.values.get(ATTR_MP_REACH_NLRI), attributes.values.get(ATTR_MP_UNREACH_NLRI))
    if not (body[4:] or withdrawn):
        handler.end_of_rib(Family.IPV4)
        return
    if mp_unreach is not None:
        if len(mp_unreach) < 3:
            raise ProtocolError(UPDATE_ERROR, OPTIONAL_ATTRIBUTE_ERROR, text="MP_UNREACH_NLRI is too short")
        if mp_unreach[:3] == b"\0\2\1":
            withdrawn_ipv6 = read_prefixes(mp_unreach[3:], Family.IPV6, bad_network)
            if not withdrawn_ipv6 and len(attributes.values) == 1 and not announced and not withdrawn:
                handler.end_of_rib(Family.IPV6)
                return
            withdrawn += withdrawn_ipv6
    if withdrawn:
        handler.withdrawn(withdrawn)
    announce(announced, None, attributes, handler)
    if mp_reach is not None:
        announced_ipv6, next_hop = read_mp_reach(mp_reach, bad_network)
        announce(announced_ipv6, next_hop, attributes, handler)


def read_mp_reach(value: bytes, bad_network: ProtocolError) -> tuple[list[Prefix], NextHop | None]:
    """Decodes MP_REACH_NLRI (RFC 4760, section 3) for IPv6 unicast; other families are ignored."""
    malformed = ProtocolError(UPDATE_ERROR, OPTIONAL_ATTRIBUTE_ERROR, text="MP_REACH_NLRI is malformed")
    if len(value) < 5 or 5 + value[3] > len(value):
        raise malformed
    if value[:3] != b"\0\2\1":
        return [], None
    hop = value[4:4 + value[3]]
    if len(hop) not in (16, 32):         # a second address is link-local, for peers on a common link (RFC 2545)
        raise malformed
    return read_prefixes(value[5 + value[3]:], Family.IPV6, bad_network), ipaddress.IPv6Address(hop[:16])


def announce(prefixes: list[Prefix], next_hop: NextHop | None, attributes: Attributes,
             handler: MessageHandler) -> None:
    """Passes announced prefixes to the handler, as withdrawn ones if RFC 7606 requires it."""
    if not prefixes:
        return
    try:
        path = attributes.to_path(next_hop)
    except TreatAsWithdraw as problem:
        handler.noted(f"{len(prefixes)} routes are treated as withdrawn: {problem}")
        handler.withdrawn(prefixes)
        return
    handler.announced(prefixes, path)


# Encoding.

def message(kind: int, body: bytes = b"") -> bytes:
    """A whole message with its header."""
    return HEADER.pack(MARKER, HEADER.size + len(body), kind) + body


def write_open(asn: int, hold_time: int, router_id: int, capabilities: Capabilities) -> bytes:
    """An OPEN; `hold_time` is in seconds."""
    encoded = b"".join(struct.pack(">BBHBB", CAPABILITY_MULTIPROTOCOL, 4, family, 0, SAFI_UNICAST)
                       for family in sorted(capabilities.families))
    if capabilities.route_refresh:
        encoded += struct.pack(">BB", CAPABILITY_ROUTE_REFRESH, 0)
    if capabilities.restart_time is not None:
        preserved = b"".join(struct.pack(">HBB", family, SAFI_UNICAST, 0x80)
                             for family in sorted(capabilities.forwarding_preserved))
        encoded += struct.pack(">BBH", CAPABILITY_GRACEFUL_RESTART, 2 + len(preserved),
                               capabilities.restarting << 15 | capabilities.restart_time) + preserved
    encoded += struct.pack(">BBI", CAPABILITY_FOUR_OCTET_AS, 4, asn)
    parameter = struct.pack(">BB", 2, len(encoded)) + encoded
    return message(OPEN, struct.pack(">BHHIB", VERSION, asn if asn < 65536 else AS_TRANS, hold_time, router_id,
                                     len(parameter)) + parameter)


def write_keepalive() -> bytes:
    return message(KEEPALIVE)


def write_notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    """A NOTIFICATION; its data is cut to what fits."""
    return message(NOTIFICATION, bytes([code, subcode]) + data[:MAX_MESSAGE_SIZE - 21])


def write_refresh(family: Family) -> bytes:
    """A ROUTE-REFRESH (RFC 2918)."""
    return message(ROUTE_REFRESH, struct.pack(">HBB", family, 0, SAFI_UNICAST))


def write_reason(text: str) -> bytes:
    """A shutdown communication (RFC 9003), cut to whole characters of UTF-8."""
    data = text.encode()[:MAX_REASON_SIZE].decode(errors="ignore").encode()
    return bytes([len(data)]) + data


def read_reason(data: bytes) -> str:
    """The text of a shutdown communication without control characters, for a log; empty if there is none."""
    if not data or data[0] > len(data) - 1:
        return ""
    return "".join(each if each.isprintable() else " " for each in data[1:1 + data[0]].decode(errors="replace"))


def attribute(code: int, value: bytes) -> bytes:
    """One path attribute with its header."""
    has_extended_length = len(value) > 255
    head = struct.pack(">BBH" if has_extended_length else ">BBB",
                       ATTRIBUTE_FLAGS[code] | FLAG_EXTENDED_LENGTH * has_extended_length, code, len(value))
    return head + value


def path_attributes(path: Path, four_octet_as: bool) -> bytes:
    """All attributes but MP_REACH_NLRI, in the order of their codes (RFC 4271, section 5)."""
    form = ">I" if four_octet_as else ">H"
    numbers = [number if four_octet_as or number < 65536 else AS_TRANS for number in path.as_path]
    segments = b"".join(
        struct.pack(">BB", AS_SEQUENCE, len(part)) + b"".join(struct.pack(form, each) for each in part)
        for part in (numbers[n:n + 255] for n in range(0, len(numbers), 255)))
    out = attribute(ATTR_ORIGIN, bytes([path.origin])) + attribute(ATTR_AS_PATH, segments)
    if path.next_hop.version == 4:
        out += attribute(ATTR_NEXT_HOP, path.next_hop.packed)
    if path.med is not None:
        out += attribute(ATTR_MED, struct.pack(">I", path.med))
    if path.local_pref is not None:
        out += attribute(ATTR_LOCAL_PREF, struct.pack(">I", path.local_pref))
    if path.communities:
        out += attribute(ATTR_COMMUNITIES, b"".join(struct.pack(">I", each) for each in path.communities))
    if not four_octet_as and any(each > 65535 for each in path.as_path):
        as4_path = struct.pack(">BB", AS_SEQUENCE, len(path.as_path[:255])) + b"".join(
            struct.pack(">I", each) for each in path.as_path[:255])
        out += attribute(ATTR_AS4_PATH, as4_path)
    if path.large_communities:
        out += attribute(ATTR_LARGE_COMMUNITIES,
                         b"".join(struct.pack(">III", *each) for each in path.large_communities))
    return out


def prefix_octets(prefix: Prefix) -> bytes:
    """A prefix as it is encoded in an UPDATE."""
    return bytes([prefix.prefixlen]) + prefix.network_address.packed[:(prefix.prefixlen + 7) // 8]


def portions(prefixes: Iterable[Prefix], room: int) -> list[bytes]:
    """Encodes prefixes into as few fields as possible, each of at most `room` octets."""
    found, part = [], bytearray()
    for prefix in prefixes:
        octets = prefix_octets(prefix)
        if part and len(part) + len(octets) > room:
            found.append(bytes(part))
            part.clear()
        part += octets
    return [*found, bytes(part)] if part else found


def write_routes(prefixes: Iterable[Prefix], path: Path, four_octet_as: bool) -> list[bytes]:
    """UPDATEs that announce prefixes of one family with the same path."""
    shared = path_attributes(path, four_octet_as)
    room = MAX_MESSAGE_SIZE - HEADER.size - 4 - len(shared)
    if path.next_hop.version == 4:
        return [message(UPDATE, b"\0\0" + struct.pack(">H", len(shared)) + shared + part)
                for part in portions(prefixes, room)]
    found = []
    hop = b"\0\2\1" + bytes([16]) + path.next_hop.packed + b"\0"
    for part in portions(prefixes, room - 4 - len(hop)):
        attributes = shared + attribute(ATTR_MP_REACH_NLRI, hop + part)
        found.append(message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes))
    return found


def write_withdrawals(prefixes: Sequence[Prefix]) -> list[bytes]:
    """UPDATEs that withdraw prefixes of both families."""
    room = MAX_MESSAGE_SIZE - HEADER.size - 4
    found = [message(UPDATE, struct.pack(">H", len(part)) + part + b"\0\0")
             for part in portions((each for each in prefixes if each.version == 4), room)]
    for part in portions((each for each in prefixes if each.version == 6), room - 7):
        attributes = attribute(ATTR_MP_UNREACH_NLRI, b"\0\2\1" + part)
        found.append(message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes))
    return found


def write_end_of_rib(family: Family) -> bytes:
    """The End-of-RIB marker (RFC 4724, section 2)."""
    if family is Family.IPV4:
        return message(UPDATE, b"\0\0\0\0")
    attributes = attribute(ATTR_MP_UNREACH_NLRI, b"\0\2\1")
    return message(UPDATE, b"\0\0" + struct.pack(">H", len(attributes)) + attributes)
