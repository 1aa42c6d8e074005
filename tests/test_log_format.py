"""The lines of the log. Those expected here were written by structlog 26.1, which rendered them before."""
import unittest
from unittest import mock

from threadshift import log_format
from threadshift.log_format import render_columns, render_json

TIME = "2026-12-03T20:30:12.597938Z"
FIELDS = {"front_end": "front-0", "problem": "it's \"bad\"", "b": None, "c": 1.5, "d": {"a": 1}, "e": b"x", "f": "",
          "g": "plain", "h": "a=b", "i": "new\nline", "j": "ünï"}


@mock.patch.object(log_format, "timestamp", lambda: TIME)
class Lines(unittest.TestCase):
    def test_json(self):
        self.assertEqual(
            render_json("x y", "warning", FIELDS),
            r"""{"front_end": "front-0", "problem": "it's \"bad\"", "b": null, "c": 1.5, "d": {"a": 1}, """
            r""""e": "b'x'", "f": "", "g": "plain", "h": "a=b", "i": "new\nline", "j": "\u00fcn\u00ef", """
            r""""event": "x y", "level": "warning", "timestamp": "2026-12-03T20:30:12.597938Z"}""")

    def test_columns(self):
        self.assertEqual(
            render_columns("x y", "warning", FIELDS),
            rf"""{TIME} [warning  ] x y                            b=None c=1.5 d={{'a': 1}} e=b'x' f= """
            r"""front_end=front-0 g=plain h='a=b' i='new\nline' j=ünï problem='it\'s "bad"'""")
        self.assertEqual(render_columns("a-very-long-event-name-that-is-longer-than-thirty", "error", {"n": 1}),
                         f"{TIME} [error    ] a-very-long-event-name-that-is-longer-than-thirty n=1")
        self.assertEqual(render_columns("nokeys", "info", {}), f"{TIME} [info     ] nokeys")


class Timestamps(unittest.TestCase):
    def test_they_are_in_utc(self):
        self.assertRegex(log_format.timestamp(), r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{6})?Z$")
