"""Baseline policies behind the engine's interface, for experiments only.

Each replaces only the choice of a worker. The rules for effects, drains, cold budgets and load windows stay in force,
so the policies differ only in where calls go. No baseline suspends workers, probes them, parks calls or orders copies
on its own.

The oracle reads the true, current state of every worker in the emulator, which no front end can. It is greedy, so it
bounds what better knowledge alone could gain, not what the best schedule could.
"""
from __future__ import annotations

from typing import Any

from threadshift.choice import Dispatcher
from threadshift.interface import MS, Activation, Deployment
from threadshift.state import Worker

DEFAULT_COST = 50 * MS       # assumed of a call without a cost hint


class Baseline(Dispatcher):
    """Picks among the candidates that the call has not tried yet, or among all if it has tried them all."""

    def __init__(self, seed: int, deployment: Deployment, now: int):
        super().__init__(seed, deployment, now)
        self.probe_allowance = 0

    def choose_worker(self, act: Activation, now: int) -> Worker | None:
        tried = {send.worker for send in act.sends}
        eligible = [worker for worker in self.candidates(act) if self.has_cold_capacity(worker, act, now)]
        eligible = [worker for worker in eligible if worker not in tried] or eligible
        return self.pick(act, eligible, now) if eligible else None

    def candidates(self, act: Activation) -> list[Worker]:
        """Returns the workers to choose among."""
        return self.ready_workers

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        """Picks one of the eligible workers; there is at least one."""
        raise NotImplementedError


class Random(Baseline):
    """Picks a random worker."""

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        return eligible[int(self.random() * len(eligible))]


class LeastInFlight(Baseline):
    """Picks the worker with the fewest open sends of this front end; ties are broken at random."""

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        least = min(len(worker.sends) for worker in eligible)
        idle = [worker for worker in eligible if len(worker.sends) == least]
        return idle[int(self.random() * len(idle))]


class PowerOfTwo(Baseline):
    """Picks the less loaded of two random workers (Mitzenmacher 2001)."""

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        one, other = (eligible[int(self.random() * len(eligible))] for _ in range(2))
        return one if len(one.sends) <= len(other.sends) else other


class PlainHash(Baseline):
    """Consistent hashing: picks the home worker, or the next eligible one clockwise."""

    def candidates(self, act: Activation) -> list[Worker]:
        return list(self.clockwise_workers(act.function))

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        return eligible[0]


class Bounded(PlainHash):
    """Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018), as published."""

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        return next((worker for worker in eligible if len(worker.sends) < self.in_flight_cap(worker, now)),
                    eligible[0])


class Oracle(Baseline):
    """Picks the worker that would complete the call first, by the true state of all workers."""

    network: Any = None

    def set_network(self, network: Any) -> None:
        """Gives access to the emulated workers; the emulator calls it before the run."""
        self.network = network

    def pick(self, act: Activation, eligible: list[Worker], now: int) -> Worker:
        return min(eligible, key=lambda worker: (self.time_to_completion(worker, act), worker.name))

    def time_to_completion(self, worker: Worker, act: Activation) -> float:
        """Returns the time until the call would complete on this worker.

        Calls that other front ends have sent and that have not arrived yet are not counted.
        """
        model = self.network.workers.get(worker.name)
        if model is None or not model.alive or model.draining:
            return float("inf")
        work = (act.cost_hint or DEFAULT_COST) * model.slowness()
        blocked = max(model.faults.remaining("hang"), model.faults.remaining("stall"))
        # Sends under way count as arrived; otherwise all calls of one moment would go to the same worker.
        queued = max(model.running + len(model.ready), len(worker.sends))
        cores = max(0, queued - model.machine.cores + 1) * work / model.machine.cores
        state = model.functions.get(act.function.name)
        if state is not None and state.copies:
            lanes = len(state.copies) * state.lanes
            busy = sum(copy.busy for copy in state.copies) + len(state.queue)
            return blocked + max(cores, max(0, busy - lanes + 1) * work / lanes) + work
        pack = model.store.pack(act.function.name)
        load = (pack["fetch_ms"] * max(1.0, model.store.faults.amount("slow")) + pack["start_ms"]) * MS
        if state is not None and state.loading:
            return blocked + load / 2 + (1 + len(state.queue)) * work
        queued_loads = (model.loading + len(model.waiting_loads)) / model.machine.max_loads
        return blocked + load * (1 + queued_loads) + max(cores, 0) + work


POLICIES = {"threadshift": Dispatcher, "random": Random, "least-in-flight": LeastInFlight,
            "power-of-two": PowerOfTwo, "plain-hash": PlainHash, "bounded-loads": Bounded, "oracle": Oracle}
