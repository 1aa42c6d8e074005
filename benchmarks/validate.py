"""Model against reality: twelve scenarios emulated and played on loopback, with the same seeds.

    python benchmarks/validate.py [--seeds 3] [--lanes 3]
"""
import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from threadshift.audit import records
from threadshift.audit.report import judge
from threadshift.days.fault_scenario import read_text
from threadshift.emulator.run import Emulation
from threadshift.trials.runs import latency_histogram

BASE = """length 12s
front-ends 3
fleet-of 9 {
    zones hall-a hall-b hall-c
    memory 900M
}
store {
    load-time 300ms
}
type check {
    target-latency 600ms
    action-timeout 2500ms
    late-utility 0.3
    effect repeatable
}
type submit {
    target-latency 500ms
    action-timeout 2s
    utility 2
    late-utility 0.3
    effect once-only
}
functions submit-* {
    type submit
    lanes 2
}
functions * {
    type check
    lanes 2
}
fleet {
    longest-advice 1s
    max-sends 3
    idle-keep 6s
    load-window 5s
    load-free 6
    load-ratio 20%
    cold-share 20%
    cold-time 4s
    fall-multiple 3
}
bounds {
    keepalive 300ms
    connect 300ms
}
traffic check {
    type check
    functions 40
    rate 50
    work 60ms
    retries 1
}
traffic submit {
    type submit
    functions 20
    rate 20
    work 35ms
    retries 1
}
"""
SCENARIOS = {
    "calm": (), "burst": ("burst at 4s for 4s times 4",), "crash": ("crash at 4s for 4s workers 2",),
    "hang": ("hang at 4s for 4s workers 2",), "slow workers": ("slow at 3s for 6s workers 3 times 4",),
    "store slow": ("flush at 4s", "store_slow at 4s for 5s times 6"), "drain": ("drain at 3s for 5s workers 3",),
    "cold return": ("zone_loss at 2s for 2s zone hall-a",), "overload": ("burst at 2s for 8s times 8",),
    "rolling deploy": ("deploy at 2s for 9s workers 1",),
    "broken connections": ("break_after_run at 3s for 6s workers 4",),
    "front end killed": ("front_kill at 4s for 3s front 0",),
}


def figures(day, seen):
    """Share of first tries completed in time, and the median latency of completed calls, ms."""
    verdict = judge(day, seen)
    return verdict.ratio, latency_histogram(seen).get_value_at_percentile(50) / 1000, len(verdict.breaches)


def both(job):
    name, seed = job
    text = BASE + "".join(f"trouble {each}\n" for each in SCENARIOS[name])
    day = read_text(text, seed=seed)
    it = Emulation(day, seed)
    it.run()
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "a.day").write_text(text)
        subprocess.run([sys.executable, "-m", "threadshift", "play", f"{folder}/a.day", "--seed", str(seed),
                        "--record", f"{folder}/r"], capture_output=True, check=False)
        played = figures(day, records.read(Path(folder, "r")))
    return name, seed, figures(day, it.recorded_events()), played


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--lanes", type=int, default=3)
    words.add_argument("--out", default="docs/measurements")
    it = words.parse_args()
    rows = {}
    with ProcessPoolExecutor(it.lanes) as pool:
        for name, seed, model, real in pool.map(both, [(name, seed) for seed in range(1, it.seeds + 1)
                                                       for name in SCENARIOS]):
            rows.setdefault(name, []).append((model, real))
            print(json.dumps([name, seed, model, real]), flush=True)
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    lines = ["# Model against reality", "",
             f"Commit {commit.stdout.strip()}, {os.cpu_count()} cores shared with others, {it.lanes} days side by "
             f"side; `benchmarks/validate.py`, medians of {it.seeds} seeds, the same for both. Share: utility in "
             "time over asked. Within: 5 points of share, and a quarter of p50.", "",
             "| scenario | share, emulated | played | p50 ms, emulated | played | within | "
             "breaches, emulated | played |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    good = 0
    for name, pairs in rows.items():
        model = [statistics.median(pair[0][n] for pair in pairs) for n in range(2)]
        real = [statistics.median(pair[1][n] for pair in pairs) for n in range(2)]
        share, p50 = abs(model[0] - real[0]) <= 0.05, abs(model[1] / real[1] - 1) <= 0.25
        good += share and p50
        within = "both" if share and p50 else "share" if share else "p50" if p50 else "neither"
        broken = [sum(pair[side][2] for pair in pairs) for side in range(2)]
        lines.append(f"| {name} | {model[0]:.3f} | {real[0]:.3f} | {model[1]:.0f} | {real[1]:.0f} | {within} | "
                     f"{broken[0]} | {broken[1]} |")
    lines += ["", f"Both within on {good} of {len(rows)}."]
    notes = Path(it.out) / "validation-notes.md"
    Path(it.out, "validation.md").write_text(
        "\n".join(lines) + "\n" + ("\n" + notes.read_text() if notes.exists() else ""))


if __name__ == "__main__":
    main()
