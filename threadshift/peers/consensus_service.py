"""Runs the consensus member of one front end: its journal, timer and peers, in one greenlet.

The protocol itself is in consensus/, and no call waits for it. A thread writes what the member has to store, so that
an fsync blocks nothing else; its messages are sent and its entries applied only after the write."""
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
from threadshift.consensus.durable_member import DurableMember
from threadshift.consensus.member import CommittedEntry
from threadshift.consensus.state_machines import StateMachine, StateMachineRegistry
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND
from threadshift.log import exception_fields
from threadshift.peers.link import PeerLink, PeerListener
from threadshift.peers.peer_monitor import PeerMonitor
from threadshift.peers.queries import APPLIED, query_peers
from threadshift.storage.disk import Disk

TICK_INTERVAL = 50 * MS    # of the member: a quarter of a heartbeat interval, as in the emulator
MAX_QUEUED = 4_096         # messages waiting for the member; further ones are dropped, and the protocol repeats them
OFFER_INTERVAL = 300 * MS  # between two attempts to propose an entry: one or two heartbeat intervals
MAX_BODY_SIZE = 64 << 10   # bytes of an entry's body, about
DUTY_RETRY_INTERVAL = 2 * SECOND   # after which an entry of a duty that was not committed is proposed again


class NotHeard(ThreadshiftError):
    """An entry that was not committed in time. It may still be: a retry has to use the same id. The API writes the
    name of this class."""

    help = "see 'threadshift status --json' for who is heard; without a majority of voters nothing moves"


class TooNew(ThreadshiftError):
    """An entry of a form that not every voter supports yet. The API writes the name of this class."""

    help = "finish or roll back the change of programs first"


def now() -> int:
    """ns of a clock that never goes back and that runs on while the machine sleeps, which leases require."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class CommitListener(Protocol):
    """Is notified of each committed entry after it was applied."""

    def on_committed(self, committed: CommittedEntry, changed: bool) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


class ConsensusService:
    """The member of one front end with its journal and its connections to the peers."""

    def __init__(self, peering: PeersConfig, name: str, machines: Mapping[str, StateMachine], owner: CommitListener,
                 chance: Callable[[], float], disk: Disk | None = None,
                 query_handlers: Mapping[str, Callable[[str, dict[str, Any]], dict[str, Any]]] | None = None):
        """`query_handlers` has a handler for each query of a peer. Raises what opening the file raises."""
        self.peering, self.name, self.owner = peering, name, owner
        peering.folder.mkdir(parents=True, exist_ok=True)
        voters = list(peering.voters)
        self.durable_member = DurableMember(now(), Path(peering.folder) / f"{name}.record", name, voters,
                                            [each.name for each in peering.peers], chance, disk, peering.timing)
        self.member = self.durable_member.member
        self.state_machines = StateMachineRegistry(machines, voters)
        self.query_handlers = {"propose": self.on_proposal, **(query_handlers or {})}
        # Each duty returns the entries that the leader should propose now.
        self.duties: list[Callable[[int], list[dict[str, Any]]]] = []
        self.election_listeners: list[Callable[[], None]] = []     # called when this front end becomes the leader
        life = time.time_ns()
        digest = hashlib.sha256("\n".join(sorted(voters)).encode()).hexdigest()[:16]
        hello = {"name": name, "life": life, "voters": digest}
        self.links = {each.name: PeerLink(each, hello, self, chance) for each in peering.peers if each.name != name}
        self.peer_monitor = PeerMonitor(list(self.links))
        self.listener = PeerListener(peering, name, life, digest, self)
        self.inbox: Queue = Queue(MAX_QUEUED)
        self.dropped = 0
        self.applied_event = Event()                    # set, and replaced by a new one, when entries were applied
        # caught_up_at: when the last catch_up() that finished had started to wait for its entry
        self.catch_up_lock, self.caught_up_at = BoundedSemaphore(1), 0
        self.proposed_at: dict[str, int] = {}           # of entries of duties, by id
        self.was_leader, self.logged_failure, self.logged_leader = False, "", ""
        self.life, self.serial = life, 0
        self.greenlet: gevent.Greenlet | None = None
        if self.durable_member.quarantine_reason:
            self.note("record-put-aside", level="error", problem=self.durable_member.quarantine_reason,
                      help="none: everything is learned again from the other voters; look at the disk")

    def note(self, event: str, **fields: Any) -> None:
        self.owner.note(event, **fields)

    # The greenlet.

    def start(self) -> None:
        """Raises OSError if it cannot listen at the peers' address."""
        self.listener.start()
        self.process_output()
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            event = None
            try:
                event = self.inbox.get(timeout=TICK_INTERVAL / SECOND)
            except Empty:
                pass
            try:
                self.step(event)
            except Exception as fault:      # a bug: this member makes no more promises, and calls go on
                self.note("record-fault", level="error", **exception_fields(fault))
                self.member.mark_failed(f"internal error: {fault!r}"[:300])

    def step(self, event: Callable[[int], None] | None) -> None:
        at = now()
        self.peer_monitor.detect_stall(at)
        if event is not None:
            event(at)
        self.member.tick(at)
        self.run_duties(at)
        self.process_output()

    def enqueue(self, event: Callable[[int], None]) -> None:
        try:
            self.inbox.put_nowait(event)
        except Full:
            self.dropped += 1

    def process_output(self) -> None:
        """Writes, sends and applies what the member returns, until it returns nothing more."""
        while True:
            output = self.member.take_output()
            if output.records and not self.member.failure:
                persisted = gevent.get_hub().threadpool.apply(self.durable_member.persist, (output,))
            else:
                persisted = self.durable_member.persist(output)
            if self.member.failure and self.member.failure != self.logged_failure:
                self.logged_failure = self.member.failure
                self.note("record-in-doubt", level="error", problem=self.logged_failure,
                          help="this front end does not vote until it is started again on a reliable disk")
            if not persisted:
                continue
            for message in output.messages:
                if message.to in self.links:
                    self.links[message.to].send_message(message.kind, message.fields)
            for committed in output.committed:
                changed = self.state_machines.apply(committed)
                self.owner.on_committed(committed, changed)
            if output.committed:
                applied_event, self.applied_event = self.applied_event, Event()
                applied_event.set()
                self.durable_member.compact_if_long(self.state_machines.dump)
            if not (output.records or output.committed):
                return

    def run_duties(self, at: int) -> None:
        """Proposes the entries of the duties. Only the leader does so, and it checks its lease at this moment."""
        holds = self.member.holds_lease(at)
        if holds != self.was_leader:
            self.was_leader = holds
            self.note("record-held" if holds else "record-let-go", term=self.member.term)
            if holds:
                for on_elected in self.election_listeners:
                    on_elected()
        if self.member.leader and self.member.leader != self.logged_leader:
            self.logged_leader = self.member.leader
            self.note("record-holder", holder=self.logged_leader, term=self.member.term)
        if not holds:
            return
        for duty in self.duties:
            for body in duty(at):
                id_ = body["id"]
                if id_ not in self.state_machines.ids and (
                        at - self.proposed_at.get(id_, -DUTY_RETRY_INTERVAL) >= DUTY_RETRY_INTERVAL):
                    self.proposed_at[id_] = at
                    self.member.propose(at, body)
        if len(self.proposed_at) > MAX_QUEUED:
            self.proposed_at.clear()

    def leave(self) -> None:
        """Before a shutdown: a leader transfers the leadership to another member."""
        self.enqueue(self.member.transfer_leadership)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        for link in self.links.values():
            link.stop()
        self.listener.stop()
        self.durable_member.close()

    # What peers send.

    def on_contact(self, name: str, life: int) -> None:
        if self.peer_monitor.record_contact(now(), name, life):
            self.note("peer-started-again", peer=name)

    def on_message(self, name: str, life: int, kind: str, fields: dict[str, Any]) -> None:
        self.on_contact(name, life)
        self.enqueue(lambda at: self.member.receive(at, name, kind, fields))

    def answer_query(self, name: str, what: str, fields: dict[str, Any]) -> dict[str, Any]:
        handler = self.query_handlers.get(what)
        if handler is None:
            return {"problem": f"unknown query '{what[:64]}'"}
        try:
            return {**handler(name, fields), APPLIED: self.state_machines.applied_index}
        except (KeyError, TypeError, ValueError) as problem:
            return {"problem": f"{what}: {problem!r}"[:400]}

    def on_proposal(self, name: str, fields: dict[str, Any]) -> dict[str, Any]:
        """A peer's entry, which is proposed if this front end is the leader."""
        body = fields["body"]
        if not isinstance(body, dict) or not isinstance(body.get("id"), str) or not isinstance(body.get("do"), str):
            raise ValueError("an entry needs a 'do' and an 'id'")
        if self.member.holds_lease(now()) and body["id"] not in self.state_machines.ids:
            self.enqueue(lambda at: self.propose_once(at, body))
        return {"holder": self.member.leader}

    # Requests of this front end, from any greenlet. Greenlets that serve calls make none, as these methods wait.

    def new_id(self, kind: str) -> str:
        self.serial += 1
        return f"{kind}-{self.name}-{self.life:x}-{self.serial}"

    def propose(self, body: dict[str, Any], limit: int) -> Any:
        """Offers an entry to the leader until it is committed, at most `limit` ns, and returns what applying it
        returned. Raises NotHeard, TooNew."""
        if body.get("form", 1) > self.state_machines.writable_form(body["do"]):
            raise TooNew(f"not every voter supports form {body['form']} of '{body['do']}' yet")
        if len(repr(body)) > MAX_BODY_SIZE:
            raise ValueError("the entry is too long")
        id_, deadline, next_offer_at = body["id"], time.monotonic_ns() + limit, 0
        while id_ not in self.state_machines.ids:
            at = time.monotonic_ns()
            if at >= deadline:
                raise NotHeard(f"entry {id_} was not committed within {limit // MS} ms")
            if at >= next_offer_at:
                next_offer_at = at + OFFER_INTERVAL
                self.offer(body)
            self.applied_event.wait((min(deadline, next_offer_at) - at) / SECOND)
        return self.state_machines.results.get(id_)

    def announce_forms(self, limit: int) -> None:
        """Proposes an entry that lists the kinds of entries that this program supports. Raises NotHeard."""
        self.propose({"do": "reads", "id": self.new_id("reads"), "who": self.name,
                      "forms": self.state_machines.supported_forms}, limit)

    def catch_up(self, limit: int) -> None:
        """Returns once all entries that any front end had applied before this call are applied here: it waits for an
        entry of its own, which is committed after them. Concurrent callers share one entry. Raises NotHeard."""
        called_at = time.monotonic_ns()
        if not self.catch_up_lock.acquire(timeout=limit / SECOND):
            raise NotHeard(f"an earlier request to catch up was not answered within {limit // MS} ms")
        try:
            if self.caught_up_at < called_at:
                started_at = time.monotonic_ns()
                self.announce_forms(max(0, called_at + limit - started_at))
                self.caught_up_at = started_at
        finally:
            self.catch_up_lock.release()

    def propose_once(self, at: int, body: dict[str, Any]) -> None:
        if body["id"] not in self.state_machines.ids:
            self.member.propose(at, body)

    def offer(self, body: dict[str, Any]) -> None:
        """Proposes an entry if this front end is the leader, else sends it to the leader."""
        if self.member.holds_lease(now()):
            self.enqueue(lambda at: self.propose_once(at, body))
        elif self.member.leader in self.links:
            gevent.spawn(self.links[self.member.leader].query, "propose", {"body": body}, OFFER_INTERVAL)

    def query_all(self, what: str, fields: dict[str, Any], limit: int,
                  applied: int = 0) -> dict[str, dict[str, Any] | None]:
        """Sends one query to all peers at once and answers it here too; None for those without an answer in time, or
        whose answer does not include the log up to the entry with index `applied`."""
        replies = query_peers(self.links, what, fields, limit, applied)
        return {self.name: self.answer_query(self.name, what, fields), **replies}

    def status(self) -> dict[str, Any]:
        at, member = now(), self.member
        age = member.staleness(at)
        return {"role": member.role.value, "term": member.term, "holder": member.leader,
                "holds": member.holds_lease(at),
                "age-ms": None if age is None else age // MS, "entries": member.commit_index,
                "applied": self.state_machines.applied_index,
                "returning": member.recovery is not None, "doubt": member.failure,
                "unknown": len(self.state_machines.unknown_entries),
                "reads": sorted(self.state_machines.announced_forms),
                "stood-still": self.peer_monitor.own_stalls, "dropped": self.dropped,
                "peers": {name: {"link": self.links[name].is_up, "problem": self.links[name].problem,
                                 "silent": self.peer_monitor.is_silent(at, name), "lives": observation.lives,
                                 "heard-ms": None if (age := self.peer_monitor.time_since_contact(at, name)) is None
                                 else age // MS}
                          for name, observation in self.peer_monitor.peers.items()}}
