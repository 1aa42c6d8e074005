"""Tables and charts of docs/measurements/ from the JSON that the benchmarks leave there."""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "threadshift"     # the same figures give the same file
from matplotlib import pyplot  # noqa: E402

PLACE = Path(sys.argv[1] if len(sys.argv) > 1 else "docs/measurements")


def spread(it, scale=1.0, digits=0):
    return f"{it['median'] * scale:.{digits}f} ({it['least'] * scale:.{digits}f} to {it['most'] * scale:.{digits}f})"


def chart(name, title, x, y, draw):
    figure, axes = pyplot.subplots(figsize=(6, 3.4))
    draw(axes)
    axes.set(title=title, xlabel=x, ylabel=y)
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(PLACE / name, metadata={"Date": None})
    pyplot.close(figure)


def front_end():
    found = json.loads((PLACE / "front-end.json").read_text())
    lines = [
        "# The front end against a bare relay",
        "",
        f"Commit {found['commit']}, {found['cores']} cores shared with others, so absolute figures vary by a third"
        " between runs; ratios are within a round. One core for what is measured. Median (least to most).",
        "",
        "| workers | relay, calls/s | gateway, calls/s | of the relay's | p50 relay, ms | p50 gateway, ms | "
        "p99 relay, ms | p99 gateway, ms | p99 ratio |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in found["saturation"]:
        lines.append(
            "| "
            + " | ".join(
                [
                    str(row["workers"]),
                    spread(row["relay_per_s"]),
                    spread(row["gateway_per_s"]),
                    spread(row["rate_ratio"], 1, 2),
                    spread(row["relay_half_p50_us"], 0.001, 1),
                    spread(row["gateway_half_p50_us"], 0.001, 1),
                    spread(row["relay_half_p99_us"], 0.001, 1),
                    spread(row["gateway_half_p99_us"], 0.001, 1),
                    spread(row["p99_ratio"], 1, 1),
                ]
            )
            + " |"
        )
    lines += [
        "",
        f"{found['saturation'][0]['rounds']} rounds. Latencies at half of the gateway's rate, both at the same "
        "time on two cores, clients' own side included.",
        "",
        "## Several front ends on one port",
        "",
        "| front ends | calls/s | of one |",
        "| --- | --- | --- |",
    ]
    one = found["scaling"]["1"]
    lines += [f"| {count} | {rate:.0f} | {rate / one:.2f} |" for count, rate in found["scaling"].items()]
    lines += [
        "",
        "## Overload",
        "",
        f"Peak {found['overload']['peak_per_s']:.0f} calls/s; clients wait 1 s; 900 "
        "connections. Goodput is answered in time, over the peak.",
        "",
        "![goodput](front-end-overload.svg)",
        "",
        "| offered over peak | goodput | p99 of completed, ms |",
        "| --- | --- | --- |",
    ]
    rows = found["overload"]["rows"]
    lines += [f"| {row['offered']} | {row['goodput']:.2f} | {row['p99_ms']:.0f} |" for row in rows]
    lines += [
        "",
        "## Memory",
        "",
        f"10,000 idle connections: {found['memory']['idle_10000_mib']:.0f} MiB. 1,000 calls "
        f"held: {found['memory']['held_1000_mib']:.1f} MiB.",
        "",
    ]
    chart(
        "front-end-overload.svg",
        "Goodput under overload",
        "offered, of the peak",
        "answered in time, of the peak",
        lambda axes: axes.plot(
            [row["offered"] for row in rows], [row["goodput"] for row in rows], marker="o"
        ),
    )
    extra = PLACE / "front-end-notes.md"
    (PLACE / "front-end.md").write_text("\n".join(lines) + (extra.read_text() if extra.exists() else ""))


def around(rows):
    """Calls around each cause, over all seeds, steered three ways."""
    lines = [
        "",
        "## Calls lost or late around each cause, against baselines",
        "",
        "Days of 14 s with one cause at second 5, 12 workers, 70 calls/s (630 where overloaded); first tries of the "
        f"6 s from the cause, {len({row['seed'] for row in rows})} seeds together. *Lost* is without a completed "
        "answer, *late* past the target latency, repetitions by clients included. *Steered by* as above. Changes: "
        "the most changes of standing that all front ends together announced on one day, 3 of them the first ones.",
        "",
        "| cause | steered by | calls | lost | late | changes | breaches |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    kinds = {}
    for row in rows:
        kinds.setdefault((row["cause"], row["steer"]), []).append(row)
    for (cause, steer), some in kinds.items():
        asked, lost, late, breaches = (sum(row[name] for row in some)
                                       for name in ("asked", "lost", "late", "breaches"))
        lines.append(f"| {cause} | {steer} | {asked} | {lost} | {late} | {max(row['changes'] for row in some)} | "
                     f"{breaches} |")
    chart("bgp-around.svg", "Calls lost around a cause", "", "lost, of the calls", lambda axes: bars(axes, kinds))
    return [*lines, "", "![lost](bgp-around.svg)"]


def bars(axes, kinds):
    causes = list(dict.fromkeys(cause for cause, _ in kinds))
    for n, steer in enumerate(("routes", "alive", "static")):
        some = [kinds[cause, steer] for cause in causes]
        axes.barh([place + 0.27 * n for place in range(len(causes))],
                  [sum(row["lost"] for row in rows) / sum(row["asked"] for row in rows) for rows in some], 0.25,
                  label=steer)
    axes.set_yticks([place + 0.27 for place in range(len(causes))], causes, fontsize=7)
    axes.legend(fontsize=7)


def bgp():
    found = json.loads((PLACE / "bgp.json").read_text())
    lines = [
        "# BGP announcements",
        "",
        "Commits: " + ", ".join(f"{part} {commit}" for part, commit in found["made"].items())
        + f". {found['cores']} cores shared with others; real processes on loopback; router's "
        f"convergence {found['converge_ms']} ms, hold time {found['hold_s']} s.",
        "",
        "## From cause to the last new connection",
        "",
        "| cause | trials | to the route's change, ms: p50 | p99 | to the last new connection, ms: p50 | p99 |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, row in found["causes"].items():
        lines.append(
            f"| {name} | {row['trials']} | {row['change_p50_ms']:.0f} | {row['change_p99_ms']:.0f} | "
            f"{row['last_p50_ms']:.0f} | {row['last_p99_ms']:.0f} |"
        )
    lines += [
        "",
        "![times](bgp-times.svg)",
        "",
        "With this many trials p99 is close to the greatest seen.",
        "",
    ]
    if "days" in found:
        lines += [
            "## A three-hall day, against baselines",
            "",
            "`threadshift play threadshift/days/three-halls.day`, "
            "the same seeds steered by routes, by whether a session stands (alive), and not at all (static).",
            "",
            "| seed | steered by | utility in time over asked | broken | breaches |",
            "| --- | --- | --- | --- | --- |",
        ]
        lines += [
            f"| {row['seed']} | {row['steer']} | {row['ratio']:.3f} | {row['broken']} | {row['breaches']} |"
            for row in found["days"]
        ]
    if "around" in found:
        lines += around(found["around"])
    if "codec" in found:
        it = found["codec"]
        lines += [
            "",
            "## Codec and state",
            "",
            f"UPDATEs coded a second: {it['coded_per_s']:.0f}; decoded: "
            f"{it['decoded_per_s']:.0f} (one prefix each, all attributes). 10,000 routes held: "
            f"{it['routes_10000_kib']:.0f} KiB. Damaged messages: {it['fuzzed']:,}, of them {it['faults']:,} "
            "answered with a NOTIFICATION, none with anything but an error of the RFCs.",
        ]
    if "flapping" in found:
        it = found["flapping"]
        lines += [
            "",
            "## Calls while 100 peers flap",
            "",
            "Calls a second at saturation, one core, in turns: without "
            f"peers {spread(it['without'])}, with 100 peers that reset at once {spread(it['with'])}; ratio "
            f"{spread(it['ratio'], 1, 2)}.",
        ]
    chart(
        "bgp-times.svg",
        "From cause to the last new connection",
        "ms",
        "share of trials",
        lambda axes: (
            [
                axes.plot(
                    sorted(row["last_ms"]),
                    [(n + 1) / len(row["last_ms"]) for n in range(len(row["last_ms"]))],
                    label=name,
                )
                for name, row in found["causes"].items()
            ]
            and axes.legend()
        ),
    )
    (PLACE / "bgp.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    for name, write in (("front-end", front_end), ("bgp", bgp)):
        if (PLACE / f"{name}.json").exists():
            write()
