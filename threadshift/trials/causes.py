"""What a day's calls lost, and to what: from the records of its stand-ins or models alone.

A call that was not served in time lost utility. It is put down to the first of these causes that its records show,
in this order: the one that needed no other to do harm stands first.
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

FACT = 8 * SECOND          # a send lost at a worker so long ago told its front end; longer than any suspension
UNUSED = 0.5               # of what a cold worker bears: with less sent to it, it had room for the call
CAUSES = ("lost, first to learn", "lost, known to others", "its front end gone", "refused, cold room unused",
         "refused, no cold room", "refused", "copy brought again", "first copy", "late")


class Life(NamedTuple):
    """One life of a worker."""

    began: int
    ended: int                   # far ahead where it did not end
    cores: int
    sent: list[int]              # when work came, ...
    sums: list[float]            # ... and the work in ms up to and with each

    def pushed(self, at: int, over: int) -> float:
        """ms of work sent to it in the time before."""
        last, first = (bisect.bisect(self.sent, when) for when in (at, at - over))
        return (self.sums[last - 1] if last else 0.0) - (self.sums[first - 1] if first else 0.0)


@dataclass
class Losses:
    """Utility by cause, and what the front ends did beside, over one day."""

    asked: float = 0.0
    by_cause: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    sends: int = 0
    learnt: int = 0              # sends lost to a fact that one front end learnt first ...
    again: int = 0               # ... and that others then learnt in the same way
    loads: int = 0
    needless: int = 0            # loads where a copy stood elsewhere within the time an idle one stays
    served: dict[str, list[float]] = field(default_factory=dict)     # front end: utility asked, and got


def lives(seen: Iterable[RecordedEvent]) -> dict[str, list[Life]]:
    found: dict[str, list[Life]] = defaultdict(list)
    for each in seen:
        if each.event == "up":
            found[each.source].append(Life(each.t, 1 << 62, each["cores"], [], []))
        elif each.event == "invoke" and found[each.source]:
            it = found[each.source][-1]
            it.sent.append(each.t)
            it.sums.append((it.sums[-1] if it.sums else 0.0) + each["work_ms"])
        elif each.event in ("killed", "fell-over"):
            who = each["who"] if each.event == "killed" else each.source
            if found.get(who):
                found[who][-1] = found[who][-1]._replace(ended=each.t)
    return found


def room(life: Life, at: int, it: Deployment) -> bool:
    """Whether a cold worker could surely have taken more at that time."""
    return life.pushed(at, it.fall_time) < UNUSED * cold_capacity(it, life.cores, at - life.began)


class Facts:
    """Sends lost at a worker, and who lost one there before."""

    def __init__(self, marks: dict[str, list[RecordedEvent]]):
        self.lost: dict[str, list[RecordedEvent]] = {}
        losses: list[RecordedEvent] = []
        for mark, events in marks.items():
            sent = [each for each in events if each.event == "invoke"]
            done = {(each.source, each.event) for each in events}
            # Cut off, never ended, or turned away by one that drains: all say that the worker is not to be used.
            gone = [each for each in sent if (each.source, "done") not in done and (
                (each.source, "turned") not in done or (each.source, "cut-off") in done)]
            if gone:
                self.lost[mark] = gone
                losses += gone
        self.again: set[int] = set()
        latest: dict[str, dict[str, int]] = defaultdict(dict)       # worker: front end: when it lost one there
        for each in sorted(losses, key=lambda one: one.t):
            others = latest[each.source]
            if any(who != each["front"] and each.t - when <= FACT for who, when in others.items()):
                self.again.add(id(each))
            others[each["front"]] = each.t
        self.count = len(losses)


def losses(seen: list[RecordedEvent], it: Deployment) -> Losses:
    """What was lost to which cause."""
    found = Losses(sends=len(select_events(seen, "invoke")))
    alive, marks = lives(seen), group_by_mark(seen)
    facts = Facts(marks)
    found.learnt, found.again = facts.count - len(facts.again), len(facts.again)
    loads: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for each in select_events(seen, "load"):
        if not each.fields.get("failed"):
            found.loads += 1
            before = loads[each["function"]]
            found.needless += any(
                each.t - when <= it.idle_keep_alive and who != each.source for when, who in before[-9:])
            before.append((each.t, each.source))
    for tries, asked, got in call_utilities(seen, it):
        found.asked += asked
        share = found.served.setdefault(f"front-{tries[0]['front']}", [0.0, 0.0])
        share[0] += asked
        share[1] += got
        if got < asked:
            found.by_cause[cause(tries, marks, facts, alive, loads, it)] += asked - got
    return found


def cause(tries: list[RecordedEvent], marks: dict[str, list[RecordedEvent]], facts: Facts,
          alive: dict[str, list[Life]], loads: dict[str, list[tuple[int, str]]], it: Deployment) -> str:
    sends = [each for one in tries for each in marks[one["mark"]] if each.event == "invoke"]
    lost = [each for one in tries for each in facts.lost.get(one["mark"], ())]
    if lost:
        return "lost, known to others" if any(id(each) in facts.again for each in lost) else "lost, first to learn"
    first = marks[tries[0]["mark"]]
    if any(each.event == "broke" for each in first):
        return "its front end gone"
    if not any(each.event == "invoke" for each in first):
        cold = [life for each in alive.values() for life in each
                if life.began <= tries[0].t < min(life.ended, life.began + it.cold_time)]
        return "refused" if not cold else "refused, cold room unused" if any(
            room(life, tries[0].t, it) for life in cold) else "refused, no cold room"
    for each in sends:
        begun = loads[each["function"]]
        began = [when for when, who in begun if who == each.source and when >= each.t]
        if began and (ends := [one.t for one in marks[each["mark"]] if one.event == "run"]) and min(began) <= ends[0]:
            stood = any(each.t - it.idle_keep_alive <= when <= each.t and who != each.source for when, who in begun)
            return "copy brought again" if stood else "first copy"
    return "late"


def jain(values: list[float]) -> float:
    """Jain's index of fairness (Jain, Chiu, Hawe 1984): 1 where all are equal, 1/n where one has all."""
    squares = sum(each * each for each in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
