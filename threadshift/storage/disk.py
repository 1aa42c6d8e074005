"""What is asked of a disk, in the few verbs that storage needs, so that a test or a day can put one that lies in its
place. Files are named by path; one is kept open from its first write on, until close()."""
from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path


class Disk:
    """The operating system's. Every verb may raise OSError."""

    def __init__(self) -> None:
        self.descriptors: dict[Path, int] = {}

    def read(self, path: Path) -> bytes:
        """All of a file. Raises FileNotFoundError where there is none."""
        return path.read_bytes()

    def create(self, path: Path) -> None:
        """An empty file that lasts under its name, never over one that another process made meanwhile."""
        temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
        self.write_whole(temporary, b"")
        with suppress(FileExistsError):
            os.link(temporary, path)
        os.unlink(temporary)
        self.sync_directory(path.parent)

    def put(self, path: Path, data: bytes) -> None:
        """A file with this content in place of the one that stands there: the old or the new, at any moment."""
        temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
        self.write_whole(temporary, data)
        os.rename(temporary, path)
        self.sync_directory(path.parent)
        self.close(path)                # what was open is the old one

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Bytes from this place on; not yet lasting."""
        written = os.pwrite(self.descriptor(path), data, offset)
        if written != len(data):
            raise OSError(f"{written} of {len(data)} bytes were taken")

    def sync(self, path: Path) -> None:
        """What was written lasts when this returns. Where it fails, nobody knows what of it does."""
        os.fsync(self.descriptor(path))

    def truncate(self, path: Path, size: int) -> None:
        os.ftruncate(self.descriptor(path), size)

    def lock(self, path: Path) -> int:
        """Until released, or the end of the process: nobody else's. Raises BlockingIOError."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def release(self, lock: int) -> None:
        os.close(lock)

    def close(self, path: Path) -> None:
        descriptor = self.descriptors.pop(path, -1)
        if descriptor >= 0:
            os.close(descriptor)

    # Small things.

    def descriptor(self, path: Path) -> int:
        if path not in self.descriptors:
            self.descriptors[path] = os.open(path, os.O_RDWR)
        return self.descriptors[path]

    @staticmethod
    def write_whole(path: Path, data: bytes) -> None:
        descriptor = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view):]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @staticmethod
    def sync_directory(path: Path) -> None:
        directory = os.open(path, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
