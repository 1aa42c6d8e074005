"""Chooses the connection to a worker that carries a send, and decides when to dial another. Free of I/O.

When a connection breaks, everything in flight on it ends, and an activation that must not run twice cannot be sent
again. A worker therefore has several connections, and the least busy one carries the next send. One more is dialled
when none is free or, with many front ends, when each carries two sends: a connection that breaks soon after it came
up then breaks while nobody uses it. (Where many front ends dialled as soon as none was free, each of 200 front ends
had two connections to nearly every worker it knew. These were a third of all connections dialled on a calm day, and
they served calls that overlapped only now and then.)

A connection is suspected when a send on it was given up unanswered and nothing has been received since. A machine
that vanished leaves its connections open and silent, and only a new connection, which never comes up, proves that the
sends waiting for it never ran.
"""
from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol, TypeVar

from threadshift.interface import SECOND

IDLE_MARGIN = SECOND                # at most so long before the worker closes an idle connection, it is not used
MAX_CONNECTIONS_PER_WORKER = 8      # with more, each carries one send, and a break affects no fewer of them
FEW_FRONT_ENDS = 4                  # the second connections of so many front ends cost a worker next to nothing
WORKER_DESCRIPTOR_DIVISOR = 4       # one in so many descriptors is for connections to workers


class PooledConnection(Protocol):
    """What the pool reads of one connection."""

    in_flight: dict[bytes, Any]      # what waits for an answer on it, by id
    used_ids: dict[bytes, Any]       # ids that were sent on it and may not be sent on it again
    has_answered: bool
    suspected: bool
    last_received_at: int            # ns


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


def choose_connection(connections: Iterable[ConnectionT], id_: bytes, max_sends: int) -> ConnectionT | None:
    """The least busy connection that may carry a send with this id, one that has answered first.

    An id is used once on a connection: an answer that crosses the end of an earlier send, or a duplicate of its
    answer, would be taken for the answer to the later send."""
    best: ConnectionT | None = None
    best_rank = (max_sends, False)
    for each in connections:
        rank = (len(each.in_flight), not each.has_answered)
        if rank < best_rank and not each.suspected and id_ not in each.in_flight and id_ not in each.used_ids:
            best, best_rank = each, rank
    return best


def choose_dial_threshold(front_ends: int) -> int:
    """The number of sends on each connection from which another is dialled.

    With few front ends another is dialled as soon as none is free, so that a break ends one send. With many front
    ends, whose connections add up at the workers, another is dialled from two sends on."""
    return 1 if front_ends <= FEW_FRONT_ENDS else 2


def should_dial(connections: Iterable[PooledConnection], dialling: bool, max_connections: int,
                dial_threshold: int) -> bool:
    """Whether to dial one more: all connections are busy or suspected, and there may be another."""
    present = list(connections)
    return not dialling and len(present) < max_connections and all(
        len(each.in_flight) >= dial_threshold or each.suspected for each in present)


def is_suspected(last_received_at: int, sent_at: int) -> bool:
    """Whether giving up a send makes its connection suspected: nothing has been received since the send left."""
    return last_received_at < sent_at


def is_idle_timeout_near(now: int, last_received_at: int, idle_timeout: int) -> bool:
    """Whether the worker may close the connection as idle about now: a send that crosses the close may have run."""
    return now - last_received_at > idle_timeout - min(IDLE_MARGIN, idle_timeout // 10)


def choose_connection_to_close(connections: Iterable[ConnectionT]) -> ConnectionT | None:
    """The connection to close when descriptors are short: the least recently used one with nothing in flight."""
    return min((each for each in connections if not each.in_flight), key=lambda each: each.last_received_at,
               default=None)


def connections_per_worker(sockets: int, workers: int) -> int:
    """How many connections each worker may have, given the descriptors of this process.

    All workers together get one in WORKER_DESCRIPTOR_DIVISOR. Clients hold up to a third of the descriptors, as many
    again may connect and send nothing, and some are needed for dials and everything else."""
    return max(1, min(MAX_CONNECTIONS_PER_WORKER, sockets // WORKER_DESCRIPTOR_DIVISOR // max(1, workers)))
