"""The parent process: starts front ends, starts those that die again, swaps versions, and passes signals on.

It serves nothing and shares nothing with its children but their standard input, whose end tells them that it is
gone, and the files in which a front end of an installation writes down which version should run."""
from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
import time
from contextlib import suppress

from threadshift.conf.gateway_config import GatewayConfig
from threadshift.gateway.restart_backoff import RestartBackoff
from threadshift.interface import MS, SECOND
from threadshift.log import Log

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGCHLD, signal.SIGUSR1}
KILL_AFTER = 2 * SECOND    # ns over the stated drain time, then a child that has not ended is killed
LONGEST_SLEEP = 60 * SECOND
LOOK = 100 * MS            # while a version is swapped: its word that it is ready is looked for so often


class Child:
    """One front end: the process that serves, one that drains, and one that is to take over."""

    def __init__(self, told: GatewayConfig, index: int, log: Log):
        self.told, self.index, self.log, self.restarts = told, index, log, RestartBackoff()
        self.name = told.front_end(index)
        self.process: subprocess.Popen | None = None
        self.coming: subprocess.Popen | None = None
        self.ready = -1                      # where the coming one says that it is
        self.old: list[tuple[subprocess.Popen, int]] = []      # those that drain, and when they are killed
        self.due = 0
        self.swap = None
        if told.peering is not None:
            # Imported only where front ends hold anything in common.
            from threadshift.gateway.version_files import VersionFiles
            from threadshift.rollout.swap import Swap, Wanted
            self.versions = VersionFiles(told.peering.folder, self.name)
            self.installed = Wanted(conf=told.file)
            it = self.versions.read_wanted()
            good = it is not None and it.version != self.versions.read_failed() and os.path.exists(it.conf)
            self.swap = Swap(it if it is not None and good else self.installed)

    def spawn(self, conf: str, version: str = "", tree: str = "", ready: int = -1) -> subprocess.Popen:
        command = ["front-end", conf or self.told.file, "--index", str(self.index)]
        if self.swap is None:
            return subprocess.Popen([sys.executable, "-m", "threadshift", *command], stdin=subprocess.PIPE)
        from threadshift.gateway.rollout_service import environment, program
        more = ["--version", version, *(["--ready-fd", str(ready)] if ready >= 0 else [])]
        return subprocess.Popen([*program(tree), *command, *more], stdin=subprocess.PIPE, env=environment(tree),
                                pass_fds=[ready] if ready >= 0 else [])

    def start(self) -> None:
        self.restarts.on_started(time.monotonic_ns())
        if self.swap is None:
            self.process = self.spawn(self.told.file)
        else:
            it = self.swap.running
            self.process = self.spawn(it.conf, it.version, it.tree)

    @property
    def processes(self) -> list[subprocess.Popen]:
        return [each for each in (self.process, self.coming, *(one for one, _ in self.old)) if each is not None]

    def care(self, now: int, ending: bool) -> None:
        """Notices a death; starts it again when it is due."""
        if self.process is not None and self.process.poll() is not None:
            code = self.process.returncode
            self.process = None
            if not ending:
                self.due = self.restarts.on_died(now)
                self.log.note("front-end-died", level="error", index=self.index, code=code,
                              again_ms=(self.due - now) // MS)
                if self.swap is not None:
                    version = self.swap.running.version
                    self.carry(self.swap.died(now), now)
                    self.note_failed(version)
        if self.swap is not None and not ending:
            self.change(now)
        for each in [each for each in self.old if each[0].poll() is not None]:
            self.old.remove(each)
        for process, due in self.old:
            if now >= due:
                process.kill()
        if self.process is None and not ending and self.due <= now:
            self.start()

    def change(self, now: int) -> None:
        """One look at what should run, and at the child that is to."""
        swap = self.swap
        assert swap is not None
        acts = swap.tick(now)
        if (it := self.versions.read_wanted()) is not None:
            acts += swap.wanted(now, it)
        if self.coming is not None:
            if self.coming.poll() is not None:
                acts += swap.incoming_died()
            elif select.select([self.ready], [], [], 0)[0]:
                acts += swap.ready(now) if os.read(self.ready, 1) else []
        self.carry(acts, now)

    def carry(self, acts: list, now: int) -> None:
        from threadshift.rollout.swap import Act
        swap = self.swap
        assert swap is not None
        for act in acts:
            if act is Act.START and swap.incoming is not None:
                it = swap.incoming
                self.log.note("version-starts", index=self.index, version=it.version, place=it.place)
                self.ready, theirs = os.pipe()
                self.coming = self.spawn(it.conf, it.version, it.tree, theirs)
                os.close(theirs)
            elif act is Act.TAKE_OVER:
                self.log.note("version-runs", index=self.index, version=swap.running.version)
                if self.process is not None:
                    self.process.send_signal(signal.SIGTERM)
                    self.old.append((self.process, now + self.told.bounds.drain + KILL_AFTER))
                self.process, self.coming = self.coming, None
                self.restarts.on_started(now)
                os.close(self.ready)
            elif act is Act.GIVE_UP and self.coming is not None:
                self.coming.kill()
                self.coming.wait()
                self.coming = None
                os.close(self.ready)
                self.note_failed(swap.failed)

    def note_failed(self, version: str) -> None:
        """Told where the front end finds it, so that it is told on with its reports."""
        if self.swap is not None and version and self.swap.failed == version:
            self.log.note("version-failed", level="error", index=self.index, version=version,
                          runs=self.swap.running.version, help="see the log of the child that did not come up")
            with suppress(OSError):
                self.versions.write_failed(version)


class Supervisor:
    def __init__(self, told: GatewayConfig, log: Log):
        self.told, self.log = told, log
        self.children = [Child(told, index, log) for index in range(told.front_ends)]
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
                child.care(now, bool(self.ending))
            alive = [process for child in self.children for process in child.processes if process.poll() is None]
            if self.ending and not alive:
                return int(killed)
            if self.ending and now >= self.ending:
                killed = True
                for process in alive:
                    process.kill()
            dues = [self.ending] if self.ending else [child.due for child in self.children if not child.process]
            dues += [now + LOOK for child in self.children if child.coming is not None or child.old]
            wait = min([LONGEST_SLEEP, *(max(0, due - now) for due in dues)])
            # A moment more: a killed child is reaped on the next look.
            caught = signal.sigtimedwait(SIGNALS, wait / SECOND + (0.05 if killed else 0))
            if caught is not None and caught.si_signo not in (signal.SIGCHLD, signal.SIGUSR1):
                self.passed(signal.Signals(caught.si_signo), time.monotonic_ns())

    def passed(self, number: signal.Signals, now: int) -> None:
        if number != signal.SIGHUP and not self.ending:
            self.ending = now + self.told.bounds.drain + KILL_AFTER
        for child in self.children:
            for process in child.processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGHUP if number == signal.SIGHUP else signal.SIGTERM)
