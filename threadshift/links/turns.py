"""Turns that greenlets take one at a time, those that had theirs longest ago first.

A semaphore is not enough: gevent gives it to whoever asks right after its release before it wakes those that wait, so
that one greenlet that always has work keeps all others waiting.
"""
from __future__ import annotations

import heapq
from itertools import count
from types import TracebackType

from gevent.event import Event


class Waiter:
    """A greenlet that waits for its turn."""

    def __init__(self) -> None:
        self.called = Event()
        self.is_gone = False             # it was killed before it was called


class Turns:
    """One turn at a time; participants come from join()."""

    def __init__(self) -> None:
        self.count = 0                   # turns that have begun
        self.is_taken = False
        self.waiting: list[tuple[int, int, Waiter]] = []     # heap of (number of the last turn, serial, who waits)
        self.next_serial = count().__next__

    def join(self) -> Participant:
        """A new participant, which counts as having just had a turn."""
        return Participant(self)

    def begin(self, last_turn: int) -> int:
        """Waits for a turn and begins it; returns its number."""
        if self.is_taken:
            self.wait(last_turn)
        self.is_taken = True
        self.count += 1
        return self.count

    def wait(self, last_turn: int) -> None:
        """Waits until end() passes the turn on to this greenlet."""
        waiter = Waiter()
        heapq.heappush(self.waiting, (last_turn, self.next_serial(), waiter))
        try:
            waiter.called.wait()
        except BaseException:            # this greenlet is killed
            waiter.is_gone = True
            if waiter.called.is_set():
                self.end()
            raise

    def end(self) -> None:
        """Ends the turn and passes it on: nobody takes it before whoever waits has it."""
        while self.waiting:
            waiter = heapq.heappop(self.waiting)[2]
            if not waiter.is_gone:
                waiter.called.set()
                return
        self.is_taken = False


class Participant:
    """A greenlet's part in the turns; a context manager that holds one turn."""

    def __init__(self, turns: Turns) -> None:
        self.turns, self.last_turn = turns, turns.count

    def __enter__(self) -> None:
        self.last_turn = self.turns.begin(self.last_turn)

    def __exit__(self, kind: type[BaseException] | None, problem: BaseException | None,
                 traceback: TracebackType | None) -> None:
        self.turns.end()
