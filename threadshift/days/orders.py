"""What is done to processes on a day: troubles as timed orders, drawn from a seed. Free of I/O.

An order names who it is for: a worker by name, 'store', 'roster', 'workers' (all) or 'front-N'. Words that begin
with '!' are the conductor's own acts on a process: kill, start anew, stop, go on.
"""
from __future__ import annotations

import random
from typing import NamedTuple

from threadshift.days.day import Day, Trouble
from threadshift.interface import MS, SECOND

ROSTER_LATE = 700 * MS     # ns until the roster shows a death or a start; it knows only whether a process runs


class Order(NamedTuple):
    at: int
    who: str
    words: str


def names(day: Day) -> dict[str, str]:
    """Workers of the day with their zones, in turn."""
    return {f"w{n}": day.fleet.zones[n % len(day.fleet.zones)] for n in range(day.fleet.workers)}


def seconds(ns: int) -> str:
    return f"{ns / SECOND:.3f}s"


def orders(day: Day, seed: int) -> list[Order]:
    """All orders of the day in time."""
    found = []
    for number, trouble in enumerate(day.troubles):
        found += of_trouble(day, trouble, random.Random(f"orders {seed} {number}"))
    return sorted(found, key=lambda order: order.at)


def of_trouble(day: Day, it: Trouble, chance: random.Random) -> list[Order]:
    workers = names(day)
    count = max(1, round(it.workers * len(workers))) if it.workers < 1 else min(int(it.workers), len(workers))
    chosen = chance.sample(sorted(workers), count)
    length = seconds(it.length)
    if it.kind == "zone_loss":
        chosen = [name for name, zone in workers.items() if zone == it.zone]
    elif it.kind == "deploy" and it.workers == 1:
        chosen = sorted(workers)
    per_worker = {"hang": f"hang {length}", "slow": f"slow {length} {it.times}", "stall": f"stall {length}",
                  "break_after_run": f"break-after-run {length}", "break_mid_frame": f"break-mid-frame {length}"}
    if it.kind in per_worker:
        return [Order(it.at, name, per_worker[it.kind]) for name in chosen]
    if it.kind in ("crash", "zone_loss"):
        return [order for name in chosen for order in crash(name, it.at, it.length)]
    if it.kind == "preempt":
        # Notice first, then the machine is taken away; its replacement starts cold.
        notice = it.length // 3
        return [order for name in chosen for order in
                (Order(it.at, "roster", f"state {name} draining"), *crash(name, it.at + notice, it.length - notice))]
    if it.kind == "deploy":
        step = it.length // (len(chosen) + 1)
        return [order for n, name in enumerate(chosen) for order in renewed(name, it.at + n * step, 2 * SECOND)]
    if it.kind == "drain":
        return [order for name in chosen for order in
                (Order(it.at, name, "drain"), Order(it.at + ROSTER_LATE, "roster", f"state {name} draining"),
                 Order(it.at + it.length, name, "!renew"))]
    if it.kind == "flush":
        return [Order(it.at, "store", "release"), Order(it.at, "workers", "flush")]
    if it.kind == "report_late":
        return [Order(it.at, "workers", f"lie {length}"), Order(it.at, "roster", f"late {length} {it.times}")]
    if it.kind == "zone_cut":
        return [Order(it.at, name, f"cut {length}") for name, zone in workers.items() if zone == it.zone]
    if it.kind in ("store_refuse", "store_slow", "store_corrupt"):
        amount = {"store_refuse": it.share, "store_slow": it.times, "store_corrupt": 1}[it.kind]
        return [Order(it.at, "store", f"{it.kind.removeprefix('store_')} {length} {amount}")]
    if it.kind == "balancer_stall":
        return [Order(it.at, f"front-{it.front}", "!stop"),
                Order(it.at + min(it.length, 2 * SECOND), f"front-{it.front}", "!go-on")]
    if it.kind in ("front_kill", "herd"):       # one, or so many at once, and all back at once
        killed = [it.front] if it.kind == "front_kill" else chance.sample(
            range(day.front_ends), max(1, round(it.share * day.front_ends)))
        return [order for n in sorted(killed) for order in
                (Order(it.at, f"front-{n}", "!kill"), Order(it.at + it.length, f"front-{n}", "!renew"))]
    if it.kind == "front_drain":
        return [Order(it.at, f"front-{it.front}", "!drain"),
                Order(it.at + it.length, f"front-{it.front}", "!renew")]
    if it.kind == "upgrade":
        # Every front end in turn: drained, then started anew.
        step = it.length // day.front_ends
        return [order for n in range(day.front_ends) for order in
                (Order(it.at + n * step, f"front-{n}", "!drain"),
                 Order(it.at + n * step + min(step // 2, 4 * SECOND), f"front-{n}", "!renew"))]
    if it.kind == "reload":
        return [Order(it.at, f"front-{n}", "!reload") for n in range(day.front_ends)]
    if it.kind == "override" and day.router is not None:
        return [Order(it.at, f"front-{it.front}", "!say withdraw"),
                Order(it.at + it.length, f"front-{it.front}", "!say auto")]
    return []       # a trouble of clients: traffic.py


def crash(name: str, at: int, length: int) -> list[Order]:
    return [Order(at, name, "!kill"), Order(at + ROSTER_LATE, "roster", f"state {name} gone"),
            Order(at + length, name, "!renew")]


def renewed(name: str, at: int, wait: int) -> list[Order]:
    """Drained, ended and started again."""
    return [Order(at, name, "drain"), Order(at + ROSTER_LATE // 2, "roster", f"state {name} draining"),
            *crash(name, at + wait, SECOND)]
