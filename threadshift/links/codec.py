"""Frames of the worker protocol: a length of four bytes, big-endian, then one msgpack map with a "kind".

docs/worker-protocol.md lists every kind and field. Unknown fields are skipped; a kind that the reader does not know
is refused by name. All invalid input raises `ProtocolError`, with one sentence to send back and to log.
"""
from __future__ import annotations

import struct
from typing import Any

import msgpack

from threadshift.errors import ThreadshiftError

VERSION = 1                # of the protocol; a hello with another major version is refused
LENGTH = struct.Struct(">I")
MAX_TEXT_LENGTH = 4096     # characters of a name or reason; names are far shorter
MAX_FIELDS = 64            # fields of one map; the protocol's largest frame has a dozen

Frame = dict[str, Any]


class ProtocolError(ThreadshiftError):
    """Input that breaks the protocol; `str()` says how."""

    help = "none: the connection is dialled anew; check the named peer if this persists"


# The fields that a frame of each kind must have, with their types. It may have others.
REQUIRED_FIELDS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "hello": {"version": int, "name": str},
    "invoke": {"id": int, "function": str, "type": str, "effect": str, "left": int, "body": bytes},
    "cancel": {"id": int},
    "hold": {"id": int, "function": str, "copies": int},
    "unload": {"function": str},
    "ask": {"id": int},
    "ping": {},
    "result": {"id": int, "body": bytes},
    "error": {"id": int, "reason": str},
    "full": {"id": int},
    "miss": {"id": int},
    "held": {"id": int, "outcome": str, "copies": int},
    "status": {"id": int},
    "pong": {},
    "draining": {},
    "refused": {"reason": str},
    # The pack store and the roster feed use the same frames.
    "fetch": {"id": int, "function": str},
    "pack": {"id": int, "digest": str, "body": bytes},
    "no-pack": {"id": int, "reason": str},
    "list": {"generation": int, "workers": list},
    "changes": {"generation": int, "workers": list},
    # Between front ends: messages of the replicated record, and questions with their replies.
    "record": {"hear": str, "say": dict},
    "question": {"id": int, "what": str, "say": dict},
    "reply": {"id": int, "say": dict},
}


def encode(kind: str, **fields: Any) -> bytes:
    """The bytes of one frame. Fields that are None are left out."""
    return pack({"kind": kind, **{name: value for name, value in fields.items() if value is not None}})


def pack(frame: Frame) -> bytes:
    """The bytes of one frame, given as a map."""
    body = msgpack.packb(frame)
    return LENGTH.pack(len(body)) + body


def check(frame: Any) -> Frame:
    """Returns a decoded frame unchanged if it is valid. Raises ProtocolError."""
    if not isinstance(frame, dict) or not isinstance(kind := frame.get("kind"), str):
        raise ProtocolError("a frame is a map with a text 'kind'")
    wanted = REQUIRED_FIELDS.get(kind)
    if wanted is None:
        raise ProtocolError(f"unknown frame kind '{kind[:64]}'")
    for name, type_ in wanted.items():
        value = frame.get(name)
        if not isinstance(value, type_) or isinstance(value, bool):
            raise ProtocolError(f"{kind}: field '{name}' is {'absent' if value is None else 'of the wrong type'}")
        if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
            raise ProtocolError(f"{kind}: field '{name}' is longer than {MAX_TEXT_LENGTH}")
    return frame


class FrameDecoder:
    """Splits a stream of bytes into frames; one for each connection and direction. Between two calls it buffers
    less than one frame."""

    def __init__(self, max_length: int):
        self.max_length = max_length
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes. After a ProtocolError the decoder cannot be used any more."""
        self.buffer += data
        frames, at = [], 0
        while len(self.buffer) - at >= LENGTH.size:
            length = LENGTH.unpack_from(self.buffer, at)[0]
            if length > self.max_length:
                raise ProtocolError(f"a frame of {length} bytes is over the bound of {self.max_length}")
            end = at + LENGTH.size + length
            if len(self.buffer) < end:
                break
            try:
                frame = msgpack.unpackb(bytes(self.buffer[at + LENGTH.size:end]), max_map_len=MAX_FIELDS)
            except (ValueError, msgpack.UnpackException, RecursionError, TypeError) as problem:
                raise ProtocolError(
                    f"a frame is not msgpack: {str(problem)[:100] or type(problem).__name__}") from None
            frames.append(check(frame))
            at = end
        del self.buffer[:at]
        return frames

    @property
    def is_mid_frame(self) -> bool:
        """Whether the input so far ends inside a frame."""
        return bool(self.buffer)
