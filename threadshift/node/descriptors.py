"""How the descriptors of one process are shared. Free of I/O.

Clients can take as many connections as they like, and say nothing on them; workers come and go by the hundred. So
both are counted against one sum, the rest is kept for what must never wait: the listener, the stream of the
coordinator and its next dial, the loop's own. Within the sum clients may hold what workers leave, but for a part that
usual clients need; past that part they make room for workers.
"""
from __future__ import annotations

from threadshift.fastcgi import connection_eviction

RESERVED = 24              # descriptors: standard ones, the loop's, listener, stream, its next dial, an accept
RESERVED_PART = 4          # of a small limit, one in so many is kept instead
CLIENT_RESERVE = 3 / 8     # of the descriptors, which clients do not give up: usual ones hold a third at the most
WORKER_HEADROOM = 8        # connections to workers that clients leave room for beyond those that stand
FLEET_PART = 4             # of the descriptors, one in so many: with more workers they are dialled when needed ...
ON_DEMAND_PART = 2         # ... and so many connections stand at the most, those used longest ago making room


class Descriptors:
    """One front end's, by the limit it was told."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.available = limit - min(RESERVED, limit // RESERVED_PART)
        self.max_clients = connection_eviction.max_client_connections(limit)
        self.reserved_for_clients = min(self.max_clients, max(8, int(limit * CLIENT_RESERVE)))

    def client_limit(self, workers: int) -> int:
        """Connections that clients may hold while so many stand to workers."""
        return max(self.reserved_for_clients, min(self.max_clients, self.available - workers - WORKER_HEADROOM))

    def dials_ahead(self, fleet: int) -> bool:
        """Whether each of so many workers is dialled before anything waits for its connection."""
        return fleet <= self.limit // FLEET_PART

    def has_room_for_worker(self, clients: int, connections: int, fleet: int = 0) -> bool:
        """Whether one more connection to a worker has room beside so many, in a fleet of so many workers."""
        return clients + connections < self.available and (
            self.dials_ahead(fleet) or connections < self.limit // ON_DEMAND_PART)

    def clients_must_yield(self, clients: int) -> bool:
        """Whether clients are the ones to make room for it."""
        return clients > self.reserved_for_clients
