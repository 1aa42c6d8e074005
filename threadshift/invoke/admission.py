"""Who is let in when the front end's own processor is at its limit. Free of I/O.

The sign is the lag of the event loop: how late a timer fires. A call that was let in waits about that long before it
is looked at, and again for its answer, so a lag of a fifth of the shortest target latency is the most that may last.
While it is more, a growing part of new calls is refused at the door; while it is less, the part shrinks, more slowly.
The lag must not be asked to be shorter than one round over all connections takes when each is only refused, or all
would be: with 900 of them that is 70 ms, and a target of 25 ms let one call in twenty through.

A refusal costs a third to a half of a served call, nearly all of it for reading and parsing. So a connection that was
refused is not read for a while: otherwise twice the load that can be served would be spent on refusals alone.

Clients' repetitions are refused first: their first try has had its turn. Refusals are spread evenly by carrying the
fraction over from call to call, so no chance is needed.
"""
from __future__ import annotations

from threadshift.interface import MS, SECOND

PERIOD = 10 * MS           # ns between two readings of the lag, where it is short
PART = 0.2                 # of the shortest target latency, that the lag may take
GROW, SHRINK = 1.0, 0.25   # of all calls, a second, at twice the lag wanted and at none; slow back, or it swings
LONGEST = 250 * MS         # of the time between two readings that counts: a lone standstill is one sign, not many
WORST = 2.0                # times over the lag wanted that count; a stall is one reading, however long it was
MOST = 0.95                # some calls are always let in, or nothing would show that the load has gone
PAUSE = 500 * MS           # half of the time to come back that a refusal names; who heeds it does not notice
SMOOTH = 0.3               # weight of the newest reading: one stall alone should refuse nobody


class Admission:
    """The part of calls refused now, and which."""

    def __init__(self, target: int) -> None:
        self.wanted = PART * target      # ns
        self.lag, self.part, self.carried, self.refused, self.read = 0.0, 0.0, 0.0, 0, 0

    def measured(self, now: int, lag: int) -> None:
        """One reading: how late the timer came, ns."""
        passed, self.read = min(now - self.read if self.read else PERIOD, LONGEST) / SECOND, now
        self.lag += SMOOTH * (max(0, lag) - self.lag)
        over = min(WORST, self.lag / self.wanted - 1)
        self.part = min(MOST, max(0.0, self.part + (GROW if over > 0 else SHRINK) * over * passed))

    @property
    def pause(self) -> int:
        """ns for which a connection is not read after a refusal: longer the more is refused."""
        return int(PAUSE * self.part)

    def admit(self, again: bool) -> bool:
        self.carried += min(MOST, 2 * self.part) if again else self.part
        if self.carried < 1:
            return True
        self.carried -= 1
        self.refused += 1
        return False
