"""One front end process: listeners, links, roster and the one timer around an engine.

Nothing here decides. run() returns once the front end was told to end and has drained, or its time for that is up.
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
from threadshift.engine import previous_process
from threadshift.engine.engine import RequestEngine
from threadshift.errors import ThreadshiftError
from threadshift.gateway.admin import Admin
from threadshift.gateway.base_front_end import BaseFrontEnd
from threadshift.gateway.recent_calls import ConnectionRate, RecentCalls
from threadshift.gateway.service_announcer import ServiceAnnouncer
from threadshift.interface import MS, SECOND
from threadshift.invoke.admission import Admission
from threadshift.invoke import requests
from threadshift.invoke.api import PAUSE_OF, Invoke, busy
from threadshift.invoke.deferred import InMemoryStore
from threadshift.invoke.http import Application, Connection, TimeoutMonitor, serialize
from threadshift.invoke.shares import weights
from threadshift.links.codec import Frame
from threadshift.links.link import Link
from threadshift.links.sockets import accept_connections, listener
from threadshift.log import Log, exception_fields
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry
from threadshift.discovery.sources import FeedSource, WatchedFile
from threadshift.storage.journal import Taken
from threadshift.timer import ticks

JOIN = 50 * MS             # between two tries to open what the front end that is replaced still holds
ROOM_WAIT = 2 * MS         # for connections that make room to end: two rounds of the loop
OPERATORS = 32             # connections at the operators' listener; clients cannot take these, nor one operator all
FULL = [serialize(requests.problem_response(
    busy(503, "too-many-connections", "the limit of connections is reached", pause)), keep_alive=False)
        for pause in PAUSE_OF]


class FrontEnd(BaseFrontEnd):
    """Carries steps to links and answers to the engine; owns every greenlet of the process."""

    def __init__(self, told: GatewayConfig, index: int, log: Log, seed: int | None = None, disk: Any = None,
                 version: str = "", ready: Callable[[], None] = lambda: None):
        """`version` is what of the installation's rollouts it runs; ready() is called once it serves."""
        super().__init__(WorkerRegistry(told.deployment.drain_grace), log)
        now = time.monotonic_ns()
        self.told, self.index = told, index
        self.name = told.front_end(index)
        chance = random.Random(seed if seed is not None else random.SystemRandom().getrandbits(63))
        self.chance = chance.random
        bounds = told.bounds
        self.own = Address(told.listen[0].host, told.own_ports + index) if told.own_ports else None
        weight = weights(told.deployment.tenants)
        self.deferred_calls = InMemoryStore(bounds.deferred, bounds.results, bounds.keep_results, weight)
        self.admission = Admission(min(each.target_latency for each in told.deployment.types), weight)
        self.timeout_monitor = TimeoutMonitor()
        self.api = Invoke(told, self.name, f"http://{self.own}" if self.own else "", self.deferred_calls,
                          self.admission, log, self.status, weight)
        self.poll_monitor, self.api.read_updates = self.api.poll_monitor, self.read_updates
        dispatcher = Dispatcher(chance.getrandbits(63), told.deployment, now)
        previous_process.count_free_orders_as_given(dispatcher, told.deployment, now)
        self.engine = self.api.engine = RequestEngine(dispatcher, self, self.api, bounds.load_order)
        self.listeners: list[socket.socket] = []
        self.connections = Group()
        self.operators = Group()
        self.full = cycle(FULL)
        self.greenlets = Group()
        self.feed: FeedSource | None = None     # where the list of workers comes over the network
        self.ending = False
        self.recent = RecentCalls({each.name: each.utility for each in told.deployment.types})
        self.api.recent = self.recent
        self.arrivals = ConnectionRate()
        self.service_announcer = ServiceAnnouncer(self) if told.announcing else None
        self.replicated_services: Any = None        # what it holds in common with others, once that could be opened
        self.disk, self.version, self.ready = disk, version, ready
        self.started = now

    def join_in(self) -> None:
        """Opens what is held in common with others. Until that is possible this front end serves without: the one
        that it replaces may still hold the files, or they are not to be read."""
        from threadshift.gateway.replicated_services import ReplicatedServices     # only where peers are configured
        said, peering = "", self.told.peering
        while self.replicated_services is None and peering is not None and not self.ending:
            try:
                it = ReplicatedServices(self, peering, self.version, self.disk)
                it.start()
                self.replicated_services = it
                for link in self.links.values():
                    link.extension = it.eviction_service
                self.note("joined-in", version=self.version)
                return
            except ThreadshiftError as problem:
                waits, told = isinstance(problem, Taken), problem.as_fields()
            except OSError as problem:
                waits, told = problem.errno == errno.EADDRINUSE, {"problem": str(problem)}
            if not waits and said != told["problem"]:
                said = told["problem"]
                self.note("not-joined-in", level="error", **told)
            gevent.sleep((JOIN if waits else 20 * JOIN) / SECOND)

    def listening(self, address: Address, shared: bool) -> socket.socket:
        """A listener. Where this front end replaces another, its address may be free only in a moment."""
        until = time.monotonic_ns() + (self.told.bounds.drain if self.told.peering is not None else 0)
        while True:
            try:
                return listener(address, shared)
            except OSError as problem:
                if problem.errno != errno.EADDRINUSE or time.monotonic_ns() >= until or self.ending:
                    raise
            gevent.sleep(JOIN / SECOND)

    def serve_at(self, address: Address, accept: Callable[[socket.socket], None]) -> None:
        with suppress(OSError):
            sock = self.listening(address, shared=False)
            self.listeners.append(sock)
            accept(sock)

    # What links and the roster tell.

    def on_hello(self, worker: str, hello: Frame) -> str:
        """A worker's hello; what is wrong with it, if anything."""
        if hello["name"] != worker:
            return f"this is {worker}'s address, and you are {hello['name'][:64]!r}"
        started = hello.get("started", 0)
        if not isinstance(started, int) or started < 0:
            return "'started' is not a time"
        self.change(self.registry.on_hello(time.monotonic_ns(), time.time_ns(), worker, started))
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
        self.change(listings)

    def link(self, it: WorkerEntry) -> Link:
        return Link(it.worker, it.address, self.told.bounds, self.name, self.told.deployment.zone, self, self.chance,
                    self.replicated_services.eviction_service if self.replicated_services is not None else None)

    def note(self, event: str, **fields: Any) -> None:
        if event in ("roster-lost", "roster-unreadable"):
            self.roster_lost = True
        super().note(event, **fields)

    # Running.

    def run(self) -> None:
        """Serves until end() was called and what is held has its answers."""
        shared = self.told.front_ends > 1 or self.told.peering is not None
        self.api.poll_monitor.start()
        for address in self.told.listen:
            sock = listener(address, shared)
            self.listeners.append(sock)
            self.greenlets.spawn(self.accept, sock)
        if self.own and self.told.peering is not None:
            self.greenlets.spawn(self.serve_at, self.own, self.accept)
        elif self.own:
            sock = listener(self.own, shared=False)
            self.listeners.append(sock)
            self.greenlets.spawn(self.accept, sock)
        if isinstance(self.told.roster_at, Address):
            self.feed = FeedSource(self.told.roster_at, self.name, self.told.bounds, self, self.chance)
            self.greenlets.spawn(self.feed.run)
        else:
            self.greenlets.spawn(WatchedFile(str(self.told.roster_at), self).run)
        if self.told.admin is not None:
            at = self.told.admin
            at = at if at.path else Address(at.host, at.port + self.index)
            admin = Admin(self)
            if self.told.peering is not None:
                self.greenlets.spawn(self.serve_at, at, lambda sock: self.accept_admin(sock, admin))
            else:
                self.greenlets.spawn(self.accept_admin, listener(at, shared=False), admin)
        if self.service_announcer is not None:
            self.service_announcer.start()
        if self.told.peering is not None:
            self.greenlets.spawn(self.join_in)
        self.ready()
        self.note("started", listen=[str(each) for each in self.told.listen], pid=os.getpid())
        self.keep_time(lambda: self.ending)
        self.drain()

    def end(self) -> None:
        """Asks run() to drain and return; from any greenlet or signal."""
        self.ending = True

    def accept(self, sock: socket.socket) -> None:
        for client in accept_connections(sock, self.note):
            self.arrivals.record(time.monotonic_ns())
            if len(self.connections) >= self.told.bounds.connections:
                # Who holds connections and asks nothing makes room for who asks.
                self.timeout_monitor.make_room(time.monotonic_ns())
                gevent.sleep(ROOM_WAIT / SECOND)
            if len(self.connections) >= self.told.bounds.connections:
                self.api.refusal_counters.record(time.monotonic_ns(), "too-many-connections")
                with suppress(OSError):
                    client.settimeout(0)
                    client.send(next(self.full))
                client.close()
                continue
            if not sock.family == socket.AF_UNIX:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.spawn(self.converse, client, self.api,
                                   self.api.poll_monitor.unread_time(time.monotonic_ns()))

    def accept_admin(self, sock: socket.socket, admin: Admin) -> None:
        """Operators' connections: with a bound of their own, so that a flood of clients does not lock them out."""
        for client in accept_connections(sock, self.note):
            if len(self.operators) < OPERATORS:
                self.operators.spawn(self.converse, client, admin)
            else:
                client.close()

    def converse(self, client: socket.socket, application: Application, unread: int = 0) -> None:
        """One client's connection. What fails in it is a fault of ours, logged, and ends it alone."""
        try:
            Connection(client, application, self.told.bounds, self.timeout_monitor, unread).serve()
        except Exception as fault:
            cause = fault.__context__ or fault      # a parser wraps what its callbacks raise
            self.note("fault", level="error", **exception_fields(cause))

    def keep_time(self, over: Callable[[], bool]) -> None:
        """The one timer: every tick, what is due; how late it comes tells how busy or stalled the process is.

        A fault in what it calls is ours, and ends the process loudly: half a front end is worse than none."""
        for now, late in ticks(self.told.deployment.tick, over):
            now = self.on_tick(now, late)
            self.timeout_monitor.tick(now)
            self.api.tick(now)
            if self.replicated_services is not None:
                self.replicated_services.tick(now)
            if self.service_announcer is not None:
                self.service_announcer.tick(now)

    def drain(self) -> None:
        """No new calls; what is held gets its answers; then the end, within the stated time."""
        self.note("draining", owed=self.engine.owed, connections=len(self.connections))
        if self.service_announcer is not None:
            # Routes first: what still arrives by them is answered until routers have converged.
            self.service_announcer.leave(time.monotonic_ns())
            self.keep_time(self.service_announcer.left)
        self.api.closing = True
        for sock in self.listeners:
            sock.close()
        if self.replicated_services is not None:
            self.replicated_services.leave()
        until = time.monotonic_ns() + self.told.bounds.drain
        self.keep_time(lambda: not self.engine.owed or time.monotonic_ns() >= until)
        gevent.sleep(2 * self.told.deployment.tick / SECOND)     # the last answers leave their connections
        if self.replicated_services is not None:
            gevent.sleep(self.replicated_services.leaving / SECOND)
            self.replicated_services.stop()
        if self.service_announcer is not None:
            self.service_announcer.speaker.stop("drained")
        for link in self.links.values():
            link.stop()
        self.connections.kill()
        self.operators.kill()
        self.greenlets.kill()
        self.api.poll_monitor.stop()
        self.api.log_refusals(time.monotonic_ns(), flush=True)
        self.note("ended", owed=self.engine.owed, turned_away=self.api.refusal_counters.totals(),
                  **{key.replace(" ", "_"): n for key, n in self.engine.counts.items()})

    def reload(self) -> None:
        """Reads the file again; takes over what may change while running, and says what may not."""
        try:
            new = gateway_config.read(self.told.file)
        except ConfigurationError as problem:
            self.note("reload-refused", level="error", problem=str(problem))
            return
        taken, kept = gateway_config.compare_for_reload(self.told, new)
        self.told = gateway_config.apply_reload(self.told, new)
        self.api.reload(self.told)
        bounds = self.told.bounds
        self.deferred_calls.pending.limit, self.deferred_calls.answer_bytes.limit, self.deferred_calls.keep_time = (
            bounds.deferred, bounds.results, bounds.keep_results)
        self.note("reloaded", taken=taken, needs_restart=kept)

    def status(self) -> dict[str, Any]:
        """What this front end knows of itself, for GET /v1/status."""
        now = time.monotonic_ns()
        believed = self.engine.dispatcher.workers
        return {
            "front-end": self.name, "pid": os.getpid(), "up-s": round((now - self.started) / SECOND, 3),
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
            "roster": {"kind": self.told.roster_kind,
                       "age-s": (round((now - self.list_applied_at) / SECOND, 3) if self.list_applied_at
                                 else None)},
            "workers": {name: {
                "state": self.registry.state(one).value, "zone": one.entry.zone,
                "link": bool(name in self.links and self.links[name].up),
                "in-flight": len(believed[name].sends) if name in believed else 0,
                "suspended-ms": max(0, believed[name].suspended_until - now) // MS if name in believed else 0,
                "pace": round(believed[name].relative_latency, 3) if name in believed else 0,
                "copies-believed": sum(until > now for until in believed[name].warm_until.values())
                if name in believed else 0,
            } for name, one in sorted(self.registry.known.items())},
        }
