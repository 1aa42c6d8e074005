"""Delays before a front end process that died is started again. Free of I/O.

The first restart comes at once: most deaths are isolated, and every second without the process is lost service. After
each further death the delay doubles, up to MAX_DELAY, so that a front end that cannot start does not overload the
machine. A process that ran for STABLE_RUNTIME resets the delay.
"""
from __future__ import annotations

from threadshift.interface import MS, SECOND

FIRST_DELAY = 200 * MS
MAX_DELAY = 30 * SECOND
STABLE_RUNTIME = 20 * SECOND     # longer than any start, and than a call that kills its front end may be retried


class RestartBackoff:
    """The restart delays of one front end."""

    def __init__(self) -> None:
        self.delay, self.started_at = 0, 0

    def on_started(self, now: int) -> None:
        self.started_at = now

    def on_died(self, now: int) -> int:
        """Returns the time, in ns, at which to start the process again."""
        if now - self.started_at >= STABLE_RUNTIME:
            self.delay = 0
        restart_at = now + self.delay
        self.delay = min(MAX_DELAY, max(FIRST_DELAY, 2 * self.delay))
        return restart_at
