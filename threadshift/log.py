"""Structured logs over structlog, written by a thread of their own so that a full pipe never holds a call up.

`Log.note(event, level, **fields)` is all that packages use. The queue is bounded; lines that find it full are
counted, and the count is logged once there is room.
"""
from __future__ import annotations

import logging
import queue
import sys
import threading
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
CLOSE_WAIT = 2.0           # s; what a stuck reader of our logs may hold up the end of the process


class Lines:
    """A bounded queue of lines before a stream. Its thread is a real one: writing to a pipe may block."""

    def __init__(self, stream: TextIO, most: int):
        self.stream, self.dropped = stream, 0
        self.queue: queue.Queue[str | None] = queue.Queue(most)
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)
        self.thread.start()

    def msg(self, line: str) -> None:
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    debug = info = warning = error = msg

    def run(self) -> None:
        while (line := self.queue.get()) is not None:
            try:
                self.stream.write(line + "\n")
                if self.queue.empty():
                    self.stream.flush()
            except (OSError, ValueError):
                self.dropped += 1

    def close(self) -> None:
        try:
            self.queue.put(None, timeout=CLOSE_WAIT)
        except queue.Full:
            return
        self.thread.join(CLOSE_WAIT)


class Log:
    """One process's log."""

    def __init__(self, form: str = "console", level: str = "info", most: int = 10_000, stream: TextIO | None = None,
                 **always: Any):
        self.level = LEVELS[level]
        self.lines = Lines(stream or sys.stderr, most)
        self.told = 0
        render: Any = (structlog.processors.JSONRenderer() if form == "json"
                       else structlog.dev.ConsoleRenderer(colors=False))
        self.logger = structlog.wrap_logger(
            self.lines, processors=[structlog.processors.add_log_level,
                                    structlog.processors.TimeStamper(fmt="iso", utc=True), render],
            wrapper_class=structlog.make_filtering_bound_logger(self.level),
            cache_logger_on_first_use=True).bind(**always)

    def wanted(self, level: str) -> bool:
        return LEVELS[level] >= self.level

    def note(self, event: str, level: str = "info", **fields: Any) -> None:
        if self.lines.dropped > self.told:
            fields["lines_dropped"], self.told = self.lines.dropped - self.told, self.lines.dropped
        getattr(self.logger, level)(event, **fields)

    def close(self) -> None:
        self.lines.close()
