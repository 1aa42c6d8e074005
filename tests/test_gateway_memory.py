"""What peers make the daemon hold stays within its memory, however many of them there are, and others are served."""
import unittest
from contextlib import closing, suppress
from unittest import mock

import gevent
from gevent import socket

from tests.live import free_port
from threadshift.conf.peering import Peer, PeersConfig
from threadshift.conf.values import Address
from threadshift.consensus.member import Timing
from threadshift.interface import SECOND
from threadshift.links.codec import VERSION, encode
from threadshift.peers.link import MAX_HELLO_SIZE, PeerListener

MEMORY = 96 << 20          # bytes
BODY = 900_000             # bytes; a frame to a worker takes it
CLIENTS = 40               # which together send three times of what is held for clients


def request(body, length=BODY, function="f"):
    return (f"POST /v1/functions/{function}/calls HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n".encode()
            + body)


def send(sock, data):
    """Sends data, unless the other side closes before."""
    with suppress(OSError):
        sock.sendall(data)


class GatewayMemory(unittest.TestCase):
    def connect(self, live, data):
        sock = socket.create_connection(("127.0.0.1", live.port))
        self.addCleanup(sock.close)
        gevent.spawn(send, sock, data)
        return sock

    def test_whoever_has_not_said_who_it_is_makes_a_peer_hold_little(self):
        """Guards against strangers that each announce a frame as long as a snapshot and send it but for its end."""
        peers = tuple(Peer(name, Address("127.0.0.1", free_port()), True) for name in ("a", "b"))
        owner = mock.Mock()
        listener = PeerListener(PeersConfig(peers, "", SECOND, Timing()), "a", 1, "digest", owner)
        listener.start()
        self.addCleanup(listener.stop)
        with closing(socket.create_connection(tuple(peers[0].address)[:2])) as sock:
            sock.sendall(encode("hello", version=VERSION, name="b", padding="x" * MAX_HELLO_SIZE)[:MAX_HELLO_SIZE])
            sock.settimeout(5)
            self.assertIn(b"refused", sock.recv(65536))


if __name__ == "__main__":
    unittest.main()
