"""Runs a fault scenario with real processes on loopback: front ends, workers, pack store, roster feed and clients.

Each stand-in records what it sees at its sockets, and the runner records what it does to processes. All records are
left in one folder for the audit.
"""
from __future__ import annotations

import signal
import time
from contextlib import suppress
from pathlib import Path

import gevent
from gevent.pool import Group

from threadshift.conf.values import Address
from threadshift.days.fault_scenario import FaultScenario
from threadshift.days.orders import FaultOrder, draw_orders, worker_zones
from threadshift.interface import MS, SECOND
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.common import Record
from threadshift.standins.rig import Rig

READY_TIMEOUT = 30         # s until every front end must have a link to every worker
CLIENTS_END_TIMEOUT = 3    # s beyond the time that all calls may take, until the clients must have ended
MB = 1 << 20
SERVICE = "192.0.2.1/32"   # the address that front ends announce; from the range for examples (RFC 5737)
FIRST_AS = 65001           # of front end 0; each further one has the next number


class ScenarioRunner:
    """Runs one scenario once. Its folder holds the scenario's text (day.conf) and the records."""

    def __init__(self, scenario: FaultScenario, text: str, seed: int, folder: Path):
        self.scenario, self.seed, self.folder = scenario, seed, folder
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text(text)
        self.record = Record(str(folder / "conductor.jsonl"))
        self.rig = Rig(folder)
        self.listing = Group()      # greenlets that wait until a restarted worker listens
        self.zones = worker_zones(scenario)
        self.admin: dict[str, Address] = {}      # of front ends that announce

    def play(self) -> None:
        """Starts everything, gives the orders of the faults at their times, and waits for the clients to end."""
        with self.rig:
            ports = self.start()
            start = time.monotonic_ns() + SECOND // 2
            self.record.note("day", seed=self.seed, start=start, grace=self.scenario.config.deployment.drain_grace)
            if router := self.scenario.router:
                ports = [self.rig.addresses["service"].port]
                self.record.note("router", converge=router.converge, steer=router.steer)
            clients = self.rig.start(
                "clients", "standin", "clients", str(self.folder / "day.conf"), f"--seed={self.seed}",
                f"--start={start}", f"--record={self.folder / 'clients.jsonl'}",
                *(f"--front=127.0.0.1:{port}" for port in ports))
            for order in draw_orders(self.scenario, self.seed):
                gevent.sleep(max(0, start + order.at - time.monotonic_ns()) / SECOND)
                self.carry_out(order)
            longest = max(each.action_timeout for each in self.scenario.config.deployment.types)
            retries = sum(each.retry_after << each.retries for each in self.scenario.traffic)
            end = start + self.scenario.length + 3 * longest + retries + CLIENTS_END_TIMEOUT * SECOND
            clients.process.wait(max(1, (end - time.monotonic_ns()) / SECOND))
            self.record.note("over")
            self.listing.kill()

    # Starting.

    def start(self) -> list[int]:
        """Starts all processes and waits until front ends are linked to all workers and the workers are warm.

        Returns the front ends' ports."""
        scenario, rig = self.scenario, self.rig
        rig.start_standin("store", "store", capacity=scenario.store.capacity, load_ms=scenario.store.load_time / MS,
                    memory_mb=scenario.store.pack / MB)
        rig.start_standin("roster", "roster")
        rig.wait_for_address("store")
        rig.wait_for_address("roster")
        for name in self.zones:
            self.start_worker(name)
        for name in self.zones:
            self.list_worker(name)
        warm_at = time.monotonic() + scenario.config.deployment.cold_time / SECOND
        # Behind a router all front ends have the same port, each at an address of its own, which is its next hop.
        ports = (rig.ports.reserve(scenario.front_ends) if scenario.router is None
                 else rig.ports.reserve(1) * scenario.front_ends)
        hosts = [self.host(n) for n in range(scenario.front_ends)]
        if scenario.router is not None:
            self.start_router(ports[0], hosts)
        for n, port in enumerate(ports):
            zone = scenario.fleet.zones[n % len(scenario.fleet.zones)]
            (self.folder / f"front-{n}.conf").write_text(
                f"listen {hosts[n]}:{port}\nname front-{n}\nzone {zone}\nroster feed {rig.addresses['roster']}\n"
                f"log json info\n{with_front_ends(scenario)}\n{self.bgp_directives(n)}\n")
            self.start_front(n)
        for n, (host, port) in enumerate(zip(hosts, ports, strict=True)):
            self.wait_for(n, Address(host, port))
        gevent.sleep(max(0, warm_at - time.monotonic()))
        return ports

    def host(self, n: int) -> str:
        """The address of a front end."""
        return f"127.0.1.{n + 1}" if self.scenario.router is not None else "127.0.0.1"

    def start_router(self, port: int, hosts: list[str]) -> None:
        """Starts the router, with a BGP session to each front end; clients connect to its service address."""
        settings = self.scenario.router
        assert settings is not None
        peers = [f"--peer=front-{n}={host}={FIRST_AS + n}" for n, host in enumerate(hosts)]
        at = Address("127.0.0.1", self.rig.ports.reserve(1)[0])
        self.rig.addresses["service"] = at
        self.rig.start("router", "standin", "router", "--listen=127.0.0.1:0", f"--service={SERVICE}={at}={port}",
                       f"--converge={settings.converge // MS}ms", f"--hold={settings.hold}",
                       f"--steer={settings.steer}",
                       f"--record={self.folder / 'router.jsonl'}", *peers)
        self.rig.wait_for_address("router")

    def bgp_directives(self, n: int) -> str:
        """The directives by which a front end announces the service; empty without a router."""
        settings = self.scenario.router
        if settings is None:
            return ""
        at = self.admin.setdefault(f"front-{n}", Address(self.host(n), self.rig.ports.reserve(1)[0]))
        return (f"admin {at}\nbgp {{\nlocal-as {FIRST_AS + n}\nrouter-id 10.0.0.{n + 1}\nnext-hop {self.host(n)}\n"
                f"hold-time {settings.hold}s\nreflects yes\naddress {SERVICE} {{\n}}\npeer router {{\n"
                f"address {self.rig.addresses['router']}\nas 65000\nsource {self.host(n)}\n}}\n}}")

    def start_front(self, n: int) -> None:
        self.rig.front_end(f"front-{n}", self.folder / f"front-{n}.conf")
        self.record.note("front-up", front=n)

    def start_worker(self, name: str) -> None:
        scenario, deployment = self.scenario, self.scenario.config.deployment
        self.rig.start_standin(
            name, "worker", name=name, store=self.rig.addresses["store"], zone=self.zones[name],
            cores=scenario.fleet.cores,
            memory_mb=scenario.fleet.memory / MB, keep=f"{deployment.idle_keep_alive // MS}ms",
            cold_share=deployment.cold_share,
            cold_time=f"{deployment.cold_time // MS}ms", fall_multiple=deployment.fall_multiple,
            fall_time=f"{deployment.fall_time // MS}ms", report_every=f"{scenario.fleet.report_every // MS}ms")
        self.record.note("worker-up", worker=name)

    def list_worker(self, name: str) -> None:
        """Has the roster feed list a worker once it listens."""
        at = self.rig.wait_for_address(name)
        self.rig.processes["roster"].order(
            f"worker {name} {at} zone {self.zones[name]} started {time.time_ns()}")

    def wait_for(self, n: int, at: Address) -> None:
        """Waits until a front end is linked to all workers. Raises RuntimeError where that takes too long."""
        if self.rig.wait_until_linked(f"front-{n}", at, self.scenario.fleet.workers, READY_TIMEOUT):
            return
        raise RuntimeError(f"the front end at {at} did not link to its workers in time")

    # Orders.

    def carry_out(self, order: FaultOrder) -> None:
        """Gives one order to its process, or performs it here where its words begin with '!'."""
        self.record.note("order", who=order.who, words=order.words)
        if order.words.startswith("!"):
            action, *arguments = order.words[1:].split()
            getattr(self, action.replace("-", "_"))(order.who, *arguments)
        elif order.who == "workers":
            for name in self.zones:
                self.rig.processes[name].order(order.words)
        else:
            self.rig.processes[order.who].order(order.words)

    def kill(self, who: str) -> None:
        """Kills a process (SIGKILL)."""
        self.record.note("killing", who=who)
        self.rig.kill(who)
        self.record.note("killed", who=who)

    def renew(self, who: str) -> None:
        """Starts a process again, cold; one that still runs is killed first."""
        if self.rig.processes[who].alive:
            self.kill(who)
        if who.startswith("front"):
            self.start_front(int(who.removeprefix("front-")))
        else:
            self.start_worker(who)
            self.listing.spawn(self.list_worker, who)

    def drain(self, who: str) -> None:
        """Asks a process to drain and end (SIGTERM), as an operator does."""
        self.record.note("drains", who=who)
        self.rig.processes[who].signal(signal.SIGTERM)

    def stop(self, who: str) -> None:
        """Stops a process (SIGSTOP) until go_on."""
        self.record.note("stopped", who=who)
        self.rig.processes[who].signal(signal.SIGSTOP)

    def go_on(self, who: str) -> None:
        """Continues a stopped process (SIGCONT)."""
        self.rig.processes[who].signal(signal.SIGCONT)
        self.record.note("goes-on", who=who)

    def reload(self, who: str) -> None:
        """Has a front end reload its configuration (SIGHUP)."""
        self.record.note("reloads", who=who)
        self.rig.processes[who].signal(signal.SIGHUP)

    def say(self, who: str, word: str) -> None:
        """Sends a front end an operator's order on its announcements."""
        self.record.note("says", who=who, word=word)
        with suppress(NoAnswer):                # it may have been killed
            Client(self.admin[who]).request("POST", f"/v1/bgp/{word}", {}, b"")


def with_front_ends(scenario: FaultScenario) -> str:
    """The gateway's own blocks, with the number of all front ends added to the `fleet` block."""
    count = f"front-ends-in-all {scenario.front_ends}"
    if "front-ends-in-all" in scenario.gateway:
        return scenario.gateway
    if "fleet {" in scenario.gateway:
        return scenario.gateway.replace("fleet {", "fleet {\n" + count, 1)
    return f"{scenario.gateway}\nfleet {{\n{count}\n}}"


def remove_records(folder: Path) -> None:
    """Removes the records of an earlier run, and nothing else."""
    for path in [*folder.glob("*.jsonl"), *folder.glob("*.err"), *folder.glob("front-*.conf")]:
        path.unlink()
