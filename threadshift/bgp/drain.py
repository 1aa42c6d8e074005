"""Leaving in order: worst preference, until traffic has faded; withdrawal; then a while of answering; then the end.

Free of I/O. Clients that resolve or connect by the old route still come after a withdrawal, until routers have
converged; a listener closed before that refuses them.
"""
from __future__ import annotations

from enum import Enum

from threadshift.bgp.announce import Standing
from threadshift.interface import MS, SECOND

FADED = 0.05               # of the connections a second that came when the drain began: the rest are stragglers
QUIET = 500 * MS           # without a new connection traffic has faded, whatever its rate was
FADE_MOST = 5 * SECOND     # routes that are not heeded (nobody else announces) must not hold a drain up
CONVERGE = 2 * SECOND      # from the withdrawal to the last connection that can still come; BGP in one site


class Stage(Enum):
    SERVING = "serving"
    FADING = "fading"            # last resort
    WITHDRAWN = "withdrawn"      # still listening
    DONE = "done"                # the listener may close


class Drain:
    """How far a drain has come. `rate` is new connections a second at the listener, `last` when the last one came."""

    def __init__(self, converge: int = CONVERGE, fade_most: int = FADE_MOST):
        self.converge, self.fade_most = converge, fade_most
        self.stage, self.since, self.rate = Stage.SERVING, 0, 0.0

    def begin(self, now: int, rate: float) -> None:
        if self.stage is Stage.SERVING:
            self.stage, self.since, self.rate = Stage.FADING, now, rate

    def tick(self, now: int, rate: float, last: int, established: bool) -> None:
        """`established`: whether any session is up; with none there is nothing to withdraw or to wait for."""
        waited = now - self.since
        if self.stage is Stage.FADING and (
                not established or waited >= self.fade_most
                or waited >= QUIET and (rate <= FADED * self.rate or now - max(last, self.since) >= QUIET)):
            self.stage, self.since = Stage.WITHDRAWN, now
        elif self.stage is Stage.WITHDRAWN and (not established or waited >= self.converge):
            self.stage, self.since = Stage.DONE, now

    @property
    def standing(self) -> Standing | None:
        return {Stage.SERVING: None, Stage.FADING: Standing.LAST}.get(self.stage, Standing.WITHDRAWN)
