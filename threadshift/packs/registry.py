"""Packs, their immutable versions and the aliases that point at them. Free of I/O.

A version, once added, never changes; an alias moves, and every move stays in its history with who, when and why. A
call resolves an alias once, when it is taken, and keeps what it got.
"""
from __future__ import annotations

import re
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError
from threadshift.interface import Effect

CURRENT = "current"        # the alias of a name without one
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
DIGEST = re.compile(r"[0-9a-f]{64}$")      # sha256
LONGEST_WHY = 1000         # characters


class NotAllowed(ThreadshiftError):
    """What may not be added or moved; says what and why."""

    help = "change what is told and try again; nothing was kept"


class Pack(NamedTuple):
    """One version of a pack."""

    name: str
    version: str
    digest: str                  # sha256 of its content, hex
    effect: Effect
    lanes: int
    memory: int                  # bytes

    @property
    def function(self) -> str:
        """The name by which the decisions know it: each version is a function of its own."""
        return f"{self.name}@{self.version}"


class Move(NamedTuple):
    """One move of an alias; `before` is empty for its first."""

    name: str
    alias: str
    version: str
    before: str
    who: str
    when: int                    # wall clock ns, as told; the order of moves is that of the history
    why: str


class Registry:
    """The state; every change goes through change(), which is also how it is replayed."""

    def __init__(self) -> None:
        self.packs: dict[str, dict[str, Pack]] = {}      # name: version: pack
        self.aliases: dict[tuple[str, str], str] = {}    # (name, alias): version
        self.moves: list[Move] = []

    # What may be done, as a record to be kept first.

    def add(self, pack: Pack) -> dict[str, Any] | None:
        """The record that adds a version; None where it stands already. Raises NotAllowed."""
        for text, what in ((pack.name, "name"), (pack.version, "version")):
            if not NAME.match(text):
                raise NotAllowed(f"{what} '{text[:100]}': letters, digits, '.', '_' and '-', 100 at most")
        if not DIGEST.match(pack.digest):
            raise NotAllowed(f"digest '{pack.digest[:70]}' is no sha256 in hex")
        if pack.lanes < 1 or pack.memory < 1:
            raise NotAllowed(f"{pack.function}: lanes and memory are at least 1")
        known = self.packs.get(pack.name, {}).get(pack.version)
        if known == pack:
            return None
        if known is not None:
            raise NotAllowed(f"{pack.function} stands already and is immutable; add another version")
        if (pack.name, pack.version) in self.aliases:
            raise NotAllowed(f"'{pack.version}' is an alias of {pack.name}")
        return {"do": "add", **pack._asdict(), "effect": pack.effect.value}

    def move(self, name: str, alias: str, version: str, who: str, when: int, why: str) -> dict[str, Any]:
        """The record that moves an alias. Raises NotAllowed."""
        versions = self.packs.get(name, {})
        if version not in versions:
            raise NotAllowed(f"{name} has no version '{version}'" if versions else f"no pack '{name}'")
        if not NAME.match(alias) or alias in versions:
            raise NotAllowed(f"'{alias}' is no alias: " + ("it is a version" if alias in versions else "not a name"))
        if self.aliases.get((name, alias)) == version:
            raise NotAllowed(f"{name}@{alias} is at {version} already")
        if not who or len(why) > LONGEST_WHY:
            raise NotAllowed(f"a move says who, and why in {LONGEST_WHY} characters at most")
        return {"do": "move", "name": name, "alias": alias, "version": version, "who": who, "when": when, "why": why}

    def change(self, record: dict[str, Any]) -> None:
        """Applies a record that add() or move() made, now or in an earlier life. Raises KeyError, ValueError or
        TypeError where it is none."""
        fields = {name: value for name, value in record.items() if name != "do"}
        if record["do"] == "add":
            pack = Pack(**{**fields, "effect": Effect(fields["effect"])})
            self.packs.setdefault(pack.name, {})[pack.version] = pack
        elif record["do"] == "move":
            key = record["name"], record["alias"]
            self.moves.append(Move(before=self.aliases.get(key, ""), **fields))
            self.aliases[key] = record["version"]
        else:
            raise ValueError(f"no such record: {record['do']!r}")

    # What is asked.

    def resolve(self, told: str) -> Pack:
        """'name', 'name@alias' or 'name@version'. Raises KeyError."""
        name, _, which = told.partition("@")
        which = which or CURRENT
        versions = self.packs[name]
        return versions[self.aliases.get((name, which), which)]

    def history(self, name: str, alias: str | None = None) -> list[Move]:
        return [each for each in self.moves if each.name == name and alias in (None, each.alias)]
