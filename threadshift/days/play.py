"""Plays a day with real processes on loopback: gateway front ends, workers, store, roster feed and clients.

What each stand-in saw at its sockets, and what the conductor did to processes, is left in one folder for the audit.
"""
from __future__ import annotations

import signal
import time
from contextlib import suppress
from pathlib import Path

import gevent

from threadshift.conf.values import Address
from threadshift.days.day import Day
from threadshift.days.orders import Order, names, orders
from threadshift.interface import MS, SECOND
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.common import Record
from threadshift.standins.rig import Rig, free_ports

READY_LIMIT = 30           # s until every front end must have a link to every worker
AFTER = 3                  # s over the longest action timeout in which clients must have ended
MB = 1 << 20
SERVICE = "192.0.2.1/32"     # the address that a day's front ends announce; from the range for examples
FIRST_AS = 65001


class Conductor:
    """One day, once. Its folder holds day.conf and the records."""

    def __init__(self, day: Day, text: str, seed: int, folder: Path):
        self.day, self.seed, self.folder = day, seed, folder
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text(text)
        self.record = Record(str(folder / "conductor.jsonl"))
        self.rig = Rig(folder)
        self.zones = names(day)
        self.admin: dict[str, Address] = {}      # of front ends that announce

    def play(self) -> None:
        with self.rig:
            ports = self.start()
            start = time.monotonic_ns() + SECOND // 2
            self.record.note("day", seed=self.seed, start=start, grace=self.day.told.deployment.drain_grace)
            if day_router := self.day.router:
                ports = [self.rig.addresses["service"].port]
                self.record.note("router", converge=day_router.converge, steer=day_router.steer)
            clients = self.rig.start(
                "clients", "standin", "clients", str(self.folder / "day.conf"), f"--seed={self.seed}",
                f"--start={start}", f"--record={self.folder / 'clients.jsonl'}",
                *(f"--front=127.0.0.1:{port}" for port in ports))
            for order in orders(self.day, self.seed):
                gevent.sleep(max(0, start + order.at - time.monotonic_ns()) / SECOND)
                self.carry_out(order)
            longest = max(each.action_timeout for each in self.day.told.deployment.types)
            retries = sum(each.retry_after << each.retries for each in self.day.traffic)
            end = start + self.day.length + 3 * longest + retries + AFTER * SECOND
            clients.process.wait(max(1, (end - time.monotonic_ns()) / SECOND))
            self.record.note("over")

    # Starting.

    def start(self) -> list[int]:
        """Everything up, every front end linked to every worker and the fleet warm; the front ends' ports."""
        day, rig = self.day, self.rig
        rig.start_standin("store", "store", capacity=day.store.capacity, load_ms=day.store.load_time / MS,
                    memory_mb=day.store.pack / MB)
        rig.start_standin("roster", "roster")
        rig.wait_for_address("store")
        rig.wait_for_address("roster")
        for name in self.zones:
            self.start_worker(name)
        for name in self.zones:
            self.list_worker(name)
        warm = time.monotonic() + day.told.deployment.cold_time / SECOND
        # Behind a router all have the same port, each at an address of its own, as next hops do.
        ports = free_ports(day.front_ends) if day.router is None else free_ports(1) * day.front_ends
        hosts = [self.host(n) for n in range(day.front_ends)]
        if day.router is not None:
            self.start_router(ports[0], hosts)
        for n, port in enumerate(ports):
            zone = day.fleet.zones[n % len(day.fleet.zones)]
            (self.folder / f"front-{n}.conf").write_text(
                f"listen {hosts[n]}:{port}\nname front-{n}\nzone {zone}\nroster feed {rig.addresses['roster']}\n"
                f"log json info\n{with_front_ends(day)}\n{self.announcing(n)}\n")
            self.start_front(n)
        for n, (host, port) in enumerate(zip(hosts, ports, strict=True)):
            self.wait_for(n, Address(host, port))
        gevent.sleep(max(0, warm - time.monotonic()))
        return ports

    def host(self, n: int) -> str:
        return f"127.0.1.{n + 1}" if self.day.router is not None else "127.0.0.1"

    def start_router(self, port: int, hosts: list[str]) -> None:
        it = self.day.router
        assert it is not None
        peers = [f"--peer=front-{n}={host}={FIRST_AS + n}" for n, host in enumerate(hosts)]
        at = Address("127.0.0.1", free_ports(1)[0])
        self.rig.addresses["service"] = at
        self.rig.start("router", "standin", "router", "--listen=127.0.0.1:0", f"--service={SERVICE}={at}={port}",
                       f"--converge={it.converge // MS}ms", f"--hold={it.hold}", f"--steer={it.steer}",
                       f"--record={self.folder / 'router.jsonl'}", *peers)
        self.rig.wait_for_address("router")

    def announcing(self, n: int) -> str:
        it = self.day.router
        if it is None:
            return ""
        at = self.admin.setdefault(f"front-{n}", Address(self.host(n), free_ports(1)[0]))
        return (f"admin {at}\nbgp {{\nlocal-as {FIRST_AS + n}\nrouter-id 10.0.0.{n + 1}\nnext-hop {self.host(n)}\n"
                f"hold-time {it.hold}s\nreflects yes\naddress {SERVICE} {{\n}}\npeer router {{\n"
                f"address {self.rig.addresses['router']}\nas 65000\nsource {self.host(n)}\n}}\n}}")

    def start_front(self, n: int) -> None:
        self.rig.front_end(f"front-{n}", self.folder / f"front-{n}.conf")
        self.record.note("front-up", front=n)

    def start_worker(self, name: str) -> None:
        day, told = self.day, self.day.told.deployment
        self.rig.start_standin(
            name, "worker", name=name, store=self.rig.addresses["store"], zone=self.zones[name],
            cores=day.fleet.cores,
            memory_mb=day.fleet.memory / MB, keep=f"{told.idle_keep_alive // MS}ms", cold_share=told.cold_share,
            cold_time=f"{told.cold_time // MS}ms", fall_multiple=told.fall_multiple,
            fall_time=f"{told.fall_time // MS}ms", report_every=f"{day.fleet.report_every // MS}ms")
        self.record.note("worker-up", worker=name)

    def list_worker(self, name: str) -> None:
        at = self.rig.wait_for_address(name)
        self.rig.processes["roster"].order(
            f"worker {name} {at} zone {self.zones[name]} started {time.time_ns()}")

    def wait_for(self, n: int, at: Address) -> None:
        if self.rig.wait_until_linked(f"front-{n}", at, self.day.fleet.workers, READY_LIMIT):
            return
        raise RuntimeError(f"the front end at {at} did not link to its workers in time")

    # Orders.

    def carry_out(self, order: Order) -> None:
        self.record.note("order", who=order.who, words=order.words)
        if order.words.startswith("!"):
            act, *more = order.words[1:].split()
            getattr(self, act.replace("-", "_"))(order.who, *more)
        elif order.who == "workers":
            for name in self.zones:
                self.rig.processes[name].order(order.words)
        else:
            self.rig.processes[order.who].order(order.words)

    def kill(self, who: str) -> None:
        self.record.note("killing", who=who)
        self.rig.kill(who)
        self.record.note("killed", who=who)

    def renew(self, who: str) -> None:
        """Starts a process anew, cold; one that still runs is killed first."""
        if self.rig.processes[who].alive:
            self.kill(who)
        if who.startswith("front"):
            self.start_front(int(who.removeprefix("front-")))
        else:
            self.start_worker(who)
            gevent.spawn(self.list_worker, who)

    def drain(self, who: str) -> None:
        """Told to end in order, as an operator would."""
        self.record.note("drains", who=who)
        self.rig.processes[who].signal(signal.SIGTERM)

    def stop(self, who: str) -> None:
        self.record.note("stopped", who=who)
        self.rig.processes[who].signal(signal.SIGSTOP)

    def go_on(self, who: str) -> None:
        self.rig.processes[who].signal(signal.SIGCONT)
        self.record.note("goes-on", who=who)

    def reload(self, who: str) -> None:
        self.record.note("reloads", who=who)
        self.rig.processes[who].signal(signal.SIGHUP)

    def say(self, who: str, word: str) -> None:
        """An operator's word on its announcements."""
        self.record.note("says", who=who, word=word)
        with suppress(NoAnswer):                # it may be dead just then
            Client(self.admin[who]).request("POST", f"/v1/bgp/{word}", {}, b"")


def with_front_ends(day: Day) -> str:
    """The gateway's own blocks, told how many front ends there are in all."""
    count = f"front-ends-in-all {day.front_ends}"
    if "front-ends-in-all" in day.gateway:
        return day.gateway
    if "fleet {" in day.gateway:
        return day.gateway.replace("fleet {", "fleet {\n" + count, 1)
    return f"{day.gateway}\nfleet {{\n{count}\n}}"


def clear(folder: Path) -> None:
    """Removes the records of an earlier run, and nothing else."""
    for path in [*folder.glob("*.jsonl"), *folder.glob("*.err"), *folder.glob("front-*.conf")]:
        path.unlink()
