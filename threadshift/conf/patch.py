"""Changes to a configuration file, directive by directive, and the file that results. Free of I/O.

A change is (block, directive, words): the block as it begins in the file ('bounds', 'type check', empty for the
top), the directive's name, and its words. It replaces the directive, or is added to the block."""
from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from threadshift.conf.reading import Directive, ConfigurationError

Change = tuple[str, str, Sequence[str]]
FIXED = frozenset({"listen", "name", "own-ports", "front-ends", "admin", "roster"})    # who and where it is
FIXED_BLOCKS = frozenset({"peers", "bgp"})      # what each file has of its own


def patched(lines: Sequence[Directive], changes: Iterable[Change], file: str) -> list[Directive]:
    """The directives with the changes made. Raises ConfigurationError."""
    found = [copied(line) for line in lines]
    for block, name, words in changes:
        told = f"{block} {name}".strip()
        if block.split(" ")[0] in FIXED_BLOCKS or not block and name in FIXED:
            raise ConfigurationError(file, 0, f"'{told}' says who and where a front end is: a rollout does not change it")
        where = found
        if block:
            home = next((line for line in found if line.block is not None
                         and " ".join([line.name, *line.words]) == block), None)
            if home is None:
                first, *rest = block.split(" ")
                home = Directive(file, 0, first, rest, [])
                found.append(home)
            assert home.block is not None
            where = home.block
        line = next((each for each in where if each.name == name and each.block is None), None)
        if line is None:
            where.append(Directive(file, 0, name, list(words)))
        else:
            line.words = list(words)
    return found


def copied(line: Directive) -> Directive:
    block = None if line.block is None else [copied(each) for each in line.block]
    return Directive(line.file, line.line, line.name, list(line.words), block)


def text(lines: Sequence[Directive], indent: str = "") -> str:
    """The directives as a file."""
    found = []
    for line in lines:
        words = " ".join([line.name, *(word if re.fullmatch(r'[^\s"#{}]+', word) else f'"{word}"'
                                       for word in line.words)])
        if line.block is None:
            found.append(f"{indent}{words}\n")
        else:
            found.append(f"{indent}{words} {{\n{text(line.block, indent + '    ')}{indent}}}\n")
    return "".join(found)
