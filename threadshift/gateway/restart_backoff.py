"""When a front end process that died is started again. Free of I/O.

The first restart comes at once: most deaths are lone ones and every second down is service lost. Deaths in a row
wait twice as long each, to MOST, so that a front end that cannot start does not take the machine with it; one that
lived for STEADY is forgiven.
"""
from __future__ import annotations

from threadshift.interface import MS, SECOND

FIRST, MOST = 200 * MS, 30 * SECOND
STEADY = 20 * SECOND       # ns; longer than any start, and than a call that kills its front end may be retried


class RestartBackoff:
    """The pauses of one front end."""

    def __init__(self) -> None:
        self.pause, self.started = 0, 0

    def start(self, now: int) -> None:
        self.started = now

    def died(self, now: int) -> int:
        """The time at which to start it again, ns."""
        if now - self.started >= STEADY:
            self.pause = 0
        due = now + self.pause
        self.pause = min(MOST, max(FIRST, 2 * self.pause))
        return due
