"""Looks for the day on which a rule breaks, or service is worst, and shrinks it to the least that still shows it.

Days are drawn from a seed: sizes, loads, effects, limits and one to six troubles, singly and together. A found day is
text: it can be kept, emulated again and played with real processes.
"""
from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from threadshift.audit.report import judge
from threadshift.choice import Dispatcher
from threadshift.days.fault_scenario import FAULT_KINDS, read_text
from threadshift.emulator.front import Policy
from threadshift.emulator.run import Emulation

TEMPLATE = """length {length}s
front-ends {fronts}
fleet-of {workers} {{
    zones hall-a hall-b hall-c
    cores {cores}
    memory {memory}M
    report-every {report}ms
}}
store {{
    capacity {capacity}
    load-time {load}ms
    pack 100M
}}
type check {{
    target-latency 600ms
    action-timeout {timeout}ms
    late-utility 0.3
    effect {effect}
    memory-span 5s
    group {group}
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
    lanes {lanes}
}}
functions * {{
    type check
    lanes {lanes}
}}
fleet {{
    longest-advice 1s
    max-sends {sends}
    cancel {cancel}
    two-at-once {twice}
    probe {probe}
    loads-on-miss {loads}
    idle-keep {keep}s
    load-window 5s
    load-free 6
    load-ratio 20%
    drain-grace 1s
    cold-share 20%
    cold-time {cold}s
    fall-multiple {fall}
}}
traffic check {{
    type check
    functions {functions}
    rate {rate}
    work {work}ms
    retries {retries}
    quits 2%
    left-least {patience}%
}}
traffic submit {{
    type submit
    functions 20
    rate {filings}
    work 35ms
    deferred 50%
    retries 1
}}
"""
LENGTH = 12                # s of a drawn day; most troubles show within seconds
MOST_TROUBLES = 6


class Found(NamedTuple):
    """What a day came to."""

    seed: int
    text: str
    breaches: tuple[str, ...]
    ratio: float             # utility in time over asked
    regret: float = 0.0      # by how much an oracle did better on the same day, where that was asked for

    @property
    def rule(self) -> str:
        """The first that broke, such as 'rule 2'. There must be one."""
        return self.breaches[0].split(":")[0]


def draw(seed: int) -> str:
    """A day's text."""
    it = random.Random(f"day {seed}")
    workers, cores = it.randint(2, 30), it.choice((1, 2, 4))
    work = it.randint(20, 150)
    # Asked for, of what the fleet can do: from idle to twice too much.
    load = it.choice((0.1, 0.3, 0.5, 0.7, 0.9, 1.2, 2.0))
    rate = max(2, int(load * workers * cores * 1000 / work * 0.8))
    rate = min(rate, 600)
    troubles = [it.choice(sorted(FAULT_KINDS)) for _ in range(it.randint(1, MOST_TROUBLES))]
    text = TEMPLATE.format(
        length=LENGTH, fronts=it.randint(1, 6), workers=workers, cores=cores,
        memory=it.choice((300, 600, 1200, 4000)),
        report=it.choice((100, 400, 900)), capacity=it.randint(1, 10), load=it.randint(50, 1500),
        timeout=it.choice((700, 1500, 2500)), effect=it.choice(("repeatable", "deduplicated")),
        group=it.choice(("all", "zone", "cell")), lanes=it.choice((1, 2, 4)), sends=it.randint(1, 4),
        cancel=it.choice(("yes", "no")), twice=it.choice(("yes", "no")), probe=it.choice(("yes", "no")),
        loads=it.choice(("yes", "yes", "no")), keep=it.randint(2, 15), cold=it.randint(1, 6),
        fall=it.choice((2, 3, 4)),
        functions=it.choice((3, 30, 200)), rate=rate, work=work, retries=it.randint(0, 2),
        patience=it.choice((20, 50, 90)), filings=max(1, rate // 4))
    return text + "".join(f"trouble {kind}\n" for kind in troubles)


def emulate(text: str, seed: int, policy: Policy = Dispatcher, against: Policy | None = None) -> Found:
    """One day, audited; with `against`, the same day once more by another policy."""
    day = read_text(text, seed=seed)
    verdicts = []
    for each in (policy, against) if against else (policy,):
        it = Emulation(day, seed, each)
        it.run()
        verdicts.append(judge(day, it.seen()))
    return Found(seed, text, tuple(map(str, verdicts[0].breaches)), verdicts[0].ratio,
                 verdicts[1].ratio - verdicts[0].ratio if against else 0.0)


def drawn(seed: int, policy: Policy = Dispatcher, against: Policy | None = None) -> Found:
    return emulate(draw(seed), seed, policy, against)


def hunt(seeds: Iterable[int], processes: int, policy: Policy = Dispatcher,
         against: Policy | None = None) -> Iterator[Found]:
    """Days in the order of their seeds, whatever the number of processes."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(partial(drawn, policy=policy, against=against), seeds)


# What may be made simpler in a found day, beside troubles left out: departures, repetitions, then sizes halved.
SIMPLER = ("quits 2%", "retries 1", "retries 2", "deferred 50%")
HALVED = ("fleet-of", "front-ends")


def simpler(text: str) -> Iterator[str]:
    """Days one step smaller than this one."""
    lines = text.splitlines()
    for number, line in enumerate(lines):
        words = line.split()
        if line.startswith("trouble") or line.strip() in SIMPLER:
            yield "\n".join(lines[:number] + lines[number + 1:]) + "\n"
        elif words and words[0] in HALVED and int(words[1]) > 1:
            less = " ".join([words[0], str(int(words[1]) // 2), *words[2:]])
            yield "\n".join(lines[:number] + [less] + lines[number + 1:]) + "\n"


def shrink(found: Found, still: Callable[[Found], bool], policy: Policy = Dispatcher,
           against: Policy | None = None) -> Found:
    """The smallest day that `still` shows it, step by step; every step has the same seed."""
    changed = True
    while changed:
        changed = False
        for text in simpler(found.text):
            less = emulate(text, found.seed, policy, against)
            if still(less):
                found, changed = less, True
                break
    return found


def breaks(rule: str) -> Callable[[Found], bool]:
    """Whether a rule, such as 'rule 2', is broken."""
    return lambda found: any(each.startswith(rule) for each in found.breaches)
