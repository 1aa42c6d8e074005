"""How a front end leaves after it was told to end. Free of I/O.

New connections and requests keep coming for a while after that word, and are served; what comes later is refused.
What is owed is answered before the process may be killed: a call whose own time runs on past that is given up in
time, as nobody would answer it later. (Found on a day with restarts: calls with more time left were dropped
unanswered, 9 on a day of 30 front ends.) The process ends by itself once nothing is owed, being read or written.
"""
from __future__ import annotations

from enum import Enum

from threadshift.interface import MS, SECOND

ACCEPTING_TIME = 700 * MS  # calls come for 0.6 s after the word; those after 0.7 s must be answered in any case
MAX_ACTION_TIMEOUT = 3 * SECOND  # of action timeouts that it is left alone for after that; longer ones count as this
KILL_MARGIN = 150 * MS     # before it may be killed, by when all is answered
QUIET_TIME = 50 * MS       # for what crosses the last answers


class Stage(Enum):
    """How far it has come."""

    RUNNING = "staying"
    ACCEPTING = "serving"        # told to end; calls still come and are served
    REFUSING = "closed"          # no new calls
    DONE = "done"


class Shutdown:
    """One front end's way out."""

    def __init__(self, action_timeout: int) -> None:
        self.action_timeout = min(action_timeout, MAX_ACTION_TIMEOUT)     # the longest action timeout, ns
        self.requested_at = self.quiet_since = 0

    def begin(self, now: int) -> None:
        self.requested_at = self.requested_at or now

    @property
    def answer_deadline(self) -> int:
        """By when everything owed must have its answer, once told to end."""
        return self.requested_at + ACCEPTING_TIME + self.action_timeout - KILL_MARGIN

    def stage(self, now: int, under_way: int) -> Stage:
        """`under_way`: calls owed, requests being read, answers being written."""
        if not self.requested_at:
            return Stage.RUNNING
        if now - self.requested_at <= ACCEPTING_TIME:
            return Stage.ACCEPTING
        self.quiet_since = 0 if under_way else self.quiet_since or now
        if self.quiet_since and now - self.quiet_since >= QUIET_TIME or now >= self.answer_deadline + QUIET_TIME:
            return Stage.DONE
        return Stage.REFUSING
