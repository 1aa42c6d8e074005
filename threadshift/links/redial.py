"""When a broken connection is dialled again. Free of I/O.

A worker that restarts is back within its boot time, and one that is gone for good costs one connect per pause. The
pause doubles from MIN_PAUSE to MAX_PAUSE and has jitter, so that not all front ends reconnect at the same time. It
is reset after a connection that lasted for STABLE_AFTER; a worker that accepts connections and breaks them at once
does not reset it.
"""
from __future__ import annotations

from collections.abc import Callable

from threadshift.interface import MS, SECOND

MIN_PAUSE = 50 * MS          # short, as a worker that still runs can be reached again at once
MAX_PAUSE = 2 * SECOND       # a worker that returns is found within this; the roster shows it seconds late anyway
STABLE_AFTER = 5 * SECOND


class ReconnectBackoff:
    """The pauses between connection attempts to one address. chance() returns a float from 0 to 1."""

    def __init__(self, chance: Callable[[], float], max_pause: int = MAX_PAUSE):
        self.chance, self.max_pause, self.pause, self.up_since = chance, max_pause, 0, 0

    def on_connected(self, now: int) -> None:
        """A connection was made."""
        self.up_since = now

    def on_disconnected(self, now: int) -> int:
        """A connection broke or could not be made: the time before which no other is tried."""
        if self.up_since and now - self.up_since >= STABLE_AFTER:
            self.pause = 0
        self.up_since = 0
        self.pause = min(self.max_pause, max(MIN_PAUSE, 2 * self.pause))
        return now + int(self.pause * (0.75 + 0.5 * self.chance()))
