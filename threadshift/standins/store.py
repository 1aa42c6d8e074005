"""A pack store: serves the packs of functions, slows down under load, and rejects fetches beyond a limit."""
from __future__ import annotations

import hashlib
import json
import zlib

import gevent

from threadshift.conf.values import Address
from threadshift.links.codec import Frame, ProtocolError
from threadshift.standins.common import Peer, Record, Server

OPERATIONS = ("echo", "upper", "reverse", "count", "sum", "digest")
MAX_LOAD_FACTOR = 4.0      # concurrent fetches in multiples of the capacity; more are rejected


def pack(function: str, release: int, work_ms: float, memory_mb: float, load_ms: float) -> bytes:
    """The bytes of a pack.

    The last part of the function's name selects the operation ('text-upper'), which is echo otherwise. Work, memory
    and load time vary with a hash of the name from 0.75 to 1.25 of the mean, so that functions differ and every run
    has the same ones."""
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
        self.capacity, self.means, self.record = capacity, (work_ms, memory_mb, load_ms), record
        self.release = self.fetching = 0
        self.rejection_credit = 0.0        # grows by the share of `refuse` with each fetch; 1 rejects one

    def execute_order(self, words: list[str]) -> None:
        if words[0] == "release":
            self.release += 1
        else:
            self.faults.order(*words)

    def handle_frame(self, peer: Peer, frame: Frame) -> None:
        if frame["kind"] == "hello":
            peer.name = frame["name"]
        elif frame["kind"] == "fetch":
            self.group.spawn(self.fetch, peer, frame["id"], frame["function"])
        else:
            raise ProtocolError(f"'{frame['kind']}' is not a message to a pack store")

    def fetch(self, peer: Peer, id_: int, function: str) -> None:
        """Answers one fetch after its simulated time; `corrupt` changes the last byte, but not the digest."""
        self.rejection_credit += self.faults.amount("refuse")
        if self.rejection_credit >= 1 or self.fetching >= self.capacity * MAX_LOAD_FACTOR:
            self.rejection_credit = max(0.0, self.rejection_credit - 1)
            self.record.note("turned-away", function=function, worker=peer.name)
            peer.send("no-pack", id=id_, reason="crowded")
            return
        body = pack(function, self.release, *self.means)
        self.fetching += 1
        try:
            load_factor = max(1.0, self.fetching / self.capacity)
            slowdown = max(1.0, self.faults.amount("slow"))
            gevent.sleep(json.loads(body)["fetch_ms"] * load_factor * slowdown / 1000)
        finally:
            self.fetching -= 1
        digest = hashlib.sha256(body).hexdigest()
        if self.faults.amount("corrupt"):
            body = body[:-1] + bytes([body[-1] ^ 1])
        self.record.note("fetched", function=function, worker=peer.name)
        peer.send("pack", id=id_, digest=digest, release=self.release, body=body)


