"""A simulated pack store: it slows down under load and rejects fetches beyond a limit, like the stand-in."""
from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from threadshift.days.fault_scenario import Store
from threadshift.emulator.clock import Clock, ActiveFaults
from threadshift.interface import MS
from threadshift.standins.store import MAX_LOAD_FACTOR, pack

MB = 1 << 20


class ModelStore:
    """Answers a fetch with `done(pack, "")`, or with `done(None, reason)` where there is no pack."""

    def __init__(self, clock: Clock, settings: Store, note: Callable[..., None]):
        self.clock, self.settings, self.note = clock, settings, note
        self.faults = ActiveFaults(clock)
        self.release = self.fetching = 0
        self.rejection_credit = 0.0        # see PackStore
        self.packs: dict[str, dict[str, Any]] = {}

    def pack(self, function: str) -> dict[str, Any]:
        """The pack of a function, with the same times and memory as the stand-in's."""
        if function not in self.packs:
            self.packs[function] = json.loads(
                pack(function, 0, 40, self.settings.pack / MB, self.settings.load_time / MS))
        return self.packs[function]

    def fetch(self, worker: str, function: str, done: Callable[[dict[str, Any] | None, str], None]) -> None:
        self.rejection_credit += self.faults.amount("refuse")
        if self.rejection_credit >= 1 or self.fetching >= self.settings.capacity * MAX_LOAD_FACTOR:
            self.rejection_credit = max(0.0, self.rejection_credit - 1)
            self.note("turned-away", function=function, worker=worker)
            done(None, "store: crowded")
            return
        self.fetching += 1
        slowdown = max(1.0, self.fetching / self.settings.capacity) * max(1.0, self.faults.amount("slow"))
        self.clock.after(int(self.pack(function)["fetch_ms"] * slowdown * MS), self.finish_fetch, worker,
                         function, done)

    def finish_fetch(self, worker: str, function: str, done: Callable[[dict[str, Any] | None, str], None]) -> None:
        self.fetching -= 1
        if self.faults.amount("corrupt"):
            done(None, "the pack does not match its digest")
            return
        self.note("fetched", function=function, worker=worker)
        done(self.pack(function), "")
