"""Parses server-sent events and the list of workers in them. Free of I/O.

Events are numbered. An incomplete event is not applied, an event whose number has been seen is dropped as a repeat,
and an event that is invalid as a whole is dropped, so that the last list stays in force. An invalid entry affects no
other entry, and if it can still be read that its worker drains or is gone, that is applied. The format of the stream
is defined by the HTML standard, section 9.2.
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

MAX_EVENT_SIZE = 4 << 20   # bytes; a list of MAX_WORKERS takes half of it
LINE_OVERHEAD = 16         # bytes that each data line of an event counts beside its own
MAX_VALUES = 16 * MAX_WORKERS      # in one event: the shortest take thirty times as much memory as text
MAX_ID_LENGTH = 256        # characters of a worker's id
STATES_BY_LIFECYCLE = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}
MAX_INTEGER = 1 << 53      # of cells and of start times in ms; a later start is not a valid time


class InvalidEvent(ThreadshiftError):
    """An event that cannot be parsed; the message says which part."""

    help = "none: the next valid event is applied; look at the coordinator if it goes on"


class MissingEvents(ThreadshiftError):
    """An event whose number does not follow the last one: an event between them was not received."""

    help = "none: the stream is requested again from the last event on; look at the coordinator if it goes on"


class ServerSentEvent(NamedTuple):
    """One event of the stream, not parsed further."""

    id: str
    data: str


class EventParser:
    """Splits a byte stream into events. Comments are skipped: they only show that the coordinator is alive."""

    def __init__(self) -> None:
        self.line_parts: list[bytes] = []  # of a line whose end has not arrived
        self.size = 0                      # bytes in them
        self.id = ""
        self.data: list[str] = []
        self.data_size = 0                 # bytes in it, with an overhead for each line

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Returns the events that data completes. Raises InvalidEvent."""
        lines = self.complete_lines(data)
        if self.size > MAX_EVENT_SIZE or self.data_size > MAX_EVENT_SIZE:
            raise InvalidEvent(f"an event is over {MAX_EVENT_SIZE} bytes")
        found = []
        for line in lines:
            if not line:
                if self.data:
                    found.append(ServerSentEvent(self.id, "\n".join(self.data)))
                self.data, self.data_size = [], 0
                continue
            name, _, value = line.decode("utf-8", "replace").partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                self.id = value
            elif name == "data":
                self.data.append(value)
                self.data_size += len(value) + LINE_OVERHEAD
        return found

    def complete_lines(self, data: bytes) -> list[bytes]:
        """Returns the lines that data completes. A list of thousands of workers arrives in hundreds of reads, so its
        parts are joined only once."""
        self.line_parts.append(data)
        self.size += len(data)
        if b"\n" not in data:
            return []
        lines = b"".join(self.line_parts).replace(b"\r\n", b"\n").split(b"\n")
        self.line_parts = [lines.pop()]
        self.size = len(self.line_parts[0])
        return lines


class ListUpdate(NamedTuple):
    """The workers in one event, and a message for each entry that could not be parsed."""

    number: int
    workers: WorkerList
    problems: tuple[str, ...] = ()


def parse_number(instance: Mapping[str, Any], name: str, default: float, minimum: float, maximum: float) -> float:
    """A number of one entry; the default where it is absent or null. Raises InvalidEvent."""
    value = instance.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or not (
            minimum <= value <= maximum):
        raise InvalidEvent(f"'{name}' is not a number from {minimum:g} to {maximum:g}")
    return value


def parse_id(instance: Any) -> str:
    """The id of the worker in one entry. Raises InvalidEvent."""
    if not isinstance(instance, dict):
        raise InvalidEvent("an instance is not an object")
    worker = instance.get("instanceId")
    if not isinstance(worker, str) or not 0 < len(worker) <= MAX_ID_LENGTH or not worker.isprintable():
        raise InvalidEvent(
            f"instanceId {str(worker)[:64]!r} is not a printable text of 1 to {MAX_ID_LENGTH} characters")
    return worker


def parse_state(instance: Mapping[str, Any]) -> WorkerState:
    """The state of the worker in one entry. Raises InvalidEvent."""
    state = instance.get("lifecycle")
    if not isinstance(state, str) or state not in STATES_BY_LIFECYCLE:
        raise InvalidEvent(f"lifecycle {str(state)[:40]!r} is unknown")
    return STATES_BY_LIFECYCLE[state]


def parse_instance(instance: Mapping[str, Any]) -> WorkerEntry:
    """Parses one entry. Raises InvalidEvent."""
    worker, state = parse_id(instance), parse_state(instance)
    try:
        address = values.address(str(instance.get("hostPort", "")))
    except ValueError as problem:
        raise InvalidEvent(f"hostPort: {problem}") from None
    return WorkerEntry(
        worker, address, state, str(instance.get("zone") or "")[:128],
        int(parse_number(instance, "cell", 0, -MAX_INTEGER, MAX_INTEGER)),
        float(parse_number(instance, "weight", 1.0, 0, 1e9)) or 1.0,
        int(parse_number(instance, "startedAtMs", 0, 0, MAX_INTEGER) * MS))


def parse_instances(instances: Iterable[Any], full: bool) -> tuple[WorkerList, tuple[str, ...]]:
    """Parses the workers of one event; also returns a message for each entry that is not valid as a whole."""
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
                ending[worker] = STATES_BY_LIFECYCLE[state]
            else:
                unreadable.add(worker)
    return WorkerList(entries, full, ending, frozenset(unreadable)), tuple(problems)


def parse_update(event: Any) -> ListUpdate:
    """Parses the data of one event. Raises InvalidEvent if none of it can be used."""
    endpoints = event.get("endpoints") if isinstance(event, dict) else None
    index = event.get("index") if isinstance(event, dict) else None
    if not isinstance(endpoints, dict) or not isinstance(endpoints.get("instances"), list):
        raise InvalidEvent("the list of instances is missing")
    if index is not None and (isinstance(index, bool) or not isinstance(index, int)):
        raise InvalidEvent("the index is not a whole number")
    if len(endpoints["instances"]) > MAX_WORKERS:
        raise InvalidEvent(f"a list of {len(endpoints['instances'])} workers is over {MAX_WORKERS}")
    return ListUpdate(index or 0, *parse_instances(endpoints["instances"], endpoints.get("reset") is True))


class EventSequence:
    """Tracks the numbers of events, so that each event is applied once and in order."""

    def __init__(self) -> None:
        self.last = 0              # number of the last event seen
        self.accepted_gap = 0      # the event of this number is accepted even where events before it are missing

    def accept(self, id_: str, data: Any) -> ListUpdate | None:
        """Returns the update of an event that is new, None for a repeat.

        Raises InvalidEvent; the number of the event counts as seen all the same, because a repeat of the event would
        be no more valid. Raises MissingEvents, but only once for the same number: the coordinator may not have the
        events between."""
        index = int(id_) if id_.isascii() and id_.isdigit() and len(id_) < 19 else None
        if index is not None and index <= self.last:
            return None
        if isinstance(data, str):
            if count_values(data) > MAX_VALUES:
                self.last = index or self.last
                raise InvalidEvent(f"event {id_[:20]!r} has over {MAX_VALUES} values")
            try:
                data = json.loads(data)
            except (ValueError, RecursionError):
                self.last = index or self.last
                raise InvalidEvent(f"event {id_[:20]!r} is not JSON") from None
        try:
            update = parse_update(data)
        except InvalidEvent:
            self.last = index or self.last
            raise
        index = update.number if index is None else index
        if index <= self.last:
            return None
        if index > self.last + 1 and not update.workers.full and self.accepted_gap != index:
            self.accepted_gap = index
            raise MissingEvents(f"event {index} follows {self.last}")
        self.last = index
        return update

    def accept_known(self, events: Iterable[Any]) -> Iterable[ListUpdate | InvalidEvent]:
        """Yields the new updates among the events of a configuration, which are all that the coordinator had so far.

        A list of events is not used as long as it begins after events that are missing here: the stream will bring
        those events."""
        is_consecutive = False
        for event in events:
            number = event.get("index") if isinstance(event, dict) else None
            if isinstance(number, int):
                is_consecutive = is_consecutive or number <= self.last + 1 or is_full(event)
                self.accepted_gap = number if is_consecutive else self.accepted_gap
            try:
                update = self.accept("", event) if is_consecutive else None
            except InvalidEvent as problem:
                yield problem
                continue
            if update is not None:
                yield update


def count_values(data: str) -> int:
    """The most values that this JSON text can have: all but the first of a list or an object follow a comma."""
    return data.count(",") + data.count("[") + data.count("{")


def is_full(event: Any) -> bool:
    """Whether the data of an event carries the whole list."""
    endpoints = event.get("endpoints") if isinstance(event, dict) else None
    return isinstance(endpoints, dict) and endpoints.get("reset") is True
