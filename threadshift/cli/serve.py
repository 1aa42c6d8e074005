"""The commands that check a configuration, run a gateway, and call and inspect it."""
from __future__ import annotations

import json
import os
import sys
import time

import click

from threadshift.cli.base import ADDRESS, TIME, main, read_config

DEFERRED_TIMEOUT = 60      # s for which `call --deferred` waits for the answer


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks the configuration FILE and reports what is wrong with it."""
    config = read_config(file)
    click.echo(f"{file}: good; {len(config.deployment.types)} types, "
               f"{len(config.functions)} classes of functions, "
               f"{config.front_ends} front end{'s' * (config.front_ends > 1)} "
               f"on {', '.join(map(str, config.listen))}")


@main.command()
@click.argument("file", type=click.Path())
def run(file: str) -> None:
    """Runs the gateway of the configuration FILE in the foreground until SIGTERM."""
    from threadshift.gateway.supervisor import Supervisor
    from threadshift.log import Log
    config = read_config(file)
    Supervisor.block_signals()
    log = Log(config.log_form, config.log_level, config.bounds.log_lines, front_end="supervisor")
    try:
        sys.exit(Supervisor(config, log).run())
    finally:
        log.close()


@main.command()
def node() -> None:
    """Runs one front end on the platform, with the configuration that NODE_CONFIG in the environment names."""
    from threadshift.node.start import main as start
    sys.exit(start(os.environ))


@main.command()
@click.argument("function")
@click.argument("body", required=False)
@click.option("--to", type=ADDRESS, default="127.0.0.1:8080", help="The gateway's address.")
@click.option("--left", type=TIME, default=None, help="Time left, such as 800ms.")
@click.option("--tenant", default=None)
@click.option("--mark", default=None, help="Idempotency key.")
@click.option("--deferred", is_flag=True, help="Makes a deferred call, then waits for its answer.")
def call(function: str, body: str | None, to, left, tenant, mark, deferred: bool) -> None:
    """Calls FUNCTION with BODY, or with standard input; prints the answer."""
    from threadshift.invoke.client import Client, NoAnswer
    data = body.encode() if body is not None else sys.stdin.buffer.read()
    headers = {"Time-Left": left and str(left // 1_000_000), "Tenant": tenant, "Idempotency-Key": mark,
               "Prefer": "respond-async" if deferred else None}
    client = Client(to)
    try:
        answer = client.request("POST", f"/v1/functions/{function}/calls", headers, data)
        until = time.monotonic() + DEFERRED_TIMEOUT
        while answer.status == 202 and time.monotonic() < until:
            answer = client.request("GET", f"/v1/calls/{answer.headers['activation']}", {"Prefer": "wait=10"})
    except NoAnswer as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    sys.stdout.buffer.write(answer.body + b"\n" * (not answer.body.endswith(b"\n")))
    if answer.status != 200:
        raise SystemExit(f"threadshift: {answer.status} {answer.headers.get('final', 'not taken')}")


@main.command()
@click.option("--to", type=ADDRESS, default="127.0.0.1:8080", help="The gateway's address.")
@click.option("--json", "plain", is_flag=True, help="Prints the whole status as JSON.")
def status(to, plain: bool) -> None:
    """Shows the state of a front end and its workers."""
    from threadshift.invoke.client import Client, NoAnswer
    try:
        state = json.loads(Client(to).request("GET", "/v1/status").body)
    except NoAnswer as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    if plain:
        click.echo(json.dumps(state, indent=2))
        return
    click.echo(f"{state['front-end']}  up {state['up-s']:.0f} s  owed {state['owed']}"
               f"  connections {state['connections']}"
               f"  lag {state['lag-ms']} ms  roster {state['roster']['age-s']} s ago")
    for name, count in state["counts"].items():
        click.echo(f"  {name:24}{count}")
    for name, worker in state["workers"].items():
        click.echo(f"  {name:16}{worker['state']:10}{'linked' if worker['link'] else 'no link':9}"
                   f"in flight {worker['in-flight']:<4} copies {worker['copies-believed']:<4} "
                   f"pace {worker['pace']:<6}"
                   f" suspended {worker['suspended-ms']} ms")


@main.command()
@click.option("--port", type=int, default=8080, help="The port on which the gateway listens.")
@click.option("--workers", type=click.IntRange(1, 32), default=3)
@click.option("--front-ends", type=click.IntRange(1, 8), default=1)
@click.option("--seconds", type=float, default=None, help="Ends by itself after this time.")
def demo(port: int, workers: int, front_ends: int, seconds: float | None) -> None:
    """Runs a gateway, workers, a pack store and a roster feed on loopback until Ctrl-C."""
    import tempfile
    from pathlib import Path

    from threadshift.gateway.demo import Demo
    with tempfile.TemporaryDirectory(prefix="threadshift-demo-") as scratch:
        try:
            with Demo(Path(scratch), port, workers, front_ends) as demonstration:
                click.echo(f"threadshift listens at http://127.0.0.1:{port} with {workers} workers; try:\n"
                           f"  curl -d 'hello there' http://127.0.0.1:{port}/v1/functions/text-upper/calls\n"
                           f"  threadshift call my-sum '3 4 5' --to 127.0.0.1:{port}\n"
                           f"  threadshift status --to 127.0.0.1:{port}")
                demonstration.wait(seconds)
        except KeyboardInterrupt:
            pass
        except RuntimeError as problem:
            raise SystemExit(f"threadshift: {problem}") from None
