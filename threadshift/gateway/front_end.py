"""One front end process: listeners, links, worker discovery and a timer around a request engine.

This module takes no decisions. run() returns once end() was called and the front end has drained, or the time for
that is up.
"""
from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable
from contextlib import suppress
from itertools import cycle
from typing import Any

import gevent
from gevent import socket
from gevent.pool import Group

from threadshift.choice import Dispatcher
from threadshift.conf import gateway_config
from threadshift.conf.gateway_config import GatewayConfig
from threadshift.conf.reading import ConfigurationError
from threadshift.conf.values import Address
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry
from threadshift.discovery.sources import FeedSource, WatchedFile
from threadshift.engine.engine import RequestEngine
from threadshift.errors import ThreadshiftError
from threadshift.gateway.admin import Admin
from threadshift.gateway.base_front_end import BaseFrontEnd
from threadshift.gateway.memory_limit import memory_limit
from threadshift.gateway.recent_calls import ConnectionRate, RecentCalls
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.admission import Admission
from threadshift.invoke.api import RETRY_DELAYS, InvokeApi, rejection
from threadshift.invoke.deferred import InMemoryStore
from threadshift.invoke.http import Application, Connection, TimeoutMonitor, serialize
from threadshift.invoke.input_age import InputAge
from threadshift.invoke.shares import weights
from threadshift.links.codec import Frame
from threadshift.links.link import Link
from threadshift.links.sockets import accept_connections, listener
from threadshift.log import Log, exception_fields
from threadshift.memory_budget import CALLS_DIVISOR, CLIENTS_DIVISOR, WORKERS_DIVISOR, AdmittedBytes, MemoryBudget
from threadshift.storage.journal import JournalInUse
from threadshift.timer import NEVER, ticks

COPIES_OF_A_BODY = 3                 # of a pending call: its client's, in a frame to a worker, and as it is packed
TAKEOVER_RETRY_INTERVAL = 50 * MS    # between tries to open what the front end that is replaced still holds
TAKEOVER_TIME = SECOND               # after it is ready, until the front end that it replaces orders no more loads
OPEN_RETRY_FACTOR = 20               # times that interval, after errors that do not come from a takeover
EVICTION_WAIT = 2 * MS               # for connections that make room to end: two iterations of the event loop
# Connections of operators have a limit of their own, so that clients cannot use them up; a single operator does not
# need as many.
MAX_ADMIN_CONNECTIONS = 32
FULL_RESPONSES = [serialize(requests.problem_response(
    rejection(503, "too-many-connections", "the limit of connections is reached", delay)), keep_alive=False)
                  for delay in RETRY_DELAYS]


class FrontEnd(BaseFrontEnd):
    """Connects the request engine with clients, workers and peers; owns every greenlet of the process."""

    def __init__(self, config: GatewayConfig, index: int, log: Log, seed: int | None = None, disk: Any = None,
                 version: str = "", ready: Callable[[], None] = lambda: None, memory_bytes: int | None = None,
                 replaces_running: bool = False):
        """`version` names the rollouts that it runs with; ready() is called once it serves. With `replaces_running`
        another process of this front end goes on until then.

        `memory_bytes` is what this process may use; by default its part of what the machine allows."""
        super().__init__(WorkerRegistry(config.deployment.drain_grace), log)
        now = time.monotonic_ns()
        self.config, self.index = config, index
        self.name = config.front_end(index)
        generator = random.Random(seed if seed is not None else random.SystemRandom().getrandbits(63))
        self.chance = generator.random
        bounds = config.bounds
        self.own_address = Address(config.listen[0].host, config.own_ports + index) if config.own_ports else None
        tenant_weights = weights(config.deployment.tenants)
        self.deferred_calls = InMemoryStore(bounds.deferred, bounds.results, bounds.keep_results, tenant_weights)
        self.admission = Admission(min(each.target_latency for each in config.deployment.types), tenant_weights)
        memory = memory_limit() // config.front_ends if memory_bytes is None else memory_bytes
        self.timeout_monitor = TimeoutMonitor(MemoryBudget(memory // CLIENTS_DIVISOR))
        self.worker_budget = MemoryBudget(memory // WORKERS_DIVISOR)
        self.api = InvokeApi(config, self.name, f"http://{self.own_address}" if self.own_address else "",
                             self.deferred_calls, self.admission, log, self.status, tenant_weights,
                             AdmittedBytes(memory // CALLS_DIVISOR // COPIES_OF_A_BODY))
        self.poll_monitor, self.api.read_updates = self.api.poll_monitor, self.read_updates
        dispatcher = Dispatcher(generator.getrandbits(63), config.deployment, now)
        self.replaces_running = replaces_running
        dispatcher.load_ration.assume_predecessor(NEVER if replaces_running else now)
        self.engine = self.api.engine = RequestEngine(dispatcher, self, self.api, bounds.load_order)
        self.listeners: list[socket.socket] = []
        self.connections = Group()
        self.admin_connections = Group()
        self.full_responses = cycle(FULL_RESPONSES)
        self.greenlets = Group()
        self.feed: FeedSource | None = None     # if the worker list comes over the network
        self.ending = False
        self.recent_calls = RecentCalls({each.name: each.utility for each in config.deployment.types})
        self.api.call_recorder = self.recent_calls
        self.connection_rate = ConnectionRate()
        self.service_announcer = self.make_service_announcer()
        self.replicated_services: Any = None    # once they could be opened
        self.disk, self.version, self.ready = disk, version, ready
        self.started_at = now

    def make_service_announcer(self) -> Any:
        """The ServiceAnnouncer of this front end; None if it announces nothing."""
        if not self.config.announcing:
            return None
        # Imported only where announcements are configured.
        from threadshift.gateway.service_announcer import ServiceAnnouncer
        return ServiceAnnouncer(self)

    def join_peers(self) -> None:
        """Opens the replicated services. Until that is possible this front end serves without them: the front end
        that it replaces may still hold the files, or the files cannot be read."""
        # Imported only where peers are configured.
        from threadshift.gateway.replicated_services import ReplicatedServices
        logged_problem, peering = "", self.config.peering
        while self.replicated_services is None and peering is not None and not self.ending:
            try:
                services = ReplicatedServices(self, peering, self.version, self.disk)
                services.start()
                self.replicated_services = services
                for link in self.links.values():
                    link.extension = services.eviction_service
                self.note("joined-in", version=self.version)
                return
            except ThreadshiftError as problem:
                is_held, fields = isinstance(problem, JournalInUse), problem.as_fields()
            except OSError as problem:
                is_held, fields = problem.errno == errno.EADDRINUSE, {"problem": str(problem)}
            if not is_held and logged_problem != fields["problem"]:
                logged_problem = fields["problem"]
                self.note("not-joined-in", level="error", **fields)
            gevent.sleep((TAKEOVER_RETRY_INTERVAL if is_held
                          else OPEN_RETRY_FACTOR * TAKEOVER_RETRY_INTERVAL) / SECOND)

    def open_listener(self, address: Address, shared: bool) -> socket.socket:
        """Opens a listener. If this front end replaces another, its address may become free only after a while."""
        until = time.monotonic_ns() + (self.config.bounds.drain if self.config.peering is not None else 0)
        while True:
            try:
                return listener(address, shared)
            except OSError as problem:
                if problem.errno != errno.EADDRINUSE or time.monotonic_ns() >= until or self.ending:
                    raise
            gevent.sleep(TAKEOVER_RETRY_INTERVAL / SECOND)

    def serve_when_free(self, address: Address, accept: Callable[[socket.socket], None]) -> None:
        """Serves at an address as soon as it is free; not at all if it does not become free in time."""
        with suppress(OSError):
            sock = self.open_listener(address, shared=False)
            self.listeners.append(sock)
            accept(sock)

    # Called by links and the source of the worker list.

    def on_hello(self, worker: str, hello: Frame) -> str:
        """Handles a worker's hello. Returns what is wrong with it; empty if nothing is."""
        if hello["name"] != worker:
            return f"this is {worker}'s address, but the worker there is named {hello['name'][:64]!r}"
        started = hello.get("started", 0)
        if not isinstance(started, int) or started < 0:
            return "'started' is not a time"
        self.apply_changes(self.registry.on_hello(time.monotonic_ns(), time.time_ns(), worker, started))
        self.note("link-up", worker=worker, level="debug")
        if hello.get("draining"):
            self.on_draining(worker)
        return ""

    def has_unread_update(self) -> bool:
        return self.feed is not None and self.feed.has_unread_data()

    def on_draining(self, worker: str) -> None:
        listings = self.registry.on_draining(worker)
        if listings:
            self.note("worker-drains", worker=worker)
        self.apply_changes(listings)

    def make_link(self, entry: WorkerEntry) -> Link:
        return Link(entry.worker, entry.address, self.config.bounds, self.name, self.config.deployment.zone, self,
                    self.chance,
                    self.replicated_services.eviction_service if self.replicated_services is not None else None)

    def note(self, event: str, **fields: Any) -> None:
        if event in ("roster-lost", "roster-unreadable"):
            self.is_discovery_lost = True
        super().note(event, **fields)

    # Running.

    def run(self) -> None:
        """Serves until end() was called and pending requests have their answers."""
        shared = self.config.front_ends > 1 or self.config.peering is not None
        self.api.poll_monitor.start()
        for address in self.config.listen:
            sock = listener(address, shared)
            self.listeners.append(sock)
            self.greenlets.spawn(self.accept, sock)
        if self.own_address and self.config.peering is not None:
            self.greenlets.spawn(self.serve_when_free, self.own_address, self.accept)
        elif self.own_address:
            sock = listener(self.own_address, shared=False)
            self.listeners.append(sock)
            self.greenlets.spawn(self.accept, sock)
        if isinstance(self.config.roster_at, Address):
            self.feed = FeedSource(self.config.roster_at, self.name, self.config.bounds, self, self.chance)
            self.greenlets.spawn(self.feed.run)
        else:
            self.greenlets.spawn(WatchedFile(str(self.config.roster_at), self).run)
        if self.config.admin is not None:
            address = self.config.admin
            address = address if address.path else Address(address.host, address.port + self.index)
            admin = Admin(self)
            if self.config.peering is not None:
                self.greenlets.spawn(self.serve_when_free, address, lambda sock: self.accept_admin(sock, admin))
            else:
                self.greenlets.spawn(self.accept_admin, listener(address, shared=False), admin)
        if self.service_announcer is not None:
            self.service_announcer.start()
        if self.config.peering is not None:
            self.greenlets.spawn(self.join_peers)
        self.ready()
        if self.replaces_running:
            self.engine.dispatcher.load_ration.assume_predecessor(time.monotonic_ns() + TAKEOVER_TIME)
        self.note("started", listen=[str(each) for each in self.config.listen], pid=os.getpid())
        self.run_timer(lambda: self.ending)
        self.drain()

    def end(self) -> None:
        """Asks run() to drain and return. May be called from any greenlet or signal handler.

        From here on no loads are ordered, as a process that takes over counts on it."""
        self.ending = True
        self.engine.dispatcher.load_ration.stop()

    def accept(self, sock: socket.socket) -> None:
        """Accepts the connections of clients."""
        age = InputAge(self.api.poll_monitor, time.monotonic_ns())
        for client in accept_connections(sock, self.note, lambda began: age.on_read(began, is_empty=False)):
            self.connection_rate.record(time.monotonic_ns())
            if len(self.connections) >= self.config.bounds.connections:
                # Idle connections are ended to make room for new ones.
                self.timeout_monitor.make_room(time.monotonic_ns())
                gevent.sleep(EVICTION_WAIT / SECOND)
            if len(self.connections) >= self.config.bounds.connections:
                self.api.refusal_counters.record(time.monotonic_ns(), "too-many-connections")
                with suppress(OSError):
                    client.settimeout(0)
                    client.send(next(self.full_responses))
                client.close()
                continue
            if not sock.family == socket.AF_UNIX:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.spawn(self.serve_connection, client, self.api,
                                   InputAge(self.api.poll_monitor, age.received_since))

    def accept_admin(self, sock: socket.socket, admin: Admin) -> None:
        """Accepts operators' connections, with a limit of their own: a flood of clients must not lock them out."""
        for client in accept_connections(sock, self.note):
            if len(self.admin_connections) < MAX_ADMIN_CONNECTIONS:
                self.admin_connections.spawn(self.serve_connection, client, admin)
            else:
                client.close()

    def serve_connection(self, client: socket.socket, application: Application,
                         age: InputAge | None = None) -> None:
        """Serves one connection. An unexpected error in it is a bug: it is logged and ends only this connection."""
        try:
            Connection(client, application, self.config.bounds, self.timeout_monitor, age).serve()
        except Exception as fault:
            cause = fault.__context__ or fault      # the parser wraps errors of its callbacks
            self.note("fault", level="error", **exception_fields(cause))

    def run_timer(self, is_over: Callable[[], bool]) -> None:
        """Runs what is due at every tick, until is_over(). How late a tick comes shows how busy the process is.

        An unexpected error ends the process: a front end that works only in part is worse than none."""
        for now, late in ticks(self.config.deployment.tick, is_over):
            now = self.on_tick(now, late)
            self.timeout_monitor.tick(now)
            self.api.tick(now)
            if self.replicated_services is not None:
                self.replicated_services.tick(now)
            if self.service_announcer is not None:
                self.service_announcer.tick(now)

    def drain(self) -> None:
        """Accepts no new calls, waits for the answers of pending requests for a limited time, and ends."""
        self.note("draining", owed=self.engine.owed, connections=len(self.connections))
        if self.service_announcer is not None:
            # Routes are withdrawn first: calls that still arrive by them are answered until routers have converged.
            self.service_announcer.begin_drain(time.monotonic_ns())
            self.run_timer(self.service_announcer.is_drained)
        self.api.closing = True
        for sock in self.listeners:
            sock.close()
        if self.replicated_services is not None:
            self.replicated_services.leave()
        until = time.monotonic_ns() + self.config.bounds.drain
        self.run_timer(lambda: not self.engine.owed or time.monotonic_ns() >= until)
        gevent.sleep(2 * self.config.deployment.tick / SECOND)     # for the last answers to be written
        if self.replicated_services is not None:
            gevent.sleep(self.replicated_services.handover_time / SECOND)
            self.replicated_services.stop()
        if self.service_announcer is not None:
            self.service_announcer.speaker.stop("drained")
        for link in list(self.links.values()):      # stopping one may let an update of the worker list be applied
            link.stop()
        self.connections.kill()
        self.admin_connections.kill()
        self.greenlets.kill()
        self.api.poll_monitor.stop()
        self.api.log_refusals(time.monotonic_ns(), flush=True)
        self.note("ended", owed=self.engine.owed, turned_away=self.api.refusal_counters.totals(),
                  **{key.replace(" ", "_"): number for key, number in self.engine.counts.items()})

    def reload(self) -> None:
        """Reads the configuration again. Applies what may change while running and logs what needs a restart."""
        try:
            new_config = gateway_config.read(self.config.file)
        except ConfigurationError as problem:
            self.note("reload-refused", level="error", problem=str(problem))
            return
        applied, unapplied = gateway_config.compare_for_reload(self.config, new_config)
        self.config = gateway_config.apply_reload(self.config, new_config)
        self.api.reload(self.config)
        bounds = self.config.bounds
        self.deferred_calls.pending.limit, self.deferred_calls.answer_bytes.limit, self.deferred_calls.keep_time = (
            bounds.deferred, bounds.results, bounds.keep_results)
        self.note("reloaded", taken=applied, needs_restart=unapplied)

    def status(self) -> dict[str, Any]:
        """The state of this front end, for GET /v1/status."""
        now = time.monotonic_ns()
        workers = self.engine.dispatcher.workers
        return {
            "front-end": self.name, "pid": os.getpid(), "up-s": round((now - self.started_at) / SECOND, 3),
            "closing": self.api.closing, "owed": self.engine.owed, "held": len(self.engine.requests),
            "connections": len(self.connections), "counts": dict(sorted(self.engine.counts.items())),
            "refused-at-door": self.admission.refused_count, "refused-part": round(self.admission.refused_share, 3),
            "turned-away": self.api.refusal_counters.totals(),
            "lag-ms": round(self.admission.smoothed_lag / MS, 3), "stalls": self.stalls,
            "longest-stall-ms": self.longest_stall // MS,
            "deferred": {"pending": self.deferred_calls.pending.used, "bytes": self.deferred_calls.answer_bytes.used,
                         "dropped": self.deferred_calls.dropped},
            "announcements": self.service_announcer.status(now) if self.service_announcer is not None else None,
            "together": self.replicated_services.status() if self.replicated_services is not None else None,
            "roster": {"kind": self.config.roster_kind,
                       "age-s": (round((now - self.list_applied_at) / SECOND, 3) if self.list_applied_at
                                 else None)},
            "workers": {name: {
                "state": self.registry.state(worker).value, "zone": worker.entry.zone,
                "link": bool(name in self.links and self.links[name].up),
                "in-flight": len(workers[name].sends) if name in workers else 0,
                "suspended-ms": max(0, workers[name].suspended_until - now) // MS if name in workers else 0,
                "pace": round(workers[name].relative_latency, 3) if name in workers else 0,
                "copies-believed": sum(until > now for until in workers[name].warm_until.values())
                if name in workers else 0,
            } for name, worker in sorted(self.registry.known.items())},
        }
