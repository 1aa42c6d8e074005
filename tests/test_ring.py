"""The consistent-hash ring, compared with a plain one over random changes."""
import bisect
import hashlib
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift import ring
from threadshift.ring import POINTS, HashRing, pair_of_points, points_of

NAMES = [f"s-{n}" for n in range(12)]
CHANGES = st.lists(st.tuples(st.sampled_from(("add", "remove", "tidy")), st.sampled_from(NAMES)), max_size=30)


def plain_points(name):
    digests = [hashlib.md5(f"{name}#{n}".encode()).digest() for n in range(POINTS // 2)]
    return [int.from_bytes(digest[at:at + 8], "big") for digest in digests for at in (0, 8)]


def round_of(it, point):
    """All workers clockwise from a point, once for each entry; some again if entries are dropped on the way."""
    cursor, found, passed = it.after(point), [], 0
    while passed < len(it):     # it shrinks as sections with removed workers are sorted
        worker, cursor = it.next(cursor)
        passed += 1
        if worker is not None:
            found.append(worker)
    return found


class Ring(unittest.TestCase):

    def test_points_are_those_of_the_digests(self):
        self.assertEqual(list(points_of("s-1")), plain_points("s-1"))

    @settings(max_examples=40, deadline=None)
    @given(CHANGES, st.lists(st.text(max_size=4), min_size=1, max_size=4))
    def test_clockwise_orders_are_those_of_a_plain_ring(self, changes, functions):
        it, numbers = HashRing(), {}
        for change, name in changes:
            if change == "add" and name not in numbers:
                numbers[name] = it.add(name, name)
            elif change == "remove" and name in numbers:
                it.remove(numbers.pop(name))
            else:
                it.drop_removed_entries()
        plain = sorted((point, name) for name in numbers for point in plain_points(name))
        for function in functions:
            point, _ = pair_of_points(function)
            first = bisect.bisect([at for at, _ in plain], point)
            wanted = [name for _, name in plain[first:] + plain[:first]]
            found = round_of(it, point)
            self.assertEqual(found[:len(wanted)], wanted)
            self.assertLessEqual(set(found), set(wanted))

    def test_removed_workers_are_dropped_some_at_a_time(self):
        it = HashRing()
        numbers = [it.add(name, name) for name in NAMES]
        for number in numbers[1:]:
            it.remove(number)
        with mock.patch.object(ring, "MAX_CHECKED_ENTRIES", 4 * POINTS):
            self.assertTrue(it.drop_removed_entries())
            self.assertGreater(len(it), POINTS)
            while it.drop_removed_entries():
                pass
        self.assertEqual(len(it), POINTS)
        self.assertEqual(sum(map(len, it.sections)), POINTS)

    def test_the_ring_is_full_before_numbers_run_out_of_bits(self):
        it = HashRing()
        it.workers = [None] * ring.NUMBER_MASK
        self.assertFalse(it.is_full)
        it.add("s-1", "s-1")
        self.assertTrue(it.is_full)


if __name__ == "__main__":
    unittest.main()
