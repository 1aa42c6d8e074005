"""Counts what was read together and is still to be applied, for sources of the list of workers."""
from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

Item = TypeVar("Item")


def counted_down(items: Sequence[Item]) -> Iterator[tuple[int, Item]]:
    """Yields each item with how many follow it.

    The front end counts as notified of all of them: nothing may be sent because of one before the rest is applied."""
    for number, item in enumerate(items, 1):
        yield len(items) - number, item
