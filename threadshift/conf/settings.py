"""Reads the settings that a platform hands over to a front end at its start, under the platform's dotted names.

The simulator's protocol gives them as path=value pairs, and a real front end finds them as nested JSON, which
`flatten()` turns into such pairs. One reader serves both, so that both decide by the same values. Times are in
milliseconds.
"""
from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND, Deployment, Effect, NamespaceType, Report, Tenant

EFFECTS = {"safe": Effect.REPEATABLE, "keyed": Effect.DEDUPLICATED, "unsafe": Effect.ONCE_ONLY}
FLAGS = {"0": False, "1": True, "false": False, "true": True}
MAX_DEPTH = 8              # objects in objects; the settings need three
MAX_FRONT_ENDS = 1_000_000
# A load value has its long name in the simulator's protocol, and may have its short one on sockets.
LONG_NAMES = {"queue": "backlog", "inflight": "outstanding", "util": "utilization"}


class InvalidInput(ThreadshiftError):
    """Input that cannot be understood; says what is wrong and where."""

    help = "mend the settings that the platform hands over at the place named"


def to_ns(text: str) -> int:
    """Milliseconds as whole nanoseconds."""
    return round(float(text) * MS)


def integer(text: str) -> int:
    """A whole number, also written as '64.0', because JSON has one kind of number."""
    value = float(text)
    if not value.is_integer():
        raise ValueError(text)
    return int(text) if text.lstrip("-").isdigit() else int(value)


def finite(text: str) -> float:
    """A number that is neither infinite nor NaN."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


class FieldReader:
    """Named fields, read by type. An absent or malformed one is reported with its place, a line number or a file."""

    def __init__(self, keyword: str, values: dict[str, str], place: int | str):
        self.keyword, self.values, self.line = keyword, values, place

    def error(self, text: str) -> InvalidInput:
        """An error at the place of these fields."""
        place = f"line {self.line}" if isinstance(self.line, int) else self.line
        return InvalidInput(f"{place}: {self.keyword} {text}")

    def read(self, name: str, convert: Callable, default: Any = None) -> Any:
        """The converted value of a field, or the default where it is absent; without a default it is required."""
        text = self.values.get(name)
        if text is None:
            if default is None:
                raise self.error(f"lacks {name}")
            return default
        try:
            return convert(text)
        except (ValueError, KeyError, OverflowError):
            raise self.error(f"has {name}={text[:80]}, which does not parse") from None

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


def flatten(value: Any, path: str = "", depth: int = 0) -> dict[str, str]:
    """Nested JSON as path=value pairs. Raises ValueError where it is nested too deep."""
    if depth > MAX_DEPTH:
        raise ValueError(f"'{path[:80]}' is nested too deep")
    if value is None:
        return {}       # as if absent
    if isinstance(value, dict):
        parts: Iterable[tuple[str, Any]] = value.items()
    elif isinstance(value, list) and any(isinstance(each, dict | list) for each in value):
        parts = [("count", len(value)), *((str(n), each) for n, each in enumerate(value))]
    elif isinstance(value, list):
        return {path: ",".join(str(each).replace(",", "_") for each in value)}
    else:
        return {path: str(value).lower() if isinstance(value, bool) else str(value)}
    found: dict[str, str] = {}
    for name, part in parts:
        found |= flatten(part, f"{path}.{name}" if path else name, depth + 1)
    return found


def parse_deployment(settings: FieldReader) -> Deployment:
    """The settings as a Deployment. Raises InvalidInput."""
    def positive(name: str, read: Callable[..., int] = settings.ns, *default: int) -> int:
        if (value := read(name, *default)) <= 0:
            raise settings.error(f"has {name}={settings.values[name]}, where more than nothing is wanted")
        return value

    def namespace_type(n: int) -> NamespaceType:
        path = f"lanes.{n}."
        return NamespaceType(
            settings.text(path + "name"), positive(path + "aim"), positive(path + "giveUp"),
            settings.number(path + "worth"), settings.number(path + "lateValue", 0.0),
            settings.read(path + "effect", EFFECTS.__getitem__), settings.text(path + "group", "all"),
            settings.ns(path + "memorySpan", 0))

    def tenant(n: int) -> Tenant:
        path = f"orgs.{n}."
        return Tenant(settings.text(path + "name"), settings.number(path + "share", 0.0),
                      settings.number(path + "quotaPerS", 0.0))

    front_ends = positive("peersTotal", settings.whole, 1)
    if front_ends > MAX_FRONT_ENDS:
        raise settings.error(f"has peersTotal={settings.values['peersTotal']}, over {MAX_FRONT_ENDS}")
    return Deployment(
        types=tuple(namespace_type(n) for n in range(settings.whole("lanes.count"))),
        tenants=tuple(tenant(n) for n in range(settings.whole("orgs.count", 0))),
        front_ends=front_ends,
        zone=settings.text("zone", ""),
        cross_zone_fee=settings.number("fees.crossZone", 0.0),
        tick=settings.ns("tick", MS),
        max_sends=settings.whole("limits.maxAttempts", 1),
        may_cancel=settings.flag("limits.cancel", False),
        may_duplicate=settings.flag("limits.mayDuplicate", False),
        may_probe=settings.flag("limits.probes", False),
        may_order_loads=settings.flag("familyInfo.placementCalls", False),
        max_retry_after=settings.ns("limits.maxRetryAfter", 0) if settings.flag("limits.retryAfter", False) else 0,
        loads_on_miss=settings.text("familyInfo.notLoaded", "load") == "load",
        idle_keep_alive=settings.ns("familyInfo.staysLoaded", 0),
        load_window=settings.ns("familyInfo.loadWindow", 0),
        load_free=settings.number("familyInfo.loadFree", 0.0),
        load_ratio=settings.number("familyInfo.loadRatio", 0.0),
        drain_grace=settings.ns("rules.drainGrace", 0),
        cold_share=settings.number("rules.coldShare", 1.0),
        cold_time=settings.ns("rules.cold", 0),
        fall_multiple=settings.number("rules.fallMultiple", 1.0),
        fall_time=settings.ns("rules.overloadFor", 0) or SECOND,
    )


def parse_load_report(text: str, separator: str) -> Report | None:
    """The load report in a text of 'name:value' parts; a value that is absent or not a number is None.

    Returns None where no part has a number."""
    found: dict[str, float] = {}
    for part in text.split(separator):
        name, _, value = part.partition(":")
        try:
            found[LONG_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue
    return Report(found.get("backlog"), found.get("outstanding"), found.get("utilization"),
                  found.get("x1"), found.get("x0")) if found else None
