"""Many workers in one process that answer every call at once, so that only what is before them is measured."""
import sys
import time

import gevent
from gevent import socket

from threadshift.conf.values import Address
from threadshift.links.codec import VERSION, FrameDecoder, encode
from threadshift.links.sockets import READ_SIZE, listener


def serve(name, sock, wait):
    while True:
        client, _ = sock.accept()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)     # or small answers wait for an ACK
        gevent.spawn(converse, name, client, wait)


def converse(name, sock, wait):
    frames = FrameDecoder(1 << 22)
    while data := sock.recv(READ_SIZE):
        out = []
        for frame in frames.feed(data):
            if frame["kind"] == "hello":
                out.append(encode("hello", version=VERSION, name=name, started=time.time_ns() - 10**12))
            elif frame["kind"] == "invoke" and wait:
                gevent.spawn_later(wait, sock.sendall,
                                   encode("result", id=frame["id"], body=frame["body"], copy="found"))
            elif frame["kind"] == "invoke":
                out.append(encode("result", id=frame["id"], body=frame["body"], copy="found"))
            elif frame["kind"] == "hold":
                out.append(encode("held", id=frame["id"], outcome="stands", copies=1))
            elif frame["kind"] == "ask":
                out.append(encode("status", id=frame["id"], load={"waiting": 0.0}))
            elif frame["kind"] == "ping":
                out.append(encode("pong"))
        sock.sendall(b"".join(out))


def main():
    first, count, wait = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    socks = [listener(Address("127.0.0.1", 0), shared=False) for _ in range(count)]
    for n, sock in enumerate(socks):
        gevent.spawn(serve, f"w{first + n}", sock, wait)
    print("listening", *(sock.getsockname()[1] for sock in socks), flush=True)
    gevent.sleep(3600)


if __name__ == "__main__":
    main()
