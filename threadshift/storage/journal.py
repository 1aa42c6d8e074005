"""An append-only file of records that survives a crash at any write, and may begin anew from a snapshot.

A record is a header (magic, length, CRC-32 of the payload, CRC-32 of the header so far) and a msgpack payload.
Order of writes: the records in one write, then fsync, and only then are they told to anybody; a new file is made
under another name and synced, gets its name, and its folder is synced. After a crash the file may end in a part of
one record, and in zeros; that is cut off when it is opened for writing. Anything else that does not check is damage,
and is told with its place, not mended. After an fsync that failed nobody knows what lasts: no more is written until
it is opened anew.

A file rolled back to an older copy of itself checks. Who must not forget asks others (consensus/).
"""
from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack

from threadshift.errors import ThreadshiftError
from threadshift.storage.disk import Disk

MAGIC = b"tsj1"            # of a record; another form gets another
HEADER = struct.Struct(">4sII")
CHECK = struct.Struct(">I")
WHOLE = HEADER.size + CHECK.size
LONGEST = 8 << 20          # bytes of a payload: a snapshot of all that front ends hold in common fits many times


class Damaged(ThreadshiftError):
    """A file that is no journal, or no longer whole; says where."""

    help = "put the file aside and restore it, or start without it; what it held is not guessed"


class Unwritten(ThreadshiftError):
    """A record that could not be kept; nothing of it is left, unless the disk said no to fsync."""

    help = "free disk space or mend the disk, then restart what writes the file"


class Taken(Unwritten):
    """Another process writes this file."""

    help = "end the other process first; two writers would spoil the file"


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
            raise Damaged(f"no record begins at byte {at}", file)
        end = at + WHOLE + length
        payload = data[at + WHOLE:end]
        if zlib.crc32(payload) != crc:
            if not any(data[end:]):
                return                      # the last write, not all of it on the disk
            raise Damaged(f"the record at byte {at} does not match its checksum", file)
        try:
            yield msgpack.unpackb(payload, strict_map_key=False), end
        except (ValueError, msgpack.UnpackException):
            raise Damaged(f"the record at byte {at} is no msgpack", file) from None
        at = end


class Journal:
    """A journal open for reading or for writing; one writer at a time."""

    def __init__(self, path: Path, write: bool = False, disk: Disk | None = None):
        self.path, self.disk = path, disk or Disk()
        self.end = 0
        self.lock = -1
        self.broken = ""           # why no more is written until it is opened anew
        if write:
            self.open()

    def open(self) -> None:
        """For writing. Raises Taken, Unwritten."""
        try:
            self.lock = self.disk.lock(self.path.with_name(self.path.name + ".lock"))
        except BlockingIOError:
            raise Taken("another process writes it", str(self.path)) from None
        except OSError as problem:
            raise Unwritten(str(problem), str(self.path)) from None
        try:
            try:
                self.disk.read(self.path)
            except FileNotFoundError:
                self.disk.make(self.path)
        except OSError as problem:
            self.close()
            raise Unwritten(str(problem), str(self.path)) from None

    def read(self) -> Iterator[dict[str, Any]]:
        """What was added since the last read; all of it at first, and again where the writer began anew from a
        snapshot. Raises Damaged, OSError."""
        data = self.disk.read(self.path)
        if len(data) < self.end:
            self.end = 0
        for record, end in records(data, str(self.path), self.end):
            self.end = end
            yield record
        if self.lock >= 0 and self.end < len(data):
            self.disk.cut(self.path, self.end)
            self.disk.sync(self.path)

    def append(self, *added: dict[str, Any]) -> None:
        """Keeps records, all or none; on the disk when it returns. All must have been read. Raises Unwritten."""
        if self.broken:
            raise Unwritten(self.broken, str(self.path))
        data = b"".join(map(frame, added))
        try:
            self.disk.write(self.path, self.end, data)
        except OSError as problem:
            self.take_back(str(problem))
        try:
            self.disk.sync(self.path)
        except OSError as problem:
            self.broken = f"fsync failed ({problem}): what lasts is not known until it is opened anew"
            self.take_back(str(problem))
        self.end += len(data)

    def take_back(self, problem: str) -> None:
        """Cuts off what was written in part, so that nothing of it is read later. Raises Unwritten."""
        try:
            self.disk.cut(self.path, self.end)
            if not self.broken:
                self.disk.sync(self.path)
        except OSError as again:
            self.broken = f"what was written in part could not be cut off: {again}"
        raise Unwritten(problem, str(self.path))

    def renew(self, *first: dict[str, Any]) -> None:
        """Begins the file anew with these records, which stand for all before them: the old file or the new one is
        there at any moment. Raises Unwritten; the old one stands then, or the disk has failed."""
        if self.broken:
            raise Unwritten(self.broken, str(self.path))
        data = b"".join(map(frame, first))
        try:
            self.disk.put(self.path, data)
        except OSError as problem:
            self.broken = f"no snapshot could be kept ({problem}): which file lasts is not known"
            raise Unwritten(str(problem), str(self.path)) from None
        self.end = len(data)

    def close(self) -> None:
        self.disk.close(self.path)
        if self.lock >= 0:
            with suppress(OSError):
                self.disk.release(self.lock)
            self.lock = -1
