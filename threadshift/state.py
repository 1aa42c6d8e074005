"""What one front end remembers of namespace types, functions and workers: plain records.

Nothing here decides, and no figure here is tuned; threadshift/choice.py fills these in and reads them.
Times are whole nanoseconds, 0 for never.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from threadshift.interface import Activation, Effect, Send


@dataclass(slots=True, eq=False)
class Kind:
    """A namespace type, with what its activations have been seen to take."""

    target: int                  # target latency
    effect: Effect
    group: str                   # who drops repeats of a deduplicated activation ...
    span: int                    # ... and for how long
    grade: float                 # its utility over that of the type worth most
    typical: float               # ns from send to answer where a copy stood
    work: float = 0.0            # mean cost hint in ns, 0 before any
    units: float = 1.0           # what a call weighs: that hint in seconds, if any


@dataclass(slots=True, eq=False)
class Function:
    """A function, its place on the ring and what is under way for it."""

    name: str
    lanes: int
    part: int                    # ours of its lanes
    load: int                    # a load's usual time as told, 0: not told
    at: int                      # its point on the ring
    cells: list[int]             # its cell in each row of the sketch
    stops: dict[Worker, None] = field(default_factory=dict)     # its walk as far as worked out
    version: int = -1            # of the ring that the walk belongs to
    passed: int = 0              # ring points that the walk took so far
    turn: int = 0                # of the round-robin
    asked: int = 0               # when it was last called
    pause: int = 0               # no load order before it
    width: int = 1               # stops that it is spread over
    kept: bool = False           # others' calls are taken to keep its copies at these stops
    parked: deque[Activation] = field(default_factory=deque)    # waiting here for a load or a lane


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, as far as this front end knows it."""

    name: str
    points: list[int]            # on the ring
    zone: str = ""
    cell: int = 0
    size: float = 1.0            # as told, to be set against other workers'
    since: int = 0               # its latest start
    ready: bool = False
    heard: int = 0               # its last answer
    settled: int = 0             # until then time's part in limit and pace is counted
    strikes: int = 0             # failures in a row
    suspensions: int = 0         # in a row; above 0 and not suspended: on trial
    until: int = 0               # suspended until then
    pace: float = 0.0            # its usual latency with a copy standing, over the target latency
    limit: float = 0.0           # sends in flight that it bears
    cut: int = 0                 # when that was last cut
    credit: float = -1.0         # work it may be sent while cold, -1 before any
    earned: int = 0              # until when credit was earned
    load: float = 0.0            # activations waiting there, or held, by its latest report ...
    told: int = 0                # ... and when that came
    sends: dict[Send, None] = field(default_factory=dict)   # ours in flight, oldest first
    warm: dict[str, int] = field(default_factory=dict)      # function: a copy is believed to stand until then
    loads: set[str] = field(default_factory=set)            # functions with a load order of ours out

    def holds(self, fn: Function, when: int) -> bool:
        return self.warm.get(fn.name, 0) > when

    def calls(self, fn: Function) -> int:
        return sum(send.act.fn is fn for send in self.sends)

    def loading(self, fn: Function) -> bool:
        return fn.name in self.loads or self.calls(fn) > 0
