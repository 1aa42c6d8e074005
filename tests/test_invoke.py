"""The invoke API over HTTP: requests, malformed input, deferred calls and admission control."""
import json
import re
import time
import unittest
from contextlib import closing
from unittest import mock

import gevent
from gevent import socket

from tests.live import Live, block_process, until
from threadshift.engine.engine import Answer, FinalKind
from threadshift.interface import MS, SECOND
from threadshift.invoke.admission import READING_INTERVAL, Admission
from threadshift.invoke.deferred import ANSWER_OVERHEAD, InMemoryStore
from threadshift.invoke.http import Connection, TimeoutMonitor

POST = "POST /v1/functions/f/calls HTTP/1.1\r\nHost: x\r\n"


def request(body=b"x", **headers):
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"{POST}{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


def statuses(data):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", data)]


class Requests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.live = Live(bounds="headers 2K\nbody 10K\nrequest 300ms\nidle 300ms\nlongest-wait 300ms\npipeline 10\n")
        cls.live.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.live.__exit__()

    def test_bodies_pass_unchanged(self):
        for body in (b"", b"\x00\xff" * 700, b"a" * 10_000):
            reply = self.live.call("echo", body)
            self.assertEqual((reply.status, reply.body, reply.headers["final"]), (200, body, "completed"))

    def test_bad_requests_name_the_field(self):
        cases = (
            (dict(time_left="soon"), 400, "Time-Left"), (dict(time_left="0"), 400, "Time-Left"),
            (dict(work_hint="-3"), 400, "Work-Hint"), (dict(repetition="yes"), 400, "Repetition"),
            (dict(prefer="respond-async, wait=x"), 400, "Prefer"),
            (dict(idempotency_key='"two words"'), 400, "Idempotency-Key"),
        )
        for headers, status, field in cases:
            reply = self.live.call("f", **headers)
            self.assertEqual((reply.status, json.loads(reply.body)["field"]), (status, field))
            self.assertNotIn("final", reply.headers)
        self.assertEqual(self.live.call("%20bad").status, 400)
        for method, path, status in (("GET", "/v1/functions/f/calls", 405), ("GET", "/nothing", 404),
                                     ("GET", "/v1/calls/unknown", 404), ("DELETE", "/v1/status", 405)):
            with closing(self.live.client()) as client:
                self.assertEqual(client.request(method, path).status, status)

    def test_malformed_http_gets_one_answer_and_a_close(self):
        chunked = "Transfer-Encoding: chunked\r\n"
        cases = {
            "both lengths": (f"{POST}Content-Length: 3\r\n{chunked}\r\n0\r\n\r\n", 400),
            "two lengths": (f"{POST}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
            "bad chunk": (f"{POST}{chunked}\r\nzz\r\nabc\r\n", 400),
            "chunk under its length": (f"{POST}{chunked}\r\n2\r\nabc\r\n0\r\n\r\n", 400),
            "space before the colon": (f"{POST}Content-Length : 3\r\n\r\nabc", 400),
            "bare line feed in a header": (f"{POST}A: b\nContent-Length: 3\r\n\r\nabc", 400),
            "negative length": (f"{POST}Content-Length: -1\r\n\r\n", 400),
            "no HTTP": ("hello\r\n\r\n", 400),
            "no host": ("POST /v1/functions/f/calls HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
            "upgrade": ("GET /v1/status HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
            "two times left": (f"{POST}Time-Left: 10\r\nTime-Left: 20\r\nContent-Length: 0\r\n\r\n", 400),
            "large headers": (f"{POST}A: {'x' * 3000}\r\n\r\n", 431),
            "large body announced": (f"{POST}Content-Length: 99999999\r\n\r\n", 413),
            "large body in chunks": (f"{POST}{chunked}\r\n" + "1000\r\n" + "x" * 4096 + "\r\n1000\r\n" + "x" * 4096
                                  + "\r\n1000\r\n" + "x" * 4096 + "\r\n", 413),
            "slow headers": (f"{POST}A: b", 408),
            "a body that never ends": (f"{POST}Content-Length: 50\r\n\r\nabc", 408),
        }
        jobs = {name: gevent.spawn(self.live.raw, text.encode()) for name, (text, _) in cases.items()}
        gevent.joinall(jobs.values(), timeout=10)
        for name, (_, status) in cases.items():
            self.assertEqual(statuses(jobs[name].value or b""), [status], name)
        self.assertEqual(self.live.call("f").status, 200)
        self.assertEqual(self.live.log.of("fault"), [])

    def test_a_request_smuggled_behind_a_bad_one_is_not_served(self):
        before = self.live.front.engine.counts["taken"]
        self.live.raw(f"{POST}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode() + request())
        self.assertEqual(self.live.front.engine.counts["taken"], before)

    def test_pipelined_requests_are_answered_in_order(self):
        self.live.call("slowly")
        data = b"".join(request(f"n{n}".encode(), connection="close" if n == 9 else "keep-alive",
                                work_hint=60 - 6 * n) for n in range(10))
        got = self.live.raw(data)
        self.assertEqual(statuses(got), [200] * 10)
        self.assertEqual([part.split(b"\r\n\r\n")[1][:2] for part in got.split(b"HTTP/1.1 ")[1:]],
                         [f"n{n}".encode() for n in range(10)])

    def test_a_deeper_pipeline_is_refused_after_the_answers_before_it(self):
        got = self.live.raw(request() * 11)
        self.assertEqual(statuses(got), [200] * 10 + [400])

    def test_a_client_that_disconnects_is_reported_to_the_engine(self):
        before = self.live.front.engine.counts["left"]
        with socket.create_connection(("127.0.0.1", self.live.port)) as sock:
            sock.sendall(request(work_hint=400))
            until(lambda: self.live.front.engine.owed)
        until(lambda: self.live.front.engine.counts["left"] == before + 1)
        self.assertEqual(self.live.front.engine.owed, 0)

    def test_idle_connections_end_and_do_not_disturb_calls(self):
        socks = [socket.create_connection(("127.0.0.1", self.live.port)) for _ in range(300)]
        self.assertEqual(self.live.call("f").status, 200)
        for sock in socks:
            sock.settimeout(2)
            self.assertEqual(sock.recv(1), b"")
            sock.close()

    def test_the_time_for_header_fields_grows_with_their_number_only(self):
        """Guards against fields of one name, joined as each comes, that take the processor from all other clients."""
        def seconds(count):
            connection = Connection(mock.Mock(), mock.Mock(), mock.Mock(headers=1 << 30, idle=0), TimeoutMonitor())
            began = time.thread_time()
            for _ in range(count):
                connection.on_header(b"a", b"b" * 100)
            return time.thread_time() - began
        seconds(1_000)
        self.assertLess(seconds(40_000), 40 * max(seconds(4_000) for _ in range(3)))    # ten times, if linear

    def test_header_fields_of_one_name_are_joined(self):
        connection = Connection(mock.Mock(), mock.Mock(), mock.Mock(headers=1 << 10, idle=0), TimeoutMonitor())
        for name, value in ((b"Host", b"h"), (b"Prefer", b"respond-async"), (b"x", b"1"), (b"prefer", b"wait=5")):
            connection.on_header(name, value)
        connection.parser = mock.Mock(get_http_version=lambda: "1.1")
        connection.on_headers_complete()
        self.assertEqual(connection.headers, {"host": "h", "prefer": "respond-async, wait=5", "x": "1"})

    def test_continue_is_sent_if_it_is_expected(self):
        with socket.create_connection(("127.0.0.1", self.live.port)) as sock:
            sock.sendall(f"{POST}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n".encode())
            self.assertIn(b"100 Continue", sock.recv(100))
            sock.sendall(b"ok")
            self.assertEqual(statuses(sock.recv(1000)), [200])


class ClosedClients(unittest.TestCase):
    """Guards against calls that are sent on for clients that closed with much unread (issue 69)."""

    def test_a_call_whose_client_has_closed_is_not_sent(self):
        with Live(workers=1) as live, socket.create_connection(("127.0.0.1", live.port)) as sock:
            until(lambda: live.front.connections)
            sock.sendall(f"{POST}Content-Length: 1\r\n\r\nx".encode() * 4)
            sock.close()
            block_process()                     # so that its end has arrived when the calls are read
            until(lambda: not live.front.connections)
            self.assertEqual((live.front.engine.counts["sends"], live.front.engine.counts["taken"]), (0, 0))
            self.assertEqual(live.front.api.refusal_counters.totals(), {"client-gone": 4})

    def test_an_unread_close_stops_a_send_that_waited(self):
        with Live(workers=1) as live, socket.create_connection(("127.0.0.1", live.port)) as sock:
            sock.sendall(f"{POST}Content-Length: 1\r\n\r\nx".encode())
            until(lambda: live.front.engine.requests)
            pending, = live.front.engine.requests.values()
            self.assertFalse(live.front.api.has_unread_disconnect(pending))
            sock.close()
            until(lambda: pending.client is None or live.front.api.has_unread_disconnect(pending))

    def test_a_deferred_call_is_taken_whether_or_not_its_client_waits(self):
        with Live(workers=1) as live, socket.create_connection(("127.0.0.1", live.port)) as sock:
            until(lambda: live.front.connections)
            sock.sendall(f"{POST}Prefer: respond-async\r\nContent-Length: 1\r\n\r\nx".encode())
            sock.close()
            block_process()
            until(lambda: live.front.engine.counts["answered completed"])


class Deferred(unittest.TestCase):
    def test_accepted_waited_for_and_collected(self):
        with Live() as live, closing(live.client()) as client:
            first = client.request("POST", "/v1/functions/submit-x/calls", {"Prefer": "respond-async"}, b"filing")
            self.assertEqual((first.status, first.headers["preference-applied"]), (202, "respond-async"))
            where = first.headers["location"]
            self.assertEqual(client.request("GET", where).status, 202)
            reply = client.request("GET", where, {"Prefer": "wait=5"})
            self.assertEqual((reply.status, reply.body, reply.headers["final"]), (200, b"filing", "completed"))
            self.assertEqual(client.request("GET", where).body, b"filing")

    def test_a_wait_is_limited_and_the_final_answer_comes_when_the_call_ends(self):
        with Live(bounds="longest-wait 100ms") as live, closing(live.client()) as client:
            live.workers["w0"].execute_order(["hang", "9s"])
            live.workers["w1"].execute_order(["hang", "9s"])
            where = client.request("POST", "/v1/functions/submit-x/calls",
                                   {"Prefer": "respond-async", "Time-Left": "400"}).headers["location"]
            self.assertEqual(client.request("GET", where, {"Prefer": "wait=60"}).status, 202)
            until(lambda: not live.front.engine.owed)
            reply = client.request("GET", where)
            self.assertEqual((reply.status, reply.headers["final"]), (504, "aborted"))
            self.assertTrue(json.loads(reply.body)["may-have-run"])

    def test_the_number_of_deferred_calls_is_limited(self):
        with Live(bounds="deferred 3") as live, closing(live.client()) as client:
            for worker in live.workers.values():
                worker.execute_order(["hang", "9s"])
            got = [client.request("POST", "/v1/functions/submit-x/calls",
                                  {"Prefer": "respond-async", "Time-Left": "300"})
                   for _ in range(5)]
            self.assertEqual([reply.status for reply in got], [202] * 3 + [429] * 2)
            self.assertEqual(got[-1].headers["final"], "rejected")
            self.assertIn(got[-1].headers["retry-after"], ("1", "2"))

    def test_answers_are_kept_for_a_time_and_up_to_a_size(self):
        each_takes = ANSWER_OVERHEAD + 30
        it = InMemoryStore(10, 3 * each_takes + 10, 5 * SECOND)
        calls = [it.add(f"c{n}") for n in range(5)]
        for n, each in enumerate(calls):
            self.assertTrue(it.has_room())
            it.finish(n * SECOND, each, Answer(FinalKind.COMPLETED, "completed", b"x" * 30))
            each.is_collected = n == 1
        # The fourth answer exceeded the size, so the collected one was removed; the fifth displaced the oldest.
        self.assertEqual([it.find(f"c{n}") is not None for n in range(5)], [False, False, True, True, True])
        self.assertEqual((it.answer_bytes.used, it.dropped), (3 * each_takes, 1))
        it.tick(8 * SECOND)
        self.assertEqual([it.find(f"c{n}") is not None for n in range(5)], [False, False, False, False, True])
        it.tick(9 * SECOND)
        self.assertEqual((it.answer_bytes.used, it.pending.used, it.calls), (0, 0, {}))


class AdmissionControl(unittest.TestCase):
    def setUp(self):
        self.now = 0

    def record_lag_for(self, it, lag, seconds, interval=READING_INTERVAL):
        """Records one lag for some time; a lagging event loop takes a reading only once in each iteration."""
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += max(interval, lag)
            it.record_lag(self.now, lag)
        return it

    def test_one_stall_refuses_few_calls_and_a_lasting_lag_refuses_most(self):
        it = self.record_lag_for(Admission(600 * MS), 0, 0.1)
        it.record_lag(self.now + SECOND, SECOND)
        self.assertLess(sum(not it.admit(False) for _ in range(100)), 50)
        it = self.record_lag_for(Admission(600 * MS), 300 * MS, 3)
        admitted = sum(it.admit(False) for _ in range(1000))
        self.assertTrue(30 <= admitted <= 70, admitted)

    def test_after_a_stop_an_idle_front_end_refuses_nobody(self):
        """Guards against a front end that refuses half of its calls for a second and more after a stop of 2 s."""
        it = self.record_lag_for(Admission(600 * MS), 0, 0.1)
        for _ in range(3):
            self.now += 2 * SECOND
            it.record_lag(self.now, 2 * SECOND, computed=3 * MS)
            self.record_lag_for(it, 0, 0.05)
            self.assertTrue(all(it.admit(True) for _ in range(100)))
            self.assertLess(it.smoothed_lag, 10 * MS)

    def test_a_burst_of_work_is_no_stop(self):
        it = self.record_lag_for(Admission(600 * MS), 0, 0.1)
        self.now += 2 * SECOND
        it.record_lag(self.now, 2 * SECOND, computed=1900 * MS)
        self.record_lag_for(it, 0, 0.05)
        self.assertGreater(it.refused_share, 0.4)

    def test_a_stop_amid_an_overload_ends_no_refusals(self):
        it = self.record_lag_for(Admission(600 * MS), 300 * MS, 3)
        share = it.refused_share
        it.record_lag(self.now + 2 * SECOND, 2 * SECOND, computed=0)
        it.record_lag(self.now + 2 * SECOND + 10 * MS, 0)
        self.assertAlmostEqual(it.refused_share, share, delta=0.02)

    def test_a_process_that_gets_no_core_again_and_again_refuses_calls(self):
        it = Admission(600 * MS)
        for n in range(1, 6):
            it.record_lag(n * SECOND, SECOND, computed=10 * MS)
        self.assertGreater(it.refused_share, 0.9)

    def test_a_lag_below_the_target_refuses_no_calls(self):
        it = self.record_lag_for(Admission(600 * MS), 100 * MS, 30)
        self.assertTrue(all(it.admit(False) for _ in range(100)))

    def test_retries_are_refused_first_and_after_the_lag_all_are_admitted(self):
        it = self.record_lag_for(Admission(600 * MS), 300 * MS, 1.5)
        admitted = sum(it.admit(False) for _ in range(400)), sum(it.admit(True) for _ in range(400))
        self.assertGreater(admitted[0], 1.2 * admitted[1])
        self.record_lag_for(it, 0, 5)
        self.assertTrue(all(it.admit(True) for _ in range(100)))

    def test_it_converges_when_the_event_loop_is_saturated(self):
        """A saturated event loop: 900 connections are ready in each iteration; an admitted call takes 300 us, a
        refused one 80 us."""
        it, shares = Admission(600 * MS), []
        for _ in range(600):
            admitted = sum(it.admit(False) for _ in range(900))
            lag = (admitted * 300 + (900 - admitted) * 80) * 1000
            self.now += lag
            it.record_lag(self.now, lag)
            shares.append(admitted / 900)
        self.assertTrue(0.1 < min(shares[300:]) and max(shares[300:]) < 0.5, (min(shares[300:]), max(shares[300:])))


if __name__ == "__main__":
    unittest.main()
