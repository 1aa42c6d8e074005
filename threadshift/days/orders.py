"""Turns the faults of a scenario into timed orders to processes, drawn from a seed. Free of I/O.

An order names its receiver: a worker by name, 'store', 'roster', 'workers' (all of them) or 'front-N'. Words that
begin with '!' are actions of the scenario's runner on that process: kill, start again, stop, continue and so on.
"""
from __future__ import annotations

import random
from typing import NamedTuple

from threadshift.days.fault_scenario import Fault, FaultScenario
from threadshift.interface import MS, SECOND

# ns until the roster shows that a process has started or ended; it knows nothing else of it.
ROSTER_DELAY = 700 * MS


class FaultOrder(NamedTuple):
    """One order: when it is given, to whom, and its words."""

    at: int              # ns after the scenario's start
    who: str
    words: str


def worker_zones(scenario: FaultScenario) -> dict[str, str]:
    """The names of the workers with their zones; workers are spread over the zones in turn."""
    return {f"w{n}": scenario.fleet.zones[n % len(scenario.fleet.zones)] for n in range(scenario.fleet.workers)}


def format_seconds(ns: int) -> str:
    return f"{ns / SECOND:.3f}s"


def draw_orders(scenario: FaultScenario, seed: int) -> list[FaultOrder]:
    """All orders of the scenario in order of time."""
    found = []
    for number, fault in enumerate(scenario.faults):
        found += orders_of(scenario, fault, random.Random(f"orders {seed} {number}"))
    return sorted(found, key=lambda order: order.at)


def orders_of(scenario: FaultScenario, fault: Fault, chance: random.Random) -> list[FaultOrder]:
    """The orders that make up one fault; none for a fault of clients, which traffic.py applies."""
    workers = worker_zones(scenario)
    count = (max(1, round(fault.workers * len(workers))) if fault.workers < 1
             else min(int(fault.workers), len(workers)))
    chosen = chance.sample(sorted(workers), count)
    length = format_seconds(fault.length)
    if fault.kind == "zone_loss":
        chosen = [name for name, zone in workers.items() if zone == fault.zone]
    elif fault.kind == "deploy" and fault.workers == 1:
        chosen = sorted(workers)
    per_worker = {"hang": f"hang {length}", "slow": f"slow {length} {fault.times}", "stall": f"stall {length}",
                  "break_after_run": f"break-after-run {length}", "break_mid_frame": f"break-mid-frame {length}"}
    if fault.kind in per_worker:
        return [FaultOrder(fault.at, name, per_worker[fault.kind]) for name in chosen]
    if fault.kind in ("crash", "zone_loss"):
        return [order for name in chosen for order in crash(name, fault.at, fault.length)]
    if fault.kind == "preempt":
        # The worker gets notice first, then its machine is taken away; the replacement starts cold.
        notice = fault.length // 3
        return [order for name in chosen for order in
                (FaultOrder(fault.at, "roster", f"state {name} draining"),
                 *crash(name, fault.at + notice, fault.length - notice))]
    if fault.kind == "deploy":
        step = fault.length // (len(chosen) + 1)
        return [order for n, name in enumerate(chosen) for order in restart(name, fault.at + n * step, 2 * SECOND)]
    if fault.kind == "drain":
        return [order for name in chosen for order in
                (FaultOrder(fault.at, name, "drain"),
                 FaultOrder(fault.at + ROSTER_DELAY, "roster", f"state {name} draining"),
                 FaultOrder(fault.at + fault.length, name, "!renew"))]
    if fault.kind == "flush":
        return [FaultOrder(fault.at, "store", "release"), FaultOrder(fault.at, "workers", "flush")]
    if fault.kind == "report_late":
        return [FaultOrder(fault.at, "workers", f"lie {length}"),
                FaultOrder(fault.at, "roster", f"late {length} {fault.times}")]
    if fault.kind == "zone_cut":
        return [FaultOrder(fault.at, name, f"cut {length}") for name, zone in workers.items() if zone == fault.zone]
    if fault.kind in ("store_refuse", "store_slow", "store_corrupt"):
        amount = {"store_refuse": fault.share, "store_slow": fault.times, "store_corrupt": 1}[fault.kind]
        return [FaultOrder(fault.at, "store", f"{fault.kind.removeprefix('store_')} {length} {amount}")]
    if fault.kind == "balancer_stall":
        return [FaultOrder(fault.at, f"front-{fault.front}", "!stop"),
                FaultOrder(fault.at + min(fault.length, 2 * SECOND), f"front-{fault.front}", "!go-on")]
    if fault.kind in ("front_kill", "herd"):       # one; or a share of all, killed and started again at once
        killed = [fault.front] if fault.kind == "front_kill" else chance.sample(
            range(scenario.front_ends), max(1, round(fault.share * scenario.front_ends)))
        return [order for n in sorted(killed) for order in
                (FaultOrder(fault.at, f"front-{n}", "!kill"),
                 FaultOrder(fault.at + fault.length, f"front-{n}", "!renew"))]
    if fault.kind == "front_drain":
        return [FaultOrder(fault.at, f"front-{fault.front}", "!drain"),
                FaultOrder(fault.at + fault.length, f"front-{fault.front}", "!renew")]
    if fault.kind == "upgrade":
        # Every front end in turn is drained, then started again.
        step = fault.length // scenario.front_ends
        return [order for n in range(scenario.front_ends) for order in
                (FaultOrder(fault.at + n * step, f"front-{n}", "!drain"),
                 FaultOrder(fault.at + n * step + min(step // 2, 4 * SECOND), f"front-{n}", "!renew"))]
    if fault.kind == "reload":
        return [FaultOrder(fault.at, f"front-{n}", "!reload") for n in range(scenario.front_ends)]
    if fault.kind == "override" and scenario.router is not None:
        return [FaultOrder(fault.at, f"front-{fault.front}", "!say withdraw"),
                FaultOrder(fault.at + fault.length, f"front-{fault.front}", "!say auto")]
    return []


def crash(name: str, at: int, length: int) -> list[FaultOrder]:
    """A worker is killed, and started again after this length."""
    return [FaultOrder(at, name, "!kill"), FaultOrder(at + ROSTER_DELAY, "roster", f"state {name} gone"),
            FaultOrder(at + length, name, "!renew")]


def restart(name: str, at: int, wait: int) -> list[FaultOrder]:
    """A worker is drained, killed after this wait and started again."""
    return [FaultOrder(at, name, "drain"), FaultOrder(at + ROSTER_DELAY // 2, "roster", f"state {name} draining"),
            *crash(name, at + wait, SECOND)]
