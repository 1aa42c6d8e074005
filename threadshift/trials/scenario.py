"""Scenario files: a day file, and what is swept or drawn over it.

    seeds 1 to 20
    sweep policy {
        threadshift
        random
    }
    sweep front-ends, fleet-of, traffic check rate {
        1 11 40
        20 80 900
    }
    sweep trouble {
        none
        crash workers 2 + hang
    }
    sweep constant choice EPSILON {
        0.1
        0.25
    }
    draw fleet memory 300M 1200M

A sweep names one directive of the day by its path, or several parted by commas, which take their values together. All
sweeps are crossed. What is drawn depends on the seed alone, so that all points of one seed share it.
"""
from __future__ import annotations

import copy
import hashlib
import importlib
import itertools
import random
import re
from collections.abc import Iterator
from typing import Any, NamedTuple

from threadshift.conf.reading import ConfigurationError, Directive, load, nearest, parse
from threadshift.days.fault_scenario import FAULT_KINDS, format_directive, read_text
from threadshift.trials.policies import POLICIES

MODULES = ("choice", "invoke.admission", "bgp.announce", "links.redial")      # whose constants may be swept
OWN = ("seeds", "sweep", "draw")
MOST_RUNS = 1_000_000      # of one scenario; a week of a machine
NUMBER = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z%]*)$")


class Factor(NamedTuple):
    """One sweep: the paths set, and their values together, point by point."""

    name: str
    paths: tuple[tuple[str, ...], ...]
    values: tuple[tuple[tuple[str, ...], ...], ...]


class Drawn(NamedTuple):
    """One directive drawn between two values of the same unit."""

    path: tuple[str, ...]
    least: float
    most: float
    unit: str
    whole: bool


class Job(NamedTuple):
    """One run: everything that decides its result, and nothing else."""

    point: dict[str, str]                            # factor: value, as shown
    seed: int
    policy: str
    constants: tuple[tuple[str, str, float], ...]    # module, name, value
    text: str                                        # the day

    @property
    def key(self) -> str:
        told = repr((self.seed, self.policy, self.constants, self.text))
        return hashlib.blake2b(told.encode(), digest_size=12).hexdigest()


class Scenario(NamedTuple):
    file: str
    day: list[Directive]
    factors: tuple[Factor, ...]
    drawn: tuple[Drawn, ...]
    seeds: tuple[int, ...]

    def jobs(self) -> Iterator[Job]:
        """All runs, seed by seed, so that a stopped trial has whole comparisons."""
        for seed in self.seeds:
            for values in itertools.product(*(factor.values for factor in self.factors)):
                yield self.job(seed, values)

    def job(self, seed: int, values: tuple) -> Job:
        day, policy, constants = copy.deepcopy(self.day), "threadshift", []
        chance = random.Random(f"draw {self.file.rsplit('/', 1)[-1]} {seed}")
        for each in self.drawn:
            drawn = each.least + (each.most - each.least) * chance.random()
            if each.path == ("trouble",):
                for _ in range(round(drawn)):
                    day.append(Directive(self.file, 0, "trouble", [chance.choice(sorted(FAULT_KINDS))]))
            else:
                put(day, each.path, [f"{round(drawn) if each.whole else round(drawn, 3)}{each.unit}"])
        for factor, value in zip(self.factors, values, strict=True):
            for path, words in zip(factor.paths, value, strict=True):
                if path == ("policy",):
                    policy = words[0]
                elif path[0] == "constant":
                    constants.append((path[1], path[2], float(words[0])))
                elif path == ("trouble",):
                    day += troubles(words, self.file)
                else:
                    put(day, path, list(words))
        point = {factor.name: " ".join(" ".join(words) for words in value)
                 for factor, value in zip(self.factors, values, strict=True)}
        return Job(point, seed, policy, tuple(constants), "\n".join(map(format_directive, day)) + "\n")


def troubles(words: tuple[str, ...], file: str) -> list[Directive]:
    """'crash workers 2 + hang' as trouble lines; 'none' as none."""
    if words == ("none",):
        return []
    parts = " ".join(words).split(" + ")
    return [Directive(file, 0, "trouble", part.split()) for part in parts]


def put(lines: list[Directive], path: tuple[str, ...], words: list[str]) -> None:
    """Sets one directive of a day; 'traffic check rate' is 'rate' in the block of 'traffic check'."""
    name, rest = path[0], path[1:]
    for line in (line for line in lines if line.name == name):
        if not rest:
            line.words = words
            return
        if line.block is not None and (not line.words or line.words[0] == rest[0] or name == "fleet-of"):
            named = bool(line.words) and line.words[0] == rest[0]
            put(line.block, rest[1:] if named else rest, words)
            return
    if rest:
        raise KeyError(" ".join(path))
    lines.append(Directive("", 0, name, words))


def read(path: str) -> Scenario:
    return understand(load(path), path)


def read_text_of(text: str, file: str = "-") -> Scenario:
    return understand(parse(text, file), file)


def understand(lines: list[Directive], file: str) -> Scenario:
    """A whole scenario; every point of it is read as a day once. Raises ConfigurationError with the line."""
    day = [line for line in lines if line.name not in OWN]
    sweeps = [line for line in lines if line.name == "sweep"]
    seeds = [line for line in lines if line.name == "seeds"]
    if len(seeds) > 1:
        raise seeds[1].error("'seeds' stands twice")
    it = Scenario(file, day, tuple(map(factor, sweeps)), tuple(drawn(line) for line in lines if line.name == "draw"),
                  seeds_of(seeds[0]) if seeds else (1,))
    names = [each.name for each in it.factors]
    if len(set(names)) < len(names):
        raise sweeps[-1].error("two sweeps of the same name")
    runs = len(it.seeds)
    for each in it.factors:
        runs *= len(each.values)
    if runs > MOST_RUNS:
        raise ConfigurationError(file, 0, f"{runs} runs, more than {MOST_RUNS}")
    # Each value once, with the first of all others: a mistake in one shows before hours of runs.
    first = tuple(each.values[0] for each in it.factors)
    for n, (each, line) in enumerate(zip(it.factors, sweeps, strict=True)):
        for number, value in enumerate(each.values):
            try:
                read_text(it.job(it.seeds[0], (*first[:n], value, *first[n + 1:])).text, file)
            except KeyError as missing:
                raise line.error(f"the day has no {missing}") from None
            except ConfigurationError as problem:
                assert line.block is not None
                raise line.block[number].error(f"gives no day: {problem}") from None
    if not sweeps:
        read_text(it.job(it.seeds[0], ()).text, file)
    return it


def seeds_of(line: Directive) -> tuple[int, ...]:
    try:
        if len(line.words) == 3 and line.words[1] == "to":
            found = tuple(range(int(line.words[0]), int(line.words[2]) + 1))
        else:
            found = tuple(map(int, line.words))
    except ValueError:
        found = ()
    if not found or line.block is not None:
        raise line.error("'seeds' takes 'FIRST to LAST' or whole numbers")
    return found


def factor(line: Directive) -> Factor:
    name = " ".join(line.words)
    paths = tuple(tuple(part.split()) for part in name.split(","))
    if not line.block or not all(paths):
        raise line.error("'sweep' takes what is swept, and a block with one value a line")
    values: list[tuple[tuple[str, ...], ...]] = []
    for each in line.block:
        words = (each.name, *each.words)
        if len(paths) == 1:
            values.append((words,))
        elif len(words) != len(paths):
            raise each.error(f"{len(paths)} values are wanted, found {len(words)}")
        else:
            values.append(tuple((word,) for word in words))
        for path, value in zip(paths, values[-1], strict=True):
            check(each, path, value)
    return Factor(name, paths, tuple(values))


def check(line: Directive, path: tuple[str, ...], value: tuple[str, ...]) -> None:
    """What a day's own reader would not see."""
    if path == ("policy",) and value[0] not in POLICIES:
        raise line.error(f"no policy '{value[0]}'{nearest(value[0], POLICIES)}")
    if path[0] == "constant":
        if len(path) != 3 or path[1] not in MODULES:
            raise line.error(f"'constant' takes one of {', '.join(MODULES)} and a name")
        if not isinstance(constant(path[1], path[2]), int | float):
            raise line.error(f"{path[1]} has no number '{path[2]}'")
        try:
            float(value[0])
        except ValueError:
            raise line.error(f"'{value[0]}' is not a number") from None


def constant(module: str, name: str) -> Any:
    return getattr(importlib.import_module(f"threadshift.{module}"), name, None)


def drawn(line: Directive) -> Drawn:
    *path, least, most = line.words if len(line.words) > 2 else ["", "", ""]
    ends = [NUMBER.match(least), NUMBER.match(most)]
    if not path or not all(ends) or ends[0][2] != ends[1][2]:     # type: ignore[index]
        raise line.error("'draw' takes what is drawn, the least and the most, in the same unit")
    return Drawn(tuple(path), float(ends[0][1]), float(ends[1][1]), ends[0][2],     # type: ignore[index]
                 "." not in least + most)
