"""What many front ends lose that few do not, by cause: emulated days at every fleet size, same traffic in all.

    python benchmarks/many.py run OUT.jsonl [--seeds 20] [--sizes 1,3,...] [--policy NAME ...] [--day NAME ...]
    python benchmarks/many.py table OUT.jsonl [OTHER.jsonl ...]
    python benchmarks/many.py chart OUT.jsonl CHART.svg

A line of the file is one emulated day. Figures are simulated.
"""
from __future__ import annotations

import argparse
import json
import os
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from threadshift.audit.rules import breaches
from threadshift.days.fault_scenario import read_text
from threadshift.emulator.run import Emulation
from threadshift.trials.causes import CAUSES, jain, losses
from threadshift.trials.figures import interval
from threadshift.trials.policies import POLICIES
from threadshift.trials.runs import override_constants
from threadshift.trials.scenario import Job

SIZES = (1, 3, 12, 50, 200)
DAYS = {
    "calm": ["burst at 8s for 3s times 1.5"],
    "herd": ["herd at 6s for 300ms share 0.7", "flush at 8s"],
    "join": ["deploy at 5s for 7s workers 0.6"],
    "zone": ["zone_loss at 5s for 5s zone hall-b", "slow at 8s for 5s workers 0.12 times 4"],
    "split": ["zone_cut at 5s for 6s zone hall-c", "report_late at 5s for 6s times 2"],
}
TEXT = """
length 18s
uneven {uneven}
front-ends {fronts}
fleet-of 24 {{
    zones hall-a hall-b hall-c
    memory 1200M
}}
store {{
    capacity 14
    load-time 400ms
}}
type check {{
    target-latency 600ms
    action-timeout 2500ms
    late-utility 0.3
    effect repeatable
}}
type submit {{
    target-latency 500ms
    action-timeout 2s
    utility 2
    late-utility 0.3
    effect once-only
}}
functions submit-* {{
    type submit
    lanes 2
}}
functions * {{
    type check
    lanes 2
}}
fleet {{
    longest-advice 1s
    max-sends 4
    probe yes
    idle-keep 8s
    load-window 5s
    load-free 6
    load-ratio 20%
    drain-grace 1s
    cold-share 20%
    cold-time 12s
    fall-multiple 2
    fall-time 1s
}}
traffic check {{
    type check
    functions 120
    rate 330
    work 60ms
    retries 1
}}
traffic submit {{
    type submit
    functions 40
    rate 85
    work 35ms
    retries 1
}}
"""


def play(policy: str, name: str, fronts: int, uneven: float, seed: int, constants: tuple = ()) -> dict:
    text = TEXT.format(fronts=fronts, uneven=uneven) + "\n".join(f"trouble {each}" for each in DAYS[name]) + "\n"
    day = read_text(text, seed=seed)
    with override_constants(Job({}, seed, policy, constants, text)):
        it = Emulation(day, seed, POLICIES[policy])
        it.run()
    seen = it.recorded_events()
    found = losses(seen, day.config.deployment)
    told = breaches(seen, day.config.deployment, day.fleet.cores)
    per = [got / asked for asked, got in found.served.values() if asked > 3]
    return {"policy": policy, "day": name, "fronts": fronts, "uneven": uneven, "seed": seed, "asked": found.asked,
            "lost": dict(found.by_cause), "sends": found.sends, "learnt": found.first_losses,
            "again": found.repeated_losses, "loads": found.loads,
            "needless": found.redundant_loads,
            "asks": sum(front.probe_count for front in it.front_ends_started),
            "links": sum(len(front.links) for front in it.front_ends_started) / max(1, len(it.front_ends_started)),
            "fell": sum(each.event == "fell-over" for each in seen), "jain": jain(per),
            "worst": min(per) if per else 1.0, "tries": sum(each.event == "try" for each in seen),
            "breaches": [str(each) for each in told[:3]]}


def run(options: argparse.Namespace) -> None:
    known = set()
    out = Path(options.out)
    if out.exists():
        for line in out.read_text().splitlines():
            it = json.loads(line)
            known.add((it["policy"], it["day"], it["fronts"], it["uneven"], it["seed"]))
    jobs = [(policy, day, fronts, options.uneven, seed) for seed in range(1, options.seeds + 1)
            for day in options.day or DAYS for fronts in map(int, options.sizes.split(","))
            for policy in options.policy or ["threadshift"]]
    with ProcessPoolExecutor(options.processes) as pool, out.open("a") as file:
        told = tuple(("choice", name, float(value)) for name, _, value in (
            each.partition("=") for each in options.constant or ()))
        for each in as_completed([pool.submit(play, *job, told) for job in jobs if job not in known]):
            file.write(json.dumps(each.result()) + "\n")
            file.flush()


def rows(paths: list[str]) -> list[dict]:
    return [json.loads(line) | {"file": Path(path).stem}
            for path in paths for line in Path(path).read_text().splitlines()]


def table(options: argparse.Namespace) -> None:
    groups = defaultdict(list)
    for each in rows(options.files):
        days = [each["day"], "all"] if options.by_day else ["all"]
        for day in days:
            groups[(each["file"], each["policy"], day, each["fronts"])].append(each)
    print("| file | policy | day | front ends | days | served | " + " | ".join(CAUSES)
          + " | learnt again a day | loads | needless | asks a call | fairness | worst front end | fell | breaches |")
    print("|" + " --- |" * (15 + len(CAUSES)))
    for key, found in sorted(groups.items()):
        asked = sum(each["asked"] for each in found)
        lost = [sum(each["lost"].get(name, 0.0) for each in found) / asked for name in CAUSES]
        served = interval([1 - sum(each["lost"].values()) / each["asked"] for each in found])
        n, tries = len(found), sum(each["tries"] for each in found)
        total = {name: sum(each[name] for each in found) for name in (
            "again", "loads", "needless", "asks", "jain", "worst", "fell")}
        print("| " + " | ".join(map(str, key)) + f" | {n} | {served} | "
              + " | ".join(f"{each:.3f}" for each in lost)
              + f" | {total['again'] / n:.0f} | {total['loads'] / n:.0f} | {total['needless'] / total['loads']:.2f}"
              + f" | {total['asks'] / tries:.2f} | {total['jain'] / n:.3f} | {total['worst'] / n:.2f}"
              + f" | {total['fell']} | {sum(len(each['breaches']) for each in found)} |")


def chart(options: argparse.Namespace) -> None:
    import matplotlib
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "threadshift"
    from matplotlib import pyplot
    found = rows(options.files[:-1])
    sizes = sorted({each["fronts"] for each in found})
    figure, axes = pyplot.subplots(figsize=(7, 3.8))
    below = [0.0] * len(sizes)
    for name in CAUSES:
        parts = []
        for size in sizes:
            here = [each for each in found if each["fronts"] == size]
            parts.append(sum(each["lost"].get(name, 0.0) for each in here) / sum(each["asked"] for each in here))
        axes.bar(range(len(sizes)), parts, bottom=below, label=name)
        below = [low + part for low, part in zip(below, parts, strict=True)]
    axes.set_xticks(range(len(sizes)), list(map(str, sizes)))
    axes.set(xlabel="front ends, same traffic in all", ylabel="utility lost, of all asked")
    axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(options.files[-1], metadata={"Date": None})


def main() -> None:
    it = argparse.ArgumentParser(description=__doc__)
    parts = it.add_subparsers(required=True)
    one = parts.add_parser("run")
    one.add_argument("out")
    one.add_argument("--seeds", type=int, default=20)
    one.add_argument("--sizes", default=",".join(map(str, SIZES)))
    one.add_argument("--uneven", type=float, default=1.5)
    one.add_argument("--policy", action="append", choices=sorted(POLICIES))
    one.add_argument("--day", action="append", choices=sorted(DAYS))
    one.add_argument("--constant", action="append", help="NAME=VALUE of choice.py")
    one.add_argument("--processes", type=int, default=os.cpu_count() or 1)
    one.set_defaults(act=run)
    two = parts.add_parser("table")
    two.add_argument("files", nargs="+")
    two.add_argument("--by-day", action="store_true")
    two.set_defaults(act=table)
    three = parts.add_parser("chart")
    three.add_argument("files", nargs="+")
    three.set_defaults(act=chart)
    told = it.parse_args()
    told.act(told)


if __name__ == "__main__":
    sys.exit(main())
