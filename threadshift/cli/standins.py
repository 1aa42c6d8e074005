"""Stand-ins, each a process that takes orders for faults."""
from __future__ import annotations

import signal
import time

import click

from threadshift.cli.base import ADDRESS, TIME, ended, main
from threadshift.conf import values
from threadshift.conf.reading import ConfigurationError


@main.group()
def standin() -> None:
    """Stand-ins of our own for what stands around a gateway; each takes orders for faults on standard input."""


def attend(server) -> None:
    """Runs a stand-in until its standard input ends or it is told to stop."""
    import gevent

    from threadshift.standins.common import follow_orders
    server.start()
    orders = gevent.spawn(follow_orders, server.obey)
    gevent.signal_handler(signal.SIGTERM, orders.kill)
    gevent.signal_handler(signal.SIGINT, orders.kill)
    print(f"listening {server.address}", flush=True)
    orders.join()
    server.stop()


RECORD = click.option("--record", type=click.Path(), default=None, help="Where to record what crosses the sockets.")
LISTEN = click.option("--listen", type=ADDRESS, required=True)


@standin.command()
@LISTEN
@RECORD
@click.option("--name", required=True)
@click.option("--store", type=ADDRESS, required=True)
@click.option("--zone", default="")
@click.option("--size", type=float, default=1.0)
@click.option("--cores", type=int, default=2)
@click.option("--memory-mb", type=float, default=4096)
@click.option("--keep", type=TIME, default="10s")
@click.option("--cold-share", type=float, default=1.0)
@click.option("--cold-time", type=TIME, default="0s")
@click.option("--fall-multiple", type=float, default=1e9)
@click.option("--fall-time", type=TIME, default="1s")
@click.option("--report-every", type=TIME, default="200ms")
@click.option("--miss", is_flag=True, help="Answer 'miss' instead of loading while the call waits.")
def worker(listen, record, name, store, zone, size, cores, memory_mb, keep, cold_share, cold_time, fall_multiple,
           fall_time, report_every, miss) -> None:
    """A worker."""
    from threadshift.standins.common import Record
    from threadshift.standins.worker import Machine, Worker
    machine = Machine(name, zone, size, cores, memory_mb, keep=keep, cold_share=cold_share, cold_time=cold_time,
                      fall_multiple=fall_multiple, fall_time=fall_time, report_every=report_every,
                      loads_on_miss=not miss)
    attend(Worker(listen, machine, store, Record(record, worker=name)))


@standin.command()
@LISTEN
@RECORD
@click.option("--capacity", type=float, default=8, help="Fetches at a time before it slows down.")
@click.option("--work-ms", type=float, default=40)
@click.option("--memory-mb", type=float, default=200)
@click.option("--load-ms", type=float, default=400)
def store(listen, record, capacity, work_ms, memory_mb, load_ms) -> None:
    """A pack store; figures are those of a mean function."""
    from threadshift.standins.common import Record
    from threadshift.standins.store import PackStore
    attend(PackStore(listen, capacity, work_ms, memory_mb, load_ms, Record(record)))


@standin.command()
@LISTEN
@RECORD
def roster(listen, record) -> None:
    """A roster feed."""
    from threadshift.standins.common import Record
    from threadshift.standins.feed import RosterFeed
    attend(RosterFeed(listen, Record(record)))


@standin.command()
@RECORD
@click.option("--route", "routes", multiple=True, required=True, help="NAME=WHERE IT LISTENS=WHERE IT LEADS.")
def relay(record, routes) -> None:
    """Relays between processes, whose links can be cut, held up or torn."""
    from threadshift.standins.common import Record
    from threadshift.standins.relay import Relays
    try:
        told = [(name, values.address(at), values.address(to))
                for name, at, to in (each.split("=") for each in routes)]
    except ValueError as problem:
        raise SystemExit(f"threadshift: --route: {problem}") from None
    attend(Relays(told, Record(record)))


@standin.command()
@click.argument("day", type=click.Path())
@RECORD
@click.option("--seed", type=int, default=0)
@click.option("--start", type=int, default=0, help="Monotonic ns at which the day begins; 0: now.")
@click.option("--front", "fronts", type=ADDRESS, multiple=True, required=True)
def clients(day, record, seed, start, fronts) -> None:
    """The clients of a day file."""
    from threadshift.days import day as days
    from threadshift.days.clients import Clients
    from threadshift.standins.common import Record
    try:
        it = days.read(day, seed)
    except ConfigurationError as problem:
        raise ended(problem) from None
    wanted = it.front_ends if it.router is None else 1
    if len(fronts) != wanted:
        raise SystemExit(f"threadshift: {day} wants {wanted} addresses to call, {len(fronts)} are named")
    Clients(it, seed, list(fronts), Record(record)).run(start or time.monotonic_ns())


@standin.command()
@LISTEN
@RECORD
@click.option("--as", "asn", type=int, default=65000)
@click.option("--peer", "peers", multiple=True, required=True, help="NAME=ADDRESS=AS of a front end's speaker.")
@click.option("--service", "services", multiple=True, required=True,
              help="PREFIX=WHERE CLIENTS CONNECT=PORT OF FRONT ENDS.")
@click.option("--converge", type=TIME, default="200ms")
@click.option("--hold", type=int, default=9)
@click.option("--steer", type=click.Choice(["routes", "alive", "static"]), default="routes")
def router(listen, record, asn, peers, services, converge, hold, steer) -> None:
    """A router that steers connections by what front ends announce."""
    from threadshift.standins.common import Record
    from threadshift.standins.router import Router
    try:
        spoken = [(name, host, int(number)) for name, host, number in (each.split("=") for each in peers)]
        served = [(prefix, values.address(at), int(port))
                  for prefix, at, port in (each.split("=") for each in services)]
    except ValueError as problem:
        raise SystemExit(f"threadshift: --peer or --service: {problem}") from None
    attend(Router(asn, listen, spoken, served, converge, hold, Record(record), steer))
