"""The collector's pace in a process that serves calls."""
from __future__ import annotations

import gc

THRESHOLDS = 2_000, 50, 1_000  # objects, then rounds: old ones seldom, as a look at them stands still for 10 ms


def calm() -> None:
    """What stands by now stands for good: the collector need not look at it again and again. Calls leave no rings."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
