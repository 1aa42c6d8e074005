import importlib.util
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / "deploy/sites"
spec = importlib.util.spec_from_file_location("make", FOLDER / "make.py")
make = importlib.util.module_from_spec(spec)
spec.loader.exec_module(make)

SITE = """
name = "one"
[day]
length_s = [1, 2]
[[class]]
name = "a"
share = 1
[[class]]
name = "b"
effect = "safe"
[fam]
keep_s = 3
[[fam.class]]
lanes = [1, 2]
"""


class Changes(unittest.TestCase):
    def test_each_kind_of_change_and_that_the_written_file_reads_back_the_same(self):
        original = tomllib.loads(SITE)
        site = make.changed('name = "two"   # a comment\n\ncopy class.0\nclass.2.name = "c"\ndrop class.1\n'
                            'fam.class.0.lanes = [4]\nday.length_s = 5', tomllib.loads(SITE))
        self.assertEqual(site, {"name": "two", "day": {"length_s": 5}, "class": [
            {"name": "a", "share": 1}, {"name": "c", "share": 1}], "fam": {"keep_s": 3, "class": [{"lanes": [4]}]}})
        self.assertEqual(tomllib.loads(make.written(site)), site)
        self.assertEqual(tomllib.loads(make.written(original)), original)

    def test_a_change_of_an_unknown_entry_is_refused_with_its_line(self):
        for line, words in (("nane = 1", "nane"), ("class.2.name = 1", "class.2.name"),
                            ("class.0.effect = 1", "effect"), ("drop class.9", "class.9"),
                            ("copy fam", "no entry of a list"), ("name", "wanted"),
                            ("name = two", "name = two"), ("class.x.name = 1", "'x'")):
            with self.assertRaises(make.Refused, msg=line) as caught:
                make.changed(f"# first\n{line}", tomllib.loads(SITE))
            self.assertIn("line 2: ", str(caught.exception))
            self.assertIn(words, str(caught.exception))

    def test_as_a_command(self):
        with tempfile.TemporaryDirectory() as folder:
            site, changes = Path(folder, "site.toml"), Path(folder, "x.changes")
            site.write_text(SITE)
            changes.write_text("nothing = 1")
            out = subprocess.run([sys.executable, FOLDER / "make.py", changes, site], capture_output=True, text=True)
            self.assertEqual((out.returncode, out.stdout), (1, ""))
            self.assertIn("line 1: nothing: the site has no such entry", out.stderr)
            self.assertNotIn("Traceback", out.stderr)
            changes.write_text('name = "two"')      # the files that a site needs beside it are missing
            out = subprocess.run([sys.executable, FOLDER / "make.py", changes, site], capture_output=True, text=True)
            self.assertEqual((out.returncode, out.stdout, (FOLDER / "made/x").exists()), (1, "", False))
            self.assertIn("wire.json", out.stderr)
            self.assertNotIn("Traceback", out.stderr)

    def test_the_files_of_changes_have_only_such_lines(self):
        for path in FOLDER.glob("*.changes"):
            for line in path.read_text().splitlines():
                self.assertRegex(line, r"^(#.*|(copy|drop) [a-z_.0-9]+|[a-z_.0-9]+ = .+|)$")


if __name__ == "__main__":
    unittest.main()
