"""What clients ask for on a day: every first try with its time, drawn from a seed. Free of I/O.

Arrivals are an open loop: they come whether or not the service keeps up. Troubles of clients (burst, hot_key,
heavy_tail, scan, give_up, shift) act here; those of machines in orders.py.
"""
from __future__ import annotations

import bisect
import random
from collections.abc import Iterator
from itertools import accumulate
from typing import NamedTuple

from threadshift.days.day import Day, Traffic, Trouble
from threadshift.interface import MS, NamespaceType, Tenant

ANY = -1                   # a front end that the router chose
HINT_LEAST = 0.2           # a hint is never below this part of the work


class Try(NamedTuple):
    """One call that a client makes."""

    at: int              # ns after the day's start
    mark: str
    front: int
    function: str
    type: NamespaceType
    traffic: Traffic
    left: int
    tenant: str
    work: int            # what it really takes
    hint: int            # what its client says
    deferred: bool
    quits_after: int     # ns; 0: it waits for its answer
    chain: int = 0       # calls that follow, each once the one before it has completed


def follower(it: Try) -> Try:
    """The next call of a chain: a new call of the same function."""
    return it._replace(mark=f"{it.mark}c", chain=it.chain - 1)


def in_force(day: Day, kind: str, at: int) -> Trouble | None:
    return next((each for each in day.troubles if each.kind == kind and each.at <= at < each.at + each.length), None)


class Popularity:
    """Function names by a Zipf law."""

    def __init__(self, traffic: Traffic):
        self.names = [f"{traffic.name}-{n:03d}" for n in range(traffic.functions)]
        self.sums = list(accumulate(1 / (n + 1) ** traffic.zipf for n in range(traffic.functions)))

    def draw(self, point: float, drifted: int = 0) -> str:
        """`drifted`: by how many ranks all names have moved down."""
        rank = bisect.bisect(self.sums, point * self.sums[-1])
        return self.names[(rank - drifted) % len(self.names)]


def tries(day: Day, seed: int) -> Iterator[Try]:
    """All first tries in order of time; the same for the same day and seed."""
    it = random.Random(f"traffic {seed}")
    rates = [each.rate for each in day.traffic]
    names = {each.name: Popularity(each) for each in day.traffic}
    types = {each.name: each for each in day.told.deployment.types}
    at, number = 0.0, 0
    while True:
        burst = in_force(day, "burst", int(at))
        at += it.expovariate(sum(rates) * (burst.times if burst else 1)) * 1e9
        if at >= day.length:
            return
        number += 1
        traffic = it.choices(day.traffic, rates)[0]
        yield one_try(day, it, int(at), f"t{number}", traffic, types[traffic.type], names[traffic.name])


def one_try(day: Day, it: random.Random, at: int, mark: str, traffic: Traffic, type_: NamespaceType,
            names: Popularity) -> Try:
    # Every draw is made whatever troubles are on, so that a trouble changes nothing but what it is about.
    point, size, hint, patience, defer, quit_, leave, who, place, special, pick = (it.random() for _ in range(11))
    function = names.draw(point, at // traffic.drift if traffic.drift else 0)
    if (hot := in_force(day, "hot_key", at)) and special < hot.share:
        function = f"{traffic.name}-hot"
    elif (scan := in_force(day, "scan", at)) and special < scan.share:
        function = f"{traffic.name}-once-{mark}"
    work = traffic.work * (0.5 + size)
    if (heavy := in_force(day, "heavy_tail", at)) and pick < heavy.share:
        work *= heavy.times
    left = type_.action_timeout * (traffic.left_least + (1 - traffic.left_least) * patience)
    if (hasty := in_force(day, "give_up", at)) and pick < hasty.share:
        left /= hasty.times
    front = int(place ** day.uneven * day.front_ends)
    if (shift := in_force(day, "shift", at)) and special < shift.share:
        front = shift.front
    told = work * max(HINT_LEAST, 1 + traffic.hint_error * (2 * hint - 1))
    return Try(at, mark, front, function, type_, traffic, int(left // MS * MS),
               tenant(day.told.deployment.tenants, who), int(work), int(told // MS * MS),
               defer < traffic.deferred, int(left * leave) if quit_ < traffic.quits else 0,
               traffic.chain if defer < traffic.deferred else 0)


def tenant(tenants: tuple[Tenant, ...], point: float) -> str:
    """By shares; what is left over belongs to nobody."""
    sums = list(accumulate(each.share for each in tenants))
    place = bisect.bisect(sums, point)
    return tenants[place].name if place < len(tenants) else ""
