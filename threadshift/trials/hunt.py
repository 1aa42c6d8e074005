"""Searches random fault scenarios for a broken rule or the worst service, and shrinks what it finds.

Scenarios are drawn from a seed: sizes, loads, effects, limits and one to six faults, which may overlap. A scenario is
the text of a `.day` file: it can be saved, emulated again and played with real processes.
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
    report-every {report_every}ms
}}
store {{
    capacity {store_capacity}
    load-time {load_time}ms
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
    max-sends {max_sends}
    cancel {cancel}
    two-at-once {two_at_once}
    probe {probe}
    loads-on-miss {loads_on_miss}
    idle-keep {idle_keep}s
    load-window 5s
    load-free 6
    load-ratio 20%
    drain-grace 1s
    cold-share 20%
    cold-time {cold_time}s
    fall-multiple {fall_multiple}
}}
traffic check {{
    type check
    functions {functions}
    rate {rate}
    work {work}ms
    retries {retries}
    quits 2%
    left-least {left_least}%
}}
traffic submit {{
    type submit
    functions 20
    rate {submit_rate}
    work 35ms
    deferred 50%
    retries 1
}}
"""
LENGTH_S = 12               # of a drawn scenario; most faults take effect within seconds
MAX_FAULTS = 6              # of a drawn scenario


class ScenarioOutcome(NamedTuple):
    """What the emulation of one scenario found."""

    seed: int
    text: str
    breaches: tuple[str, ...]
    ratio: float             # utility in time over asked
    regret: float = 0.0      # lead of the other policy on the same scenario, if one was given

    @property
    def rule(self) -> str:
        """The first broken rule, such as 'rule 2'. At least one must be broken."""
        return self.breaches[0].split(":")[0]


def draw_scenario(seed: int) -> str:
    """Returns the text of a random scenario."""
    rng = random.Random(f"day {seed}")
    workers, cores = rng.randint(2, 30), rng.choice((1, 2, 4))
    work = rng.randint(20, 150)
    # Offered load as a share of the fleet's capacity, from idle to twice its capacity.
    load = rng.choice((0.1, 0.3, 0.5, 0.7, 0.9, 1.2, 2.0))
    rate = max(2, int(load * workers * cores * 1000 / work * 0.8))
    rate = min(rate, 600)
    troubles = [rng.choice(sorted(FAULT_KINDS)) for _ in range(rng.randint(1, MAX_FAULTS))]
    text = TEMPLATE.format(
        length=LENGTH_S, fronts=rng.randint(1, 6), workers=workers, cores=cores,
        memory=rng.choice((300, 600, 1200, 4000)),
        report_every=rng.choice((100, 400, 900)), store_capacity=rng.randint(1, 10), load_time=rng.randint(50, 1500),
        timeout=rng.choice((700, 1500, 2500)), effect=rng.choice(("repeatable", "deduplicated")),
        group=rng.choice(("all", "zone", "cell")), lanes=rng.choice((1, 2, 4)), max_sends=rng.randint(1, 4),
        cancel=rng.choice(("yes", "no")), two_at_once=rng.choice(("yes", "no")), probe=rng.choice(("yes", "no")),
        loads_on_miss=rng.choice(("yes", "yes", "no")), idle_keep=rng.randint(2, 15), cold_time=rng.randint(1, 6),
        fall_multiple=rng.choice((2, 3, 4)),
        functions=rng.choice((3, 30, 200)), rate=rate, work=work, retries=rng.randint(0, 2),
        left_least=rng.choice((20, 50, 90)), submit_rate=max(1, rate // 4))
    return text + "".join(f"trouble {kind}\n" for kind in troubles)


def emulate(text: str, seed: int, policy: Policy = Dispatcher, against: Policy | None = None) -> ScenarioOutcome:
    """Emulates and audits one scenario; with `against`, also runs that policy and computes the regret."""
    day = read_text(text, seed=seed)
    verdicts = []
    for each in (policy, against) if against else (policy,):
        emulation = Emulation(day, seed, each)
        emulation.run()
        verdicts.append(judge(day, emulation.recorded_events()))
    return ScenarioOutcome(seed, text, tuple(map(str, verdicts[0].breaches)), verdicts[0].ratio,
                           verdicts[1].ratio - verdicts[0].ratio if against else 0.0)


def emulate_drawn(seed: int, policy: Policy = Dispatcher, against: Policy | None = None) -> ScenarioOutcome:
    """Emulates the scenario drawn from the seed."""
    return emulate(draw_scenario(seed), seed, policy, against)


def hunt(seeds: Iterable[int], processes: int, policy: Policy = Dispatcher,
         against: Policy | None = None) -> Iterator[ScenarioOutcome]:
    """Yields the outcomes in the order of the seeds, whatever the number of processes."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(partial(emulate_drawn, policy=policy, against=against), seeds)


# What shrinking removes or halves, besides removing faults: clients that quit, retries, deferred calls; then sizes.
REMOVABLE_LINES = ("quits 2%", "retries 1", "retries 2", "deferred 50%")
HALVED_SIZES = ("fleet-of", "front-ends")


def smaller_scenarios(text: str) -> Iterator[str]:
    """Yields the scenarios that are one step smaller than this one."""
    lines = text.splitlines()
    for number, line in enumerate(lines):
        words = line.split()
        if line.startswith("trouble") or line.strip() in REMOVABLE_LINES:
            yield "\n".join(lines[:number] + lines[number + 1:]) + "\n"
        elif words and words[0] in HALVED_SIZES and int(words[1]) > 1:
            less = " ".join([words[0], str(int(words[1]) // 2), *words[2:]])
            yield "\n".join(lines[:number] + [less] + lines[number + 1:]) + "\n"


def shrink(found: ScenarioOutcome, is_failing: Callable[[ScenarioOutcome], bool], policy: Policy = Dispatcher,
           against: Policy | None = None) -> ScenarioOutcome:
    """Shrinks a scenario step by step while `is_failing` holds for the smaller one. All steps use the same seed."""
    changed = True
    while changed:
        changed = False
        for text in smaller_scenarios(found.text):
            less = emulate(text, found.seed, policy, against)
            if is_failing(less):
                found, changed = less, True
                break
    return found


def breaks(rule: str) -> Callable[[ScenarioOutcome], bool]:
    """Returns a predicate: whether a rule, such as 'rule 2', is broken."""
    return lambda found: any(each.startswith(rule) for each in found.breaches)
