"""Requests that were read completely but may not be accepted yet, and the time at which each of them is.

A request waits here while the reader of its connection goes on, so that an ABORT or a close that follows it is read:

- until all that had arrived behind it on its connection is read: its client may have gone;
- after a stall, or where it lay unread for as long, until the event loop has polled several times;
- while an update of the worker list has arrived and is not read yet, however long that takes: the front end counts as
  notified of an update as soon as it has arrived;
- after the start, until the coordinator has answered: the front end counts as notified of updates that are newer than
  the worker list of its configuration.

A request whose time ends meanwhile is refused. The caller limits the number of waiting requests.
"""
from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import gevent

from threadshift.fastcgi.requests import ParsedRequest
from threadshift.interface import MS, SECOND
from threadshift.invoke.poll_monitor import CATCH_UP_TIME

ANSWER_MARGIN = 20 * MS              # before the end of a request's time, by when it is refused: two reviews


class Postponed(NamedTuple):
    """One waiting request."""

    request: Any
    parsed: ParsedRequest
    received_at: int            # the earliest time at which it may have arrived, monotonic ns
    read_until: int             # the position of the input that had arrived behind it on its connection, bytes
    not_before: int             # until when it waits in any case, monotonic ns

    def expired(self, now: int) -> bool:
        """Tells whether its time is about to end."""
        return self.received_at + self.parsed.call.left - now <= ANSWER_MARGIN


class FrontEnd(Protocol):
    """What the listener needs to know of its front end before it accepts a request."""

    def ready(self) -> bool: ...
    def list_is_stale(self) -> bool: ...        # no coordinator has answered since the start
    def has_unread_update(self) -> bool: ...    # an update of the worker list is to be read first; not for long


class Owner(Protocol):
    """What accepts or refuses requests after they have waited."""

    closing: bool
    front_end: FrontEnd

    def is_open(self, request: Any) -> bool: ...
    def input_read(self, request: Any) -> int: ...       # bytes of input read on its connection so far
    def admit_postponed(self, request: Any, parsed: ParsedRequest, received_at: int) -> None: ...
    def refuse_late(self, request: Any, parsed: ParsedRequest) -> None: ...


class PostponedRequests:
    """The waiting requests of one front end."""

    def __init__(self, owner: Owner, spawn: Callable[[Callable[[], None]], Any]):
        self.owner, self.spawn = owner, spawn
        self.waiting: list[Postponed] = []
        self.is_running = False

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, request: Any, parsed: ParsedRequest, received_at: int, unread: int, after_stall: bool) -> None:
        """Adds a request, with `unread` bytes behind it, and starts the reviews with the first one."""
        if not self.is_running:
            self.is_running = True
            self.spawn(self.run)
        self.waiting.append(Postponed(request, parsed, received_at, self.owner.input_read(request) + unread,
                                      time.monotonic_ns() + CATCH_UP_TIME if after_stall else 0))

    def run(self) -> None:
        """Reviews the waiting requests until there is none."""
        try:
            while self.waiting:
                gevent.sleep(CATCH_UP_TIME / SECOND)
                self.review(time.monotonic_ns())
        finally:
            self.is_running = False

    def on_input_handled(self) -> None:
        """Reviews the waiting requests, as input of some connection has been read."""
        if self.waiting:
            self.review(time.monotonic_ns())

    def review(self, now: int) -> None:
        """Accepts or refuses the requests that need not wait any longer."""
        stale = self.owner.front_end.list_is_stale() and not self.owner.closing
        reviewed, self.waiting = self.waiting, []
        for each in reviewed:
            if not self.owner.is_open(each.request):
                continue                    # its client has aborted it
            must_wait = (now < each.not_before or self.owner.input_read(each.request) < each.read_until
                         or stale or self.owner.front_end.has_unread_update())
            if must_wait and each.expired(now):
                self.owner.refuse_late(each.request, each.parsed)
            elif must_wait:
                self.waiting.append(each)
            else:
                self.owner.admit_postponed(each.request, each.parsed, each.received_at)
