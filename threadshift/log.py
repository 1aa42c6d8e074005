"""Structured logs over structlog, written by a thread of their own so that a full pipe never holds a call up.

`Log.note(event, level, **fields)` is all that packages use. The queue is bounded; what finds it full, or is one of
too many of its kind (log_limiter.py), is counted before anything is rendered, and the counts are logged by kind.
"""
from __future__ import annotations

import logging
import queue
import sys
import threading
import time
import traceback
from contextlib import suppress
from typing import Any, TextIO

import structlog

from threadshift.log_limiter import LogRateLimiter

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
RARE = 0.25                # of the queue, kept for kinds of which no line was held back lately
CLOSE_WAIT = 2.0           # s; what a stuck reader of our logs may hold up the end of the process


def exception_fields(fault: BaseException) -> dict[str, str]:
    """A fault of ours as fields of a line: what, and where."""
    place = traceback.extract_tb(fault.__traceback__)[-1]
    return {"problem": repr(fault), "at": f"{place.filename}:{place.lineno}"}


class Lines:
    """A bounded queue of lines before a stream. Its thread is a real one: writing to a pipe may block."""

    def __init__(self, stream: TextIO, most: int):
        self.stream, self.most = stream, most
        self.queue: queue.Queue[str | None] = queue.Queue(most)
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)
        self.thread.start()

    def room(self, part: float) -> bool:
        return self.queue.qsize() < part * self.most

    def msg(self, line: str) -> None:
        with suppress(queue.Full):          # room was looked for before the line was rendered
            self.queue.put_nowait(line)

    debug = info = warning = error = msg

    def run(self) -> None:
        while (line := self.queue.get()) is not None:
            with suppress(OSError, ValueError):     # nobody reads; there is nowhere left to say so
                self.stream.write(line + "\n")
                if self.queue.empty():
                    self.stream.flush()

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
        self.limiter = LogRateLimiter(time.monotonic_ns())
        render: Any = (structlog.processors.JSONRenderer() if form == "json"
                       else structlog.dev.ConsoleRenderer(colors=False))
        self.logger = structlog.wrap_logger(
            self.lines, processors=[structlog.processors.add_log_level,
                                    structlog.processors.TimeStamper(fmt="iso", utc=True), render],
            wrapper_class=structlog.make_filtering_bound_logger(self.level),
            cache_logger_on_first_use=True).bind(**always)

    def is_enabled(self, level: str) -> bool:
        return LEVELS[level] >= self.level

    def note(self, event: str, level: str = "info", **fields: Any) -> None:
        if not self.is_enabled(level):
            return
        now, kind = time.monotonic_ns(), f"{event} {fields['reason']}" if "reason" in fields else event
        if self.limiter.allow(now, kind):
            known = self.limiter.kinds.get(kind)
            if self.lines.room(1 - RARE if known and known.written > 1 else 1):
                getattr(self.logger, level)(event, **fields)
            else:
                self.limiter.suppress(now, kind)
        self.tick(now)

    def tick(self, now: int, is_last: bool = False) -> None:
        """Says what was not written, once it is time; whoever logs nothing for long calls it."""
        if self.lines.room(1) and (told := self.limiter.summary(now, is_last)):
            self.logger.warning("lines-held-back", kinds=told)

    def close(self) -> None:
        deadline = time.monotonic() + CLOSE_WAIT
        while not self.lines.room(1) and time.monotonic() < deadline:
            time.sleep(0.01)                # a slow reader is given the time to take the last words
        self.tick(time.monotonic_ns(), is_last=True)
        self.lines.close()
