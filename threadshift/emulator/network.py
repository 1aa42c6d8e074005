"""Connections between front ends and workers: delays, cuts, and what breaks when one side dies."""
from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from threadshift.emulator.clock import Clock
from threadshift.emulator.worker import ModelWorker
from threadshift.interface import MS

LOCAL = MS // 4            # one way within a machine, with both processes' own time; measured on loopback
SPREAD = 0.5               # of it, by chance
REPLY, OTHER = 130_000, 20_000     # ns of a front end's processor; see front.py


class Front(Protocol):
    """What the network knows of a front end."""

    zone: str

    def hear(self, cost: int, act: Callable[..., None], *words: Any) -> None: ...
    def broke(self, worker: str) -> None: ...


class Network:
    """Who reaches whom. A worker that is dead refuses; one that stalls or is cut off swallows until it ends."""

    def __init__(self, clock: Clock, seed: int, zones: dict[str, str]):
        self.clock, self.zones = clock, zones
        self.chance = random.Random(f"network {seed}").random
        self.workers: dict[str, ModelWorker] = {}
        self.fronts: Mapping[str, Front] = {}       # its owner fills it

    def reach(self, worker: str) -> ModelWorker | None:
        it = self.workers.get(worker)
        return it if it is not None and it.alive else None

    def delay(self) -> int:
        return int(LOCAL * (1 + SPREAD * self.chance()))

    def held_up(self, front: Front, it: ModelWorker) -> int:
        """ns for which nothing passes between them."""
        cut = it.faults.left("cut") if self.zones.get(it.machine.name) != front.zone else 0
        return max(cut, it.faults.left("stall"))

    def forth(self, front: Front, it: ModelWorker, act: Callable[..., None], *words: Any) -> None:
        self.clock.after(self.delay() + self.held_up(front, it), self.arrive, it, act, *words)

    def arrive(self, it: ModelWorker, act: Callable[..., None], *words: Any) -> None:
        if it.alive:            # else it breaks, of which the front end hears by the worker's death
            act(*words)

    def back(self, front: Front, it: ModelWorker, act: Callable[..., None], *words: Any) -> None:
        """An answer, unless the worker died before it left."""
        if it.alive:
            self.clock.after(self.delay() + self.held_up(front, it), front.hear, REPLY, act, *words)

    def die(self, name: str) -> None:
        """A worker's process ends: every connection to it breaks."""
        it = self.workers.get(name)
        if it is None:
            return
        it.alive = False
        for front in self.fronts.values():
            self.clock.after(self.delay(), front.hear, OTHER, front.broke, name)
