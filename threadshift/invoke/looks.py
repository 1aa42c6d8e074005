"""When the event loop looked which sockets have something to read, and for how long what is read now may have waited.

What is read in one round of the loop came after the look of the round before, or that look would have found it. The
loop's timer bounds a round with nothing to do to a few ms, so a longer one means that the process was busy or stood
still, and calls waited unread for up to as long.
"""
from __future__ import annotations

import time

import gevent

from threadshift.interface import MS

STALL = 100 * MS           # a timer so late, or a call unread so long, means that the process stood still
SETTLE = 10 * MS           # after that, until all that came meanwhile is read: several rounds of the loop


class Looks:
    """The last two looks of this thread's loop; start() begins to note them."""

    def __init__(self) -> None:
        self.before = self.last = 0
        self.watcher = gevent.get_hub().loop.check()

    def start(self) -> None:
        self.before = self.last = time.monotonic_ns()
        self.watcher.start(self.looked)

    def stop(self) -> None:
        self.watcher.stop()
        self.before = self.last = 0

    def looked(self) -> None:
        self.before, self.last = self.last, time.monotonic_ns()

    def unread(self, now: int) -> int:
        """ns for which what is read now may have waited; 0 while looks are not noted."""
        return now - self.before if self.before else 0
