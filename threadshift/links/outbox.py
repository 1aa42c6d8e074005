"""Frames that wait to be written to one peer, and what is proven of each when the connection breaks. Free of I/O.

A frame none of whose bytes the operating system took provably never ran. From the first byte taken on it may have
run, whatever the peer does: the rest may be the peer's to read, and nothing tells how much of it was read.
"""
from __future__ import annotations

from collections import deque
from typing import Any

CHUNK = 64 << 10           # bytes offered to the operating system at once; more gains nothing on a socket


class Outbox:
    """First in, first out; bounded in bytes. Keys name frames whose fate matters; None are told nothing of."""

    def __init__(self, most: int):
        self.most, self.size = most, 0
        self.waiting: deque[list] = deque()         # [key, bytes]; the first may be written in part
        self.offset = 0                             # bytes of the first that are written
        self.unwritten: dict[Any, list] = {}        # keys none of whose bytes are written
        self.first_written_at: dict[Any, int] = {}              # when the first byte of others was written, ns

    def put(self, key: Any, frame: bytes) -> bool:
        """False where the bound would be passed: nothing is kept then."""
        if self.size + len(frame) > self.most:
            return False
        entry = [key, frame]
        self.waiting.append(entry)
        self.size += len(frame)
        if key is not None:
            self.unwritten[key] = entry
        return True

    def withdraw(self, key: Any) -> bool:
        """Takes back a frame none of whose bytes are written; False where that is too late."""
        entry = self.unwritten.pop(key, None)
        if entry is None:
            return False
        self.size -= len(entry[1])
        entry[1] = b""      # its place is passed over; moving the rest would cost more
        return True

    def replace(self, key: Any, frame: bytes) -> None:
        """Another frame in the place of one none of whose bytes are written."""
        entry = self.unwritten[key]
        self.size += len(frame) - len(entry[1])
        entry[1] = frame

    def chunk(self) -> bytes:
        """The next bytes to write, at most CHUNK and at least one frame's rest; empty when none wait."""
        parts, size = [], 0
        for number, (_, frame) in enumerate(self.waiting):
            part = memoryview(frame)[self.offset if number == 0 else 0:]
            parts.append(part[:CHUNK - size])
            size += len(parts[-1])
            if size >= CHUNK:
                break
        return b"".join(parts)

    def wrote(self, count: int, now: int = 0) -> None:
        """The operating system took so many bytes of the chunk."""
        self.size -= count
        while self.waiting and (count or not self.waiting[0][1]):
            key, frame = self.waiting[0]
            rest = len(frame) - self.offset
            if self.unwritten.pop(key, None) is not None:
                self.first_written_at[key] = now
            if count < rest:
                self.offset += count
                return
            count -= rest
            self.offset = 0
            self.waiting.popleft()

    def is_unsent(self, key: Any) -> bool:
        return key in self.unwritten

    def clear(self) -> None:
        self.waiting.clear()
        self.unwritten.clear()
        self.first_written_at.clear()
        self.size = self.offset = 0
