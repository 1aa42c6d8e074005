"""The calls of batches as records of a journal, so that they survive a crash of the process. Free of I/O except for
the journal.

Write-ahead rules: a call is stored before its 202 is sent; that it goes out is stored before the engine gets it, and
so before any byte of it may be sent; its answer is stored before it is given out; the calls that a cancel parked are
stored before that is reported. After a crash only these records decide. A call that never went out waits again, and
so does one that was out and is repeatable. Any other call that was out is ended as aborted, may have run, even if it
never left the process: that errs on the side that never runs a call twice.

Wall-clock times serve only to compute how much of a call's time passed while no process ran. A clock that was set
back gives a call no more time than it had."""
from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import Effect
from threadshift.storage.disk import Disk
from threadshift.storage.journal import Journal

FORMAT_VERSION = 1         # written as "form" in each record
# The file is rewritten once it has more records than RECORDS_PER_CALL times the stored calls and RECORD_SLACK more.
RECORDS_PER_CALL = 4
RECORD_SLACK = 2_000


class UnsupportedVersion(ThreadshiftError):
    """A later version of the program wrote the file."""

    help = "start the program that wrote it, or a later one; this one leaves the file as it is"


@dataclass(slots=True)
class StoredCall:
    """One call, by its records. The fields have the names of the fields of a "take" record."""

    ivk: str
    tenant: str
    batch: str
    order: int
    at: int                      # when it was accepted, wall-clock ns
    left: int                    # the time that it had left then, ns
    call: dict[str, Any]
    effect: Effect
    tries: int = 0
    out: bool = False
    parked: str = ""             # id of the cancel that parked it
    answer: dict[str, Any] | None = None
    answered: int = 0            # when its final answer was stored, wall-clock ns
    extra: dict[str, Any] = field(default_factory=dict)      # fields of its record that this version does not know

    def remaining(self, wall: int) -> int:
        """Returns how much time the call has left; negative if it has passed."""
        return self.left - max(0, wall - self.at)

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run, and must not run twice, if the process crashes now."""
        return self.out and self.effect is not Effect.REPEATABLE


class BatchStore:
    """The stored calls of all batches of one front end."""

    def __init__(self, path: Path, disk: Disk | None = None):
        """Reads the file. Raises what reading it raises, and UnsupportedVersion."""
        self.journal = Journal(path, write=True, disk=disk)
        self.calls: dict[str, StoredCall] = {}
        self.last_order = 0
        self.record_count = 0                    # records in the file
        try:
            for record in self.journal.read():
                self.record_count += 1
                self.apply_record(record)
        except BaseException:
            self.journal.close()
            raise

    def apply_record(self, record: dict[str, Any]) -> None:
        """Applies a record that was read or has just been written. Raises UnsupportedVersion."""
        if record.get("form", 0) > FORMAT_VERSION:
            raise UnsupportedVersion(f"a record has form {record['form']}; this program reads up to {FORMAT_VERSION}",
                                     str(self.journal.path))
        do, call = record.get("do"), self.calls.get(record.get("ivk", ""))
        if do == "take":
            known = {name: record[name] for name in (
                "ivk", "tenant", "batch", "order", "at", "left", "call", "tries", "out", "parked", "answer",
                "answered") if name in record}
            extra = {name: value for name, value in record.items() if name not in {*known, "do", "form", "effect"}}
            self.calls[record["ivk"]] = StoredCall(**known, effect=Effect(record["effect"]), extra=extra)
            self.last_order = max(self.last_order, record["order"])
        elif do == "stop":
            for ivk in record["ivks"]:
                if ivk in self.calls:
                    self.calls[ivk].parked = record["cancel"]
        elif do == "free":
            for each in self.calls.values():
                each.parked = "" if each.parked == record["cancel"] else each.parked
        elif call is None:
            return
        elif do == "out":
            call.out, call.parked = True, ""
        elif do == "back":
            call.out, call.tries, call.parked = False, record["tries"], record.get("parked", "")
        elif do == "end":
            call.out, call.parked, call.answer, call.answered = False, "", record["answer"], record["at"]
        elif do == "forget":
            del self.calls[call.ivk]

    def write(self, records: list[dict[str, Any]]) -> None:
        """Appends records, all or none, and waits for an fsync; may run on another thread. Raises WriteError."""
        self.journal.append(*records)

    def on_written(self, records: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Applies records that were written. Returns records to rewrite the file with if it has become too long."""
        self.record_count += len(records)
        for each in records:
            self.apply_record(each)
        if self.record_count <= RECORD_SLACK + RECORDS_PER_CALL * len(self.calls):
            return []
        self.record_count = len(self.calls)
        return list(self.current_records())

    def current_records(self) -> Iterator[dict[str, Any]]:
        """Yields one record for each stored call, for a rewritten file."""
        for each in sorted(self.calls.values(), key=lambda each: each.order):
            yield {"form": FORMAT_VERSION, "do": "take", **each.extra, "ivk": each.ivk, "tenant": each.tenant,
                   "batch": each.batch, "order": each.order, "at": each.at, "left": each.left, "call": each.call,
                   "effect": each.effect.value, "tries": each.tries, "out": each.out, "parked": each.parked,
                   "answer": each.answer, "answered": each.answered}

    def calls_parked_by(self, cancel_id: str) -> Iterable[StoredCall]:
        """Returns the calls that a cancel parked."""
        return [each for each in self.calls.values() if each.parked == cancel_id]

    def close(self) -> None:
        self.journal.close()


def make_record(do: str, **fields: Any) -> dict[str, Any]:
    """Returns a record of the kind `do`."""
    return {"form": FORMAT_VERSION, "do": do, **fields}
