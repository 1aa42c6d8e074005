"""Calls of the last seconds, by namespace type, in buckets of one second. Free of I/O; constant cost a call."""
from __future__ import annotations

from collections import deque

from threadshift.bgp.announce import Service
from threadshift.engine.engine import FinalKind, PendingRequest
from threadshift.interface import SECOND, Outcome

BUCKETS = 10               # seconds looked back on; shorter and few calls judge, longer and a fall is seen late
MOST_ARRIVALS = 1_000      # times kept; a rate above a thousand a second is told as a thousand
NEVER_CAME = (Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class ConnectionRate:
    """New connections at the listeners."""

    def __init__(self) -> None:
        self.times: deque[int] = deque(maxlen=MOST_ARRIVALS)
        self.last = 0

    def record(self, now: int) -> None:
        self.times.append(now)
        self.last = now

    def per_second(self, now: int) -> float:
        """Over the last second."""
        return float(sum(at > now - SECOND for at in self.times))


class RecentCalls:
    """Counts final answers as they are given."""

    def __init__(self, utilities: dict[str, float]):
        self.utilities = utilities
        self.buckets: deque[tuple[int, dict[str, list[float]]]] = deque()

    def record(self, now: int, pending: PendingRequest) -> None:
        """One activation that ended: answered, or left by its client before its target latency was up."""
        late = now - pending.admitted_at > pending.activation.type_stats.target_latency
        if pending.client_gone and not late:
            return
        second = now // SECOND
        if not self.buckets or self.buckets[-1][0] != second:
            self.buckets.append((second, {}))
            self.fade(second)
        row = self.buckets[-1][1].setdefault(pending.call.type, [0, 0.0, 0.0, 0, 0])
        utility = self.utilities[pending.call.type]
        done = pending.answer is not None and pending.answer.final is FinalKind.COMPLETED
        row[0] += 1
        row[1] += utility
        row[2] += utility * (done and not late)
        row[3] += done
        row[4] += not done and all(sent.outcome in NEVER_CAME for sent in pending.sends)

    def fade(self, second: int) -> None:
        while self.buckets and self.buckets[0][0] <= second - BUCKETS:
            self.buckets.popleft()

    def service(self, now: int) -> dict[str, Service]:
        self.fade(now // SECOND)
        sums: dict[str, list[float]] = {}
        for _, rows in self.buckets:
            for name, row in rows.items():
                sums[name] = [one + other for one, other in zip(sums.get(name, [0] * 5), row, strict=True)]
        return {name: Service(int(row[0]), row[1], row[2], int(row[3]), int(row[4])) for name, row in sums.items()}

    def per_second(self, now: int) -> float:
        """Calls in the fullest second of those looked back on: what they were answered is judged by it, and a mean
        that an overload has just left looks easy while its late answers still count (found by emulation: two of
        three halls lowered their preference after a burst, when traffic had ended)."""
        self.fade(now // SECOND)
        return max((sum(row[0] for row in rows.values()) for _, rows in self.buckets), default=0.0)
