"""A model of one worker: lanes, copies, memory, loads, cores, queue, reports; the stand-in's rules, virtual time."""
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

# (outcome, copy, report) or None where the connection breaks
Reply = Callable[[Outcome | None, Copy, Report | None], None]
COPIES = {"found": Copy.FOUND, "began": Copy.LOAD_STARTED, "waited": Copy.WAITED}


@dataclass(slots=True, eq=False)
class Job:
    front: str
    mark: str
    function: str
    effect: str
    work: int                    # what it takes, ns
    ends: int
    reply: Reply
    copy: str = "found"
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class LoadedCopy:
    memory: float
    busy: int = 0
    idle_since: int = 0


@dataclass(slots=True, eq=False)
class FunctionState:
    copies: list[LoadedCopy] = field(default_factory=list)
    loading: int = 0
    lanes: int = 1
    queue: deque[Job] = field(default_factory=deque)
    holders: list[tuple[int, Callable[[Outcome, int], None]]] = field(default_factory=list)


class ModelWorker:
    """One life of a worker; a restart makes a new one."""

    def __init__(self, clock: Clock, machine: Machine, store: ModelStore, note: Callable[..., None]):
        self.clock, self.machine, self.store, self.note = clock, machine, store, note
        self.started = clock.now
        self.faults = ActiveFaults(clock)
        self.functions: dict[str, FunctionState] = {}
        self.jobs: dict[Job, None] = {}
        self.ready: deque[tuple[FunctionState, LoadedCopy, Job]] = deque()      # with a lane, waiting for a core
        self.running = self.loading = 0
        self.used = 0.0
        self.waiting_loads: deque[tuple[str, FunctionState]] = deque()
        self.draining = False
        self.alive = True
        self.pushed: deque[tuple[int, float]] = deque()
        self.report = Report()
        note("up", started=clock.now, cores=machine.cores, size=machine.size, zone=machine.zone)
        clock.after(machine.report_every, self.look)

    # Calls.

    def invoke(self, job: Job, hint: int, lanes: int) -> None:
        self.note("invoke", front=job.front, mark=job.mark, function=job.function, type="", effect=job.effect,
                  work_ms=hint / MS)
        self.push(hint / MS)
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
        """Noted only: what waits here is served all the same."""
        self.note("cancel", front=front, mark=mark)

    def push(self, work: float) -> None:
        it, now = self.machine, self.clock.now
        if not it.cold_time or now - self.started >= it.cold_time:
            return
        self.pushed.append((now, work))
        while self.pushed[0][0] <= now - it.fall_time:
            self.pushed.popleft()
        total = sum(each for _, each in self.pushed)
        bears = it.fall_multiple * self.able() * it.cores * it.fall_time / MS
        if total > bears and len(self.pushed) > 3:
            self.note("fell-over", pushed_ms=total, bears_ms=bears)
            self.alive = False

    def able(self) -> float:
        it = self.machine
        warm = min(1.0, (self.clock.now - self.started) / it.cold_time) if it.cold_time else 1.0
        return it.cold_share + (1 - it.cold_share) * warm

    def slowness(self) -> float:
        return max(1.0, self.faults.amount("slow")) / self.able()

    def serve(self, function: str, state: FunctionState, newest: Job | None = None) -> None:
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
            self.bring(function, state)
        else:
            newest.copy = "waited"

    def start_ready(self) -> None:
        while self.ready and self.running < self.machine.cores:
            state, copy, job = self.ready.popleft()
            hung = self.faults.left("hang")
            if hung:
                self.ready.appendleft((state, copy, job))
                self.clock.after(hung, self.start_ready)
                return
            if job.cancelled or self.clock.now >= job.ends:
                self.done(job, Outcome.FULL, Copy.UNKNOWN)
                self.release(state, copy, job.function)
                continue
            self.running += 1
            self.note("run", front=job.front, mark=job.mark, function=job.function, effect=job.effect)
            self.clock.after(int(job.work * self.slowness() / self.machine.size), self.ran, state, copy, job)

    def ran(self, state: FunctionState, copy: LoadedCopy, job: Job) -> None:
        if hung := self.faults.left("hang"):
            self.clock.after(hung, self.ran, state, copy, job)
            return
        self.running -= 1
        late = int(self.faults.amount("late") * MS)
        self.clock.after(late, self.done, job, Outcome.COMPLETED, COPIES[job.copy])
        self.release(state, copy, job.function)

    def release(self, state: FunctionState, copy: LoadedCopy, function: str) -> None:
        copy.busy -= 1
        copy.idle_since = self.clock.now
        self.clock.after(0, self.serve, function, state)

    def done(self, job: Job, outcome: Outcome, copy: Copy) -> None:
        if self.jobs.pop(job, job) is not None or not self.alive:
            return
        self.note("turned" if outcome in (Outcome.FULL, Outcome.MISS) else "done", mark=job.mark, kind=outcome.value)
        broken = self.faults.once("break-after-run") or self.faults.once("break-mid-frame")
        for other in self.jobs if broken else ():       # their connection breaks with it
            if other.front == job.front:
                self.note("cut-off", front=job.front, mark=other.mark)
        job.reply(None if broken else outcome, copy, self.report)

    # Copies.

    def bring(self, function: str, state: FunctionState) -> None:
        state.loading += 1
        self.waiting_loads.append((function, state))
        self.begin_loads()

    def begin_loads(self) -> None:
        while self.waiting_loads and self.loading < self.machine.max_loads:
            function, state = self.waiting_loads.popleft()
            self.loading += 1
            self.store.fetch(self.machine.name, function, partial(self.fetched, function, state))

    def fetched(self, function: str, state: FunctionState, pack: dict[str, Any] | None, why: str) -> None:
        if pack is not None and not self.room(pack["memory_mb"]):
            pack, why = None, "no memory is free"
        if pack is None:
            self.loaded(function, state, None, why)
            return
        self.used += pack["memory_mb"]
        self.clock.after(int(pack["start_ms"] * self.slowness() * MS), self.loaded, function, state, pack, "")

    def loaded(self, function: str, state: FunctionState, pack: dict[str, Any] | None, why: str) -> None:
        state.loading -= 1
        self.loading -= 1
        self.note("load", function=function, failed=why)
        if pack is not None:
            state.copies.append(LoadedCopy(pack["memory_mb"], idle_since=self.clock.now))
        elif not state.copies and not state.loading:
            while state.queue:
                job = state.queue.popleft()
                self.done(job, Outcome.MISS, Copy.LOAD_FAILED)
        for wanted, answer in [each for each in state.holders if len(state.copies) >= each[0] or not state.loading]:
            state.holders.remove((wanted, answer))
            answer(Outcome.COMPLETED if len(state.copies) >= wanted else Outcome.ERROR, len(state.copies))
        self.begin_loads()
        self.serve(function, state)

    def room(self, wanted: float) -> bool:
        idle = sorted(((copy.idle_since, number, state, copy) for number, (state, copy) in enumerate(
            (state, copy) for state in self.functions.values() for copy in state.copies if not copy.busy)),
            key=lambda each: each[:2])
        for _, _, state, copy in idle:
            if self.used + wanted <= self.machine.memory_mb:
                break
            self.unload(state, copy)
        return self.used + wanted <= self.machine.memory_mb

    def unload(self, state: FunctionState, copy: LoadedCopy) -> None:
        state.copies.remove(copy)
        self.used -= copy.memory

    def hold(self, front: str, function: str, answer: Callable[[Outcome, int], None]) -> None:
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
        state.holders.append((1, answer))
        if not state.loading:
            self.bring(function, state)

    # Beside.

    def look(self) -> None:
        """Idle copies go; the report is made anew."""
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
        self.clock.after(self.machine.report_every, self.look)

    def flush(self) -> None:
        for state in self.functions.values():
            for copy in [each for each in state.copies if not each.busy]:
                self.unload(state, copy)
