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
    from threadshift.trials.hunt import Found
    from threadshift.trials.keep import Result

PROCESSES = click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
FIRST = click.option("--from", "first", type=int, default=1, help="The first seed.")
DAYS = click.option("--days", type=click.IntRange(1, 100_000), default=100, help="How many days to draw.")
OUT = click.option("--out", type=click.Path(file_okay=False), default=None, help="Folder for the days found, shrunk.")
MADE = click.option("--commit", "made", default=None, help="Results of this commit instead of the latest.")


@contextmanager
def told() -> Iterator[None]:
    """Mistakes of users as one line and a non-zero exit."""
    from threadshift.trials.keep import Unusable
    try:
        yield
    except (ConfigurationError, Unusable) as problem:
        raise SystemExit(f"threadshift: {problem}") from None
    except ModuleNotFoundError as missing:
        raise SystemExit(f"threadshift: this wants {missing.name}: pip install 'threadshift[trials]'") from None


def keep(found: Found, out: str | None) -> None:
    if out:
        Path(out).mkdir(parents=True, exist_ok=True)
        (Path(out) / f"seed-{found.seed}.day").write_text(found.text)


@click.command()
@FIRST
@DAYS
@PROCESSES
@OUT
def hunt(first: int, days: int, processes: int, out: str | None) -> None:
    """Draws days with troubles, emulates them, and looks for a broken rule; exits 1 where one broke."""
    from threadshift.trials import hunt as hunting
    bad, worst = 0, None
    for found in hunting.hunt(range(first, first + days), processes):
        if worst is None or found.ratio < worst.ratio:
            worst = found
        if found.breaches:
            bad += 1
            click.echo(f"seed {found.seed}: {found.breaches[0]}")
            keep(hunting.shrink(found, hunting.breaks(found.rule)), out)
    assert worst is not None
    click.echo(f"{days} days drawn, {bad} with a broken rule; least utility in time over asked "
               f"{worst.ratio:.3f} on seed {worst.seed} (simulated)")
    sys.exit(1 if bad else 0)


@click.group()
def trial() -> None:
    """Experiments on emulated days: sweeps kept in a file, tables, charts, comparisons, and the worst day."""


@trial.command()
@click.argument("file", type=click.Path())
@click.option("--into", type=click.Path(), default=None, help="The results file; FILE with .db if not told.")
@PROCESSES
def run(file: str, into: str | None, processes: int) -> None:
    """Runs the scenario FILE. Stopped at any moment, it goes on where it was; what is kept is not run again."""
    from threadshift.trials import scenario
    from threadshift.trials.keep import Kept
    with told():
        from threadshift.trials import runs
        it = scenario.read(file)
        kept = Kept(into or str(Path(file).with_suffix(".db")))
        with click.progressbar(length=1, label=Path(file).stem, file=sys.stderr) as bar:
            def done(count: int, of: int) -> None:
                bar.length = of
                bar.update(count - bar.pos)
            made = runs.run(it, kept, processes, done)
        found = list(kept.results())
        broken = sum(each.breaches > 0 for each in found)
        click.echo(f"{made} run now, {len(found)} kept in {kept.path}; {broken} with a broken rule "
                   "(simulated)")
        kept.close()
    sys.exit(1 if broken else 0)


def results(path: str, made: str | None) -> list[Result]:
    from threadshift.trials.keep import Kept
    kept = Kept(path, new=False)
    found = list(kept.results(made))
    kept.close()
    if not found:
        raise SystemExit(f"threadshift: {path}: holds no results" + (f" of {made}" if made else ""))
    return found


def known(found: list[Result], factors: list[str]) -> list[str]:
    """Checks names of factors against what was swept."""
    from threadshift.trials.figures import ALWAYS
    names = [*found[0].point, *ALWAYS]
    for each in factors:
        if each not in names:
            raise SystemExit(f"threadshift: nothing called '{each}' was swept; there are {', '.join(names)}")
    return factors


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--by", multiple=True, help="A factor to group by; all that were swept if none is told.")
@MADE
def table(file: str, by: tuple[str, ...], made: str | None) -> None:
    """Prints the results in FILE as a table in Markdown."""
    from threadshift.trials import figures
    with told():
        found = results(file, made)
        click.echo(figures.table(found, known(found, list(by) or list(found[0].point))))


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("out", type=click.Path(dir_okay=False))
@click.option("--across", required=True, help="The factor along the chart.")
@click.option("--lines", default=None, help="The factor with one line a value.")
@click.option("--measure", type=click.Choice(["ratio", "p50", "p99", "rejected", "sends", "loads", "cpu"]),
              default="ratio", show_default=True)
@MADE
def chart(file: str, out: str, across: str, lines: str | None, measure: str, made: str | None) -> None:
    """Draws the results in FILE as an SVG."""
    from threadshift.trials import figures
    with told():
        found = results(file, made)
        known(found, [across, *([lines] if lines else [])])
        figures.chart(found, across, lines, measure, out)


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("a")
@click.argument("b")
@MADE
def compare(file: str, a: str, b: str, made: str | None) -> None:
    """Compares A with B in FILE, paired by seed and by all else that was swept. A and B are values of a factor
    (policy=random), or two commits."""
    from threadshift.trials import figures
    with told():
        if "=" in a and "=" in b:
            (name, one), (other_name, other) = a.split("=", 1), b.split("=", 1)
            found = results(file, made)
            known(found, [name, other_name])
            compared = figures.compare([each for each in found if figures.value(each, name) == one],
                                       [each for each in found if figures.value(each, other_name) == other],
                                       frozenset({name, other_name}))
        else:
            compared = figures.compare(results(file, a), results(file, b))
    if compared is None:
        raise SystemExit(f"threadshift: {file}: no run of {a} pairs with one of {b}")
    click.echo(f"{compared} (simulated)")


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--where", multiple=True, help="FACTOR=VALUE; only runs with it.")
@click.option("--seed", type=int, default=None)
@MADE
def day(file: str, where: tuple[str, ...], seed: int | None, made: str | None) -> None:
    """Prints the day of the worst run in FILE that matches: a broken rule first, then the least utility in time. It
    can be emulated and played."""
    from threadshift.trials import figures
    wanted = [each.partition("=")[::2] for each in where]
    with told():
        found = results(file, made)
        known(found, [name for name, _ in wanted])
    found = [each for each in found if seed in (None, each.seed)
             and all(figures.value(each, name) == one for name, one in wanted)]
    if not found:
        raise SystemExit(f"threadshift: {file}: no run matches")
    it = min(found, key=lambda each: (-each.breaches, each.ratio))
    click.echo(f"# --seed {it.seed}, policy {it.policy}: utility in time over asked {it.ratio:.3f}, {it.breaches} "
               f"breaches (simulated)\n{it.day}", nl=False)


@trial.command()
@click.option("--by", type=click.Choice(["rule", "utility", "regret"]), default="regret", show_default=True,
              help="A broken rule; the least utility in time; the most that an oracle did better.")
@click.option("--policy", default="threadshift", show_default=True)
@FIRST
@DAYS
@PROCESSES
@OUT
def worst(by: str, policy: str, first: int, days: int, processes: int, out: str | None) -> None:
    """Searches drawn days for the worst one and shrinks it to the smallest that is still four fifths as bad."""
    from threadshift.trials import hunt as hunting
    from threadshift.trials.policies import POLICIES
    if policy not in POLICIES:
        raise SystemExit(f"threadshift: no policy '{policy}'; there are {', '.join(POLICIES)}")
    ours, against = POLICIES[policy], POLICIES["oracle"] if by == "regret" else None

    def badness(found: Found) -> float:
        return len(found.breaches) if by == "rule" else found.regret if by == "regret" else 1 - found.ratio
    found = max(hunting.hunt(range(first, first + days), processes, ours, against), key=badness)
    if badness(found) <= 0:
        click.echo(f"{days} days drawn, none with a broken rule or any loss (simulated)")
        return
    click.echo(f"seed {found.seed}: {by} {badness(found):.3f}, utility in time over asked {found.ratio:.3f}"
               + "".join(f"\n  {each}" for each in found.breaches[:3]))
    if by == "rule":
        least = hunting.shrink(found, hunting.breaks(found.rule), ours)
    else:
        bar = 0.8 * badness(found)
        least = hunting.shrink(found, lambda less: badness(less) >= bar, ours, against)
    keep(least, out)
    left = [line for line in least.text.splitlines() if line.split()[0] in ("trouble", *hunting.HALVED)]
    click.echo(f"still {badness(least):.3f} with: {'; '.join(line.rstrip(' {') for line in left)} (simulated)")
    sys.exit(1 if by == "rule" else 0)
