"""Whose turn it is to dial: all peers of a speaker share one small rate, so that many that flap slow no call.

Free of I/O. A dial, the OPEN behind it and its end cost about a millisecond of the processor that calls need too.
Damping bounds what one peer costs in the long run; this bounds what all together cost at once.
"""
from __future__ import annotations

from collections.abc import Iterable

from threadshift.bgp.session import Neighbour
from threadshift.interface import SECOND

PER_SECOND = 10            # dials of all peers together: one hundredth of a core
SAVED = 4                  # dials at once: more routers than a hall has


class Pace:
    """Dials that may be made by now."""

    def __init__(self, now: int):
        self.since, self.saved = now, float(SAVED)

    def take(self, now: int) -> bool:
        self.saved = min(SAVED, self.saved + (now - self.since) * PER_SECOND / SECOND)
        self.since = now
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

    def turns(self, neighbours: Iterable[Neighbour], now: int) -> list[Neighbour]:
        """Those whose timers are to be looked at now. Who would dial waits for its turn: first the peers that failed
        least lately, as a well router must not wait behind a hundred that flap; then who has waited longest."""
        found: list[Neighbour] = []
        dialling: list[tuple[int, int, int, Neighbour]] = []
        for each in neighbours:
            dial, due = each.dials_at(), each.due()
            if dial is not None and dial <= now:
                dialling.append((each.pause, dial, len(dialling), each))
            elif due is not None and due <= now:
                found.append(each)
        return found + [each for *_, each in sorted(dialling, key=lambda it: it[:3]) if self.take(now)]
