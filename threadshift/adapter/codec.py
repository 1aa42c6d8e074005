"""Wire text to plain fields and back. The wire's names and milliseconds stay in this package."""
from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

from threadshift.conf.settings import Fields, Malformed
from threadshift.interface import MS


def to_ms(ns: int) -> str:
    return f"{ns / MS:.6f}".rstrip("0").rstrip(".")


def pairs(text: str, line: int) -> dict[str, str]:
    found = {}
    for part in text.split():
        name, mark, value = part.partition("=")
        if not mark:
            raise Malformed(f"line {line}: '{part}' is not name=value")
        found[name] = value
    return found


class Frame:
    """One batch: its number, its clock and its event lines."""

    def __init__(self, number: int, now: int, lines: list[Fields]):
        self.number, self.now, self.lines = number, now, lines


def frames(source: TextIO) -> Iterator[Frame]:
    """Batches until the end of input, which is clean only between two of them."""
    count = 0
    head: Fields | None = None
    lines: list[Fields] = []
    for raw in source:
        count += 1
        text = raw.strip()
        if not text:
            continue
        word, _, rest = text.partition(" ")
        if head is None:
            if word != "SYNC":
                raise Malformed(f"line {count}: expected SYNC, found '{word}'")
            head = Fields(word, pairs(rest, count), count)
        elif word == "EOB":
            yield Frame(head.whole("frame"), head.ns("clock"), lines)
            head, lines = None, []
        elif word == "SYNC":
            raise Malformed(f"line {count}: SYNC inside a batch")
        else:
            lines.append(Fields(word, pairs(rest, count), count))
    if head is not None:
        raise Malformed(f"line {count}: input ends inside a batch")


def line(word: str, **values) -> str:
    return " ".join([word, *(f"{name}={value}" for name, value in values.items() if value is not None)])
