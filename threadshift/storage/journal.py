"""An append-only file of records that survives a crash at any write, and that can be replaced by a snapshot.

A record is a header (magic, length, CRC-32 of the payload, CRC-32 of the header so far) and a msgpack payload.
Records are written in one write, followed by an fsync; only then may they be acknowledged. A new file is written and
synced under a temporary name, renamed, and its directory is synced. After a crash the file may end with a part of one
record, and with zeros; these are cut off when it is read by a writer. Any other mismatch is reported as corruption
with its offset and not repaired. After a failed fsync it is unknown what is durable, so nothing more is written until
the file is opened again.

The checksums don't detect a file that was rolled back to an older copy. A user of the journal that must not lose
records has to ask other processes, as consensus/ does.
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

MAGIC = b"tsj1"            # of a record; another record format needs another one
HEADER = struct.Struct(">4sII")
HEADER_CHECKSUM = struct.Struct(">I")
PREFIX_SIZE = HEADER.size + HEADER_CHECKSUM.size
MAX_PAYLOAD_SIZE = 8 << 20         # bytes; a snapshot of the replicated state fits many times


class CorruptJournal(ThreadshiftError):
    """A file that is no journal, or a damaged one; the message has the offset."""

    help = "move the file away and restore a copy, or start without it; its content is not repaired"


class WriteError(ThreadshiftError):
    """A record that could not be stored; no part of it is left in the file, unless fsync failed."""

    help = "free disk space or repair the disk, then restart the process that writes the file"


class JournalInUse(WriteError):
    """Another process has this file open for writing."""

    help = "end the other process first; two writers would corrupt the file"


def encode_record(record: dict[str, Any]) -> bytes:
    """Returns a record with its header. Raises WriteError if it is too large."""
    payload = msgpack.packb(record)
    if len(payload) > MAX_PAYLOAD_SIZE:
        raise WriteError(f"a record has {len(payload)} bytes; the maximum is {MAX_PAYLOAD_SIZE}")
    head = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return head + HEADER_CHECKSUM.pack(zlib.crc32(head)) + payload


def decode_records(data: bytes, file: str, start: int = 0) -> Iterator[tuple[dict[str, Any], int]]:
    """Yields records with the offset where each ends, up to an incomplete write at the end. Raises CorruptJournal."""
    offset = start
    while offset < len(data):
        prefix = data[offset:offset + PREFIX_SIZE]
        if len(prefix) < PREFIX_SIZE:
            return                          # an incomplete header
        head, (header_checksum,) = prefix[:HEADER.size], HEADER_CHECKSUM.unpack(prefix[HEADER.size:])
        magic, length, payload_checksum = HEADER.unpack(head)
        if magic != MAGIC or zlib.crc32(head) != header_checksum or length > MAX_PAYLOAD_SIZE:
            if not any(data[offset + PREFIX_SIZE - 1:]):
                return                      # an incomplete header, followed by zeros of allocated space
            raise CorruptJournal(f"no record begins at byte {offset}", file)
        end = offset + PREFIX_SIZE + length
        payload = data[offset + PREFIX_SIZE:end]
        if zlib.crc32(payload) != payload_checksum:
            if not any(data[end:]):
                return                      # an incomplete write of the last record
            raise CorruptJournal(f"the record at byte {offset} does not match its checksum", file)
        try:
            yield msgpack.unpackb(payload, strict_map_key=False), end
        except (ValueError, msgpack.UnpackException):
            raise CorruptJournal(f"the record at byte {offset} is not valid msgpack", file) from None
        offset = end


class Journal:
    """A journal open for reading or writing, with one writer at a time."""

    def __init__(self, path: Path, write: bool = False, disk: Disk | None = None):
        self.path, self.disk = path, disk or Disk()
        self.end_offset = 0
        self.lock = -1
        self.failure = ""          # why nothing more is written until it is opened again
        if write:
            self.open()

    def open(self) -> None:
        """Locks the file for writing and creates it if necessary. Raises JournalInUse, WriteError."""
        try:
            self.lock = self.disk.lock(self.path.with_name(self.path.name + ".lock"))
        except BlockingIOError:
            raise JournalInUse("another process has it open for writing", str(self.path)) from None
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
        """Yields the records added since the last read: all records at first, and again after the writer replaced
        the file by a shorter snapshot. Raises CorruptJournal, OSError."""
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
        """Stores all records or none; they are durable when it returns. All earlier records must have been read
        before. Raises WriteError."""
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
            self.failure = f"fsync failed ({problem}): it is unknown what was stored until the file is opened anew"
            self.discard_partial_write(str(problem))
        self.end_offset += len(data)

    def discard_partial_write(self, problem: str) -> None:
        """Removes an incomplete write, so that no part of it is read later. Always raises WriteError."""
        try:
            self.disk.truncate(self.path, self.end_offset)
            if not self.failure:
                self.disk.sync(self.path)
        except OSError as second_problem:
            self.failure = f"an incomplete write could not be removed: {second_problem}"
        raise WriteError(problem, str(self.path))

    def rewrite(self, *first: dict[str, Any]) -> None:
        """Replaces the file by one with these records, which represent all earlier ones. At any moment either the old
        or the new file is there. Raises WriteError; the old file is still there then, or the disk has failed."""
        if self.failure:
            raise WriteError(self.failure, str(self.path))
        data = b"".join(map(encode_record, first))
        try:
            self.disk.put(self.path, data)
        except OSError as problem:
            self.failure = f"the snapshot could not be stored ({problem}): it is unknown which file is on the disk"
            raise WriteError(str(problem), str(self.path)) from None
        self.end_offset = len(data)

    def close(self) -> None:
        self.disk.close(self.path)
        if self.lock >= 0:
            with suppress(OSError):
                self.disk.release(self.lock)
            self.lock = -1
