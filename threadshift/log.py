"""Structured logs, written by a separate thread, so that a full pipe never delays a call.

Other packages use `Log.note(event, level, **fields)` only. The queue of lines is bounded. A line that finds it full,
or that is one of too many of its kind (log_limiter.py), is counted before it is rendered, and the counts are logged
by kind.
"""
from __future__ import annotations

import queue
import sys
import threading
import time
import traceback
from collections.abc import Mapping
from contextlib import suppress
from typing import Any, TextIO

from threadshift.log_format import RENDERERS
from threadshift.log_limiter import LogRateLimiter

LEVELS = ("debug", "info", "warning", "error")     # from the least important to the most
RESERVED_SHARE = 0.25      # of the queue, for kinds that were written once at most in the current second
CLOSE_TIMEOUT = 2.0        # s for which a stuck reader of the log may delay the end of the process
CLOSE_POLL_INTERVAL = 0.01     # s


def exception_fields(error: BaseException) -> dict[str, str]:
    """An unexpected exception as log fields: what it is and where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return {"problem": repr(error), "at": f"{frame.filename}:{frame.lineno}"}


class LogWriter:
    """Writes queued lines to a stream in an operating system thread, as writing to a pipe may block."""

    def __init__(self, stream: TextIO, max_lines: int):
        self.stream, self.max_lines = stream, max_lines
        self.queue: queue.Queue[str | None] = queue.Queue(max_lines)
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)
        self.thread.start()

    def has_room(self, share: float) -> bool:
        """Whether the queue is filled to less than this share."""
        return self.queue.qsize() < share * self.max_lines

    def write(self, line: str) -> None:
        """Queues a line; it is dropped if the queue is full."""
        with suppress(queue.Full):          # Log.note() checks for room before the line is rendered
            self.queue.put_nowait(line)

    def run(self) -> None:
        """Writes lines until close()."""
        while (line := self.queue.get()) is not None:
            with suppress(OSError, ValueError):     # the reader is gone, and there is no other place to report it
                self.stream.write(line + "\n")
                if self.queue.empty():
                    self.stream.flush()

    def close(self) -> None:
        """Ends the thread after the lines that are queued."""
        try:
            self.queue.put(None, timeout=CLOSE_TIMEOUT)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT)


class Log:
    """The log of one process. The fields in `always` are part of each line."""

    def __init__(self, form: str = "console", level: str = "info", max_lines: int = 10_000,
                 stream: TextIO | None = None, **always: Any):
        self.min_level = LEVELS.index(level)
        self.writer = LogWriter(stream or sys.stderr, max_lines)
        self.limiter = LogRateLimiter(time.monotonic_ns())
        self.render, self.common_fields = RENDERERS[form], always

    def is_enabled(self, level: str) -> bool:
        """Whether lines of this level are written."""
        return LEVELS.index(level) >= self.min_level

    def note(self, event: str, level: str = "info", **fields: Any) -> None:
        """Logs one event, unless there were too many of its kind or the queue has no room for it."""
        if not self.is_enabled(level):
            return
        now, kind = time.monotonic_ns(), f"{event} {fields['reason']}" if "reason" in fields else event
        if self.limiter.allow(now, kind):
            counter = self.limiter.kinds.get(kind)
            if self.writer.has_room(1 - RESERVED_SHARE if counter and counter.written > 1 else 1):
                self.write(event, level, fields)
            else:
                self.limiter.suppress(now, kind)
        self.tick(now)

    def write(self, event: str, level: str, fields: Mapping[str, Any]) -> None:
        """Renders one line, with the fields that each line has, and queues it."""
        if self.is_enabled(level):
            self.writer.write(self.render(event, level, {**self.common_fields, **fields}))

    def tick(self, now: int, is_last: bool = False) -> None:
        """Logs the counts of suppressed lines when they are due. Called by a timer, as note() may not be for long."""
        if self.writer.has_room(1) and (suppressed := self.limiter.summary(now, is_last)):
            self.write("lines-held-back", "warning", {"kinds": suppressed})

    def close(self) -> None:
        """Logs the last counts and ends the writer. A stuck reader delays each step by CLOSE_TIMEOUT at most."""
        deadline = time.monotonic() + CLOSE_TIMEOUT
        while not self.writer.has_room(1) and time.monotonic() < deadline:
            time.sleep(CLOSE_POLL_INTERVAL)     # gives a slow reader time, so that the last counts find room
        self.tick(time.monotonic_ns(), is_last=True)
        self.writer.close()
