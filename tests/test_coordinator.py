import json
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform import event, instance
from threadshift.coordinator.events import (
    LONGEST_LINE, EventParser, EventSequence, InvalidEvent, MissingEvents, ServerSentEvent, parse_update)
from threadshift.coordinator.stream import Response
from threadshift.interface import MS, WorkerState


class Streams(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.text("ab{\"é", min_size=1, max_size=20), max_size=6),
           st.lists(st.integers(1, 30), max_size=30), st.sampled_from((b"\n", b"\r\n")))
    def test_any_cut_of_the_stream_gives_the_same_events(self, texts, cuts, end):
        data = b"".join(b"id: %d\ndata: %s\n\n: alive\n\n".replace(b"\n", end) % (n, text.encode())
                        for n, text in enumerate(texts))
        it, got, at = EventParser(), [], 0
        for size in [*cuts, len(data)]:
            got += it.feed(data[at:at + size])
            at += size
        self.assertEqual(got, [ServerSentEvent(str(n), text) for n, text in enumerate(texts)])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_events_or_nothing(self, data):
        for each in EventParser().feed(b"data:" + data + b"\n\n"):
            try:
                EventSequence().accept(each.id, each.data)
            except (InvalidEvent, MissingEvents) as problem:
                self.assertTrue(str(problem))

    def test_a_large_event_in_small_reads_is_not_looked_through_at_each(self):
        parser, size, piece = EventParser(), 3 << 20, 512
        data, since = b"data: " + b"x" * size, time.process_time()
        for at in range(0, len(data), piece):
            self.assertEqual(parser.feed(data[at:at + piece]), [])
        [event] = parser.feed(b"\n\n")
        self.assertEqual(len(event.data), size)
        self.assertLess(time.process_time() - since, 0.5)       # 20 s where each read copies all before it

    def test_a_line_without_end_is_refused(self):
        parser = EventParser()
        with self.assertRaises(InvalidEvent):
            for _ in range(LONGEST_LINE // 1_000 + 1):
                parser.feed(b"x" * 1_000)
        self.assertLessEqual(parser.size, LONGEST_LINE + 1_000)

    def test_an_event_that_ends_in_the_middle_is_none(self):
        self.assertEqual(EventParser().feed(b"id: 1\ndata: {}\n"), [])

    def test_a_response_that_is_none_is_named(self):
        for data in (b"HTTP/1.1 503 No\r\n\r\n", b"\x00\x01", b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000):
            with self.assertRaises(OSError):
                Response().feed(data)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        self.assertEqual(Response().feed(chunked), b"abc")


class Words(unittest.TestCase):
    def test_an_event_as_entries(self):
        told = parse_update(event(4, instance("s-1", "127.0.0.1:9", "Terminating", cell=2, weight=4, startedAtMs=7,
                                              colour="red"), full=True))
        it = told.workers.entries[0]
        self.assertEqual((told.number, told.workers.full, it.worker, it.state, it.cell, it.size, it.started),
                         (4, True, "s-1", WorkerState.DRAINING, 2, 4.0, 7 * MS))

    def test_nonsense_is_named(self):
        for told in (None, [], {}, {"endpoints": {}}, {"endpoints": {"instances": 1}}, {
                "index": "x", "endpoints": {"instances": []}}):
            with self.assertRaises(InvalidEvent, msg=told):
                parse_update(told)

    def test_an_entry_that_makes_no_sense_is_named_and_costs_that_entry_only(self):
        good = instance("s-2", "127.0.0.1:9")
        bad = [1, *(instance("s-1", "127.0.0.1:9", **facts) for facts in (
            {"lifecycle": "Dancing"}, {"lifecycle": ["Ready"]}, {"hostPort": "nowhere"}, {"instanceId": ""},
            {"weight": "big"}, {"weight": float("nan")}, {"weight": -1}, {"startedAtMs": 1e300}, {"cell": True},
            {"instanceId": "a\nb"}, {"instanceId": 7}, {"instanceId": "x" * 300}))]
        for each in bad:
            told = parse_update(event(1, each, good))
            self.assertEqual([it.worker for it in told.workers.entries], ["s-2"], msg=each)
            self.assertEqual(len(told.problems), 1, msg=each)
            self.assertEqual(told.workers.ending, {})

    def test_that_a_worker_drains_or_is_gone_is_read_from_an_entry_that_is_bad_otherwise(self):
        for state, read in (("Terminating", WorkerState.DRAINING), ("Gone", WorkerState.GONE)):
            for facts in ({"weight": "big"}, {"hostPort": None}, {"startedAtMs": -1}, {"cell": []}):
                told = parse_update(event(1, instance("s-1", "127.0.0.1:9", state, **facts)))
                self.assertEqual((told.workers.ending, len(told.problems)), ({"s-1": read}, 1), msg=facts)

    def test_names_zones_and_absent_fields_that_other_customers_may_have(self):
        for worker in ("model-workers/7", "ip_10_0_0_1:8044", "Büro 3", "a", "[zone=x],7"):
            entry = parse_update(event(1, instance(
                worker, "127.0.0.1:9", zone=None, cell=None, weight=None, startedAtMs=None))).workers.entries[0]
            self.assertEqual((entry.worker, entry.zone, entry.cell, entry.size, entry.started),
                             (worker, "", 0, 1.0, 0))
        entry = parse_update(event(1, instance("a", "127.0.0.1:9", weight=0, zone="Halle 7/ß"))).workers.entries[0]
        self.assertEqual((entry.size, entry.zone), (1.0, "Halle 7/ß"))

    def test_each_number_counts_once(self):
        it, told = EventSequence(), json.dumps(event(5, instance("s-1", "127.0.0.1:9"), full=True))
        self.assertEqual(it.accept("5", told).number, 5)
        self.assertIsNone(it.accept("5", told))
        self.assertIsNone(it.accept("4", told))
        with self.assertRaises(InvalidEvent):
            it.accept("6", "{")
        self.assertEqual(it.last, 6)        # asked for again it would make no more sense
        self.assertEqual(it.accept("", event(7)).number, 7)
        self.assertIsNone(it.accept("", event(7)))
