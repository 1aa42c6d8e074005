"""A gateway and its stand-ins in one process, on free loopback ports."""
import select
from contextlib import closing

import gevent
from gevent import socket
from gevent.event import Event

from threadshift.conf.gateway_config import read_text
from threadshift.conf.values import Address, address
from threadshift.gateway.front_end import FrontEnd
from threadshift.invoke.client import Client
from threadshift.links.codec import VERSION, FrameDecoder, encode
from threadshift.links.sockets import listener
from threadshift.standins.common import Record
from threadshift.standins.feed import RosterFeed
from threadshift.standins.ports import free_ports
from threadshift.standins.store import PackStore
from threadshift.standins.worker import Machine, Worker

ANY = Address("127.0.0.1", 0)
CONF = """
listen {host}:{port}
name front-0
roster feed {feed}
type check {{
    target-latency 600ms
    action-timeout 2500ms
    effect repeatable
}}
type submit {{
    target-latency 500ms
    action-timeout 2s
    utility 2
    effect once-only
}}
type file {{
    target-latency 500ms
    action-timeout 8s
    effect deduplicated
    group all
    memory-span 1s
}}
functions submit-* {{
    type submit
}}
functions file-* {{
    type file
}}
functions * {{
    type check
    lanes 2
}}
fleet {{
{fleet}
}}
bounds {{
    keepalive 100ms
{bounds}
}}
{extra}
"""


def free_port():
    return free_ports(1)[0]


class RecordingLog:
    """A log that keeps its events so that tests can check them."""

    def __init__(self):
        self.events, self.has_new = [], Event()

    def is_enabled(self, level):
        return True

    def note(self, event, level="info", **fields):
        self.events.append((event, fields))
        self.has_new.set()
        self.has_new.clear()

    def tick(self, now):
        pass

    def of(self, event):
        return [fields for name, fields in self.events if name == event]

    def close(self):
        pass


def block_process(seconds=0.15):
    """Blocks the whole process for long enough to be noticed as a stall."""
    select.select([], [], [], seconds)


def until(condition, seconds=5.0):
    """Waits until condition() is true; fails if it does not become true in time."""
    with gevent.Timeout(seconds, AssertionError(f"not within {seconds} s")):
        while not condition():
            gevent.sleep(0.002)


class Live:
    """A context manager that runs a gateway, its workers and its other stand-ins, and ends all of them."""

    def __init__(self, workers=2, fleet="", bounds="", load_ms=20, work_ms=2, records=None, host="127.0.0.1",
                 extra="", memory_bytes=None, replaces_running=False, **machine):
        self.log, self.records = RecordingLog(), records
        self.feed = RosterFeed(ANY, self.record("roster"))
        self.store = PackStore(ANY, 8, work_ms, 100, load_ms, Record(None))
        self.feed.start()
        self.store.start()
        self.workers = {}
        for n in range(workers):
            self.worker(f"w{n}", **machine)
        self.port = free_port()
        self.host = host
        self.config = read_text(CONF.format(host=host, port=self.port, feed=self.feed.address, fleet=fleet,
                                            bounds=bounds, extra=extra))
        self.front = FrontEnd(self.config, 0, self.log, seed=1, memory_bytes=memory_bytes,
                              replaces_running=replaces_running)
        self.running = None
        self.extra = []

    def record(self, name):
        return Record(f"{self.records}/{name}.jsonl" if self.records else None)

    def worker(self, name, **machine):
        worker = self.workers[name] = Worker(ANY, Machine(name, **machine), self.store.address, self.record(name))
        worker.start()
        self.list(name, worker.address)
        return worker

    def list(self, name, worker_address):
        self.feed.execute_order(["worker", name, str(worker_address)])

    def __enter__(self):
        self.running = gevent.spawn(self.front.run)
        until(lambda: self.front.links and all(link.up for link in self.front.links.values())
              or not self.workers and self.front.listeners)
        return self

    def __exit__(self, *_):
        self.front.end()
        self.running.join(15)
        for server in [self.feed, self.store, *self.workers.values(), *self.extra]:
            server.stop()

    def client(self):
        return Client(address(f"{self.host}:{self.port}"))

    def call(self, function, body=b"x", **headers):
        with closing(self.client()) as client:
            return client.request("POST", f"/v1/functions/{function}/calls",
                                  {name.replace("_", "-"): value for name, value in headers.items()}, body)

    def raw(self, data, close=False):
        """Returns what the gateway answers to these bytes until it closes the connection or sends nothing more."""
        with socket.create_connection(("127.0.0.1", self.port)) as sock:
            sock.sendall(data)
            if close:
                sock.shutdown(socket.SHUT_WR)
            sock.settimeout(1.5)
            received = b""
            try:
                while chunk := sock.recv(65536):
                    received += chunk
            except TimeoutError:
                pass
            return received


class Server:
    """Accepts connections on a free port; a subclass handles each of them in converse()."""

    def __init__(self, address=ANY):
        self.sock = listener(address, shared=False)
        self.address = Address(*self.sock.getsockname())
        self.open, self.greenlets = [], [gevent.spawn(self.accept)]

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.open.append(sock)
            self.greenlets.append(gevent.spawn(self.play, sock))

    def play(self, sock):
        try:
            self.converse(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def stop(self):
        self.sock.close()
        gevent.killall(self.greenlets)
        for sock in self.open:
            sock.close()


class ScriptedWorker(Server):
    """A worker whose behaviour a test defines: sends hello, then runs the script on each connection."""

    def __init__(self, name, script, hello=True):
        super().__init__()
        self.name, self.script, self.hello, self.received_kinds = name, script, hello, []

    def converse(self, sock):
        if self.hello:
            sock.sendall(encode("hello", version=VERSION, name=self.name, started=1))
        self.script(self, sock, self.frames(sock))

    def frames(self, sock):
        decoder = FrameDecoder(1 << 20)
        while data := sock.recv(65536):
            for frame in decoder.feed(data):
                self.received_kinds.append(frame["kind"])
                yield frame


