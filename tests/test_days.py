import unittest
from pathlib import Path

from threadshift.conf.reading import ConfigurationError
from threadshift.days.fault_scenario import FAULT_KINDS, FaultScenario, read, read_text
from threadshift.days.orders import FaultOrder, draw_orders, worker_zones
from threadshift.days.play import with_front_ends
from threadshift.days.traffic import client_calls, next_in_chain
from threadshift.interface import MS, SECOND

SCENARIO = """
length 20s
front-ends 3
fleet-of 6 {
    zones a b c
}
type check {
    target-latency 600ms
    action-timeout 2s
    effect repeatable
}
functions * {
    type check
}
traffic check {
    type check
    rate 100
    functions 30
}
"""
RUNNER_ACTIONS = ("!kill", "!renew", "!stop", "!go-on", "!drain", "!reload", "!say")


def scenario(*faults, seed=1, **changes) -> FaultScenario:
    text = SCENARIO + "".join(f"trouble {fault}\n" for fault in faults)
    for old, new in changes.items():
        text = text.replace(old, new)
    return read_text(text, "a.day", seed)


class Reading(unittest.TestCase):
    def test_popularity_drifts_and_deferred_calls_have_chains(self):
        plain, moved = scenario(), scenario(**{"rate 100": "rate 100\n    drift 5s\n    deferred 50%\n    chain 2"})
        first, then = list(client_calls(plain, 1)), list(client_calls(moved, 1))
        for one, other in zip(first, then, strict=True):
            rank = int(one.function.rsplit("-", 1)[1]) - one.at // (5 * SECOND)
            self.assertEqual(other.function, f"check-{rank % 30:03d}")
            self.assertEqual(other.chain, 2 * other.deferred)
        link = next_in_chain(next(each for each in then if each.chain))
        self.assertEqual((link.chain, link.mark[-1], next_in_chain(link).chain), (1, "c", 0))

    def test_errors_name_their_line(self):
        cases = (("trouble", "a.day:20:", "no kind of trouble"),
                 ("trouble crahs", "a.day:20:", "nearest known is 'crash'"),
                 ("trouble crash at", "a.day:20:", "pairs"), ("trouble crash at soon", "a.day:20:", "a time such as"),
                 ("trouble crash times 3", "a.day:20:", "takes no 'times'"),
                 ("trouble zone_cut zone nowhere", "a.day:20:", "no such zone"),
                 ("trouble front_kill front 3", "a.day:20:", "no such zone or front end"),
                 ("troble crash", "a.day:20:", "nearest known is 'trouble'"),
                 ("traffic more {\n type nothing\n rate 1\n}", "a.day:20:", "no type 'nothing'"))
        for line, place, words in cases:
            with self.assertRaises(ConfigurationError) as caught:
                read_text(SCENARIO + line + "\n", "a.day")
            self.assertTrue(str(caught.exception).startswith(place), str(caught.exception))
            self.assertIn(words, str(caught.exception))

    def test_the_packaged_scenarios_are_valid(self):
        for path in sorted((Path(__file__).parent.parent / "threadshift/days").glob("*.day")):
            it = read(str(path))
            self.assertTrue(it.traffic and it.faults, path)

    def test_what_a_fault_leaves_open_is_drawn_from_the_seed(self):
        first, again, other = (scenario("crash", "zone_cut", seed=seed).faults for seed in (1, 1, 2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)
        for fault in (*first, *other):
            self.assertTrue(0 < fault.at < fault.at + fault.length <= 20 * SECOND)

    def test_the_number_of_all_front_ends_is_added_to_their_configuration(self):
        self.assertIn("fleet {\nfront-ends-in-all 3\n}", with_front_ends(scenario()))
        self.assertIn("fleet {\nfront-ends-in-all 3\nidle-keep 1s", with_front_ends(
            read_text(SCENARIO + "fleet {\n idle-keep 1s\n}\n")))


class Traffic(unittest.TestCase):
    def test_the_same_seed_gives_the_same_calls_at_about_the_rate(self):
        one, again, other = (list(client_calls(scenario(), seed)) for seed in (5, 5, 6))
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)
        self.assertTrue(1700 < len(one) < 2300, len(one))
        self.assertEqual({each.front for each in one}, {0, 1, 2})

    def test_faults_of_clients_change_their_calls(self):
        plain = list(client_calls(scenario(), 5))
        later = 10 * SECOND
        # A fault, what is measured over the calls of its time, and the least and most ratio to a scenario without it.
        cases = (("burst at 10s for 5s times 3", len, 2.4, 3.6),
                 ("heavy_tail at 10s for 5s share 50% times 10", lambda some: sum(one.work for one in some), 3, 8),
                 ("give_up at 10s for 5s share 100% times 4", lambda some: sum(one.left for one in some), 0.2, 0.3),
                 ("scan at 10s for 5s share 50%", lambda some: len({one.function for one in some}), 4, 40),
                 ("hot_key at 10s for 5s share 60%",
                  lambda some: 1 + sum("hot" in one.function for one in some), 100, 900),
                 ("shift at 10s for 5s share 90% front 2", lambda some: sum(one.front == 2 for one in some), 2, 4))
        for fault, measure, least, most in cases:
            during = [one for one in client_calls(scenario(fault), 5) if later <= one.at < later + 5 * SECOND]
            without = [one for one in plain if later <= one.at < later + 5 * SECOND]
            ratio = measure(during) / measure(without)
            self.assertTrue(least < ratio < most, (fault, ratio))


class Orders(unittest.TestCase):
    def test_each_kind_of_fault_has_orders_unless_it_is_one_of_clients(self):
        clients = {"burst", "hot_key", "heavy_tail", "scan", "give_up", "shift"}
        for kind in FAULT_KINDS:
            it = scenario(f"{kind} at 4s for 6s", **{"fleet-of 6": "router {\n}\nfleet-of 6"})
            found = draw_orders(it, 1)
            self.assertEqual(bool(found), kind not in clients, kind)
            for order in found:
                self.assertIn(order.who,
                              [*worker_zones(it), "store", "roster", "workers", "front-0", "front-1", "front-2"])
                self.assertTrue(not order.words.startswith("!") or order.words.split()[0] in RUNNER_ACTIONS, order)
                self.assertGreaterEqual(order.at, 4 * SECOND)
            self.assertEqual(found, sorted(found, key=lambda order: order.at))

    def test_what_is_killed_is_started_again(self):
        for fault in ("crash at 2s for 3s workers 2", "zone_loss at 2s for 3s zone b",
                        "deploy at 2s for 12s workers 1",
                        "preempt at 2s for 6s workers 0.5", "front_kill at 2s for 1s front 1"):
            found = draw_orders(scenario(fault), 3)
            killed = [order.who for order in found if order.words == "!kill"]
            self.assertTrue(killed, fault)
            for who in killed:
                last = [order.words for order in found if order.who == who and order.words.startswith("!")][-1]
                self.assertEqual(last, "!renew", fault)

    def test_orders_of_a_stall(self):
        self.assertEqual(draw_orders(scenario("balancer_stall at 1s for 500ms front 2"), 1),
                         [FaultOrder(SECOND, "front-2", "!stop"), FaultOrder(1500 * MS, "front-2", "!go-on")])


if __name__ == "__main__":
    unittest.main()
