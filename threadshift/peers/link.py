"""Connections between front ends, over the frames and the connection code of links/.

What we say to a peer goes over a connection that we dialled, what it says to us over one that it did; so a way that
is cut is cut for one direction of speech. Nothing here decides; what is not taken at once by a full buffer is
dropped, and the record asks again."""
from __future__ import annotations

import time
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
from threadshift.links.sockets import READ_SIZE, accept_connections, connect, listener, write_out
from threadshift.peers.words import checked

BUFFER = 8 << 20           # bytes waiting for one peer: two snapshots
LONGEST = 8 << 20          # bytes of a frame: a snapshot
CONNECT = SECOND
WRITE = 2 * SECOND         # a peer that takes no byte for so long is dialled anew
# an incoming connection on which nothing comes for so long is ended; beats come each second
QUIET = 20 * SECOND
MOST_REDIAL = 500 * MS     # a peer that returns is found within this


class Owner(Protocol):
    """Who hears peers."""

    def heard(self, name: str, life: int, hear: str, say: dict[str, Any]) -> None: ...
    def alive(self, name: str, life: int) -> None: ...
    def questioned(self, name: str, what: str, say: dict[str, Any]) -> dict[str, Any]: ...
    def note(self, event: str, **fields: Any) -> None: ...


class PeerLink:
    """What we say to one peer. Its greenlets are started with the first word and ended by stop()."""

    def __init__(self, peer: Peer, hello: dict[str, Any], owner: Owner, chance: Callable[[], float]):
        self.peer, self.hello, self.owner = peer, hello, owner
        self.outbox = Outbox(BUFFER)
        self.backoff = ReconnectBackoff(chance, MOST_REDIAL)
        self.wake = Event()
        self.asked: dict[int, AsyncResult] = {}
        self.number = count(1).__next__
        self.up = self.stopped = False
        self.problem = ""
        self.greenlet: gevent.Greenlet | None = None

    def say(self, hear: str, fields: dict[str, Any]) -> None:
        """A message of the record. While the link is down it is dropped: the record says it again, newer."""
        self.start()
        if self.up and self.outbox.put(None, encode("record", hear=hear, say=fields)):
            self.wake.set()

    def ask(self, what: str, fields: dict[str, Any], limit: int) -> dict[str, Any] | None:
        """Waits at most `limit` ns for the reply; None where none came."""
        self.start()
        id_, result = self.number(), AsyncResult()
        self.asked[id_] = result
        try:
            with gevent.Timeout(limit / SECOND, False):
                while not self.up:
                    gevent.sleep(0.01)
                if self.outbox.put(None, encode("question", id=id_, what=what, say=fields)):
                    self.wake.set()
                    return result.get()
            return None
        finally:
            self.asked.pop(id_, None)

    def start(self) -> None:
        if self.greenlet is None and not self.stopped:
            self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while not self.stopped:
            sock, writer, said = None, None, ""
            try:
                sock = connect(self.peer.address, CONNECT)
                sock.sendall(encode("hello", version=VERSION, name=self.hello["name"], to=self.peer.name,
                                    life=self.hello["life"], voters=self.hello["voters"]))
                frames = FrameDecoder(LONGEST)
                writer = gevent.spawn(self.write, sock)
                self.read(sock, frames)
                said = "closed by the peer"
            except (OSError, ProtocolError) as problem:
                said = str(problem) or type(problem).__name__
            finally:
                was, self.up = self.up, False
                if writer is not None:
                    writer.kill()
                if sock is not None:
                    sock.close()
                self.outbox.clear()
            if was or said != self.problem:
                self.owner.note("peer-lost", peer=self.peer.name, problem=said)
            self.problem = said
            gevent.sleep(max(0, self.backoff.on_disconnected(time.monotonic_ns()) - time.monotonic_ns()) / SECOND)

    def read(self, sock: socket.socket, frames: FrameDecoder) -> None:
        """The peer's hello, then replies."""
        sock.settimeout(CONNECT / SECOND)
        while data := sock.recv(READ_SIZE):
            for frame in frames.feed(data):
                kind = frame["kind"]
                if kind == "refused":
                    raise ProtocolError(frame["reason"][:200])
                if kind == "hello":
                    if frame["name"] != self.peer.name:
                        raise ProtocolError(f"this is {self.peer.name}'s address, and {frame['name'][:64]!r} answers")
                    self.up, self.problem = True, ""
                    self.backoff.on_connected(time.monotonic_ns())
                    self.wake.set()
                    sock.settimeout(None)       # silence is judged where beats are, not here
                elif kind == "reply":
                    if (waits := self.asked.get(frame["id"])) is not None:
                        waits.set(frame["say"])
                else:
                    raise ProtocolError(f"'{kind}' is no reply")

    def write(self, sock: socket.socket) -> None:
        try:
            while True:
                if self.up:
                    write_out(sock, self.outbox, WRITE)
                self.wake.clear()
                if not self.wake.wait(QUIET / 4 / SECOND) and self.up:
                    self.outbox.put(None, encode("ping"))       # who only follows says nothing to most others
        except OSError:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        self.stopped = True
        if self.greenlet is not None:
            self.greenlet.kill()


class Door:
    """Where peers say what they have to say to us. Who is not of the configuration is refused."""

    def __init__(self, told: PeersConfig, name: str, life: int, digest: str, owner: Owner):
        self.told, self.name, self.life, self.digest, self.owner = told, name, life, digest, owner
        self.peers = {each.name: each for each in told.peers if each.name != name}
        self.open: dict[str, socket.socket] = {}        # by name: the newest connection of each
        self.greenlets: set[gevent.Greenlet] = set()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Raises OSError."""
        me = self.told.peer(self.name)
        assert me is not None
        self.sock = listener(me.address, shared=False)
        self.spawn(self.accept)

    def spawn(self, act: Callable[..., None], *words: Any) -> None:
        it = gevent.spawn(act, *words)
        self.greenlets.add(it)
        it.link(self.greenlets.discard)

    def accept(self) -> None:
        assert self.sock is not None
        for sock in accept_connections(self.sock, self.owner.note):
            if len(self.greenlets) > 4 * len(self.peers) + 16:
                sock.close()
                continue
            self.spawn(self.converse, sock)

    def converse(self, sock: socket.socket) -> None:
        name, frames, life = "", FrameDecoder(LONGEST), 0
        try:
            sock.settimeout(QUIET / SECOND)
            while data := sock.recv(READ_SIZE):
                for frame in frames.feed(data):
                    if not name:
                        name, life = self.greet(sock, frame)
                    elif frame["kind"] == "record":
                        self.owner.heard(name, life, frame["hear"], checked(frame["hear"], frame["say"]))
                    elif frame["kind"] == "question":
                        self.question(sock, name, frame)
                    elif frame["kind"] == "ping":
                        self.owner.alive(name, life)
                    else:
                        raise ProtocolError(f"'{frame['kind']}' is not for a peer to say")
        except ProtocolError as problem:
            self.owner.note("peer-refused", peer=name, problem=str(problem))
            with suppress(OSError):
                sock.settimeout(0)
                sock.send(encode("refused", reason=str(problem)[:1000]))
        except OSError:
            pass                    # it dials again
        finally:
            if self.open.get(name) is sock:
                del self.open[name]
            sock.close()

    def greet(self, sock: socket.socket, frame: Frame) -> tuple[str, int]:
        """The peer's name and life. Raises ProtocolError."""
        if frame["kind"] != "hello" or frame["version"] != VERSION:
            raise ProtocolError("a peer says hello first, in version 1")
        name, life = frame["name"], frame.get("life")
        if name not in self.peers:
            raise ProtocolError(f"{name[:64]!r} is no front end of this installation's configuration")
        if frame.get("to") != self.name:
            raise ProtocolError(f"this is {self.name}, and {str(frame.get('to'))[:64]!r} was dialled")
        if not isinstance(life, int) or life < 0:
            raise ProtocolError("hello: 'life' is no time")
        if frame.get("voters") != self.digest:
            raise ProtocolError("its configuration names other voters than ours: nothing is held in common with it")
        before = self.open.get(name)
        if before is not None:
            with suppress(OSError):         # an earlier life, or a connection that is gone
                before.shutdown(socket.SHUT_RDWR)
        self.open[name] = sock
        sock.sendall(encode("hello", version=VERSION, name=self.name, life=self.life))
        return name, life

    def question(self, sock: socket.socket, name: str, frame: Frame) -> None:
        reply = self.owner.questioned(name, frame["what"], frame["say"])
        sock.sendall(encode("reply", id=frame["id"], say=reply))

    def stop(self) -> None:
        if self.sock is not None:
            self.sock.close()
        gevent.killall(list(self.greenlets))
