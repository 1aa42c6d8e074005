"""How many workers are fit, and how warm: signs that a front end and its model in the emulator gather alike."""
from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from threadshift.choice import Dispatcher


class Fitness(NamedTuple):
    workers: int             # listed as ready
    fit: int                 # of them linked and not suspended
    warmth: float            # 0 to 1, mean over the fit


def fitness(dispatcher: Dispatcher, linked: Callable[[str], bool], now: int) -> Fitness:
    ready = [worker for worker in dispatcher.workers.values() if worker.ready]
    fit = [worker for worker in ready if worker.suspended_until <= now and linked(worker.name)]
    return Fitness(len(ready), len(fit),
                   sum(dispatcher.warmup_progress(worker, now) for worker in fit) / len(fit) if fit else 0.0)
