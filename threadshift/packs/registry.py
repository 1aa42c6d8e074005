"""Packs of functions, their immutable versions and the aliases that point at versions. Free of I/O.

A version never changes once it is added. An alias can be moved to another version; its history has every move with
its author, time and reason. A call resolves an alias once, when it is admitted, and keeps that version.
"""
from __future__ import annotations

import re
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError
from threadshift.interface import Effect

DEFAULT_ALIAS = "current"        # used by references without an alias
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}$")      # sha256, hexadecimal
MAX_REASON_LENGTH = 1000         # characters


class RejectedChange(ThreadshiftError):
    """A version that may not be added, or an alias that may not be moved; the message has the reason."""

    help = "correct the change and try again; nothing was stored"


class Pack(NamedTuple):
    """One version of a pack."""

    name: str
    version: str
    digest: str                  # sha256 of its content, hexadecimal
    effect: Effect
    lanes: int
    memory: int                  # bytes

    @property
    def function(self) -> str:
        """The function name used for scheduling: each version is a function of its own."""
        return f"{self.name}@{self.version}"


class Move(NamedTuple):
    """One move of an alias; `before` is the previous version, empty for the first move."""

    name: str
    alias: str
    version: str
    before: str
    who: str
    when: int                    # wall clock ns, as given by the author; the history defines the order of moves
    why: str


class Registry:
    """All packs and aliases. Every change goes through apply(), also when the stored records are replayed."""

    def __init__(self) -> None:
        self.packs: dict[str, dict[str, Pack]] = {}      # name: version: pack
        self.aliases: dict[tuple[str, str], str] = {}    # (name, alias): version
        self.moves: list[Move] = []

    # These validate a change and return its record, which has to be stored before it is applied.

    def add(self, pack: Pack) -> dict[str, Any] | None:
        """Returns the record that adds a version, or None if the same version exists. Raises RejectedChange."""
        for text, field_name in ((pack.name, "name"), (pack.version, "version")):
            if not NAME_PATTERN.match(text):
                raise RejectedChange(f"{field_name} '{text[:100]}': letters, digits, '.', '_' and '-', 100 at most")
        if not DIGEST_PATTERN.match(pack.digest):
            raise RejectedChange(f"digest '{pack.digest[:70]}' is no sha256 in hexadecimal")
        if pack.lanes < 1 or pack.memory < 1:
            raise RejectedChange(f"{pack.function}: lanes and memory must be at least 1")
        known = self.packs.get(pack.name, {}).get(pack.version)
        if known == pack:
            return None
        if known is not None:
            raise RejectedChange(f"{pack.function} exists and is immutable; add another version")
        if (pack.name, pack.version) in self.aliases:
            raise RejectedChange(f"'{pack.version}' is an alias of {pack.name}")
        return {"do": "add", **pack._asdict(), "effect": pack.effect.value}

    def move(self, name: str, alias: str, version: str, who: str, when: int, why: str) -> dict[str, Any]:
        """Returns the record that moves an alias. Raises RejectedChange."""
        versions = self.packs.get(name, {})
        if version not in versions:
            raise RejectedChange(f"{name} has no version '{version}'" if versions else f"no pack '{name}'")
        if not NAME_PATTERN.match(alias) or alias in versions:
            raise RejectedChange(f"'{alias}' is no valid alias: "
                                 + ("it is a version" if alias in versions else "not a name"))
        if self.aliases.get((name, alias)) == version:
            raise RejectedChange(f"{name}@{alias} is at {version} already")
        if not who or len(why) > MAX_REASON_LENGTH:
            raise RejectedChange(f"a move needs an author, and a reason of at most {MAX_REASON_LENGTH} characters")
        return {"do": "move", "name": name, "alias": alias, "version": version, "who": who, "when": when, "why": why}

    def apply(self, record: dict[str, Any]) -> None:
        """Applies a record made by add() or move() in this process or an earlier one. Raises KeyError, ValueError or
        TypeError for an invalid record."""
        fields = {name: value for name, value in record.items() if name != "do"}
        if record["do"] == "add":
            pack = Pack(**{**fields, "effect": Effect(fields["effect"])})
            self.packs.setdefault(pack.name, {})[pack.version] = pack
        elif record["do"] == "move":
            key = record["name"], record["alias"]
            self.moves.append(Move(before=self.aliases.get(key, ""), **fields))
            self.aliases[key] = record["version"]
        else:
            raise ValueError(f"unknown kind of record: {record['do']!r}")

    # Queries.

    def resolve(self, reference: str) -> Pack:
        """Returns the pack that 'name', 'name@alias' or 'name@version' refers to. Raises KeyError."""
        name, _, version_or_alias = reference.partition("@")
        version_or_alias = version_or_alias or DEFAULT_ALIAS
        versions = self.packs[name]
        return versions[self.aliases.get((name, version_or_alias), version_or_alias)]

    def history(self, name: str, alias: str | None = None) -> list[Move]:
        """Returns the moves of one alias, or of all aliases of a pack, oldest first."""
        return [each for each in self.moves if each.name == name and alias in (None, each.alias)]
