import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import TYPES
from tests.platform import begin, params, request
from threadshift.engine.engine import Answer, FinalKind
from threadshift.fastcgi import codec, connection_eviction, requests
from threadshift.fastcgi.codec import BEGIN, PARAMS, STDIN, ProtocolError, Records, pair, pairs, record, stream
from threadshift.fastcgi.requests import InvalidRequest
from threadshift.interface import MS, SECOND

NAMES = {each.name: each for each in TYPES}
GOOD = {b"SCRIPT_NAME": "/ops/repeatable", b"HTTP_X_JOB_ID": "9b1f03aa5c7e2d41", b"HTTP_X_ALLOW_MS": "1500",
        b"HTTP_X_ITEM": "7f3a9c21e0b4d655"}


class Codec(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(1, 40), st.integers(0, 65535), st.binary(max_size=40)), max_size=8),
           st.lists(st.integers(1, 30), max_size=30), st.integers(0, 255))
    def test_any_cut_of_the_stream_gives_the_same_records(self, told, cuts, padding):
        data = b"".join(codec.HEADER.pack(1, kind, id_, len(content), padding) + content + bytes(padding)
                        for kind, id_, content in told)
        it, got, at = Records(), [], 0
        for size in [*cuts, len(data)]:
            got += it.feed(data[at:at + size])
            at += size
        self.assertEqual(got, told)
        self.assertFalse(it.torn)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_records_and_pairs_or_refused(self, data):
        for read in (lambda: list(Records().feed(data)), lambda: list(Records().feed(b"\x01" + data)),
                     lambda: pairs(data), lambda: codec.begin(data), lambda: codec.values(data, 1, 1)):
            try:
                read()
            except ProtocolError as problem:
                self.assertTrue(str(problem))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.binary(max_size=200), st.binary(max_size=300)), max_size=8))
    def test_pairs_there_and_back_in_both_length_forms(self, told):
        self.assertEqual(pairs(b"".join(pair(name, value) for name, value in told)), told)
        long = b"".join(codec.LONG_LENGTH.pack(len(name) | 1 << 31) + codec.LONG_LENGTH.pack(len(value) | 1 << 31)
                        + name + value for name, value in told)
        self.assertEqual(pairs(long), told)

    def test_an_answer_longer_than_a_record_takes_several_records(self):
        body = bytes(range(256)) * 600
        got = list(Records().feed(codec.response(7, body)))
        self.assertEqual(b"".join(content for kind, _, content in got if kind == codec.STDOUT), body)
        self.assertEqual([kind for kind, _, content in got if not content], [codec.STDOUT])
        self.assertEqual(got[-1][0], codec.END)

    def test_each_known_value_is_answered_once_and_no_other(self):
        query = pair(b"FCGI_MAX_REQS", b"") * 2 + pair(b"OTHER", b"")
        self.assertEqual(pairs(codec.values(query, 9, 32)[8:]), [(b"FCGI_MAX_REQS", b"32")])


class Parsing(unittest.TestCase):
    def test_a_request_becomes_a_call(self):
        parameters = GOOD | {b"HTTP_X_AGAIN": "1", b"HTTP_X_SIZE_MS": "8.2", b"CONTENT_LENGTH": "2",
                             b"HTTP_X_SPEC": "memory_mb:512;lanes:2;load_ms:300.5"}
        id_, call = requests.parse_request(parameters, b"hi", NAMES)
        self.assertEqual((id_, call.type, call.function, call.body), (GOOD[b"HTTP_X_JOB_ID"], "repeatable",
                                                                      GOOD[b"HTTP_X_ITEM"], b"hi"))
        self.assertEqual((call.left, call.work, call.lanes, call.load_time, call.again),
                         (1500 * MS, 8_200_000, 2, 300_500_000, True))
        self.assertEqual(requests.parse_request(GOOD, b"", NAMES).call.lanes, 1)

    def test_a_tenant_s_name_of_any_length_is_not_held_for_long(self):
        """Guards against names of unknown tenants, as long as all parameters, that each pending request holds."""
        for name, tenant in (("t" * 256, "t" * 256), ("t" * 257, "")):
            self.assertEqual(requests.parse_request(GOOD | {b"HTTP_X_TEAM": name}, b"", NAMES).call.tenant, tenant)

    def test_invalid_parameters_are_refused(self):
        cases = [(name, None) for name in GOOD] + [
            (b"SCRIPT_NAME", "/ops/dance"), (b"SCRIPT_NAME", "repeatable"), (b"SCRIPT_NAME", "/ops/"),
            (b"HTTP_X_JOB_ID", "9b1f"), (b"HTTP_X_JOB_ID", "9B1F03AA5C7E2D41"), (b"HTTP_X_JOB_ID", "g" * 16),
            (b"HTTP_X_JOB_ID", "9b1f03aa5c7e2d41\n"), (b"HTTP_X_ITEM", ""), (b"HTTP_X_ITEM", "a,b=c"),
            (b"HTTP_X_AGAIN", "yes"), (b"CONTENT_LENGTH", "-1"), (b"CONTENT_LENGTH", "3"),
            (b"CONTENT_LENGTH", "9" * 4000), (b"CONTENT_LENGTH", "\u00b2"), (b"HTTP_X_SPEC", "lanes"),
            (b"HTTP_X_SPEC", "lanes:0"), (b"HTTP_X_SPEC", "lanes:1.5"), (b"HTTP_X_SPEC", "lanes:9999999"),
            (b"HTTP_X_SPEC", "lanes:1;lanes:2"), (b"HTTP_X_SPEC", "memory_mb:-3"), (b"HTTP_X_SPEC", ";" * 99),
            (b"HTTP_X_SPEC", "memory_mb:inf"), (b"HTTP_X_SIZE_MS", "1e9"), (b"HTTP_X_SIZE_MS", "-1"),
            (b"HTTP_X_SIZE_MS", "99999999999")]
        cases += [(b"HTTP_X_ALLOW_MS", text) for text in (
            "0", "-5", "nan", "inf", "1e300", "abc", "", "5001", "9" * 400, "1500 ", "0x10", "\u0661")]
        for name, value in cases:
            parameters = {each: text for each, text in (GOOD | {name: value}).items() if text is not None}
            with self.assertRaises(InvalidRequest, msg=(name, value)) as caught:
                requests.parse_request(parameters, b"hi", NAMES)
            self.assertIn(caught.exception.status, (400, 404))

    def test_a_used_parameter_may_not_be_repeated(self):
        with self.assertRaises(InvalidRequest):
            requests.parse_parameters(pair(b"HTTP_X_ITEM", b"a") * 2)
        self.assertEqual(requests.parse_parameters(pair(b"A", b"") * 2 + pair(b"HTTP_X_ITEM", b"\xff")),
                         {b"HTTP_X_ITEM": "\xff"})

    def test_responses_that_carry_final_answers(self):
        self.assertEqual(requests.final_response(Answer(FinalKind.COMPLETED, "completed", b"\x00b"))[-3:], b"\n\x00b")
        self.assertIn(b"Status: 503",
                      requests.final_response(Answer(FinalKind.REJECTED, "no-room", retry_after=250 * MS)))
        self.assertIn(
            b"X-Wait-Ms: 250\r\n",
                      requests.final_response(Answer(FinalKind.REJECTED, "no-room", retry_after=250 * MS)))
        self.assertNotIn(b"X-Wait-Ms", requests.final_response(Answer(FinalKind.REJECTED, "no-room")))
        self.assertIn(b"Status: 502", requests.final_response(Answer(FinalKind.ABORTED, "time-up")))

    def test_helpers_of_the_tests_encode_what_the_codec_decodes(self):
        kinds = [kind for kind, _, _ in Records().feed(request())]
        self.assertEqual(kinds, [BEGIN, PARAMS, PARAMS, STDIN, STDIN])
        self.assertEqual(list(Records().feed(begin() + params(1, {}) + stream(STDIN, 1, b"")))[1:],
                         [(PARAMS, 1, b""), (STDIN, 1, b"")])
        self.assertEqual(record(STDIN, 1), stream(STDIN, 1, b""))


class ConnectionEviction(unittest.TestCase):
    class Connection:
        def __init__(self, accepted=0, active=0, offences=0, answered=False, busy=False):
            self.accepted, self.active, self.offences = accepted, active, offences
            self.answered, self.busy = answered, busy

    def test_silent_connections_and_offenders_are_closed_first(self):
        now = 10 * SECOND
        older = self.Connection(answered=True, active=now - 2 * SECOND)
        silent = self.Connection(active=now - 30 * MS)
        offender = self.Connection(answered=True, offences=1, active=now - 40 * MS)
        recent = self.Connection(answered=True, active=now - SECOND // 2)
        connections = [recent, older, silent, offender, self.Connection(busy=True), self.Connection(active=now)]
        self.assertEqual(connection_eviction.candidates(connections, now), [offender, silent, older, recent])

    def test_a_connection_without_an_answer_is_closed_within_three_seconds(self):
        for connection in (self.Connection(active=2 * SECOND),
                           self.Connection(active=2 * SECOND, answered=True, offences=1)):
            self.assertGreater(connection_eviction.remaining_idle_time(connection, SECOND), 0)
            self.assertLessEqual(connection_eviction.remaining_idle_time(connection, 2 * SECOND), 0)
        self.assertGreater(connection_eviction.remaining_idle_time(
            self.Connection(answered=True, active=2 * SECOND), 7 * SECOND), 0)

    def test_read_pauses_grow_to_a_limit(self):
        pauses = [connection_eviction.read_pause(n) for n in range(40)]
        self.assertEqual(pauses[0], 0)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], connection_eviction.MAX_READ_PAUSE)
