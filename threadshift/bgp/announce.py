"""Decides whether each service address is announced, and at which preference. Free of I/O.

Each front end decides alone, from what it knows itself. Three groups of signals bound the harm of wrong decisions:

- **Local signals**, which only this front end can have: the operator's override, its listener, its own drain. They
  withdraw the route.
- **Health signals**, which show poor service that the load does not explain: no fit worker, a cold fleet, an event
  loop that lags under little load, or late answers while fewer calls arrive than were handled before. They lower the
  preference, down to last resort, and never withdraw the route by themselves. A zone with a better route takes the
  traffic all the same, and if all zones are impaired by one cause, all stay reachable. A front end that cannot serve
  at all withdraws only after WITHDRAW_DELAY at last resort, during which a route reflected by a router showed another
  zone at a better preference. Reflected routes are old by the routers' delay: zones that fail together still see each
  other as healthy for a while, and would all withdraw at once without this delay.
- **Overload signals** change nothing. BGP moves all or none of a zone's traffic; moved because of load, it would
  overload the next zone and then come back. Overload is answered by rejecting requests at admission.

A worse standing takes effect after DOWN_DELAY, a better one after UP_DELAY, which doubles with each flap and has
jitter so that zones do not change together.
"""
from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from threadshift.bgp.standing import Standing
from threadshift.interface import MS, SECOND

# How long another standing must be indicated before it takes effect.
DOWN_DELAY = 200 * MS              # several ticks, a tenth of a usual hold time
UP_DELAY = 5 * SECOND              # a step; loads and some answers take seconds
WITHDRAW_DELAY = 3 * SECOND        # at last resort; longer than routers take to reflect routes
STARTUP_TIME = 3 * SECOND          # in which a new process connects to its workers and announces nothing but full
MAX_DOUBLINGS = 5                  # of UP_DELAY: 160 s, longer than most causes last
FLAP_MEMORY = 120 * SECOND         # one flap is forgotten after each such time without a fall
UP_DELAY_JITTER = 0.5              # largest random addition, as a share of UP_DELAY

# Limits of the signals.
FEW_WORKERS_SHARE = 0.5            # of the recent maximum of fit workers: with fewer the standing is lesser
COLD_BELOW = 0.4                   # mean warmth of the fit workers
TEPID_BELOW = 0.8                  # mean warmth of the fit workers
MAX_ROSTER_AGE = 60 * SECOND       # workers that ended after an older list are noticed only by failed connections
MAX_LOOP_LAG = 100 * MS            # smoothed; clients lose this much of their time at each step
EASY_LOAD_SHARE = 0.5              # of the demonstrated capacity: at a lower load, poor service is not overload
MIN_IN_TIME_SHARE = 0.5            # utility in time over utility requested
MIN_CALLS = 20                     # in a window; the share of fewer calls is mostly chance
CAPACITY_HALF_LIFE = 600 * SECOND  # of the largest well-served call rate
FLEET_HALF_LIFE = 300 * SECOND     # of the largest number of fit workers


@dataclass(frozen=True, slots=True)
class CallStats:
    """Calls of one namespace type in the last seconds."""

    calls: int = 0
    utility: float = 0.0             # requested
    in_time: float = 0.0             # utility answered within the target latency
    completed: int = 0               # in time or late
    unreached: int = 0               # ended without a send that reached a worker


@dataclass(frozen=True, slots=True)
class ServiceHealth:
    """What a front end knows of its own service at one moment."""

    listening: bool = True
    loop_lag: int = 0                # ns
    roster_age: int = 0              # ns
    workers: int = 1                 # listed as ready
    fit: int = 1                     # ready workers that are connected and not suspended
    warmth: float = 1.0              # 0 to 1, mean over the fit workers
    calls_per_second: float = 0.0
    refused_share: float = 0.0       # of calls, refused at admission
    call_stats: Mapping[str, CallStats] = field(default_factory=dict)    # by namespace type
    operator: Standing | None = None     # the operator's override; only a closed listener takes precedence
    drain: Standing | None = None        # standing at the present stage of a drain


@dataclass(frozen=True, slots=True)
class Decision:
    """The standing of an address, and the reason for it."""

    standing: Standing
    reason: str


@dataclass
class DemonstratedCapacity:
    """The load that this front end has recently served well: maxima that decay."""

    calls_per_second: float = 0.0
    fit_workers: float = 0.0
    at: int = 0

    def learn(self, now: int, health: ServiceHealth) -> None:
        """Lets the maxima decay and raises them to the present values."""
        passed, self.at = max(0, now - self.at) if self.at else 0, now
        self.calls_per_second *= 0.5 ** (passed / CAPACITY_HALF_LIFE)
        self.fit_workers = max(float(health.fit), self.fit_workers * 0.5 ** (passed / FLEET_HALF_LIFE))
        if in_time_share(health.call_stats) >= MIN_IN_TIME_SHARE:
            self.calls_per_second = max(self.calls_per_second, health.calls_per_second)


def in_time_share(call_stats: Mapping[str, CallStats]) -> float:
    """Utility answered in time over utility requested; 1 if there were too few calls to judge by."""
    requested = sum(each.utility for each in call_stats.values())
    if not requested or sum(each.calls for each in call_stats.values()) < MIN_CALLS:
        return 1.0
    return sum(each.in_time for each in call_stats.values()) / requested


def decide(health: ServiceHealth, capacity: DemonstratedCapacity, types: frozenset[str], others: int | None,
           time_at_last_resort: int = 0) -> Decision:
    """The standing that an address for these namespace types (empty: all) should have now.

    `others` counts the front ends that announce the address at a better preference than last resort; None if no
    router reflects routes. `time_at_last_resort` is how long (ns) the address has been at last resort or below."""
    if not health.listening:
        return Decision(Standing.WITHDRAWN, "not-listening")
    if health.operator is not None:
        return Decision(health.operator, "operator")
    if health.drain is not None:
        return Decision(health.drain, "draining")
    unable = Standing.WITHDRAWN if others and time_at_last_resort >= WITHDRAW_DELAY else Standing.LAST
    if not health.fit:
        return Decision(unable, "no-worker")
    served = {name: stats for name, stats in health.call_stats.items() if not types or name in types}
    if served and all(stats.calls >= MIN_CALLS and stats.completed == 0 and stats.unreached == stats.calls
                      for stats in served.values()):
        return Decision(unable, "types-unserved")
    is_load_easy = health.calls_per_second <= EASY_LOAD_SHARE * capacity.calls_per_second
    found = [Decision(Standing.FULL, "well")]
    if health.warmth < COLD_BELOW:
        found.append(Decision(Standing.POOR, "cold"))
    elif health.warmth < TEPID_BELOW:
        found.append(Decision(Standing.LESSER, "tepid"))
    if health.fit < FEW_WORKERS_SHARE * capacity.fit_workers:
        found.append(Decision(Standing.LESSER, "few-workers"))
    if health.roster_age > MAX_ROSTER_AGE:
        found.append(Decision(Standing.LESSER, "roster-old"))
    if health.loop_lag > MAX_LOOP_LAG and is_load_easy:
        found.append(Decision(Standing.POOR, "loop-lags"))
    if in_time_share(served) < MIN_IN_TIME_SHARE and is_load_easy:
        found.append(Decision(Standing.POOR, "serves-badly"))
    worst = max(found, key=lambda each: each.standing)
    if worst.standing is Standing.FULL and (
            health.loop_lag > MAX_LOOP_LAG or health.refused_share > 0 or in_time_share(served) < MIN_IN_TIME_SHARE):
        return Decision(Standing.FULL, "overloaded")     # overload does not change the standing; see the module
    return worst


UNABLE_TO_SERVE = frozenset({"no-worker", "types-unserved"})
STARTING = Decision(Standing.WITHDRAWN, "starting")
IMMEDIATE_REASONS = frozenset({"not-listening", "operator", "draining"})     # these do not flap, so need no delay


class Hysteresis:
    """The standing of one address over time: it falls quickly and rises slowly, more slowly after each flap."""

    def __init__(self, chance: Callable[[], float], now: int, standing: Standing = Standing.WITHDRAWN):
        self.chance = chance
        self.decision = Decision(standing, "starting")
        self.since = now                     # when the present standing took effect
        self.candidate: Decision | None = None    # a different standing that has not taken effect yet
        self.candidate_since = 0
        self.delay = 0                       # how long the candidate must persist
        self.flaps = 0
        self.fell_at = now
        self.last_resort_since = now         # when the standing fell to last resort or below
        self.has_risen = False               # since the last fall
        self.changes = 0

    def update(self, now: int, decision: Decision) -> bool:
        """Records the latest decision; True if the standing in effect changes."""
        if self.flaps and now - self.fell_at > FLAP_MEMORY:
            self.flaps, self.fell_at = self.flaps - 1, now
        if self.decision == STARTING and decision.reason not in IMMEDIATE_REASONS and (
                decision.standing > Standing.FULL and now - self.since < STARTUP_TIME):
            # Connections to workers take a moment after a start. An address that started below full would need a
            # dozen seconds to rise to it.
            return False
        if decision.standing is self.decision.standing:
            self.decision, self.candidate = decision, None
            return False
        is_worse = decision.standing > self.decision.standing
        if self.candidate is None or (self.candidate.standing > self.decision.standing) != is_worse:
            self.candidate_since = now
            self.delay = 0 if decision.reason in IMMEDIATE_REASONS else DOWN_DELAY if is_worse else int(
                (UP_DELAY << self.flaps) * (1 + UP_DELAY_JITTER * self.chance()))
            if self.decision.reason in ("starting", "operator") and not is_worse:
                self.delay = 0               # the first announcement, or the end of an operator's override
            elif decision.reason in UNABLE_TO_SERVE:
                self.delay = DOWN_DELAY      # also from withdrawn to last resort: no better front end is left
        if decision.reason in IMMEDIATE_REASONS:
            self.delay = 0
        self.candidate = decision
        if now - self.candidate_since < self.delay:
            return False
        self.change(now, decision, is_worse)
        return True

    def time_at_last_resort(self, now: int) -> int:
        """How long the address has been at last resort or below, not counting the start of the process."""
        is_at_last_resort = self.decision.standing >= Standing.LAST and self.decision.reason != "starting"
        return now - self.last_resort_since if is_at_last_resort else 0

    def change(self, now: int, decision: Decision, is_worse: bool) -> None:
        """Puts a decision into effect, at most one step up at a time."""
        if is_worse:
            if self.has_risen and decision.reason not in IMMEDIATE_REASONS:
                self.flaps = min(MAX_DOUBLINGS, self.flaps + 1)
            self.fell_at, self.has_risen = now, False
        else:
            # Stepwise, so that a fleet that has just come back receives its calls gradually.
            is_first = self.decision.reason in ("starting", "operator")
            step = decision.standing if is_first else max(decision.standing, Standing(self.decision.standing - 1))
            decision = Decision(Standing(step), decision.reason)
            self.has_risen = not is_first
        if decision.standing >= Standing.LAST > self.decision.standing:
            self.last_resort_since = now
        self.decision, self.since, self.candidate = decision, now, None
        self.changes += 1
