"""The plain types and words that callers and the decision module share.

Nothing here decides. Times are whole nanoseconds; ids are whatever the caller uses for them.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

MS = 1_000_000
SECOND = 1_000 * MS


class Effect(Enum):
    """What running an activation a second time does."""

    REPEATABLE = "repeatable"
    DEDUPLICATED = "deduplicated"
    ONCE_ONLY = "once-only"


class Outcome(Enum):
    """How a send, a load order or a probe ended."""

    COMPLETED = "completed"
    ERROR = "error"              # the worker answered with an error; it may have run
    FULL = "full"                # turned away unseen
    TIMEOUT = "timeout"          # nothing heard in time; it may have run
    UNREACHABLE = "unreachable"  # no connection; it never ran
    RESET = "reset"              # the connection broke under it; it may have run
    CANCELLED = "cancelled"      # we gave up waiting; it may have run
    NEVER_SENT = "moot"                # never left the front end
    MISS = "miss"                # no copy there, and no load under way that succeeded


class Copy(Enum):
    """What an answer says about the copy that served it."""

    UNKNOWN = "untold"
    FOUND = "found"
    LOAD_STARTED = "began"
    WAITED = "waited"
    LOAD_FAILED = "load failed"


class WorkerState(Enum):
    """What the roster says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Action(Enum):
    """What a front end is asked to carry out."""

    SEND = "send"          # act to worker; not once `amount` ns have passed before it leaves (0: its own time left)
    CANCEL = "cancel"      # give up waiting for send number `amount` of act
    REJECT = "reject"      # final answer; the client may come back after `amount` ns (0: no advice)
    ABORT = "abort"        # final answer
    PROBE = "ask"            # probe worker, for its load report
    LOAD = "hold"          # load order: `amount` copies of fn at worker


class Step(NamedTuple):
    """One thing to be done now; which fields count depends on `do`."""

    action: Action
    activation: Any = None
    worker: str = ""
    function: str = ""
    amount: int = 0


class Report(NamedTuple):
    """What a worker says of its load, a while ago and roughly; None: not told."""

    waiting: float | None = None     # activations in its queue
    held: float | None = None        # activations in all
    busy: float | None = None        # share of its cores
    loading: float | None = None     # loads under way or waiting
    pinned: float | None = None      # share of its memory at work or loading


class NamespaceType(NamedTuple):
    """A kind of activation, as read at start."""

    name: str
    target_latency: int
    action_timeout: int
    utility: float
    late_utility: float
    effect: Effect
    dedup_scope: str = "all"           # who drops repeats of a deduplicated activation: all, zone or cell
    dedup_window: int = 0         # for how long they remember it


class Tenant(NamedTuple):
    """Who shares the fleet, and the rate within its share over all front ends."""

    name: str
    share: float
    per_second: float


class Deployment(NamedTuple):
    """What a front end is told once, when it starts."""

    types: tuple[NamespaceType, ...]
    tenants: tuple[Tenant, ...] = ()
    front_ends: int = 1
    zone: str = ""
    cross_zone_fee: float = 0.0        # price of a send to another zone; 0: none
    tick: int = MS
    max_sends: int = 1
    may_cancel: bool = False
    may_duplicate: bool = False
    may_order_loads: bool = False
    may_probe: bool = False
    max_retry_after: int = 0      # the longest time to come back that clients heed; 0: none may be named
    loads_on_miss: bool = True
    idle_keep_alive: int = 0           # an idle copy stays at least this long
    load_window: int = 0         # load orders: within this window (0: no limit) ...
    load_free: float = 0.0       # ... at most so many ...
    load_ratio: float = 0.0      # ... plus this share of the activations taken
    drain_grace: int = 0
    cold_share: float = 1.0      # a worker starts with this share of its capacity or more
    cold_time: int = 0           # and is warm after this at the latest
    fall_multiple: float = 1.0   # sent more than this multiple of its present capacity ...
    fall_time: int = SECOND      # ... over this time, a cold worker falls over


class WorkerListing(NamedTuple):
    """One line of the roster."""

    worker: str
    state: WorkerState
    zone: str = ""
    cell: int = 0
    started_at: int = 0               # when it last started; 0: long past
    size: float = 1.0            # to be set against other workers' sizes


@dataclass(slots=True, eq=False)
class Send:
    """One try of an activation on a worker."""

    activation: Activation
    number: int
    worker: Any
    sent_at: int
    warm: bool                   # a copy was believed to stand
    is_open: bool = True             # no outcome yet


@dataclass(slots=True, eq=False)
class Activation:
    """One call taken: the caller's handle to it. All that it is told goes to the dispatcher that made it."""

    dispatcher: Any
    id: str
    type_stats: Any
    function: Any
    admitted_at: int
    answer_due: int                     # when its final answer is due
    cost_hint: int                    # cost hint in ns; 0: none
    low_priority: bool                  # worth least: a client's repetition, or beyond a share
    turn: int                    # of its function's round-robin
    probe_count: int = 0                # workers asked for a report on its account
    awaited_worker: Any = None            # the worker whose report it waits for
    sends: list[Send] = field(default_factory=list)
    possible_runs: list[Send] = field(default_factory=list)     # sends that may have run
    open_send_count: int = 0                 # sends without an outcome yet
    answered: bool = False
    answer_started: bool = False          # a streamed answer has begun

    @property
    def is_finished(self) -> bool:
        """Nothing more can come for it."""
        return self.answered and not self.open_send_count

    def start(self, now: int) -> list[Step]:
        return self.dispatcher.collect_steps(self.dispatcher.dispatch, self, now)

    def on_send_ended(self, now: int, number: int, outcome: Outcome, waited: int, *, copy: Copy = Copy.UNKNOWN,
                 final: bool = False, report: Report | None = None) -> list[Step]:
        send = self.sends[number]
        return self.dispatcher.collect_steps(
            self.dispatcher.on_send_ended, send, now, outcome, waited, copy, final, report)

    def on_answer_started(self, now: int, number: int) -> list[Step]:
        self.answer_started = True
        return []

    def on_client_gone(self, now: int) -> list[Step]:
        return self.dispatcher.collect_steps(self.dispatcher.on_client_gone, self)

