"""Fleets with thousands of workers: the work of a front end for each of them must not delay requests.

The tests follow from a production incident (docs/incidents/2026-12-02-thousands-of-workers.md). The stand-in workers
share a few addresses, but a front end treats each as a worker of its own.
"""
import json
import tempfile
import time
import unittest
from contextlib import ExitStack, suppress
from unittest import mock

import gevent
import gevent.event
from gevent import socket

from tests.live import until
from tests.platform import SETTINGS, Coordinator, Platform, Worker, event, instance
from tests.processes import FrontEndProcess
from threadshift.choice import FALLBACK_CANDIDATE_LIMIT, Dispatcher
from threadshift.coordinator.events import parse_update
from threadshift.coordinator.stream import Response
from threadshift.engine.engine import PendingWorkerQuery
from threadshift.frames.codec import FROM_WORKER, FULL, INVOKE, LOAD, PROBE, encode
from threadshift.gateway.base_front_end import JOIN_BATCH
from threadshift.interface import MS, SECOND, Deployment, Effect, WorkerListing, NamespaceType, WorkerState
from threadshift.node.descriptors import Descriptors
from threadshift.ring import POINTS

WORKERS = 3_200            # the limit stated on the operators' page
FRONT_ENDS = 3
LEFT_MS = 1_280            # deadline of the clients, as in the incident
READY_S = 30               # until a front end has to be ready
LATE_MS = 500              # after its deadline, until a request without an answer counts as lost
ITEMS = [f"{n:016x}" for n in range(24)]


def settings_of_a_fleet():
    settings = json.loads(json.dumps(SETTINGS))
    settings["peersTotal"] = 200
    settings["lanes"] = [dict(name="check", aim=350.0, giveUp=float(LEFT_MS), effect="safe", worth=1.0,
                              lateValue=0.3)]
    return settings


def answer_of(client, number):
    """Returns the status of the answer and the ns until it came; the status is None if none came in time."""
    since = time.monotonic_ns()
    client.sock.settimeout((LEFT_MS + LATE_MS) / 1_000)
    try:
        answer = client.answer(number)
    except OSError:
        answer = None
    return answer and answer[0], time.monotonic_ns() - since


def is_alive(front_end):
    """Whether the front end reports that it serves."""
    try:
        return front_end.client().alive()[0] == 200
    except OSError:
        return False


class ThousandsOfWorkers(unittest.TestCase):

    def setUp(self):
        self.ready, self.draining = Worker(), Worker()
        self.addCleanup(self.ready.stop)
        self.addCleanup(self.draining.stop)
        self.names = [f"s-{n:08x}" for n in range(WORKERS)]
        self.drained = self.names[::4]
        listed = event(1, *(instance(name, self.address(name)) for name in self.names), full=True)
        self.coordinator = Coordinator([listed])
        self.addCleanup(self.coordinator.stop)
        self.known = {"index": 1, "updates": [listed]}

    def address(self, name):
        return (self.draining if int(name[2:], 16) % 4 == 0 else self.ready).address

    def drain(self):
        """One event of a release that drains a quarter of the workers."""
        return event(2, *(instance(name, self.draining.address, "Terminating") for name in self.drained))

    def start(self, stack):
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        return [stack.enter_context(FrontEndProcess(
            folder, f"n{n}", coordinator=str(self.coordinator.address), known=self.known,
            settings=settings_of_a_fleet(), limits={"cores": 1.0, "memory_mb": 192, "sockets": 512}))
            for n in range(FRONT_ENDS)]

    def test_requests_are_answered_from_the_first_accept_on(self):
        with ExitStack() as stack:
            waits = [gevent.spawn(self.first_request, each) for each in self.start(stack)]
            gevent.joinall(waits, raise_error=True)
            answers = [each.value for each in waits]
        self.assertEqual([status for status, _ in answers], [200] * FRONT_ENDS)
        self.assertLess(max(waited for _, waited in answers), LEFT_MS * MS)

    def first_request(self, front_end):
        client = front_end.client()
        client.ask(left=str(LEFT_MS))
        return answer_of(client, 1)

    def test_nothing_goes_to_workers_that_drained_before_a_large_answer_of_the_coordinator(self):
        self.coordinator.events.append(self.drain())
        with ExitStack() as stack:
            front_ends = self.start(stack)
            for each in front_ends:
                until(lambda each=each: is_alive(each), seconds=READY_S)
            clients = [each.client() for each in front_ends]
            for client in clients:
                for number, item in enumerate(ITEMS, 1):
                    client.ask(number, id_=f"{number:016x}", left=str(LEFT_MS), item=item)
            statuses = [answer_of(client, number)[0] for client in clients for number in range(1, len(ITEMS) + 1)]
        self.assertEqual(self.draining.frames_with(INVOKE) + self.draining.frames_with(LOAD), [])
        self.assertEqual(set(statuses), {200})


class MoreWorkersThanConnections(unittest.TestCase):
    """One front end in the process of the test with 256 descriptors, and workers for more than a quarter of them."""

    WORKERS = 100

    def setUp(self):
        self.worker = Worker()
        self.addCleanup(self.worker.stop)
        self.platform = Platform(scripts=())
        listed = event(1, *map(self.entry, range(self.WORKERS)), full=True)
        self.platform.coordinator.events = [listed]
        self.enterContext(self.platform)
        self.node = self.platform.node
        until(lambda: len(self.node.engine.dispatcher.ready_workers) == self.WORKERS)

    def entry(self, number, state="Ready"):
        return instance(f"s-{number}", self.worker.address, state)

    def test_a_worker_is_dialled_when_something_waits_for_it(self):
        self.assertEqual(self.node.worker_connections, 0)
        self.assertEqual(self.platform.call()[0], 200)
        self.assertEqual(self.node.worker_connections, sum(
            len(link.connections) for link in self.node.links.values()))
        self.assertIn(self.node.worker_connections, (1, 2))        # for the request, and perhaps one for a load order

    def test_probe_waits_for_its_dial(self):
        link = next(iter(self.node.links.values()))
        self.assertIsNone(link.probe(PendingWorkerQuery(self.node.engine, link.worker)))
        self.assertEqual(len(link.queue), 1)
        until(lambda: len(self.worker.frames_with(PROBE)) == 1)

    def test_connection_that_ended_is_not_dialled_again_without_need(self):
        self.assertEqual(self.platform.call()[0], 200)
        until(lambda: not any(link.dialler for link in self.node.links.values()))
        in_all = self.node.total_dials
        for sock in self.worker.open:
            sock.shutdown(socket.SHUT_RDWR)
        until(lambda: not self.node.worker_connections)
        gevent.sleep(0.1)
        self.assertEqual((self.node.worker_connections, self.node.total_dials), (0, in_all))

    def test_drains_are_applied_at_once_and_new_workers_join_in_batches(self):
        new = range(self.WORKERS, self.WORKERS + 3 * JOIN_BATCH)
        update = parse_update(event(2, self.entry(0, "Terminating"), *map(self.entry, new)))
        self.node.on_list_update(update)
        ready = {worker.name for worker in self.node.engine.dispatcher.ready_workers}
        self.assertEqual(len(ready), self.WORKERS - 1)
        self.assertNotIn("s-0", ready)
        last = new[-1]      # drains while it still waits to join
        self.node.on_list_update(parse_update(event(3, self.entry(last, "Terminating"))))
        until(lambda: not self.node.joining)
        ready = {worker.name for worker in self.node.engine.dispatcher.ready_workers}
        self.assertEqual(len(ready), self.WORKERS - 1 + len(new) - 1)
        self.assertNotIn(f"s-{last}", ready)

    def test_worker_that_is_gone_before_it_joins_does_not_join(self):
        new = range(self.WORKERS, self.WORKERS + 2 * JOIN_BATCH)
        self.node.on_list_update(parse_update(event(2, *map(self.entry, new))))
        gone = f"s-{new[-1]}"
        # as when a full list lacks it
        self.node.apply_changes([self.node.registry.set_state(gone, WorkerState.GONE)])
        until(lambda: not self.node.joining)
        self.assertNotIn(gone, {worker.name for worker in self.node.engine.dispatcher.ready_workers})

    def test_connections_are_counted_as_they_come_and_go(self):
        for number in range(12):
            self.platform.call(id_=f"{number:016x}", item=f"{number:016x}")
        until(lambda: not any(link.dialler for link in self.node.links.values()))
        self.assertEqual(self.node.worker_connections, sum(
            len(link.connections) for link in self.node.links.values()))
        for link in list(self.node.links.values()):
            link.stop()
        self.assertEqual((self.node.worker_connections, self.node.open_connections), (0, {}))


class Starting(unittest.TestCase):

    def test_list_is_applied_before_the_front_end_listens(self):
        platform = Platform(scripts=())
        listening = []
        prepare = platform.node.join_known_workers
        with mock.patch.object(platform.node, "join_known_workers",
                               lambda: (listening.append(platform.node.listening_socket), prepare())), platform:
            self.assertEqual(listening, [None])
            self.assertIsNotNone(platform.node.listening_socket)


class ShutdownWhileStarting(unittest.TestCase):

    def test_front_end_never_listens(self):
        # The time until the front end is killed runs from the signal, not from when the list has been applied.
        platform = Platform(scripts=())
        self.addCleanup(platform.coordinator.stop)
        with mock.patch.object(platform.node, "join_known_workers", platform.node.end):
            platform.node.run()
        self.assertIsNone(platform.node.listening_socket)
        names = [name for name, _ in platform.log.events]
        self.assertNotIn("started", names)
        self.assertEqual(names[-1], "ended")


class StoppedWhileDialling(unittest.TestCase):

    def test_connection_that_comes_up_after_the_stop_is_not_counted(self):
        with Platform() as it:
            link = it.node.links["s-0"]
            came_up, go_on = gevent.event.Event(), gevent.event.Event()

            def slow_connect(address, limit):
                came_up.set()
                with gevent.Timeout(5), suppress(gevent.GreenletExit):
                    go_on.wait()
                return socket.create_connection(tuple(address)[:2])

            with mock.patch("threadshift.frames.link.connect", slow_connect):
                link.dial()
                self.assertTrue(came_up.wait(5))
                it.node.links.pop("s-0").stop()
                gevent.sleep(0.05)
            self.assertEqual((it.node.worker_connections, link.connections), (0, []))


class AllWorkersCold(unittest.TestCase):
    """A fleet in which every worker has just started, so that no worker may be sent anything."""

    WORKERS, CALLS, FUNCTIONS = 1_920, 200, 40

    def test_request_does_not_visit_the_whole_ring(self):
        # Visiting all workers took half a second of processor time for one request, and other requests stayed unread
        # meanwhile.
        deployment = Deployment(
            (NamespaceType("check", 100 * MS, 2_500 * MS, 1.0, 0.3, Effect.REPEATABLE),), front_ends=2, max_sends=4,
            cold_share=0.2, cold_time=17 * SECOND, fall_multiple=2.0, max_retry_after=SECOND)
        now = 100 * SECOND
        dispatcher = Dispatcher(1, deployment, now)
        dispatcher.update_workers(
            now, [WorkerListing(f"s-{n}", WorkerState.READY, started_at=now) for n in range(self.WORKERS)], full=True)
        longest = 0.0
        for number in range(self.CALLS):
            since = time.process_time()
            act = dispatcher.admit(now, f"c{number}", "check", f"f{number % self.FUNCTIONS}", 2_500 * MS)
            act.start(now)
            longest = max(longest, time.process_time() - since)
        self.assertLess(longest, 0.05)

    def test_request_that_finds_no_capacity_looks_at_some_workers_only(self):
        dispatcher, act = self.one_call(self.WORKERS)
        with mock.patch.object(dispatcher, "has_cold_capacity", return_value=False) as looked, mock.patch.object(
                dispatcher, "is_eligible", return_value=False):
            act.start(0)
        self.assertEqual(looked.call_count, FALLBACK_CANDIDATE_LIMIT)

    def test_clockwise_order_has_every_worker_once_and_ends(self):
        dispatcher, act = self.one_call(50)
        with mock.patch.object(dispatcher.ring, "next", wraps=dispatcher.ring.next) as steps:
            self.assertEqual(sorted(worker.name for worker in dispatcher.clockwise_workers(act.function)),
                             sorted(f"s-{n}" for n in range(50)))
        self.assertLess(steps.call_count, 50 * POINTS // 4)

    def one_call(self, workers):
        dispatcher = Dispatcher(1, Deployment((NamespaceType(
            "check", 100 * MS, 2_500 * MS, 1.0, 0.3, Effect.REPEATABLE),)), 0)
        dispatcher.update_workers(0, [WorkerListing(f"s-{n}", WorkerState.READY) for n in range(workers)], full=True)
        return dispatcher, dispatcher.admit(0, "c", "check", "f", SECOND)


class ConnectionsOfManyWorkers(unittest.TestCase):

    def test_half_of_the_descriptors_are_for_workers_that_are_dialled_when_needed(self):
        shared = Descriptors(512)
        self.assertTrue(shared.dials_ahead(128))
        self.assertFalse(shared.dials_ahead(129))
        self.assertTrue(shared.has_room_for_worker(0, 255, 3_200))
        self.assertFalse(shared.has_room_for_worker(0, 256, 3_200))
        self.assertTrue(shared.has_room_for_worker(0, 256, 128))


class LogLines(unittest.TestCase):
    """The log says why a request was refused, retried or given up, with its id."""

    def test_a_refused_request_is_named(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(id_="00000000000000c1", left="60")
            self.assertEqual(client.answer()[0], 503)
            [line] = it.log.of("request-refused")
            self.assertEqual((line["id"], line["reason"]), ("00000000000000c1", "too-late"))

    def test_the_attempts_of_a_request_are_named(self):
        def turn_away(worker, sock, it):
            if it.code == INVOKE:
                sock.sendall(encode(FULL, it.id, sender=FROM_WORKER))

        with Platform(scripts=(turn_away, turn_away)) as it:
            self.assertEqual(it.call(id_="00000000000000c2")[0], 503)
            [line] = it.log.of("request-ended")
            self.assertEqual(line["id"], "00000000000000c2")
            self.assertRegex(line["attempts"][0], r"s-\d \+\d+ full")

    def test_log_says_when_the_front_end_serves_and_with_which_list(self):
        with Platform() as it:
            until(lambda: it.log.of("serving"))
            [line] = it.log.of("serving")
            self.assertEqual((line["received"], line["last_event"]), (True, 1))
            self.assertTrue(it.log.of("coordinator-current"))
            self.assertEqual(it.log.of("list-applied")[0]["listed"], 1)


class HeadAndEventsTogether(unittest.TestCase):
    """A response whose first read contains more than the head."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

    def test_the_bound_on_the_head_does_not_count_the_events_behind_it(self):
        body = b"data: x\n\n" * 7_000
        self.assertEqual(Response().feed(self.HEAD + body), body)

    def test_a_head_without_end_is_refused(self):
        response = Response()
        with self.assertRaisesRegex(OSError, "response head is over"):
            for _ in range(64):
                response.feed(b"X-Filler: " + b"x" * 1_000 + b"\r\n" if response.head_size else self.HEAD[:-2])


if __name__ == "__main__":
    unittest.main()
