"""One front end on the platform: an engine with its listener, links to workers, coordinator's stream and timer.

This module connects these parts and makes no decisions itself. run() returns after an orderly shutdown.
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
from threadshift.conf.settings import InvalidInput
from threadshift.coordinator.events import ListUpdate
from threadshift.coordinator.stream import CoordinatorStream
from threadshift.engine.engine import RequestEngine
from threadshift.fastcgi.listener import FastCgiListener
from threadshift.frames import pool
from threadshift.frames.link import Link
from threadshift.gateway.base_front_end import BaseFrontEnd
from threadshift.interface import MS, SECOND, WorkerListing
from threadshift.invoke.admission import Admission
from threadshift.links.sockets import listener
from threadshift.log import Log
from threadshift.memory_budget import MemoryBudget
from threadshift.node import front_end_config
from threadshift.node.descriptors import Descriptors
from threadshift.node.shutdown import Shutdown, Stage
from threadshift.node.front_end_config import FrontEndConfig
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry
from threadshift.timer import ticks

TICK = 5 * MS                    # of the timer; a deadline between two ticks gets a tick of its own
SIGNAL_TIME = MS                 # for handling a signal that arrived while the first worker list was applied
STATE_LOG_INTERVAL = 10 * SECOND
FIRST_LIST_TIMEOUT = 4 * SECOND  # for a list with a worker in it: finding a lost coordinator may take as long


class Node(BaseFrontEnd):
    """A front end on the platform. It owns every greenlet of the process."""

    def __init__(self, config: FrontEndConfig, environment: Mapping[str, str], log: Log):
        # All start times in the list come from one clock.
        super().__init__(WorkerRegistry(config.deployment.drain_grace, same_start_tolerance=0), log)
        now = time.monotonic_ns()
        self.known_updates, self.config = config.known_updates, config._replace(known_updates=())
        self.environment = environment
        self.link_settings, self.link_settings_for = config.link_settings(0), 0    # and for how many workers they are
        self.worker_connections = 0                      # open and dialled ones
        self.total_dials = 0                             # since the start
        self.open_connections: dict[Link, int] = {}      # of the links that have any, dials included
        rng = random.Random(config.seed)
        self.chance, self.random_bits = rng.random, rng.getrandbits
        types = {each.name: each for each in config.deployment.types}
        self.admission = Admission(min(each.target_latency for each in types.values()))
        self.descriptors = Descriptors(config.max_sockets)
        self.listener = FastCgiListener(
            lambda: self.descriptors.client_limit(self.worker_connections), config.max_activations, types,
            config.deployment.max_retry_after, self.admission, self, self.note, self.chance,
            MemoryBudget(config.client_bytes), config.max_used_ids, config.longest_answer)
        self.poll_monitor, self.worker_budget = self.listener.poll_monitor, MemoryBudget(config.worker_bytes)
        dispatcher = Dispatcher(rng.getrandbits(63), config.deployment, now)
        dispatcher.load_ration.assume_predecessor(now)
        self.engine = self.listener.engine = RequestEngine(dispatcher, self, self.listener, config.load_timeout)
        self.coordinator = CoordinatorStream(config.coordinator, self.on_list_update, self.on_coordinator_lost,
                                             self.note, self.chance)
        self.shutdown = Shutdown(max(each.action_timeout for each in types.values()))
        self.greenlets = Group()
        self.listening_socket: socket.socket | None = None
        self.join_duration = 0       # ns that applying the configuration's worker list took
        self.list_complete = False   # the first list has been received, or its timeout has passed
        self.ready_deadline = 0      # when it becomes ready even without a coordinator's answer or without workers

    # Workers.

    @property
    def ready_workers(self) -> int:
        return len(self.engine.dispatcher.ready_workers)

    def make_link(self, entry: WorkerEntry) -> Link:
        return Link(entry.worker, entry.address, self.link_settings, self, self.chance, self.random_bits)

    def apply_listings(self, listings: list[WorkerListing]) -> None:
        super().apply_listings(listings)
        if self.ready_workers != self.link_settings_for:
            self.link_settings_for = self.ready_workers
            self.link_settings = self.config.link_settings(self.ready_workers)

    @property
    def listed_workers(self) -> int:
        """The number of workers that are not gone, including those that are still to be joined."""
        return len(self.registry.known) - len(self.registry.gone)

    def dials_ahead(self) -> bool:
        """Tells whether connections are dialled before anything waits for them."""
        return self.descriptors.dials_ahead(self.listed_workers)

    def connection_opened(self, link: Link) -> None:
        self.worker_connections += 1
        self.total_dials += 1
        self.open_connections[link] = self.open_connections.get(link, 0) + 1

    def connection_closed(self, link: Link) -> None:
        self.worker_connections -= 1
        self.open_connections[link] -= 1
        if not self.open_connections[link]:
            del self.open_connections[link]

    def make_room_for_connection(self, wanted: bool) -> bool:
        """Tells whether there is a descriptor for a connection to a worker, whose dial is counted already.

        Other connections are closed for it only where this one is wanted for something that waits."""
        others = self.worker_connections - 1
        if self.descriptors.has_room_for_worker(len(self.listener.connections), others, self.listed_workers):
            return True
        if not wanted:
            return False
        if self.descriptors.clients_must_yield(len(self.listener.connections)) and self.listener.make_room():
            return True
        links = {connection: link for link in self.open_connections for connection in link.connections}
        if (closed := pool.choose_connection_to_close(links)) is None:
            return False
        links[closed].close_connection(closed)
        return True

    def has_unread_update(self) -> bool:
        return self.coordinator.has_unread_data()

    def on_list_update(self, update: ListUpdate) -> None:
        """Applies an update of the worker list."""
        now = time.monotonic_ns()
        self.apply_list(update.workers,
                        self.coordinator.freshness.notified_since(now, self.poll_monitor.unread_time(now)))

    def on_coordinator_lost(self) -> None:
        self.is_discovery_lost = True

    def list_is_stale(self) -> bool:
        """Tells whether the worker list is still that of the configuration, which is as old as the process.

        The front end counts as notified of workers that have drained since then, so nothing is sent before the
        coordinator has answered. There is a timeout, as otherwise no front end would serve without a coordinator."""
        if self.list_complete:
            return False
        answered = self.coordinator.freshness.answered or time.monotonic_ns() >= self.ready_deadline
        self.list_complete = answered and not self.joining
        if self.list_complete:
            received = self.coordinator.freshness.answered
            self.note("serving", level="info" if received else "warning", received=received,
                      workers=self.ready_workers, last_event=self.coordinator.sequence.last)
        return not self.list_complete

    def ready(self) -> bool:
        """Tells whether the health check succeeds.

        It waits for a late or empty worker list, but not without end: otherwise a whole fleet would never start."""
        return self.listening_socket is not None and not self.shutdown.requested_at and not self.list_is_stale() and (
            bool(self.engine.dispatcher.ready_workers) or time.monotonic_ns() >= self.ready_deadline)

    # Signals.

    def end(self) -> None:
        """Begins the shutdown; the handler of SIGTERM and SIGINT."""
        now = time.monotonic_ns()
        if not self.shutdown.requested_at:
            self.shutdown.begin(now)
            self.engine.shorten_deadlines(now, self.shutdown.answer_deadline)

    def reload(self) -> None:
        """Applies the updates and the coordinator of a changed configuration file; the handler of SIGHUP.

        An invalid file changes nothing."""
        try:
            config = front_end_config.read_config(self.environment)
        except InvalidInput as problem:
            self.note("reload-refused", level="error", problem=str(problem))
            return
        self.config = self.config._replace(coordinator=config.coordinator)
        self.coordinator.apply_known(config.known_updates)
        self.coordinator.move(config.coordinator)
        self.note("reloaded", coordinator=str(config.coordinator))

    # Running.

    def run(self) -> None:
        """Serves until a shutdown is requested and all requests are answered. Raises OSError if it cannot listen."""
        self.greenlets.spawn(self.coordinator.run)    # before the links dial, since requests wait for it
        self.join_known_workers()
        gevent.sleep(SIGNAL_TIME / SECOND)
        if self.shutdown.requested_at:          # before any request could be accepted
            self.stop_all()
            return
        sock = listener(self.config.listen, shared=False)
        self.listener.poll_monitor.start()
        self.listening_socket, self.ready_deadline = sock, time.monotonic_ns() + FIRST_LIST_TIMEOUT
        self.greenlets.spawn(self.listener.accept, sock)
        self.note("started", listen=str(self.config.listen), pid=os.getpid(), workers=len(self.links),
                  last_event=self.coordinator.sequence.last, prepared_ms=self.join_duration // MS)
        self.run_timer(lambda: self.stage() not in (Stage.RUNNING, Stage.ACCEPTING))
        self.listener.closing = True    # the socket stays open: late requests get a refusal instead of a reset
        self.note("draining", owed=self.engine.owed, connections=len(self.listener.connections))
        self.run_timer(lambda: self.stage() is Stage.DONE)
        self.listener.end(sock)
        self.stop_all()

    def stop_all(self) -> None:
        """Stops all links and greenlets."""
        for link in self.links.values():
            link.stop()
        self.greenlets.kill()
        self.listener.poll_monitor.stop()
        self.note("ended", **self.state())

    def join_known_workers(self) -> None:
        """Applies the worker list of the configuration.

        This takes a while for thousands of workers, and a request counts as accepted once the operating system has
        accepted its connection. So it happens before the listening socket is opened."""
        since = time.monotonic_ns()
        self.coordinator.apply_known(self.known_updates)
        self.known_updates = ()
        self.join_workers(len(self.joining))
        self.join_duration = time.monotonic_ns() - since

    def stage(self) -> Stage:
        """The current stage of the shutdown."""
        return self.shutdown.stage(time.monotonic_ns(), self.engine.owed + self.listener.under_way)

    def run_timer(self, is_done: Callable[[], bool]) -> None:
        """Does what is due at every tick of the process's only timer, until it is done."""
        logged_at = 0
        for now, late in ticks(TICK, is_done, self.engine.due):
            now = self.on_tick(now, late)
            self.listener.tick(now)
            if now - logged_at >= STATE_LOG_INTERVAL:
                logged_at = now
                self.note("state", **self.state())

    def state(self) -> dict[str, Any]:
        """Counts and sizes, as the fields of one log line."""
        dispatcher, now = self.engine.dispatcher, time.monotonic_ns()
        self.listener.memory_budget.measure()       # what was written since the last report is held no more
        workers = dispatcher.workers.values()
        return {"owed": self.engine.owed, "held": len(self.engine.requests),
                "connections": len(self.listener.connections),
                "held_kb": self.listener.memory_budget.used >> 10, "gave_way": self.listener.memory_budget.evictions,
                "worker_kb": self.worker_budget.used >> 10, "workers_gave_way": self.worker_budget.evictions,
                "flying": len(dispatcher.in_flight), "links": len(self.links),
                "up": sum(link.up for link in self.open_connections),
                "worker_connections": self.worker_connections, "dialled_in_all": self.total_dials,
                "ready": len(dispatcher.ready_workers), "suspended": sum(it.suspended_until > now for it in workers),
                "functions": len(dispatcher.functions), "roster_lost": self.is_discovery_lost,
                "longest_unread_ms": self.listener.take_longest_unread() // MS,
                "lag_ms": round(self.admission.smoothed_lag / MS, 1), "part": round(self.admission.refused_share, 3),
                "stalls": self.stalls, "longest_stall_ms": self.longest_stall // MS,
                "turned_away": self.listener.refusal_counters.totals(), "counts": dict(self.engine.counts)}
