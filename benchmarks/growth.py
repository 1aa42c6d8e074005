"""What one front end on the platform needs as its fleet grows: python benchmarks/growth.py [WORKERS ...]

One process a size, on loopback, with the same traffic: requests at a steady pace from before the first accept, and a
release of a twentieth of the workers after a third of the time. Workers share an address. Prints processor time, peak
memory, descriptors, connections made to workers, bytes of lists and the share answered, each with its ratio to the
first size and the bound of the operators' page for that many workers.
"""
from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent import socket, subprocess

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.live import free_port  # noqa: E402
from tests.platform import SETTINGS, Coordinator, Worker, configuration, event, instance, request  # noqa: E402

SIZES = (120, 480, 1_920, 3_200)
SECONDS, PER_SECOND, FUNCTIONS, LEFT_MS = 20, 20, 300, 1_000
RELEASED_PART = 20         # one worker in so many is replaced
KB = 1 << 10


class Need(NamedTuple):
    """What one front end needed over one run."""

    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    answered: float


class Bound(NamedTuple):
    """The operators' bound of a row: times the need at the usual size, plus a sum, plus one a thousand workers."""

    times: float
    plus: float
    per_thousand: float


BOUNDS = {"cpu_s": Bound(1.4, 0.02, 0.12), "memory_mb": Bound(1.5, 8, 4), "descriptors": Bound(2, 40, 0),
          "connections": Bound(2.5, 40, 0), "list_kb": Bound(2, 64, 500)}
LEAST_ANSWERED = 0.85


class CountingWorker(Worker):
    """Counts the connections made to it."""

    made = 0

    def converse(self, sock: socket.socket) -> None:
        self.made += 1
        super().converse(sock)


class Run:
    """One front end process with so many workers."""

    def __init__(self, workers: int, folder: str):
        self.server = CountingWorker()
        self.names = [f"s-{n:08x}" for n in range(workers)]
        listed = event(1, *(self.entry(name) for name in self.names), full=True)
        self.coordinator = Coordinator([listed])
        self.address = ("127.0.0.1", free_port())
        settings = json.loads(json.dumps(SETTINGS)) | {"peersTotal": 200}
        path = Path(folder, "config.json")
        path.write_text(json.dumps(configuration(
            listen=f"127.0.0.1:{self.address[1]}", coordinator=str(self.coordinator.address),
            known={"index": 1, "updates": [listed]}, settings=settings,
            limits={"cores": 1.0, "memory_mb": 192, "sockets": 512})))
        self.list_bytes = 0
        self.outcomes: list[bool] = []
        self.process = subprocess.Popen(
            [sys.executable, "-m", "threadshift.node"], cwd=ROOT, stderr=subprocess.DEVNULL,
            env=os.environ | {"NODE_CONFIG": str(path)})

    def entry(self, name: str, state: str = "Ready", started: int = 0) -> dict[str, Any]:
        return instance(name, self.server.address, state, startedAtMs=started)

    def release(self) -> None:
        gevent.sleep(SECONDS / 3)
        going, started = self.names[::RELEASED_PART], int(time.time() * 1_000)
        update = event(2, *(self.entry(name, "Terminating") for name in going),
                       *(self.entry(f"{name}-new", started=started) for name in going))
        self.list_bytes += len(json.dumps(update))
        self.coordinator.publish(update)

    def ask(self, number: int) -> None:
        try:
            sock = socket.create_connection(self.address, LEFT_MS / 1_000)
        except OSError:
            return                  # it does not listen yet: nothing was taken
        try:
            sock.settimeout(LEFT_MS / 1_000)
            sock.sendall(request(id_=f"{number + 1:016x}", item=f"{number % FUNCTIONS:016x}", left=str(LEFT_MS)))
            self.outcomes.append(b"Status: 200" in sock.recv(4 * KB))
        except OSError:
            self.outcomes.append(False)
        finally:
            sock.close()

    def play(self) -> Need:
        gevent.spawn(self.release)
        for number in range(SECONDS * PER_SECOND):
            gevent.spawn(self.ask, number)
            gevent.sleep(1 / PER_SECOND)
        gevent.sleep(LEFT_MS / 1_000)
        return self.need()

    def need(self) -> Need:
        proc = Path("/proc", str(self.process.pid))
        fields = (proc / "stat").read_text().split()
        peak = next(line for line in (proc / "status").read_text().splitlines() if line.startswith("VmHWM"))
        return Need((int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / KB,
                    len(list((proc / "fd").iterdir())), self.server.made, self.list_bytes / KB,
                    sum(self.outcomes) / max(1, len(self.outcomes)))

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.server.stop()
        self.coordinator.stop()


def measure(workers: int) -> Need:
    with tempfile.TemporaryDirectory() as folder:
        run = Run(workers, folder)
        try:
            return run.play()
        finally:
            run.close()


def show(sizes: list[int], say: Callable[[str], None] = print) -> bool:
    """Measures each size and prints a row for each need; whether all bounds hold."""
    needs, hold = {size: measure(size) for size in sizes}, True
    usual = needs[sizes[0]]
    for size, need in needs.items():
        say(f"{size} workers, answered {need.answered:.3f}")
        hold = hold and need.answered >= LEAST_ANSWERED * usual.answered
        for name, bound in BOUNDS.items():
            value, first = getattr(need, name), getattr(usual, name)
            most = bound.times * first + bound.plus + bound.per_thousand * size / 1_000
            hold = hold and value <= most
            say(f"    {name:12} {value:8.2f}   {value / first if first else 0:5.2f} times   at most {most:8.2f}"
                f"{'' if value <= most else '   OVER'}")
    return hold


if __name__ == "__main__":
    sys.exit(0 if show([int(size) for size in sys.argv[1:]] or list(SIZES)) else 1)
