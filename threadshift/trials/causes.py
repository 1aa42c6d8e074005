"""Attributes lost utility to causes, from the records of stand-ins or emulator models alone.

A call that was not served in time lost utility. The loss is attributed to the first cause that the records show, in
the order of `cause_of`: causes that do harm on their own come before those that need another one.
"""
from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from threadshift.audit.records import RecordedEvent, group_by_mark, select_events
from threadshift.audit.report import call_utilities
from threadshift.audit.rules import cold_capacity
from threadshift.interface import SECOND, Deployment

# Another front end that lost a send at the worker within this time knew of the failure; longer than any suspension.
KNOWN_LOSS_WINDOW = 8 * SECOND
SPARE_CAPACITY_SHARE = 0.5     # of a cold worker's capacity: if it was sent less, it could have taken the call
CAUSES = ("lost, first to learn", "lost, known to others", "its front end gone", "refused, cold room unused",
         "refused, no cold room", "refused", "copy brought again", "first copy", "late")


class WorkerLife(NamedTuple):
    """One run of a worker process, from its start to its end."""

    started_at: int
    ended_at: int                # 1 << 62 if it did not end
    cores: int
    sent: list[int]              # arrival times of calls
    cumulative_work: list[float]     # sent up to and including each of these calls, ms

    def recent_work(self, at: int, window: int) -> float:
        """Returns the work that it was sent during the window before a time, ms."""
        last, first = (bisect.bisect(self.sent, when) for when in (at, at - window))
        return (self.cumulative_work[last - 1] if last else 0.0) - (self.cumulative_work[first - 1] if first else 0.0)


@dataclass
class Losses:
    """Lost utility by cause, and counts of sends and loads, of one day."""

    asked: float = 0.0
    by_cause: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    sends: int = 0
    first_losses: int = 0        # sends lost at a worker where no other front end had lost one lately
    repeated_losses: int = 0     # sends lost at a worker where another front end had lost one lately
    loads: int = 0
    redundant_loads: int = 0     # loads while another worker had loaded a copy within the idle keep-alive time
    served: dict[str, list[float]] = field(default_factory=dict)     # front end: utility asked for, and got


def worker_lives(seen: Iterable[RecordedEvent]) -> dict[str, list[WorkerLife]]:
    """Returns the lives of each worker, oldest first."""
    found: dict[str, list[WorkerLife]] = defaultdict(list)
    for each in seen:
        if each.event == "up":
            found[each.source].append(WorkerLife(each.t, 1 << 62, each["cores"], [], []))
        elif each.event == "invoke" and found[each.source]:
            life = found[each.source][-1]
            life.sent.append(each.t)
            life.cumulative_work.append((life.cumulative_work[-1] if life.cumulative_work else 0.0) + each["work_ms"])
        elif each.event in ("killed", "fell-over"):
            who = each["who"] if each.event == "killed" else each.source
            if found.get(who):
                found[who][-1] = found[who][-1]._replace(ended_at=each.t)
    return found


def has_spare_capacity(life: WorkerLife, at: int, deployment: Deployment) -> bool:
    """Returns whether a cold worker could certainly have taken more work at that time."""
    return life.recent_work(at, deployment.fall_time) < SPARE_CAPACITY_SHARE * cold_capacity(
        deployment, life.cores, at - life.started_at)


class LostSends:
    """The sends that were lost at workers, and which of them followed a loss by another front end."""

    def __init__(self, marks: dict[str, list[RecordedEvent]]):
        self.lost: dict[str, list[RecordedEvent]] = {}
        losses: list[RecordedEvent] = []
        for mark, events in marks.items():
            sends = [each for each in events if each.event == "invoke"]
            done = {(each.source, each.event) for each in events}
            # A send is lost if it did not complete and was not rejected, or was rejected and cut off by a worker that
            # drains. Such a loss shows that the worker is not to be used.
            lost = [each for each in sends if (each.source, "done") not in done and (
                (each.source, "turned") not in done or (each.source, "cut-off") in done)]
            if lost:
                self.lost[mark] = lost
                losses += lost
        self.repeated: set[int] = set()
        latest: dict[str, dict[str, int]] = defaultdict(dict)       # worker: front end: time of its last loss there
        for each in sorted(losses, key=lambda one: one.t):
            others = latest[each.source]
            if any(who != each["front"] and each.t - when <= KNOWN_LOSS_WINDOW for who, when in others.items()):
                self.repeated.add(id(each))
            others[each["front"]] = each.t
        self.count = len(losses)


def losses(seen: list[RecordedEvent], deployment: Deployment) -> Losses:
    """Computes the losses of one day from its records."""
    found = Losses(sends=len(select_events(seen, "invoke")))
    lives, marks = worker_lives(seen), group_by_mark(seen)
    lost_sends = LostSends(marks)
    found.first_losses, found.repeated_losses = lost_sends.count - len(lost_sends.repeated), len(lost_sends.repeated)
    loads: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for each in select_events(seen, "load"):
        if not each.fields.get("failed"):
            found.loads += 1
            before = loads[each["function"]]
            found.redundant_loads += any(
                each.t - when <= deployment.idle_keep_alive and who != each.source for when, who in before[-9:])
            before.append((each.t, each.source))
    for tries, asked, got in call_utilities(seen, deployment):
        found.asked += asked
        share = found.served.setdefault(f"front-{tries[0]['front']}", [0.0, 0.0])
        share[0] += asked
        share[1] += got
        if got < asked:
            found.by_cause[cause_of(tries, marks, lost_sends, lives, loads, deployment)] += asked - got
    return found


def cause_of(tries: list[RecordedEvent], marks: dict[str, list[RecordedEvent]], lost_sends: LostSends,
             lives: dict[str, list[WorkerLife]], loads: dict[str, list[tuple[int, str]]],
             deployment: Deployment) -> str:
    """Returns the cause, one of CAUSES, of a call that was not served in time."""
    sends = [each for one in tries for each in marks[one["mark"]] if each.event == "invoke"]
    lost = [each for one in tries for each in lost_sends.lost.get(one["mark"], ())]
    if lost:
        return ("lost, known to others" if any(id(each) in lost_sends.repeated for each in lost)
                else "lost, first to learn")
    first = marks[tries[0]["mark"]]
    if any(each.event == "broke" for each in first):
        return "its front end gone"
    if not any(each.event == "invoke" for each in first):
        cold = [life for each in lives.values() for life in each
                if life.started_at <= tries[0].t < min(life.ended_at, life.started_at + deployment.cold_time)]
        return "refused" if not cold else "refused, cold room unused" if any(
            has_spare_capacity(life, tries[0].t, deployment) for life in cold) else "refused, no cold room"
    for each in sends:
        function_loads = loads[each["function"]]
        load_times = [when for when, who in function_loads if who == each.source and when >= each.t]
        if load_times and (runs := [one.t for one in marks[each["mark"]] if one.event == "run"]) and (
                min(load_times) <= runs[0]):
            had_other_copy = any(each.t - deployment.idle_keep_alive <= when <= each.t and who != each.source
                                 for when, who in function_loads)
            return "copy brought again" if had_other_copy else "first copy"
    return "late"


def jain(values: list[float]) -> float:
    """Jain's index of fairness (Jain, Chiu, Hawe 1984): 1 where all are equal, 1/n where one has all."""
    squares = sum(each * each for each in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
