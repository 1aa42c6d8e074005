import unittest

from tests import memory_soak

SEEDS = 1, 2, 3, 4


class ShortMemorySoak(unittest.TestCase):
    def test_memory_stays_under_its_limit_and_usual_clients_are_answered(self):
        """Guards against a mix of floods, each within its bound, that takes a front end over its memory."""
        broken = {seed: found for seed in SEEDS if (found := memory_soak.play(seed))}
        self.assertEqual(broken, {}, "".join(f"\nseed {seed}: BROKEN {found}" for seed, found in broken.items()))


if __name__ == "__main__":
    unittest.main()
