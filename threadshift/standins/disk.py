"""A disk whose operations fail, or only seem to succeed, on order. An order is a fault's name and a number:

    full N          N writes fail for lack of space, after a part of the bytes was written
    sync-fails N    N fsync calls fail, and what was written before may be lost
    forgets         from now on fsync succeeds but nothing is durable: a crash restores the earlier contents
    slow MS         each sync takes this many milliseconds

`orders` may be a file, which is read again before each operation, so that a running process can be given orders.
"""
from __future__ import annotations

import errno
import os
import time
from contextlib import suppress
from pathlib import Path

from threadshift.storage.disk import Disk


class FaultyDisk(Disk):
    """The real file system, with the faults of its orders."""

    def __init__(self, orders: Path | None = None):
        super().__init__()
        self.orders, self.last_orders = orders, ""
        self.remaining: dict[str, int] = {}         # fault: how many more times it occurs
        self.shadow: dict[Path, bytearray] = {}     # contents that the process sees of files that are not durable

    def order(self, name: str, amount: str = "1") -> None:
        self.remaining[name] = int(amount)

    def consume(self, name: str) -> bool:
        """Reads new orders; then returns True once for each time that the fault was ordered."""
        if self.orders is not None:
            with suppress(OSError):
                text = self.orders.read_text()
                if text != self.last_orders:
                    self.last_orders, self.remaining = text, {}
                    for line in filter(None, map(str.split, text.splitlines())):
                        self.order(*line)
        if self.remaining.get(name, 0) <= 0:
            return False
        self.remaining[name] -= 1
        return True

    def shadow_of(self, path: Path) -> bytearray | None:
        """The contents in memory that replace the file's, once `forgets` was ordered."""
        if self.consume("forgets") or path in self.shadow:
            self.remaining["forgets"] = 1
            if path not in self.shadow:
                self.shadow[path] = bytearray(super().read(path) if path.exists() else b"")
            return self.shadow[path]
        return None

    def read(self, path: Path) -> bytes:
        return bytes(self.shadow[path]) if path in self.shadow else super().read(path)

    def write(self, path: Path, at: int, data: bytes) -> None:
        if self.consume("full"):
            os.pwrite(self.descriptor(path), data[:len(data) // 2], at)
            raise OSError(errno.ENOSPC, "No space left on device")
        shadow = self.shadow_of(path)
        if shadow is None:
            super().write(path, at, data)
        else:
            shadow[at:] = data

    def put(self, path: Path, data: bytes) -> None:
        if self.consume("full"):
            raise OSError(errno.ENOSPC, "No space left on device")
        shadow = self.shadow_of(path)
        if shadow is None:
            super().put(path, data)
        else:
            shadow[:] = data

    def sync(self, path: Path) -> None:
        if self.remaining.get("slow"):
            time.sleep(self.remaining["slow"] / 1000)
        if self.consume("sync-fails"):
            raise OSError(errno.EIO, "Input/output error")
        if path not in self.shadow:
            super().sync(path)

    def truncate(self, path: Path, size: int) -> None:
        if path in self.shadow:
            del self.shadow[path][size:]
        else:
            super().truncate(path, size)
