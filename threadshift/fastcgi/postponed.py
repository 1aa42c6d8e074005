"""Requests that were read whole but may not be taken yet, and when each of them is.

A request waits here, beside the reader of its connection, so that an ABORT or a close behind it is read meanwhile:

- after a stall, until what came during it has been read: that its client has gone;
- while news of workers has arrived and is not read yet, however long that took: it counts as told already;
- after the start, until the coordinator has answered: the list of the configuration is older than what counts as
  told.

One whose time runs out meanwhile is refused; the number of waiting requests is bounded by the caller.
"""
from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import gevent

from threadshift.fastcgi.requests import ParsedRequest
from threadshift.interface import MS, SECOND
from threadshift.invoke.poll_monitor import CATCH_UP_TIME

LONGEST_READ = 5 * CATCH_UP_TIME  # for a connection to be read empty; one that is flooded never is
ANSWER_MARGIN = 20 * MS    # before the end of a request's time, by which it is refused: two reviews


class Postponed(NamedTuple):
    """One request that waits."""

    request: Any
    asked: ParsedRequest
    unread: int                # ns for which it lay unread before
    since: int                 # when it began to wait, monotonic ns

    def waited(self, now: int) -> int:
        """ns since it arrived, as far as that is known."""
        return self.unread + now - self.since

    def expired(self, now: int) -> bool:
        return self.asked.call.left - self.waited(now) <= ANSWER_MARGIN


class FrontEnd(Protocol):
    """What is asked of the front end before a request is taken."""

    def ready(self) -> bool: ...
    def list_is_stale(self) -> bool: ...        # no coordinator has answered since the start
    def has_unread_update(self) -> bool: ...    # news of workers has arrived and is not read yet


class Owner(Protocol):
    """What takes or refuses requests once they have waited."""

    closing: bool
    front_end: FrontEnd

    def still_open(self, request: Any) -> bool: ...
    def unread_on(self, request: Any) -> bool: ...
    def take_postponed(self, request: Any, asked: ParsedRequest, unread: int) -> None: ...
    def refuse_late(self, request: Any, asked: ParsedRequest) -> None: ...


class PostponedRequests:
    """The waiting requests of one front end."""

    def __init__(self, owner: Owner, spawn: Callable[[Callable[[], None]], Any]):
        self.owner, self.spawn = owner, spawn
        self.waiting: list[Postponed] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, request: Any, asked: ParsedRequest, unread: int) -> None:
        if not self.waiting:
            self.spawn(self.run)
        self.waiting.append(Postponed(request, asked, unread, time.monotonic_ns()))

    def run(self) -> None:
        """Reviews the waiting requests until there is none."""
        while self.waiting:
            gevent.sleep(CATCH_UP_TIME / SECOND)
            self.review(time.monotonic_ns())

    def review(self, now: int) -> None:
        stale = self.owner.front_end.list_is_stale() and not self.owner.closing
        reviewed, self.waiting = self.waiting, []
        for each in reviewed:
            if not self.owner.still_open(each.request):
                continue                    # its client gave it up
            if stale and each.expired(now):
                self.owner.refuse_late(each.request, each.asked)
            elif stale or self.unread_behind(each, now):
                self.waiting.append(each)
            else:
                self.owner.take_postponed(each.request, each.asked, each.waited(now))

    def unread_behind(self, each: Postponed, now: int) -> bool:
        return now - each.since < LONGEST_READ and (
            self.owner.front_end.has_unread_update() or self.owner.unread_on(each.request))
