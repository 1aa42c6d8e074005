"""What a front end is told by its configuration file: listeners, bounds, namespace types, functions, fleet.

`read(path)` gives an `Installation` or raises `reading.ConfigurationError`. Its raw words are turned at once into what is used:
an `interface.Deployment` for the decisions, `Bounds` for sockets and queues. `changed()` tells what a reload may
take over and what it may not.
"""
from __future__ import annotations

import fnmatch
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from threadshift.conf import values
from threadshift.conf.announcing import Announcing, announcing
from threadshift.conf.reading import Block, Directive, ConfigurationError, Word, load, nearest, parse
from threadshift.conf.values import Address
from threadshift.interface import MS, SECOND, Deployment, Effect, NamespaceType, Tenant

if TYPE_CHECKING:
    from threadshift.conf.peering import Peering

EFFECTS = tuple(effect.value for effect in Effect)


class FunctionClass(NamedTuple):
    """What calls of functions whose names match share."""

    pattern: str
    type: str
    lanes: int
    load_time: int       # ns, 0: not told


class Bounds(NamedTuple):
    """What may wait or stand open at one front end, and for how long (ns)."""

    connections: int
    activations: int
    pipeline: int
    body: int            # bytes of one request's body
    headers: int         # bytes of one request's line and headers
    worker_buffer: int   # bytes waiting to be written to one worker
    frame: int           # bytes of one frame from or to a worker
    deferred: int        # deferred calls without their final answer
    results: int         # bytes of final answers kept for collecting
    keep_results: int
    longest_wait: int    # of a GET for a deferred call
    log_lines: int
    idle: int            # a connection with no request under way
    request: int         # from a request's first byte to its last
    write: int           # an answer to a client, or bytes to a worker, without progress
    connect: int
    keepalive: int       # a worker's link; silent three times as long, it is taken as broken
    load_order: int      # until an order to load counts as lost
    drain: int


class Installation(NamedTuple):
    """One configuration file, read and checked."""

    file: str
    listen: tuple[Address, ...]
    front_ends: int              # processes here, all on the same listeners ...
    own_ports: int               # ... and each on a port of its own from this one up; 0: none
    name: str
    roster_kind: str             # feed or file
    roster_at: Address | str
    log_form: str
    log_level: str
    deployment: Deployment
    functions: tuple[FunctionClass, ...]
    bounds: Bounds
    admin: Address | None = None         # where operators' orders are heard; one port up for each further front end
    announcing: Announcing | None = None
    peering: Peering | None = None

    def front_end(self, index: int) -> str:
        """The name of one front end here."""
        return name_of(self.name, self.front_ends, index)

    def function(self, name: str) -> tuple[FunctionClass, NamespaceType] | None:
        """What the first block that matches a function's name says of it."""
        for each in self.functions:
            if fnmatch.fnmatchcase(name, each.pattern):
                return each, next(type_ for type_ in self.deployment.types if type_.name == each.type)
        return None


BOUNDS = Block({
    "connections": Word(values.count, 10_000, reload=True),
    "activations": Word(values.count, 4_096, reload=True),
    "pipeline": Word(values.count, 16),
    "body": Word(values.size, 1 << 20, reload=True),
    "headers": Word(values.size, 16 << 10, reload=True),
    "worker-buffer": Word(values.size, 4 << 20, reload=True),
    "frame": Word(values.size, 2 << 20),
    "deferred": Word(values.count, 1_024, reload=True),
    "results": Word(values.size, 64 << 20, reload=True),
    "keep-results": Word(values.duration, 60 * SECOND, reload=True),
    "longest-wait": Word(values.duration, 30 * SECOND, reload=True),
    "log-lines": Word(values.count, 10_000),
    "idle": Word(values.duration, 60 * SECOND, reload=True),
    "request": Word(values.duration, 10 * SECOND, reload=True),
    "write": Word(values.duration, 5 * SECOND, reload=True),
    "connect": Word(values.duration, SECOND, reload=True),
    "keepalive": Word(values.duration, SECOND, reload=True),
    "load-order": Word(values.duration, 10 * SECOND, reload=True),
    "drain": Word(values.duration, 10 * SECOND, reload=True),
})
FLEET = Block({
    "front-ends-in-all": Word(values.count),
    "tick": Word(values.duration, 5 * MS),
    "max-sends": Word(values.count, 4),
    "cancel": Word(values.flag, True),
    "two-at-once": Word(values.flag, False),
    "probe": Word(values.flag, False),
    "order-loads": Word(values.flag, True),
    "longest-advice": Word(values.duration, SECOND),
    "loads-on-miss": Word(values.flag, True),
    "idle-keep": Word(values.duration, 10 * SECOND),
    "load-window": Word(values.duration, 0),
    "load-free": Word(values.number, 0.0),
    "load-ratio": Word(values.share, 0.0),
    "drain-grace": Word(values.duration, SECOND),
    "cold-share": Word(values.share, 1.0),
    "cold-time": Word(values.duration, 0),
    "fall-multiple": Word(values.number, 1.0),
    "fall-time": Word(values.duration, SECOND),
})
TYPE = Block({
    "target-latency": Word(values.duration, wanted=True),
    "action-timeout": Word(values.duration, wanted=True),
    "utility": Word(values.number, 1.0),
    "late-utility": Word(values.share, 0.0),
    "effect": Word(values.one_of(*EFFECTS), wanted=True),
    "group": Word(values.one_of("all", "zone", "cell"), "all"),
    "memory-span": Word(values.duration, 0),
})
FUNCTIONS = Block({
    "type": Word(values.name, wanted=True),
    "lanes": Word(values.count, 1),
    "load-time": Word(values.duration, 0),
})
TENANT = Block({"share": Word(values.share, wanted=True), "rate": Word(values.number, wanted=True)})
TOP = Block({
    "listen": Word(lambda words: tuple(map(values.address, words)), wanted=True, words=-1),
    "front-ends": Word(values.count, 1),
    "own-ports": Word(values.count, 0),
    "name": Word(values.name, "front"),
    "zone": Word(values.name, ""),
    "admin": Word(values.address),
    "roster": Word(lambda kind, at: (kind, values.address(at) if kind == "feed" else at), wanted=True, words=2),
    "log": Word(lambda form, level: (values.one_of("json", "console")(form),
                                     values.one_of("debug", "info", "warning", "error")(level)),
                ("json", "info"), words=2),
}, nested=frozenset({"type", "functions", "tenant", "fleet", "bounds", "bgp", "peers"}))


def read(path: str) -> Installation:
    return understand(load(path), path)


def read_text(text: str, file: str = "-") -> Installation:
    return understand(parse(text, file), file)


def understand(lines: Sequence[Directive], file: str) -> Installation:
    """The directives of a whole file, checked against each other."""
    top = TOP.read(lines, None, file)
    if top["roster"][0] not in ("feed", "file"):
        raise one(lines, "roster").wrong(f"'roster {top['roster'][0]}': one of feed, file is wanted")
    types = tuple(namespace_type(line) for line in named(lines, "type"))
    if not types:
        raise ConfigurationError(file, 0, "the file lacks a 'type' block: a front end needs one namespace type at least")
    known = [each.name for each in types]
    classes = tuple(function_class(line, known) for line in named(lines, "functions"))
    tenants = tuple(Tenant(line.words[0], **under(TENANT.read(line.block or (), line, file),
                                                  {"share": "share", "rate": "per_second"}))
                    for line in named(lines, "tenant"))
    if sum(tenant.share for tenant in tenants) > 1.0001:
        raise named(lines, "tenant")[-1].wrong("the tenants' shares are more than 100% together")
    fleet = FLEET.read(block_of(lines, "fleet"), None, file)
    bounds = BOUNDS.read(block_of(lines, "bounds"), None, file)
    if bounds["frame"] < bounds["body"] + 4096:
        raise ConfigurationError(file, 0, f"bounds: frame {bounds['frame']} must be 4096 bytes over body {bounds['body']}")
    if top["front-ends"] > 1 and not top["own-ports"]:
        raise one(lines, "front-ends").wrong(
            "several front ends need 'own-ports': a deferred call is collected where it was taken")
    deployment = Deployment(
        types=types, tenants=tenants, front_ends=fleet["front-ends-in-all"] or top["front-ends"],
        zone=top["zone"], tick=fleet["tick"], max_sends=fleet["max-sends"], may_cancel=fleet["cancel"],
        may_duplicate=fleet["two-at-once"], may_order_loads=fleet["order-loads"], may_probe=fleet["probe"],
        max_retry_after=fleet["longest-advice"], idle_keep_alive=fleet["idle-keep"],
        **{name.replace("-", "_"): fleet[name] for name in (
            "loads-on-miss", "load-window", "load-free", "load-ratio",
            "drain-grace", "cold-share", "cold-time", "fall-multiple", "fall-time")})
    return Installation(
        file, top["listen"], top["front-ends"], top["own-ports"], top["name"], top["roster"][0], top["roster"][1],
        top["log"][0], top["log"][1], deployment, classes,
        Bounds(**{name.replace("-", "_"): value for name, value in bounds.items()}), top["admin"],
        announced_by(lines, known, top["front-ends"]), peers_of(lines, top["name"], top["front-ends"]))


def peers_of(lines: Sequence[Directive], name: str, front_ends: int) -> Peering | None:
    block = next((line for line in lines if line.name == "peers"), None)
    if block is None:
        return None
    block_of(lines, "peers")
    # only where it is asked for: the platform's front end has none of it
    from threadshift.conf.peering import peering
    return peering(block, [name_of(name, front_ends, index) for index in range(front_ends)])


def name_of(name: str, front_ends: int, index: int) -> str:
    return f"{name}-{index}" if front_ends > 1 else name


def announced_by(lines: Sequence[Directive], types: Sequence[str], front_ends: int) -> Announcing | None:
    block = next((line for line in lines if line.name == "bgp"), None)
    if block is None:
        return None
    block_of(lines, "bgp")
    if front_ends > 1:
        raise block.wrong("'bgp' needs 'front-ends 1': a route stands for one front end, or one sick of four would"
                          " keep drawing its quarter")
    return announcing(block, types)


def under(found: dict, names: dict[str, str]) -> dict:
    return {names[name]: value for name, value in found.items()}


def one(lines: Sequence[Directive], name: str) -> Directive:
    return next(line for line in lines if line.name == name)


def block_of(lines: Sequence[Directive], name: str) -> Sequence[Directive]:
    """The lines of the one block of this name, none where it is absent."""
    blocks = [line for line in lines if line.name == name]
    if len(blocks) > 1:
        raise blocks[1].wrong(f"'{name}' stands twice; the first is on line {blocks[0].line}")
    return blocks[0].block or () if blocks else ()


def named(lines: Sequence[Directive], name: str) -> list[Directive]:
    """The blocks of this name, each with one word that no other has."""
    blocks = [line for line in lines if line.name == name]
    seen: dict[str, int] = {}
    for line in blocks:
        if len(line.words) != 1:
            raise line.wrong(f"'{name}' takes one name before its block, found {len(line.words)}")
        if line.words[0] in seen:
            first = seen[line.words[0]]
            raise line.wrong(f"'{name} {line.words[0]}' stands twice; the first is on line {first}")
        seen[line.words[0]] = line.line
    return blocks


def namespace_type(line: Directive) -> NamespaceType:
    found = TYPE.read(line.block or (), line, line.file)
    effect = Effect(found["effect"])
    if found["target-latency"] > found["action-timeout"]:
        raise line.wrong(f"type {line.words[0]}: target-latency is longer than action-timeout")
    if effect is Effect.DEDUPLICATED and not found["memory-span"]:
        raise line.wrong(f"type {line.words[0]}: deduplicated needs a memory-span")
    return NamespaceType(line.words[0], found["target-latency"], found["action-timeout"], found["utility"],
                         found["late-utility"], effect, found["group"], found["memory-span"])


def function_class(line: Directive, types: Sequence[str]) -> FunctionClass:
    found = FUNCTIONS.read(line.block or (), line, line.file)
    if found["type"] not in types:
        raise line.wrong(f"functions {line.words[0]}: no type '{found['type']}'{nearest(found['type'], types)}")
    return FunctionClass(line.words[0], found["type"], found["lanes"], found["load-time"])


def changed(old: Installation, new: Installation) -> tuple[list[str], list[str]]:
    """What differs: what a reload takes over, and what needs a restart, by the words of the file."""
    taken: list[str] = []
    kept: list[str] = []
    for name, word in BOUNDS.known.items():
        field = name.replace("-", "_")
        if getattr(old.bounds, field) != getattr(new.bounds, field):
            (taken if word.reload else kept).append(f"bounds {name}")
    if old.functions != new.functions:
        taken.append("functions")
    for field in ("listen", "front_ends", "own_ports", "admin", "announcing", "peering", "name", "roster_kind",
                  "roster_at", "log_form", "log_level"):
        if getattr(old, field) != getattr(new, field):
            kept.append(field.replace("_", "-"))
    if old.deployment != new.deployment:
        kept.append("type, tenant, zone or fleet")
    return taken, kept


def reloaded(old: Installation, new: Installation) -> Installation:
    """The old one with what a running front end may take over from the new."""
    fixed = {name.replace("-", "_"): getattr(old.bounds, name.replace("-", "_"))
             for name, word in BOUNDS.known.items() if not word.reload}
    return old._replace(functions=new.functions, bounds=new.bounds._replace(**fixed))
