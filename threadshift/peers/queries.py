"""Queries to all peers at once, whose replies include what the asker has already seen committed."""
from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any, Protocol

import gevent

from threadshift.interface import MS, SECOND

REPEAT_INTERVAL = 20 * MS      # between two queries to a peer that has not applied an entry yet
APPLIED = "applied"            # in a reply: the index of the last log entry that the peer has applied

Reply = dict[str, Any]


class QueryLink(Protocol):
    """A connection to a peer."""

    def query(self, what: str, fields: dict[str, Any], limit: int) -> Reply | None: ...


def query_peers(links: Mapping[str, QueryLink], what: str, fields: dict[str, Any], limit: int,
                applied: int) -> dict[str, Reply | None]:
    """Sends one query to all peers. Returns their replies, by name, within `limit` ns.

    A reply counts once its peer has applied the log up to the entry with index `applied`: the peer is asked again
    until then. None for a peer without such a reply in time."""
    deadline = time.monotonic_ns() + limit
    queries = {name: gevent.spawn(query_until_applied, link, what, fields, deadline, applied)
               for name, link in links.items()}
    gevent.joinall(list(queries.values()))
    return {name: each.value for name, each in queries.items()}


def query_until_applied(link: QueryLink, what: str, fields: dict[str, Any], deadline: int,
                        applied: int) -> Reply | None:
    """Queries one peer until its reply includes the entry with this index; None where none does by the deadline."""
    while (left := deadline - time.monotonic_ns()) > 0:
        reply = link.query(what, fields, left)
        if reply is None or reply.get(APPLIED, 0) >= applied:
            return reply
        gevent.sleep(REPEAT_INTERVAL / SECOND)
    return None
