"""The timer of a front end: yields at every tick, with how late it came."""
from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import gevent

from threadshift.interface import MS, SECOND

NEVER = 1 << 62            # ns; later than any time
MIN_INTERVAL = MS          # between two ticks; shorter ones would cost more than they gain


def ticks(tick: int, is_over: Callable[[], bool],
          next_due: Callable[[], int] = lambda: NEVER) -> Iterator[tuple[int, int]]:
    """Yields (now, lateness) in ns at every tick until is_over(), and at next_due() where that is earlier.

    The lateness shows how busy the process is, or for how long it stood still.
    """
    due = time.monotonic_ns() + tick        # the next regular tick
    while not is_over():
        now = time.monotonic_ns()
        until = min(due, max(next_due(), now + MIN_INTERVAL))
        gevent.sleep(max(0, until - now) / SECOND)
        now = time.monotonic_ns()
        yield now, now - until
        now = time.monotonic_ns()
        due = max(due + tick, now) if until == due else max(due, now)
