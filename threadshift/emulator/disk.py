"""A disk in memory with a cache in front, for seeds by the thousand: a crash keeps what was synced, and by the
seed's word a part of the rest, or less than was promised."""
from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path

from threadshift.storage.disk import Disk


class SimulatedDisk(Disk):
    """Files are what they are, in `cached`, and what would be left of them, in `lasting`. chance() gives 0 to 1."""

    def __init__(self, chance: Callable[[], float] = lambda: 1.0):
        super().__init__()
        self.chance = chance
        self.cached: dict[Path, bytearray] = {}
        self.lasting: dict[Path, bytes] = {}
        self.kept: dict[Path, list[bytes]] = {}     # older copies, for a roll-back
        self.refuse: set[str] = set()               # verbs that fail: write, sync, put
        self.lies = False                           # sync says yes and keeps nothing
        self.locks: set[Path] = set()

    def fail(self, verb: str) -> None:
        if verb in self.refuse:
            raise OSError(errno.EIO, f"no {verb}")

    def read(self, path: Path) -> bytes:
        if path not in self.cached:
            raise FileNotFoundError(str(path))
        return bytes(self.cached[path])

    def make(self, path: Path) -> None:
        self.put(path, b"")

    def put(self, path: Path, data: bytes) -> None:
        self.fail("put")
        self.cached[path] = bytearray(data)
        self.last(path)

    def write(self, path: Path, at: int, data: bytes) -> None:
        self.fail("write")
        self.cached[path][at:] = data

    def sync(self, path: Path) -> None:
        self.fail("sync")
        self.last(path)

    def last(self, path: Path) -> None:
        if not self.lies:
            if path in self.lasting:
                self.kept.setdefault(path, []).append(self.lasting[path])
            self.lasting[path] = bytes(self.cached[path])

    def cut(self, path: Path, size: int) -> None:
        del self.cached[path][size:]

    def lock(self, path: Path) -> int:
        if path in self.locks:
            raise BlockingIOError(str(path))
        self.locks.add(path)
        return 0

    def release(self, lock: int) -> None:
        self.locks.clear()

    def close(self, path: Path) -> None:
        pass

    # What befalls it.

    def crash(self, back: int = 0) -> None:
        """Power is gone: what lasted is left, and of an append under way any part; `back` syncs are undone."""
        self.locks.clear()
        for path, cached in self.cached.items():
            lasting = self.lasting.get(path, b"")
            older = self.kept.get(path, [])
            if back and older:
                lasting = older[max(0, len(older) - back)]
                del older[max(0, len(older) - back):]
            elif bytes(cached).startswith(lasting):
                lasting += bytes(cached[len(lasting):])[:int(self.chance() * (len(cached) - len(lasting) + 1))]
            self.lasting[path] = lasting
        self.cached = {path: bytearray(data) for path, data in self.lasting.items()}

    def flip(self, path: Path, at: int, by: int = 1) -> None:
        """One byte is another."""
        data = self.cached[path]
        if data:
            data[at % len(data)] ^= by
            self.lasting[path] = bytes(data)
