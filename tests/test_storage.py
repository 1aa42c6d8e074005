import errno
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift.emulator.disk import SimulatedDisk
from threadshift.standins.disk import FaultyDisk
from threadshift.storage.journal import Damaged, Journal, Unwritten, frame, records


class Journals(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "registry"

    def writer(self):
        it = Journal(self.path, write=True)
        self.addCleanup(it.close)
        return it, list(it.read())

    def test_cut_at_every_byte_it_holds_every_whole_record_and_goes_on(self):
        told = [{"n": n, "text": "x" * n} for n in range(6)]
        data = b"".join(map(frame, told))
        ends = [len(b"".join(map(frame, told[:n]))) for n in range(7)]
        for cut in range(len(data) + 1):
            for tail in (b"", b"\0" * 40):      # a file system may have made room and written nothing
                self.path.write_bytes(data[:cut] + tail)
                whole = sum(end <= cut for end in ends[1:])
                it, found = self.writer()
                self.assertEqual(found, told[:whole], (cut, tail))
                it.append({"later": cut})
                it.close()
                self.assertEqual(list(Journal(self.path).read()), [*told[:whole], {"later": cut}])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_changed_byte_is_never_read_as_something_else(self, at, by):
        told = [{"n": n, "text": "abc" * n} for n in range(8)]
        data = bytearray(b"".join(map(frame, told)))
        data[at % len(data)] ^= by
        found = []
        try:
            found += [record for record, _ in records(bytes(data), "f")]
        except Damaged:
            return
        self.assertEqual(found, told[:-1])      # only the last may pass for a torn write

    def test_one_writer_at_a_time_and_readers_beside_it(self):
        it, _ = self.writer()
        reader = Journal(self.path)
        it.append({"a": 1})
        self.assertEqual(list(reader.read()), [{"a": 1}])
        it.append({"b": 2})
        self.assertEqual(list(reader.read()), [{"b": 2}])
        with self.assertRaisesRegex(Unwritten, "another process"):
            Journal(self.path, write=True)

    def test_a_full_disk_leaves_nothing_of_the_record(self):
        it, _ = self.writer()
        it.append({"a": 1})
        before = self.path.read_bytes()
        for fault in ("full", "full 2"):
            disk = FaultyDisk()
            it.close()
            it = Journal(self.path, write=True, disk=disk)
            self.assertEqual(list(it.read()), [{"a": 1}])
            disk.order(*fault.split())
            with self.assertRaises(Unwritten):
                it.append({"b": 2})
            self.assertEqual(self.path.read_bytes(), before)
        with self.assertRaises(Unwritten):
            it.append({"b": 2})
        it.append({"c": 3})
        self.assertEqual(list(Journal(self.path).read()), [{"a": 1}, {"c": 3}])
        it.close()

    def test_after_a_sync_that_failed_no_more_is_written_until_it_is_opened_anew(self):
        # Guards against going on over a page cache that may be gone: what came after would stand on nothing.
        disk = FaultyDisk()
        it = Journal(self.path, write=True, disk=disk)
        it.append({"a": 1})
        disk.order("sync-fails")
        for record in ({"b": 2}, {"c": 3}):
            with self.assertRaisesRegex(Unwritten, "Input/output|opened anew"):
                it.append(record)
        it.close()
        it, found = self.writer()
        self.assertEqual(found, [{"a": 1}])
        it.append({"d": 4})
        self.assertEqual(list(Journal(self.path).read()), [{"a": 1}, {"d": 4}])

    def test_a_disk_that_forgets_brings_back_what_stood_before(self):
        disk = FaultyDisk()
        it = Journal(self.path, write=True, disk=disk)
        it.append({"a": 1})
        disk.order("forgets")
        it.append({"b": 2})
        it.append({"c": 3})
        self.assertEqual(list(Journal(self.path, disk=disk).read()), [{"a": 1}, {"b": 2}, {"c": 3}])
        it.close()
        self.assertEqual(self.writer()[1], [{"a": 1}])

    def test_begun_anew_the_old_file_or_the_new_one_is_there_at_any_moment(self):
        it, _ = self.writer()
        for n in range(5):
            it.append({"n": n})
        reader = Journal(self.path)
        list(reader.read())
        it.renew({"snapshot": 4})
        it.append({"n": 5})
        self.assertEqual(list(reader.read()), [{"snapshot": 4}, {"n": 5}])
        for verb in ("os.rename", "os.fsync", "os.write"):
            with mock.patch(verb, side_effect=OSError(errno.EIO, "no")), self.assertRaises(Unwritten):
                it.renew({"snapshot": 5})
            it.close()
            it, found = self.writer()
            self.assertEqual(found, [{"snapshot": 4}, {"n": 5}])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(["append", "append", "renew", "crash", "lose"]), max_size=14), st.randoms())
    def test_whatever_was_told_as_kept_is_there_after_any_crash(self, acts, random):
        disk, path = SimulatedDisk(random.random), Path("/j")
        it = Journal(path, write=True, disk=disk)
        told, tried, n = list(it.read()), [], 0
        for act in acts:
            n += 1
            if act == "append":
                it.append({"n": n})
                told.append({"n": n})
            elif act == "renew":
                it.renew({"all": n})
                told = [{"all": n}]
            else:
                tried = []
                if act == "lose":               # killed between the write and its sync
                    disk.refuse = {"sync"}
                    with self.assertRaises(Unwritten):
                        it.append({"n": n})
                    disk.refuse = set()
                    tried = [{"n": n}]
                disk.crash()
                it = Journal(path, write=True, disk=disk)
                found = list(it.read())
                self.assertIn(found, (told, told + tried))
                told = found

    def test_killed_at_any_moment_all_that_was_acknowledged_is_there(self):
        program = ("import sys; from pathlib import Path; from threadshift.storage.journal import Journal\n"
                   "it = Journal(Path(sys.argv[1]), write=True); n = len(list(it.read()))\n"
                   "while True:\n    it.append({'n': n}); print(n, flush=True); n += 1\n")
        acknowledged = 0
        for turn in range(4):
            child = subprocess.Popen([sys.executable, "-c", program, str(self.path)], stdout=subprocess.PIPE,
                                     text=True)
            for _ in range(5 + 17 * turn):
                acknowledged = int(child.stdout.readline()) + 1
            child.send_signal(signal.SIGKILL)
            rest = child.stdout.read().split("\n")
            acknowledged = max([acknowledged, *(int(each) + 1 for each in rest[:-1])])
            child.wait()
            child.stdout.close()
            found = [each["n"] for each in Journal(self.path).read()]
            self.assertEqual(found, list(range(len(found))))
            self.assertGreaterEqual(len(found), acknowledged)


if __name__ == "__main__":
    unittest.main()
