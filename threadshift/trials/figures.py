"""Statistics of stored results: groups with intervals, paired comparisons, Markdown tables and SVG charts."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from threadshift.trials.result_store import Result

CONFIDENCE_LEVEL = 0.95    # of intervals
COMMON_FACTORS = ("policy", "seed", "fronts", "workers")      # fields of Result that are factors of every run
RESAMPLES = 2_000          # bootstrap draws; they give the ends of an interval to a few percent of its width


class Interval(NamedTuple):
    """A mean and its confidence interval; both ends are the mean if too few values are given."""

    mean: float
    least: float
    most: float

    def __str__(self) -> str:
        return f"{self.mean:.3f} ({self.least:.3f} to {self.most:.3f})"


def interval(values: Sequence[float]) -> Interval:
    """Returns the percentile bootstrap interval of the mean. Its seed is fixed: equal values give equal intervals."""
    import numpy
    from scipy import stats
    mean = sum(values) / len(values)
    if len(values) < 3 or max(values) == min(values):
        return Interval(mean, mean, mean)
    found = stats.bootstrap((numpy.array(values),), numpy.mean, n_resamples=RESAMPLES,
                            confidence_level=CONFIDENCE_LEVEL, method="percentile", rng=numpy.random.default_rng(1))
    return Interval(mean, float(found.confidence_interval.low), float(found.confidence_interval.high))


class Group(NamedTuple):
    """Results that share the values of some factors."""

    values: tuple[str, ...]
    results: list[Result]

    @property
    def latencies(self) -> HdrHistogram:
        """The merged histogram of all results, us."""
        whole = HdrHistogram.decode(self.results[0].latencies)
        for each in self.results[1:]:
            whole.add(HdrHistogram.decode(each.latencies))
        return whole

    def total(self, name: str) -> float:
        return sum(getattr(each, name) for each in self.results)


def value(result: Result, factor: str) -> str:
    """Returns a factor's value in one run. Raises KeyError for an unknown factor."""
    if factor in result.point:
        return result.point[factor]
    if factor in COMMON_FACTORS:
        return str(getattr(result, factor))
    raise KeyError(factor)


def sort_key(text: str) -> tuple:
    """Sorts numbers (with or without a unit) by size, and words after them."""
    head = text.split(" ")[0].rstrip("%msMkG")
    try:
        return 0, float(head), text
    except ValueError:
        return 1, 0.0, text


def grouped(results: Iterable[Result], factors: Sequence[str]) -> list[Group]:
    """Groups results by the values of the factors, in the order of `sort_key`."""
    found: dict[tuple[str, ...], list[Result]] = defaultdict(list)
    for each in results:
        found[tuple(value(each, factor) for factor in factors)].append(each)
    return [Group(values, found[values]) for values in sorted(found, key=lambda it: tuple(map(sort_key, it)))]


def table(results: Sequence[Result], factors: Sequence[str]) -> str:
    """Returns a Markdown table with one row per group."""
    head = [*factors, "runs", "utility in time over asked", "least", "p50, ms", "p99, ms", "rejected", "aborted",
            "sends a call", "loads a call", "front ends' µs a call", "breaches"]
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join(["---"] * len(head)) + " |"]
    for group in grouped(results, factors):
        ratios, times, tries = [each.ratio for each in group.results], group.latencies, group.total("tries") or 1
        lines.append("| " + " | ".join([
            *group.values, str(len(ratios)), str(interval(ratios)), f"{min(ratios):.3f}",
            f"{times.get_value_at_percentile(50) / 1000:.0f}", f"{times.get_value_at_percentile(99) / 1000:.0f}",
            f"{group.total('rejected') / tries:.1%}", f"{group.total('aborted') / tries:.2%}",
            f"{group.total('sends') / tries:.3f}", f"{group.total('loads') / tries:.3f}",
            f"{group.total('front_ns') / tries / 1000:.0f}", f"{group.total('breaches'):.0f}"]) + " |")
    return "\n".join(lines)


class Comparison(NamedTuple):
    """The paired comparison of two sets of runs, A and B."""

    pairs: int
    difference: Interval         # A minus B, of utility in time over asked
    better: int                  # pairs in which A was better by more than 0.001
    worse: int
    least: tuple[float, int]     # the lowest difference and its seed
    most: tuple[float, int]      # the highest difference and its seed

    def __str__(self) -> str:
        return (f"{self.pairs} pairs; A less B {self.difference}; better in {self.better}, worse in {self.worse}; "
                f"from {self.least[0]:.3f} on seed {self.least[1]} to {self.most[0]:.3f} on seed {self.most[1]}")


def compare(one: Iterable[Result], other: Iterable[Result],
            excluded: frozenset[str] = frozenset()) -> Comparison | None:
    """Pairs runs by seed and all factors but the excluded ones. Returns None if no runs pair."""
    def pair_key(result: Result) -> tuple:
        return result.seed, tuple(sorted(
            (name, setting) for name, setting in result.point.items() if name not in excluded))
    ours, theirs = {pair_key(each): each for each in one}, {pair_key(each): each for each in other}
    pairs = [(ours[key].ratio - theirs[key].ratio, ours[key].seed) for key in sorted(ours) if key in theirs]
    if not pairs:
        return None
    differences = [difference for difference, _ in pairs]
    return Comparison(len(pairs), interval(differences), sum(difference > 0.001 for difference in differences),
                      sum(difference < -0.001 for difference in differences), min(pairs), max(pairs))


MEASURES: dict[str, tuple[str, Callable[[Group], float]]] = {
    "ratio": ("utility in time over asked", lambda it: sum(each.ratio for each in it.results) / len(it.results)),
    "p50": ("p50, ms", lambda it: it.latencies.get_value_at_percentile(50) / 1000),
    "p99": ("p99, ms", lambda it: it.latencies.get_value_at_percentile(99) / 1000),
    "rejected": ("rejected, of all calls", lambda it: it.total("rejected") / max(1, it.total("tries"))),
    "sends": ("sends a call", lambda it: it.total("sends") / max(1, it.total("tries"))),
    "loads": ("loads a call", lambda it: it.total("loads") / max(1, it.total("tries"))),
    "cpu": ("front ends' µs a call", lambda it: it.total("front_ns") / 1000 / max(1, it.total("tries"))),
}


def chart(results: Sequence[Result], across: str, lines: str | None, measure: str, path: str) -> None:
    """Draws an SVG with one line per value of the factor `lines`, over the values of the factor `across`."""
    import matplotlib
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "threadshift"        # fixed, so that equal results give equal files
    from matplotlib import pyplot
    label, measure_of = MEASURES[measure]
    figure, axes = pyplot.subplots(figsize=(7, 3.8))
    positions = [group.values[0] for group in grouped(results, [across])]
    series: dict[str, list[tuple[int, Any]]] = defaultdict(list)
    for group in grouped(results, [across, lines] if lines else [across]):
        series[group.values[1] if lines else ""].append((positions.index(group.values[0]), group))
    for line, points in series.items():
        axes.plot([at for at, _ in points], [measure_of(group) for _, group in points], marker="o",
                  label=line or None)
    axes.set_xticks(range(len(positions)), positions, rotation=30 if max(map(len, positions)) > 8 else 0, ha="right")
    axes.set(xlabel=across, ylabel=label)
    axes.grid(alpha=0.3)
    if lines:
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
