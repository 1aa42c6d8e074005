"""A simulated worker with the rules of the stand-in: lanes, copies, memory, loads, cores, queue and load reports."""
from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from threadshift.emulator.clock import Clock, ActiveFaults
from threadshift.emulator.store import ModelStore
from threadshift.interface import MS, Copy, Outcome, Report
from threadshift.standins.worker import Machine

# Called with the outcome, the copy and the load report; the outcome is None where the connection breaks.
Reply = Callable[[Outcome | None, Copy, Report | None], None]
COPIES = {"found": Copy.FOUND, "began": Copy.LOAD_STARTED, "waited": Copy.WAITED}


@dataclass(slots=True, eq=False)
class Job:
    """One call that waits or runs here."""

    front: str
    mark: str
    function: str
    effect: str
    work: int                    # duration at full speed, ns
    deadline: int
    reply: Reply
    copy: str = "found"
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class LoadedCopy:
    """One loaded copy of a function."""

    memory: float                # MB
    busy: int = 0                # lanes in use
    idle_since: int = 0


@dataclass(slots=True, eq=False)
class FunctionState:
    """One function on this worker: its copies, its loads under way, and the calls that wait for a lane."""

    copies: list[LoadedCopy] = field(default_factory=list)
    loading: int = 0
    lanes: int = 1
    queue: deque[Job] = field(default_factory=deque)
    load_orders: list[tuple[int, Callable[[Outcome, int], None]]] = field(default_factory=list)   # (copies, answer)


class ModelWorker:
    """One worker process; a restart makes a new one."""

    def __init__(self, clock: Clock, machine: Machine, store: ModelStore, note: Callable[..., None]):
        self.clock, self.machine, self.store, self.note = clock, machine, store, note
        self.started = clock.now
        self.faults = ActiveFaults(clock)
        self.functions: dict[str, FunctionState] = {}
        self.jobs: dict[Job, None] = {}
        self.ready: deque[tuple[FunctionState, LoadedCopy, Job]] = deque()      # have a lane and wait for a core
        self.running = self.loading = 0
        self.used_mb = 0.0
        self.waiting_loads: deque[tuple[str, FunctionState]] = deque()
        self.draining = False
        self.alive = True
        self.recent_work: deque[tuple[int, float]] = deque()    # (time, work ms) of the calls within the fall time
        self.report = Report()
        note("up", started=clock.now, cores=machine.cores, size=machine.size, zone=machine.zone)
        clock.after(machine.report_every, self.update_report)

    # Calls.

    def invoke(self, job: Job, hint: int, lanes: int) -> None:
        """Queues a call; `hint` is the work that the front end expects."""
        self.note("invoke", front=job.front, mark=job.mark, function=job.function, type="", effect=job.effect,
                  work_ms=hint / MS)
        self.crash_if_overloaded(hint / MS)
        if not self.alive:
            return
        if len(self.jobs) >= self.machine.max_calls or self.draining:
            self.note("turned", mark=job.mark, kind="full")
            job.reply(Outcome.FULL, Copy.UNKNOWN, self.report)
            return
        self.jobs[job] = None
        state = self.functions.setdefault(job.function, FunctionState())
        state.lanes = lanes
        state.queue.append(job)
        self.serve(job.function, state, job)

    def cancel(self, front: str, mark: str) -> None:
        """Only records the cancel: calls that wait here run all the same."""
        self.note("cancel", front=front, mark=mark)

    def crash_if_overloaded(self, work_ms: float) -> None:
        """Ends the worker when it is sent more work within the fall time than a cold worker can take."""
        machine, now = self.machine, self.clock.now
        if not machine.cold_time or now - self.started >= machine.cold_time:
            return
        self.recent_work.append((now, work_ms))
        while self.recent_work[0][0] <= now - machine.fall_time:
            self.recent_work.popleft()
        total_ms = sum(each for _, each in self.recent_work)
        limit_ms = machine.fall_multiple * self.speed() * machine.cores * machine.fall_time / MS
        if total_ms > limit_ms and len(self.recent_work) > 3:
            self.note("fell-over", pushed_ms=total_ms, bears_ms=limit_ms)
            self.alive = False

    def speed(self) -> float:
        """The share of the full speed that a worker of this age has: it grows linearly over the cold time."""
        machine = self.machine
        warm = min(1.0, (self.clock.now - self.started) / machine.cold_time) if machine.cold_time else 1.0
        return machine.cold_share + (1 - machine.cold_share) * warm

    def slowness(self) -> float:
        """The factor by which loads and calls take longer now."""
        return max(1.0, self.faults.amount("slow")) / self.speed()

    def serve(self, function: str, state: FunctionState, newest: Job | None = None) -> None:
        """Assigns free lanes. For the newest call, if it waits: starts a load, joins one, or answers a miss."""
        while state.queue:
            free = next((copy for copy in state.copies if copy.busy < state.lanes), None)
            if free is None:
                break
            free.busy += 1
            self.ready.append((state, free, state.queue.popleft()))
        self.start_ready()
        if newest is None or newest not in state.queue:
            return
        if not self.machine.loads_on_miss:
            if not state.copies and not state.loading:
                state.queue.remove(newest)
                self.done(newest, Outcome.MISS, Copy.UNKNOWN)
        elif len(state.queue) > state.loading * state.lanes:
            newest.copy = "began"
            self.queue_load(function, state)
        else:
            newest.copy = "waited"

    def start_ready(self) -> None:
        """Runs the calls that have a lane on free cores."""
        while self.ready and self.running < self.machine.cores:
            state, copy, job = self.ready.popleft()
            hung = self.faults.remaining("hang")
            if hung:
                self.ready.appendleft((state, copy, job))
                self.clock.after(hung, self.start_ready)
                return
            if job.cancelled or self.clock.now >= job.deadline:
                self.done(job, Outcome.FULL, Copy.UNKNOWN)
                self.release_lane(state, copy, job.function)
                continue
            self.running += 1
            self.note("run", front=job.front, mark=job.mark, function=job.function, effect=job.effect)
            self.clock.after(int(job.work * self.slowness() / self.machine.size), self.on_run_ended, state, copy, job)

    def on_run_ended(self, state: FunctionState, copy: LoadedCopy, job: Job) -> None:
        if hung := self.faults.remaining("hang"):
            self.clock.after(hung, self.on_run_ended, state, copy, job)
            return
        self.running -= 1
        late = int(self.faults.amount("late") * MS)
        self.clock.after(late, self.done, job, Outcome.COMPLETED, COPIES[job.copy])
        self.release_lane(state, copy, job.function)

    def release_lane(self, state: FunctionState, copy: LoadedCopy, function: str) -> None:
        copy.busy -= 1
        copy.idle_since = self.clock.now
        self.clock.after(0, self.serve, function, state)

    def done(self, job: Job, outcome: Outcome, copy: Copy) -> None:
        """Records the end of a call, and answers it or breaks its connection."""
        if self.jobs.pop(job, job) is not None or not self.alive:
            return
        self.note("turned" if outcome in (Outcome.FULL, Outcome.MISS) else "done", mark=job.mark, kind=outcome.value)
        broken = self.faults.consume("break-after-run") or self.faults.consume("break-mid-frame")
        for other in self.jobs if broken else ():       # all calls of this front end share the broken connection
            if other.front == job.front:
                self.note("cut-off", front=job.front, mark=other.mark)
        job.reply(None if broken else outcome, copy, self.report)

    # Copies.

    def queue_load(self, function: str, state: FunctionState) -> None:
        state.loading += 1
        self.waiting_loads.append((function, state))
        self.start_loads()

    def start_loads(self) -> None:
        while self.waiting_loads and self.loading < self.machine.max_loads:
            function, state = self.waiting_loads.popleft()
            self.loading += 1
            self.store.fetch(self.machine.name, function, partial(self.on_fetched, function, state))

    def on_fetched(self, function: str, state: FunctionState, pack: dict[str, Any] | None, reason: str) -> None:
        if pack is not None and not self.make_room(pack["memory_mb"]):
            pack, reason = None, "no memory is free"
        if pack is None:
            self.on_load_ended(function, state, None, reason)
            return
        self.used_mb += pack["memory_mb"]
        self.clock.after(int(pack["start_ms"] * self.slowness() * MS), self.on_load_ended, function, state, pack, "")

    def on_load_ended(self, function: str, state: FunctionState, pack: dict[str, Any] | None, reason: str) -> None:
        state.loading -= 1
        self.loading -= 1
        self.note("load", function=function, failed=reason)
        if pack is not None:
            state.copies.append(LoadedCopy(pack["memory_mb"], idle_since=self.clock.now))
        elif not state.copies and not state.loading:
            while state.queue:
                job = state.queue.popleft()
                self.done(job, Outcome.MISS, Copy.LOAD_FAILED)
        for wanted, answer in [each for each in state.load_orders
                               if len(state.copies) >= each[0] or not state.loading]:
            state.load_orders.remove((wanted, answer))
            answer(Outcome.COMPLETED if len(state.copies) >= wanted else Outcome.ERROR, len(state.copies))
        self.start_loads()
        self.serve(function, state)

    def make_room(self, wanted_mb: float) -> bool:
        """Unloads the copies that were idle longest; returns whether enough memory is free."""
        idle = sorted(((copy.idle_since, number, state, copy) for number, (state, copy) in enumerate(
            (state, copy) for state in self.functions.values() for copy in state.copies if not copy.busy)),
            key=lambda each: each[:2])
        for _, _, state, copy in idle:
            if self.used_mb + wanted_mb <= self.machine.memory_mb:
                break
            self.unload(state, copy)
        return self.used_mb + wanted_mb <= self.machine.memory_mb

    def unload(self, state: FunctionState, copy: LoadedCopy) -> None:
        state.copies.remove(copy)
        self.used_mb -= copy.memory

    def order_load(self, front: str, function: str, answer: Callable[[Outcome, int], None]) -> None:
        self.note("hold", front=front, function=function)
        if self.draining:
            answer(Outcome.FULL, 0)
            return
        state = self.functions.setdefault(function, FunctionState())
        for copy in state.copies:
            copy.idle_since = self.clock.now
        if state.copies:
            answer(Outcome.COMPLETED, len(state.copies))
            return
        state.load_orders.append((1, answer))
        if not state.loading:
            self.queue_load(function, state)

    # Periodic tasks and orders.

    def update_report(self) -> None:
        """Unloads idle copies and updates the load report."""
        if not self.alive:
            return
        now = self.clock.now
        for state in self.functions.values():
            for copy in [each for each in state.copies if not each.busy]:
                if now - copy.idle_since > self.machine.idle_keep_alive:
                    self.unload(state, copy)
        if not self.faults.amount("lie"):
            busy = sum(copy.memory for state in self.functions.values() for copy in state.copies if copy.busy)
            waiting = sum(len(state.queue) for state in self.functions.values())
            self.report = Report(float(waiting), float(len(self.jobs)), self.running / self.machine.cores,
                                 float(self.loading), min(1.0, busy / self.machine.memory_mb))
        self.clock.after(self.machine.report_every, self.update_report)

    def flush(self) -> None:
        """Unloads all idle copies."""
        for state in self.functions.values():
            for copy in [each for each in state.copies if not each.busy]:
                self.unload(state, copy)
