"""What the record knows of rollouts, and which version each front end should run by it. Free of I/O; fed by entries.

A version is the list of changes that a front end runs on top of what is installed: those of rollouts that are done,
and for who was taken into one that goes on, that one as well. There is never a third: a second rollout is refused
while one goes on, and a rollback of a rollback is a rollout of its own."""
from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

CHECKING, GOING, PAUSED, BACK, DONE = "checking", "going", "paused", "back", "done"
KEPT = 50                  # rollouts remembered after their end; changes of those that are done stay for good
STAGES = (0.0, 0.2, 0.5, 1.0)      # shares of the front ends; the first stage is one


class UnderWay(ThreadshiftError):
    """A rollout while another goes on."""

    help = "let it end, or abort it: 'threadshift rollout abort'"


class NoRollout(ThreadshiftError):
    """No rollout goes on, or none of this id."""

    help = "see 'threadshift rollout show'"


@dataclass(slots=True)
class Rollout:
    """One change on its way."""

    id: str
    what: dict[str, Any]         # settings: [[block, directive, words]], tree, digest, eviction
    stages: list[float]
    hold: int                    # ns for which each stage has to stand
    who: str
    place: int                   # of the entry that changed it last: acts of earlier ones are refused
    state: str = CHECKING
    stage: int = -1
    taken: list[str] = field(default_factory=list)       # in the order in which they were taken
    why: str = ""
    pacing: list[str] = field(default_factory=list)      # the order of the way back


class Version(NamedTuple):
    """What a front end should run."""

    place: int                   # of the entry that says so
    ids: tuple[str, ...]         # rollouts whose changes it has, first to last

    @property
    def name(self) -> str:
        return "+".join(self.ids)


class Rollouts:
    """The machine."""

    entry_forms = {"rollout.start": 1, "rollout.take": 1, "rollout.pause": 1, "rollout.resume": 1, "rollout.back": 1,
                   "rollout.done": 1}

    def __init__(self) -> None:
        self.all: dict[str, Rollout] = {}
        self.done: list[str] = []

    @property
    def under_way(self) -> Rollout | None:
        return next((each for each in self.all.values() if each.state in (CHECKING, GOING, PAUSED)), None)

    def apply(self, place: int, body: dict[str, Any]) -> Rollout | None:
        """The rollout that the entry made or moved; None where it does nothing."""
        if body["do"] == "rollout.start":
            if self.under_way is not None:
                return None
            new = self.all[body["id"]] = Rollout(body["id"], body["what"], list(body["stages"]), body["hold"],
                                                 body["who"], place)
            over = [each.id for each in self.all.values() if each.state in (BACK, DONE) and each.id not in self.done]
            for id_ in over[:max(0, len(over) - KEPT)]:
                del self.all[id_]
            return new
        it = self.all.get(body["rollout"])
        if it is None or it.state not in (CHECKING, GOING, PAUSED):
            return None
        do = body["do"]
        if do == "rollout.take":
            # Whoever proposed it may have known less: only the next step from where the record stands counts.
            if it.state == PAUSED or body["stage"] not in (it.stage, it.stage + 1) or body["after"] != len(it.taken):
                return None
            it.state, it.stage = GOING, body["stage"]
            it.taken += [name for name in body["names"] if name not in it.taken]
        elif do == "rollout.pause":
            it.state = PAUSED if it.state == GOING else it.state
        elif do == "rollout.resume":
            it.state = GOING if it.state == PAUSED else it.state
        elif do == "rollout.back":
            it.state, it.pacing = BACK, it.taken[::-1]
        elif it.state != GOING or it.stage != len(it.stages) - 1:
            return None
        else:
            it.state = DONE
            self.done.append(it.id)
        it.why, it.place = body.get("why", it.why), place
        return it

    def version_of(self, name: str) -> Version:
        """What this front end should run, by what is known here."""
        place, ids = 0, list(self.done)
        for each in self.all.values():
            place = max(place, each.place)
            if each.state in (GOING, PAUSED) and name in each.taken:
                ids.append(each.id)
        return Version(place, tuple(ids))

    def changes(self, ids: Sequence[str]) -> list[dict[str, Any]]:
        return [self.all[id_].what for id_ in ids if id_ in self.all]

    def dump(self) -> dict[str, Any]:
        return {"all": [asdict(each) for each in self.all.values()], "done": self.done}

    def load(self, state: dict[str, Any]) -> None:
        self.all = {each["id"]: Rollout(**each) for each in state.get("all", [])}
        self.done = list(state.get("done", []))
