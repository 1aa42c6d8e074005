import json
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform import event, instance
from threadshift.coordinator.events import (
    MAX_EVENT_SIZE, EventParser, EventSequence, InvalidEvent, MissingEvents, ServerSentEvent, parse_update)
from threadshift.coordinator.stream import Response
from threadshift.interface import MS, WorkerState


class EventStreams(unittest.TestCase):
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

    def test_large_event_in_small_reads_is_not_scanned_at_each_read(self):
        parser, size, piece = EventParser(), 3 << 20, 512
        data, since = b"data: " + b"x" * size, time.process_time()
        for at in range(0, len(data), piece):
            self.assertEqual(parser.feed(data[at:at + piece]), [])
        [event] = parser.feed(b"\n\n")
        self.assertEqual(len(event.data), size)
        self.assertLess(time.process_time() - since, 0.5)       # 20 s if each read copies everything before it

    def test_a_line_without_end_is_refused(self):
        parser = EventParser()
        with self.assertRaises(InvalidEvent):
            for _ in range(MAX_EVENT_SIZE // 1_000 + 1):
                parser.feed(b"x" * 1_000)
        self.assertLessEqual(parser.size, MAX_EVENT_SIZE + 1_000)

    def test_incomplete_event_is_dropped(self):
        self.assertEqual(EventParser().feed(b"id: 1\ndata: {}\n"), [])

    def test_invalid_response_is_named(self):
        for data in (b"HTTP/1.1 503 No\r\n\r\n", b"\x00\x01", b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000):
            with self.assertRaises(OSError):
                Response().feed(data)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        self.assertEqual(Response().feed(chunked), b"abc")


class WorkerLists(unittest.TestCase):
    def test_an_event_as_entries(self):
        update = parse_update(event(4, instance("s-1", "127.0.0.1:9", "Terminating", cell=2, weight=4, startedAtMs=7,
                                                colour="red"), full=True))
        it = update.workers.entries[0]
        self.assertEqual((update.number, update.workers.full, it.worker, it.state, it.cell, it.size, it.started),
                         (4, True, "s-1", WorkerState.DRAINING, 2, 4.0, 7 * MS))

    def test_invalid_event_is_named(self):
        for invalid in (None, [], {}, {"endpoints": {}}, {"endpoints": {"instances": 1}}, {
                "index": "x", "endpoints": {"instances": []}}):
            with self.assertRaises(InvalidEvent, msg=invalid):
                parse_update(invalid)

    def test_invalid_entry_is_named_and_affects_no_other_entry(self):
        good = instance("s-2", "127.0.0.1:9")
        bad = [1, *(instance("s-1", "127.0.0.1:9", **facts) for facts in (
            {"lifecycle": "Dancing"}, {"lifecycle": ["Ready"]}, {"hostPort": "nowhere"}, {"instanceId": ""},
            {"weight": "big"}, {"weight": float("nan")}, {"weight": -1}, {"startedAtMs": 1e300}, {"cell": True},
            {"instanceId": "a\nb"}, {"instanceId": 7}, {"instanceId": "x" * 300}))]
        for each in bad:
            update = parse_update(event(1, each, good))
            self.assertEqual([it.worker for it in update.workers.entries], ["s-2"], msg=each)
            self.assertEqual(len(update.problems), 1, msg=each)
            self.assertEqual(update.workers.ending, {})

    def test_drain_or_removal_is_read_from_an_otherwise_invalid_entry(self):
        for state, read in (("Terminating", WorkerState.DRAINING), ("Gone", WorkerState.GONE)):
            for facts in ({"weight": "big"}, {"hostPort": None}, {"startedAtMs": -1}, {"cell": []}):
                update = parse_update(event(1, instance("s-1", "127.0.0.1:9", state, **facts)))
                self.assertEqual((update.workers.ending, len(update.problems)), ({"s-1": read}, 1), msg=facts)

    def test_unusual_names_zones_and_absent_fields_are_accepted(self):
        for worker in ("model-workers/7", "ip_10_0_0_1:8044", "Büro 3", "a", "[zone=x],7"):
            entry = parse_update(event(1, instance(
                worker, "127.0.0.1:9", zone=None, cell=None, weight=None, startedAtMs=None))).workers.entries[0]
            self.assertEqual((entry.worker, entry.zone, entry.cell, entry.size, entry.started),
                             (worker, "", 0, 1.0, 0))
        entry = parse_update(event(1, instance("a", "127.0.0.1:9", weight=0, zone="Halle 7/ß"))).workers.entries[0]
        self.assertEqual((entry.size, entry.zone), (1.0, "Halle 7/ß"))

    def test_each_number_counts_once(self):
        it, data = EventSequence(), json.dumps(event(5, instance("s-1", "127.0.0.1:9"), full=True))
        self.assertEqual(it.accept("5", data).number, 5)
        self.assertIsNone(it.accept("5", data))
        self.assertIsNone(it.accept("4", data))
        with self.assertRaises(InvalidEvent):
            it.accept("6", "{")
        self.assertEqual(it.last, 6)        # a repeat of the event would be no more valid
        self.assertEqual(it.accept("", event(7)).number, 7)
        self.assertIsNone(it.accept("", event(7)))
