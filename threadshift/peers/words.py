"""What front ends may say to each other on the record, checked before it reaches a member. Free of I/O.

A message names one of the member's methods and has its fields with these types; a place is a pair of whole
numbers."""
from __future__ import annotations

from typing import Any

from threadshift.links.codec import ProtocolError

PLACE, ENTRIES, ANY = "place", "entries", "any"
FIELDS: dict[str, dict[str, Any]] = {
    "asked": {"term": int, "pre": bool, "last": PLACE, "handed": bool},
    "voted": {"term": int, "pre": bool, "yes": bool, "known": int},
    "handed": {"term": int},
    "told": {"term": int, "before": PLACE, "entries": ENTRIES, "commit": int, "at": int},
    "snapshot": {"term": int, "base": PLACE, "state": dict, "at": int},
    "had": {"term": int, "yes": bool, "index": int, "at": int, "keeps": bool},
    "who": {"nonce": int},
    "word": {"nonce": int, "term": int, "last": PLACE},
}


def pair(value: Any) -> bool:
    return isinstance(value, list | tuple) and len(value) == 2


def place(value: Any) -> bool:
    return pair(value) and all(type(each) is int and each >= 0 for each in value)


def entry(value: Any) -> bool:
    return pair(value) and type(value[0]) is int and isinstance(value[1], dict)


def checked(hear: str, say: dict[str, Any]) -> dict[str, Any]:
    """The fields that the method `hear` takes; further ones, of a later form, are passed over. Raises
    ProtocolError."""
    wanted = FIELDS.get(hear)
    if wanted is None:
        raise ProtocolError(f"record: no member hears '{hear[:64]}'")
    found = {}
    for name, type_ in wanted.items():
        value: Any = say.get(name)
        good = (place(value) if type_ is PLACE else isinstance(value, list) and all(map(entry, value))
                if type_ is ENTRIES else type(value) is type_ and (type_ is not int or value >= 0))
        if not good:
            raise ProtocolError(
                f"record: {hear}: field '{name}' is {'absent' if value is None else 'of the wrong type'}")
        found[name] = tuple(value) if type_ is PLACE else value
    return found
