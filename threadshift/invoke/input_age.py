"""Since when the input that is read from a socket may have been waiting there.

A read that had to wait returned data that the event loop's last poll found; how old that may be is known from the
polls. A read that returned at once never waited for a poll: its data may have arrived at any time since the socket
was last known to be empty, however long its reader was busy, paused or stopped in between.
"""
from __future__ import annotations

import time
from contextlib import suppress

import gevent
from gevent import socket

from threadshift.interface import SECOND
from threadshift.invoke.poll_monitor import PollMonitor


class InputAge:
    """The age of the input of one socket: of received bytes, or of the connections of a listening socket."""

    def __init__(self, monitor: PollMonitor, since: int):
        """`since` is when the first input may have arrived at the earliest, in monotonic ns."""
        self.monitor = monitor
        self.received_since = since      # the earliest time at which the input read last may have arrived
        self.next_since = since          # the same for what a read would now return at once

    def on_read(self, began: int, is_empty: bool) -> None:
        """Records a read that began at `began`, in monotonic ns, and whether it left the socket empty."""
        if not self.monitor.last_poll:           # polls are not recorded
            self.received_since = self.next_since = time.monotonic_ns()
            return
        waited = self.monitor.last_poll >= began
        self.received_since = max(began, self.monitor.arrived_since) if waited else self.next_since
        if is_empty:
            self.next_since = self.monitor.last_poll if waited else began
        else:
            self.next_since = self.received_since

    def pause(self, sock: socket.socket, duration: int) -> None:
        """Waits for `duration` ns before the next read, and notices when input arrives meanwhile."""
        until = time.monotonic_ns() + duration
        with suppress(TimeoutError):
            socket.wait_read(sock.fileno(), duration / SECOND, TimeoutError())
        self.next_since = max(self.next_since, self.monitor.arrived_since)
        gevent.sleep(max(0, until - time.monotonic_ns()) / SECOND)
