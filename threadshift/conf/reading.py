"""Reads the line-based form: one directive a line, blocks in braces, '#' begins a comment.

    listen 127.0.0.1:8080
    type qty-check {
        target-latency 600ms
    }

Words are parted by white space; a word with spaces or '#' stands in double quotes. Every mistake is a `ConfigurationError`
that names file, line and word, so that `threadshift check` and a reload say the same.
"""
from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError

LONGEST_FILE = 1 << 20     # bytes; a thousand times a usual file, and still read at once
DEEPEST = 4                # blocks in blocks; the form needs two

WORD = re.compile(r'"([^"]*)"|([^\s"#]+)|(#.*)|(")')


class ConfigurationError(ThreadshiftError):
    """What is wrong, where; `str()` is the one line to show."""

    help = "mend the file at the line named, and try it with 'threadshift check'"

    def __init__(self, file: str, line: int, text: str):
        super().__init__(text, f"{file}:{line}")
        self.line = line


@dataclass(slots=True)
class Directive:
    """One line: its first word, the words after it, and the lines of its block, None where it has none."""

    file: str
    line: int
    name: str
    words: list[str]
    block: list[Directive] | None = None

    def wrong(self, text: str) -> ConfigurationError:
        return ConfigurationError(self.file, self.line, text)


def split(text: str, file: str, line: int) -> list[str]:
    """The words of one line without its comment."""
    words = []
    for quoted, plain, comment, stray in (match.groups() for match in WORD.finditer(text)):
        if comment is not None:
            break
        if stray is not None:
            raise ConfigurationError(file, line, "a double quote is not closed on its line")
        words.append(quoted if plain is None else plain)
    return words


def parse(text: str, file: str) -> list[Directive]:
    """The directives of a file's text, nested as they stand."""
    top: list[Directive] = []
    open_blocks: list[Directive] = []
    inside = [top]              # the lists of lines that are open, the innermost last
    for number, raw in enumerate(text.splitlines(), 1):
        words = split(raw, file, number)
        if not words:
            continue
        if words == ["}"]:
            if not open_blocks:
                raise ConfigurationError(file, number, "'}' closes no block")
            open_blocks.pop()
            inside.pop()
            continue
        opens = words[-1] == "{"
        stray = next((word for word in words[:-1 if opens else None] if word in "{}"), None)
        if stray:
            raise ConfigurationError(file, number, f"'{stray}' must end its line or stand alone")
        if opens and len(words) == 1:
            raise ConfigurationError(file, number, "a block needs a name before '{'")
        block: list[Directive] = []
        it = Directive(file, number, words[0], words[1:-1] if opens else words[1:], block if opens else None)
        inside[-1].append(it)
        if opens:
            if len(open_blocks) + 1 >= DEEPEST:
                raise ConfigurationError(file, number, f"blocks stand more than {DEEPEST - 1} deep")
            open_blocks.append(it)
            inside.append(block)
    if open_blocks:
        raise ConfigurationError(file, open_blocks[-1].line, f"the block of '{open_blocks[-1].name}' is not closed")
    return top


def load(path: str) -> list[Directive]:
    """The directives of a file on disk.

    Raises ConfigurationError where it cannot be read, is too long or is no UTF-8 text."""
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigurationError(path, 0, f"cannot be read: {problem.strerror}") from None
    if len(data) > LONGEST_FILE:
        raise ConfigurationError(path, 0, f"has {len(data)} bytes, more than {LONGEST_FILE}")
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as problem:
        raise ConfigurationError(path, data[:problem.start].count(b"\n") + 1, "is not UTF-8 text") from None


@dataclass(slots=True)
class Word:
    """One directive that a block knows: how its words are read, and what holds where it is absent."""

    read: Callable[..., Any]
    default: Any = None
    wanted: bool = False        # absent is a mistake
    words: int = 1              # how many it takes; -1: one or more, handed over as a list
    reload: bool = False        # may change while running


@dataclass(slots=True)
class Block:
    """The directives of one block, read by name; what it does not know is a mistake with the nearest known."""

    known: dict[str, Word]
    nested: frozenset[str] = field(default_factory=frozenset)

    def read(self, lines: Iterable[Directive], owner: Directive | None, file: str) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for line in lines:
            if line.name in self.nested:
                if line.block is None:
                    raise line.wrong(f"'{line.name}' needs a block in braces")
                continue
            word = self.known.get(line.name)
            if word is None:
                raise line.wrong(f"unknown directive '{line.name}'{nearest(line.name, [*self.known, *self.nested])}")
            if line.block is not None:
                raise line.wrong(f"'{line.name}' takes no block")
            if line.name in found:
                raise line.wrong(f"'{line.name}' stands twice")
            found[line.name] = self.value(line, word)
        for name, word in self.known.items():
            if name not in found:
                if word.wanted:
                    place = f"{owner.name} {' '.join(owner.words)}".strip() if owner else "the file"
                    raise ConfigurationError(file, owner.line if owner else 0, f"{place} lacks '{name}'")
                found[name] = word.default
        return found

    @staticmethod
    def value(line: Directive, word: Word) -> Any:
        if word.words >= 0 and len(line.words) != word.words or not line.words and word.words:
            many = "at least one word" if word.words < 0 else f"{word.words} word{'s' * (word.words != 1)}"
            raise line.wrong(f"'{line.name}' takes {many}, found {len(line.words)}")
        try:
            return word.read(line.words) if word.words < 0 else word.read(*line.words)
        except ValueError as problem:
            raise line.wrong(f"'{line.name} {' '.join(line.words)}': {problem}") from None


def nearest(name: str, known: Iterable[str]) -> str:
    close = difflib.get_close_matches(name, list(known), 1)
    return f"; the nearest known is '{close[0]}'" if close else ""
