"""A consensus member with its journal: opens and replays the file, writes the member's records in order, compacts it.

The live consensus service and the emulator run the same code, so it has no further duties. A damaged file is moved
aside and never repaired: with other voters up, the member learns the log from them and takes part only after that."""
from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from pathlib import Path
from typing import Any

from threadshift.consensus.member import Member, Output, Timing
from threadshift.consensus.persistent_state import InvalidLog, PersistentState
from threadshift.errors import ThreadshiftError
from threadshift.storage.disk import Disk
from threadshift.storage.journal import CorruptJournal, Journal

COMPACT_AFTER_ENTRIES = 256        # keeps the replay at the start within a few ms


class SoleVoterDamaged(ThreadshiftError):
    """The file of the only voter is damaged, and no other member has its content."""

    help = "restore the file from a copy, or remove it to begin an empty log; all earlier entries are lost then"


class DurableMember:
    """Owns one member and its journal. Raises SoleVoterDamaged and what opening the journal raises."""

    def __init__(self, now: int, path: Path, name: str, voters: Sequence[str], others: Collection[str],
                 chance: Callable[[], float], disk: Disk | None = None, timing: Timing | None = None):
        self.journal = Journal(path, write=True, disk=disk)
        self.quarantine_reason = ""         # why the file was moved aside at the start
        try:
            persistent_state = PersistentState.from_records(self.journal.read())
        except (CorruptJournal, InvalidLog) as problem:
            self.quarantine_reason = str(problem)
            if len(voters) == 1 and name in voters:
                self.journal.close()
                raise SoleVoterDamaged(str(problem)) from None
            journal_disk = self.journal.disk
            journal_disk.put(path.with_name(path.name + ".damaged"), journal_disk.read(path))
            journal_disk.put(path, b"")
            self.journal.end_offset = 0
            persistent_state = PersistentState()
        except BaseException:
            self.journal.close()
            raise
        self.member = Member(now, name, voters, others, chance, persistent_state, timing)

    def persist(self, output: Output) -> bool:
        """Writes the records of `output`, which has to be done before its messages are sent or its entries applied.
        Returns False if the disk failed; the output must be discarded then. May take as long as an fsync."""
        if self.member.failure:
            return True         # a failed member makes no promises, so it goes on without a disk and applies entries
        try:
            if output.rewrites_file:
                self.journal.rewrite(*output.records)
            elif output.records:
                self.journal.append(*output.records)
        except ThreadshiftError as problem:
            self.member.mark_failed(str(problem))
            return False
        return True

    def compact_if_long(self, state: Callable[[], dict[str, Any]]) -> None:
        """Starts the file again from a snapshot once it is long; `state` returns the state after all applied
        entries."""
        member = self.member
        if member.applied_index - member.base[1] >= COMPACT_AFTER_ENTRIES:
            member.compact(state())

    def close(self) -> None:
        self.journal.close()
