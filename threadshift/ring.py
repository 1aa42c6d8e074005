"""The consistent-hash ring: which workers follow a point, clockwise. Free of I/O; part of the policy.

With thousands of workers the ring holds half a million points, and a front end that starts has to build it with a
small share of a processor. So it is kept in sections, by the highest bits of a point, and a section is sorted when a
search first reaches it: one front end sees few functions, and most sections are never read. A point and the number of
its worker share one 64-bit entry; if the upper 48 bits of two points are equal, which is rare, the numbers decide.
"""
from __future__ import annotations

import bisect
import sys
from array import array
from typing import Generic, NamedTuple, TypeVar

try:
    # CPython's own: OpenSSL's takes twice as long to set up and finish for ten bytes.
    from _md5 import md5  # type: ignore[import-not-found]
except ImportError:
    from hashlib import md5

POINTS = 150                   # ring points per worker; they spread homes within some 8%
SECTION_BITS = 10              # highest bits of a point, which select its section
SECTIONS = 1 << SECTION_BITS
SHIFT = 64 - SECTION_BITS      # from a point to the index of its section
NUMBER_MASK = (1 << 16) - 1    # the bits of an entry that hold a worker's number
POINT_MASK = ((1 << 64) - 1) ^ NUMBER_MASK
MAX_CHECKED_ENTRIES = 30_000   # entries that one call of drop_removed_entries() checks, which takes some ms
SUFFIXES = [f"#{number}".encode() for number in range(POINTS // 2)]

W = TypeVar("W")


class Cursor(NamedTuple):
    """A position between two entries of the ring: a section, and an offset within it."""

    section: int
    offset: int


def pair_of_points(text: str) -> tuple[int, int]:
    """Two 64-bit points from one digest of a text."""
    digest = md5(text.encode()).digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def points_of(name: str) -> array[int]:
    """All points of a worker."""
    prefix = name.encode()
    points = array("Q", b"".join([md5(prefix + suffix).digest() for suffix in SUFFIXES]))
    if sys.byteorder == "little":
        points.byteswap()
    return points


class HashRing(Generic[W]):
    """Points of workers in clockwise order. Any change invalidates cursors."""

    def __init__(self) -> None:
        self.sections = [array("Q") for _ in range(SECTIONS)]
        self.unsorted = bytearray(SECTIONS)     # 1 for sections that are not sorted or may hold removed workers
        self.next_to_clean = SECTIONS           # first section that drop_removed_entries() checks; SECTIONS: none
        self.workers: list[W | None] = []       # by number; None: removed
        self.members = 0                        # workers that are not removed
        self.entries = 0                        # including those of removed workers until they are dropped

    def __len__(self) -> int:
        return self.entries

    @property
    def is_full(self) -> bool:
        """Whether there is no number for another worker, so that the ring must be built anew."""
        return len(self.workers) > NUMBER_MASK

    def add(self, name: str, worker: W) -> int:
        """Adds the points of a worker and returns its number."""
        number = len(self.workers)
        self.workers.append(worker)
        sections, unsorted = self.sections, self.unsorted
        for point in points_of(name):
            section = point >> SHIFT
            sections[section].append(point & POINT_MASK | number)
            unsorted[section] = 1
        self.entries += POINTS
        self.members += 1
        return number

    def remove(self, number: int) -> None:
        """Removes a worker. Its entries are skipped until drop_removed_entries() has dropped them."""
        self.workers[number] = None
        self.members -= 1
        self.next_to_clean = 0

    def drop_removed_entries(self) -> bool:
        """Drops some of the entries of removed workers, if there are any; returns whether it did."""
        checked, before = 0, self.entries
        while self.next_to_clean < SECTIONS and checked < MAX_CHECKED_ENTRIES:
            checked += len(self.sections[self.next_to_clean])
            self.unsorted[self.next_to_clean] = 1
            self.sort_section(self.next_to_clean)
            self.next_to_clean += 1
        return self.entries < before

    def sort_section(self, section: int) -> None:
        """Sorts a section, and drops its entries of removed workers."""
        workers = self.workers
        kept = sorted([entry for entry in self.sections[section] if workers[entry & NUMBER_MASK] is not None])
        self.entries -= len(self.sections[section]) - len(kept)
        self.sections[section] = array("Q", kept)
        self.unsorted[section] = 0

    def after(self, point: int) -> Cursor:
        """The position after all entries up to this point."""
        section = point >> SHIFT
        if self.unsorted[section]:
            self.sort_section(section)
        return Cursor(section, bisect.bisect(self.sections[section], point | NUMBER_MASK))

    def next(self, cursor: Cursor) -> tuple[W | None, Cursor]:
        """The worker of the next entry and the position after it.

        The worker is None if it has been removed, or if the ring is empty."""
        section, offset = cursor
        for _ in range(SECTIONS + 1):
            if offset < len(self.sections[section]):
                return self.workers[self.sections[section][offset] & NUMBER_MASK], Cursor(section, offset + 1)
            section, offset = (section + 1) % SECTIONS, 0
            if self.unsorted[section]:
                self.sort_section(section)
        return None, cursor
