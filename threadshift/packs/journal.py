"""An append-only file of records that survives a crash at any write.

A record is a header (magic, length, CRC-32 of the payload, CRC-32 of the header so far) and a msgpack payload. Order
of writes: the record in one write, then fsync, and only then is it told to anybody; a new file is made under another
name and synced, gets its name, and its folder is synced. After a crash the file may end in a part of one record, and
in zeros; that is cut off when it is opened for writing. Anything else that does not check is damage, and is told with
its place, not mended.
"""
from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack

MAGIC = b"tsj1"            # of a record; another form gets another
HEADER = struct.Struct(">4sII")
CHECK = struct.Struct(">I")
WHOLE = HEADER.size + CHECK.size
LONGEST = 1 << 20          # bytes of a payload: far more than any record here


class Damaged(Exception):
    """A file that is no journal, or no longer whole; says where."""


class Unwritten(Exception):
    """A record that could not be kept; nothing of it is left."""


def frame(record: dict[str, Any]) -> bytes:
    payload = msgpack.packb(record)
    if len(payload) > LONGEST:
        raise Unwritten(f"a record of {len(payload)} bytes, {LONGEST} at most")
    head = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return head + CHECK.pack(zlib.crc32(head)) + payload


def records(data: bytes, file: str, start: int = 0) -> Iterator[tuple[dict[str, Any], int]]:
    """Records with the place where each ends. Ends at a torn tail; raises Damaged."""
    at = start
    while at < len(data):
        rest = data[at:at + WHOLE]
        if len(rest) < WHOLE:
            return                          # a part of a header
        head, (check,) = rest[:HEADER.size], CHECK.unpack(rest[HEADER.size:])
        magic, length, crc = HEADER.unpack(head)
        if magic != MAGIC or zlib.crc32(head) != check or length > LONGEST:
            if not any(data[at + WHOLE - 1:]):
                return                      # a part of a header, and zeros where nothing was written yet
            raise Damaged(f"{file}: no record begins at byte {at}")
        end = at + WHOLE + length
        payload = data[at + WHOLE:end]
        if zlib.crc32(payload) != crc:
            if not any(data[end:]):
                return                      # the last write, not all of it on the disk
            raise Damaged(f"{file}: the record at byte {at} does not match its checksum")
        yield msgpack.unpackb(payload), end
        at = end


class Journal:
    """A journal open for reading or for writing; one writer at a time."""

    def __init__(self, path: Path, write: bool = False):
        self.path = path
        self.end = 0
        self.fd = -1
        if write:
            self.open()

    def open(self) -> None:
        if not self.path.exists():
            new = self.path.with_name(self.path.name + ".new")
            fd = os.open(new, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
            os.fsync(fd)
            os.close(fd)
            with suppress(FileExistsError):
                os.link(new, self.path)     # never over a file that another process made meanwhile
            os.unlink(new)
            folder = os.open(self.path.parent, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        self.fd = os.open(self.path, os.O_RDWR)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise Unwritten(f"{self.path}: another process writes it") from None

    def read(self) -> Iterator[dict[str, Any]]:
        """What was added since the last read; all of it at first. Raises Damaged, OSError."""
        data = self.path.read_bytes()
        for record, end in records(data, str(self.path), self.end):
            self.end = end
            yield record
        if self.fd >= 0 and self.end < len(data):
            os.ftruncate(self.fd, self.end)
            os.fsync(self.fd)

    def append(self, record: dict[str, Any]) -> None:
        """Keeps a record; on the disk when it returns. All must have been read. Raises Unwritten."""
        data = frame(record)
        try:
            written = os.pwrite(self.fd, data, self.end)
            if written != len(data):
                raise OSError(f"{written} of {len(data)} bytes were taken")
            os.fsync(self.fd)
        except OSError as problem:
            with suppress(OSError):
                os.ftruncate(self.fd, self.end)
                os.fsync(self.fd)
            raise Unwritten(f"{self.path}: {problem}") from None
        self.end += len(data)

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
