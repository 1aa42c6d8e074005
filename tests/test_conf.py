import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from threadshift.conf import gateway_config, reading, values
from threadshift.conf.gateway_config import read_text
from threadshift.conf.reading import ConfigurationError
from threadshift.days import fault_scenario
from threadshift.interface import MS, SECOND, Effect

TYPE = "type check {\n    target-latency 600ms\n    action-timeout 2s\n    effect repeatable\n}\n"
GOOD = f"listen 127.0.0.1:8080\nroster feed 127.0.0.1:7001\n{TYPE}functions * {{\n    type check\n}}\n"


def error_message(text):
    """What reading this configuration reports, None where it is valid."""
    message = None
    try:
        read_text(text, "a.conf")
    except ConfigurationError as problem:
        message = str(problem)
    return message


class Errors(unittest.TestCase):
    def test_each_kind_of_error_names_file_line_and_word(self):
        cases = (
            ("listne 127.0.0.1:80\n", "a.conf:1:", "'listne'; the nearest known is 'listen'"),
            (GOOD + "front-ends\n", "a.conf:11:", "'front-ends' takes 1 word, found 0"),
            (GOOD + "front-ends many\n", "a.conf:11:", "a whole number from 1"),
            (GOOD + "front-ends 2\n", "a.conf:11:", "own-ports"),
            (GOOD + "zone a\nzone b\n", "a.conf:12:", "stands twice"),
            (GOOD + "bounds {\n    boddy 3\n}\n", "a.conf:12:", "nearest known is 'body'"),
            (GOOD + "bounds {\n    body 3M\n}\n", "a.conf:0:", "frame"),
            (GOOD + "bounds {\n", "a.conf:11:", "is not closed"),
            (GOOD + "}\n", "a.conf:11:", "closes no block"),
            (GOOD + "bounds\n", "a.conf:11:", "needs a block"),
            (GOOD + "bounds {\n}\nbounds {\n}\n", "a.conf:13:", "stands twice; the first is on line 11"),
            (GOOD + 'zone "a\n', "a.conf:11:", "double quote"),
            (GOOD + "zone { x\n", "a.conf:11:", "must end its line"),
            (GOOD + "{\n}\n", "a.conf:11:", "needs a name"),
            (GOOD + "a {\n b {\n c {\n d {\n}\n}\n}\n}\n", "a.conf:14:", "deep"),
            (GOOD + "log xml info\n", "a.conf:11:", "one of json, console"),
            (GOOD + TYPE, "a.conf:11:", "'type check' stands twice; the first is on line 3"),
            (GOOD.replace("type check {", "type {"), "a.conf:3:", "takes one name"),
            (GOOD.replace("    type check\n", "    type chekc\n"), "a.conf:8:", "nearest known is 'check'"),
            (GOOD.replace("600ms", "600"), "a.conf:4:", "a time such as 600ms"),
            (GOOD.replace("600ms", "3s"), "a.conf:3:", "longer than action-timeout"),
            (GOOD.replace("repeatable", "deduplicated"), "a.conf:3:", "needs a memory-span"),
            (GOOD.replace("repeatable", "safe"), "a.conf:6:", "one of repeatable"),
            (GOOD.replace("    effect repeatable\n", ""), "a.conf:3:", "type check lacks 'effect'"),
            (GOOD.replace("feed 127.0.0.1:7001", "feed nowhere"), "a.conf:2:", "an address such as"),
            (GOOD.replace("roster feed", "roster dns"), "a.conf:2:", "one of feed, file"),
            (GOOD + "tenant a {\n share 70%\n rate 1\n}\ntenant b {\n share 40%\n rate 1\n}\n", "a.conf:15:", "100%"),
            ("", "a.conf:0:", "lacks 'listen'"),
        )
        self.assertIsNone(error_message(GOOD))
        for text, place, words in cases:
            problem = error_message(text)
            self.assertIsNotNone(problem, text)
            self.assertTrue(problem.startswith(place), problem)
            self.assertIn(words, problem)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from([*GOOD.split(), "{", "}", "\n", '"', "#", "é", "9" * 30, "-1", ""]), max_size=40))
    def test_any_words_are_read_or_refused(self, words):
        for reader in (read_text, fault_scenario.read_text):
            try:
                reader(" ".join(words).replace(" \n ", "\n"))
            except ConfigurationError as problem:
                self.assertRegex(str(problem), r"^-:\d+: ")

    def test_files_that_cannot_be_read(self):
        for path in ("/nonexistent/x.conf", "/"):
            with self.assertRaises(ConfigurationError):
                reading.load(path)


class Values(unittest.TestCase):
    def test_values(self):
        cases = ((values.duration, "1.5s", 1500 * MS), (values.duration, "250us", 250_000),
                 (values.size, "16K", 16384), (values.share, "20%", 0.2), (values.share, "0.5", 0.5),
                 (values.address, "[::1]:80", values.Address("::1", 80)),
                 (values.address, "unix:/x.sock", values.Address("", 0, "/x.sock")))
        for read, text, value in cases:
            self.assertEqual(read(text), value)
        for read, text in ((values.duration, "5"), (values.duration, "25h"), (values.share, "101%"),
                           (values.address, "1.2.3.4:99999"), (values.address, "unix:"), (values.size, "3T")):
            with self.assertRaises(ValueError):
                read(text)
        for text in ("127.0.0.1:80", "[::1]:80", "unix:/x.sock"):
            self.assertEqual(str(values.address(text)), text)

    def test_directives_become_a_deployment(self):
        it = read_text(GOOD + "fleet {\n    load-window 5s\n    load-free 6\n    load-ratio 20%\n}\n")
        self.assertEqual((it.deployment.load_window, it.deployment.load_free, it.deployment.load_ratio),
                         (5 * SECOND, 6.0, 0.2))
        self.assertEqual((it.deployment.types[0].effect, it.function("any")[0].type), (Effect.REPEATABLE, "check"))

    def test_a_reload_takes_over_what_may_change_and_lists_the_rest(self):
        old = read_text(GOOD)
        new = read_text(GOOD.replace("8080", "8081") + "bounds {\n    body 2K\n    pipeline 3\n}\n")
        taken, kept = gateway_config.compare_for_reload(old, new)
        self.assertEqual((taken, kept), (["bounds body"], ["bounds pipeline", "listen"]))
        it = gateway_config.apply_reload(old, new)
        self.assertEqual((it.bounds.body, it.bounds.pipeline, it.listen), (2048, 16, old.listen))


if __name__ == "__main__":
    unittest.main()
