"""How a front end leaves after it was told to end. Free of I/O.

New connections and requests keep coming for a while after that word, and are served; what comes later is refused.
What is owed is answered before the process may be killed: a call whose own time runs on past that is given up in
time, as nobody would answer it later. (Found on a day with restarts: calls with more time left were dropped
unanswered, 9 on a day of 30 front ends.) The process ends by itself once nothing is owed, being read or written.
"""
from __future__ import annotations

from enum import Enum

from threadshift.interface import MS, SECOND

SERVING = 700 * MS         # calls come for 0.6 s after the word; those after 0.7 s must be answered whatever happens
LONGEST = 3 * SECOND       # of action timeouts that it is left alone for after that; longer ones count as this
AHEAD = 150 * MS           # before it may be killed, by when all is answered
LAST = 50 * MS             # for what crosses the last answers


class Stage(Enum):
    """How far it has come."""

    STAYING = "staying"
    SERVING = "serving"          # told to end; calls still come and are served
    CLOSED = "closed"            # no new calls
    DONE = "done"


class Leaving:
    """One front end's way out."""

    def __init__(self, longest: int) -> None:
        self.longest = min(longest, LONGEST)     # the longest action timeout, ns
        self.since = self.quiet = 0

    def begin(self, now: int) -> None:
        self.since = self.since or now

    @property
    def answered(self) -> int:
        """By when everything owed must have its answer, once told to end."""
        return self.since + SERVING + self.longest - AHEAD

    def stage(self, now: int, under_way: int) -> Stage:
        """`under_way`: calls owed, requests being read, answers being written."""
        if not self.since:
            return Stage.STAYING
        if now - self.since <= SERVING:
            return Stage.SERVING
        self.quiet = 0 if under_way else self.quiet or now
        if self.quiet and now - self.quiet >= LAST or now >= self.answered + LAST:
            return Stage.DONE
        return Stage.CLOSED
