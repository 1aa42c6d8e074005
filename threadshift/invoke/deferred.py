"""Deferred calls of one front end, in memory: those that wait for their final answer, and answers that are kept.

Free of I/O; times are in ns and are passed in. `DeferredCallStore` is what the API needs of any such store, so that a
durable one can replace this one.
"""
from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol

from threadshift.engine.engine import Answer
from threadshift.eviction.facts import Facts
from threadshift.invoke.shares import SharedCapacity

ANSWER_OVERHEAD = 512      # bytes that a kept answer takes beside its body; without it empty answers had no bound


@dataclass(slots=True, eq=False)
class DeferredCall:
    """One deferred call."""

    activation_id: str
    tenant: str = ""
    answer: Answer | None = None
    kept_until: int = 0
    is_collected: bool = False
    waiters: dict[Any, int] = field(default_factory=dict)       # who waits for its answer, and until when


class DeferredCallStore(Protocol):
    """Where the API keeps deferred calls; InMemoryStore has the comments."""

    def has_room(self, tenant: str) -> bool: ...
    def add(self, activation_id: str, tenant: str) -> DeferredCall: ...
    def finish(self, now: int, call: DeferredCall, answer: Answer) -> list[Any]: ...
    def find(self, activation_id: str) -> DeferredCall | None: ...
    def add_waiter(self, call: DeferredCall, waiter: Any, until: int) -> None: ...
    def tick(self, now: int) -> list[tuple[Any, DeferredCall]]: ...


class InMemoryStore:
    """Holds at most `max_pending` calls without an answer and `max_bytes` of answers, each kept for `keep_time` ns.

    Of both a tenant may use what shares.py allows it: otherwise one that collects no answers would fill them for all.
    """

    def __init__(self, max_pending: int, max_bytes: int, keep_time: int,
                 tenant_weights: Mapping[str, float] | None = None):
        self.keep_time, self.dropped = keep_time, 0
        self.calls: dict[str, DeferredCall] = {}
        self.pending = SharedCapacity(max_pending, tenant_weights or {})
        self.answer_bytes = SharedCapacity(max_bytes, tenant_weights or {})
        self.deadlines: list[tuple[int, int, DeferredCall, Any]] = []   # (due, serial, call, waiter or None)
        self.next_serial = count().__next__
        # The order in which collected answers are evicted, where a policy for it is active.
        self.eviction_order: Callable[[int, Sequence[Facts]], list[Facts]] | None = None

    def has_room(self, tenant: str = "") -> bool:
        """Whether one more call may be accepted: it is refused before it is accepted, never dropped afterwards."""
        return self.pending.has_room(tenant) and self.answer_bytes.has_room(tenant)

    def add(self, activation_id: str, tenant: str = "") -> DeferredCall:
        call = self.calls[activation_id] = DeferredCall(activation_id, tenant)
        self.pending.acquire(tenant)
        return call

    def finish(self, now: int, call: DeferredCall, answer: Answer) -> list[Any]:
        """Keeps a final answer; returns who waits for it."""
        call.answer, call.kept_until = answer, now + self.keep_time
        self.pending.release(call.tenant)
        self.answer_bytes.acquire(call.tenant, ANSWER_OVERHEAD + len(answer.body))
        heapq.heappush(self.deadlines, (call.kept_until, self.next_serial(), call, None))
        waiters, call.waiters = list(call.waiters), {}
        if waiters:
            call.is_collected = True
        if self.answer_bytes.used > self.answer_bytes.limit:
            self.evict_answers(now, call)
        return waiters

    def evict_answers(self, now: int, newest: DeferredCall) -> None:
        """Makes room. Collected answers are removed first, then those of the tenant that keeps most for its weight,
        the oldest first; `dropped` counts the answers that were not collected."""
        answered = [each for each in self.calls.values() if each.answer is not None and each is not newest]
        use = {tenant: self.answer_bytes.relative_use(tenant) for tenant in {each.tenant for each in answered}}
        rank = {each.activation_id: each.kept_until for each in answered}
        if self.eviction_order is not None:
            facts = [Facts(each.activation_id, ANSWER_OVERHEAD + len(each.answer.body),
                           idle=now - each.kept_until + self.keep_time, kept=now - each.kept_until + self.keep_time,
                           tenant=each.tenant)
                     for each in answered if each.answer is not None]
            rank = {each.name: position for position, each in enumerate(self.eviction_order(now, facts))}
        for call in sorted(answered,
                           key=lambda each: (not each.is_collected, -use[each.tenant], rank[each.activation_id])):
            if self.answer_bytes.used <= self.answer_bytes.limit:
                return
            self.dropped += not call.is_collected
            self.forget(call)

    def forget(self, call: DeferredCall) -> None:
        if self.calls.pop(call.activation_id, None) and call.answer is not None:
            self.answer_bytes.release(call.tenant, ANSWER_OVERHEAD + len(call.answer.body))

    def find(self, activation_id: str) -> DeferredCall | None:
        return self.calls.get(activation_id)

    def add_waiter(self, call: DeferredCall, waiter: Any, until: int) -> None:
        call.waiters[waiter] = until
        heapq.heappush(self.deadlines, (until, self.next_serial(), call, waiter))

    def tick(self, now: int) -> list[tuple[Any, DeferredCall]]:
        """Removes answers kept for long enough; returns the waiters whose time is up, with their calls."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, _, call, waiter = heapq.heappop(self.deadlines)
            if waiter is None:
                self.forget(call)
            elif call.waiters.pop(waiter, None) is not None:
                expired.append((waiter, call))
        return expired
