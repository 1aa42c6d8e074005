"""Where the list of workers is read from: a feed over TCP, or a watched file. Each runs in a greenlet of its own.

Both hand entries to a `ListListener`. What cannot be read is logged once, and the last list stays in force.
"""
from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any, Protocol

import gevent

from threadshift.conf import values
from threadshift.conf.gateway_config import Bounds
from threadshift.conf.reading import ConfigurationError, Directive, load, nearest
from threadshift.conf.values import Address
from threadshift.discovery.registry import MAX_WORKERS, InvalidWorkerList, WorkerEntry, parse_entry
from threadshift.discovery.unapplied import UnappliedUpdates
from threadshift.interface import MS, SECOND, WorkerState
from threadshift.links.codec import VERSION, FrameDecoder, ProtocolError, encode
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, connect, read_chunks

POLL_INTERVAL = 500 * MS       # of a file; a change is noticed about as soon as a feed would report it
FEED_TIMEOUT = 30 * SECOND     # without a byte, not even a keepalive, the feed is dialled anew


class ListListener(Protocol):
    """What takes the lists that a source reads."""

    def on_list(self, entries: list[WorkerEntry], full: bool) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


class FeedSource:
    """Follows a roster feed: a full list after each hello, then changes with consecutive generations."""

    def __init__(self, address: Address, name: str, bounds: Bounds, listener: ListListener,
                 chance: Callable[[], float]):
        self.address, self.name, self.bounds, self.listener = address, name, bounds, listener
        self.backoff = ReconnectBackoff(chance)
        self.generation: int | None = None
        self.unapplied = UnappliedUpdates()

    def has_unread_data(self) -> bool:
        """Whether data of the feed has arrived that is to be applied before anything is sent."""
        return self.unapplied.hold_sends()

    def run(self) -> None:
        """Follows the feed, and connects anew after a pause whenever that ends."""
        while True:
            problem = self.follow()
            self.generation = None
            pause = self.backoff.on_disconnected(time.monotonic_ns()) - time.monotonic_ns()
            self.listener.note("roster-lost", problem=problem, again_ms=pause // MS)
            gevent.sleep(max(0, pause) / SECOND)

    def follow(self) -> str:
        """Reads one connection until it ends; returns why it ended."""
        sock = None
        try:
            self.unapplied.sock = sock = connect(self.address, self.bounds.connect)
            sock.sendall(encode("hello", version=VERSION, name=self.name))
            sock.settimeout(FEED_TIMEOUT / SECOND)
            decoder = FrameDecoder(self.bounds.frame)
            for data in read_chunks(sock, READ_SIZE):
                self.handle_frames(decoder.feed(data))
            return "closed by the feed"
        except (OSError, ProtocolError, InvalidWorkerList) as failed:
            return str(failed) or type(failed).__name__
        finally:
            self.unapplied.clear()
            if sock is not None:
                sock.close()

    def handle_frames(self, frames: list[dict[str, Any]]) -> None:
        """Handles frames that were read together. They are referred to in here alone, not while more is awaited."""
        for frame in self.unapplied.counted_down(frames):
            self.handle_frame(frame)
        self.unapplied.on_applied()

    def handle_frame(self, frame: dict[str, Any]) -> None:
        """Passes on a list or changes. Raises ProtocolError or InvalidWorkerList."""
        if frame["kind"] in ("hello", "ping", "pong"):
            return
        full = frame["kind"] == "list"
        if not full and frame["kind"] != "changes":
            raise ProtocolError(f"a feed may not send '{frame['kind']}'")
        if len(frame["workers"]) > MAX_WORKERS:
            raise InvalidWorkerList(f"a list of {len(frame['workers'])} workers is over {MAX_WORKERS}")
        if not full and self.generation is None:
            raise InvalidWorkerList("changes arrived before a full list")
        if not full and self.generation is not None and frame["generation"] != self.generation + 1:
            # Changes were missed. Only a full list recovers them, and each connection begins with one.
            raise InvalidWorkerList(f"generation {frame['generation']} follows {self.generation}")
        entries = [parse_entry(each) for each in frame["workers"] if isinstance(each, dict)]
        if len(entries) != len(frame["workers"]):
            raise InvalidWorkerList("an entry is not a map")
        self.generation = frame["generation"]
        self.backoff.on_connected(time.monotonic_ns())
        self.listener.on_list(entries, full)


# Optional facts of a worker line, with the functions that read them.
FACTS: dict[str, Callable[[str], Any]] = {
    "zone": values.name, "cell": int, "size": values.number, "state": WorkerState}


def parse_worker_line(line: Directive) -> WorkerEntry:
    """Reads a line such as 'worker w1 127.0.0.1:9001 zone hall-a size 1.5 state draining'."""
    if line.name != "worker":
        raise line.error(f"unknown directive '{line.name}'{nearest(line.name, ['worker'])}")
    if line.block is not None or len(line.words) < 2 or len(line.words) % 2:
        raise line.error("'worker' takes a name, an address, then pairs of zone, cell, size or state with values")
    try:
        facts = {}
        for fact, text in zip(line.words[2::2], line.words[3::2], strict=True):
            if fact not in FACTS:
                raise ValueError(f"unknown fact '{fact}'{nearest(fact, FACTS)}")
            facts[fact] = FACTS[fact](text)
        return WorkerEntry(values.name(line.words[0]), values.address(line.words[1]), **facts)
    except ValueError as problem:
        raise line.error(f"worker {line.words[0]}: {problem}") from None


class WatchedFile:
    """A file with one line for each worker, read again whenever it changes. After an error in it the last list stays
    in force."""

    def __init__(self, path: str, listener: ListListener):
        self.path, self.listener = path, listener
        self.last_version: tuple | None = None

    def run(self) -> None:
        """Checks the file at regular intervals."""
        while True:
            self.check()
            gevent.sleep(POLL_INTERVAL / SECOND)

    def check(self) -> None:
        """Reads the file if it has changed since the last check."""
        try:
            stat = os.stat(self.path)
            version: tuple = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        except OSError as problem:
            version = (problem.errno,)
        if version == self.last_version:
            return
        self.last_version = version
        try:
            entries = [parse_worker_line(line) for line in load(self.path)]
        except ConfigurationError as problem:
            self.listener.note("roster-unreadable", problem=str(problem))
            return
        self.listener.on_list(entries, full=True)
