import errno
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift.interface import Effect
from threadshift.packs.journal import Damaged, Journal, Unwritten, frame, records
from threadshift.packs.registry import Pack, Refused, Registry


def pack(version="1", digest="a" * 64, name="rules", **changes):
    return Pack(name, version, digest, Effect.ONCE_ONLY, 2, 1 << 20)._replace(**changes)


def registry(*versions):
    it = Registry()
    for version in versions:
        it.change(it.add(pack(version)))
    return it


class Registers(unittest.TestCase):
    def test_versions_are_immutable(self):
        it = registry("1")
        self.assertIsNone(it.add(pack("1")))
        for wrong, said in ((pack(digest="b" * 64), "immutable"), (pack("2", "xyz"), "no sha256"),
                            (pack("2", name="a b"), "name"), (pack("v@2"), "version"), (pack("2", lanes=0), "lanes")):
            with self.assertRaisesRegex(Refused, said):
                it.add(wrong)

    def test_aliases_move_and_their_history_stays(self):
        it = registry("1", "2")
        for version, why in (("1", "first"), ("2", "new tariff"), ("1", "rolled back")):
            it.change(it.move("rules", "current", version, "ann", 5, why))
        self.assertEqual([(each.before, each.version) for each in it.history("rules")],
                         [("", "1"), ("1", "2"), ("2", "1")])
        found = [it.resolve(told).version for told in ("rules", "rules@current", "rules@2")]
        self.assertEqual(found, ["1", "1", "2"])
        for words, said in ((("rules", "current", "9"), "no version"), (("other", "current", "1"), "no pack"),
                            (("rules", "2", "1"), "is a version"), (("rules", "current", "1"), "already")):
            with self.assertRaisesRegex(Refused, said):
                it.move(*words, "ann", 6, "")
        with self.assertRaises(KeyError):
            it.resolve("rules@winter")


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
        half = mock.patch("os.pwrite", side_effect=lambda fd, data, at: os.lseek(fd, at, 0) * 0 + os.write(
            fd, data[:len(data) // 2]))
        full = mock.patch("os.pwrite", side_effect=OSError(errno.ENOSPC, "No space left on device"))
        for fault in (half, full, mock.patch("os.fsync", side_effect=OSError(errno.EIO, "Input/output error"))):
            with fault, self.assertRaises(Unwritten):
                it.append({"b": 2})
            self.assertEqual(self.path.read_bytes(), before)
        it.append({"c": 3})
        self.assertEqual(list(Journal(self.path).read()), [{"a": 1}, {"c": 3}])

    def test_killed_at_any_moment_all_that_was_acknowledged_is_there(self):
        program = ("import sys; from pathlib import Path; from threadshift.packs.journal import Journal\n"
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
