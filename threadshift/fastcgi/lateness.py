"""Where a request was when its time ended, for the log. Free of I/O.

A client that gives up says only that nothing came. The line that is logged then tells which part of the way the
request had not passed, so that a reader that was kept waiting can be told from a slow worker or a full socket.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from threadshift.engine.engine import PendingRequest
from threadshift.interface import MS

LOGGED_LATENESS = 50 * MS      # after the end of a request's time; less is told by the counts of refusals


class Stage(Enum):
    """The part of its way on which a request spent the end of its time."""

    UNREAD = "unread"              # on its connection, or half read
    POSTPONED = "postponed"        # read, and not admitted yet
    ADMITTED = "admitted"          # pending, without an open send
    SENT = "sent"                  # pending, with an open send
    IN_OUTBOX = "outbox"           # answered, while the client's socket took no bytes


@dataclass(slots=True)
class Progress:
    """How far one request has come. Times are monotonic ns."""

    id: str
    received_since: int            # the earliest time at which it may have arrived
    read_at: int
    due: int                       # when its time ends
    is_logged: bool = False

    def stage(self, pending: Any) -> Stage:
        """The stage of a request that is not answered yet; `pending` is what the engine has of it."""
        if self.read_at >= self.due:
            return Stage.UNREAD
        if not isinstance(pending, PendingRequest):
            return Stage.POSTPONED
        return Stage.SENT if any(sent.outcome is None for sent in pending.sends) else Stage.ADMITTED

    def is_late(self, now: int) -> bool:
        """Whether so much time has passed since it was due that the log tells it."""
        return now - self.due >= LOGGED_LATENESS

    def fields(self, stage: Stage, now: int) -> dict[str, Any]:
        """The fields of its line in the log."""
        return {"id": self.id, "where": stage.value, "late_ms": (now - self.due) // MS,
                "unread_ms": (self.read_at - self.received_since) // MS, "since_read_ms": (now - self.read_at) // MS}
