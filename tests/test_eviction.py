import random
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.cluster import Cluster
from threadshift.eviction.active_policy import ActivePolicy, ActivePolicyState
from threadshift.eviction.conformance import find_violations, random_facts
from threadshift.eviction.node import HOLDERS_MAX_AGE, MAX_FAILED_DECISIONS, Evictor, last_copy_holder
from threadshift.eviction.facts import Facts
from threadshift.eviction.policies import BUILT_IN, CostPerByte, LongestIdle, digest, label
from threadshift.interface import MS, SECOND


class FaultyPolicy(LongestIdle):
    """A customer's policy that fails in the given way."""

    name = "odd"

    def __init__(self, fault="none"):
        self.fault, self.calls = fault, 0

    def score(self, facts, parameters):
        self.calls += 1
        if self.fault == "raises":
            raise ValueError("no")
        if self.fault == "loops":
            while True:
                pass
        return {"half": 0.5, "other": self.calls, "none": -facts.idle}.get(self.fault, 0)


def evictor_with(fault="none", name="n", time_limit=20 * MS):
    """An evictor whose active policy has the given fault."""
    policy = FaultyPolicy(fault)
    evictor = Evictor(name, {label(BUILT_IN): BUILT_IN, label(policy): policy}, time_limit)
    evictor.update_policy(ActivePolicy(7, label(policy), digest(policy)).as_message())
    return evictor


def thing(name, idle=0, **facts):
    return Facts(name, 1 << 20, idle=idle, **facts)


def names(found):
    return [each.name for each in found]


class Policies(unittest.TestCase):
    def test_built_in_policies_meet_the_requirements(self):
        for policy in (LongestIdle(), CostPerByte(), FaultyPolicy()):
            self.assertEqual(find_violations(policy), [], label(policy))
        for fault, message in (("half", "score is not an integer"), ("other", "shuffled"),
                               ("raises", "raised ValueError")):
            self.assertTrue([each for each in find_violations(FaultyPolicy(fault)) if message in each], fault)

    def test_cost_per_byte_keeps_what_saves_most_load_time_for_its_size(self):
        it = Evictor("n")
        policy = CostPerByte()
        it.update_policy(ActivePolicy(1, label(policy), digest(policy)).as_message())
        things = [Facts(name, size << 20, SECOND, 9, kept, uses) for name, size, kept, uses in (
            ("used", 1, 100 * SECOND, 50), ("rare", 1, 100 * SECOND, 2), ("new", 1, 1, 1),
            ("big", 1024, 100 * SECOND, 50))]
        self.assertEqual(names(it.eviction_order(0, things)), ["big", "rare", "used", "new"])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 10_000))
    def test_all_nodes_agree_bit_for_bit(self, seed):
        chance = random.Random(seed)
        things = random_facts(chance, 30)
        shuffled = things[:]
        chance.shuffle(shuffled)
        for policy in (LongestIdle(), CostPerByte()):
            orders = []
            for each in (things, shuffled):
                it = Evictor("n", {label(policy): policy})
                it.update_policy(ActivePolicy(1, label(policy), digest(policy)).as_message())
                orders.append(it.eviction_order(0, each))
            self.assertEqual(*orders)


class Nodes(unittest.TestCase):
    def test_pinned_and_busy_items_are_never_evicted(self):
        things = [thing("a", pinned=True), thing("b", busy=True), thing("c")]
        self.assertEqual(names(Evictor("n").eviction_order(0, things)), ["c"])

    def test_later_epoch_wins_and_malformed_messages_are_ignored(self):
        it = evictor_with()
        for message in ({"epoch": 6, "policy": "x", "digest": "", "parameters": {}}, {"epoch": "8"}, None, 5,
                        {"epoch": 9, "policy": 3, "digest": "", "parameters": {}}):
            self.assertFalse(it.update_policy(message))
        self.assertEqual(it.active_policy.epoch, 7)
        self.assertTrue(it.update_policy(ActivePolicy(8, "gone@1", "ff").as_message()))
        self.assertIn("not installed", it.policy_mismatch)
        self.assertTrue(it.update_policy(ActivePolicy(9, "odd@1", "another text").as_message()))
        self.assertIn("another source text", it.policy_mismatch)
        # The built-in policy decides.
        self.assertEqual(names(it.eviction_order(0, [thing("a", 1), thing("b", 2)])), ["b", "a"])

    def test_misbehaving_policy_costs_limited_time_and_is_then_not_called(self):
        things = [thing("a", 1), thing("b", 2)]
        for fault, message in (("raises", "raised ValueError"), ("half", "score is not an integer"),
                               ("loops", "too slow"), ("other", "score is not deterministic")):
            it, began = evictor_with(fault), time.monotonic()
            while not it.complaint:
                self.assertEqual(set(names(it.eviction_order(0, things))), {"a", "b"})
                self.assertLess(it.decisions, 40)
            self.assertLess(time.monotonic() - began, 1)
            self.assertIn(message, it.complaint)
            calls = it.policies["odd@1"].calls
            self.assertEqual(names(it.eviction_order(0, things)), ["b", "a"])
            self.assertEqual((it.policies["odd@1"].calls, it.failures.total()), (calls, MAX_FAILED_DECISIONS))

    def test_exactly_one_holder_keeps_the_last_copy_until_the_end(self):
        nodes = {name: Evictor(name) for name in ("w0", "w1", "w2")}
        for at, it in nodes.items():
            it.update_holders(1, {"f": [other for other in nodes if other != at]})
        things = [thing("f", 9 * SECOND), thing("g", SECOND), thing("g", SECOND, number=1)]
        first = {at: names(it.eviction_order(2, things))[0] for at, it in nodes.items()}
        keeps = last_copy_holder("f", nodes)
        self.assertEqual({at for at, name in first.items() if name == "g"}, {keeps})
        for it in nodes.values():                       # the reports are too old: all err towards keeping
            self.assertEqual(names(it.eviction_order(HOLDERS_MAX_AGE + 2, things)), ["g", "f", "g"])

    def test_of_several_copies_at_one_node_all_but_one_are_spare(self):
        things = [thing("f", 3, number=0), thing("f", 2, number=1), thing("g", 9)]
        self.assertEqual(names(Evictor("n").eviction_order(0, things)), ["f", "g", "f"])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=40), st.randoms(use_true_random=False))
    def test_told_the_truth_no_order_of_evictions_loses_the_last_copy_while_others_are_spare(self, turns, random):
        holds = {f"w{n}": {"f", "g", "h"} for n in range(5)}
        nodes = {name: Evictor(name) for name in holds}
        for turn, (at, room) in enumerate(turns, 1):
            for name, it in nodes.items():
                if random.random() < 0.5:               # the others go by what was told before, and err
                    it.update_holders(turn, {fn: [o for o in holds if fn in holds[o]] for fn in holds[name]})
            it, mine = nodes[f"w{at}"], holds[f"w{at}"]
            spare = [each for each in it.eviction_order(turn, [thing(fn, random.randrange(9)) for fn in sorted(mine)])
                     if last_copy_holder(each.name, [it.node, *it.other_holders(turn, each.name)]) != it.node]
            mine -= set(names(spare)[:room])
            self.assertEqual(set().union(*holds.values()), {"f", "g", "h"})


class ReplicatedState(unittest.TestCase):
    def test_complaints_of_several_nodes_deactivate_a_policy_and_those_of_one_do_not(self):
        it = ActivePolicyState()
        it.apply(5, {"do": "evict.set", "policy": "odd@1", "digest": "d", "parameters": {"a": 1}, "why": "try"})
        complaint = {"do": "evict.complaint", "epoch": 5, "what": "raised", "of": 12}
        for place, name in enumerate(["w1", "w1", "w1", "w2"], 6):
            self.assertEqual(it.apply(place, {**complaint, "node": name}).policy, "odd@1")
        again = ActivePolicyState()
        again.load(it.dump())
        for each in (it, again):
            each.apply(20, {**complaint, "node": "w3", "epoch": 4})         # about another epoch
            self.assertEqual(each.active.epoch, 5)
            each.apply(21, {**complaint, "node": "w3"})
            self.assertEqual((each.active.policy, each.active.epoch), (label(BUILT_IN), 21))
            self.assertIn("w2: raised", each.active.why)


PACKAGE = """
from threadshift.eviction.policies import LongestIdle
class Bad(LongestIdle):
    name = "bad"
    def score(self, facts, parameters):
        raise ValueError("no")
"""


class Processes(unittest.TestCase):
    """Three front ends and four workers with little memory, as processes."""

    def test_all_nodes_use_one_policy_despite_a_stopped_leader_and_deactivate_a_bad_one(self):
        with Cluster(fronts=3, workers=4, memory_mb=120, package=("bad-policy", "bad", "Bad", PACKAGE)) as it:
            leader = it.until(it.leader)
            other = next(name for name in it.names if name != leader)
            it.until(lambda: it.request(other, "GET", "/v1/eviction", admin=True)[1].get("nodes") == 7)
            status, told = it.request(other, "POST", "/v1/eviction", body=b'{"policy": "none@1"}', admin=True)
            self.assertEqual((status, told["title"]), (409, "Lacking"))
            status, told = it.request(other, "POST", "/v1/eviction", admin=True,
                                  body=b'{"policy": "cost-per-byte@1", "parameters": {"young-ms": 500}}')
            self.assertEqual((status, told["policy"]), (200, "cost-per-byte@1"))
            # Every node uses it once its front end has heard the next heartbeat and has sent to its workers.
            it.until(lambda: not it.request(other, "GET", "/v1/eviction", admin=True)[1]["behind"], 5)
            it.freeze(leader)
            set_ = b'{"policy": "bad@1", "silent-too": true}'
            it.until(lambda: it.request(other, "POST", "/v1/eviction", body=set_, admin=True)[0] == 200, 20)
            it.resume(leader)
            for n in range(60):         # copies of many functions: memory gets short, so the bad policy is called
                it.request(other, "POST", f"/v1/functions/check-{n % 15}/calls", body=b"x")
                if it.request(other, "GET", "/v1/eviction", admin=True)[1]["policy"] != "bad@1":
                    break
            shown = it.until(lambda: (now := it.request(leader, "GET", "/v1/eviction", admin=True)[1])[
                "policy"] == "longest-idle@1" and not now["behind"] and now)
            self.assertIn("raised ValueError", shown["why"])
            self.assertIn("bad@1 taken out of force", shown["why"])


if __name__ == "__main__":
    unittest.main()
