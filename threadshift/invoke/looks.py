"""When the event loop looked which sockets have something to read, and for how long what is read now may have waited.

What is read in one round of the loop came after the look of the round before, or that look would have found it. The
loop's timer bounds a round with nothing to do to a few ms, so a longer one means that the process was busy or stood
still, and calls waited unread for up to as long.
"""
from __future__ import annotations

import time

import gevent

from threadshift.interface import MS

STALL = 50 * MS            # a timer so late, or a call unread so long, means that the process stood still: half of
                           # the time after which nothing may be sent for a client that has gone
STOOD = 10 * MS            # in one wait for something to read: the timer bounds it to half of that, so we stood still
WAITED = MS // 4           # between its last work and a look: the loop stood idle, what it found came just then
SETTLE = 10 * MS           # after that, until all that came meanwhile is read: several rounds of the loop


class Looks:
    """The last two looks of this thread's loop; start() begins to note them."""

    def __init__(self) -> None:
        self.before = self.last = self.idle = self.idle_before = 0
        self.interrupted = False         # the wait before the last one ended by a stop
        loop = gevent.get_hub().loop
        self.watcher, self.watcher_idle = loop.check(), loop.prepare(priority=loop.MINPRI)

    def start(self) -> None:
        self.before = self.last = self.idle = self.idle_before = time.monotonic_ns()
        self.watcher.start(self.looked)
        self.watcher_idle.start(self.waits)

    def stop(self) -> None:
        self.watcher.stop()
        self.watcher_idle.stop()
        self.before = self.last = 0

    def waits(self) -> None:
        """The loop has nothing left to do and waits for something to read, or looks in passing."""
        self.idle = time.monotonic_ns()

    def looked(self) -> None:
        self.note_look(time.monotonic_ns())

    def note_look(self, now: int) -> None:
        """The loop has looked. A wait in which the process was stopped may have ended with EINTR and without a look:
        what the next one finds may have come during the stop, so the look before that still counts."""
        self.interrupted = self.last - self.idle_before >= STOOD
        if not self.interrupted:
            self.before = self.last
        self.last, self.idle_before = now, self.idle

    def unread(self, now: int) -> int:
        """ns for which what is read now may have waited; 0 while looks are not noted. A loop that waited found it
        as it came: counted from the look before, a call of 70 ms would lose a tenth of its time for nothing. After an
        interrupted wait that is not believed: the process may have been preempted in a wait that found it at once."""
        if not self.before:
            return 0
        waited = WAITED <= self.last - self.idle < STOOD and not self.interrupted
        return now - (self.last if waited else self.before)
