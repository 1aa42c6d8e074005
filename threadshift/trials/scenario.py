"""Reads scenario files (`.trial`): a day file with directives that sweep or draw some of its values.

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

A sweep names one directive of the day by its path, or several separated by commas, which change together. The trial
runs every combination of all sweeps. Drawn values depend only on the seed, so that all points of one seed share them.
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
from threadshift.trials.former_names import current_name
from threadshift.trials.policies import POLICIES

CONSTANT_MODULES = ("choice", "invoke.admission", "bgp.announce", "links.redial")      # may be swept
TRIAL_DIRECTIVES = ("seeds", "sweep", "draw")
MAX_RUNS = 1_000_000       # per scenario; about a week of one machine
NUMBER_WITH_UNIT = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z%]*)$")


class Factor(NamedTuple):
    """One sweep: the directives it sets, by path, and for each point one value per path."""

    name: str
    paths: tuple[tuple[str, ...], ...]
    values: tuple[tuple[tuple[str, ...], ...], ...]


class DrawnDirective(NamedTuple):
    """A directive whose value is drawn between two values of the same unit."""

    path: tuple[str, ...]
    least: float
    most: float
    unit: str
    is_whole: bool


class Job(NamedTuple):
    """One run, with everything that determines its result."""

    point: dict[str, str]                            # factor: value, as displayed
    seed: int
    policy: str
    constants: tuple[tuple[str, str, float], ...]    # module, name as written in the scenario, value
    text: str                                        # of the day file

    @property
    def key(self) -> str:
        """A hash of what determines the result; it identifies the run in stored results."""
        fields = repr((self.seed, self.policy, self.constants, self.text))
        return hashlib.blake2b(fields.encode(), digest_size=12).hexdigest()


class Scenario(NamedTuple):
    """A parsed scenario file."""

    file: str
    day: list[Directive]
    factors: tuple[Factor, ...]
    drawn: tuple[DrawnDirective, ...]
    seeds: tuple[int, ...]

    def jobs(self) -> Iterator[Job]:
        """Yields all runs seed by seed, so that a stopped trial has complete comparisons of the seeds that ran."""
        for seed in self.seeds:
            for values in itertools.product(*(factor.values for factor in self.factors)):
                yield self.job(seed, values)

    def job(self, seed: int, values: tuple) -> Job:
        """Returns the run of one seed with one value of each factor."""
        day, policy, constants = copy.deepcopy(self.day), "threadshift", []
        rng = random.Random(f"draw {self.file.rsplit('/', 1)[-1]} {seed}")
        for each in self.drawn:
            amount = each.least + (each.most - each.least) * rng.random()
            if each.path == ("trouble",):
                for _ in range(round(amount)):
                    day.append(Directive(self.file, 0, "trouble", [rng.choice(sorted(FAULT_KINDS))]))
            else:
                set_directive(day, each.path, [f"{round(amount) if each.is_whole else round(amount, 3)}{each.unit}"])
        for factor, value in zip(self.factors, values, strict=True):
            for path, words in zip(factor.paths, value, strict=True):
                if path == ("policy",):
                    policy = words[0]
                elif path[0] == "constant":
                    constants.append((path[1], path[2], float(words[0])))
                elif path == ("trouble",):
                    day += fault_directives(words, self.file)
                else:
                    set_directive(day, path, list(words))
        point = {factor.name: " ".join(" ".join(words) for words in value)
                 for factor, value in zip(self.factors, values, strict=True)}
        return Job(point, seed, policy, tuple(constants), "\n".join(map(format_directive, day)) + "\n")


def fault_directives(words: tuple[str, ...], file: str) -> list[Directive]:
    """Turns 'crash workers 2 + hang' into trouble directives, and 'none' into an empty list."""
    if words == ("none",):
        return []
    parts = " ".join(words).split(" + ")
    return [Directive(file, 0, "trouble", part.split()) for part in parts]


def set_directive(lines: list[Directive], path: tuple[str, ...], words: list[str]) -> None:
    """Sets one directive of a day: the path 'traffic check rate' sets 'rate' in the block 'traffic check'.

    Adds the directive if it is missing. Raises KeyError if a block of the path is missing.
    """
    name, rest = path[0], path[1:]
    for line in (line for line in lines if line.name == name):
        if not rest:
            line.words = words
            return
        if line.block is not None and (not line.words or line.words[0] == rest[0] or name == "fleet-of"):
            named = bool(line.words) and line.words[0] == rest[0]
            set_directive(line.block, rest[1:] if named else rest, words)
            return
    if rest:
        raise KeyError(" ".join(path))
    lines.append(Directive("", 0, name, words))


def read(path: str) -> Scenario:
    """Reads a scenario file."""
    return parse_trial(load(path), path)


def parse_text(text: str, file: str = "-") -> Scenario:
    """Parses the text of a scenario file."""
    return parse_trial(parse(text, file), file)


def parse_trial(lines: list[Directive], file: str) -> Scenario:
    """Builds a scenario, and parses a day with each swept value once. Raises ConfigurationError with the line."""
    day = [line for line in lines if line.name not in TRIAL_DIRECTIVES]
    sweeps = [line for line in lines if line.name == "sweep"]
    seeds = [line for line in lines if line.name == "seeds"]
    if len(seeds) > 1:
        raise seeds[1].error("'seeds' stands twice")
    scenario = Scenario(
        file, day, tuple(map(parse_sweep, sweeps)), tuple(parse_draw(line) for line in lines if line.name == "draw"),
        parse_seeds(seeds[0]) if seeds else (1,))
    names = [each.name for each in scenario.factors]
    if len(set(names)) < len(names):
        raise sweeps[-1].error("two sweeps of the same name")
    runs = len(scenario.seeds)
    for each in scenario.factors:
        runs *= len(each.values)
    if runs > MAX_RUNS:
        raise ConfigurationError(file, 0, f"{runs} runs, more than {MAX_RUNS}")
    # Tries each value once, with the first value of all other factors, to report an error before hours of runs.
    first = tuple(each.values[0] for each in scenario.factors)
    for n, (each, line) in enumerate(zip(scenario.factors, sweeps, strict=True)):
        for number, value in enumerate(each.values):
            try:
                read_text(scenario.job(scenario.seeds[0], (*first[:n], value, *first[n + 1:])).text, file)
            except KeyError as missing:
                raise line.error(f"the day has no {missing}") from None
            except ConfigurationError as problem:
                assert line.block is not None
                raise line.block[number].error(f"gives no day: {problem}") from None
    if not sweeps:
        read_text(scenario.job(scenario.seeds[0], ()).text, file)
    return scenario


def parse_seeds(line: Directive) -> tuple[int, ...]:
    """Parses `seeds`, either a range or single numbers."""
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


def parse_sweep(line: Directive) -> Factor:
    """Parses `sweep` and checks each of its values."""
    name = " ".join(line.words)
    paths = tuple(tuple(part.split()) for part in name.split(","))
    if not line.block or not all(paths):
        raise line.error("'sweep' takes what is swept, and a block with one value per line")
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
            check_value(each, path, value)
    return Factor(name, paths, tuple(values))


def check_value(line: Directive, path: tuple[str, ...], value: tuple[str, ...]) -> None:
    """Checks a policy or a constant; the parser of days knows neither."""
    if path == ("policy",) and value[0] not in POLICIES:
        raise line.error(f"no policy '{value[0]}'{nearest(value[0], POLICIES)}")
    if path[0] == "constant":
        if len(path) != 3 or path[1] not in CONSTANT_MODULES:
            raise line.error(f"'constant' takes one of {', '.join(CONSTANT_MODULES)} and a name")
        if not isinstance(constant_value(path[1], path[2]), int | float):
            raise line.error(f"{path[1]} has no number '{path[2]}'")
        try:
            float(value[0])
        except ValueError:
            raise line.error(f"'{value[0]}' is not a number") from None


def constant_value(module: str, name: str) -> Any:
    """Returns the constant of today, given its name or a former one; None if the module has none."""
    return getattr(importlib.import_module(f"threadshift.{module}"), current_name(module, name), None)


def parse_draw(line: Directive) -> DrawnDirective:
    """Parses `draw`: what is drawn, the least and the most."""
    *path, least, most = line.words if len(line.words) > 2 else ["", "", ""]
    ends = [NUMBER_WITH_UNIT.match(least), NUMBER_WITH_UNIT.match(most)]
    if not path or not all(ends) or ends[0][2] != ends[1][2]:     # type: ignore[index]
        raise line.error("'draw' takes what is drawn, the least and the most, in the same unit")
    return DrawnDirective(tuple(path), float(ends[0][1]), float(ends[1][1]), ends[0][2],     # type: ignore[index]
                 "." not in least + most)
