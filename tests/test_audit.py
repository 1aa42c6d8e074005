"""The audit finds broken rules: in recorded events, and with front ends that break one rule on purpose."""
import json
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from tests.live import Live
from threadshift.audit.records import RecordedEvent, Unreadable, read, select_events
from threadshift.audit.rules import SLACK, breaches
from threadshift.engine.engine import RequestEngine
from threadshift.interface import MS, SECOND, Deployment, Outcome
from threadshift.load_ration import LoadRation

DEPLOYMENT = Deployment((), drain_grace=SECOND, cold_share=0.2, cold_time=10 * SECOND, fall_multiple=2.0,
                        fall_time=SECOND, load_window=5 * SECOND, load_free=2, load_ratio=0.2)
T0 = 1000 * SECOND
MAX_STALLED_RUNS = 5       # of a sabotaged front end whose stand-ins were not run in time
ONCE_ONLY = dict(front=0, type="t", effect="once-only", left_ms=1000, first="a", deferred=False)
REPEATABLE = ONCE_ONLY | {"effect": "repeatable"}
SENT = dict(front="front-0", mark="a", work_ms=10.0)


def events(*lines):
    """Recorded events from tuples (ms, event, source, fields)."""
    return sorted((RecordedEvent(T0 + ms * MS, event, source, fields) for ms, event, source, fields in lines),
                  key=lambda each: each.t)


def broken_rules(*lines):
    return {each.rule for each in breaches(events(*lines), DEPLOYMENT, 2)}


TRY = (0, "try", "clients", ONCE_ONLY | {"mark": "a"})
TRY_REPEATABLE = (0, "try", "clients", REPEATABLE | {"mark": "a"})
COMPLETED = (100, "answer", "clients", {"mark": "a", "final": "completed", "status": 200})
REJECTED = (100, "answer", "clients", {"mark": "a", "final": "rejected", "status": 503})
SEND, RUN = (10, "invoke", "w0", SENT), (20, "run", "w0", SENT)


class Recordings(unittest.TestCase):
    def test_each_rule_kept_and_broken(self):
        late = 1000 + SLACK // MS + 50
        cases = (
            ("a call answered once", (TRY, SEND, RUN, COMPLETED), set()),
            ("no answer", (TRY, SEND), {1}),
            ("two answers", (TRY, SEND, COMPLETED, COMPLETED), {1}),
            ("an answer too late", (TRY, SEND, (late, *COMPLETED[1:])), {1}),
            ("a call that its client abandoned", (TRY, SEND, (50, "quit", "clients", {"mark": "a"})), set()),
            ("broken without a kill", (TRY, (50, "broke", "clients", {"mark": "a", "problem": "reset"})), {1}),
            ("a refused connection", (TRY, (50, "broke", "clients", {"mark": "a", "problem": "refused"})), set()),
            ("held by a killed front end", (TRY, SEND, (30, "killing", "conductor", {"who": "front-0"})), set()),
            ("held by another front end", (TRY, SEND, (30, "killing", "conductor", {"who": "front-1"})), {1}),
            ("killed and restarted before the call",
             ((-900, "killing", "conductor", {"who": "front-0"}), (-500, "front-up", "conductor", {"front": 0}),
              TRY, SEND), {1}),
            ("late while the front end was stopped", (
                TRY, (900, "stopped", "conductor", {"who": "front-0"}),
                (1900, "goes-on", "conductor", {"who": "front-0"}), (1950, *COMPLETED[1:])), set()),
            ("rejected late by one of several front ends, which was stopped", (
                (0, "try", "clients", REPEATABLE | {"mark": "a", "front": -1}),
                (10, "stopped", "conductor", {"who": "front-1"}),
                (1900, "goes-on", "conductor", {"who": "front-1"}), (1950, *REJECTED[1:])), set()),
            ("rejected late while another front end was stopped", (
                TRY_REPEATABLE, (10, "stopped", "conductor", {"who": "front-1"}),
                (1900, "goes-on", "conductor", {"who": "front-1"}), (1950, *REJECTED[1:])), {1}),
            ("a send after the answer", (TRY_REPEATABLE, COMPLETED, (500, "invoke", "w1", SENT)), {1}),
            ("read late by a stalled worker", (
                TRY_REPEATABLE, COMPLETED, (5, "order", "w1", {"words": ["stall", "1s"]}),
                (600, "invoke", "w1", SENT)), set()),
            ("run twice", (TRY, SEND, RUN, (30, "run", "w1", SENT), COMPLETED), {2}),
            ("sent again though it may have run", (TRY, SEND, (30, "invoke", "w1", SENT), COMPLETED), {2}),
            ("sent again after full", (TRY, SEND, (20, "turned", "w0", {"mark": "a", "kind": "full"}),
                                       (30, "invoke", "w1", SENT), (40, "run", "w1", SENT), COMPLETED), set()),
            ("rejected though it ran", (TRY, SEND, RUN, REJECTED), {2}),
            ("rejected though it may have run", (TRY, SEND, REJECTED), {2}),
            ("rejected unsent", (TRY, REJECTED), set()),
            ("repeatable run twice", (TRY_REPEATABLE, SEND, RUN, (30, "run", "w1", SENT), COMPLETED), set()),
            ("two at once", (TRY_REPEATABLE, SEND, (30, "invoke", "w1", SENT), COMPLETED), {2}),
            ("a send delayed by a cut, cancelled, sent elsewhere, and read late", (
                TRY_REPEATABLE, (-900, "order", "w1", {"words": ["cut", "0.92s"]}), SEND, (30, "invoke", "w1", SENT),
                (31, "cancel", "w1", {"mark": "a", "front": "front-0"}), COMPLETED), set()),
            ("sent after the grace", (
                TRY, (-1500, "told", "roster", {"front": "front-0", "full": False, "states": {"w0": "draining"}}),
                SEND, RUN, COMPLETED), {3}),
            ("sent within the grace", (
                TRY, (-900, "told", "roster", {"front": "front-0", "full": False, "states": {"w0": "draining"}}),
                SEND, RUN, COMPLETED), set()),
            ("another front end was notified", (
                TRY, (-1500, "told", "roster", {"front": "front-1", "full": False, "states": {"w0": "gone"}}),
                SEND, RUN, COMPLETED), set()),
            ("sent after the worker announced its drain", (
                TRY, (-1500, "order", "w0", {"words": ["drain"]}), SEND, RUN, COMPLETED), {3}),
            ("the worker restarted after it announced its drain", (
                TRY, (-1500, "order", "w0", {"words": ["drain"]}), (-100, "up", "w0", {}),
                SEND, RUN, COMPLETED), set()),
            ("a load order after the grace", (
                (-1500, "told", "roster", {"front": "front-0", "full": False, "states": {"w0": "gone"}}),
                (0, "hold", "w0", {"front": "front-0"})), {3}),
            ("a cold worker overloaded", ((0, "up", "w0", {}), *(
                (100 + n, "invoke", "w0", {"front": "f", "mark": "", "work_ms": 100.0}) for n in range(12))), {4}),
            ("a warm worker", ((-20000, "up", "w0", {}), *(
                (100 + n, "invoke", "w0", {"front": "f", "mark": "", "work_ms": 100.0}) for n in range(12))), set()),
            ("fell over", ((0, "fell-over", "w0", {}),), {4}),
            ("three load orders, two allowed",
             tuple((n, "hold", f"w{n}", {"front": "front-0"}) for n in range(3)), {5}),
            ("three load orders, five calls admitted", (
                *((n, "hold", f"w{n}", {"front": "front-0"}) for n in range(3)), *(
                line for n in range(5) for line in (
                    (-9, "try", "clients", REPEATABLE | {"mark": f"m{n}"}),
                    (9, "answer", "clients", COMPLETED[3] | {"mark": f"m{n}"})))), set()),
        )
        for name, lines, expected in cases:
            self.assertEqual(broken_rules(*lines), expected, name)

    def test_unreadable_records_are_named(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaises(Unreadable):
                read(Path(folder))
            path = Path(folder) / "w0.jsonl"
            path.write_text('{"t":1,"e":"up"}\n{"t":2,"e":"invo')
            self.assertEqual(len(read(Path(folder))), 1)        # killed while it wrote its last line
            path.write_text('{"t":1,"e":"up"}\nnonsense\n{"t":2,"e":"up"}\n')
            with self.assertRaises(Unreadable) as caught:
                read(Path(folder))
            self.assertIn("w0.jsonl:2", str(caught.exception))


class RecordingClient:
    """Makes calls to a live front end and records them as the clients of a day do."""

    def __init__(self, live, folder):
        self.live, self.path, self.number = live, Path(folder) / "clients.jsonl", 0

    def note(self, event, **fields):
        with open(self.path, "a") as file:
            file.write(json.dumps({"t": time.monotonic_ns(), "e": event, **fields}) + "\n")

    def call(self, function, left=1000, work=0):
        self.number += 1
        mark = f"m{self.number}"
        effect = "once-only" if function.startswith("submit") else "repeatable"
        self.note("try", mark=mark, first=mark, front=0, type="t", effect=effect, left_ms=left)
        body = json.dumps({"mark": mark}, separators=(",", ":")).encode()
        with gevent.Timeout(left / 1000 + 0.5, False):
            reply = self.live.call(function, body, time_left=str(left), work_hint=str(work))
            self.note("answer", mark=mark, final=reply.headers["final"], status=reply.status)


def deployment(**changes):
    return Deployment((), drain_grace=100 * MS)._replace(**changes)


class LiveSabotage(unittest.TestCase):
    """Runs each scenario with a real and a sabotaged front end; only the second may break a rule, namely its own."""

    def verdict(self, settings, run, sabotage=None, **rig):
        """The broken rules, and whether a stand-in noticed that the process had stalled."""
        with tempfile.TemporaryDirectory() as folder:
            with Live(records=folder, **rig) as live:
                if sabotage:
                    sabotage(live)
                run(live, RecordingClient(live, folder))
            events = read(Path(folder))
            return {each.rule for each in breaches(events, settings, 2)}, bool(select_events(events, "stood-still"))

    def check(self, rule, settings, run, sabotage, **rig):
        self.assertEqual(self.verdict(settings, run, **rig)[0], set())
        for _ in range(MAX_STALLED_RUNS):
            broken, has_stalled = self.verdict(settings, run, sabotage, **rig)
            if broken or not has_stalled:
                break               # else the audit excuses what is read late, so the sabotage may not show
        self.assertEqual(broken, {rule})

    def test_rule_1_an_answer_is_dropped(self):
        def drop(live):
            live.front.api.on_answered = lambda pending: None
        self.check(1, deployment(), lambda live, client: client.call("f", 300), drop)

    def test_rule_2_a_reset_send_is_treated_as_never_run(self):
        def report_unreachable(live):
            original = RequestEngine.on_send_ended

            def ended(engine, pending, now, number, outcome, *rest):
                original(engine, pending, now, number,
                     Outcome.UNREACHABLE if outcome is Outcome.RESET else outcome, *rest)
            live.front.engine.on_send_ended = ended.__get__(live.front.engine)

        def run(live, client):
            client.call("submit-x")
            for worker in live.workers.values():
                worker.execute_order(["break-after-run", "5s"])
            client.call("submit-x")
        self.check(2, deployment(), run, report_unreachable)

    def test_rule_3_a_drain_is_ignored(self):
        def ignore_listings(live):
            live.front.apply_listings = lambda listings: None

        def run(live, client):
            client.call("f")
            for name in live.workers:
                live.feed.execute_order(["state", name, "draining"])
            gevent.sleep(0.1 + SLACK / SECOND + 0.05)
            client.call("f", 300)
        self.check(3, deployment(), run, ignore_listings)

    def test_rule_4_a_cold_worker_is_overloaded(self):
        cold = dict(cold_share=0.2, cold_time=20 * SECOND, fall_multiple=2.0, fall_time=SECOND)

        def never_cold(live):
            live.front.engine.dispatcher.cold_time = 0

        def run(live, client):
            calls = [gevent.spawn(client.call, "f", 1500, 200) for _ in range(30)]
            gevent.joinall(calls)
        fleet = "    cold-share 20%\n    cold-time 20s\n    fall-multiple 2\n    fall-time 1s\n"
        self.check(4, deployment(**cold), run, never_cold, fleet=fleet, workers=1, cores=2, max_calls=1000)

    def test_rule_5_loads_are_not_limited(self):
        window = dict(load_window=5 * SECOND, load_free=1, load_ratio=0.1)

        def unlimited(live):
            live.front.engine.dispatcher.load_ration = LoadRation(0, 0.0, 0.0)
            live.front.engine.dispatcher.load_limit = live.front.engine.dispatcher.max_loads = 1e9

        def run(live, client):
            gevent.joinall([gevent.spawn(client.call, f"f{n}") for n in range(12)])
        fleet = "    load-window 5s\n    load-free 1\n    load-ratio 10%\n    loads-on-miss no\n"
        self.check(5, deployment(**window), run, unlimited, fleet=fleet, loads_on_miss=False)


if __name__ == "__main__":
    unittest.main()


