"""Decides, for one front end, where each activation runs, when to send again and when to give up.

Make a Dispatcher(seed, deployment, now) and call roster() with each list of workers. take() gives an
Activation; call its start(), then returned() at each send's end and left() if the client quits. held() brings
answers to load orders; tick() is wanted when due() has come. Each returns the Steps to carry out, in order.
Interface: interface.py. The mechanism and each departure from it: docs/design.md.
"""
from __future__ import annotations

import bisect
import hashlib
import heapq
import random
from collections import deque
from itertools import count

from threadshift.interface import (
    MS, SECOND, Activation, Copy, Deployment, Do, Effect, Listing, NamespaceType, Outcome, Send, State, Step)

POINTS = 150               # ring points a worker; the design's figure, spreads homes within some 8%
EPSILON = 0.25             # room above the mean in flight; middle of the design's 0.1 to 0.5
SKETCH_WIDTH, SKETCH_DEPTH = 4096, 4       # count-min cells a row, rows; the write-up's figures
SKETCH_WINDOW = 10 * SECOND    # after this the sketch resets; the design's figure
HOT_SHARE = 0.05           # of recent calls; the design's threshold; twice it earns the second successor
HOT_LEAST = 100            # calls below which nothing is called hot: five calls would be 5% of less
ROUND = 50 * MS            # period of the health round; a small part of any target latency in sight
TYPICAL_START = 0.25       # share of the target latency taken as usual until answers are seen
LOAD_START = SECOND        # usual load time until one is seen or told
PATIENCE = 4               # times the expected latency before a send is overdue; past 98% of exponential work
EASE = 0.45                # share of the target latency that answers may take on average; a tenth is late
TREND = 0.03               # weight of the newest in what is usual for a type or a load; some thirty answers
FRESH = 0.15               # weight of the newest answer in a worker's pace
PACE_FADE = 0.99           # what a round without an answer leaves of it; 3 s to half, then it is tried again
FIRST_LIMIT = 4.0          # sends in flight at a worker before it has shown what it bears
CUT = 0.85                 # what one cut leaves of a limit; gentle, as answers vary with the work itself
CUT_PAUSE = 200 * MS       # between two cuts, so that one queue is answered once; a full worker rests so long
GROW = 1.0                 # sends a second by which each limit recovers
STRIKES = 2                # failures in a row that suspend a worker; one may be chance
SUSPEND, SUSPEND_MOST = 500 * MS, 8 * SECOND   # first, longest suspension; a hiccup, most of a restart
BUDGET_SHARE, BUDGET_MOST = 0.1, 10.0      # further sends earned by a completed one, saved up; bounds storms
COLD_SAFETY = 0.8          # share of the stated cold budget that is spent; the rest is for chance
RATE_MEMORY = 10 * SECOND  # memory of the rate of completed work
SKEW = 1.2                 # our part of a tenant's share over an equal one: halls are not equally busy
SPARE = 0.6                # of a worker's room and pace is open to what is worth least
PARKED = 8                 # activations a lane that may wait here for a load; more would be late in any case
CROWDED = 2.0              # times the usual load time at which the store counts as crowded
HOLD_PAUSE = SECOND        # after a load order for a function; about a load, so that it widens stop by stop
FORGET = 60 * SECOND       # a function unasked for so long is forgotten, to bound memory

NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT, Outcome.MISS)
FAILED = (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)


def point(text: str) -> int:
    return int.from_bytes(hashlib.md5(text.encode()).digest(), "big")


class Kind:
    """A namespace type as decisions use it, with what its activations have been seen to take."""

    def __init__(self, told: NamespaceType, best: float):
        self.target, self.effect = told.target_latency, told.effect
        self.group, self.span = told.group, told.memory_span
        self.typical = TYPICAL_START * told.target_latency      # ns from send to answer, copy standing
        self.grade = told.utility / best                        # over that of the type worth most
        self.work, self.units = 0.0, 1.0        # mean cost hint; what a call weighs: that hint in s, if any


class Function:
    """A function, its place on the ring and its turn in a round-robin."""

    def __init__(self, name: str, lanes: int, front_ends: int, load: int):
        self.name, self.lanes, self.load = name, lanes, load
        self.part = max(1, lanes // front_ends)     # ours of its lanes
        self.at = point(name)
        self.cells = [(self.at >> 32 * row) % SKETCH_WIDTH for row in range(SKETCH_DEPTH)]
        self.order: list[Worker] = []           # its walk, until the ring changes
        self.turn = self.asked = self.pause = 0     # pause: no load order before it
        self.parked: deque[Activation] = deque()    # waiting here for a load under way


class Worker:
    """What one front end knows of a worker."""

    def __init__(self, name: str):
        self.name, self.zone, self.cell, self.size, self.since, self.ready = name, "", 0, 1.0, 0, False
        self.points = sorted(point(f"{name}#{i}") for i in range(POINTS))
        self.sends: dict[Send, None] = {}       # ours in flight, oldest first
        self.warm: dict[str, int] = {}          # function: a copy is believed to stand until then
        self.loads: dict[str, int] = {}         # function: our load order out since
        self.spent: deque[tuple[int, float]] = deque()      # work sent lately, while cold
        self.heard = self.full = 0              # its last answer; answered full, passed over until then
        self.restarted()

    def restarted(self) -> None:
        """Back to a blank page: what we knew of copies, pace and failures was another process's."""
        self.warm.clear()
        self.strikes = self.suspensions = self.until = 0    # failures in a row; suspended until then
        self.trial = False                      # readmitted on trial: one send at a time
        self.pace = 0.0                         # its usual latency with a copy standing, over the target
        self.limit, self.cut = FIRST_LIMIT, 0   # sends in flight that it bears; last cut, 0 before any

    def holds(self, fn: Function, when: int) -> bool:
        return self.warm.get(fn.name, 0) > when

    def loading(self, fn: Function) -> bool:
        return fn.name in self.loads or self.calls(fn) > 0

    def calls(self, fn: Function) -> int:
        return sum(send.act.fn is fn for send in self.sends)


class Dispatcher:
    """One front end's decisions."""

    def __init__(self, seed: int, told: Deployment, now: int):
        self.chance = random.Random(seed).random
        best = max((each.utility for each in told.types), default=0.0) or 1.0
        self.kinds = {each.name: Kind(each, best) for each in told.types}
        self.margin = 2 * told.tick
        self.max_sends, self.may_cancel, self.may_twice = told.max_sends, told.may_cancel, told.may_duplicate
        self.advice, self.keep, self.loads_itself = told.longest_advice, told.idle_keep, told.loads_on_miss
        self.load_window, self.load_ratio = told.load_window or 1, told.load_ratio
        self.load_free = -1.0 if not told.may_order else told.load_free if told.load_window else float("inf")
        self.cold_share, self.cold_time, self.fall_time = told.cold_share, told.cold_time, told.fall_time
        self.cold_factor = COLD_SAFETY * told.fall_multiple * told.fall_time / SECOND
        self.shares = {each.name: int(SECOND * told.front_ends / SKEW / each.per_second)
                       for each in told.tenants if each.per_second > 0}     # ns a call within our part takes
        self.paid: dict[str, int] = {}          # until when a tenant's calls have used its share up
        self.workers: dict[str, Worker] = {}
        self.fleet: list[Worker] = []           # workers on the ring
        self.ring: list[tuple[int, Worker]] = []
        self.most_workers = 0
        self.functions: dict[str, Function] = {}
        # The window before is kept: with a reset's few counts all would look hot.
        self.sketch, self.before = ([[0] * SKETCH_WIDTH for _ in range(SKETCH_DEPTH)] for _ in range(2))
        self.seen = self.seen_before = self.in_flight = 0
        self.window_ends, self.next_round = now + SKETCH_WINDOW, now + ROUND
        self.budget = BUDGET_MOST / 2
        self.done, self.done_at = 0.0, now      # completed work, fading
        self.took, self.ordered = deque(), deque()  # times of activations and load orders in the window
        self.orders = self.cold_out = 0         # out: load orders, and sends with no copy believed there
        self.load_limit, self.load_cut = 0.0, 0     # how many of both the store bears; last cut
        self.load_base = float(LOAD_START)      # a load's time when the store is at ease
        self.front_ends = told.front_ends
        self.heap: list[tuple] = []             # (when, serial, what to call)
        self.serial = count()
        self.out: list[Step] = []

    def steps(self, decide, *args) -> list[Step]:
        decide(*args)
        out, self.out = self.out, []
        return out

    def due(self) -> int:
        return min(self.next_round, self.heap[0][0]) if self.heap else self.next_round

    def tick(self, now: int) -> list[Step]:
        while self.heap and self.heap[0][0] <= now:
            heapq.heappop(self.heap)[2](now)
        if self.next_round <= now:
            self.next_round = now + ROUND
            self.round(now)
        return self.steps(lambda: None)

    # The fleet

    def roster(self, now: int, listings: list[Listing], full: bool) -> list[Step]:
        named = {told.worker for told in listings}
        for told in listings:
            worker = self.workers.get(told.worker) or Worker(told.worker)
            self.workers[told.worker] = worker
            worker.zone, worker.cell, worker.size = told.zone, told.cell, max(told.size, 0.01)
            worker.ready = told.state is State.READY
            if told.since > worker.since:
                worker.since = told.since
                worker.restarted()
        for worker in self.workers.values():
            if full and worker.name not in named:
                worker.ready = False
        fleet = [worker for worker in self.workers.values() if worker.ready]
        if fleet != self.fleet:
            self.fleet = fleet
            self.ring = sorted(((at, one) for one in fleet for at in one.points), key=lambda pair: pair[0])
            for fn in self.functions.values():
                fn.order = []
            self.mean_size = sum(worker.size for worker in fleet) / max(1, len(fleet))
            self.most_workers = max(self.most_workers, len(fleet))
            self.load_limit = self.load_limit or max(2.0, len(fleet))
        return []

    def order(self, fn: Function) -> list[Worker]:
        """Distinct workers clockwise from the function's hash."""
        if not fn.order and self.ring:
            start = bisect.bisect(self.ring, fn.at, key=lambda each: each[0])
            fn.order = list(dict.fromkeys(
                self.ring[(start + i) % len(self.ring)][1] for i in range(len(self.ring))))
        return fn.order

    # Taking, placing

    def take(self, now: int, ivk: str, type_name: str, fn_name: str, left: int, *, tenant: str = "",
             work: int = 0, lanes: int = 1, load_time: int = 0, again: bool = False) -> Activation:
        fn = self.functions.get(fn_name) or Function(fn_name, max(1, lanes), self.front_ends, load_time)
        self.functions[fn_name], fn.asked = fn, now
        if now >= self.window_ends:
            self.before, self.seen_before = self.sketch, self.seen
            self.sketch, self.seen = [[0] * SKETCH_WIDTH for _ in range(SKETCH_DEPTH)], 0
            self.window_ends = now + SKETCH_WINDOW
        self.seen += 1
        for row, cell in zip(self.sketch, fn.cells, strict=True):
            row[cell] += 1
        self.took.append(now)
        self.recent(self.took, now)     # orders may be rare: without this the times would pile up
        kind = self.kinds[type_name]
        if work:
            kind.work += TREND * (work - kind.work) if kind.work else work
            kind.units = kind.work / SECOND
        act = Activation(self, ivk, kind, fn, now + max(0, left - self.margin), work,
                         again or self.beyond_share(tenant, now))
        heapq.heappush(self.heap, (act.due, next(self.serial), act.expire))
        return act

    def beyond_share(self, tenant: str, now: int) -> bool:
        """Whether this call is more than our part of what its tenant may ask, a second's worth saved up."""
        paid = max(self.paid.get(tenant, now - SECOND), now - SECOND)
        if tenant in self.shares and paid <= now:
            self.paid[tenant] = paid + self.shares[tenant]
        return paid > now

    def share(self, fn: Function) -> float:
        """Of recent calls, by the sketch; nothing on too few."""
        total = self.seen + self.seen_before
        return 0.0 if total < HOT_LEAST else min(now[cell] + old[cell] for now, old, cell in zip(
            self.sketch, self.before, fn.cells, strict=True)) / total

    def expected(self, act: Activation) -> float:
        """Usual latency of such a call where a copy stands."""
        hint = act.work / act.kind.work if act.work and act.kind.work else 1.0
        return act.kind.typical * (0.5 + 0.5 * hint)

    def cap(self, worker: Worker, now: int) -> float:
        """The design's cap, by told size; from one upwards for a worker that has just started."""
        cap = max(1.0, self.in_flight / len(self.fleet)) * (1 + EPSILON) * worker.size / self.mean_size
        return min(cap, 1.0 + max(0.0, cap - 1.0) * self.age(worker, now))

    def age(self, worker: Worker, now: int) -> float:
        """Share of its warming that a started worker has behind it, by the latest time stated."""
        return min(1.0, (now - worker.since) / self.cold_time) if worker.since and self.cold_time else 1.0

    def cold_room(self, worker: Worker, act: Activation, now: int) -> bool:
        """Whether our share of what a just started worker can take allows for one more.

        Assumes the least capacity the rule states, and for a warm worker no more than what completed here."""
        if self.age(worker, now) >= 1:
            return True
        while worker.spent and worker.spent[0][0] <= now - self.fall_time:
            worker.spent.popleft()
        able = self.cold_share + (1 - self.cold_share) * self.age(worker, now)
        budget = self.cold_factor * able * self.done / (RATE_MEMORY / SECOND) / max(1, self.most_workers)
        return not worker.spent or sum(work for _, work in worker.spent) + act.kind.units <= budget

    def fit(self, worker: Worker, act: Activation, now: int) -> bool:
        return max(worker.until, worker.full) <= now and self.cold_room(worker, act, now) and (
            not worker.trial or not worker.sends and act.kind.effect is not Effect.ONCE_ONLY)

    def room(self, worker: Worker, now: int, heft: float = 1.0) -> bool:
        """Under its cap, and not choking on what others send it, which our own count cannot show."""
        return len(worker.sends) < min(self.cap(worker, now), worker.limit) and worker.pace * heft <= EASE

    def place(self, act: Activation, now: int) -> Worker | None:
        """Home, or the walk's first stop with room; see docs/design.md for where warmth bends the walk."""
        fn = act.fn
        order = self.order(fn)
        fit = [worker for worker in order if self.fit(worker, act, now)]
        # A copy heard of since that send, as by our order after a 'miss', makes a worker worth trying again.
        tried = [send.worker for send in act.sends if not send.worker.holds(fn, send.at + self.keep)]
        stops = [worker for worker in fit if worker not in tried] or fit
        if not stops:
            # Everything looks bad: a shared cause, so suspensions are set aside; cold workers stay guarded.
            return next((worker for worker in order if self.cold_room(worker, act, now)), None)
        home, share = stops[0], self.share(fn)
        if share > HOT_SHARE:
            group, fn.turn = stops[:2 if share < 2 * HOT_SHARE else 3], fn.turn + 1
            shift = fn.turn % len(group)
            stops = group[shift:] + group[:shift] + stops[len(group):]
        first = stops[0]
        warm = [worker for worker in stops if worker.holds(fn, now)]
        if not warm:
            coming = next((worker for worker in stops if worker.loading(fn)), None)
            if coming is None and self.orders + self.cold_out < self.load_limit:
                return next((worker for worker in stops if self.room(worker, now)), home)
            # More calls waiting for a load than lanes would make the worker start copy after copy.
            if coming is not None and coming.calls(fn) < fn.part:
                return coming
            if len(fn.parked) < PARKED * fn.lanes and not act.spare:
                fn.parked.append(act)
            return None
        heft = max(1.0, self.expected(act) / act.kind.typical)      # heavy calls bear less company
        for worker in warm:
            if act.spare:
                if len(worker.sends) < SPARE * worker.limit and worker.pace <= SPARE * EASE:
                    return worker
            elif worker.calls(fn) < fn.part and (self.room(worker, now, heft) or (
                    worker is home and self.age(home, now) >= 1 and worker.pace * heft <= EASE and
                    len(worker.sends) < worker.limit)):
                chosen = worker
                break
        else:
            if act.spare:
                return None
            first = next((worker for worker in stops if worker not in warm and self.room(worker, now)), first)
            able = [one for one in warm if len(one.sends) < one.limit and one.pace * heft <= act.kind.grade]
            chosen = min(able, key=lambda worker: len(worker.sends) / worker.limit, default=None) or next(
                (worker for worker in stops if self.room(worker, now) and self.may_widen()), None)
            # Beyond our part of the lanes a worker would start a copy that few calls use: wait here instead.
            if len(fn.parked) < fn.lanes and any(worker.calls(fn) for worker in warm):
                fn.parked.append(act)
                chosen = None
        if first not in warm and chosen is not first and self.room(first, now):
            self.hold(first, fn, now)
        return chosen

    def may_widen(self) -> bool:
        """Half of the loads borne at once is left to functions that no copy stands for."""
        return self.orders + self.cold_out < self.load_limit / 2

    def recent(self, times: deque[int], now: int) -> int:
        while times and times[0] <= now - self.load_window:
            times.popleft()
        return len(times)

    def hold(self, worker: Worker, fn: Function, now: int) -> bool:
        """Every load order passes here: rationed by rule, paced by us, one a function at a time."""
        given, earned = self.recent(self.ordered, now), self.load_ratio * self.recent(self.took, now)
        if not worker.ready or fn.pause > now or not self.may_widen() or given + 1 > self.load_free + earned:
            return False
        worker.loads[fn.name] = now
        fn.pause = now + HOLD_PAUSE
        self.orders += 1
        self.ordered.append(now)
        self.out.append(Step(Do.HOLD, worker=worker.name, fn=fn.name, amount=1))
        return True

    def held(self, now: int, name: str, fn_name: str, outcome: Outcome, copies: int,
             waited: int) -> list[Step]:
        worker = self.workers[name]
        self.orders -= worker.loads.pop(fn_name, None) is not None
        if outcome is Outcome.COMPLETED and copies:
            worker.warm[fn_name] = now + self.keep
        return self.steps(self.wake, self.functions.get(fn_name), now)

    # Sending

    def may_send(self, act: Activation, worker: Worker, now: int) -> bool:
        """Rules 1 to 3 for one send; true only where nothing can happen twice that must not."""
        kind, maybe = act.kind, act.risky + [send for send in act.sends if send.out]
        if act.answered or act.begun or not worker.ready or act.due <= now or (
                len(act.sends) >= self.max_sends) or (act.out and not self.may_twice):
            return False
        return not maybe or kind.effect is Effect.REPEATABLE or kind.effect is Effect.DEDUPLICATED and all(
            (kind.group == "all" or getattr(send.worker, kind.group) == getattr(worker, kind.group))
            and now + self.margin < send.at + kind.span for send in maybe)

    def send(self, act: Activation, worker: Worker, now: int) -> bool:
        """Every send passes here."""
        if not self.may_send(act, worker, now):
            return False
        send = Send(act, len(act.sends), worker, now, worker.holds(act.fn, now))
        act.sends.append(send)
        act.out += 1
        worker.sends[send] = None
        self.in_flight += 1
        self.cold_out += not send.warm
        if self.age(worker, now) < 1:
            worker.spent.append((now, act.kind.units))
        self.out.append(Step(Do.SEND, act, worker.name))
        return True

    def go_on(self, act: Activation, now: int) -> None:
        """Place and send, or give up at once."""
        if act.answered:
            return
        worker = self.place(act, now)
        if act.fn.parked and act.fn.parked[-1] is act:
            return
        # Work done again, and load after load begun on one walk, would feed a storm: both are budgeted.
        cost = bool(act.risky) + (not worker.holds(act.fn, now)) if worker and act.sends else 0
        if worker is not None and self.budget >= cost and self.send(act, worker, now):
            self.budget -= cost
        elif not act.out:
            self.give_up(act, now)

    def wake(self, fn: Function | None, now: int) -> None:
        """Two of those parked go on for each answer, so that a fresh copy is not flooded at once."""
        for _ in range(min(2, len(fn.parked)) if fn else 0):
            self.go_on(fn.parked.popleft(), now)

    def give_up(self, act: Activation, now: int) -> None:
        """A rejection says that trying again is harmless, so it must be; else abort."""
        kind = act.kind
        harmless = kind.effect is Effect.REPEATABLE or not (act.risky or act.out) or (
            kind.effect is Effect.DEDUPLICATED and kind.group == "all")
        self.close(act, Do.REJECT if harmless else Do.ABORT)

    def close(self, act: Activation, how: Do | None) -> None:
        """The one place that gives a final answer; None where the client has it or wants none."""
        if act.answered:
            return
        act.answered = True
        if how is not None:
            self.out.append(Step(how, act, amount=self.advice if how is Do.REJECT else 0))
        for send in act.sends if self.may_cancel and not act.begun else ():
            if send.out:
                self.out.append(Step(Do.CANCEL, act, send.worker.name, amount=send.number))

    # What came of it

    def judge(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy, final: bool) -> None:
        if not send.out:
            return
        act, worker, fn = send.act, send.worker, send.act.fn
        send.out = False
        act.out -= 1
        self.in_flight -= 1
        self.cold_out -= not send.warm
        del worker.sends[send]
        if outcome not in NEVER_RAN:
            act.risky.append(send)
        self.learn(send, now, outcome, waited, copy)
        self.wake(fn, now)
        if final:
            self.close(act, None)
        if act.answered or act.out or act.begun:
            return
        if outcome is Outcome.MISS and not self.loads_itself and copy is not Copy.LOAD_FAILED and (
                self.hold(worker, fn, now) or fn.name in worker.loads):
            fn.parked.append(act)
        else:
            self.go_on(act, now)

    def learn(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy) -> None:
        worker, act, fn = send.worker, send.act, send.act.fn
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            worker.heard = now
        if outcome is Outcome.COMPLETED:
            worker.strikes, worker.suspensions, worker.trial = 0, 0, False
            worker.warm[fn.name] = now + self.keep
            self.budget = min(BUDGET_MOST, self.budget + BUDGET_SHARE)
            self.done *= max(0.0, 1 - (now - self.done_at) / RATE_MEMORY)
            self.done, self.done_at = self.done + act.kind.units, now
            if copy is Copy.FOUND or (copy is Copy.UNTOLD and send.warm):
                ratio = self.pace(send, waited, now)
                act.kind.typical *= 1 + TREND * (min(ratio, PATIENCE) - 1)
                if worker.pace <= EASE and len(worker.sends) + 1 >= worker.limit:
                    worker.limit += 1 / worker.limit if worker.cut else 1
            elif copy is Copy.BEGAN:
                self.load_base *= 1 - TREND if waited < self.load_base else 1 + TREND / 2
                self.crowd(waited > CROWDED * self.load_base, now)
                # Gone where we believed it stood: a release or a squeeze. Older beliefs on it are no better.
                for other in self.fleet if send.warm else ():
                    if other is not worker and other.warm.get(fn.name, 0) < send.at + self.keep:
                        other.warm.pop(fn.name, None)
        elif outcome is Outcome.CANCELLED and send.warm and waited > self.expected(act):
            # Given up on, it would have taken longer still: else a worker that seldom answers looks fast.
            self.pace(send, waited, now)
        elif outcome is Outcome.FULL:
            worker.full = now + CUT_PAUSE
            worker.pace += FRESH * (1.0 - worker.pace)
            self.ease(worker, now)
            if not send.warm:
                self.crowd(True, now)
        elif outcome is Outcome.MISS:
            worker.warm.pop(fn.name, None)
        elif copy is not Copy.LOAD_FAILED and outcome in FAILED:
            self.strike(worker, now)

    def pace(self, send: Send, waited: int, now: int) -> float:
        """Notes what one send took, for its weight, and eases the worker; returns it over the expected."""
        worker, kind = send.worker, send.act.kind
        ratio = waited / max(1.0, self.expected(send.act))
        worker.pace += FRESH * (min(1.0, kind.typical * ratio / kind.target) - worker.pace)
        if worker.pace > EASE:
            self.ease(worker, now)
        return ratio

    def crowd(self, crowded: bool, now: int) -> None:
        """Store and loaders are shared by all: lengthening or failing loads mean fewer at once."""
        if not crowded:
            self.load_limit = min(self.load_limit + 1 / self.load_limit, max(2.0, len(self.fleet)))
        elif now - self.load_cut >= CUT_PAUSE:
            self.load_limit, self.load_cut = max(2.0, CUT * self.load_limit), now

    def ease(self, worker: Worker, now: int) -> None:
        """Too much for it, whether small, slow, full or pressed by others: it gets fewer at a time."""
        if now - worker.cut >= CUT_PAUSE:
            worker.limit = max(1.0, CUT * min(worker.limit, len(worker.sends) + 1))
            worker.cut = now

    def strike(self, worker: Worker, now: int) -> None:
        """Fast failures and silence look idle to the cap: suspend, longer each time, then one trial."""
        worker.strikes += 1
        if worker.until > now or (worker.strikes < STRIKES and not worker.trial):
            return
        length = min(SUSPEND_MOST, SUSPEND << min(worker.suspensions, 8))
        worker.until = now + int(length * (0.75 + 0.5 * self.chance()))
        worker.suspensions, worker.trial = worker.suspensions + 1, True
        worker.warm.clear()

    def patience(self, send: Send) -> float:
        wait = max(PATIENCE * self.expected(send.act), EASE * send.act.kind.target)
        return wait if send.warm else wait + 2 * CROWDED * (send.act.fn.load or self.load_base)

    def round(self, now: int) -> None:
        """Looks for workers that answer nothing and moves what may be moved away from them."""
        for worker in self.workers.values():
            worker.limit += GROW * ROUND / SECOND if worker.cut else 0
            if now - worker.heard > 2 * ROUND:
                worker.pace *= PACE_FADE
            late = [send for send in worker.sends if now - send.at > self.patience(send)]
            if late and worker.heard < late[0].at and worker.until <= now:
                worker.strikes = STRIKES
                self.strike(worker, now)
            for send in late if worker.until > now or not worker.ready else ():
                self.move(send, now)
        for fn in sorted(self.functions.values(), key=lambda fn: -len(fn.parked)):
            if fn.parked and not any(worker.loading(fn) for worker in self.fleet):
                self.wake(fn, now)
            if now - fn.asked > FORGET:
                del self.functions[fn.name]

    def move(self, send: Send, now: int) -> None:
        """Off a suspended worker: cancel, so that the outcome brings the next send, or send a second."""
        act = send.act
        if act.answered or act.begun or act.out > 1 or act.kind.effect is not Effect.REPEATABLE or (
                self.budget < 1 or act.due <= now or len(act.sends) >= self.max_sends):
            return
        if self.may_twice:
            act.risky.append(send)      # it may be running, so the second send is budgeted
            self.go_on(act, now)
        elif self.may_cancel:
            self.out.append(Step(Do.CANCEL, act, send.worker.name, amount=send.number))
