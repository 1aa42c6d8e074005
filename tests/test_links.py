import time
import unittest
from unittest import mock

import gevent
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.live import Live, ScriptedWorker, until
from threadshift.interface import MS, SECOND
from threadshift.links.codec import LENGTH, VERSION, FrameDecoder, ProtocolError, encode
from threadshift.links import outbox
from threadshift.links.outbox import Outbox
from threadshift.links.redial import MAX_PAUSE, MIN_PAUSE, STABLE_AFTER, ReconnectBackoff

RESULT = dict(copy="found", body=b"ok")


class Codec(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.binary(max_size=40), max_size=8), st.lists(st.integers(1, 30), max_size=30))
    def test_any_cut_of_the_stream_gives_the_same_frames(self, bodies, cuts):
        stream = b"".join(encode("result", id=n, body=body) for n, body in enumerate(bodies))
        cut, got, at = FrameDecoder(1 << 16), [], 0
        for size in [*cuts, len(stream)]:
            got += cut.feed(stream[at:at + size])
            at += size
        self.assertEqual([frame["body"] for frame in got], bodies)
        self.assertFalse(cut.is_mid_frame)

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_frames_or_refused(self, data):
        for stream in (data, LENGTH.pack(len(data)) + data):
            try:
                FrameDecoder(1 << 16).feed(stream)
            except ProtocolError as problem:
                self.assertTrue(str(problem))

    def test_protocol_errors_name_what_is_wrong(self):
        good = dict(id=1, function="f", type="t", effect="repeatable", left=1, body=b"")
        cases = (
            (LENGTH.pack(1 << 30), "over the bound"),
            (encode("dance"), "unknown frame kind 'dance'"),
            (encode("invoke", **good | {"id": "x"}), "'id' is of the wrong type"),
            (encode("invoke", **good | {"id": True}), "'id' is of the wrong type"),
            (encode("invoke", **good | {"left": None}), "'left' is absent"),
            (encode("invoke", **good | {"function": "f" * 5000}), "longer than 4096"),
            (LENGTH.pack(1) + b"\xc1", "not msgpack"),
            (LENGTH.pack(2) + b"\x93\x01", "not msgpack"),
            (LENGTH.pack(1) + b"\x01", "is a map"),
            (LENGTH.pack(0), "not msgpack"),
        )
        for data, words in cases:
            with self.assertRaises(ProtocolError) as caught:
                FrameDecoder(1 << 16).feed(data)
            self.assertIn(words, str(caught.exception))

    def test_unknown_fields_are_skipped(self):
        self.assertEqual(FrameDecoder(999).feed(encode("full", id=3, colour="red"))[0]["id"], 3)


class Outboxes(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.one_of(
        st.tuples(st.just("put"), st.binary(min_size=1, max_size=20)),
        st.tuples(st.just("write"), st.integers(0, 60)),
        st.tuples(st.just("withdraw"), st.integers(0, 20))), max_size=60))
    def test_against_a_plain_list(self, acts):
        """A frame counts as never left exactly while none of its bytes are written; bytes keep their order."""
        for min_removed in (0, outbox.MIN_REMOVED):
            with mock.patch.object(outbox, "MIN_REMOVED", min_removed):
                self.play(acts)

    def play(self, acts):
        it, model, written, number = Outbox(200), [], b"", 0
        wanted = b""
        for act, what in acts:
            if act == "put":
                fits = sum(len(frame) - done for _, frame, done in model) + len(what) <= 200
                self.assertEqual(it.put(number, what), fits)
                model += [[number, what, 0]] if fits else []
                number += fits
            elif act == "withdraw":
                found = next((each for each in model if each[0] == what and each[2] == 0), None)
                self.assertEqual(it.withdraw(what), found is not None)
                model = [each for each in model if each is not found]
            else:
                chunk = it.chunk()[:what]
                written += chunk
                it.wrote(len(chunk))
                count = len(chunk)
                for each in model:
                    part = min(count, len(each[1]) - each[2])
                    wanted += each[1][each[2]:each[2] + part]
                    each[2] += part
                    count -= part
                model = [each for each in model if each[2] < len(each[1])]
            self.assertEqual(written, wanted)
            self.assertEqual([it.is_unsent(n) for n in range(number)],
                             [any(each[0] == n and each[2] == 0 for each in model) for n in range(number)])
            self.assertEqual(it.size, sum(len(frame) - done for _, frame, done in model))


    def test_withdrawn_frames_do_not_pile_up_behind_one_that_is_written_slowly(self):
        """Guards against entries of withdrawn frames that stay as long as a peer reads little, and count nowhere."""
        for withdraw in (Outbox.withdraw, Outbox.hold_back):
            it = Outbox(10_000)
            it.put("first", b"x" * 1000)
            it.wrote(1)
            for number in range(5000):
                it.put(number, b"y")
                withdraw(it, number)
            it.put("last", b"z")
            self.assertLess(len(it.queue), 3 * outbox.MIN_REMOVED)
            self.assertEqual((it.chunk(), it.size), (b"x" * 999 + b"z", 1000))
            it.wrote(1000)
            self.assertFalse(it.is_unsent("last"))


class Backoff(unittest.TestCase):
    def test_pauses_double_to_a_limit_and_are_reset_after_a_stable_connection(self):
        it, now = ReconnectBackoff(lambda: 0.5), SECOND
        pauses = []
        for _ in range(8):
            pauses.append(it.on_disconnected(now) - now)
        self.assertEqual(pauses[:3], [MIN_PAUSE, 2 * MIN_PAUSE, 4 * MIN_PAUSE])
        self.assertEqual(pauses[-1], MAX_PAUSE)
        it.on_connected(now)
        self.assertEqual(it.on_disconnected(now + STABLE_AFTER // 2) - now - STABLE_AFTER // 2, MAX_PAUSE)
        it.on_connected(now)
        self.assertEqual(it.on_disconnected(now + STABLE_AFTER) - now - STABLE_AFTER, MIN_PAUSE)


def reads_nothing(worker, sock, frames):
    """A worker that sends, but never reads."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    while True:
        sock.sendall(encode("pong"))
        gevent.sleep(0.02)


def call_once(function, script, hello=True, name="w0", **facts):
    """One call at a gateway whose only worker runs `script`: the reply, the worker and the gateway."""
    live = Live(workers=0, **facts)
    worker = ScriptedWorker(name, script, hello)
    live.extra.append(worker)
    live.list("w0", worker.address)
    with live:
        if hello:
            until(lambda: live.front.links and live.front.links["w0"].up)
        return live.call(function, time_left="700"), worker, live


class Breaks(unittest.TestCase):
    """What is certain after a broken connection, checked over real sockets."""

    def test_a_call_that_was_read_and_broken_off_may_have_run(self):
        def script(worker, sock, frames):
            for frame in frames:
                if frame["kind"] == "invoke":
                    return
        for function, status, sends in (("submit-x", 502, 1), ("f", 503, 1)):
            reply, worker, live = call_once(function, script)
            self.assertEqual((reply.status, worker.received_kinds.count("invoke")), (status, sends), function)
            self.assertIn(b'"may-have-run": true', reply.body)

    def test_an_answer_that_is_cut_off_is_no_answer(self):
        def script(worker, sock, frames):
            for frame in frames:
                if frame["kind"] == "invoke":
                    sock.sendall(encode("result", id=frame["id"], **RESULT)[:9])
                    return
        reply, worker, live = call_once("submit-x", script)
        self.assertEqual((reply.status, worker.received_kinds.count("invoke")), (502, 1))
        self.assertTrue(any("inside a frame" in each["problem"] for each in live.log.of("link-broke")))

    def test_a_once_only_call_that_nothing_listens_for_never_ran(self):
        live = Live(workers=0)
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))      # bound, not listening: refused
            live.feed.execute_order(["worker", "w0", f"127.0.0.1:{sock.getsockname()[1]}"])
            with live:
                until(lambda: live.front.links)
                reply = live.call("submit-x", time_left="700")
        self.assertEqual((reply.status, reply.headers["final"]), (503, "rejected"))
        self.assertIn("retry-after", reply.headers)

    def test_no_hello_and_a_wrong_hello_end_the_link_before_any_call(self):
        def wait(worker, sock, frames):
            for _ in frames:
                pass
        for hello, name, words in ((False, "w0", "no hello"), (True, "other", "this is w0's address")):
            live = Live(workers=0, bounds="connect 100ms")
            worker = ScriptedWorker(name, wait, hello)
            live.extra.append(worker)
            live.list("w0", worker.address)
            with live:
                until(lambda live=live: live.log.of("link-broke"))
                reply = live.call("submit-x", time_left="700")
            self.assertIn(words, live.log.of("link-broke")[0]["problem"])
            self.assertEqual((reply.headers["final"], worker.received_kinds.count("invoke")), ("rejected", 0))

    def test_wrong_input_from_a_worker_ends_its_link_with_a_reason(self):
        bad = {"unknown": encode("dance"), "version": encode("hello", version=9, name="w0"),
               "oversized": LENGTH.pack(1 << 30), "kind": encode("invoke", id=1, function="f", type="t",
                                                                  effect="x", left=1, body=b"")}
        for case, data in bad.items():
            def script(worker, sock, frames, data=data):
                sock.sendall(data)
                for _ in frames:
                    pass
            live = Live(workers=1)
            worker = ScriptedWorker("bad", script, hello=case != "version")
            live.extra.append(worker)
            live.list("bad", worker.address)
            with self.started(live):
                until(lambda live=live: live.log.of("link-broke"))
                until(lambda worker=worker: "refused" in worker.received_kinds)
                self.assertEqual(live.call("f", b"others are served").status, 200, case)

    @staticmethod
    def started(live):
        live.running = gevent.spawn(live.front.run)
        until(lambda: "w0" in live.front.links and live.front.links["w0"].up)

        class Ending:
            def __enter__(self):
                return live

            def __exit__(self, *args):
                live.__exit__(*args)
        return Ending()

    def test_a_silent_worker_is_disconnected(self):
        def script(worker, sock, frames):
            for _ in frames:
                pass                        # reads, also pings, and answers nothing, like a half-open connection
        reply, worker, live = call_once("submit-x", script)
        self.assertEqual((reply.status, worker.received_kinds.count("invoke")), (502, 1))
        self.assertIn("ping", worker.received_kinds)
        self.assertTrue(any("silent" in each["problem"] for each in live.log.of("link-broke")))

    def test_a_worker_that_never_reads_fills_its_buffer_and_no_more(self):
        live = Live(workers=0, bounds="worker-buffer 300K\nwrite 300ms\nbody 200K\n")
        worker = ScriptedWorker("w0", reads_nothing)
        live.extra.append(worker)
        live.list("w0", worker.address)
        with live:
            until(lambda: live.front.links and live.front.links["w0"].up)
            calls = [gevent.spawn(live.call, f"submit-{n}", b"x" * 199_000, time_left="1500") for n in range(60)]
            sizes = []
            while not all(call.ready() for call in calls):
                sizes.append(live.front.links["w0"].outbox.size)
                gevent.sleep(0.005)
            finals = {call.value.headers["final"] for call in calls}
        self.assertLessEqual(max(sizes), 300 << 10)
        self.assertLessEqual(finals, {"rejected", "aborted"})
        self.assertIn("rejected", finals)

    def test_a_late_and_a_double_answer_change_nothing(self):
        def script(worker, sock, frames):
            for frame in frames:
                if frame["kind"] == "invoke":
                    sock.sendall(encode("result", id=frame["id"], **RESULT) * 3)
                    sock.sendall(encode("result", id=999, **RESULT))
                elif frame["kind"] == "ping":
                    sock.sendall(encode("pong"))
        reply, worker, live = call_once("submit-x", script)
        self.assertEqual((reply.status, reply.body, live.front.engine.counts["answered completed"]), (200, b"ok", 1))

    def test_queued_sends_do_not_go_to_a_restarted_or_draining_worker(self):
        """The sends were meant for a warm worker. All at once they would exceed the budget of a cold one (rule 4),
        and a draining one must not get them (rule 3)."""
        running = []
        for second_hello in (dict(started=2_000 * SECOND), dict(started=SECOND, draining=True)):
            connections, later_kinds = [], []

            def script(worker, sock, frames, second_hello=second_hello, connections=connections,
                       later_kinds=later_kinds):
                connections.append(sock)
                if len(connections) > 1:
                    until(lambda: running[0].front.links["w0"].outbox.unwritten)
                    sock.sendall(encode("hello", version=VERSION, name="w0", **second_hello))
                else:
                    sock.sendall(encode("hello", version=VERSION, name="w0", started=SECOND))
                for frame in frames:
                    if frame["kind"] == "invoke" and len(connections) == 1:
                        return
                    later_kinds.append(frame["kind"])
            live = Live(workers=0, bounds="connect 3s")
            running[:] = [live]
            worker = ScriptedWorker("w0", script, hello=False)
            live.extra.append(worker)
            live.list("w0", worker.address)
            with live:
                until(lambda live=live: live.front.links and live.front.links["w0"].up)
                live.call("submit-x", time_left="300")
                until(lambda connections=connections: len(connections) > 1)
                reply = live.call("submit-y", time_left="900")
                outcomes = [sent["outcome"] for sent in live.log.of("final")[-1]["sends"]]
            # They end as never run and are decided anew: within the budget of a cold worker, none for a draining one.
            self.assertEqual(outcomes[0], "unreachable")
            self.assertEqual(later_kinds.count("invoke"), len(outcomes) - 1)
            self.assertEqual(reply.headers["final"], "rejected" if "draining" in second_hello else "aborted")

    def test_queued_sends_carry_the_time_left_when_they_are_written(self):
        begun, seen = [], []

        def script(worker, sock, frames):
            until(lambda: live.front.links["w0"].outbox.unwritten)
            until(lambda: time.monotonic_ns() - begun[0] > 300 * MS)
            sock.sendall(encode("hello", version=VERSION, name="w0", started=SECOND))
            for frame in frames:
                if frame["kind"] == "invoke":
                    seen.append((frame["left"], time.monotonic_ns()))
                    sock.sendall(encode("result", id=frame["id"], **RESULT))
        live = Live(workers=0, bounds="connect 3s")
        worker = ScriptedWorker("w0", script, hello=False)
        live.extra.append(worker)
        live.list("w0", worker.address)
        running = gevent.spawn(live.front.run)
        live.running = running
        until(lambda: live.front.links)
        until(lambda: live.front.engine.dispatcher.ready_workers)
        begun.append(time.monotonic_ns())
        self.assertEqual(live.call("submit-x", time_left="900").status, 200)
        left, at = seen[0]
        self.assertLessEqual(left, begun[0] + 900 * MS - at + 150 * MS)
        live.__exit__()

    def test_sends_delayed_by_a_full_socket_are_withdrawn_when_the_worker_drains(self):
        """Written when the worker reads again, they would be new sends after the drain grace (rule 3)."""
        live = Live(workers=0, bounds="worker-buffer 32M\nwrite 3s\nbody 4M\nframe 8M\n")
        worker = ScriptedWorker("w0", reads_nothing)
        live.extra.append(worker)
        live.list("w0", worker.address)
        with live:
            until(lambda: live.front.links and live.front.links["w0"].up)
            live.front.engine.dispatcher.load_limit = 99.0
            calls = [gevent.spawn(live.call, f"f{n}", b"x" * 4_000_000, time_left="2000") for n in range(8)]
            outbox = live.front.links["w0"].outbox
            until(lambda: outbox.unwritten)
            live.feed.execute_order(["state", "w0", "draining"])
            until(lambda: not outbox.unwritten, 1.0)
            gevent.joinall(calls)

    def test_an_unsent_frame_can_be_withdrawn_and_a_partly_written_one_cannot(self):
        it = Outbox(1000)
        it.put(1, b"abc")
        it.put(2, b"def")
        it.wrote(1)
        self.assertEqual((it.withdraw(1), it.withdraw(2), it.chunk()), (False, True, b"bc"))


if __name__ == "__main__":
    unittest.main()


