"""Limits the rate at which a speaker dials its peers, so that many flapping peers do not slow calls. Free of I/O.

A dial with its OPEN and its end costs about a millisecond of the processor that calls need too. Damping bounds what
one peer costs over time; this limit bounds what all peers cost together at any moment.
"""
from __future__ import annotations

from collections.abc import Iterable

from threadshift.bgp.session import Neighbour
from threadshift.interface import SECOND

DIALS_PER_SECOND = 10      # of all peers together: one hundredth of a core
MAX_BURST = 4              # dials at once: more than the routers of one zone


class DialLimiter:
    """A token bucket of dials for all peers of a speaker."""

    def __init__(self, now: int):
        self.filled_at, self.tokens = now, float(MAX_BURST)

    def acquire(self, now: int) -> bool:
        """Takes one token; False if there is none."""
        self.tokens = min(MAX_BURST, self.tokens + (now - self.filled_at) * DIALS_PER_SECOND / SECOND)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def due_neighbours(self, neighbours: Iterable[Neighbour], now: int) -> list[Neighbour]:
        """The neighbours whose timers are to be run now. Those that would dial need a token: first the peers with
        the shortest pause, so that a healthy router does not wait behind a hundred that flap, then those that have
        waited longest."""
        found: list[Neighbour] = []
        dialling: list[tuple[int, int, int, Neighbour]] = []
        for each in neighbours:
            dial_at, due = each.next_dial_at(), each.next_timeout()
            if dial_at is not None and dial_at <= now:
                dialling.append((each.pause, dial_at, len(dialling), each))
            elif due is not None and due <= now:
                found.append(each)
        return found + [each for *_, each in sorted(dialling, key=lambda it: it[:3]) if self.acquire(now)]
