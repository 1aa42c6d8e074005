"""The five rules, checked on recorded histories and on emulated days with drawn combinations of faults, in which the
real engine and decisions run. A breach that a test adds on the way to the outside must be found as a breach of that
rule and of no other."""
import json
import random
import tempfile
import unittest
from pathlib import Path

from tests.test_emulator import DAY
from threadshift.audit.records import Unreadable, check_completeness, parse_event, read
from threadshift.audit.report import judge
from threadshift.audit.rules import breaches
from threadshift.days.fault_scenario import FAULT_KINDS, read_text
from threadshift.engine.engine import PendingWorkerQuery
from threadshift.emulator.front import ModelFront
from threadshift.emulator.run import Emulation
from threadshift.interface import Effect, WorkerState

RECORDED_HISTORIES = Path(__file__).parent / "histories"
DRAWN_DAYS = 20            # each takes a third of a second
DEDUPLICATED_DAY = DAY.replace("effect repeatable", "effect deduplicated\n    memory-span 1s\n    group zone")


class TamperingFrontEnd(ModelFront):
    """A front end whose sends and load orders a test can tamper with."""

    tamper = None

    def send(self, worker, pending, number):
        outcome = super().send(worker, pending, number)
        if self.tamper and outcome is None:
            self.tamper("send", worker, pending, number)
        return outcome

    def order_load(self, worker, order):
        outcome = super().order_load(worker, order)
        if self.tamper and outcome is None and not isinstance(order, ExtraOrder):
            self.tamper("hold", worker, order)
        return outcome


class ExtraOrder(PendingWorkerQuery):
    """A load order that the dispatcher did not give. Its answer is dropped."""

    def on_answered(self, *_, **__):
        pass


def emulation(text, seed, tamper=None):
    it = Emulation(read_text(text, seed=seed), seed)
    start = it.start_front_end

    def start_tampering(n):
        start(n)
        front = it.fronts[f"front-{n}"]
        front.__class__ = TamperingFrontEnd
        front.tamper = tamper and tamper(it, front)
    it.start_front_end = start_tampering
    return it


def run_and_judge(text, seed=1, tamper=None):
    it = emulation(text, seed, tamper)
    it.run()
    return judge(it.day, it.recorded_events())


def drawn_day(seed):
    """A day with three to five faults. Every third day has deduplicated calls, and on every fifth workers load by
    order only."""
    chance = random.Random(f"history {seed}")
    text = DEDUPLICATED_DAY if seed % 3 == 0 else DAY
    if seed % 5 == 0:
        text = text.replace("fleet {", "fleet {\n    loads-on-miss no")
    return text + "".join(f"trouble {kind}\n" for kind in chance.sample(sorted(FAULT_KINDS), chance.randint(3, 5)))


def send_again(it, front, effect, where):
    """Sends each call of an effect a second time, to the first worker for which `where` holds."""
    def tamper(what, worker, pending, number=0):
        if what != "send" or pending.activation.type_stats.effect is not effect or len(pending.sends) > 1:
            return
        other = next((name for name in it.zones if name in front.links and where(name, worker)), None)
        if other is not None:
            open_before = front.unanswered.get(other, {}).copy()
            ModelFront.send(front, other, pending, 99)
            front.unanswered[other] = open_before      # drops the answer to the second send
    return tamper


class RecordedHistories(unittest.TestCase):
    def test_the_recorded_breaches_are_found(self):
        """A folder named broken-N... must show a breach of rule N and of no other."""
        folders = sorted(RECORDED_HISTORIES.iterdir())
        self.assertGreaterEqual(len(folders), 3)
        for folder in folders:
            day = read_text((folder / "day.conf").read_text())
            seen = read(folder)
            check_completeness(seen)
            rules = {each.rule for each in breaches(seen, day.config.deployment, day.fleet.cores)}
            wanted = {int(folder.name[7])} if folder.name.startswith("broken-") else set()
            self.assertEqual(rules, wanted, folder.name)


class DrawnDays(unittest.TestCase):
    def test_faults_together_break_no_rule(self):
        for seed in range(DRAWN_DAYS):
            verdict = run_and_judge(drawn_day(seed), seed)
            self.assertEqual([str(each) for each in verdict.breaches], [], seed)
            self.assertGreater(verdict.finals["completed"], 0, seed)

    def test_a_seed_always_gives_the_same_verdict(self):
        for seed in (3, 5):
            self.assertEqual(run_and_judge(drawn_day(seed), seed).line, run_and_judge(drawn_day(seed), seed).line)


class Tampering(unittest.TestCase):
    """A breach that is added between the engine and the outside is found, as a breach of its rule only."""

    def check(self, rule, text, tamper, seed=1):
        self.assertEqual(run_and_judge(text, seed).breaches, [])
        found = run_and_judge(text, seed, tamper).breaches
        self.assertTrue(found)
        self.assertEqual({each.rule for each in found}, {rule}, [str(each) for each in found[:5]])

    def test_rule_1_a_call_answered_twice(self):
        def twice(it, front):
            deliver = front.deliver_answer
            front.deliver_answer = lambda pending: (
                deliver(pending), it.clock.after(0, it.on_answer_received, pending, pending.client))
        self.check(1, DAY.replace("retries 1", "retries 0"), twice)

    def test_rule_1_a_call_answered_too_late_or_never(self):
        def late(it, front):
            front.deliver_answer = lambda pending: it.clock.after(
                2_500_000_000, it.on_answer_received, pending, pending.client)
        self.check(1, DAY.replace("retries 1", "retries 0"), late)

        def never(it, front):
            front.deliver_answer = lambda pending: None
        self.check(1, DAY, never)

    def test_rule_2_a_once_only_call_sent_again(self):
        self.check(2, DAY, lambda it, front: send_again(it, front, Effect.ONCE_ONLY, lambda one, other: one != other))

    def test_rule_2_a_deduplicated_call_sent_outside_its_dedup_scope(self):
        self.check(2, DEDUPLICATED_DAY.replace(
            "fleet {", "fleet {\n    two-at-once yes"), lambda it, front: send_again(
            it, front, Effect.DEDUPLICATED, lambda one, other: it.zones[one] != it.zones[other]))

    def test_rule_2_a_deduplicated_call_sent_again_after_its_dedup_window(self):
        text = DEDUPLICATED_DAY.replace("memory-span 1s", "memory-span 100ms").replace(
            "fleet {", "fleet {\n    two-at-once yes\n").replace("action-timeout 2s", "action-timeout 3s")

        def later(it, front):
            resend = send_again(it, front, Effect.DEDUPLICATED, lambda one, other: one == other)

            def tamper(what, worker, pending, number=0):
                if what == "send" and not pending.activation.function.name.endswith("0"):
                    it.clock.after(400_000_000, lambda: pending.is_settled or resend(what, worker, pending, number))
            return tamper
        self.check(2, text + "trouble hang at 2s for 8s workers 6\n", later)

    def test_rule_2_two_sends_at_the_same_time(self):
        self.check(2, DAY, lambda it, front: send_again(
            it, front, Effect.REPEATABLE, lambda one, other: one != other))

    def test_rule_3_a_drain_that_is_ignored(self):
        def deaf(it, front):
            apply_listings = front.apply_listings
            front.apply_listings = lambda listings: apply_listings(
                [each for each in listings if each.state is WorkerState.READY])
        self.check(3, DAY + "trouble drain at 3s for 4s workers 2\n", deaf)

    def test_rule_4_a_cold_worker_over_its_budget(self):
        def push(it, front):
            front.engine.dispatcher.cold_time = 0
            link_to = front.linked_worker
            young = [name for name in it.zones if name != "w0"]

            def link(worker):
                fresh = next((name for name in young if name in front.links
                              and it.clock.now - front.links[name] < 2_000_000_000), worker)
                return link_to(fresh)
            front.linked_worker = link
        text = DAY.replace("rate 40", "rate 140").replace("quits 2%", "")
        self.check(4, text + "trouble crash at 4s for 2s workers 1\n", push)

    def test_rule_5_load_orders_beyond_the_windows_limit(self):
        def order(it, front):
            def tamper(what, worker, *rest):
                if what == "hold":
                    for _ in range(12):
                        TamperingFrontEnd.order_load(
                            front, worker, ExtraOrder(front.engine, worker, rest[0].function))
            return tamper
        self.check(5, DAY.replace("fleet {", "fleet {\n    loads-on-miss no"), order)


class InvalidRecords(unittest.TestCase):
    """Records that cannot show whether the rules were kept are an error, never a pass."""

    def records(self, folder, *lines, name="clients"):
        (Path(folder) / f"{name}.jsonl").write_text("".join(json.dumps(line) + "\n" for line in lines))

    TRY = {"t": 5, "e": "try", "mark": "a", "first": "a", "front": 0, "type": "t", "effect": "repeatable",
           "left_ms": 1000, "quits": False}
    SENT = {"t": 6, "e": "invoke", "mark": "a", "front": "front-0", "work_ms": 1.0}

    def test_malformed_lines_are_named_with_file_and_line(self):
        cases = ({**self.TRY, "t": "soon"}, {**self.TRY, "mark": 7}, {key: value for key, value in self.TRY.items()
                                                                     if key != "left_ms"},
                 {"t": 1, "e": "told", "front": "f", "full": False, "states": []}, {"t": 1}, [1], "x", None,
                 {"t": 1, "e": 5}, {**self.SENT, "work_ms": "much"})
        for case in cases:
            with tempfile.TemporaryDirectory() as folder:
                self.records(folder, self.TRY, case, self.TRY)
                with self.assertRaises(Unreadable, msg=case) as caught:
                    read(Path(folder))
                self.assertIn("clients.jsonl:2", str(caught.exception))

    def test_too_short_or_empty_is_an_error(self):
        end = {"t": 2_000_000_000, "e": "over"}
        cases = (([end], "no activation"), ([self.TRY, end], "reached a worker"), ([self.TRY, self.SENT],
                 "too short"), ([self.TRY, self.SENT, end], ""))
        for lines, words in cases:
            seen = [parse_event(dict(line), "x") for line in lines]
            if words:
                with self.assertRaises(Unreadable, msg=words) as caught:
                    check_completeness(seen)
                self.assertIn(words, str(caught.exception))
            else:
                check_completeness(seen)


if __name__ == "__main__":
    unittest.main()
