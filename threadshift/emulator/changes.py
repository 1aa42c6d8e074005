"""Rollouts on a virtual clock: the real state machine, coordination and analysis, with simulated front ends.

Each front end has its own rate of calls, mix of types and share of refused calls. A further share changes from second
to second and is common to all front ends of a site; the comparison of versions has to tolerate it. The new version
may refuse more, fail more, be slower, crash, or not start. Front ends fall silent, and the leader changes."""
from __future__ import annotations

import random
from dataclasses import dataclass, field

from threadshift.conf.peering import Peer
from threadshift.conf.values import Address
from threadshift.errors import ThreadshiftError
from threadshift.interface import SECOND
from threadshift.rollout.canary_analysis import LATENCY_BUCKETS, CallStats, latency_bucket
from threadshift.rollout.coordinator import FrontEndReport, RolloutCoordinator
from threadshift.rollout.plan import DONE, ROLLED_BACK, Rollouts

TYPES = ("check", "submit")
START_TIME = 3             # s until a front end serves


class InvariantViolation(ThreadshiftError):
    """A violated invariant of a rollout."""

    help = "run the same seed again"


@dataclass
class Change:
    """In what the new version is worse."""

    refused: float = 0.0       # additional share of calls
    errors: float = 0.0
    slower: float = 1.0        # factor of the latency
    crash: float = 0.0         # probability a second
    starts: bool = True


@dataclass
class RolloutFrontEnd:
    """One simulated front end."""

    name: str
    rate: float                # calls a second
    first_type_share: float    # of its calls
    refused_share: float       # usual share of its calls
    site: str
    version: str = ""
    uptime: int = 0            # s since it began to serve; negative while it starts
    life: int = 1
    failed: str = ""
    silent_for: int = 0        # s until its next report
    sums: dict[str, CallStats] = field(default_factory=dict)


class RolloutSimulation:
    """One rollout over simulated front ends."""

    def __init__(self, seed: int, change: Change | None = None, fronts: int = 12, rate: float = 20.0,
                 faults: float = 0.01, hold: int = 20 * SECOND):
        self.random, self.change, self.faults = random.Random(seed), change or Change(), faults
        draw = self.random
        self.fronts = {f"f{n}": RolloutFrontEnd(f"f{n}", rate * draw.choice((0.3, 1, 1, 3)), draw.random(),
                                              draw.choice((0.0, 0.01, 0.05)), f"h{n % 3}", uptime=100)
                       for n in range(fronts)}
        peers = [Peer(name, Address("127.0.0.1", 1000 + n), n < 3, each.site)
                 for n, (name, each) in enumerate(self.fronts.items())]
        self.rollouts = Rollouts()
        self.coordinator = RolloutCoordinator(self.rollouts, peers)
        self.log_index, self.second, self.harmed_calls = 1, 0, 0
        self.hold = hold
        self.rollouts.apply(1, {"do": "rollout.start", "id": "r", "what": {}, "stages": [0.0, 0.2, 0.5, 1.0],
                                "hold": hold, "who": "test"})

    def run(self, limit: int = 1_200) -> str:
        """Returns 'done', the reason of a rollback, or 'stands' when it has not ended within `limit` seconds."""
        it = self.rollouts.all["r"]
        site_refused: dict[str, float] = {}
        while self.second < limit and it.state not in (DONE, ROLLED_BACK):
            self.second += 1
            for site in ("h0", "h1", "h2"):
                site_refused[site] = self.random.choice((0.0, 0.0, 0.0, 0.0, 0.02, 0.1))
            for front in self.fronts.values():
                self.advance(front, site_refused[front.site])
            if self.random.random() < self.faults / 10:
                self.coordinator.on_became_leader()
            now = self.second * SECOND
            self.coordinator.record_reports(now, {name: self.report(front) for name, front in self.fronts.items()})
            for body in self.coordinator.due_entries(now):
                for _ in range(1 + (self.random.random() < 0.1)):      # an entry that is applied twice must act once
                    self.log_index += 1
                    self.rollouts.apply(self.log_index, body)
            self.check()
        return it.why if it.state == ROLLED_BACK else "done" if it.state == DONE else "stands"

    def advance(self, front: RolloutFrontEnd, site_refused: float) -> None:
        wanted = self.rollouts.version_of(front.name).name
        front.silent_for = max(0, front.silent_for - 1)
        if wanted != front.version and front.failed != wanted:
            if wanted and not self.change.starts:
                front.failed = wanted
            else:
                self.restart(front, wanted)
        new = bool(front.version)
        if new and self.random.random() < self.change.crash:
            self.restart(front, front.version)
        if self.random.random() < self.faults:
            front.silent_for = self.random.choice((2, 5, 10))
        front.uptime += 1
        if front.uptime < 0:
            return
        bad = min(0.9, front.refused_share + site_refused + (self.change.refused if new else 0))
        cold = 1.5 if front.uptime < 5 else 1.0
        for type_, share in zip(TYPES, (front.first_type_share, 1 - front.first_type_share), strict=True):
            count = sum(self.random.random() < 0.5 for _ in range(int(2 * front.rate * share)))
            refused = sum(self.random.random() < bad for _ in range(count))
            errors = sum(self.random.random() < (self.change.errors if new else 0) for _ in range(count - refused))
            latencies, late = [0] * LATENCY_BUCKETS, 0
            for _ in range(count):
                took = self.random.lognormvariate(4, 0.6) * (
                    self.change.slower if new else 1) * cold * (1 + site_refused)
                latencies[latency_bucket(int(took * 1e6))] += 1
                late += took > 200
            self.harmed_calls += (int(count * self.change.refused) + errors) if new else 0
            front.sums[type_] = front.sums.get(type_, CallStats()).plus(
                CallStats(count, refused, 0, errors, late, tuple(latencies)))

    def restart(self, front: RolloutFrontEnd, version: str) -> None:
        front.version, front.uptime, front.life, front.sums = version, -START_TIME, front.life + 1, {}

    def report(self, front: RolloutFrontEnd) -> FrontEndReport | None:
        if front.silent_for:
            return None
        return FrontEndReport(front.version, front.life, max(0, front.uptime) * SECOND, "", front.failed,
                              dict(front.sums), 0)

    def check(self) -> None:
        it = self.rollouts.all["r"]
        share = it.stages[max(0, it.stage)]
        if it.taken and len(it.taken) > max(1, int(share * len(self.fronts) + 1e-9)):
            raise InvariantViolation(f"{len(it.taken)} have the new version in a stage of {share}")
        away = [name for name in ("f0", "f1", "f2") if self.fronts[name].uptime < 0 and name in it.taken]
        if len(away) > 1 and it.state not in (ROLLED_BACK, DONE):
            raise InvariantViolation(f"voters {away} are down at the same time")
