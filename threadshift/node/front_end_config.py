"""What the platform tells a front end at its start: where it stands, what it may use, and the settings. Free of I/O
but for reading the file. All that is wrong is `Malformed`, one line that names what and where."""
from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import Any, NamedTuple

from threadshift.conf import values
from threadshift.conf.settings import Fields, Malformed, deployment, flat
from threadshift.conf.values import Address
from threadshift.fastcgi.requests import LONGEST_BODY
from threadshift.frames import pool
from threadshift.frames.link import LinkSettings
from threadshift.interface import MS, SECOND, Deployment

LONGEST_FILE = 64 << 20    # bytes; a list of ten thousand workers takes a tenth
TICK = 3 * MS // 2         # ns; twice that before its time is up a call is given up: an answer takes so long to leave
WRITE = SECOND             # without progress, until a worker that takes no bytes is broken off
CALLS_PART = 6             # of memory, one part in so many is for bodies of calls under way, twice each
BUFFER_PART = 1_024        # of memory, for bytes that wait for one connection of a worker
BODY_PART = 64             # of memory, for the longest answer
LEAST_MEMORY, LEAST_SOCKETS = 16, 32   # MB and descriptors; with less no front end runs


class FrontEndConfig(NamedTuple):
    """One configuration, read and checked, and what is derived from it."""

    name: str
    listen: Address
    seed: int
    coordinator: Address
    known_updates: tuple[Any, ...]      # events so far, as the coordinator would send them
    deployment: Deployment
    max_activations: int                # calls under way
    streams_per_connection: int         # sends on one connection to a worker
    connect_timeout: int                # ns
    idle_timeout: int                   # ns
    load_timeout: int                   # ns until an order to load counts as lost
    max_sockets: int
    memory_bytes: int                   # bytes

    def link_limits(self, workers: int) -> LinkSettings:
        """Bounds of the connections to one of so many workers."""
        return LinkSettings(self.connect_timeout, WRITE, self.idle_timeout, self.streams_per_connection,
                            pool.connections_per_worker(self.max_sockets, workers),
                            pool.choose_dial_threshold(self.deployment.front_ends),
                            self.memory_bytes // BUFFER_PART + 2 * LONGEST_BODY, self.memory_bytes // BODY_PART)


def read_config(environment: Mapping[str, str]) -> FrontEndConfig:
    """The placement that the environment and its file tell. Raises Malformed."""
    path = environment.get("NODE_CONFIG", "")
    if not path:
        raise Malformed("NODE_CONFIG is not set: it names the file with the configuration")
    try:
        if os.stat(path).st_size > LONGEST_FILE:
            raise Malformed(f"NODE_CONFIG: {path} is over {LONGEST_FILE} bytes")
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as problem:
        raise Malformed(f"NODE_CONFIG: {path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise Malformed(f"{path}: not JSON: {str(problem)[:200]}") from None
    return parse_config(told, environment, path)


def parse_config(told: Any, environment: Mapping[str, str], path: str) -> FrontEndConfig:
    """Raises Malformed."""
    if not isinstance(told, dict):
        raise Malformed(f"{path}: an object is wanted")
    for key, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN")):
        if key not in told and variable in environment:
            told[key] = environment[variable]
    known = told.pop("known", None) or {}
    updates = known.get("updates") if isinstance(known, dict) else None
    if known and not isinstance(updates, list):
        raise Malformed(f"{path}: known: updates is no list")
    settings = told.pop("settings", None)
    if not isinstance(settings, dict):
        raise Malformed(f"{path}: settings is absent or no object")
    try:
        top = Fields("the configuration", flat(told), path)
        fields = Fields("settings", flat(settings), path)
    except ValueError as problem:
        raise Malformed(f"{path}: {problem}") from None
    deployed = deployment(fields)
    if not deployed.types:
        raise fields.wrong("has no lanes")
    memory, sockets = top.number("limits.memory_mb", 192.0), top.whole("limits.sockets", 1024)
    cores = top.number("limits.cores", 1.0)
    if not memory >= LEAST_MEMORY or sockets < LEAST_SOCKETS or not cores > 0:
        raise top.wrong(f"has limits of {cores:g} cores, {memory:g} MB and {sockets} sockets: too little to run")
    size = int(memory) << 20
    return FrontEndConfig(
        top.read("name", values.name), top.read("listen", values.address),
        top.read("seed", lambda text: int(text, 16)), top.read("coordinator", values.address),
        tuple(updates or ()),
        deployed._replace(tick=max(deployed.tick, TICK)),
        max(16, size // CALLS_PART // LONGEST_BODY // 2), fields.whole("limits.streamsPerConn", 1),
        fields.ns("limits.connectTimeout", 250 * MS), fields.ns("limits.connIdle", 30 * SECOND),
        fields.ns("familyInfo.loadWait", 10 * SECOND) or 10 * SECOND, sockets, size)
