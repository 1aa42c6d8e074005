"""The stages of a drain: last resort until traffic has faded, withdrawal, a time of still answering, and the end.

Free of I/O. Clients that resolved or connect by the old route still arrive after a withdrawal, until routers have
converged; a listener that was closed earlier would refuse them.
"""
from __future__ import annotations

from enum import Enum

from threadshift.bgp.standing import Standing
from threadshift.interface import MS, SECOND

FADED_SHARE = 0.05         # of the rate of new connections when the drain began; the remaining ones are stragglers
QUIET_TIME = 500 * MS      # without a new connection, traffic has faded whatever its rate was
MAX_FADE_TIME = 5 * SECOND     # a preference that routers ignore, as no other front end announces, delays no drain
CONVERGE_TIME = 2 * SECOND     # from the withdrawal to the last connection that can still arrive; BGP within one site


class Stage(Enum):
    """Stages of a drain, in their order."""

    SERVING = "serving"
    FADING = "fading"            # announced at last resort
    WITHDRAWN = "withdrawn"      # not announced, still listening
    DONE = "done"                # the listener may close


class Drain:
    """The progress of a drain. `rate` is the number of new connections a second at the listener."""

    def __init__(self, converge: int = CONVERGE_TIME, max_fade_time: int = MAX_FADE_TIME):
        self.converge, self.max_fade_time = converge, max_fade_time
        self.stage, self.since, self.rate = Stage.SERVING, 0, 0.0

    def begin(self, now: int, rate: float) -> None:
        """Starts the drain; further calls change nothing."""
        if self.stage is Stage.SERVING:
            self.stage, self.since, self.rate = Stage.FADING, now, rate

    def tick(self, now: int, rate: float, last: int, established: bool) -> None:
        """Moves to the next stage when it is due. `last` is the time of the latest new connection, `established` says
        whether any BGP session is up; without one there is nothing to withdraw and nothing to wait for."""
        waited = now - self.since
        if self.stage is Stage.FADING and (
                not established or waited >= self.max_fade_time
                or waited >= QUIET_TIME and (
                    rate <= FADED_SHARE * self.rate or now - max(last, self.since) >= QUIET_TIME)):
            self.stage, self.since = Stage.WITHDRAWN, now
        elif self.stage is Stage.WITHDRAWN and (not established or waited >= self.converge):
            self.stage, self.since = Stage.DONE, now

    @property
    def standing(self) -> Standing | None:
        """The standing at the present stage; None while serving."""
        return {Stage.SERVING: None, Stage.FADING: Standing.LAST}.get(self.stage, Standing.WITHDRAWN)
