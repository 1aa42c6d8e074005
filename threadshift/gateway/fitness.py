"""How many workers are fit, and how warm they are; gathered alike by a front end and by its model in the emulator."""
from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from threadshift.choice import Dispatcher


class Fitness(NamedTuple):
    workers: int             # listed as ready
    fit: int                 # of these, connected and not suspended
    warmth: float            # from 0 to 1: the mean over the fit workers


def fitness(dispatcher: Dispatcher, linked: Callable[[str], bool], now: int) -> Fitness:
    ready = [worker for worker in dispatcher.workers.values() if worker.ready]
    fit = [worker for worker in ready if worker.suspended_until <= now and linked(worker.name)]
    return Fitness(len(ready), len(fit),
                   sum(dispatcher.warmup_progress(worker, now) for worker in fit) / len(fit) if fit else 0.0)
