"""Which workers there are, by the roster and by the workers' own word. Free of I/O.

The roster knows late whether a process runs; a worker itself says when it started and that it drains. Both are
folded into one `Listing` a worker for the decisions, by these rules:

- A worker's own word that it drains holds until it starts anew, whatever the roster says meanwhile.
- The later start of the two counts. Starts are told in wall-clock time; each is turned into this process's clock
  once, so that a step of the wall clock never looks like a restart.
- A worker that a full list lacks is gone.
- A full list that is empty, while workers were listed, is most likely a fault of the roster. It is believed once it
  has stood for half the drain grace: it is still word that all are gone, and rule 3 counts from that word.
"""
from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from threadshift.errors import Cause
from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.interface import SECOND, Listing, State

SAME_START = 2 * SECOND    # ns; starts told closer together than this are the same, seen by two clocks
FORGOTTEN = 60 * SECOND    # ns after which a worker that is gone is forgotten; the roster's word is seconds late
MOST_WORKERS = 10_000      # listed at once; past that a list is taken as broken


class Unbelievable(Cause):
    """A roster entry or list that cannot be understood; says which part."""

    help = "see what writes the list; the last good one stands meanwhile"


@dataclass(slots=True)
class Entry:
    """One worker as the roster told it."""

    worker: str
    address: Address
    state: State = State.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: int = 0             # wall clock ns; 0: not told


@dataclass(slots=True)
class Known:
    """One worker as believed."""

    entry: Entry
    started: int = 0             # the latest start told by anybody, wall clock ns
    since: int = 0               # the same in our clock, 0: not told
    drains: bool = False         # by its own word, since that start
    gone: int = 0                # when it was last seen to be gone, our clock


def entry(told: Mapping[str, Any]) -> Entry:
    """An entry off the wire. Raises Unbelievable."""
    def read(name: str, type_: type | tuple[type, ...], default: Any = None) -> Any:
        value = told.get(name, default)
        if not isinstance(value, type_) or isinstance(value, bool):
            raise Unbelievable(f"'{name}' of {str(told.get('worker'))[:64]!r} is absent or of the wrong type")
        return value
    try:
        return Entry(values.name(read("worker", str)), values.address(read("address", str)),
                     State(read("state", str, "ready")), read("zone", str, ""), read("cell", int, 0),
                     float(read("size", (int, float), 1.0)), read("started", int, 0))
    except ValueError as problem:
        raise Unbelievable(f"worker {str(told.get('worker'))[:64]!r}: {problem}") from None


@dataclass
class Membership:
    """All workers known, and what is told of them to the decisions."""

    grace: int                   # ns; the drain grace
    same_start: int = SAME_START     # ns; 0 where one clock alone tells of starts
    known: dict[str, Known] = field(default_factory=dict)
    empty_since: int | None = None

    def listed(self, now: int, wall: int, entries: Iterable[Entry], full: bool) -> list[Listing]:
        """News from the roster; the listings that changed by it, gone ones included."""
        entries = list(entries)
        if full and not entries and any(self.state(each) is State.READY for each in self.known.values()):
            self.empty_since = now if self.empty_since is None else self.empty_since
            return self.tick(now)
        if full:
            self.empty_since = None
        changed = [self.take(now, wall, each) for each in entries]
        if full:
            present = {each.worker for each in entries}
            changed += [self.gone(name) for name, one in self.known.items()
                        if name not in present and one.entry.state is not State.GONE]
        return changed

    def take(self, now: int, wall: int, told: Entry) -> Listing:
        one = self.known.setdefault(told.worker, Known(told))
        one.entry = told
        self.start(one, now, wall, told.started)
        return self.listing(one)

    def gone(self, name: str) -> Listing:
        one = self.known[name]
        one.entry.state = State.GONE
        return self.listing(one)

    def start(self, one: Known, now: int, wall: int, started: int) -> bool:
        """Takes over a later start. A first one is no restart, but counts for warming."""
        if started <= one.started + (self.same_start if one.started else 0):
            return False
        one.started, one.since, one.drains = started, max(1, now - max(0, wall - started)), False
        return True

    def forget(self, now: int, linked: Container[str]) -> None:
        """Lets go of workers gone for long: a fleet whose replacements have new names would fill memory and status.

        One that comes back says in its hello what it said before, when it started and that it drains."""
        for name, one in list(self.known.items()):
            if one.entry.state is not State.GONE or name in linked:
                one.gone = 0
            elif not one.gone:
                one.gone = now
            elif now - one.gone >= FORGOTTEN:
                del self.known[name]

    def hello(self, now: int, wall: int, name: str, started: int) -> list[Listing]:
        """A worker told its start itself."""
        one = self.known.get(name)
        return [self.listing(one)] if one and self.start(one, now, wall, started) else []

    def draining(self, name: str) -> list[Listing]:
        """A worker said that it drains."""
        one = self.known.get(name)
        if one is None or one.drains:
            return []
        one.drains = True
        return [self.listing(one)]

    def tick(self, now: int) -> list[Listing]:
        """Believes an empty list that has stood long enough."""
        if self.empty_since is None or now - self.empty_since < self.grace // 2:
            return []
        self.empty_since = None
        return [self.gone(name) for name, one in self.known.items() if one.entry.state is not State.GONE]

    @staticmethod
    def state(one: Known) -> State:
        return State.DRAINING if one.drains and one.entry.state is State.READY else one.entry.state

    def listing(self, one: Known) -> Listing:
        it = one.entry
        return Listing(it.worker, self.state(one), it.zone, it.cell, one.since, it.size)
