"""What front ends promise together, checked from outside: from workers' records and what clients were told alone.

- Nothing of a batch runs twice, unless it is repeatable and was told as sent again.
- A call has one final answer: what was final once is never told as pending again, nor as another final.
- What was done is never undone, and what was told as cancelled never ran after it was told so.
- A worker's epoch of eviction only grows, and two workers told one epoch were told one policy.
- Of a function's holders that evict it at the same time, by what they were told, the highest by the hash is not one,
  as long as others are told to hold it."""
from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from threadshift.eviction.node import last_copy_holder

Line = Mapping[str, Any]
FINAL = {200: "completed", 410: "cancelled", 429: "rejected", 502: "aborted", 503: "rejected", 504: "aborted"}


class Breach(NamedTuple):
    """One promise that did not hold."""

    promise: str
    what: str


def told(calls: Iterable[Line], runs: Iterable[Line]) -> list[Breach]:
    """`calls`: what clients were told, in order of time: mark, status (202 while it is pending), t. `runs`: workers'
    lines of a run: mark, effect, t."""
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
    seen: dict[str, int] = {}
    for run in runs:
        mark = run["mark"]
        seen[mark] = seen.get(mark, 0) + 1
        if seen[mark] == 2 and run["effect"] != "repeatable":
            found.append(Breach("no double effect", f"{mark} ({run['effect']}) ran twice"))
        status, at = finals.get(mark, (0, 0))
        if status == 410 and run["t"] > at:
            found.append(Breach("cancelled stays cancelled", f"{mark} ran after it was told as cancelled"))
    return found


def evictions(lines: Iterable[Line]) -> list[Breach]:
    """Workers' lines of `epoch` and `evicted`, with their worker, in order of time."""
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
            keeps = last_copy_holder(line["function"], [worker, *others]) == worker
            if line["spare"] and keeps:
                found.append(Breach("one keeper", f"{worker} let go of {line['function']}, which it had to keep"))
    return found


def stages(looks: Iterable[tuple[Mapping[str, Any], Mapping[str, str | None]]]) -> list[Breach]:
    """What was looked at while a rollout went on: (its state, its stages and how many were taken; what each front end
    said that it runs)."""
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
