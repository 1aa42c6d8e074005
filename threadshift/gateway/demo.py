"""A demonstration on loopback: the gateway and its stand-ins, each a process of its own."""
from __future__ import annotations

import time
from pathlib import Path

import gevent

from threadshift.conf.values import Address
from threadshift.links.sockets import listener
from threadshift.standins.rig import Rig, free_ports

READY_TIMEOUT_S = 20       # until the gateway must have links to all workers
CONF = """
listen 127.0.0.1:{port}
front-ends {front_ends}
own-ports {own}
roster feed {roster}
log console info
type interactive {{
    target-latency 600ms
    action-timeout 2500ms
    effect repeatable
}}
type filing {{
    target-latency 1s
    action-timeout 5s
    utility 2
    effect once-only
}}
functions submit-* {{
    type filing
}}
functions * {{
    type interactive
    lanes 2
}}
"""


class Demo:
    """Runs as a context manager: __enter__ starts all processes, __exit__ ends them."""

    def __init__(self, folder: Path, port: int, workers: int, front_ends: int):
        self.rig, self.port, self.workers, self.front_ends = Rig(folder), port, workers, front_ends

    def __enter__(self) -> Demo:
        try:
            self.start()
        except BaseException:
            self.rig.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.rig.stop()

    def start(self) -> None:
        rig = self.rig
        rig.start_standin("store", "store")
        rig.start_standin("roster", "roster")
        rig.wait_for_address("store")
        rig.wait_for_address("roster")
        names = [f"w{n}" for n in range(self.workers)]
        for name in names:
            rig.start_standin(name, "worker", name=name, store=rig.addresses["store"])
        for name in names:
            rig.processes["roster"].order(f"worker {name} {rig.wait_for_address(name)}")
        own_port = free_ports(1)[0] if self.front_ends == 1 else consecutive_ports(self.front_ends)
        conf = rig.folder / "threadshift.conf"
        conf.write_text(CONF.format(port=self.port, front_ends=self.front_ends, own=own_port,
                                    roster=rig.addresses["roster"]))
        rig.start("front", "run", str(conf))
        for at in [self.port] if self.front_ends == 1 else range(own_port, own_port + self.front_ends):
            self.wait_until_ready(at)

    def wait_until_ready(self, port: int) -> None:
        if self.rig.wait_until_linked("front", Address("127.0.0.1", port), self.workers, READY_TIMEOUT_S):
            return
        errors = (self.rig.folder / "front.err").read_text().strip().splitlines()
        raise RuntimeError(f"the gateway did not start: {errors[-1] if errors else 'it wrote no message'}")

    def wait(self, seconds: float | None) -> None:
        """Waits until the time is up or the gateway ends."""
        until = time.monotonic() + seconds if seconds is not None else float("inf")
        while time.monotonic() < until and self.rig.processes["front"].alive:
            gevent.sleep(0.1)


def consecutive_ports(count: int) -> int:
    """The first of `count` consecutive ports that were free a moment ago."""
    for first in range(20_000, 30_000, count):
        try:
            for sock in [listener(Address("127.0.0.1", first + n), shared=False) for n in range(count)]:
                sock.close()
            return first
        except OSError:
            continue
    raise RuntimeError(f"found no {count} consecutive free ports")
