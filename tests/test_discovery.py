import os
import tempfile
import unittest

from threadshift.conf.reading import Mistake
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND, WorkerState
from threadshift.links.codec import ProtocolError
from threadshift.discovery.registry import InvalidWorkerList, WorkerEntry, WorkerRegistry, parse_entry
from threadshift.discovery.sources import FeedSource, WatchedFile

AT, WALL = Address("127.0.0.1", 1), 1_800_000_000 * SECOND
READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE


def told(name, state=READY, **facts):
    return WorkerEntry(name, AT, state, **facts)


def states(listings):
    return {each.worker: each.state for each in listings}


class Believing(unittest.TestCase):
    def setUp(self):
        self.it = WorkerRegistry(SECOND)
        self.it.listed(0, WALL, [told("a"), told("b")], full=True)

    def test_a_worker_that_a_full_list_lacks_is_gone(self):
        self.assertEqual(states(self.it.listed(1, WALL, [told("a")], full=True)), {"a": READY, "b": GONE})
        self.assertEqual(states(self.it.listed(2, WALL, [told("b")], full=False)), {"b": READY})

    def test_its_own_word_that_it_drains_holds_until_it_starts_anew(self):
        self.it.hello(5 * SECOND, WALL, "a", WALL - 9 * SECOND)
        self.assertEqual(states(self.it.draining("a")), {"a": DRAINING})
        self.assertEqual(self.it.draining("a"), [])
        self.assertEqual(states(self.it.listed(1, WALL, [told("a")], full=False)), {"a": DRAINING})
        self.assertEqual(states(self.it.listed(1, WALL, [told("a", GONE)], full=False)), {"a": GONE})
        self.assertEqual(states(self.it.listed(1, WALL, [told("a")], full=False)), {"a": DRAINING})
        self.assertEqual(states(self.it.hello(6 * SECOND, WALL + SECOND, "a", WALL + SECOND)), {"a": READY})

    def test_an_empty_list_is_believed_late_and_within_the_grace(self):
        self.assertEqual(self.it.listed(SECOND, WALL, [], full=True), [])
        self.assertEqual(self.it.tick(SECOND + 400 * MS), [])
        self.assertEqual(states(self.it.tick(SECOND + 500 * MS)), {"a": GONE, "b": GONE})
        self.assertEqual(self.it.listed(3 * SECOND, WALL, [], full=True), [])

    def test_an_empty_list_that_is_mended_at_once_changes_nothing(self):
        self.it.listed(SECOND, WALL, [], full=True)
        self.it.listed(SECOND + 100 * MS, WALL, [told("a"), told("b")], full=True)
        self.assertEqual(self.it.tick(9 * SECOND), [])

    def test_workers_gone_for_long_are_forgotten(self):
        """Replacements have new names: without this, memory and status grew with every one there ever was."""
        for n in range(300):
            now = n * SECOND
            self.it.listed(now, WALL + now, [told(f"n{n}")], full=True)
            self.it.forget(now, {"n7"})
        self.assertLess(len(self.it.known), 70)
        self.assertIn("n7", self.it.known)          # something may still wait for it
        self.assertIn("n299", self.it.known)
        self.assertEqual(states(self.it.listed(now, WALL + now, [told("n0")], full=False)), {"n0": READY})

    def test_a_start_is_turned_into_our_clock_once(self):
        # A step of the wall clock, or the same start seen by two clocks, must not look like a restart.
        first = self.it.hello(10 * SECOND, WALL, "a", WALL - 3 * SECOND)[0].started_at
        self.assertEqual(first, 7 * SECOND)
        self.assertEqual(self.it.hello(11 * SECOND, WALL + 3600 * SECOND, "a", WALL - 3 * SECOND), [])
        again = self.it.listed(12 * SECOND, WALL - SECOND, [told("a", started=WALL - 2 * SECOND)], full=False)
        self.assertEqual(again[0].started_at, first)
        later = self.it.hello(20 * SECOND, WALL + 10 * SECOND, "a", WALL + 9 * SECOND)[0].started_at
        self.assertEqual(later, 19 * SECOND)

    def test_a_start_in_the_future_counts_as_now(self):
        self.assertEqual(self.it.hello(SECOND, WALL, "a", WALL + 60 * SECOND)[0].started_at, SECOND)


class Sources(unittest.TestCase):
    def setUp(self):
        self.lists, self.notes = [], []
        self.feed = FeedSource(AT, "front", None, self, lambda: 0.5)

    def listed(self, entries, full):
        self.lists.append(([each.worker for each in entries], full))

    def note(self, event, **fields):
        self.notes.append(event)

    def test_a_gap_and_changes_before_a_list_are_not_followed(self):
        worker = {"worker": "a", "address": "127.0.0.1:1"}
        with self.assertRaises(InvalidWorkerList):
            self.feed.hear({"kind": "changes", "generation": 4, "workers": [worker]})
        self.feed.hear({"kind": "list", "generation": 4, "workers": [worker]})
        self.feed.hear({"kind": "changes", "generation": 5, "workers": [worker]})
        with self.assertRaises(InvalidWorkerList) as caught:
            self.feed.hear({"kind": "changes", "generation": 7, "workers": [worker]})
        self.assertIn("generation 7 follows 5", str(caught.exception))
        self.assertEqual(self.lists, [(["a"], True), (["a"], False)])
        with self.assertRaises(ProtocolError):
            self.feed.hear({"kind": "invoke"})

    def test_entries_that_are_wrong_name_the_worker(self):
        good = {"worker": "a", "address": "127.0.0.1:1"}
        for change in ({"worker": 3}, {"worker": "a b"}, {"address": "x"}, {"state": "asleep"}, {"cell": True},
                       {"size": "big"}, {"started": 1.5}):
            with self.assertRaises(InvalidWorkerList):
                parse_entry(good | change)
        self.assertEqual(parse_entry(good | {"colour": 1}).worker, "a")

    def test_a_file_is_read_when_it_changes_and_a_bad_one_leaves_the_last_list(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "workers")
            it = WatchedFile(path, self)
            it.look()
            for text, stamp in (("worker a 127.0.0.1:1 zone z size 2\n", 1), ("worker a\n", 2), ("wroker b x\n", 3),
                                ("worker a 127.0.0.1:1\nworker b unix:/b state draining\n", 4)):
                with open(path, "w") as file:
                    file.write(text)
                os.utime(path, ns=(stamp, stamp))
                it.look()
                it.look()
        self.assertEqual(self.lists, [(["a"], True), (["a", "b"], True)])
        self.assertEqual(self.notes, ["roster-unreadable"] * 3)
        self.assertTrue(issubclass(Mistake, Exception))


if __name__ == "__main__":
    unittest.main()
