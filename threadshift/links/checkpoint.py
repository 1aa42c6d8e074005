"""Points at which a greenlet that reads a socket lets the event loop poll.

gevent's recv() and accept() switch to other greenlets only where nothing has arrived. A peer that sends faster than
its input is handled would keep the event loop from all other sockets, the timers and the signals for as long as it
sends. gevent.sleep(0) is not enough: the loop runs up to 50 ready callbacks before it polls again.
"""
from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext

import gevent

from threadshift.links.turns import Turns


class Checkpoint:
    """Lets the event loop poll where one greenlet would begin more than `limit` operations between two polls.

    An operation that has to wait lets the loop poll by itself, so nothing is added to it. Greenlets with the same
    `turns` go on one at a time, each after a poll of its own: many of them delay others no longer than one does.
    The one that went on longest ago is next, so that one with little to do does not wait for all that have much."""

    def __init__(self, limit: int = 1, turns: Turns | None = None,
                 is_ready: Callable[[], bool] = lambda: True):
        """`is_ready` tells whether the next operation would return at once; one that would wait needs no poll."""
        self.limit, self.turns, self.is_ready = limit, turns.join() if turns is not None else nullcontext(), is_ready
        self.loop = gevent.get_hub().loop
        self.iteration = self.loop.iteration     # of the event loop, in which the last operation began
        self.begun = 0                           # operations in this iteration

    def wait(self) -> None:
        """Called before each operation. Returns at once, or after a poll."""
        if self.loop.iteration != self.iteration:
            self.begun = 0
        elif self.begun >= self.limit and self.is_ready():
            with self.turns:
                # At a lower priority it would wait until nothing else is ready, which under load may take for ever.
                gevent.idle(self.loop.MAXPRI)
            self.begun = 0
        self.iteration = self.loop.iteration
        self.begun += 1
