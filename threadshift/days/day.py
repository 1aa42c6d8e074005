"""Reads a day file: a gateway's configuration, a fleet, traffic and troubles, in the same line-based form.

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

from threadshift.conf import installation, values
from threadshift.conf.announcing import hold_time
from threadshift.conf.installation import Installation, block_of, named, one
from threadshift.conf.reading import Block, Directive, ConfigurationError, Word, load, nearest, parse
from threadshift.interface import MS, SECOND

GATEWAY = ("type", "functions", "tenant", "fleet", "bounds")
EARLIEST, LATEST = 0.15, 0.75      # of a day: when troubles drawn from a seed begin
FOR_LEAST, FOR_MOST = 0.08, 0.25   # of a day: how long they last


class FleetOf(NamedTuple):
    """The workers of a day."""

    workers: int
    zones: tuple[str, ...]
    cores: int
    memory: int          # bytes
    loads: int
    report_every: int    # ns


class Store(NamedTuple):
    capacity: float      # fetches at a time
    load_time: int       # ns, of a mean pack: half fetch, half start
    pack: int            # bytes of memory of a mean pack


class RouterOf(NamedTuple):
    """The router before the front ends, where clients do not choose among them themselves."""

    converge: int        # ns from a change of routes to its effect
    hold: int            # s
    steer: str           # by routes; or, as baselines: alive, every front end whose session stands; static, all


class Traffic(NamedTuple):
    """One kind of calls."""

    name: str
    type: str
    functions: int       # names called, by a Zipf law
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


class Trouble(NamedTuple):
    """Something that goes wrong, from `at` for `length` ns."""

    kind: str
    at: int
    length: int
    workers: float = 1       # how many, or which share of them when below 1
    times: float = 2.0       # how strongly, where the kind has a strength
    share: float = 0.1       # of the traffic, where the kind takes a part of it
    zone: str = ""
    front: int = 0


class Day(NamedTuple):
    file: str
    length: int
    front_ends: int
    uneven: float        # traffic of the first n of N front ends: (n / N) to the power of 1 over this
    fleet: FleetOf
    store: Store
    traffic: tuple[Traffic, ...]
    troubles: tuple[Trouble, ...]
    router: RouterOf | None
    gateway: str             # text of the blocks that are a gateway's own
    told: Installation


# Kinds of trouble, with what each takes beside 'at' and 'for'.
KINDS: dict[str, frozenset[str]] = {
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
    # Operators' acts.
    "upgrade": frozenset(), "reload": frozenset(), "override": frozenset({"front"}),
}
FLEET = Block({
    "zones": Word(lambda words: tuple(map(values.name, words)), ("hall-a",), words=-1),
    "cores": Word(values.count, 2), "memory": Word(values.size, 1 << 30), "loads": Word(values.count, 4),
    "report-every": Word(values.duration, 200 * MS),
})
STORE = Block({"capacity": Word(values.number, 8.0), "load-time": Word(values.duration, 400 * MS),
               "pack": Word(values.size, 100 << 20)})
ROUTER = Block({"converge": Word(values.duration, 200 * MS), "hold": Word(hold_time, 3),
                "steer": Word(values.one_of("routes", "alive", "static"), "routes")})
TRAFFIC = Block({
    "type": Word(values.name, wanted=True), "functions": Word(values.count, 40), "zipf": Word(values.number, 1.0),
    "rate": Word(values.number, wanted=True), "work": Word(values.duration, 50 * MS),
    "hint-error": Word(values.share, 0.3), "deferred": Word(values.share, 0.0),
    "left-least": Word(values.share, 0.5), "retries": Word(lambda text: int(values.number(text)), 0),
    "retry-after": Word(values.duration, 200 * MS), "quits": Word(values.share, 0.0),
    "drift": Word(values.duration, 0), "chain": Word(lambda text: int(values.number(text)), 0),
})
FACTS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "at": ("at", values.duration), "for": ("length", values.duration), "workers": ("workers", values.number),
    "times": ("times", values.number), "share": ("share", values.share), "zone": ("zone", values.name),
    "front": ("front", lambda text: int(values.number(text))),
}


def read(path: str, seed: int = 0) -> Day:
    return understand(load(path), path, seed)


def read_text(text: str, file: str = "-", seed: int = 0) -> Day:
    return understand(parse(text, file), file, seed)


def understand(lines: list[Directive], file: str, seed: int) -> Day:
    """A whole day file. Troubles without a time get one drawn from the seed. Raises ConfigurationError."""
    own = ("length", "front-ends", "uneven", "fleet-of", "store", "router", "traffic", "trouble")
    for line in lines:
        if line.name not in (*own, *GATEWAY):
            raise line.wrong(f"unknown directive '{line.name}'{nearest(line.name, [*own, *GATEWAY])}")
    plain = Block({"length": Word(values.duration, wanted=True), "front-ends": Word(values.count, 3),
                   "uneven": Word(values.number, 1.0)}).read(
        [line for line in lines if line.name in ("length", "front-ends", "uneven")], None, file)
    if plain["uneven"] < 1:
        raise ConfigurationError(file, 0, f"uneven {plain['uneven']:g}: 1 is even, above it the first front ends have more")
    gateway = "\n".join(text_of(line) for line in lines if line.name in GATEWAY)
    told = installation.understand(
        [*parse(f"listen 127.0.0.1:0\nroster file none\nfront-ends {plain['front-ends']}\nown-ports 1", file),
         *(line for line in lines if line.name in GATEWAY)], file)
    if not any(line.name == "fleet-of" for line in lines):
        raise ConfigurationError(file, 0, "the file lacks 'fleet-of'")
    fleet_line = one(lines, "fleet-of")
    workers = Block.value(fleet_line, Word(values.count))
    fleet = FleetOf(workers, **under(FLEET.read(fleet_line.block or (), fleet_line, file)))
    store = Store(**under(STORE.read(block_of(lines, "store"), None, file)))
    traffic = tuple(traffic_of(line, told) for line in named(lines, "traffic"))
    if not traffic:
        raise ConfigurationError(file, 0, "the file lacks a 'traffic' block")
    chance = random.Random(f"troubles {seed}").random
    troubles = tuple(trouble_of(line, plain["length"], fleet, plain["front-ends"], chance)
                     for line in lines if line.name == "trouble")
    router = RouterOf(**ROUTER.read(block_of(lines, "router"), None, file)) if any(
        line.name == "router" for line in lines) else None
    return Day(file, plain["length"], plain["front-ends"], plain["uneven"], fleet, store, traffic, troubles, router,
               gateway, told)


def under(found: dict[str, Any]) -> dict[str, Any]:
    return {name.replace("-", "_"): value for name, value in found.items()}


def text_of(line: Directive) -> str:
    """A directive as text again."""
    words = " ".join([line.name, *(f'"{word}"' if " " in word else word for word in line.words)])
    return words if line.block is None else "\n".join([words + " {", *map(text_of, line.block), "}"])


def traffic_of(line: Directive, told: Installation) -> Traffic:
    found = TRAFFIC.read(line.block or (), line, line.file)
    types = [each.name for each in told.deployment.types]
    if found["type"] not in types:
        raise line.wrong(f"traffic {line.words[0]}: no type '{found['type']}'{nearest(found['type'], types)}")
    return Traffic(line.words[0], **under(found))


def trouble_of(line: Directive, length: int, fleet: FleetOf, fronts: int, chance: Callable[[], float]) -> Trouble:
    """'trouble crash at 6s for 5s workers 1'; what it does not tell is drawn or has a default."""
    drawn = int(length * (EARLIEST + (LATEST - EARLIEST) * chance())), int(
        length * (FOR_LEAST + (FOR_MOST - FOR_LEAST) * chance()))
    zone, front = fleet.zones[int(chance() * len(fleet.zones))], int(chance() * fronts)
    if not line.words or line.words[0] not in KINDS:
        kind = line.words[0] if line.words else ""
        raise line.wrong(f"no kind of trouble '{kind}'{nearest(kind, KINDS)}")
    if len(line.words) % 2 == 0 or line.block is not None:
        raise line.wrong("'trouble' takes a kind, then pairs of a fact and its value")
    kind = line.words[0]
    found: dict[str, Any] = {"at": drawn[0], "length": drawn[1], "zone": zone, "front": front}
    for fact, text in zip(line.words[1::2], line.words[2::2], strict=True):
        if fact not in ("at", "for", *KINDS[kind]):
            raise line.wrong(f"trouble {kind} takes no '{fact}'{nearest(fact, ['at', 'for', *KINDS[kind]])}")
        name, read_ = FACTS[fact]
        try:
            found[name] = read_(text)
        except ValueError as problem:
            raise line.wrong(f"trouble {kind}: '{fact} {text}': {problem}") from None
    if found["front"] >= fronts or found["zone"] not in fleet.zones:
        raise line.wrong(f"trouble {kind}: no such zone or front end in this day")
    if found["at"] + found["length"] > length:
        found["length"] = max(SECOND // 2, length - found["at"])
    return Trouble(kind, **found)
