"""Tests of the search for fault scenarios that break a rule."""
import unittest

from tests.test_emulator import DAY
from threadshift.choice import Dispatcher
from threadshift.days.fault_scenario import read_text
from threadshift.trials.hunt import breaks, draw_scenario, emulate, emulate_drawn, shrink


class HuntTest(unittest.TestCase):
    def test_drawn_scenarios_are_valid_and_depend_on_the_seed_alone(self):
        for seed in range(200):
            text = draw_scenario(seed)
            self.assertEqual(text, draw_scenario(seed))
            self.assertTrue(read_text(text, seed=seed).faults)

    def test_drawn_scenarios_break_no_rule(self):
        for seed in (2, 4, 6, 8):
            self.assertEqual(emulate_drawn(seed).breaches, (), seed)

    def test_shrinking_leaves_the_fault_that_breaks_the_rule(self):
        def resend(self, act, worker, now):
            return not act.answered and worker.ready and act.answer_due > now and len(act.sends) < 4
        text = DAY + "trouble shift\ntrouble break_after_run at 2s for 8s workers 6\ntrouble burst\n"
        original, Dispatcher.may_send = Dispatcher.may_send, resend
        try:
            found = emulate(text, 1)
            self.assertTrue(any(each.startswith("rule 2") for each in found.breaches))
            least = shrink(found, breaks("rule 2"))
        finally:
            Dispatcher.may_send = original
        self.assertEqual([line.split()[1] for line in least.text.splitlines() if line.startswith("trouble")],
                         ["break_after_run"])


if __name__ == "__main__":
    unittest.main()
