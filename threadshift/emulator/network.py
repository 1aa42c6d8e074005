"""Simulated connections between front ends and workers: delays, cuts, and breaks when a process ends."""
from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from threadshift.emulator.clock import Clock
from threadshift.emulator.worker import ModelWorker
from threadshift.interface import MS

ONE_WAY_DELAY = MS // 4        # within a machine, with the time that both processes need
DELAY_JITTER = 0.5             # of the delay, at random
REPLY_COST = 130_000           # ns of a front end's processor for an answer; see front.py
OTHER_COST = 20_000            # ns of a front end's processor for any other event


class FrontEnd(Protocol):
    """The part of a front end that the network uses."""

    zone: str

    def receive(self, cost: int, action: Callable[..., None], *arguments: Any) -> None: ...
    def on_connection_lost(self, worker: str) -> None: ...


class Network:
    """Connects front ends with workers.

    A dead worker refuses connections. What is sent to one that stalls or is cut off arrives when the fault ends."""

    def __init__(self, clock: Clock, seed: int, zones: dict[str, str]):
        self.clock, self.zones = clock, zones
        self.random = random.Random(f"network {seed}").random
        self.workers: dict[str, ModelWorker] = {}
        self.fronts: Mapping[str, FrontEnd] = {}        # by name; the emulation adds them

    def find_alive(self, name: str) -> ModelWorker | None:
        worker = self.workers.get(name)
        return worker if worker is not None and worker.alive else None

    def delay(self) -> int:
        return int(ONE_WAY_DELAY * (1 + DELAY_JITTER * self.random()))

    def blocked_for(self, front: FrontEnd, worker: ModelWorker) -> int:
        """Time for which a fault lets nothing pass between them."""
        cut = worker.faults.remaining("cut") if self.zones.get(worker.machine.name) != front.zone else 0
        return max(cut, worker.faults.remaining("stall"))

    def send_to_worker(self, front: FrontEnd, worker: ModelWorker, action: Callable[..., None],
                       *arguments: Any) -> None:
        """Calls `action` when the message arrives."""
        self.clock.after(self.delay() + self.blocked_for(front, worker), self.deliver, worker, action, *arguments)

    def deliver(self, worker: ModelWorker, action: Callable[..., None], *arguments: Any) -> None:
        if worker.alive:            # a front end learns of a dead worker by its broken connection
            action(*arguments)

    def send_to_front_end(self, front: FrontEnd, worker: ModelWorker, action: Callable[..., None],
                          *arguments: Any) -> None:
        """Sends an answer, unless the worker is dead."""
        if worker.alive:
            self.clock.after(self.delay() + self.blocked_for(front, worker), front.receive, REPLY_COST, action,
                             *arguments)

    def kill_worker(self, name: str) -> None:
        """Ends a worker's process and breaks every connection to it."""
        worker = self.workers.get(name)
        if worker is None:
            return
        worker.alive = False
        for front in self.fronts.values():
            self.clock.after(self.delay(), front.receive, OTHER_COST, front.on_connection_lost, name)
