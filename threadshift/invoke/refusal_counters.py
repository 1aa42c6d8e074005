"""Counts of calls that were refused or given up, by reason and tenant, summarised in few log lines. Free of I/O.

A log line for each refusal would add to the load that overwhelms a front end; without any line operators would see
nothing. So each reason is counted and reported as soon as it appears, then as a sum every REPORT_INTERVAL while it
lasts.
"""
from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from threadshift.interface import MS, SECOND

REPORT_INTERVAL = 5 * SECOND         # between two log lines on one reason
MAX_TENANTS_LISTED = 3               # in one line; with more tenants no single one is the cause


@dataclass(slots=True)
class ReasonCounter:
    """The refusals of one reason since it was last reported."""

    since: int = 0                   # time of the first refusal not reported yet
    reported_at: int = -REPORT_INTERVAL
    count: int = 0
    total: int = 0                   # since the start of the process
    tenants: Counter[str] = field(default_factory=Counter)


class RefusalCounters:
    """Counters by reason. Reasons come from the program and are few; tenants are those configured, or NOBODY."""

    def __init__(self) -> None:
        self.reasons: dict[str, ReasonCounter] = {}

    def record(self, now: int, reason: str, tenant: str = "") -> None:
        counter = self.reasons.get(reason)
        if counter is None:
            counter = self.reasons[reason] = ReasonCounter()
        if not counter.count:
            counter.since = now
        counter.count += 1
        counter.total += 1
        counter.tenants[tenant] += 1

    def due_reports(self, now: int, flush: bool = False) -> list[dict[str, Any]]:
        """The fields of each log line that is due now; with `flush`, of all that was not reported yet."""
        reports = []
        for name, counter in self.reasons.items():
            if counter.count and (flush or now - counter.reported_at >= REPORT_INTERVAL):
                reports.append({"reason": name, "count": counter.count, "in_all": counter.total,
                                "for_ms": (now - counter.since) // MS,
                                "tenants": dict(counter.tenants.most_common(MAX_TENANTS_LISTED))})
                counter.reported_at, counter.count = now, 0
                counter.tenants.clear()
        return reports

    def totals(self) -> dict[str, int]:
        return {name: counter.total for name, counter in sorted(self.reasons.items())}
