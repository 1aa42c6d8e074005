"""The calls of batches as records of a journal, so that they outlive the process. Free of I/O but for its journal.

What is kept before which act: a call before its 202; that it is out before it is handed to the decisions, so before
any byte of it may leave; its answer before that is told; what a cancel stopped before that is told. What a crash
leaves is judged from that alone: never out, it waits on; out and harmless twice, it waits on; out else, it is over,
as aborted that may have run, even if it never left: that errs on the side that never runs a thing twice.

Wall-clock times decide nothing but how much of a call's own time went by while the process was away; a clock that
went back gives it no more than it had."""
from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import Effect
from threadshift.storage.disk import Disk
from threadshift.storage.journal import Journal

FORM = 1                   # of these records
SPARE = 2_000              # records beyond four times what stands, after which the file begins anew


class Later(ThreadshiftError):
    """A file that a later program wrote."""

    help = "start the program that wrote it, or a later one; this one leaves the file as it is"


@dataclass(slots=True)
class Kept:
    """One call as its records tell it."""

    ivk: str
    tenant: str
    batch: str
    order: int
    at: int                      # wall clock ns, when it was accepted ...
    left: int                    # ... and its own time from then on
    call: dict[str, Any]
    effect: Effect
    tries: int = 0
    out: bool = False
    parked: str = ""
    answer: dict[str, Any] | None = None
    answered: int = 0            # wall clock ns
    extra: dict[str, Any] = field(default_factory=dict)      # fields of its record that are not known here

    def remaining(self, wall: int) -> int:
        """What is left of its own time."""
        return self.left - max(0, wall - self.at)

    @property
    def may_have_run(self) -> bool:
        """Whether a crash now would leave it in doubt, where it may not run twice."""
        return self.out and self.effect is not Effect.REPEATABLE


class Shelf:
    """All calls of batches of one front end."""

    def __init__(self, path: Path, disk: Disk | None = None):
        """Raises what reading it raises, and Later."""
        self.journal = Journal(path, write=True, disk=disk)
        self.calls: dict[str, Kept] = {}
        self.orders = 0
        self.written = 0
        try:
            for record in self.journal.read():
                self.written += 1
                self.take(record)
        except BaseException:
            self.journal.close()
            raise

    def take(self, record: dict[str, Any]) -> None:
        """One record, now or from an earlier life. Raises Later."""
        if record.get("form", 0) > FORM:
            raise Later(f"a record of form {record['form']}; {FORM} is known here", str(self.journal.path))
        do, it = record.get("do"), self.calls.get(record.get("ivk", ""))
        if do == "take":
            known = {name: record[name] for name in (
                "ivk", "tenant", "batch", "order", "at", "left", "call", "tries", "out", "parked", "answer",
                "answered") if name in record}
            extra = {name: value for name, value in record.items() if name not in {*known, "do", "form", "effect"}}
            self.calls[record["ivk"]] = Kept(**known, effect=Effect(record["effect"]), extra=extra)
            self.orders = max(self.orders, record["order"])
        elif do == "stop":
            for ivk in record["ivks"]:
                if ivk in self.calls:
                    self.calls[ivk].parked = record["cancel"]
        elif do == "free":
            for each in self.calls.values():
                each.parked = "" if each.parked == record["cancel"] else each.parked
        elif it is None:
            return
        elif do == "out":
            it.out, it.parked = True, ""
        elif do == "back":
            it.out, it.tries, it.parked = False, record["tries"], record.get("parked", "")
        elif do == "end":
            it.out, it.parked, it.answer, it.answered = False, "", record["answer"], record["at"]
        elif do == "forget":
            del self.calls[it.ivk]

    def write(self, records: list[dict[str, Any]]) -> None:
        """Keeps records, all or none; another thread may. As long as an fsync; raises WriteError."""
        self.journal.append(*records)

    def wrote(self, records: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Applies what was kept; what the file should begin anew with, if it has become long."""
        self.written += len(records)
        for each in records:
            self.take(each)
        if self.written <= SPARE + 4 * len(self.calls):
            return []
        self.written = len(self.calls)
        return list(self.whole())

    def whole(self) -> Iterator[dict[str, Any]]:
        """All that stands, as records of a file begun anew."""
        for each in sorted(self.calls.values(), key=lambda each: each.order):
            yield {"form": FORM, "do": "take", **each.extra, "ivk": each.ivk, "tenant": each.tenant,
                   "batch": each.batch, "order": each.order, "at": each.at, "left": each.left, "call": each.call,
                   "effect": each.effect.value, "tries": each.tries, "out": each.out, "parked": each.parked,
                   "answer": each.answer, "answered": each.answered}

    def of(self, parked: str) -> Iterable[Kept]:
        return [each for each in self.calls.values() if each.parked == parked]

    def close(self) -> None:
        self.journal.close()


def record(do: str, **fields: Any) -> dict[str, Any]:
    return {"form": FORM, "do": do, **fields}
