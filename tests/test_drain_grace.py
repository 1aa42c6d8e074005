"""Rule 3, sends after the drain grace: orders of events in which a front end does not know yet what counts as told.

A drain counts as told once the coordinator has it, whether or not a front end is connected then. Each test makes one
such order happen every time, on real connections of loopback, under settings of a customer with a short grace.
"""
import json
import os
import sys
import tempfile
import time
import unittest
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

from gevent import subprocess

from tests.live import free_port, until
from tests.platform import SETTINGS, Client, Coordinator, Platform, Worker, configuration, event, instance
from threadshift.conf.values import Address
from threadshift.frames.codec import HOLD, INVOKE
from threadshift.interface import MS

ROOT = Path(__file__).resolve().parent.parent
DRAINING_WORKER, READY_WORKER = "s-0", "s-1"
LATER = "00000000000000b1"      # id of a request that comes later
FRONT_ENDS = 3
ITEMS = [f"{n:016x}" for n in range(12)]       # functions; some have the draining worker as their home


def short_grace_settings(grace_ms=300.0):
    settings = json.loads(json.dumps(SETTINGS))
    settings["rules"]["drainGrace"] = grace_ms
    settings["lanes"] = [dict(name="seal", aim=900.0, giveUp=4500.0, effect="unsafe", worth=9.0, lateValue=0.1),
                         dict(name="label", aim=900.0, giveUp=4500.0, effect="safe", worth=1.0, lateValue=0.1)]
    settings["peersTotal"] = FRONT_ENDS
    return settings


class FrontEndProcess:
    """`python -m threadshift.node` with a configuration file; ended when the context is left."""

    def __init__(self, folder, name, **changes):
        self.address = Address("127.0.0.1", free_port())
        path = Path(folder, f"{name}.json")
        path.write_text(json.dumps(configuration(name=name, listen=str(self.address), **changes)))
        self.process = subprocess.Popen([sys.executable, "-m", "threadshift.node"], cwd=ROOT,
                                        env=os.environ | {"NODE_CONFIG": str(path)}, stderr=subprocess.DEVNULL)
        self.clients = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.close()
        self.process.kill()
        self.process.wait()

    def client(self):
        until(self.accepts)
        return self.clients[-1]

    def accepts(self):
        try:
            self.clients.append(Client(self.address))
        except OSError:
            return False
        return True


class StartingUnderARelease(unittest.TestCase):
    """Front ends are started while workers drain: what `known` says is older than what the coordinator has."""

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
        return worker.codes(INVOKE) + worker.codes(HOLD)

    def test_nothing_goes_to_a_worker_that_drained_while_they_started(self):
        # As on the herd day of the variant `many`: 5 to 11 sends and load orders by front ends that had just been
        # started, 10 to 30 ms before the coordinator's first answer told of a drain 0.36 s old.
        self.coordinator.answering.clear()
        with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
            front_ends = [stack.enter_context(FrontEndProcess(
                folder, f"n{n}", coordinator=str(self.coordinator.address), known=self.known,
                settings=short_grace_settings())) for n in range(FRONT_ENDS)]
            clients = [each.client() for each in front_ends]
            until(lambda: len(self.coordinator.asked) >= FRONT_ENDS)
            until(lambda: len(self.workers[DRAINING_WORKER].open) >= FRONT_ENDS)     # connections stand
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


class BeforeTheFirstAnswer(unittest.TestCase):
    """A front end that has started, with the list of its configuration and a coordinator that does not answer yet."""

    def test_it_is_not_ready_and_a_request_waits_for_the_answer(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            self.assertEqual(client.alive(2)[0], 503)
            self.assertEqual(len(it.node.door.postponed), 1)
            it.coordinator.answering.set()
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(client.alive(2)[0], 200)

    def test_one_whose_time_runs_out_is_refused_before_that_and_never_sent(self):
        with Platform(answering=False) as it:
            begun = time.monotonic_ns()
            self.assertEqual(it.call(left="150")[0], 503)
            self.assertLess(time.monotonic_ns() - begun, 150 * MS)
            self.assertEqual(it.node.door.tally.totals(), {"too-late": 1})
            it.coordinator.answering.set()
            self.assertEqual(it.call(id_=LATER)[0], 200)
            self.assertEqual([frame.id.hex() for frame in it.workers[0].codes(INVOKE)], [LATER])

    def test_one_whose_client_gives_it_up_is_never_sent(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            until(lambda: len(it.node.door.postponed))
            client.abort()
            until(lambda: not len(it.node.door.postponed))
            it.coordinator.answering.set()
            self.assertEqual(it.call(id_=LATER)[0], 200)
            self.assertEqual([frame.id.hex() for frame in it.workers[0].codes(INVOKE)], [LATER])

    def test_without_any_answer_it_serves_all_the_same_after_a_while(self):
        with mock.patch("threadshift.node.front.LIST_WAIT", 200 * MS), Platform(answering=False) as it:
            until(lambda: it.client().alive()[0] == 200)
            self.assertEqual(it.call()[0], 200)

    def test_told_to_end_meanwhile_it_refuses_what_waits(self):
        with Platform(answering=False) as it:
            client = it.client()
            client.ask(left="900")
            until(lambda: len(it.node.door.postponed))
            it.node.end()
            self.assertEqual(client.answer()[0], 503)
            it.running.join(5)
            self.assertTrue(it.running.ready())

    def test_no_more_requests_wait_than_there_may_be_calls(self):
        with Platform(answering=False) as it:
            it.node.door.activations = 2
            client = it.client()
            for number in (1, 2, 3):
                client.ask(number, id_=f"{number:016x}", left="900")
            self.assertEqual(client.answer(3)[0], 503)
            self.assertEqual(it.node.door.tally.totals(), {"too-many-activations": 1})


if __name__ == "__main__":
    unittest.main()
