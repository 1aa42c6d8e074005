"""Renders one event of the log as a line: a JSON object for programs, or padded columns for people."""
from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

LEVEL_WIDTH = 9            # characters; the longest name of a level, "warning", and some space
EVENT_WIDTH = 30           # characters
QUOTED = frozenset(" \t=\r\n\"'")      # a text with one of these is quoted in columns

Renderer = Callable[[str, str, Mapping[str, Any]], str]


def timestamp() -> str:
    """The wall-clock time as ISO 8601, in UTC."""
    return datetime.now(UTC).isoformat().replace("+00:00", "Z")


def render_json(event: str, level: str, fields: Mapping[str, Any]) -> str:
    """The event as a JSON object; a value that JSON cannot hold is written as Python shows it."""
    return json.dumps({**fields, "event": event, "level": level, "timestamp": timestamp()}, default=repr)


def render_columns(event: str, level: str, fields: Mapping[str, Any]) -> str:
    """The event as a line of columns, its fields in the order of their names."""
    values = " ".join(f"{name}={format_value(value)}" for name, value in sorted(fields.items()))
    return f"{timestamp()} [{level:<{LEVEL_WIDTH}}] {event:<{EVENT_WIDTH}} {values}".rstrip()


def format_value(value: Any) -> str:
    """A value as columns show it: a plain text as it is, anything else as Python shows it."""
    if isinstance(value, str) and QUOTED.isdisjoint(value):
        return value
    return repr(value)


RENDERERS: dict[str, Renderer] = {"json": render_json, "console": render_columns}
