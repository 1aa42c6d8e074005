"""Wire text to plain fields and back. The wire's names and milliseconds stay in this package."""
from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TextIO

from threadshift.interface import MS


class Malformed(Exception):
    """Input that is no frame; says what is wrong with which line."""


def to_ns(text: str) -> int:
    return round(float(text) * MS)


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


class Fields:
    """The named parts of one line, read by type; what is absent or malformed is reported by line."""

    def __init__(self, word: str, values: dict[str, str], line: int):
        self.word, self.values, self.line = word, values, line

    def read(self, name: str, convert: Callable, default=None):
        text = self.values.get(name)
        if text is None:
            if default is None:
                raise Malformed(f"line {self.line}: {self.word} lacks {name}")
            return default
        try:
            return convert(text)
        except (ValueError, KeyError, OverflowError):
            wrong = f"line {self.line}: {self.word} has {name}={text}, which does not parse"
            raise Malformed(wrong) from None

    def text(self, name: str, default: str | None = None) -> str:
        return self.read(name, str, default)

    def whole(self, name: str, default: int | None = None) -> int:
        return self.read(name, int, default)

    def number(self, name: str, default: float | None = None) -> float:
        return self.read(name, float, default)

    def ns(self, name: str, default: int | None = None) -> int:
        return self.read(name, to_ns, default)

    def flag(self, name: str, default: bool | None = None) -> bool:
        return self.read(name, {"0": False, "1": True, "false": False, "true": True}.__getitem__, default)


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
