"""Bounds what one process holds for its peers in all, and chooses who gives way. Free of I/O.

A bound on each connection bounds no sum: hundreds of connections, each within its bound, fill the memory of a
process. So each connection records what it holds. When the sum exceeds the limit, those that hold most give way until
the sum is under it again. Whoever holds little is spared, however late it came.
"""
from __future__ import annotations

import heapq
from typing import Protocol

# The parts of a process's memory. What malloc keeps of earlier peaks comes on top of them.
CLIENTS_DIVISOR = 8        # this fraction is for what clients have sent in part or have not read
WORKERS_DIVISOR = 12       # this fraction is for answers that workers have sent in part
CALLS_DIVISOR = 6          # this fraction is for the bodies of pending calls, two copies of each

SPARE_DIVISOR = 8          # this fraction of the limit is freed at once, as measuring all holders takes a while
EVICTION_BATCH = 8         # holders that give way between two measurements


class Holder(Protocol):
    """A connection, as far as its memory is concerned."""

    def held_bytes(self) -> int:
        """What it holds for its peer now, in bytes."""

    def give_way(self) -> None:
        """Releases at once what it holds, or a part of it. It may be called again until nothing is held."""


class MemoryBudget:
    """The sum of what the connections of one process hold, and its limit, in bytes."""

    def __init__(self, limit: int):
        self.limit = limit
        self.recorded: dict[Holder, int] = {}    # what each holder held when it last reported or was measured
        self.used = 0                            # the sum of these
        self.evictions = 0                       # times that a holder gave way
        self.is_evicting = False

    def record(self, holder: Holder, held: int) -> None:
        """Records what a holder holds now. May let it, or others, give way before it returns."""
        self.used += held - self.recorded.get(holder, 0)
        if held:
            self.recorded[holder] = held
        else:
            self.recorded.pop(holder, None)
        if self.used > self.limit and not self.is_evicting:
            self.evict()

    def forget(self, holder: Holder) -> None:
        """Forgets a holder whose connection has ended."""
        self.used -= self.recorded.pop(holder, 0)

    def measure(self) -> None:
        """Updates the records of all holders: output is written, and so released, without a report."""
        self.recorded = {holder: held for holder in self.recorded if (held := holder.held_bytes())}
        self.used = sum(self.recorded.values())

    def evict(self) -> None:
        """Lets those that hold most give way until the sum is under the limit by a spare part."""
        self.is_evicting = True
        try:
            self.measure()
            if self.used <= self.limit:
                return
            target = self.limit - self.limit // SPARE_DIVISOR
            while self.used > target and self.recorded:
                before = self.used
                for holder in heapq.nlargest(EVICTION_BATCH, self.recorded, key=self.recorded.__getitem__):
                    if self.used <= target:
                        break
                    self.evictions += 1
                    holder.give_way()
                    self.record(holder, holder.held_bytes())
                if self.used >= before:
                    break               # nothing more can be released
        finally:
            self.is_evicting = False


class AdmittedBytes:
    """The bodies of admitted calls, which cannot give way. Where half is taken, a call gets only a part of the rest.

    So a large one is refused while there is room for many small ones. A call alone is admitted whatever its length,
    which other bounds limit: it would be refused for ever otherwise."""

    FREE_DIVISOR = 8       # of what is free where half is taken

    def __init__(self, limit: int):
        self.limit, self.used = limit, 0
        self.taken: dict[str, int] = {}          # by the id of the call

    def has_room(self, size: int) -> bool:
        """Whether a call with a body of so many bytes may be admitted."""
        free = self.limit - self.used
        return size <= max(free // self.FREE_DIVISOR, free - self.limit // 2) or not self.used

    def take(self, call: str, size: int) -> None:
        """Counts the body of a call that is admitted."""
        self.taken[call] = size
        self.used += size

    def release(self, call: str) -> None:
        """Counts the body of a call no more, if it was counted."""
        self.used -= self.taken.pop(call, 0)
