"""When the event loop last polled its sockets, and how long data read now may have waited unread.

Data read in one iteration of the event loop arrived after the poll of the iteration before; otherwise that poll
would have found it. The loop's timer limits an iteration with nothing to do to a few milliseconds. A longer one means
that the process was busy or stopped, and that calls waited unread for up to as long.
"""
from __future__ import annotations

import time

import gevent

from threadshift.interface import MS

# A timer this late, or a call unread for this long, means that the process stalled. It is half of the time after
# which nothing may be sent for a client that has gone.
STALL_THRESHOLD = 50 * MS
# A single wait for input this long means that the process was stopped: the timer limits waits to half of it.
INTERRUPTED_WAIT = 10 * MS
# Up to so long after the poll before, a guess of when data arrived may be made: it is wrong by no more than this.
MAX_GUESS_ERROR = 10 * MS
# The loop was idle if it waited this long before a poll; what the poll found has only just arrived.
IDLE_WAIT = MS // 4
# Time for the loop to read everything that arrived during a stall: several iterations.
CATCH_UP_TIME = 10 * MS


class PollMonitor:
    """Records the last two polls of this thread's event loop, from start() on."""

    def __init__(self) -> None:
        self.previous_poll = self.last_poll = self.wait_started = self.previous_wait_started = 0
        self.was_interrupted = False         # the wait before the last one was ended by a stop of the process
        loop = gevent.get_hub().loop
        self.check_watcher, self.prepare_watcher = loop.check(), loop.prepare(priority=loop.MINPRI)

    def start(self) -> None:
        self.previous_poll = self.last_poll = self.wait_started = self.previous_wait_started = time.monotonic_ns()
        self.check_watcher.start(self.on_poll_ended)
        self.prepare_watcher.start(self.on_wait_started)

    def stop(self) -> None:
        self.check_watcher.stop()
        self.prepare_watcher.stop()
        self.previous_poll = self.last_poll = 0

    def on_wait_started(self) -> None:
        """The loop has nothing left to do: it waits for input, or polls without waiting."""
        self.wait_started = time.monotonic_ns()

    def on_poll_ended(self) -> None:
        self.record_poll(time.monotonic_ns())

    def record_poll(self, now: int) -> None:
        """Records that the loop has polled its sockets.

        A wait during which the process was stopped may end with EINTR and without a poll. What the next poll finds
        may have arrived during the stop, so the poll before the interrupted wait still counts."""
        self.was_interrupted = self.last_poll - self.previous_wait_started >= INTERRUPTED_WAIT
        if not self.was_interrupted:
            self.previous_poll = self.last_poll
        self.last_poll, self.previous_wait_started = now, self.wait_started

    @property
    def arrived_since(self) -> int:
        """The earliest time at which data that the last poll found may have arrived; 0 while polls are not recorded.

        If the loop waited for input, the data arrived just before the last poll: counted from the poll before, a call
        of 70 ms would lose a tenth of its time for nothing. That is a guess, as the process may have been preempted
        in a wait that found its data at once, so it is made only where the poll before is recent."""
        was_idle = (self.last_poll - self.wait_started >= IDLE_WAIT
                    and self.last_poll - self.previous_poll < MAX_GUESS_ERROR)
        return self.last_poll if was_idle else self.previous_poll

    def unread_time(self, now: int) -> int:
        """The longest time, in ns, for which data read now may have waited; 0 while polls are not recorded."""
        return now - self.arrived_since if self.previous_poll else 0
