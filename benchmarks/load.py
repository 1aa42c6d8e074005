"""A lean load process: closed loop (as fast as answered) or open loop (at a rate); prints one JSON line.

load.py PORT SECONDS CONNECTIONS RATE LEFT_MS   (RATE 0: closed loop)
"""
import gc
import json
import random
import re
import sys
import time
from collections import Counter

import gevent
from gevent import socket
from gevent.queue import LifoQueue
from hdrh.histogram import HdrHistogram

LENGTH = re.compile(rb"Content-Length: (\d+)\r\n")
FUNCTIONS = 40
WARM_UP = 0.7              # s before anything counts: connecting, and the first call on each connection


def request(n, left):
    body = b"x" * 100
    return (f"POST /v1/functions/f{n}/calls HTTP/1.1\r\nHost: x\r\nTime-Left: {left}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def answer(sock):
    """The status of one answer."""
    got = sock.recv(65536)
    while b"\r\n\r\n" not in got:
        more = sock.recv(65536)
        if not more:
            return 0
        got += more
    head, _, body = got.partition(b"\r\n\r\n")
    wanted = int(LENGTH.search(head + b"\r\n")[1])
    while len(body) < wanted:
        body += sock.recv(65536)
    return int(head[9:12])


def main():
    port, seconds, connections, rate, left = (float(each) for each in sys.argv[1:6])
    chance, seen, times = random.Random(int(port)), Counter(), HdrHistogram(1, 60_000_000, 3)
    late, out, queue = Counter(), Counter(), LifoQueue(100_000)
    gc.disable()            # what is measured is the other side; this process is short-lived
    counted = time.monotonic() + WARM_UP
    until = counted + seconds
    requests = [request(n, int(left)) for n in range(FUNCTIONS)]

    def note(status, began):
        took = time.monotonic() - began
        if counted <= began and time.monotonic() <= until:
            seen[status] += 1
            out["in time" if status == 200 and took * 1000 <= left else "else"] += 1
            if status == 200:
                times.record_value(int(took * 1e6) or 1)

    def talk():
        sock = socket.create_connection(("127.0.0.1", int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while time.monotonic() < until:
            began = queue.get() if rate else time.monotonic()
            if began is None:
                return
            if rate and (time.monotonic() - began) * 1000 > left:
                out["gave up"] += 1     # a client that found no free connection; the newest goes first
                continue
            sock.sendall(chance.choice(requests))
            note(answer(sock), began)

    talkers = [gevent.spawn(talk) for _ in range(int(connections))]
    if rate:
        due = time.monotonic()
        while due < until:
            gevent.sleep(max(0, due - time.monotonic()))
            if queue.qsize() < 90_000:
                queue.put(due)      # waiting for a free connection counts: the loop is open
            due += chance.expovariate(rate)
        while not queue.empty():
            queue.get()
        for _ in talkers:
            queue.put(None)
    gevent.joinall(talkers, timeout=5)
    late["skipped"] = queue.qsize()
    print(json.dumps({"per_s": seen[200] / seconds, "in_time_per_s": out["in time"] / seconds,
                      "statuses": dict(seen), "hdr": times.encode().decode(),
                      "p50_us": times.get_value_at_percentile(50), "p99_us": times.get_value_at_percentile(99)}))


if __name__ == "__main__":
    main()
