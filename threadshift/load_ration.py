"""The ration of load orders of one front end, which also holds over restarts of its process. Free of I/O.

Within each window a front end may give a number of free orders plus a share of the activations that it admitted in
the same window. A process that starts does not know what the process before it ordered and admitted, and both may
still lie within the window. So the limit is kept for more spans than the window alone:

- each span that ends with an order and is no longer than the window: its orders are at most a burst plus the share
  of the activations admitted within the span. So in whatever part of a process's life lies within a later window, its
  orders exceed the share of its activations by the burst at most.
- the first window of a process that has a predecessor: its orders are at most the share of its own activations, less
  what the burst exceeds the free orders by. The free orders may belong to the predecessor.

The sum over any number of restarts within a window is thus at most the free orders plus the share of all activations.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MIN_BURST = 1.0            # with fewer free orders than one, a span that contains one order alone must fit


@dataclass(slots=True, eq=False)
class CountedActivation:
    """An activation that counts towards load orders until its client withdraws it."""

    at: int                  # ns
    number: int              # of this process's admissions
    counts: bool = True


@dataclass(slots=True, eq=False)
class LoadOrder:
    """A load order within the window."""

    at: int                  # ns
    after: int               # the number of the last admission before it
    earlier_admissions: int  # those before it that count


class LoadRation:
    """Tells whether one more load order may be given. Times are ns of a clock that never goes back."""

    def __init__(self, window: int, free: float, ratio: float):
        """`window` is in ns, 0 for no limit; `ratio` is the number of orders that one activation brings."""
        self.window, self.free, self.ratio = window, free, ratio
        self.burst = max(MIN_BURST, free)
        self.admissions: deque[CountedActivation] = deque()     # within the window
        self.orders: deque[LoadOrder] = deque()         # within the window
        self.admitted = 0              # admissions of this process
        self.counted = 0               # of these, those that count
        self.counted_in_window = 0     # of these, those within the window
        self.predecessor_ended_at: int | None = None    # None: there was no earlier process of this front end
        self.counted_beside_predecessor = 0     # admissions that count, from before it ended
        self.is_stopped = False

    def assume_predecessor(self, ended_at: int) -> None:
        """Assumes that an earlier process of this front end gives orders until `ended_at`, and this one none so far.

        `ended_at` may lie ahead: until then this process gives none."""
        self.predecessor_ended_at = ended_at

    def stop(self) -> None:
        """Allows no further orders: a process that takes over may count on it."""
        self.is_stopped = True

    def record_admission(self, now: int) -> CountedActivation:
        """Records an activation that is admitted."""
        self.admitted += 1
        self.counted += 1
        self.counted_in_window += 1
        admission = CountedActivation(now, self.admitted)
        self.admissions.append(admission)
        if self.predecessor_ended_at is not None and now < self.predecessor_ended_at:
            self.counted_beside_predecessor = self.counted
        self.expire(now)
        return admission

    def withdraw(self, admission: CountedActivation) -> None:
        """Records that the client of an activation has withdrawn it: it brings no orders any more."""
        if not admission.counts:
            return
        admission.counts = False
        self.counted -= 1
        if self.admissions and admission.number >= self.admissions[0].number:
            self.counted_in_window -= 1
        for order in self.orders:
            if order.after >= admission.number:
                order.earlier_admissions -= 1

    def may_order(self, now: int) -> bool:
        """Whether the limits allow one more order now."""
        if not self.window or self.is_stopped:
            return not self.is_stopped
        self.expire(now)
        return (len(self.orders) + 1 <= self.free + self.ratio * self.counted_in_window
                and self.fits_after_predecessor(now) and self.fits_each_span())

    def record_order(self, now: int) -> None:
        """Records an order that is given."""
        if self.window:
            self.orders.append(LoadOrder(now, self.admitted, self.counted))

    def fits_after_predecessor(self, now: int) -> bool:
        """Whether one more order fits beside those that an earlier process may have given within the window."""
        ended_at = self.predecessor_ended_at
        if ended_at is None or now >= ended_at + self.window:
            return True
        own_share = self.ratio * (self.counted - self.counted_beside_predecessor)
        return now >= ended_at and len(self.orders) + 1 <= self.free - self.burst + own_share

    def fits_each_span(self) -> bool:
        """Whether one more order fits into each span that begins right before an earlier order."""
        return all(number + 1 <= self.burst + self.ratio * (self.counted - order.earlier_admissions)
                   for number, order in enumerate(reversed(self.orders), start=1))

    def expire(self, now: int) -> None:
        """Drops what has left the window."""
        since = now - self.window
        while self.admissions and self.admissions[0].at <= since:
            self.counted_in_window -= self.admissions.popleft().counts
        while self.orders and self.orders[0].at <= since:
            self.orders.popleft()
