"""Validates consensus messages of other front ends before a member handles them. Free of I/O.

A message has a kind, which selects the member's handler, and fields with the types below. A log position is a pair of
non-negative integers."""
from __future__ import annotations

from typing import Any

from threadshift.links.codec import ProtocolError

# Types of fields that a Python type does not describe.
POSITION, ENTRIES, ANY = "place", "entries", "any"
MESSAGE_FIELDS: dict[str, dict[str, Any]] = {
    "asked": {"term": int, "pre": bool, "last": POSITION, "handed": bool},
    "voted": {"term": int, "pre": bool, "yes": bool, "known": int},
    "handed": {"term": int},
    "told": {"term": int, "before": POSITION, "entries": ENTRIES, "commit": int, "at": int},
    "snapshot": {"term": int, "base": POSITION, "state": dict, "at": int},
    "had": {"term": int, "yes": bool, "index": int, "at": int, "keeps": bool},
    "who": {"nonce": int},
    "word": {"nonce": int, "term": int, "last": POSITION},
}


def is_pair(value: Any) -> bool:
    return isinstance(value, list | tuple) and len(value) == 2


def is_position(value: Any) -> bool:
    return is_pair(value) and all(type(each) is int and each >= 0 for each in value)


def is_entry(value: Any) -> bool:
    return is_pair(value) and type(value[0]) is int and isinstance(value[1], dict)


def validate_message(kind: str, fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields that the handler of this kind takes. Further fields, which a later program may send, are
    left out. Raises ProtocolError."""
    field_types = MESSAGE_FIELDS.get(kind)
    if field_types is None:
        raise ProtocolError(f"record: unknown kind of message '{kind[:64]}'")
    found = {}
    for name, type_ in field_types.items():
        value: Any = fields.get(name)
        is_valid = (is_position(value) if type_ is POSITION else isinstance(value, list) and all(map(is_entry, value))
                    if type_ is ENTRIES else type(value) is type_ and (type_ is not int or value >= 0))
        if not is_valid:
            raise ProtocolError(
                f"record: {kind}: field '{name}' is {'absent' if value is None else 'of the wrong type'}")
        found[name] = tuple(value) if type_ is POSITION else value
    return found
