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
MAX_CONNECTIONS_PER_WORKER = 8     # with more each carries one send and spares nothing further
FEW_FRONT_ENDS = 4         # front ends, whose second connections a worker bears at no price worth naming
WORKER_DESCRIPTOR_DIVISOR = 4      # of the descriptors, one in so many is for workers


class PooledConnection(Protocol):
    """What is looked at of one connection."""

    in_flight: dict[bytes, Any]      # what waits for an answer on it, by id
    used_ids: dict[bytes, Any]       # ids that went over it and may not again
    has_answered: bool               # it has brought an answer
    suspected: bool
    last_received_at: int            # when something came on it last


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


def choose_connection(connections: Iterable[ConnectionT], id_: bytes, max_sends: int) -> ConnectionT | None:
    """The one for a send under this id. An id goes over a connection once: an answer that crosses the end of an
    earlier send, or a second copy of its answer, would be taken for that of the later one."""
    best: ConnectionT | None = None
    best_rank = (max_sends, False)
    for each in connections:
        rank = (len(each.in_flight), not each.has_answered)
        if rank < best_rank and not each.suspected and id_ not in each.in_flight and id_ not in each.used_ids:
            best, best_rank = each, rank
    return best


def choose_dial_threshold(front_ends: int) -> int:
    """Sends on each connection from which another is dialled: with few front ends as soon as none is free, so that a
    break takes one send along; with many, whose connections add up at the workers, from two."""
    return 1 if front_ends <= FEW_FRONT_ENDS else 2


def should_dial(connections: Iterable[PooledConnection], dialling: bool, max_connections: int,
                dial_threshold: int) -> bool:
    """Whether one more is dialled: each carries its share or is in doubt, and there is room for one."""
    present = list(connections)
    return not dialling and len(present) < max_connections and all(
        len(each.in_flight) >= dial_threshold or each.suspected for each in present)


def is_suspected(last_received_at: int, sent_at: int) -> bool:
    """Whether a connection is in doubt when a send that left then is given up: nothing came on it since."""
    return last_received_at < sent_at


def is_idle_timeout_near(now: int, last_received_at: int, idle_timeout: int) -> bool:
    """Whether the worker closes it as idle about now: what crosses the close may have run."""
    return now - last_received_at > idle_timeout - min(IDLE_MARGIN, idle_timeout // 10)


def choose_connection_to_close(connections: Iterable[ConnectionT]) -> ConnectionT | None:
    """The one that makes room where descriptors are short: unused, and heard of longest ago."""
    return min((each for each in connections if not each.in_flight), key=lambda each: each.last_received_at,
               default=None)


def connections_per_worker(sockets: int, workers: int) -> int:
    """Connections to each worker, of the descriptors of this process: one in PART for all workers together.

    Clients hold up to a third, as many again may come and say nothing, and some are for dials and the rest."""
    return max(1, min(MAX_CONNECTIONS_PER_WORKER, sockets // WORKER_DESCRIPTOR_DIVISOR // max(1, workers)))
