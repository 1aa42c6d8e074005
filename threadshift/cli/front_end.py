"""The command that runs one front end process."""
from __future__ import annotations

import os
import signal
import sys

import click

from threadshift.cli.base import main, read_config


@main.command("front-end", hidden=True)
@click.argument("file", type=click.Path())
@click.option("--index", type=int, default=0)
@click.option("--seed", type=int, default=None)
@click.option("--disk-orders", type=click.Path(), default=None, help="A file of orders for faults of the disk.")
@click.option("--version", default="", help="The rollouts whose changes this configuration holds.")
@click.option("--ready-fd", type=int, default=-1, help="The file descriptor on which to report that it serves.")
def front_end(file: str, index: int, seed: int | None, disk_orders: str | None, version: str, ready_fd: int) -> None:
    """Runs one front end process; `run` starts them."""
    signal.pthread_sigmask(signal.SIG_SETMASK, [])
    import gevent
    from gevent.fileobject import FileObject

    from threadshift import garbage_collection
    from threadshift.gateway.front_end import FrontEnd
    from threadshift.log import Log
    config = read_config(file)
    log = Log(config.log_form, config.log_level, config.bounds.log_lines, front_end=config.front_end(index))
    disk = None
    if disk_orders is not None:
        from pathlib import Path

        from threadshift.standins.disk import FaultyDisk
        disk = FaultyDisk(Path(disk_orders))

    def ready() -> None:
        if ready_fd >= 0:
            os.write(ready_fd, b"r")
            os.close(ready_fd)

    front = FrontEnd(config, index, log, seed, disk, version, ready, replaces_running=ready_fd >= 0)
    garbage_collection.freeze_startup_objects()

    def end_with_parent() -> None:
        # The supervisor holds the other end of standard input, which closes when it dies.
        while FileObject(sys.stdin.buffer, "rb").read(1):
            pass
        front.end()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, front.end)
    gevent.signal_handler(signal.SIGHUP, front.reload)
    parent_watch = gevent.spawn(end_with_parent)
    try:
        front.run()
    except OSError as problem:
        log.note("cannot-start", level="error", problem=str(problem))
        raise SystemExit(f"threadshift: cannot listen: {problem}") from None
    finally:
        parent_watch.kill()
        log.close()
