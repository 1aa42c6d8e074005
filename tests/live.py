"""A gateway with its stand-ins in one process, on loopback ports of the system's choice."""
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
from threadshift.standins.rig import free_ports
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
functions submit-* {{
    type submit
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


class Silent:
    """A log that keeps its events for tests to look at."""

    def __init__(self):
        self.events, self.news = [], Event()

    def is_enabled(self, level):
        return True

    def note(self, event, level="info", **fields):
        self.events.append((event, fields))
        self.news.set()
        self.news.clear()

    def tick(self, now):
        pass

    def of(self, event):
        return [fields for name, fields in self.events if name == event]

    def close(self):
        pass


def until(true, seconds=5.0):
    """Waits until true() holds; an assertion that it does in time."""
    with gevent.Timeout(seconds, AssertionError(f"not within {seconds} s")):
        while not true():
            gevent.sleep(0.002)


class Live:
    """Started with `with`; everything it started is ended with it."""

    def __init__(self, workers=2, fleet="", bounds="", load_ms=20, work_ms=2, records=None, host="127.0.0.1",
                 extra="", **machine):
        self.log, self.records = Silent(), records
        self.feed = RosterFeed(ANY, self.record("roster"))
        self.store = PackStore(ANY, 8, work_ms, 100, load_ms, Record(None))
        self.feed.start()
        self.store.start()
        self.workers = {}
        for n in range(workers):
            self.worker(f"w{n}", **machine)
        self.port = free_port()
        self.host = host
        self.told = read_text(CONF.format(host=host, port=self.port, feed=self.feed.address, fleet=fleet,
                                          bounds=bounds, extra=extra))
        self.front = FrontEnd(self.told, 0, self.log, seed=1)
        self.running = None
        self.extra = []

    def record(self, name):
        return Record(f"{self.records}/{name}.jsonl" if self.records else None)

    def worker(self, name, **machine):
        it = self.workers[name] = Worker(ANY, Machine(name, **machine), self.store.address, self.record(name))
        it.start()
        self.list(name, it.address)
        return it

    def list(self, name, at):
        self.feed.obey(["worker", name, str(at)])

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
        """What the gateway answers to these bytes, until it closes or falls silent."""
        with socket.create_connection(("127.0.0.1", self.port)) as sock:
            sock.sendall(data)
            if close:
                sock.shutdown(socket.SHUT_WR)
            sock.settimeout(1.5)
            got = b""
            try:
                while more := sock.recv(65536):
                    got += more
            except TimeoutError:
                pass
            return got


class Server:
    """Accepts at a port of the system's choice; each connection is played by converse()."""

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


class Scripted(Server):
    """A worker played by a test: says hello, then does with each connection what the script says."""

    def __init__(self, name, script, hello=True):
        super().__init__()
        self.name, self.script, self.hello, self.heard = name, script, hello, []

    def converse(self, sock):
        if self.hello:
            sock.sendall(encode("hello", version=VERSION, name=self.name, started=1))
        self.script(self, sock, self.frames(sock))

    def frames(self, sock):
        cut = FrameDecoder(1 << 20)
        while data := sock.recv(65536):
            for frame in cut.feed(data):
                self.heard.append(frame["kind"])
                yield frame


