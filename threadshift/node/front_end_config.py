"""The configuration that the platform gives a front end: addresses, resource limits and settings.

Invalid input raises `InvalidInput`, whose message is one line that names what is wrong and where. Free of I/O, except
that read_config() reads the file."""
from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import Any, NamedTuple

from threadshift.conf import values
from threadshift.conf.settings import FieldReader, InvalidInput, flatten, parse_deployment
from threadshift.conf.values import Address
from threadshift.fastcgi.requests import MAX_BODY
from threadshift.fastcgi.used_ids import ID_SIZE
from threadshift.frames import pool
from threadshift.frames.link import LinkSettings
from threadshift.interface import MS, SECOND, Deployment
from threadshift.memory_budget import CALLS_DIVISOR, CLIENTS_DIVISOR, WORKERS_DIVISOR

MAX_FILE = 64 << 20            # bytes; a list of ten thousand workers takes a tenth of this
MIN_TICK = 3 * MS // 2         # calls are given up two ticks before their time ends, for answers to leave in time
WRITE_TIMEOUT = SECOND         # without progress, until a worker that reads nothing is disconnected
FUNCTIONS_DIVISOR = 6          # this fraction of the memory is for what is remembered of functions
FUNCTION_SIZE = 3_500          # bytes that the policy remembers of one, with a hundred workers
BUFFER_DIVISOR = 1_024         # this fraction of the memory is for unsent bytes of one connection to a worker
BODY_DIVISOR = 64              # this fraction of the memory is for the longest answer
USED_IDS_DIVISOR = 64          # this fraction of the memory is for ids of requests that have ended
MIN_ACTIVATIONS = 16
MIN_MEMORY_MB = 16             # with less, no front end runs
MIN_SOCKETS = 32


class FrontEndConfig(NamedTuple):
    """A checked configuration with the limits that are derived from it. Times are ns."""

    name: str
    listen: Address
    seed: int
    coordinator: Address
    known_updates: tuple[Any, ...]      # the events so far, as the coordinator sends them
    deployment: Deployment
    max_activations: int                # pending at once
    streams_per_connection: int         # concurrent sends on one connection to a worker
    connect_timeout: int
    idle_timeout: int
    load_timeout: int                   # until a load order counts as lost
    max_sockets: int
    memory_bytes: int

    @property
    def client_bytes(self) -> int:
        """The most that is held for clients in all, besides the bodies of pending calls."""
        return self.memory_bytes // CLIENTS_DIVISOR

    @property
    def max_used_ids(self) -> int:
        """How many ids of ended requests that must not run twice are remembered."""
        return self.memory_bytes // USED_IDS_DIVISOR // ID_SIZE

    @property
    def longest_answer(self) -> int:
        """The most bytes that the answer of a worker may have."""
        return self.memory_bytes // BODY_DIVISOR

    @property
    def worker_bytes(self) -> int:
        """The most that is held of the answers of all workers that have not arrived whole."""
        return self.memory_bytes // WORKERS_DIVISOR

    def link_settings(self, workers: int) -> LinkSettings:
        """Returns the settings of the link to each of so many workers."""
        return LinkSettings(self.connect_timeout, WRITE_TIMEOUT, self.idle_timeout, self.streams_per_connection,
                            pool.connections_per_worker(self.max_sockets, workers),
                            pool.choose_dial_threshold(self.deployment.front_ends),
                            self.memory_bytes // BUFFER_DIVISOR + 2 * MAX_BODY, self.longest_answer)


def read_config(environment: Mapping[str, str]) -> FrontEndConfig:
    """Reads the configuration that the environment names. Raises InvalidInput."""
    path = environment.get("NODE_CONFIG", "")
    if not path:
        raise InvalidInput("NODE_CONFIG is not set: it names the file with the configuration")
    try:
        if os.stat(path).st_size > MAX_FILE:
            raise InvalidInput(f"NODE_CONFIG: {path} is over {MAX_FILE} bytes")
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except OSError as problem:
        raise InvalidInput(f"NODE_CONFIG: {path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise InvalidInput(f"{path}: not JSON: {str(problem)[:200]}") from None
    return parse_config(content, environment, path)


def parse_config(content: Any, environment: Mapping[str, str], path: str) -> FrontEndConfig:
    """Checks the decoded content of a configuration file; the path is for messages. Raises InvalidInput."""
    if not isinstance(content, dict):
        raise InvalidInput(f"{path}: the configuration is not a JSON object")
    for key, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN")):
        if key not in content and variable in environment:
            content[key] = environment[variable]
    known = content.pop("known", None) or {}
    updates = known.get("updates") if isinstance(known, dict) else None
    if known and not isinstance(updates, list):
        raise InvalidInput(f"{path}: known: updates is not a list")
    settings = content.pop("settings", None)
    if not isinstance(settings, dict):
        raise InvalidInput(f"{path}: settings is missing or not an object")
    try:
        top = FieldReader("the configuration", flatten(content), path)
        fields = FieldReader("settings", flatten(settings), path)
    except ValueError as problem:
        raise InvalidInput(f"{path}: {problem}") from None
    deployed = parse_deployment(fields)
    if not deployed.types:
        raise fields.error("has no lanes")
    memory, sockets = top.number("limits.memory_mb", 192.0), top.whole("limits.sockets", 1024)
    cores = top.number("limits.cores", 1.0)
    if not memory >= MIN_MEMORY_MB or sockets < MIN_SOCKETS or not cores > 0:
        raise top.error(f"has limits of {cores:g} cores, {memory:g} MB and {sockets} sockets: too little to run")
    size = int(memory) << 20
    return FrontEndConfig(
        top.read("name", values.name), top.read("listen", values.address),
        top.read("seed", lambda text: int(text, 16)), top.read("coordinator", values.address),
        tuple(updates or ()),
        deployed._replace(tick=max(deployed.tick, MIN_TICK),
                          max_functions=size // FUNCTIONS_DIVISOR // FUNCTION_SIZE),
        max(MIN_ACTIVATIONS, size // CALLS_DIVISOR // MAX_BODY // 2), fields.whole("limits.streamsPerConn", 1),
        fields.ns("limits.connectTimeout", 250 * MS), fields.ns("limits.connIdle", 30 * SECOND),
        fields.ns("familyInfo.loadWait", 10 * SECOND) or 10 * SECOND, sockets, size)
