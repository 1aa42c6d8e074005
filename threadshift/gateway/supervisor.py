"""The parent process: starts front ends, starts those that die again, and passes signals on.

It serves nothing and shares nothing with its children but their standard input, whose end tells them that it is gone.
"""
from __future__ import annotations

import signal
import subprocess
import sys
import time

from threadshift.conf.installation import Installation
from threadshift.gateway.restarts import Restarts
from threadshift.interface import MS, SECOND
from threadshift.log import Log

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGCHLD}
KILL_AFTER = 2 * SECOND    # ns over the stated drain time, then a child that has not ended is killed
LONGEST_SLEEP = 60 * SECOND


class Child:
    """One front end process."""

    def __init__(self, index: int):
        self.index, self.restarts = index, Restarts()
        self.process: subprocess.Popen | None = None
        self.due = 0

    def start(self, path: str) -> None:
        self.restarts.start(time.monotonic_ns())
        self.process = subprocess.Popen(
            [sys.executable, "-m", "threadshift", "front-end", path, "--index", str(self.index)],
            stdin=subprocess.PIPE)


class Supervisor:
    def __init__(self, told: Installation, log: Log):
        self.told, self.log = told, log
        self.children = [Child(index) for index in range(told.front_ends)]
        self.ending = 0            # when children that have not ended are killed, 0: not ending

    @staticmethod
    def hold_signals() -> None:
        """Before any thread is started: one that takes signals, such as a log's, would be handed a SIGTERM that
        comes while this one starts a child, and the process would end without a drain."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def run(self) -> int:
        """Until told to end. Returns 0 when all ended by themselves, 1 when one had to be killed."""
        killed = False
        while True:
            now = time.monotonic_ns()
            for child in self.children:
                self.care(child, now)
            alive = [child.process for child in self.children if child.process is not None]
            if self.ending and not alive:
                return int(killed)
            if self.ending and now >= self.ending:
                killed = True
                for process in alive:
                    process.kill()
            dues = [self.ending] if self.ending else [child.due for child in self.children if not child.process]
            wait = min([LONGEST_SLEEP, *(max(0, due - now) for due in dues)])
            # A moment more: a killed child is reaped on the next look.
            caught = signal.sigtimedwait(SIGNALS, wait / SECOND + (0.05 if killed else 0))
            if caught is not None and caught.si_signo != signal.SIGCHLD:
                self.passed(signal.Signals(caught.si_signo), time.monotonic_ns())

    def care(self, child: Child, now: int) -> None:
        """Notices a death; starts it again when it is due."""
        if child.process is not None and child.process.poll() is not None:
            code = child.process.returncode
            child.process = None
            if not self.ending:
                child.due = child.restarts.died(now)
                self.log.note("front-end-died", level="error", index=child.index, code=code,
                              again_ms=(child.due - now) // MS)
        if child.process is None and not self.ending and child.due <= now:
            child.start(self.told.file)

    def passed(self, number: signal.Signals, now: int) -> None:
        if number != signal.SIGHUP and not self.ending:
            self.ending = now + self.told.bounds.drain + KILL_AFTER
        for child in self.children:
            if child.process is not None:
                child.process.send_signal(signal.SIGHUP if number == signal.SIGHUP else signal.SIGTERM)
