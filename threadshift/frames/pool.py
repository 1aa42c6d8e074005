"""Which connection to a worker carries a send, and when another is dialled. Free of I/O.

A break ends everything open on one connection, and for what must not run twice that is the end. So a worker has
several connections, the least busy carries the next send, and one more is dialled when none is free, with many
front ends when each carries two, so that what breaks new breaks while nobody uses it. (Dialled when none was free
there too, each of 200 front ends came to two connections to nearly every worker it knew: a third of all that were
dialled on a calm day, for calls that met once in a while.) A connection that left a send unanswered and said
nothing since is in doubt: a machine that vanished keeps its connections open and silent, and only a new one, which
never comes up, proves that what waits for it never ran.
"""
from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol, TypeVar

from threadshift.interface import SECOND

IDLE_MARGIN = SECOND       # before a worker closes an idle connection, in which we leave it alone
MOST = 8                   # connections to one worker; with more each carries one send and spares nothing further
FEW = 4                    # front ends, whose second connections a worker bears at no price worth naming
PART = 4                   # of the descriptors, one in so many is for workers


class Pooled(Protocol):
    """What is looked at of one connection."""

    waiting: dict[bytes, Any]            # what waits for an answer on it, by id
    used: dict[bytes, Any]               # ids that went over it and may not again
    proven: bool                         # it has brought an answer
    doubted: bool
    heard: int                           # when something came on it last


B = TypeVar("B", bound=Pooled)


def fit(connections: Iterable[B], id_: bytes, streams: int) -> B | None:
    """The one for a send under this id. An id goes over a connection once: an answer that crosses the end of an
    earlier send, or a second copy of its answer, would be taken for that of the later one."""
    best: B | None = None
    best_rank = (streams, False)
    for each in connections:
        rank = (len(each.waiting), not each.proven)
        if rank < best_rank and not each.doubted and id_ not in each.waiting and id_ not in each.used:
            best, best_rank = each, rank
    return best


def shared(front_ends: int) -> int:
    """Sends on each connection from which another is dialled: with few front ends as soon as none is free, so that a
    break takes one send along; with many, whose connections add up at the workers, from two."""
    return 1 if front_ends <= FEW else 2


def another(connections: Iterable[Pooled], dialling: bool, most: int, shared: int) -> bool:
    """Whether one more is dialled: each carries its share or is in doubt, and there is room for one."""
    there = list(connections)
    return not dialling and len(there) < most and all(len(each.waiting) >= shared or each.doubted for each in there)


def doubt(heard: int, left: int) -> bool:
    """Whether a connection is in doubt when a send that left then is given up: nothing came on it since."""
    return heard < left


def stale(now: int, heard: int, idle: int) -> bool:
    """Whether the worker closes it as idle about now: what crosses the close may have run."""
    return now - heard > idle - min(IDLE_MARGIN, idle // 10)


def who_goes(connections: Iterable[B]) -> B | None:
    """The one that makes room where descriptors are short: unused, and heard of longest ago."""
    return min((each for each in connections if not each.waiting), key=lambda each: each.heard, default=None)


def share(sockets: int, workers: int) -> int:
    """Connections to each worker, of the descriptors of this process: one in PART for all workers together.

    Clients hold up to a third, as many again may come and say nothing, and some are for dials and the rest."""
    return max(1, min(MOST, sockets // PART // max(1, workers)))
