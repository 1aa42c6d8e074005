"""Carries the record of one front end: its member, its file, its peers, on one greenlet.

Nothing here decides, and no call waits on it. What the member wants kept is written by a thread, so that an fsync
holds up nothing else; until it is written nothing of what follows is sent or told."""
from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.queue import Empty, Full, Queue

from threadshift.conf.peering import PeersConfig
from threadshift.consensus.book import Book, Machine
from threadshift.consensus.keeper import Keeper
from threadshift.consensus.member import Told
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND
from threadshift.log import exception_fields
from threadshift.peers.hearing import Hearing
from threadshift.peers.link import Door, PeerLink
from threadshift.storage.disk import Disk

TICK = 50 * MS             # of the member's timer: a quarter of a beat, as in the emulator
WAITING = 4_096            # messages that wait for the member; past it they are dropped, and said again
RETRY = 300 * MS           # between two times that an entry is offered: a beat or two
LONGEST_BODY = 64 << 10    # bytes of an entry's body, about
REPROPOSE = 2 * SECOND     # a duty's entry that did not come back is proposed again


class NotHeard(ThreadshiftError):
    """An entry that was not told back in time. It may still come: ask again with the same id."""

    help = "see 'threadshift status --json' for who is heard; without a majority of voters nothing moves"


class TooNew(ThreadshiftError):
    """An entry of a form that not every voter reads yet."""

    help = "finish or roll back the change of programs first"


def now() -> int:
    """ns of a clock that never goes back, and runs on while the machine sleeps: leases hang on it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Follower(Protocol):
    """Who is told what the record says."""

    def told(self, told: Told, changed: bool) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


class Carrier:
    def __init__(self, told: PeersConfig, name: str, machines: Mapping[str, Machine], owner: Follower,
                 chance: Callable[[], float], disk: Disk | None = None,
                 answers: Mapping[str, Callable[[str, dict[str, Any]], dict[str, Any]]] | None = None):
        """`answers` has who answers which of the peers' questions. Raises what opening the file raises."""
        self.told, self.name, self.owner = told, name, owner
        told.folder.mkdir(parents=True, exist_ok=True)
        voters = list(told.voters)
        self.keeper = Keeper(now(), Path(told.folder) / f"{name}.record", name, voters,
                             [each.name for each in told.peers], chance, disk, told.timing)
        self.member = self.keeper.member
        self.book = Book(machines, voters)
        self.answers = {"propose": self.offered, **(answers or {})}
        self.duties: list[Callable[[int], list[dict[str, Any]]]] = []
        self.began: list[Callable[[], None]] = []       # called when we come to hold the right
        life = time.time_ns()
        digest = hashlib.sha256("\n".join(sorted(voters)).encode()).hexdigest()[:16]
        hello = {"name": name, "life": life, "voters": digest}
        self.links = {each.name: PeerLink(each, hello, self, chance) for each in told.peers if each.name != name}
        self.hearing = Hearing(list(self.links))
        self.door = Door(told, name, life, digest, self)
        self.inbox: Queue = Queue(WAITING)
        self.dropped = 0
        self.news = Event()                             # set and renewed with every entry told
        self.catching, self.caught = BoundedSemaphore(1), 0     # caught: when the last one that ended had begun
        self.proposed: dict[str, int] = {}
        self.holding, self.doubt, self.holder = False, "", ""
        self.life, self.serial = life, 0
        self.greenlet: gevent.Greenlet | None = None
        if self.keeper.aside:
            self.note("record-put-aside", level="error", problem=self.keeper.aside,
                      help="none: all of it is learnt again from the other voters; look at the disk")

    def note(self, event: str, **fields: Any) -> None:
        self.owner.note(event, **fields)

    # Running.

    def start(self) -> None:
        """Raises OSError where the peers' address cannot be listened at."""
        self.door.start()
        self.carry()
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            act = None
            try:
                act = self.inbox.get(timeout=TICK / SECOND)
            except Empty:
                pass
            try:
                self.step(act)
            except Exception as fault:      # ours: this member promises nothing more, and calls go on
                self.note("record-fault", level="error", **exception_fields(fault))
                self.member.doubt(f"a fault of ours: {fault!r}"[:300])

    def step(self, act: Callable[[int], None] | None) -> None:
        at = now()
        self.hearing.look(at)
        if act is not None:
            act(at)
        self.member.tick(at)
        self.duty(at)
        self.carry()

    def put(self, act: Callable[[int], None]) -> None:
        try:
            self.inbox.put_nowait(act)
        except Full:
            self.dropped += 1

    def carry(self) -> None:
        """Keep, send, tell; what telling brings the member to is carried as well."""
        while True:
            effects = self.member.take()
            if effects.records and not self.member.doubtful:
                kept = gevent.get_hub().threadpool.apply(self.keeper.keep, (effects,))
            else:
                kept = self.keeper.keep(effects)
            if self.member.doubtful and self.member.doubtful != self.doubt:
                self.doubt = self.member.doubtful
                self.note("record-in-doubt", level="error", problem=self.doubt,
                          help="this front end votes for nobody until it is started again on a disk that holds")
            if not kept:
                continue
            for message in effects.messages:
                if message.to in self.links:
                    self.links[message.to].say(message.kind, message.fields)
            for told in effects.told:
                changed = self.book.apply(told)
                self.owner.told(told, changed)
            if effects.told:
                news, self.news = self.news, Event()
                news.set()
                self.keeper.shorten(self.book.state)
            if not (effects.records or effects.told):
                return

    def duty(self, at: int) -> None:
        """What falls to who holds the right, and only to it: asked at this moment, not remembered."""
        holds = self.member.holds(at)
        if holds != self.holding:
            self.holding = holds
            self.note("record-held" if holds else "record-let-go", term=self.member.term)
            if holds:
                for begin in self.began:
                    begin()
        if self.member.holder and self.member.holder != self.holder:
            self.holder = self.member.holder
            self.note("record-holder", holder=self.holder, term=self.member.term)
        if not holds:
            return
        for duty in self.duties:
            for body in duty(at):
                id_ = body["id"]
                if id_ not in self.book.ids and at - self.proposed.get(id_, -REPROPOSE) >= REPROPOSE:
                    self.proposed[id_] = at
                    self.member.propose(at, body)
        if len(self.proposed) > WAITING:
            self.proposed.clear()

    def leave(self) -> None:
        """In order: whoever holds the right hands it over before it goes."""
        self.put(self.member.hand_over)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        for link in self.links.values():
            link.stop()
        self.door.stop()
        self.keeper.close()

    # What peers say.

    def alive(self, name: str, life: int) -> None:
        if self.hearing.heard(now(), name, life):
            self.note("peer-started-again", peer=name)

    def heard(self, name: str, life: int, hear: str, say: dict[str, Any]) -> None:
        self.alive(name, life)
        self.put(lambda at: getattr(self.member, hear)(at, name, **say))

    def questioned(self, name: str, what: str, say: dict[str, Any]) -> dict[str, Any]:
        answer = self.answers.get(what)
        if answer is None:
            return {"problem": f"no question '{what[:64]}' is answered here"}
        try:
            return answer(name, say)
        except (KeyError, TypeError, ValueError) as problem:
            return {"problem": f"{what}: {problem!r}"[:400]}

    def offered(self, name: str, say: dict[str, Any]) -> dict[str, Any]:
        """A peer's entry, where we hold the right."""
        body = say["body"]
        if not isinstance(body, dict) or not isinstance(body.get("id"), str) or not isinstance(body.get("do"), str):
            raise ValueError("an entry has a 'do' and an 'id'")
        if self.member.holds(now()) and body["id"] not in self.book.ids:
            self.put(lambda at: self.enter(at, body))
        return {"holder": self.member.holder}

    # What this front end asks of the record. Any greenlet may; none that carries a call does.

    def new_id(self, kind: str) -> str:
        self.serial += 1
        return f"{kind}-{self.name}-{self.life:x}-{self.serial}"

    def propose(self, body: dict[str, Any], limit: int) -> Any:
        """Offers an entry until it is told back, at most `limit` ns: what came of it. Raises NotHeard, TooNew."""
        if body.get("form", 1) > self.book.may_write(body["do"]):
            raise TooNew(f"form {body['form']} of '{body['do']}' is not read by every voter yet")
        if len(repr(body)) > LONGEST_BODY:
            raise ValueError("an entry is too long")
        id_, until, again = body["id"], time.monotonic_ns() + limit, 0
        while id_ not in self.book.ids:
            at = time.monotonic_ns()
            if at >= until:
                raise NotHeard(f"entry {id_} was not told back within {limit // MS} ms")
            if at >= again:
                again = at + RETRY
                self.offer(body)
            self.news.wait((min(until, again) - at) / SECOND)
        return self.book.results.get(id_)

    def tell_forms(self, limit: int) -> None:
        """Enters which entries this program reads. Raises NotHeard."""
        self.propose({"do": "reads", "id": self.new_id("reads"), "who": self.name, "forms": self.book.forms}, limit)

    def catch_up(self, limit: int) -> None:
        """Returns once all that the record told anybody before this was asked is applied here: an entry of ours that
        is told back comes after it. All who ask while another catches up wait for one entry. Raises NotHeard."""
        asked = time.monotonic_ns()
        if not self.catching.acquire(timeout=limit / SECOND):
            raise NotHeard(f"the record did not answer others within {limit // MS} ms")
        try:
            if self.caught < asked:
                begun = time.monotonic_ns()
                self.tell_forms(max(0, asked + limit - begun))
                self.caught = begun
        finally:
            self.catching.release()

    def enter(self, at: int, body: dict[str, Any]) -> None:
        if body["id"] not in self.book.ids:
            self.member.propose(at, body)

    def offer(self, body: dict[str, Any]) -> None:
        if self.member.holds(now()):
            self.put(lambda at: self.enter(at, body))
        elif self.member.holder in self.links:
            gevent.spawn(self.links[self.member.holder].ask, "propose", {"body": body}, RETRY)

    def ask_all(self, what: str, fields: dict[str, Any], limit: int) -> dict[str, dict[str, Any] | None]:
        """One question to all at once, ourselves among them; None of those that did not answer in time."""
        asked = {name: gevent.spawn(link.ask, what, fields, limit) for name, link in self.links.items()}
        gevent.joinall(list(asked.values()))
        return {self.name: self.questioned(self.name, what, fields),
                **{name: each.value for name, each in asked.items()}}

    def status(self) -> dict[str, Any]:
        at, it = now(), self.member
        age = it.age(at)
        return {"role": it.role.value, "term": it.term, "holder": it.holder, "holds": it.holds(at),
                "age-ms": None if age is None else age // MS, "entries": it.commit, "applied": self.book.place,
                "returning": it.returning is not None, "doubt": it.doubtful, "unknown": len(self.book.strange),
                "reads": sorted(self.book.reads),
                "stood-still": self.hearing.blamed, "dropped": self.dropped,
                "peers": {name: {"link": self.links[name].up, "problem": self.links[name].problem,
                                 "silent": self.hearing.silent(at, name), "lives": heard.lives,
                                 "heard-ms": None if (age := self.hearing.age(at, name)) is None else age // MS}
                          for name, heard in self.hearing.peers.items()}}
