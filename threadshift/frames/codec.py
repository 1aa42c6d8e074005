"""The binary frames between front end and worker. Free of I/O.

    frame = mark:1 code:1 fields:2 body:4 id:8, then that many bytes of fields and of body, then check:4

The mark says who sent the frame. Numbers are unsigned and big-endian. The check is the CRC-32 of fields and body.
Invalid input raises `ProtocolError` with a message for the log: nothing after it on that connection can be trusted.
"""
from __future__ import annotations

import re
import struct
import zlib
from typing import NamedTuple

from threadshift.errors import ThreadshiftError

HEADER = struct.Struct(">BBHI8s")
CHECKSUM = struct.Struct(">I")

# Marks of senders.
FROM_FRONT_END = 1
FROM_WORKER = 2

# Codes of frames from a front end.
INVOKE = 10
CANCEL = 11
PROBE = 13                 # asks for a load report
LOAD = 14                  # orders copies of a function

# Codes of answers from a worker.
OK = 100
MISS = 102
FULL = 103
ERROR = 104
EXPIRED = 105              # the activation never ran
HEALTHY = 106              # answers a probe, as does UNHEALTHY
UNHEALTHY = 107
ANSWERS = frozenset((OK, MISS, FULL, ERROR, EXPIRED, HEALTHY, UNHEALTHY))

FIELD_NAME = re.compile(r"[a-z_]{1,32}")
MAX_FIELDS = 64            # in one frame; the largest of the protocol has four


class ProtocolError(ThreadshiftError):
    """Input that breaks the protocol; `str()` says how."""

    help = "none: the connection is dialled again; look at the worker named if it goes on"


class Frame(NamedTuple):
    """One frame received."""

    code: int
    id: bytes
    fields: dict[str, str]
    body: bytes


def encode(code: int, id_: bytes, fields: str = "", body: bytes = b"", sender: int = FROM_FRONT_END) -> bytes:
    """Encodes one frame."""
    payload = fields.encode("ascii") + body
    return HEADER.pack(sender, code, len(fields), len(body), id_) + payload + CHECKSUM.pack(zlib.crc32(payload))


def parse_fields(text: bytes) -> dict[str, str]:
    """Parses the fields of a frame. Raises ProtocolError."""
    if not text:
        return {}
    try:
        parts = text.decode("ascii").split(",")
    except UnicodeDecodeError:
        raise ProtocolError("fields are not ASCII") from None
    if len(parts) > MAX_FIELDS:
        raise ProtocolError(f"{len(parts)} fields in one frame")
    found: dict[str, str] = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not FIELD_NAME.fullmatch(name) or name in found:
            raise ProtocolError(f"'{part[:40]}' is not a field, or appears twice")
        found[name] = value
    return found


class FrameDecoder:
    """Splits a byte stream into frames. A body's length is checked at the header, before any of it is buffered."""

    def __init__(self, max_body: int, sender: int = FROM_WORKER):
        self.max_body, self.sender = max_body, sender
        self.buffer = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that data completes. Raises ProtocolError, which has the frames ahead of the invalid
        input in `before`."""
        found: list[Frame] = []
        try:
            self.decode(self.buffer + data if self.buffer else data, found)
        except ProtocolError as problem:
            problem.before = found      # type: ignore[attr-defined]
            raise
        return found

    def decode(self, data: bytes, found: list[Frame]) -> None:
        """Appends all complete frames to `found` and buffers the rest."""
        at = 0
        while len(data) - at >= HEADER.size:
            sender, code, fields, body, id_ = HEADER.unpack_from(data, at)
            if sender != self.sender or self.sender == FROM_WORKER and code not in ANSWERS:
                raise ProtocolError(f"mark {sender} with code {code} is not a frame of a worker")
            if body > self.max_body:
                raise ProtocolError(f"a body of {body} bytes is over the bound of {self.max_body}")
            start, end = at + HEADER.size, at + HEADER.size + fields + body
            if len(data) < end + CHECKSUM.size:
                break
            if CHECKSUM.unpack_from(data, end)[0] != zlib.crc32(data[start:end]):
                raise ProtocolError("the checksum does not match")
            found.append(Frame(code, id_, parse_fields(data[start:start + fields]), data[start + fields:end]))
            at = end + CHECKSUM.size
        self.buffer = data[at:]

    @property
    def is_mid_frame(self) -> bool:
        """Whether the input so far ends inside a frame."""
        return bool(self.buffer)
