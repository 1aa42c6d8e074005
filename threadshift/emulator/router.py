"""Route announcements on the virtual clock: the real announcer of each front end, and a simulated router.

Only the effects of BGP sessions are simulated: routes reach the router after a network delay; a process that ends
loses its routes at once, and a suspended one loses them after the hold time and announces them again when it resumes.
"""
from __future__ import annotations

import ipaddress
from collections.abc import Callable
from typing import Any

from threadshift.bgp.announce import ServiceHealth
from threadshift.bgp.announcer import Announcer, ServiceAddress
from threadshift.bgp.drain import Drain, Stage
from threadshift.bgp.path import Path
from threadshift.bgp.standing import Standing
from threadshift.days.fault_scenario import RouterSettings
from threadshift.days.play import FIRST_AS, SERVICE
from threadshift.emulator.clock import Clock
from threadshift.emulator.front import ModelFront
from threadshift.gateway.fitness import fitness
from threadshift.gateway.recent_calls import ConnectionRate, RecentCalls
from threadshift.gateway.service_announcer import CHECK_INTERVAL
from threadshift.interface import SECOND
from threadshift.standins.router import Router

RECONNECT_DELAY = SECOND   # until a lost session is established again; the shortest pause after a failure
PREFIX = ipaddress.ip_network(SERVICE)


class ModelServiceAnnouncer:
    """The announcements of one front end process, and its session with the router."""

    def __init__(self, clock: Clock, front: ModelFront, router: ModelRouter, n: int):
        self.clock, self.front, self.router, self.n = clock, front, router, n
        self.drain = Drain()
        self.hop = ipaddress.ip_address(f"127.{1 + n // 65025}.{n // 255 % 255}.{n % 255 + 1}")
        self.announcer = Announcer(FIRST_AS + n, [self.hop], [ServiceAddress(PREFIX)], self.drain, front.random,
                                   clock.now)
        self.recent = RecentCalls({each.name: each.utility for each in front.day.config.deployment.types})
        self.arrivals = ConnectionRate()
        self.announced: Path | None = None
        self.tick()

    def tick(self) -> None:
        front, now = self.front, self.clock.now
        if not front.alive:
            return
        if front.backlog is None:
            self.drain.tick(now, self.arrivals.per_second(now), self.arrivals.last, True)
            self.announcer.tick(now, self.health(now), lambda prefix: self.router.reflected(self.n))
            self.announce(self.announcer.routes(False).get(PREFIX))
            if self.drain.stage is Stage.DONE:
                front.close()
        self.clock.after(CHECK_INTERVAL, self.tick)

    def announce(self, path: Path | None) -> None:
        if path != self.announced:
            self.announced = path
            self.clock.after(self.router.delay(), self.router.on_route, self, path)

    def health(self, now: int) -> ServiceHealth:
        """The health signs as in gateway/service_announcer.py; workers count as connected unless a dial failed."""
        front = self.front
        return ServiceHealth(
            listening=not front.closing, loop_lag=int(front.admission.smoothed_lag),
            **fitness(front.engine.dispatcher, front.is_linked, now)._asdict(),
            calls_per_second=self.recent.per_second(now), refused_share=front.admission.refused_share,
            call_stats=self.recent.call_stats(now), drain=self.drain.standing)

    def set_operator_override(self, standing: Standing | None) -> None:
        self.announcer.set_override(PREFIX, standing)


class ModelRouter:
    """Selects routes like the stand-in router, and directs new connections after the convergence delay."""

    def __init__(self, clock: Clock, settings: RouterSettings, delay: Callable[[], int], note: Callable[..., Any]):
        self.clock, self.settings, self.delay, self.note = clock, settings, delay, note
        self.routes: dict[int, Path] = {}        # front end: the path that it announces
        self.sessions: dict[int, ModelServiceAnnouncer] = {}    # front end: its established session
        self.hops: dict[int, int] = {}           # next hop: front end
        self.best: list[Path] = []
        self.steers: list[int] = []
        self.connection_count = 0

    def on_route(self, session: ModelServiceAnnouncer, path: Path | None) -> None:
        if not session.front.alive or session.front.backlog is not None and (
                self.sessions.get(session.n) is not session):
            return
        self.sessions[session.n] = session
        self.hops[int(session.hop)] = session.n
        if path is None:
            self.routes.pop(session.n, None)
        else:
            self.routes[session.n] = path
        self.select()

    def on_session_lost(self, session: ModelServiceAnnouncer) -> None:
        """Removes a session and its routes."""
        if self.sessions.get(session.n) is session:
            del self.sessions[session.n]
            self.routes.pop(session.n, None)
            self.select()

    def on_hold_time_over(self, session: ModelServiceAnnouncer) -> None:
        """Ends the session of a front end that is still suspended."""
        if session.front.backlog is not None:
            self.on_session_lost(session)

    def on_resumed(self, session: ModelServiceAnnouncer) -> None:
        """Announces the route again if the session was lost while the front end was suspended."""
        if self.sessions.get(session.n) is not session and session.front.alive:
            session.announced = None
            self.clock.after(RECONNECT_DELAY, session.announce, self.wanted_path(session))

    @staticmethod
    def wanted_path(session: ModelServiceAnnouncer) -> Path | None:
        return session.announcer.routes(False).get(PREFIX)

    def select(self) -> None:
        if self.settings.steer == "routes":
            best = Router.best_paths(list(self.routes.values()))
        else:                                    # baselines: established sessions, or all front ends
            known = sorted(self.hops) if self.settings.steer == "static" else sorted(
                int(session.hop) for session in self.sessions.values())
            best = [Path(ipaddress.ip_address(hop)) for hop in known]
        if best != self.best:
            self.best = best
            self.note("chosen", routes={SERVICE: [str(path.next_hop) for path in best]})
            self.clock.after(self.settings.converge, self.take_effect,
                             [self.hops[int(path.next_hop)] for path in best])

    def take_effect(self, fronts: list[int]) -> None:
        self.steers = fronts

    def reflected(self, to: int) -> list[Path]:
        """The best route of all others, as the router announces it to one front end."""
        return Router.best_paths([path for n, path in self.routes.items() if n != to])[:1]

    def steer(self) -> int | None:
        """The front end for a new connection, round robin; None where there is no route."""
        self.connection_count += 1
        return self.steers[self.connection_count % len(self.steers)] if self.steers else None

