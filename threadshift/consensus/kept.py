"""What a member must not forget, as records of its journal: the term, its vote in it, a snapshot, entries after it.

Every record has a number of its form. What a record says beside what is known here is passed over; one of a form that
is not known is not guessed at."""
from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError

FORM = 1                   # of these records; a file with a later one was written by a later program

Place = tuple[int, int]    # (term, index) of an entry; logs are compared by their last


class Entry(NamedTuple):
    """One entry of the record: the term of the holder that made it, and what it says."""

    term: int
    body: dict[str, Any]


class Unknown(ThreadshiftError):
    """A file of a form that this program does not know."""

    help = "start the program that wrote the file, or a later one; this one leaves it as it is"


class Unfit(ThreadshiftError):
    """Records that do not follow from each other."""

    help = "put the file aside and start without it: with other voters up, this one learns all of it from them"


@dataclass(slots=True)
class Kept:
    """What stood in the file. `base` is the place of the last entry that the snapshot `state` holds."""

    term: int = 0
    vote: str = ""
    base: Place = (0, 0)
    state: dict[str, Any] | None = None
    log: list[Entry] = field(default_factory=list)

    @classmethod
    def of(cls, records: Iterable[dict[str, Any]]) -> Kept:
        """Raises Unknown, Unfit."""
        it = cls()
        for record in records:
            if record.get("form") != FORM:
                raise Unknown(f"a record of form {record.get('form')}; {FORM} is known here")
            try:
                it.take(record)
            except (KeyError, TypeError, ValueError, IndexError) as problem:
                raise Unfit(f"a record that cannot be: {problem!r}") from None
        return it

    def take(self, record: dict[str, Any]) -> None:
        if "state" in record:
            self.base, self.state, self.log = (record["base"][0], record["base"][1]), record["state"], []
        if "term" in record:
            self.term, self.vote = record["term"], record["vote"]
        if "entries" in record:
            at = record["at"] - self.base[1] - 1
            if not 0 <= at <= len(self.log):
                raise ValueError(f"entries from {record['at']} on do not follow {self.base[1] + len(self.log)}")
            self.log[at:] = [Entry(term, body) for term, body in record["entries"]]


def term_record(term: int, vote: str) -> dict[str, Any]:
    return {"form": FORM, "term": term, "vote": vote}


def entries_record(at: int, entries: Sequence[Entry]) -> dict[str, Any]:
    """Entries from index `at` on; whatever stood from there on is gone."""
    return {"form": FORM, "at": at, "entries": [list(each) for each in entries]}


def snapshot_record(base: Place, state: dict[str, Any]) -> dict[str, Any]:
    return {"form": FORM, "base": list(base), "state": state}
