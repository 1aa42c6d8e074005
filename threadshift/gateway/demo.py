"""A demonstration on loopback: the gateway and its stand-ins, each a process of its own."""
from __future__ import annotations

import time
from contextlib import suppress
from pathlib import Path

import gevent

from threadshift.conf.values import Address
from threadshift.standins.rig import PortTaken, Rig

READY_TIMEOUT_S = 20       # until the gateway must have links to all workers
START_ATTEMPTS = 3         # each with other ports for the front ends' own
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
        for _ in range(START_ATTEMPTS):
            with suppress(PortTaken):
                self.start_gateway()
                return
        raise RuntimeError(f"the gateway did not start: its ports were taken {START_ATTEMPTS} times")

    def start_gateway(self) -> None:
        """Starts the gateway and waits until it serves.

        Raises PortTaken where another process has taken one of its front ends' own ports meanwhile."""
        rig, own_port = self.rig, self.rig.ports.reserve_consecutive(self.front_ends)
        conf = rig.folder / "threadshift.conf"
        conf.write_text(CONF.format(port=self.port, front_ends=self.front_ends, own=own_port,
                                    roster=rig.addresses["roster"]))
        gateway = rig.start("front", "run", str(conf))
        ports = [self.port] if self.front_ends == 1 else range(own_port, own_port + self.front_ends)
        try:
            for port in ports:
                self.wait_until_ready(port)
        except PortTaken:
            gateway.stop()
            raise

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

