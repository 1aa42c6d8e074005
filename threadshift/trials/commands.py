"""The command line of trials: threadshift hunt, threadshift trial run | table | chart | compare | day | worst."""
from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from threadshift.conf.reading import ConfigurationError

if TYPE_CHECKING:
    from threadshift.trials.hunt import ScenarioOutcome
    from threadshift.trials.result_store import Result

PROCESSES = click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
FIRST_SEED = click.option("--from", "first", type=int, default=1, help="The first seed.")
DAYS = click.option("--days", type=click.IntRange(1, 100_000), default=100, help="How many days to draw.")
OUT = click.option("--out", type=click.Path(file_okay=False), default=None, help="Folder for the days found, shrunk.")
COMMIT = click.option("--commit", "commit", default=None, help="Results of this commit instead of the latest.")


@contextmanager
def report_errors() -> Iterator[None]:
    """Reports errors in files as one line and exits with a non-zero status."""
    from threadshift.trials.result_store import InvalidResultsFile
    try:
        yield
    except (ConfigurationError, InvalidResultsFile) as problem:
        raise SystemExit(f"threadshift: {problem}") from None
    except ModuleNotFoundError as missing:
        raise SystemExit(f"threadshift: this wants {missing.name}: pip install 'threadshift[trials]'") from None


def save_scenario(found: ScenarioOutcome, out: str | None) -> None:
    """Writes the scenario into the folder `out`, if one is given."""
    if out:
        Path(out).mkdir(parents=True, exist_ok=True)
        (Path(out) / f"seed-{found.seed}.day").write_text(found.text)


@click.command()
@FIRST_SEED
@DAYS
@PROCESSES
@OUT
def hunt(first: int, days: int, processes: int, out: str | None) -> None:
    """Emulates randomly drawn days with troubles and looks for broken rules; exits with 1 if a rule broke."""
    from threadshift.trials import hunt as hunting
    failed, worst = 0, None
    for found in hunting.hunt(range(first, first + days), processes):
        if worst is None or found.ratio < worst.ratio:
            worst = found
        if found.breaches:
            failed += 1
            click.echo(f"seed {found.seed}: {found.breaches[0]}")
            save_scenario(hunting.shrink(found, hunting.breaks(found.rule)), out)
    assert worst is not None
    click.echo(f"{days} days drawn, {failed} with a broken rule; least utility in time over asked "
               f"{worst.ratio:.3f} on seed {worst.seed} (simulated)")
    sys.exit(1 if failed else 0)


@click.group()
def trial() -> None:
    """Experiments on emulated days: sweeps stored in a file, tables, charts, comparisons, and the worst day."""


@trial.command()
@click.argument("file", type=click.Path())
@click.option("--into", type=click.Path(), default=None, help="The results file; FILE with .db if not given.")
@PROCESSES
def run(file: str, into: str | None, processes: int) -> None:
    """Runs the scenario FILE. A stopped trial can be started again: runs already stored are skipped."""
    from threadshift.trials import scenario
    from threadshift.trials.result_store import ResultStore
    with report_errors():
        from threadshift.trials import runs
        trial_scenario = scenario.read(file)
        store = ResultStore(into or str(Path(file).with_suffix(".db")))
        with click.progressbar(length=1, label=Path(file).stem, file=sys.stderr) as bar:
            def show_progress(count: int, of: int) -> None:
                bar.length = of
                bar.update(count - bar.pos)
            run_count = runs.run(trial_scenario, store, processes, show_progress)
        found = list(store.results())
        broken = sum(each.breaches > 0 for each in found)
        click.echo(f"{run_count} run now, {len(found)} kept in {store.path}; {broken} with a broken rule "
                   "(simulated)")
        store.close()
    sys.exit(1 if broken else 0)


def read_results(path: str, commit: str | None) -> list[Result]:
    """Reads the results of one commit, by default the latest; exits with an error if there are none."""
    from threadshift.trials.result_store import ResultStore
    store = ResultStore(path, writable=False)
    found = list(store.results(commit))
    store.close()
    if not found:
        raise SystemExit(f"threadshift: {path}: holds no results" + (f" of {commit}" if commit else ""))
    return found


def check_factors(found: list[Result], factors: list[str]) -> list[str]:
    """Returns the factors; exits with an error if the results have no such factor."""
    from threadshift.trials.figures import COMMON_FACTORS
    names = [*found[0].point, *COMMON_FACTORS]
    for each in factors:
        if each not in names:
            raise SystemExit(f"threadshift: nothing called '{each}' was swept; there are {', '.join(names)}")
    return factors


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--by", multiple=True, help="A factor to group by; all that were swept if none is given.")
@COMMIT
def table(file: str, by: tuple[str, ...], commit: str | None) -> None:
    """Prints the results in FILE as a table in Markdown."""
    from threadshift.trials import figures
    with report_errors():
        found = read_results(file, commit)
        click.echo(figures.table(found, check_factors(found, list(by) or list(found[0].point))))


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("out", type=click.Path(dir_okay=False))
@click.option("--across", required=True, help="The factor along the chart.")
@click.option("--lines", default=None, help="The factor with one line per value.")
@click.option("--measure", type=click.Choice(["ratio", "p50", "p99", "rejected", "sends", "loads", "cpu"]),
              default="ratio", show_default=True)
@COMMIT
def chart(file: str, out: str, across: str, lines: str | None, measure: str, commit: str | None) -> None:
    """Draws the results in FILE as an SVG."""
    from threadshift.trials import figures
    with report_errors():
        found = read_results(file, commit)
        check_factors(found, [across, *([lines] if lines else [])])
        figures.chart(found, across, lines, measure, out)


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("a")
@click.argument("b")
@COMMIT
def compare(file: str, a: str, b: str, commit: str | None) -> None:
    """Compares A with B in FILE, paired by seed and all other factors. A and B are values of a factor
    (policy=random), or two commits."""
    from threadshift.trials import figures
    with report_errors():
        if "=" in a and "=" in b:
            (name, one), (other_name, other) = a.split("=", 1), b.split("=", 1)
            found = read_results(file, commit)
            check_factors(found, [name, other_name])
            compared = figures.compare([each for each in found if figures.value(each, name) == one],
                                       [each for each in found if figures.value(each, other_name) == other],
                                       frozenset({name, other_name}))
        else:
            compared = figures.compare(read_results(file, a), read_results(file, b))
    if compared is None:
        raise SystemExit(f"threadshift: {file}: no run of {a} pairs with one of {b}")
    click.echo(f"{compared} (simulated)")


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--where", multiple=True, help="FACTOR=VALUE; only runs with it.")
@click.option("--seed", type=int, default=None)
@COMMIT
def day(file: str, where: tuple[str, ...], seed: int | None, commit: str | None) -> None:
    """Prints the day of the worst matching run in FILE: runs with broken rules first, then the least utility in time.
    The day can be emulated and played."""
    from threadshift.trials import figures
    wanted = [each.partition("=")[::2] for each in where]
    with report_errors():
        found = read_results(file, commit)
        check_factors(found, [name for name, _ in wanted])
    found = [each for each in found if seed in (None, each.seed)
             and all(figures.value(each, name) == one for name, one in wanted)]
    if not found:
        raise SystemExit(f"threadshift: {file}: no run matches")
    worst_run = min(found, key=lambda each: (-each.breaches, each.ratio))
    click.echo(f"# --seed {worst_run.seed}, policy {worst_run.policy}: utility in time over asked "
               f"{worst_run.ratio:.3f}, {worst_run.breaches} breaches (simulated)\n{worst_run.day}", nl=False)


@trial.command()
@click.option("--by", type=click.Choice(["rule", "utility", "regret"]), default="regret", show_default=True,
              help="What is worst: broken rules, the least utility in time, or the oracle's largest lead.")
@click.option("--policy", default="threadshift", show_default=True)
@FIRST_SEED
@DAYS
@PROCESSES
@OUT
def worst(by: str, policy: str, first: int, days: int, processes: int, out: str | None) -> None:
    """Searches drawn days for the worst one and shrinks it to the smallest that is still four fifths as bad."""
    from threadshift.trials import hunt as hunting
    from threadshift.trials.policies import POLICIES
    if policy not in POLICIES:
        raise SystemExit(f"threadshift: no policy '{policy}'; there are {', '.join(POLICIES)}")
    policy_class, against = POLICIES[policy], POLICIES["oracle"] if by == "regret" else None

    def badness(found: ScenarioOutcome) -> float:
        return len(found.breaches) if by == "rule" else found.regret if by == "regret" else 1 - found.ratio
    found = max(hunting.hunt(range(first, first + days), processes, policy_class, against), key=badness)
    if badness(found) <= 0:
        click.echo(f"{days} days drawn, none with a broken rule or any loss (simulated)")
        return
    click.echo(f"seed {found.seed}: {by} {badness(found):.3f}, utility in time over asked {found.ratio:.3f}"
               + "".join(f"\n  {each}" for each in found.breaches[:3]))
    if by == "rule":
        least = hunting.shrink(found, hunting.breaks(found.rule), policy_class)
    else:
        threshold = 0.8 * badness(found)
        least = hunting.shrink(found, lambda less: badness(less) >= threshold, policy_class, against)
    save_scenario(least, out)
    remaining = [line for line in least.text.splitlines() if line.split()[0] in ("trouble", *hunting.HALVED_SIZES)]
    click.echo(f"still {badness(least):.3f} with: {'; '.join(line.rstrip(' {') for line in remaining)} (simulated)")
    sys.exit(1 if by == "rule" else 0)
