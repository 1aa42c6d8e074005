"""Stores the results of runs in one SQLite file.

Each result is written in one transaction, so a stop never leaves half of one. A result is stored with
the commit that produced it. After a change the runs are repeated, and the old results stay.
"""
from __future__ import annotations

import json
import sqlite3
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

LOCK_TIMEOUT_S = 30.0      # for another process that writes
SCHEMA_VERSION = 1

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
    """The result of one run; the fields are columns of the table."""

    key: str
    point: dict[str, str]
    seed: int
    policy: str
    day: str
    fronts: int              # front ends
    workers: int
    tries: int
    firsts: int              # calls; `tries` counts their retries too
    asked: float             # utility of all calls
    in_time: float           # utility of calls that were served in time
    completed: int
    rejected: int
    aborted: int
    broken: int
    sends: int
    orders: int              # load orders
    loads: int
    breaches: int
    breach: str              # the first one, or empty
    front_ns: int            # modelled processor time of all front ends
    latencies: str           # HDR histogram of completed calls, us, as its library encodes it
    events: int
    took: float              # processor time of the run itself, s

    @property
    def ratio(self) -> float:
        """Utility in time divided by utility asked for."""
        return self.in_time / self.asked if self.asked else 1.0


class InvalidResultsFile(ThreadshiftError):
    """The file holds no results, or has another schema version."""

    help = "give another file, or remove this one"


class ResultStore:
    """An open results file. The constructor raises InvalidResultsFile."""

    def __init__(self, path: str, writable: bool = True):
        self.path = path
        try:
            self.db = sqlite3.connect(path if writable else f"file:{path}?mode=ro", timeout=LOCK_TIMEOUT_S,
                                      uri=not writable)
            version = self.db.execute("pragma user_version").fetchone()[0]
            tables = self.db.execute("select count(*) from sqlite_master").fetchone()[0]
            if version != SCHEMA_VERSION and (tables or not writable):
                raise InvalidResultsFile(f"{path}: holds no results of this schema version")
            if writable:
                self.db.execute("pragma journal_mode = wal")
                self.db.executescript(f"{TABLES}; pragma user_version = {SCHEMA_VERSION};")
        except sqlite3.Error as problem:
            raise InvalidResultsFile(f"{path}: {problem}") from None

    def add(self, trial: str, commit: str, result: Result) -> None:
        row: tuple[Any, ...] = (result.key, commit, trial, time.time(), json.dumps(result.point), *result[2:])
        with self.db:
            self.db.execute(f"insert or replace into runs values ({', '.join('?' * len(row))})", row)

    def keys(self, commit: str) -> set[str]:
        """Returns the keys of the runs that this commit produced."""
        return {key for key, in self.db.execute("select key from runs where made = ?", (commit,))}

    def commits(self) -> list[str]:
        """Returns the commits in the order of their first runs."""
        return [commit for commit, in self.db.execute("select made from runs group by made order by min(at)")]

    def results(self, commit: str | None = None) -> Iterator[Result]:
        """Yields the results of one commit (by default the latest), ordered by seed and point."""
        commits = self.commits()
        if commit is None and commits:
            commit = commits[-1]
        rows = self.db.execute("select key, point, " + ", ".join(Result._fields[2:]) +
                               " from runs where made = ? order by seed, point, key", (commit,))
        for key, point, *rest in rows:
            yield Result(key, json.loads(point), *rest)

    def close(self) -> None:
        self.db.close()
