"""Reads what stand-ins, clients and the conductor of one day recorded. Times are monotonic ns of one machine."""
from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any


class Unreadable(Exception):
    """A folder or record that cannot be audited; says which line."""


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
    found = []
    paths = sorted(folder.glob("*.jsonl"))
    if not paths:
        raise Unreadable(f"{folder}: holds no records")
    for path in paths:
        lines = path.read_bytes().split(b"\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                facts = json.loads(line)
                found.append(Seen(facts.pop("t"), facts.pop("e"), path.stem, facts))
            except (ValueError, KeyError, AttributeError, TypeError):
                if number == len(lines):        # killed while it wrote its last line
                    continue
                raise Unreadable(f"{path}:{number}: is no record line") from None
    return sorted(found, key=lambda each: each.t)


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
