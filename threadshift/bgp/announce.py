"""Whether, and how warmly, each service address is announced. Free of I/O; the heart of `bgp/`.

Every front end judges alone, from what it knows itself. What bounds the harm of that is one distinction:

- **Own signs** are ones that only this front end can have: the operator's word, its listener, its own drain. They
  withdraw.
- **Unwell signs** say that it serves badly, and that its load does not explain it: no fit worker, a cold fleet, a
  loop that lags while little is asked, answers late while less is asked than it has borne. They make the preference
  worse, down to last resort, and never withdraw by themselves: a hall with a better route takes the traffic all the
  same, and where all halls are bad for one cause, all stay reachable. A front end that can serve nothing withdraws
  only after it has stood at last resort for CONFIRM while a route reflected by a router showed another hall at a
  better preference. What is reflected is old by the routers' delay: halls that fall together each still see the
  others well, and without that time all would withdraw at once.
- **Overload signs** change nothing. BGP moves all of a hall's traffic or none; moved for load, it would overload the
  next hall and come back. Rejections at the door are what answers overload.

Worse takes QUICK to act, better takes SLOW, doubled for each flap, with jitter, so that halls do not move together.
"""
from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from threadshift.interface import MS, SECOND

QUICK = 200 * MS           # a sign must stand so long before preference falls; several ticks, a tenth of a hold time
SLOW = 5 * SECOND          # all must be well so long before it rises a step; a load and some answers take seconds
CONFIRM = 3 * SECOND       # at last resort before a withdrawal; over the delay with which routers reflect routes
START = 3 * SECOND         # after a start, to find its workers before anything but full is announced
FLAPS = 5                  # doublings of SLOW at most: 160 s, longer than any usual cause takes to pass
FORGET = 120 * SECOND      # without a fall, one flap is forgiven
JITTER = 0.5               # of SLOW, added by chance
FEW = 0.5                  # of the most fit workers lately: below it, preference is lesser
WARM, TEPID = 0.4, 0.8     # mean warmth of fit workers below which the fleet counts as cold, as tepid
OLD_ROSTER = 60 * SECOND   # a list so old says little; workers that died since are found by failing only
LAG = 100 * MS             # of the event loop, smoothed; clients' time is lost in such steps
EASY = 0.5                 # of the calls a second borne lately: asked for less, load explains nothing
SERVED = 0.5               # of utility in time over asked: below it service is bad
CALLS = 20                 # judged in a window at least; fewer are chance
BORNE_HALF = 600 * SECOND  # the most calls borne well fades to half in this
FLEET_HALF = 300 * SECOND  # the same for the most fit workers seen


class Standing(IntEnum):
    """How an address is announced; a greater one is worse."""

    FULL = 0
    LESSER = 1
    POOR = 2
    LAST = 3                 # last resort: taken only where nobody else is left
    WITHDRAWN = 4


@dataclass(frozen=True, slots=True)
class Service:
    """Calls of one namespace type in the last seconds."""

    asked: int = 0
    utility: float = 0.0             # asked for
    in_time: float = 0.0             # of it, answered within the target latency
    completed: int = 0               # in time or late
    unreached: int = 0               # ended with no send that reached a worker


@dataclass(frozen=True, slots=True)
class Signs:
    """What a front end knows of itself now."""

    listening: bool = True
    lag: int = 0                     # ns
    roster_age: int = 0              # ns
    workers: int = 1                 # listed as ready
    fit: int = 1                     # of them linked and not suspended
    warmth: float = 1.0              # 0 to 1, mean over the fit
    asked_per_s: float = 0.0
    refused: float = 0.0             # part of calls refused at the door
    service: Mapping[str, Service] = field(default_factory=dict)
    operator: Standing | None = None     # the operator's word, over all but the listener
    drain: Standing | None = None        # how far an ordered drain has come


@dataclass(frozen=True, slots=True)
class Verdict:
    standing: Standing
    reason: str


@dataclass
class Borne:
    """What this front end has shown lately that it can bear: maxima that fade."""

    calls: float = 0.0               # a second, served well
    fit: float = 0.0                 # workers
    at: int = 0

    def learn(self, now: int, signs: Signs) -> None:
        passed, self.at = max(0, now - self.at) if self.at else 0, now
        self.calls *= 0.5 ** (passed / BORNE_HALF)
        self.fit = max(float(signs.fit), self.fit * 0.5 ** (passed / FLEET_HALF))
        if share(signs.service) >= SERVED:
            self.calls = max(self.calls, signs.asked_per_s)


def share(service: Mapping[str, Service]) -> float:
    """Utility in time over asked; 1 where too little was asked to tell."""
    asked = sum(each.utility for each in service.values())
    if not asked or sum(each.asked for each in service.values()) < CALLS:
        return 1.0
    return sum(each.in_time for each in service.values()) / asked


def judge(signs: Signs, borne: Borne, types: frozenset[str], others: int | None, waited: int = 0) -> Verdict:
    """How an address that serves these types (none: all) ought to stand now. `others` counts front ends seen to
    announce it at a better preference than last resort; None where no router reflects routes. `waited` is for how
    long it has stood at last resort or below, ns."""
    if not signs.listening:
        return Verdict(Standing.WITHDRAWN, "not-listening")
    if signs.operator is not None:
        return Verdict(signs.operator, "operator")
    if signs.drain is not None:
        return Verdict(signs.drain, "draining")
    helpless = Standing.WITHDRAWN if others and waited >= CONFIRM else Standing.LAST
    if not signs.fit:
        return Verdict(helpless, "no-worker")
    mine = {name: one for name, one in signs.service.items() if not types or name in types}
    if mine and all(one.asked >= CALLS and one.completed == 0 and one.unreached == one.asked
                    for one in mine.values()):
        return Verdict(helpless, "types-unserved")
    easy = signs.asked_per_s <= EASY * borne.calls
    found = [Verdict(Standing.FULL, "well")]
    if signs.warmth < WARM:
        found.append(Verdict(Standing.POOR, "cold"))
    elif signs.warmth < TEPID:
        found.append(Verdict(Standing.LESSER, "tepid"))
    if signs.fit < FEW * borne.fit:
        found.append(Verdict(Standing.LESSER, "few-workers"))
    if signs.roster_age > OLD_ROSTER:
        found.append(Verdict(Standing.LESSER, "roster-old"))
    if signs.lag > LAG and easy:
        found.append(Verdict(Standing.POOR, "loop-lags"))
    if share(mine) < SERVED and easy:
        found.append(Verdict(Standing.POOR, "serves-badly"))
    worst = max(found, key=lambda each: each.standing)
    if worst.standing is Standing.FULL and (signs.lag > LAG or signs.refused > 0 or share(mine) < SERVED):
        return Verdict(Standing.FULL, "overloaded")      # kept: see above
    return worst


HELPLESS = frozenset({"no-worker", "types-unserved"})
STARTING = Verdict(Standing.WITHDRAWN, "starting")
AT_ONCE = frozenset({"not-listening", "operator", "draining"})      # nothing to wait for: these do not flicker


class Hysteresis:
    """One address's standing over time: quick down, slow up, slower after each flap."""

    def __init__(self, chance: Callable[[], float], now: int, standing: Standing = Standing.WITHDRAWN):
        self.chance = chance
        self.verdict = Verdict(standing, "starting")
        self.since = now                     # of the standing in force
        self.wish: Verdict | None = None     # another standing, not yet taken over ...
        self.wished = 0                      # ... since then
        self.wait = 0                        # how long it must stand
        self.flaps = 0
        self.fell = now
        self.low = now                       # since when it stands at last resort or below
        self.rose = False                    # since the last fall
        self.changes = 0

    def heed(self, now: int, wish: Verdict) -> bool:
        """Takes note of a verdict; True where the standing in force changes by it."""
        if self.flaps and now - self.fell > FORGET:
            self.flaps, self.fell = self.flaps - 1, now
        if self.verdict == STARTING and wish.reason not in AT_ONCE and (
                wish.standing > Standing.FULL and now - self.since < START):
            # Links to workers come up within moments of a start; judged before, the way up takes a dozen seconds.
            return False
        if wish.standing is self.verdict.standing:
            self.verdict, self.wish = wish, None
            return False
        worse = wish.standing > self.verdict.standing
        if self.wish is None or (self.wish.standing > self.verdict.standing) != worse:
            self.wished = now
            self.wait = 0 if wish.reason in AT_ONCE else QUICK if worse else int(
                (SLOW << self.flaps) * (1 + JITTER * self.chance()))
            if self.verdict.reason in ("starting", "operator") and not worse:
                self.wait = 0        # the first announcement, or an operator's word taken back
            elif wish.reason in HELPLESS:
                self.wait = QUICK    # also from withdrawn to last resort: nobody better is left
        if wish.reason in AT_ONCE:
            self.wait = 0
        self.wish = wish
        if now - self.wished < self.wait:
            return False
        self.change(now, wish, worse)
        return True

    def waited(self, now: int) -> int:
        """For how long it has stood at last resort or below, as a front end that announced itself."""
        stands = self.verdict.standing >= Standing.LAST and self.verdict.reason != "starting"
        return now - self.low if stands else 0

    def change(self, now: int, wish: Verdict, worse: bool) -> None:
        if worse:
            if self.rose and wish.reason not in AT_ONCE:
                self.flaps = min(FLAPS, self.flaps + 1)
            self.fell, self.rose = now, False
        else:
            # A fleet that has only just come back gets its calls step by step.
            first = self.verdict.reason in ("starting", "operator")
            step = wish.standing if first else max(wish.standing, Standing(self.verdict.standing - 1))
            wish = Verdict(Standing(step), wish.reason)
            self.rose = not first
        if wish.standing >= Standing.LAST > self.verdict.standing:
            self.low = now
        self.verdict, self.since, self.wish = wish, now, None
        self.changes += 1
