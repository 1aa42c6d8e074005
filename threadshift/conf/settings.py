"""The settings that a front end of a platform is told at its start, by dotted names, in the project's terms.

The bench's wire gives them as path=value pairs, a real front end finds them as nested JSON: `flat()` makes pairs of
that. One reader serves both, so that both decide by the same figures. Times are told in milliseconds.
"""
from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND, Deployment, Effect, NamespaceType, Report, Tenant

EFFECTS = {"safe": Effect.REPEATABLE, "keyed": Effect.DEDUPLICATED, "unsafe": Effect.ONCE_ONLY}
FLAGS = {"0": False, "1": True, "false": False, "true": True}
DEEPEST = 8                # objects in objects; the settings need three
# A load value goes by its long name on the bench's wire, and may go by its short one on sockets.
LONG = {"queue": "backlog", "inflight": "outstanding", "util": "utilization"}


class InvalidInput(ThreadshiftError):
    """Input that cannot be understood; says what is wrong and where."""

    help = "mend the settings that the platform hands over at the place named"


def to_ns(text: str) -> int:
    return round(float(text) * MS)


def integer(text: str) -> int:
    """A whole number, also as '64.0': JSON knows one kind of number."""
    value = float(text)
    if not value.is_integer():
        raise ValueError(text)
    return int(text) if text.lstrip("-").isdigit() else int(value)


def finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


class Fields:
    """Named parts, read by type; what is absent or malformed is reported with its place, a line or a file."""

    def __init__(self, word: str, values: dict[str, str], place: int | str):
        self.word, self.values, self.line = word, values, place

    def wrong(self, text: str) -> InvalidInput:
        place = f"line {self.line}" if isinstance(self.line, int) else self.line
        return InvalidInput(f"{place}: {self.word} {text}")

    def read(self, name: str, convert: Callable, default: Any = None) -> Any:
        text = self.values.get(name)
        if text is None:
            if default is None:
                raise self.wrong(f"lacks {name}")
            return default
        try:
            return convert(text)
        except (ValueError, KeyError, OverflowError):
            raise self.wrong(f"has {name}={text[:80]}, which does not parse") from None

    def text(self, name: str, default: str | None = None) -> str:
        return self.read(name, str, default)

    def whole(self, name: str, default: int | None = None) -> int:
        return self.read(name, integer, default)

    def number(self, name: str, default: float | None = None) -> float:
        return self.read(name, finite, default)

    def ns(self, name: str, default: int | None = None) -> int:
        return self.read(name, to_ns, default)

    def flag(self, name: str, default: bool | None = None) -> bool:
        return self.read(name, FLAGS.__getitem__, default)


def flat(told: Any, at: str = "", deep: int = 0) -> dict[str, str]:
    """Nested JSON as path=value pairs. Raises ValueError where it is nested too deep."""
    if deep > DEEPEST:
        raise ValueError(f"'{at[:80]}' is nested too deep")
    if told is None:
        return {}       # absent
    if isinstance(told, dict):
        parts: Iterable[tuple[str, Any]] = told.items()
    elif isinstance(told, list) and any(isinstance(each, dict | list) for each in told):
        parts = [("count", len(told)), *((str(n), each) for n, each in enumerate(told))]
    elif isinstance(told, list):
        return {at: ",".join(str(each).replace(",", "_") for each in told)}
    else:
        return {at: str(told).lower() if isinstance(told, bool) else str(told)}
    found: dict[str, str] = {}
    for name, value in parts:
        found |= flat(value, f"{at}.{name}" if at else name, deep + 1)
    return found


def deployment(told: Fields) -> Deployment:
    """The settings as a Deployment. Raises InvalidInput."""
    def some(name: str, read: Callable[..., int] = told.ns, *default: int) -> int:
        if (value := read(name, *default)) <= 0:
            raise told.wrong(f"has {name}={told.values[name]}, where more than nothing is wanted")
        return value

    def lane(n: int) -> NamespaceType:
        at = f"lanes.{n}."
        return NamespaceType(
            told.text(at + "name"), some(at + "aim"), some(at + "giveUp"),
            told.number(at + "worth"), told.number(at + "lateValue", 0.0),
            told.read(at + "effect", EFFECTS.__getitem__), told.text(at + "group", "all"),
            told.ns(at + "memorySpan", 0))

    def org(n: int) -> Tenant:
        at = f"orgs.{n}."
        return Tenant(told.text(at + "name"), told.number(at + "share", 0.0),
                      told.number(at + "quotaPerS", 0.0))

    return Deployment(
        types=tuple(lane(n) for n in range(told.whole("lanes.count"))),
        tenants=tuple(org(n) for n in range(told.whole("orgs.count", 0))),
        front_ends=some("peersTotal", told.whole, 1),
        zone=told.text("zone", ""),
        cross_zone_fee=told.number("fees.crossZone", 0.0),
        tick=told.ns("tick", MS),
        max_sends=told.whole("limits.maxAttempts", 1),
        may_cancel=told.flag("limits.cancel", False),
        may_duplicate=told.flag("limits.mayDuplicate", False),
        may_probe=told.flag("limits.probes", False),
        may_order_loads=told.flag("familyInfo.placementCalls", False),
        max_retry_after=told.ns("limits.maxRetryAfter", 0) if told.flag("limits.retryAfter", False) else 0,
        loads_on_miss=told.text("familyInfo.notLoaded", "load") == "load",
        idle_keep_alive=told.ns("familyInfo.staysLoaded", 0),
        load_window=told.ns("familyInfo.loadWindow", 0),
        load_free=told.number("familyInfo.loadFree", 0.0),
        load_ratio=told.number("familyInfo.loadRatio", 0.0),
        drain_grace=told.ns("rules.drainGrace", 0),
        cold_share=told.number("rules.coldShare", 1.0),
        cold_time=told.ns("rules.cold", 0),
        fall_multiple=told.number("rules.fallMultiple", 1.0),
        fall_time=told.ns("rules.overloadFor", 0) or SECOND,
    )


def report(text: str, mark: str) -> Report | None:
    """The load report in 'name:value' parts between marks; values that it does not tell as numbers are None."""
    told: dict[str, float] = {}
    for part in text.split(mark):
        name, _, value = part.partition(":")
        try:
            told[LONG.get(name, name)] = float(value)
        except ValueError:
            continue
    return Report(told.get("backlog"), told.get("outstanding"), told.get("utilization"),
                  told.get("x1"), told.get("x0")) if told else None
