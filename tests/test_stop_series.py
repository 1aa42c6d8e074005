"""A short run of a front end under series of stops, with fixed seeds; longer ones are started by hand."""
import sys
import unittest

from gevent import subprocess

from tests.processes import ROOT

SEEDS = (3, 12, 19, 35)
SECONDS = 8
TIMEOUT_S = 60


class ShortStopSeries(unittest.TestCase):

    def test_no_send_has_more_time_than_its_client_left(self):
        """Guards against giving clients the time for which the front end was stopped."""
        runs = [subprocess.Popen(
            [sys.executable, "-m", "tests.stop_series", str(seed), "1", "--seconds", str(SECONDS)], cwd=ROOT,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT) for seed in SEEDS]
        self.addCleanup(lambda: [run.kill() for run in runs])
        output = "".join(run.communicate(timeout=TIMEOUT_S)[0].decode() for run in runs)
        print(output)
        self.assertEqual([run.returncode for run in runs], [0] * len(SEEDS), output)
        self.assertEqual(output.count("seed "), len(SEEDS), output)


if __name__ == "__main__":
    unittest.main()
