"""Frames that wait to be written to one peer, and what is certain of each when the connection breaks. Free of I/O.

A frame of which the operating system took no byte certainly never ran. From the first byte on it may have run,
whatever the peer does: the peer may have received the rest, and nothing shows how much of it was read.
"""
from __future__ import annotations

from collections import deque
from typing import Any

CHUNK_SIZE = 64 << 10      # bytes offered to the operating system at a time; more gains nothing on a socket
MIN_REMOVED = 64           # withdrawn frames of which empty entries may stay in the queue, or as many as are not
FRAME_OVERHEAD = 160       # bytes of memory that a queued frame takes beside its own


class Outbox:
    """A queue of frames, bounded in bytes. Frames with a key are tracked until written; those with None are not."""

    def __init__(self, max_size: int):
        self.max_size, self.size = max_size, 0
        self.queue: deque[list] = deque()           # [key, bytes]; the first may be written in part
        self.offset = 0                             # bytes of the first that are written
        self.emptied = 0                            # entries of withdrawn frames since these were removed last
        self.unwritten: dict[Any, list] = {}        # by key, the entries of which no byte is written
        self.first_written_at: dict[Any, int] = {}  # by key, when the first byte was written, ns

    def put(self, key: Any, frame: bytes) -> bool:
        """Queues a frame. False if the bound would be exceeded; nothing is queued then."""
        if self.size + len(frame) > self.max_size:
            return False
        entry = [key, frame]
        self.queue.append(entry)
        self.size += len(frame)
        if key is not None:
            self.unwritten[key] = entry
        return True

    def held_bytes(self) -> int:
        """The memory that the queued frames take. Of many small ones it is several times their size."""
        return self.size + FRAME_OVERHEAD * len(self.queue)

    def withdraw(self, key: Any) -> bool:
        """Removes a frame of which no byte is written; False where that is too late."""
        entry = self.unwritten.pop(key, None)
        if entry is None:
            return False
        self.size -= len(entry[1])
        entry[1] = b""      # the empty entry is skipped; to remove each at once would move the others
        self.count_emptied()
        return True

    def count_emptied(self) -> None:
        """Removes the entries of withdrawn frames where they are more than half: a peer may read little for long."""
        self.emptied += 1
        if self.emptied > max(MIN_REMOVED, len(self.queue) // 2):
            self.queue = deque(entry for number, entry in enumerate(self.queue) if number == 0 or entry[1])
            self.emptied = 0

    def hold_back(self, key: Any) -> None:
        """Takes a frame of which no byte is written out of the queue. It stays known as not written."""
        entry = self.unwritten[key]
        self.size -= len(entry[1])
        entry[:] = None, b""
        self.unwritten[key] = [key, b""]
        self.count_emptied()

    def replace(self, key: Any, frame: bytes) -> None:
        """Replaces a frame of which no byte is written."""
        entry = self.unwritten[key]
        self.size += len(frame) - len(entry[1])
        entry[1] = frame

    def chunk(self) -> bytes:
        """The next bytes to write, at most CHUNK_SIZE; empty when nothing waits."""
        parts, size = [], 0
        for number, (_, frame) in enumerate(self.queue):
            part = memoryview(frame)[self.offset if number == 0 else 0:]
            parts.append(part[:CHUNK_SIZE - size])
            size += len(parts[-1])
            if size >= CHUNK_SIZE:
                break
        return b"".join(parts)

    def wrote(self, count: int, now: int = 0) -> None:
        """Records that the operating system took `count` bytes of the last chunk."""
        self.size -= count
        while self.queue and (count or not self.queue[0][1]):
            key, frame = self.queue[0]
            rest = len(frame) - self.offset
            if self.unwritten.pop(key, None) is not None:
                self.first_written_at[key] = now
            if count < rest:
                self.offset += count
                return
            count -= rest
            self.offset = 0
            self.queue.popleft()

    def is_unsent(self, key: Any) -> bool:
        """Whether the frame is queued and no byte of it is written."""
        return key in self.unwritten

    def clear(self) -> None:
        """Drops all frames and forgets their state, after the connection broke."""
        self.queue.clear()
        self.unwritten.clear()
        self.first_written_at.clear()
        self.size = self.offset = self.emptied = 0
