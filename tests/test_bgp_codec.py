"""The BGP codec: messages encoded and decoded, malformed messages, and the routes advertised to a peer."""
import ipaddress
import random
import struct
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift.bgp import codec
from threadshift.bgp.codec import ProtocolError, Reader
from threadshift.bgp.path import Capabilities, Family, Origin, Path
from threadshift.bgp.rib import AdjRibOut

FOUR, SIX = Family.IPV4, Family.IPV6
HOP4, HOP6 = ipaddress.ip_address("127.0.1.1"), ipaddress.ip_address("2001:db8::1")
NET4, NET6 = ipaddress.ip_network("192.0.2.1/32"), ipaddress.ip_network("2001:db8:7::/48")


class RecordingHandler:
    """A message handler that records its calls."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))


def read(data, four_octet_as=True):
    handler = RecordingHandler()
    reader = Reader(handler)
    reader.four_octet_as = four_octet_as
    reader.feed(data)
    return handler.calls


def update(attributes=b"", announced=b"", withdrawn=b""):
    return codec.message(codec.UPDATE, struct.pack(">H", len(withdrawn)) + withdrawn
                         + struct.pack(">H", len(attributes)) + attributes + announced)


ORIGIN = bytes([0x40, 1, 1, 0])
AS_PATH = bytes([0x40, 2, 6, 2, 1]) + struct.pack(">I", 65001)
HOP = bytes([0x40, 3, 4, 127, 0, 1, 1])
GOOD = ORIGIN + AS_PATH + HOP
NLRI = bytes([32, 192, 0, 2, 1])

U32 = st.integers(0, 2**32 - 1)
PATHS = st.builds(
    Path, st.sampled_from([HOP4, HOP6]), st.lists(st.integers(1, 2**32 - 1), max_size=300).map(tuple),
    st.sampled_from(list(Origin)), st.none() | U32, st.none() | U32, st.lists(U32, max_size=80).map(tuple),
    st.lists(st.tuples(U32, U32, U32), max_size=30).map(tuple))
NETS4 = st.tuples(U32, st.integers(0, 32)).map(lambda it: ipaddress.ip_network(it, strict=False))
NETS6 = st.tuples(st.integers(2**32, 2**128 - 1), st.integers(0, 128)).map(
    lambda it: ipaddress.ip_network((it[0], it[1]), strict=False))


class Routes(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(PATHS, st.lists(NETS4, min_size=1, max_size=400, unique=True),
           st.lists(NETS6, min_size=1, max_size=100, unique=True))
    def test_there_and_back_in_messages_of_4096_octets(self, path, four, six):
        prefixes = four if path.next_hop.version == 4 else six
        messages = codec.write_routes(prefixes, path, True)
        self.assertLessEqual(max(map(len, messages)), codec.MAX_MESSAGE_SIZE)
        calls = [call for data in messages for call in read(data)]
        self.assertEqual({name for name, *_ in calls}, {"announced"})
        self.assertEqual([prefix for _, found, _ in calls for prefix in found], prefixes)
        self.assertEqual({found for _, _, found in calls}, {path})

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(NETS4 | NETS6, min_size=1, max_size=600, unique=True))
    def test_withdrawals_there_and_back(self, prefixes):
        messages = codec.write_withdrawals(prefixes)
        self.assertLessEqual(max(map(len, messages)), codec.MAX_MESSAGE_SIZE)
        self.assertEqual({prefix for data in messages for _, found in read(data) for prefix in found}, set(prefixes))

    def test_five_hundred_addresses_fit_one_message(self):
        prefixes = [ipaddress.ip_network(f"10.0.{n // 250}.{n % 250}/32") for n in range(500)]
        self.assertEqual(len(codec.write_routes(prefixes, Path(HOP4, (65001,)), True)), 1)

    def test_four_octet_as_numbers_to_a_peer_without_the_capability(self):
        path = Path(HOP4, (65001, 4_200_000_001, 7))
        data = codec.write_routes([NET4], path, False)[0]
        self.assertEqual(read(data, False), [("announced", [NET4], path)])
        self.assertIn(struct.pack(">H", codec.AS_TRANS), data)

    def test_end_of_rib(self):
        for family in Family:
            self.assertEqual(read(codec.write_end_of_rib(family)), [("end_of_rib", family)])

    def test_only_differences_are_advertised(self):
        adj_rib_out = AdjRibOut([FOUR], True)
        good, worse = Path(HOP4, (1,), med=1), Path(HOP4, (1,), med=2)
        other = ipaddress.ip_network("192.0.2.2/32")
        routes = {NET4: good, other: good, NET6: Path(HOP6, (1,))}
        self.assertEqual(len(adj_rib_out.initial_update(routes)), 2)    # one UPDATE for both, End-of-RIB; no IPv6
        self.assertEqual(adj_rib_out.update(routes), [])
        calls = [call for data in adj_rib_out.update({NET4: worse}) for call in read(data)]
        self.assertEqual(calls, [("withdrawn", [other]), ("announced", [NET4], worse)])
        refreshed = [call for data in adj_rib_out.refresh(FOUR) for call in read(data)]
        self.assertEqual(refreshed, [("announced", [NET4], worse), ("end_of_rib", FOUR)])


class Opens(unittest.TestCase):
    def test_round_trip(self):
        for asn in (65001, 4_200_000_001):
            for can in (Capabilities(frozenset(Family), asn, True, 0), Capabilities(frozenset({SIX}), asn),
                        Capabilities(frozenset({FOUR}), asn, True, 120, True, frozenset({FOUR}))):
                self.assertEqual(read(codec.write_open(asn, 9, 7, can)), [("opened", asn, 9, 7, can)])

    def test_unknown_capabilities_are_skipped_and_errors_refused(self):
        def opened(version=4, asn=65001, hold=9, router=7, parameters=b"", length=None):
            return codec.message(codec.OPEN, struct.pack(">BHHIB", version, asn, hold, router,
                                                         len(parameters) if length is None else length) + parameters)
        plain = Capabilities(frozenset({FOUR}))
        self.assertEqual(read(opened()), [("opened", 65001, 9, 7, plain)])
        self.assertEqual(read(opened(parameters=bytes([2, 5, 99, 3, 1, 2, 3]))), [("opened", 65001, 9, 7, plain)])
        cases = ((opened(version=3), (2, 1), b"\0\4"), (opened(hold=1), (2, 6), b""), (opened(hold=2), (2, 6), b""),
                 (opened(router=0), (2, 3), b""), (opened(asn=0), (2, 2), b""), (opened(length=9), (2, 0), b""),
                 (opened(parameters=b"\2\7\1"), (2, 0), b""), (opened(parameters=b"\1\0"), (2, 4), b""),
                 (opened(parameters=b"\2\2\1\4"), (2, 0), b""))
        for data, codes, extra in cases:
            with self.assertRaises(ProtocolError) as caught:
                read(data)
            error = caught.exception
            self.assertEqual(((error.code, error.subcode), error.data), (codes, extra))


class Errors(unittest.TestCase):
    def test_headers(self):
        cases = ((b"\0" * 19, (1, 1)), (codec.MARKER + b"\0\x12\4", (1, 2)), (codec.MARKER + b"\x10\1\2", (1, 2)),
                 (codec.MARKER + b"\0\x14\4", (1, 2)), (codec.MARKER + b"\0\x13\x09", (1, 3)),
                 (codec.MARKER + b"\0\x13\1", (1, 2)))
        for data, codes in cases:
            with self.assertRaises(ProtocolError) as caught:
                read(data)
            self.assertEqual((caught.exception.code, caught.exception.subcode), codes)

    def test_updates_that_end_the_session(self):
        twice = bytes([0x80, 14, 5, 0, 2, 1, 0, 0])
        cases = ((codec.message(2, b"\0\x09\0\0"), (3, 1)), (codec.message(2, b"\0\0\0\x09"), (3, 1)),
                 (update(GOOD, b"\x21\1"), (3, 10)), (update(withdrawn=b"\x20\1"), (3, 10)),
                 (update(GOOD + twice * 2, NLRI), (3, 1)), (update(GOOD + bytes([0x40, 77, 0]), NLRI), (3, 2)),
                 (update(GOOD + bytes([0x80, 14, 2, 0, 2])), (3, 9)))
        for data, codes in cases:
            with self.assertRaises(ProtocolError) as caught:
                read(data)
            self.assertEqual((caught.exception.code, caught.exception.subcode), codes, data)

    def test_updates_whose_routes_are_treated_as_withdrawn(self):
        """RFC 7606: the session continues."""
        cases = {
            "no origin": AS_PATH + HOP, "no path": ORIGIN + HOP, "no next hop": ORIGIN + AS_PATH,
            "origin 3": bytes([0x40, 1, 1, 3]) + AS_PATH + HOP,
            "long origin": bytes([0x40, 1, 2, 0, 0]) + AS_PATH + HOP,
            "empty segment": ORIGIN + bytes([0x40, 2, 2, 2, 0]) + HOP,
            "segment too long": ORIGIN + bytes([0x40, 2, 3, 2, 1, 0]) + HOP,
            "unknown segment": ORIGIN + bytes([0x40, 2, 6, 9, 1, 0, 0, 0, 1]) + HOP,
            "short hop": ORIGIN + AS_PATH + bytes([0x40, 3, 3, 1, 2, 3]),
            "wrong flags": bytes([0xC0, 1, 1, 0]) + AS_PATH + HOP,
            "short med": GOOD + bytes([0x80, 4, 3, 0, 0, 1]), "odd communities": GOOD + bytes([0xC0, 8, 3, 0, 0, 1]),
            "no communities": GOOD + bytes([0xC0, 8, 0]), "odd large": GOOD + bytes([0xC0, 32, 4, 0, 0, 0, 1]),
            "past the end": GOOD + bytes([0x80, 4, 9, 0]), "half a head": GOOD + bytes([0x80]),
        }
        for name, attributes in cases.items():
            calls = read(update(attributes, NLRI))
            self.assertEqual([call[0] for call in calls], ["noted", "withdrawn"], name)

    def test_attributes_that_are_ignored(self):
        path = Path(HOP4, (65001,))
        for name, more in (("unknown", bytes([0xC0, 99, 2, 1, 2])), ("atomic with flags", bytes([0x80, 6, 0])),
                           ("second origin", bytes([0x40, 1, 1, 2]))):
            self.assertEqual([call for call in read(update(GOOD + more, NLRI)) if call[0] != "noted"],
                             [("announced", [NET4], path)], name)

    def test_a_reason_is_cut_at_whole_characters_and_cleaned(self):
        data = codec.write_reason("ž" * 200)
        self.assertEqual((data[0], codec.read_reason(data)), (254, "ž" * 127))
        self.assertEqual(codec.read_reason(b"\3a\nb"), "a b")
        self.assertEqual((codec.read_reason(b""), codec.read_reason(b"\x09ab")), ("", ""))

    def test_any_bytes_are_messages_or_a_protocol_error(self):
        """Damaged messages reach more code than random bytes. benchmarks/bgp.py runs a million."""
        fuzz(random.Random(1), 20_000)


def fuzz(chance, count):
    """Decodes damaged messages; returns how many were protocol errors. Other exceptions are faults of the codec."""
    can = Capabilities(frozenset(Family), 65001, True, 120, False, frozenset({FOUR}))
    seeds = [codec.write_open(65001, 9, 7, can), update(GOOD, NLRI), update(withdrawn=NLRI), codec.write_keepalive(),
             *codec.write_routes([NET6], Path(HOP6, (1, 2), med=3, communities=(1, 2),
                                             large_communities=((1, 2, 3),)), True),
             *codec.write_withdrawals([NET6]), codec.write_notification(6, 2, codec.write_reason("bye")),
             codec.write_refresh(SIX), codec.write_end_of_rib(SIX)]
    errors = 0
    for _ in range(count):
        data = bytearray(chance.choice(seeds))
        for _ in range(chance.randrange(1, 5)):
            at = chance.randrange(19 if chance.random() < 0.9 else 0, len(data)) if len(data) > 19 else 0
            kind = chance.randrange(3)
            if kind == 0 or len(data) < 21:
                data[at] = chance.randrange(256)
            elif kind == 1:
                del data[at]
            else:
                data.insert(at, chance.randrange(256))
        if chance.random() < 0.9 and len(data) >= 19:
            data[16:18] = struct.pack(">H", len(data))
        try:
            read(bytes(data), chance.random() < 0.5)
        except ProtocolError as error:
            assert 1 <= error.code <= 6
            errors += 1
    return errors


if __name__ == "__main__":
    unittest.main()
