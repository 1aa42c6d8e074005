"""A process that is stopped by a signal and goes on: what came meanwhile has waited, and its clients may be gone.

After a stop an epoll_wait that was under way ends with EINTR and no events, whatever has arrived (signal(7)).
"""
import signal
import tempfile
import unittest
from unittest import mock

import gevent

from tests.live import until
from tests.platform import Coordinator, Platform, Worker, configuration, event, instance
from tests.processes import FrontEndProcess
from threadshift.engine.engine import Call, PendingRequest
from threadshift.frames.codec import INVOKE
from threadshift.frames.link import current_invoke_frame
from threadshift.interface import MS, SECOND, Outcome
from threadshift.invoke import poll_monitor

LEFT_MS, STOPPED_MS = 900, 400
SLACK_MS = 150             # that the users' terms give to the time passed on
STOPS = 6
SHORT_MS = 200.0


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

    def stopped(self, act):
        """Stops the process while it waits, lets act() happen, and lets it go on."""
        gevent.sleep(0.05)
        self.front_end.process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.01)
        act()
        gevent.sleep(STOPPED_MS / 1_000)
        self.front_end.process.send_signal(signal.SIGCONT)

    def test_the_time_passed_on_counts_the_stop(self):
        # Stop after stop looks like a processor at its limit, so some are refused.
        statuses = []
        for number in range(1, STOPS + 1):
            self.stopped(lambda number=number: self.client.ask(number, id_=f"{number:016x}", left=str(LEFT_MS)))
            statuses.append(self.client.answer(number)[0])
        passed_on = [int(it.fields["wait"]) for it in self.worker.frames_with(INVOKE)]
        self.assertEqual(set(statuses) - {503}, {200})
        self.assertEqual(len(passed_on), statuses.count(200))
        self.assertLessEqual(max(passed_on), LEFT_MS - STOPPED_MS + SLACK_MS)

    def test_nothing_is_sent_for_clients_that_left_during_the_stop(self):
        def ask_and_leave(id_):
            self.client.ask(1, id_=id_, left=str(LEFT_MS))
            self.client.abort(1)

        for number in range(1, STOPS + 1):
            self.stopped(lambda number=number: ask_and_leave(f"{number:016x}"))
            self.assertEqual(self.client.alive(2)[0], 200)
        self.assertEqual(self.worker.frames_with(INVOKE), [])


class TimeThatEndedMeanwhile(unittest.TestCase):
    """A request whose time ends between the decision and the first byte: the process was stopped just there."""

    def test_nothing_of_it_is_written(self):
        with Platform() as it:
            pending = PendingRequest(
                it.node.engine, "00000000000000d1", Call("check", "00000000000000f1", 0), 0, deadline=1)
            link = it.node.links["s-0"]
            with mock.patch.dict(it.node.links, {"s-0": mock.Mock()}):
                self.assertEqual(it.node.send("s-0", pending, 0), Outcome.NEVER_SENT)     # whatever the link looks at
            id_ = bytes.fromhex(pending.id)
            self.assertEqual(link.transmit(id_, (pending, 0), current_invoke_frame(id_, pending)), Outcome.NEVER_SENT)
            self.assertEqual(it.call()[0], 200)
            self.assertEqual(len(it.workers[0].frames_with(INVOKE)), 1)


class SignalsInSeries(unittest.TestCase):

    def test_further_signals_until_the_end_do_not_end_it_otherwise(self):
        coordinator = Coordinator([event(1, full=True)])
        self.addCleanup(coordinator.stop)
        settings = configuration()["settings"]
        for lane in settings["lanes"]:
            lane["giveUp"] = SHORT_MS
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


class LooksAfterAStop(unittest.TestCase):

    def look_at(self, *times):
        """What is read at the last of these times may have waited so long; each is (wait began, wait ended) in ms."""
        it = poll_monitor.PollMonitor()
        it.previous_poll = it.last_poll = it.wait_started = it.previous_wait_started = SECOND
        for began, ended in times:
            it.wait_started = SECOND + int(began * MS)
            it.record_poll(SECOND + int(ended * MS))
        return it.unread_time(it.last_poll) / MS

    def test_a_wait_that_a_stop_interrupted_is_no_look(self):
        self.assertEqual(self.look_at((0, 1), (1, 401), (401, 401.1)), 400.1)

    def test_a_wait_after_an_interrupted_one_is_not_believed(self):
        # The process may have been preempted in it: what it found lay there before.
        self.assertEqual(self.look_at((0, 1), (1, 401), (401, 403)), 402)
        self.assertEqual(self.look_at((0, 1), (1, 401), (401, 403), (403, 406)), 0)

    def test_what_a_usual_wait_finds_has_just_come(self):
        self.assertEqual(self.look_at((0, 1), (2, 5), (6, 9)), 0)


if __name__ == "__main__":
    unittest.main()
