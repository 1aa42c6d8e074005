"""The consistent-hash ring: which workers follow a point, clockwise. Free of I/O; part of the policy.

With thousands of workers the ring holds half a million points, and a front end that starts has to build it while its
processor share is small. So it is kept in sections by the highest bits of a point, and a section is put in order when
a walk first comes to it: one front end sees few functions, and most sections are never looked at. A point and the
number of its worker share one 64-bit entry; where the upper 48 bits tie, which is rare, numbers decide.
"""
from __future__ import annotations

import bisect
import sys
from array import array
from typing import Generic, NamedTuple, TypeVar

try:
    # CPython's own: OpenSSL's takes twice as long to begin and end on ten bytes.
    from _md5 import md5  # type: ignore[import-not-found]
except ImportError:
    from hashlib import md5

POINTS = 150               # ring points a worker; the design's figure, spreads homes within some 8%
SECTION_BITS = 10          # highest bits of a point that name its section
SECTIONS = 1 << SECTION_BITS
SHIFT = 64 - SECTION_BITS
NUMBER_MASK = (1 << 16) - 1    # the bits of an entry that hold a worker's number
POINT_MASK = ((1 << 64) - 1) ^ NUMBER_MASK
TIDIED = 30_000            # entries that one call of tidy() looks at; some ms
SUFFIXES = [f"#{number}".encode() for number in range(POINTS // 2)]

W = TypeVar("W")


class Cursor(NamedTuple):
    """A place between two entries of the ring."""

    section: int
    place: int


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
        self.unsorted = bytearray(SECTIONS)       # sections with entries out of order, or of workers removed
        self.next_to_clean = SECTIONS                # from this one on tidy() has to look; SECTIONS: nothing to do
        self.workers: list[W | None] = []       # by number; None: removed
        self.members = 0                        # workers that were not removed
        self.entries = 0                        # kept, those of removed workers included until they are dropped

    def __len__(self) -> int:
        return self.entries

    @property
    def is_full(self) -> bool:
        """Whether no number is left for another worker; the ring is to be made anew."""
        return len(self.workers) > NUMBER_MASK

    def add(self, name: str, worker: W) -> int:
        """Adds the points of a worker; its number."""
        number = len(self.workers)
        self.workers.append(worker)
        sections, untidy = self.sections, self.unsorted
        for point in points_of(name):
            section = point >> SHIFT
            sections[section].append(point & POINT_MASK | number)
            untidy[section] = 1
        self.entries += POINTS
        self.members += 1
        return number

    def remove(self, number: int) -> None:
        """Takes a worker off the ring. Its entries are passed over until tidy() has come to them."""
        self.workers[number] = None
        self.members -= 1
        self.next_to_clean = 0

    def drop_removed_entries(self) -> bool:
        """Drops some entries of workers that were removed, if there are any; whether any was."""
        looked, before = 0, self.entries
        while self.next_to_clean < SECTIONS and looked < TIDIED:
            looked += len(self.sections[self.next_to_clean])
            self.unsorted[self.next_to_clean] = 1
            self.sort_section(self.next_to_clean)
            self.next_to_clean += 1
        return self.entries < before

    def sort_section(self, section: int) -> None:
        workers = self.workers
        kept = sorted([entry for entry in self.sections[section] if workers[entry & NUMBER_MASK] is not None])
        self.entries -= len(self.sections[section]) - len(kept)
        self.sections[section] = array("Q", kept)
        self.unsorted[section] = 0

    def after(self, point: int) -> Cursor:
        """The place behind all entries up to this point."""
        section = point >> SHIFT
        if self.unsorted[section]:
            self.sort_section(section)
        return Cursor(section, bisect.bisect(self.sections[section], point | NUMBER_MASK))

    def next(self, cursor: Cursor) -> tuple[W | None, Cursor]:
        """The worker of the entry that follows and the place behind it; None for a worker that was removed, and where
        the ring has become empty."""
        section, place = cursor
        for _ in range(SECTIONS + 1):
            if place < len(self.sections[section]):
                return self.workers[self.sections[section][place] & NUMBER_MASK], Cursor(section, place + 1)
            section, place = (section + 1) % SECTIONS, 0
            if self.unsorted[section]:
                self.sort_section(section)
        return None, cursor
