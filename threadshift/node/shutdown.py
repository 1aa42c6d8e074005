"""The orderly shutdown of a front end after SIGTERM. Free of I/O.

New connections and requests still arrive for a while after the signal and are served; later ones are refused. Every
accepted request is answered before the process may be killed: a request whose own time ends after that is given up
early, since nobody could answer it later. Without this, restarts dropped requests unanswered (9 on a day of 30 front
ends). The process ends by itself once no request is pending, being read or being answered.
"""
from __future__ import annotations

from enum import Enum

from threadshift.interface import MS, SECOND

ACCEPTING_TIME = 700 * MS          # requests arrive for 0.6 s after the signal; any after 0.7 s must be answered too
MAX_ACTION_TIMEOUT = 3 * SECOND    # the kill follows ACCEPTING_TIME after the longest action timeout, at most this
KILL_MARGIN = 150 * MS             # between the last answer and the kill
QUIET_TIME = 50 * MS               # with nothing under way until the process ends: requests may cross the last answer


class Stage(Enum):
    """The stages of a shutdown."""

    RUNNING = "staying"
    ACCEPTING = "serving"          # shutdown requested; requests still arrive and are served
    REFUSING = "closed"            # new requests are refused
    DONE = "done"


class Shutdown:
    """The shutdown of one front end."""

    def __init__(self, action_timeout: int) -> None:
        self.action_timeout = min(action_timeout, MAX_ACTION_TIMEOUT)     # the longest of all namespace types, ns
        self.requested_at = self.quiet_since = 0

    def begin(self, now: int) -> None:
        """Starts the shutdown; later calls change nothing."""
        self.requested_at = self.requested_at or now

    @property
    def answer_deadline(self) -> int:
        """When every pending request must have its answer, once the shutdown has begun."""
        return self.requested_at + ACCEPTING_TIME + self.action_timeout - KILL_MARGIN

    def stage(self, now: int, under_way: int) -> Stage:
        """Returns the stage; `under_way` counts pending requests, requests being read and answers being written."""
        if not self.requested_at:
            return Stage.RUNNING
        if now - self.requested_at <= ACCEPTING_TIME:
            return Stage.ACCEPTING
        self.quiet_since = 0 if under_way else self.quiet_since or now
        if self.quiet_since and now - self.quiet_since >= QUIET_TIME or now >= self.answer_deadline + QUIET_TIME:
            return Stage.DONE
        return Stage.REFUSING
