"""Observes which peers are reachable. Free of I/O; times are ns and passed in.

The results are estimates, and nothing that has to be safe depends on them. Time in which this process itself was
stalled does not count as silence of its peers."""
from __future__ import annotations

from dataclasses import dataclass

from threadshift.interface import SECOND

SILENCE_TIMEOUT = 12 * SECOND      # peers send something at least every five seconds
STALL_THRESHOLD = SECOND           # between two calls of detect_stall(): this process was stalled itself


@dataclass(slots=True)
class PeerObservation:
    """What was observed of one peer."""

    life: int = 0              # identifies its process: each start has another number
    last_heard_at: int = 0     # 0: never
    lives: int = 0             # number of its processes that were heard


class PeerMonitor:
    """Records when each peer was heard last."""

    def __init__(self, names: list[str]):
        self.peers = {name: PeerObservation() for name in names}
        self.last_check_at = 0
        self.own_stalls = 0

    def record_contact(self, now: int, name: str, life: int) -> bool:
        """Returns True if the peer was restarted since it was heard last."""
        peer = self.peers[name]
        peer.last_heard_at = now
        if peer.life == life:
            return False
        peer.life, peer.lives = life, peer.lives + 1
        return peer.lives > 1

    def detect_stall(self, now: int) -> None:
        """Has to be called often. A long time between two calls was a stall of this process."""
        elapsed = now - self.last_check_at
        if self.last_check_at and elapsed > STALL_THRESHOLD:
            self.own_stalls += 1
            for each in self.peers.values():
                each.last_heard_at += elapsed if each.last_heard_at else 0
        self.last_check_at = now

    def is_silent(self, now: int, name: str) -> bool:
        peer = self.peers[name]
        return not peer.last_heard_at or now - peer.last_heard_at > SILENCE_TIMEOUT

    def time_since_contact(self, now: int, name: str) -> int | None:
        """ns; None if the peer was never heard."""
        peer = self.peers[name]
        return max(0, now - peer.last_heard_at) if peer.last_heard_at else None
