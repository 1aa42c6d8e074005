"""Runs the scenarios of benchmarks/trials and writes docs/measurements/trials.md with their tables and charts.

    python benchmarks/experiments.py [--results FOLDER] [--processes 7] [--only policies singles ...]

What is kept in FOLDER of this commit is not run again. Conclusions are taken from docs/measurements/trials-notes.md,
where each stands under the heading of its scenario.
"""
import argparse
import os
import re
import subprocess
import sys
from pathlib import Path

from threadshift.trials import figures
from threadshift.trials.result_store import ResultStore

HERE = Path(__file__).parent
POLICIES = ("bounded-loads", "plain-hash", "least-in-flight", "power-of-two", "random", "oracle")
SIZE = "front-ends, fleet-of, traffic check rate, traffic check functions, store capacity"
BUDGET = "constant choice BUDGET_SHARE, constant choice BUDGET_MOST"
# scenario: its title, what its tables are grouped by, and its chart: across, one line each, measure
SHOWN = {
    "policies": ("The policy against its baselines, 200 drawn days", [["policy"]], ("policy", None, "ratio")),
    "singles": ("Single troubles, and pairs", [["policy"], ["trouble", "policy"]], None),
    "scale": ("Scale: front ends, workers, calls a second, functions, store", [[SIZE, "trouble", "policy"]],
              (SIZE, "policy", "ratio")),
    "retries": ("Retry storms", [["trouble", "traffic check retries", BUDGET]], ("trouble", BUDGET, "ratio")),
    "reports": ("How late reports of load may be", [["trouble", "fleet-of report-every"]],
                ("fleet-of report-every", "trouble", "ratio")),
}


def compared(results):
    lines = ["", "| threadshift against | pairs | difference of utility in time over asked | better | worse |",
             "| --- | --- | --- | --- | --- |"]
    for other in POLICIES:
        it = figures.compare([each for each in results if each.policy == "threadshift"],
                             [each for each in results if each.policy == other], frozenset({"policy"}))
        if it is not None:
            lines.append(f"| {other} | {it.pairs} | {it.difference} | {it.better} | {it.worse} |")
    return lines


def section(name, path, out, notes):
    title, tables, chart = SHOWN[name]
    store = ResultStore(str(path), writable=False)
    made, results = store.commits()[-1], list(store.results())
    store.close()
    lines = ["", f"## {title}", "", f"`benchmarks/trials/{name}.trial`, commit {made}, {len(results)} runs."]
    for by in tables:
        lines += ["", figures.table(results, by)]
    if any("policy" in by for by in tables):
        lines += compared(results)
    if chart:
        figures.chart(results, chart[0], chart[1], chart[2], str(out / f"trials-{name}.svg"))
        lines += ["", f"![{title}](trials-{name}.svg)"]
    return [*lines, "", notes.get(name, "").strip()]


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--results", default="/tmp/threadshift-trials")
    words.add_argument("--processes", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    words.add_argument("--only", nargs="*", default=list(SHOWN))
    words.add_argument("--report", action="store_true", help="Write from what is kept; run nothing.")
    words.add_argument("--out", default="docs/measurements")
    it = words.parse_args()
    folder, out = Path(it.results), Path(it.out)
    folder.mkdir(parents=True, exist_ok=True)
    for name in () if it.report else it.only:
        subprocess.run([sys.executable, "-m", "threadshift", "trial", "run", str(HERE / "trials" / f"{name}.trial"),
                        "--into", str(folder / f"{name}.db"), "--processes", str(it.processes)], check=False)
    told = (out / "trials-notes.md").read_text() if (out / "trials-notes.md").exists() else ""
    notes = {each[1]: told[each.end():].split("\n## ")[0] for each in re.finditer(r"^## (\w+)\n", told, re.M)}
    lines = ["# Experiments on emulated days", "",
             "All figures are simulated: the real engine and decisions on a virtual clock (`docs/emulator.md`). "
             "Utility in time over asked: mean of runs, 95% bootstrap intervals; comparisons are paired by seed. "
             "Latencies from the first try to the completed answer. The oracle sees every worker's true state and is "
             "greedy.", "",
             notes.get("summary", "").strip()]
    for name in SHOWN:
        if (folder / f"{name}.db").exists():
            lines += section(name, folder / f"{name}.db", out, notes)
    (out / "trials.md").write_text("\n".join(lines).rstrip("\n") + "\n")


if __name__ == "__main__":
    main()
