"""A short soak of real processes under clients that misbehave; longer ones by hand (tests/client_faults.py)."""
import unittest

from tests import client_faults

SECONDS = 4.0              # of misbehaviour in each play
PLAYS = (("platform", "withdrawn", 0), ("platform", "withdrawn", 1), ("platform", "closing", 0),
         ("platform", "leavers", 1), ("platform", "halves", 1), ("platform", "unsound", 2),
         ("daemon", "withdrawn", 0), ("daemon", "leavers", 1), ("daemon", "halves", 1))


class ShortClientFaults(unittest.TestCase):
    def test_usual_clients_are_answered_in_time_and_nothing_is_sent_for_clients_that_left(self):
        """Guards against late answers, and sends for clients that left, beside others that misbehave."""
        broken = []
        for program, picture, seed in PLAYS:
            rig = client_faults.play(program, picture, seed, SECONDS)
            print(rig.summary(), flush=True)
            broken += [rig.summary()] if rig.broken else []
        self.assertFalse(broken, "".join(f"\n{line}" for line in broken))


if __name__ == "__main__":
    unittest.main()
