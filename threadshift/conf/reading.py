"""Parses the line-based configuration format: one directive a line, blocks in braces, '#' begins a comment.

    listen 127.0.0.1:8080
    type qty-check {
        target-latency 600ms
    }

Words are separated by white space; a word that contains spaces or '#' is enclosed in double quotes. Every fault is
reported as a `ConfigurationError` that names file, line and word, the same in `threadshift check` and in a reload.
"""
from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from threadshift.errors import ThreadshiftError

MAX_FILE_SIZE = 1 << 20    # bytes; a thousand times a usual file, and still read at once
MAX_DEPTH = 4              # levels of directives; the format needs two levels of blocks
ONE_OR_MORE = -1           # as DirectiveSpec.word_count: at least one word, passed to the parser as a list

WORD = re.compile(r'"([^"]*)"|([^\s"#]+)|(#.*)|(")')


class ConfigurationError(ThreadshiftError):
    """A fault in a configuration file; `str()` is one line that says where it is and what is wrong."""

    help = "mend the file at the line named, and try it with 'threadshift check'"

    def __init__(self, file: str, line: int, text: str):
        super().__init__(text, f"{file}:{line}")
        self.line = line


@dataclass(slots=True)
class Directive:
    """One line: its first word as the name, the words after it, and the lines of its block, None without a block."""

    file: str
    line: int
    name: str
    words: list[str]
    block: list[Directive] | None = None

    def error(self, text: str) -> ConfigurationError:
        """An error at this line."""
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
    """The directives of a file's text, nested as in the file."""
    top: list[Directive] = []
    open_blocks: list[Directive] = []
    open_lists = [top]          # where the lines of each open block are collected, the innermost last
    for number, raw in enumerate(text.splitlines(), 1):
        words = split(raw, file, number)
        if not words:
            continue
        if words == ["}"]:
            if not open_blocks:
                raise ConfigurationError(file, number, "'}' closes no block")
            open_blocks.pop()
            open_lists.pop()
            continue
        opens = words[-1] == "{"
        stray = next((word for word in words[:-1 if opens else None] if word in "{}"), None)
        if stray:
            raise ConfigurationError(file, number, f"'{stray}' must end its line or stand alone")
        if opens and len(words) == 1:
            raise ConfigurationError(file, number, "a block needs a name before '{'")
        block: list[Directive] = []
        directive = Directive(file, number, words[0], words[1:-1] if opens else words[1:], block if opens else None)
        open_lists[-1].append(directive)
        if opens:
            if len(open_blocks) + 1 >= MAX_DEPTH:
                raise ConfigurationError(file, number, f"blocks are nested more than {MAX_DEPTH - 1} deep")
            open_blocks.append(directive)
            open_lists.append(block)
    if open_blocks:
        raise ConfigurationError(file, open_blocks[-1].line, f"the block of '{open_blocks[-1].name}' is not closed")
    return top


def load(path: str) -> list[Directive]:
    """The directives of a file on disk.

    Raises ConfigurationError where the file cannot be read, is too long or is not UTF-8 text."""
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigurationError(path, 0, f"cannot be read: {problem.strerror}") from None
    if len(data) > MAX_FILE_SIZE:
        raise ConfigurationError(path, 0, f"has {len(data)} bytes, more than {MAX_FILE_SIZE}")
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as problem:
        raise ConfigurationError(path, data[:problem.start].count(b"\n") + 1, "is not UTF-8 text") from None


@dataclass(slots=True)
class DirectiveSpec:
    """One directive that a block may hold: how its words are parsed, and its value where it is absent."""

    parse: Callable[..., Any]
    default: Any = None
    required: bool = False      # the block must hold this directive
    word_count: int = 1         # number of words after the name, or ONE_OR_MORE
    reloadable: bool = False    # may change while a front end runs


@dataclass(slots=True)
class BlockSpec:
    """The directives that one kind of block may hold. An unknown one is an error that names the nearest known one."""

    known: dict[str, DirectiveSpec]
    nested: frozenset[str] = field(default_factory=frozenset)   # names of blocks inside, which the caller reads

    def read(self, lines: Iterable[Directive], owner: Directive | None, file: str) -> dict[str, Any]:
        """The values of all known directives by name. `owner` is the block's own line, None for the whole file."""
        found: dict[str, Any] = {}
        for line in lines:
            if line.name in self.nested:
                if line.block is None:
                    raise line.error(f"'{line.name}' needs a block in braces")
                continue
            spec = self.known.get(line.name)
            if spec is None:
                raise line.error(f"unknown directive '{line.name}'{nearest(line.name, [*self.known, *self.nested])}")
            if line.block is not None:
                raise line.error(f"'{line.name}' takes no block")
            if line.name in found:
                raise line.error(f"'{line.name}' stands twice")
            found[line.name] = self.value(line, spec)
        for name, spec in self.known.items():
            if name not in found:
                if spec.required:
                    place = f"{owner.name} {' '.join(owner.words)}".strip() if owner else "the file"
                    raise ConfigurationError(file, owner.line if owner else 0, f"{place} lacks '{name}'")
                found[name] = spec.default
        return found

    @staticmethod
    def value(line: Directive, spec: DirectiveSpec) -> Any:
        """The parsed words of one directive."""
        if spec.word_count >= 0 and len(line.words) != spec.word_count or not line.words and spec.word_count:
            many = ("at least one word" if spec.word_count < 0
                    else f"{spec.word_count} word{'s' * (spec.word_count != 1)}")
            raise line.error(f"'{line.name}' takes {many}, found {len(line.words)}")
        try:
            return spec.parse(line.words) if spec.word_count < 0 else spec.parse(*line.words)
        except ValueError as problem:
            raise line.error(f"'{line.name} {' '.join(line.words)}': {problem}") from None


def nearest(name: str, known: Iterable[str]) -> str:
    """The end of an error message that suggests the known name closest to this one; empty where none is close."""
    close = difflib.get_close_matches(name, list(known), 1)
    return f"; the nearest known is '{close[0]}'" if close else ""
