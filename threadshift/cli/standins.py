"""The command group standin: stand-ins for the processes around a gateway, which take orders for faults."""
from __future__ import annotations

import signal
import time

import click

from threadshift.cli.base import ADDRESS, TIME, exit_with, main
from threadshift.conf import values
from threadshift.conf.reading import ConfigurationError


@main.group()
def standin() -> None:
    """Stand-ins for the processes around a gateway; each takes orders for faults on standard input."""


def serve_until_ended(server) -> None:
    """Runs a stand-in until its standard input ends or a signal stops it."""
    import gevent

    from threadshift.standins.common import follow_orders
    server.start()
    orders = gevent.spawn(follow_orders, server.execute_order)
    gevent.signal_handler(signal.SIGTERM, orders.kill)
    gevent.signal_handler(signal.SIGINT, orders.kill)
    print(f"listening {server.address}", flush=True)
    orders.join()
    server.stop()


RECORD = click.option("--record", type=click.Path(), default=None,
                      help="The file in which to record what crosses the sockets.")
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
@click.option("--miss", is_flag=True, help="Answers 'miss' instead of loading while the call waits.")
def worker(listen, record, name, store, zone, size, cores, memory_mb, keep, cold_share, cold_time, fall_multiple,
           fall_time, report_every, miss) -> None:
    """Runs a worker."""
    from threadshift.standins.common import Record
    from threadshift.standins.worker import Machine, Worker
    machine = Machine(name, zone, size, cores, memory_mb, idle_keep_alive=keep, cold_share=cold_share,
                      cold_time=cold_time, fall_multiple=fall_multiple, fall_time=fall_time,
                      report_every=report_every, loads_on_miss=not miss)
    serve_until_ended(Worker(listen, machine, store, Record(record, worker=name)))


@standin.command()
@LISTEN
@RECORD
@click.option("--capacity", type=float, default=8, help="The number of fetches at a time above which it slows down.")
@click.option("--work-ms", type=float, default=40)
@click.option("--memory-mb", type=float, default=200)
@click.option("--load-ms", type=float, default=400)
def store(listen, record, capacity, work_ms, memory_mb, load_ms) -> None:
    """Runs a pack store; times and sizes are those of a mean function."""
    from threadshift.standins.common import Record
    from threadshift.standins.store import PackStore
    serve_until_ended(PackStore(listen, capacity, work_ms, memory_mb, load_ms, Record(record)))


@standin.command()
@LISTEN
@RECORD
def roster(listen, record) -> None:
    """Runs a roster feed."""
    from threadshift.standins.common import Record
    from threadshift.standins.feed import RosterFeed
    serve_until_ended(RosterFeed(listen, Record(record)))


@standin.command()
@RECORD
@click.option("--route", "routes", multiple=True, required=True, help="NAME=LISTEN ADDRESS=TARGET ADDRESS.")
def relay(record, routes) -> None:
    """Runs relays between processes, whose connections can be cut, delayed or broken."""
    from threadshift.standins.common import Record
    from threadshift.standins.relay import Relays
    try:
        parsed_routes = [(name, values.address(at), values.address(to))
                         for name, at, to in (each.split("=") for each in routes)]
    except ValueError as problem:
        raise SystemExit(f"threadshift: --route: {problem}") from None
    serve_until_ended(Relays(parsed_routes, Record(record)))


@standin.command()
@click.argument("day", type=click.Path())
@RECORD
@click.option("--seed", type=int, default=0)
@click.option("--start", type=int, default=0, help="Monotonic ns at which the scenario begins; 0: now.")
@click.option("--front", "fronts", type=ADDRESS, multiple=True, required=True)
def clients(day, record, seed, start, fronts) -> None:
    """Runs the clients of a `.day` file."""
    from threadshift.days import fault_scenario
    from threadshift.days.clients import Clients
    from threadshift.standins.common import Record
    try:
        scenario = fault_scenario.read(day, seed)
    except ConfigurationError as problem:
        raise exit_with(problem) from None
    address_count = scenario.front_ends if scenario.router is None else 1
    if len(fronts) != address_count:
        raise SystemExit(f"threadshift: {day} needs {address_count} addresses to call, {len(fronts)} are given")
    Clients(scenario, seed, list(fronts), Record(record)).run(start or time.monotonic_ns())


@standin.command()
@LISTEN
@RECORD
@click.option("--as", "asn", type=int, default=65000)
@click.option("--peer", "peers", multiple=True, required=True, help="NAME=ADDRESS=AS of a front end's BGP speaker.")
@click.option("--service", "services", multiple=True, required=True,
              help="PREFIX=ADDRESS FOR CLIENTS=PORT OF FRONT ENDS.")
@click.option("--converge", type=TIME, default="200ms")
@click.option("--hold", type=int, default=9)
@click.option("--steer", type=click.Choice(["routes", "alive", "static"]), default="routes")
def router(listen, record, asn, peers, services, converge, hold, steer) -> None:
    """Runs a router that steers connections by what front ends announce."""
    from threadshift.standins.common import Record
    from threadshift.standins.router import Router
    try:
        parsed_peers = [(name, host, int(number)) for name, host, number in (each.split("=") for each in peers)]
        parsed_services = [(prefix, values.address(at), int(port))
                           for prefix, at, port in (each.split("=") for each in services)]
    except ValueError as problem:
        raise SystemExit(f"threadshift: --peer or --service: {problem}") from None
    serve_until_ended(Router(asn, listen, parsed_peers, parsed_services, converge, hold, Record(record), steer))
