"""When a link that broke is tried again. Free of I/O.

A worker that restarts is back within its boot time; a worker that is gone for good costs one connect per pause. The
pause doubles from FIRST to MOST, with jitter so that all front ends do not come at once, and is forgotten once a
link has stood for STEADY: a worker that accepts and breaks at once does not reset it.
"""
from __future__ import annotations

from collections.abc import Callable

from threadshift.interface import MS, SECOND

FIRST = 50 * MS            # a broken connection of a worker that lives is up again at once
MOST = 2 * SECOND          # a returned worker is found within this; the roster knows it seconds late anyway
STEADY = 5 * SECOND        # a link that stood so long was sound


class Redial:
    """The pauses of one link. chance() gives a float from 0 to 1."""

    def __init__(self, chance: Callable[[], float], most: int = MOST):
        self.chance, self.most, self.pause, self.up_since = chance, most, 0, 0

    def up(self, now: int) -> None:
        self.up_since = now

    def broke(self, now: int) -> int:
        """The time before which it is not tried again, ns."""
        if self.up_since and now - self.up_since >= STEADY:
            self.pause = 0
        self.up_since = 0
        self.pause = min(self.most, max(FIRST, 2 * self.pause))
        return now + int(self.pause * (0.75 + 0.5 * self.chance()))
