"""What a member stores, as records of its journal: its term, its vote in the term, a snapshot, the entries after it.

Each record has the number of its form. Unknown fields of a record are ignored; a record of an unknown form is
rejected, because its meaning cannot be guessed."""
from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

RECORD_FORM = 1            # a file with a later form was written by a later program

# (term, index) of an entry; of two logs the one with the later last position is newer
LogPosition = tuple[int, int]


class LogEntry(NamedTuple):
    """One entry of the log: the term of the leader that made it, and its body."""

    term: int
    body: dict[str, Any]


class UnsupportedVersion(ThreadshiftError):
    """A file with records of a form that this program does not support."""

    help = "start the program that wrote the file, or a later one; this one leaves the file unchanged"


class InvalidLog(ThreadshiftError):
    """Records that are malformed or do not follow from each other."""

    help = "move the file away and start without it: with other voters up, this one learns everything from them"


@dataclass(slots=True)
class PersistentState:
    """The content of the file. `base` is the position of the last entry that the snapshot `state` includes."""

    term: int = 0
    vote: str = ""
    base: LogPosition = (0, 0)
    state: dict[str, Any] | None = None
    log: list[LogEntry] = field(default_factory=list)

    @classmethod
    def from_records(cls, records: Iterable[dict[str, Any]]) -> PersistentState:
        """Replays the records of a journal. Raises UnsupportedVersion, InvalidLog."""
        result = cls()
        for record in records:
            if record.get("form") != RECORD_FORM:
                raise UnsupportedVersion(
                    f"record of form {record.get('form')}; this program reads form {RECORD_FORM}")
            try:
                result.apply_record(record)
            except (KeyError, TypeError, ValueError, IndexError) as problem:
                raise InvalidLog(f"invalid record: {problem!r}") from None
        return result

    def apply_record(self, record: dict[str, Any]) -> None:
        if "state" in record:
            self.base, self.state, self.log = (record["base"][0], record["base"][1]), record["state"], []
        if "term" in record:
            self.term, self.vote = record["term"], record["vote"]
        if "entries" in record:
            offset = record["at"] - self.base[1] - 1
            if not 0 <= offset <= len(self.log):
                raise ValueError(f"entries from index {record['at']} do not follow {self.base[1] + len(self.log)}")
            self.log[offset:] = [LogEntry(term, body) for term, body in record["entries"]]


def term_record(term: int, vote: str) -> dict[str, Any]:
    """The record of a term and the candidate that this member voted for in it, "" if it has not voted."""
    return {"form": RECORD_FORM, "term": term, "vote": vote}


def entries_record(at: int, entries: Sequence[LogEntry]) -> dict[str, Any]:
    """The record of entries from index `at` on. It replaces all earlier entries from that index on."""
    return {"form": RECORD_FORM, "at": at, "entries": [list(each) for each in entries]}


def snapshot_record(base: LogPosition, state: dict[str, Any]) -> dict[str, Any]:
    """The record of a snapshot that includes all entries up to `base`."""
    return {"form": RECORD_FORM, "base": list(base), "state": state}
