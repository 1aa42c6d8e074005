"""The policy of one front end: where each activation runs, when to send it again and when to give up.

Make a Dispatcher(seed, deployment, now) and pass each list of workers to update_workers(). admit() returns an
Activation: call its start(), then on_send_ended() for each send that ends, and on_client_gone() if the client
disconnects. on_load_ended() and on_report() take the answers to load orders and probes. tick() must be called
when due() has come. Each call returns the Steps to carry out, in order.

The types shared with callers are in interface.py, the recorded state is in state.py. docs/design.md describes
the mechanism and where the policy departs from it.
"""
from __future__ import annotations

import bisect
import heapq
import random
from collections import deque
from collections.abc import Iterable, Iterator
from itertools import accumulate, chain, islice

from threadshift.interface import (
    MS, SECOND, Action, Activation, Copy, Deployment, EarlierRun, Effect, Outcome, Report, Send, Step,
    WorkerListing, WorkerState)
from threadshift.load_ration import LoadRation
from threadshift.ring import HashRing, pair_of_points
from threadshift.state import CountMinSketch, DispatcherState, Function, TypeStats, Worker, Zone

# Choice of a worker.
EPSILON = 0.25                   # headroom of the in-flight cap over the mean; the design allows 0.1 to 0.5
CANDIDATE_LIMIT = 16             # eligible workers considered; beyond them a call fares as badly as at home
FALLBACK_CANDIDATE_LIMIT = 128   # ready workers considered if none is eligible; thousands would take too long
TURN_RANGE = 1 << 20             # round-robin turns start at random within it, apart from other front ends
TURN_STEP = 0.6180339887         # golden ratio: successive turns are spread evenly over any number of workers

# How many workers a function is spread over.
SKETCH_WIDTH = 4096              # cells per row of the count-min sketch
SKETCH_DEPTH = 4                 # rows of the count-min sketch
SKETCH_WINDOW = 10 * SECOND      # a sketch is replaced after this time ...
SKETCH_MIN_CALLS = 100           # ... and this many calls
SKETCH_PRIOR = 50                # calls added to the total: among few calls, a function looks hot by chance
HOT_SHARE = 0.05                 # of recent calls, for a second worker; twice this share earns a third
MIN_LOAD_PER_PRIMARY = 0.25      # share of a worker's mean load that a function brings to each primary ...
LOAD_PER_PRIMARY = 2.0           # ... or this, divided by the number of front ends, if that is more
KEEP_WARM_CALLS = 3.0            # calls by other front ends in a keep-alive time that are assumed to keep one

# Load reports and probes.
REPORT_MAX_AGE = 3 * SECOND      # an older report is ignored
REPORT_FRESH_TIME = 300 * MS     # no new report is requested so soon after a report or a probe
REPORT_WAIT = 30 * MS            # a worker that does not answer a probe in this time counts as busy
MAX_PROBES_PER_ACTIVATION = 4    # workers that one activation may wait for
MAX_EMPTY_ANSWERS = 40           # probe answers without a load, in a row, that end the requests for reports
PRESSURE_SMOOTHING = 0.1         # weight of the newest report in the share of reports that show pressure
PROBES_PER_PRESSURE = 2.0        # probability of a probe, as a multiple of that share
PRESSURE_QUEUE = 2.0             # queued activations that amount to a pressure of 1
SILENT_LOAD = 2.0                # load assumed of a worker that does not answer a probe
ACTIVATIONS_PER_MEMORY = 10.0    # activations that fill a worker's memory
MIN_USUAL_LOAD = 2.0             # reported activations that are no pressure, however low the mean is
CORES_FREE_BELOW = 0.9           # share of busy cores below which no activation waits for a core
IDLE_BELOW = 0.6                 # share of busy cores below which loads alone explain a worker's silence
MIN_OWN_IN_FLIGHT = 0.5          # own sends in flight per worker from which own counts say more than reports

# Latency of a worker, relative to the target latency.
INITIAL_LATENCY_SHARE = 0.25     # typical latency before the first answers, as a share of the target latency
LATENCY_GOAL = 0.45              # share of the target latency that answers may take
TREND_WEIGHT = 0.03              # weight of the newest value in fleet-wide means
LATENCY_WEIGHT = 0.15            # weight of the newest answer in a worker's relative latency
LATENCY_HALF_LIFE = 3.5 * SECOND  # of a relative latency without new answers; then the worker is tried again
OVERDUE_FACTOR = 4               # times the expected latency until a send is overdue; 98% have ended by then

# Limit of sends in flight at a worker.
INITIAL_IN_FLIGHT_LIMIT = 4.0    # until the worker has shown how many it can process at once
LIMIT_RECOVERY_PER_SECOND = 1.0  # sends in flight regained after a cut
LIMIT_CUT_FACTOR = 0.85          # what a cut leaves; it is mild because latencies vary
LIMIT_CUT_INTERVAL = 200 * MS    # between two cuts, so that one queue causes one cut

# Failures.
HEALTH_ROUND_INTERVAL = 100 * MS  # small compared with any target latency
PROBE_TIMEOUT = 100 * MS         # for an answer from a worker that seems silent; far above a network's delay
FAILURES_TO_SUSPEND = 2          # consecutive failures that suspend a worker
MIN_SUSPENSION = 500 * MS        # length of the first suspension; it doubles each time
MAX_SUSPENSION = 8 * SECOND
ZONE_FAILURES_TO_SUSPEND = 3     # workers failed since any in their zone answered, that suspend the zone
BUDGET_SHARE = 0.1               # further sends earned by a completed one; the budget bounds retry storms
BUDGET_MOST = 10.0               # further sends that can be saved up

# Workers that have just started.
COLD_BUDGET_SHARE = 0.5          # share of the stated cold budget that is earned per `fall_time` ...
COLD_BURST_SHARE = 0.2           # ... and that can be saved up; the rest is a margin for chance
COMPLETION_WINDOW = 10 * SECOND  # time over which completed work is counted

# Tenants' shares.
SHARE_SKEW = 1.2                 # a front end's part of a tenant's share, relative to an equal split
MAX_SHARE_INTERVAL = 1 << 62     # ns between two calls of a share, over a hundred years; rates may be tiny
SHARE_BURST = 12                 # calls of a share that can be saved up, as calls arrive at random
LOW_PRIORITY_LIMIT = 0.6         # share of a worker's limit and pressure open to low-priority activations

# Loads of copies.
INITIAL_LOAD_TIME = SECOND       # typical time of a load before the first ones end
MAX_PARKED_PER_LANE = 8          # activations that may wait for a load, per lane
MIN_LOAD_TIME_SHARE = 0.5        # of the typical load time; with less time left, a new load cannot serve
LOADS_PER_WORKER = 3.0           # loads at once, by all front ends together
EXTRA_COPY_SHARE = 0.5           # share of the load limit that further copies may use
CROWDED_LOAD_FACTOR = 2.0        # times the typical load time that show a crowded store
MIN_LOADS_WHEN_CROWDED = 0.1     # loads at once by one front end while the store is crowded

# Memory and advice.
MAX_FUNCTIONS = 20_000           # functions remembered
MIN_PRUNED_TIMERS = 1_024        # timers, below which those of answered activations may stay
MIN_GONE_WORKERS = 16            # gone workers remembered, or as many as are ready if that is more
RETRY_AFTER_JITTER = 0.5         # random share of the advice; without it rejected clients return at once

NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_SENT, Outcome.MISS)
FAILED = (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)


class Dispatcher(DispatcherState):
    """Makes the decisions of one front end."""

    def __init__(self, seed: int, deployment: Deployment, now: int):
        super().__init__(completed_work_at=now)
        self.random = random.Random(seed).random
        best = max((each.utility for each in deployment.types), default=0.0) or 1.0
        self.types = {
            each.name: TypeStats(each.target_latency, each.effect, each.dedup_scope, each.dedup_window,
                                 each.utility / best, INITIAL_LATENCY_SHARE * each.target_latency)
            for each in deployment.types}
        self.deadline_margin, self.front_ends, self.idle_keep_alive = (
            2 * deployment.tick, deployment.front_ends, deployment.idle_keep_alive)
        self.max_sends, self.may_cancel, self.may_duplicate = (
            deployment.max_sends, deployment.may_cancel, deployment.may_duplicate)
        # With many front ends, their caps, each above one, add up to more than a worker can process.
        self.has_many_front_ends = deployment.front_ends * (1 + EPSILON) > INITIAL_IN_FLIGHT_LIMIT
        # Workers of the own zone are preferred where a send to another zone costs a fee.
        self.preferred_zone = (
            deployment.zone if deployment.cross_zone_fee and self.has_many_front_ends else None)
        self.prune_timers_at = MIN_PRUNED_TIMERS
        self.max_functions = min(MAX_FUNCTIONS, deployment.max_functions or MAX_FUNCTIONS)
        self.max_retry_after, self.loads_on_miss = deployment.max_retry_after, deployment.loads_on_miss
        self.may_order_loads, self.load_ration = deployment.may_order_loads, LoadRation(
            deployment.load_window, deployment.load_free, deployment.load_ratio)
        # The lower bound of the load limit while the store is crowded.
        self.min_load_limit = min(1.0, max(MIN_LOADS_WHEN_CROWDED, LOADS_PER_WORKER / deployment.front_ends))
        self.cold_share, self.cold_time, self.fall_time = (
            deployment.cold_share, deployment.cold_time, deployment.fall_time)
        self.cold_factor = deployment.fall_multiple * deployment.fall_time / COMPLETION_WINDOW
        # The time of this front end's part of a tenant's share that one call uses up, in ns; 0: unlimited.
        self.share_intervals = {
            each.name: int(min(
                MAX_SHARE_INTERVAL, SECOND * deployment.front_ends / SHARE_SKEW / each.per_second))
            if each.per_second > 0 else 0 for each in deployment.tenants}
        self.probe_allowance, self.may_probe = (
            MAX_EMPTY_ANSWERS if deployment.may_probe and self.has_many_front_ends else 0,
            deployment.may_probe)
        self.previous_sketch, self.sketch = (
            CountMinSketch(SKETCH_DEPTH, SKETCH_WIDTH, now) for _ in range(2))
        self.next_health_round, self.retry_budget, self.typical_load_time = (
            now + HEALTH_ROUND_INTERVAL, BUDGET_MOST / 2, float(INITIAL_LOAD_TIME))

    def collect_steps(self, decide, *args) -> list[Step]:
        """Makes a decision and returns the steps that it has queued."""
        decide(*args)
        steps, self.pending_steps = self.pending_steps, []
        return steps

    def due(self) -> int:
        """The time at which tick() must be called."""
        while self.timers and self.timers[0][2].answered:
            heapq.heappop(self.timers)
        return min(self.next_health_round, self.timers[0][0]) if self.timers else self.next_health_round

    def tick(self, now: int) -> list[Step]:
        """Handles the timers that have expired, and runs the health round when it is due."""
        while self.timers and self.timers[0][0] <= now:
            self.on_timeout(heapq.heappop(self.timers)[2], now)
        return self.collect_steps(self.run_health_round, now)

    def give_up_overdue(self, now: int) -> list[Step]:
        """Gives up the activations whose deadline has passed, without any other decision that is due.

        Their final answers depend on nothing that may still be unread after a stall of this process."""
        return self.collect_steps(self.give_up_past_deadline, now)

    def give_up_past_deadline(self, now: int) -> None:
        """Gives up each activation whose deadline has passed, those due first before the others."""
        overdue = [activation for _, _, activation in self.timers
                   if activation.answer_due + self.deadline_margin < now and not activation.answer_started]
        for activation in sorted(overdue, key=lambda each: each.answer_due):
            self.give_up(activation, now)

    def shorten_deadlines(self, latest: int) -> None:
        """Makes every answer due by `latest`: this front end shuts down and can give no answer after that."""
        for _, _, activation in self.timers:
            activation.answer_due = min(activation.answer_due, latest - self.deadline_margin)
        self.timers = [(min(at, activation.answer_due), serial, activation)
                       for at, serial, activation in self.timers]
        heapq.heapify(self.timers)

    def on_timeout(self, activation: Activation, now: int) -> None:
        """Handles the end of an activation's time, or of its wait for a worker's report.

        A worker that has not sent its report in time counts as busy."""
        if now >= activation.answer_due and not activation.answer_started:
            self.give_up(activation, now)
        elif activation.awaited_worker is not None and not activation.answered and (
                now - activation.awaited_worker.last_probe_at >= REPORT_WAIT):
            activation.awaited_worker.reported_load, activation.awaited_worker.load_updated_at = (
                SILENT_LOAD, now)
            self.dispatch(activation, now)

    def update_workers(self, now: int, listings: list[WorkerListing], full: bool) -> list[Step]:
        """Applies a list of workers. If it is full, workers that it does not name are gone."""
        for worker in self.workers.values() if full else ():
            worker.ready, worker.gone = False, True
        for listing in listings:
            worker = self.workers.get(listing.worker)
            if worker is None:
                worker = self.workers[listing.worker] = Worker(
                    listing.worker, in_flight_limit=INITIAL_IN_FLIGHT_LIMIT)
            worker.zone, worker.cell, worker.size = listing.zone, listing.cell, max(listing.size, 0.01)
            self.zones.setdefault(listing.zone, Zone())
            worker.ready, worker.gone = listing.state is WorkerState.READY, listing.state is WorkerState.GONE
            if listing.started_at > worker.started_at:
                # What was recorded concerns the worker's previous process.
                worker.started_at = listing.started_at
                worker.warm_until.clear()
                worker.consecutive_failures = worker.consecutive_suspensions = 0
                worker.suspended_until = worker.limit_cut_at = worker.load_updated_at = 0
                worker.relative_latency, worker.in_flight_limit, worker.cold_credit = (
                    0.0, INITIAL_IN_FLIGHT_LIMIT, -1.0)
        self.ready_workers = [worker for worker in self.workers.values() if worker.ready]
        self.place_on_ring(listings)
        self.mean_size = sum(worker.size for worker in self.ready_workers) / max(1, len(self.ready_workers))
        self.max_ready_workers = max(self.max_ready_workers, len(self.ready_workers))
        self.max_loads = max(1.0, len(self.ready_workers) * min(1.0, LOADS_PER_WORKER / self.front_ends))
        self.load_limit = self.load_limit or self.max_loads
        return []

    def place_on_ring(self, listings: list[WorkerListing]) -> None:
        """Adds workers that have become ready to the ring, where unready ones stay and are skipped.

        Workers whose names never return are forgotten once they are many, as searches would skip ever more of
        them."""
        if len(self.workers) - len(self.ready_workers) > max(MIN_GONE_WORKERS, len(self.ready_workers)):
            self.forget_gone_workers()
        added = [worker for listing in listings if (worker := self.workers.get(listing.worker)) is not None
                 and worker.ready and worker.ring_number < 0]
        if self.ring.is_full:
            self.ring, added = HashRing(), list(self.workers.values())
        for worker in added:
            worker.ring_number = self.ring.add(worker.name, worker)
        if self.ring.drop_removed_entries() or added:
            self.ring_version += 1

    def forget_gone_workers(self) -> None:
        """Forgets workers that are gone, if they are many and nothing is outstanding at them."""
        forgotten = [worker for worker in self.workers.values() if worker.gone and not (
            worker.sends or worker.load_orders or worker.open_probes)]
        if len(forgotten) <= max(MIN_GONE_WORKERS, len(self.ready_workers)):
            return
        for worker in forgotten:
            del self.workers[worker.name]
            if worker.ring_number >= 0:
                self.ring.remove(worker.ring_number)
        self.ring_version += 1

    def clockwise_workers(self, function: Function) -> Iterator[Worker]:
        """Yields distinct ready workers clockwise from the function's ring point.

        The order is computed only as far as it is consumed, and is remembered with the function."""
        if function.ring_version != self.ring_version:
            function.clockwise_order, function.ring_version = {}, self.ring_version
            function.cursor = self.ring.after(function.ring_point)
        yield from [worker for worker in function.clockwise_order if worker.ready]
        # Ends once all members were found: most of the points that are left belong to workers seen before.
        while len(function.clockwise_order) < self.ring.members:
            worker, function.cursor = self.ring.next(function.cursor)
            if worker is not None and worker not in function.clockwise_order:
                function.clockwise_order[worker] = None
                if worker.ready:
                    yield worker

    def admit(self, now: int, activation_id: str, type_name: str, function_name: str, time_left: int, *,
              tenant: str = "", cost_hint: int = 0, lanes: int = 1, load_time: int = 0,
              is_client_retry: bool = False, earlier_runs: Iterable[EarlierRun] = ()) -> Activation:
        """Admits an activation, which must be answered within `time_left` ns, and returns its handle.

        `earlier_runs` are those of earlier activations of the same call."""
        function = self.functions.pop(function_name, None)
        if function is None:
            ring_point, sketch_number = pair_of_points(function_name)
            function = Function(
                function_name, max(1, lanes), max(1, lanes // self.front_ends), load_time, ring_point,
                self.sketch.cells_of(sketch_number), turn=int(self.random() * TURN_RANGE))
        function.turn += 1
        # Functions are kept in the order of their latest call; those called least recently are dropped.
        self.functions[function_name] = function
        while len(self.functions) > self.max_functions:
            for activation in self.parked_activations(self.functions.pop(next(iter(self.functions)))):
                self.give_up(activation, now)
        if now - self.sketch.started_at >= SKETCH_WINDOW and self.sketch.total >= SKETCH_MIN_CALLS:
            self.previous_sketch, self.sketch = self.sketch, CountMinSketch(SKETCH_DEPTH, SKETCH_WIDTH, now)
            for worker in self.workers.values():
                worker.warm_until = {name: until for name, until in worker.warm_until.items() if until > now}
        self.sketch.add(function.sketch_cells)
        type_stats = self.types[type_name]
        if cost_hint:
            type_stats.mean_cost_hint += (
                TREND_WEIGHT * (cost_hint - type_stats.mean_cost_hint) if type_stats.mean_cost_hint
                else cost_hint)
            type_stats.mean_cost = type_stats.mean_cost_hint / SECOND
        self.mean_cost += (
            TREND_WEIGHT * (type_stats.mean_cost - self.mean_cost) if self.mean_cost
            else type_stats.mean_cost)
        self.update_spread(function, type_stats, now)
        activation = Activation(
            self, activation_id, type_stats, function, now, now + max(0, time_left - self.deadline_margin),
            cost_hint, is_client_retry or self.exceeds_share(tenant, now), function.turn,
            self.load_ration.record_admission(now), possible_runs=list(earlier_runs))
        heapq.heappush(self.timers, (activation.answer_due, self.next_serial(), activation))
        if len(self.timers) >= self.prune_timers_at:
            self.prune_timers()
        return activation

    def prune_timers(self) -> None:
        """Removes the timers of answered activations, which may be thousands long before they are due."""
        self.timers = [timer for timer in self.timers if not timer[2].answered]
        heapq.heapify(self.timers)
        self.prune_timers_at = max(MIN_PRUNED_TIMERS, 2 * len(self.timers))

    def exceeds_share(self, tenant: str, now: int) -> bool:
        """Whether a call exceeds this front end's part of its tenant's share.

        Part of an unused share is saved up, as calls arrive at random. Where tenants have shares, calls of
        unknown tenants always exceed theirs; such names are not stored."""
        interval = self.share_intervals.get(tenant)
        if not interval:
            return interval is None and bool(self.share_intervals)
        used_until = max(
            self.share_used_until.get(tenant, -SECOND), now - max(SECOND, SHARE_BURST * interval))
        if used_until <= now:
            self.share_used_until[tenant] = used_until + interval
        return used_until > now

    def update_spread(self, function: Function, type_stats: TypeStats, now: int) -> None:
        """Sets how many ring candidates, its primaries, the function is spread over.

        A hot function has two or three, or more in line with its part of the fleet's work. The more front
        ends there are, the thinner it is spread: otherwise all of them would send to the same three of a
        hundred workers. Where this front end rarely sends to a primary, the calls of the others are assumed
        to keep a copy there, as every front end computes the same ring."""
        calls = self.previous_sketch.estimate(function.sketch_cells) + self.sketch.estimate(
            function.sketch_cells)
        share = (calls - 1) / (self.previous_sketch.total + self.sketch.total + SKETCH_PRIOR)
        load = share * len(self.ready_workers) * type_stats.mean_cost / self.mean_cost
        function.spread = max(1 + (share > HOT_SHARE) + (share > 2 * HOT_SHARE),
                              round(load / max(MIN_LOAD_PER_PRIMARY, LOAD_PER_PRIMARY / self.front_ends)))
        own_calls = calls * self.idle_keep_alive / max(
            self.idle_keep_alive, now - self.previous_sketch.started_at, 1) / function.spread
        function.kept_warm_by_others = own_calls <= 1 and own_calls * (self.front_ends - 1) >= KEEP_WARM_CALLS

    def expected_latency(self, activation: Activation) -> float:
        """Expected ns from send to answer at a warm worker; half of it grows with the cost hint."""
        relative_hint = activation.cost_hint / activation.type_stats.mean_cost_hint if (
            activation.cost_hint and activation.type_stats.mean_cost_hint) else 1.0
        return activation.type_stats.typical_latency * (0.5 + 0.5 * relative_hint)

    def in_flight_cap(self, worker: Worker, now: int) -> float:
        """The cap of consistent hashing with bounded loads, by the worker's size.

        For a worker that has just started it rises from one."""
        cap = max(1.0, len(self.in_flight) / len(self.ready_workers)) * (
            1 + EPSILON) * worker.size / self.mean_size
        return min(cap, 1.0 + max(0.0, cap - 1.0) * self.warmup_progress(worker, now))

    def warmup_progress(self, worker: Worker, now: int) -> float:
        """The share of the warm-up time that has passed; at 1 the worker is warm at the latest."""
        return min(1.0, (now - worker.started_at) / self.cold_time) if (
            worker.started_at and self.cold_time) else 1.0

    def has_cold_capacity(self, worker: Worker, activation: Activation, now: int) -> bool:
        """Whether the worker, if it has just started, can take this activation without being overloaded.

        This front end earns its part of what the worker can surely take over time, and starts at a random
        credit: an immediate send from each front end would overload the worker. All front ends together may
        send at least one activation per `fall_time`, also while no work has been completed yet."""
        progress, mean_cost, cost = (
            self.warmup_progress(worker, now), activation.type_stats.mean_cost, self.cold_cost(activation))
        if progress >= 1:
            return True
        capacity = (self.cold_share + (1 - self.cold_share) * progress) * min(
            1.0, worker.size / self.mean_size)
        budget = self.cold_factor * capacity * self.completed_work / self.max_ready_workers
        if worker.cold_credit < 0:
            worker.cold_credit, worker.credit_updated_at = mean_cost * self.random(), now
        earned = max(COLD_BUDGET_SHARE * budget, mean_cost / self.front_ends) * (
            now - worker.credit_updated_at) / self.fall_time
        worker.cold_credit, worker.credit_updated_at = (
            min(max(cost, COLD_BURST_SHARE * budget), worker.cold_credit + earned), now)
        return worker.cold_credit >= cost

    def cold_cost(self, activation: Activation) -> float:
        """What an activation costs a cold worker: the mean of its type, or its own hint if that is more."""
        return max(activation.type_stats.mean_cost, activation.cost_hint / SECOND)

    def apply_elapsed_time(self, worker: Worker, now: int) -> None:
        """Applies what time alone changes.

        The limit recovers after a cut, and the relative latency decays while there are no answers."""
        elapsed, worker.adjusted_at = now - worker.adjusted_at, now
        worker.in_flight_limit += LIMIT_RECOVERY_PER_SECOND * elapsed / SECOND if worker.limit_cut_at else 0
        if now - worker.last_answer_at > HEALTH_ROUND_INTERVAL and worker.relative_latency:
            worker.relative_latency *= 0.5 ** (elapsed / LATENCY_HALF_LIFE)

    def is_eligible(self, worker: Worker, activation: Activation, now: int) -> bool:
        """Whether the worker may be sent the activation, whatever its load.

        It must not be suspended, nor its zone, and if it has just started it must have cold capacity."""
        self.apply_elapsed_time(worker, now)
        zone, may_be_trial = (
            self.zones[worker.zone], activation.type_stats.effect is not Effect.ONCE_ONLY)
        return worker.suspended_until <= now and zone.suspended_until <= now and self.has_cold_capacity(
            worker, activation, now) and (
            # After a suspension a worker is on trial until it answers: it gets one send at a time, and no
            # once-only activation. The same holds for a zone.
            not worker.consecutive_suspensions or not worker.sends and may_be_trial) and (
            not zone.consecutive_suspensions or may_be_trial and all(
                send.worker.zone != worker.zone for send in self.in_flight))

    def has_capacity(self, worker: Worker, now: int, relative_cost: float = 1.0) -> bool:
        """Whether the worker is below its cap, its limit and the pressure that it should carry."""
        return len(worker.sends) < min(self.in_flight_cap(worker, now), worker.in_flight_limit) and (
            self.pressure(worker, now) * relative_cost <= 1)

    @property
    def relies_on_reports(self) -> bool:
        """Whether own counts say little of a worker's load: many front ends, few own sends per worker.

        Otherwise reports, which are late and rough, would bar workers that own counts and answers show to be
        free."""
        return self.has_many_front_ends and len(self.in_flight) < MIN_OWN_IN_FLIGHT * len(self.ready_workers)

    def pressure(self, worker: Worker, now: int) -> float:
        """The load on a worker by all front ends, by its latency and its last report; it should carry 1."""
        return max(worker.relative_latency / LATENCY_GOAL, worker.reported_load if (
            self.relies_on_reports and now - worker.load_updated_at < REPORT_MAX_AGE) else 0.0)

    def is_warm_for(self, worker: Worker, function: Function, now: int) -> bool:
        """Whether the worker is believed to have a copy, by own calls or by those of other front ends."""
        return worker.has_copy(function, now) or function.kept_warm_by_others and worker in function.primaries

    def ring_candidates(self, function: Function) -> Iterator[Worker]:
        """The ready workers that a decision considers, clockwise from the function's ring point."""
        return islice(self.clockwise_workers(function), function.spread + CANDIDATE_LIMIT)

    def has_second_copy(self, function: Function, now: int) -> bool:
        """Whether two candidates are believed to have a copy, so that one could replace the other."""
        warm = (worker for worker in self.ring_candidates(function)
                if self.is_warm_for(worker, function, now))
        return len(list(islice(warm, 2))) == 2

    def choose_worker(self, activation: Activation, now: int) -> Worker | None:
        """Returns the worker for the next send; None if it is parked now or no worker may take it.

        Where another copy seems useful, orders a load as well."""
        function, relative_cost = activation.function, self.relative_cost(activation)
        candidates, chosen = self.find_candidates(activation, relative_cost, now)
        if not candidates:
            return self.choose_last_resort(activation, now)
        warm = [worker for worker in candidates if self.is_warm_for(worker, function, now)]
        if not warm:
            return self.choose_for_first_copy(activation, candidates, now)
        first = candidates[0]
        if chosen is None:
            if activation.low_priority:
                return None
            first = next(
                (worker for worker in candidates if worker not in warm and self.has_capacity(worker, now)),
                first)
            chosen = self.choose_beside_busy_copies(activation, candidates, warm, relative_cost, now)
        if first not in warm and chosen is not first and self.has_capacity(first, now):
            self.order_load(first, function, now)
        return chosen

    def relative_cost(self, activation: Activation) -> float:
        """The cost of an activation relative to its type's, at least 1; more where it has low priority."""
        return max(1.0, self.expected_latency(activation) / activation.type_stats.typical_latency) / (
            LOW_PRIORITY_LIMIT if activation.low_priority else 1.0)

    def workers_in_turn(self, activation: Activation) -> Iterator[Worker]:
        """Yields the primaries of a function, which take turns, and then its next workers on the ring."""
        function = activation.function
        ready = list(self.ring_candidates(function))
        primaries = ready[:function.spread]
        function.primaries = dict.fromkeys(primaries)
        near = [worker for worker in primaries if worker.zone == self.preferred_zone]
        # Workers of other zones take what overflows.
        near, far = near or primaries, [
            worker for worker in primaries if worker.zone != self.preferred_zone] if near else []
        # Workers take turns, larger ones more often.
        cumulative_sizes = list(accumulate(worker.size for worker in near)) or [0.0]
        first_near = min(
            bisect.bisect(cumulative_sizes, activation.turn * TURN_STEP % 1.0 * cumulative_sizes[-1]),
            len(cumulative_sizes) - 1)
        first_far = activation.turn % max(1, len(far))
        yield from chain(
            near[first_near:], near[:first_near], far[first_far:], far[:first_far], ready[function.spread:])

    def find_candidates(self, activation: Activation, relative_cost: float, now: int) -> tuple[
            list[Worker], Worker | None]:
        """Returns workers that may take the activation, in turn, up to the first with a free copy.

        That one is returned as well; None if there is none among CANDIDATE_LIMIT workers."""
        function, candidates = activation.function, []
        # A worker that has got a copy since, such as by a load order after a miss, is worth another try.
        tried = [send.worker for send in activation.sends if not send.worker.has_copy(
            function, send.sent_at + self.idle_keep_alive)]
        untried = (worker for worker in self.workers_in_turn(activation) if worker not in tried)
        eligible = (worker for worker in chain(untried, tried)
                    if worker.ready and self.is_eligible(worker, activation, now))
        for worker in islice(eligible, CANDIDATE_LIMIT):
            if candidates and worker in tried:
                break
            candidates.append(worker)
            home = next(iter(function.primaries)) if function.spread > 1 else candidates[0]
            if self.has_free_copy(worker, home, activation, relative_cost, now):
                return candidates, worker
        return candidates, None

    def has_free_copy(self, worker: Worker, home: Worker, activation: Activation, relative_cost: float,
                      now: int) -> bool:
        """Whether the worker has a copy that is free for the activation, and may take more load.

        Once warmed up, home may exceed the cap, though not its own limit."""
        function = activation.function
        return self.is_warm_for(worker, function, now) and (
            worker.count_sends(function) < function.own_lanes) and (
            not activation.low_priority
            or len(worker.sends) < LOW_PRIORITY_LIMIT * worker.in_flight_limit) and (
            self.has_capacity(worker, now, relative_cost)
            or worker is home and self.warmup_progress(home, now) >= 1
            and self.pressure(home, now) * relative_cost <= 1
            and len(worker.sends) < worker.in_flight_limit)

    def choose_last_resort(self, activation: Activation, now: int) -> Worker | None:
        """Returns a worker where all look bad, by a common cause.

        Suspensions are ignored, and cold workers stay protected."""
        return next((
            worker for worker in islice(self.clockwise_workers(activation.function), FALLBACK_CANDIDATE_LIMIT)
            if self.has_cold_capacity(worker, activation, now)), None)

    def choose_for_first_copy(self, activation: Activation, candidates: list[Worker],
                              now: int) -> Worker | None:
        """Returns the worker that gets the first copy; None if the activation is parked or cannot wait."""
        function = activation.function
        loading = next((worker for worker in candidates if worker.is_loading(function)), None)
        if loading is None and self.may_load(now):
            # Not necessarily home: that of a function with a spread may be cold or suspended.
            return next((worker for worker in candidates if self.has_capacity(worker, now)), candidates[0])
        if loading is None and self.cannot_load_in_time(activation, now):
            return None
        if loading is not None and loading.count_sends(function) < function.own_lanes:
            return loading
        # More activations waiting there than it has lanes would make it load copy after copy.
        if len(self.parked_activations(function)) < MAX_PARKED_PER_LANE * function.lanes and (
                not activation.low_priority):
            function.parked.append(activation)
        return None

    def choose_beside_busy_copies(self, activation: Activation, candidates: list[Worker], warm: list[Worker],
                                  relative_cost: float, now: int) -> Worker | None:
        """Returns the least loaded worker with a copy, or one for another copy; else, or if parked, None."""
        function = activation.function
        able = [worker for worker in warm if len(worker.sends) < worker.in_flight_limit * (
            LOW_PRIORITY_LIMIT if activation.low_priority else 1.0) and (
            self.pressure(worker, now) * relative_cost * LATENCY_GOAL <= (
                1.0 if self.relies_on_reports else activation.type_stats.relative_utility))]
        able.sort(key=lambda worker: (
            self.relies_on_reports and self.pressure(worker, now),
            len(worker.sends) / worker.in_flight_limit))
        chosen = able[0] if able else next(
            (worker for worker in candidates
             if self.has_capacity(worker, now) and self.may_load(now, EXTRA_COPY_SHARE)), None)
        if len(self.parked_activations(function)) < function.lanes and any(
                worker.count_sends(function) for worker in warm):
            # Sent to another worker, it would make that start a copy which few calls use.
            function.parked.append(activation)
            return None
        return chosen

    def cannot_load_in_time(self, activation: Activation, now: int) -> bool:
        """Whether the activation would wait in vain, as no load that starts now could end in time."""
        return activation.answer_due - now < MIN_LOAD_TIME_SHARE * (
            activation.function.load_time or self.typical_load_time)

    def may_load(self, now: int, share: float = 1.0) -> bool:
        """Whether one more load may begin within this share of the load limit."""
        limit, loads = self.load_limit * share, self.open_load_orders + self.open_cold_sends
        # A limit below one allows one load at a time, and then none for as long as makes up for it. A minimum
        # of one load per front end, over all of them, is what crowds a store.
        return loads < limit if limit >= 1 else (
            not loads and now - self.last_load_at >= self.typical_load_time * (1 / limit - 1))

    def order_load(self, worker: Worker, function: Function, now: int) -> bool:
        """Orders a load of the function at the worker, if that is allowed; the only place that does.

        Load orders are rationed by the deployment's window, paced by the load limit, and limited to one at a
        time for a function."""
        if not self.may_order_loads or not worker.ready or function.next_order_at > now or (
                function.name in worker.load_orders) or not self.may_load(now, EXTRA_COPY_SHARE) or (
                not self.load_ration.may_order(now)):
            return False
        worker.load_orders.add(function.name)
        self.workers_with_orders[worker] = None
        function.next_order_at = now + int(function.load_time or self.typical_load_time)
        self.open_load_orders, self.last_load_at = self.open_load_orders + 1, now
        self.load_ration.record_order(now)
        self.pending_steps.append(Step(Action.LOAD, worker=worker.name, function=function.name, amount=1))
        return True

    def on_load_ended(self, now: int, worker_name: str, function_name: str, outcome: Outcome,
                      copies: int) -> list[Step]:
        """Handles the answer to a load order, and resumes activations that waited for the load."""
        worker = self.workers[worker_name]
        self.open_load_orders -= function_name in worker.load_orders
        worker.load_orders.discard(function_name)
        if not worker.load_orders:
            self.workers_with_orders.pop(worker, None)
        if outcome is Outcome.COMPLETED and copies:
            worker.warm_until[function_name] = now + self.idle_keep_alive
        return self.collect_steps(self.resume_parked, self.functions.get(function_name), now)

    def may_send(self, activation: Activation, worker: Worker, now: int) -> bool:
        """Checks rules 1 to 3 for one send: it must not make anything happen twice that must happen once."""
        type_stats, possible_runs = activation.type_stats, self.all_possible_runs(activation)
        if activation.answered or activation.answer_started or not worker.ready or (
                activation.answer_due <= now) or (
                len(activation.sends) >= self.max_sends) or (
                activation.open_send_count and not self.may_duplicate):
            return False
        return not possible_runs or type_stats.effect is Effect.REPEATABLE or (
            type_stats.effect is Effect.DEDUPLICATED and all(
                (type_stats.dedup_scope == "all"
                 or getattr(send.worker, type_stats.dedup_scope) == getattr(worker, type_stats.dedup_scope))
                and now + self.deadline_margin < send.sent_at + type_stats.dedup_window
                for send in possible_runs))

    def all_possible_runs(self, activation: Activation) -> list[Send | EarlierRun]:
        """The sends that may have run, or may run yet."""
        return [*activation.possible_runs, *(send for send in activation.sends if send.is_open)]

    def earlier_runs(self, activation: Activation) -> tuple[EarlierRun, ...]:
        """What another activation of the same call has to know of this one, unless it is repeatable."""
        return () if activation.type_stats.effect is Effect.REPEATABLE else tuple(
            EarlierRun(run.worker, run.sent_at) for run in self.all_possible_runs(activation))

    def may_repeat(self, type_name: str, runs: Iterable[EarlierRun], when: int) -> bool:
        """Whether a call that may have run there may be sent again at that time, to the workers of some group."""
        type_stats = self.types[type_name]
        last_sent_at = when - type_stats.dedup_window + self.deadline_margin
        return type_stats.effect is Effect.REPEATABLE or all(
            type_stats.effect is Effect.DEDUPLICATED and run.sent_at > last_sent_at for run in runs)

    def send(self, activation: Activation, worker: Worker, now: int) -> bool:
        """Sends the activation to the worker, if that is allowed; the only place that does."""
        if not self.may_send(activation, worker, now):
            return False
        # A repeat that waits for its connection must leave while the earlier sends are still remembered.
        remembered = [each.sent_at + activation.type_stats.dedup_window - self.deadline_margin - now
                      for each in self.all_possible_runs(activation)]
        time_to_leave = min(remembered, default=0) if (
            activation.type_stats.effect is Effect.DEDUPLICATED) else 0
        send = Send(activation, len(activation.sends), worker, now,
                    self.is_warm_for(worker, activation.function, now))
        activation.sends.append(send)
        worker.sends[send] = self.in_flight[send] = None
        activation.open_send_count, self.open_cold_sends = (
            activation.open_send_count + 1, self.open_cold_sends + (not send.warm))
        self.last_load_at = self.last_load_at if send.warm else now
        worker.cold_credit = max(0.0, worker.cold_credit - self.cold_cost(activation))
        self.pending_steps.append(Step(Action.SEND, activation, worker.name, amount=time_to_leave))
        return True

    def dispatch(self, activation: Activation, now: int) -> None:
        """Sends the activation, parks it, makes it wait for a report, or gives it up."""
        activation.awaited_worker, function = None, activation.function
        worker = None if activation.answered else self.choose_worker(activation, now)
        if activation.answered or function.parked and function.parked[-1] is activation or (
                worker and self.await_report(worker, activation, now)):
            return
        # Repeated work, and load after load begun by one activation, would feed a retry storm: both use the
        # retry budget.
        cost = bool(activation.possible_runs) + (not self.is_warm_for(worker, function, now)) if (
            worker and activation.sends) else 0
        if worker is not None and self.retry_budget >= cost and self.send(activation, worker, now):
            self.retry_budget -= cost
        elif not activation.open_send_count:
            self.give_up(activation, now)

    def resume_parked(self, function: Function | None, now: int) -> None:
        """Dispatches two parked activations for each answer, so that a new copy is not flooded at once."""
        for activation in self.parked_activations(function)[:2] if function else ():
            function.parked.remove(activation)
            self.dispatch(activation, now)

    def parked_activations(self, function: Function) -> list[Activation]:
        """The parked activations that still wait.

        Those that are answered, or whose clients are gone, are dropped, so that they take no place and no
        turn."""
        if any(activation.answered for activation in function.parked):
            function.parked = deque(activation for activation in function.parked if not activation.answered)
        return list(function.parked)

    def give_up(self, activation: Activation, now: int) -> None:
        """Rejects the activation if it is harmless for its client to try again, or else aborts it."""
        is_repeat_safe = activation.type_stats.effect is Effect.REPEATABLE or (
            activation.type_stats.effect is Effect.DEDUPLICATED and (
                activation.type_stats.dedup_scope == "all"))
        self.finish(activation, Action.REJECT if is_repeat_safe or not (
            activation.possible_runs or activation.open_send_count) else Action.ABORT)

    def on_client_gone(self, activation: Activation) -> None:
        """Handles a client that is gone.

        Its activation no longer counts towards load orders: hundreds withdrawn at once would raise the number
        that may be ordered."""
        if not activation.answered:
            self.load_ration.withdraw(activation.admission)
        self.finish(activation, None)

    def finish(self, activation: Activation, action: Action | None) -> None:
        """Gives the final answer, and cancels the open sends; the only place that does.

        The action is None where the client has its answer or wants none."""
        if activation.answered:
            return
        activation.answered = True
        if action:
            retry_after = self.max_retry_after * (1 - RETRY_AFTER_JITTER * self.random()) if (
                action is Action.REJECT) else 0
            self.pending_steps.append(Step(action, activation, amount=int(retry_after)))
        for send in activation.sends if self.may_cancel and not activation.answer_started else ():
            if send.is_open:
                self.pending_steps.append(
                    Step(Action.CANCEL, activation, send.worker.name, amount=send.number))

    def on_send_ended(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy, final: bool,
                      report: Report | None) -> None:
        """Handles the end of a send after `waited` ns; `final` means that the client has its answer."""
        activation, worker, function = send.activation, send.worker, send.activation.function
        if not send.is_open:
            return
        send.is_open, activation.open_send_count, self.open_cold_sends = (
            False, activation.open_send_count - 1, self.open_cold_sends - (not send.warm))
        del worker.sends[send], self.in_flight[send]
        self.record_report(worker, now, report)
        self.update_estimates(send, now, outcome, waited, copy)
        if outcome not in NEVER_RAN:
            activation.possible_runs.append(send)
        self.resume_parked(function, now)
        if final:
            self.finish(activation, None)
        elif activation.answered or activation.open_send_count or activation.answer_started:
            return
        elif outcome is Outcome.ERROR and len(activation.possible_runs) > 1 and (
                not function.last_completed_at):
            # A function that was never completed and that failed at two workers: calls of made-up names would
            # use up the retry budget.
            self.give_up(activation, now)
        elif outcome is Outcome.MISS and not self.loads_on_miss and copy is not Copy.LOAD_FAILED and (
                self.order_load(worker, function, now) or function.name in worker.load_orders):
            function.parked.append(activation)
        else:
            self.dispatch(activation, now)

    def update_estimates(self, send: Send, now: int, outcome: Outcome, waited: int, copy: Copy) -> None:
        """Updates the estimates for the worker, function, type and store from the end of a send."""
        worker, activation, function = send.worker, send.activation, send.activation.function
        self.apply_elapsed_time(worker, now)
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            worker.last_answer_at, zone = now, self.zones[worker.zone]
            zone.failed_workers.clear()
            zone.consecutive_suspensions = zone.suspended_until = 0
        if outcome is Outcome.COMPLETED:
            worker.consecutive_failures = worker.consecutive_suspensions = 0
            worker.warm_until[function.name], function.last_completed_at = now + self.idle_keep_alive, now
            self.retry_budget = min(BUDGET_MOST, self.retry_budget + BUDGET_SHARE)
            self.completed_work *= max(0.0, 1 - (now - self.completed_work_at) / COMPLETION_WINDOW)
            self.completed_work, self.completed_work_at = (
                self.completed_work + activation.type_stats.mean_cost, now)
            if copy is Copy.FOUND or (copy is Copy.UNKNOWN and send.warm):
                ratio = self.record_latency(send, waited, now)
                activation.type_stats.typical_latency *= 1 + TREND_WEIGHT * (min(ratio, OVERDUE_FACTOR) - 1)
                if worker.relative_latency <= LATENCY_GOAL and (
                        len(worker.sends) + 1 >= worker.in_flight_limit):
                    worker.in_flight_limit += 1 / worker.in_flight_limit if worker.limit_cut_at else 1
            elif copy is Copy.LOAD_STARTED:
                self.typical_load_time *= (
                    1 - TREND_WEIGHT if waited < self.typical_load_time else 1 + TREND_WEIGHT / 2)
                self.adjust_load_limit(waited > CROWDED_LOAD_FACTOR * self.typical_load_time, now)
        elif outcome is Outcome.CANCELLED and send.warm and waited > self.expected_latency(activation):
            # It would have taken longer still; without it, a worker that seldom answers would look fast.
            self.record_latency(send, waited, now)
        elif outcome is Outcome.FULL:
            worker.suspended_until = max(worker.suspended_until, now + LIMIT_CUT_INTERVAL)
            worker.relative_latency += LATENCY_WEIGHT * (1.0 - worker.relative_latency)
            self.cut_in_flight_limit(worker, now)
            if not send.warm:
                self.adjust_load_limit(True, now)
        elif outcome is Outcome.MISS:
            worker.warm_until.pop(function.name, None)
        elif copy is not Copy.LOAD_FAILED and outcome in FAILED and not (
                # Errors of a function that no worker can run, or of a call that failed before, would suspend
                # the whole fleet.
                outcome is Outcome.ERROR and (activation.possible_runs or not function.last_completed_at)):
            self.record_failure(worker, now)

    def record_report(self, worker: Worker, now: int, report: Report | None) -> None:
        """Updates a worker's reported load: its activations, except those waiting for loads, over the usual.

        Fewer activations are usual while latencies are above their goal."""
        values = (report.held, report.pinned and ACTIVATIONS_PER_MEMORY * report.pinned,
                  report.waiting) if report else ()
        if (held := next((each for each in values if each is not None), None)) is None:
            return
        size_factor, loading = self.mean_size / worker.size, report.loading or 0.0
        if report.busy is not None and report.busy < CORES_FREE_BELOW:
            # Cores are free, so activations that wait do so for a load, several of them for one: no pressure.
            loading = max(loading, report.waiting or 0.0)
        load, waiting = (
            max(0.0, each - loading) * size_factor for each in (held, report.waiting or 0.0))
        usual_share = min(1 + EPSILON, *(
            LATENCY_GOAL * type_stats.target_latency / type_stats.typical_latency
            for type_stats in self.types.values()))
        worker.reported_load, worker.load_updated_at = max(
            load / max(MIN_USUAL_LOAD, self.mean_reported_load * usual_share), waiting / PRESSURE_QUEUE), now
        self.mean_reported_load += TREND_WEIGHT * (load - self.mean_reported_load)
        self.pressure_share += PRESSURE_SMOOTHING * ((worker.reported_load > 1) - self.pressure_share)

    def await_report(self, worker: Worker, activation: Activation, now: int) -> bool:
        """Makes the activation wait briefly for a report if the last one is old; returns whether it waits."""
        if not self.relies_on_reports or (
                min(self.probe_allowance, MAX_PROBES_PER_ACTIVATION - activation.probe_count) <= 0) or (
                now - max(worker.load_updated_at, worker.last_probe_at) < REPORT_FRESH_TIME) or (
                # The report would change nothing where workers show no pressure, or where there is no second
                # copy and none could be loaded now: the store is crowded, or own loads are under way.
                self.random() >= PROBES_PER_PRESSURE * self.pressure_share
                or not self.has_second_copy(activation.function, now) and (
                    self.load_limit < self.max_loads or not self.may_load(now, EXTRA_COPY_SHARE))):
            return False
        activation.probe_count, activation.awaited_worker = activation.probe_count + 1, worker
        if not worker.awaiting_report:
            self.send_probe(worker, now)
        worker.awaiting_report.append(activation)
        heapq.heappush(self.timers, (worker.last_probe_at + REPORT_WAIT, self.next_serial(), activation))
        return True

    def on_report(self, now: int, worker_name: str, outcome: Outcome, report: Report | None) -> list[Step]:
        """Handles the answer to a probe, and dispatches the activations that waited for it."""
        worker = self.workers[worker_name]
        worker.open_probes -= 1
        worker.last_probe_answer_at = now if outcome is Outcome.COMPLETED else worker.last_probe_answer_at
        self.record_report(worker, now, report)
        if outcome is not Outcome.COMPLETED:
            # A probe that was refused or lost says as much as a long queue.
            worker.reported_load, worker.load_updated_at = SILENT_LOAD, now
        elif report and report.loading and report.busy is not None and report.busy < IDLE_BELOW:
            # Cores are free, so sends that it has not answered for long wait for a load.
            worker.last_answer_at = now
        # On some platforms the answers to probes never carry a load.
        self.probe_allowance = (
            MAX_EMPTY_ANSWERS if worker.load_updated_at == now else self.probe_allowance - 1)
        waiting, worker.awaiting_report = worker.awaiting_report, []
        return self.collect_steps(lambda: [
            self.dispatch(activation, now) for activation in waiting if activation.awaited_worker is worker])

    def record_latency(self, send: Send, waited: int, now: int) -> float:
        """Records the latency of a send in proportion to its cost, and cuts the limit of a slow worker.

        Returns the ratio to the expected latency."""
        worker, type_stats = send.worker, send.activation.type_stats
        ratio = waited / max(1.0, self.expected_latency(send.activation))
        worker.relative_latency += LATENCY_WEIGHT * (
            min(1.0, type_stats.typical_latency * ratio / type_stats.target_latency)
            - worker.relative_latency)
        if worker.relative_latency > LATENCY_GOAL:
            self.cut_in_flight_limit(worker, now)
        return ratio

    def adjust_load_limit(self, crowded: bool, now: int) -> None:
        """Lowers the load limit if loads lengthen or fail, which shows a crowded store; else raises it."""
        if not crowded:
            self.load_limit = min(self.load_limit + min(1.0, 1 / self.load_limit), self.max_loads)
        elif now - self.load_limit_cut_at >= LIMIT_CUT_INTERVAL:
            self.load_limit, self.load_limit_cut_at = (
                max(self.min_load_limit, LIMIT_CUT_FACTOR * self.load_limit), now)

    def cut_in_flight_limit(self, worker: Worker, now: int) -> None:
        """Lowers the limit of a worker that has too much, be it small, slow, full or loaded by others."""
        if now - worker.limit_cut_at >= LIMIT_CUT_INTERVAL:
            worker.in_flight_limit = max(
                1.0, LIMIT_CUT_FACTOR * min(worker.in_flight_limit, len(worker.sends) + 1))
            worker.limit_cut_at = now

    def record_failure(self, worker: Worker, now: int) -> None:
        """Counts a failure, and suspends the worker or its whole zone after several.

        To the in-flight cap, a worker that fails fast or is silent looks idle. Each suspension in a row is
        longer, and a trial follows it."""
        worker.consecutive_failures += 1
        zone = self.zones[worker.zone]
        zone.failed_workers.add(worker)
        if self.has_many_front_ends and len(zone.failed_workers) >= ZONE_FAILURES_TO_SUSPEND and (
                zone.suspended_until <= now) and len(self.zones) > 1:
            self.suspend(zone, now)
        if worker.suspended_until > now or (
                worker.consecutive_failures < FAILURES_TO_SUSPEND and not worker.consecutive_suspensions):
            return
        self.suspend(worker, now)
        worker.warm_until.clear()

    def suspend(self, target: Worker | Zone, now: int) -> None:
        """Suspends a worker or a zone, twice as long each time, with a jitter of 25% either way."""
        length = min(MAX_SUSPENSION, MIN_SUSPENSION << min(target.consecutive_suspensions, 8)) * (
            0.75 + 0.5 * self.random())
        target.suspended_until, target.consecutive_suspensions = (
            now + int(length), target.consecutive_suspensions + 1)

    def silence_limits(self, send: Send) -> tuple[float, float]:
        """How long a send may go unanswered until its worker is probed, and until it cannot be loading."""
        usual = max(OVERDUE_FACTOR * self.expected_latency(send.activation),
                    LATENCY_GOAL * send.activation.type_stats.target_latency)
        load = 0 if send.warm and not send.activation.function.kept_warm_by_others else (
            2 * CROWDED_LOAD_FACTOR * (send.activation.function.load_time or self.typical_load_time))
        return usual + (0 if self.may_probe and self.has_many_front_ends else load), usual + load

    def run_health_round(self, now: int) -> None:
        """Finds workers that do not answer, reroutes their activations, and resumes parked ones."""
        if now < self.next_health_round:
            return
        self.next_health_round = now + HEALTH_ROUND_INTERVAL
        for send in list(self.in_flight):
            worker, waited, (probe_after, may_load_until) = (
                send.worker, now - send.sent_at, self.silence_limits(send))
            if waited <= probe_after:
                continue
            if worker.last_answer_at < send.sent_at and worker.suspended_until <= now:
                if self.zones[worker.zone].suspended_until <= now and (
                        self.may_probe and now - worker.last_probe_at < PROBE_TIMEOUT
                        or self.probe_silent_worker(worker, send, now)):
                    continue
                if waited <= may_load_until and worker.last_probe_answer_at > send.sent_at:
                    continue        # It answers probes, so it may be loading.
                worker.consecutive_failures = FAILURES_TO_SUSPEND
                self.record_failure(worker, now)
            if worker.suspended_until > now or not worker.ready:
                self.reroute(send, now)
        with_parked = [function for function in self.functions.values() if function.parked]
        loading = self.loads_under_way(now) if with_parked else ()
        for function in sorted(with_parked, key=lambda function: -len(function.parked)):
            if function.name not in loading:
                for activation in [each for each in self.parked_activations(function)
                                   if not each.open_send_count and self.cannot_load_in_time(each, now)]:
                    function.parked.remove(activation)
                    self.give_up(activation, now)
                self.resume_parked(function, now)

    def loads_under_way(self, now: int) -> set[str]:
        """The functions that may be loading; not at suspended workers, whose loads may never end."""
        named = chain(((send.worker, send.activation.function.name) for send in self.in_flight),
                      ((worker, name) for worker in self.workers_with_orders for name in worker.load_orders))
        return {name for worker, name in named if worker.ready and worker.suspended_until <= now}

    def probe_silent_worker(self, worker: Worker, send: Send, now: int) -> bool:
        """Probes a worker that seems silent, once per send, to find out whether it is loading.

        A worker whose copies were dropped loads for sends that were thought warm, and does not say so. If it
        were suspended for that, all workers would be, one after the other."""
        if not self.may_probe or worker.last_probe_at > send.sent_at:
            return False
        self.send_probe(worker, now)
        return True

    def send_probe(self, worker: Worker, now: int) -> None:
        """Probes a worker, which is not forgotten while the probe is open."""
        worker.last_probe_at, worker.open_probes = now, worker.open_probes + 1
        self.pending_steps.append(Step(Action.PROBE, worker=worker.name))

    def reroute(self, send: Send, now: int) -> None:
        """Moves an activation off a worker that is suspended or no longer ready, where that is allowed."""
        activation = send.activation
        if activation.answered or activation.answer_started or activation.open_send_count > 1 or (
                activation.type_stats.effect is not Effect.REPEATABLE) or (
                self.retry_budget < 1 or activation.answer_due <= now
                or len(activation.sends) >= self.max_sends):
            return
        if self.may_duplicate:
            # The first send may be running, so the second one uses the retry budget.
            activation.possible_runs.append(send)
            self.dispatch(activation, now)
        elif self.may_cancel:
            self.pending_steps.append(Step(Action.CANCEL, activation, send.worker.name, amount=send.number))
