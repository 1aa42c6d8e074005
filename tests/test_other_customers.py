"""Settings of other installations: with random valid ones requests are answered and the rules hold; invalid ones are
reported in one line."""
import json
import math
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import listing
from tests.live import RecordingLog
from tests.platform import SETTINGS, Platform, configuration, event, instance
from tests.test_engine import Fleet
from threadshift.choice import Dispatcher
from threadshift.conf.settings import InvalidInput
from threadshift.engine.engine import Call, FinalKind, RequestEngine
from threadshift.frames.codec import INVOKE
from threadshift.interface import MS, SECOND, Copy, Effect, Outcome
from threadshift.invoke.admission import Admission
from threadshift.node.descriptors import Descriptors
from threadshift.node.front import Node
from threadshift.node.shutdown import Shutdown
from threadshift.node.front_end_config import parse_config

EFFECTS = ("safe", "keyed", "unsafe")
EXTREMES = (0, -1, 0.5, 1e-9, 5e-324, 2.2e-309, 1e-300, 1e9, 1e18, 1e19, 1e300, 1.7e308, -1e300, math.inf, math.nan)
EXTREME_BASE = configuration(
    settings=SETTINGS | {"orgs": [{"name": "a", "share": 1.0, "quotaPerS": 10.0}], "fees": {"crossZone": 0.1}},
    known={"index": 1, "updates": [event(1, instance("s-0", "127.0.0.1:9"), full=True)]})


def numbers(value, path=()):
    """Yields the path of each number in nested JSON."""
    if isinstance(value, dict | list):
        for name, part in value.items() if isinstance(value, dict) else enumerate(value):
            yield from numbers(part, (*path, name))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


NUMBERS = tuple(numbers(EXTREME_BASE))
NAME = st.text("abcXYZ019._-", min_size=1, max_size=12)
LANE = st.fixed_dictionaries(
    {"name": NAME, "aim": st.floats(1, 60_000), "effect": st.sampled_from(EFFECTS), "worth": st.floats(0, 1000)},
    optional={"lateValue": st.none() | st.floats(0, 1), "group": st.sampled_from(("all", "zone", "cell")),
              "memorySpan": st.none() | st.floats(0, 10_000), "streaming": st.just(False)})
OPTIONAL = {
    "orgs": st.lists(st.fixed_dictionaries({"name": NAME}, optional={
        "share": st.none() | st.floats(0, 1), "quotaPerS": st.none() | st.floats(0, 500)}), max_size=6),
    "peersTotal": st.integers(1, 400), "tick": st.floats(0.5, 10), "zone": st.none() | NAME,
    "limits": st.fixed_dictionaries({}, optional={
        "maxAttempts": st.integers(1, 6), "cancel": st.booleans(), "mayDuplicate": st.booleans(),
        "probes": st.booleans(), "retryAfter": st.booleans(), "maxRetryAfter": st.none() | st.floats(0, 3000),
        "streamsPerConn": st.integers(1, 200), "connectTimeout": st.floats(10, 1000)}),
    "familyInfo": st.fixed_dictionaries({}, optional={
        "placementCalls": st.booleans(), "notLoaded": st.sampled_from(("load", "miss")),
        "staysLoaded": st.none() | st.floats(0, 20_000), "loadWindow": st.none() | st.floats(0, 9000),
        "loadFree": st.none() | st.floats(0, 9), "loadRatio": st.floats(0, 1), "loadWait": st.floats(0, 9000)}),
    "rules": st.fixed_dictionaries({}, optional={
        "drainGrace": st.none() | st.floats(0, 3000), "coldShare": st.floats(0, 1), "cold": st.floats(0, 20_000),
        "fallMultiple": st.floats(0.5, 5), "overloadFor": st.none() | st.floats(0, 3000)}),
    "fees": st.fixed_dictionaries({}, optional={"crossZone": st.none() | st.floats(0, 1)})}


@st.composite
def customers(draw):
    """Draws the content of a configuration file."""
    lanes = draw(st.lists(LANE, min_size=1, max_size=7, unique_by=lambda each: each["name"]))
    for each in lanes:
        each["giveUp"] = each["aim"] * draw(st.floats(1, 8))
    limits = {"cores": draw(st.floats(0.1, 1)), "memory_mb": draw(st.sampled_from((32, 88.0, 192))),
              "sockets": draw(st.sampled_from((256, 576.0, 1024)))}
    return configuration(limits=limits, settings=draw(st.fixed_dictionaries({"lanes": st.just(lanes)},
                                                                            optional=OPTIONAL)))


class Drawn(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(customers(), st.lists(st.tuples(
        st.sampled_from(("take", "end", "leave", "wait")), st.integers(0, 99),
        st.sampled_from([each for each in Outcome if each not in (Outcome.CANCELLED, Outcome.NEVER_SENT)])),
        max_size=40))
    def test_valid_ones_start_answer_and_keep_their_promises(self, told, events):
        # Through the file's own form: what JSON makes of it is what is read.
        config = parse_config(json.loads(json.dumps(told)), {}, "drawn")
        types = config.deployment.types
        Admission(min(each.target_latency for each in types)).record_lag(SECOND, MS)
        Descriptors(config.max_sockets).client_limit(40)
        shutdown = Shutdown(max(each.action_timeout for each in types))
        fleet, now, calls = Fleet(), SECOND, []
        engine = fleet.engine = RequestEngine(Dispatcher(1, config.deployment, now), fleet, fleet,
                                              config.load_timeout)
        engine.update_workers(now, [listing(f"w{n}", started_at=now if n == 3 else 0) for n in range(4)], full=True)
        for what, pick, outcome in events:
            out = [(pending, n) for pending in calls for n, sent in enumerate(pending.sends) if sent.outcome is None]
            if what == "take":
                type_ = types[pick % len(types)]
                calls.append(engine.admit(now, f"c{len(calls)}", Call(
                    type_.name, f"f{pick % 4}", type_.action_timeout * (1 + pick % 3) // 3,
                    tenant=config.deployment.tenants[pick % len(config.deployment.tenants)].name
                    if config.deployment.tenants else "", work=pick * MS)))
            elif what == "end" and out:
                pending, number = out[pick % len(out)]
                pending.on_send_ended(now, number, outcome, copy=Copy.FOUND)
            elif what == "leave" and calls:
                calls[pick % len(calls)].on_client_gone(now)
            else:
                now = self.wait(engine, now, now + pick * 10 * MS)
        shutdown.begin(now)
        engine.shorten_deadlines(now, shutdown.answer_deadline)
        now = self.wait(engine, now, shutdown.answer_deadline)
        self.assertEqual((engine.owed, engine.counts["overdue"]), (0, 0))
        for pending in calls:
            answers = fleet.answers.get(pending.id, [])
            self.assertEqual(len(answers), 0 if pending.client_gone else 1)
            self.assertLessEqual(pending.answered_at, shutdown.answer_deadline)
            ran = [sent for sent in pending.sends if sent.outcome not in (
                Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_SENT, Outcome.MISS)]
            if pending.activation.type_stats.effect is Effect.ONCE_ONLY:
                self.assertLessEqual(len(ran), 1)
                self.assertFalse(ran and answers and answers[0].final is FinalKind.REJECTED)
            self.assertLessEqual(len(pending.sends), config.deployment.max_sends)

    @settings(max_examples=600, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from(NUMBERS), st.sampled_from(EXTREMES)), min_size=1, max_size=3))
    def test_extreme_numbers_are_refused_by_name_or_start(self, changes):
        """Guards against starts that end with a traceback, as of a quota of 5e-324 calls a second."""
        content = json.loads(json.dumps(EXTREME_BASE))
        for path, extreme in changes:
            *places, name = path
            target = content
            for place in places:
                target = target[place]
            target[name] = extreme
        try:
            config = parse_config(json.loads(json.dumps(content)), {}, "/run/config.json")
        except InvalidInput as refused:
            self.assertIn("/run/config.json", str(refused))
            self.assertNotIn("\n", str(refused))
            return
        log = RecordingLog()
        node = Node(config, {}, log)
        node.join_known_workers()
        config.link_settings(node.ready_workers)
        type_ = config.deployment.types[0]
        now = time.monotonic_ns()
        node.engine.workers = node.engine.clients = fleet = Fleet()
        fleet.engine = node.engine
        for number in range(3):
            node.engine.admit(now, f"c{number}", Call(type_.name, "f", type_.action_timeout, tenant="a"))
        while node.engine.owed:
            now = max(now, node.engine.due())
            node.engine.tick(now)
        self.assertEqual(log.of("fault"), [])

    def wait(self, engine, now, until):
        while engine.due() <= until:
            now = max(now, engine.due())
            engine.tick(now)
        return until

    def test_an_invalid_setting_is_reported_in_one_line_that_names_it(self):
        def lane(**facts):
            return {"lanes": [{"name": "a", "aim": 1, "giveUp": 2, "effect": "safe", "worth": 1} | facts]}
        cases = (
            (lane(aim=0), "lanes.0.aim"), (lane(giveUp=-5), "lanes.0.giveUp"), (lane(worth="much"), "lanes.0.worth"),
            (lane(worth=float("nan")), "lanes.0.worth"), (lane(aim=float("inf")), "lanes.0.aim"),
            (lane(name=None), "lanes.0.name"), (lane() | {"peersTotal": 0}, "peersTotal"),
            (lane() | {"peersTotal": 2.5}, "peersTotal"), (lane() | {"limits": {"maxAttempts": "x"}}, "maxAttempts"),
            (lane() | {"lanes": []}, "lanes"), (lane() | {"lanes": None}, "lanes"))
        for content, words in cases:
            with self.assertRaises(InvalidInput, msg=words) as caught:
                parse_config(configuration(settings=json.loads(json.dumps(content))), {}, "/run/config.json")
            self.assertIn(words, str(caught.exception))
            self.assertIn("/run/config.json", str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))


class TenantsAndIdempotencyKeys(unittest.TestCase):
    """Requests at an installation with tenants and deduplicated types; names as in the platform's real.json."""

    def platform(self):
        content = json.loads(json.dumps(SETTINGS))
        content["lanes"][0] |= {"effect": "keyed", "memorySpan": 2000.0}
        content["orgs"] = [{"name": "one", "share": 1.0, "quotaPerS": 1000.0}]
        return Platform(settings=content)

    def test_an_idempotency_key_is_forwarded_to_the_worker_if_there_is_one(self):
        with self.platform() as it:
            self.assertEqual(it.call(HTTP_X_UNIQUE="f4031e2e", HTTP_X_TEAM="one")[0], 200)
            self.assertEqual(it.call(id_="00000000000000a2", type_="submit", HTTP_X_TEAM="one")[0], 200)
            with_key, without_key = it.workers[0].frames_with(INVOKE)
            self.assertEqual((with_key.fields["once"], "once" in without_key.fields), ("f4031e2e", False))

    def test_an_idempotency_key_that_would_break_a_frame_is_refused(self):
        with self.platform() as it:
            for key in ("a,b", "a=b\n", "x" * 200):
                self.assertEqual(it.call(HTTP_X_UNIQUE=key)[0], 400)
            self.assertEqual(it.workers[0].frames_with(INVOKE), [])

    def test_calls_count_against_their_tenant_and_those_without_one_have_low_priority(self):
        with self.platform() as it:
            admitted, admit = [], it.node.engine.dispatcher.admit

            def record(*arguments, **facts):
                activation = admit(*arguments, **facts)
                admitted.append((facts["tenant"], activation.low_priority))
                return activation
            it.node.engine.dispatcher.admit = record
            it.call(HTTP_X_TEAM="one")
            it.call(id_="00000000000000a2")
            self.assertEqual(admitted, [("one", False), ("", True)])


if __name__ == "__main__":
    unittest.main()
