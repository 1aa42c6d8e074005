"""Limits how many log lines of one kind are written. Free of I/O.

During an overload thousands of lines a second say the same. Each costs as much as a tenth of a call, and together
they would fill the queue in front of the log stream and hide the one line that gives the cause. Of each kind (an
event together with its reason) some lines a second are therefore written and the rest counted. The counts are
logged from time to time and when the process ends.
"""
from __future__ import annotations

from dataclasses import dataclass

from threadshift.interface import MS, SECOND

LINES_PER_SECOND = 20       # of one kind; enough to see single calls, and a few per cent of a processor at most
SUMMARY_INTERVAL = 5 * SECOND
MAX_KINDS = 256             # kinds that are counted separately; further ones are counted together as "others"


@dataclass(slots=True)
class KindCounter:
    """The lines of one kind."""

    second: int = -1             # the second in which the lines in `written` were written
    written: int = 0
    suppressed: int = 0          # since the last summary
    since: int = 0               # when the first of the suppressed lines came


class LogRateLimiter:
    """Counts lines by kind and decides which are written."""

    def __init__(self, now: int = 0) -> None:
        self.kinds: dict[str, KindCounter] = {}
        self.due = now + SUMMARY_INTERVAL

    def allow(self, now: int, kind: str) -> bool:
        """Whether this line is written; a line that is not is counted as suppressed."""
        counter = self.kinds.get(kind)
        if counter is None:
            if len(self.kinds) >= MAX_KINDS:
                kind = "others"
            counter = self.kinds.setdefault(kind, KindCounter())
        if counter.second != now // SECOND:
            counter.second, counter.written = now // SECOND, 0
        if counter.written < LINES_PER_SECOND:
            counter.written += 1
            return True
        self.suppress(now, kind)
        return False

    def suppress(self, now: int, kind: str) -> None:
        """Counts a line that is not written: there were too many of its kind, or the queue had no room for it."""
        counter = self.kinds[kind if kind in self.kinds else "others"]
        counter.since = counter.since if counter.suppressed else now
        counter.suppressed += 1

    def summary(self, now: int, is_last: bool = False) -> dict[str, dict[str, int]]:
        """The number of suppressed lines by kind and over how long they came, and starts counting anew.

        Empty until SUMMARY_INTERVAL has passed since the last summary, save for the last one of a process.
        """
        if not is_last and now < self.due:
            return {}
        self.due = now + SUMMARY_INTERVAL
        suppressed = {name: {"lines": counter.suppressed, "for_ms": (now - counter.since) // MS}
                      for name, counter in self.kinds.items() if counter.suppressed}
        for counter in self.kinds.values():
            counter.suppressed = 0
        return suppressed
