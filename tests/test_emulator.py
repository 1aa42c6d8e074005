import json
import tempfile
import unittest
from pathlib import Path

from threadshift.audit.records import read
from threadshift.audit.rules import breaches
from threadshift.choice import Dispatcher
from threadshift.days.day import KINDS, read_text
from threadshift.emulator.clock import Clock, Spans
from threadshift.emulator.front import ModelFront
from threadshift.emulator.run import Emulation
from threadshift.interface import SECOND, Do, State, Step

DAY = """
length 12s
front-ends 3
fleet-of 6 {
    zones a b c
    memory 700M
}
store {
    load-time 200ms
}
type check {
    target-latency 600ms
    action-timeout 2s
    late-utility 0.3
    effect repeatable
}
type submit {
    target-latency 600ms
    action-timeout 2s
    utility 2
    late-utility 0.3
    effect once-only
}
functions submit-* {
    type submit
    lanes 2
}
functions * {
    type check
    lanes 2
}
fleet {
    longest-advice 1s
    idle-keep 5s
    load-window 5s
    load-free 6
    load-ratio 20%
    cold-share 20%
    cold-time 3s
    fall-multiple 3
}
traffic check {
    type check
    rate 40
    functions 20
    retries 1
    quits 2%
}
traffic submit {
    type submit
    rate 15
    functions 10
    retries 1
}
"""


def emulated(*troubles, seed=1, fleet=""):
    text = DAY.replace("fleet {", "fleet {\n" + fleet) + "".join(f"trouble {trouble}\n" for trouble in troubles)
    it = Emulation(read_text(text, seed=seed), seed)
    it.run()
    return it, text


def verdict(it, text):
    """Rules broken, and first tries completed over asked."""
    with tempfile.TemporaryDirectory() as folder:
        it.write(Path(folder), text)
        seen = read(Path(folder))
    done = sum(each.event == "answer" and each["final"] == "completed" for each in seen)
    asked = sum(each.event == "try" for each in seen)
    return breaches(seen, it.day.told.deployment, it.day.fleet.cores), done / asked


class Days(unittest.TestCase):
    def test_no_rule_breaks_under_any_one_trouble(self):
        for kind in sorted(KINDS):
            found, served = verdict(*emulated(f"{kind} at 3s for 4s"))
            self.assertEqual([str(each) for each in found], [], kind)
            self.assertGreater(served, 0.5, kind)

    def test_no_rule_breaks_under_several_at_once(self):
        for seed in range(1, 7):
            found, _ = verdict(*emulated(
                "crash workers 2", "hang", "burst times 2", "front_kill", "store_refuse share 40%",
                "break_after_run workers 2", "balancer_stall", "deploy workers 0.3", seed=seed))
            self.assertEqual([str(each) for each in found], [], seed)

    def test_a_fleet_that_loads_by_order_alone(self):
        found, served = verdict(*emulated("scan at 3s for 4s share 30%", fleet="loads-on-miss no"))
        self.assertEqual([str(each) for each in found], [])
        self.assertGreater(served, 0.5)

    def test_the_same_seed_gives_the_same_records(self):
        records = [json.dumps(emulated("crash", "slow workers 2", seed=4)[0].records) for _ in range(2)]
        self.assertEqual(*records)
        self.assertNotEqual(records[0], json.dumps(emulated("crash", "slow workers 2", seed=5)[0].records))

    def test_a_broken_policy_is_caught(self):
        """Once-only sent again, drains not heeded, cold workers flooded, load orders without end: in one day each."""
        def resend(self, act, worker, now):
            return not act.answered and worker.ready and act.due > now and len(act.sends) < 4

        def deaf(self, listings):
            listings = [each for each in listings if each.state is State.READY]
            if listings:
                self.desk.roster(self.clock.now, listings, full=False)

        def greedy(self, worker, fn, now):
            worker.loads.add(fn.name)
            self.orders += 1
            self.out.append(Step(Do.HOLD, worker=worker.name, fn=fn.name, amount=1))
            return True
        halls = ("zone_loss at 2s for 1s zone a", "zone_loss at 2s for 1s zone b", "burst at 3s for 6s times 6")
        cases = ((2, Dispatcher, "may_send", resend, ("break_after_run at 3s for 5s workers 6",)),
                 (3, ModelFront, "told_of", deaf, ("drain at 2s for 9s workers 5",)),
                 (4, Dispatcher, "place", lambda self, act, now: max(self.fleet, key=lambda each: each.since), halls),
                 (5, Dispatcher, "hold", greedy, ("scan at 2s for 8s share 80%",)))
        for rule, owner, name, wrong, troubles in cases:
            kept = getattr(owner, name)
            setattr(owner, name, wrong)
            try:
                found, _ = verdict(*emulated(*troubles, fleet="loads-on-miss no" if rule == 5 else ""))
            finally:
                setattr(owner, name, kept)
            self.assertIn(rule, {each.rule for each in found}, name)


class Clocks(unittest.TestCase):
    def test_events_in_order_and_those_at_one_time_as_set(self):
        it, seen = Clock(5), []
        for when, name in ((9, "c"), (7, "a"), (7, "b"), (3, "late")):
            it.at(when, seen.append, name)
        it.run(8)
        self.assertEqual((seen, it.now), (["late", "a", "b"], 8))
        it.run(20)
        self.assertEqual((seen[-1], it.now, it.played), ("c", 20, 4))

    def test_faults_in_force(self):
        clock = Clock()
        it = Spans(clock)
        it.order("slow", SECOND, 3.0)
        self.assertEqual((it.amount("slow"), it.left("slow"), it.once("other")), (3.0, SECOND, False))
        self.assertTrue(it.once("slow"))
        self.assertEqual(it.amount("slow"), 0)


if __name__ == "__main__":
    unittest.main()
