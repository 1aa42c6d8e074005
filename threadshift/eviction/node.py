"""Eviction at one node: which policy it uses, and in which order items are evicted. Free of I/O except for a timer
that limits how long a policy may run.

- Pinned and busy items are never evicted. An item that other nodes are reported to hold is evicted before one that
  only this node holds. Of all holders exactly one keeps the item: the one with the highest hash, which all compute
  alike from what was reported to them. An item about which nothing is known counts as held nowhere else, which errs
  towards keeping it. Where only last copies remain they are evicted too, after all others, so that keeping them never
  makes memory overflow.
- A policy that raises, runs for too long, returns a score that is not an integer or is not deterministic delays that
  one decision by a limited time. The built-in policy decides instead, and the failure is counted. After
  MAX_FAILED_DECISIONS the policy is not called any more in this epoch, and the node complains about it."""
from __future__ import annotations

import hashlib
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import FrameType
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.eviction.active_policy import ActivePolicy
from threadshift.eviction.facts import Facts
from threadshift.eviction.policies import BUILT_IN, Policy, digest, installed_policies, tie_breaker
from threadshift.interface import MS, SECOND

DECISION_TIME_LIMIT = 20 * MS      # for one decision about all items; a load takes ten times as long
MAX_FAILED_DECISIONS = 3           # a policy with so many failures is not called any more in its epoch
CONSISTENCY_CHECK_INTERVAL = 8     # in one decision of so many the policy is called twice, with the items reversed
HOLDERS_MAX_AGE = 10 * SECOND      # older reports about other holders are ignored


class TooSlow(ThreadshiftError):
    """A policy took longer than a decision may take."""

    help = "limit the policy's work: it is called for each item that takes memory"


def call_with_time_limit(act: Callable[[], Any], limit: int) -> Any:
    """Returns act(), interrupted by TooSlow after `limit` ns. Outside the main thread no signal can interrupt it, so
    TooSlow is raised there after act() has returned."""
    if threading.current_thread() is not threading.main_thread():
        began = time.monotonic_ns()
        result = act()
        if time.monotonic_ns() - began > limit:
            raise TooSlow(f"over {limit // MS} ms")
        return result

    def on_alarm(number: int, frame: FrameType | None) -> None:
        raise TooSlow(f"over {limit // MS} ms")

    previous_handler = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, limit / SECOND)
    try:
        return act()
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


def last_copy_holder(name: str, holders: Iterable[str]) -> str:
    """Returns which of all holders keeps the last copy."""
    return max(holders, key=lambda node: (hashlib.blake2b(f"{name}\n{node}".encode(), digest_size=8).digest(), node))


class Evictor:
    """Decides for one node which items are evicted first."""

    def __init__(self, node: str, policies: Mapping[str, Policy] | None = None,
                 time_limit: int = DECISION_TIME_LIMIT):
        self.node, self.policies, self.time_limit = node, dict(policies or installed_policies()), time_limit
        self.active_policy = ActivePolicy()
        self.decisions, self.failures = 0, Counter[str]()
        self.policy_mismatch = ""                # why the built-in policy decides although another is active
        # Item name: (time of the report, other nodes that hold it).
        self.holders: dict[str, tuple[int, frozenset[str]]] = {}

    # Updates from front ends.

    def update_policy(self, message: Any) -> bool:
        """Adopts the active policy from a front end; False if its epoch is not later or the message is malformed."""
        if (not isinstance(message, dict) or not isinstance(epoch := message.get("epoch"), int)
                or epoch <= self.active_policy.epoch):
            return False
        name, hash_, parameters = message.get("policy"), message.get("digest"), message.get("parameters")
        if not isinstance(name, str) or not isinstance(hash_, str) or not isinstance(parameters, dict):
            return False
        self.active_policy = ActivePolicy(epoch, name, hash_, {
            str(key): int(value) for key, value in parameters.items() if isinstance(value, int)})
        self.failures.clear()
        policy = self.policies.get(name)
        self.policy_mismatch = (f"{name[:100]} is not installed here" if policy is None else
                                f"{name[:100]} has another source text here" if digest(policy) != hash_ else "")
        return True

    def update_holders(self, now: int, message: Any) -> None:
        """Records which other nodes hold which items, from a front end's message."""
        if isinstance(message, dict):
            for name, nodes in message.items():
                if isinstance(name, str) and isinstance(nodes, list | tuple):
                    self.holders[name] = now, frozenset(each for each in nodes if isinstance(each, str)) - {self.node}

    # Queries.

    @property
    def complaint(self) -> str:
        """The failures of the active policy, once they are too many; else empty."""
        return ", ".join(f"{failure} {count} times" for failure, count in sorted(self.failures.items())) if (
            self.failures.total() >= MAX_FAILED_DECISIONS) else ""

    def other_holders(self, now: int, name: str) -> frozenset[str]:
        """Returns which other nodes hold an item, by recent reports."""
        reported_at, nodes = self.holders.get(name, (0, frozenset()))
        return nodes if reported_at and now - reported_at <= HOLDERS_MAX_AGE else frozenset()

    def eviction_order(self, now: int, items: Sequence[Facts]) -> list[Facts]:
        """Returns the items that may be evicted, first to last; it does not depend on the order of `items`."""
        evictable = [each for each in items if not each.pinned and not each.busy]
        scores = self.scores(evictable)
        # Of several copies of one item at this node all but one are spare, whether or not other nodes hold it.
        count = Counter(each.name for each in items)
        kept_here = {name for name in count
                     if last_copy_holder(name, [self.node, *self.other_holders(now, name)]) == self.node}
        ranked: list[Facts] = []
        for _, _, each in sorted(zip(scores, (tie_breaker(each.name) for each in evictable), evictable, strict=True),
                                 key=lambda row: (-row[0], row[1], row[2])):
            ranked.append(each)
        spare: list[Facts] = []
        last_copies: list[Facts] = []
        for each in ranked:
            count[each.name] -= 1
            (last_copies if each.name in kept_here and count[each.name] == 0 else spare).append(each)
        return spare + last_copies

    def scores(self, items: Sequence[Facts]) -> list[int]:
        """Returns the scores by the active policy, or by the built-in one where that is not available or fails."""
        self.decisions += 1
        policy = None if self.policy_mismatch or self.complaint else self.policies.get(self.active_policy.policy)
        if policy is None or policy is BUILT_IN:
            return [BUILT_IN.score(each, {}) for each in items]
        try:
            return call_with_time_limit(lambda: self.call_policy(policy, items), self.time_limit)
        except TooSlow:
            self.failures["too slow"] += 1
        except PolicyViolation as problem:
            self.failures[str(problem)] += 1
        except Exception as problem:        # third-party code may fail in any way
            self.failures[f"raised {type(problem).__name__}"] += 1
        return [BUILT_IN.score(each, {}) for each in items]

    def call_policy(self, policy: Policy, items: Sequence[Facts]) -> list[int]:
        """Returns the scores by a policy. Raises PolicyViolation, and whatever the policy raises."""
        parameters = {**policy.parameters, **self.active_policy.parameters}
        scores = [policy.score(each, parameters) for each in items]
        if not all(type(each) is int for each in scores):
            raise PolicyViolation("score is not an integer")
        if self.decisions % CONSISTENCY_CHECK_INTERVAL == 1:
            again = [policy.score(each, parameters) for each in reversed(items)]
            if again[::-1] != scores:
                raise PolicyViolation("score is not deterministic")
        return scores


class PolicyViolation(ThreadshiftError):
    """A policy violates a requirement of the policy interface."""

    help = "run the conformance kit on it: python -m threadshift.eviction.conformance NAME@VERSION"
