import unittest

from tests.helpers import call, does, front_end, ready, sent
from threadshift.interface import MS, Do, Effect, Outcome, State

ONCE, AGAIN, MARKED = Effect.ONCE_ONLY, Effect.REPEATABLE, Effect.DEDUPLICATED


class Ring(unittest.TestCase):
    def test_homes_agree_and_move_minimally(self):
        one, other = front_end(8, seed=1), front_end(8, seed=2)
        names = [f"fn{n}" for n in range(60)]
        third = front_end(8)
        third.roster(0, [ready("w3", State.DRAINING)], full=False)
        for fn in names:
            homes = []
            for it in (one, other, third):
                act, steps = call(it, fn, fn=fn)
                homes += sent(steps)
                act.returned(MS, 0, Outcome.COMPLETED, MS, final=True)
            self.assertEqual(homes[0], homes[1])
            self.assertEqual(homes[2] != homes[0], homes[0] == "w3", fn)


class Answers(unittest.TestCase):
    def test_every_outcome_and_effect(self):
        unrun = {Outcome.FULL, Outcome.UNREACHABLE, Outcome.MISS}
        for outcome in Outcome:
            for effect in Effect:
                if outcome in (Outcome.COMPLETED, Outcome.MOOT):
                    continue
                it = front_end()
                act, _ = call(it, effect=effect)
                steps = act.returned(10 * MS, 0, outcome, 10 * MS)
                # workers here share one zone, so a deduplicated activation may go to any of them
                again = effect is not ONCE or outcome in unrun
                self.assertEqual(does(steps), [Do.SEND if again else Do.ABORT], (outcome, effect))

    def test_answered_in_time_and_once(self):
        for effect in Effect:
            it = front_end()
            act, _ = call(it, effect=effect, left=100 * MS)
            steps = []
            while not act.answered:
                now = it.due()
                self.assertLess(now, 100 * MS)
                steps += it.tick(now)
            self.assertIn(does(steps)[0], (Do.ABORT, Do.REJECT))
            self.assertEqual(does(steps)[0] is Do.REJECT, effect is AGAIN)
            self.assertEqual(act.returned(99 * MS, 0, Outcome.FULL, 99 * MS), [])

    def test_empty_ring_rejects_at_once(self):
        self.assertEqual(does(call(front_end(0))[1]), [Do.REJECT])


if __name__ == "__main__":
    unittest.main()
