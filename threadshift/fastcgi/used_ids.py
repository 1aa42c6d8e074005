"""The ids of requests that may have run and must not run twice, after they have ended. Free of I/O.

While a request is open the engine knows its id. A client that has left may come back with the same id, although the
protocol has it use a new one; sent again, the request would run a second time.
"""
from __future__ import annotations

ID_SIZE = 160              # bytes of memory that one id takes


class UsedIds:
    """The latest ids, bounded in number: the oldest are forgotten first."""

    def __init__(self, limit: int):
        self.limit = limit
        self.ids: dict[str, None] = {}       # in the order in which they ended

    def __contains__(self, id_: str) -> bool:
        return id_ in self.ids

    def add(self, id_: str) -> None:
        """Remembers the id of a request that has ended."""
        self.ids[id_] = None
        if len(self.ids) > self.limit:
            del self.ids[next(iter(self.ids))]
