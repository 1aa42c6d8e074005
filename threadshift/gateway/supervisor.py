"""The parent process: starts front ends, restarts those that die, swaps their versions, and passes signals on.

It serves no requests. All that it shares with its children is their standard input, whose end shows them that it is
gone, and the files in which a front end with peers writes down which version should run.
"""
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
KILL_GRACE = 2 * SECOND              # after the configured drain time, before a child that has not ended is killed
MAX_WAIT = 60 * SECOND
REAP_WAIT_S = 0.05
SWAP_CHECK_INTERVAL = 100 * MS       # between checks whether a new version is ready, while versions are swapped


class Child:
    """One front end: the process that serves, processes that drain, and one that is to take over."""

    def __init__(self, config: GatewayConfig, index: int, log: Log):
        self.config, self.index, self.log, self.restart_backoff = config, index, log, RestartBackoff()
        self.name = config.front_end(index)
        self.process: subprocess.Popen | None = None
        self.incoming: subprocess.Popen | None = None
        self.ready_fd = -1                      # on which the incoming process reports that it is ready
        self.draining: list[tuple[subprocess.Popen, int]] = []      # and when each is killed
        self.restart_at = 0
        self.replacement = None
        if config.peering is not None:
            # Imported only where front ends have peers.
            from threadshift.gateway.version_files import VersionFiles
            from threadshift.rollout.process_replacement import ProcessReplacement, TargetVersion
            self.versions = VersionFiles(config.peering.folder, self.name)
            self.installed = TargetVersion(conf=config.file)
            wanted = self.versions.read_wanted()
            is_usable = (wanted is not None and wanted.version != self.versions.read_failed()
                         and os.path.exists(wanted.conf))
            self.replacement = ProcessReplacement(wanted if wanted is not None and is_usable else self.installed)

    def spawn(self, conf: str, version: str = "", tree: str = "", ready_fd: int = -1) -> subprocess.Popen:
        """Starts a process that runs this front end."""
        command = ["front-end", conf or self.config.file, "--index", str(self.index)]
        if self.replacement is None:
            return subprocess.Popen([sys.executable, "-m", "threadshift", *command], stdin=subprocess.PIPE)
        from threadshift.gateway.rollout_service import program_command, program_environment
        more = ["--version", version, *(["--ready-fd", str(ready_fd)] if ready_fd >= 0 else [])]
        return subprocess.Popen([*program_command(tree), *command, *more], stdin=subprocess.PIPE,
                                env=program_environment(tree), pass_fds=[ready_fd] if ready_fd >= 0 else [])

    def start(self) -> None:
        self.restart_backoff.on_started(time.monotonic_ns())
        if self.replacement is None:
            self.process = self.spawn(self.config.file)
        else:
            running = self.replacement.running
            self.process = self.spawn(running.conf, running.version, running.tree)

    @property
    def processes(self) -> list[subprocess.Popen]:
        return [each for each in (self.process, self.incoming, *(process for process, _ in self.draining))
                if each is not None]

    def check(self, now: int, is_ending: bool) -> None:
        """Notices when the process has died and restarts it when that is due; carries on a swap of versions."""
        if self.process is not None and self.process.poll() is not None:
            code = self.process.returncode
            self.process = None
            if not is_ending:
                self.restart_at = self.restart_backoff.on_died(now)
                self.log.note("front-end-died", level="error", index=self.index, code=code,
                              again_ms=(self.restart_at - now) // MS)
                if self.replacement is not None:
                    version = self.replacement.running.version
                    self.execute(self.replacement.on_died(now), now)
                    self.note_failed(version)
        if self.replacement is not None and not is_ending:
            self.check_version(now)
        for each in [each for each in self.draining if each[0].poll() is not None]:
            self.draining.remove(each)
        for process, kill_at in self.draining:
            if now >= kill_at:
                process.kill()
        if self.process is None and not is_ending and self.restart_at <= now:
            self.start()

    def check_version(self, now: int) -> None:
        """Checks which version should run, and whether the incoming process is ready or has died."""
        replacement = self.replacement
        assert replacement is not None
        actions = replacement.tick(now)
        if (wanted := self.versions.read_wanted()) is not None:
            actions += replacement.on_target(now, wanted)
        if self.incoming is not None:
            if self.incoming.poll() is not None:
                actions += replacement.on_incoming_died()
            elif select.select([self.ready_fd], [], [], 0)[0]:
                actions += replacement.on_ready(now) if os.read(self.ready_fd, 1) else []
        self.execute(actions, now)

    def execute(self, actions: list, now: int) -> None:
        """Carries out the actions that the swap decided on."""
        from threadshift.rollout.process_replacement import ReplacementAction
        replacement = self.replacement
        assert replacement is not None
        for action in actions:
            if action is ReplacementAction.START and replacement.incoming is not None:
                incoming = replacement.incoming
                self.log.note("version-starts", index=self.index, version=incoming.version, place=incoming.place)
                self.ready_fd, child_fd = os.pipe()
                self.incoming = self.spawn(incoming.conf, incoming.version, incoming.tree, child_fd)
                os.close(child_fd)
            elif action is ReplacementAction.TAKE_OVER:
                self.log.note("version-runs", index=self.index, version=replacement.running.version)
                if self.process is not None:
                    self.process.send_signal(signal.SIGTERM)
                    self.draining.append((self.process, now + self.config.bounds.drain + KILL_GRACE))
                self.process, self.incoming = self.incoming, None
                self.restart_backoff.on_started(now)
                os.close(self.ready_fd)
            elif action is ReplacementAction.GIVE_UP and self.incoming is not None:
                self.incoming.kill()
                self.incoming.wait()
                self.incoming = None
                os.close(self.ready_fd)
                self.note_failed(replacement.failed_version)

    def note_failed(self, version: str) -> None:
        """Writes down that a version failed, for the front end to include it in its reports."""
        if self.replacement is not None and version and self.replacement.failed_version == version:
            self.log.note("version-failed", level="error", index=self.index, version=version,
                          runs=self.replacement.running.version, help="see the log of the process that did not start")
            with suppress(OSError):
                self.versions.write_failed(version)


class Supervisor:
    """Runs one child for each front end until it is told to end."""

    def __init__(self, config: GatewayConfig, log: Log):
        self.config, self.log = config, log
        self.children = [Child(config, index, log) for index in range(config.front_ends)]
        self.kill_at = 0           # when children that have not ended are killed; 0: not ending

    @staticmethod
    def block_signals() -> None:
        """Blocks signals; called before any thread is started. A thread that accepts signals, such as the log's,
        could receive a SIGTERM while this one starts a child, and the process would end without a drain."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def run(self) -> int:
        """Runs until told to end. Returns 0 if all children ended by themselves, 1 if one had to be killed."""
        has_killed = False
        while True:
            now = time.monotonic_ns()
            for child in self.children:
                child.check(now, bool(self.kill_at))
            alive = [process for child in self.children for process in child.processes if process.poll() is None]
            if self.kill_at and not alive:
                return int(has_killed)
            if self.kill_at and now >= self.kill_at:
                has_killed = True
                for process in alive:
                    process.kill()
            deadlines = [self.kill_at] if self.kill_at else [
                child.restart_at for child in self.children if not child.process]
            deadlines += [now + SWAP_CHECK_INTERVAL for child in self.children
                          if child.incoming is not None or child.draining]
            wait = min([MAX_WAIT, *(max(0, deadline - now) for deadline in deadlines)])
            # A little longer after a kill, so that the killed child can be reaped in the next iteration.
            received = signal.sigtimedwait(SIGNALS, wait / SECOND + (REAP_WAIT_S if has_killed else 0))
            if received is not None and received.si_signo not in (signal.SIGCHLD, signal.SIGUSR1):
                self.on_signal(signal.Signals(received.si_signo), time.monotonic_ns())

    def on_signal(self, number: signal.Signals, now: int) -> None:
        if number != signal.SIGHUP and not self.kill_at:
            self.kill_at = now + self.config.bounds.drain + KILL_GRACE
        for child in self.children:
            for process in child.processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGHUP if number == signal.SIGHUP else signal.SIGTERM)
