"""Admission control for a front end whose own processor is at its limit. Free of I/O.

The signal is the lag of the event loop: how late a timer fires. A call that was admitted waits for about the lag
before it is handled, and again for its answer, so a lag of a fifth of the shortest target latency is the most that
may last. While the lag is longer, a growing share of new calls is refused; while it is shorter, the share shrinks,
more slowly. The target for the lag must not be shorter than one iteration over all connections takes when every
call is refused, or every call would be: with 900 connections that is 70 ms, and a target of 25 ms admitted one call
in twenty.

A long lag in which the process hardly ran, with none behind it, comes from a stop of the process and not from its
work. It is taken back, or half of the calls would be refused for a second and more by a front end that is idle.

A refusal costs a third to a half of a served call, nearly all of it for reading and parsing. So a connection that was
refused is not read for a while: otherwise twice the load that can be served would be spent on refusals alone.

Retries by clients are refused first, as their first attempt has had its turn. Refusals are spread evenly by carrying
the fraction over from call to call, so that no randomness is needed. Where tenants are configured, a tenant that asks
for more than its share is refused first (shares.py): otherwise one that floods the front end would cause refusals for
all tenants alike.
"""
from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from threadshift.interface import MS, SECOND
from threadshift.invoke.shares import NO_TENANT, shares_to_refuse, tenant_key

READING_INTERVAL = 10 * MS           # between two readings of the lag while it is short
TARGET_LAG_SHARE = 0.2               # of the shortest target latency
# Change of the refused share, of all calls, per second: at twice the target lag and at no lag. Recovery is slower, as
# the share would oscillate otherwise.
GROWTH_PER_SECOND = 1.0
RECOVERY_PER_SECOND = 0.25
MAX_READING_GAP = 250 * MS           # longest time between readings that counts: a single stall is only one signal
MAX_LAG_EXCESS = 2.0                 # in target lags; a stall is one reading, however long it was
STOPPED_SHARE = 0.5                  # of a lag: a process that ran for less of it may have been stopped
MAX_REFUSED_SHARE = 0.95             # some calls are always admitted, or the end of the overload would go unnoticed
READ_PAUSE = 500 * MS                # half of the retry time that a refusal names: clients that obey it don't notice
SMOOTHING = 0.3                      # weight of the newest reading; one stall alone should not cause refusals
DEMAND_WINDOW = SECOND               # time constant of each tenant's demand; a flood shows in a fraction of it


class LagState(NamedTuple):
    """What the readings of the lag have led to so far."""

    smoothed_lag: float          # ns
    refused_share: float         # of all calls


class Admission:
    """Decides which calls are refused, and how large a share."""

    def __init__(self, target_latency: int, tenant_weights: Mapping[str, float] | None = None) -> None:
        self.target_lag = TARGET_LAG_SHARE * target_latency      # ns
        self.tenant_weights = tenant_weights or {NO_TENANT: 1.0}
        self.smoothed_lag, self.refused_share, self.refused_count, self.last_reading_at = 0.0, 0.0, 0, 0
        self.before_stop: LagState | None = None     # if the last reading may come from a stop of the process
        # By tenant: calls lately, the share to refuse, and the fraction of a refusal carried over.
        self.demand, self.refused_shares, self.carried = (
            dict.fromkeys(self.tenant_weights, 0.0) for _ in range(3))

    def record_lag(self, now: int, lag: int, computed: int | None = None) -> None:
        """Records one reading of the lag, in ns, and adjusts the share of refusals.

        `computed` is how much of the lag this process ran, in ns; all of it where that is not given."""
        self.check_for_stop(lag, lag if computed is None else computed)
        passed, self.last_reading_at = min(
            now - self.last_reading_at if self.last_reading_at else READING_INTERVAL, MAX_READING_GAP) / SECOND, now
        self.smoothed_lag += SMOOTHING * (max(0, lag) - self.smoothed_lag)
        excess = min(MAX_LAG_EXCESS, self.smoothed_lag / self.target_lag - 1)
        self.refused_share = min(MAX_REFUSED_SHARE, max(
            0.0, self.refused_share + (GROWTH_PER_SECOND if excess > 0 else RECOVERY_PER_SECOND) * excess * passed))
        if self.refused_share:
            # Tenants without recent calls are not refused, unless there is only the one that counts all calls.
            self.refused_shares = dict.fromkeys(
                self.tenant_weights, self.refused_share if len(self.tenant_weights) == 1 else 0.0)
            self.refused_shares |= shares_to_refuse({name: count for name, count in self.demand.items() if count},
                                                    self.tenant_weights, self.refused_share)
        for name in self.demand:
            self.demand[name] *= 1 - passed * SECOND / DEMAND_WINDOW

    def check_for_stop(self, lag: int, computed: int) -> None:
        """Takes the reading before back if it may come from a stop and this one is short: an overload would go on."""
        before, self.before_stop = self.before_stop, None
        is_long = lag > (1 + MAX_LAG_EXCESS) * self.target_lag
        if before is None and is_long and computed < STOPPED_SHARE * lag:
            self.before_stop = LagState(self.smoothed_lag, self.refused_share)
        elif before is not None and lag <= self.target_lag:
            self.smoothed_lag, self.refused_share = before

    def read_pause(self, tenant: str) -> int:
        """The time, in ns, for which a connection is not read after a refusal; it grows with the refused share."""
        return int(READ_PAUSE * min(MAX_REFUSED_SHARE, self.refused_shares[tenant_key(tenant, self.tenant_weights)]))

    def admit(self, is_client_retry: bool, tenant: str = NO_TENANT) -> bool:
        """Whether this call is admitted; counts it."""
        key = tenant_key(tenant, self.tenant_weights)
        self.demand[key] += 1
        if not self.refused_share:
            return True
        self.carried[key] += min(MAX_REFUSED_SHARE, (2 if is_client_retry else 1) * self.refused_shares[key])
        if self.carried[key] < 1:
            return True
        self.carried[key] -= 1
        self.refused_count += 1
        return False
