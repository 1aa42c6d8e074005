"""Starts the gateway and its stand-ins as real processes on loopback, passes orders on, and ends them all."""
from __future__ import annotations

import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import gevent
from gevent import socket, subprocess

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.invoke.client import Client, NoAnswer

START_LIMIT = 20           # s until a started process must say where it listens; many start at once
END_LIMIT = 15             # s until one that was told to end is killed
LOWEST_GIVEN = 32_768      # port; the usual setting of the system, where it cannot be read


def free_ports(count: int) -> list[int]:
    """Ports that nobody listened at a moment ago; all held open at once, so that they differ.

    None of the range that the system gives out itself: before we listened at one, it was given to a relay of the same
    test, and an order to one front end came to another's peers."""
    low = given_out_from()
    socks: list[socket.socket] = []
    try:
        while len(socks) < count:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", random.randrange(low // 2, low)))
                socks.append(sock)
            except OSError:
                sock.close()        # somebody has it
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def given_out_from() -> int:
    """The lowest port that the system gives to those who name none."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except OSError:
        return LOWEST_GIVEN


class Process:
    """One process of ours."""

    def __init__(self, arguments: list[str], errors: Path):
        with open(errors, "ab") as file:
            self.process = subprocess.Popen([sys.executable, "-m", "threadshift", *arguments],
                                            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=file)

    def address(self) -> Address:
        """Where it says that it listens. Waits; raises RuntimeError where it says nothing in time."""
        with gevent.Timeout(START_LIMIT, RuntimeError("a stand-in did not start in time")):
            line = self.process.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"a stand-in did not start: {line!r}")
        return values.address(line.split()[1])

    def order(self, words: str) -> None:
        try:
            self.process.stdin.write(words.encode() + b"\n")
            self.process.stdin.flush()
        except OSError:
            pass                # it died before it heard; its record says so

    def signal(self, number: signal.Signals) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    def stop(self) -> None:
        """Tells it to end and waits; kills it where it does not."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(END_LIMIT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdin.close()
        if self.process.stdout is not None:
            self.process.stdout.close()


class Rig:
    """Processes by name, their records and errors in one folder. Ended by stop(), or on leaving `with`."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}

    def __enter__(self) -> Rig:
        return self

    def __exit__(self, *_: Any) -> None:
        self.stop()

    def start(self, name: str, *arguments: str) -> Process:
        it = self.processes[name] = Process(list(arguments), self.folder / f"{name}.err")
        return it

    def start_standin(self, name: str, kind: str, /, **options: Any) -> Process:
        """A stand-in whose options are those of its sub-command; it listens where it did before, if it did."""
        words = [f"--{key.replace('_', '-')}={value}" for key, value in options.items() if value is not None]
        return self.start(name, "standin", kind, f"--listen={self.addresses.get(name, '127.0.0.1:0')}",
                          f"--record={self.folder / f'{name}.jsonl'}", *words)

    def wait_for_address(self, name: str) -> Address:
        self.addresses[name] = self.processes[name].address()
        return self.addresses[name]

    def front_end(self, name: str, conf: Path, index: int = 0) -> Process:
        return self.start(name, "front-end", str(conf), "--index", str(index))

    def wait_until_linked(self, name: str, at: Address, workers: int, limit: float) -> bool:
        """Waits until the front end at this address has links to so many workers; False where it dies or is late."""
        client, until = Client(at), time.monotonic() + limit
        while time.monotonic() < until and self.processes[name].alive:
            try:
                if client.request("GET", "/v1/status").body.count(b'"link": true') == workers:
                    client.close()
                    return True
            except NoAnswer:
                pass
            gevent.sleep(0.05)
        return False

    def kill(self, name: str) -> None:
        """SIGKILL, as a crash would."""
        process = self.processes[name].process
        if process.poll() is None:
            os.kill(process.pid, signal.SIGKILL)
            process.wait()

    def stop(self) -> None:
        # Front ends first: they need their workers to answer what they hold.
        for names in ([name for name in self.processes if name.startswith("front")],
                      [name for name in self.processes if not name.startswith("front")]):
            gevent.joinall([gevent.spawn(self.processes[name].stop) for name in names])
        self.processes.clear()
