"""The pace of the one timer of an instance: every tick, with how late it came."""
from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import gevent

from threadshift.interface import SECOND


def ticks(tick: int, over: Callable[[], bool]) -> Iterator[tuple[int, int]]:
    """(now, how late), ns, once a tick until over() says so. Lateness tells how busy or stalled the process is."""
    due = time.monotonic_ns() + tick
    while not over():
        gevent.sleep(max(0, due - time.monotonic_ns()) / SECOND)
        now = time.monotonic_ns()
        yield now, now - due
        due = max(due + tick, time.monotonic_ns())
