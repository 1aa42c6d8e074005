"""Tells why the process stalled: whether it computed, waited for a core, or was not to be run at all.

What is left of a stall beside the processor time used and the time waited for a core was spent stopped (SIGSTOP, a
frozen machine) or in the kernel, for example for a page that had to be read from disk.
"""
from __future__ import annotations

import resource
import time
from pathlib import Path

from threadshift.interface import MS

# Of this thread: ns run, ns waited for a core, number of times run (Documentation/scheduler/sched-stats.rst).
SCHEDSTAT = Path("/proc/thread-self/schedstat")


def time_waited_for_core() -> int | None:
    """ns that this thread has waited for a core while it could run; None where the kernel does not tell."""
    try:
        return int(SCHEDSTAT.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None


def major_faults() -> int:
    """How many pages of this process had to be read from disk."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_majflt


class StallDiagnosis:
    """What the thread of the event loop has used since its last tick, and waited for since the last sample."""

    def __init__(self) -> None:
        self.on_tick_ended()
        self.sample()

    def on_tick_ended(self) -> None:
        """Called at the end of each tick."""
        self.cpu_at_tick = time.thread_time_ns()

    def cpu_time(self) -> int:
        """Processor time used since the last tick, in ns."""
        return time.thread_time_ns() - self.cpu_at_tick

    def sample(self) -> None:
        """Called once a second: reading these takes too long for each tick."""
        self.waited_at_sample, self.faults_at_sample = time_waited_for_core(), major_faults()

    def as_fields(self) -> dict[str, int]:
        """Log fields of a stall since the last tick. `waited_ms` and `major_faults` count since the last sample."""
        fields = {"cpu_ms": self.cpu_time() // MS,
                  "major_faults": major_faults() - self.faults_at_sample}
        waited = time_waited_for_core()
        if waited is not None and self.waited_at_sample is not None:
            fields["waited_ms"] = (waited - self.waited_at_sample) // MS
        return fields
