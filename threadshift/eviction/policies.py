"""Eviction policies: pure functions from reported facts to an integer score. The highest score is evicted first.

A policy is found by an entry point of the group `threadshift.eviction` that names an object with `name`, `version`,
`parameters` (each with its default) and `score(facts, parameters)`. It must return the same score for the same facts
on every node, so it uses no clock, no randomness and no floating point. Ties are broken by a hash of the name, which
is the same on every node.

The source of a policy class is hashed and compared between nodes (`digest`). An edit to a built-in class, even to its
comments, makes nodes of different program versions disagree about it."""
from __future__ import annotations

import hashlib
import inspect
from collections.abc import Mapping
from importlib.metadata import entry_points
from typing import Any, Protocol

from threadshift.eviction.facts import Facts
from threadshift.interface import MS, SECOND

ENTRY_POINT_GROUP = "threadshift.eviction"
# Multiplies a score that is a quotient: an integer on every node, without two values becoming equal by rounding.
SCALE = 1 << 20


class Policy(Protocol):
    """The interface that the author of a policy implements."""

    name: str
    version: str
    parameters: Mapping[str, int]

    def score(self, facts: Facts, parameters: Mapping[str, int]) -> int: ...


class LongestIdle:
    """Least recently used: what was idle for longest goes first."""

    name, version = "longest-idle", "1"
    parameters: Mapping[str, int] = {}

    def score(self, facts: Facts, parameters: Mapping[str, int]) -> int:
        return facts.idle


class CostPerByte:
    """What saves the least load time a byte goes first. The rate of use is that over all the time that a thing was
    kept,
    which ages by itself (hyperbolic caching, Blankstein, Sen and Freedman 2017), weighed by cost over size as in
    GreedyDual-Size (Cao and Irani 1997). `young` is a time for which a new thing counts as if it were so old, so
    that its first use does not make it the best of all."""

    name, version = "cost-per-byte", "1"
    parameters: Mapping[str, int] = {"young-ms": 2_000}

    def score(self, facts: Facts, parameters: Mapping[str, int]) -> int:
        age = max(facts.kept, parameters["young-ms"] * MS, 1)
        saved = (facts.uses + 1) * max(facts.load, MS) * SCALE
        return -(saved * SECOND // (max(facts.size, 1) * age))


BUILT_IN: Policy = LongestIdle()


def tie_breaker(name: str) -> int:
    """Returns the number that orders items of equal score; it is the same on every node."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def digest(policy: Policy) -> str:
    """Returns a hash of the source of the policy, by which nodes notice that one name means two policies."""
    try:
        text = inspect.getsource(type(policy))
    except (OSError, TypeError):
        text = repr(type(policy))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def installed_policies(more: Mapping[str, Policy] | None = None) -> dict[str, Policy]:
    """Returns all policies of this installation by 'name@version'. One that cannot be imported is left out."""
    found: dict[str, Policy] = {label(each): each for each in (BUILT_IN, CostPerByte())}
    for point in entry_points(group=ENTRY_POINT_GROUP):
        try:
            policy: Any = point.load()
            policy = policy() if inspect.isclass(policy) else policy
            found.setdefault(label(policy), policy)
        except Exception:       # a third-party module may fail in any way
            continue
    return {**found, **(more or {})}


def label(policy: Policy) -> str:
    """Returns the name under which a policy is known to operators and nodes."""
    return f"{policy.name}@{policy.version}"
