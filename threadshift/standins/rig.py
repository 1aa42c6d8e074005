"""Starts the gateway and its stand-ins as processes on loopback, passes orders to them, and stops them all."""
from __future__ import annotations

import json
import os
import signal
import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.errors import ThreadshiftError
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.ports import ReservedPorts

START_TIMEOUT = 20             # s until a started process must print its address; many start at once
STOP_TIMEOUT = 15              # s from SIGTERM to SIGKILL


def parent_of(pid: int) -> int:
    """The process that started this one; 0 if that cannot be told."""
    try:
        return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[1])
    except (OSError, ValueError):
        return 0


class PortTaken(ThreadshiftError):
    """A process that is not of this rig answers at a port that was free a moment ago."""

    def __init__(self, at: Address):
        super().__init__(f"another process answers at {at}")

    help = "choose another port"


class Process:
    """One process that runs `python -m threadshift`."""

    def __init__(self, arguments: list[str], errors: Path):
        with open(errors, "ab") as file:
            self.process = subprocess.Popen([sys.executable, "-m", "threadshift", *arguments],
                                            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=file)

    def address(self) -> Address:
        """Waits until the process prints where it listens. Raises RuntimeError if it does not within the limit."""
        with gevent.Timeout(START_TIMEOUT, RuntimeError("a stand-in did not start in time")):
            line = self.process.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"a stand-in did not start: {line!r}")
        return values.address(line.split()[1])

    def order(self, words: str) -> None:
        """Writes an order to the standard input of the process."""
        try:
            self.process.stdin.write(words.encode() + b"\n")
            self.process.stdin.flush()
        except OSError:
            pass                # the process has ended, as its record shows

    def signal(self, number: signal.Signals) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    def stop(self) -> None:
        """Sends SIGTERM and waits; sends SIGKILL if the process does not end within the limit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdin.close()
        if self.process.stdout is not None:
            self.process.stdout.close()


class Rig:
    """Processes by name, with their records and errors in one folder. Leaving `with` stops them all."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}
        self.ports = ReservedPorts()

    def __enter__(self) -> Rig:
        return self

    def __exit__(self, *_: Any) -> None:
        self.stop()

    def start(self, name: str, *arguments: str) -> Process:
        process = self.processes[name] = Process(list(arguments), self.folder / f"{name}.err")
        return process

    def start_standin(self, name: str, kind: str, /, **options: Any) -> Process:
        """Starts a stand-in with the options of its sub-command; a restarted one listens where it did before."""
        options_given = [f"--{key.replace('_', '-')}={value}" for key, value in options.items() if value is not None]
        return self.start(name, "standin", kind, f"--listen={self.addresses.get(name, '127.0.0.1:0')}",
                          f"--record={self.folder / f'{name}.jsonl'}", *options_given)

    def wait_for_address(self, name: str) -> Address:
        """Waits until the process listens, and keeps its address."""
        self.addresses[name] = self.processes[name].address()
        return self.addresses[name]

    def front_end(self, name: str, conf: Path, index: int = 0) -> Process:
        return self.start(name, "front-end", str(conf), "--index", str(index))

    def wait_until_linked(self, name: str, at: Address, workers: int, limit: float) -> bool:
        """Waits until the front end at this address has links to so many workers.

        Returns False if it ends, or does not have them within `limit` seconds. Raises PortTaken."""
        deadline = time.monotonic() + limit
        with closing(Client(at)) as client:
            while time.monotonic() < deadline and self.processes[name].alive:
                try:
                    status = json.loads(client.request("GET", "/v1/status").body)
                    if not self.is_process_of(name, status["pid"]):
                        raise PortTaken(at)
                    if sum(worker["link"] for worker in status["workers"].values()) == workers:
                        return True
                except NoAnswer:
                    pass
                gevent.sleep(0.05)
        return False

    def is_process_of(self, name: str, pid: int) -> bool:
        """Whether this is the process of that name or one that it started, as far as can be told."""
        return self.processes[name].process.pid in (pid, parent_of(pid) or self.processes[name].process.pid)

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL, like a crash."""
        process = self.processes[name].process
        if process.poll() is None:
            os.kill(process.pid, signal.SIGKILL)
            process.wait()

    def stop(self) -> None:
        # Front ends are stopped first: they need their workers to answer their pending requests.
        for names in ([name for name in self.processes if name.startswith("front")],
                      [name for name in self.processes if not name.startswith("front")]):
            gevent.joinall([gevent.spawn(self.processes[name].stop) for name in names])
        self.processes.clear()
        self.ports.release()
