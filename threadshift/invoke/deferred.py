"""Deferred calls of one front end, in memory: which wait for their final answer, and which answers are kept.

Free of I/O; times are ns, handed in. `Deferrals` is what the API needs of any such store, so that a durable one can
take this one's place.
"""
from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol

from threadshift.desk.desk import Answer


@dataclass(slots=True, eq=False)
class Deferral:
    """One deferred call."""

    ivk: str
    answer: Answer | None = None
    ends: int = 0                # its answer is kept until then
    collected: bool = False
    waiters: dict[Any, int] = field(default_factory=dict)       # who waits for its answer, and until when


class Deferrals(Protocol):
    def room(self) -> bool: ...
    def add(self, ivk: str) -> Deferral: ...
    def finish(self, now: int, it: Deferral, answer: Answer) -> list[Any]: ...
    def find(self, ivk: str) -> Deferral | None: ...
    def wait(self, it: Deferral, waiter: Any, until: int) -> None: ...
    def due(self) -> int | None: ...
    def tick(self, now: int) -> list[tuple[Any, Deferral]]: ...


class InMemory:
    """At most `pending` calls without an answer and `most` bytes of answers, each kept for `keep` ns."""

    def __init__(self, pending: int, most: int, keep: int):
        self.most_pending, self.most, self.keep = pending, most, keep
        self.calls: dict[str, Deferral] = {}
        self.pending = self.size = self.dropped = 0
        self.times: list[tuple[int, int, Deferral, Any]] = []   # (due, serial, call, waiter or None)
        self.serial = count().__next__

    def room(self) -> bool:
        """Whether one more may be accepted: refused before it is taken, never dropped after."""
        return self.pending < self.most_pending and self.size < self.most

    def add(self, ivk: str) -> Deferral:
        it = self.calls[ivk] = Deferral(ivk)
        self.pending += 1
        return it

    def finish(self, now: int, it: Deferral, answer: Answer) -> list[Any]:
        """Keeps a final answer; who waits for it."""
        it.answer, it.ends = answer, now + self.keep
        self.pending -= 1
        self.size += len(answer.body)
        heapq.heappush(self.times, (it.ends, self.serial(), it, None))
        waiters, it.waiters = list(it.waiters), {}
        if waiters:
            it.collected = True
        if self.size > self.most:
            self.shrink(it)
        return waiters

    def shrink(self, newest: Deferral) -> None:
        """Makes room: answers that were collected go first, then the oldest; `dropped` counts the latter."""
        done = [each for each in self.calls.values() if each.answer is not None and each is not newest]
        for it in sorted(done, key=lambda each: (not each.collected, each.ends)):
            if self.size <= self.most:
                return
            self.dropped += not it.collected
            self.forget(it)

    def forget(self, it: Deferral) -> None:
        if self.calls.pop(it.ivk, None) and it.answer is not None:
            self.size -= len(it.answer.body)

    def find(self, ivk: str) -> Deferral | None:
        return self.calls.get(ivk)

    def wait(self, it: Deferral, waiter: Any, until: int) -> None:
        it.waiters[waiter] = until
        heapq.heappush(self.times, (until, self.serial(), it, waiter))

    def due(self) -> int | None:
        return self.times[0][0] if self.times else None

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
