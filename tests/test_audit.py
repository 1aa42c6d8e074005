"""The audit must fail where a rule is broken: in recordings, and with front ends that break one on purpose."""
import json
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from tests.live import Live
from threadshift.audit.records import Seen, Unreadable, read
from threadshift.audit.rules import SLACK, breaches
from threadshift.engine.engine import RequestEngine
from threadshift.interface import MS, SECOND, Deployment, Outcome

TOLD = Deployment((), drain_grace=SECOND, cold_share=0.2, cold_time=10 * SECOND, fall_multiple=2.0,
                  fall_time=SECOND, load_window=5 * SECOND, load_free=2, load_ratio=0.2)
T0 = 1000 * SECOND
ONCE = dict(front=0, type="t", effect="once-only", left_ms=1000, first="a", deferred=False)
FREE = ONCE | {"effect": "repeatable"}
SENT = dict(front="front-0", mark="a", work_ms=10.0)


def seen(*lines):
    """(ms, event, source, facts) as records."""
    return sorted((Seen(T0 + ms * MS, event, source, facts) for ms, event, source, facts in lines),
                  key=lambda each: each.t)


def rules(*lines):
    return {each.rule for each in breaches(seen(*lines), TOLD, 2)}


ASKED = (0, "try", "clients", ONCE | {"mark": "a"})
ASKED_FREE = (0, "try", "clients", FREE | {"mark": "a"})
DONE = (100, "answer", "clients", {"mark": "a", "final": "completed", "status": 200})
NO = (100, "answer", "clients", {"mark": "a", "final": "rejected", "status": 503})
SEND, RUN = (10, "invoke", "w0", SENT), (20, "run", "w0", SENT)


class Recordings(unittest.TestCase):
    def test_each_rule_broken_and_kept(self):
        late = 1000 + SLACK // MS + 50
        cases = (
            ("a call answered once", (ASKED, SEND, RUN, DONE), set()),
            ("no answer", (ASKED, SEND), {1}),
            ("two answers", (ASKED, SEND, DONE, DONE), {1}),
            ("an answer too late", (ASKED, SEND, (late, *DONE[1:])), {1}),
            ("a client that quit", (ASKED, SEND, (50, "quit", "clients", {"mark": "a"})), set()),
            ("broken with no kill", (ASKED, (50, "broke", "clients", {"mark": "a", "problem": "reset"})), {1}),
            ("refused at connecting", (ASKED, (50, "broke", "clients", {"mark": "a", "problem": "refused"})), set()),
            ("held by a killed front end", (ASKED, SEND, (30, "killing", "conductor", {"who": "front-0"})), set()),
            ("held by another one", (ASKED, SEND, (30, "killing", "conductor", {"who": "front-1"})), {1}),
            ("killed and back before the call",
             ((-900, "killing", "conductor", {"who": "front-0"}), (-500, "front-up", "conductor", {"front": 0}),
              ASKED, SEND), {1}),
            ("late while it was stopped", (ASKED, (900, "stopped", "conductor", {"who": "front-0"}),
                                           (1900, "goes-on", "conductor", {"who": "front-0"}),
                                           (1950, *DONE[1:])), set()),
            ("refused late by one of several, which was stopped", (
                (0, "try", "clients", FREE | {"mark": "a", "front": -1}),
                (10, "stopped", "conductor", {"who": "front-1"}),
                (1900, "goes-on", "conductor", {"who": "front-1"}), (1950, *NO[1:])), set()),
            ("refused late by one that others' stops do not excuse", (
                ASKED_FREE, (10, "stopped", "conductor", {"who": "front-1"}),
                (1900, "goes-on", "conductor", {"who": "front-1"}), (1950, *NO[1:])), {1}),
            ("a send after the answer", (ASKED_FREE, DONE, (500, "invoke", "w1", SENT)), {1}),
            ("read late by a stalled worker", (
                ASKED_FREE, DONE, (5, "order", "w1", {"words": ["stall", "1s"]}), (600, "invoke", "w1", SENT)),
             set()),
            ("run twice", (ASKED, SEND, RUN, (30, "run", "w1", SENT), DONE), {2}),
            ("sent again though it may have run", (ASKED, SEND, (30, "invoke", "w1", SENT), DONE), {2}),
            ("sent again after full", (ASKED, SEND, (20, "turned", "w0", {"mark": "a", "kind": "full"}),
                                       (30, "invoke", "w1", SENT), (40, "run", "w1", SENT), DONE), set()),
            ("rejected though it ran", (ASKED, SEND, RUN, NO), {2}),
            ("rejected though it may have run", (ASKED, SEND, NO), {2}),
            ("rejected unsent", (ASKED, NO), set()),
            ("repeatable run twice", (ASKED_FREE, SEND, RUN, (30, "run", "w1", SENT), DONE), set()),
            ("two at once", (ASKED_FREE, SEND, (30, "invoke", "w1", SENT), DONE), {2}),
            ("one held back by a cut, called off, sent elsewhere, read late", (
                ASKED_FREE, (-900, "order", "w1", {"words": ["cut", "0.92s"]}), SEND, (30, "invoke", "w1", SENT),
                (31, "cancel", "w1", {"mark": "a", "front": "front-0"}), DONE), set()),
            ("sent past the grace", (ASKED, (-1500, "told", "roster", {"front": "front-0", "full": False,
                                             "states": {"w0": "draining"}}), SEND, RUN, DONE), {3}),
            ("sent within the grace", (ASKED, (-900, "told", "roster", {"front": "front-0", "full": False,
                                               "states": {"w0": "draining"}}), SEND, RUN, DONE), set()),
            ("another front end was told", (ASKED, (-1500, "told", "roster", {"front": "front-1", "full": False,
                                                    "states": {"w0": "gone"}}), SEND, RUN, DONE), set()),
            ("sent past the worker's own word", (
                ASKED, (-1500, "order", "w0", {"words": ["drain"]}), SEND, RUN, DONE), {3}),
            ("its own word before it started anew", (
                ASKED, (-1500, "order", "w0", {"words": ["drain"]}), (-100, "up", "w0", {}), SEND, RUN, DONE), set()),
            ("ordered past the grace", ((-1500, "told", "roster", {"front": "front-0", "full": False,
                                         "states": {"w0": "gone"}}), (0, "hold", "w0", {"front": "front-0"})), {3}),
            ("a cold worker flooded", ((0, "up", "w0", {}), *(
                (100 + n, "invoke", "w0", {"front": "f", "mark": "", "work_ms": 100.0}) for n in range(12))), {4}),
            ("a warm worker", ((-20000, "up", "w0", {}), *(
                (100 + n, "invoke", "w0", {"front": "f", "mark": "", "work_ms": 100.0}) for n in range(12))), set()),
            ("fell over", ((0, "fell-over", "w0", {}),), {4}),
            ("three orders of two", tuple((n, "hold", f"w{n}", {"front": "front-0"}) for n in range(3)), {5}),
            ("three orders, five taken", (*((n, "hold", f"w{n}", {"front": "front-0"}) for n in range(3)), *(
                line for n in range(5) for line in ((-9, "try", "clients", FREE | {"mark": f"m{n}"}),
                                                    (9, "answer", "clients", DONE[3] | {"mark": f"m{n}"})))), set()),
        )
        for name, lines, expected in cases:
            self.assertEqual(rules(*lines), expected, name)

    def test_what_cannot_be_read_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaises(Unreadable):
                read(Path(folder))
            path = Path(folder) / "w0.jsonl"
            path.write_text('{"t":1,"e":"up"}\n{"t":2,"e":"invo')
            self.assertEqual(len(read(Path(folder))), 1)        # killed in the middle of its last line
            path.write_text('{"t":1,"e":"up"}\nnonsense\n{"t":2,"e":"up"}\n')
            with self.assertRaises(Unreadable) as caught:
                read(Path(folder))
            self.assertIn("w0.jsonl:2", str(caught.exception))


class Ask:
    """Clients of a live rig, recorded as days record theirs."""

    def __init__(self, live, folder):
        self.live, self.path, self.number = live, Path(folder) / "clients.jsonl", 0

    def note(self, event, **facts):
        with open(self.path, "a") as file:
            file.write(json.dumps({"t": time.monotonic_ns(), "e": event, **facts}) + "\n")

    def call(self, function, left=1000, work=0):
        self.number += 1
        mark = f"m{self.number}"
        effect = "once-only" if function.startswith("submit") else "repeatable"
        self.note("try", mark=mark, first=mark, front=0, type="t", effect=effect, left_ms=left)
        body = json.dumps({"mark": mark}, separators=(",", ":")).encode()
        with gevent.Timeout(left / 1000 + 0.5, False):
            reply = self.live.call(function, body, time_left=str(left), work_hint=str(work))
            self.note("answer", mark=mark, final=reply.headers["final"], status=reply.status)


def told(**changes):
    return Deployment((), drain_grace=100 * MS)._replace(**changes)


class LiveSabotage(unittest.TestCase):
    """Real front ends, the same run kept and broken: only the broken one may fail, and by its own rule."""

    def verdict(self, deployment, run, sabotage=None, **rig):
        with tempfile.TemporaryDirectory() as folder:
            with Live(records=folder, **rig) as live:
                if sabotage:
                    sabotage(live)
                run(live, Ask(live, folder))
            return {each.rule for each in breaches(read(Path(folder)), deployment, 2)}

    def both(self, rule, deployment, run, sabotage, **rig):
        self.assertEqual(self.verdict(deployment, run, **rig), set())
        self.assertEqual(self.verdict(deployment, run, sabotage, **rig), {rule})

    def test_rule_1_an_answer_kept_back(self):
        def drop(live):
            live.front.api.on_answered = lambda pending: None
        self.both(1, told(), lambda live, ask: ask.call("f", 300), drop)

    def test_rule_2_a_broken_send_taken_for_one_that_never_ran(self):
        def lie(live):
            true = RequestEngine.on_send_ended

            def ended(engine, pending, now, number, outcome, *rest):
                true(engine, pending, now, number,
                     Outcome.UNREACHABLE if outcome is Outcome.RESET else outcome, *rest)
            live.front.engine.on_send_ended = ended.__get__(live.front.engine)

        def run(live, ask):
            ask.call("submit-x")
            for worker in live.workers.values():
                worker.execute_order(["break-after-run", "5s"])
            ask.call("submit-x")
        self.both(2, told(), run, lie)

    def test_rule_3_a_drain_not_heard(self):
        def deaf(live):
            live.front.apply_listings = lambda listings: None

        def run(live, ask):
            ask.call("f")
            for name in live.workers:
                live.feed.execute_order(["state", name, "draining"])
            gevent.sleep(0.1 + SLACK / SECOND + 0.05)
            ask.call("f", 300)
        self.both(3, told(), run, deaf)

    def test_rule_4_a_cold_worker_flooded(self):
        cold = dict(cold_share=0.2, cold_time=20 * SECOND, fall_multiple=2.0, fall_time=SECOND)

        def careless(live):
            live.front.engine.dispatcher.cold_time = 0

        def run(live, ask):
            calls = [gevent.spawn(ask.call, "f", 1500, 200) for _ in range(30)]
            gevent.joinall(calls)
        fleet = "    cold-share 20%\n    cold-time 20s\n    fall-multiple 2\n    fall-time 1s\n"
        self.both(4, told(**cold), run, careless, fleet=fleet, workers=1, cores=2, max_calls=1000)

    def test_rule_5_loads_ordered_without_end(self):
        window = dict(load_window=5 * SECOND, load_free=1, load_ratio=0.1)

        def greedy(live):
            live.front.engine.dispatcher.load_free = 1e9
            live.front.engine.dispatcher.load_limit = live.front.engine.dispatcher.max_loads = 1e9

        def run(live, ask):
            gevent.joinall([gevent.spawn(ask.call, f"f{n}") for n in range(12)])
        fleet = "    load-window 5s\n    load-free 1\n    load-ratio 10%\n    loads-on-miss no\n"
        self.both(5, told(**window), run, greedy, fleet=fleet, loads_on_miss=False)


if __name__ == "__main__":
    unittest.main()


