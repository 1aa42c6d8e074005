"""Runs all jobs of a scenario in several processes and stores each result as it arrives. Stored runs are skipped."""
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

from threadshift.audit.records import RecordedEvent, select_events
from threadshift.audit.report import Verdict, judge
from threadshift.days.fault_scenario import read_text
from threadshift.emulator.run import Emulation
from threadshift.trials.former_names import current_name
from threadshift.trials.result_store import Result, ResultStore
from threadshift.trials.policies import POLICIES
from threadshift.trials.scenario import Job, Scenario

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000    # ten minutes
SIGNIFICANT_DIGITS = 3          # of latencies in a histogram
JOBS_PER_PROCESS = 4            # submitted ahead: no process idles, and a stop leaves few to finish


@contextmanager
def override_constants(job: Job) -> Iterator[None]:
    """Sets the job's constants in this process while the context lasts."""
    previous = []
    try:
        for module, written, value in job.constants:
            module_object, name = importlib.import_module(f"threadshift.{module}"), current_name(module, written)
            previous.append((module_object, name, getattr(module_object, name)))
            setattr(module_object, name, type(previous[-1][2])(value))
        yield
    finally:
        for module_object, name, value in reversed(previous):
            setattr(module_object, name, value)


def latency_histogram(seen: list[RecordedEvent]) -> HdrHistogram:
    """Returns the latencies of completed calls, us, counted from their first attempt."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    started: dict[str, int] = {}
    first_marks = {}
    for each in select_events(seen, "try"):
        started.setdefault(each["first"], each.t)
        first_marks[each["mark"]] = each["first"]
    for each in select_events(seen, "answer"):
        if each["final"] == "completed":
            histogram.record_value(max(MIN_LATENCY_US, (each.t - started[first_marks[each["mark"]]]) // 1000))
    return histogram


def run_job(job: Job) -> Result:
    """Runs and audits one job. A job always gives the same result, except for the processor time used."""
    day = read_text(job.text, seed=job.seed)
    started = time.process_time()
    with override_constants(job):
        emulation = Emulation(day, job.seed, POLICIES[job.policy])
        emulation.run()
    processor_time = time.process_time() - started
    seen = emulation.recorded_events()
    verdict: Verdict = judge(day, seen)
    return Result(
        job.key, job.point, job.seed, job.policy, job.text, day.front_ends, day.fleet.workers, verdict.tries,
        verdict.firsts, verdict.asked, verdict.in_time, verdict.finals["completed"], verdict.finals["rejected"],
        verdict.finals["aborted"], verdict.broken, verdict.sends, verdict.orders, verdict.loads,
        len(verdict.breaches), str(verdict.breaches[0]) if verdict.breaches else "",
        sum(front.processor_time for front in emulation.front_ends_started),
        latency_histogram(seen).encode().decode(), emulation.clock.events_run, processor_time)


def program_version() -> str:
    """Returns the commit of this program, with '+' if files differ from it, or the package version outside of git."""
    here = Path(__file__).parent
    described = subprocess.run(["git", "describe", "--always", "--dirty=+", "--exclude=*"], cwd=here,
                               capture_output=True, text=True, check=False)
    return described.stdout.strip() if described.returncode == 0 else metadata.version("threadshift")


def run(scenario: Scenario, store: ResultStore, processes: int, on_progress: Callable[[int, int], None]) -> int:
    """Runs the jobs that are not stored yet and returns their number.

    Calls `on_progress(finished, total)` at the start and after each run.
    """
    jobs = list(scenario.jobs())
    version = program_version()
    stored = store.keys(version)
    remaining = [job for job in jobs if job.key not in stored]
    trial = Path(scenario.file).stem
    on_progress(len(jobs) - len(remaining), len(jobs))
    for number, result in enumerate(run_in_processes(remaining, processes), 1):
        store.add(trial, version, result)
        on_progress(len(jobs) - len(remaining) + number, len(jobs))
    return len(remaining)


def run_in_processes(jobs: Iterable[Job], processes: int) -> Iterator[Result]:
    """Yields results as they arrive. A stop loses only the runs under way."""
    queued = iter(jobs)
    with ProcessPoolExecutor(processes) as pool:
        under_way: set[Future[Result]] = {
            pool.submit(run_job, job) for job in islice(queued, JOBS_PER_PROCESS * processes)}
        try:
            while under_way:
                finished, under_way = wait(under_way, return_when=FIRST_COMPLETED)
                for each in finished:
                    yield each.result()
                under_way |= {pool.submit(run_job, job) for job in islice(queued, len(finished))}
        finally:
            for each in under_way:
                each.cancel()
