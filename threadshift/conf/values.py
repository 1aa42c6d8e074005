"""Parses single words of the configuration. Each parser raises ValueError that says what was expected."""
from __future__ import annotations

import re
from typing import NamedTuple

from threadshift.interface import MS, SECOND

UNITS_OF_TIME = {"us": 1_000, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
UNITS_OF_SIZE = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
MAX_DURATION = 24 * 3600 * SECOND  # ns; nothing here waits for more than a day
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")


class Address(NamedTuple):
    """Where to listen or connect: a host and a port, or the path of a Unix socket (host then empty)."""

    host: str
    port: int
    path: str = ""

    def __str__(self) -> str:
        if self.path:
            return f"unix:{self.path}"
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def duration(text: str) -> int:
    """A time such as '600ms' or '1.5s', as whole nanoseconds."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)", text)
    if not match:
        raise ValueError("a time such as 600ms, 1.5s or 2m is wanted")
    ns = round(float(match[1]) * UNITS_OF_TIME[match[2]])
    if ns > MAX_DURATION:
        raise ValueError("longer than a day")
    return ns


def size(text: str) -> int:
    """A size such as '16K' or '1M', in bytes."""
    match = re.fullmatch(r"(\d{1,12})([KMG]?)", text)
    if not match:
        raise ValueError("a size such as 65536, 16K or 4M is wanted")
    return int(match[1]) * UNITS_OF_SIZE[match[2]]


def share(text: str) -> float:
    """A share such as '20%' or '0.2', at most 1."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(%?)", text)
    if not match:
        raise ValueError("a share such as 20% or 0.2 is wanted")
    value = float(match[1]) / (100 if match[2] else 1)
    if value > 1:
        raise ValueError("a share is at most 1 or 100%")
    return value


def number(text: str) -> float:
    """A number that is not negative."""
    if not re.fullmatch(r"\d+(?:\.\d+)?", text):
        raise ValueError("a number such as 2 or 0.5 is wanted")
    return float(text)


def count(text: str) -> int:
    """A whole number from 1."""
    if not re.fullmatch(r"\d{1,9}", text) or int(text) < 1:
        raise ValueError("a whole number from 1 is wanted")
    return int(text)


def flag(text: str) -> bool:
    """'yes' or 'no'."""
    if text not in ("yes", "no"):
        raise ValueError("yes or no is wanted")
    return text == "yes"


def name(text: str) -> str:
    """A name of up to 128 letters, digits and . _ : -"""
    if not NAME.fullmatch(text):
        raise ValueError("a name of letters, digits and . _ : - is wanted, 128 at most")
    return text


def one_of(*words: str):
    """A parser that accepts only these words."""
    def read(text: str) -> str:
        if text not in words:
            raise ValueError(f"one of {', '.join(words)} is wanted")
        return text
    return read


def address(text: str) -> Address:
    """An address such as '127.0.0.1:8080', '[::1]:8080' or 'unix:/run/x.sock'."""
    if text.startswith("unix:"):
        path = text.removeprefix("unix:")
        if not 0 < len(path.encode()) < 108:
            raise ValueError("a socket path has 1 to 107 bytes")
        return Address("", 0, path)
    match = re.fullmatch(r"(?:\[([0-9a-fA-F:.]+)\]|([^:\[\]\s]+)):(\d{1,5})", text)
    if not match or int(match[3]) > 65535:
        raise ValueError("an address such as 127.0.0.1:8080, [::1]:8080 or unix:/path is wanted")
    return Address(match[1] or match[2], int(match[3]))
