"""Decides the steps of a rollout on the leader: which front ends take it next, when a stage is complete, and when the
rollout goes back.

Free of I/O. It receives the reports of all front ends once a second. A missing report never counts as good: a front
end that is not heard holds up its stage, and one that was taken and stays silent for long, or does not come up, makes
the rollout go back. A new leader starts to gather evidence anew."""
from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.conf.peering import Peer
from threadshift.eviction.policies import tie_breaker
from threadshift.interface import SECOND
from threadshift.rollout.canary_analysis import CallStats, CanaryAnalysis
from threadshift.rollout.plan import CHECKING, IN_PROGRESS, Rollout, Rollouts

# Time before the first stage, to learn how each front end performs without the change. Like WARM_UP_TIME it is
# limited to the time for which a stage is held: whoever holds stages for less is in a hurry.
BASELINE_TIME = 20 * SECOND
# Calls of so long are compared as one block: trouble lasts for more than a second, and blocks should be independent.
BLOCK_TIME = 3 * SECOND
WARM_UP_TIME = 5 * SECOND      # a started front end is compared after this: by then it has links and found copies
START_TIMEOUT = 60 * SECOND    # from being taken to running the new version; after it the rollout goes back
SILENCE_TIMEOUT = 30 * SECOND  # a front end that was taken and is silent for so long makes the rollout go back
CRASHES_TO_ROLL_BACK = 2       # restarts of front ends that run the new version; a single one may have any cause
WAVE_DIVISOR = 10              # one front end, plus one in so many, may be changing over at once
# The rollout goes back if the loads per call of the whole fleet grow by more than this factor. An increase that is
# harmless at one front end is not at many.
MAX_LOAD_RATIO = 2.0
MIN_LOADS = 50                 # loads before and during the rollout that the ratio has to rest on
MIN_COMPARED_CALLS = 50        # calls of the new version that a stage needs before it may end as good


class FrontEndReport(NamedTuple):
    """What one front end reports about itself."""

    version: str
    incarnation: int             # differs between two processes of the same front end
    uptime: int                  # ns since it started; 0 while it takes no part in the replicated log
    obstacle: str                # why it cannot take the change under way; empty: it can, "?": not checked yet
    failed_version: str          # the version that its supervisor could not start
    call_stats: Mapping[str, CallStats]      # by namespace type
    loads_started: int           # by its calls and by its load orders, since it started


@dataclass
class Observation:
    """What this leader has observed of one rollout."""

    started_at: int              # when this leader began to observe
    analysis: CanaryAnalysis = field(default_factory=CanaryAnalysis)
    last_reports: dict[str, FrontEndReport] = field(default_factory=dict)
    last_heard: dict[str, int] = field(default_factory=dict)
    taken_since: dict[str, int] = field(default_factory=dict)   # when it was first seen as taken
    incarnations: dict[str, set[int]] = field(default_factory=dict)     # that ran the new version, by front end
    complete_since: int = 0      # since when all front ends that were taken run the new version and are warm; 0: not
    complete_stage: int = -2     # the stage of which that is true
    block_stats: dict[str, dict[str, CallStats]] = field(default_factory=dict)      # since the last block
    last_block_at: int = 0
    # [loads, calls] before the first front end was taken, and since then.
    load_counts_before: list[int] = field(default_factory=lambda: [0, 0])
    load_counts_during: list[int] = field(default_factory=lambda: [0, 0])


class RolloutCoordinator:
    """Observes the rollout under way and proposes its next log entries."""

    def __init__(self, rollouts: Rollouts, peers: Sequence[Peer]):
        self.rollouts, self.peers = rollouts, {each.name: each for each in peers}
        self.observations: dict[str, Observation] = {}

    def on_became_leader(self) -> None:
        """Forgets what was observed during an earlier leadership."""
        self.observations.clear()

    def upgrade_order(self, id_: str) -> list[str]:
        """Returns the order in which front ends are taken: spread over halls, then over machines. Within these it is
        by a hash, so that it is not always the same front end that tries a change first."""
        per_machine: dict[tuple[str, str], int] = {}
        per_hall: dict[str, int] = {}
        ranked: list[tuple[int, int, int, str]] = []
        for name in sorted(self.peers, key=lambda name: (tie_breaker(f"{id_} {name}"), name)):
            peer = self.peers[name]
            on_machine = per_machine[peer.hall, peer.machine] = per_machine.get((peer.hall, peer.machine), 0) + 1
            in_hall = per_hall[peer.hall] = per_hall.get(peer.hall, 0) + 1
            ranked.append((on_machine, in_hall, len(ranked), name))
        return [name for _, _, _, name in sorted(ranked)]

    def target_count(self, rollout: Rollout, stage: int) -> int:
        """Returns how many front ends run the change in a stage: at least one, and never more than its share."""
        return max(1, int(rollout.stages[stage] * len(self.peers) + 1e-9))

    def record_reports(self, now: int, reports: Mapping[str, FrontEndReport | None]) -> None:
        """Takes the reports of all front ends of the last second; None stands for one that was not heard."""
        rollout = self.rollouts.under_way
        if rollout is None:
            self.observations.clear()
            return
        seen = self.observations.setdefault(rollout.id, Observation(now))
        for name in rollout.taken:
            seen.taken_since.setdefault(name, now)
        loads = calls = 0
        new = {name for name, report in reports.items() if report and rollout.id in report.version.split("+")}
        for name, report in reports.items():
            if report is None:
                seen.last_reports.pop(name, None)       # calls during the gap are not compared
                continue
            seen.last_heard[name] = now
            if name in new:
                seen.incarnations.setdefault(name, set()).add(report.incarnation)
            before = seen.last_reports.get(name)
            seen.last_reports[name] = report
            if (before is None or before.incarnation != report.incarnation
                    or report.uptime < min(WARM_UP_TIME, rollout.hold)):
                continue
            new_stats = {type_: stats.since(before.call_stats.get(type_, CallStats()))
                         for type_, stats in report.call_stats.items()}
            loads += report.loads_started - before.loads_started
            calls += sum(stats.answers for stats in new_stats.values())
            block_stats = seen.block_stats.setdefault(name, {})
            for type_, stats in new_stats.items():
                block_stats[type_] = block_stats.get(type_, CallStats()).plus(stats)
        if now - seen.last_block_at >= BLOCK_TIME:
            seen.analysis.add_block(seen.block_stats, new)
            seen.block_stats, seen.last_block_at = {}, now
        load_counts = seen.load_counts_during if rollout.taken else seen.load_counts_before
        load_counts[0] += loads
        load_counts[1] += calls

    def due_entries(self, now: int) -> list[dict[str, Any]]:
        """Returns the log entries that the leader should propose now."""
        rollout = self.rollouts.under_way
        if rollout is None or rollout.id not in self.observations:
            return []
        seen = self.observations[rollout.id]
        why = self.rollback_reason(rollout, seen, now)
        if why:
            return [{"do": "rollout.back", "id": f"back-{rollout.id}", "rollout": rollout.id, "why": why}]
        if rollout.state == CHECKING:
            reports = [seen.last_reports.get(name) for name in self.peers]
            ready = all(each is not None and not each.obstacle for each in reports)
            return self.next_wave(rollout, seen, 0, now) if (
                ready and now - seen.started_at >= min(BASELINE_TIME, rollout.hold)) else []
        if rollout.state != IN_PROGRESS:
            return []
        if len(rollout.taken) < self.target_count(rollout, rollout.stage):
            return self.next_wave(rollout, seen, rollout.stage, now)
        if not self.is_stage_complete(rollout, seen):
            seen.complete_since = 0
            return []
        if not seen.complete_since or seen.complete_stage != rollout.stage:
            seen.complete_since, seen.complete_stage = now, rollout.stage
        if now - seen.complete_since < rollout.hold:
            return []
        last = rollout.stage == len(rollout.stages) - 1
        if not last and seen.analysis.compared_calls < MIN_COMPARED_CALLS:
            return []                           # a lack of evidence is not evidence that the change is good
        if last:
            return [{"do": "rollout.done", "id": f"done-{rollout.id}", "rollout": rollout.id,
                     "why": "all stages were completed"}]
        return self.next_wave(rollout, seen, rollout.stage + 1, now)

    def next_wave(self, rollout: Rollout, seen: Observation, stage: int, now: int) -> list[dict[str, Any]]:
        """Returns the entry that takes the next front ends of a stage: few that change over at once, and never more
        than one voter among them."""
        changing = [name for name in rollout.taken if not self.is_running(rollout, seen, name)]
        most = min(self.target_count(rollout, stage) - len(rollout.taken),
                   1 + len(self.peers) // WAVE_DIVISOR - len(changing))
        voters = sum(self.peers[name].voter for name in changing)
        names: list[str] = []
        for name in self.upgrade_order(rollout.id):
            if name in rollout.taken or len(names) >= most:
                continue
            if self.peers[name].voter:
                if voters:
                    continue
                voters += 1
            names.append(name)
        if not names:
            return []
        return [{"do": "rollout.take", "id": f"take-{rollout.id}-{len(rollout.taken)}-{stage}", "rollout": rollout.id,
                 "stage": stage, "after": len(rollout.taken), "names": names, "why": ""}]

    def is_running(self, rollout: Rollout, seen: Observation, name: str) -> bool:
        """Whether a front end reports that it serves with the change."""
        report = seen.last_reports.get(name)
        return report is not None and rollout.id in report.version.split("+") and report.uptime > 0

    def is_stage_complete(self, rollout: Rollout, seen: Observation) -> bool:
        """Whether all front ends that were taken report that they run the change and are warm."""
        return all(self.is_running(rollout, seen, name)
                   and seen.last_reports[name].uptime >= min(WARM_UP_TIME, rollout.hold) for name in rollout.taken)

    def rollback_reason(self, rollout: Rollout, seen: Observation, now: int) -> str:
        """Returns why the rollout has to go back; empty if nothing shows that."""
        for name, report in sorted(seen.last_reports.items()):
            if rollout.state == CHECKING and report.obstacle not in ("", "?"):
                return f"{name} cannot take the change: {report.obstacle}"
            if rollout.id in report.failed_version.split("+"):
                return f"{name} could not start it"
        crashes = sum(len(incarnations) - 1 for incarnations in seen.incarnations.values())
        if crashes >= CRASHES_TO_ROLL_BACK:
            return f"{crashes} front ends that ran it were started again"
        for name in rollout.taken:
            since = seen.taken_since.get(name, now)
            if name not in seen.incarnations and now - max(since, seen.started_at) >= START_TIMEOUT:
                return f"{name} does not come up with it"
            if now - max(seen.last_heard.get(name, 0), since, seen.started_at) >= SILENCE_TIMEOUT:
                return f"{name} runs it and sends no reports"
        why = seen.analysis.verdict()
        if not why and seen.load_counts_before[1] > 0 and seen.load_counts_during[0] >= MIN_LOADS:
            before, during = ((loads + 1) / (calls + 1)
                              for loads, calls in (seen.load_counts_before, seen.load_counts_during))
            if during > MAX_LOAD_RATIO * before and seen.load_counts_before[0] >= MIN_LOADS:
                why = f"loads per call over the whole fleet: {during:.3f} with it, {before:.3f} before"
        return why
