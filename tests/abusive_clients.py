"""Clients that send as fast as they can, as a process of their own (tests/client_faults.py starts it).

    python -m tests.abusive_clients PROGRAM KIND HOST PORT SECONDS CONNECTIONS DELAY_MS SEED FILE

PROGRAM is platform or daemon. KIND is one of

- withdrawn: sound requests under ever new ids and functions, each aborted after a random time up to DELAY_MS, or at
  once where that is 0; clients of the daemon close, as it has no aborts
- closing: the same, taken back by closing the connection after some requests
- new-names: the same without taking them back
- unsound: requests that cannot be used

When a client took a request back, in monotonic ns, is written to FILE, a line for each.
"""
from __future__ import annotations

import heapq
import random
import select
import socket
import struct
import sys
import time
from contextlib import suppress

from tests.platform import begin, params, request
from threadshift.fastcgi.codec import ABORT, END, STDIN, Records, record, stream

NUMBERS = 32                   # requests open at a time on one connection, the platform's limit
REQUESTS_PER_WRITE = 16
MAX_SENT_IN_A_ROW = 8          # requests on a connection, before a client leaves and comes back
ID, FUNCTION = b"0123456789abcdef", b"fedcba9876543210"      # places in a template
DEADLINES_MS = ("640", "2000")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)     # SO_LINGER


def renumber(data: bytes, number: int) -> bytes:
    """The records of one request under another number of its connection."""
    parts, at = [], 0
    while at < len(data):
        length = int.from_bytes(data[at + 4:at + 6], "big") + data[at + 6] + 8
        parts += [data[at:at + 2], number.to_bytes(2, "big"), data[at + 4:at + length]]
        at += length
    return b"".join(parts)


def http_request(function: str, body: bytes, left_ms: str) -> bytes:
    """One call of the daemon."""
    return (f"POST /v1/functions/{function}/calls HTTP/1.1\r\nHost: a\r\nTime-Left: {left_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


UNSOUND = {
    "platform": [begin(1) + params(1, {"SCRIPT_NAME": "/ops/no-such-class"}) + stream(STDIN, 1, b"x"),
                 request(2, "not an id"), request(3, left="never"), record(77, 0), record(STDIN, 9, b"x")],
    "daemon": [b"GET /v1/nothing HTTP/1.1\r\nHost: a\r\n\r\n", http_request("check-a", b"x", "never"),
               b"GET /v1/calls/none HTTP/1.1\r\nHost: a\r\n\r\n"]}
TEMPLATES = {
    "platform": [request(1, ID.decode(), b"x", type_, left, FUNCTION.decode())
                 for type_ in ("check", "submit") for left in DEADLINES_MS],
    "daemon": [http_request(kind + FUNCTION.decode(), ID, left)
               for kind in ("check-", "submit-") for left in DEADLINES_MS]}


class AbusiveClient:
    """One client with a connection of its own, which it opens again when it has ended."""

    def __init__(self, program: str, kind: str, address: tuple[str, int], rng: random.Random, delay_s: float):
        self.program, self.kind, self.address, self.rng, self.delay_s = program, kind, address, rng, delay_s
        self.leaves = kind == "closing" or kind == "withdrawn" and program == "daemon"
        self.sent = 0
        self.withdrawn: list[tuple[bytes, int]] = []
        self.connect()

    def connect(self) -> None:
        self.sock = socket.create_connection(self.address)
        self.sock.setblocking(False)
        self.unwritten, self.records = b"", Records()
        self.ending: list[bytes] = []                # ids of requests whose abort is in `unwritten`
        self.free = list(range(NUMBERS, 0, -1))
        self.open: list[bytes] = []                  # ids, on a connection to the daemon
        self.aborts: list[tuple[float, int, bytes]] = []     # heap of (when, number, id)

    def next_request(self) -> tuple[bytes, bytes]:
        """A request under an id and for a function that were never used before, and its id."""
        id_ = b"%016x" % self.rng.getrandbits(64)
        data = self.rng.choice(TEMPLATES[self.program]).replace(ID, id_)
        self.sent += 1
        return data.replace(FUNCTION, b"%016x" % self.rng.getrandbits(64)), id_

    def fill(self, now: float) -> None:
        """Adds what is sent next."""
        if self.kind == "unsound":
            self.sent += REQUESTS_PER_WRITE
            self.unwritten = b"".join(self.rng.choices(UNSOUND[self.program], k=REQUESTS_PER_WRITE))
        elif self.program == "daemon" or self.kind == "closing":
            requests = [self.next_request() for _ in range(MAX_SENT_IN_A_ROW)]
            self.open += [id_ for _, id_ in requests]
            self.unwritten = b"".join(data if self.program == "daemon" else renumber(data, number)
                                      for number, (data, _) in enumerate(requests, start=1))
        else:
            self.fill_records(now)

    def fill_records(self, now: float) -> None:
        """Adds the aborts that are due and as many requests as may be open."""
        parts = []
        while self.aborts and self.aborts[0][0] <= now:
            _, number, id_ = heapq.heappop(self.aborts)
            parts.append(record(ABORT, number))
            self.free.append(number)
            self.ending.append(id_)
        for _ in range(min(REQUESTS_PER_WRITE, len(self.free))):
            number = self.free.pop()
            data, id_ = self.next_request()
            parts.append(renumber(data, number))
            if self.kind != "withdrawn":
                continue                # its number is free again once it is answered
            if self.delay_s:
                heapq.heappush(self.aborts, (now + self.rng.random() * self.delay_s, number, id_))
            else:
                parts.append(record(ABORT, number))
                self.ending.append(id_)
                self.free.append(number)
        self.unwritten = b"".join(parts)

    def write(self) -> None:
        """Writes as much as the socket takes. Clients that take back by closing leave after some requests."""
        if self.leaves and len(self.open) >= MAX_SENT_IN_A_ROW and not self.unwritten:
            self.leave()
        if not self.unwritten:
            self.fill(time.monotonic())
        if self.unwritten:
            with suppress(BlockingIOError):
                self.unwritten = self.unwritten[self.sock.send(self.unwritten):]
        if not self.unwritten:
            self.withdraw(self.ending)
            self.ending = []

    def withdraw(self, ids: list[bytes]) -> None:
        now = time.monotonic_ns()
        self.withdrawn += [(id_, now) for id_ in ids]

    def leave(self) -> None:
        """Takes back all that is open by closing, half of the time with a reset."""
        time.sleep(self.rng.random() * self.delay_s)
        if self.rng.random() < 0.5:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.withdraw(self.open)
        self.connect()

    def read(self) -> None:
        """Reads and drops answers. Raises ConnectionError at the end of the connection."""
        with suppress(BlockingIOError):
            data = self.sock.recv(1 << 16)
            if not data:
                raise ConnectionError("closed")
            if self.program == "platform" and self.kind == "new-names":
                self.free += [number for kind, number, _ in self.records.feed(data) if kind == END]


def main(program: str, kind: str, host: str, port: str, seconds: str, connections: str, delay_ms: str, seed: str,
         path: str) -> int:
    rng, until = random.Random(seed), time.monotonic() + float(seconds)
    clients = [AbusiveClient(program, kind, (host, int(port)), rng, float(delay_ms) / 1_000)
               for _ in range(int(connections))]
    while time.monotonic() < until:
        poller, by_descriptor = select.poll(), {each.sock.fileno(): each for each in clients}
        for descriptor in by_descriptor:
            poller.register(descriptor, select.POLLIN | select.POLLOUT)
        for descriptor, events in poller.poll(100):
            client = by_descriptor[descriptor]
            try:
                if events & ~select.POLLOUT:
                    client.read()
                if events & select.POLLOUT:
                    client.write()
            except OSError:
                client.sock.close()
                time.sleep(0.005)
                with suppress(OSError):
                    client.connect()
    with open(path, "wb") as file:
        for client in clients:
            file.writelines(b"%s %d\n" % each for each in client.withdrawn)
    print(sum(each.sent for each in clients), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
