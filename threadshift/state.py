"""What one front end has recorded about namespace types, functions, workers, zones and its own load orders.

These are plain records: threadshift/choice.py fills them in and decides by them. Times are whole nanoseconds, and
0 means never.
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
    """A namespace type, with the latency and cost seen of its activations."""

    target_latency: int
    effect: Effect
    dedup_scope: str             # which workers share their memory of marks: all, or those of a zone or cell
    dedup_window: int            # how long they remember a mark
    relative_utility: float      # its utility divided by that of the most valuable type
    typical_latency: float       # ns from send to answer at a worker that had a copy
    mean_cost_hint: float = 0.0  # ns; 0 before any hint
    mean_cost: float = 1.0       # mean_cost_hint in seconds; 1 before any hint


@dataclass(slots=True, eq=False)
class Function:
    """A function, its place on the ring, and the activations that are parked for it."""

    name: str
    lanes: int                   # activations that one copy runs at once
    own_lanes: int               # this front end's part of them
    load_time: int               # usual time of a load as configured; 0: unknown
    ring_point: int              # where its clockwise order begins
    sketch_cells: list[int]      # its cell in each row of the sketch
    clockwise_order: dict[Worker, None] = field(default_factory=dict)   # of workers, as far as computed
    ring_version: int = -1       # the version of the ring that this order belongs to
    cursor: Cursor = Cursor(0, 0)    # where on the ring this order ends
    turn: int = 0                # of the round-robin over its workers
    last_completed_at: int = 0   # at any worker
    next_order_at: int = 0       # no load is ordered before
    spread: int = 1              # number of ring candidates that its calls are spread over
    primaries: dict[Worker, None] = field(default_factory=dict)     # these candidates, home first
    kept_warm_by_others: bool = False    # calls of other front ends are assumed to keep copies there
    parked: deque[Activation] = field(default_factory=deque)    # activations that wait for a load or a lane


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, as far as this front end knows it."""

    name: str
    ring_number: int = -1        # its number on the ring; -1: not placed yet
    zone: str = ""
    cell: int = 0
    size: float = 1.0            # as listed, relative to other workers
    started_at: int = 0          # latest start
    ready: bool = False
    gone: bool = False           # no longer listed; such workers are forgotten when there are many
    last_answer_at: int = 0
    adjusted_at: int = 0         # when the effects of elapsed time on limit and latency were last applied
    consecutive_failures: int = 0
    consecutive_suspensions: int = 0     # if above 0 and not suspended, the worker is on trial
    suspended_until: int = 0
    relative_latency: float = 0.0    # mean latency at a warm worker, divided by the target latency
    in_flight_limit: float = 0.0     # sends in flight that it can process
    limit_cut_at: int = 0
    cold_credit: float = -1.0    # cost that it may be sent while cold; -1: not drawn yet
    credit_updated_at: int = 0
    reported_load: float = 0.0   # load over what it should carry, by its latest report or its silence
    load_updated_at: int = 0
    last_probe_at: int = 0
    open_probes: int = 0         # probes without an answer yet
    last_probe_answer_at: int = 0
    awaiting_report: list[Activation] = field(default_factory=list)
    sends: dict[Send, None] = field(default_factory=dict)   # own sends in flight, oldest first
    warm_until: dict[str, int] = field(default_factory=dict)    # by function: a copy is believed there until then
    load_orders: set[str] = field(default_factory=set)      # functions with an open load order

    def has_copy(self, function: Function, when: int) -> bool:
        """Whether own calls or load orders are believed to keep a copy there beyond that time."""
        return self.warm_until.get(function.name, 0) > when

    def count_sends(self, function: Function) -> int:
        """The own sends of the function in flight."""
        return sum(send.activation.function is function for send in self.sends)

    def is_loading(self, function: Function) -> bool:
        """Whether it may be loading the function, by a load order or for a send."""
        return function.name in self.load_orders or self.count_sends(function) > 0


@dataclass(slots=True, eq=False)
class Zone:
    """A zone, whose workers may fail together, for example by a network partition or a power cut."""

    failed_workers: set[Worker] = field(default_factory=set)    # since any worker of the zone answered
    consecutive_suspensions: int = 0     # if above 0 and not suspended, the zone is on trial
    suspended_until: int = 0


class CountMinSketch:
    """A count-min sketch: counts names in constant space, and never too low."""

    def __init__(self, depth: int, width: int, started_at: int):
        self.rows, self.width, self.started_at, self.total = (
            [[0] * width for _ in range(depth)], width, started_at, 0)

    def cells_of(self, number: int) -> list[int]:
        """The cell of a name in each row, by a large hash of it."""
        return [(number >> 16 * row) % self.width for row in range(len(self.rows))]

    def add(self, cells: list[int]) -> None:
        self.total += 1
        for row, cell in zip(self.rows, cells, strict=True):
            row[cell] += 1

    def estimate(self, cells: list[int]) -> int:
        """The count of a name, or more where others share all its cells."""
        return min(row[cell] for row, cell in zip(self.rows, cells, strict=True))


@dataclass(eq=False)
class DispatcherState:
    """What a front end has recorded, besides its settings."""

    completed_work_at: int       # when completed_work, which decays, was last updated
    completed_work: float = 0.0  # cost of the work completed lately
    workers: dict[str, Worker] = field(default_factory=dict)
    functions: dict[str, Function] = field(default_factory=dict)    # those called least recently first
    zones: dict[str, Zone] = field(default_factory=dict)
    ready_workers: list[Worker] = field(default_factory=list)
    max_ready_workers: int = 0   # the most that were ready at once
    mean_size: float = 1.0       # of ready workers
    ring: HashRing[Worker] = field(default_factory=HashRing)
    ring_version: int = 0
    share_used_until: dict[str, int] = field(default_factory=dict)  # by tenant: when its share is free again
    mean_cost: float = 0.0       # of an activation, over all types
    mean_reported_load: float = 0.0  # activations at a worker of mean size, by reports
    pressure_share: float = 0.25     # share of recent reports that showed pressure
    open_load_orders: int = 0    # load orders without an answer yet
    workers_with_orders: dict[Worker, None] = field(default_factory=dict)   # workers with open load orders
    open_cold_sends: int = 0     # open sends to workers that were believed to have no copy
    max_loads: float = 1.0       # upper bound of the load limit
    load_limit: float = 0.0      # load orders and cold sends that the store can serve at once
    load_limit_cut_at: int = 0
    last_load_at: int = 0        # when a load was last ordered or caused by a send
    timers: list[tuple[int, int, Activation]] = field(default_factory=list)     # heap of (time, serial, activation)
    next_serial: Callable[[], int] = field(default_factory=lambda: count().__next__)
    in_flight: dict[Send, None] = field(default_factory=dict)   # all open sends, oldest first
    pending_steps: list[Step] = field(default_factory=list)     # to be returned to the caller
