"""Who is let in when the front end's own processor is at its limit. Free of I/O.

The sign is the lag of the event loop: how late a timer fires that should fire every PERIOD. While it stays over
TARGET, a growing part of new calls is refused at the door, before any work is spent on them; below it the part
shrinks, more slowly than it grew. Clients' repetitions are refused first: their first try has had its turn.
Refusals are spread evenly by carrying the fraction over from call to call, so no chance is needed.
"""
from __future__ import annotations

from threadshift.interface import MS

PERIOD = 10 * MS           # ns between two readings of the lag
TARGET = 25 * MS           # ns; a twentieth of a usual target latency, and over ordinary garbage collection
GROW, SHRINK = 0.04, 0.01  # of all calls, a reading; full refusal takes a quarter of a second
MOST = 0.95                # some calls are always let in, or nothing would show that the load has gone
SMOOTH = 0.3               # weight of the newest reading: one stall alone should refuse nobody


class Admission:
    """The part of calls refused now, and which."""

    def __init__(self) -> None:
        self.lag, self.part, self.carried, self.refused = 0.0, 0.0, 0.0, 0

    def measured(self, lag: int) -> None:
        """One reading, ns over the period."""
        self.lag += SMOOTH * (max(0, lag) - self.lag)
        if self.lag > TARGET:
            self.part = min(MOST, self.part + GROW)
        else:
            self.part = max(0.0, self.part - SHRINK)

    def admit(self, again: bool) -> bool:
        self.carried += min(MOST, 2 * self.part) if again else self.part
        if self.carried < 1:
            return True
        self.carried -= 1
        self.refused += 1
        return False
