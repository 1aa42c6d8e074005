"""Rollouts on a virtual clock: the real record machine, conductor and judge over modelled front ends.

A front end has traffic, a mix of types and a level of trouble of its own, which swings from second to second and is
shared by all that stand on the same hall: what an honest comparison has to bear. The new version may be worse by so
much, crash, or not come up; front ends go silent, and the right to hold moves."""
from __future__ import annotations

import random
from dataclasses import dataclass, field

from threadshift.conf.peering import Peer
from threadshift.conf.values import Address
from threadshift.errors import ThreadshiftError
from threadshift.interface import SECOND
from threadshift.rollout.conduct import Conductor, Report
from threadshift.rollout.judge import BUCKETS, Sums, bucket
from threadshift.rollout.plan import BACK, DONE, Rollouts

TYPES = ("check", "submit")
START = 3                  # s that a front end takes to come up


class InvariantViolation(ThreadshiftError):
    """A promise of a rollout that did not hold."""

    help = "run the same seed again"


@dataclass
class Change:
    """How the new version is worse."""

    refused: float = 0.0       # share of calls, beside what is usual
    errors: float = 0.0
    slower: float = 1.0        # times the latency
    crash: float = 0.0         # chance a second
    starts: bool = True


@dataclass
class Front:
    name: str
    rate: float                # calls a second
    mix: float                 # share of the first type
    trouble: float             # share refused, usually
    hall: str
    version: str = ""
    up: int = 0                # s since it serves
    life: int = 1
    failed: str = ""
    silent: int = 0            # s for which it is not heard yet
    sums: dict[str, Sums] = field(default_factory=dict)


class RolloutSimulation:
    """One rollout over modelled front ends. run() gives how it ended."""

    def __init__(self, seed: int, change: Change | None = None, fronts: int = 12, rate: float = 20.0,
                 faults: float = 0.01, hold: int = 20 * SECOND):
        self.random, self.change, self.faults = random.Random(seed), change or Change(), faults
        draw = self.random
        self.fronts = {f"f{n}": Front(f"f{n}", rate * draw.choice((0.3, 1, 1, 3)), draw.random(),
                                      draw.choice((0.0, 0.01, 0.05)), f"h{n % 3}", up=100) for n in range(fronts)}
        peers = [Peer(name, Address("127.0.0.1", 1000 + n), n < 3, each.hall)
                 for n, (name, each) in enumerate(self.fronts.items())]
        self.rollouts = Rollouts()
        self.conductor = Conductor(self.rollouts, peers)
        self.place, self.second, self.harmed = 1, 0, 0
        self.hold = hold
        self.rollouts.apply(1, {"do": "rollout.start", "id": "r", "what": {}, "stages": [0.0, 0.2, 0.5, 1.0],
                                "hold": hold, "who": "test"})

    def run(self, limit: int = 1_200) -> str:
        """'done', or why it went back, or 'stands' where it did neither in so many seconds."""
        it = self.rollouts.all["r"]
        swing: dict[str, float] = {}
        while self.second < limit and it.state not in (DONE, BACK):
            self.second += 1
            for hall in ("h0", "h1", "h2"):
                swing[hall] = self.random.choice((0.0, 0.0, 0.0, 0.0, 0.02, 0.1))
            for front in self.fronts.values():
                self.live(front, swing[front.hall])
            if self.random.random() < self.faults / 10:
                self.conductor.new_holder()
            now = self.second * SECOND
            self.conductor.fed(now, {name: self.report(front) for name, front in self.fronts.items()})
            for body in self.conductor.due(now):
                for _ in range(1 + (self.random.random() < 0.1)):      # what comes twice acts once
                    self.place += 1
                    self.rollouts.apply(self.place, body)
            self.check()
        return it.why if it.state == BACK else "done" if it.state == DONE else "stands"

    def live(self, front: Front, swing: float) -> None:
        wanted = self.rollouts.version_of(front.name).name
        front.silent = max(0, front.silent - 1)
        if wanted != front.version and front.failed != wanted:
            if wanted and not self.change.starts:
                front.failed = wanted
            else:
                self.begin(front, wanted)
        new = bool(front.version)
        if new and self.random.random() < self.change.crash:
            self.begin(front, front.version)
        if self.random.random() < self.faults:
            front.silent = self.random.choice((2, 5, 10))
        front.up += 1
        if front.up < 0:
            return
        bad = min(0.9, front.trouble + swing + (self.change.refused if new else 0))
        cold = 1.5 if front.up < 5 else 1.0
        for type_, share in zip(TYPES, (front.mix, 1 - front.mix), strict=True):
            count = sum(self.random.random() < 0.5 for _ in range(int(2 * front.rate * share)))
            refused = sum(self.random.random() < bad for _ in range(count))
            errors = sum(self.random.random() < (self.change.errors if new else 0) for _ in range(count - refused))
            latencies, late = [0] * BUCKETS, 0
            for _ in range(count):
                took = self.random.lognormvariate(4, 0.6) * (self.change.slower if new else 1) * cold * (1 + swing)
                latencies[bucket(int(took * 1e6))] += 1
                late += took > 200
            self.harmed += (int(count * self.change.refused) + errors) if new else 0
            front.sums[type_] = front.sums.get(type_, Sums()).plus(
                Sums(count, refused, 0, errors, late, tuple(latencies)))

    def begin(self, front: Front, version: str) -> None:
        front.version, front.up, front.life, front.sums = version, -START, front.life + 1, {}

    def report(self, front: Front) -> Report | None:
        if front.silent:
            return None
        return Report(front.version, front.life, max(0, front.up) * SECOND, "", front.failed, dict(front.sums), 0)

    def check(self) -> None:
        it = self.rollouts.all["r"]
        share = it.stages[max(0, it.stage)]
        if it.taken and len(it.taken) > max(1, int(share * len(self.fronts) + 1e-9)):
            raise InvariantViolation(f"{len(it.taken)} are new in a stage of {share}")
        away = [name for name in ("f0", "f1", "f2") if self.fronts[name].up < 0 and name in it.taken]
        if len(away) > 1 and it.state not in (BACK, DONE):
            raise InvariantViolation(f"voters {away} are away at once")
