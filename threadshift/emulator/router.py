"""Announcements on the virtual clock: each front end's real announcer, and a router that chooses among routes.

Sessions are modelled by their effect: routes reach the router after a network delay; a process that ends loses its
routes at once, one that stands still loses them after the hold time and tells them again once it goes on.
"""
from __future__ import annotations

import ipaddress
from collections.abc import Callable
from typing import Any

from threadshift.bgp.announce import Signs, Standing
from threadshift.bgp.announcer import Announcer, ServiceAddress
from threadshift.bgp.drain import Drain, Stage
from threadshift.bgp.path import Path
from threadshift.days.fault_scenario import RouterSettings
from threadshift.days.play import FIRST_AS, SERVICE
from threadshift.emulator.clock import Clock
from threadshift.emulator.front import ModelFront
from threadshift.gateway.fitness import fitness
from threadshift.gateway.recent_calls import ConnectionRate, RecentCalls
from threadshift.gateway.service_announcer import CHECK_INTERVAL
from threadshift.interface import SECOND
from threadshift.standins.router import Router

AGAIN = SECOND             # until a session that was lost stands again; the least pause after a failure
PREFIX = ipaddress.ip_network(SERVICE)


class ModelHall:
    """The announcements of one front end's life."""

    def __init__(self, clock: Clock, front: ModelFront, router: ModelRouter, n: int):
        self.clock, self.front, self.router, self.n = clock, front, router, n
        self.drain = Drain()
        self.hop = ipaddress.ip_address(f"127.{1 + n // 65025}.{n // 255 % 255}.{n % 255 + 1}")
        self.announcer = Announcer(FIRST_AS + n, [self.hop], [ServiceAddress(PREFIX)], self.drain, front.chance,
                                   clock.now)
        self.recent = RecentCalls({each.name: each.utility for each in front.day.config.deployment.types})
        self.arrivals = ConnectionRate()
        self.told: Path | None = None
        self.tick()

    def tick(self) -> None:
        front, now = self.front, self.clock.now
        if not front.alive:
            return
        if front.backlog is None:
            self.drain.tick(now, self.arrivals.per_second(now), self.arrivals.last, True)
            self.announcer.tick(now, self.signs(now), lambda prefix: self.router.reflected(self.n))
            self.tell(self.announcer.wanted(False).get(PREFIX))
            if self.drain.stage is Stage.DONE:
                front.close()
        self.clock.after(CHECK_INTERVAL, self.tick)

    def tell(self, path: Path | None) -> None:
        if path != self.told:
            self.told = path
            self.clock.after(self.router.delay(), self.router.heard, self, path)

    def signs(self, now: int) -> Signs:
        """As gateway/service_announcer.py gathers them; connections to workers stand unless a dial just failed."""
        front = self.front
        return Signs(
            listening=not front.closing, lag=int(front.admission.smoothed_lag),
            **fitness(front.engine.dispatcher, front.linked, now)._asdict(),
            asked_per_s=self.recent.per_second(now), refused=front.admission.refused_share,
            service=self.recent.service(now), drain=self.drain.standing)

    def say(self, standing: Standing | None) -> None:
        """The operator's word."""
        self.announcer.say(PREFIX, standing)


class ModelRouter:
    """Chooses as the stand-in router does, and steers each new connection after its convergence delay."""

    def __init__(self, clock: Clock, told: RouterSettings, delay: Callable[[], int], note: Callable[..., Any]):
        self.clock, self.it, self.delay, self.note = clock, told, delay, note
        self.routes: dict[int, Path] = {}        # front end: what it announces
        self.halls: dict[int, ModelHall] = {}    # the session that stands with each front end
        self.hops: dict[int, int] = {}           # next hop: front end
        self.best: list[Path] = []
        self.steers: list[int] = []
        self.turn = 0

    def heard(self, hall: ModelHall, path: Path | None) -> None:
        if not hall.front.alive or hall.front.backlog is not None and self.halls.get(hall.n) is not hall:
            return
        self.halls[hall.n] = hall
        self.hops[int(hall.hop)] = hall.n
        if path is None:
            self.routes.pop(hall.n, None)
        else:
            self.routes[hall.n] = path
        self.choose()

    def lost(self, hall: ModelHall) -> None:
        """Its session ended."""
        if self.halls.get(hall.n) is hall:
            del self.halls[hall.n]
            self.routes.pop(hall.n, None)
            self.choose()

    def silent(self, hall: ModelHall) -> None:
        """The hold time is over for one that stood still since."""
        if hall.front.backlog is not None:
            self.lost(hall)

    def goes_on(self, hall: ModelHall) -> None:
        """A front end that stood still reads again; where its session was lost it tells its route anew."""
        if self.halls.get(hall.n) is not hall and hall.front.alive:
            hall.told = None
            self.clock.after(AGAIN, hall.tell, self.wanted(hall))

    @staticmethod
    def wanted(hall: ModelHall) -> Path | None:
        return hall.announcer.wanted(False).get(PREFIX)

    def choose(self) -> None:
        if self.it.steer == "routes":
            best = Router.choose(list(self.routes.values()))
        else:                                    # baselines: whether a session stands, or nothing at all
            known = sorted(self.hops) if self.it.steer == "static" else sorted(
                int(hall.hop) for hall in self.halls.values())
            best = [Path(ipaddress.ip_address(hop)) for hop in known]
        if best != self.best:
            self.best = best
            self.note("chosen", routes={SERVICE: [str(path.next_hop) for path in best]})
            self.clock.after(self.it.converge, self.take_effect, [self.hops[int(path.next_hop)] for path in best])

    def take_effect(self, fronts: list[int]) -> None:
        self.steers = fronts

    def reflected(self, to: int) -> list[Path]:
        """The best of what others announce, as one front end hears it."""
        return Router.choose([path for n, path in self.routes.items() if n != to])[:1]

    def steer(self) -> int | None:
        """The front end that a new connection goes to, None where no route stands."""
        self.turn += 1
        return self.steers[self.turn % len(self.steers)] if self.steers else None

