"""What front ends do together, measured: python benchmarks/together.py WHAT [NUMBER]

    seeds N       N drawn histories of the record: broken promises, time without a holder (emulated)
    batches N     N drawn histories of batches over five front ends (emulated)
    processes N   N mixtures of faults between five real front ends (tests/drawn.py)
    explore N     every order of events over 3 voters, N states a budget: depths that were looked at whole
    rollouts N    N emulated rollouts of each kind: stopped, done, time to stop, calls harmed
    record        entries a second with and without fsync, three members in one process
    restore N     N calls of a batch cancelled and restored by real processes
    idle          calls a second of processor time with all of it on and idle, against off, in turns of one run
"""
from __future__ import annotations

import json
import random
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

CORES = 4                  # of eight: others may be measured beside
KINDS = {"same": {}, "20% slower": {"slower": 1.2}, "50% slower": {"slower": 1.5}, "1% errors": {"errors": 0.01},
         "5% errors": {"errors": 0.05}, "3% refused": {"refused": 0.03}, "crashes": {"crash": 0.05},
         "does not start": {"starts": False}}


def say(*parts: object) -> None:
    print(*parts, flush=True)


def part(values: list, share: float):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def history(told: tuple[int, int]) -> tuple[str, float, int]:
    from threadshift.emulator.record import InvariantViolation, ConsensusSimulation
    it = ConsensusSimulation(told[0], told[1], 2)
    try:
        it.run()
    except InvariantViolation as problem:
        return str(problem), 0, 0
    return "", it.longest_leaderless / 1e9, len(it.committed)


def seeds(count: int) -> None:
    with ProcessPoolExecutor(CORES) as pool:
        for voters, share in ((3, 1.0), (5, 0.3)):
            told = [(seed, voters) for seed in range(int(count * share))]
            found = list(pool.map(history, told, chunksize=20))
            broken = [problem for problem, _, _ in found if problem]
            without = [each for _, each, _ in found]
            say(f"{voters} voters, {len(found)} histories of 30 s: {len(broken)} broken;",
                f"{sum(entries for _, _, entries in found)} entries; longest time without a holder in one:",
                f"p50 {part(without, .5):.1f} s, p99 {part(without, .99):.1f} s, worst {max(without):.1f} s")
            for problem in broken[:5]:
                say(" ", problem)


def batch_history(seed: int) -> tuple[str, dict[str, int]]:
    from threadshift.emulator.batches import BatchSimulation
    from threadshift.emulator.record import InvariantViolation
    it = BatchSimulation(seed)
    try:
        it.run()
    except InvariantViolation as problem:
        return str(problem), {}
    return "", dict(Counter(it.finals.values()))


def batches(count: int) -> None:
    with ProcessPoolExecutor(CORES) as pool:
        found = list(pool.map(batch_history, range(count), chunksize=5))
    ends: Counter[str] = Counter()
    for _, each in found:
        ends.update(each)
    broken = [problem for problem, _ in found if problem]
    say(f"{count} histories: {len(broken)} broken; calls {dict(ends)}", *broken[:5])


def states(count: int) -> None:
    from threadshift.emulator.explore import Budget, explore
    path = ("a proposes", "b hears told of a", "a hears had of b")
    for name, budget, before, orderly in (
            ("all kinds of faults, in the order of links", Budget(2, 1, 1, 1, 1, 1, 1), (), True),
            ("all kinds of faults, in any order", Budget(2, 1, 1, 1, 1, 1, 1), (), False),
            ("a kill, its file gone back, after an entry counted", Budget(3, 0, 0, 1, 1, 0, 0), path, True),
            ("standstills and elections", Budget(4, 0, 0, 0, 0, 1, 1), (), True)):
        began = time.monotonic()
        found, whole = explore(99, count, budget=budget, path=before, orderly=orderly)
        say(f"{name}: {found} states, whole to depth {whole}, {time.monotonic() - began:.0f} s, none broken")


def rollout(told: tuple[str, int]) -> tuple[str, int, int]:
    from threadshift.emulator.changes import Change, RolloutSimulation
    it = RolloutSimulation(told[1], Change(**KINDS[told[0]]))
    end = it.run()
    return end if end in ("done", "stands") else "stopped", it.second, it.harmed_calls


def rollouts(count: int) -> None:
    with ProcessPoolExecutor(CORES) as pool:
        for kind in KINDS:
            found = list(pool.map(rollout, [(kind, seed) for seed in range(count)], chunksize=8))
            stopped = [second for end, second, _ in found if end == "stopped"] or [0]
            say(f"{kind}: {dict(Counter(end for end, _, _ in found))};",
                f"stopped after p50 {part(stopped, .5)} s, p99 {part(stopped, .99)} s;",
                f"calls harmed p50 {part([harmed for _, _, harmed in found], .5)}")


def record() -> None:
    from threadshift.consensus.durable_member import DurableMember
    from threadshift.emulator.disk import SimulatedDisk
    names = ["a", "b", "c"]
    for kind in ("with fsync", "without a disk"):
        with tempfile.TemporaryDirectory() as folder:
            now = 10**12
            durable_members = {name: DurableMember(now, Path(folder) / name, name, names, (),
                                                   random.Random(name).random,
                                                   None if kind == "with fsync" else SimulatedDisk())
                               for name in names}

            def settle(now: int, durable_members=durable_members) -> None:
                moved = True
                while moved:
                    moved = False
                    for name, it in durable_members.items():
                        output = it.member.take_output()
                        it.persist(output)
                        it.compact_if_long(dict)
                        for message in output.messages:
                            moved = True
                            durable_members[message.to].member.receive(now, name, message.kind, message.fields)

            while not any(it.member.holds_lease(now) for it in durable_members.values()):
                now += 50_000_000
                for it in durable_members.values():
                    it.member.tick(now)
                settle(now)
            holder = next(it for it in durable_members.values() if it.member.holds_lease(now))
            began, count = time.perf_counter(), 0
            while time.perf_counter() - began < 2:
                now += 1_000_000
                holder.member.propose(now, {"do": "say", "n": count})
                settle(now)
                count += 1
            say(f"{kind}: {count / (time.perf_counter() - began):.0f} entries a second, one after the other")
            for it in durable_members.values():
                it.close()


def share(after: dict, start: dict) -> float:
    """Of the calls answered between, how many with 200."""
    return round((after.get(200, 0) - start.get(200, 0)) / max(1, sum(after.values()) - sum(start.values())), 4)


def restore(count: int) -> None:
    import gevent

    from tests.cluster import Cluster
    from tests.test_rollout import Traffic
    with Cluster(workers=6, undo="60s") as it:
        it.until(it.leader)
        traffic = Traffic(it, 0.01)
        gevent.sleep(5)
        before, began = dict(traffic.answers), time.monotonic()
        each = -(-count // len(it.names))
        taken = {name: gevent.spawn(it.submit, name, "eve", each, "submit-a", 60, 39_000) for name in it.names}
        gevent.joinall(list(taken.values()))
        ids = {name: greenlet.get() for name, greenlet in taken.items()}
        accepted, began = time.monotonic() - began, time.monotonic()
        _, told = it.request("f0", "POST", "/v1/batches/eve/cancel")
        cancelled = time.monotonic() - began
        gevent.sleep(1)
        at, began = dict(traffic.answers), time.monotonic()
        _, back = it.request("f1", "POST", f"/v1/cancels/{told['cancel']}/restore")
        restored = time.monotonic() - began

        def over():
            now = it.request("f2", "GET", "/v1/batches/eve")[1]
            return now["waiting"] + now["out"] == 0 and now

        shown = it.until(over, 60)
        drained = time.monotonic() - began
        traffic.stop()
        ends = Counter(status for name in it.names for status in it.answer_statuses(name, ids[name]))
        say(json.dumps({
            "calls": each * len(it.names), "accepted in s": round(accepted, 2), "stopped": told["stopped"],
            "cancel s": round(cancelled, 2), "restore s": round(restored, 2),
            "waiting or out again": back["waiting"] + back["out"], "done before": back["done"],
            "over s after restore": round(drained, 1), "done": shown["done"], "finals": dict(ends),
            "most runs of a mark": max(it.run_counts().values()), "new calls served, before": share(before, {}),
            "after the restore": share(traffic.answers, at), "lost": len(traffic.lost)}, indent=1))


def idle() -> None:
    import gevent

    from tests.live import Live, until
    from threadshift.standins.ports import free_ports
    rates: dict[str, list[float]] = {"off": [], "on": []}
    for kind in ("off", "on") * 6:
        with tempfile.TemporaryDirectory() as folder:
            ports = free_ports(3)
            lines = [f"folder {folder}", f"voter front-0 127.0.0.1:{ports[0]}",
                     f"follower x 127.0.0.1:{ports[1]}", f"follower y 127.0.0.1:{ports[2]}"]
            extra = "peers {\n" + "\n".join(lines) + "\n}" if kind == "on" else ""
            with Live(4, work_ms=1, extra=extra) as live:
                if kind == "on":
                    until(lambda it=live.front: it.replicated_services
                          and it.replicated_services.consensus.status()["holds"], 10)
                done = [0]

                def loop(it=live, done=done) -> None:
                    client = it.client()
                    while True:
                        done[0] += client.request("POST", "/v1/functions/check-a/calls", {}, b"x").status == 200

                greenlets = [gevent.spawn(loop) for _ in range(16)]
                gevent.sleep(1)
                # By processor time: gateway, workers and clients are one process, and the machine has others.
                start, began = done[0], time.process_time()
                gevent.sleep(4)
                rates[kind].append((done[0] - start) / (time.process_time() - began))
                gevent.killall(greenlets)
    ratios = [on / off for on, off in zip(rates["on"], rates["off"], strict=True)]
    say("calls a second of processor time, on over off, in turns:", ", ".join(f"{each:.3f}" for each in ratios),
        f"middle {part(ratios, .5):.3f}")


def processes(count: int) -> None:
    from tests.drawn import play
    bad = 0
    for seed in range(count):
        broken, line = play(seed)
        bad += bool(broken)
        say(line, *broken)
    say(f"{count} mixtures, {bad} broken")


def main() -> None:
    what, number = (sys.argv[1:] + ["", ""])[:2]
    acts = {"seeds": (seeds, 1000), "explore": (states, 50_000), "rollouts": (rollouts, 100),
            "batches": (batches, 100), "processes": (processes, 20),
            "restore": (restore, 1000)}
    if what in acts:
        act, usual = acts[what]
        act(int(number or usual))
    elif what in ("record", "idle"):
        {"record": record, "idle": idle}[what]()
    else:
        raise SystemExit(__doc__)


if __name__ == "__main__":
    main()
