import importlib
import pkgutil
import re
import unittest
from pathlib import Path

import threadshift
from threadshift.errors import ThreadshiftError

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operate" / "errors.md"


def error_types():
    """All error types, by 'module.Type'."""
    for each in pkgutil.walk_packages(threadshift.__path__, "threadshift."):
        if not each.name.endswith("__main__"):
            importlib.import_module(each.name)
    found, open_ = {}, [ThreadshiftError]
    while open_:
        for each in open_.pop().__subclasses__():
            if each.__module__.startswith("threadshift."):
                found[f"{each.__module__.removeprefix('threadshift.')}.{each.__name__}"] = each
            open_.append(each)
    return found


class Errors(unittest.TestCase):
    def test_the_operators_page_lists_each_type_with_its_help(self):
        rows = dict(re.findall(r"^\| `([\w.]+)` \| .+? \| (.+?) \|$", PAGE.read_text(), re.M))
        found = error_types()
        self.assertEqual(set(rows), set(found))
        self.assertEqual({name: each.help for name, each in found.items()}, rows)

    def test_only_the_base_class_derives_from_exception(self):
        direct = [path.name for path in Path(threadshift.__path__[0]).rglob("*.py")
                    if re.search(r"^class \w+\(Exception\)", path.read_text(), re.M)]
        self.assertEqual(direct, ["errors.py"])

    def test_text_and_fields_agree(self):
        it = ThreadshiftError("what", "where:1")
        self.assertEqual((str(it), it.as_fields()), ("where:1: what", {"problem": "what", "where": "where:1",
                                                                       "help": ThreadshiftError.help}))


if __name__ == "__main__":
    unittest.main()
