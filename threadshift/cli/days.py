"""The commands play, emulate, bad-day and audit: run fault scenarios (`.day` files) and check their records."""
from __future__ import annotations

import sys
import time

import click

from threadshift.cli.base import exit_with, main
from threadshift.conf.reading import ConfigurationError


def run_scenario(path: str, seed: int, folder: str | None, show_faults: bool) -> None:
    """Runs a scenario, audits its records and prints the verdict; exits with 1 where a rule was broken."""
    import tempfile
    from pathlib import Path

    from threadshift.audit.report import audit as audited
    from threadshift.days import fault_scenario
    from threadshift.days.play import ScenarioRunner, remove_records
    try:
        text = Path(path).read_text()
        scenario = fault_scenario.read_text(text, path, seed)
    except OSError as problem:
        raise SystemExit(f"threadshift: {path}: {problem.strerror}") from None
    except ConfigurationError as problem:
        raise exit_with(problem) from None
    with tempfile.TemporaryDirectory(prefix="threadshift-day-") as scratch:
        place = Path(folder) if folder else Path(scratch)
        if folder:
            remove_records(place)
        try:
            ScenarioRunner(scenario, text, seed, place).play()
        except RuntimeError as problem:
            raise SystemExit(f"threadshift: {problem}") from None
        verdict = audited(place)
    for fault in scenario.faults if show_faults else ():
        click.echo(f"{fault.kind} at {fault.at / 1e9:.1f} s for {fault.length / 1e9:.1f} s")
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(f"seed {seed} {verdict.line}")
    sys.exit(1 if verdict.breaches else 0)


SEED = click.option("--seed", type=int, default=1,
                    help="Draws clients, what faults affect, and times that the day leaves open.")
RECORD = click.option("--record", "folder", type=click.Path(), default=None,
                      help="The folder in which the records are left.")


@main.command()
@click.argument("day", type=click.Path())
@SEED
@RECORD
def play(day: str, seed: int, folder: str | None) -> None:
    """Runs a DAY file with real processes on loopback and audits the records."""
    run_scenario(day, seed, folder, show_faults=True)


@main.command()
@click.argument("day", type=click.Path())
@SEED
@RECORD
def emulate(day: str, seed: int, folder: str | None) -> None:
    """Emulates a DAY file on a virtual clock, with the real engine and decisions, and audits the records."""
    from pathlib import Path

    from threadshift.audit.report import judge
    from threadshift.days import fault_scenario
    from threadshift.days.play import remove_records
    from threadshift.emulator.run import Emulation
    try:
        text = Path(day).read_text()
        emulation = Emulation(fault_scenario.read_text(text, day, seed), seed)
    except OSError as problem:
        raise SystemExit(f"threadshift: {day}: {problem.strerror}") from None
    except ConfigurationError as problem:
        raise exit_with(problem) from None
    began = time.monotonic()
    emulation.run()
    took = time.monotonic() - began
    if folder:
        remove_records(Path(folder))
        emulation.write(Path(folder), text)
    verdict = judge(emulation.day, emulation.recorded_events())
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(f"seed {seed} {verdict.line} (simulated, {emulation.clock.events_run} events in {took:.1f} s)")
    sys.exit(1 if verdict.breaches else 0)


@main.command("bad-day")
@click.option("--short", is_flag=True, help="Runs the short version, under 50 s.")
@SEED
@RECORD
def bad_day(short: bool, seed: int, folder: str | None) -> None:
    """Runs the packaged scenario: a winter renomination window with many faults; exit 0 only with zero breaches."""
    from pathlib import Path
    name = "winter-window-short.day" if short else "winter-window.day"
    run_scenario(str(Path(__file__).parent.parent / "days" / name), seed, folder, show_faults=True)


@main.command()
@click.argument("folder", type=click.Path())
def audit(folder: str) -> None:
    """Checks the five rules against the records in FOLDER."""
    from pathlib import Path

    from threadshift.audit.records import Unreadable
    from threadshift.audit.report import audit as audited
    try:
        verdict = audited(Path(folder))
    except (Unreadable, ConfigurationError) as problem:
        raise exit_with(problem) from None
    for breach in verdict.breaches:
        click.echo(str(breach))
    click.echo(verdict.line)
    sys.exit(1 if verdict.breaches else 0)
