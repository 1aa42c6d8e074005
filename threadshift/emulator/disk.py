"""A disk in memory with a write cache, for simulations of many seeds.

A crash keeps what was synced and, at random, a part of the rest; on request it keeps less than was synced."""
from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path

from threadshift.storage.disk import Disk


class SimulatedDisk(Disk):
    """Files as processes see them, in `cached`, and as they would be after a crash, in `durable`.

    `random` returns a number from 0 to 1."""

    def __init__(self, random: Callable[[], float] = lambda: 1.0):
        super().__init__()
        self.random = random
        self.cached: dict[Path, bytearray] = {}
        self.durable: dict[Path, bytes] = {}
        self.older: dict[Path, list[bytes]] = {}    # earlier durable copies, the oldest first
        self.refuse: set[str] = set()               # operations that fail: write, sync, put
        self.lies = False                           # sync succeeds, but makes nothing durable
        self.locks: set[Path] = set()

    def raise_if_refused(self, operation: str) -> None:
        if operation in self.refuse:
            raise OSError(errno.EIO, f"no {operation}")

    def read(self, path: Path) -> bytes:
        if path not in self.cached:
            raise FileNotFoundError(str(path))
        return bytes(self.cached[path])

    def create(self, path: Path) -> None:
        self.put(path, b"")

    def put(self, path: Path, data: bytes) -> None:
        self.raise_if_refused("put")
        self.cached[path] = bytearray(data)
        self.make_durable(path)

    def write(self, path: Path, at: int, data: bytes) -> None:
        self.raise_if_refused("write")
        self.cached[path][at:] = data

    def sync(self, path: Path) -> None:
        self.raise_if_refused("sync")
        self.make_durable(path)

    def make_durable(self, path: Path) -> None:
        if not self.lies:
            if path in self.durable:
                self.older.setdefault(path, []).append(self.durable[path])
            self.durable[path] = bytes(self.cached[path])

    def truncate(self, path: Path, size: int) -> None:
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

    # Faults.

    def crash(self, back: int = 0) -> None:
        """Simulates a power failure: keeps what is durable and any part of a pending append; undoes `back` syncs."""
        self.locks.clear()
        for path, cached in self.cached.items():
            durable = self.durable.get(path, b"")
            older = self.older.get(path, [])
            if back and older:
                durable = older[max(0, len(older) - back)]
                del older[max(0, len(older) - back):]
            elif bytes(cached).startswith(durable):
                durable += bytes(cached[len(durable):])[:int(self.random() * (len(cached) - len(durable) + 1))]
            self.durable[path] = durable
        self.cached = {path: bytearray(data) for path, data in self.durable.items()}

    def flip(self, path: Path, at: int, by: int = 1) -> None:
        """Changes one byte."""
        data = self.cached[path]
        if data:
            data[at % len(data)] ^= by
            self.durable[path] = bytes(data)
