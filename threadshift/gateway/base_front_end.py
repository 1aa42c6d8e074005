"""What all front ends have in common: the workers, a link to each, the engine's port to workers, and the timer.

This module takes no decisions. Links belong to worker ids, never to addresses. A subclass makes links of its own
protocol.
"""
from __future__ import annotations

import time
from collections.abc import Collection, Iterable
from itertools import islice
from typing import Any, Protocol

import gevent

from threadshift.conf.values import Address
from threadshift.discovery.registry import WorkerEntry, WorkerList, WorkerRegistry
from threadshift.engine.engine import PendingRequest, PendingWorkerQuery, RequestEngine
from threadshift.gateway.stall_diagnosis import StallDiagnosis
from threadshift.interface import MS, SECOND, Outcome, WorkerListing, WorkerState
from threadshift.invoke.admission import READING_INTERVAL, Admission
from threadshift.invoke.poll_monitor import CATCH_UP_TIME, STALL_THRESHOLD, PollMonitor
from threadshift.log import Log
from threadshift.memory_budget import MemoryBudget

JOIN_BATCH = 32            # new workers added at a time: some ms of work, also on a part of a core
UPDATE_READ_WAIT = MS      # between two looks whether updates of the worker list that have arrived are read
MAX_STALLS_IN_SERIES = 3   # after which a tick goes on, as an overloaded event loop looks like a stalled one


class AnyLink(Protocol):
    """A link to a worker, of any protocol."""

    address: Address

    @property
    def busy(self) -> bool: ...
    def invoke(self, pending: PendingRequest, number: int, left: int) -> Outcome | None: ...
    def cancel(self, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome: ...
    def withdraw(self, pending: PendingRequest, number: int) -> bool: ...
    def order_load(self, query: PendingWorkerQuery) -> Outcome | None: ...
    def probe(self, query: PendingWorkerQuery) -> Outcome | None: ...
    def withdraw_unsent(self) -> None: ...
    def stop(self) -> None: ...


class BaseFrontEnd:
    """Passes the engine's steps to links, and changes of workers to the engine."""

    engine: RequestEngine
    poll_monitor: PollMonitor
    admission: Admission
    worker_budget: MemoryBudget     # for answers of workers that are received in part

    def __init__(self, registry: WorkerRegistry, log: Log) -> None:
        self.log, self.registry = log, registry
        self.links: dict[str, Any] = {}
        self.joining: dict[str, None] = {}      # workers listed as ready that are still to be added
        self.last_stall_at = 0                  # when a stall of the process was last detected
        self.stalls = self.longest_stall = 0
        self.stall_diagnosis = StallDiagnosis()
        self.lag_read_at = self.gone_workers_checked_at = 0
        self.list_applied_at = 0
        self.is_discovery_lost = False          # the feed is lost or the file unreadable; the last list remains valid

    def make_link(self, entry: WorkerEntry) -> AnyLink:
        """Makes a link to a worker."""
        raise NotImplementedError

    def note(self, event: str, **fields: Any) -> None:
        self.log.note(event, **fields)

    # The engine's port to workers.

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None:
        link = self.links.get(worker)
        left = pending.time_left(time.monotonic_ns())
        if left <= 0:
            return Outcome.NEVER_SENT         # the process stalled since the engine decided on this
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
        """Whether an update of the worker list has arrived that is to be read first; not for long without a break."""
        return False

    def read_updates(self) -> None:
        """Lets updates of the worker list that have arrived be read before anything is sent: they count as known.

        The socket itself is checked, however short the stall was: no time that we measure tells what has arrived.
        Many updates take several reads, between which the event loop polls."""
        while self.has_unread_update():
            gevent.sleep(UPDATE_READ_WAIT / SECOND)

    def catch_up_after_stall(self) -> None:
        """Called before anything that may lead to a send: an answer, a broken connection, a new connection.

        After a stall, messages of workers and disconnects of clients are read first, too, as they may have arrived
        together with the event that is handled now. Without this, an answer that was read first caused a load order
        to a worker whose drain had been announced long before. An overloaded event loop looks like a stalled one, and
        loses at most a fifth of its time by this wait."""
        now = time.monotonic_ns()
        if self.poll_monitor.unread_time(now) >= min(STALL_THRESHOLD, max(CATCH_UP_TIME, self.registry.grace // 2)):
            self.last_stall_at = now
        if now - self.last_stall_at < CATCH_UP_TIME:
            gevent.sleep(CATCH_UP_TIME / SECOND)
        self.read_updates()

    def on_tick(self, now: int, late: int) -> int:
        """Does what is due at a tick, for any protocol. Returns the time afterwards, as it may have waited."""
        computed = self.stall_diagnosis.cpu_time()
        now = self.wait_after_stalls(now, late)
        is_due = self.engine.due() <= now
        if is_due and self.has_unread_update():
            self.engine.answer_overdue(now)
            self.read_updates()
            now = time.monotonic_ns()
        if now - self.lag_read_at >= READING_INTERVAL:
            self.lag_read_at = now
            self.admission.record_lag(now, late, computed)
        if is_due:
            self.engine.tick(now)
        self.apply_changes(self.registry.tick(now))
        if self.joining:
            self.join_workers()
        if now - self.gone_workers_checked_at >= SECOND:
            self.gone_workers_checked_at = now
            self.remove_gone_workers()
            self.log.tick(now)
            self.stall_diagnosis.sample()
        self.stall_diagnosis.on_tick_ended()
        return now

    def wait_after_stalls(self, now: int, late: int) -> int:
        """Waits after a stall, as timeouts may cause sends and updates that arrived meanwhile must be read before.

        Overdue answers do not wait: on a busy machine, each wait may cost the process its core for long.
        Waits again where the process stalls in that wait. Returns the time afterwards."""
        for _ in range(MAX_STALLS_IN_SERIES):
            if late < STALL_THRESHOLD:
                break
            self.stalls += 1
            self.longest_stall = max(self.longest_stall, late)
            self.note("stalled", level="warning", late_ms=late // MS, owed=self.engine.owed,
                      **self.stall_diagnosis.as_fields())
            self.engine.answer_overdue(now)
            waits_until = now + CATCH_UP_TIME
            gevent.sleep(CATCH_UP_TIME / SECOND)
            now = time.monotonic_ns()
            late = now - waits_until
        return now

    # Updates of workers.

    def on_list(self, entries: Collection[WorkerEntry], full: bool) -> None:
        """Applies an update of the worker list, whose changes count as known from now on."""
        self.apply_list(WorkerList(list(entries), full), time.monotonic_ns())

    def apply_list(self, workers: WorkerList, notified_since: int) -> None:
        """Applies an update of the worker list that counts as known since `notified_since`.

        All changes of workers in use are applied before any link is made or ended: a send that is repeated because a
        link ended must not go to a worker that drains according to the same update.

        New workers beyond a few are added by the timer, a batch at a time: each needs its points on the ring, and
        with thousands of them at once requests would wait unread for seconds."""
        now = self.list_applied_at = time.monotonic_ns()
        self.is_discovery_lost = False
        empty_before = self.registry.empty_since
        listings = self.registry.apply(now, time.time_ns(), workers, notified_since)
        if self.registry.empty_since is not None and empty_before is None:
            self.note("roster-empty", level="warning", held_ms=self.registry.grace // 2 // MS)
        listings = self.postpone_new(listings)
        self.apply_listings(listings)
        for link in self.relink(each for each in workers.entries if each.worker not in self.joining):
            link.stop()
        self.withdraw_from_unavailable(listings)
        self.note("list-applied", listed=len(workers.entries), full=workers.full, changed=len(listings),
                  joining=len(self.joining), told_ms=(now - notified_since) // MS if notified_since else None,
                  took_ms=(time.monotonic_ns() - now) // MS)

    def postpone_new(self, listings: list[WorkerListing]) -> list[WorkerListing]:
        """Postpones new workers if they are many; returns the other listings."""
        new = [each.worker for each in listings if each.state is WorkerState.READY and each.worker not in self.links]
        if len(new) <= JOIN_BATCH:
            for each in listings:
                self.joining.pop(each.worker, None)
            return listings
        self.joining.update(dict.fromkeys(new))
        remaining = [each for each in listings if each.state is not WorkerState.READY or each.worker in self.links]
        for each in remaining:
            self.joining.pop(each.worker, None)
        return remaining

    def join_workers(self, limit: int = JOIN_BATCH) -> None:
        """Adds the next new workers."""
        names = list(islice(self.joining, limit))
        for name in names:
            del self.joining[name]
        joined = [each for name in names if (each := self.registry.known.get(name)) is not None]
        self.apply_listings([self.registry.listing(each) for each in joined])
        self.relink(each.entry for each in joined)

    def relink(self, entries: Iterable[WorkerEntry]) -> list[AnyLink]:
        """Makes a link to each listed worker at its current address. Returns the links that these replace."""
        replaced = []
        for entry in entries:
            link = self.links.get(entry.worker)
            if link is not None and link.address != entry.address:
                replaced.append(self.links.pop(entry.worker))
            if entry.worker not in self.links and entry.state is not WorkerState.GONE:
                self.links[entry.worker] = self.make_link(entry)
        return replaced

    def apply_changes(self, listings: list[WorkerListing]) -> None:
        """Applies changes of workers that need no new link."""
        self.apply_listings(listings)
        self.withdraw_from_unavailable(listings)

    def apply_listings(self, listings: list[WorkerListing]) -> None:
        """Passes changes of workers to the engine."""
        if listings:
            self.engine.update_workers(time.monotonic_ns(), listings, full=False)

    def withdraw_from_unavailable(self, listings: list[WorkerListing]) -> None:
        """Withdraws what is still to be sent to workers to which nothing more may be sent."""
        for each in listings:
            if each.state is not WorkerState.READY and each.worker in self.links:
                self.links[each.worker].withdraw_unsent()

    def remove_gone_workers(self) -> None:
        """Ends links to workers that are gone, once nothing waits for an answer from them.

        Updates of the worker list may be applied while a link is stopped, as that may switch to another greenlet."""
        for name in list(self.registry.gone):
            link = self.links.get(name)
            if link is not None and name in self.registry.gone and not link.busy:
                del self.links[name]
                link.stop()
        self.registry.forget(time.monotonic_ns(), self.links)
