"""The calls that clients make in a fault scenario: every first call with its time, drawn from a seed. Free of I/O.

Arrivals are an open loop: they come whether or not the service keeps up. Faults of clients (burst, hot_key,
heavy_tail, scan, give_up, shift) are applied here; those of processes and machines are in orders.py.
"""
from __future__ import annotations

import bisect
import random
from collections.abc import Iterator
from itertools import accumulate
from typing import NamedTuple

from threadshift.days.fault_scenario import Fault, FaultScenario, Traffic, function_name
from threadshift.interface import MS, NamespaceType, Tenant

ANY_FRONT_END = -1         # as the number of a front end: the one that the router chooses
MIN_HINT = 0.2             # share of the work below which a hint never is


class ClientCall(NamedTuple):
    """One call that a client makes."""

    at: int              # ns after the scenario's start
    mark: str            # names the call in the records; its idempotency key
    front: int
    function: str
    type: NamespaceType
    traffic: Traffic
    left: int            # ns, the call's time left
    tenant: str
    work: int            # ns, what it takes in fact
    hint: int            # ns, what its client says that it takes
    deferred: bool
    quits_after: int     # ns; 0: it waits for its answer
    chain: int = 0       # calls that follow, each once the one before it has completed


def next_in_chain(it: ClientCall) -> ClientCall:
    """The next call of a chain: a new call of the same function."""
    return it._replace(mark=f"{it.mark}c", chain=it.chain - 1)


def active_fault(scenario: FaultScenario, kind: str, at: int) -> Fault | None:
    """The first fault of this kind that is under way at this time."""
    return next((each for each in scenario.faults
                 if each.kind == kind and each.at <= at < each.at + each.length), None)


class Popularity:
    """Function names, drawn by a Zipf law."""

    def __init__(self, traffic: Traffic):
        self.names = [function_name(traffic.name, n) for n in range(traffic.functions)]
        self.sums = list(accumulate(1 / (n + 1) ** traffic.zipf for n in range(traffic.functions)))

    def draw(self, point: float, drifted: int = 0) -> str:
        """The name at a random point from 0 to 1; all names have moved down by `drifted` ranks."""
        rank = bisect.bisect(self.sums, point * self.sums[-1])
        return self.names[(rank - drifted) % len(self.names)]


def client_calls(scenario: FaultScenario, seed: int) -> Iterator[ClientCall]:
    """All first calls in order of time; the same for the same scenario and seed."""
    chance = random.Random(f"traffic {seed}")
    rates = [each.rate for each in scenario.traffic]
    names = {each.name: Popularity(each) for each in scenario.traffic}
    types = {each.name: each for each in scenario.config.deployment.types}
    at, number = 0.0, 0
    while True:
        burst = active_fault(scenario, "burst", int(at))
        at += chance.expovariate(sum(rates) * (burst.times if burst else 1)) * 1e9
        if at >= scenario.length:
            return
        number += 1
        traffic = chance.choices(scenario.traffic, rates)[0]
        yield draw_call(scenario, chance, int(at), f"t{number}", traffic, types[traffic.type], names[traffic.name])


def draw_call(scenario: FaultScenario, chance: random.Random, at: int, mark: str, traffic: Traffic,
              type_: NamespaceType, names: Popularity) -> ClientCall:
    """Draws one call, as the faults that are under way at its time change it."""
    # All random numbers are drawn whichever faults are active, so that a fault changes nothing beside its own effect.
    point, size, hint, patience, defer, quit_, leave, who, place, special, pick = (chance.random() for _ in range(11))
    function = names.draw(point, at // traffic.drift if traffic.drift else 0)
    if (hot := active_fault(scenario, "hot_key", at)) and special < hot.share:
        function = f"{traffic.name}-hot"
    elif (scan := active_fault(scenario, "scan", at)) and special < scan.share:
        function = f"{traffic.name}-once-{mark}"
    work = traffic.work * (0.5 + size)
    if (heavy := active_fault(scenario, "heavy_tail", at)) and pick < heavy.share:
        work *= heavy.times
    left = type_.action_timeout * (traffic.left_least + (1 - traffic.left_least) * patience)
    if (hasty := active_fault(scenario, "give_up", at)) and pick < hasty.share:
        left /= hasty.times
    front = int(place ** scenario.uneven * scenario.front_ends)
    if (shift := active_fault(scenario, "shift", at)) and special < shift.share:
        front = shift.front
    hinted_work = work * max(MIN_HINT, 1 + traffic.hint_error * (2 * hint - 1))
    return ClientCall(at, mark, front, function, type_, traffic, int(left // MS * MS),
                      choose_tenant(scenario.config.deployment.tenants, who), int(work), int(hinted_work // MS * MS),
                      defer < traffic.deferred, int(left * leave) if quit_ < traffic.quits else 0,
                      traffic.chain if defer < traffic.deferred else 0)


def choose_tenant(tenants: tuple[Tenant, ...], point: float) -> str:
    """The tenant at a random point from 0 to 1, by shares; empty in the part that no tenant has."""
    sums = list(accumulate(each.share for each in tenants))
    place = bisect.bisect(sums, point)
    return tenants[place].name if place < len(tenants) else ""
