"""Consensus members on a virtual clock, with faults drawn from a seed, and a check of the invariants.

Clocks run at different rates. Messages are lost, duplicated, delayed and reordered; links are cut in one direction or
both; processes freeze and resume, are killed and restart with what their disk kept; disks refuse operations, lose
writes, flip a byte or return to an older copy. Only one voter's disk loses data unnoticed: a majority of the voters
tolerates no more than that.

Invariants: at most one member is the leader at any time, no log index ever has two entries, and an entry that was
confirmed to its proposer remains. Once all faults are over, there is a leader and all members have the same log."""
from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

from threadshift.consensus.durable_member import DurableMember
from threadshift.consensus.persistent_state import LogEntry
from threadshift.consensus.member import Member, Message, Role, Timing
from threadshift.emulator.disk import SimulatedDisk
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND

TICK = 50 * MS             # interval of a member's timer
FILE = Path("/record")
FAULTS = ("freeze", "kill", "cut", "one-way", "loss", "old", "forget", "refuse", "flip", "leave", *["propose"] * 8)


class InvariantViolation(ThreadshiftError):
    """A violated invariant, with the time and the seed."""

    help = "run the same seed again; the trace has what led to it"


@dataclass(eq=False)
class Node:
    """One process: its clock, its disk and, while it runs, its keeper."""

    name: str
    rate: float
    offset: int
    disk: SimulatedDisk
    durable_member: DurableMember | None = None
    state: list[tuple[int, dict[str, Any]]] = field(default_factory=list)      # the entries that it applied
    frozen_until: int = 0      # messages that arrive before stay unread
    unread: list[tuple[str, Message]] = field(default_factory=list)
    life: int = 0              # number of starts
    front_end_life: int = 0    # the life for which batches.py has made a front end

    def clock(self, at: int) -> int:
        """This process's clock at a time of the simulation."""
        return int(at * self.rate) + self.offset

    @property
    def member(self) -> Member | None:
        return self.durable_member.member if self.durable_member else None

    def is_leader(self, at: int) -> bool:
        return self.durable_member is not None and self.durable_member.member.holds_lease(self.clock(at))


class ConsensusSimulation:
    """One random history. run() raises InvariantViolation."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, seconds: int = 30, faults: float = 1.5,
                 lies: bool = True, make: Callable[..., DurableMember] = DurableMember):
        self.seed, self.random, self.make = seed, random.Random(seed), make
        self.now, self.end, self.faults_per_second, self.lies = 100 * SECOND, (100 + seconds) * SECOND, faults, lies
        self.voters = [f"v{n}" for n in range(voters)]
        self.names = [*self.voters, *(f"f{n}" for n in range(others))]
        self.lying_voter = self.random.choice(self.voters)
        self.nodes = {name: Node(name, 1 + self.random.uniform(-0.004, 0.004), self.random.randrange(10**12),
                                 SimulatedDisk(self.random.random)) for name in self.names}
        self.scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self.next_serial = count().__next__
        self.cuts: dict[tuple[str, str], int] = {}
        self.loss_until = 0
        self.committed: dict[int, LogEntry] = {}
        self.next_proposal = count(1).__next__
        self.confirmed: list[int] = []      # indexes of entries that were confirmed to their proposers
        self.events = self.messages = 0
        self.leaders: dict[int, str] = {}   # term: its leader
        self.leaderless_since = self.longest_leaderless = 0
        self.trace: list[str] = []

    # Events.

    def schedule(self, at: int, action: Callable[[], None]) -> None:
        """Runs `action` at this time; actions of one time run in the order in which they were scheduled."""
        heapq.heappush(self.scheduled, (at, self.next_serial(), action))

    def run(self) -> None:
        """Injects faults until the end, then ends them all and checks the final state."""
        for node in self.nodes.values():
            self.start(node)
        while self.now < self.end:
            self.run_until(min(self.end, self.now + int(self.random.expovariate(self.faults_per_second) * SECOND)))
            self.inject_fault()
        self.heal()
        self.run_until(self.now + 12 * SECOND)
        self.check_final_state()

    def run_until(self, until: int) -> None:
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self.scheduled)
            self.events += 1
            action()
            self.check()
        self.now = max(self.now, until)

    def start(self, node: Node) -> None:
        node.life += 1
        node.state, node.unread, node.frozen_until = [], [], 0
        others = [name for name in self.names if name not in self.voters]
        try:
            node.durable_member = self.make(node.clock(self.now), FILE, node.name, self.voters, others,
                                            self.random.random, disk=node.disk, timing=Timing())
        except ThreadshiftError as problem:
            self.note(f"{node.name} cannot start: {problem}")
            node.durable_member = None
            return
        self.note(f"{node.name} starts, life {node.life} {node.durable_member.quarantine_reason}")
        self.apply_effects(node)
        self.run_timer(node, node.life)

    def run_timer(self, node: Node, life: int) -> None:
        if node.life != life or node.durable_member is None:
            return
        if self.now >= node.frozen_until:
            node.durable_member.member.tick(node.clock(self.now))
            self.apply_effects(node)
        self.schedule(max(self.now + TICK, node.frozen_until + 1), lambda: self.run_timer(node, life))

    def apply_effects(self, node: Node) -> None:
        """Does what the live transport does: writes records, sends messages, applies entries."""
        while node.durable_member is not None:
            output = node.durable_member.member.take_output()
            kept = node.durable_member.persist(output)
            if not kept:
                self.note(f"{node.name} cannot write: {node.durable_member.member.failure}")
            for message in output.messages if kept else ():
                self.send_message(node, message)
            for told in output.committed if kept else ():
                self.apply(node, told.log_index, told.entry, told.state)
            if not (output.records or output.committed):
                break
            node.durable_member.compact_if_long(partial(self.snapshot, node))

    def snapshot(self, node: Node) -> dict[str, Any]:
        return {"log": [list(each) for each in node.state]}

    def apply(self, node: Node, index: int, entry: LogEntry, state: dict[str, Any] | None) -> None:
        if state is not None:
            node.state = [(each[0], each[1]) for each in state["log"]]
            return
        known = self.committed.setdefault(index, entry)
        if known != entry:
            raise self.violation(f"entry {index} is {known} and, at {node.name}, {entry}")
        if node.state and node.state[-1][0] != index - 1:
            raise self.violation(f"{node.name} applied {index} after {node.state[-1][0]}")
        node.state.append((index, entry.body))

    def send_message(self, node: Node, message: Message) -> None:
        self.messages += 1
        way = (node.name, message.to)
        if self.cuts.get(way, 0) > self.now or self.random.random() < (0.3 if self.loss_until > self.now else 0.002):
            return
        for _ in range(1 + (self.random.random() < 0.02)):
            late = self.random.expovariate(1 / 2e6) if self.random.random() < 0.97 else self.random.uniform(0, 3e9)
            to = self.nodes[message.to]
            self.schedule(self.now + 200_000 + int(late), partial(self.on_arrival, to, to.life, node.name, message))

    def on_arrival(self, node: Node, life: int, sender: str, message: Message) -> None:
        if node.durable_member is None or node.life != life:
            return              # a connection ends with its process
        if self.now < node.frozen_until:
            node.unread.append((sender, message))
            return
        self.handle_message(node, sender, message)

    def handle_message(self, node: Node, sender: str, message: Message) -> None:
        if node.durable_member is not None:
            node.durable_member.member.receive(node.clock(self.now), sender, message.kind, message.fields)
            self.apply_effects(node)

    # Faults.

    def inject_fault(self) -> None:
        """Draws one fault, or a proposal to the leader."""
        kind, node = self.random.choice(FAULTS), self.nodes[self.random.choice(self.names)]
        length = int(self.random.choice((0.2, 1, 2, 4, 8)) * SECOND * self.random.random())
        if kind == "propose":
            leader = next((each for each in self.nodes.values()
                           if self.now >= each.frozen_until and each.is_leader(self.now)), None)
            if leader is not None and leader.member is not None:
                body = {"do": "say", "n": self.next_proposal()}
                index = leader.member.propose(leader.clock(self.now), body)
                self.apply_effects(leader)
                if index is not None:
                    self.schedule(self.now + SECOND, lambda: self.confirm(index, body))
            return
        self.note(f"{kind} {node.name} for {length / SECOND:.2f} s")
        if kind == "freeze":
            self.freeze(node, length)
        elif kind in ("kill", "old", "forget", "flip"):
            self.kill(node, kind if node.name == self.lying_voter and self.lies else "kill", length)
        elif kind == "refuse" and node.durable_member is not None:
            node.disk.refuse = {"sync", "put"}
            self.schedule(self.now + length, node.disk.refuse.clear)
            self.schedule(self.now + length + SECOND, lambda: self.kill(node, "kill", SECOND))
        elif kind == "loss":
            self.loss_until = self.now + length
        elif kind == "leave" and node.member is not None and self.now >= node.frozen_until:
            node.member.transfer_leadership(node.clock(self.now))
            self.apply_effects(node)
            self.schedule(self.now + 200 * MS, lambda: self.kill(node, "kill", length))
        elif kind in ("cut", "one-way"):
            side = set(self.random.sample(self.names, self.random.randint(1, len(self.names) - 1)))
            for one in self.names:
                for other in self.names:
                    if one in side and other not in side:
                        self.cuts[one, other] = self.now + length
                        if kind == "cut":
                            self.cuts[other, one] = self.now + length

    def freeze(self, node: Node, length: int) -> None:
        node.frozen_until = max(node.frozen_until, self.now + length)
        life = node.life
        self.schedule(node.frozen_until, lambda: self.unfreeze(node, life))

    def unfreeze(self, node: Node, life: int) -> None:
        if node.life == life and self.now >= node.frozen_until:
            unread, node.unread = node.unread, []
            for sender, message in unread:
                self.handle_message(node, sender, message)

    def kill(self, node: Node, kind: str, length: int) -> None:
        """Kills a process, damages its disk as `kind` says, and starts it again after `length`."""
        if node.durable_member is None:
            return
        node.durable_member.close()
        node.durable_member = None
        node.disk.lies = False
        node.disk.refuse.clear()
        node.disk.crash(back=self.random.randint(1, 6) if kind in ("old", "forget") else 0)
        if kind == "flip" and FILE in node.disk.cached:
            node.disk.flip(FILE, self.random.randrange(1 << 30), self.random.randint(1, 255))
        life = node.life
        self.schedule(self.now + length,
                   lambda: self.start(node) if node.life == life and not node.durable_member else None)

    def heal(self) -> None:
        """Ends all faults."""
        self.cuts.clear()
        self.loss_until = 0
        self.faults_per_second = 0
        for node in self.nodes.values():
            node.disk.refuse.clear()
            if node.frozen_until > self.now:
                node.frozen_until = self.now
                self.unfreeze(node, node.life)
            if node.member is None:
                self.start(node)
            elif node.member.failure or node.member.has_resigned:
                self.kill(node, "kill", 0)

    # Invariants.

    def check(self) -> None:
        """Checks that there is at most one leader, and never two in a term."""
        leaders = [(node.name, node.member.term) for node in self.nodes.values()
                   if node.member and node.is_leader(self.now)]
        if len(leaders) > 1:
            raise self.violation(f"{' and '.join(name for name, _ in leaders)} are leaders at the same time")
        if leaders:
            self.leaderless_since = 0
            name, term = leaders[0]
            if self.leaders.setdefault(term, name) != name:
                raise self.violation(f"{name} and {self.leaders[term]} were leaders in term {term}")
        elif not self.leaderless_since:
            self.leaderless_since = self.now
        else:
            self.longest_leaderless = max(self.longest_leaderless, self.now - self.leaderless_since)

    def confirm(self, index: int, body: dict[str, Any]) -> None:
        """Notes that a proposer has learned that its entry is committed."""
        if index in self.committed and self.committed[index].body == body:
            self.confirmed.append(index)

    def check_final_state(self) -> None:
        """Checks that there is a leader, and that all members have the same log with every confirmed entry."""
        if not any(node.member is not None and node.member.role is Role.LEADER for node in self.nodes.values()):
            raise self.violation("there is no leader long after all faults were over")
        if self.longest_leaderless > 60 * SECOND:
            raise self.violation("there was no leader for a minute")
        ends = {node.name: node.state[-1][0] if node.state else 0 for node in self.nodes.values()}
        if len(set(ends.values())) > 1 or max(ends.values()) < max(self.committed, default=0):
            raise self.violation(f"members have different logs long after all faults were over: {ends}, "
                              f"{max(self.committed)} was committed")
        for index in self.confirmed:
            if index > max(ends.values()):
                raise self.violation(f"entry {index} was confirmed to its proposer and is missing")

    def note(self, text: str) -> None:
        self.trace.append(f"{self.now / SECOND:.3f} {text}")

    def violation(self, text: str) -> InvariantViolation:
        return InvariantViolation(f"{text} (seed {self.seed}, at {self.now / SECOND:.3f} s)")
