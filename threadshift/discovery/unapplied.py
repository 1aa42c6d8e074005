"""What of the list of workers has arrived and is still to be applied, for sources of that list."""
from __future__ import annotations

import select
from collections.abc import Iterator, Sequence
from typing import TypeVar

from gevent import socket

from threadshift.links.sockets import has_events

MAX_READS = 100            # for which sends are held, 1.6 MB or some 7,000 changes: a flood never ends

Item = TypeVar("Item")


class UnappliedUpdates:
    """Whether updates have arrived that are not applied yet.

    The front end counts as notified of them, so nothing may be sent before they are applied."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None    # on which updates arrive; None while there is no connection
        self.count = 0                            # of updates that have been read and are not applied yet
        self.reads = 0                            # in a row after which more was unread

    def counted_down(self, items: Sequence[Item]) -> Iterator[Item]:
        """Yields items that were read together, and counts those that follow as not applied."""
        for number, item in enumerate(items, 1):
            self.count = len(items) - number
            yield item

    def exist(self) -> bool:
        """Whether any update is unread or not applied."""
        return self.count > 0 or self.sock is not None and has_events(self.sock, select.POLLIN)

    def hold_sends(self) -> bool:
        """Whether nothing may be sent now. False once MAX_READS have not emptied the socket."""
        return self.reads < MAX_READS and self.exist()

    def on_applied(self) -> None:
        """Called after each read whose updates are applied."""
        self.reads = self.reads + 1 if self.exist() else 0

    def clear(self) -> None:
        """Called when the connection has ended."""
        self.sock, self.count, self.reads = None, 0, 0
