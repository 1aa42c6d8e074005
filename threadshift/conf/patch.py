"""Applies changes to a configuration file, directive by directive, and writes out the file that results. Free of I/O.

A change is (block, directive, words): the block's first line without its brace ('bounds', 'type check', empty for the
top level), the directive's name, and its words. The change replaces that directive, or adds it to the block."""
from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from threadshift.conf.reading import ConfigurationError, Directive

Change = tuple[str, str, Sequence[str]]
# Who and where one front end is, at the top level of its file; a rollout, which changes all files, leaves it alone.
FIXED = frozenset({"listen", "name", "own-ports", "front-ends", "admin", "roster"})
FIXED_BLOCKS = frozenset({"peers", "bgp"})      # blocks that differ between the files of an installation


def patched(lines: Sequence[Directive], changes: Iterable[Change], file: str) -> list[Directive]:
    """The directives with the changes made. Raises ConfigurationError."""
    found = [copied(line) for line in lines]
    for block, name, words in changes:
        full_name = f"{block} {name}".strip()
        if block.split(" ")[0] in FIXED_BLOCKS or not block and name in FIXED:
            raise ConfigurationError(
                file, 0, f"'{full_name}' says who and where a front end is: a rollout does not change it")
        siblings = found
        if block:
            parent = next((line for line in found if line.block is not None
                           and " ".join([line.name, *line.words]) == block), None)
            if parent is None:
                first, *rest = block.split(" ")
                parent = Directive(file, 0, first, rest, [])
                found.append(parent)
            assert parent.block is not None
            siblings = parent.block
        line = next((each for each in siblings if each.name == name and each.block is None), None)
        if line is None:
            siblings.append(Directive(file, 0, name, list(words)))
        else:
            line.words = list(words)
    return found


def copied(line: Directive) -> Directive:
    """A deep copy of a directive."""
    block = None if line.block is None else [copied(each) for each in line.block]
    return Directive(line.file, line.line, line.name, list(line.words), block)


def text(lines: Sequence[Directive], indent: str = "") -> str:
    """The directives as the text of a file."""
    found = []
    for line in lines:
        words = " ".join([line.name, *(word if re.fullmatch(r'[^\s"#{}]+', word) else f'"{word}"'
                                       for word in line.words)])
        if line.block is None:
            found.append(f"{indent}{words}\n")
        else:
            found.append(f"{indent}{words} {{\n{text(line.block, indent + '    ')}{indent}}}\n")
    return "".join(found)
