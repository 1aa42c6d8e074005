"""One front end on the platform: door, links to workers, the coordinator's stream and the one timer around an engine.

Nothing here decides. run() returns once it was told to end and has left in order.
"""
from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import gevent
from gevent import socket
from gevent.pool import Group

from threadshift.choice import Dispatcher
from threadshift.conf.settings import Malformed
from threadshift.coordinator.events import ListUpdate
from threadshift.coordinator.stream import CoordinatorStream
from threadshift.engine import previous_process
from threadshift.engine.engine import RequestEngine
from threadshift.fastcgi.door import Door
from threadshift.frames import pool
from threadshift.frames.link import Link
from threadshift.gateway.fleet import Fleet
from threadshift.interface import MS, SECOND, Listing
from threadshift.invoke.admission import Admission
from threadshift.links.sockets import listener
from threadshift.log import Log
from threadshift.node import placement
from threadshift.node.descriptors import Descriptors
from threadshift.node.leaving import Leaving, Stage
from threadshift.node.placement import Placement
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry
from threadshift.timer import ticks

TICK = 5 * MS              # pace of the timer; what falls due between two ticks has one of its own
SIGNALS_HEARD = MS         # for a signal that came while the list was taken in
TELL = 10 * SECOND         # between two lines on how it goes
LIST_WAIT = 4 * SECOND     # for a list with a worker in it: as long as a lost coordinator may take to be found again


class Node(Fleet):
    """Carries steps to links and answers to the engine; owns every greenlet of the process."""

    def __init__(self, told: Placement, environment: Mapping[str, str], log: Log):
        # Starts are told by one clock.
        super().__init__(WorkerRegistry(told.deployment.drain_grace, same_start=0), log)
        now = time.monotonic_ns()
        self.known, self.told = told.known, told._replace(known=())
        self.environment = environment
        self.bounds, self.bounded_for = told.links(0), 0
        self.dialled = 0                         # connections to workers, those under way included ...
        self.dialled_in_all = 0                  # ... and since the start
        self.connected: dict[Link, int] = {}     # links that have some
        chance = random.Random(told.seed)
        self.chance, self.bits = chance.random, chance.getrandbits
        types = {each.name: each for each in told.deployment.types}
        self.admission = Admission(min(each.target_latency for each in types.values()))
        self.descriptors = Descriptors(told.sockets)
        self.door = Door(lambda: self.descriptors.clients(self.dialled), told.activations, types,
                         told.deployment.longest_advice, self.admission, self, self.note, self.chance)
        self.looks = self.door.looks
        dispatcher = Dispatcher(chance.getrandbits(63), told.deployment, now)
        previous_process.count_free_orders_as_given(dispatcher, told.deployment, now)
        self.engine = self.door.engine = RequestEngine(dispatcher, self, self.door, told.load_order)
        self.coordinator = CoordinatorStream(told.coordinator, self.on_list_update, self.on_coordinator_lost,
                                             self.note, self.chance)
        self.leaving = Leaving(max(each.action_timeout for each in types.values()))
        self.greenlets = Group()
        self.listening: socket.socket | None = None
        self.prepared_in = 0         # ns that the list of the configuration took
        self.list_complete = False   # the first list has been received, or is no longer waited for
        self.ready_by = 0            # from then on it serves without an answer of a coordinator, or without workers

    # Workers.

    @property
    def ready_workers(self) -> int:
        return len(self.engine.dispatcher.fleet)

    def link(self, it: WorkerEntry) -> Link:
        return Link(it.worker, it.address, self.bounds, self, self.chance, self.bits)

    def apply_listings(self, listings: list[Listing]) -> None:
        super().apply_listings(listings)
        if self.ready_workers != self.bounded_for:
            self.bounded_for = self.ready_workers
            self.bounds = self.told.links(self.ready_workers)

    @property
    def listed_workers(self) -> int:
        """All that are not gone, those included that are still to be taken in."""
        return len(self.registry.known) - len(self.registry.gone)

    def dials_ahead(self) -> bool:
        return self.descriptors.dials_ahead(self.listed_workers)

    def connection_opened(self, link: Link) -> None:
        self.dialled += 1
        self.dialled_in_all += 1
        self.connected[link] = self.connected.get(link, 0) + 1

    def connection_closed(self, link: Link) -> None:
        self.dialled -= 1
        self.connected[link] -= 1
        if not self.connected[link]:
            del self.connected[link]

    def room(self, wanted: bool) -> bool:
        """Makes room for a connection to a worker; the dial that asks is counted as one already."""
        others = self.dialled - 1
        if self.descriptors.fits(len(self.door.connections), others, self.listed_workers):
            return True
        if not wanted:
            return False
        if self.descriptors.yields(len(self.door.connections)) and self.door.make_room():
            return True
        idle = {connection: link for link in self.connected for connection in link.connections}
        if (goes := pool.who_goes(idle)) is None:
            return False
        idle[goes].end(goes)
        return True

    def update_unread(self) -> bool:
        return self.coordinator.unread()

    def on_list_update(self, update: ListUpdate) -> None:
        """An event of the coordinator."""
        now = time.monotonic_ns()
        self.apply_list(update.workers, self.coordinator.freshness.told_since(now, self.looks.unread(now)))

    def on_coordinator_lost(self) -> None:
        self.roster_lost = True

    def list_is_stale(self) -> bool:
        """Whether the list is still the one of the configuration, which is as old as the start of this process.

        A worker that drained since then counts as told of all the same, so nothing is sent before the coordinator
        has answered; but not for ever, or no front end would serve while there is none."""
        if self.list_complete:
            return False
        answered = self.coordinator.freshness.answered or time.monotonic_ns() >= self.ready_by
        self.list_complete = answered and not self.joining
        if self.list_complete:
            received = self.coordinator.freshness.answered
            self.note("serving", level="info" if received else "warning", received=received,
                      workers=self.ready_workers, last_event=self.coordinator.sequence.last)
        return not self.list_complete

    def ready(self) -> bool:
        # A list that is late or empty is waited for, not for ever: refused for it, a whole fleet would never start.
        return self.listening is not None and not self.leaving.since and not self.list_is_stale() and (
            bool(self.engine.dispatcher.fleet) or time.monotonic_ns() >= self.ready_by)

    # Signals.

    def end(self) -> None:
        """Told to end; from a signal."""
        now = time.monotonic_ns()
        if not self.leaving.since:
            self.leaving.begin(now)
            self.engine.shorten_deadlines(now, self.leaving.answered)

    def reload(self) -> None:
        """Told of another configuration; from a signal. What is bad leaves the old one in force."""
        try:
            told = placement.read(self.environment)
        except Malformed as problem:
            self.note("reload-refused", level="error", problem=str(problem))
            return
        self.told = self.told._replace(coordinator=told.coordinator)
        self.coordinator.apply_known(told.known)
        self.coordinator.move(told.coordinator)
        self.note("reloaded", coordinator=str(told.coordinator))

    # Running.

    def run(self) -> None:
        """Serves until told to end and what is held has its answers. Raises OSError where it cannot listen."""
        self.greenlets.spawn(self.coordinator.run)    # before the links dial: calls wait for the coordinator's answer
        self.prepare()
        gevent.sleep(SIGNALS_HEARD / SECOND)
        if self.leaving.since:          # told to end before anything could be taken
            self.stop_all()
            return
        sock = listener(self.told.listen, shared=False)
        self.door.looks.start()
        self.listening, self.ready_by = sock, time.monotonic_ns() + LIST_WAIT
        self.greenlets.spawn(self.door.accept, sock)
        self.note("started", listen=str(self.told.listen), pid=os.getpid(), workers=len(self.links),
                  last_event=self.coordinator.sequence.last, prepared_ms=self.prepared_in // MS)
        self.keep_time(lambda: self.stage() not in (Stage.STAYING, Stage.SERVING))
        self.door.closing = True        # the listener stays: who still comes is refused in words, not by a reset
        self.note("draining", owed=self.engine.owed, connections=len(self.door.connections))
        self.keep_time(lambda: self.stage() is Stage.DONE)
        self.door.end(sock)
        self.stop_all()

    def stop_all(self) -> None:
        for link in self.links.values():
            link.stop()
        self.greenlets.kill()
        self.door.looks.stop()
        self.note("ended", **self.state())

    def prepare(self) -> None:
        """Takes in the list of the configuration. With thousands of workers this takes a while, and a request counts
        as taken once the operating system has accepted its connection: so it comes before the listener."""
        since = time.monotonic_ns()
        self.coordinator.apply_known(self.known)
        self.known = ()
        self.join_workers(len(self.joining))
        self.prepared_in = time.monotonic_ns() - since

    def stage(self) -> Stage:
        return self.leaving.stage(time.monotonic_ns(), self.engine.owed + self.door.under_way)

    def keep_time(self, over: Callable[[], bool]) -> None:
        """The one timer: every tick, what is due."""
        told = 0
        for now, late in ticks(TICK, over, self.engine.due):
            now = self.beat(now, late)
            self.door.tick(now)
            if now - told >= TELL:
                told = now
                self.note("state", **self.state())

    def state(self) -> dict[str, Any]:
        """How it goes, for one line of the log."""
        dispatcher, now = self.engine.dispatcher, time.monotonic_ns()
        workers = dispatcher.workers.values()
        return {"owed": self.engine.owed, "held": len(self.engine.requests),
                "connections": len(self.door.connections),
                "flying": len(dispatcher.flying), "links": len(self.links),
                "up": sum(link.up for link in self.connected),
                "worker_connections": self.dialled, "dialled_in_all": self.dialled_in_all,
                "ready": len(dispatcher.fleet), "suspended": sum(it.until > now for it in workers),
                "functions": len(dispatcher.functions), "roster_lost": self.roster_lost,
                "lag_ms": round(self.admission.lag / MS, 1), "part": round(self.admission.part, 3),
                "stalls": self.stalls, "longest_stall_ms": self.longest_stall // MS,
                "turned_away": self.door.tally.totals(), "counts": dict(self.engine.counts)}
