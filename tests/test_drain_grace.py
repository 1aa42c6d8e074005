"""Races around rule 3, which forbids sends to a worker after its drain grace.

A front end counts as notified of a drain once the coordinator has it, whether or not the front end is connected then.
Each test forces one order of events in which the front end has not read the drain yet, on real loopback connections
and with the settings of a customer with a short grace.
"""
import json
import tempfile
import time
import unittest
from contextlib import ExitStack, closing
from pathlib import Path
from unittest import mock

import gevent
import hypothesis
from gevent import socket
from gevent.event import Event
from hypothesis import given
from hypothesis import strategies as st

from tests.live import ANY, Live, RecordingLog, until
from tests.platform import (
    SETTINGS, Coordinator, Platform, Worker, configuration, event, instance, request, serve)
from tests.processes import FrontEndProcess
from threadshift.coordinator import freshness
from threadshift.coordinator.freshness import (
    CONNECT_TIMEOUT, MAX_RETRY_PAUSE, NOTIFIED_AFTER_BREAK, NOTIFIED_AFTER_SILENCE, PATIENT_TIMEOUT,
    REPEATED_SILENCE_TIMEOUT, RESPONSE_TIMEOUT, SILENCE_TIMEOUT, Freshness)
from threadshift.frames import link
from threadshift.frames.codec import INVOKE, LOAD
from threadshift.interface import MS, SECOND, Outcome, WorkerState
from threadshift.links.codec import encode
from threadshift.links.redial import ReconnectBackoff
from threadshift.node import front_end_config
from threadshift.node.front import Node
from threadshift.discovery import sources
from threadshift.discovery.registry import WorkerEntry, WorkerList, WorkerRegistry

ROOT = Path(__file__).resolve().parent.parent
DRAINING_WORKER, READY_WORKER = "s-0", "s-1"
LATER = "00000000000000b1"      # id of a request that comes later
FRONT_ENDS = 3
ITEMS = [f"{n:016x}" for n in range(12)]       # functions, some of which have the draining worker as their home


def silent(worker, sock, it):
    """A worker that answers nothing."""


def short_grace_settings(grace_ms=300.0):
    settings = json.loads(json.dumps(SETTINGS))
    settings["rules"]["drainGrace"] = grace_ms
    settings["lanes"] = [dict(name="seal", aim=900.0, giveUp=4500.0, effect="unsafe", worth=9.0, lateValue=0.1),
                         dict(name="label", aim=900.0, giveUp=4500.0, effect="safe", worth=1.0, lateValue=0.1)]
    settings["peersTotal"] = FRONT_ENDS
    return settings


class StartingDuringARelease(unittest.TestCase):
    """Front ends that start while workers drain: the events of `known` are older than those of the coordinator."""

    def setUp(self):
        self.workers = {DRAINING_WORKER: Worker(), READY_WORKER: Worker()}
        listed = event(1, *(instance(name, it.address) for name, it in self.workers.items()), full=True)
        drain = event(2, instance(DRAINING_WORKER, self.workers[DRAINING_WORKER].address, "Terminating"))
        self.coordinator = Coordinator([listed, drain])
        self.known = {"index": 1, "updates": [listed]}
        for server in (self.coordinator, *self.workers.values()):
            self.addCleanup(server.stop)

    def received(self, name):
        worker = self.workers[name]
        return worker.frames_with(INVOKE) + worker.frames_with(LOAD)

    def test_nothing_goes_to_a_worker_that_drained_while_they_started(self):
        # Guards against sends to a drained worker before the coordinator's first answer. In the fault scenario `herd`
        # of the variant `many`, front ends that had just started sent 5 to 11 requests and load orders, 10 to 30 ms
        # before that answer announced a drain that was 0.36 s old.
        self.coordinator.answering.clear()
        with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
            front_ends = [stack.enter_context(FrontEndProcess(
                folder, f"n{n}", coordinator=str(self.coordinator.address), known=self.known,
                settings=short_grace_settings())) for n in range(FRONT_ENDS)]
            clients = [each.client() for each in front_ends]
            until(lambda: len(self.coordinator.last_event_ids) >= FRONT_ENDS)
            until(lambda: len(self.workers[DRAINING_WORKER].open) >= FRONT_ENDS)     # the connections are up
            for client in clients:
                for number, item in enumerate(ITEMS, 1):
                    client.ask(number, id_=f"{number:016x}", type_="label", left="4000", item=item)
                client.alive(30)        # answered after the requests before it have been read
            self.assertEqual(self.received(DRAINING_WORKER), [])
            self.coordinator.answering.set()
            statuses = {client.answer(number)[0] for client in clients for number in range(1, len(ITEMS) + 1)}
            self.assertEqual(statuses, {200})
            self.assertEqual(self.received(DRAINING_WORKER), [])
            self.assertTrue(self.received(READY_WORKER))


class BeforeTheFirstResponse(unittest.TestCase):
    """A front end that has started with the list of its configuration, while the coordinator does not answer yet."""

    def test_front_end_is_not_ready_and_a_request_waits(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            self.assertEqual(client.alive(2)[0], 503)
            self.assertEqual(len(it.node.listener.postponed), 1)
            it.coordinator.answering.set()
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(client.alive(2)[0], 200)

    def test_request_whose_time_runs_out_is_refused_in_time_and_never_sent(self):
        with Platform(answering=False) as it:
            begun = time.monotonic_ns()
            self.assertEqual(it.call(left="150")[0], 503)
            self.assertLess(time.monotonic_ns() - begun, 150 * MS)
            self.assertEqual(it.node.listener.refusal_counters.totals(), {"too-late": 1})
            it.coordinator.answering.set()
            self.assertEqual(it.call(id_=LATER)[0], 200)
            self.assertEqual([frame.id.hex() for frame in it.workers[0].frames_with(INVOKE)], [LATER])

    def test_request_aborted_by_its_client_is_never_sent(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            until(lambda: len(it.node.listener.postponed))
            client.abort()
            until(lambda: not len(it.node.listener.postponed))
            it.coordinator.answering.set()
            self.assertEqual(it.call(id_=LATER)[0], 200)
            self.assertEqual([frame.id.hex() for frame in it.workers[0].frames_with(INVOKE)], [LATER])

    def test_requests_are_served_after_a_while_without_any_response(self):
        with mock.patch("threadshift.node.front.FIRST_LIST_TIMEOUT", 200 * MS), Platform(answering=False) as it:
            until(lambda: it.client().alive()[0] == 200)
            self.assertEqual(it.call()[0], 200)

    def test_waiting_requests_are_refused_on_shutdown(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            until(lambda: len(it.node.listener.postponed))
            it.node.end()
            self.assertEqual(client.answer()[0], 503)
            it.running.join(5)
            self.assertTrue(it.running.ready())

    def test_no_more_requests_wait_than_there_may_be_activations(self):
        with Platform(answering=False) as it:
            it.node.listener.max_activations = 2
            client = it.client()
            for number in (1, 2, 3):
                client.ask(number, id_=f"{number:016x}", left="900")
            self.assertEqual(client.answer(3)[0], 503)
            self.assertEqual(it.node.listener.refusal_counters.totals(), {"too-many-activations": 1})


class UnreadUpdates(unittest.TestCase):
    """A drain that has arrived from the coordinator and has not been read yet, however short the stall was."""

    def drain_unread(self, it):
        """Sends a drain into the socket of the stream; the event loop has not run since."""
        it.coordinator.publish(event(2, instance("s-0", it.workers[0].address, "Terminating")))
        self.assertTrue(it.node.engine.dispatcher.workers["s-0"].ready)

    def assert_not_sent(self, it):
        self.assertFalse(it.node.engine.dispatcher.workers["s-0"].ready)
        self.assertEqual(it.workers[0].frames_with(INVOKE) + it.workers[0].frames_with(LOAD), [])

    def test_drain_is_read_before_an_answer_is_acted_upon(self):
        with Platform() as it:
            self.drain_unread(it)
            it.node.catch_up_after_stall()
            self.assert_not_sent(it)

    def test_drain_is_read_before_a_request_is_taken(self):
        with Platform() as it:
            client = it.client()
            until(lambda: it.node.listener.connections)
            connection = next(iter(it.node.listener.connections))
            self.drain_unread(it)
            connection.handle_input(request())
            self.assertEqual(client.answer()[0], 503)
            self.assert_not_sent(it)

    def test_drain_is_read_between_the_decision_and_the_write(self):
        # Guards against a stop between the two, during which the worker drains.
        with Platform() as it:
            link = it.node.links["s-0"]
            invoke, outcomes = link.invoke, []

            def invoke_after_drain(*arguments):
                self.drain_unread(it)
                return invoke(*arguments)
            link.invoke = invoke_after_drain
            it.node.engine.on_send_ended, ended = (
                lambda *arguments, **facts: outcomes.append(arguments[3]) or ended(*arguments, **facts),
                it.node.engine.on_send_ended)
            self.assertEqual(it.call()[0], 503)
            self.assertEqual(outcomes, [Outcome.UNREACHABLE])
            self.assert_not_sent(it)

    def test_drain_is_read_between_the_decision_and_the_write_of_a_load_order(self):
        with Platform() as it:
            link, ended = it.node.links["s-0"], []
            self.drain_unread(it)
            query = mock.Mock(function="00000000000000f1", is_done=False, on_answered=ended.append)
            self.assertEqual(link.order_load(query), Outcome.UNREACHABLE)
            until(lambda: not it.node.engine.dispatcher.workers["s-0"].ready)
            self.assert_not_sent(it)

    def test_drain_is_read_before_the_timer_decides(self):
        with Platform() as it:
            ready = []
            it.node.engine.due = lambda: 0
            it.node.engine.tick = lambda now: ready.append(it.node.engine.dispatcher.workers["s-0"].ready)
            self.drain_unread(it)
            it.node.on_tick(time.monotonic_ns(), 0)
            self.assertFalse(any(ready[-1:]))
            del it.node.engine.due, it.node.engine.tick

    def record_send_outcomes(self, it):
        """Returns a list that gets the outcomes of all sends each time the front end waits for unread updates."""
        seen, catch_up = [], it.node.catch_up_after_stall

        def noted():
            seen.extend(sent.outcome for pending in it.node.engine.requests.values() for sent in pending.sends)
            catch_up()
        it.node.catch_up_after_stall = noted
        return seen

    def test_updates_are_read_before_a_break_lets_requests_continue(self):
        with Platform([silent]) as it:
            client, seen = it.client(), self.record_send_outcomes(it)
            client.ask(type_="submit")
            until(lambda: it.workers[0].frames_with(INVOKE))
            for sock in it.workers[0].open:
                sock.shutdown(socket.SHUT_RDWR)
            self.assertEqual(client.answer()[0], 502)
            self.assertIn(None, seen)

    def test_updates_are_read_before_a_failed_dial_lets_requests_continue(self):
        fails = Event()

        def refused(address, limit):
            fails.wait(5)
            raise OSError("refused")
        with Platform() as it, mock.patch.object(link, "connect", refused):
            client, seen, only = it.client(), self.record_send_outcomes(it), it.node.links["s-0"]
            for connection in list(only.connections):
                only.close_connection(connection)
            client.ask(type_="submit")
            until(lambda: only.queue)
            fails.set()
            self.assertEqual(client.answer()[0], 503)
            self.assertIn(None, seen)

class UnreadUpdatesOfTheDaemon(unittest.TestCase):
    """The same for `threadshift run`, which gets its list of workers over a feed."""

    def test_unread_update_of_the_feed_is_read_before_anything_is_sent(self):
        with Live(workers=1) as live:
            for act in (live.front.catch_up_after_stall, live.front.api.read_updates):
                until(lambda: live.front.engine.dispatcher.workers["w0"].ready)
                live.list("w0", live.workers["w0"].address)
                changed = dict(live.feed.workers["w0"], state="draining")
                until(lambda: live.front.feed.generation == live.feed.generation)
                live.feed.generation += 1
                for peer in live.feed.peers:
                    peer.sock.sendall(encode("changes", generation=live.feed.generation, workers=[changed]))
                self.assertTrue(live.front.engine.dispatcher.workers["w0"].ready)
                act()
                self.assertFalse(live.front.engine.dispatcher.workers["w0"].ready)
                live.feed.execute_order(["state", "w0", "ready"])

    def test_unread_update_is_read_between_the_decision_and_the_write(self):
        with Live(workers=1) as live:
            link, enqueue, seen = live.front.links["w0"], live.front.links["w0"].enqueue, []
            has_unread_update, unread = live.front.has_unread_update, [True, True]

            def enqueue_before_update(*arguments):
                live.front.has_unread_update = lambda: bool(
                    seen.append(link.outbox.size > 0) or unread and unread.pop()) or has_unread_update()
                return enqueue(*arguments)
            link.enqueue = enqueue_before_update
            self.assertEqual(live.call("f").status, 200)
            self.assertEqual(seen[:3], [True, True, True])      # asked again each time before anything was written

    def test_requests_read_updates(self):
        with Live(workers=1) as live, mock.patch.object(live.front.api, "read_updates") as asked:
            live.call("f")
            self.assertTrue(asked.called)


class WithinOneEvent(unittest.TestCase):
    @staticmethod
    def ask_silent_worker(it):
        """Sends a request to one of two silent workers.

        Returns the client, the numbers of that worker and of the other one, and a worker that could replace it."""
        client = it.client()
        client.ask(left="900")
        until(lambda: any(each.frames_with(INVOKE) for each in it.workers))
        moved = next(n for n, each in enumerate(it.workers) if each.frames_with(INVOKE))
        successor = Worker()
        it.extra.append(successor)
        return client, moved, 1 - moved, successor

    def test_retry_after_a_replaced_link_avoids_a_worker_drained_by_the_same_event(self):
        with Platform([silent, silent]) as it:
            client, moved, other, successor = self.ask_silent_worker(it)
            it.coordinator.publish(event(2, instance(f"s-{moved}", successor.address),
                                     instance(f"s-{other}", it.workers[other].address, "Terminating")))
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(it.workers[other].frames_with(INVOKE), [])

    def test_retry_after_a_replaced_link_avoids_a_worker_drained_by_the_next_event_of_the_same_read(self):
        with Platform([silent, silent]) as it:
            client, moved, other, successor = self.ask_silent_worker(it)
            it.coordinator.publish(event(2, instance(f"s-{moved}", successor.address)))
            it.coordinator.publish(event(3, instance(f"s-{other}", it.workers[other].address, "Terminating")))
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(it.workers[other].frames_with(INVOKE), [])

    def test_the_same_for_the_feed_of_the_daemon(self):
        seen = []
        feed = sources.FeedSource(ANY, "f", mock.Mock(frame=1 << 20), mock.Mock(), lambda: 0.5)
        feed.listener.on_list = lambda entries, full: seen.append(feed.has_unread_data())
        entry = {"worker": "w0", "address": "127.0.0.1:1"}
        ours, peer = socket.socketpair()
        with closing(ours), closing(peer), mock.patch.object(sources, "connect", lambda *_: ours):
            peer.sendall(b"".join(encode(kind, generation=number, workers=[entry])
                                  for number, kind in ((1, "list"), (2, "changes"))))
            following = gevent.spawn(feed.follow)
            until(lambda: len(seen) == 2)
            following.kill()
        self.assertEqual(seen, [True, False])

    def test_invalid_entry_does_not_hide_a_drain_beside_it(self):
        with Platform() as it:
            it.coordinator.publish(event(2, instance("s-7", "nowhere", weight="heavy"),
                                     instance("s-0", it.workers[0].address, "Terminating")))
            until(lambda: not it.node.engine.dispatcher.workers["s-0"].ready)
            self.assertEqual(it.log.of("event-unreadable")[0]["entries"], 1)
            self.assertEqual(it.call()[0], 503)

    def test_drain_in_an_otherwise_invalid_entry_is_applied(self):
        with Platform() as it:
            it.coordinator.publish(event(2, instance("s-0", "nowhere", "Terminating", weight=None, zone=7)))
            until(lambda: not it.node.engine.dispatcher.workers["s-0"].ready)

    def test_worker_with_an_invalid_entry_in_a_full_list_is_unchanged(self):
        with Platform([serve, serve]) as it:
            it.coordinator.publish(event(2, instance("s-0", "nowhere"), full=True))
            until(lambda: not it.node.engine.dispatcher.workers["s-1"].ready)
            self.assertTrue(it.node.engine.dispatcher.workers["s-0"].ready)
            self.assertEqual(it.call()[0], 200)


class EventNumbers(unittest.TestCase):
    """Events that a front end must not skip."""

    def drained(self, it):
        until(lambda: not it.node.engine.dispatcher.workers["s-0"].ready)

    def reload(self, it, known, coordinator):
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(json.dumps(configuration(coordinator=str(coordinator.address), known=known)))
            file.flush()
            it.environment["NODE_CONFIG"] = file.name
            it.node.reload()

    def test_new_configuration_does_not_skip_events_that_were_not_applied(self):
        with Platform() as it:
            address = it.workers[0].address
            drain = event(2, instance("s-0", address, "Terminating"))
            later = event(3, instance("s-0", address, "Terminating", weight=2.0))
            for known in ({"index": 9, "updates": []}, {"index": 3, "updates": [later]}):
                self.reload(it, known, it.coordinator)
                self.assertEqual(it.node.coordinator.sequence.last, 1)
            moved = Coordinator([event(1, full=True), drain, later])
            it.extra.append(moved)
            self.reload(it, {"index": 9, "updates": []}, moved)
            self.drained(it)
            self.assertEqual(moved.last_event_ids, [1])

    def test_events_of_a_new_configuration_are_applied_at_once(self):
        with Platform() as it:
            address = it.workers[0].address
            self.reload(it, {"index": 3, "updates": [
                event(1, instance("s-0", address), full=True), event(2, instance("s-0", address, weight=2.0)),
                event(3, instance("s-0", address, "Terminating"))]}, it.coordinator)
            self.assertFalse(it.node.engine.dispatcher.workers["s-0"].ready)

    def test_stream_is_requested_again_once_if_an_event_is_missing(self):
        with Platform() as it:
            address = it.workers[0].address
            it.coordinator.events.append(event(2, instance("s-0", address, "Terminating")))     # not sent
            it.coordinator.publish(event(3, instance("s-9", address, "Gone")))
            self.drained(it)
            self.assertEqual(it.coordinator.last_event_ids[1:], [1])
            it.coordinator.publish(event(5, instance("s-0", address)))      # there is no event 4
            until(lambda: it.node.engine.dispatcher.workers["s-0"].ready)
            self.assertEqual(it.coordinator.last_event_ids[2:], [3])


class ReconnectingToTheCoordinator(unittest.TestCase):
    """The time between the front end counting as notified of a change and reading it."""

    FAILURES = (CONNECT_TIMEOUT, RESPONSE_TIMEOUT)     # a dial that hangs; a request without a response

    def found_after(self, lost_at, failures):
        """When an attempt succeeds that follows these failures, with each pause as long as possible."""
        backoff, now = ReconnectBackoff(lambda: 1.0, MAX_RETRY_PAUSE), lost_at
        now = backoff.on_disconnected(now)
        for took in failures:
            now = backoff.on_disconnected(now + took)
        return now

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(0, 3000), st.sampled_from(("break", "silence", "silence twice", "configuration")),
           st.lists(st.sampled_from(FAILURES), max_size=3))
    def test_two_failures_in_a_row_leave_the_whole_grace_and_three_all_but_140_ms(self, grace_ms, how, failures):
        grace = grace_ms * MS
        told, begun, most = {
            "break": (NOTIFIED_AFTER_BREAK, 0, 2), "silence": (NOTIFIED_AFTER_SILENCE, SILENCE_TIMEOUT, 2),
            "silence twice": (
                NOTIFIED_AFTER_SILENCE, self.found_after(SILENCE_TIMEOUT, []) + REPEATED_SILENCE_TIMEOUT, 1),
            "configuration": (NOTIFIED_AFTER_SILENCE, 0, 2)}[how]
        found = self.found_after(begun, failures)
        if len(failures) <= most:
            self.assertLessEqual(found, told)
            self.assertLessEqual(found, told + grace)
        elif how != "silence twice":
            self.assertLessEqual(found, told + 140 * MS)

    def test_coordinator_that_accepts_and_does_not_answer_is_dialled_again(self):
        with mock.patch.object(freshness, "RESPONSE_TIMEOUT", 100 * MS), Platform(answering=False) as it:
            until(lambda: len(it.coordinator.last_event_ids) == 2, seconds=1.0)
            self.assertEqual(it.log.of("coordinator-lost")[0]["problem"], "no answer in time")

    def test_slow_coordinator_is_reached_by_attempts_with_longer_timeouts(self):
        it = Freshness()
        limits = []
        for _ in range(5):
            limits.append(it.attempt_timeout())
            it.on_lost(silent=False, answered=False)
        self.assertEqual(limits, [CONNECT_TIMEOUT] * 3 + [PATIENT_TIMEOUT] * 2)
        it.on_bytes(SECOND)
        self.assertEqual(it.attempt_timeout(), CONNECT_TIMEOUT)

    def test_since_when_the_front_end_counts_as_notified(self):
        it = Freshness()
        self.assertEqual(it.notified_since(5 * SECOND, 0), 0)       # possibly before the start
        it.on_bytes(6 * SECOND)
        it.on_caught_up()
        it.on_bytes(7 * SECOND)
        self.assertEqual(it.notified_since(8 * SECOND, 30 * MS), 8 * SECOND - 30 * MS)
        it.on_lost(silent=False, answered=True)
        it.on_bytes(9 * SECOND)
        self.assertEqual(it.notified_since(9 * SECOND, 0), 7 * SECOND)
        it.on_lost(silent=False, answered=True)                 # lost again before the list was current
        self.assertEqual(it.notified_since(9 * SECOND, 0), 7 * SECOND)
        it.on_bytes(10 * SECOND)
        it.on_caught_up()
        self.assertEqual(it.notified_since(11 * SECOND, 0), 11 * SECOND)


class Settings(unittest.TestCase):
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 3000), st.sampled_from(("push", "ask", None)), st.sampled_from((None, 0.0, 50.0, 10_000.0)),
           st.integers(1, 12_000))
    def test_nothing_is_sent_before_the_first_answer(self, grace_ms, mode, ask_within, give_up):
        settings = short_grace_settings(float(grace_ms))
        settings["registryMode"], settings["rules"]["askWithin"] = mode, ask_within
        for lane in settings["lanes"]:
            lane["aim"], lane["giveUp"] = min(lane["aim"], float(give_up)), float(give_up)
        placed = front_end_config.parse_config(configuration(settings=settings, known={"index": 1, "updates": [
            event(1, instance("s-0", ANY), full=True)]}), {}, "test")
        self.assertEqual(placed.deployment.drain_grace, grace_ms * MS)
        node = Node(placed, {}, RecordingLog())
        node.ready_deadline = time.monotonic_ns() + SECOND
        self.assertTrue(node.list_is_stale())
        self.assertFalse(node.ready())
        node.coordinator.freshness.on_caught_up()
        self.assertFalse(node.list_is_stale())


class EmptyLists(unittest.TestCase):
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 3000), st.integers(0, 6000))
    def test_one_is_believed_within_the_grace_of_when_it_counts_as_told(self, grace_ms, late_ms):
        grace, told, read = grace_ms * MS, 10 * SECOND, 10 * SECOND + late_ms * MS
        it = WorkerRegistry(grace)
        it.apply_current(0, 0, [WorkerEntry("a", ANY)], full=True)
        changed = it.apply(read, 0, WorkerList([], full=True), told)
        while not changed:
            read += 5 * MS                  # the timer's tick
            changed = it.tick(read)
            self.assertLessEqual(read, max(told + grace, told + late_ms * MS) + 5 * MS)
        self.assertEqual([(each.worker, each.state) for each in changed], [("a", WorkerState.GONE)])
        if late_ms >= grace_ms:
            self.assertEqual(read, told + late_ms * MS)

    def test_workers_listed_after_an_empty_list_are_not_gone(self):
        it = WorkerRegistry(SECOND)
        it.apply_current(0, 0, [WorkerEntry("a", ANY), WorkerEntry("b", ANY)], full=True)
        it.apply_current(SECOND, 0, [], full=True)
        it.apply_current(SECOND + MS, 0, [WorkerEntry("b", ANY), WorkerEntry("c", ANY)], full=False)
        self.assertEqual([each.worker for each in it.tick(2 * SECOND)], ["a"])


if __name__ == "__main__":
    unittest.main()
