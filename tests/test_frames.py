import unittest
from types import SimpleNamespace as Of

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift.frames import pool
from threadshift.frames.codec import (
    ERROR, FROM_WORKER, HEADER, HEALTHY, OK, FrameDecoder, ProtocolError, encode, parse_fields)
from threadshift.interface import SECOND

ID = bytes(range(8))


class Codec(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.binary(max_size=60), max_size=8), st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_of_the_stream_gives_the_same_answers(self, bodies, cuts):
        data = b"".join(encode(OK, ID, "how=reused,same=2", body, FROM_WORKER) for body in bodies)
        it, got, at = FrameDecoder(1 << 16), [], 0
        for size in [*cuts, len(data)]:
            got += it.feed(data[at:at + size])
            at += size
        self.assertEqual([answer.body for answer in got], bodies)
        self.assertTrue(all(answer.fields == {"how": "reused", "same": "2"} for answer in got))
        self.assertFalse(it.is_mid_frame)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.binary(max_size=120), st.sampled_from((OK, ERROR, HEALTHY, 10, 255)))
    def test_any_bytes_are_answers_or_refused(self, data, code):
        for stream in (data, bytes((FROM_WORKER, code)) + data, encode(code, ID, "", data, FROM_WORKER)[:-1] + data):
            try:
                FrameDecoder(1 << 10).feed(stream)
            except ProtocolError as problem:
                self.assertTrue(str(problem))

    def test_invalid_input_is_named_and_frames_before_it_are_kept(self):
        good = encode(OK, ID, "", b"good", FROM_WORKER)
        cases = (
            (encode(OK, ID), "mark 1"), (encode(10, ID, sender=FROM_WORKER), "code 10"),
            (HEADER.pack(FROM_WORKER, OK, 0, 3 << 30, ID), "over the bound"), (good[:-1] + b"?", "check"),
            (encode(OK, ID, "how", sender=FROM_WORKER), "is not a field"),
            (encode(OK, ID, "a=1,a=2", sender=FROM_WORKER), "appears twice"),
            (encode(OK, ID, ",".join(["a=1"] * 70), sender=FROM_WORKER), "70 fields"))
        for data, text in cases:
            with self.assertRaises(ProtocolError) as caught:
                FrameDecoder(1 << 10).feed(good + data)
            self.assertIn(text, str(caught.exception))
            self.assertEqual([each.body for each in caught.exception.before], [b"good"])

    def test_fields(self):
        self.assertEqual(parse_fields(b"stats=inflight:7;util:0.61,how=init"),
                         {"stats": "inflight:7;util:0.61", "how": "init"})
        self.assertEqual(parse_fields(b""), {})
        with self.assertRaises(ProtocolError):
            parse_fields(b"\xff=1")


def connection(in_flight=0, has_answered=True, suspected=False, used_ids=()):
    return Of(in_flight=dict.fromkeys(range(in_flight)), has_answered=has_answered, suspected=suspected,
              used_ids=dict.fromkeys(used_ids))


class Pool(unittest.TestCase):
    def test_least_busy_connection_carries_the_next_send_and_one_that_has_answered_first(self):
        new, proven, busy = connection(has_answered=False), connection(), connection(2)
        self.assertIs(pool.choose_connection([busy, new, proven], ID, 32), proven)
        self.assertIs(pool.choose_connection([busy, new], ID, 32), new)
        self.assertIsNone(pool.choose_connection([busy], ID, 2))
        self.assertIsNone(pool.choose_connection([connection(suspected=True)], ID, 32))

    def test_id_is_sent_on_a_connection_once(self):
        # A duplicate of a 'miss' answer would otherwise be taken for the answer to the next send with this id.
        other = connection(3)
        self.assertIs(pool.choose_connection([connection(used_ids=[ID]), other], ID, 32), other)
        self.assertIsNone(pool.choose_connection([connection(used_ids=[ID])], ID, 32))

    def test_another_connection_is_dialled_when_each_reaches_the_threshold(self):
        # Requests one after another need no second connection. With many front ends, a third of all connections were
        # dialled for nothing else.
        for connections, dialling, wanted in (([connection(1)], 0, False), ([connection(2)], 0, True),
                                              ([connection(2)], 1, False), ([connection(2), connection(1)], 0, False),
                                              ([connection(2)] * 4, 0, False),
                                              ([connection(suspected=True)], 0, True)):
            self.assertEqual(pool.should_dial(connections, dialling, 4, pool.choose_dial_threshold(200)), wanted)
        # With few front ends another is dialled as soon as none is free, so that a break ends one send.
        for connections, wanted in (([connection(1)], True), ([connection(1), connection()], False)):
            self.assertEqual(pool.should_dial(connections, False, 4, pool.choose_dial_threshold(3)), wanted)

    def test_connection_silent_since_a_send_is_suspected(self):
        self.assertTrue(pool.is_suspected(last_received_at=4, sent_at=5))
        self.assertFalse(pool.is_suspected(last_received_at=6, sent_at=5))

    def test_idle_connection_is_not_used_shortly_before_the_worker_closes_it(self):
        self.assertFalse(pool.is_idle_timeout_near(28 * SECOND, 0, 30 * SECOND))
        self.assertTrue(pool.is_idle_timeout_near(30 * SECOND, 0, 30 * SECOND))

    def test_connections_to_workers_leave_descriptors_for_clients(self):
        for sockets, workers in ((256, 12), (256, 200), (1024, 12), (64, 1)):
            each = pool.connections_per_worker(sockets, workers)
            self.assertGreaterEqual(each, 1)
            self.assertLessEqual(each * workers, max(workers, sockets // 4))
