"""What the record knows of cancelled batches. Free of I/O; fed by entries alone, so that all know the same.

A cancel is open until it is restored or closed, and is closed only by an entry of its own, which the holder proposes
once the window has passed by its own clock since it heard of the cancel: a new holder counts anew, so a window may be
longer than told and never shorter. Nobody closes on silence.

Accidents get the longer window: a tenant's third cancel within a minute, or one that stops most of what waits."""
from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import SECOND

WINDOW = 120 * SECOND      # to undo a cancel in, if the settings say nothing: a look at the screen and a call
ACCIDENT = 5               # times as long where it looks like one: somebody has to be found who knows
MANY, WITHIN = 3, 60 * SECOND  # cancels by one tenant so close together are a slip of a script more often than a wish
MOST = 0.5                 # of what waits, stopped by one cancel
ENDED = 1_000              # cancels remembered after their end, to tell who asks late what became of them

OPEN, RESTORED, CLOSED = "open", "restored", "closed"


class NoSuchCancel(ThreadshiftError):
    """No cancel of this id is known."""

    help = "ask for the batch: its open cancel's id is told there"


class CancelOver(ThreadshiftError):
    """A cancel that was restored or closed before."""

    help = "what a closed cancel stopped has its final answer; send those calls anew where they are still wanted"


@dataclass(slots=True)
class Cancel:
    """One cancel of a batch."""

    id: str
    tenant: str
    batch: str
    place: int                   # of its entry
    window: int                  # ns
    at: int                      # when it was asked for, wall clock of who proposed it: for people, not for deciding
    accident: str = ""           # why it has the longer window
    state: str = OPEN
    heard: int = field(default=0, compare=False)     # by this process' own clock; not told to others


class Cancels:
    """The machine. `changed` has the ids that the last entries touched, for who carries them out."""

    entry_forms = {"batch.cancel": 1, "batch.restore": 1, "batch.close": 1}

    def __init__(self) -> None:
        self.all: dict[str, Cancel] = {}
        self.open: dict[tuple[str, str], str] = {}       # (tenant, batch): id
        self.times: dict[str, list[int]] = {}            # tenant: when its last cancels were asked for

    def apply(self, place: int, body: dict[str, Any]) -> Cancel | None:
        """The cancel that the entry made or changed; None where it changed nothing."""
        if body["do"] == "batch.cancel":
            return self.cancel(place, body)
        it = self.all.get(body["cancel"])
        if it is None or it.state != OPEN:
            return None
        it.state = RESTORED if body["do"] == "batch.restore" else CLOSED
        self.open.pop((it.tenant, it.batch), None)
        return it

    def cancel(self, place: int, body: dict[str, Any]) -> Cancel:
        key = body["tenant"], body["batch"]
        if key in self.open:
            return self.all[self.open[key]]     # it is cancelled already; what came since is parked under that one
        at, tenant = body["at"], body["tenant"]
        times = [each for each in self.times.get(tenant, []) if at - WITHIN < each <= at][-MANY:]
        accident = ""
        if len(times) + 1 >= MANY:
            accident = f"{len(times) + 1} cancels within {WITHIN // SECOND} s"
        elif body.get("part", 0.0) > MOST:
            accident = "it stops most of what waits"
        self.times[tenant] = [*times, at]
        window = body["window"] * (ACCIDENT if accident else 1)
        it = Cancel(body["id"], tenant, body["batch"], place, window, at, accident)
        self.all[it.id], self.open[key] = it, it.id
        over = [each.id for each in self.all.values() if each.state != OPEN]
        for id_ in over[:max(0, len(over) - ENDED)]:
            del self.all[id_]
        return it

    def due(self, now: int) -> list[dict[str, Any]]:
        """Entries that whoever holds the right should propose now. `now` is its own clock."""
        told = []
        for id_ in self.open.values():
            it = self.all[id_]
            it.heard = it.heard or now
            if now - it.heard >= it.window:
                told.append({"do": "batch.close", "id": f"close-{it.id}", "cancel": it.id})
        return told

    def new_holder(self) -> None:
        """Windows are counted from now on, by the clock of who has come to hold the right."""
        for id_ in self.open.values():
            self.all[id_].heard = 0

    def find(self, id_: str, tenant: str) -> Cancel:
        """Raises NoSuchCancel, also where it is another tenant's."""
        it = self.all.get(id_)
        if it is None or it.tenant != tenant:
            raise NoSuchCancel(f"no cancel {id_[:64]!r} is known here")
        return it

    def dump(self) -> dict[str, Any]:
        return {"all": [{name: value for name, value in asdict(each).items() if name != "heard"}
                        for each in self.all.values()], "times": self.times}

    def load(self, state: dict[str, Any]) -> None:
        self.all = {each["id"]: Cancel(**each) for each in state.get("all", [])}
        self.open = {(each.tenant, each.batch): each.id for each in self.all.values() if each.state == OPEN}
        self.times = {tenant: list(times) for tenant, times in state.get("times", {}).items()}
