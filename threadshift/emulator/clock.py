"""A discrete-event clock. Events at the same time run in the order in which they were scheduled."""
from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Clock:
    """Virtual time in ns, and the queue of scheduled events."""

    def __init__(self, now: int = 0):
        self.now = now
        self.events: list[tuple[int, int, Callable[..., Any], tuple]] = []
        self.next_serial = count().__next__
        self.events_run = 0

    def at(self, when: int, action: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a call; a time in the past means now."""
        heapq.heappush(self.events, (max(when, self.now), self.next_serial(), action, arguments))

    def after(self, delay: int, action: Callable[..., Any], *arguments: Any) -> None:
        self.at(self.now + delay, action, *arguments)

    def run(self, until: int) -> None:
        """Runs all events up to this time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            self.events_run += 1
            action(*arguments)
        self.now = max(self.now, until)


class ActiveFaults:
    """The active faults, like `threadshift.standins.common.Faults`: for each name its end and its amount."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.active: dict[str, tuple[int, float]] = {}

    def order(self, name: str, length: int, amount: float = 1.0) -> None:
        self.active[name] = self.clock.now + length, amount

    def amount(self, name: str) -> float:
        """The amount of a fault, 0 where it is not active."""
        end, amount = self.active.get(name, (0, 0.0))
        return amount if self.clock.now < end else 0.0

    def remaining(self, name: str) -> int:
        """Time until a fault ends, 0 where it is not active."""
        return max(0, self.active.get(name, (0, 0.0))[0] - self.clock.now)

    def consume(self, name: str) -> bool:
        """Whether a fault is active; ends it, so that each order acts once."""
        return self.amount(name) > 0 and self.active.pop(name, None) is not None
