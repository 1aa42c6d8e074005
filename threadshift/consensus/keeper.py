"""A member with its file: opened, read, written in the order that the member asks for, begun anew when it is long.

It does no more than that, so that the live carrier and the emulator drive one and the same text. A file that is
damaged is put aside, never guessed at: with other voters up the member learns all of it again and takes part only
then."""
from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from pathlib import Path
from typing import Any

from threadshift.consensus.kept import Kept, Unfit
from threadshift.consensus.member import Effects, Member, Timing
from threadshift.errors import ThreadshiftError
from threadshift.storage.disk import Disk
from threadshift.storage.journal import CorruptJournal, Journal

LONG = 256                 # entries after which the file begins anew from a snapshot: replayed within a few ms


class Alone(ThreadshiftError):
    """The only voter's file is damaged: nobody else knows what it held."""

    help = "restore the file from a copy, or remove it to begin an empty record; what was promised is then forgotten"


class Keeper:
    """Owns the journal of one member. Raises what opening it raises, and Alone."""

    def __init__(self, now: int, path: Path, name: str, voters: Sequence[str], others: Collection[str],
                 chance: Callable[[], float], disk: Disk | None = None, timing: Timing | None = None):
        self.journal = Journal(path, write=True, disk=disk)
        self.aside = ""                     # why the file was put aside at the start
        try:
            kept = Kept.of(self.journal.read())
        except (CorruptJournal, Unfit) as problem:
            self.aside = str(problem)
            if len(voters) == 1 and name in voters:
                self.journal.close()
                raise Alone(str(problem)) from None
            it = self.journal.disk
            it.put(path.with_name(path.name + ".damaged"), it.read(path))
            it.put(path, b"")
            self.journal.end_offset = 0
            kept = Kept()
        except BaseException:
            self.journal.close()
            raise
        self.member = Member(now, name, voters, others, chance, kept, timing)

    def keep(self, effects: Effects) -> bool:
        """Writes what has to be kept before anything is sent or told; False where the disk failed: then nothing of
        it may be. May take as long as an fsync."""
        if self.member.doubtful:
            return True         # nothing that it says promises anything any more, and it still hears what is told
        try:
            if effects.anew:
                self.journal.rewrite(*effects.records)
            elif effects.records:
                self.journal.append(*effects.records)
        except ThreadshiftError as problem:
            self.member.doubt(str(problem))
            return False
        return True

    def shorten(self, state: Callable[[], dict[str, Any]]) -> None:
        """Begins the file anew once it is long; `state` gives all that was applied."""
        it = self.member
        if it.applied - it.base[1] >= LONG:
            it.compact(state())

    def close(self) -> None:
        self.journal.close()
