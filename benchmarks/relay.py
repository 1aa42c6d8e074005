"""The bare relay that the gateway is measured against: httptools in, one msgpack frame out, no decision.

Same sockets, same parser, same frames, same greenlets as the gateway; workers in turn, no time limits, no checks.
"""
import os
import sys
from collections import deque

import gevent
from gevent import socket
from gevent.event import Event

from threadshift.conf.values import Address, address
from threadshift.invoke.http import Connection, TimeoutMonitor
from threadshift.invoke.requests import Response
from threadshift.links.codec import VERSION, FrameDecoder, encode
from threadshift.links.sockets import READ_SIZE, connect, listener


class Relay:
    closing = False

    def __init__(self, workers):
        self.socks = [connect(each, 10**9) for each in workers]
        self.waiting, self.number = {}, 0
        self.out = [deque() for _ in self.socks]
        self.wakes = [Event() for _ in self.socks]
        for n, sock in enumerate(self.socks):
            sock.settimeout(None)
            sock.sendall(encode("hello", version=VERSION, name="relay"))
            gevent.spawn(self.read, sock)
            gevent.spawn(self.write, n)

    def handle(self, exchange):
        self.number += 1
        self.waiting[self.number] = exchange
        n = self.number % len(self.socks)
        self.out[n].append(encode("invoke", id=self.number, function=exchange.path.split("/")[3], type="check",
                                  effect="repeatable", left=10**9, body=exchange.body))
        self.wakes[n].set()

    def on_client_gone(self, exchange):
        pass

    def write(self, n):
        out, wake, sock = self.out[n], self.wakes[n], self.socks[n]
        while True:
            wake.wait()
            wake.clear()
            data = b"".join(out)
            out.clear()
            sock.sendall(data)

    def read(self, sock):
        frames = FrameDecoder(1 << 22)
        while data := sock.recv(READ_SIZE):
            for frame in frames.feed(data):
                if frame["kind"] == "result":
                    self.waiting.pop(frame["id"]).respond(
                        Response(200, [("Content-Type", "application/octet-stream")], frame["body"]))


def main():
    from threadshift.conf.gateway_config import read_text
    bounds = read_text("listen 127.0.0.1:1\nroster file x\ntype a {\ntarget-latency 1s\naction-timeout 1s\n"
                       "effect repeatable\n}\n").bounds._replace(pipeline=10**6)
    relay = Relay([address(each) for each in sys.argv[2:]])
    sock = listener(Address("127.0.0.1", int(sys.argv[1])), shared=False)
    print("listening", os.getpid(), flush=True)
    timeout_monitor = TimeoutMonitor()
    while True:
        client, _ = sock.accept()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        gevent.spawn(Connection(client, relay, bounds, timeout_monitor).serve)


if __name__ == "__main__":
    main()
