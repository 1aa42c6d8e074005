"""The calls of batches at one front end: which of them wait, go out next, are parked or are done. Free of I/O.

Calls wait in the order in which they were accepted, go out when the limit on calls that are out allows it, and end
with one final answer. A call whose answer says that nothing of it ran waits again after a pause, at its old position,
if there is time left. A call whose batch is cancelled is parked: it keeps its position, its tries, the reasons of
earlier rejections and its deadline, and its time goes on. When the batch is restored the call waits at its old
position. When the cancel is closed, or shortly before the call's deadline, it is answered as cancelled.

How many calls may be out follows from how they end: thousands of calls that are restored at once must not take the
workers from other requests, so batches use only the capacity that those leave. While calls take hardly longer than
the quickest recent call of their type, the limit grows. Where they take longer or are rejected, other requests are
waiting as well, and the limit shrinks (yielding by delay as LEDBAT does, RFC 6817, with the additive increase and
multiplicative decrease of Chiu and Jain 1989)."""
from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count

from threadshift.batches.cancels import CLOSED, OPEN, RESTORED, Cancel
from threadshift.interface import MS, SECOND, EarlierRun

MIN_OUT = 1.0                  # calls that may be out at first, and at least; small, as all front ends start at once
# A call is quick if it takes at most LATENCY_FACTOR times as long as the quickest, plus LATENCY_ALLOWANCE.
LATENCY_FACTOR = 1.25
LATENCY_ALLOWANCE = 5 * MS
# The quickest call is looked for in two windows, the current and the one before: workers come, go and become warm.
QUICKEST_WINDOW = 30 * SECOND
CUT_FACTOR = 0.5               # by which the limit is multiplied when a call was slow or did not complete
CUT_INTERVAL = 200 * MS        # at least between two cuts, so that calls rejected together cut the limit once
RETRY_PAUSE = 250 * MS         # from a rejection to the next try, unless the answer asked for a longer one
# A parked call is answered so long before its deadline, so that its client can still receive the answer.
FINAL_ANSWER_MARGIN = 100 * MS
MAX_REASONS = 8                # latest rejection reasons kept for each call: enough to see why it waits
MAX_SKIPPED = 64               # calls in their pause that one search skips; after so many, most others are too
MAX_DONE_COUNTS = 1_000        # batches without calls whose number of calls done is remembered
MIN_TIME_LEFT = 50 * MS        # a call with less time left is not sent out: its answer could not come in time


@dataclass(slots=True, eq=False)
class BatchCall:
    """One call of a batch, and the client that the engine knows for it. Times are by the monotonic clock."""

    id: str
    tenant: str
    batch: str
    order: int                   # its position among all calls that were accepted here
    deadline: int                # when its time ends
    type: str
    tries: int = 0               # how often it went out and came back without having run
    not_before: int = 0          # it does not go out again before this time
    parked_by: str = ""          # id of the cancel that stopped it
    is_out: bool = False
    departures: int = 0          # how often it went out
    is_done: bool = False
    reasons: list[str] = field(default_factory=list)     # why its tries were rejected
    may_have_run: bool = False   # in one of its tries, although that was rejected
    earlier_runs: tuple[EarlierRun, ...] = ()    # what of these must not happen twice

    @property
    def state(self) -> str:
        """The name of the field of BatchCounts that counts it."""
        return "done" if self.is_done else "out" if self.is_out else "parked" if self.parked_by else "waiting"


@dataclass(slots=True)
class BatchCounts:
    """The calls of a batch at one front end, by state. The fields are sent to peers under their own names."""

    waiting: int = 0
    out: int = 0
    parked: int = 0
    done: int = 0
    nearest: int = 0             # ns until the earliest deadline of those not done; 0: none


def pause_before_retry(retry_after: int) -> int:
    """ns from a rejection that asked for this pause to the next try."""
    return max(RETRY_PAUSE, retry_after)


class WaitingCalls:
    """The waiting calls of one batch by their order, so that a call that comes back has its old position."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, BatchCall]] = []

    def add(self, call: BatchCall) -> None:
        heapq.heappush(self.heap, (call.order, call))

    def pop_ready(self, now: int) -> BatchCall | None:
        """Removes and returns the first call that may go out now. A call in its pause does not delay later ones."""
        skipped, ready = [], None
        while self.heap and ready is None:
            call = heapq.heappop(self.heap)[1]
            if call.is_out or call.is_done or call.parked_by:
                continue
            if call.not_before > now:
                skipped.append(call)
                if len(skipped) >= MAX_SKIPPED:
                    break
            else:
                ready = call
        for each in skipped:
            self.add(each)
        return ready


class BatchQueue:
    """The calls of all batches at one front end."""

    def __init__(self, max_out: int):
        """`max_out` calls may be out at a time, however quick they are."""
        self.max_out, self.out_limit, self.last_cut_at = float(max_out), MIN_OUT, 0
        self.quickest: dict[str, list[int]] = {}     # type: [window start, quickest in it, in the one before]
        self.calls: dict[str, BatchCall] = {}
        self.batches: OrderedDict[tuple[str, str], dict[str, BatchCall]] = OrderedDict()
        self.waiting: OrderedDict[tuple[str, str], WaitingCalls] = OrderedDict()     # in order of turns
        self.done_counts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.parked: dict[str, dict[str, BatchCall]] = {}       # by cancel
        self.open_cancels: dict[tuple[str, str], Cancel] = {}   # by batch; calls that come later are parked as well
        self.out_count = 0
        self.deadlines: list[tuple[int, int, BatchCall]] = []
        self.next_serial = count().__next__

    # Calls.

    def add(self, call: BatchCall) -> BatchCall:
        """Adds a call that was accepted. It is parked at once if its batch is cancelled."""
        key = call.tenant, call.batch
        self.calls[call.id] = call
        self.batches.setdefault(key, {})[call.id] = call
        heapq.heappush(self.deadlines, (call.deadline - FINAL_ANSWER_MARGIN, self.next_serial(), call))
        if key in self.open_cancels and not call.parked_by:
            call.parked_by = self.open_cancels[key].id
        if call.parked_by:
            self.parked.setdefault(call.parked_by, {})[call.id] = call
        else:
            self.enqueue(call)
        return call

    def enqueue(self, call: BatchCall) -> None:
        self.waiting.setdefault((call.tenant, call.batch), WaitingCalls()).add(call)

    def take_ready(self, now: int) -> Iterator[BatchCall]:
        """Yields the calls that go out now; batches take turns."""
        idle = 0
        while self.out_count < min(self.out_limit, self.max_out) and self.waiting and idle < len(self.waiting):
            key, calls = next(iter(self.waiting.items()))
            call = calls.pop_ready(now)
            self.waiting.move_to_end(key)
            if not calls.heap:
                del self.waiting[key]
            elif call is None:
                idle += 1
            if call is None:
                continue
            idle = 0
            if call.deadline - now <= MIN_TIME_LEFT:
                continue            # expire() ends it shortly
            call.is_out, self.out_count = True, self.out_count + 1
            call.departures += 1
            yield call

    def on_returned(self, call: BatchCall, now: int, completed: bool, may_retry: bool, reason: str,
                    retry_after: int = 0, took: int = 0) -> bool:
        """A call that was out has an answer. Returns True if that is its final answer. It waits again if `may_retry`,
        as running twice does no harm, and if there is time. `took` is how long it was out."""
        if not call.is_out:
            return False
        if completed and self.is_quick(call.type, now, took):
            self.out_limit = min(self.max_out, self.out_limit + 1 / self.out_limit)
        elif now - self.last_cut_at >= CUT_INTERVAL:
            self.out_limit, self.last_cut_at = max(MIN_OUT, CUT_FACTOR * self.out_limit), now
        if not may_retry or call.deadline - now <= max(MIN_TIME_LEFT, retry_after):
            self.finish(call)
            return True
        call.is_out, self.out_count = False, self.out_count - 1
        call.tries += 1
        call.reasons = [*call.reasons, reason][-MAX_REASONS:]
        call.not_before = now + pause_before_retry(retry_after)
        self.requeue(call)
        return False

    def is_quick(self, type_: str, now: int, took: int) -> bool:
        """Whether a call took no longer than calls of its type do when no requests wait for workers."""
        quickest = self.quickest.setdefault(type_, [now, took, took])
        if now - quickest[0] >= QUICKEST_WINDOW:
            quickest[:] = [now, took, quickest[1]]
        quickest[1] = min(quickest[1], took)
        return took <= LATENCY_FACTOR * min(quickest[1:]) + LATENCY_ALLOWANCE

    def withdraw(self, call: BatchCall) -> None:
        """Takes back a call that was out and provably never began."""
        if call.is_out:
            call.is_out, self.out_count = False, self.out_count - 1
            self.requeue(call)

    def requeue(self, call: BatchCall) -> None:
        """Lets a call wait again, or parks it if its batch was cancelled meanwhile."""
        cancel = self.open_cancels.get((call.tenant, call.batch))
        if cancel is not None:
            call.parked_by = cancel.id
            self.parked.setdefault(cancel.id, {})[call.id] = call
        else:
            self.enqueue(call)

    def finish(self, call: BatchCall) -> None:
        """Ends a call that has its final answer; it cannot be restored after that."""
        if call.is_done:
            return
        call.is_done = True
        if call.is_out:
            call.is_out, self.out_count = False, self.out_count - 1
        key = call.tenant, call.batch
        self.calls.pop(call.id, None)
        batch = self.batches.get(key, {})
        batch.pop(call.id, None)
        if not batch:
            self.batches.pop(key, None)
        self.parked.get(call.parked_by, {}).pop(call.id, None)
        self.done_counts[key] = self.done_counts.get(key, 0) + 1
        self.done_counts.move_to_end(key)
        while len(self.done_counts) > MAX_DONE_COUNTS + len(self.batches):
            self.done_counts.popitem(last=False)

    def expire(self, now: int) -> list[BatchCall]:
        """Ends the calls that are not out and whose deadline is near, and returns them: parked ones are answered as
        cancelled."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            call = heapq.heappop(self.deadlines)[2]
            if not call.is_done and not call.is_out:
                self.finish(call)
                expired.append(call)
            elif call.is_out:
                # Its answer is still to come.
                heapq.heappush(self.deadlines, (now + FINAL_ANSWER_MARGIN, self.next_serial(), call))
        return expired

    # Cancels, as decided by the replicated log. Applying the same state again has no further effect.

    def park(self, cancel: Cancel) -> list[BatchCall]:
        """Parks the calls that wait. Returns those that are out: the caller knows whether they began."""
        key = cancel.tenant, cancel.batch
        self.open_cancels[key] = cancel
        out = []
        for each in self.batches.get(key, {}).values():
            if each.is_out:
                out.append(each)
            elif not each.parked_by:
                each.parked_by = cancel.id
                self.parked.setdefault(cancel.id, {})[each.id] = each
        self.waiting.pop(key, None)
        return out

    def restore(self, cancel: Cancel) -> list[BatchCall]:
        """Lets exactly the calls that this cancel parked wait again, at their old positions."""
        self.remove_open_cancel(cancel)
        calls = sorted(self.parked.pop(cancel.id, {}).values(), key=lambda each: each.order)
        for each in calls:
            each.parked_by = ""
            self.requeue(each)
        return calls

    def close(self, cancel: Cancel) -> list[BatchCall]:
        """Ends the calls that this cancel parked; the caller answers them as cancelled."""
        self.remove_open_cancel(cancel)
        calls = sorted(self.parked.pop(cancel.id, {}).values(), key=lambda each: each.order)
        for each in calls:
            self.finish(each)
        return calls

    def remove_open_cancel(self, cancel: Cancel) -> None:
        if (current := self.open_cancels.get((cancel.tenant, cancel.batch))) is not None and current.id == cancel.id:
            del self.open_cancels[cancel.tenant, cancel.batch]

    def apply_cancel(self, cancel: Cancel) -> tuple[list[BatchCall], list[BatchCall], list[BatchCall]]:
        """Applies the current state of a cancel. Returns (calls that are out, calls restored, calls ended)."""
        if cancel.state == OPEN:
            return self.park(cancel), [], []
        if cancel.state == RESTORED:
            return [], self.restore(cancel), []
        assert cancel.state == CLOSED
        return [], [], self.close(cancel)

    # Queries.

    def counts(self, tenant: str, batch: str, now: int) -> BatchCounts:
        """Counts the calls of a batch by state."""
        counts = BatchCounts(done=self.done_counts.get((tenant, batch), 0))
        calls: Iterable[BatchCall] = self.batches.get((tenant, batch), {}).values()
        for each in calls:
            setattr(counts, each.state, getattr(counts, each.state) + 1)
            left = max(1, each.deadline - now)
            counts.nearest = min(counts.nearest or left, left)
        return counts

    def waiting_count(self, tenant: str) -> int:
        """Counts the calls of all batches of a tenant that wait."""
        return sum(each.state == "waiting" for key, batch in self.batches.items() if key[0] == tenant
                   for each in batch.values())
