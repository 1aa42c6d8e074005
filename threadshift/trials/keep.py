"""Results of runs in one SQLite file. A run is in it whole or not at all, whenever the program is stopped.

A result belongs to the commit it was made with: after a change the same runs are made anew, beside the old ones.
"""
from __future__ import annotations

import json
import sqlite3
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

WAIT = 30.0                # s for another process that writes
FORM = 1                   # of the tables

TABLES = """
create table if not exists runs (
    key text not null, made text not null, trial text not null, at real not null, point text not null,
    seed integer not null, policy text not null, day text not null, fronts integer not null,
    workers integer not null, tries integer not null, firsts integer not null, asked real not null,
    in_time real not null, completed integer not null, rejected integer not null, aborted integer not null,
    broken integer not null, sends integer not null, orders integer not null, loads integer not null,
    breaches integer not null, breach text not null, front_ns integer not null, latencies text not null,
    events integer not null, took real not null, primary key (key, made, trial))
"""


class Result(NamedTuple):
    """What one run came to."""

    key: str
    point: dict[str, str]
    seed: int
    policy: str
    day: str
    fronts: int
    workers: int
    tries: int
    firsts: int
    asked: float             # utility
    in_time: float           # of it
    completed: int
    rejected: int
    aborted: int
    broken: int
    sends: int
    orders: int
    loads: int
    breaches: int
    breach: str              # the first
    front_ns: int            # modelled processor time of all front ends
    latencies: str           # HDR histogram of completed calls, us, as its library encodes it
    events: int
    took: float              # s of our own processor

    @property
    def ratio(self) -> float:
        """Utility in time over asked."""
        return self.in_time / self.asked if self.asked else 1.0


class Unusable(ThreadshiftError):
    """A file that holds no results, or of another form."""

    help = "give another file, or remove this one"


class Kept:
    """An open file. Raises Unusable."""

    def __init__(self, path: str, new: bool = True):
        self.path = path
        try:
            self.db = sqlite3.connect(path if new else f"file:{path}?mode=ro", timeout=WAIT, uri=not new)
            form = self.db.execute("pragma user_version").fetchone()[0]
            tables = self.db.execute("select count(*) from sqlite_master").fetchone()[0]
            if form != FORM and (tables or not new):
                raise Unusable(f"{path}: holds no results of this form")
            if new:
                self.db.execute("pragma journal_mode = wal")
                self.db.executescript(f"{TABLES}; pragma user_version = {FORM};")
        except sqlite3.Error as problem:
            raise Unusable(f"{path}: {problem}") from None

    def add(self, trial: str, made: str, result: Result) -> None:
        told: tuple[Any, ...] = (result.key, made, trial, time.time(), json.dumps(result.point), *result[2:])
        with self.db:
            self.db.execute(f"insert or replace into runs values ({', '.join('?' * len(told))})", told)

    def keys(self, made: str) -> set[str]:
        """Runs that were made with this commit."""
        return {key for key, in self.db.execute("select key from runs where made = ?", (made,))}

    def commits(self) -> list[str]:
        """In the order in which they were first run."""
        return [made for made, in self.db.execute("select made from runs group by made order by min(at)")]

    def results(self, made: str | None = None) -> Iterator[Result]:
        """Of one commit, the latest if none is named; in the order of seeds and points."""
        commits = self.commits()
        if made is None and commits:
            made = commits[-1]
        rows = self.db.execute("select key, point, " + ", ".join(Result._fields[2:]) +
                               " from runs where made = ? order by seed, point, key", (made,))
        for key, point, *rest in rows:
            yield Result(key, json.loads(point), *rest)

    def close(self) -> None:
        self.db.close()
