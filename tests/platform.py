"""A platform front end with test doubles in one process: clients, workers that speak frames, a coordinator."""
import json

import gevent
from gevent import socket
from gevent.event import Event

from tests.live import ANY, Server, RecordingLog, free_port, until
from threadshift.conf.values import Address
from threadshift.fastcgi import codec
from threadshift.fastcgi.codec import (
    ABORT, BEGIN, BEGIN_BODY, END, KEEP, PARAMS, RESPONDER, STDIN, STDOUT, record, stream)
from threadshift.frames.codec import FROM_FRONT_END, FROM_WORKER, INVOKE, LOAD, OK, FrameDecoder, encode
from threadshift.node.front import Node
from threadshift.node.front_end_config import parse_config

LANES = [dict(name="check", aim=280.0, giveUp=1000.0, effect="safe", worth=1.0, lateValue=0.3),
         dict(name="submit", aim=240.0, giveUp=940.0, effect="unsafe", worth=2.0, lateValue=0.3)]
SETTINGS = {
    "lanes": LANES, "peersTotal": 1, "tick": 1.0, "zone": "a", "orgs": [],
    "limits": {"maxAttempts": 4, "cancel": True, "retryAfter": True, "maxRetryAfter": 1000.0, "streamsPerConn": 32,
               "connectTimeout": 250.0, "connIdle": 30000.0},
    "familyInfo": {"placementCalls": True, "loadFree": 6.0, "loadRatio": 0.2, "loadWindow": 5000.0,
                   "loadWait": 4000.0, "notLoaded": "load", "staysLoaded": 4750.0},
    "rules": {"drainGrace": 1000.0, "coldShare": 0.2, "cold": 17000.0, "fallMultiple": 2.0, "overloadFor": 1000.0}}


def configuration(**changes):
    """The content of a front end's configuration file, with these top-level keys changed."""
    return {"name": "n0", "listen": "127.0.0.1:1", "seed": "0f", "coordinator": "127.0.0.1:1",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256}, "known": {"index": 0, "updates": []},
            "settings": json.loads(json.dumps(SETTINGS))} | changes


def instance(name, address, state="Ready", **facts):
    """One worker as the coordinator lists it."""
    return {"instanceId": name, "hostPort": str(address), "lifecycle": state, "zone": "a", "cell": 0, "weight": 1.0,
            "startedAtMs": 0} | facts


def event(index, *instances, full=False):
    """One update of the worker list; `full` replaces the whole list."""
    return {"index": index, "endpoints": {"generation": index, "reset": full, "instances": list(instances)}}


def serve(worker, sock, frame):
    """The script of a worker that has every function loaded: answers invocations and load orders."""
    if frame.code == INVOKE:
        sock.sendall(encode(OK, frame.id, "how=reused", b"did " + frame.body, FROM_WORKER))
    elif frame.code == LOAD:
        sock.sendall(encode(OK, frame.id, "n=1", sender=FROM_WORKER))


class Worker(Server):
    """A worker whose script is called with each frame that it receives."""

    def __init__(self, script=serve, address=ANY):
        super().__init__(address)
        self.script, self.received, self.news = script, [], Event()

    def converse(self, sock):
        frames = FrameDecoder(1 << 20, FROM_FRONT_END)
        while data := sock.recv(65536):
            for frame in frames.feed(data):
                self.received.append(frame)
                self.script(self, sock, frame)

    def frames_with(self, code):
        """The received frames with this code."""
        return [frame for frame in self.received if frame.code == code]


class Coordinator(Server):
    """Serves the event stream: `events` on connecting, then each event given to publish().

    While it `is_silent`, no keepalive comments are sent. While `answering` is not set, requests are read and not
    answered."""

    def __init__(self, events=(), address=ANY):
        super().__init__(address)
        self.events, self.last_event_ids, self.is_silent = list(events), [], False
        self.answering = Event()
        self.answering.set()

    def converse(self, sock):
        header = b""
        while b"\r\n\r\n" not in header:
            data = sock.recv(65536)
            if not data:
                return
            header += data
        last_event_id = next(int(line.split(b":")[1]) for line in header.split(b"\r\n")
                             if line.lower().startswith(b"last-event-id"))
        self.last_event_ids.append(last_event_id)
        self.answering.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        for each in self.events:
            if each["index"] > last_event_id:
                sock.sendall(self.encoded(each))
        while not self.is_silent:
            sock.sendall(b": alive\n\n")
            gevent.sleep(0.2)
        gevent.sleep(60)

    @staticmethod
    def encoded(update):
        return f"id: {update['index']}\ndata: {json.dumps(update)}\n\n".encode()

    def publish(self, update):
        """Sends an event on every open connection, and to those that connect later."""
        self.events.append(update)
        for sock in self.open:
            try:
                sock.sendall(self.encoded(update))
            except OSError:
                pass


class Client:
    """A web server in front of the platform: one connection with multiplexed requests, each with its FastCGI id."""

    def __init__(self, address):
        self.sock = socket.create_connection(tuple(address)[:2])
        self.sock.settimeout(5)
        self.records, self.parts, self.ended = codec.Records(), {}, {}

    def send(self, data):
        self.sock.sendall(data)

    def ask(self, number=1, id_="00000000000000a1", body=b"x", type_="check", left="900", item="00000000000000f1",
            **more):
        """Sends one whole request."""
        self.send(request(number, id_, body, type_, left, item, **more))

    def answer(self, number=1):
        """(status, headers, body) of the next answer to this request; None where the connection ends first."""
        while number not in self.ended:
            data = self.sock.recv(65536)
            if not data:
                return None
            for kind, id_, content in self.records.feed(data):
                if kind == STDOUT:
                    self.parts[id_] = self.parts.get(id_, b"") + content
                elif kind == END:
                    self.ended[id_] = self.parts.pop(id_, b""), content[4]
        content, status = self.ended.pop(number)
        if status:
            return status, {}, b""
        head, _, body = content.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n"))
        return int(headers.pop("Status").split()[0]), headers, body

    def alive(self, number=1):
        """The answer to a health check."""
        self.send(begin(number) + params(number, {"SCRIPT_NAME": "/alive"}) + stream(STDIN, number, b""))
        return self.answer(number)

    def abort(self, number=1):
        self.send(record(ABORT, number))

    def silent(self, seconds=0.2):
        """Whether nothing is received for a while."""
        self.sock.settimeout(seconds)
        try:
            return not self.sock.recv(1)
        except TimeoutError:
            return True
        finally:
            self.sock.settimeout(5)

    def closed(self, seconds=3.0):
        """Whether the other side closes in time, whatever it sends before."""
        self.sock.settimeout(seconds)
        try:
            while self.sock.recv(65536):
                pass
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    def close(self):
        self.sock.close()


def begin(number=1, role=RESPONDER, flags=KEEP):
    return record(BEGIN, number, BEGIN_BODY.pack(role, flags))


def params(number, parameters):
    content = b"".join(codec.pair(name.encode(), value.encode("latin-1")) for name, value in parameters.items())
    return stream(PARAMS, number, content)


def request(number=1, id_="00000000000000a1", body=b"x", type_="check", left="900", item="00000000000000f1", **more):
    """The records of one whole request; a parameter that is None is left out."""
    parameters = {"SCRIPT_NAME": f"/ops/{type_}", "HTTP_X_JOB_ID": id_, "HTTP_X_ALLOW_MS": left, "HTTP_X_ITEM": item,
                  "HTTP_X_SIZE_MS": "8.2", "HTTP_X_SPEC": "memory_mb:512;lanes:2", **more}
    parameters = {name: value for name, value in parameters.items() if value is not None}
    return begin(number) + params(number, parameters) + stream(STDIN, number, body)


class Platform:
    """A running front end as a context manager, which ends everything that it started.

    Where the coordinator is not `answering`, the context is entered as soon as the links are up."""

    def __init__(self, scripts=(serve,), answering=True, **changes):
        self.workers = [Worker(script) for script in scripts]
        self.coordinator = Coordinator([event(1, *(
            instance(f"s-{n}", worker.address) for n, worker in enumerate(self.workers)), full=True)])
        if not answering:
            self.coordinator.answering.clear()
            changes["known"] = {"index": 1, "updates": list(self.coordinator.events)}
        self.log = RecordingLog()
        self.address = Address("127.0.0.1", free_port())
        self.config = parse_config(configuration(listen=str(self.address), coordinator=str(self.coordinator.address),
                                                 **changes), {}, "test")
        self.environment = {}
        self.node = Node(self.config, self.environment, self.log)
        self.running, self.clients, self.extra = None, [], []

    def __enter__(self):
        self.running = gevent.spawn(self.node.run)
        until(lambda: self.node.links and all(link.up for link in self.node.links.values()) or (
            not self.workers and self.node.listening_socket))
        until(lambda: not self.coordinator.answering.is_set() or not self.node.list_is_stale())
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.close()
        self.node.shutdown.requested_at = 1     # so long ago that no requests are waited for
        self.running.join(10)
        for server in [self.coordinator, *self.workers, *self.extra]:
            server.stop()

    def client(self):
        client = Client(self.address)
        self.clients.append(client)
        return client

    def call(self, **facts):
        """The answer to one request on a new connection."""
        client = self.client()
        client.ask(**facts)
        return client.answer()
