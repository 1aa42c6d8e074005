"""Decides, for one front end, where each activation runs, when to send again and when to give up.

Make a Dispatcher(seed, deployment, now) and call roster() with each list of workers. take() gives an
Activation; call its start(), then returned() at each send's end and left() if the client quits. held() brings
answers to load orders; tick() is wanted when due() has come. Each returns the Steps to carry out, in order.
Interface: interface.py; what is remembered: state.py. Mechanism and departures from it: docs/design.md.
"""
from __future__ import annotations

import bisect
import heapq
import random
from collections import deque
from collections.abc import Iterator
from itertools import accumulate, chain, islice

from threadshift.interface import (
    MS, SECOND, Action, Activation, Copy, Deployment, Effect, Outcome, Report, Send, Step, WorkerListing,
    WorkerState)
from threadshift.ring import HashRing, pair_of_points
from threadshift.state import Function, Zone, TypeStats, DispatcherState, CountMinSketch, Worker

EPSILON = 0.25             # room above the mean in flight; middle of the design's 0.1 to 0.5
REACH = 16                 # fit stops that a walk looks at; past them a call is as badly off as at home
FAR_REACH = 128            # ready stops looked at where all look bad; with thousands, a walk around takes long
SKETCH_WIDTH, SKETCH_DEPTH = 4096, 4       # count-min cells a row, rows; the write-up's figures
SKETCH_WINDOW, SKETCH_LEAST = 10 * SECOND, 100     # time, the design's, and calls that pass before a reset
SKETCH_PRIOR = 50          # calls of nothing added to the sketch's total, as few calls make chance look hot
HOT_SHARE = 0.05           # of recent calls; the design's threshold; twice it earns the second successor
SLICE, KNOWN = 0.25, 2.0   # of a worker's mean load that a function brings to each stop; with one front end
KEPT = 3.0                 # calls by others, within the time an idle copy stays, that are taken to keep one
REPORT_KEEP, FRESH_FOR = 3 * SECOND, 300 * MS      # a report counts so long; no new one is asked for so long
WAITING, SILENT, PINNED = 2.0, 2.0, 10.0   # calls waiting that press; load if silent; calls that fill memory
CORES_FREE = 0.9           # share of cores at work below which no call waits for one
IDLE = 0.6                 # share of cores at work below which a worker that loads is silent for that alone
HELD = 2.0                 # calls held, when told, that press no worker
SEEN = 0.5                 # calls of ours in flight a worker, from which our counts say more than reports
ASKS, ASK_WAIT, UNTOLD = 4, 30 * MS, 40    # stops asked a call; later, it is busy; so many told none: no more
TELLS, ASKED = 0.1, 2.0     # weight of a report in the share that tells of press; questions by that share
TURNS, GOLDEN = 1 << 20, 0.6180339887  # where front ends' turns begin, by chance; step, even at any length
PROBED = 100 * MS          # for an answer from a worker that seems silent; far above a network's delay
ROUND = 100 * MS           # period of the health round; a small part of any target latency in sight
TYPICAL_START, LOAD_START = 0.25, SECOND   # until seen: usual share of the target latency, a load's time
PATIENCE, EASE = 4, 0.45   # times the expected until overdue, 98% are in; of the target that answers may take
TREND, FRESH = 0.03, 0.15  # weight of the newest answer in what is usual for all, in a worker's pace
PACE_HALF = 3.5 * SECOND   # without an answer half of a pace is left after this; then it is tried again
FIRST_LIMIT, GROW = 4.0, 1.0   # sends in flight at a worker until it shows what it bears; a second regained
CUT, CUT_PAUSE = 0.85, 200 * MS    # left by a cut, as answers vary; between two, so one queue cuts once
STRIKES, SUSPEND, SUSPEND_MOST = 2, 500 * MS, 8 * SECOND   # failures that suspend; first and longest time
DOUBT = 3                  # workers of a hall that failed since any of it answered: the hall is in doubt
BUDGET_SHARE, BUDGET_MOST = 0.1, 10.0      # further sends earned by a completed one, saved up; bounds storms
COLD_RATE, COLD_BURST = 0.5, 0.2   # of the stated cold budget: earned a stretch, saved up; rest for chance
RATE_MEMORY = 10 * SECOND  # memory of the rate of completed work
SKEW, SPARE = 1.2, 0.6     # our part of a tenant's share over an equal one; of pace, open to the least worth
SAVED, PARKED = 12, 8      # calls of a share saved up for chance; calls a lane that may wait for a load
NAMES, LEFT = 20_000, 16   # functions remembered; workers gone that are remembered, or as many as are ready
SOON = 0.5                 # of the usual load time: with less time left no load that has not begun can serve
ADVICE = 0.5               # of the longest advice is by chance: all told the same, they come back as one
LOADS, WIDEN = 3.0, 0.5    # loads at once a worker, by all front ends; of them, open to further copies
CROWDED, LEAST_LOADS = 2.0, 0.1    # times the usual load time that tell a crowded store; ours at once, then

NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_SENT, Outcome.MISS)
FAILED = (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)


class Dispatcher(DispatcherState):
    """One front end's decisions."""

    def __init__(self, seed: int, told: Deployment, now: int):
        super().__init__(completed_work_at=now)
        self.random = random.Random(seed).random
        best = max((each.utility for each in told.types), default=0.0) or 1.0
        self.types = {
            each.name: TypeStats(each.target_latency, each.effect, each.dedup_scope, each.dedup_window,
                                 each.utility / best, TYPICAL_START * each.target_latency)
            for each in told.types}
        self.deadline_margin, self.front_ends, self.idle_keep_alive = (
            2 * told.tick, told.front_ends, told.idle_keep_alive)
        self.max_sends, self.may_cancel, self.may_duplicate = (
            told.max_sends, told.may_cancel, told.may_duplicate)
        # caps of all together bound no load
        self.has_many_front_ends = told.front_ends * (1 + EPSILON) > FIRST_LIMIT
        # own hall first, others being priced
        self.preferred_zone = told.zone if told.cross_zone_fee and self.has_many_front_ends else None
        self.max_retry_after, self.loads_on_miss = told.max_retry_after, told.loads_on_miss
        self.load_window, self.load_ratio = told.load_window or 1, told.load_ratio
        self.min_load_limit = min(1.0, max(LEAST_LOADS, LOADS / told.front_ends))  # when crowded
        self.load_free = (
            -1.0 if not told.may_order_loads else told.load_free if told.load_window else float("inf"))
        self.cold_share, self.cold_time, self.fall_time = told.cold_share, told.cold_time, told.fall_time
        self.cold_factor = told.fall_multiple * told.fall_time / RATE_MEMORY
        self.share_intervals = {each.name: int(SECOND * told.front_ends / SKEW / each.per_second)    # ns a call takes
                       if each.per_second > 0 else 0 for each in told.tenants}      # within our part; 0: any
        self.probe_allowance, self.may_probe = (
            UNTOLD if told.may_probe and self.has_many_front_ends else 0, told.may_probe)
        self.previous_sketch, self.sketch = (
            CountMinSketch(SKETCH_DEPTH, SKETCH_WIDTH, now) for _ in range(2))
        self.next_health_round, self.retry_budget, self.typical_load_time = (
            now + ROUND, BUDGET_MOST / 2, float(LOAD_START))

    def collect_steps(self, decide, *args) -> list[Step]:
        decide(*args)
        out, self.pending_steps = self.pending_steps, []
        return out

    def due(self) -> int:
        while self.timers and self.timers[0][2].answered:
            heapq.heappop(self.timers)
        return min(self.next_health_round, self.timers[0][0]) if self.timers else self.next_health_round

    def tick(self, now: int) -> list[Step]:
        while self.timers and self.timers[0][0] <= now:
            self.on_timeout(heapq.heappop(self.timers)[2], now)
        return self.collect_steps(self.run_health_round, now)

    def shorten_deadlines(self, last: int) -> None:
        """This front end ends: none may be owed an answer past `last`, as nobody would give it."""
        for _, _, act in self.timers:
            act.answer_due = min(act.answer_due, last - self.deadline_margin)
        self.timers = [(min(at, act.answer_due), number, act) for at, number, act in self.timers]
        heapq.heapify(self.timers)

    def on_timeout(self, act: Activation, now: int) -> None:
        """Its own time is up, or it waited long enough for a worker's report, which tells that it is busy."""
        if now >= act.answer_due and not act.answer_started:
            self.give_up(act, now)
        elif act.awaited_worker is not None and not act.answered and (
                now - act.awaited_worker.last_probe_at >= ASK_WAIT):
            act.awaited_worker.reported_load, act.awaited_worker.load_updated_at = SILENT, now
            self.dispatch(act, now)

    def update_workers(self, now: int, listings: list[WorkerListing], full: bool) -> list[Step]:
        for worker in self.workers.values() if full else ():
            worker.ready, worker.gone = False, True
        for told in listings:
            worker = self.workers.get(told.worker)
            if worker is None:
                worker = self.workers[told.worker] = Worker(told.worker, in_flight_limit=FIRST_LIMIT)
            worker.zone, worker.cell, worker.size = told.zone, told.cell, max(told.size, 0.01)
            self.zones.setdefault(told.zone, Zone())
            worker.ready, worker.gone = told.state is WorkerState.READY, told.state is WorkerState.GONE
            if told.started_at > worker.started_at:
                worker.started_at = told.started_at
                worker.warm_until.clear()     # what we knew was of another process
                worker.consecutive_failures = worker.consecutive_suspensions = (
                    worker.suspended_until) = worker.limit_cut_at = 0
                worker.relative_latency, worker.in_flight_limit, worker.cold_credit, worker.load_updated_at = (
                    0.0, FIRST_LIMIT, -1.0, 0)
        self.ready_workers = [worker for worker in self.workers.values() if worker.ready]
        self.place_on_ring(listings)
        self.mean_size = sum(worker.size for worker in self.ready_workers) / max(1, len(self.ready_workers))
        self.max_ready_workers = max(self.max_ready_workers, len(self.ready_workers))
        self.max_loads = max(1.0, len(self.ready_workers) * min(1.0, LOADS / self.front_ends))
        self.load_limit = self.load_limit or self.max_loads
        return []

    def place_on_ring(self, listings: list[WorkerListing]) -> None:
        """Adds the points of new workers; those of unready ones are passed over. Workers whose names never come back
        are forgotten once they are many: walks would pass over ever more of them."""
        if len(self.workers) - len(self.ready_workers) > max(LEFT, len(self.ready_workers)):
            self.forget_gone_workers()
        added = [worker for told in listings if (worker := self.workers.get(told.worker)) is not None
                 and worker.ready and worker.ring_number < 0]
        if self.ring.is_full:
            self.ring, added = HashRing(), list(self.workers.values())
        for worker in added:
            worker.ring_number = self.ring.add(worker.name, worker)
        if self.ring.drop_removed_entries() or added:
            self.ring_version += 1

    def forget_gone_workers(self) -> None:
        left = [worker for worker in self.workers.values() if worker.gone and not (
            worker.sends or worker.load_orders or worker.open_probes)]
        if len(left) <= max(LEFT, len(self.ready_workers)):
            return
        for worker in left:
            del self.workers[worker.name]
            if worker.ring_number >= 0:
                self.ring.remove(worker.ring_number)
        self.ring_version += 1

    def clockwise_workers(self, fn: Function) -> Iterator[Worker]:
        """Distinct ready workers clockwise from its hash, worked out no further than asked for."""
        if fn.ring_version != self.ring_version:
            fn.candidates, fn.ring_version = {}, self.ring_version
            fn.cursor = self.ring.after(fn.ring_point)
        yield from [worker for worker in fn.candidates if worker.ready]
        # Once all have come it ends: the points that are left, most of them, are of workers that came before.
        while len(fn.candidates) < self.ring.members:
            worker, fn.cursor = self.ring.next(fn.cursor)
            if worker is not None and worker not in fn.candidates:
                fn.candidates[worker] = None
                if worker.ready:
                    yield worker

    def admit(self, now: int, ivk: str, type_name: str, fn_name: str, left: int, *, tenant: str = "",
             cost_hint: int = 0, lanes: int = 1, load_time: int = 0, is_client_retry: bool = False) -> Activation:
        fn = self.functions.pop(fn_name, None)
        if fn is None:
            at, spread = pair_of_points(fn_name)
            fn = Function(
                fn_name, max(1, lanes), max(1, lanes // self.front_ends), load_time, at,
                self.sketch.cells_of(spread), turn=int(self.random() * TURNS))
        fn.turn += 1
        self.functions[fn_name] = fn    # the latest called stands last; the first go when they are too many
        while len(self.functions) > NAMES:
            for act in self.parked_activations(self.functions.pop(next(iter(self.functions)))):
                self.give_up(act, now)
        if now - self.sketch.started_at >= SKETCH_WINDOW and self.sketch.total >= SKETCH_LEAST:
            self.previous_sketch, self.sketch = self.sketch, CountMinSketch(SKETCH_DEPTH, SKETCH_WIDTH, now)
            for worker in self.workers.values():
                worker.warm_until = {name: until for name, until in worker.warm_until.items() if until > now}
        self.sketch.add(fn.sketch_cells)
        self.recent_admissions.append(now)
        # orders may be rare: without this the times would pile up
        self.count_recent(self.recent_admissions, now)
        kind = self.types[type_name]
        if cost_hint:
            kind.mean_cost_hint += (
                TREND * (cost_hint - kind.mean_cost_hint) if kind.mean_cost_hint else cost_hint)
            kind.mean_cost = kind.mean_cost_hint / SECOND
        self.mean_cost += TREND * (kind.mean_cost - self.mean_cost) if self.mean_cost else kind.mean_cost
        self.update_spread(fn, kind, now)
        act = Activation(self, ivk, kind, fn, now, now + max(0, left - self.deadline_margin), cost_hint,
                         is_client_retry or self.exceeds_share(tenant, now), fn.turn)
        heapq.heappush(self.timers, (act.answer_due, self.next_serial(), act))
        return act

    def exceeds_share(self, tenant: str, now: int) -> bool:
        """Whether this is more than our part of what its tenant may ask; some are saved up for chance."""
        pays = self.share_intervals.get(tenant)
        if not pays:        # calls of nobody are worth least, where there are shares; else names are not kept
            return pays is None and bool(self.share_intervals)
        paid = max(self.share_used_until.get(tenant, -SECOND), now - max(SECOND, SAVED * pays))
        if paid <= now:
            self.share_used_until[tenant] = paid + pays
        return paid > now

    def update_spread(self, fn: Function, kind: TypeStats, now: int) -> None:
        """Over how many stops: when hot, by the sketch, two or three, or by its part of the fleet's work.

        The less one front end sees, the thinner: all would send to the same three of a hundred workers. And
        where it sees little of a stop, what all others send there keeps a copy: the ring is evidence."""
        seen = self.previous_sketch.estimate(fn.sketch_cells) + self.sketch.estimate(fn.sketch_cells)
        share = (seen - 1) / (self.previous_sketch.total + self.sketch.total + SKETCH_PRIOR)
        part = share * len(self.ready_workers) * kind.mean_cost / self.mean_cost
        fn.spread = max(1 + (share > HOT_SHARE) + (share > 2 * HOT_SHARE),
                       round(part / max(SLICE, KNOWN / self.front_ends)))
        ours = seen * self.idle_keep_alive / max(
            self.idle_keep_alive, now - self.previous_sketch.started_at, 1) / fn.spread
        fn.kept_warm_by_others = ours <= 1 and ours * (self.front_ends - 1) >= KEPT

    def expected_latency(self, act: Activation) -> float:
        hint = act.cost_hint / act.type_stats.mean_cost_hint if (
            act.cost_hint and act.type_stats.mean_cost_hint) else 1.0
        return act.type_stats.typical_latency * (0.5 + 0.5 * hint)

    def in_flight_cap(self, worker: Worker, now: int) -> float:
        """The design's cap, by told size; from one upwards for a worker that has just started."""
        cap = max(1.0, len(self.in_flight) / len(self.ready_workers)) * (
            1 + EPSILON) * worker.size / self.mean_size
        return min(cap, 1.0 + max(0.0, cap - 1.0) * self.warmup_progress(worker, now))

    def warmup_progress(self, worker: Worker, now: int) -> float:
        # share of its warming that is over, at the latest
        return min(1.0, (now - worker.started_at) / self.cold_time) if (
            worker.started_at and self.cold_time) else 1.0

    def has_cold_capacity(self, worker: Worker, act: Activation, now: int) -> bool:
        """Our part of what a just started worker can surely take is earned over time, from a point drawn by
        chance: one send at once from each front end would push it over. Unknown: one a stretch by all."""
        age, mean, units = self.warmup_progress(worker, now), act.type_stats.mean_cost, self.cold_cost(act)
        if age >= 1:
            return True
        able = (self.cold_share + (1 - self.cold_share) * age) * min(1.0, worker.size / self.mean_size)
        budget = self.cold_factor * able * self.completed_work / self.max_ready_workers
        if worker.cold_credit < 0:
            worker.cold_credit, worker.credit_updated_at = mean * self.random(), now
        gain = max(COLD_RATE * budget, mean / self.front_ends) * (
            now - worker.credit_updated_at) / self.fall_time
        worker.cold_credit, worker.credit_updated_at = (
            min(max(units, COLD_BURST * budget), worker.cold_credit + gain), now)
        return worker.cold_credit >= units

    def cold_cost(self, act: Activation) -> float:     # on a cold worker; by its own hint where that says more
        return max(act.type_stats.mean_cost, act.cost_hint / SECOND)

    def apply_elapsed_time(self, worker: Worker, now: int) -> None:
        """What time alone does: limits recover, and a pace not heard of for a while fades."""
        passed, worker.adjusted_at = now - worker.adjusted_at, now
        worker.in_flight_limit += GROW * passed / SECOND if worker.limit_cut_at else 0
        if now - worker.last_answer_at > ROUND and worker.relative_latency:
            worker.relative_latency *= 0.5 ** (passed / PACE_HALF)

    def is_eligible(self, worker: Worker, act: Activation, now: int) -> bool:
        self.apply_elapsed_time(worker, now)
        hall, trial = self.zones[worker.zone], act.type_stats.effect is not Effect.ONCE_ONLY
        return worker.suspended_until <= now and hall.suspended_until <= now and self.has_cold_capacity(
                worker, act, now) and (
            # Suspended before, it is on trial: one repeatable send at a time until an answer. So is its hall.
            not worker.consecutive_suspensions or not worker.sends and trial) and (
            not hall.consecutive_suspensions or trial and all(
                send.worker.zone != worker.zone for send in self.in_flight))

    def has_capacity(self, worker: Worker, now: int, heft: float = 1.0) -> bool:
        return len(worker.sends) < min(self.in_flight_cap(worker, now), worker.in_flight_limit) and (
            self.pressure(worker, now) * heft <= 1)

    @property
    def relies_on_reports(self) -> bool:
        """Whether our own counts say little of a worker's load: many front ends, few calls of ours a worker.

        Else reports, late and rough, bar workers that our own counts and answers show to be free."""
        return self.has_many_front_ends and len(self.in_flight) < SEEN * len(self.ready_workers)

    def pressure(self, worker: Worker, now: int) -> float:
        """How hard others press it, 1 being what it should carry, by its answers and its last report."""
        return max(worker.relative_latency / EASE, worker.reported_load if (
            self.relies_on_reports and now - worker.load_updated_at < REPORT_KEEP) else 0.0)

    def is_warm_for(self, worker: Worker, fn: Function, now: int) -> bool:   # by our own calls, or by others'
        return worker.has_copy(fn, now) or fn.kept_warm_by_others and worker in fn.primaries

    def ring_candidates(self, fn: Function) -> Iterator[Worker]:     # the stops that are looked at
        return islice(self.clockwise_workers(fn), fn.spread + REACH)

    def has_second_copy(self, fn: Function, now: int) -> bool:   # whether a second copy could serve instead
        standing = (worker for worker in self.ring_candidates(fn) if self.is_warm_for(worker, fn, now))
        return len(list(islice(standing, 2))) == 2

    def choose_worker(self, act: Activation, now: int) -> Worker | None:
        fn, stops, chosen = act.function, [], None
        ready = list(self.ring_candidates(fn))
        group = ready[:fn.spread]
        fn.primaries = dict.fromkeys(group)
        near = [worker for worker in group if worker.zone == self.preferred_zone]
        # far ones are for what overflows
        near, far = near or group, [
            worker for worker in group if worker.zone != self.preferred_zone] if near else []
        sizes = list(accumulate(worker.size for worker in near)) or [0.0]   # in turn, the larger more often
        shift = min(bisect.bisect(sizes, act.turn * GOLDEN % 1.0 * sizes[-1]), len(sizes) - 1)
        on = act.turn % max(1, len(far))
        # Heard of a copy since, as by our order after a 'miss', a worker is worth trying again.
        tried = [send.worker for send in act.sends if not send.worker.has_copy(
            fn, send.sent_at + self.idle_keep_alive)]
        heft = max(1.0, self.expected_latency(act) / act.type_stats.typical_latency) / (
            SPARE if act.low_priority else 1.0)
        turned = (one for one in chain(
            near[shift:], near[:shift], far[on:], far[:on], ready[fn.spread:]) if one not in tried)
        fit = (one for one in chain(turned, tried) if one.ready and self.is_eligible(one, act, now))
        for worker in islice(fit, REACH):
            if stops and worker in tried:
                break
            stops.append(worker)
            home = group[0] if fn.spread > 1 else stops[0]
            if self.is_warm_for(worker, fn, now) and worker.count_sends(fn) < fn.own_lanes and (
                    not act.low_priority or len(worker.sends) < SPARE * worker.in_flight_limit) and (
                    self.has_capacity(worker, now, heft) or worker is home and self.warmup_progress(home, now) >= 1
                    and self.pressure(home, now) * heft <= 1 and len(worker.sends) < worker.in_flight_limit):
                chosen = worker
                break
        if not stops:
            # All look bad, by a shared cause: suspensions are set aside; cold workers stay guarded.
            return next((worker for worker in islice(self.clockwise_workers(fn), FAR_REACH)
                         if self.has_cold_capacity(worker, act, now)), None)
        first, warm = stops[0], [worker for worker in stops if self.is_warm_for(worker, fn, now)]
        if not warm:
            coming = next((worker for worker in stops if worker.is_loading(fn)), None)
            if coming is None and self.may_load(now):
                # Not home: spread over more stops, home may be no stop at all, cold or suspended.
                return next((worker for worker in stops if self.has_capacity(worker, now)), first)
            if coming is None and self.cannot_load_in_time(act, now):
                return None
            if coming is not None and coming.count_sends(fn) < fn.own_lanes:
                return coming
            if len(self.parked_activations(fn)) < PARKED * fn.lanes and not act.low_priority:
                fn.parked.append(act)   # more waiting there than lanes would bring copy after copy
            return None
        if chosen is None:
            if act.low_priority:
                return None
            first = next(
                (worker for worker in stops if worker not in warm and self.has_capacity(worker, now)), first)
            able = [one for one in warm if len(one.sends) < one.in_flight_limit * (
                SPARE if act.low_priority else 1.0) and self.pressure(one, now) * heft * EASE <= (
                1.0 if self.relies_on_reports else act.type_stats.relative_utility)]
            able.sort(key=lambda one: (
                self.relies_on_reports and self.pressure(one, now), len(one.sends) / one.in_flight_limit))
            chosen = able[0] if able else next(
                (worker for worker in stops if self.has_capacity(worker, now) and self.may_load(now, WIDEN)), None)
            if len(self.parked_activations(fn)) < fn.lanes and any(worker.count_sends(fn) for worker in warm):
                fn.parked.append(act)   # sent on, it would make the worker start a copy that few calls use
                chosen = None
        if first not in warm and chosen is not first and self.has_capacity(first, now):
            self.order_load(first, fn, now)
        return chosen

    def cannot_load_in_time(self, act: Activation, now: int) -> bool:
        """Whether it could only wait for its time to end: no load is under way, and none could be in time."""
        return act.answer_due - now < SOON * (act.function.load_time or self.typical_load_time)

    def may_load(self, now: int, part: float = 1.0) -> bool:
        room, out = self.load_limit * part, self.open_load_orders + self.open_cold_sends
        # Room for less than one: one at a time, then none for as long as makes up for it. A least of one
        # each, by all together, is what crowds a store.
        return out < room if room >= 1 else (
            not out and now - self.last_load_at >= self.typical_load_time * (1 / room - 1))

    def count_recent(self, times: deque[int], now: int) -> int:
        while times and times[0] <= now - self.load_window:
            times.popleft()
        return len(times)

    def order_load(self, worker: Worker, fn: Function, now: int) -> bool:
        """Every load order passes here: rationed by rule, paced by us, one a function at a time."""
        most = self.load_free + self.load_ratio * self.count_recent(self.recent_admissions, now)
        if not worker.ready or fn.next_order_at > now or fn.name in worker.load_orders or not self.may_load(
                now, WIDEN) or (
                self.count_recent(self.recent_load_orders, now) + 1 > most):
            return False
        worker.load_orders.add(fn.name)
        self.workers_with_orders[worker] = None
        fn.next_order_at = now + int(fn.load_time or self.typical_load_time)
        self.open_load_orders, self.last_load_at = self.open_load_orders + 1, now
        self.recent_load_orders.append(now)
        self.pending_steps.append(Step(Action.LOAD, worker=worker.name, function=fn.name, amount=1))
        return True

    def on_load_ended(self, now: int, name: str, fn_name: str, outcome: Outcome, copies: int) -> list[Step]:
        worker = self.workers[name]
        self.open_load_orders -= fn_name in worker.load_orders
        worker.load_orders.discard(fn_name)
        if not worker.load_orders:
            self.workers_with_orders.pop(worker, None)
        if outcome is Outcome.COMPLETED and copies:
            worker.warm_until[fn_name] = now + self.idle_keep_alive
        return self.collect_steps(self.resume_parked, self.functions.get(fn_name), now)

    def may_send(self, act: Activation, worker: Worker, now: int) -> bool:
        """Rules 1 to 3 for one send; true only where nothing can happen twice that must not."""
        kind, maybe = act.type_stats, self.all_possible_runs(act)
        if act.answered or act.answer_started or not worker.ready or act.answer_due <= now or (
                len(act.sends) >= self.max_sends) or (act.open_send_count and not self.may_duplicate):
            return False
        return not maybe or kind.effect is Effect.REPEATABLE or kind.effect is Effect.DEDUPLICATED and all(
            (kind.dedup_scope == "all" or getattr(send.worker, kind.dedup_scope) == getattr(worker, kind.dedup_scope))
            and now + self.deadline_margin < send.sent_at + kind.dedup_window for send in maybe)

    def all_possible_runs(self, act: Activation) -> list[Send]:     # sends that may have run, or may run yet
        return act.possible_runs + [send for send in act.sends if send.is_open]

    def send(self, act: Activation, worker: Worker, now: int) -> bool:   # every send passes here
        if not self.may_send(act, worker, now):
            return False
        # A repeat that waits for its connection must have left while the earlier ones are remembered.
        spans = [one.sent_at + act.type_stats.dedup_window - self.deadline_margin - now
                 for one in self.all_possible_runs(act)]
        wait = min(spans, default=0) if act.type_stats.effect is Effect.DEDUPLICATED else 0
        send = Send(act, len(act.sends), worker, now, self.is_warm_for(worker, act.function, now))
        act.sends.append(send)
        worker.sends[send] = self.in_flight[send] = None
        act.open_send_count, self.open_cold_sends = act.open_send_count + 1, self.open_cold_sends + (not send.warm)
        self.last_load_at = self.last_load_at if send.warm else now
        worker.cold_credit = max(0.0, worker.cold_credit - self.cold_cost(act))
        self.pending_steps.append(Step(Action.SEND, act, worker.name, amount=wait))
        return True

    def dispatch(self, act: Activation, now: int) -> None:
        act.awaited_worker, fn = None, act.function
        worker = None if act.answered else self.choose_worker(act, now)
        if act.answered or fn.parked and fn.parked[-1] is act or worker and self.await_report(worker, act, now):
            return
        # Work done again, and load after load begun on one walk, would feed a storm: both are budgeted.
        cost = bool(act.possible_runs) + (not self.is_warm_for(worker, fn, now)) if worker and act.sends else 0
        if worker is not None and self.retry_budget >= cost and self.send(act, worker, now):
            self.retry_budget -= cost
        elif not act.open_send_count:
            self.give_up(act, now)

    def resume_parked(self, fn: Function | None, now: int) -> None:
        """Two of those parked go on for each answer, so that a fresh copy is not flooded at once."""
        for act in self.parked_activations(fn)[:2] if fn else ():
            fn.parked.remove(act)
            self.dispatch(act, now)

    def parked_activations(self, fn: Function) -> list[Activation]:
        """Those parked that still wait: answered ones, and ones that left, must take no place and no turn."""
        if any(act.answered for act in fn.parked):
            fn.parked = deque(act for act in fn.parked if not act.answered)
        return list(fn.parked)

    def give_up(self, act: Activation, now: int) -> None:
        """A rejection says that trying again is harmless, so it must be; else abort."""
        safe = act.type_stats.effect is Effect.REPEATABLE or act.type_stats.effect is Effect.DEDUPLICATED and (
            act.type_stats.dedup_scope == "all")
        self.finish(act, Action.REJECT if safe or not (act.possible_runs or act.open_send_count) else Action.ABORT)

    def on_client_gone(self, act: Activation) -> None:
        """Its client is gone. It earns no load orders: hundreds withdrawn at once would widen the ration."""
        if not act.answered and act.admitted_at in self.recent_admissions:
            self.recent_admissions.remove(act.admitted_at)
        self.finish(act, None)

    def finish(self, act: Activation, how: Action | None) -> None:
        """The one place that gives a final answer; None where the client has it or wants none."""
        if act.answered:
            return
        act.answered = True
        if how:
            told = self.max_retry_after * (1 - ADVICE * self.random()) if how is Action.REJECT else 0
            self.pending_steps.append(Step(how, act, amount=int(told)))
        for send in act.sends if self.may_cancel and not act.answer_started else ():
            if send.is_open:
                self.pending_steps.append(Step(Action.CANCEL, act, send.worker.name, amount=send.number))

    def on_send_ended(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy, final: bool,
              report: Report | None) -> None:
        act, worker, fn = send.activation, send.worker, send.activation.function
        if not send.is_open:
            return
        send.is_open, act.open_send_count, self.open_cold_sends = (
            False, act.open_send_count - 1, self.open_cold_sends - (not send.warm))
        del worker.sends[send], self.in_flight[send]
        self.record_report(worker, now, report)
        self.update_estimates(send, now, outcome, waited, copy)
        if outcome not in NEVER_RAN:
            act.possible_runs.append(send)
        self.resume_parked(fn, now)
        if final:
            self.finish(act, None)
        elif act.answered or act.open_send_count or act.answer_started:
            return
        elif outcome is Outcome.ERROR and len(act.possible_runs) > 1 and not fn.last_completed_at:
            # Never completed, failed by two workers: names made up would use up what may be sent again.
            self.give_up(act, now)
        elif outcome is Outcome.MISS and not self.loads_on_miss and copy is not Copy.LOAD_FAILED and (
                self.order_load(worker, fn, now) or fn.name in worker.load_orders):
            fn.parked.append(act)
        else:
            self.dispatch(act, now)

    def update_estimates(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy) -> None:
        worker, act, fn = send.worker, send.activation, send.activation.function
        self.apply_elapsed_time(worker, now)
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            worker.last_answer_at, hall = now, self.zones[worker.zone]
            hall.failed_workers.clear()
            hall.consecutive_suspensions = hall.suspended_until = 0
        if outcome is Outcome.COMPLETED:
            worker.consecutive_failures = worker.consecutive_suspensions = 0
            worker.warm_until[fn.name], fn.last_completed_at = now + self.idle_keep_alive, now
            self.retry_budget = min(BUDGET_MOST, self.retry_budget + BUDGET_SHARE)
            self.completed_work *= max(0.0, 1 - (now - self.completed_work_at) / RATE_MEMORY)
            self.completed_work, self.completed_work_at = self.completed_work + act.type_stats.mean_cost, now
            if copy is Copy.FOUND or (copy is Copy.UNKNOWN and send.warm):
                ratio = self.record_latency(send, waited, now)
                act.type_stats.typical_latency *= 1 + TREND * (min(ratio, PATIENCE) - 1)
                if worker.relative_latency <= EASE and len(worker.sends) + 1 >= worker.in_flight_limit:
                    worker.in_flight_limit += 1 / worker.in_flight_limit if worker.limit_cut_at else 1
            elif copy is Copy.LOAD_STARTED:
                self.typical_load_time *= 1 - TREND if waited < self.typical_load_time else 1 + TREND / 2
                self.adjust_load_limit(waited > CROWDED * self.typical_load_time, now)
        elif outcome is Outcome.CANCELLED and send.warm and waited > self.expected_latency(act):
            self.record_latency(send, waited, now)    # longer still: else one that seldom answers looks fast
        elif outcome is Outcome.FULL:
            worker.suspended_until = max(worker.suspended_until, now + CUT_PAUSE)
            worker.relative_latency += FRESH * (1.0 - worker.relative_latency)
            self.cut_in_flight_limit(worker, now)
            if not send.warm:
                self.adjust_load_limit(True, now)
        elif outcome is Outcome.MISS:
            worker.warm_until.pop(fn.name, None)
        elif copy is not Copy.LOAD_FAILED and outcome in FAILED and not (
                # A function that nobody serves, or a call that failed before, would suspend the whole fleet.
                outcome is Outcome.ERROR and (act.possible_runs or not fn.last_completed_at)):
            self.record_failure(worker, now)

    def record_report(self, worker: Worker, now: int, report: Report | None) -> None:
        """Load: calls that wait, or are held, but for loads, over the usual; less as answers lengthen."""
        told = (report.held, report.pinned and PINNED * report.pinned, report.waiting) if report else ()
        if (held := next((each for each in told if each is not None), None)) is None:
            return
        rate, loading = self.mean_size / worker.size, report.loading or 0.0
        if report.busy is not None and report.busy < CORES_FREE:
            # Cores are free, so who waits waits for a load, several behind each: not pressed by those.
            loading = max(loading, report.waiting or 0.0)
        load, waits = (max(0.0, each - loading) * rate for each in (held, report.waiting or 0.0))
        part = min(1 + EPSILON, *(EASE * kind.target_latency / kind.typical_latency for kind in self.types.values()))
        worker.reported_load, worker.load_updated_at = (
            max(load / max(HELD, self.mean_reported_load * part), waits / WAITING), now)
        self.mean_reported_load += TREND * (load - self.mean_reported_load)
        self.pressure_share += TELLS * ((worker.reported_load > 1) - self.pressure_share)

    def await_report(self, worker: Worker, act: Activation, now: int) -> bool:
        """Whether the activation waits a moment for a report, where the last one is too old to go by."""
        if not self.relies_on_reports or min(self.probe_allowance, ASKS - act.probe_count) <= 0 or (
                now - max(worker.load_updated_at, worker.last_probe_at) < FRESH_FOR) or (
                # Nothing hangs on the answer where all are calm, or no second copy stands and none could be
                # loaded now: the store is crowded, or our loads are under way.
                self.random() >= ASKED * self.pressure_share or not self.has_second_copy(act.function, now) and (
                    self.load_limit < self.max_loads or not self.may_load(now, WIDEN))):
            return False
        act.probe_count, act.awaited_worker = act.probe_count + 1, worker
        if not worker.awaiting_report:
            self.send_probe(worker, now)
        worker.awaiting_report.append(act)
        heapq.heappush(self.timers, (worker.last_probe_at + ASK_WAIT, self.next_serial(), act))
        return True

    def on_report(self, now: int, name: str, outcome: Outcome, report: Report | None) -> list[Step]:
        worker = self.workers[name]
        worker.open_probes -= 1
        worker.last_probe_answer_at = now if outcome is Outcome.COMPLETED else worker.last_probe_answer_at
        self.record_report(worker, now, report)
        if outcome is not Outcome.COMPLETED:    # turned away or lost, it tells as much as a long queue
            worker.reported_load, worker.load_updated_at = SILENT, now
        elif report and report.loading and report.busy is not None and report.busy < IDLE:
            # cores are free, so what it has not answered for long waits for a load
            worker.last_answer_at = now
        # some places' probes tell no load
        self.probe_allowance = UNTOLD if worker.load_updated_at == now else self.probe_allowance - 1
        askers, worker.awaiting_report = worker.awaiting_report, []
        return self.collect_steps(lambda: [self.dispatch(act, now) for act in askers if act.awaited_worker is worker])

    def record_latency(self, send: Send, waited: int, now: int) -> float:
        """Notes what one send took, for its weight, and eases the worker; returns it over the expected."""
        worker, kind = send.worker, send.activation.type_stats
        ratio = waited / max(1.0, self.expected_latency(send.activation))
        worker.relative_latency += FRESH * (
            min(1.0, kind.typical_latency * ratio / kind.target_latency) - worker.relative_latency)
        if worker.relative_latency > EASE:
            self.cut_in_flight_limit(worker, now)
        return ratio

    def adjust_load_limit(self, crowded: bool, now: int) -> None:
        # lengthening or failing loads mean fewer at once
        if not crowded:
            self.load_limit = min(self.load_limit + min(1.0, 1 / self.load_limit), self.max_loads)
        elif now - self.load_limit_cut_at >= CUT_PAUSE:
            self.load_limit, self.load_limit_cut_at = max(self.min_load_limit, CUT * self.load_limit), now

    def cut_in_flight_limit(self, worker: Worker, now: int) -> None:
        """Too much for it, whether small, slow, full or pressed by others: it gets fewer at a time."""
        if now - worker.limit_cut_at >= CUT_PAUSE:
            worker.in_flight_limit = max(1.0, CUT * min(worker.in_flight_limit, len(worker.sends) + 1))
            worker.limit_cut_at = now

    def record_failure(self, worker: Worker, now: int) -> None:
        """Fast failures and silence look idle to the cap: suspend, longer each time, then one trial."""
        worker.consecutive_failures += 1
        hall = self.zones[worker.zone]
        hall.failed_workers.add(worker)
        if self.has_many_front_ends and len(
                hall.failed_workers) >= DOUBT and hall.suspended_until <= now and len(self.zones) > 1:
            self.suspend(hall, now)
        if worker.suspended_until > now or (
                worker.consecutive_failures < STRIKES and not worker.consecutive_suspensions):
            return
        self.suspend(worker, now)
        worker.warm_until.clear()

    def suspend(self, it: Worker | Zone, now: int) -> None:
        length = min(SUSPEND_MOST, SUSPEND << min(it.consecutive_suspensions, 8)) * (0.75 + 0.5 * self.random())
        it.suspended_until, it.consecutive_suspensions = now + int(length), it.consecutive_suspensions + 1

    def silence_limits(self, send: Send) -> tuple[float, float]:
        """From when on its worker is asked whether it is there; and until when it may be loading for it."""
        usual = max(PATIENCE * self.expected_latency(send.activation),
                    EASE * send.activation.type_stats.target_latency)
        load = 0 if send.warm and not send.activation.function.kept_warm_by_others else 2 * CROWDED * (
            send.activation.function.load_time or self.typical_load_time)
        return usual + (0 if self.may_probe and self.has_many_front_ends else load), usual + load

    def run_health_round(self, now: int) -> None:
        """Looks for workers that answer nothing and moves what may be moved away from them."""
        if now < self.next_health_round:
            return
        self.next_health_round = now + ROUND
        for send in list(self.in_flight):
            worker, waited, (asks, loads) = send.worker, now - send.sent_at, self.silence_limits(send)
            if waited <= asks:
                continue
            if worker.last_answer_at < send.sent_at and worker.suspended_until <= now:
                if self.zones[worker.zone].suspended_until <= now and (
                        self.may_probe and now - worker.last_probe_at < PROBED
                        or self.probe_silent_worker(worker, send, now)):
                    continue
                if waited <= loads and worker.last_probe_answer_at > send.sent_at:
                    continue        # it answers questions, so it may load
                worker.consecutive_failures = STRIKES
                self.record_failure(worker, now)
            if worker.suspended_until > now or not worker.ready:
                self.reroute(send, now)
        parked = [fn for fn in self.functions.values() if fn.parked]
        coming = self.loads_under_way(now) if parked else ()
        for fn in sorted(parked, key=lambda fn: -len(fn.parked)):
            if fn.name not in coming:
                for act in [each for each in self.parked_activations(fn)
                            if not each.open_send_count and self.cannot_load_in_time(each, now)]:
                    fn.parked.remove(act)
                    self.give_up(act, now)
                self.resume_parked(fn, now)

    def loads_under_way(self, now: int) -> set[str]:
        """Functions of which a load may be under way. A suspended worker is not waited for: what it was to load may
        never come."""
        named = chain(((send.worker, send.activation.function.name) for send in self.in_flight),
                      ((worker, name) for worker in self.workers_with_orders for name in worker.load_orders))
        return {name for worker, name in named if worker.ready and worker.suspended_until <= now}

    def probe_silent_worker(self, worker: Worker, send: Send, now: int) -> bool:
        """Asks a worker that seems silent, once a send, whether it loads: one whose copies were dropped does
        so for calls that we thought warm, and says nothing. Suspended for it, all would be, in turn."""
        if not self.may_probe or worker.last_probe_at > send.sent_at:
            return False
        self.send_probe(worker, now)
        return True

    def send_probe(self, worker: Worker, now: int) -> None:
        # while one is out it is not forgotten
        worker.last_probe_at, worker.open_probes = now, worker.open_probes + 1
        self.pending_steps.append(Step(Action.PROBE, worker=worker.name))

    def reroute(self, send: Send, now: int) -> None:    # off a suspended worker
        act = send.activation
        if act.answered or act.answer_started or act.open_send_count > 1 or (
                act.type_stats.effect is not Effect.REPEATABLE) or (
                self.retry_budget < 1 or act.answer_due <= now or len(act.sends) >= self.max_sends):
            return
        if self.may_duplicate:
            act.possible_runs.append(send)      # it may be running, so the second send is budgeted
            self.dispatch(act, now)
        elif self.may_cancel:
            self.pending_steps.append(Step(Action.CANCEL, act, send.worker.name, amount=send.number))
