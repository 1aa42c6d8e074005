"""Days: play, emulate, bad-day, audit."""
from __future__ import annotations

import sys
import time

import click

from threadshift.cli.base import ended, main
from threadshift.conf.reading import ConfigurationError


def played(path: str, seed: int, folder: str | None, keep: bool) -> None:
    """Plays a day, audits it, prints the verdict; exits 1 where a rule broke."""
    import tempfile
    from pathlib import Path

    from threadshift.audit.report import audit as audited
    from threadshift.days import day as days
    from threadshift.days.play import Conductor, clear
    try:
        text = Path(path).read_text()
        it = days.read_text(text, path, seed)
    except OSError as problem:
        raise SystemExit(f"threadshift: {path}: {problem.strerror}") from None
    except ConfigurationError as problem:
        raise ended(problem) from None
    with tempfile.TemporaryDirectory(prefix="threadshift-day-") as scratch:
        place = Path(folder) if folder else Path(scratch)
        if folder:
            clear(place)
        try:
            Conductor(it, text, seed, place).play()
        except RuntimeError as problem:
            raise SystemExit(f"threadshift: {problem}") from None
        verdict = audited(place)
    for trouble in it.troubles if keep else ():
        click.echo(f"{trouble.kind} at {trouble.at / 1e9:.1f} s for {trouble.length / 1e9:.1f} s")
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(f"seed {seed} {verdict.line}")
    sys.exit(1 if verdict.breaches else 0)


SEED = click.option("--seed", type=int, default=1, help="Draws clients, victims, and times that the day leaves open.")
KEEP = click.option("--record", "folder", type=click.Path(), default=None, help="Folder to leave the records in.")


@main.command()
@click.argument("day", type=click.Path())
@SEED
@KEEP
def play(day: str, seed: int, folder: str | None) -> None:
    """Plays a DAY file with real processes on loopback and audits it."""
    played(day, seed, folder, keep=True)


@main.command()
@click.argument("day", type=click.Path())
@SEED
@KEEP
def emulate(day: str, seed: int, folder: str | None) -> None:
    """Emulates a DAY file on a virtual clock, with the real engine and decisions, and audits it."""
    from pathlib import Path

    from threadshift.audit.report import judge
    from threadshift.days import day as days
    from threadshift.days.play import clear
    from threadshift.emulator.run import Emulation
    try:
        text = Path(day).read_text()
        it = Emulation(days.read_text(text, day, seed), seed)
    except OSError as problem:
        raise SystemExit(f"threadshift: {day}: {problem.strerror}") from None
    except ConfigurationError as problem:
        raise ended(problem) from None
    began = time.monotonic()
    it.run()
    took = time.monotonic() - began
    if folder:
        clear(Path(folder))
        it.write(Path(folder), text)
    verdict = judge(it.day, it.seen())
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(f"seed {seed} {verdict.line} (simulated, {it.clock.played} events in {took:.1f} s)")
    sys.exit(1 if verdict.breaches else 0)


@main.command("bad-day")
@click.option("--short", is_flag=True, help="The short one, under 50 s.")
@SEED
@KEEP
def bad_day(short: bool, seed: int, folder: str | None) -> None:
    """The scripted bad day: a winter renomination window with much going wrong; exit 0 only with zero breaches."""
    from pathlib import Path
    name = "winter-window-short.day" if short else "winter-window.day"
    played(str(Path(__file__).parent.parent / "days" / name), seed, folder, keep=True)


@main.command()
@click.argument("folder", type=click.Path())
def audit(folder: str) -> None:
    """Checks the five rules from what was recorded in FOLDER."""
    from pathlib import Path

    from threadshift.audit.records import Unreadable
    from threadshift.audit.report import audit as audited
    try:
        verdict = audited(Path(folder))
    except (Unreadable, ConfigurationError) as problem:
        raise ended(problem) from None
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(verdict.line)
    sys.exit(1 if verdict.breaches else 0)
