"""Discrete events in order of time; events at one time come in the order in which they were set."""
from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Clock:
    """Virtual time in ns."""

    def __init__(self, now: int = 0):
        self.now = now
        self.events: list[tuple[int, int, Callable[..., Any], tuple]] = []
        self.serial = count().__next__
        self.played = 0

    def at(self, when: int, act: Callable[..., Any], *words: Any) -> None:
        heapq.heappush(self.events, (max(when, self.now), self.serial(), act, words))

    def after(self, delay: int, act: Callable[..., Any], *words: Any) -> None:
        self.at(self.now + delay, act, *words)

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, act, words = heapq.heappop(self.events)
            self.played += 1
            act(*words)
        self.now = max(self.now, until)


class ActiveFaults:
    """Faults in force, as the stand-ins have them: a name, until when, and how much."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.until: dict[str, tuple[int, float]] = {}

    def order(self, name: str, length: int, amount: float = 1.0) -> None:
        self.until[name] = self.clock.now + length, amount

    def amount(self, name: str) -> float:
        end, amount = self.until.get(name, (0, 0.0))
        return amount if self.clock.now < end else 0.0

    def left(self, name: str) -> int:
        return max(0, self.until.get(name, (0, 0.0))[0] - self.clock.now)

    def once(self, name: str) -> bool:
        return self.amount(name) > 0 and self.until.pop(name, None) is not None
