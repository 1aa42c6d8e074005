"""Compares calls of front ends that run a new version with calls of the others over the same seconds. The result is
valid however often one looks. Free of I/O.

Front ends differ in traffic, in their mix of functions, and in the trouble that their hall and their clients cause.
So each is compared with itself: before it runs the new version, a baseline is learnt for each guard and each type,
namely how many times as often its calls are bad as all calls are over the same seconds. If the new version changes
nothing, these ratios alone determine which share of all bad calls of a block falls on the front ends that run it,
whatever happens to all of them in that block (the conditional test of two Poisson rates, Przyborowski and Wilenski
1940). The likelihood of the observed share if the new version were worse by a given amount, divided by its
likelihood if it were not, is a test martingale. Averaged over several amounts, and multiplied over blocks and types,
it exceeds 1/a with a probability of at most a where nothing is worse, whenever one stops (Ville's inequality;
Ramdas, Gruenwald, Vovk and Shafer 2023). That holds for known ratios; as they are estimated, one standard error of
each is counted in favour of the new version. Evidence for "better" is not collected.

Calls are not independent: one sick worker fails many at once. So the evidence is divided by the dispersion: how much
more the old front ends vary from block to block than independent calls would (Pearson's statistic). A call is slow
if it takes longer than the median of the old front ends in earlier blocks, whatever the type's target latency is."""
from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

# The share of rollouts of identical programs that may go back, over all guards; it is small as blocks are correlated.
FALSE_ROLLBACK_RATE = 0.002
GUARDS = ("refused", "aborted", "errors", "late", "slow")
EFFECT_SIZES = (0.2, 0.5, 1.0, 3.0, 10.0)      # increases of the bad calls, as shares of the usual, averaged over
TOLERATED_INCREASE = 0.08      # share of the usual; mixes of functions change by as much
LATENCY_BUCKETS = 40           # four to a doubling, the first up to 1 ms
MIN_DISPERSION = 1.3           # blocks of a few seconds are never quite alike
INITIAL_DISPERSION = 3.0       # until MIN_DISPERSION_CELLS are known
MIN_DISPERSION_CELLS = 40      # blocks of single front ends that the dispersion is computed from, at the least
PRIOR_WEIGHT = 4.0             # bad calls that a ratio of one is assumed to rest on before any are seen


def latency_bucket(ns: int) -> int:
    """Returns the histogram bucket of a latency."""
    return min(LATENCY_BUCKETS - 1, max(0, int(4 * math.log2(max(1.0, ns / 1e6)))))


class CallStats(NamedTuple):
    """Counts of calls of one type at one front end since it started."""

    answers: int = 0
    refused: int = 0
    aborted: int = 0
    errors: int = 0
    late: int = 0
    latencies: tuple[int, ...] = (0,) * LATENCY_BUCKETS

    def since(self, other: CallStats) -> CallStats:
        """Returns what was added since `other` was reported; everything if the front end started again since then."""
        if self.answers < other.answers:
            return self
        return self.combine(other, -1)

    def plus(self, other: CallStats) -> CallStats:
        return self.combine(other, 1)

    def combine(self, other: CallStats, sign: int) -> CallStats:
        """Returns the sum, or the difference where `sign` is -1."""
        return CallStats(self.answers + sign * other.answers, self.refused + sign * other.refused,
                    self.aborted + sign * other.aborted, self.errors + sign * other.errors,
                    self.late + sign * other.late,
                    tuple(one + sign * two for one, two in zip(self.latencies, other.latencies, strict=True)))


@dataclass(slots=True)
class Baseline:
    """How often calls of one type are bad at one front end, by one guard, compared with all front ends."""

    bad: float = 0.0
    expected: float = 0.0

    @property
    def ratio(self) -> float:
        """Bad calls here per bad call expected by the average of all front ends."""
        return (self.bad + PRIOR_WEIGHT) / (self.expected + PRIOR_WEIGHT)

    @property
    def relative_error(self) -> float:
        """The relative error of the ratio if calls were independent."""
        return 1 / math.sqrt(min(self.bad, self.expected) + PRIOR_WEIGHT)


@dataclass(slots=True)
class Comparison:
    """One guard for one type: the baselines of the front ends, and the evidence that the new version is worse."""

    baselines: dict[str, Baseline] = field(default_factory=dict)
    # Logarithms of the likelihood ratios, by effect size.
    log_ratios: list[float] = field(default_factory=lambda: [0.0] * len(EFFECT_SIZES))
    chi_squared: float = 0.0   # Pearson's statistic over blocks of single old front ends
    cells: int = 0             # the number of those blocks
    # Bad and all calls of the new version, then bad and all calls of the old one.
    totals: list[int] = field(default_factory=lambda: [0, 0, 0, 0])

    @property
    def dispersion(self) -> float:
        """How many times as much counts vary as those of independent calls would."""
        return max(MIN_DISPERSION, self.chi_squared / self.cells) if (
            self.cells >= MIN_DISPERSION_CELLS) else INITIAL_DISPERSION

    @property
    def evidence(self) -> float:
        """The logarithm of the likelihood ratio, averaged over all effect sizes."""
        largest = max(self.log_ratios)
        return largest + math.log(sum(math.exp(each - largest) for each in self.log_ratios) / len(EFFECT_SIZES))

    def add_block(self, rows: Mapping[str, tuple[int, int]], new: Collection[str]) -> None:
        """Adds one block: (bad calls, all calls) of each front end; those in `new` run the new version."""
        old = {name: row for name, row in rows.items() if name not in new}
        weight = sum(count * self.baselines.setdefault(name, Baseline()).ratio for name, (_, count) in old.items())
        if not weight:
            return
        bad_old = sum(row[0] for row in old.values())
        level, has_new_calls = bad_old / weight, self.totals[1] > 0
        for name, (bad, count) in old.items():
            baseline = self.baselines[name]
            expected = count * baseline.ratio * level
            if expected > 0.5:
                self.chi_squared += (bad - expected) ** 2 / expected
                self.cells += 1
            if not has_new_calls:
                # Baselines are learnt only until a front end runs the new version: when some have left the old group,
                # the average that all are compared with would drift.
                baseline.bad += bad
                baseline.expected += count * level
        bad_new = count_new = 0
        weight_new = 0.0
        for name, (bad, count) in rows.items():
            if name in new:
                baseline = self.baselines.setdefault(name, Baseline())
                error = baseline.relative_error * math.sqrt(self.dispersion / MIN_DISPERSION)
                weight_new += count * baseline.ratio * (1 + TOLERATED_INCREASE) * (1 + error)
                bad_new, count_new = bad_new + bad, count_new + count
        if not weight_new:
            return
        share = weight_new / (weight_new + weight)
        for index, effect_size in enumerate(EFFECT_SIZES):
            worse_weight = weight_new * (1 + effect_size)
            worse_share = worse_weight / (worse_weight + weight)
            gain = bad_new * math.log(worse_share / share) + bad_old * math.log((1 - worse_share) / (1 - share))
            self.log_ratios[index] += gain / self.dispersion
        for index, count in enumerate((bad_new, count_new, bad_old, sum(row[1] for row in old.values()))):
            self.totals[index] += count


class CanaryAnalysis:
    """The analysis of one rollout."""

    def __init__(self, false_rollback_rate: float = FALSE_ROLLBACK_RATE):
        self.threshold = math.log(len(GUARDS) / false_rollback_rate)
        self.comparisons: dict[tuple[str, str], Comparison] = {}     # by guard and type
        self.old_latencies: dict[str, list[int]] = {}    # by type: histogram of the old front ends so far
        self.compared_calls = 0                          # calls of the new version

    def add_block(self, stats: Mapping[str, Mapping[str, CallStats]], new: Collection[str]) -> None:
        """Adds the calls since the last block, by front end and type; those in `new` run the new version."""
        for type_ in sorted({type_ for by_type in stats.values() for type_ in by_type}):
            of_type = {name: by_type[type_] for name, by_type in stats.items() if type_ in by_type}
            if any(name not in new for name in of_type):
                self.compared_calls += sum(each.answers for name, each in of_type.items() if name in new)
            slow = self.first_slow_bucket(type_)
            for guard in GUARDS:
                if guard == "slow":
                    rows = {name: (sum(each.latencies[slow:]), sum(each.latencies)) for name, each in of_type.items()}
                else:
                    rows = {name: (getattr(each, guard), each.answers) for name, each in of_type.items()}
                self.comparisons.setdefault((guard, type_), Comparison()).add_block(rows, new)
            old_latencies = self.old_latencies.setdefault(type_, [0] * LATENCY_BUCKETS)
            for name, each in of_type.items():
                if name not in new:
                    for index, count in enumerate(each.latencies):
                        old_latencies[index] += count

    def first_slow_bucket(self, type_: str) -> int:
        """Returns the first latency bucket of slow calls: the one after the median of the old front ends."""
        histogram = self.old_latencies.get(type_, [])
        half, so_far = sum(histogram) / 2, 0
        for index, count in enumerate(histogram):
            so_far += count
            if so_far > half:
                return index + 1
        return LATENCY_BUCKETS - 1

    def verdict(self) -> str:
        """Returns in which way the new version is worse; empty if nothing shows that so far."""
        for guard in GUARDS:
            comparisons = {type_: each for (name, type_), each in self.comparisons.items() if name == guard}
            if sum(each.evidence for each in comparisons.values()) >= self.threshold:
                type_, worst = max(comparisons.items(), key=lambda each: each[1].evidence)
                return (f"{guard}: {worst.totals[0]} of {worst.totals[1]} calls of type {type_} with it, "
                        f"{worst.totals[2]} of {worst.totals[3]} without, over the same seconds")
        return ""
