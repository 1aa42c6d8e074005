"""How the file descriptors of one process are divided between clients and workers. Free of I/O.

Clients can open any number of connections without sending anything, and workers come and go by the hundred. So both
are counted against one limit, and the rest is reserved for what must never wait: the listener, the coordinator's
stream and its next dial, and the event loop. Within the limit clients may use what workers leave free, and always a
part that usual clients need; connections above that part are closed where a worker needs one.
"""
from __future__ import annotations

from threadshift.fastcgi import connection_eviction

RESERVED = 24              # descriptors: the standard ones, the loop's, listener, stream, its next dial, an accept
RESERVED_DIVISOR = 4       # under a small limit, at most this fraction of it is reserved instead
CLIENT_RESERVE = 3 / 8     # of all descriptors, which clients never give up: usual ones hold a third at the most
MIN_CLIENT_RESERVE = 8     # connections
WORKER_HEADROOM = 8        # further connections to workers that clients leave free
DIAL_AHEAD_DIVISOR = 4     # workers beyond this fraction of all descriptors are dialled only when needed ...
ON_DEMAND_DIVISOR = 2      # ... with at most this fraction connected; the least recently used connections are closed


class Descriptors:
    """The descriptors of one front end, by its limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.available = limit - min(RESERVED, limit // RESERVED_DIVISOR)
        self.max_clients = connection_eviction.max_client_connections(limit)
        self.reserved_for_clients = min(self.max_clients, max(MIN_CLIENT_RESERVE, int(limit * CLIENT_RESERVE)))

    def client_limit(self, worker_connections: int) -> int:
        """Returns how many connections clients may hold beside so many to workers."""
        return max(self.reserved_for_clients,
                   min(self.max_clients, self.available - worker_connections - WORKER_HEADROOM))

    def dials_ahead(self, workers: int) -> bool:
        """Tells whether each of so many workers is dialled before anything waits for its connection."""
        return workers <= self.limit // DIAL_AHEAD_DIVISOR

    def has_room_for_worker(self, clients: int, worker_connections: int, workers: int = 0) -> bool:
        """Tells whether one more connection to a worker may be opened, in a fleet of so many workers."""
        return clients + worker_connections < self.available and (
            self.dials_ahead(workers) or worker_connections < self.limit // ON_DEMAND_DIVISOR)

    def clients_must_yield(self, clients: int) -> bool:
        """Tells whether a client connection is closed to free a descriptor for a worker."""
        return clients > self.reserved_for_clients
