"""Reads what the stand-ins, the clients and the conductor of a fault scenario recorded.

Times are ns of the monotonic clock of one machine."""
from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import MS


# The fields that the rules need, by event, with their types. Other events are read and ignored.
EVENT_FIELDS: dict[str, dict[str, type | tuple[type, ...]]] = {
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
class RecordedEvent:
    """One line of a record."""

    t: int
    event: str
    source: str              # the name of the record: w3, clients, roster, conductor, store
    fields: dict[str, Any]

    def __getitem__(self, name: str) -> Any:
        return self.fields[name]


def read(folder: Path) -> list[RecordedEvent]:
    """All events of all records in the order of time. Raises Unreadable."""
    found: list[RecordedEvent] = []
    paths = sorted(folder.glob("*.jsonl"))
    if not paths:
        raise Unreadable(f"{folder}: there are no records (*.jsonl)")
    for path in paths:
        lines = path.read_bytes().split(b"\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                found.append(parse_event(json.loads(line), path.stem))
            except (ValueError, KeyError, AttributeError, TypeError) as problem:
                if number == len(lines) and isinstance(problem, ValueError):    # killed while it wrote its last line
                    continue
                raise Unreadable(f"{path}:{number}: not a line of a record: {problem}") from None
    return sorted(found, key=lambda each: each.t)


def parse_event(fields: dict[str, Any], source: str) -> RecordedEvent:
    """One line of a record. Raises KeyError and TypeError, which name what is missing or wrong."""
    event = RecordedEvent(fields.pop("t"), fields.pop("e"), source, fields)
    if not isinstance(event.t, int) or not isinstance(event.event, str):
        raise TypeError("'t' must be a whole number and 'e' a string")
    for name, type_ in EVENT_FIELDS.get(event.event, {}).items():
        if name not in fields:
            raise KeyError(f"'{event.event}' lacks '{name}'")
        if not isinstance(fields[name], type_):
            raise TypeError(f"'{name}' of '{event.event}' is of the wrong type")
    return event


def check_completeness(seen: list[RecordedEvent]) -> None:
    """Raises Unreadable if too little was recorded to say whether the rules were kept."""
    tries = select_events(seen, "try")
    if not tries:
        raise Unreadable("the records hold no activation: no client made a call")
    if not select_events(seen, "invoke"):
        raise Unreadable("the records hold no activation that reached a worker")
    ended = {each["mark"] for each in select_events(seen, "answer", "quit", "no-answer", "broke")}
    for each in tries:
        missing_ms = each["left_ms"] - (seen[-1].t - each.t) // MS
        if each["mark"] not in ended and missing_ms > 0:
            raise Unreadable(f"the records are too short: they end {missing_ms} ms before {each['mark']} is due, "
                             "without an answer")


def select_events(seen: list[RecordedEvent], *names: str) -> list[RecordedEvent]:
    return [each for each in seen if each.event in names]


def group_attempts(seen: list[RecordedEvent]) -> Iterator[tuple[list[RecordedEvent], int | None]]:
    """The tries of each call, the first one first, with the time when any of them was first completed, or None."""
    found: dict[str, list[RecordedEvent]] = defaultdict(list)
    finals = {each["mark"]: each for each in select_events(seen, "answer")}
    completed = {mark: each.t for mark, each in finals.items() if each["final"] == "completed"}
    for each in select_events(seen, "try"):
        found[each["first"]].append(each)
    for tries in found.values():
        yield tries, min((completed[one["mark"]] for one in tries if one["mark"] in completed), default=None)


def group_by_mark(seen: list[RecordedEvent]) -> dict[str, list[RecordedEvent]]:
    """The events of each activation, by its mark."""
    found = defaultdict(list)
    for each in seen:
        if mark := each.fields.get("mark"):
            found[mark].append(each)
    return found
