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
from threadshift.storage.journal import CorruptJournal, Journal, WriteError, decode_records, encode_record


class JournalFiles(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "registry"

    def open_writer(self):
        journal = Journal(self.path, write=True)
        self.addCleanup(journal.close)
        return journal, list(journal.read())

    def test_file_cut_at_any_byte_has_every_complete_record_and_is_writable(self):
        written = [{"n": n, "text": "x" * n} for n in range(6)]
        data = b"".join(map(encode_record, written))
        ends = [len(b"".join(map(encode_record, written[:n]))) for n in range(7)]
        for cut in range(len(data) + 1):
            for tail in (b"", b"\0" * 40):      # a file system may have allocated space and written nothing
                self.path.write_bytes(data[:cut] + tail)
                complete = sum(end <= cut for end in ends[1:])
                journal, found = self.open_writer()
                self.assertEqual(found, written[:complete], (cut, tail))
                journal.append({"later": cut})
                journal.close()
                self.assertEqual(list(Journal(self.path).read()), [*written[:complete], {"later": cut}])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_changed_byte_is_never_read_as_something_else(self, at, by):
        told = [{"n": n, "text": "abc" * n} for n in range(8)]
        data = bytearray(b"".join(map(encode_record, told)))
        data[at % len(data)] ^= by
        found = []
        try:
            found += [record for record, _ in decode_records(bytes(data), "f")]
        except CorruptJournal:
            return
        self.assertEqual(found, told[:-1])      # only the last may pass for a torn write

    def test_one_writer_and_several_readers_at_a_time(self):
        journal, _ = self.open_writer()
        reader = Journal(self.path)
        journal.append({"a": 1})
        self.assertEqual(list(reader.read()), [{"a": 1}])
        journal.append({"b": 2})
        self.assertEqual(list(reader.read()), [{"b": 2}])
        with self.assertRaisesRegex(WriteError, "another process"):
            Journal(self.path, write=True)

    def test_full_disk_leaves_no_part_of_the_record(self):
        journal, _ = self.open_writer()
        journal.append({"a": 1})
        before = self.path.read_bytes()
        for fault in ("full", "full 2"):
            disk = FaultyDisk()
            journal.close()
            journal = Journal(self.path, write=True, disk=disk)
            self.assertEqual(list(journal.read()), [{"a": 1}])
            disk.order(*fault.split())
            with self.assertRaises(WriteError):
                journal.append({"b": 2})
            self.assertEqual(self.path.read_bytes(), before)
        with self.assertRaises(WriteError):
            journal.append({"b": 2})
        journal.append({"c": 3})
        self.assertEqual(list(Journal(self.path).read()), [{"a": 1}, {"c": 3}])
        journal.close()

    def test_after_a_failed_sync_nothing_is_written_until_the_file_is_opened_again(self):
        # Guards against writes after a failed fsync: the kernel may have dropped the pages, so that later records
        # would follow lost ones.
        disk = FaultyDisk()
        journal = Journal(self.path, write=True, disk=disk)
        journal.append({"a": 1})
        disk.order("sync-fails")
        for record in ({"b": 2}, {"c": 3}):
            with self.assertRaisesRegex(WriteError, "Input/output|opened anew"):
                journal.append(record)
        journal.close()
        journal, found = self.open_writer()
        self.assertEqual(found, [{"a": 1}])
        journal.append({"d": 4})
        self.assertEqual(list(Journal(self.path).read()), [{"a": 1}, {"d": 4}])

    def test_disk_that_ignores_syncs_returns_to_the_earlier_content(self):
        disk = FaultyDisk()
        journal = Journal(self.path, write=True, disk=disk)
        journal.append({"a": 1})
        disk.order("forgets")
        journal.append({"b": 2})
        journal.append({"c": 3})
        self.assertEqual(list(Journal(self.path, disk=disk).read()), [{"a": 1}, {"b": 2}, {"c": 3}])
        journal.close()
        self.assertEqual(self.open_writer()[1], [{"a": 1}])

    def test_rewrite_leaves_the_old_or_the_new_file_at_any_moment(self):
        journal, _ = self.open_writer()
        for n in range(5):
            journal.append({"n": n})
        reader = Journal(self.path)
        list(reader.read())
        journal.rewrite({"snapshot": 4})
        journal.append({"n": 5})
        self.assertEqual(list(reader.read()), [{"snapshot": 4}, {"n": 5}])
        for verb in ("os.rename", "os.fsync", "os.write"):
            with mock.patch(verb, side_effect=OSError(errno.EIO, "no")), self.assertRaises(WriteError):
                journal.rewrite({"snapshot": 5})
            journal.close()
            journal, found = self.open_writer()
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
                it.rewrite({"all": n})
                told = [{"all": n}]
            else:
                tried = []
                if act == "lose":               # killed between the write and its sync
                    disk.refuse = {"sync"}
                    with self.assertRaises(WriteError):
                        it.append({"n": n})
                    disk.refuse = set()
                    tried = [{"n": n}]
                disk.crash()
                it = Journal(path, write=True, disk=disk)
                found = list(it.read())
                self.assertIn(found, (told, told + tried))
                told = found

    def test_acknowledged_records_survive_a_kill_at_any_moment(self):
        program = ("import sys; from pathlib import Path; from threadshift.storage.journal import Journal\n"
                   "it = Journal(Path(sys.argv[1]), write=True); n = len(list(it.read()))\n"
                   "while True:\n    it.append({'n': n}); print(n, flush=True); n += 1\n")
        acknowledged = 0
        for round_ in range(4):
            child = subprocess.Popen([sys.executable, "-c", program, str(self.path)], stdout=subprocess.PIPE,
                                     text=True)
            for _ in range(5 + 17 * round_):
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
