"""For how long a client's connection is waited for, and who makes room where there are too many. Free of I/O.

Every client is owed a refusal, an error or a close within three seconds, so all limits lie safely under that. A usual
client connects because it has something to ask: who connects and says nothing makes room first, at once, and who
sent what could not be read makes room next.
"""
from __future__ import annotations

import heapq
from collections.abc import Collection
from typing import Protocol, TypeVar

from threadshift.interface import MS, SECOND

FIRST_ANSWER_TIMEOUT = 2 * SECOND    # until a connection has had its first answer, or has one coming
REQUEST_READ_TIMEOUT = 2 * SECOND  # from a request's begin to its last byte
IDLE_TIMEOUT = 10 * SECOND  # of one that was answered before; clients close theirs sooner
ACTIVITY_GRACE = 20 * MS   # a new connection's first bytes, or the next ones after an answer, come so soon
EVICTION_BATCH = 8         # ended at a time: looking through all costs more than ending some
FIRST_READ_PAUSE, MAX_READ_PAUSE = 100 * MS, SECOND  # for which one is not read after an offence; doubled with each
MAX_BUSY_READ_PAUSE = 50 * MS  # the same while a request is open on it: half of what a close may lie unnoticed
CLOSE_DELAY = 500 * MS     # for which one is kept, unread, that is to be closed: who comes back at once, waits
CLIENT_SHARE = 5 / 8       # of the descriptors; workers have a quarter, the rest is for dials, stream and accept


class ClientConnection(Protocol):
    """What is looked at of one connection."""

    accepted: int
    active: int                          # when something came or left last
    offences: int                        # requests that could not be used
    answered: bool                       # it had an answer

    @property
    def busy(self) -> bool: ...          # something is owed, or under way


def read_pause(offences: int, busy: bool = False) -> int:
    """ns for which a connection is not read after its latest offence; while a request is open on it no longer than
    its client may be gone without our noticing, as nothing more is to be sent for it then."""
    return min(MAX_BUSY_READ_PAUSE if busy else MAX_READ_PAUSE,
               FIRST_READ_PAUSE << min(offences - 1, 8)) if offences else 0


def remaining_idle_time(it: ClientConnection, now: int) -> int:
    """ns until a connection with nothing open is ended; 0 or less: now."""
    return (it.active + IDLE_TIMEOUT - now if it.answered and not it.offences
            else it.accepted + FIRST_ANSWER_TIMEOUT - now)


K = TypeVar("K", bound=ClientConnection)


def candidates(kept: Collection[K], now: int) -> list[K]:
    """Those that make room: offenders and silent ones first, then those that have asked nothing for longest.

    Found on a day whose clients open a connection a request and hold it for seconds: those answered a moment ago were
    kept, and a quarter of the new ones, each with a request, was turned away for them."""
    def rank(it: ClientConnection) -> tuple[bool, int]:
        return it.answered and not it.offences, it.active
    spare = [each for each in kept if not each.busy and now - each.active >= ACTIVITY_GRACE]
    return heapq.nsmallest(EVICTION_BATCH, spare, key=rank)


def max_client_connections(sockets: int) -> int:
    """Connections of clients, of the descriptors of this process; usual ones hold a third of them at the most."""
    return max(8, int(sockets * CLIENT_SHARE))
