"""The workers of one front end: who they are, a link to each, the engine's port to them, and the timer's beat.

Nothing here decides. Links belong to worker ids, never to addresses. A subclass makes links of its own protocol.
"""
from __future__ import annotations

import time
from collections.abc import Collection, Iterable
from itertools import islice
from typing import Any, Protocol

import gevent

from threadshift.conf.values import Address
from threadshift.engine.engine import PendingWorkerQuery, PendingRequest, RequestEngine
from threadshift.interface import MS, SECOND, WorkerListing, Outcome, WorkerState
from threadshift.invoke.admission import READING_INTERVAL, Admission
from threadshift.invoke.poll_monitor import CATCH_UP_TIME, STALL_THRESHOLD, PollMonitor
from threadshift.log import Log
from threadshift.discovery.registry import WorkerEntry, WorkerList, WorkerRegistry


JOIN_BATCH = 32            # new workers taken in at a time: some ms of work, also on a part of a core
READ_ROUND, READ_ROUNDS = MS, 10    # waits for arrived news to be read, and how many; a flood of it never ends


class AnyLink(Protocol):
    """What a link of any protocol does."""

    address: Address

    @property
    def busy(self) -> bool: ...
    def invoke(self, pending: PendingRequest, number: int, left: int) -> Outcome | None: ...
    def cancel(self, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome: ...
    def withdraw(self, pending: PendingRequest, number: int) -> bool: ...
    def order_load(self, asked: PendingWorkerQuery) -> Outcome | None: ...
    def probe(self, asked: PendingWorkerQuery) -> Outcome | None: ...
    def withdraw_unsent(self) -> None: ...
    def stop(self) -> None: ...


class BaseFrontEnd:
    """Carries the engine's steps to links, and word of workers to the engine."""

    engine: RequestEngine
    poll_monitor: PollMonitor
    admission: Admission

    def __init__(self, registry: WorkerRegistry, log: Log) -> None:
        self.log, self.registry = log, registry
        self.links: dict[str, Any] = {}
        self.joining: dict[str, None] = {}      # workers listed as ready that are still to be taken in
        self.last_stall_at = 0           # when it was last seen that the process had stood still
        self.stalls = self.longest_stall = 0
        self.lag_read_at = self.gone_workers_checked_at = 0
        self.list_applied_at = 0
        self.roster_lost = False         # the feed is lost or the file unreadable: the last list stands

    def link(self, it: WorkerEntry) -> AnyLink:
        """A new link to a worker."""
        raise NotImplementedError

    def note(self, event: str, **fields: Any) -> None:
        self.log.note(event, **fields)

    # The engine's port to workers.

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None:
        link = self.links.get(worker)
        left = pending.time_left(time.monotonic_ns())
        if left <= 0:
            return Outcome.NEVER_SENT         # the process stood still since this was decided
        return Outcome.UNREACHABLE if link is None else link.invoke(pending, number, left)

    def cancel(self, worker: str, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome:
        link = self.links.get(worker)
        return Outcome.CANCELLED if link is None else link.cancel(pending, number, notify_worker)

    def withdraw(self, worker: str, pending: PendingRequest, number: int) -> bool:
        link = self.links.get(worker)
        return link is not None and link.withdraw(pending, number)

    def order_load(self, worker: str, query: PendingWorkerQuery) -> Outcome | None:
        link = self.links.get(worker)
        return Outcome.UNREACHABLE if link is None else link.order_load(query)

    def probe(self, worker: str, query: PendingWorkerQuery) -> Outcome | None:
        link = self.links.get(worker)
        return Outcome.UNREACHABLE if link is None else link.probe(query)

    def has_unread_update(self) -> bool:
        """Whether news of the roster has arrived and is not read yet."""
        return False

    def read_updates(self) -> None:
        """Lets the roster's news that has arrived be read before anything is sent on: it counts as told already.

        The socket itself is asked, however short the stall: no time of ours tells what lies there."""
        for _ in range(READ_ROUNDS):
            if not self.has_unread_update():
                return
            gevent.sleep(READ_ROUND / SECOND)

    def catch_up_after_stall(self) -> None:
        """Called before anything that may lead to a send: an answer, a break, a connection that came up.

        After a stall, what workers said themselves and that clients are gone is read first, too: it may lie beside
        what came now. (Found by a hunt: an answer read first brought a load order to a worker long told of as
        draining.) A loop at its limit looks like one that stalled, and loses a fifth of its time by this at most."""
        now = time.monotonic_ns()
        if self.poll_monitor.unread_time(now) >= min(STALL_THRESHOLD, max(CATCH_UP_TIME, self.registry.grace // 2)):
            self.last_stall_at = now
        if now - self.last_stall_at < CATCH_UP_TIME:
            gevent.sleep(CATCH_UP_TIME / SECOND)
        self.read_updates()

    def on_tick(self, now: int, late: int) -> int:
        """What one tick of the timer brings, whatever the protocols; the time after it, as it may wait a moment."""
        if late >= STALL_THRESHOLD:
            self.stalls += 1
            self.longest_stall = max(self.longest_stall, late)
            self.note("stalled", level="warning", late_ms=late // MS, owed=self.engine.owed)
            # Time alone may send again: not before the roster's word that came meanwhile is read.
            gevent.sleep(CATCH_UP_TIME / SECOND)
            now = time.monotonic_ns()
        due = self.engine.due() <= now
        if due and self.has_unread_update():
            self.read_updates()
            now = time.monotonic_ns()
        if now - self.lag_read_at >= READING_INTERVAL:
            self.lag_read_at = now
            self.admission.record_lag(now, late)
        if due:
            self.engine.tick(now)
        self.change(self.registry.tick(now))
        if self.joining:
            self.join_workers()
        if now - self.gone_workers_checked_at >= SECOND:
            self.gone_workers_checked_at = now
            self.remove_gone_workers()
            self.log.tick(now)
        return now

    # What the roster tells.

    def on_list(self, entries: Collection[WorkerEntry], full: bool) -> None:
        """News that counts as told as it is read."""
        self.apply_list(WorkerList(list(entries), full), time.monotonic_ns())

    def apply_list(self, workers: WorkerList, notified_since: int) -> None:
        """All that was told at once of workers in use is known before any link is made or ended: what a link's end
        lets be sent again must not go to a worker that the same news says drains.

        New workers beyond a few are taken in by the timer, a batch at a time: each costs its points on the ring, and
        with thousands of them at once requests would wait unread for seconds."""
        now = self.list_applied_at = time.monotonic_ns()
        self.roster_lost = False
        before = self.registry.empty_since
        listings = self.registry.apply(now, time.time_ns(), workers, notified_since)
        if self.registry.empty_since is not None and before is None:
            self.note("roster-empty", level="warning", held_ms=self.registry.grace // 2 // MS)
        listings = self.postpone_new(listings)
        self.apply_listings(listings)
        for link in self.relink(each for each in workers.entries if each.worker not in self.joining):
            link.stop()
        self.take_back(listings)
        self.note("list-applied", listed=len(workers.entries), full=workers.full, changed=len(listings),
                  joining=len(self.joining), told_ms=(now - notified_since) // MS if notified_since else None,
                  took_ms=(time.monotonic_ns() - now) // MS)

    def postpone_new(self, listings: list[WorkerListing]) -> list[WorkerListing]:
        """Puts off new workers where they are many; the listings that are left."""
        new = [each.worker for each in listings if each.state is WorkerState.READY and each.worker not in self.links]
        if len(new) <= JOIN_BATCH:
            for each in listings:
                self.joining.pop(each.worker, None)
            return listings
        self.joining.update(dict.fromkeys(new))
        left = [each for each in listings if each.state is not WorkerState.READY or each.worker in self.links]
        for each in left:
            self.joining.pop(each.worker, None)
        return left

    def join_workers(self, most: int = JOIN_BATCH) -> None:
        """Takes in the next new workers."""
        names = list(islice(self.joining, most))
        for name in names:
            del self.joining[name]
        joined = [one for name in names if (one := self.registry.known.get(name)) is not None]
        self.apply_listings([self.registry.listing(one) for one in joined])
        self.relink(one.entry for one in joined)

    def relink(self, entries: Iterable[WorkerEntry]) -> list[AnyLink]:
        """A link to each listed worker, at the address that the roster has now; the links that these replace."""
        replaced = []
        for it in entries:
            link = self.links.get(it.worker)
            if link is not None and link.address != it.address:
                replaced.append(self.links.pop(it.worker))
            if it.worker not in self.links and it.state is not WorkerState.GONE:
                self.links[it.worker] = self.link(it)
        return replaced

    def change(self, listings: list[WorkerListing]) -> None:
        """Workers changed without a link to be made or replaced."""
        self.apply_listings(listings)
        self.take_back(listings)

    def apply_listings(self, listings: list[WorkerListing]) -> None:
        """Hands what changed to the decisions."""
        if listings:
            self.engine.update_workers(time.monotonic_ns(), listings, full=False)

    def take_back(self, listings: list[WorkerListing]) -> None:
        """Ends what waits to leave for workers to which nothing more may go."""
        for each in listings:
            if each.state is not WorkerState.READY and each.worker in self.links:
                self.links[each.worker].withdraw_unsent()

    def remove_gone_workers(self) -> None:
        """Ends links to workers that are gone, once nothing waits for them."""
        for name in self.registry.gone:
            link = self.links.get(name)
            if link is not None and not link.busy:
                del self.links[name]
                link.stop()
        self.registry.forget(time.monotonic_ns(), self.links)
