"""Carries out the runs of a scenario on all cores, and keeps each as it ends. What is kept is not run again."""
from __future__ import annotations

import importlib
import subprocess
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from contextlib import contextmanager
from importlib import metadata
from itertools import islice
from pathlib import Path

from hdrh.histogram import HdrHistogram

from threadshift.audit.records import Seen, by
from threadshift.audit.report import Verdict, judge
from threadshift.days.fault_scenario import read_text
from threadshift.emulator.run import Emulation
from threadshift.trials.keep import Kept, Result
from threadshift.trials.policies import POLICIES
from threadshift.trials.scenario import Job, Scenario

LEAST, MOST, DIGITS = 1, 600_000_000, 3     # us told apart in a histogram: up to ten minutes, to a thousandth
AHEAD = 4                  # runs handed out a process: enough that none waits, few enough to stop soon


@contextmanager
def constants_of(job: Job) -> Iterator[None]:
    """The job's constants in force, for this process."""
    kept = []
    try:
        for module, name, value in job.constants:
            it = importlib.import_module(f"threadshift.{module}")
            kept.append((it, name, getattr(it, name)))
            setattr(it, name, type(kept[-1][2])(value))
        yield
    finally:
        for it, name, value in reversed(kept):
            setattr(it, name, value)


def latencies(seen: list[Seen]) -> HdrHistogram:
    """Of completed calls, from their first try, us."""
    it = HdrHistogram(LEAST, MOST, DIGITS)
    began: dict[str, int] = {}
    first = {}
    for each in by(seen, "try"):
        began.setdefault(each["first"], each.t)
        first[each["mark"]] = each["first"]
    for each in by(seen, "answer"):
        if each["final"] == "completed":
            it.record_value(max(LEAST, (each.t - began[first[each["mark"]]]) // 1000))
    return it


def carry_out(job: Job) -> Result:
    """One run, audited. The same job gives the same result, but for the processor time it took."""
    day = read_text(job.text, seed=job.seed)
    began = time.process_time()
    with constants_of(job):
        it = Emulation(day, job.seed, POLICIES[job.policy])
        it.run()
    took = time.process_time() - began
    seen = it.seen()
    verdict: Verdict = judge(day, seen)
    return Result(
        job.key, job.point, job.seed, job.policy, job.text, day.front_ends, day.fleet.workers, verdict.tries,
        verdict.firsts, verdict.asked, verdict.in_time, verdict.finals["completed"], verdict.finals["rejected"],
        verdict.finals["aborted"], verdict.broken, verdict.sends, verdict.orders, verdict.loads,
        len(verdict.breaches), str(verdict.breaches[0]) if verdict.breaches else "",
        sum(front.used for front in it.lives), latencies(seen).encode().decode(), it.clock.played, took)


def commit() -> str:
    """What this program is: its commit, with '+' where files differ from it; else its version."""
    here = Path(__file__).parent
    told = subprocess.run(["git", "describe", "--always", "--dirty=+", "--exclude=*"], cwd=here, capture_output=True,
                          text=True, check=False)
    return told.stdout.strip() if told.returncode == 0 else metadata.version("threadshift")


def run(scenario: Scenario, kept: Kept, processes: int, done: Callable[[int, int], None]) -> int:
    """Runs what is not kept yet; how many were run. `done(how many, of how many)` after each."""
    jobs = list(scenario.jobs())
    text = commit()
    known = kept.keys(text)
    wanted = [job for job in jobs if job.key not in known]
    trial = Path(scenario.file).stem
    done(len(jobs) - len(wanted), len(jobs))
    for number, result in enumerate(spread(wanted, processes), 1):
        kept.add(trial, text, result)
        done(len(jobs) - len(wanted) + number, len(jobs))
    return len(wanted)


def spread(jobs: Iterable[Job], processes: int) -> Iterator[Result]:
    """Results as they come. A stop loses no more than what is under way."""
    waiting = iter(jobs)
    with ProcessPoolExecutor(processes) as pool:
        under_way: set[Future[Result]] = {pool.submit(carry_out, job) for job in islice(waiting, AHEAD * processes)}
        try:
            while under_way:
                ended, under_way = wait(under_way, return_when=FIRST_COMPLETED)
                for each in ended:
                    yield each.result()
                under_way |= {pool.submit(carry_out, job) for job in islice(waiting, len(ended))}
        finally:
            for each in under_way:
                each.cancel()
