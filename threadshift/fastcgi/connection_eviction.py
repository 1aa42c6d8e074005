"""How long a client connection may stay open, and which ones are closed when there are too many. Free of I/O.

Clients must receive a refusal, an error or a close within three seconds, so every limit here is well below that. A
usual client connects because it has a request to send: connections that were never answered, and those that sent
invalid requests, are therefore closed before all others.
"""
from __future__ import annotations

import heapq
from collections.abc import Collection
from typing import Protocol, TypeVar

from threadshift.interface import MS, SECOND

FIRST_ANSWER_TIMEOUT = 2 * SECOND    # until a connection has its first answer or a request in progress
REQUEST_READ_TIMEOUT = 2 * SECOND    # from the begin of a request to its last byte
IDLE_TIMEOUT = 10 * SECOND           # for a connection that was answered before; clients close theirs sooner
ACTIVITY_GRACE = 20 * MS             # after activity: first bytes, or the next after an answer, arrive within it
EVICTION_BATCH = 8                   # connections closed at a time: searching them all costs more than closing some
FIRST_READ_PAUSE = 100 * MS          # without reading after an offence; doubled with each further one
MAX_READ_PAUSE = SECOND
MAX_DOUBLINGS = 8                    # the pause has reached its maximum before
MAX_BUSY_READ_PAUSE = 50 * MS        # while a request is open: half the time for which a close may go unnoticed
CLOSE_DELAY = 500 * MS               # before an invalid connection is closed: its client cannot come back at once
CLIENT_SHARE = 5 / 8                 # of all descriptors; workers have 1/4, the rest is for dials, stream and accept
MIN_CLIENT_CONNECTIONS = 8


class ClientConnection(Protocol):
    """The facts of one connection that decide when it is closed."""

    accepted: int                        # monotonic ns
    active: int                          # when the last bytes were received or sent, monotonic ns
    offences: int                        # invalid or superfluous requests and records
    answered: bool                       # at least one answer was sent

    @property
    def busy(self) -> bool: ...          # a request is open or an answer is still being written


def read_pause(offences: int, busy: bool = False) -> int:
    """Returns for how many ns a connection is not read after its latest offence.

    The pause is shorter while a request is open: nothing more may be sent for a client that has gone, so its close
    must be noticed in time."""
    return min(MAX_BUSY_READ_PAUSE if busy else MAX_READ_PAUSE,
               FIRST_READ_PAUSE << min(offences - 1, MAX_DOUBLINGS)) if offences else 0


def remaining_idle_time(connection: ClientConnection, now: int) -> int:
    """Returns the ns until a connection without open requests is closed; 0 or less means now."""
    return (connection.active + IDLE_TIMEOUT - now if connection.answered and not connection.offences
            else connection.accepted + FIRST_ANSWER_TIMEOUT - now)


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)


def candidates(connections: Collection[ConnectionT], now: int) -> list[ConnectionT]:
    """Returns the connections to close first.

    Those with offences or without an answer come before the rest, each group with the least recently active first.

    Connections that were answered a moment ago can be closed too. When they were spared, clients that open one
    connection a request and hold it for seconds caused a quarter of the new ones, each with a request, to be
    refused."""
    def eviction_order(connection: ClientConnection) -> tuple[bool, int]:
        return connection.answered and not connection.offences, connection.active
    idle = [each for each in connections if not each.busy and now - each.active >= ACTIVITY_GRACE]
    return heapq.nsmallest(EVICTION_BATCH, idle, key=eviction_order)


def max_client_connections(sockets: int) -> int:
    """Returns how many of this process's descriptors clients may hold; usual clients hold at most a third of all."""
    return max(MIN_CLIENT_CONNECTIONS, int(sockets * CLIENT_SHARE))
