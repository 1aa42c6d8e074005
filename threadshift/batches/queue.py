"""The calls of batches at one front end: which wait, go out next, are parked, are over. Free of I/O.

A call waits in the order in which it was accepted, goes out when there is room, and ends with one final answer.
Where the answer is that nothing ran and there is time left, it waits again, at its place, after a pause. Cancelled
with its batch it is parked: its place, tries, answers and its own clock stay, and its own time goes on. Restored it
waits where it stood; closed, or a moment before its own time ends, it is answered as cancelled.

How many are out at a time follows from how they end: what comes back by the thousand must not take the fleet from
others, so it takes what they leave. While calls take hardly longer than the quickest of their type did of late, one
more may be out; where they take longer, or find no room, others are waiting too, and there is room for fewer (as
LEDBAT yields by delay, RFC 6817, with the additive increase and multiplicative decrease of Chiu and Jain 1989)."""
from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count

from threadshift.batches.cancels import CLOSED, OPEN, RESTORED, Cancel
from threadshift.interface import MS, SECOND

FEW = 1.0                  # calls out at first, and at the least: all front ends begin at once
# A call may take so many times the quickest, and so much more, before others count as waiting.
LONGER = 1.25
LATENCY_ALLOWANCE = 5 * MS
LATELY = 30 * SECOND       # in which the quickest was: workers come and go, and become warm
HALF = 0.5                 # of the room, left by a call that found none
CUT_PAUSE = 200 * MS       # between two such cuts, so that calls refused together cut once
RETRY_PAUSE = 250 * MS     # from a rejection to the next try, where no time to come back was told
# A parked call is answered so long before its deadline, so that its client can still receive the answer.
FINAL_ANSWER_MARGIN = 100 * MS
REASONS = 8                # of its tries, the last ones, that a call keeps: enough to see why it waits
LOOKED = 64                # calls in their pause that are passed over at a time; past it most are in theirs
BATCHES = 1_000            # whose count of ended calls is kept once nothing of them is left
SHORT = 50 * MS            # with less time left a call is not sent out: its answer could not come in time


@dataclass(slots=True, eq=False)
class BatchCall:
    """One call of a batch; the handle of who accepted it. Times are by the clock of this process."""

    id: str
    tenant: str
    batch: str
    order: int                   # its place among all that were accepted here
    deadline: int                    # its own time
    type: str
    tries: int = 0               # times that it went out and came back unrun
    not_before: int = 0                 # it does not go out again before
    parked_by: str = ""             # the cancel that stopped it
    is_out: bool = False
    is_done: bool = False
    reasons: list[str] = field(default_factory=list)     # of its tries so far

    @property
    def state(self) -> str:
        return "done" if self.is_done else "out" if self.is_out else "parked" if self.parked_by else "waiting"


@dataclass(slots=True)
class BatchCounts:
    """How a batch stands at one front end."""

    waiting: int = 0
    out: int = 0
    parked: int = 0
    done: int = 0
    nearest: int = 0             # ns until the first of those not done ends; 0: none


class WaitingCalls:
    """The waiting calls of one batch, by their order; a call that comes back stands where it stood."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, BatchCall]] = []

    def add(self, it: BatchCall) -> None:
        heapq.heappush(self.heap, (it.order, it))

    def first(self, now: int) -> BatchCall | None:
        """The first that may go out now, taken from the line. One in its pause does not hold up those behind it."""
        held, found = [], None
        while self.heap and found is None:
            it = heapq.heappop(self.heap)[1]
            if it.is_out or it.is_done or it.parked_by:
                continue
            if it.not_before > now:
                held.append(it)
                if len(held) >= LOOKED:
                    break
            else:
                found = it
        for each in held:
            self.add(each)
        return found


class BatchQueue:
    def __init__(self, max_out: int):
        """`max_out` calls may be out at a time, whatever they bring."""
        self.max_out, self.out_limit, self.last_cut_at = float(max_out), FEW, 0
        self.quickest: dict[str, list[int]] = {}     # type: (since, quickest since then, quickest before)
        self.calls: dict[str, BatchCall] = {}
        self.batches: OrderedDict[tuple[str, str], dict[str, BatchCall]] = OrderedDict()
        self.waiting: OrderedDict[tuple[str, str], WaitingCalls] = OrderedDict()       # whose turn is first
        self.done_counts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.parked: dict[str, dict[str, BatchCall]] = {}       # cancel: what it stopped
        self.open_cancels: dict[tuple[str, str], Cancel] = {}     # open cancels: what comes late is parked as well
        self.out_count = 0
        self.deadlines: list[tuple[int, int, BatchCall]] = []
        self.next_serial = count().__next__

    # Calls.

    def add(self, it: BatchCall) -> BatchCall:
        """A call is accepted. It is parked at once where its batch is cancelled."""
        key = it.tenant, it.batch
        self.calls[it.id] = it
        self.batches.setdefault(key, {})[it.id] = it
        heapq.heappush(self.deadlines, (it.deadline - FINAL_ANSWER_MARGIN, self.next_serial(), it))
        if key in self.open_cancels and not it.parked_by:
            it.parked_by = self.open_cancels[key].id
        if it.parked_by:
            self.parked.setdefault(it.parked_by, {})[it.id] = it
        else:
            self.enqueue(it)
        return it

    def enqueue(self, it: BatchCall) -> None:
        self.waiting.setdefault((it.tenant, it.batch), WaitingCalls()).add(it)

    def take_ready(self, now: int) -> Iterator[BatchCall]:
        """What goes out now; batches take turns."""
        idle = 0
        while self.out_count < min(self.out_limit, self.max_out) and self.waiting and idle < len(self.waiting):
            key, line = next(iter(self.waiting.items()))
            it = line.first(now)
            self.waiting.move_to_end(key)
            if not line.heap:
                del self.waiting[key]
            elif it is None:
                idle += 1
            if it is None:
                continue
            idle = 0
            if it.deadline - now <= SHORT:
                continue            # expire() finds it in a moment
            it.is_out, self.out_count = True, self.out_count + 1
            yield it

    def on_returned(self, it: BatchCall, now: int, completed: bool, again: bool, reason: str, retry_after: int = 0,
                 took: int = 0) -> bool:
        """What became of a call that was out; True where that is its final answer. `again`: it may be tried again, as
        none of it ran or that does no harm; it is where there is time. `took`: how long the completed one was out."""
        if not it.is_out:
            return False
        if completed and self.is_quick(it.type, now, took):
            self.out_limit = min(self.max_out, self.out_limit + 1 / self.out_limit)
        elif now - self.last_cut_at >= CUT_PAUSE:
            self.out_limit, self.last_cut_at = max(FEW, HALF * self.out_limit), now
        if not again or it.deadline - now <= max(SHORT, retry_after):
            self.finish(it)
            return True
        it.is_out, self.out_count = False, self.out_count - 1
        it.tries += 1
        it.reasons = [*it.reasons, reason][-REASONS:]
        it.not_before = now + max(RETRY_PAUSE, retry_after)
        self.requeue(it)
        return False

    def is_quick(self, type_: str, now: int, took: int) -> bool:
        """Whether a call was as quick as calls of its type are when nobody waits."""
        it = self.quickest.setdefault(type_, [now, took, took])
        if now - it[0] >= LATELY:
            it[:] = [now, took, it[1]]
        it[1] = min(it[1], took)
        return took <= LONGER * min(it[1:]) + LATENCY_ALLOWANCE

    def withdraw(self, it: BatchCall) -> None:
        """A call that was out and provably never began is not out any more."""
        if it.is_out:
            it.is_out, self.out_count = False, self.out_count - 1
            self.requeue(it)

    def requeue(self, it: BatchCall) -> None:
        cancel = self.open_cancels.get((it.tenant, it.batch))
        if cancel is not None:
            it.parked_by = cancel.id
            self.parked.setdefault(cancel.id, {})[it.id] = it
        else:
            self.enqueue(it)

    def finish(self, it: BatchCall) -> None:
        """It has its final answer; nothing brings it back."""
        if it.is_done:
            return
        it.is_done = True
        if it.is_out:
            it.is_out, self.out_count = False, self.out_count - 1
        key = it.tenant, it.batch
        self.calls.pop(it.id, None)
        batch = self.batches.get(key, {})
        batch.pop(it.id, None)
        if not batch:
            self.batches.pop(key, None)
        self.parked.get(it.parked_by, {}).pop(it.id, None)
        self.done_counts[key] = self.done_counts.get(key, 0) + 1
        self.done_counts.move_to_end(key)
        while len(self.done_counts) > BATCHES + len(self.batches):
            self.done_counts.popitem(last=False)

    def expire(self, now: int) -> list[BatchCall]:
        """Those not out whose own time is nearly over: they are answered now, parked ones as cancelled."""
        found = []
        while self.deadlines and self.deadlines[0][0] <= now:
            it = heapq.heappop(self.deadlines)[2]
            if not it.is_done and not it.is_out:
                self.finish(it)
                found.append(it)
            elif it.is_out:
                # its answer is on its way
                heapq.heappush(self.deadlines, (now + FINAL_ANSWER_MARGIN, self.next_serial(), it))
        return found

    # Cancels, as the record tells of them. Any of these twice changes nothing more.

    def park(self, it: Cancel) -> list[BatchCall]:
        """Parks what waits; those that are out, for who can tell whether they began."""
        key = it.tenant, it.batch
        self.open_cancels[key] = it
        out = []
        for each in self.batches.get(key, {}).values():
            if each.is_out:
                out.append(each)
            elif not each.parked_by:
                each.parked_by = it.id
                self.parked.setdefault(it.id, {})[each.id] = each
        self.waiting.pop(key, None)
        return out

    def restore(self, it: Cancel) -> list[BatchCall]:
        """Brings back exactly what this cancel stopped, each at its place."""
        self.reopen(it)
        found = sorted(self.parked.pop(it.id, {}).values(), key=lambda each: each.order)
        for each in found:
            each.parked_by = ""
            self.requeue(each)
        return found

    def close(self, it: Cancel) -> list[BatchCall]:
        """The cancel is closed: what it stopped gets its final answer."""
        self.reopen(it)
        found = sorted(self.parked.pop(it.id, {}).values(), key=lambda each: each.order)
        for each in found:
            self.finish(each)
        return found

    def reopen(self, it: Cancel) -> None:
        if (now := self.open_cancels.get((it.tenant, it.batch))) is not None and now.id == it.id:
            del self.open_cancels[it.tenant, it.batch]

    def apply_cancel(self, it: Cancel) -> tuple[list[BatchCall], list[BatchCall], list[BatchCall]]:
        """Whatever the record says of a cancel now: (those out to be looked at, those brought back, those over)."""
        if it.state == OPEN:
            return self.park(it), [], []
        if it.state == RESTORED:
            return [], self.restore(it), []
        assert it.state == CLOSED
        return [], [], self.close(it)

    # What is asked.

    def counts(self, tenant: str, batch: str, now: int) -> BatchCounts:
        it = BatchCounts(done=self.done_counts.get((tenant, batch), 0))
        calls: Iterable[BatchCall] = self.batches.get((tenant, batch), {}).values()
        for each in calls:
            setattr(it, each.state, getattr(it, each.state) + 1)
            left = max(1, each.deadline - now)
            it.nearest = min(it.nearest or left, left)
        return it

    def waiting_count(self, tenant: str) -> int:
        """Calls of a tenant, of all its batches, that wait."""
        return sum(each.state == "waiting" for key, batch in self.batches.items() if key[0] == tenant
                   for each in batch.values())
