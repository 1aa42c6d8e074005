"""Eviction at one node: which policy it goes by, and what goes in which order. Free of I/O but for a timer that
bounds
how long a policy may think.

- Pinned and busy things never go. A thing that other nodes are told to hold goes before one that only this one
holds; of
  its holders exactly one keeps it, the highest by a hash that all compute alike from what they were told. What is not
  known counts as held nowhere else: that errs towards keeping. Where only such things are left they go too, last, so
  memory never overflows for them.
- A policy that raises, thinks for too long, gives no whole number or changes its mind costs that one decision a
bounded
  time; the built-in one decides, and it is counted. After a stated number it is not asked any more in this epoch,
  and the node complains."""
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
from threadshift.eviction.force import Force
from threadshift.eviction.policies import BUILT_IN, Facts, Policy, digest, known, tie
from threadshift.interface import MS, SECOND

THINK = 20 * MS            # for one decision, over all that is looked at: a load takes ten times as long
FAILS = 3                  # failed decisions until a policy is not asked any more in its epoch
TWICE = 8                  # every so manieth decision is asked for twice, the second time backwards
FRESH = 10 * SECOND        # what was told of other nodes counts so long


class TooSlow(ThreadshiftError):
    """A policy thought for longer than a decision may take."""

    help = "bound the policy's work: it is asked for each thing that takes memory"


def limited(act: Callable[[], Any], limit: int) -> Any:
    """act(), ended by TooSlow after `limit` ns where this is the main thread; elsewhere it is only measured."""
    if threading.current_thread() is not threading.main_thread():
        began = time.monotonic_ns()
        result = act()
        if time.monotonic_ns() - began > limit:
            raise TooSlow(f"over {limit // MS} ms")
        return result

    def over(number: int, frame: FrameType | None) -> None:
        raise TooSlow(f"over {limit // MS} ms")

    before = signal.signal(signal.SIGALRM, over)
    signal.setitimer(signal.ITIMER_REAL, limit / SECOND)
    try:
        return act()
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


def keeper(name: str, holders: Iterable[str]) -> str:
    """Of all holders the one that keeps the last copy."""
    return max(holders, key=lambda node: (hashlib.blake2b(f"{name}\n{node}".encode(), digest_size=8).digest(), node))


class Evictor:
    """One node's."""

    def __init__(self, node: str, policies: Mapping[str, Policy] | None = None, think: int = THINK):
        self.node, self.policies, self.think = node, dict(policies or known()), think
        self.force = Force()
        self.decisions, self.failed = 0, Counter[str]()
        self.lacks = ""                          # why the built-in one decides, though another is in force
        self.holders: dict[str, tuple[int, frozenset[str]]] = {}     # name: (when told, other nodes that hold it)

    # What it is told.

    def hear(self, told: Any) -> bool:
        """The policy in force, as a front end tells it; False where it is no later one, or no word of one."""
        if not isinstance(told, dict) or not isinstance(epoch := told.get("epoch"), int) or epoch <= self.force.epoch:
            return False
        name, text, parameters = told.get("policy"), told.get("digest"), told.get("parameters")
        if not isinstance(name, str) or not isinstance(text, str) or not isinstance(parameters, dict):
            return False
        self.force = Force(epoch, name, text, {str(key): int(value) for key, value in parameters.items()
                                               if isinstance(value, int)})
        self.failed.clear()
        policy = self.policies.get(name)
        self.lacks = (f"{name[:100]} is not installed here" if policy is None else
                      f"{name[:100]} is another text here" if digest(policy) != text else "")
        return True

    def hear_copies(self, now: int, told: Any) -> None:
        """Which other nodes hold what, as a front end was told by them."""
        if isinstance(told, dict):
            for name, nodes in told.items():
                if isinstance(name, str) and isinstance(nodes, list | tuple):
                    self.holders[name] = now, frozenset(each for each in nodes if isinstance(each, str)) - {self.node}

    # What is asked.

    @property
    def complaint(self) -> str:
        """What this node has against the policy in force, empty: nothing."""
        return ", ".join(f"{what} {count} times" for what, count in sorted(self.failed.items())) if (
            self.failed.total() >= FAILS) else ""

    def elsewhere(self, now: int, name: str) -> frozenset[str]:
        at, nodes = self.holders.get(name, (0, frozenset()))
        return nodes if at and now - at <= FRESH else frozenset()

    def order(self, now: int, things: Sequence[Facts]) -> list[Facts]:
        """What may go, first to last. The same things in another order give the same."""
        may = [each for each in things if not each.pinned and not each.busy]
        scores = self.scores(may)
        # Several copies of one thing at this node: all but one are spare, wherever else it stands.
        count = Counter(each.name for each in things)
        last = {name for name in count if keeper(name, [self.node, *self.elsewhere(now, name)]) == self.node}
        found: list[Facts] = []
        for _, _, each in sorted(zip(scores, (tie(each.name) for each in may), may, strict=True),
                                 key=lambda row: (-row[0], row[1], row[2])):
            found.append(each)
        spare: list[Facts] = []
        kept: list[Facts] = []
        for each in found:
            count[each.name] -= 1
            (kept if each.name in last and count[each.name] == 0 else spare).append(each)
        return spare + kept

    def scores(self, things: Sequence[Facts]) -> list[int]:
        self.decisions += 1
        policy = None if self.lacks or self.complaint else self.policies.get(self.force.policy)
        if policy is None or policy is BUILT_IN:
            return [BUILT_IN.score(each, {}) for each in things]
        try:
            return limited(lambda: self.asked(policy, things), self.think)
        except TooSlow:
            self.failed["too slow"] += 1
        except Wrong as problem:
            self.failed[str(problem)] += 1
        except Exception as problem:        # an author's text may fail in any way
            self.failed[f"raised {type(problem).__name__}"] += 1
        return [BUILT_IN.score(each, {}) for each in things]

    def asked(self, policy: Policy, things: Sequence[Facts]) -> list[int]:
        parameters = {**policy.parameters, **self.force.parameters}
        found = [policy.score(each, parameters) for each in things]
        if not all(type(each) is int for each in found):
            raise Wrong("no whole number")
        if self.decisions % TWICE == 1:
            again = [policy.score(each, parameters) for each in reversed(things)]
            if again[::-1] != found:
                raise Wrong("changed its mind")
        return found


class Wrong(ThreadshiftError):
    """A policy that does not keep what a policy promises."""

    help = "run the conformance kit on it: python -m threadshift.eviction.conformance NAME@VERSION"
