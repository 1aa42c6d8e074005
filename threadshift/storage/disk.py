"""The few disk operations that storage needs, so that tests and fault scenarios can replace them by a faulty disk.

Files are identified by path. A file stays open from its first write until close()."""
from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path


class Disk:
    """The file system of the operating system. Every method may raise OSError."""

    def __init__(self) -> None:
        self.descriptors: dict[Path, int] = {}

    def read(self, path: Path) -> bytes:
        """Returns the whole file. Raises FileNotFoundError."""
        return path.read_bytes()

    def create(self, path: Path) -> None:
        """Creates a durable empty file, unless another process has created one under this name in the meantime."""
        temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
        self.write_whole(temporary, b"")
        with suppress(FileExistsError):
            os.link(temporary, path)
        os.unlink(temporary)
        self.sync_directory(path.parent)

    def put(self, path: Path, data: bytes) -> None:
        """Replaces a file atomically and durably: at any moment either the old or the new content is there."""
        temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
        self.write_whole(temporary, data)
        os.rename(temporary, path)
        self.sync_directory(path.parent)
        self.close(path)                # the open descriptor is that of the old file

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Writes bytes at this offset. They are not durable before sync()."""
        written = os.pwrite(self.descriptor(path), data, offset)
        if written != len(data):
            raise OSError(f"only {written} of {len(data)} bytes were written")

    def sync(self, path: Path) -> None:
        """Makes all writes durable. After a failure it is unknown which of them are."""
        os.fsync(self.descriptor(path))

    def truncate(self, path: Path, size: int) -> None:
        os.ftruncate(self.descriptor(path), size)

    def lock(self, path: Path) -> int:
        """Locks a file until release() or the end of the process. Raises BlockingIOError if another one has the
        lock."""
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

    # Helpers.

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
