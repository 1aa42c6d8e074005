"""What whoever holds the right does with a rollout: who is taken next, when a stage has stood, when it goes back.

Free of I/O. It is fed what front ends tell of themselves, once a second; what was not told is missing, and nothing
that is missing counts as good: a front end that is not heard holds the stage, and one that was taken and is not
heard for long, or does not come up, sends the rollout back. A new holder begins its evidence anew."""
from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.conf.peering import Peer
from threadshift.eviction.policies import tie_breaker
from threadshift.interface import SECOND
from threadshift.rollout.judge import Judge, Sums
from threadshift.rollout.plan import CHECKING, GOING, Rollout, Rollouts

USUAL = 20 * SECOND        # before the first stage: so long it is learnt how each fares without; as WARM no
                           # longer than a stage is held, as who holds one for less is in a hurry
# that are compared as one: trouble lasts for more than a second, and blocks should not hang
BLOCK = 3 * SECOND
                           # together
WARM = 5 * SECOND          # after which a front end that started is compared: links are up and copies found by then
COME_UP = 60 * SECOND      # from being taken to running the new version, or it goes back
GONE = 30 * SECOND         # a front end that was taken and is not heard for so long: it goes back
CRASHES = 2                # of front ends that run the new version: one may be anything
WAVE = 10                  # one part in so many, and one, may be on their way at once
LOADS, FEW_LOADS = 2.0, 50     # times the loads a call of before: good in one, bad in many; of so many at least
LEAST_CALLS = 50           # of the new ones, compared, before a stage may end as good


class Report(NamedTuple):
    """What one front end tells of itself."""

    version: str
    life: int
    up: int                              # ns since it serves and takes part in the record
    can: str                             # why it cannot take the change under way; empty: it can, "?": not looked yet
    failed: str                          # the version that its supervisor could not start
    sums: Mapping[str, Sums]
    loads: int                           # copies that its calls began to load, and orders, since it started


@dataclass
class Watched:
    """One rollout, as the holder sees it."""

    began: int                           # when this holder began to look
    judge: Judge = field(default_factory=Judge)
    last: dict[str, Report] = field(default_factory=dict)
    heard: dict[str, int] = field(default_factory=dict)
    taken: dict[str, int] = field(default_factory=dict)      # when we first saw it as taken
    lives: dict[str, set[int]] = field(default_factory=dict)     # of the new version, by front end
    whole: int = 0                       # since when the stage stands: all taken run it and are warm
    standing: int = -2                   # which stage that was
    came: dict[str, dict[str, Sums]] = field(default_factory=dict)      # since the last block
    blocked: int = 0
    before: list[int] = field(default_factory=lambda: [0, 0])    # loads, calls while nobody ran it
    during: list[int] = field(default_factory=lambda: [0, 0])


class Conductor:
    def __init__(self, rollouts: Rollouts, peers: Sequence[Peer]):
        self.rollouts, self.peers = rollouts, {each.name: each for each in peers}
        self.watched: dict[str, Watched] = {}

    def new_holder(self) -> None:
        self.watched.clear()

    def order(self, id_: str) -> list[str]:
        """In which order front ends are taken: spread over halls, then machines; within them by a hash, so that it is
        not always the same one that tries."""
        turns: dict[tuple[str, str], int] = {}
        halls: dict[str, int] = {}
        found: list[tuple[int, int, int, str]] = []
        for name in sorted(self.peers, key=lambda name: (tie_breaker(f"{id_} {name}"), name)):
            peer = self.peers[name]
            place = turns[peer.hall, peer.machine] = turns.get((peer.hall, peer.machine), 0) + 1
            hall = halls[peer.hall] = halls.get(peer.hall, 0) + 1
            found.append((place, hall, len(found), name))
        return [name for _, _, _, name in sorted(found)]

    def wanted(self, it: Rollout, stage: int) -> int:
        """How many run it in a stage: never more than its share, and one at the least."""
        return max(1, int(it.stages[stage] * len(self.peers) + 1e-9))

    def fed(self, now: int, reports: Mapping[str, Report | None]) -> None:
        """What all front ends told in the last second; None of who was not heard."""
        it = self.rollouts.under_way
        if it is None:
            self.watched.clear()
            return
        seen = self.watched.setdefault(it.id, Watched(now))
        for name in it.taken:
            seen.taken.setdefault(name, now)
        loads = calls = 0
        new = {name for name, report in reports.items() if report and it.id in report.version.split("+")}
        for name, report in reports.items():
            if report is None:
                seen.last.pop(name, None)       # a gap: what lies in it is compared with nothing
                continue
            seen.heard[name] = now
            if name in new:
                seen.lives.setdefault(name, set()).add(report.life)
            before = seen.last.get(name)
            seen.last[name] = report
            if before is None or before.life != report.life or report.up < min(WARM, it.hold):
                continue
            came = {type_: sums.less(before.sums.get(type_, Sums())) for type_, sums in report.sums.items()}
            loads += report.loads - before.loads
            calls += sum(sums.answers for sums in came.values())
            held = seen.came.setdefault(name, {})
            for type_, sums in came.items():
                held[type_] = held.get(type_, Sums()).plus(sums)
        if now - seen.blocked >= BLOCK:
            seen.judge.block(seen.came, new)
            seen.came, seen.blocked = {}, now
        tally = seen.during if it.taken else seen.before
        tally[0] += loads
        tally[1] += calls

    def due(self, now: int) -> list[dict[str, Any]]:
        """Entries to propose now."""
        it = self.rollouts.under_way
        if it is None or it.id not in self.watched:
            return []
        seen = self.watched[it.id]
        why = self.wrong(it, seen, now)
        if why:
            return [{"do": "rollout.back", "id": f"back-{it.id}", "rollout": it.id, "why": why}]
        if it.state == CHECKING:
            told = [seen.last.get(name) for name in self.peers]
            ready = all(each is not None and not each.can for each in told)
            return self.take(it, seen, 0, now) if ready and now - seen.began >= min(USUAL, it.hold) else []
        if it.state != GOING:
            return []
        if len(it.taken) < self.wanted(it, it.stage):
            return self.take(it, seen, it.stage, now)
        if not self.stands(it, seen):
            seen.whole = 0
            return []
        if not seen.whole or seen.standing != it.stage:
            seen.whole, seen.standing = now, it.stage
        if now - seen.whole < it.hold:
            return []
        last = it.stage == len(it.stages) - 1
        if not last and seen.judge.calls < LEAST_CALLS:
            return []                           # no evidence is not good evidence
        if last:
            return [{"do": "rollout.done", "id": f"done-{it.id}", "rollout": it.id, "why": "all stages stood"}]
        return self.take(it, seen, it.stage + 1, now)

    def take(self, it: Rollout, seen: Watched, stage: int, now: int) -> list[dict[str, Any]]:
        """The next wave of a stage: few on their way at once, and never a second voter."""
        on_way = [name for name in it.taken if not self.runs(it, seen, name)]
        room = min(self.wanted(it, stage) - len(it.taken), 1 + len(self.peers) // WAVE - len(on_way))
        voters = sum(self.peers[name].voter for name in on_way)
        names: list[str] = []
        for name in self.order(it.id):
            if name in it.taken or len(names) >= room:
                continue
            if self.peers[name].voter:
                if voters:
                    continue
                voters += 1
            names.append(name)
        if not names:
            return []
        return [{"do": "rollout.take", "id": f"take-{it.id}-{len(it.taken)}-{stage}", "rollout": it.id,
                 "stage": stage, "after": len(it.taken), "names": names, "why": ""}]

    def runs(self, it: Rollout, seen: Watched, name: str) -> bool:
        report = seen.last.get(name)
        return report is not None and it.id in report.version.split("+") and report.up > 0

    def stands(self, it: Rollout, seen: Watched) -> bool:
        """Whether all that should run it do, warm and heard."""
        return all(self.runs(it, seen, name) and seen.last[name].up >= min(WARM, it.hold) for name in it.taken)

    def wrong(self, it: Rollout, seen: Watched, now: int) -> str:
        """Why it goes back, empty: nothing speaks for that."""
        for name, report in sorted(seen.last.items()):
            if it.state == CHECKING and report.can not in ("", "?"):
                return f"{name} cannot take it: {report.can}"
            if it.id in report.failed.split("+"):
                return f"{name} could not start it"
        crashes = sum(len(lives) - 1 for lives in seen.lives.values())
        if crashes >= CRASHES:
            return f"{crashes} front ends that ran it started again"
        for name in it.taken:
            since = seen.taken.get(name, now)
            if name not in seen.lives and now - max(since, seen.began) >= COME_UP:
                return f"{name} does not come up with it"
            if now - max(seen.heard.get(name, 0), since, seen.began) >= GONE:
                return f"{name} runs it and is not heard"
        why = seen.judge.verdict()
        if not why and seen.before[1] > 0 and seen.during[0] >= FEW_LOADS:
            usual, now_ = ((loads + 1) / (calls + 1) for loads, calls in (seen.before, seen.during))
            if now_ > LOADS * usual and seen.before[0] >= FEW_LOADS:
                why = f"loads a call over the whole fleet: {now_:.3f} with it, {usual:.3f} before"
        return why
