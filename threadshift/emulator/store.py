"""A model of the pack store: fetches slow down when crowded and are turned away past a limit."""
from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from threadshift.days.fault_scenario import Store
from threadshift.emulator.clock import Clock, Spans
from threadshift.interface import MS
from threadshift.standins.store import CROWDED, pack

MB = 1 << 20


class ModelStore:
    """Answers a fetch through `done(pack or None, why)`."""

    def __init__(self, clock: Clock, told: Store, note: Callable[..., None]):
        self.clock, self.told, self.note = clock, told, note
        self.faults = Spans(clock)
        self.release = self.fetching = 0
        self.turned = 0.0
        self.packs: dict[str, dict[str, Any]] = {}

    def pack(self, function: str) -> dict[str, Any]:
        """The figures of a function, the same as the stand-in's."""
        if function not in self.packs:
            self.packs[function] = json.loads(pack(function, 0, 40, self.told.pack / MB, self.told.load_time / MS))
        return self.packs[function]

    def fetch(self, worker: str, function: str, done: Callable[[dict[str, Any] | None, str], None]) -> None:
        self.turned += self.faults.amount("refuse")
        if self.turned >= 1 or self.fetching >= self.told.capacity * CROWDED:
            self.turned = max(0.0, self.turned - 1)
            self.note("turned-away", function=function, worker=worker)
            done(None, "store: crowded")
            return
        self.fetching += 1
        crowd = max(1.0, self.fetching / self.told.capacity) * max(1.0, self.faults.amount("slow"))
        self.clock.after(int(self.pack(function)["fetch_ms"] * crowd * MS), self.fetched, worker, function, done)

    def fetched(self, worker: str, function: str, done: Callable[[dict[str, Any] | None, str], None]) -> None:
        self.fetching -= 1
        if self.faults.amount("corrupt"):
            done(None, "the pack does not match its digest")
            return
        self.note("fetched", function=function, worker=worker)
        done(self.pack(function), "")
