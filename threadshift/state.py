"""What one front end remembers of namespace types, functions, workers and itself: plain records.

Nothing here decides, and no figure here is tuned; threadshift/choice.py fills these in and reads them.
Times are whole nanoseconds, 0 for never.
"""
from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from threadshift.interface import Activation, Effect, Send, Step
from threadshift.ring import Cursor, HashRing


@dataclass(slots=True, eq=False)
class TypeStats:
    """A namespace type, with what its activations have been seen to take."""

    target_latency: int                  # target latency
    effect: Effect
    dedup_scope: str                   # who drops repeats of a deduplicated activation ...
    dedup_window: int                    # ... and for how long
    relative_utility: float                 # its utility over that of the type worth most
    typical_latency: float               # ns from send to answer where a copy stood
    mean_cost_hint: float = 0.0            # mean cost hint in ns, 0 before any
    mean_cost: float = 1.0           # what a call weighs: that hint in seconds, if any


@dataclass(slots=True, eq=False)
class Function:
    """A function, its place on the ring and what is under way for it."""

    name: str
    lanes: int
    own_lanes: int                    # ours of its lanes
    load_time: int                    # a load's usual time as told, 0: not told
    ring_point: int                      # its point on the ring
    sketch_cells: list[int]             # its cell in each row of the sketch
    candidates: dict[Worker, None] = field(default_factory=dict)     # its walk as far as worked out
    ring_version: int = -1            # of the ring that the walk belongs to
    cursor: Cursor = Cursor(0, 0)    # the place on the ring where that walk stands
    turn: int = 0                # of the round-robin
    last_completed_at: int = 0              # when it was last completed, anywhere
    next_order_at: int = 0               # no load order before it
    spread: int = 1               # stops that it is spread over
    primaries: dict[Worker, None] = field(default_factory=dict)     # these stops, home first
    kept_warm_by_others: bool = False           # others' calls are taken to keep its copies at these stops
    parked: deque[Activation] = field(default_factory=deque)    # waiting here for a load or a lane


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, as far as this front end knows it."""

    name: str
    ring_number: int = -1             # of its points on the ring, -1: they were not placed yet
    zone: str = ""
    cell: int = 0
    size: float = 1.0            # as told, to be set against other workers'
    started_at: int = 0               # its latest start
    ready: bool = False
    gone: bool = False           # by the roster; forgotten when there are many
    last_answer_at: int = 0               # its last answer
    adjusted_at: int = 0             # until then time's part in limit and pace is counted
    consecutive_failures: int = 0             # failures in a row
    consecutive_suspensions: int = 0         # in a row; above 0 and not suspended: on trial
    suspended_until: int = 0               # suspended until then
    relative_latency: float = 0.0            # its usual latency with a copy standing, over the target latency
    in_flight_limit: float = 0.0           # sends in flight that it bears
    limit_cut_at: int = 0                 # when that was last cut
    cold_credit: float = -1.0         # work it may be sent while cold, -1 before any
    credit_updated_at: int = 0              # until when credit was earned
    reported_load: float = 0.0            # over what it should carry, by its latest report or its silence ...
    load_updated_at: int = 0                # ... and when that was
    last_probe_at: int = 0               # when it was last asked for a report
    open_probes: int = 0              # questions that are out
    last_probe_answer_at: int = 0               # when it last answered one
    awaiting_report: list[Activation] = field(default_factory=list)      # waiting for that report
    sends: dict[Send, None] = field(default_factory=dict)   # ours in flight, oldest first
    warm_until: dict[str, int] = field(default_factory=dict)      # function: a copy is believed to stand until then
    load_orders: set[str] = field(default_factory=set)            # functions with a load order of ours out

    def has_copy(self, fn: Function, when: int) -> bool:
        return self.warm_until.get(fn.name, 0) > when

    def count_sends(self, fn: Function) -> int:
        return sum(send.activation.function is fn for send in self.sends)

    def is_loading(self, fn: Function) -> bool:
        return fn.name in self.load_orders or self.count_sends(fn) > 0


@dataclass(slots=True, eq=False)
class Zone:
    """A zone, for what its workers may share: a cut, or power."""

    failed_workers: set[Worker] = field(default_factory=set)      # failed since any of it answered
    consecutive_suspensions: int = 0         # as a worker's ...
    suspended_until: int = 0               # ... and until then


class CountMinSketch:
    """A count-min sketch: counts names in fixed room, never too low."""

    def __init__(self, depth: int, width: int, since: int):
        self.rows, self.width, self.started_at, self.total = [[0] * width for _ in range(depth)], width, since, 0

    def cells_of(self, number: int) -> list[int]:
        """Where a name is counted, by a large number drawn from it."""
        return [(number >> 16 * row) % self.width for row in range(len(self.rows))]

    def add(self, cells: list[int]) -> None:
        self.total += 1
        for row, cell in zip(self.rows, cells, strict=True):
            row[cell] += 1

    def estimate(self, cells: list[int]) -> int:
        return min(row[cell] for row, cell in zip(self.rows, cells, strict=True))


@dataclass(eq=False)
class DispatcherState:
    """What a front end remembers beside its settings."""

    completed_work_at: int                 # until when completed work, which fades, was brought up to date
    completed_work: float = 0.0
    workers: dict[str, Worker] = field(default_factory=dict)
    functions: dict[str, Function] = field(default_factory=dict)
    zones: dict[str, Zone] = field(default_factory=dict)
    ready_workers: list[Worker] = field(default_factory=list)           # workers that are ready
    max_ready_workers: int = 0        # ready at once, so far
    mean_size: float = 1.0       # of those that are ready
    ring: HashRing[Worker] = field(default_factory=HashRing)
    ring_version: int = 0             # of the ring
    share_used_until: dict[str, int] = field(default_factory=dict)          # until when a tenant's share is used up
    mean_cost: float = 0.0           # what a call weighs, over all types
    mean_reported_load: float = 0.0       # calls usually held by a worker of mean size, by reports
    pressure_share: float = 0.25        # share of reports, lately, that told of press
    recent_admissions: deque[int] = field(default_factory=deque)             # times of activations in the load window
    recent_load_orders: deque[int] = field(default_factory=deque)          # times of load orders in it
    open_load_orders: int = 0              # load orders out
    workers_with_orders: dict[Worker, None] = field(default_factory=dict)  # workers with load orders of ours out
    open_cold_sends: int = 0            # sends out with no copy believed there
    max_loads: float = 1.0      # how many of both there may be at most ...
    load_limit: float = 0.0      # ... how many the store bears now ...
    load_limit_cut_at: int = 0            # ... when that was last cut ...
    last_load_at: int = 0             # ... and when one was last begun
    timers: list[tuple[int, int, Activation]] = field(default_factory=list)   # (due, serial, activation)
    next_serial: Callable[[], int] = field(default_factory=lambda: count().__next__)     # serials
    in_flight: dict[Send, None] = field(default_factory=dict)      # all sends in flight, oldest first
    pending_steps: list[Step] = field(default_factory=list)               # to be carried out
