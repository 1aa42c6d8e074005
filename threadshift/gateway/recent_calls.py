"""Calls of the last seconds, by namespace type, in buckets of one second. Free of I/O; constant cost a call."""
from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from threadshift.engine.engine import FinalKind, PendingRequest
from threadshift.interface import SECOND, Outcome

if TYPE_CHECKING:
    from threadshift.bgp.announce import CallStats

BUCKETS = 10               # of one second; with fewer, few calls decide; with more, a fall is seen late
MAX_ARRIVALS = 1_000       # whose times are kept; a rate above a thousand a second is reported as a thousand
NEVER_REACHED = (Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class ConnectionRate:
    """The rate of new connections at the listeners."""

    def __init__(self) -> None:
        self.times: deque[int] = deque(maxlen=MAX_ARRIVALS)
        self.last = 0

    def record(self, now: int) -> None:
        self.times.append(now)
        self.last = now

    def per_second(self, now: int) -> float:
        """Over the last second."""
        return float(sum(at > now - SECOND for at in self.times))


class RecentCalls:
    """Counts calls as they get their final answers."""

    def __init__(self, utilities: dict[str, float]):
        self.utilities = utilities
        self.buckets: deque[tuple[int, dict[str, list[float]]]] = deque()

    def record(self, now: int, pending: PendingRequest) -> None:
        """Counts one activation that was answered, or whose client left; not if it left within the target latency."""
        is_late = now - pending.admitted_at > pending.activation.type_stats.target_latency
        if pending.client_gone and not is_late:
            return
        second = now // SECOND
        if not self.buckets or self.buckets[-1][0] != second:
            self.buckets.append((second, {}))
            self.drop_old_buckets(second)
        row = self.buckets[-1][1].setdefault(pending.call.type, [0, 0.0, 0.0, 0, 0])
        utility = self.utilities[pending.call.type]
        is_completed = pending.answer is not None and pending.answer.final is FinalKind.COMPLETED
        row[0] += 1
        row[1] += utility
        row[2] += utility * (is_completed and not is_late)
        row[3] += is_completed
        row[4] += not is_completed and all(sent.outcome in NEVER_REACHED for sent in pending.sends)

    def drop_old_buckets(self, second: int) -> None:
        while self.buckets and self.buckets[0][0] <= second - BUCKETS:
            self.buckets.popleft()

    def call_stats(self, now: int) -> dict[str, CallStats]:
        """What was served lately, by namespace type."""
        # Imported only where this is asked for: by announcements and rollouts.
        from threadshift.bgp.announce import CallStats
        self.drop_old_buckets(now // SECOND)
        sums: dict[str, list[float]] = {}
        for _, rows in self.buckets:
            for name, row in rows.items():
                sums[name] = [one + other for one, other in zip(sums.get(name, [0] * 5), row, strict=True)]
        return {name: CallStats(int(row[0]), row[1], row[2], int(row[3]), int(row[4])) for name, row in sums.items()}

    def per_second(self, now: int) -> float:
        """Calls in the busiest of these seconds.

        The answers of all these seconds are judged by this rate: a mean would look low as soon as an overload has
        ended, while its late answers still count. In emulation, two of three zones lowered their preference after a
        burst for that reason, when traffic had ended."""
        self.drop_old_buckets(now // SECOND)
        return max((sum(row[0] for row in rows.values()) for _, rows in self.buckets), default=0.0)
