"""What several front ends promise together, checked from the workers' records and from the clients' answers.

- No call of a batch runs twice, unless it is repeatable and was reported as sent again.
- A call has one final state: a client that saw one never sees the call as pending or in another final state later.
- A call that ran is never undone, and one reported as cancelled never runs after that report.
- The eviction epoch of a worker only grows, and two workers of one epoch have the same policy.
- Of the holders of a function that evict it at the same time, as far as they know of each other, the one with the
  highest hash does not evict it while others hold it."""
from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from threadshift.eviction.node import last_copy_holder

Line = Mapping[str, Any]
FINAL = {200: "completed", 410: "cancelled", 429: "rejected", 502: "aborted", 503: "rejected", 504: "aborted"}


class Breach(NamedTuple):
    """A violation of one promise of the front ends."""

    promise: str
    text: str


def answers(calls: Iterable[Line], runs: Iterable[Line]) -> list[Breach]:
    """Checks the states that clients saw against the runs at workers.

    `calls` holds what clients saw, in the order of time: mark, status (202 while pending), t. `runs` holds the
    workers' lines of runs: mark, effect, t."""
    found: list[Breach] = []
    finals: dict[str, tuple[int, int]] = {}
    for call in calls:
        mark, status, at = call["mark"], call["status"], call["t"]
        before = finals.get(mark)
        if status == 202:
            if before:
                found.append(Breach("done stays done", f"{mark} was {FINAL[before[0]]} and is pending again"))
        elif before is None:
            finals[mark] = status, at
        elif FINAL.get(before[0]) != FINAL.get(status):
            found.append(Breach("one final answer", f"{mark}: {FINAL[before[0]]}, then {FINAL.get(status, status)}"))
    run_counts: dict[str, int] = {}
    for run in runs:
        mark = run["mark"]
        run_counts[mark] = run_counts.get(mark, 0) + 1
        if run_counts[mark] == 2 and run["effect"] != "repeatable":
            found.append(Breach("no double effect", f"{mark} ({run['effect']}) ran twice"))
        status, at = finals.get(mark, (0, 0))
        if status == 410 and run["t"] > at:
            found.append(Breach("cancelled stays cancelled", f"{mark} ran after it was reported as cancelled"))
    return found


def evictions(lines: Iterable[Line]) -> list[Breach]:
    """Checks the workers' lines of `epoch` and `evicted`, each with its worker, in the order of time."""
    found: list[Breach] = []
    epochs: dict[str, int] = {}
    policies: dict[int, str] = {}
    for line in lines:
        worker = line["worker"]
        if line["e"] == "epoch":
            if line["epoch"] <= epochs.get(worker, 0):
                found.append(Breach("epochs never go back", f"{worker}: {epochs[worker]}, then {line['epoch']}"))
            epochs[worker] = line["epoch"]
            known = policies.setdefault(line["epoch"], line["policy"])
            if known != line["policy"]:
                found.append(Breach("one policy an epoch", f"{line['epoch']}: {known} and {line['policy']}"))
        elif line["e"] == "evicted":
            others = line["others"]
            must_keep = last_copy_holder(line["function"], [worker, *others]) == worker
            if line["spare"] and must_keep:
                found.append(Breach("one keeper", f"{worker} evicted {line['function']}, which it had to keep"))
    return found


def stages(looks: Iterable[tuple[Mapping[str, Any], Mapping[str, str | None]]]) -> list[Breach]:
    """Checks observations of a rollout: its state with the stages, and the version that each front end reported."""
    found: list[Breach] = []
    for state, runs in looks:
        versions = {each for each in runs.values() if each is not None}
        new = sum(each == state["rollout"] for each in runs.values())
        stage = state["stages"][max(0, state["stage"])]
        if new > max(1, int(stage * len(runs) + 1e-9)) and state["state"] in ("checking", "going", "paused"):
            found.append(Breach("at most the stage's share is new", f"{new} of {len(runs)} in a stage of {stage}"))
        if len(versions - {"", state["rollout"]}) > 0 and not state.get("done"):
            found.append(Breach("no third version", f"{sorted(versions)}"))
    return found
