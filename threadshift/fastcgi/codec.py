"""FastCGI 1.0 records and parameters. Free of I/O.

Invalid input raises `ProtocolError`, whose one-sentence message goes to the log: nothing after it on that connection
can be split into records. From the FastCGI specification, version 1.0, sections 3.3 to 3.4, 4 and 5.
"""
from __future__ import annotations

import struct
from collections.abc import Iterator

from threadshift.errors import ThreadshiftError

VERSION = 1
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, GET_VALUES, VALUES, UNKNOWN = 1, 2, 3, 4, 5, 6, 9, 10, 11
RESPONDER, KEEP = 1, 1
COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3
HEAD = struct.Struct(">BBHHBx")
BEGUN = struct.Struct(">HB5x")
ENDED = struct.Struct(">IB3x")
LONG = struct.Struct(">I")
LONGEST = 65_535           # bytes of one record's content
PADDED = bytes(8)


class ProtocolError(ThreadshiftError):
    """Input that breaks the protocol; `str()` says how."""

    help = "none: the connection is ended; its client sends what is no FastCGI"


class Records:
    """Cuts a stream of bytes into records (type, id, content); holds less than one record between two feeds."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """The records that data completes, each as it is asked for. Raises ProtocolError."""
        data = self.buffer + data if self.buffer else data
        at, size = 0, len(data)
        while size - at >= HEAD.size:
            version, kind, id_, length, padding = HEAD.unpack_from(data, at)
            if version != VERSION:
                self.buffer = b""
                raise ProtocolError(f"version {version} is none of FastCGI's")
            start = at + HEAD.size
            if size < start + length + padding:
                break
            at = start + length + padding
            yield kind, id_, data[start:start + length]
        self.buffer = data[at:]

    @property
    def torn(self) -> bool:
        """Whether the input so far ends inside a record."""
        return bool(self.buffer)


def record(kind: int, id_: int, content: bytes = b"") -> bytes:
    return HEAD.pack(VERSION, kind, id_, len(content), 0) + content


def stream(kind: int, id_: int, content: bytes) -> bytes:
    """A whole stream: as many records as it takes, and the empty one that ends it."""
    if len(content) <= LONGEST:
        return record(kind, id_, content) + record(kind, id_) if content else record(kind, id_)
    parts = [record(kind, id_, content[at:at + LONGEST]) for at in range(0, len(content), LONGEST)]
    return b"".join([*parts, record(kind, id_)])


def response(id_: int, content: bytes, status: int = COMPLETE) -> bytes:
    """One answer: its content as a stream, if there is any, and the end of the request."""
    end = HEAD.pack(VERSION, END, id_, ENDED.size, 0) + ENDED.pack(0, status)
    return stream(STDOUT, id_, content) + end if content else end


def pairs(content: bytes) -> list[tuple[bytes, bytes]]:
    """Name-value pairs. Raises ProtocolError where lengths do not match what is there."""
    found, at, size = [], 0, len(content)
    while at < size:
        lengths = []
        for _ in range(2):
            if at >= size:
                raise ProtocolError("parameters end inside a length")
            if content[at] < 0x80:
                lengths.append(content[at])
                at += 1
            else:
                if at + 4 > size:
                    raise ProtocolError("parameters end inside a length")
                lengths.append(LONG.unpack_from(content, at)[0] & 0x7FFFFFFF)
                at += 4
        name, value = lengths
        if at + name + value > size:
            raise ProtocolError(f"a parameter of {name} and {value} bytes ends past the last one")
        found.append((content[at:at + name], content[at + name:at + name + value]))
        at += name + value
    return found


def pair(name: bytes, value: bytes) -> bytes:
    lengths = b"".join(bytes((len(each),)) if len(each) < 0x80 else LONG.pack(len(each) | 0x80000000)
                       for each in (name, value))
    return lengths + name + value


def begin(content: bytes) -> tuple[int, bool]:
    """The role that is asked for, and whether the connection is kept. Raises ProtocolError."""
    if len(content) != BEGUN.size:
        raise ProtocolError(f"a begin of {len(content)} bytes")
    role, flags = BEGUN.unpack(content)
    return role, bool(flags & KEEP)


def values(content: bytes, connections: int, requests: int) -> bytes:
    """The answer to GET_VALUES. Raises ProtocolError."""
    known = {b"FCGI_MAX_CONNS": b"%d" % connections, b"FCGI_MAX_REQS": b"%d" % requests, b"FCGI_MPXS_CONNS": b"1"}
    told = b"".join(pair(name, known[name]) for name in {name: None for name, _ in pairs(content)} if name in known)
    return record(VALUES, 0, told)


def unknown(kind: int) -> bytes:
    return record(UNKNOWN, 0, bytes((kind,)) + PADDED[1:])
