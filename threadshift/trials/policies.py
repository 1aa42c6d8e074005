"""Baselines behind the engine's interface, for experiments only. Each replaces the choice of a worker and no more:
effects, drains, cold budgets and load windows are guarded as ever, so what differs is where calls go.

None of them suspends, asks for reports, parks calls or orders copies on its own account. The oracle sees the true
state of every worker in the emulator at this very moment, which no front end can; it is greedy, so it bounds what
better knowledge alone would bring, not what the best schedule would.
"""
from __future__ import annotations

from typing import Any

from threadshift.choice import Dispatcher
from threadshift.interface import MS, Activation, Deployment
from threadshift.state import Worker

USUAL_WORK = 50 * MS       # ns taken for a call that brings no hint


class Baseline(Dispatcher):
    """Picks among ready workers that were not tried; where all were, among all."""

    def __init__(self, seed: int, told: Deployment, now: int):
        super().__init__(seed, told, now)
        self.probe_allowance = 0

    def choose_worker(self, act: Activation, now: int) -> Worker | None:
        tried = {send.worker for send in act.sends}
        able = [worker for worker in self.candidates(act) if self.has_cold_capacity(worker, act, now)]
        able = [worker for worker in able if worker not in tried] or able
        return self.pick(act, able, now) if able else None

    def candidates(self, act: Activation) -> list[Worker]:
        return self.ready_workers

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        raise NotImplementedError


class Random(Baseline):
    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        return able[int(self.random() * len(able))]


class LeastInFlight(Baseline):
    """Of our own calls; ties by chance."""

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        least = min(len(worker.sends) for worker in able)
        idle = [worker for worker in able if len(worker.sends) == least]
        return idle[int(self.random() * len(idle))]


class PowerOfTwo(Baseline):
    """The less loaded of two drawn (Mitzenmacher 2001)."""

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        one, other = (able[int(self.random() * len(able))] for _ in range(2))
        return one if len(one.sends) <= len(other.sends) else other


class PlainHash(Baseline):
    """Consistent hashing: home, or the next clockwise that may be sent to."""

    def candidates(self, act: Activation) -> list[Worker]:
        return list(self.clockwise_workers(act.function))

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        return able[0]


class Bounded(PlainHash):
    """Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018), and none of our departures."""

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        return next((worker for worker in able if len(worker.sends) < self.in_flight_cap(worker, now)), able[0])


class Oracle(Baseline):
    """Takes the worker that would end this call first, by its true state."""

    network: Any = None

    def see(self, network: Any) -> None:
        self.network = network

    def pick(self, act: Activation, able: list[Worker], now: int) -> Worker:
        return min(able, key=lambda worker: (self.ends(worker, act), worker.name))

    def ends(self, worker: Worker, act: Activation) -> float:
        """ns until the call would have run there; what is still on its way there is not seen."""
        it = self.network.workers.get(worker.name)
        if it is None or not it.alive or it.draining:
            return float("inf")
        work = (act.cost_hint or USUAL_WORK) * it.slowness()
        stuck = max(it.faults.remaining("hang"), it.faults.remaining("stall"))
        # What is on its way counts as arrived: else all calls of one moment would go to one worker.
        queued = max(it.running + len(it.ready), len(worker.sends))
        cores = max(0, queued - it.machine.cores + 1) * work / it.machine.cores
        state = it.functions.get(act.function.name)
        if state is not None and state.copies:
            lanes = len(state.copies) * state.lanes
            busy = sum(copy.busy for copy in state.copies) + len(state.queue)
            return stuck + max(cores, max(0, busy - lanes + 1) * work / lanes) + work
        pack = it.store.pack(act.function.name)
        load = (pack["fetch_ms"] * max(1.0, it.store.faults.amount("slow")) + pack["start_ms"]) * MS
        if state is not None and state.loading:
            return stuck + load / 2 + (1 + len(state.queue)) * work
        behind = (it.loading + len(it.waiting_loads)) / it.machine.max_loads
        return stuck + load * (1 + behind) + max(cores, 0) + work


POLICIES = {"threadshift": Dispatcher, "random": Random, "least-in-flight": LeastInFlight,
            "power-of-two": PowerOfTwo, "plain-hash": PlainHash, "bounded-loads": Bounded, "oracle": Oracle}
