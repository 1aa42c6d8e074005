"""Reads a fault scenario (a `.day` file): a gateway's configuration, a fleet of workers, traffic and faults.

The file is in the line-based format of threadshift.conf:

    length 30s
    fleet-of 12 { zones hall-a hall-b  cores 2  memory 900M }
    traffic check { type check  functions 60  rate 60 }
    trouble crash at 6s for 5s workers 1

The blocks `type`, `functions`, `tenant`, `fleet` and `bounds` are those of threadshift.conf, and mean the same.
"""
from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from threadshift.conf import gateway_config, values
from threadshift.conf.announcing import hold_time
from threadshift.conf.gateway_config import GatewayConfig, block_of, first_of, named_blocks
from threadshift.conf.reading import (
    ONE_OR_MORE,
    BlockSpec,
    ConfigurationError,
    Directive,
    DirectiveSpec,
    load,
    nearest,
    parse,
)
from threadshift.interface import MS, SECOND

GATEWAY_BLOCKS = ("type", "functions", "tenant", "fleet", "bounds")
# Faults without a time of their own begin and last for drawn shares of the scenario's length.
MIN_START = 0.15
MAX_START = 0.75
MIN_LENGTH = 0.08
MAX_LENGTH = 0.25


class WorkerFleet(NamedTuple):
    """The workers of a scenario."""

    workers: int
    zones: tuple[str, ...]
    cores: int
    memory: int          # bytes
    loads: int           # at a time on one worker
    report_every: int    # ns


class Store(NamedTuple):
    """The pack store from which workers load functions."""

    capacity: float      # fetches at a time
    load_time: int       # ns, of a mean pack: half fetch, half start
    pack: int            # bytes of memory of a mean pack


class RouterSettings(NamedTuple):
    """The router in front of the front ends, where clients do not choose among them themselves."""

    converge: int        # ns from a change of routes to its effect
    hold: int            # s
    # By routes. As baselines also: alive, every front end whose session is up; static, all front ends.
    steer: str


class Traffic(NamedTuple):
    """One kind of calls."""

    name: str
    type: str
    functions: int       # number of names that are called, by a Zipf law
    zipf: float
    rate: float          # a second, over all front ends
    work: int            # ns on a core, mean
    hint_error: float    # the hint is off by up to this share
    deferred: float      # share
    left_least: float    # share of the action timeout that the least patient clients give
    retries: int
    retry_after: int     # ns; twice as long each time
    quits: float         # share of clients that leave early
    drift: int = 0       # ns after which each name is one rank less popular, the last the first; 0: never
    chain: int = 0       # deferred calls that follow a completed one, one after another


class Fault(NamedTuple):
    """Something that goes wrong, from `at` for `length` ns."""

    kind: str
    at: int
    length: int
    workers: float = 1       # how many, or which share of them when below 1
    times: float = 2.0       # how strongly, where the kind has a strength
    share: float = 0.1       # of the traffic, where the kind affects a part of it
    zone: str = ""
    front: int = 0


class FaultScenario(NamedTuple):
    """A whole `.day` file."""

    file: str
    length: int
    front_ends: int
    uneven: float        # traffic of the first n of N front ends: (n / N) to the power of 1 over this
    fleet: WorkerFleet
    store: Store
    traffic: tuple[Traffic, ...]
    faults: tuple[Fault, ...]
    router: RouterSettings | None
    gateway: str             # text of the blocks that are a gateway's own
    config: GatewayConfig    # the same blocks, parsed


# The kinds of fault, each with the keys that its line may have beside 'at' and 'for'.
FAULT_KINDS: dict[str, frozenset[str]] = {
    "burst": frozenset({"times"}), "crash": frozenset({"workers"}), "hang": frozenset({"workers"}),
    "slow": frozenset({"workers", "times"}), "deploy": frozenset({"workers"}), "flush": frozenset(),
    "preempt": frozenset({"workers"}), "report_late": frozenset({"times"}), "zone_cut": frozenset({"zone"}),
    "zone_loss": frozenset({"zone"}), "hot_key": frozenset({"share"}), "heavy_tail": frozenset({"share", "times"}),
    "scan": frozenset({"share"}), "give_up": frozenset({"share", "times"}), "shift": frozenset({"share", "front"}),
    "balancer_stall": frozenset({"front"}), "front_kill": frozenset({"front"}), "front_drain": frozenset({"front"}),
    "herd": frozenset({"share"}),
    "store_refuse": frozenset({"share"}), "store_slow": frozenset({"times"}), "store_corrupt": frozenset(),
    "stall": frozenset({"workers"}), "break_after_run": frozenset({"workers"}),
    "break_mid_frame": frozenset({"workers"}), "drain": frozenset({"workers"}),
    # Actions of operators.
    "upgrade": frozenset(), "reload": frozenset(), "override": frozenset({"front"}),
}
FLEET = BlockSpec({
    "zones": DirectiveSpec(lambda words: tuple(map(values.name, words)), ("hall-a",), word_count=ONE_OR_MORE),
    "cores": DirectiveSpec(values.count, 2),
    "memory": DirectiveSpec(values.size, 1 << 30),
    "loads": DirectiveSpec(values.count, 4),
    "report-every": DirectiveSpec(values.duration, 200 * MS),
})
STORE = BlockSpec({
    "capacity": DirectiveSpec(values.number, 8.0),
    "load-time": DirectiveSpec(values.duration, 400 * MS),
    "pack": DirectiveSpec(values.size, 100 << 20),
})
ROUTER = BlockSpec({
    "converge": DirectiveSpec(values.duration, 200 * MS),
    "hold": DirectiveSpec(hold_time, 3),
    "steer": DirectiveSpec(values.one_of("routes", "alive", "static"), "routes"),
})
TRAFFIC = BlockSpec({
    "type": DirectiveSpec(values.name, required=True),
    "functions": DirectiveSpec(values.count, 40),
    "zipf": DirectiveSpec(values.number, 1.0),
    "rate": DirectiveSpec(values.number, required=True),
    "work": DirectiveSpec(values.duration, 50 * MS),
    "hint-error": DirectiveSpec(values.share, 0.3),
    "deferred": DirectiveSpec(values.share, 0.0),
    "left-least": DirectiveSpec(values.share, 0.5),
    "retries": DirectiveSpec(lambda text: int(values.number(text)), 0),
    "retry-after": DirectiveSpec(values.duration, 200 * MS),
    "quits": DirectiveSpec(values.share, 0.0),
    "drift": DirectiveSpec(values.duration, 0),
    "chain": DirectiveSpec(lambda text: int(values.number(text)), 0),
})
# The keys of a 'trouble' line: the field of Fault that each sets, and its parser.
FAULT_KEYS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "at": ("at", values.duration), "for": ("length", values.duration), "workers": ("workers", values.number),
    "times": ("times", values.number), "share": ("share", values.share), "zone": ("zone", values.name),
    "front": ("front", lambda text: int(values.number(text))),
}


def read(path: str, seed: int = 0) -> FaultScenario:
    """Reads a file. Raises ConfigurationError."""
    return parse_scenario(load(path), path, seed)


def read_text(text: str, file: str = "-", seed: int = 0) -> FaultScenario:
    """Reads the text of a file; the file's name is for messages. Raises ConfigurationError."""
    return parse_scenario(parse(text, file), file, seed)


def parse_scenario(lines: list[Directive], file: str, seed: int) -> FaultScenario:
    """Reads a whole `.day` file. Faults without a time get one drawn from the seed. Raises ConfigurationError."""
    own = ("length", "front-ends", "uneven", "fleet-of", "store", "router", "traffic", "trouble")
    for line in lines:
        if line.name not in (*own, *GATEWAY_BLOCKS):
            raise line.error(f"unknown directive '{line.name}'{nearest(line.name, [*own, *GATEWAY_BLOCKS])}")
    plain = BlockSpec({"length": DirectiveSpec(values.duration, required=True),
                       "front-ends": DirectiveSpec(values.count, 3),
                       "uneven": DirectiveSpec(values.number, 1.0)}).read(
        [line for line in lines if line.name in ("length", "front-ends", "uneven")], None, file)
    if plain["uneven"] < 1:
        raise ConfigurationError(
            file, 0, f"uneven {plain['uneven']:g}: 1 is even, above it the first front ends have more")
    gateway = "\n".join(format_directive(line) for line in lines if line.name in GATEWAY_BLOCKS)
    config = gateway_config.parse_config(
        [*parse(f"listen 127.0.0.1:0\nroster file none\nfront-ends {plain['front-ends']}\nown-ports 1", file),
         *(line for line in lines if line.name in GATEWAY_BLOCKS)], file)
    if not any(line.name == "fleet-of" for line in lines):
        raise ConfigurationError(file, 0, "the file lacks 'fleet-of'")
    fleet_line = first_of(lines, "fleet-of")
    workers = BlockSpec.value(fleet_line, DirectiveSpec(values.count))
    fleet = WorkerFleet(workers, **as_field_names(FLEET.read(fleet_line.block or (), fleet_line, file)))
    store = Store(**as_field_names(STORE.read(block_of(lines, "store"), None, file)))
    traffic = tuple(parse_traffic(line, config) for line in named_blocks(lines, "traffic"))
    if not traffic:
        raise ConfigurationError(file, 0, "the file lacks a 'traffic' block")
    draw = random.Random(f"troubles {seed}").random
    faults = tuple(parse_fault(line, plain["length"], fleet, plain["front-ends"], draw)
                   for line in lines if line.name == "trouble")
    router = RouterSettings(**ROUTER.read(block_of(lines, "router"), None, file)) if any(
        line.name == "router" for line in lines) else None
    return FaultScenario(file, plain["length"], plain["front-ends"], plain["uneven"], fleet, store, traffic, faults,
                         router, gateway, config)


def as_field_names(found: dict[str, Any]) -> dict[str, Any]:
    """The same values by the Python names of their directives."""
    return {name.replace("-", "_"): value for name, value in found.items()}


def format_directive(line: Directive) -> str:
    """A directive as text."""
    words = " ".join([line.name, *(f'"{word}"' if " " in word else word for word in line.words)])
    return words if line.block is None else "\n".join([words + " {", *map(format_directive, line.block), "}"])


def parse_traffic(line: Directive, config: GatewayConfig) -> Traffic:
    """Reads one `traffic` block."""
    found = TRAFFIC.read(line.block or (), line, line.file)
    types = [each.name for each in config.deployment.types]
    if found["type"] not in types:
        raise line.error(f"traffic {line.words[0]}: no type '{found['type']}'{nearest(found['type'], types)}")
    mapped = config.function(function_name(line.words[0], 0))
    if mapped is not None and mapped[1].name != found["type"]:
        raise line.error(f"traffic {line.words[0]}: by their 'functions' block its functions have the type "
                         f"'{mapped[1].name}', not '{found['type']}'")
    return Traffic(line.words[0], **as_field_names(found))


def function_name(traffic: str, rank: int) -> str:
    """The name of the function with this rank that calls of a kind of traffic are for."""
    return f"{traffic}-{rank:03}"


def parse_fault(line: Directive, length: int, fleet: WorkerFleet, front_ends: int,
                draw: Callable[[], float]) -> Fault:
    """Reads 'trouble crash at 6s for 5s workers 1'; what the line leaves out is drawn or has a default."""
    at_and_length = int(length * (MIN_START + (MAX_START - MIN_START) * draw())), int(
        length * (MIN_LENGTH + (MAX_LENGTH - MIN_LENGTH) * draw()))
    zone, front = fleet.zones[int(draw() * len(fleet.zones))], int(draw() * front_ends)
    if not line.words or line.words[0] not in FAULT_KINDS:
        kind = line.words[0] if line.words else ""
        raise line.error(f"no kind of trouble '{kind}'{nearest(kind, FAULT_KINDS)}")
    if len(line.words) % 2 == 0 or line.block is not None:
        raise line.error("'trouble' takes a kind, then pairs of a key and its value")
    kind = line.words[0]
    found: dict[str, Any] = {"at": at_and_length[0], "length": at_and_length[1], "zone": zone, "front": front}
    for key, text in zip(line.words[1::2], line.words[2::2], strict=True):
        if key not in ("at", "for", *FAULT_KINDS[kind]):
            raise line.error(f"trouble {kind} takes no '{key}'{nearest(key, ['at', 'for', *FAULT_KINDS[kind]])}")
        name, convert = FAULT_KEYS[key]
        try:
            found[name] = convert(text)
        except ValueError as problem:
            raise line.error(f"trouble {kind}: '{key} {text}': {problem}") from None
    if found["front"] >= front_ends or found["zone"] not in fleet.zones:
        raise line.error(f"trouble {kind}: no such zone or front end in this day")
    if found["at"] + found["length"] > length:
        found["length"] = max(SECOND // 2, length - found["at"])
    return Fault(kind, **found)
