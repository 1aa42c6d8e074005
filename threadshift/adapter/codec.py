"""Converts the lines of the simulator's protocol to fields and back. Its names and its milliseconds are used in this
package only."""
from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

from threadshift.conf.settings import FieldReader, InvalidInput
from threadshift.interface import MS


def format_ms(ns: int) -> str:
    """Nanoseconds as decimal milliseconds."""
    return f"{ns / MS:.6f}".rstrip("0").rstrip(".")


def parse_pairs(text: str, line: int) -> dict[str, str]:
    """The name=value pairs of a line. Raises InvalidInput."""
    pairs = {}
    for part in text.split():
        name, separator, value = part.partition("=")
        if not separator:
            raise InvalidInput(f"line {line}: '{part}' is not name=value")
        pairs[name] = value
    return pairs


class Batch:
    """One batch: its number, its time and its event lines."""

    def __init__(self, number: int, now: int, lines: list[FieldReader]):
        self.number, self.now, self.lines = number, now, lines


def read_batches(source: TextIO) -> Iterator[Batch]:
    """Yields batches until the end of input. Raises InvalidInput, also where the input ends inside a batch."""
    line_number = 0
    header: FieldReader | None = None
    lines: list[FieldReader] = []
    for raw in source:
        line_number += 1
        text = raw.strip()
        if not text:
            continue
        keyword, _, rest = text.partition(" ")
        if header is None:
            if keyword != "SYNC":
                raise InvalidInput(f"line {line_number}: expected SYNC, found '{keyword}'")
            header = FieldReader(keyword, parse_pairs(rest, line_number), line_number)
        elif keyword == "EOB":
            yield Batch(header.whole("frame"), header.ns("clock"), lines)
            header, lines = None, []
        elif keyword == "SYNC":
            raise InvalidInput(f"line {line_number}: SYNC inside a batch")
        else:
            lines.append(FieldReader(keyword, parse_pairs(rest, line_number), line_number))
    if header is not None:
        raise InvalidInput(f"line {line_number}: input ends inside a batch")


def format_line(keyword: str, **values) -> str:
    """One line of a reply. Values that are None are left out."""
    return " ".join([keyword, *(f"{name}={value}" for name, value in values.items() if value is not None)])
