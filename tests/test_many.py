"""Losses by cause with many front ends, and the directives of scenario files for them."""
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from gevent.event import Event
from gevent.server import StreamServer

from tests.test_audit import COMPLETED, REPEATABLE, SENT, T0, events
from threadshift.audit.records import read, select_events
from threadshift.audit.report import audit
from threadshift.conf.reading import ConfigurationError
from threadshift.conf.values import Address
from threadshift.days.fault_scenario import read_text
from threadshift.days.orders import draw_orders
from threadshift.days.play import ScenarioRunner
from threadshift.days.traffic import client_calls
from threadshift.interface import MS, SECOND, Deployment, Effect, NamespaceType
from threadshift.invoke.client import Client
from threadshift.trials.causes import CAUSES, jain, losses

TYPES = (NamespaceType("t", 500 * MS, 2 * SECOND, 1.0, 0.3, Effect.REPEATABLE),)
DEPLOYMENT = Deployment(TYPES, cold_share=0.2, cold_time=10 * SECOND, fall_multiple=2.0, fall_time=SECOND,
                        idle_keep_alive=8 * SECOND)
DAY = """
length 10s
front-ends 40
uneven 2
fleet-of 4
type t {
    target-latency 500ms
    action-timeout 2s
    effect repeatable
}
traffic t {
    type t
    rate 400
}
trouble herd at 2s for 1s share 0.7
"""
UP = (-60_000, "up", "w0", {"cores": 2})
COLD = (-1_000, "up", "w1", {"cores": 2})
SEND = SENT | {"function": "f"}
STAYS = REPEATABLE | {"quits": False}
ASKED_FREE = (0, "try", "clients", STAYS | {"mark": "a"})


def send(at, worker="w0", **changes):
    return at, "invoke", worker, SEND | changes


def load(at, worker):
    return at, "load", worker, {"function": "f", "failed": ""}


class LossCauses(unittest.TestCase):
    def test_each_loss_is_assigned_to_the_first_cause_that_its_records_show(self):
        late = (900, *COMPLETED[1:])
        other = [(-100, "try", "clients", STAYS | {"mark": "b", "first": "b"}),
                 (-90, "invoke", "w0", SEND | {"mark": "b", "front": "front-1"})]
        ran, done = (20, "run", "w0", SEND), (850, "done", "w0", {"mark": "a"})
        refused = (5, "answer", "clients", {"mark": "a", "final": "rejected"})
        full = tuple(send(-900 + n, "w1", mark=f"x{n}", work_ms=200.0) for n in range(9))
        cases = (
            ("in time", (UP, ASKED_FREE, send(10), ran, (90, *done[1:]), COMPLETED), None),
            ("late", (UP, ASKED_FREE, send(10), ran, done, late), "late"),
            ("never ended", (UP, ASKED_FREE, send(10)), "lost, first to learn"),
            ("never ended, where another's did neither", (UP, *other, ASKED_FREE, send(10)), "lost, known to others"),
            ("refused", (UP, ASKED_FREE, refused), "refused"),
            ("refused beside a cold worker", (UP, COLD, ASKED_FREE, refused), "refused, cold room unused"),
            ("refused beside a cold worker that has its work", (UP, COLD, *full, ASKED_FREE, refused),
             "refused, no cold room"),
            ("its front end ended", (UP, ASKED_FREE, (5, "broke", "clients", {"mark": "a", "problem": "reset"})),
             "its front end gone"),
            ("behind the first copy", (UP, ASKED_FREE, send(10), load(500, "w0"), (510, *ran[1:]), done, late),
             "first copy"),
            ("behind a second one", (UP, load(-900, "w9"), ASKED_FREE, send(10), load(500, "w0"), (510, *ran[1:]),
                                     done, late), "copy brought again"),
        )
        for name, lines, cause in cases:
            found = losses(events(*lines), DEPLOYMENT)
            causes = {name: lost for name, lost in found.by_cause.items()}
            if cause and "others" in cause:
                causes.pop("lost, first to learn")      # that of the other call
            self.assertEqual(list(causes), [cause] if cause else [], name)
            self.assertTrue(set(causes) <= set(CAUSES))
            self.assertLessEqual(sum(found.by_cause.values()), found.asked)
        self.assertEqual(T0, 1000 * SECOND)

    def test_loads_are_needless_while_another_worker_has_a_copy(self):
        lines = (UP, ASKED_FREE, send(10), COMPLETED, load(0, "w0"), load(100, "w1"), load(200, "w1"),
                 load(20_000, "w2"))
        found = losses(events(*lines), DEPLOYMENT)
        self.assertEqual((found.loads, found.redundant_loads), (4, 2))

    def test_fairness(self):
        for values, expected in (([1.0, 1.0, 1.0], 1.0), ([1.0, 0.0, 0.0, 0.0], 0.25), ([0.0, 0.0], 1.0)):
            self.assertAlmostEqual(jain(values), expected)


class Directives(unittest.TestCase):
    def test_uneven_traffic_and_simultaneous_restarts(self):
        day = read_text(DAY)
        counts = Counter(each.front for each in client_calls(day, 1))
        mean = sum(counts.values()) / 40
        self.assertGreater(counts[0], 4 * mean)
        self.assertLess(counts[39], mean)
        kills = [each for each in draw_orders(day, 1) if each.words == "!kill"]
        restarts = [each for each in draw_orders(day, 1) if each.words == "!renew"]
        self.assertEqual((len(kills), {each.at for each in kills}), (28, {2 * SECOND}))
        self.assertEqual(({each.who for each in kills}, {each.at for each in restarts}),
                         ({each.who for each in restarts}, {3 * SECOND}))
        even = Counter(each.front for each in client_calls(read_text(DAY.replace("uneven 2", "")), 1))
        self.assertLess(max(even.values()), 2 * mean)
        with self.assertRaisesRegex(ConfigurationError, "uneven 0.5"):
            read_text(DAY.replace("uneven 2", "uneven 0.5"))

    def test_traffic_whose_functions_have_another_type_is_refused(self):
        """Guards against clients that believe in once-only calls where the gateway takes them for repeatable ones."""
        with self.assertRaisesRegex(ConfigurationError, "traffic once.*type 't', not 'once'"):
            read_text(PROCESSES.replace("functions once-* {\n    type once", "functions once-* {\n    type t"))


PROCESSES = """
length 7s
front-ends 12
uneven 1.5
fleet-of 24 {
    zones hall-a hall-b hall-c
    cores 1
}
store {
    capacity 20
    load-time 100ms
}
type t {
    target-latency 600ms
    action-timeout 2500ms
    effect repeatable
}
type once {
    target-latency 600ms
    action-timeout 2500ms
    effect once-only
}
functions once-* {
    type once
    lanes 2
}
functions * {
    type t
    lanes 2
}
fleet {
    probe yes
    load-window 5s
    load-free 6
    load-ratio 20%
    cold-share 20%
    cold-time 3s
    fall-multiple 2
}
traffic t {
    type t
    functions 30
    rate 60
    work 20ms
    retries 1
}
traffic once {
    type once
    functions 6
    rate 10
    work 20ms
}
trouble herd at 2s for 300ms share 0.67
trouble balancer_stall at 1s for 2s front 0
trouble balancer_stall at 3s for 2s front 1
trouble stall at 1500ms for 2s workers 2
trouble deploy at 2500ms for 2s workers 4
"""


class KeptConnections(unittest.TestCase):
    def test_client_reconnects_when_its_connection_ended_between_two_calls(self):
        closed = Event()

        def answer_once(sock, _):
            with sock:
                sock.recv(4096)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            closed.set()
        server = StreamServer(("127.0.0.1", 0), answer_once)
        server.start()
        try:
            client = Client(Address("127.0.0.1", server.server_port), timeout=2 * SECOND)
            for _ in range(2):
                self.assertEqual(client.request("GET", "/").status, 200)
                self.assertTrue(closed.wait(2))
                closed.clear()
            client.close()
        finally:
            server.stop()


class Processes(unittest.TestCase):
    """Twelve front ends and 24 workers, each a process.

    Eight front ends are killed and restarted at once and two are suspended; two workers read nothing and four are
    replaced."""

    def test_rules_and_shares_hold_while_most_front_ends_die_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            day = read_text(PROCESSES, seed=3)
            ScenarioRunner(day, PROCESSES, 3, Path(folder)).play()
            verdict = audit(Path(folder))
            events = read(Path(folder))
        self.assertEqual(verdict.breaches, [])
        killed = [each for each in select_events(events, "killing") if each["who"].startswith("front")]
        self.assertEqual(len(killed), 8)
        self.assertEqual(len(select_events(events, "stopped")), 2)
        self.assertFalse(select_events(events, "fell-over"))
        found = losses(events, day.config.deployment)
        # Every front end that stayed up or came back serves its share, and not each of them loads its own copy.
        shares = [served / asked for asked, served in found.served.values() if asked >= 5]
        self.assertGreater(jain(shares), 0.8, found.served)
        self.assertGreater(verdict.ratio, 0.5, verdict.line)
        self.assertLess(found.loads, 36 * 6, found)
