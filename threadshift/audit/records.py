"""Reads what stand-ins, clients and the conductor of one day recorded. Times are monotonic ns of one machine."""
from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import MS


# What a line must tell, by event, for the rules to be checked from it. Other events are read and passed over.
FACTS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "try": {"mark": str, "first": str, "front": int, "type": str, "effect": str, "left_ms": int},
    "answer": {"mark": str, "final": str}, "quit": {"mark": str}, "no-answer": {"mark": str},
    "broke": {"mark": str, "problem": str},
    "invoke": {"mark": str, "front": str, "work_ms": (int, float)}, "run": {"mark": str},
    "turned": {"mark": str, "kind": str}, "done": {"mark": str}, "cancel": {"mark": str}, "cut-off": {"mark": str},
    "hold": {"front": str}, "up": {}, "fell-over": {}, "order": {"words": (list, str)}, "stood-still": {"since": int},
    "told": {"front": str, "full": bool, "states": dict},
    "stopped": {"who": str}, "goes-on": {"who": str}, "killing": {"who": str}, "over": {},
    "front-up": {"front": int}, "worker-up": {"worker": str},
}


class Unreadable(ThreadshiftError):
    """A folder or record that cannot be audited; says which line."""

    help = "play the day again into an empty folder"


@dataclass(slots=True)
class Seen:
    """One line of a record."""

    t: int
    event: str
    source: str              # the record's name: w3, clients, roster, conductor, store
    facts: dict[str, Any]

    def __getitem__(self, name: str) -> Any:
        return self.facts[name]


def read(folder: Path) -> list[Seen]:
    """All lines of all records in time. Raises Unreadable."""
    found: list[Seen] = []
    paths = sorted(folder.glob("*.jsonl"))
    if not paths:
        raise Unreadable(f"{folder}: holds no records")
    for path in paths:
        lines = path.read_bytes().split(b"\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                found.append(line_of(json.loads(line), path.stem))
            except (ValueError, KeyError, AttributeError, TypeError) as problem:
                if number == len(lines) and isinstance(problem, ValueError):    # killed while it wrote its last line
                    continue
                raise Unreadable(f"{path}:{number}: is no record line: {problem}") from None
    return sorted(found, key=lambda each: each.t)


def line_of(facts: dict[str, Any], source: str) -> Seen:
    """One line of a record. Raises KeyError and TypeError, which say what it lacks."""
    it = Seen(facts.pop("t"), facts.pop("e"), source, facts)
    if not isinstance(it.t, int) or not isinstance(it.event, str):
        raise TypeError("its time or event is not one")
    for name, type_ in FACTS.get(it.event, {}).items():
        if name not in facts:
            raise KeyError(f"'{it.event}' lacks '{name}'")
        if not isinstance(facts[name], type_):
            raise TypeError(f"'{name}' of '{it.event}' is of the wrong type")
    return it


def whole(seen: list[Seen]) -> None:
    """Raises Unreadable where too little was recorded to tell that a promise was kept."""
    asked = by(seen, "try")
    if not asked:
        raise Unreadable("the records hold no activation: nothing was asked for")
    if not by(seen, "invoke"):
        raise Unreadable("the records hold no activation that reached a worker")
    told = {each["mark"] for each in by(seen, "answer", "quit", "no-answer", "broke")}
    for each in asked:
        lacks = each["left_ms"] - (seen[-1].t - each.t) // MS
        if each["mark"] not in told and lacks > 0:
            raise Unreadable(f"the records are too short: they end {lacks} ms before {each['mark']} is due, "
                             "without an answer")


def by(seen: list[Seen], *events: str) -> list[Seen]:
    return [each for each in seen if each.event in events]


def chains(seen: list[Seen]) -> Iterator[tuple[list[Seen], int | None]]:
    """Each call's tries, the first one first, and when any of them was first completed; None where none was."""
    found: dict[str, list[Seen]] = defaultdict(list)
    finals = {each["mark"]: each for each in by(seen, "answer")}
    completed = {mark: each.t for mark, each in finals.items() if each["final"] == "completed"}
    for each in by(seen, "try"):
        found[each["first"]].append(each)
    for tries in found.values():
        yield tries, min((completed[one["mark"]] for one in tries if one["mark"] in completed), default=None)


def by_mark(seen: list[Seen]) -> dict[str, list[Seen]]:
    found = defaultdict(list)
    for each in seen:
        if mark := each.facts.get("mark"):
            found[mark].append(each)
    return found
