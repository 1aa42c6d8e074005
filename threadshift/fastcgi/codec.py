"""Encoding and decoding of FastCGI 1.0 records and parameters. Free of I/O.

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
HEADER = struct.Struct(">BBHHBx")         # version, type, request id, content length, padding length
BEGIN_BODY = struct.Struct(">HB5x")       # role, flags
END_BODY = struct.Struct(">IB3x")         # application status, protocol status
LONG_LENGTH = struct.Struct(">I")
LONG_LENGTH_FLAG = 0x80000000
FIRST_LONG_LENGTH = 0x80                  # shorter names and values have their length in one byte
MAX_CONTENT = 65_535                      # bytes of one record's content
PADDED_BODY = bytes(8)


class ProtocolError(ThreadshiftError):
    """Input that breaks the protocol; `str()` says how."""

    help = "none: the connection is closed; its client does not speak FastCGI"


class Records:
    """Splits a stream of bytes into records (type, id, content); buffers less than one record between two calls."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """Yields the records that this data completes, each decoded when it is asked for. Raises ProtocolError."""
        data = self.buffer + data if self.buffer else data
        at, size = 0, len(data)
        while size - at >= HEADER.size:
            version, kind, id_, length, padding = HEADER.unpack_from(data, at)
            if version != VERSION:
                self.buffer = b""
                raise ProtocolError(f"version {version} is not a FastCGI version")
            start = at + HEADER.size
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
    """Returns one record."""
    return HEADER.pack(VERSION, kind, id_, len(content), 0) + content


def stream(kind: int, id_: int, content: bytes) -> bytes:
    """Returns a whole stream: as many records as the content needs, and the empty record that ends it."""
    if len(content) <= MAX_CONTENT:
        return record(kind, id_, content) + record(kind, id_) if content else record(kind, id_)
    parts = [record(kind, id_, content[at:at + MAX_CONTENT]) for at in range(0, len(content), MAX_CONTENT)]
    return b"".join([*parts, record(kind, id_)])


def response(id_: int, content: bytes, status: int = COMPLETE) -> bytes:
    """Returns one response: its content as a stream, if there is any, and the record that ends the request."""
    end = HEADER.pack(VERSION, END, id_, END_BODY.size, 0) + END_BODY.pack(0, status)
    return stream(STDOUT, id_, content) + end if content else end


def pairs(content: bytes) -> list[tuple[bytes, bytes]]:
    """Decodes name-value pairs. Raises ProtocolError where a length does not fit the content."""
    found, at, size = [], 0, len(content)
    while at < size:
        lengths = []
        for _ in range(2):
            if at >= size:
                raise ProtocolError("parameters end inside a length")
            if content[at] < FIRST_LONG_LENGTH:
                lengths.append(content[at])
                at += 1
            else:
                if at + 4 > size:
                    raise ProtocolError("parameters end inside a length")
                lengths.append(LONG_LENGTH.unpack_from(content, at)[0] & 0x7FFFFFFF)
                at += 4
        name, value = lengths
        if at + name + value > size:
            raise ProtocolError(f"a parameter of {name} and {value} bytes exceeds the content")
        found.append((content[at:at + name], content[at + name:at + name + value]))
        at += name + value
    return found


def pair(name: bytes, value: bytes) -> bytes:
    """Encodes one name-value pair."""
    lengths = b"".join(bytes((len(each),)) if len(each) < FIRST_LONG_LENGTH
                       else LONG_LENGTH.pack(len(each) | LONG_LENGTH_FLAG)
                       for each in (name, value))
    return lengths + name + value


def begin(content: bytes) -> tuple[int, bool]:
    """Decodes the begin of a request: its role, and whether the connection stays open. Raises ProtocolError."""
    if len(content) != BEGIN_BODY.size:
        raise ProtocolError(f"a begin record has {len(content)} bytes")
    role, flags = BEGIN_BODY.unpack(content)
    return role, bool(flags & KEEP)


def values(content: bytes, connections: int, requests: int) -> bytes:
    """Returns the answer to GET_VALUES. Raises ProtocolError."""
    known = {b"FCGI_MAX_CONNS": b"%d" % connections, b"FCGI_MAX_REQS": b"%d" % requests, b"FCGI_MPXS_CONNS": b"1"}
    answered = b"".join(pair(name, known[name])
                        for name in {name: None for name, _ in pairs(content)} if name in known)
    return record(VALUES, 0, answered)


def unknown(kind: int) -> bytes:
    """Returns the answer to a management record of an unknown type."""
    return record(UNKNOWN, 0, bytes((kind,)) + PADDED_BODY[1:])
