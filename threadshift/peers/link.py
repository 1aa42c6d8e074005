"""Connections between front ends, over the frames and the connection code of links/.

Messages to a peer go over a connection that this process dialled, messages from the peer over one that the peer
dialled; so a network fault in one direction affects one direction of messages only. What a full buffer does not take
at once is dropped, and the consensus protocol sends it again."""
from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from threadshift.conf.peering import Peer, PeersConfig
from threadshift.interface import MS, SECOND
from threadshift.links.codec import VERSION, Frame, FrameDecoder, ProtocolError, encode
from threadshift.links.outbox import Outbox
from threadshift.links.redial import ReconnectBackoff
from threadshift.links.sockets import READ_SIZE, accept_connections, connect, listener, read_chunks, write_out
from threadshift.peers.messages import validate_message

MAX_BUFFERED = 8 << 20     # bytes waiting for one peer: two snapshots
MAX_FRAME_SIZE = 8 << 20   # bytes: a snapshot
MAX_HELLO_SIZE = 16 << 10  # bytes of a first frame: whoever has not said who it is makes nobody hold more
CONNECT_TIMEOUT = SECOND
WRITE_TIMEOUT = 2 * SECOND         # a peer that takes no byte for so long is dialled again
# an incoming connection without data for so long is closed; heartbeats come each second
IDLE_TIMEOUT = 20 * SECOND
MAX_REDIAL_PAUSE = 500 * MS        # a peer that returns is reached within this


class PeerLinkOwner(Protocol):
    """Receives what peers send."""

    def on_message(self, name: str, life: int, kind: str, fields: dict[str, Any]) -> None: ...
    def on_contact(self, name: str, life: int) -> None: ...
    def answer_query(self, name: str, what: str, fields: dict[str, Any]) -> dict[str, Any]: ...
    def note(self, event: str, **fields: Any) -> None: ...


class PeerLink:
    """The connection to one peer. Its greenlets are started by the first message and ended by stop()."""

    def __init__(self, peer: Peer, hello: dict[str, Any], owner: PeerLinkOwner, chance: Callable[[], float]):
        self.peer, self.hello, self.owner = peer, hello, owner
        self.outbox = Outbox(MAX_BUFFERED)
        self.backoff = ReconnectBackoff(chance, MAX_REDIAL_PAUSE)
        self.wake = Event()
        self.pending_queries: dict[int, AsyncResult] = {}
        self.next_query_id = count(1).__next__
        self.is_up = self.stopped = False
        self.problem = ""
        self.greenlet: gevent.Greenlet | None = None

    def send_message(self, kind: str, fields: dict[str, Any]) -> None:
        """Sends a consensus message. While the link is down it is dropped: the protocol sends a newer one later."""
        self.start()
        if self.is_up and self.outbox.put(None, encode("record", hear=kind, say=fields)):
            self.wake.set()

    def query(self, what: str, fields: dict[str, Any], limit: int) -> dict[str, Any] | None:
        """Waits at most `limit` ns for the reply; None if there was none."""
        self.start()
        id_, result = self.next_query_id(), AsyncResult()
        self.pending_queries[id_] = result
        try:
            with gevent.Timeout(limit / SECOND, False):
                while not self.is_up:
                    gevent.sleep(0.01)
                if self.outbox.put(None, encode("question", id=id_, what=what, say=fields)):
                    self.wake.set()
                    return result.get()
            return None
        finally:
            self.pending_queries.pop(id_, None)

    def start(self) -> None:
        if self.greenlet is None and not self.stopped:
            self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        """Dials the peer again after each loss of the connection."""
        while not self.stopped:
            sock, writer, problem_text = None, None, ""
            try:
                sock = connect(self.peer.address, CONNECT_TIMEOUT)
                sock.sendall(encode("hello", version=VERSION, name=self.hello["name"], to=self.peer.name,
                                    life=self.hello["life"], voters=self.hello["voters"]))
                frames = FrameDecoder(MAX_FRAME_SIZE)
                writer = gevent.spawn(self.write, sock)
                self.read(sock, frames)
                problem_text = "closed by the peer"
            except (OSError, ProtocolError) as problem:
                problem_text = str(problem) or type(problem).__name__
            finally:
                was_up, self.is_up = self.is_up, False
                if writer is not None:
                    writer.kill()
                if sock is not None:
                    sock.close()
                self.outbox.clear()
            if was_up or problem_text != self.problem:
                self.owner.note("peer-lost", peer=self.peer.name, problem=problem_text)
            self.problem = problem_text
            gevent.sleep(max(0, self.backoff.on_disconnected(time.monotonic_ns()) - time.monotonic_ns()) / SECOND)

    def read(self, sock: socket.socket, frames: FrameDecoder) -> None:
        """Reads the peer's hello, then its replies to queries, until the connection is closed."""
        sock.settimeout(CONNECT_TIMEOUT / SECOND)
        for data in read_chunks(sock, READ_SIZE):
            self.handle_frames(sock, frames.feed(data))

    def handle_frames(self, sock: socket.socket, frames: list[Frame]) -> None:
        """Handles frames that were read together. They are referred to in here alone, not while more is awaited."""
        for frame in frames:
            kind = frame["kind"]
            if kind == "refused":
                raise ProtocolError(frame["reason"][:200])
            if kind == "hello":
                if frame["name"] != self.peer.name:
                    raise ProtocolError(f"{self.peer.name} was dialled, and {frame['name'][:64]!r} answers")
                self.is_up, self.problem = True, ""
                self.backoff.on_connected(time.monotonic_ns())
                self.wake.set()
                sock.settimeout(None)       # the consensus protocol detects silence, by missing heartbeats
            elif kind == "reply":
                if (result := self.pending_queries.get(frame["id"])) is not None:
                    result.set(frame["say"])
            else:
                raise ProtocolError(f"'{kind}' is no reply")

    def write(self, sock: socket.socket) -> None:
        try:
            while True:
                if self.is_up:
                    write_out(sock, self.outbox, WRITE_TIMEOUT)
                self.wake.clear()
                if not self.wake.wait(IDLE_TIMEOUT / 4 / SECOND) and self.is_up:
                    self.outbox.put(None, encode("ping"))       # a non-voter has no other messages for most peers
        except OSError:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        self.stopped = True
        if self.greenlet is not None:
            self.greenlet.kill()


class PeerListener:
    """Accepts the connections of peers. Front ends outside the configuration are refused."""

    def __init__(self, peering: PeersConfig, name: str, life: int, digest: str, owner: PeerLinkOwner):
        self.peering, self.name, self.life, self.digest, self.owner = peering, name, life, digest, owner
        self.peers = {each.name: each for each in peering.peers if each.name != name}
        self.connections: dict[str, socket.socket] = {}     # by name: the newest connection of each peer
        self.greenlets: set[gevent.Greenlet] = set()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Raises OSError."""
        own_entry = self.peering.peer(self.name)
        assert own_entry is not None
        self.sock = listener(own_entry.address, shared=False)
        self.spawn(self.accept)

    def spawn(self, function: Callable[..., None], *arguments: Any) -> None:
        greenlet = gevent.spawn(function, *arguments)
        self.greenlets.add(greenlet)
        greenlet.link(self.greenlets.discard)

    def accept(self) -> None:
        assert self.sock is not None
        for sock in accept_connections(self.sock, self.owner.note):
            if len(self.greenlets) > 4 * len(self.peers) + 16:
                sock.close()
                continue
            self.spawn(self.serve_connection, sock)

    def serve_connection(self, sock: socket.socket) -> None:
        name, frames, life = "", FrameDecoder(MAX_HELLO_SIZE), 0
        try:
            sock.settimeout(IDLE_TIMEOUT / SECOND)
            for data in read_chunks(sock, READ_SIZE):
                received = deque(frames.feed(data))
                if received and not name:
                    name, life = self.handshake(sock, received.popleft())
                    frames.max_length = MAX_FRAME_SIZE
                while received:
                    self.handle_frame(sock, name, life, received.popleft())
        except ProtocolError as problem:
            self.owner.note("peer-refused", peer=name, problem=str(problem))
            with suppress(OSError):
                sock.settimeout(0)
                sock.send(encode("refused", reason=str(problem)[:1000]))
        except OSError:
            pass                    # the peer dials again
        finally:
            if self.connections.get(name) is sock:
                del self.connections[name]
            sock.close()

    def handle_frame(self, sock: socket.socket, name: str, life: int, frame: Frame) -> None:
        """Handles one frame of a peer that has said who it is. It is referred to in here alone."""
        if frame["kind"] == "record":
            self.owner.on_message(name, life, frame["hear"], validate_message(frame["hear"], frame["say"]))
        elif frame["kind"] == "question":
            self.answer_query(sock, name, frame)
        elif frame["kind"] == "ping":
            self.owner.on_contact(name, life)
        else:
            raise ProtocolError(f"'{frame['kind']}' is not allowed from a peer")

    def handshake(self, sock: socket.socket, frame: Frame) -> tuple[str, int]:
        """Checks and answers the peer's hello; returns its name and the life of its process. Raises ProtocolError."""
        if frame["kind"] != "hello" or frame["version"] != VERSION:
            raise ProtocolError("the first frame of a peer must be a hello in version 1")
        name, life = frame["name"], frame.get("life")
        if name not in self.peers:
            raise ProtocolError(f"{name[:64]!r} is no front end of this installation's configuration")
        if frame.get("to") != self.name:
            raise ProtocolError(f"this is {self.name}, and {str(frame.get('to'))[:64]!r} was dialled")
        if not isinstance(life, int) or life < 0:
            raise ProtocolError("hello: 'life' is not a valid time")
        if frame.get("voters") != self.digest:
            raise ProtocolError("its configuration names other voters, so it cannot share the replicated log")
        before = self.connections.get(name)
        if before is not None:
            with suppress(OSError):         # of an earlier process of the peer, or already closed
                before.shutdown(socket.SHUT_RDWR)
        self.connections[name] = sock
        sock.sendall(encode("hello", version=VERSION, name=self.name, life=self.life))
        return name, life

    def answer_query(self, sock: socket.socket, name: str, frame: Frame) -> None:
        reply = self.owner.answer_query(name, frame["what"], frame["say"])
        sock.sendall(encode("reply", id=frame["id"], say=reply))

    def stop(self) -> None:
        if self.sock is not None:
            self.sock.close()
        gevent.killall(list(self.greenlets))
