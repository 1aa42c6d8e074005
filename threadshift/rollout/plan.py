"""Rollouts as a replicated state machine, and the version that each front end should run by it. It is changed only by
entries of the log. Free of I/O.

A version is the list of changes that a front end runs on top of what is installed: those of all rollouts that are
done, and that of the rollout under way for front ends that it has taken. So there are never more than two versions: a
second rollout is refused while one is under way, and to undo a rollback is a rollout of its own."""
from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

CHECKING, IN_PROGRESS, PAUSED, ROLLED_BACK, DONE = "checking", "going", "paused", "back", "done"
MAX_ENDED_ROLLOUTS = 50        # that are remembered after they went back; those that are done are never forgotten
DEFAULT_STAGES = (0.0, 0.2, 0.5, 1.0)      # shares of the front ends; at least one front end takes part in a stage


class UnderWay(ThreadshiftError):
    """A rollout was requested while another is under way. The class name is sent to operators."""

    help = "let it end, or abort it: 'threadshift rollout abort'"


class NoRollout(ThreadshiftError):
    """No rollout is under way, or none has this id. The class name is sent to operators."""

    help = "see 'threadshift rollout show'"


@dataclass(slots=True)
class Rollout:
    """One change and its progress. The fields are stored under their own names."""

    id: str
    what: dict[str, Any]         # settings: [[block, directive, words]], tree, digest, eviction
    stages: list[float]
    hold: int                    # ns for which each stage has to be complete before the next one
    who: str
    place: int                   # log position of the entry that changed it last
    state: str = CHECKING
    stage: int = -1
    taken: list[str] = field(default_factory=list)       # in the order in which they were taken
    why: str = ""
    pacing: list[str] = field(default_factory=list)      # the order in which front ends go back


class Version(NamedTuple):
    """The version that a front end should run."""

    place: int                   # log position of the entry that decided it
    ids: tuple[str, ...]         # rollouts whose changes it has, first to last

    @property
    def name(self) -> str:
        return "+".join(self.ids)


class Rollouts:
    """The replicated state machine."""

    entry_forms = {"rollout.start": 1, "rollout.take": 1, "rollout.pause": 1, "rollout.resume": 1, "rollout.back": 1,
                   "rollout.done": 1}

    def __init__(self) -> None:
        self.all: dict[str, Rollout] = {}
        self.done: list[str] = []

    @property
    def under_way(self) -> Rollout | None:
        return next((each for each in self.all.values() if each.state in (CHECKING, IN_PROGRESS, PAUSED)), None)

    def apply(self, place: int, body: dict[str, Any]) -> Rollout | None:
        """Applies an entry. Returns the rollout that it started or changed; None if it has no effect."""
        if body["do"] == "rollout.start":
            if self.under_way is not None:
                return None
            new = self.all[body["id"]] = Rollout(body["id"], body["what"], list(body["stages"]), body["hold"],
                                                 body["who"], place)
            ended = [each.id for each in self.all.values()
                     if each.state in (ROLLED_BACK, DONE) and each.id not in self.done]
            for id_ in ended[:max(0, len(ended) - MAX_ENDED_ROLLOUTS)]:
                del self.all[id_]
            return new
        rollout = self.all.get(body["rollout"])
        if rollout is None or rollout.state not in (CHECKING, IN_PROGRESS, PAUSED):
            return None
        do = body["do"]
        if do == "rollout.take":
            # The leader that proposed the entry may not have known the latest state: only the next step counts.
            if (rollout.state == PAUSED or body["stage"] not in (rollout.stage, rollout.stage + 1)
                    or body["after"] != len(rollout.taken)):
                return None
            rollout.state, rollout.stage = IN_PROGRESS, body["stage"]
            rollout.taken += [name for name in body["names"] if name not in rollout.taken]
        elif do == "rollout.pause":
            rollout.state = PAUSED if rollout.state == IN_PROGRESS else rollout.state
        elif do == "rollout.resume":
            rollout.state = IN_PROGRESS if rollout.state == PAUSED else rollout.state
        elif do == "rollout.back":
            rollout.state, rollout.pacing = ROLLED_BACK, rollout.taken[::-1]
        elif rollout.state != IN_PROGRESS or rollout.stage != len(rollout.stages) - 1:
            return None
        else:
            rollout.state = DONE
            self.done.append(rollout.id)
        rollout.why, rollout.place = body.get("why", rollout.why), place
        return rollout

    def version_of(self, name: str) -> Version:
        """Returns the version that a front end should run, as far as this node knows."""
        place, ids = 0, list(self.done)
        for each in self.all.values():
            place = max(place, each.place)
            if each.state in (IN_PROGRESS, PAUSED) and name in each.taken:
                ids.append(each.id)
        return Version(place, tuple(ids))

    def changes(self, ids: Sequence[str]) -> list[dict[str, Any]]:
        """Returns the changes of the rollouts that are known here."""
        return [self.all[id_].what for id_ in ids if id_ in self.all]

    def dump(self) -> dict[str, Any]:
        return {"all": [asdict(each) for each in self.all.values()], "done": self.done}

    def load(self, state: dict[str, Any]) -> None:
        self.all = {each["id"]: Rollout(**each) for each in state.get("all", [])}
        self.done = list(state.get("done", []))
