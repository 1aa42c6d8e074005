"""Data structures against the plain ones, at the sizes that the gateway and the emulator have.

    python benchmarks/structures.py [--rounds 7]

Timers: every call sets one for its deadline, 2 s ahead, and is over 60 ms later. `heapq` leaves what is over until it
comes to the top, as the engine does; the wheel takes it out at once. Ring look-ups: the first point clockwise of a
drawn hash. Sketch: add a name and read its count, four rows of 4096.
"""
import argparse
import bisect
import heapq
import json
import os
import random
import statistics
import subprocess
import time
from array import array
from collections import deque
from itertools import count
from pathlib import Path

MS = 1_000_000
SLOT_BITS, LEVELS = 8, 4     # 256 slots a level; 1 ms, 256 ms, 65 s, 4.6 h


class Wheel:
    """A hierarchical timer wheel (Varghese and Lauck 1987): constant work to set and to cancel."""

    def __init__(self, now):
        self.tick = now // MS
        self.levels = [[{} for _ in range(1 << SLOT_BITS)] for _ in range(LEVELS)]

    def set(self, due, what):
        at = max(due // MS, self.tick + 1)
        level, far = 0, at - self.tick
        while far >> SLOT_BITS * (level + 1) and level < LEVELS - 1:
            level += 1
        slot = self.levels[level][(at >> SLOT_BITS * level) & 255]
        slot[what] = at
        return slot

    def run(self, now, act):
        while self.tick < now // MS:
            self.tick += 1
            for level in range(1, LEVELS):
                if self.tick & ((1 << SLOT_BITS * level) - 1):
                    break
                slot = self.levels[level][(self.tick >> SLOT_BITS * level) & 255]
                moved = list(slot.items())
                slot.clear()
                for what, at in moved:
                    self.set(at * MS, what)
            slot = self.levels[0][self.tick & 255]
            if slot:
                ripe = list(slot)
                slot.clear()
                for what in ripe:
                    act(what)


class Call:
    __slots__ = ("over", "slot")

    def __init__(self):
        self.over = False


def timers_heap(rate, calls):
    heap, serial, fired, running = [], count().__next__, 0, deque()
    step, now = 10**9 // rate, 0
    for _ in range(calls):
        now += step
        call = Call()
        heapq.heappush(heap, (now + 2_000 * MS, serial(), call))
        running.append((now + 60 * MS, call))
        while running[0][0] <= now:
            running.popleft()[1].over = True
        while heap[0][0] <= now or heap[0][2].over:
            fired += not heapq.heappop(heap)[2].over
    return fired


def timers_wheel(rate, calls):
    wheel, running, fired = Wheel(0), deque(), []
    step, now = 10**9 // rate, 0
    for _ in range(calls):
        now += step
        call = Call()
        call.slot = wheel.set(now + 2_000 * MS, call)
        running.append((now + 60 * MS, call))
        while running[0][0] <= now:
            over = running.popleft()[1]
            if over.slot.pop(over, None) is None:       # it was moved to a nearer wheel meanwhile
                over.over = True
        wheel.run(now, fired.append)
    return len(fired)


def ring_of(kind, workers):
    points = sorted(random.Random(1).getrandbits(64) for _ in range(150 * workers))
    return array("Q", points) if kind == "array" else points


def look_up(ring, hashes):
    total, size, find = 0, len(ring), bisect.bisect
    for each in hashes:
        total += find(ring, each) % size
    return total


class ListSketch:
    """Rows as lists, as threadshift/state.py has them."""

    def __init__(self):
        self.rows = [[0] * 4096 for _ in range(4)]

    def run(self, names):
        rows = self.rows
        for cells in names:
            for row, cell in zip(rows, cells, strict=True):
                row[cell] += 1
            min(row[cell] for row, cell in zip(rows, cells, strict=True))


class PackedSketch(ListSketch):
    """One packed array, the rows one after another."""

    def __init__(self):
        self.cells = array("L", bytes(8 * 4 * 4096))

    def run(self, names):
        cells = self.cells
        for a, b, c, d in names:
            b, c, d = b + 4096, c + 8192, d + 12288
            cells[a] += 1
            cells[b] += 1
            cells[c] += 1
            cells[d] += 1
            min(cells[a], cells[b], cells[c], cells[d])


class UnrolledSketch(ListSketch):
    """Rows as lists, the loop written out."""

    def run(self, names):
        one, two, three, four = self.rows
        for a, b, c, d in names:
            one[a] += 1
            two[b] += 1
            three[c] += 1
            four[d] += 1
            min(one[a], two[b], three[c], four[d])


def timed(run, operations):
    began = time.perf_counter()
    run()
    return (time.perf_counter() - began) / operations * 1e9


def pairs(rounds, kinds):
    """ns an operation for each kind, taken in turn; and the ratio of each to the first within a round."""
    rows = [{name: run() for name, run in kinds.items()} for _ in range(rounds)]
    first = next(iter(kinds))
    return {name: {"ns": statistics.median(row[name] for row in rows),
                   "ratio": statistics.median(row[name] / row[first] for row in rows),
                   "least": min(row[name] / row[first] for row in rows),
                   "most": max(row[name] / row[first] for row in rows)} for name in kinds}


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--rounds", type=int, default=7)
    words.add_argument("--out", default="docs/measurements")
    it = words.parse_args()
    found = {}
    for rate in (300, 3_000, 30_000):
        calls = max(3_000, min(60_000, 4 * rate))
        found[f"timers, {rate} calls/s"] = pairs(it.rounds, {
            "heapq, left until they come up": lambda r=rate, n=calls: timed(lambda: timers_heap(r, n), n),
            "hierarchical wheel": lambda r=rate, n=calls: timed(lambda: timers_wheel(r, n), n)})
    hashes = [random.Random(2).getrandbits(64) for _ in range(50_000)]
    for workers in (12, 80, 400):
        rings = {kind: ring_of(kind, workers) for kind in ("list", "array")}
        found[f"ring look-up, {workers} workers"] = pairs(it.rounds, {
            f"bisect on a {kind}": lambda ring=ring: timed(lambda: look_up(ring, hashes), len(hashes))
            for kind, ring in rings.items()})
    chance = random.Random(3)
    names = [tuple(chance.randrange(4096) for _ in range(4)) for _ in range(50_000)]
    found["count-min, add and count"] = pairs(it.rounds, {
        name: lambda made=made: timed(lambda: made().run(names), len(names))
        for name, made in (("rows as lists", ListSketch), ("one packed array", PackedSketch),
                           ("rows as lists, written out", UnrolledSketch))})
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    lines = ["# Data structures against the plain ones", "",
             f"Commit {commit.stdout.strip()}, {os.cpu_count()} cores shared with others; "
             f"`benchmarks/structures.py`, {it.rounds} rounds in turn. "
             f"Ratio to the first of each group within a round: median (least to most).",
             "", "| what | as | ns an operation | ratio |", "| --- | --- | --- | --- |"]
    for what, kinds in found.items():
        lines += [f"| {what} | {name} | {row['ns']:.0f} | {row['ratio']:.2f} ({row['least']:.2f} to "
                  f"{row['most']:.2f}) |" for name, row in kinds.items()]
    notes = Path(it.out) / "structures-notes.md"
    Path(it.out, "structures.md").write_text(
        "\n".join(lines) + "\n" + ("\n" + notes.read_text() if notes.exists() else ""))
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
