import os
import tempfile
import unittest

from threadshift.conf.reading import ConfigurationError
from threadshift.conf.values import Address
from threadshift.discovery.registry import InvalidWorkerList, WorkerEntry, WorkerRegistry, parse_entry
from threadshift.discovery.sources import FeedSource, WatchedFile
from threadshift.interface import MS, SECOND, WorkerState
from threadshift.links.codec import ProtocolError

AT, WALL = Address("127.0.0.1", 1), 1_800_000_000 * SECOND
READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE


def entry(name, state=READY, **facts):
    return WorkerEntry(name, facts.pop("address", Address(name, 1)), state, **facts)


def states(listings):
    return {each.worker: each.state for each in listings}


class Registry(unittest.TestCase):
    def setUp(self):
        self.it = WorkerRegistry(SECOND)
        self.it.apply_current(0, WALL, [entry("a"), entry("b")], full=True)

    def test_a_worker_that_a_full_list_lacks_is_gone(self):
        self.assertEqual(states(self.it.apply_current(1, WALL, [entry("a")], full=True)), {"a": READY, "b": GONE})
        self.assertEqual(states(self.it.apply_current(2, WALL, [entry("b")], full=False)), {"b": READY})

    def test_a_workers_own_report_that_it_drains_holds_until_its_restart(self):
        self.it.on_hello(5 * SECOND, WALL, "a", WALL - 9 * SECOND)
        self.assertEqual(states(self.it.on_draining("a")), {"a": DRAINING})
        self.assertEqual(self.it.on_draining("a"), [])
        self.assertEqual(states(self.it.apply_current(1, WALL, [entry("a")], full=False)), {"a": DRAINING})
        self.assertEqual(states(self.it.apply_current(1, WALL, [entry("a", GONE)], full=False)), {"a": GONE})
        self.assertEqual(states(self.it.apply_current(1, WALL, [entry("a")], full=False)), {"a": DRAINING})
        self.assertEqual(states(self.it.on_hello(6 * SECOND, WALL + SECOND, "a", WALL + SECOND)), {"a": READY})

    def test_an_empty_list_is_believed_late_and_within_the_grace(self):
        self.assertEqual(self.it.apply_current(SECOND, WALL, [], full=True), [])
        self.assertEqual(self.it.tick(SECOND + 400 * MS), [])
        self.assertEqual(states(self.it.tick(SECOND + 500 * MS)), {"a": GONE, "b": GONE})
        self.assertEqual(self.it.apply_current(3 * SECOND, WALL, [], full=True), [])

    def test_an_empty_list_that_is_corrected_soon_changes_nothing(self):
        self.it.apply_current(SECOND, WALL, [], full=True)
        self.it.apply_current(SECOND + 100 * MS, WALL, [entry("a"), entry("b")], full=True)
        self.assertEqual(self.it.tick(9 * SECOND), [])

    def test_workers_gone_for_long_are_forgotten(self):
        """Replacements have new names. Memory and status grew with every worker there had ever been."""
        for n in range(300):
            now = n * SECOND
            self.it.apply_current(now, WALL + now, [entry(f"n{n}")], full=True)
            self.it.forget(now, {"n7"})
        self.assertLess(len(self.it.known), 70)
        self.assertIn("n7", self.it.known)          # it still has a link
        self.assertIn("n299", self.it.known)
        self.assertEqual(states(self.it.apply_current(now, WALL + now, [entry("n0")], full=False)), {"n0": READY})

    def test_a_worker_at_whose_address_another_one_is_ready_is_gone(self):
        """Guards against work for a worker that has gone which reaches the one that came up at its address."""
        new = entry("c", address=Address("a", 1))
        self.assertEqual(states(self.it.apply_current(1, WALL, [new], full=False)), {"c": READY, "a": GONE})
        self.assertEqual(states(self.it.apply_current(2, WALL, [entry("a", GONE)], full=False)), {"a": GONE})
        self.assertEqual(states(self.it.apply_current(3, WALL, [new], full=False)), {"c": READY})
        moved = entry("a", address=Address("elsewhere", 1))
        self.assertEqual(states(self.it.apply_current(4, WALL, [moved], full=False)), {"a": READY})

    def test_workers_that_one_list_names_at_one_address_stay(self):
        two = [entry(name, address=AT) for name in "de"]
        self.assertEqual(states(self.it.apply_current(1, WALL, two, full=False)), {"d": READY, "e": READY})
        self.assertEqual(states(self.it.apply_current(2, WALL, [entry("f", address=AT)], full=False)), {"f": READY})
        self.assertEqual(states(self.it.apply_current(3, WALL, two[:1], full=False)), {"d": READY})

    def test_a_start_time_is_converted_to_the_monotonic_clock_once(self):
        # A step of the wall clock, or one start reported by two clocks, must not look like a restart.
        first = self.it.on_hello(10 * SECOND, WALL, "a", WALL - 3 * SECOND)[0].started_at
        self.assertEqual(first, 7 * SECOND)
        self.assertEqual(self.it.on_hello(11 * SECOND, WALL + 3600 * SECOND, "a", WALL - 3 * SECOND), [])
        again = self.it.apply_current(12 * SECOND, WALL - SECOND, [entry("a", started=WALL - 2 * SECOND)], full=False)
        self.assertEqual(again[0].started_at, first)
        later = self.it.on_hello(20 * SECOND, WALL + 10 * SECOND, "a", WALL + 9 * SECOND)[0].started_at
        self.assertEqual(later, 19 * SECOND)

    def test_a_start_in_the_future_counts_as_now(self):
        self.assertEqual(self.it.on_hello(SECOND, WALL, "a", WALL + 60 * SECOND)[0].started_at, SECOND)


class Sources(unittest.TestCase):
    def setUp(self):
        self.lists, self.notes = [], []
        self.feed = FeedSource(AT, "front", None, self, lambda: 0.5)

    def on_list(self, entries, full):
        self.lists.append(([each.worker for each in entries], full))

    def note(self, event, **fields):
        self.notes.append(event)

    def test_changes_after_a_gap_or_before_a_list_are_rejected(self):
        worker = {"worker": "a", "address": "127.0.0.1:1"}
        with self.assertRaises(InvalidWorkerList):
            self.feed.handle_frame({"kind": "changes", "generation": 4, "workers": [worker]})
        self.feed.handle_frame({"kind": "list", "generation": 4, "workers": [worker]})
        self.feed.handle_frame({"kind": "changes", "generation": 5, "workers": [worker]})
        with self.assertRaises(InvalidWorkerList) as caught:
            self.feed.handle_frame({"kind": "changes", "generation": 7, "workers": [worker]})
        self.assertIn("generation 7 follows 5", str(caught.exception))
        self.assertEqual(self.lists, [(["a"], True), (["a"], False)])
        with self.assertRaises(ProtocolError):
            self.feed.handle_frame({"kind": "invoke"})

    def test_invalid_entries_are_rejected_and_unknown_fields_skipped(self):
        good = {"worker": "a", "address": "127.0.0.1:1"}
        for change in ({"worker": 3}, {"worker": "a b"}, {"address": "x"}, {"state": "asleep"}, {"cell": True},
                       {"size": "big"}, {"started": 1.5}):
            with self.assertRaises(InvalidWorkerList):
                parse_entry(good | change)
        self.assertEqual(parse_entry(good | {"colour": 1}).worker, "a")

    def test_a_file_is_read_when_it_changes_and_an_invalid_one_is_ignored(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "workers")
            it = WatchedFile(path, self)
            it.check()
            for text, stamp in (("worker a 127.0.0.1:1 zone z size 2\n", 1), ("worker a\n", 2), ("wroker b x\n", 3),
                                ("worker a 127.0.0.1:1\nworker b unix:/b state draining\n", 4)):
                with open(path, "w") as file:
                    file.write(text)
                os.utime(path, ns=(stamp, stamp))
                it.check()
                it.check()
        self.assertEqual(self.lists, [(["a"], True), (["a", "b"], True)])
        self.assertEqual(self.notes, ["roster-unreadable"] * 3)
        self.assertTrue(issubclass(ConfigurationError, Exception))


if __name__ == "__main__":
    unittest.main()
