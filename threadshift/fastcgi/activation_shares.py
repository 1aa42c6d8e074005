"""How many pending requests each client connection may have where room for them is short. Free of I/O.

A request that was admitted cannot give way: it may run. So where half of the room is taken, a connection gets no more
than an equal part of it, and some room stays for connections that have no request pending.
"""
from __future__ import annotations

RESERVE_DIVISOR = 8        # this fraction of the room is no part of what is divided


def is_ample(pending: int, limit: int) -> bool:
    """Whether there is so much room that no connection's part of it matters."""
    return pending < limit // 2


def may_admit(own: int, pending: int, limit: int, connections: int) -> bool:
    """Whether a connection with `own` pending requests may have one more, of `limit` in all.

    `pending` is the number of all pending requests, `connections` that of the connections with requests that are
    pending or being read."""
    if pending >= limit:
        return False
    if is_ample(pending, limit):
        return True
    return own < max(1, (limit - limit // RESERVE_DIVISOR) // max(1, connections))
