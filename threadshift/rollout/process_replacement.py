"""Replaces the process of a front end by one of another version; used by the supervisor. Free of I/O.

The new process starts beside the old one, which keeps serving until the new one is ready; then the old one drains. A
new process that does not become ready, or that crashes repeatedly soon after it took over, is given up, and the
previous version runs again. The supervisor decides that alone, whether or not the replicated log can be reached.
`running` is at each moment the version that really runs."""
from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from threadshift.interface import SECOND

READY_TIMEOUT = 20 * SECOND    # from the start of a process until it is ready: many times what it usually takes
PROVING_TIME = 20 * SECOND     # crashes so soon after taking over count against the new version
CRASHES_TO_GIVE_UP = 2         # so many of these crashes make the supervisor return to the previous version


class TargetVersion(NamedTuple):
    """The version that should run, as the front end stored it. The fields are stored under their own names."""

    place: int = 0             # log position of the entry that decided it; one with an older position is ignored
    version: str = ""
    conf: str = ""             # path of the configuration file
    tree: str = ""             # folder of the program; empty: the installed program


class ReplacementAction(Enum):
    """What the supervisor has to do."""

    START = "start"            # start a process of the version `incoming` beside the running one
    TAKE_OVER = "take over"    # the incoming process is the front end now; drain the old one
    GIVE_UP = "give up"        # end the incoming process


class ProcessReplacement:
    """Keeps track of which version runs and which is starting. Methods return the actions to take, in order."""

    def __init__(self, running: TargetVersion):
        self.running, self.place = running, running.place
        self.previous: TargetVersion | None = None       # the version that ran until the last takeover
        self.incoming: TargetVersion | None = None
        self.deadline = self.proven_at = 0
        self.crashes = 0
        self.failed_version = ""                 # the version that was given up last

    def on_target(self, now: int, target: TargetVersion) -> list[ReplacementAction]:
        """Takes the version that should run, as the front end stored it."""
        if target.place <= self.place:
            return []
        self.place = target.place
        actions = []
        if self.incoming is not None and self.incoming.version != target.version:
            self.incoming = None
            actions.append(ReplacementAction.GIVE_UP)
        if self.incoming is None and target.version != self.running.version and not (
                self.failed_version and target.version == self.failed_version):
            self.incoming, self.deadline = target, now + READY_TIMEOUT
            actions.append(ReplacementAction.START)
        return actions

    def on_ready(self, now: int) -> list[ReplacementAction]:
        """The incoming process is ready to serve."""
        if self.incoming is None:
            return []
        self.previous, self.running, self.incoming = self.running, self.incoming, None
        self.proven_at, self.crashes = now + PROVING_TIME, 0
        return [ReplacementAction.TAKE_OVER]

    def on_incoming_died(self) -> list[ReplacementAction]:
        """The incoming process died before it was ready."""
        return self.give_up()

    def on_died(self, now: int) -> list[ReplacementAction]:
        """The running process died; the supervisor then starts the version in `running` again."""
        if self.previous is None or now >= self.proven_at:
            return []
        self.crashes += 1
        if self.crashes < CRASHES_TO_GIVE_UP:
            return []
        self.failed_version, self.running, self.previous = self.running.version, self.previous, None
        if self.incoming is None or self.incoming.version != self.running.version:
            return []
        self.incoming = None            # the incoming version is the previous one, which is running again
        return [ReplacementAction.GIVE_UP]

    def tick(self, now: int) -> list[ReplacementAction]:
        """Gives up an incoming process that is not ready in time."""
        return self.give_up() if self.incoming is not None and now >= self.deadline else []

    def give_up(self) -> list[ReplacementAction]:
        """Gives up the incoming process and remembers its version as failed."""
        if self.incoming is None:
            return []
        self.failed_version, self.incoming = self.incoming.version, None
        return [ReplacementAction.GIVE_UP]
