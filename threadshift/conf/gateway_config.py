"""Reads a front end's configuration file: listeners, bounds, namespace types, functions, fleet.

`read(path)` returns a `GatewayConfig` or raises `reading.ConfigurationError`. The file's words become the values that
the rest of the program uses: an `interface.Deployment` for the decisions, `Bounds` for sockets and queues.
`compare_for_reload()` lists what a reload may take over and what needs a restart.
"""
from __future__ import annotations

import fnmatch
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from threadshift.conf import values
from threadshift.conf.announcing import BgpConfig, parse_bgp
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
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND, Deployment, Effect, NamespaceType, Tenant

if TYPE_CHECKING:
    from threadshift.conf.peering import PeersConfig

EFFECTS = tuple(effect.value for effect in Effect)
FRAME_OVERHEAD = 4096          # bytes of a frame to a worker beside the request's body
MAX_SUM_OF_SHARES = 1.0001     # of all tenants; a little over 1 allows for rounding


class FunctionClass(NamedTuple):
    """What calls of all functions whose names match a pattern have in common."""

    pattern: str
    type: str
    lanes: int
    load_time: int       # ns, 0: unknown


class Bounds(NamedTuple):
    """Limits of one front end on queues, connections and sizes, and timeouts (ns)."""

    connections: int
    activations: int
    pipeline: int
    body: int            # bytes of one request's body
    headers: int         # bytes of one request's line and headers
    worker_buffer: int   # bytes that wait to be written to one worker
    frame: int           # bytes of one frame from or to a worker
    deferred: int        # deferred calls without their final answer
    results: int         # bytes of final answers kept until they are collected
    keep_results: int    # how long a final answer is kept
    longest_wait: int    # the most that a GET for a deferred call waits
    log_lines: int       # lines that wait to be written
    idle: int            # a connection with no request under way
    request: int         # from a request's first byte to its last
    write: int           # an answer to a client, or bytes to a worker, without progress
    connect: int
    keepalive: int       # between pings on a worker's link; silent for three times as long, it counts as broken
    load_order: int      # until an order to load counts as lost
    drain: int           # the most that a front end waits for its calls when it ends


class GatewayConfig(NamedTuple):
    """One configuration file, read and checked."""

    file: str
    listen: tuple[Address, ...]
    front_ends: int              # processes of this file, all on the same listeners
    own_ports: int               # the first of the ports of which each process has one to itself; 0: none
    name: str
    roster_kind: str             # feed or file
    roster_at: Address | str
    log_form: str
    log_level: str
    deployment: Deployment
    functions: tuple[FunctionClass, ...]
    bounds: Bounds
    admin: Address | None = None         # listens for operators' orders; one port up for each further front end
    announcing: BgpConfig | None = None
    peering: PeersConfig | None = None

    def front_end(self, index: int) -> str:
        """The name of one front end of this file."""
        return front_end_name(self.name, self.front_ends, index)

    def function(self, name: str) -> tuple[FunctionClass, NamespaceType] | None:
        """The first class whose pattern matches a function's name, with its namespace type."""
        for each in self.functions:
            if fnmatch.fnmatchcase(name, each.pattern):
                return each, next(type_ for type_ in self.deployment.types if type_.name == each.type)
        return None


BOUNDS = BlockSpec({
    "connections": DirectiveSpec(values.count, 10_000, reloadable=True),
    "activations": DirectiveSpec(values.count, 4_096, reloadable=True),
    "pipeline": DirectiveSpec(values.count, 16),
    "body": DirectiveSpec(values.size, 1 << 20, reloadable=True),
    "headers": DirectiveSpec(values.size, 16 << 10, reloadable=True),
    "worker-buffer": DirectiveSpec(values.size, 4 << 20, reloadable=True),
    "frame": DirectiveSpec(values.size, 2 << 20),
    "deferred": DirectiveSpec(values.count, 1_024, reloadable=True),
    "results": DirectiveSpec(values.size, 64 << 20, reloadable=True),
    "keep-results": DirectiveSpec(values.duration, 60 * SECOND, reloadable=True),
    "longest-wait": DirectiveSpec(values.duration, 30 * SECOND, reloadable=True),
    "log-lines": DirectiveSpec(values.count, 10_000),
    "idle": DirectiveSpec(values.duration, 60 * SECOND, reloadable=True),
    "request": DirectiveSpec(values.duration, 10 * SECOND, reloadable=True),
    "write": DirectiveSpec(values.duration, 5 * SECOND, reloadable=True),
    "connect": DirectiveSpec(values.duration, SECOND, reloadable=True),
    "keepalive": DirectiveSpec(values.duration, SECOND, reloadable=True),
    "load-order": DirectiveSpec(values.duration, 10 * SECOND, reloadable=True),
    "drain": DirectiveSpec(values.duration, 10 * SECOND, reloadable=True),
})
FLEET = BlockSpec({
    "front-ends-in-all": DirectiveSpec(values.count),
    "tick": DirectiveSpec(values.duration, 5 * MS),
    "max-sends": DirectiveSpec(values.count, 4),
    "cancel": DirectiveSpec(values.flag, True),
    "two-at-once": DirectiveSpec(values.flag, False),
    "probe": DirectiveSpec(values.flag, False),
    "order-loads": DirectiveSpec(values.flag, True),
    "longest-advice": DirectiveSpec(values.duration, SECOND),
    "loads-on-miss": DirectiveSpec(values.flag, True),
    "idle-keep": DirectiveSpec(values.duration, 10 * SECOND),
    "load-window": DirectiveSpec(values.duration, 0),
    "load-free": DirectiveSpec(values.number, 0.0),
    "load-ratio": DirectiveSpec(values.share, 0.0),
    "drain-grace": DirectiveSpec(values.duration, SECOND),
    "cold-share": DirectiveSpec(values.share, 1.0),
    "cold-time": DirectiveSpec(values.duration, 0),
    "fall-multiple": DirectiveSpec(values.number, 1.0),
    "fall-time": DirectiveSpec(values.duration, SECOND),
})
TYPE = BlockSpec({
    "target-latency": DirectiveSpec(values.duration, required=True),
    "action-timeout": DirectiveSpec(values.duration, required=True),
    "utility": DirectiveSpec(values.number, 1.0),
    "late-utility": DirectiveSpec(values.share, 0.0),
    "effect": DirectiveSpec(values.one_of(*EFFECTS), required=True),
    "group": DirectiveSpec(values.one_of("all", "zone", "cell"), "all"),
    "memory-span": DirectiveSpec(values.duration, 0),
})
FUNCTIONS = BlockSpec({
    "type": DirectiveSpec(values.name, required=True),
    "lanes": DirectiveSpec(values.count, 1),
    "load-time": DirectiveSpec(values.duration, 0),
})
TENANT = BlockSpec({
    "share": DirectiveSpec(values.share, required=True),
    "rate": DirectiveSpec(values.number, required=True),
})
TOP = BlockSpec({
    "listen": DirectiveSpec(lambda words: tuple(map(values.address, words)), required=True, word_count=ONE_OR_MORE),
    "front-ends": DirectiveSpec(values.count, 1),
    "own-ports": DirectiveSpec(values.count, 0),
    "name": DirectiveSpec(values.name, "front"),
    "zone": DirectiveSpec(values.name, ""),
    "admin": DirectiveSpec(values.address),
    "roster": DirectiveSpec(lambda kind, at: (kind, values.address(at) if kind == "feed" else at), required=True,
                            word_count=2),
    "log": DirectiveSpec(lambda form, level: (values.one_of("json", "console")(form),
                                              values.one_of("debug", "info", "warning", "error")(level)),
                         ("json", "info"), word_count=2),
}, nested=frozenset({"type", "functions", "tenant", "fleet", "bounds", "bgp", "peers"}))


def read(path: str) -> GatewayConfig:
    """Reads a file. Raises ConfigurationError."""
    return parse_config(load(path), path)


def read_text(text: str, file: str = "-") -> GatewayConfig:
    """Reads the text of a file; the file's name is for messages. Raises ConfigurationError."""
    return parse_config(parse(text, file), file)


def parse_config(lines: Sequence[Directive], file: str) -> GatewayConfig:
    """Reads the directives of a whole file and checks them against each other."""
    top = TOP.read(lines, None, file)
    if top["roster"][0] not in ("feed", "file"):
        raise first_of(lines, "roster").error(f"'roster {top['roster'][0]}': one of feed, file is wanted")
    types = tuple(parse_type(line) for line in named_blocks(lines, "type"))
    if not types:
        raise ConfigurationError(
            file, 0, "the file lacks a 'type' block: a front end needs one namespace type at least")
    known = [each.name for each in types]
    classes = tuple(parse_functions(line, known) for line in named_blocks(lines, "functions"))
    tenants = tuple(Tenant(line.words[0], **rename_keys(TENANT.read(line.block or (), line, file),
                                                        {"share": "share", "rate": "per_second"}))
                    for line in named_blocks(lines, "tenant"))
    if sum(tenant.share for tenant in tenants) > MAX_SUM_OF_SHARES:
        raise named_blocks(lines, "tenant")[-1].error("the tenants' shares are more than 100% together")
    fleet = FLEET.read(block_of(lines, "fleet"), None, file)
    bounds = BOUNDS.read(block_of(lines, "bounds"), None, file)
    if bounds["frame"] < bounds["body"] + FRAME_OVERHEAD:
        raise ConfigurationError(
            file, 0, f"bounds: frame {bounds['frame']} must be {FRAME_OVERHEAD} bytes over body {bounds['body']}")
    if top["front-ends"] > 1 and not top["own-ports"]:
        raise first_of(lines, "front-ends").error(
            "several front ends need 'own-ports': a deferred call is collected where it was taken")
    deployment = Deployment(
        types=types, tenants=tenants, front_ends=fleet["front-ends-in-all"] or top["front-ends"],
        zone=top["zone"], tick=fleet["tick"], max_sends=fleet["max-sends"], may_cancel=fleet["cancel"],
        may_duplicate=fleet["two-at-once"], may_order_loads=fleet["order-loads"], may_probe=fleet["probe"],
        max_retry_after=fleet["longest-advice"], idle_keep_alive=fleet["idle-keep"],
        **{name.replace("-", "_"): fleet[name] for name in (
            "loads-on-miss", "load-window", "load-free", "load-ratio",
            "drain-grace", "cold-share", "cold-time", "fall-multiple", "fall-time")})
    return GatewayConfig(
        file, top["listen"], top["front-ends"], top["own-ports"], top["name"], top["roster"][0], top["roster"][1],
        top["log"][0], top["log"][1], deployment, classes,
        Bounds(**{name.replace("-", "_"): value for name, value in bounds.items()}), top["admin"],
        read_bgp(lines, known, top["front-ends"]), read_peers(lines, top["name"], top["front-ends"]))


def read_peers(lines: Sequence[Directive], name: str, front_ends: int) -> PeersConfig | None:
    """Reads the `peers` block, if there is one."""
    block = next((line for line in lines if line.name == "peers"), None)
    if block is None:
        return None
    block_of(lines, "peers")
    # Imported only where it is needed: the platform's front end must not load consensus and batches.
    from threadshift.conf.peering import parse_peers
    return parse_peers(block, [front_end_name(name, front_ends, index) for index in range(front_ends)])


def front_end_name(name: str, front_ends: int, index: int) -> str:
    return f"{name}-{index}" if front_ends > 1 else name


def read_bgp(lines: Sequence[Directive], types: Sequence[str], front_ends: int) -> BgpConfig | None:
    """Reads the `bgp` block, if there is one."""
    block = next((line for line in lines if line.name == "bgp"), None)
    if block is None:
        return None
    block_of(lines, "bgp")
    if front_ends > 1:
        raise block.error("'bgp' needs 'front-ends 1': a route stands for one front end; of several behind one route,"
                          " a failing one would keep its share of the traffic")
    return parse_bgp(block, types)


def rename_keys(found: dict, names: dict[str, str]) -> dict:
    """The same values under the names that the table gives for their keys."""
    return {names[name]: value for name, value in found.items()}


def first_of(lines: Sequence[Directive], name: str) -> Directive:
    """The first directive of this name, which must exist."""
    return next(line for line in lines if line.name == name)


def block_of(lines: Sequence[Directive], name: str) -> Sequence[Directive]:
    """The lines of the only block of this name; empty where it is absent."""
    blocks = [line for line in lines if line.name == name]
    if len(blocks) > 1:
        raise blocks[1].error(f"'{name}' stands twice; the first is on line {blocks[0].line}")
    return blocks[0].block or () if blocks else ()


def named_blocks(lines: Sequence[Directive], name: str) -> list[Directive]:
    """The blocks of this name, each of which has one word after it, its own name, that no other has."""
    blocks = [line for line in lines if line.name == name]
    seen: dict[str, int] = {}
    for line in blocks:
        if len(line.words) != 1:
            raise line.error(f"'{name}' takes one name before its block, found {len(line.words)}")
        if line.words[0] in seen:
            first = seen[line.words[0]]
            raise line.error(f"'{name} {line.words[0]}' stands twice; the first is on line {first}")
        seen[line.words[0]] = line.line
    return blocks


def parse_type(line: Directive) -> NamespaceType:
    """Reads one `type` block."""
    found = TYPE.read(line.block or (), line, line.file)
    effect = Effect(found["effect"])
    if found["target-latency"] > found["action-timeout"]:
        raise line.error(f"type {line.words[0]}: target-latency is longer than action-timeout")
    if effect is Effect.DEDUPLICATED and not found["memory-span"]:
        raise line.error(f"type {line.words[0]}: deduplicated needs a memory-span")
    return NamespaceType(line.words[0], found["target-latency"], found["action-timeout"], found["utility"],
                         found["late-utility"], effect, found["group"], found["memory-span"])


def parse_functions(line: Directive, types: Sequence[str]) -> FunctionClass:
    """Reads one `functions` block; `types` are the known namespace types."""
    found = FUNCTIONS.read(line.block or (), line, line.file)
    if found["type"] not in types:
        raise line.error(f"functions {line.words[0]}: no type '{found['type']}'{nearest(found['type'], types)}")
    return FunctionClass(line.words[0], found["type"], found["lanes"], found["load-time"])


def compare_for_reload(old: GatewayConfig, new: GatewayConfig) -> tuple[list[str], list[str]]:
    """What differs, in the file's words: what a reload takes over, and what needs a restart."""
    taken: list[str] = []
    needs_restart: list[str] = []
    for name, spec in BOUNDS.known.items():
        field = name.replace("-", "_")
        if getattr(old.bounds, field) != getattr(new.bounds, field):
            (taken if spec.reloadable else needs_restart).append(f"bounds {name}")
    if old.functions != new.functions:
        taken.append("functions")
    for field in ("listen", "front_ends", "own_ports", "admin", "announcing", "peering", "name", "roster_kind",
                  "roster_at", "log_form", "log_level"):
        if getattr(old, field) != getattr(new, field):
            needs_restart.append(field.replace("_", "-"))
    if old.deployment != new.deployment:
        needs_restart.append("type, tenant, zone or fleet")
    return taken, needs_restart


def apply_reload(old: GatewayConfig, new: GatewayConfig) -> GatewayConfig:
    """The old configuration with what a running front end may take over from the new one."""
    fixed = {name.replace("-", "_"): getattr(old.bounds, name.replace("-", "_"))
             for name, spec in BOUNDS.known.items() if not spec.reloadable}
    return old._replace(functions=new.functions, bounds=new.bounds._replace(**fixed))
