"""How a front end leaves after it was told to end. Free of I/O.

New connections and requests keep coming for a while after that word, and are served; then the listener closes, what
comes later is refused, what is owed is answered, and the process ends by itself, well before it is killed.
"""
from __future__ import annotations

from enum import Enum

from threadshift.interface import MS, SECOND

SERVING = 750 * MS         # calls come for 0.7 s after the word
CLOSED = 3 * SECOND        # for what is owed after that; the longest calls have their answers sooner
LAST = 50 * MS             # for the last answers to leave their connections


class Stage(Enum):
    """How far it has come."""

    STAYING = "staying"
    SERVING = "serving"          # told to end; calls still come and are served
    CLOSED = "closed"            # no new calls
    DONE = "done"


class Leaving:
    """One front end's way out."""

    def __init__(self, longest: int) -> None:
        self.longest = min(longest, CLOSED)      # the longest action timeout, ns
        self.since = self.quiet = 0

    def begin(self, now: int) -> None:
        self.since = self.since or now

    def stage(self, now: int, owed: int) -> Stage:
        if not self.since:
            return Stage.STAYING
        if now - self.since < SERVING:
            return Stage.SERVING
        self.quiet = 0 if owed else self.quiet or now
        if self.quiet and now - self.quiet >= LAST or now - self.since >= SERVING + self.longest + LAST:
            return Stage.DONE
        return Stage.CLOSED
