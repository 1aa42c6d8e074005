"""The pace of the one timer of an instance: every tick, with how late it came."""
from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import gevent

from threadshift.interface import MS, SECOND

NEVER = 1 << 62            # ns
FINEST = MS                # between two ticks: finer, they would take more than they bring


def ticks(tick: int, over: Callable[[], bool],
          sooner: Callable[[], int] = lambda: NEVER) -> Iterator[tuple[int, int]]:
    """(now, how late), ns, once a tick until over() says so, and when sooner() falls due before that.

    Lateness tells how busy or stalled the process is."""
    due = time.monotonic_ns() + tick
    while not over():
        now = time.monotonic_ns()
        until = min(due, max(sooner(), now + FINEST))
        gevent.sleep(max(0, until - now) / SECOND)
        now = time.monotonic_ns()
        yield now, now - until
        now = time.monotonic_ns()
        due = max(due + tick, now) if until == due else max(due, now)
