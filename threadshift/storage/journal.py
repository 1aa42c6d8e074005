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
HEADER_CHECKSUM = struct.Struct(">I")
PREFIX_SIZE = HEADER.size + HEADER_CHECKSUM.size
# bytes: a snapshot of all that front ends hold in common fits many times
MAX_PAYLOAD_SIZE = 8 << 20


class CorruptJournal(ThreadshiftError):
    """A file that is no journal, or no longer whole; says where."""

    help = "put the file aside and restore it, or start without it; what it held is not guessed"


class WriteError(ThreadshiftError):
    """A record that could not be kept; nothing of it is left, unless the disk said no to fsync."""

    help = "free disk space or mend the disk, then restart what writes the file"


class JournalInUse(WriteError):
    """Another process writes this file."""

    help = "end the other process first; two writers would spoil the file"


def encode_record(record: dict[str, Any]) -> bytes:
    payload = msgpack.packb(record)
    if len(payload) > MAX_PAYLOAD_SIZE:
        raise WriteError(f"a record of {len(payload)} bytes, {MAX_PAYLOAD_SIZE} at most")
    head = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return head + HEADER_CHECKSUM.pack(zlib.crc32(head)) + payload


def decode_records(data: bytes, file: str, start: int = 0) -> Iterator[tuple[dict[str, Any], int]]:
    """Records with the place where each ends. Ends at a torn tail; raises Damaged."""
    at = start
    while at < len(data):
        rest = data[at:at + PREFIX_SIZE]
        if len(rest) < PREFIX_SIZE:
            return                          # a part of a header
        head, (check,) = rest[:HEADER.size], HEADER_CHECKSUM.unpack(rest[HEADER.size:])
        magic, length, crc = HEADER.unpack(head)
        if magic != MAGIC or zlib.crc32(head) != check or length > MAX_PAYLOAD_SIZE:
            if not any(data[at + PREFIX_SIZE - 1:]):
                return                      # a part of a header, and zeros where nothing was written yet
            raise CorruptJournal(f"no record begins at byte {at}", file)
        end = at + PREFIX_SIZE + length
        payload = data[at + PREFIX_SIZE:end]
        if zlib.crc32(payload) != crc:
            if not any(data[end:]):
                return                      # the last write, not all of it on the disk
            raise CorruptJournal(f"the record at byte {at} does not match its checksum", file)
        try:
            yield msgpack.unpackb(payload, strict_map_key=False), end
        except (ValueError, msgpack.UnpackException):
            raise CorruptJournal(f"the record at byte {at} is no msgpack", file) from None
        at = end


class Journal:
    """A journal open for reading or for writing; one writer at a time."""

    def __init__(self, path: Path, write: bool = False, disk: Disk | None = None):
        self.path, self.disk = path, disk or Disk()
        self.end_offset = 0
        self.lock = -1
        self.failure = ""           # why no more is written until it is opened anew
        if write:
            self.open()

    def open(self) -> None:
        """For writing. Raises Taken, Unwritten."""
        try:
            self.lock = self.disk.lock(self.path.with_name(self.path.name + ".lock"))
        except BlockingIOError:
            raise JournalInUse("another process writes it", str(self.path)) from None
        except OSError as problem:
            raise WriteError(str(problem), str(self.path)) from None
        try:
            try:
                self.disk.read(self.path)
            except FileNotFoundError:
                self.disk.create(self.path)
        except OSError as problem:
            self.close()
            raise WriteError(str(problem), str(self.path)) from None

    def read(self) -> Iterator[dict[str, Any]]:
        """What was added since the last read; all of it at first, and again where the writer began anew from a
        snapshot. Raises Damaged, OSError."""
        data = self.disk.read(self.path)
        if len(data) < self.end_offset:
            self.end_offset = 0
        for record, end in decode_records(data, str(self.path), self.end_offset):
            self.end_offset = end
            yield record
        if self.lock >= 0 and self.end_offset < len(data):
            self.disk.truncate(self.path, self.end_offset)
            self.disk.sync(self.path)

    def append(self, *added: dict[str, Any]) -> None:
        """Keeps records, all or none; on the disk when it returns. All must have been read. Raises Unwritten."""
        if self.failure:
            raise WriteError(self.failure, str(self.path))
        data = b"".join(map(encode_record, added))
        try:
            self.disk.write(self.path, self.end_offset, data)
        except OSError as problem:
            self.discard_partial_write(str(problem))
        try:
            self.disk.sync(self.path)
        except OSError as problem:
            self.failure = f"fsync failed ({problem}): what lasts is not known until it is opened anew"
            self.discard_partial_write(str(problem))
        self.end_offset += len(data)

    def discard_partial_write(self, problem: str) -> None:
        """Cuts off what was written in part, so that nothing of it is read later. Raises Unwritten."""
        try:
            self.disk.truncate(self.path, self.end_offset)
            if not self.failure:
                self.disk.sync(self.path)
        except OSError as second_problem:
            self.failure = f"what was written in part could not be cut off: {second_problem}"
        raise WriteError(problem, str(self.path))

    def rewrite(self, *first: dict[str, Any]) -> None:
        """Begins the file anew with these records, which stand for all before them: the old file or the new one is
        there at any moment. Raises Unwritten; the old one stands then, or the disk has failed."""
        if self.failure:
            raise WriteError(self.failure, str(self.path))
        data = b"".join(map(encode_record, first))
        try:
            self.disk.put(self.path, data)
        except OSError as problem:
            self.failure = f"no snapshot could be kept ({problem}): which file lasts is not known"
            raise WriteError(str(problem), str(self.path)) from None
        self.end_offset = len(data)

    def close(self) -> None:
        self.disk.close(self.path)
        if self.lock >= 0:
            with suppress(OSError):
                self.disk.release(self.lock)
            self.lock = -1
