"""The types that the placement policy shares with its callers.

Nothing here decides. Times are whole nanoseconds; ids are whatever the caller uses for them.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

MS = 1_000_000
SECOND = 1_000 * MS


class Effect(Enum):
    """What happens if an activation runs a second time."""

    REPEATABLE = "repeatable"        # no harm
    DEDUPLICATED = "deduplicated"    # workers recognise its mark and drop the repeat, for some time
    ONCE_ONLY = "once-only"          # harm: it must not be repeated


class Outcome(Enum):
    """How a send, a load order or a probe ended."""

    COMPLETED = "completed"
    ERROR = "error"              # the worker answered with an error; it may have run
    FULL = "full"                # the worker refused it; it never ran
    TIMEOUT = "timeout"          # no answer in time; it may have run
    UNREACHABLE = "unreachable"  # no connection; it never ran
    RESET = "reset"              # the connection broke; it may have run
    CANCELLED = "cancelled"      # the front end stopped waiting; it may have run
    NEVER_SENT = "moot"          # it never left the front end
    MISS = "miss"                # the worker has no copy, and no load under way has succeeded; it never ran


class Copy(Enum):
    """What an answer says about the copy that served it."""

    UNKNOWN = "untold"
    FOUND = "found"              # a copy was there
    LOAD_STARTED = "began"       # a load was started for it
    WAITED = "waited"            # it waited for a load that was under way
    LOAD_FAILED = "load failed"


class WorkerState(Enum):
    """The state of a worker by the list of workers."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Action(Enum):
    """What a front end has to carry out."""

    SEND = "send"          # send the activation to the worker if it can leave within `amount` ns (0: within its time)
    CANCEL = "cancel"      # stop waiting for send number `amount` of the activation
    REJECT = "reject"      # final answer; the client may retry after `amount` ns (0: no advice)
    ABORT = "abort"        # final answer
    PROBE = "ask"          # request a load report from the worker
    LOAD = "hold"          # order the worker to load `amount` copies of the function


class Step(NamedTuple):
    """One action to be carried out now; the action determines which of the other fields count."""

    action: Action
    activation: Any = None
    worker: str = ""
    function: str = ""
    amount: int = 0


class Report(NamedTuple):
    """The load of a worker as it reports it, late and roughly; None: not reported."""

    waiting: float | None = None     # activations in its queue
    held: float | None = None        # activations in all
    busy: float | None = None        # share of its cores at work
    loading: float | None = None     # loads under way or waiting
    pinned: float | None = None      # share of its memory that is at work or loading


class NamespaceType(NamedTuple):
    """A type of activations, as configured."""

    name: str
    target_latency: int
    action_timeout: int
    utility: float
    late_utility: float
    effect: Effect
    dedup_scope: str = "all"     # which workers share their memory of marks: all, or those of a zone or cell
    dedup_window: int = 0        # how long they remember a mark


class Tenant(NamedTuple):
    """A tenant, with its share of the fleet and the rate of calls within that share over all front ends."""

    name: str
    share: float
    per_second: float


class Deployment(NamedTuple):
    """The settings that a front end gets once, when it starts."""

    types: tuple[NamespaceType, ...]
    tenants: tuple[Tenant, ...] = ()
    front_ends: int = 1
    zone: str = ""
    cross_zone_fee: float = 0.0  # price of a send to another zone; 0: none
    tick: int = MS
    max_sends: int = 1           # for each activation
    may_cancel: bool = False
    may_duplicate: bool = False  # whether an activation may have two open sends
    may_order_loads: bool = False
    may_probe: bool = False
    max_retry_after: int = 0     # the longest advice that clients follow; 0: none may be given
    loads_on_miss: bool = True   # whether workers without a copy load it for a send
    idle_keep_alive: int = 0     # an idle copy is kept for at least this time
    load_window: int = 0         # in each such window (0: no limit) load orders are limited to ...
    load_free: float = 0.0       # ... this number ...
    load_ratio: float = 0.0      # ... plus this share of the activations admitted in it
    drain_grace: int = 0
    cold_share: float = 1.0      # share of its capacity that a worker has at least when it starts
    cold_time: int = 0           # after which it has its full capacity at the latest
    fall_multiple: float = 1.0   # a cold worker fails if it is sent more than this multiple of its capacity ...
    fall_time: int = SECOND      # ... over this time
    max_functions: int = 0       # that the memory has room to remember; 0: no limit of this kind


class WorkerListing(NamedTuple):
    """One entry of the list of workers."""

    worker: str
    state: WorkerState
    zone: str = ""
    cell: int = 0
    started_at: int = 0          # latest start; 0: long ago
    size: float = 1.0            # relative to other workers


@dataclass(slots=True, eq=False)
class Send:
    """One attempt to run an activation on a worker."""

    activation: Activation
    number: int                  # index among the sends of its activation
    worker: Any
    sent_at: int
    warm: bool                   # the worker was believed to have a copy
    is_open: bool = True         # no outcome yet


class EarlierRun(NamedTuple):
    """A send of an earlier activation of the same call, which may have run."""

    worker: Any
    sent_at: int


@dataclass(slots=True, eq=False)
class Activation:
    """The caller's handle for an admitted call, which passes all events on to the dispatcher."""

    dispatcher: Any
    id: str
    type_stats: Any
    function: Any
    admitted_at: int
    answer_due: int              # when its final answer is due
    cost_hint: int               # ns; 0: none
    low_priority: bool           # a client's retry, or beyond its tenant's share
    turn: int                    # of its function's round-robin
    admission: Any               # what it brings to the ration of load orders
    probe_count: int = 0         # workers probed on its account
    awaited_worker: Any = None   # the worker whose report it waits for
    sends: list[Send] = field(default_factory=list)
    possible_runs: list[Send | EarlierRun] = field(default_factory=list)    # sends that may have run
    open_send_count: int = 0     # sends without an outcome yet
    answered: bool = False       # it has its final answer, or its client is gone
    answer_started: bool = False     # part of a streamed answer has reached the client

    @property
    def is_finished(self) -> bool:
        """Whether nothing more can happen to it."""
        return self.answered and not self.open_send_count

    def start(self, now: int) -> list[Step]:
        """Makes the first decision; to be called once, after admission."""
        return self.dispatcher.collect_steps(self.dispatcher.dispatch, self, now)

    def on_send_ended(self, now: int, number: int, outcome: Outcome, waited: int, *, copy: Copy = Copy.UNKNOWN,
                      final: bool = False, report: Report | None = None) -> list[Step]:
        """Handles the end of a send after `waited` ns; `final` means that the client has its answer."""
        send = self.sends[number]
        return self.dispatcher.collect_steps(
            self.dispatcher.on_send_ended, send, now, outcome, waited, copy, final, report)

    def on_answer_started(self, now: int, number: int) -> list[Step]:
        """Notes that a streamed answer has begun, after which no further send is possible."""
        self.answer_started = True
        return []

    def on_client_gone(self, now: int) -> list[Step]:
        """Handles a client that is gone, and wants no answer."""
        return self.dispatcher.collect_steps(self.dispatcher.on_client_gone, self)
