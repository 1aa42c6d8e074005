"""Cancelled batches as a replicated state machine, changed only by entries of the log, so that all front ends agree.
Free of I/O.

A cancel is open until it is restored or closed. Only a log entry closes it. The leader proposes that entry once the
undo window has passed by its own clock since it learnt of the cancel. A new leader counts from the start, so a window
may be longer than announced, but never shorter. No front end closes a cancel because it hears nothing.

A probable accident gets a longer window: a tenant's third cancel within a minute, or one that stops most of the
tenant's calls that wait."""
from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import SECOND

# The undo window unless the settings name another: long enough to look at the screen and make a call.
DEFAULT_UNDO_WINDOW = 120 * SECOND
ACCIDENT_FACTOR = 5            # lengthens the window of a probable accident: somebody who can decide must be found
# So many cancels by one tenant within this period are more often a faulty script than an intention.
ACCIDENT_CANCELS = 3
ACCIDENT_PERIOD = 60 * SECOND
ACCIDENT_SHARE = 0.5           # a cancel that stops more of the tenant's waiting calls is a probable accident
MAX_ENDED_CANCELS = 1_000      # remembered after their end, to answer late requests about them

OPEN, RESTORED, CLOSED = "open", "restored", "closed"


class NoSuchCancel(ThreadshiftError):
    """No cancel of this id is known. The class name is sent to clients."""

    help = "request the batch: it shows the id of its open cancel"


class CancelOver(ThreadshiftError):
    """The cancel was restored or closed before. The class name is sent to clients."""

    help = "the calls that a closed cancel stopped have their final answer; send them again if they are still wanted"


@dataclass(slots=True)
class Cancel:
    """One cancel of a batch. The fields are stored under their own names, except `heard`."""

    id: str
    tenant: str
    batch: str
    place: int                   # log position of its entry
    window: int                  # the time in which it can be restored, ns
    at: int                      # wall clock of the proposer when requested: shown to people, not used for the window
    accident: str = ""           # why it has the longer window; empty: it has the usual one
    state: str = OPEN
    heard: int = field(default=0, compare=False)     # when this leader learnt of it, by its own clock; not stored


class Cancels:
    """The replicated state machine."""

    entry_forms = {"batch.cancel": 1, "batch.restore": 1, "batch.close": 1}

    def __init__(self) -> None:
        self.all: dict[str, Cancel] = {}
        self.open: dict[tuple[str, str], str] = {}       # (tenant, batch): id
        self.cancel_times: dict[str, list[int]] = {}     # by tenant: wall-clock times of its last cancels

    def apply(self, place: int, body: dict[str, Any]) -> Cancel | None:
        """Applies an entry. Returns the cancel that it created or changed; None if it has no effect."""
        if body["do"] == "batch.cancel":
            return self.cancel(place, body)
        cancel = self.all.get(body["cancel"])
        if cancel is None or cancel.state != OPEN:
            return None
        cancel.state = RESTORED if body["do"] == "batch.restore" else CLOSED
        self.open.pop((cancel.tenant, cancel.batch), None)
        return cancel

    def cancel(self, place: int, body: dict[str, Any]) -> Cancel:
        """Applies a batch.cancel entry. Returns the new cancel, or the one that is open for the batch already."""
        key = body["tenant"], body["batch"]
        if key in self.open:
            return self.all[self.open[key]]     # calls that came since then are parked under that cancel
        at, tenant = body["at"], body["tenant"]
        times = [each for each in self.cancel_times.get(tenant, []) if at - ACCIDENT_PERIOD < each <= at][
            -ACCIDENT_CANCELS:]
        # These texts are replicated state: they have to be the same in every version of the program.
        accident = ""
        if len(times) + 1 >= ACCIDENT_CANCELS:
            accident = f"{len(times) + 1} cancels within {ACCIDENT_PERIOD // SECOND} s"
        elif body.get("part", 0.0) > ACCIDENT_SHARE:
            accident = "it stops most of what waits"
        self.cancel_times[tenant] = [*times, at]
        window = body["window"] * (ACCIDENT_FACTOR if accident else 1)
        cancel = Cancel(body["id"], tenant, body["batch"], place, window, at, accident)
        self.all[cancel.id], self.open[key] = cancel, cancel.id
        ended = [each.id for each in self.all.values() if each.state != OPEN]
        for id_ in ended[:max(0, len(ended) - MAX_ENDED_CANCELS)]:
            del self.all[id_]
        return cancel

    def due_entries(self, now: int) -> list[dict[str, Any]]:
        """Returns the log entries that the leader should propose now. `now` is its own clock."""
        entries = []
        for id_ in self.open.values():
            cancel = self.all[id_]
            cancel.heard = cancel.heard or now
            if now - cancel.heard >= cancel.window:
                entries.append({"do": "batch.close", "id": f"close-{cancel.id}", "cancel": cancel.id})
        return entries

    def on_became_leader(self) -> None:
        """Restarts the windows of all open cancels, by the clock of this node, which has become the leader."""
        for id_ in self.open.values():
            self.all[id_].heard = 0

    def find(self, id_: str, tenant: str) -> Cancel:
        """Returns a cancel. Raises NoSuchCancel, also if it is another tenant's."""
        cancel = self.all.get(id_)
        if cancel is None or cancel.tenant != tenant:
            raise NoSuchCancel(f"no cancel {id_[:64]!r} is known here")
        return cancel

    def dump(self) -> dict[str, Any]:
        return {"all": [{name: value for name, value in asdict(each).items() if name != "heard"}
                        for each in self.all.values()], "times": self.cancel_times}

    def load(self, state: dict[str, Any]) -> None:
        self.all = {each["id"]: Cancel(**each) for each in state.get("all", [])}
        self.open = {(each.tenant, each.batch): each.id for each in self.all.values() if each.state == OPEN}
        self.cancel_times = {tenant: list(times) for tenant, times in state.get("times", {}).items()}
