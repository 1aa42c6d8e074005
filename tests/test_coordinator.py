import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform import event, instance
from threadshift.coordinator.events import Event, Numbers, Stream, Unbelievable, word
from threadshift.coordinator.stream import Response
from threadshift.interface import MS, State


class Streams(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.text("ab{\"é", min_size=1, max_size=20), max_size=6),
           st.lists(st.integers(1, 30), max_size=30), st.sampled_from((b"\n", b"\r\n")))
    def test_any_cut_of_the_stream_gives_the_same_events(self, texts, cuts, end):
        data = b"".join(b"id: %d\ndata: %s\n\n: alive\n\n".replace(b"\n", end) % (n, text.encode())
                        for n, text in enumerate(texts))
        it, got, at = Stream(), [], 0
        for size in [*cuts, len(data)]:
            got += it.feed(data[at:at + size])
            at += size
        self.assertEqual(got, [Event(str(n), text) for n, text in enumerate(texts)])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_events_or_nothing(self, data):
        for each in Stream().feed(b"data:" + data + b"\n\n"):
            try:
                Numbers().hear(each.id, each.data)
            except Unbelievable as problem:
                self.assertTrue(str(problem))

    def test_an_event_that_ends_in_the_middle_is_none(self):
        self.assertEqual(Stream().feed(b"id: 1\ndata: {}\n"), [])

    def test_a_response_that_is_none_is_named(self):
        for data in (b"HTTP/1.1 503 No\r\n\r\n", b"\x00\x01", b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000):
            with self.assertRaises(OSError):
                Response().feed(data)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        self.assertEqual(Response().feed(chunked), b"abc")


class Words(unittest.TestCase):
    def test_an_event_as_entries(self):
        told = word(event(4, instance("s-1", "127.0.0.1:9", "Terminating", cell=2, weight=4, startedAtMs=7,
                                      colour="red"), full=True))
        it = told.entries[0]
        self.assertEqual((told.number, told.full, it.worker, it.state, it.cell, it.size, it.started),
                         (4, True, "s-1", State.DRAINING, 2, 4.0, 7 * MS))

    def test_nonsense_is_named(self):
        cases = [None, [], {}, {"endpoints": {}}, {"endpoints": {"instances": [1]}}, {
            "index": "x", "endpoints": {"instances": []}}]
        cases += [event(1, instance("s-1", "127.0.0.1:9", **facts)) for facts in (
            {"lifecycle": "Dancing"}, {"lifecycle": ["Ready"]}, {"hostPort": "nowhere"}, {"instanceId": ""},
            {"weight": "big"}, {"weight": float("nan")}, {"weight": -1}, {"startedAtMs": 1e300}, {"cell": True})]
        for told in cases:
            with self.assertRaises(Unbelievable, msg=told):
                word(told)

    def test_each_number_counts_once(self):
        it, told = Numbers(), json.dumps(event(5, instance("s-1", "127.0.0.1:9")))
        self.assertEqual(it.hear("5", told).number, 5)
        self.assertIsNone(it.hear("5", told))
        self.assertIsNone(it.hear("4", told))
        with self.assertRaises(Unbelievable):
            it.hear("6", "{")
        self.assertEqual(it.last, 6)        # asked for again it would make no more sense
        self.assertEqual(it.hear("", event(7)).number, 7)
        self.assertIsNone(it.hear("", event(7)))
