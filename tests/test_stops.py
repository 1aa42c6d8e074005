"""A front end that is stopped by SIGSTOP and continued: input has waited unread, and its clients may have left.

After a stop, an interrupted epoll_wait returns EINTR without events, whatever has arrived (signal(7)).
"""
import signal
import tempfile
import time
import unittest
from unittest import mock

import gevent
from gevent import socket

from tests.live import Live, block_process, until
from tests.platform import Coordinator, Platform, Worker, configuration, event, instance
from tests.processes import FrontEndProcess
from threadshift.engine.engine import Call, PendingRequest
from threadshift.fastcgi.codec import record
from threadshift.frames.codec import INVOKE
from threadshift.frames.link import current_invoke_frame
from threadshift.interface import MS, SECOND, Outcome
from threadshift.invoke import poll_monitor
from threadshift.links.outbox import Outbox
from threadshift.links.sockets import write_out

LEFT_MS, STOPPED_MS = 900, 400
TOLERANCE_MS = 150         # that the protocol allows on the time left that is stated to a worker
STOPS = 6
SHORT_TIMEOUT_MS = 200.0
BLOCKED_MS = 200
UNKNOWN_TYPE = 77          # of a FastCGI record


class StoppedWhileItWaits(unittest.TestCase):

    def setUp(self):
        self.worker = Worker()
        self.addCleanup(self.worker.stop)
        listed = event(1, instance("s-0", self.worker.address), full=True)
        self.coordinator = Coordinator([listed])
        self.addCleanup(self.coordinator.stop)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.front_end = self.enterContext(FrontEndProcess(
            folder, "n0", coordinator=str(self.coordinator.address), known={"index": 1, "updates": [listed]}))
        self.client = self.front_end.client()
        until(lambda: self.client.alive()[0] == 200)

    def while_stopped(self, act):
        """Stops the process while it waits for input, calls act(), and continues the process."""
        gevent.sleep(0.05)
        self.front_end.process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.01)
        act()
        gevent.sleep(STOPPED_MS / 1_000)
        self.front_end.process.send_signal(signal.SIGCONT)

    def test_the_time_left_that_workers_receive_excludes_the_stop(self):
        # Repeated stops look like an overloaded process, so some requests are refused.
        statuses = []
        for number in range(1, STOPS + 1):
            self.while_stopped(lambda number=number: self.client.ask(number, id_=f"{number:016x}", left=str(LEFT_MS)))
            statuses.append(self.client.answer(number)[0])
        passed_on = [int(it.fields["wait"]) for it in self.worker.frames_with(INVOKE)]
        self.assertEqual(set(statuses) - {503}, {200})
        self.assertEqual(len(passed_on), statuses.count(200))
        self.assertLessEqual(max(passed_on), LEFT_MS - STOPPED_MS + TOLERANCE_MS)

    def test_nothing_is_sent_for_clients_that_aborted_during_the_stop(self):
        def ask_and_abort(id_):
            self.client.ask(1, id_=id_, left=str(LEFT_MS))
            self.client.abort(1)

        for number in range(1, STOPS + 1):
            self.while_stopped(lambda number=number: ask_and_abort(f"{number:016x}"))
            self.assertEqual(self.client.alive(2)[0], 200)
        self.assertEqual(self.worker.frames_with(INVOKE), [])


class TimeUpBeforeTheFirstByte(unittest.TestCase):
    """A request whose time ends between the decision to send and the first byte, since the process was stopped."""

    def test_nothing_of_it_is_written(self):
        with Platform() as it:
            pending = PendingRequest(
                it.node.engine, "00000000000000d1", Call("check", "00000000000000f1", 0), 0, deadline=1)
            link = it.node.links["s-0"]
            with mock.patch.dict(it.node.links, {"s-0": mock.Mock()}):
                self.assertEqual(it.node.send("s-0", pending, 0), Outcome.NEVER_SENT)  # whatever the link would check
            id_ = bytes.fromhex(pending.id)
            self.assertEqual(link.transmit(id_, (pending, 0), current_invoke_frame(id_, pending)), Outcome.NEVER_SENT)
            self.assertEqual(it.call()[0], 200)
            self.assertEqual(len(it.workers[0].frames_with(INVOKE)), 1)


class ReadLate(unittest.TestCase):
    """Guards against giving a request the time for which its connection was accepted, but not read."""

    @staticmethod
    def late(serve):
        """Serves a connection after a stop and some iterations of the event loop."""
        def serve_late(*arguments):
            block_process(BLOCKED_MS / 1_000)
            gevent.sleep(poll_monitor.CATCH_UP_TIME / SECOND)
            serve(*arguments)
        return serve_late

    def test_after_a_stop_between_accept_and_read(self):
        with Platform() as it:
            it.node.listener.serve = self.late(it.node.listener.serve)
            client = it.client()
            client.ask(left=str(LEFT_MS))
            block_process(BLOCKED_MS / 1_000)
            self.assertEqual(client.answer()[0], 200)
            frame, = it.workers[0].frames_with(INVOKE)
            self.assertLessEqual(int(frame.fields["wait"]), LEFT_MS - 2 * BLOCKED_MS)

    def test_after_a_stop_between_accept_and_read_in_the_daemon(self):
        with Live() as live:
            admitted, admit = [], live.front.engine.admit
            live.front.engine.admit = lambda *arguments: admitted.append(admit(*arguments)) or admitted[-1]
            live.front.serve_connection = self.late(live.front.serve_connection)
            sent_at = time.monotonic_ns()
            live.call("f", time_left=str(LEFT_MS))
            self.assertLess(admitted[-1].deadline, sent_at + (LEFT_MS + BLOCKED_MS // 2) * MS)

    def test_while_the_reader_pauses(self):
        with Platform() as it:
            client = it.client()
            client.send(record(UNKNOWN_TYPE, 0, b"x") * 3)      # after which nothing is read for a while
            until(lambda: any(each.offences for each in it.node.listener.connections))
            since = time.monotonic_ns()
            client.ask(left=str(LEFT_MS))
            self.assertEqual(client.answer()[0], 200)
            paused_ms = (it.node.engine.dispatcher.load_ration.admissions[-1].at - since) // MS
            self.assertGreater(paused_ms, 2 * poll_monitor.CATCH_UP_TIME // MS)
            frame, = it.workers[0].frames_with(INVOKE)
            self.assertLessEqual(int(frame.fields["wait"]), LEFT_MS - paused_ms + 1)
            self.assertGreater(int(frame.fields["wait"]), LEFT_MS - paused_ms - 2 * poll_monitor.CATCH_UP_TIME // MS)


class StoppedBeforeTheWrite(unittest.TestCase):
    """Guards against frames that state the time left from before a stop, between their making and their write."""

    @staticmethod
    def stopped_before_first(act):
        """The act, before whose first call the process is stopped."""
        stops = [BLOCKED_MS]

        def stopped(*arguments):
            if stops:
                block_process(stops.pop() / 1_000)
            return act(*arguments)
        return stopped

    def frames_after_stop(self, left_ms):
        """The frames that the worker receives of a send with so much time left, around a stop before its write."""
        with Platform() as it:
            link = it.node.links["s-0"]
            outbox = link.connections[0].outbox
            pending = PendingRequest(it.node.engine, "00000000000000d1", Call("check", "00000000000000f1", 0), 0,
                                     deadline=time.monotonic_ns() + left_ms * MS)
            with mock.patch.object(outbox, "chunk", self.stopped_before_first(outbox.chunk)):
                self.assertIsNone(link.invoke(pending, 0, left_ms * MS))
            self.assertEqual(link.withdraw(pending, 0), left_ms <= BLOCKED_MS)
            self.assertEqual(it.call()[0], 200)
            return [each for each in it.workers[0].frames_with(INVOKE) if each.id.hex() == pending.id]

    def test_the_time_left_excludes_the_stop(self):
        frame, = self.frames_after_stop(LEFT_MS)
        self.assertLessEqual(int(frame.fields["wait"]), LEFT_MS - BLOCKED_MS)

    def test_nothing_is_written_once_the_time_is_up(self):
        self.assertEqual(self.frames_after_stop(BLOCKED_MS // 2), [])

    def test_frames_of_the_daemon_too(self):
        ours, peer = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(peer.close)
        outbox, deadline = Outbox(1 << 10), time.monotonic_ns() + LEFT_MS * MS

        def state():
            return b"%06d" % ((deadline - time.monotonic_ns()) // MS)
        outbox.put(1, state())
        with mock.patch.object(outbox, "chunk", self.stopped_before_first(outbox.chunk)):
            write_out(ours, outbox, SECOND, lambda: outbox.is_unsent(1) and outbox.replace(1, state()))
        self.assertLessEqual(int(peer.recv(64)), LEFT_MS - BLOCKED_MS)


class StoppedDuringTheAdmission(unittest.TestCase):
    """Guards against giving a request the time of a stop between the reading of the clock and its admission."""

    @staticmethod
    def stopped_after(act, value=None):
        """The act, followed by a stop of the process."""
        def stopped(*arguments):
            done = act(*arguments)
            block_process(BLOCKED_MS / 1_000)
            return done if value is None else value
        return stopped

    def assert_time_passed_on(self, it, client):
        client.ask(left=str(LEFT_MS))
        self.assertEqual(client.answer()[0], 200)
        frame, = it.workers[0].frames_with(INVOKE)
        self.assertLessEqual(int(frame.fields["wait"]), LEFT_MS - BLOCKED_MS)

    def test_a_request_on_the_platform(self):
        with Platform() as it:
            client = it.client()
            until(lambda: it.node.listener.connections)
            it.node.poll_monitor.unread_time = self.stopped_after(it.node.poll_monitor.unread_time)
            self.assert_time_passed_on(it, client)

    def test_a_postponed_request(self):
        with Platform() as it:
            client = it.client()
            until(lambda: it.node.listener.connections)
            it.node.poll_monitor.unread_time = lambda now: poll_monitor.STALL_THRESHOLD
            it.node.listener.input_read = self.stopped_after(it.node.listener.input_read)
            self.assert_time_passed_on(it, client)

    def test_calls_of_the_daemon(self):
        with Live() as live:
            admitted, admit = [], live.front.engine.admit
            live.front.engine.admit = lambda *arguments: admitted.append(admit(*arguments)) or admitted[-1]
            live.front.api.poll_monitor.unread_time = self.stopped_after(live.front.api.poll_monitor.unread_time)
            for headers in ({}, {"prefer": "respond-async"}):
                sent_at = time.monotonic_ns()
                live.call("f", time_left=str(LEFT_MS), **headers)
                self.assertLess(admitted[-1].deadline, sent_at + (LEFT_MS + BLOCKED_MS // 2) * MS)


class SignalsInSeries(unittest.TestCase):

    def test_further_signals_do_not_change_how_the_process_ends(self):
        coordinator = Coordinator([event(1, full=True)])
        self.addCleanup(coordinator.stop)
        settings = configuration()["settings"]
        for lane in settings["lanes"]:
            lane["giveUp"] = SHORT_TIMEOUT_MS
        folder = self.enterContext(tempfile.TemporaryDirectory())
        front_end = self.enterContext(FrontEndProcess(
            folder, "n0", coordinator=str(coordinator.address), settings=settings))
        front_end.client().close()
        front_end.process.send_signal(signal.SIGTERM)
        until(lambda: self.ended(front_end.process))
        self.assertEqual(front_end.process.returncode, 0)

    @staticmethod
    def ended(process):
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            if process.poll() is None:
                process.send_signal(number)
        return process.poll() is not None


class PollsAfterAStop(unittest.TestCase):

    def unread_ms(self, *waits):
        """For how many ms input read after the last of these waits, (began, ended) in ms, may have been unread."""
        monitor = poll_monitor.PollMonitor()
        monitor.previous_poll = monitor.last_poll = monitor.wait_started = monitor.previous_wait_started = SECOND
        for began, ended in waits:
            monitor.wait_started = SECOND + int(began * MS)
            monitor.record_poll(SECOND + int(ended * MS))
        return monitor.unread_time(monitor.last_poll) / MS

    def test_a_wait_that_a_stop_interrupted_does_not_count_as_a_poll(self):
        self.assertEqual(self.unread_ms((0, 1), (1, 401), (401, 401.1)), 400.1)

    def test_a_wait_after_an_interrupted_one_does_not_count_either(self):
        # The process may have been preempted during it: what it found may have arrived before.
        self.assertEqual(self.unread_ms((0, 1), (1, 401), (401, 403)), 402)
        self.assertEqual(self.unread_ms((0, 1), (1, 401), (401, 403), (403, 406)), 0)

    def test_input_that_an_ordinary_wait_finds_has_just_arrived(self):
        self.assertEqual(self.unread_ms((0, 1), (2, 5), (6, 9)), 0)


if __name__ == "__main__":
    unittest.main()
