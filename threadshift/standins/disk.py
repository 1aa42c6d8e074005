"""A disk that fails or lies by order, around any other. An order names a verb's fault and how often it comes:

    full N          N writes find no space; a part of the bytes is taken
    sync-fails N    N times fsync says no, and what was written may be gone
    forgets         from now on fsync says yes and nothing lasts: a crash brings back what stood before
    slow MS         each sync takes so long

`orders` may be a file that is read again before each verb, so that a running process is given orders from outside.
"""
from __future__ import annotations

import errno
import os
import time
from contextlib import suppress
from pathlib import Path

from threadshift.storage.disk import Disk


class FaultyDisk(Disk):
    def __init__(self, orders: Path | None = None):
        super().__init__()
        self.orders, self.seen = orders, ""
        self.left: dict[str, int] = {}
        self.shadow: dict[Path, bytearray] = {}     # files as they would be, had what was forgotten lasted

    def order(self, name: str, amount: str = "1") -> None:
        self.left[name] = int(amount)

    def now(self, name: str) -> bool:
        """True once for each time it was ordered."""
        if self.orders is not None:
            with suppress(OSError):
                text = self.orders.read_text()
                if text != self.seen:
                    self.seen, self.left = text, {}
                    for line in filter(None, map(str.split, text.splitlines())):
                        self.order(*line)
        if self.left.get(name, 0) <= 0:
            return False
        self.left[name] -= 1
        return True

    def forgets(self, path: Path) -> bytearray | None:
        if self.now("forgets") or path in self.shadow:
            self.left["forgets"] = 1
            if path not in self.shadow:
                self.shadow[path] = bytearray(super().read(path) if path.exists() else b"")
            return self.shadow[path]
        return None

    def read(self, path: Path) -> bytes:
        return bytes(self.shadow[path]) if path in self.shadow else super().read(path)

    def write(self, path: Path, at: int, data: bytes) -> None:
        if self.now("full"):
            os.pwrite(self.descriptor(path), data[:len(data) // 2], at)
            raise OSError(errno.ENOSPC, "No space left on device")
        held = self.forgets(path)
        if held is None:
            super().write(path, at, data)
        else:
            held[at:] = data

    def put(self, path: Path, data: bytes) -> None:
        if self.now("full"):
            raise OSError(errno.ENOSPC, "No space left on device")
        held = self.forgets(path)
        if held is None:
            super().put(path, data)
        else:
            held[:] = data

    def sync(self, path: Path) -> None:
        if self.left.get("slow"):
            time.sleep(self.left["slow"] / 1000)
        if self.now("sync-fails"):
            raise OSError(errno.EIO, "Input/output error")
        if path not in self.shadow:
            super().sync(path)

    def cut(self, path: Path, size: int) -> None:
        if path in self.shadow:
            del self.shadow[path][size:]
        else:
            super().cut(path, size)
