"""The standing of service addresses: decisions from signals, hysteresis over time, routes, drains."""
import ipaddress
import random
import unittest

from threadshift.bgp.announce import (
    DOWN_DELAY, FLAP_MEMORY, MAX_LOOP_LAG, MAX_ROSTER_AGE, MIN_CALLS, STARTUP_TIME, UP_DELAY, WITHDRAW_DELAY,
    CallStats, Decision, DemonstratedCapacity, Hysteresis, ServiceHealth, Standing, decide)
from threadshift.bgp.announcer import Announcer, ServiceAddress
from threadshift.bgp.drain import CONVERGE_TIME, MAX_FADE_TIME, QUIET_TIME, Drain, Stage
from threadshift.bgp.path import Path
from threadshift.interface import MS, SECOND

FULL, LESSER, POOR, LAST, GONE = Standing
NET = ipaddress.ip_network("192.0.2.1/32")
HOP, OTHER_HOP = ipaddress.ip_address("127.0.1.1"), ipaddress.ip_address("127.0.1.2")
GOOD, BAD = CallStats(100, 100, 95, 100), CallStats(100, 100, 20, 60)
UNREACHED = CallStats(MIN_CALLS, MIN_CALLS, 0, 0, MIN_CALLS)


class Decisions(unittest.TestCase):
    def test_signals_and_standings(self):
        # health, demonstrated calls a second, other front ends seen: standing, reason
        cases = (
            (dict(), 0, None, FULL, "well"),
            (dict(listening=False, operator=FULL), 0, None, GONE, "not-listening"),
            (dict(operator=GONE, drain=LAST), 0, None, GONE, "operator"),
            (dict(operator=FULL, fit=0), 0, None, FULL, "operator"),
            (dict(drain=LAST), 0, None, LAST, "draining"),
            (dict(fit=0), 0, None, LAST, "no-worker"),
            (dict(fit=0), 0, 0, LAST, "no-worker"),
            (dict(fit=0), 0, 1, GONE, "no-worker"),
            (dict(warmth=0.2), 0, None, POOR, "cold"),
            (dict(warmth=0.6), 0, None, LESSER, "tepid"),
            (dict(roster_age=MAX_ROSTER_AGE + 1), 0, None, LESSER, "roster-old"),
            (dict(call_stats={"a": UNREACHED}), 0, None, LAST, "types-unserved"),
            (dict(call_stats={"a": UNREACHED}), 0, 2, GONE, "types-unserved"),
            (dict(call_stats={"a": UNREACHED, "b": GOOD}), 0, 2, FULL, "well"),
            # Poor service that the load does not explain.
            (dict(loop_lag=MAX_LOOP_LAG + 1, calls_per_second=10), 100, None, POOR, "loop-lags"),
            (dict(call_stats={"a": BAD}, calls_per_second=10), 100, 3, POOR, "serves-badly"),
            # Possible overload changes nothing, whichever other front ends are seen.
            (dict(loop_lag=MAX_LOOP_LAG + 1, calls_per_second=90), 100, 3, FULL, "overloaded"),
            (dict(call_stats={"a": BAD}, calls_per_second=90), 100, 3, FULL, "overloaded"),
            (dict(refused_share=0.9, calls_per_second=200), 100, 3, FULL, "overloaded"),
        )
        for health, calls, others, standing, reason in cases:
            got = decide(ServiceHealth(**health), DemonstratedCapacity(calls, 1.0), frozenset(), others,
                         WITHDRAW_DELAY)
            self.assertEqual((got.standing, got.reason), (standing, reason), health)

    def test_an_address_is_judged_by_its_own_types(self):
        health = ServiceHealth(call_stats={"a": UNREACHED, "b": GOOD})
        self.assertEqual(decide(health, DemonstratedCapacity(), frozenset({"a"}), 1, WITHDRAW_DELAY).standing, GONE)
        self.assertEqual(
            decide(health, DemonstratedCapacity(), frozenset({"a"}), 1, WITHDRAW_DELAY - 1).standing, LAST)
        self.assertEqual(decide(health, DemonstratedCapacity(), frozenset({"b"}), 1).standing, FULL)

    def test_far_fewer_workers_than_recently(self):
        capacity = DemonstratedCapacity()
        capacity.learn(SECOND, ServiceHealth(fit=10))
        self.assertEqual(decide(ServiceHealth(fit=4), capacity, frozenset(), None), Decision(LESSER, "few-workers"))
        self.assertEqual(decide(ServiceHealth(fit=6), capacity, frozenset(), None).standing, FULL)
        capacity.learn(SECOND + 3600 * SECOND, ServiceHealth(fit=4))    # the larger fleet is forgotten
        self.assertEqual(decide(ServiceHealth(fit=4), capacity, frozenset(), None).standing, FULL)

    def test_capacity_is_learnt_from_good_service_only(self):
        capacity = DemonstratedCapacity()
        capacity.learn(SECOND, ServiceHealth(calls_per_second=500, call_stats={"a": BAD}))
        self.assertEqual(capacity.calls_per_second, 0)
        capacity.learn(2 * SECOND, ServiceHealth(calls_per_second=50, call_stats={"a": GOOD}))
        self.assertEqual(capacity.calls_per_second, 50)


class StandingsOverTime(unittest.TestCase):
    def play(self, it, now, standing, reason, length, step=50 * MS):
        """Repeats one decision for a time; returns each change of standing with its time."""
        changes, end = [], now + length
        while now < end:
            if it.update(now, Decision(standing, reason)):
                changes.append((now, it.decision.standing))
            now += step
        return changes

    def first(self, it, now, standing, reason, step=50 * MS):
        """Repeats one decision until the standing changes; returns the time of the change."""
        while not it.update(now, Decision(standing, reason)):
            now += step
        return now

    def test_standing_falls_quickly_and_rises_slowly_by_steps(self):
        it = Hysteresis(lambda: 0.0, 0)
        self.assertEqual(self.play(it, 0, FULL, "well", SECOND), [(0, FULL)])
        self.assertEqual(self.play(it, SECOND, LAST, "no-worker", SECOND), [(SECOND + DOWN_DELAY, LAST)])
        up = self.play(it, 2 * SECOND, FULL, "well", 30 * SECOND)
        self.assertEqual([standing for _, standing in up], [POOR, LESSER, FULL])
        self.assertEqual([now for now, _ in up], [2 * SECOND + n * UP_DELAY + (n - 1) * 50 * MS for n in (1, 2, 3)])

    def test_a_new_process_waits_for_its_workers(self):
        it = Hysteresis(lambda: 0.0, SECOND)
        self.assertEqual(self.play(it, SECOND, LAST, "no-worker", SECOND), [])
        self.assertEqual(self.play(it, 2 * SECOND, FULL, "well", SECOND), [(2 * SECOND, FULL)])
        it = Hysteresis(lambda: 0.0, SECOND)
        self.assertEqual(self.play(it, SECOND, LAST, "no-worker", 4 * SECOND), [(SECOND + STARTUP_TIME, LAST)])

    def test_a_brief_signal_changes_nothing(self):
        it = Hysteresis(lambda: 0.0, 0, FULL)
        self.assertEqual(self.play(it, 0, LAST, "no-worker", DOWN_DELAY), [])
        self.assertEqual(self.play(it, DOWN_DELAY, FULL, "well", SECOND), [])

    def test_local_signals_act_at_once(self):
        for reason in ("not-listening", "operator", "draining"):
            it = Hysteresis(lambda: 0.0, 0, FULL)
            self.assertEqual(self.play(it, 0, GONE, reason, SECOND), [(0, GONE)])

    def test_flaps_lengthen_the_delay_and_are_forgotten(self):
        it, now, waits = Hysteresis(lambda: 0.0, 0, FULL), 0, []
        for _ in range(4):
            now = self.first(it, now, LESSER, "tepid")
            back = self.first(it, now + 50 * MS, FULL, "well")
            waits.append(round((back - now) / UP_DELAY))
            now = back + SECOND
        self.assertEqual(waits, [1, 2, 4, 8])
        self.play(it, now, FULL, "well", 5 * FLAP_MEMORY, SECOND)
        self.assertEqual(it.flaps, 0)

    def test_zones_do_not_rise_together(self):
        chance = random.Random(3)
        ups = []
        for _ in range(20):
            it = Hysteresis(chance.random, 0, FULL)
            self.play(it, 0, LESSER, "tepid", SECOND)
            ups.append(self.play(it, SECOND, FULL, "well", 30 * SECOND)[0][0])
        self.assertGreater(max(ups) - min(ups), UP_DELAY // 4)


def announcer(chance=lambda: 0.0, drain=None):
    return Announcer(65001, [HOP], [ServiceAddress(NET)], drain or Drain(), chance, 0)


class Routes(unittest.TestCase):
    def test_a_worse_standing_is_worse_in_every_attribute(self):
        it, routes = announcer(), []
        for standing in (FULL, LESSER, POOR, LAST):
            it.set_override(NET, standing)
            it.tick(0, ServiceHealth(), None)
            external, internal = it.routes(False)[NET], it.routes(True)[NET]
            routes.append((external.med, len(external.as_path), -internal.local_pref))
            self.assertEqual((external.local_pref, internal.as_path, it.standing_of(external)), (None, (), standing))
        self.assertEqual(routes, sorted(routes))
        self.assertEqual(len(set(routes)), 4)
        it.set_override(NET, GONE)
        it.tick(0, ServiceHealth(), None)
        self.assertEqual(it.routes(False), {})
        it.set_override(NET, None)
        it.tick(1, ServiceHealth(), None)
        self.assertEqual(it.states[NET].decision.standing, FULL)

    def test_without_workers_withdraws_only_if_another_front_end_is_seen(self):
        it = announcer()
        it.tick(0, ServiceHealth(), None)
        own = it.path(NET, False)
        for paths, standing in (
                (None, LAST), ([], LAST), ([own], LAST),      # only its own route is reflected
                ([Path(OTHER_HOP, (65002,), large_communities=((65002, 9000, int(LAST)),))], LAST),  # no better
                ([Path(OTHER_HOP, (65002,), large_communities=((65002, 9000, int(LESSER)),))], GONE),
                ([Path(OTHER_HOP, (65002,))], GONE)):
            it = announcer()
            it.tick(0, ServiceHealth(), None)
            received = None if paths is None else lambda prefix, paths=paths: paths
            for now in range(SECOND, 6 * SECOND, 100 * MS):
                it.tick(now, ServiceHealth(fit=0), received)
            self.assertEqual(it.states[NET].decision.standing, standing, paths)

    def test_zones_that_fail_together_never_all_withdraw(self):
        """Three zones see each other's routes and lose their workers nearly at once: a route always remains."""
        for seed in range(15):
            zones = [Announcer(65001 + n, [ipaddress.ip_address(f"127.0.1.{n + 1}")], [ServiceAddress(NET)], Drain(),
                               random.Random(f"{seed} {n}").random, 0) for n in range(3)]
            chance = random.Random(seed)
            delays = [chance.randrange(0, 400) * MS for _ in zones]
            views = [[] for _ in zones]
            for now in range(0, 60 * SECOND, 50 * MS):
                for n, zone in enumerate(zones):
                    dead = 5 * SECOND + delays[n] <= now < 20 * SECOND
                    zone.tick(now, ServiceHealth(fit=0 if dead else 4), lambda prefix, received=views[n]: received)
                # Each zone sees what the others announced one step earlier.
                views = [[other.routes(False)[NET] for other in zones if other is not zone and other.routes(False)]
                         for zone in zones]
                self.assertTrue(any(zone.routes(False) for zone in zones), (seed, now))
            self.assertTrue(all(zone.states[NET].decision.standing is FULL for zone in zones))
            self.assertTrue(all(zone.states[NET].changes <= 6 for zone in zones))


class Overloaded(unittest.TestCase):
    """Overload for 60 s changes no standing, whichever other front ends are seen, with and without lag."""

    def changes(self, health, received):
        it = announcer(random.Random(1).random)
        it.tick(0, ServiceHealth(calls_per_second=100, call_stats={"a": GOOD}), received)
        for now in range(50 * MS, 60 * SECOND, 50 * MS):
            it.tick(now, health(now), received)
        return it.states[NET].changes, it.states[NET].decision

    def test_overload_of_all_zones_does_not_oscillate(self):
        other = Path(OTHER_HOP, (65002,), large_communities=((65002, 9000, int(FULL)),))
        for received in (None, lambda prefix: [], lambda prefix: [other]):
            changes, decision = self.changes(
                lambda now: ServiceHealth(
                    calls_per_second=300, loop_lag=2 * MAX_LOOP_LAG if now // SECOND % 3 else 0, refused_share=0.5,
                    call_stats={"a": BAD}), received)
            self.assertEqual((changes, decision), (1, Decision(FULL, "overloaded")))     # the one change is the start

    def test_the_last_zone_stays_announced_when_two_others_are_lost(self):
        """It receives three times its calls at once, and most answers are late from then on."""
        changes, decision = self.changes(
            lambda now: ServiceHealth(calls_per_second=300, loop_lag=3 * MAX_LOOP_LAG, refused_share=0.6,
                                      call_stats={"a": CallStats(1000, 1000, 50, 300)}),
            lambda prefix: [])
        self.assertEqual((changes, decision.standing), (1, FULL))


class Draining(unittest.TestCase):
    def test_stages(self):
        it = Drain()
        it.begin(0, 100.0)
        it.tick(QUIET_TIME, 50.0, QUIET_TIME, True)
        self.assertEqual((it.stage, it.standing), (Stage.FADING, LAST))
        it.tick(QUIET_TIME + 1, 4.0, QUIET_TIME, True)
        self.assertEqual((it.stage, it.standing), (Stage.WITHDRAWN, GONE))
        it.begin(SECOND, 1.0)               # a second call changes nothing
        it.tick(QUIET_TIME + CONVERGE_TIME, 0.0, 0, True)
        self.assertEqual(it.stage, Stage.WITHDRAWN)
        it.tick(QUIET_TIME + 1 + CONVERGE_TIME, 0.0, 0, True)
        self.assertEqual(it.stage, Stage.DONE)

    def test_traffic_that_does_not_fade_delays_no_drain(self):
        it = Drain()
        it.begin(0, 100.0)
        it.tick(MAX_FADE_TIME - 1, 100.0, MAX_FADE_TIME, True)
        self.assertEqual(it.stage, Stage.FADING)
        it.tick(MAX_FADE_TIME, 100.0, MAX_FADE_TIME, True)
        self.assertEqual(it.stage, Stage.WITHDRAWN)

    def test_lost_sessions_delay_no_drain(self):
        it = Drain()
        it.begin(0, 100.0)
        it.tick(1, 100.0, 0, False)
        it.tick(2, 100.0, 0, False)
        self.assertEqual(it.stage, Stage.DONE)


if __name__ == "__main__":
    unittest.main()
