"""Lays out a variant of a site: python deploy/sites/make.py CHANGES SITE.toml [NAMES.json]

CHANGES holds one change a line, applied in order; what names no entry of the site is refused:

    class.0.deadline_ms = 9000      an entry, and its new value as TOML writes it
    copy class.0                    appends a copy of an entry of a list
    drop class.1                    takes one away

The result goes to made/NAME/ beside this file, with wire.json, unlock.txt and real.json of the site (NAMES.json where
the site has none), and its path is printed. That folder is not tracked.
"""
from __future__ import annotations

import copy
import json
import sys
import tomllib
from pathlib import Path
from typing import Any

MADE = Path(__file__).resolve().parent / "made"


class Refused(Exception):
    """A change that cannot be made; says which, and why."""


def find(site: Any, entry: str) -> tuple[Any, str | int]:
    """What holds an entry, and its name or place there."""
    at, parts = site, entry.split(".")
    for part in parts[:-1]:
        at = at[place(at, part, entry)]
    return at, place(at, parts[-1], entry)


def place(at: Any, part: str, entry: str) -> str | int:
    if isinstance(at, list) and part.isdigit() and int(part) < len(at):
        return int(part)
    if isinstance(at, dict) and part in at:
        return part
    raise Refused(f"{entry}: the site has no such entry (nothing at '{part}')")


def change(site: dict, line: str) -> None:
    """Applies one line. Raises Refused."""
    word, _, rest = line.partition(" ")
    if word in ("copy", "drop"):
        holder, at = find(site, rest.strip())
        if not isinstance(holder, list):
            raise Refused(f"{line}: that is no entry of a list")
        holder.append(copy.deepcopy(holder[int(at)])) if word == "copy" else holder.pop(int(at))
        return
    entry, mark, value = (part.strip() for part in line.partition("="))
    if not mark:
        raise Refused(f"{line}: ENTRY = VALUE, copy ENTRY or drop ENTRY is wanted")
    try:
        told = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError as problem:
        raise Refused(f"{line}: {problem}") from None
    holder, at = find(site, entry)
    holder[at] = told


def changed(text: str, site: dict) -> dict:
    """The site with every change of a list made. Raises Refused, with the line's number."""
    for number, line in enumerate(text.splitlines(), 1):
        line = line.split("#")[0].strip()
        try:
            if line:
                change(site, line)
        except Refused as problem:
            raise Refused(f"line {number}: {problem}") from None
    return site


def written(site: dict, path: str = "") -> str:
    """A site as TOML: plain entries, then tables, then lists of tables."""
    plain, tables = [], []
    for name, value in site.items():
        if isinstance(value, dict):
            tables.append(f"\n[{path}{name}]\n{written(value, f'{path}{name}.')}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"\n[[{path}{name}]]\n{written(each, f'{path}{name}.')}" for each in value]
        else:
            plain.append(f"{name} = {json.dumps(value)}\n")
    return "".join(plain + tables)


def main(arguments: list[str]) -> int:
    if len(arguments) not in (2, 3):
        print(__doc__, file=sys.stderr)
        return 2
    changes, source = Path(arguments[0]), Path(arguments[1])
    try:
        site = changed(changes.read_text(), tomllib.loads(source.read_text()))
    except (Refused, OSError, tomllib.TOMLDecodeError) as problem:
        print(f"make: {changes}: {problem}", file=sys.stderr)
        return 1
    folder = MADE / changes.stem
    made = folder / f"{changes.stem}.toml"
    try:
        beside = {name: (source.parent / name).read_bytes() for name in ("wire.json", "unlock.txt")}
        names = Path(arguments[2]) if len(arguments) == 3 else source.parent / "real.json"
        beside["real.json"] = names.read_bytes()
        folder.mkdir(parents=True, exist_ok=True)
        for name, content in beside.items():
            (folder / name).write_bytes(content)
        made.write_text(written(site))
    except OSError as problem:
        print(f"make: {problem}", file=sys.stderr)
        return 1
    print(made)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
