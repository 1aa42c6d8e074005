"""Which workers there are, by the roster and by the workers' own word. Free of I/O.

The roster knows late whether a process runs; a worker itself says when it started and that it drains. Both are
folded into one `WorkerListing` a worker for the decisions, by these rules:

- A worker's own word that it drains holds until it starts anew, whatever the roster says meanwhile.
- The later start of the two counts. Starts are told in wall-clock time; each is turned into this process's clock
  once, so that a step of the wall clock never looks like a restart.
- A worker that a full list lacks is gone. One whose entry is there and cannot be read stays as it was, unless it can
  be read that it drains or is gone.
- A full list that is empty, while workers were listed, is most likely a fault of the roster. It is believed half the
  drain grace after it may have counted as told: it is still word that all are gone, and rule 3 counts from then.
"""
from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError
from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.interface import SECOND, WorkerListing, WorkerState

SAME_START = 2 * SECOND    # ns; starts told closer together than this are the same, seen by two clocks
FORGOTTEN = 60 * SECOND    # ns after which a worker that is gone is forgotten; the roster's word is seconds late
MAX_WORKERS = 10_000       # listed at once; past that a list is taken as broken


class InvalidWorkerList(ThreadshiftError):
    """A roster entry or list that cannot be understood; says which part."""

    help = "see what writes the list; the last good one stands meanwhile"


@dataclass(slots=True)
class WorkerEntry:
    """One worker as the roster told it."""

    worker: str
    address: Address
    state: WorkerState = WorkerState.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: int = 0             # wall clock ns; 0: not told


class WorkerList(NamedTuple):
    """What was told of workers at once: all there are, or those that changed."""

    entries: list[WorkerEntry]
    full: bool                   # the whole list
    ending: Mapping[str, WorkerState] = {}             # draining or gone, by entries of which no more can be read
    unreadable: frozenset[str] = frozenset()     # listed by entries of which not even that can be read

    @property
    def empty(self) -> bool:
        return not (self.entries or self.ending or self.unreadable)

    def names(self) -> set[str]:
        """All workers that it names."""
        return {each.worker for each in self.entries} | set(self.ending) | self.unreadable


@dataclass(slots=True)
class Known:
    """One worker as believed."""

    entry: WorkerEntry
    started: int = 0             # the latest start told by anybody, wall clock ns
    since: int = 0               # the same in our clock, 0: not told
    drains: bool = False         # by its own word, since that start
    gone: int = 0                # when it was last seen to be gone, our clock


def parse_entry(told: Mapping[str, Any]) -> WorkerEntry:
    """An entry off the wire. Raises InvalidWorkerList."""
    def read(name: str, type_: type | tuple[type, ...], default: Any = None) -> Any:
        value = told.get(name, default)
        if not isinstance(value, type_) or isinstance(value, bool):
            raise InvalidWorkerList(f"'{name}' of {str(told.get('worker'))[:64]!r} is absent or of the wrong type")
        return value
    try:
        return WorkerEntry(values.name(read("worker", str)), values.address(read("address", str)),
                           WorkerState(read("state", str, "ready")), read("zone", str, ""), read("cell", int, 0),
                           float(read("size", (int, float), 1.0)), read("started", int, 0))
    except ValueError as problem:
        raise InvalidWorkerList(f"worker {str(told.get('worker'))[:64]!r}: {problem}") from None


@dataclass
class WorkerRegistry:
    """All workers known, and what is told of them to the decisions."""

    grace: int                   # ns; the drain grace
    same_start: int = SAME_START     # ns; 0 where one clock alone tells of starts
    known: dict[str, Known] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)      # those of them that are gone
    empty_since: int | None = None   # since when an empty list that is not believed yet may count as told
    lacking: set[str] = field(default_factory=set)   # workers that it lacked, and that were not told of since

    def listed(self, now: int, wall: int, entries: Iterable[WorkerEntry], full: bool) -> list[WorkerListing]:
        """News from the roster that counts as told now; see apply()."""
        return self.apply(now, wall, WorkerList(list(entries), full), now)

    def apply(self, now: int, wall: int, workers: WorkerList, told_since: int) -> list[WorkerListing]:
        """News from the roster, which may count as told since `told_since`; the listings that changed by it, gone
        ones included."""
        present = workers.names()
        if workers.full and workers.empty and any(
                self.state(each) is WorkerState.READY for each in self.known.values()):
            if self.empty_since is None:
                self.empty_since, self.lacking = told_since, self.not_gone()
            return self.tick(now)
        if workers.full:
            self.empty_since = None
        self.lacking -= present
        changed = [self.take(now, wall, each) for each in workers.entries]
        changed += [self.ends(name, state) for name, state in workers.ending.items() if name in self.known]
        if workers.full:
            changed += [self.ends(name, WorkerState.GONE) for name in sorted(self.not_gone() - present)]
        return changed

    def not_gone(self) -> set[str]:
        return self.known.keys() - self.gone

    def take(self, now: int, wall: int, told: WorkerEntry) -> WorkerListing:
        one = self.known.setdefault(told.worker, Known(told))
        one.entry = told
        self.note_gone(told.worker, one)
        self.start(one, now, wall, told.started)
        return self.listing(one)

    def ends(self, name: str, state: WorkerState) -> WorkerListing:
        one = self.known[name]
        one.entry.state = state
        self.note_gone(name, one)
        return self.listing(one)

    def note_gone(self, name: str, one: Known) -> None:
        if one.entry.state is WorkerState.GONE:
            self.gone.add(name)
        else:
            self.gone.discard(name)
            one.gone = 0

    def start(self, one: Known, now: int, wall: int, started: int) -> bool:
        """Takes over a later start. A first one is no restart, but counts for warming."""
        if started <= one.started + (self.same_start if one.started else 0):
            return False
        one.started, one.since, one.drains = started, max(1, now - max(0, wall - started)), False
        return True

    def forget(self, now: int, linked: Container[str]) -> None:
        """Lets go of workers gone for long: a fleet whose replacements have new names would fill memory and status.

        One that comes back says in its hello what it said before, when it started and that it drains."""
        for name in list(self.gone):
            one = self.known[name]
            if name in linked:
                one.gone = 0
            elif not one.gone:
                one.gone = now
            elif now - one.gone >= FORGOTTEN:
                del self.known[name]
                self.gone.discard(name)

    def hello(self, now: int, wall: int, name: str, started: int) -> list[WorkerListing]:
        """A worker told its start itself."""
        one = self.known.get(name)
        return [self.listing(one)] if one and self.start(one, now, wall, started) else []

    def draining(self, name: str) -> list[WorkerListing]:
        """A worker said that it drains."""
        one = self.known.get(name)
        if one is None or one.drains:
            return []
        one.drains = True
        return [self.listing(one)]

    def tick(self, now: int) -> list[WorkerListing]:
        """Believes an empty list that has stood long enough."""
        if self.empty_since is None or now - self.empty_since < self.grace // 2:
            return []
        self.empty_since = None
        return [self.ends(name, WorkerState.GONE) for name in sorted(self.lacking & self.not_gone())]

    @staticmethod
    def state(one: Known) -> WorkerState:
        return WorkerState.DRAINING if one.drains and one.entry.state is WorkerState.READY else one.entry.state

    def listing(self, one: Known) -> WorkerListing:
        it = one.entry
        return WorkerListing(it.worker, self.state(one), it.zone, it.cell, one.since, it.size)
