"""What peers make the daemon hold stays within its memory, however many of them there are, and others are served."""
import gc
import json
import tracemalloc
import unittest
import weakref
from contextlib import closing, suppress
from unittest import mock

import gevent
from gevent import socket

from tests.live import Live, ScriptedWorker, Server, free_port, until
from threadshift.conf.peering import Peer, PeersConfig
from threadshift.conf.values import Address
from threadshift.consensus.member import Timing
from threadshift.discovery.sources import FeedSource
from threadshift.gateway import memory_limit
from threadshift.interface import SECOND
from threadshift.invoke.requests import Response
from threadshift.links.codec import VERSION, encode
from threadshift.memory_budget import CLIENTS_DIVISOR, WORKERS_DIVISOR, AdmittedBytes
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

    def test_half_sent_requests_of_many_clients_stay_within_the_memory(self):
        """Guards against half read requests that are bounded for each connection and not in all (review/2)."""
        half = request(bytes(BODY - 1))
        headers = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"".join(b"h%d:\r\n" % number for number in range(2000))
        for data, clients in ((half, CLIENTS), (headers, 100)):
            with self.subTest(data=data[:16]), Live(memory_bytes=MEMORY) as live:
                budget = live.front.timeout_monitor.memory_budget
                socks = [self.connect(live, data) for _ in range(clients)]
                until(lambda budget=budget: budget.evictions)
                until(lambda live=live, clients=clients: len(live.front.connections) < clients)
                budget.measure()
                self.assertLessEqual(budget.used, MEMORY // CLIENTS_DIVISOR)
                self.assertEqual(live.call("f").status, 200)
                answers = []
                for sock in socks:
                    sock.settimeout(0.05)
                    try:
                        answers.append(sock.recv(65536))
                    except TimeoutError:
                        pass
                self.assertTrue(any(b"memory-short" in each and b"Retry-After-Ms" in each for each in answers))

    def test_unread_answers_of_many_clients_stay_within_the_memory(self):
        """Guards against answers that clients do not read, bounded for each connection and not in all."""
        def answer_long(worker, sock, frames):
            for frame in frames:
                if frame["kind"] == "invoke":
                    sock.sendall(encode("result", id=frame["id"], body=bytes(BODY)))
                elif frame["kind"] == "hold":
                    sock.sendall(encode("held", id=frame["id"], outcome="stands", copies=1))
        with Live(workers=0, memory_bytes=MEMORY) as live:
            live.extra.append(ScriptedWorker("w9", answer_long))
            live.list("w9", live.extra[0].address)
            until(lambda: "w9" in live.front.links and live.front.links["w9"].up)
            budget = live.front.timeout_monitor.memory_budget
            for number in range(CLIENTS):
                sock = socket.socket()
                self.addCleanup(sock.close)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
                sock.connect(("127.0.0.1", live.port))
                send(sock, request(b"x", 1))
                until(lambda number=number: live.front.engine.counts["answered completed"] > number)
                budget.measure()
                self.assertLessEqual(budget.used, MEMORY // CLIENTS_DIVISOR)
            self.assertGreater(budget.evictions, 0)
            self.assertEqual(len(live.call("f").body), BODY)

    def test_a_request_is_not_held_until_its_answer(self):
        """Guards against bodies and headers that count nowhere, of requests that wait for their answers."""
        with Live() as live:
            api, handled = live.front.api, []
            with mock.patch.object(api, "handle", handled.append):
                self.connect(live, b"GET /v1/calls/x HTTP/1.1\r\nHost: a\r\nPrefer: wait=10\r\n"
                             b"Content-Length: %d\r\n\r\n" % BODY + bytes(BODY))
                until(lambda: handled)
                until(lambda: not live.front.timeout_monitor.memory_budget.used)
            self.assertEqual((handled[0].body, handled[0].headers, handled[0].path), (b"", {}, ""))

    def test_a_closed_connection_is_released_without_a_garbage_collection(self):
        """Guards against what was read on a connection that its parser holds until the next full collection."""
        with Live() as live:
            gc.disable()
            self.addCleanup(gc.enable)
            sock = self.connect(live, request(bytes(BODY - 1)))
            until(lambda: any(each.held_bytes() > BODY for each in live.front.timeout_monitor.connections))
            connection = weakref.ref(next(iter(live.front.timeout_monitor.connections)))
            sock.close()
            until(lambda: connection() is None)

    def test_an_answer_that_comes_after_the_end_of_its_connection_counts_nowhere(self):
        """Guards against connections that the budget would hold, with their answers, for good."""
        with Live() as live:
            budget = live.front.timeout_monitor.memory_budget
            exchanges = []
            with mock.patch.object(live.front.api, "handle", exchanges.append):
                sock = self.connect(live, request(bytes(1000), 1000) + request(bytes(10)))
                until(lambda: exchanges and budget.used)
                sock.close()
                until(lambda: not live.front.timeout_monitor.connections)
            exchanges[0].respond(Response(200, [], bytes(BODY)))
            self.assertEqual((budget.used, budget.recorded), (0, {}))

    def test_large_bodies_of_calls_under_way_leave_room_for_small_ones(self):
        """Guards against calls under way that are bounded in number, whatever the length of their bodies."""
        worker = ScriptedWorker("w9", lambda worker, sock, frames: list(frames))
        with Live(workers=0, memory_bytes=MEMORY) as live:
            live.extra.append(worker)
            live.list("w9", worker.address)
            until(lambda: "w9" in live.front.links and live.front.links["w9"].up)
            held = live.front.api.admitted_bytes
            held.take("others", held.limit - 4 * BODY)          # a call may take an eighth of what is free
            refused = live.call("f", bytes(BODY))
            self.assertEqual((refused.status, json.loads(refused.body)["title"]), (503, "memory short"))
            taken = held.used
            self.connect(live, request(b"x" * 1000, 1000))
            until(lambda: held.used == taken + 1000)
            live.front.api.admitted_bytes.release("others")

    def test_a_long_name_of_a_tenant_is_refused(self):
        """Guards against names as long as all headers may be, that each call under way holds."""
        with Live() as live:
            self.assertEqual([live.call("f", Tenant="t" * length).status for length in (256, 257)], [200, 400])

    def test_bytes_of_a_call_count_until_it_is_answered_or_its_client_is_gone(self):
        with Live(memory_bytes=MEMORY) as live:
            self.assertEqual(live.call("f", bytes(1000)).status, 200)
            live.call("f", bytes(1000), Prefer="respond-async")
            sock = self.connect(live, request(bytes(1000), 1000))
            until(lambda: live.front.api.admitted_bytes.used)
            sock.close()
            until(lambda: not live.front.api.admitted_bytes.used and not live.front.api.admitted_bytes.taken)

    def test_half_sent_frames_of_many_workers_stay_within_the_memory(self):
        """Guards against frames of workers that are bounded for each link and not in all."""
        def send_half(worker, sock, frames):
            sock.sendall(encode("result", id=1, body=bytes(BODY))[:-1])
            gevent.sleep(60)
        workers = [ScriptedWorker(f"b{number}", send_half) for number in range(20)]
        with Live(memory_bytes=MEMORY) as live:
            budget = live.front.worker_budget
            live.extra += workers
            for number, worker in enumerate(workers):
                live.list(f"b{number}", worker.address)
            until(lambda: budget.evictions)
            until(lambda: any(fields for event, fields in live.log.events if event == "list-applied"))
            self.assertLessEqual(budget.used, MEMORY // WORKERS_DIVISOR)
            self.assertEqual(live.call("f").status, 200)
            links = [live.front.links[f"w{number}"] for number in range(2)]
            self.assertTrue(all(link.up for link in links))

    def test_a_link_that_broke_holds_no_frame_in_part(self):
        """Guards against half frames that a link holds, uncounted, until it is connected again."""
        def send_half(worker, sock, frames):
            sock.sendall(encode("result", id=1, body=bytes(BODY))[:-1])
            gevent.sleep(60)
        worker = ScriptedWorker("w9", send_half)
        with Live() as live:
            live.extra.append(worker)
            live.list("w9", worker.address)
            until(lambda: "w9" in live.front.links and live.front.links["w9"].held_bytes() > BODY)
            worker.sock.close()
            worker.open[0].shutdown(socket.SHUT_RDWR)
            until(lambda: not live.front.links["w9"].up)
            self.assertEqual(live.front.links["w9"].held_bytes(), 0)

    def check_nothing_is_held(self, sock, frame, is_handled):
        """Sends a frame of BODY bytes and more, and checks that it is gone once it is handled."""
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        sock.sendall(frame)
        until(is_handled)
        self.assertLess(tracemalloc.get_traced_memory()[0] - before, BODY // 2)

    def test_a_peer_s_message_is_not_held_until_the_next_one(self):
        """Guards against the last message of each peer, up to a snapshot, that waits for more to arrive."""
        peers = tuple(Peer(name, Address("127.0.0.1", free_port()), True) for name in ("a", "b"))
        messages = []
        owner = mock.Mock(on_message=lambda name, life, kind, fields: messages.append(kind))
        listener = PeerListener(PeersConfig(peers, mock.Mock(), Timing(), SECOND), "a", 1, "digest", owner)
        listener.start()
        self.addCleanup(listener.stop)
        with closing(socket.create_connection(tuple(peers[0].address)[:2])) as sock:
            sock.sendall(encode("hello", version=VERSION, name="b", to="a", life=1, voters="digest"))
            until(lambda: listener.connections)
            frame = encode("record", hear="x", say={"data": bytes(BODY)})
            with mock.patch("threadshift.peers.link.validate_message", lambda kind, say: say):
                self.check_nothing_is_held(sock, frame, lambda: messages)

    def test_a_list_of_the_feed_is_not_held_until_the_next_one(self):
        """Guards against the last list of workers that waits for a change of them."""
        lists = []
        feed = Server()
        self.addCleanup(feed.stop)
        feed.converse = lambda sock: gevent.sleep(60)
        listener = mock.Mock(on_list=lambda entries, full: lists.append(len(entries)))
        source = FeedSource(feed.address, "f", mock.Mock(connect=SECOND, frame=2 << 20), listener, lambda: 0.5)
        running = gevent.spawn(source.run)
        self.addCleanup(running.kill)
        until(lambda: feed.open)
        workers = [{"worker": f"w{number}", "address": "127.0.0.1:1", "zone": "z" * 200} for number in range(5000)]
        self.check_nothing_is_held(feed.open[0], encode("list", generation=1, workers=workers), lambda: lists)

    def test_whoever_has_not_said_who_it_is_makes_a_peer_hold_little(self):
        """Guards against strangers that each announce a frame as long as a snapshot and send it but for its end."""
        peers = tuple(Peer(name, Address("127.0.0.1", free_port()), True) for name in ("a", "b"))
        owner = mock.Mock()
        listener = PeerListener(PeersConfig(peers, mock.Mock(), Timing(), SECOND), "a", 1, "digest", owner)
        listener.start()
        self.addCleanup(listener.stop)
        with closing(socket.create_connection(tuple(peers[0].address)[:2])) as sock:
            sock.sendall(encode("hello", version=VERSION, name="b", padding="x" * MAX_HELLO_SIZE)[:MAX_HELLO_SIZE])
            sock.settimeout(5)
            self.assertIn(b"refused", sock.recv(65536))


class Limits(unittest.TestCase):
    def test_the_least_limit_of_control_groups_counts(self):
        folders = {"/sys/fs/cgroup/a/b": "max", "/sys/fs/cgroup/a": str(64 << 20)}

        def read_text(path):
            if str(path) == "/proc/self/cgroup":
                return "0::/a/b\n"
            if str(path.parent) in folders:
                return folders[str(path.parent)] + "\n"
            raise FileNotFoundError
        with mock.patch.object(memory_limit.Path, "read_text", read_text):
            self.assertEqual(memory_limit.memory_limit(), 64 << 20)
        self.assertGreater(memory_limit.memory_limit(), 64 << 20)

    def test_a_call_takes_no_more_than_a_part_of_what_is_free(self):
        held = AdmittedBytes(800)
        held.take("a", 100)
        self.assertEqual([held.has_room(size) for size in (300, 301)], [True, False])
        held.take("b", 300)
        self.assertEqual([held.has_room(size) for size in (50, 51)], [True, False])
        held.take("c", 380)
        self.assertEqual([held.has_room(size) for size in (2, 3)], [True, False])
        for call in ("a", "a", "b", "c"):
            held.release(call)
        self.assertEqual(held.used, 0)

    def test_a_call_alone_is_admitted_whatever_its_length(self):
        """Guards against bodies within the configured bound that a small process refuses for ever."""
        held = AdmittedBytes(800)
        self.assertTrue(held.has_room(1000))
        held.take("a", 1000)
        self.assertFalse(held.has_room(1))


if __name__ == "__main__":
    unittest.main()
