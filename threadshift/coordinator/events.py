"""Server-sent events, and the list of workers in them. Free of I/O.

Events are numbered. One that ends in the middle is not applied, one whose number was seen is a repeat and dropped,
and one that makes no sense as a whole is dropped, so that the last list stands. An entry that makes no sense costs
that entry only: what can be read of it, that its worker drains or is gone, still counts. The form of a stream of
events is the HTML standard's, section 9.2.
"""
from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from threadshift.errors import ThreadshiftError
from threadshift.conf import values
from threadshift.interface import MS, WorkerState
from threadshift.discovery.registry import MAX_WORKERS, WorkerEntry, WorkerList

LONGEST_LINE = 4 << 20     # bytes; a list of MAX_WORKERS takes half of it
LONGEST_ID = 256           # characters of a worker's id
STATES = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}
LATEST = 1 << 53           # ms; a start after it is no time


class InvalidEvent(ThreadshiftError):
    """An event that cannot be understood; says which part."""

    help = "none: what the coordinator tells next is believed again; look there if it goes on"


class MissingEvents(ThreadshiftError):
    """An event whose number does not follow the last one: something between was not received."""

    help = "none: the stream is asked for again from the last number; look at the coordinator if it goes on"


class ServerSentEvent(NamedTuple):
    """One event, as it was framed."""

    id: str
    data: str


class EventParser:
    """Cuts bytes into events; comments only show that the other side lives."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []      # of a line whose end has not come
        self.size = 0                      # bytes in them
        self.id = ""
        self.data: list[str] = []

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """The events that data completes. Raises InvalidEvent."""
        lines = self.complete_lines(data)
        if self.size > LONGEST_LINE or sum(map(len, self.data)) > LONGEST_LINE:
            raise InvalidEvent(f"an event is over {LONGEST_LINE} bytes")
        found = []
        for line in lines:
            if not line:
                if self.data:
                    found.append(ServerSentEvent(self.id, "\n".join(self.data)))
                self.data = []
                continue
            name, _, value = line.decode("utf-8", "replace").partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                self.id = value
            elif name == "data":
                self.data.append(value)
        return found

    def complete_lines(self, data: bytes) -> list[bytes]:
        """The lines that data ends. A list of thousands of workers comes in hundreds of reads: it is joined once."""
        self.pieces.append(data)
        self.size += len(data)
        if b"\n" not in data:
            return []
        lines = b"".join(self.pieces).replace(b"\r\n", b"\n").split(b"\n")
        self.pieces = [lines.pop()]
        self.size = len(self.pieces[0])
        return lines


class ListUpdate(NamedTuple):
    """What one event says: the workers in it, and what is wrong with entries that could not be read."""

    number: int
    workers: WorkerList
    problems: tuple[str, ...] = ()


def parse_number(instance: Mapping[str, Any], name: str, default: float, least: float, most: float) -> float:
    """A figure of one entry; absent or null is the default. Raises InvalidEvent."""
    value = instance.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or not (
            least <= value <= most):
        raise InvalidEvent(f"'{name}' is no number from {least:g} to {most:g}")
    return value


def parse_id(instance: Any) -> str:
    """The worker that an entry is about. Raises InvalidEvent."""
    if not isinstance(instance, dict):
        raise InvalidEvent("an instance is no object")
    worker = instance.get("instanceId")
    if not isinstance(worker, str) or not 0 < len(worker) <= LONGEST_ID or not worker.isprintable():
        raise InvalidEvent(f"instanceId {str(worker)[:64]!r} is no text of 1 to {LONGEST_ID} characters")
    return worker


def parse_state(instance: Mapping[str, Any]) -> WorkerState:
    """Raises InvalidEvent."""
    state = instance.get("lifecycle")
    if not isinstance(state, str) or state not in STATES:
        raise InvalidEvent(f"lifecycle {str(state)[:40]!r} is none")
    return STATES[state]


def parse_instance(instance: Mapping[str, Any]) -> WorkerEntry:
    """One worker off the wire. Raises InvalidEvent."""
    worker, state = parse_id(instance), parse_state(instance)
    try:
        address = values.address(str(instance.get("hostPort", "")))
    except ValueError as problem:
        raise InvalidEvent(f"hostPort: {problem}") from None
    return WorkerEntry(
        worker, address, state, str(instance.get("zone") or "")[:128],
        int(parse_number(instance, "cell", 0, -LATEST, LATEST)),
        float(parse_number(instance, "weight", 1.0, 0, 1e9)) or 1.0,
        int(parse_number(instance, "startedAtMs", 0, 0, LATEST) * MS))


def parse_instances(instances: Iterable[Any], full: bool) -> tuple[WorkerList, tuple[str, ...]]:
    """The workers of one event, and a sentence for each entry that cannot be read whole."""
    entries: list[WorkerEntry] = []
    ending: dict[str, WorkerState] = {}
    unreadable: set[str] = set()
    problems: list[str] = []
    for instance in instances:
        try:
            entries.append(parse_instance(instance))
        except InvalidEvent as problem:
            try:
                worker = parse_id(instance)
            except InvalidEvent:
                problems.append(str(problem))
                continue
            problems.append(f"{worker[:64]!r}: {problem}")
            state = instance.get("lifecycle")
            if state in ("Terminating", "Gone"):
                ending[worker] = STATES[state]
            else:
                unreadable.add(worker)
    return WorkerList(entries, full, ending, frozenset(unreadable)), tuple(problems)


def parse_update(event: Any) -> ListUpdate:
    """One event's data. Raises InvalidEvent where nothing of it can be used."""
    body = event.get("endpoints") if isinstance(event, dict) else None
    index = event.get("index") if isinstance(event, dict) else None
    if not isinstance(body, dict) or not isinstance(body.get("instances"), list):
        raise InvalidEvent("no list of instances")
    if index is not None and (isinstance(index, bool) or not isinstance(index, int)):
        raise InvalidEvent("its index is no number")
    if len(body["instances"]) > MAX_WORKERS:
        raise InvalidEvent(f"a list of {len(body['instances'])} workers is over {MAX_WORKERS}")
    return ListUpdate(index or 0, *parse_instances(body["instances"], body.get("reset") is True))


class EventSequence:
    """The numbers of events; what each says is handed on once, in order."""

    def __init__(self) -> None:
        self.last = 0
        self.missed = 0            # the number at which events were missing, once the stream was asked again for it

    def accept(self, id_: str, data: Any) -> ListUpdate | None:
        """What is new in an event of the stream, None for a repeat.

        Raises InvalidEvent, by which the number is taken all the same, as asked for again it would make no more
        sense; and MissingEvents, once for the same number: the coordinator may have no more than it wrote."""
        index = int(id_) if id_.isascii() and id_.isdigit() and len(id_) < 19 else None
        if index is not None and index <= self.last:
            return None
        if isinstance(data, str):
            try:
                data = json.loads(data)
            except (ValueError, RecursionError):
                self.last = index or self.last
                raise InvalidEvent(f"event {id_[:20]!r} is no JSON") from None
        try:
            update = parse_update(data)
        except InvalidEvent:
            self.last = index or self.last
            raise
        index = update.number if index is None else index
        if index <= self.last:
            return None
        if index > self.last + 1 and not update.workers.full and self.missed != index:
            self.missed = index
            raise MissingEvents(f"event {index} follows {self.last}")
        self.last = index
        return update

    def accept_known(self, events: Iterable[Any]) -> Iterable[ListUpdate | InvalidEvent]:
        """What is new in the events of a configuration, which are all that the coordinator had so far. Such a list
        that begins behind what is missing here is not used: the stream will bring those events."""
        follows = False
        for event in events:
            number = event.get("index") if isinstance(event, dict) else None
            if isinstance(number, int):
                follows = follows or number <= self.last + 1 or is_full(event)
                self.missed = number if follows else self.missed
            try:
                update = self.accept("", event) if follows else None
            except InvalidEvent as problem:
                yield problem
                continue
            if update is not None:
                yield update


def is_full(event: Any) -> bool:
    """Whether an event's data says that it carries the whole list."""
    body = event.get("endpoints") if isinstance(event, dict) else None
    return isinstance(body, dict) and body.get("reset") is True
