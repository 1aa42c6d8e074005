"""A short soak test with fixed seeds; longer ones are started by hand (tests/soak.py)."""
import sys
import unittest

from gevent import subprocess

from tests.processes import ROOT

FIRST_SEED, SEEDS, AT_ONCE = 1, 12, 2
TIMEOUT_S = 240            # one seed takes some ten seconds


class ShortSoak(unittest.TestCase):

    def test_no_rule_is_broken(self):
        done = subprocess.run(
            [sys.executable, "-m", "tests.soak", str(FIRST_SEED), str(SEEDS), "--at-once", str(AT_ONCE)], cwd=ROOT,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=TIMEOUT_S)
        output = done.stdout.decode()
        print(output)
        self.assertEqual(done.returncode, 0, output)
        self.assertEqual(output.count("seed "), SEEDS, output)


if __name__ == "__main__":
    unittest.main()
