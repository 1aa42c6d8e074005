import unittest

from tests.test_emulator import DAY
from threadshift.choice import Dispatcher
from threadshift.days.fault_scenario import read_text
from threadshift.trials.hunt import breaks, draw, drawn, emulate, shrink


class Hunting(unittest.TestCase):
    def test_drawn_days_are_good_and_the_same_for_a_seed(self):
        for seed in range(200):
            text = draw(seed)
            self.assertEqual(text, draw(seed))
            self.assertTrue(read_text(text, seed=seed).faults)

    def test_some_days_and_no_rule_broken(self):
        for seed in (2, 4, 6, 8):
            self.assertEqual(drawn(seed).breaches, (), seed)

    def test_a_found_day_is_shrunk_to_what_shows_it(self):
        def resend(self, act, worker, now):
            return not act.answered and worker.ready and act.answer_due > now and len(act.sends) < 4
        text = DAY + "trouble shift\ntrouble break_after_run at 2s for 8s workers 6\ntrouble burst\n"
        kept, Dispatcher.may_send = Dispatcher.may_send, resend
        try:
            found = emulate(text, 1)
            self.assertTrue(any(each.startswith("rule 2") for each in found.breaches))
            least = shrink(found, breaks("rule 2"))
        finally:
            Dispatcher.may_send = kept
        self.assertEqual([line.split()[1] for line in least.text.splitlines() if line.startswith("trouble")],
                         ["break_after_run"])


if __name__ == "__main__":
    unittest.main()
