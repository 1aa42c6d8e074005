"""A short soak of seeds that are always the same; the long one is started by hand (tests/soak.py)."""
import sys
import unittest

from gevent import subprocess

from tests.processes import ROOT

FIRST_SEED, SEEDS, AT_ONCE = 1, 12, 2
LIMIT = 240                # s; one seed takes some ten


class ShortSoak(unittest.TestCase):

    def test_no_rule_is_broken(self):
        done = subprocess.run(
            [sys.executable, "-m", "tests.soak", str(FIRST_SEED), str(SEEDS), "--at-once", str(AT_ONCE)], cwd=ROOT,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=LIMIT)
        said = done.stdout.decode()
        print(said)
        self.assertEqual(done.returncode, 0, said)
        self.assertEqual(said.count("seed "), SEEDS, said)


if __name__ == "__main__":
    unittest.main()
