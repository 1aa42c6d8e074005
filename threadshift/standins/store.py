"""A pack store: serves what functions are made of, slows down when crowded, and turns fetches away past a limit."""
from __future__ import annotations

import hashlib
import json
import zlib

import gevent

from threadshift.conf.values import Address
from threadshift.links.codec import Frame, ProtocolError
from threadshift.standins.common import Peer, Record, Server

OPERATIONS = ("echo", "upper", "reverse", "count", "sum", "digest")
CROWDED = 4.0              # fetches at a time over the capacity, in capacities, at which more are turned away


def pack(function: str, release: int, work_ms: float, memory_mb: float, load_ms: float) -> bytes:
    """The bytes of a pack. The operation is named by the function's last part ('text-upper'), else echo; figures
    vary by half with the name, so that a fleet's functions differ and every run has the same."""
    spread = 0.75 + (zlib.crc32(function.encode()) % 1000) / 2000
    name = function.rsplit("-", 1)[-1]
    return json.dumps({
        "function": function, "release": release, "operation": name if name in OPERATIONS else "echo",
        "work_ms": work_ms * spread, "memory_mb": memory_mb * spread, "start_ms": load_ms * spread / 2,
        "fetch_ms": load_ms * spread / 2}).encode()


class PackStore(Server):
    """Orders: slow LENGTH FACTOR, refuse LENGTH SHARE, corrupt LENGTH, release, stall LENGTH."""

    def __init__(self, address: Address, capacity: float, work_ms: float, memory_mb: float, load_ms: float,
                 record: Record):
        super().__init__(address)
        self.capacity, self.figures, self.record = capacity, (work_ms, memory_mb, load_ms), record
        self.release = self.fetching = 0
        self.turned = 0.0

    def execute_order(self, words: list[str]) -> None:
        if words[0] == "release":
            self.release += 1
        else:
            self.faults.order(*words)

    def hear(self, peer: Peer, frame: Frame) -> None:
        if frame["kind"] == "hello":
            peer.name = frame["name"]
        elif frame["kind"] == "fetch":
            self.group.spawn(self.fetch, peer, frame["id"], frame["function"])
        else:
            raise ProtocolError(f"'{frame['kind']}' is not for a store to hear")

    def fetch(self, peer: Peer, id_: int, function: str) -> None:
        self.turned += self.faults.amount("refuse")
        if self.turned >= 1 or self.fetching >= self.capacity * CROWDED:
            self.turned = max(0.0, self.turned - 1)
            self.record.note("turned-away", function=function, worker=peer.name)
            peer.send("no-pack", id=id_, reason="crowded")
            return
        body = pack(function, self.release, *self.figures)
        self.fetching += 1
        try:
            crowd = max(1.0, self.fetching / self.capacity)
            slow = max(1.0, self.faults.amount("slow"))
            gevent.sleep(json.loads(body)["fetch_ms"] * crowd * slow / 1000)
        finally:
            self.fetching -= 1
        digest = hashlib.sha256(body).hexdigest()
        if self.faults.amount("corrupt"):
            body = body[:-1] + bytes([body[-1] ^ 1])
        self.record.note("fetched", function=function, worker=peer.name)
        peer.send("pack", id=id_, digest=digest, release=self.release, body=body)


