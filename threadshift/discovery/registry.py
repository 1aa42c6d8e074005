"""Which workers exist and in which state, from the roster and from the workers themselves. Free of I/O.

The roster learns late whether a process runs. A worker itself reports when it started and that it drains. Both are
combined into one `WorkerListing` for each worker by these rules:

- A worker's own report that it drains holds until it restarts, whatever the roster says meanwhile.
- The later of the two start times counts. Start times come in wall-clock time; each is converted to this process's
  monotonic clock once, so that a step of the wall clock never looks like a restart.
- A worker that a full list lacks is gone. One whose entry is in the list and cannot be read stays as it was, unless
  it can be read that it drains or is gone.
- Where a later list names another worker as ready at the address of a worker, that one is gone, even if no list says
  so yet: what is sent to it would reach the other. Addresses that several workers share already are left alone.
- A full list that is empty, while ready workers were listed, is most likely a fault of the roster. It is believed
  half the drain grace after the front end may count as notified of it. It still says that all workers are gone, and
  rule 3 (no new sends once the drain grace after such news is over) counts from the notification.
"""
from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.errors import ThreadshiftError
from threadshift.interface import SECOND, WorkerListing, WorkerState

SAME_START_TOLERANCE = 2 * SECOND    # start times closer together are the same start, reported by two clocks
FORGET_AFTER = 60 * SECOND     # after a worker was found gone; the roster is seconds late, not minutes
MAX_WORKERS = 10_000           # in one list; a longer one is treated as broken


class InvalidWorkerList(ThreadshiftError):
    """A roster entry or list that cannot be understood; says which part."""

    help = "check what writes the list; the last valid one stays in force meanwhile"


@dataclass(slots=True)
class WorkerEntry:
    """One worker as the roster lists it."""

    worker: str
    address: Address
    state: WorkerState = WorkerState.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: int = 0             # wall clock ns; 0: unknown


class WorkerList(NamedTuple):
    """Workers listed at one time: all there are, or those that changed."""

    entries: list[WorkerEntry]
    full: bool                   # all workers, not only changed ones
    ending: Mapping[str, WorkerState] = {}       # draining or gone workers, of whose entries no more can be read
    unreadable: frozenset[str] = frozenset()     # workers of whose entries only the name can be read

    @property
    def empty(self) -> bool:
        return not (self.entries or self.ending or self.unreadable)

    def names(self) -> set[str]:
        """The names of all workers in it."""
        return {each.worker for each in self.entries} | set(self.ending) | self.unreadable


@dataclass(slots=True)
class KnownWorker:
    """One worker, from all sources."""

    entry: WorkerEntry
    wall_started_at: int = 0     # the latest start reported by either source, wall clock ns; 0: unknown
    started_at: int = 0          # the same in this process's clock; 0: unknown
    drains: bool = False         # the worker itself said so, since that start
    gone_since: int = 0          # when forget() first found it gone without a link, this process's clock


def parse_entry(fields: Mapping[str, Any]) -> WorkerEntry:
    """Reads an entry of the roster feed. Raises InvalidWorkerList."""
    def read(name: str, type_: type | tuple[type, ...], default: Any = None) -> Any:
        value = fields.get(name, default)
        if not isinstance(value, type_) or isinstance(value, bool):
            raise InvalidWorkerList(f"'{name}' of {str(fields.get('worker'))[:64]!r} is absent or of the wrong type")
        return value
    try:
        return WorkerEntry(values.name(read("worker", str)), values.address(read("address", str)),
                           WorkerState(read("state", str, "ready")), read("zone", str, ""), read("cell", int, 0),
                           float(read("size", (int, float), 1.0)), read("started", int, 0))
    except ValueError as problem:
        raise InvalidWorkerList(f"worker {str(fields.get('worker'))[:64]!r}: {problem}") from None


@dataclass
class WorkerRegistry:
    """All known workers. Its methods return the listings that changed, for the dispatcher."""

    grace: int                   # ns; the drain grace
    same_start_tolerance: int = SAME_START_TOLERANCE     # ns; 0 where all start times come from one clock
    known: dict[str, KnownWorker] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)      # the known workers that are gone
    at_address: dict[Address, set[str]] = field(default_factory=dict)    # the workers that are not gone, by address
    empty_since: int | None = None   # the notification time of an empty list that is not believed yet
    missing: set[str] = field(default_factory=set)   # workers that the empty list lacked and no list named since

    def apply_current(self, now: int, wall: int, entries: Iterable[WorkerEntry], full: bool) -> list[WorkerListing]:
        """Applies a list of which the front end counts as notified now; see apply()."""
        return self.apply(now, wall, WorkerList(list(entries), full), now)

    def apply(self, now: int, wall: int, workers: WorkerList, notified_since: int) -> list[WorkerListing]:
        """Applies a list of which the front end may count as notified since `notified_since`.

        Returns the changed listings, gone ones included. `wall` is the wall clock at `now`."""
        present = workers.names()
        if workers.full and workers.empty and any(
                self.state(each) is WorkerState.READY for each in self.known.values()):
            if self.empty_since is None:
                self.empty_since, self.missing = notified_since, self.not_gone()
            return self.tick(now)
        if workers.full:
            self.empty_since = None
        self.missing -= present
        replaced = self.replaced_by(workers.entries) - present
        changed = [self.update_entry(now, wall, each) for each in workers.entries]
        changed += [self.set_state(name, WorkerState.GONE) for name in sorted(replaced)]
        changed += [self.set_state(name, state) for name, state in workers.ending.items() if name in self.known]
        if workers.full:
            changed += [self.set_state(name, WorkerState.GONE) for name in sorted(self.not_gone() - present)]
        return changed

    def replaced_by(self, entries: Iterable[WorkerEntry]) -> set[str]:
        """The workers that are alone at an address at which another one becomes ready by these entries."""
        replaced: set[str] = set()
        for entry in entries:
            present = self.at_address.get(entry.address, set())
            if entry.state is WorkerState.READY and entry.worker not in present and len(present) == 1:
                replaced |= present
        return replaced

    def not_gone(self) -> set[str]:
        """The names of known workers that are not gone."""
        return self.known.keys() - self.gone

    def update_entry(self, now: int, wall: int, entry: WorkerEntry) -> WorkerListing:
        """Takes over a worker's entry."""
        worker = self.known.setdefault(entry.worker, KnownWorker(entry))
        self.leave_address(entry.worker, worker)
        worker.entry = entry
        self.update_gone(entry.worker, worker)
        self.update_start(worker, now, wall, entry.started)
        return self.listing(worker)

    def set_state(self, name: str, state: WorkerState) -> WorkerListing:
        """Sets the state that the roster has for a worker."""
        worker = self.known[name]
        worker.entry.state = state
        self.update_gone(name, worker)
        return self.listing(worker)

    def update_gone(self, name: str, worker: KnownWorker) -> None:
        """Adds the worker to `gone` or removes it, and the reverse at its address, by its entry."""
        if worker.entry.state is WorkerState.GONE:
            self.gone.add(name)
            self.leave_address(name, worker)
        else:
            self.gone.discard(name)
            worker.gone_since = 0
            self.at_address.setdefault(worker.entry.address, set()).add(name)

    def leave_address(self, name: str, worker: KnownWorker) -> None:
        """Removes the worker from those at its address."""
        if (present := self.at_address.get(worker.entry.address)) is not None:
            present.discard(name)
            if not present:
                del self.at_address[worker.entry.address]

    def update_start(self, worker: KnownWorker, now: int, wall: int, started: int) -> bool:
        """Takes over a start time if it is later than the known one. The first is no restart, but counts for warming.
        Returns whether it was taken over."""
        if started <= worker.wall_started_at + (self.same_start_tolerance if worker.wall_started_at else 0):
            return False
        worker.wall_started_at, worker.started_at, worker.drains = (
            started, max(1, now - max(0, wall - started)), False)
        return True

    def forget(self, now: int, linked: Container[str]) -> None:
        """Forgets workers that have been gone for FORGET_AFTER and have no link.

        Otherwise a fleet whose replacements have new names would fill memory and status. A worker that comes back
        reports in its hello what was forgotten: when it started and that it drains.
        """
        for name in list(self.gone):
            worker = self.known[name]
            if name in linked:
                worker.gone_since = 0
            elif not worker.gone_since:
                worker.gone_since = now
            elif now - worker.gone_since >= FORGET_AFTER:
                del self.known[name]
                self.gone.discard(name)

    def on_hello(self, now: int, wall: int, name: str, started: int) -> list[WorkerListing]:
        """A worker's hello with its start time."""
        worker = self.known.get(name)
        return [self.listing(worker)] if worker and self.update_start(worker, now, wall, started) else []

    def on_draining(self, name: str) -> list[WorkerListing]:
        """A worker's own report that it drains."""
        worker = self.known.get(name)
        if worker is None or worker.drains:
            return []
        worker.drains = True
        return [self.listing(worker)]

    def tick(self, now: int) -> list[WorkerListing]:
        """Believes an empty list after half the drain grace."""
        if self.empty_since is None or now - self.empty_since < self.grace // 2:
            return []
        self.empty_since = None
        return [self.set_state(name, WorkerState.GONE) for name in sorted(self.missing & self.not_gone())]

    @staticmethod
    def state(worker: KnownWorker) -> WorkerState:
        """The state from both sources."""
        return (WorkerState.DRAINING if worker.drains and worker.entry.state is WorkerState.READY
                else worker.entry.state)

    def listing(self, worker: KnownWorker) -> WorkerListing:
        """The worker as the dispatcher needs it."""
        entry = worker.entry
        return WorkerListing(entry.worker, self.state(worker), entry.zone, entry.cell, worker.started_at, entry.size)
