"""How little one client or tenant can take from the others: admission, capacity, counters and the log."""
import io
import json
import threading
import unittest

from hypothesis import given
from hypothesis import strategies as st

from threadshift.engine.engine import Answer, FinalKind
from threadshift.interface import MS, SECOND, Tenant
from threadshift.invoke.admission import MAX_REFUSED_SHARE, READING_INTERVAL, Admission
from threadshift.invoke.deferred import InMemoryStore
from threadshift.invoke.refusal_counters import REPORT_INTERVAL, RefusalCounters
from threadshift.invoke.shares import MIN_SHARE, NO_TENANT, SharedCapacity, shares_to_refuse, weights
from threadshift.log import Log
from threadshift.log_limiter import LINES_PER_SECOND, MAX_KINDS, LogRateLimiter

TENANTS = tuple(Tenant(name, share, 100.0) for name, share in (("a", 0.5), ("b", 0.3), ("c", 0.1)))
WEIGHT = weights(TENANTS)


class AdmissionByTenant(unittest.TestCase):
    def refused(self, asked, seconds=6):
        """The refused share of each tenant's calls, and of all calls, at a front end that serves 1000 calls a second.

        `asked` has the calls a second of each tenant."""
        it, now, counts = Admission(600 * MS, WEIGHT), 0, {name: [0, 0] for name in asked}
        queued = 0.0
        for step in range(int(seconds * SECOND / READING_INTERVAL)):
            now += READING_INTERVAL
            for name, rate in asked.items():
                for _ in range(int((step + 1) * rate / 100) - int(step * rate / 100)):
                    admitted = it.admit(False, name)
                    queued += admitted
                    if step >= 300:
                        counts[name][admitted] += 1
            queued = max(0.0, queued - 10)
            it.record_lag(now, int(queued * MS))
        return {name: no / (no + yes) for name, (no, yes) in counts.items()}, it.refused_share

    def test_one_that_floods_is_refused_and_the_others_are_not(self):
        """Guards against refusing calls of all tenants alike: a tenant within its share would then lose as large a
        share of its calls as the one that floods."""
        found, total = self.refused({"a": 200, "b": 2000, "c": 40})
        self.assertGreater(total, 0.3)
        self.assertEqual((found["a"], found["c"]), (0.0, 0.0))
        self.assertGreater(found["b"], total)

    def test_calls_without_a_tenant_and_of_unknown_names_count_as_one_tenant(self):
        found, _ = self.refused({"a": 200, "": 2000, "made-up": 2000})
        self.assertEqual(found["a"], 0.0)
        self.assertGreater(min(found[""], found["made-up"]), 0.4)

    @given(st.dictionaries(st.sampled_from("abcd"), st.floats(0.01, 1e5), min_size=1), st.floats(0, 0.95),
           st.lists(st.floats(0.02, 5), min_size=4, max_size=4))
    def test_parts_add_up_and_favour_nobody_who_asks_more_than_its_due(self, came, refuse, weight):
        weight = dict(zip("abcd", weight, strict=True))
        found = shares_to_refuse(came, weight, refuse)
        self.assertEqual(set(found), set(came))
        refused = sum(found[name] * came[name] for name in came)
        self.assertAlmostEqual(refused, refuse * sum(came.values()), delta=1e-6 * sum(came.values()))
        level = [came[name] * (1 - found[name]) / weight[name] for name in came if found[name] > 1e-9]
        for one in level:
            self.assertAlmostEqual(one, level[0], delta=1e-6 * level[0])

    def test_weights(self):
        self.assertEqual(weights(()), {})
        self.assertAlmostEqual(sum(WEIGHT.values()) / 4, 1)
        self.assertAlmostEqual(WEIGHT["a"] / WEIGHT[NO_TENANT], 5)
        self.assertGreaterEqual(weights([Tenant("a", 1.0, 9.0)])[NO_TENANT], MIN_SHARE)
        self.assertLess(MAX_REFUSED_SHARE, 1)


class CapacityByTenant(unittest.TestCase):
    def test_one_tenant_leaves_room_for_the_others(self):
        """Guards against giving all of `bounds activations`, `deferred` and `results` to the first tenant."""
        it = SharedCapacity(1000, WEIGHT)
        while it.has_room("c"):
            it.acquire("c")
        self.assertLess(it.used, 400)
        for name in ("a", "b", ""):
            self.assertTrue(it.has_room(name), name)
        while any(it.has_room(name) for name in ("a", "b", "c", "x")):
            for name in ("a", "b", "c", "x"):
                if it.has_room(name):
                    it.acquire(name)
        self.assertLessEqual(it.used, 1000)
        it.release("c", it.used_by["c"])
        self.assertTrue(it.has_room("a"))

    def test_the_tenant_that_keeps_most_loses_its_answers_first(self):
        it = InMemoryStore(100, 10_000, 60 * SECOND, WEIGHT)
        for n, tenant in enumerate(["a"] + ["c"] * 20):
            it.finish(n, it.add(f"c{n}", tenant), Answer(FinalKind.COMPLETED, "completed", b"x" * 100))
        self.assertIsNotNone(it.find("c0"))
        self.assertIsNone(it.find("c1"))

    def test_without_tenants_any_client_may_use_all(self):
        it = SharedCapacity(10, {})
        for n in range(10):
            self.assertTrue(it.has_room(f"any{n}"))
            it.acquire(f"any{n}")
        self.assertFalse(it.has_room("any"))
        self.assertEqual(list(it.used_by), [NO_TENANT])       # names made up by clients are not kept

    def test_answers_without_a_body_are_limited_too(self):
        """Guards against counting only bodies: refusals that no client collects would then pile up without limit."""
        it = InMemoryStore(10, 100_000, 60 * SECOND)
        number = 0
        while number < 10_000:
            it.finish(number, it.add(f"c{number}"), Answer(FinalKind.REJECTED, "no-room"))
            number += 1
        self.assertLess(len(it.calls), 200)


class Reports(unittest.TestCase):
    def test_refusals_are_reported_when_they_begin_and_then_as_sums(self):
        it, lines = RefusalCounters(), []
        for n in range(12_000):
            it.record(n * MS, "overloaded", "b" if n % 3 else "a")
            lines += it.due_reports(n * MS)
        lines += it.due_reports(12 * SECOND, flush=True)
        self.assertEqual([line["count"] for line in lines], [1, 5000, 5000, 1999])
        self.assertEqual(lines[1]["in_all"], 5001)
        self.assertEqual(list(lines[1]["tenants"]), ["b", "a"])
        self.assertEqual(it.due_reports(99 * SECOND), [])
        self.assertEqual(it.totals(), {"overloaded": 12_000})
        self.assertGreater(REPORT_INTERVAL, SECOND)

    def test_each_kind_has_a_limit_of_its_own_and_suppressed_lines_are_summarised(self):
        it = LogRateLimiter(0)
        allowed = sum(it.allow(n * MS, "final no-room") for n in range(3000))
        self.assertEqual(allowed, 3 * LINES_PER_SECOND)
        self.assertTrue(it.allow(3 * SECOND, "roster-lost"))
        self.assertEqual(it.summary(4 * SECOND), {})
        summary = it.summary(5 * SECOND)
        self.assertEqual(summary, {"final no-room": {"lines": 3000 - allowed, "for_ms": 5000 - LINES_PER_SECOND}})
        self.assertEqual(it.summary(6 * SECOND, is_last=True), {})
        for n in range(10 * MAX_KINDS):
            it.allow(SECOND, f"kind {n}")
        self.assertLessEqual(len(it.kinds), MAX_KINDS + 1)


class BlockedStream(io.StringIO):
    """A stream whose writes block until `free` is set."""

    def __init__(self):
        super().__init__()
        self.free = threading.Event()

    def write(self, text):
        self.free.wait(10)
        return super().write(text)


class Logs(unittest.TestCase):
    def test_a_flood_of_one_kind_leaves_room_for_rare_lines_and_is_counted_at_the_end(self):
        stream = BlockedStream()
        log = Log("json", stream=stream, max_lines=60)
        for n in range(5000):
            log.note("final", reason="no-room", number=n)
            log.note("final", reason="over-share", number=n)
            log.note("final", reason=f"other{n % 9}", number=n)
        log.note("roster-lost", level="warning", problem="x")
        stream.free.set()
        log.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertIn("roster-lost", [line["event"] for line in lines])
        written = sum(line["event"] == "final" for line in lines)
        suppressed = sum(kind["lines"] for line in lines if line["event"] == "lines-held-back"
                        for kind in line["kinds"].values())
        self.assertEqual(written + suppressed, 15_000)
        self.assertEqual(lines[-1]["event"], "lines-held-back")


if __name__ == "__main__":
    unittest.main()
