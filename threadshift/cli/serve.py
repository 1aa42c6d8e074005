"""Serving: check, run, front-end, node, call, status, demo."""
from __future__ import annotations

import json
import os
import signal
import sys
import time

import click

from threadshift.cli.base import ADDRESS, TIME, main, told


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Reads FILE and says what is wrong with it, if anything."""
    it = told(file)
    click.echo(f"{file}: good; {len(it.deployment.types)} types, {len(it.functions)} classes of functions, "
               f"{it.front_ends} front end{'s' * (it.front_ends > 1)} on {', '.join(map(str, it.listen))}")


@main.command()
@click.argument("file", type=click.Path())
def run(file: str) -> None:
    """Runs the gateway by FILE, in the foreground, until SIGTERM."""
    from threadshift.gateway.supervisor import Supervisor
    from threadshift.log import Log
    it = told(file)
    Supervisor.block_signals()
    log = Log(it.log_form, it.log_level, it.bounds.log_lines, front_end="supervisor")
    try:
        sys.exit(Supervisor(it, log).run())
    finally:
        log.close()


@main.command()
def node() -> None:
    """Runs one front end on the platform, by NODE_CONFIG in the environment."""
    from threadshift.node.start import main as start
    sys.exit(start(os.environ))


@main.command("front-end", hidden=True)
@click.argument("file", type=click.Path())
@click.option("--index", type=int, default=0)
@click.option("--seed", type=int, default=None)
@click.option("--disk-orders", type=click.Path(), default=None, help="A file of faults that the disk has by order.")
@click.option("--version", default="", help="Which rollouts' changes this is.")
@click.option("--ready-fd", type=int, default=-1, help="Where to say that it serves.")
def front_end(file: str, index: int, seed: int | None, disk_orders: str | None, version: str, ready_fd: int) -> None:
    """One front end process; `run` starts them."""
    signal.pthread_sigmask(signal.SIG_SETMASK, [])
    import gevent
    from gevent.fileobject import FileObject

    from threadshift import garbage_collection
    from threadshift.gateway.front_end import FrontEnd
    from threadshift.log import Log
    it = told(file)
    log = Log(it.log_form, it.log_level, it.bounds.log_lines, front_end=it.front_end(index))
    disk = None
    if disk_orders is not None:
        from pathlib import Path

        from threadshift.standins.disk import FaultyDisk
        disk = FaultyDisk(Path(disk_orders))

    def ready() -> None:
        if ready_fd >= 0:
            os.write(ready_fd, b"r")
            os.close(ready_fd)

    front = FrontEnd(it, index, log, seed, disk, version, ready)
    garbage_collection.freeze_startup_objects()

    def parent_gone() -> None:
        while FileObject(sys.stdin.buffer, "rb").read(1):
            pass
        front.end()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, front.end)
    gevent.signal_handler(signal.SIGHUP, front.reload)
    watch = gevent.spawn(parent_gone)
    try:
        front.run()
    except OSError as problem:
        log.note("cannot-start", level="error", problem=str(problem))
        raise SystemExit(f"threadshift: cannot listen: {problem}") from None
    finally:
        watch.kill()
        log.close()


@main.command()
@click.argument("function")
@click.argument("body", required=False)
@click.option("--to", type=ADDRESS, default="127.0.0.1:8080", help="The gateway's address.")
@click.option("--left", type=TIME, default=None, help="Time left, such as 800ms.")
@click.option("--tenant", default=None)
@click.option("--mark", default=None, help="Idempotency key.")
@click.option("--deferred", is_flag=True, help="Ask for a deferred call, then wait for its answer.")
def call(function: str, body: str | None, to, left, tenant, mark, deferred: bool) -> None:
    """Calls FUNCTION with BODY, or with standard input; prints the answer."""
    from threadshift.invoke.client import Client, NoAnswer
    data = body.encode() if body is not None else sys.stdin.buffer.read()
    headers = {"Time-Left": left and str(left // 1_000_000), "Tenant": tenant, "Idempotency-Key": mark,
               "Prefer": "respond-async" if deferred else None}
    client = Client(to)
    try:
        answer = client.request("POST", f"/v1/functions/{function}/calls", headers, data)
        until = time.monotonic() + 60
        while answer.status == 202 and time.monotonic() < until:
            answer = client.request("GET", f"/v1/calls/{answer.headers['activation']}", {"Prefer": "wait=10"})
    except NoAnswer as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    sys.stdout.buffer.write(answer.body + b"\n" * (not answer.body.endswith(b"\n")))
    if answer.status != 200:
        raise SystemExit(f"threadshift: {answer.status} {answer.headers.get('final', 'not taken')}")


@main.command()
@click.option("--to", type=ADDRESS, default="127.0.0.1:8080", help="The gateway's address.")
@click.option("--json", "plain", is_flag=True, help="The whole of it, as JSON.")
def status(to, plain: bool) -> None:
    """Shows what a front end knows of itself and its workers."""
    from threadshift.invoke.client import Client, NoAnswer
    try:
        told = json.loads(Client(to).request("GET", "/v1/status").body)
    except NoAnswer as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    if plain:
        click.echo(json.dumps(told, indent=2))
        return
    click.echo(f"{told['front-end']}  up {told['up-s']:.0f} s  owed {told['owed']}  connections {told['connections']}"
               f"  lag {told['lag-ms']} ms  roster {told['roster']['age-s']} s ago")
    for name, count in told["counts"].items():
        click.echo(f"  {name:24}{count}")
    for name, one in told["workers"].items():
        click.echo(f"  {name:16}{one['state']:10}{'linked' if one['link'] else 'no link':9}"
                   f"in flight {one['in-flight']:<4} copies {one['copies-believed']:<4} pace {one['pace']:<6}"
                   f" suspended {one['suspended-ms']} ms")


@main.command()
@click.option("--port", type=int, default=8080, help="Where the gateway listens.")
@click.option("--workers", type=click.IntRange(1, 32), default=3)
@click.option("--front-ends", type=click.IntRange(1, 8), default=1)
@click.option("--seconds", type=float, default=None, help="End by itself after so long.")
def demo(port: int, workers: int, front_ends: int, seconds: float | None) -> None:
    """Starts a gateway, workers, a pack store and a roster feed on loopback, all at once, until Ctrl-C."""
    import tempfile
    from pathlib import Path

    from threadshift.gateway.demo import Demo
    with tempfile.TemporaryDirectory(prefix="threadshift-demo-") as scratch:
        try:
            with Demo(Path(scratch), port, workers, front_ends) as it:
                click.echo(f"threadshift listens at http://127.0.0.1:{port} with {workers} workers; try:\n"
                           f"  curl -d 'hello there' http://127.0.0.1:{port}/v1/functions/text-upper/calls\n"
                           f"  threadshift call my-sum '3 4 5' --to 127.0.0.1:{port}\n"
                           f"  threadshift status --to 127.0.0.1:{port}")
                it.wait(seconds)
        except KeyboardInterrupt:
            pass
        except RuntimeError as problem:
            raise SystemExit(f"threadshift: {problem}") from None
