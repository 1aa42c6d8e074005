"""Conformance check for authors of eviction policies: python -m threadshift.eviction.conformance NAME@VERSION"""
from __future__ import annotations

import random
import sys
import time

from threadshift.eviction.active_policy import ActivePolicy
from threadshift.eviction.node import DECISION_TIME_LIMIT, Evictor
from threadshift.eviction.facts import Facts
from threadshift.eviction.policies import Policy, digest, installed_policies, label
from threadshift.interface import MS, SECOND

ITEMS = 400                # items at a node: more than stand-in workers and most real workers hold
ROUNDS = 50


def random_facts(chance: random.Random, count: int) -> list[Facts]:
    """Returns the facts of `count` random items."""
    return [Facts(f"f{chance.randrange(count * 2)}", chance.randrange(1, 1 << 30), chance.randrange(10 * SECOND),
                  chance.randrange(600 * SECOND), chance.randrange(3600 * SECOND), chance.randrange(10_000),
                  chance.randrange(500), chance.random() < 0.05, chance.random() < 0.2, "t", "1",
                  chance.randrange(-1, 5)) for _ in range(count)]


def find_violations(policy: Policy, seed: int = 1) -> list[str]:
    """Returns one sentence for each requirement that the policy violates; an empty list if it may be activated."""
    chance, violations = random.Random(seed), []
    evictor = Evictor("n", {label(policy): policy}, time_limit=100 * DECISION_TIME_LIMIT)
    evictor.update_policy(ActivePolicy(1, label(policy), digest(policy)).as_message())
    longest = 0
    for turn in range(ROUNDS):
        items = random_facts(chance, ITEMS)
        began = time.perf_counter_ns()
        order = evictor.eviction_order(0, items)
        longest = max(longest, time.perf_counter_ns() - began)
        shuffled = items[:]
        chance.shuffle(shuffled)
        if evictor.eviction_order(0, items) != order:
            violations.append(f"round {turn}: the same items had another order the second time")
        if evictor.eviction_order(0, shuffled) != order:
            violations.append(f"round {turn}: the same items, shuffled, had another order")
        if any(each.pinned or each.busy for each in order):
            violations.append(f"round {turn}: a pinned or busy item would be evicted")
    violations += [f"{what}, {count} times" for what, count in evictor.failures.items()]
    if longest > DECISION_TIME_LIMIT:
        violations.append(f"{longest // MS} ms for {ITEMS} items; the limit is {DECISION_TIME_LIMIT // MS} ms")
    return violations


def main() -> None:
    policies = installed_policies()
    if len(sys.argv) != 2 or sys.argv[1] not in policies:
        raise SystemExit(f"name one of these policies: {', '.join(sorted(policies))}")
    violations = find_violations(policies[sys.argv[1]])
    for violation in violations[:20]:
        print(violation)
    print(f"{sys.argv[1]}: {'must not be activated' if violations else 'meets all requirements of a policy'}")
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
