"""Deferred calls of one front end, in memory: which wait for their final answer, and which answers are kept.

Free of I/O; times are ns, handed in. `Deferrals` is what the API needs of any such store, so that a durable one can
take this one's place.
"""
from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol

from threadshift.engine.engine import Answer
from threadshift.eviction.policies import Facts
from threadshift.invoke.shares import Places

RECORD = 512               # bytes that a kept answer takes beside its body; without it empty ones had no bound


@dataclass(slots=True, eq=False)
class Deferral:
    """One deferred call."""

    ivk: str
    tenant: str = ""
    answer: Answer | None = None
    ends: int = 0                # its answer is kept until then
    collected: bool = False
    waiters: dict[Any, int] = field(default_factory=dict)       # who waits for its answer, and until when


class Deferrals(Protocol):
    def room(self, tenant: str) -> bool: ...
    def add(self, ivk: str, tenant: str) -> Deferral: ...
    def finish(self, now: int, it: Deferral, answer: Answer) -> list[Any]: ...
    def find(self, ivk: str) -> Deferral | None: ...
    def wait(self, it: Deferral, waiter: Any, until: int) -> None: ...
    def tick(self, now: int) -> list[tuple[Any, Deferral]]: ...


class InMemory:
    """At most `pending` calls without an answer and `most` bytes of answers, each kept for `keep` ns. Of
    both a tenant has what shares.py leaves it: one that collects nothing would else fill them for all."""

    def __init__(self, pending: int, most: int, keep: int, weight: Mapping[str, float] | None = None):
        self.keep, self.dropped = keep, 0
        self.calls: dict[str, Deferral] = {}
        self.waiting, self.kept = Places(pending, weight or {}), Places(most, weight or {})
        self.times: list[tuple[int, int, Deferral, Any]] = []   # (due, serial, call, waiter or None)
        self.serial = count().__next__
        # In which order answers that were collected go, where a policy for that is in force.
        self.order: Callable[[int, Sequence[Facts]], list[Facts]] | None = None

    def room(self, tenant: str = "") -> bool:
        """Whether one more may be accepted: refused before it is taken, never dropped after."""
        return self.waiting.room(tenant) and self.kept.room(tenant)

    def add(self, ivk: str, tenant: str = "") -> Deferral:
        it = self.calls[ivk] = Deferral(ivk, tenant)
        self.waiting.take(tenant)
        return it

    def finish(self, now: int, it: Deferral, answer: Answer) -> list[Any]:
        """Keeps a final answer; who waits for it."""
        it.answer, it.ends = answer, now + self.keep
        self.waiting.give(it.tenant)
        self.kept.take(it.tenant, RECORD + len(answer.body))
        heapq.heappush(self.times, (it.ends, self.serial(), it, None))
        waiters, it.waiters = list(it.waiters), {}
        if waiters:
            it.collected = True
        if self.kept.all > self.kept.most:
            self.shrink(now, it)
        return waiters

    def shrink(self, now: int, newest: Deferral) -> None:
        """Makes room: answers that were collected go first, then those of who keeps most for its weight, the oldest
        first; `dropped` counts the latter."""
        done = [each for each in self.calls.values() if each.answer is not None and each is not newest]
        over = {tenant: self.kept.over(tenant) for tenant in {each.tenant for each in done}}
        turn = {each.ivk: each.ends for each in done}
        if self.order is not None:
            things = [Facts(each.ivk, RECORD + len(each.answer.body), idle=now - each.ends + self.keep,
                            kept=now - each.ends + self.keep, tenant=each.tenant)
                      for each in done if each.answer is not None]
            turn = {each.name: place for place, each in enumerate(self.order(now, things))}
        for it in sorted(done, key=lambda each: (not each.collected, -over[each.tenant], turn[each.ivk])):
            if self.kept.all <= self.kept.most:
                return
            self.dropped += not it.collected
            self.forget(it)

    def forget(self, it: Deferral) -> None:
        if self.calls.pop(it.ivk, None) and it.answer is not None:
            self.kept.give(it.tenant, RECORD + len(it.answer.body))

    def find(self, ivk: str) -> Deferral | None:
        return self.calls.get(ivk)

    def wait(self, it: Deferral, waiter: Any, until: int) -> None:
        it.waiters[waiter] = until
        heapq.heappush(self.times, (until, self.serial(), it, waiter))

    def tick(self, now: int) -> list[tuple[Any, Deferral]]:
        """Lets go of answers kept long enough; gives the waiters whose wait is over."""
        over = []
        while self.times and self.times[0][0] <= now:
            _, _, it, waiter = heapq.heappop(self.times)
            if waiter is None:
                self.forget(it)
            elif it.waiters.pop(waiter, None) is not None:
                over.append((waiter, it))
        return over
