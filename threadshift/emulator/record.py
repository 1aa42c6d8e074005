"""Members of the record on a virtual clock, with every fault between and under them drawn from a seed, and a checker.

Clocks run at rates of their own; messages are lost, repeated, late, and overtake each other; links are cut one way or
both; processes freeze and wake, are killed and come back with what their disk kept; disks refuse, forget, flip a byte
or go back to an older copy. One voter's disk at a time may lie unnoticed: more is beyond what a majority can bear.

What has to hold at every moment: at most one member holds the right, no index is ever told as two entries, what was
told to a proposer as done stays, and once all faults are over somebody holds and all know the same."""
from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

from threadshift.consensus.keeper import Keeper
from threadshift.consensus.kept import Entry
from threadshift.consensus.member import Member, Message, Role, Timing
from threadshift.emulator.disk import SimulatedDisk
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND

TICK = 50 * MS             # of a member's timer
FILE = Path("/record")
FAULTS = ("freeze", "kill", "cut", "one-way", "loss", "old", "forget", "refuse", "flip", "leave", *["propose"] * 8)


class InvariantViolation(ThreadshiftError):
    """A promise that did not hold; says which, when, and with which seed."""

    help = "run the same seed again; the trace has what led to it"


@dataclass(eq=False)
class Node:
    """One process: its clock, disk and, while it runs, its keeper."""

    name: str
    rate: float
    offset: int
    disk: SimulatedDisk
    keeper: Keeper | None = None
    state: list[tuple[int, dict[str, Any]]] = field(default_factory=list)      # what it applied
    frozen: int = 0            # until then; what comes meanwhile lies unread
    unread: list[tuple[str, Message]] = field(default_factory=list)
    life: int = 0
    front_of: int = 0          # the life that has a front end of its own, where it has (batches.py)

    def clock(self, at: int) -> int:
        return int(at * self.rate) + self.offset

    @property
    def member(self) -> Member | None:
        return self.keeper.member if self.keeper else None

    def holds(self, at: int) -> bool:
        return self.keeper is not None and self.keeper.member.holds(self.clock(at))


class ConsensusSimulation:
    """One drawn history. run() raises InvariantViolation."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, seconds: int = 30, faults: float = 1.5,
                 lies: bool = True, make: Callable[..., Keeper] = Keeper):
        self.seed, self.random, self.make = seed, random.Random(seed), make
        self.now, self.end, self.per_second, self.lies = 100 * SECOND, (100 + seconds) * SECOND, faults, lies
        self.voters = [f"v{n}" for n in range(voters)]
        self.names = [*self.voters, *(f"f{n}" for n in range(others))]
        self.liar = self.random.choice(self.voters)
        self.nodes = {name: Node(name, 1 + self.random.uniform(-0.004, 0.004), self.random.randrange(10**12),
                                 SimulatedDisk(self.random.random)) for name in self.names}
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = count().__next__
        self.cuts: dict[tuple[str, str], int] = {}
        self.loss = 0
        self.committed: dict[int, Entry] = {}
        self.proposed = count(1).__next__
        self.sure: list[int] = []           # indexes told back to who proposed them
        self.events = self.messages = 0
        self.held: dict[int, str] = {}      # term: who held it
        self.without = self.longest_without = 0
        self.trace: list[str] = []

    # The world.

    def later(self, at: int, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (at, self.serial(), act))

    def run(self) -> None:
        for node in self.nodes.values():
            self.start(node)
        while self.now < self.end:
            self.play(min(self.end, self.now + int(self.random.expovariate(self.per_second) * SECOND)))
            self.fault()
        self.heal()
        self.play(self.now + 12 * SECOND)
        self.settled()

    def play(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            self.events += 1
            act()
            self.check()
        self.now = max(self.now, until)

    def start(self, node: Node) -> None:
        node.life += 1
        node.state, node.unread, node.frozen = [], [], 0
        others = [name for name in self.names if name not in self.voters]
        try:
            node.keeper = self.make(node.clock(self.now), FILE, node.name, self.voters, others, self.random.random,
                                    disk=node.disk, timing=Timing())
        except ThreadshiftError as problem:
            self.note(f"{node.name} does not start: {problem}")
            node.keeper = None
            return
        self.note(f"{node.name} starts, life {node.life} {node.keeper.aside}")
        self.carry(node)
        self.beat(node, node.life)

    def beat(self, node: Node, life: int) -> None:
        if node.life != life or node.keeper is None:
            return
        if self.now >= node.frozen:
            node.keeper.member.tick(node.clock(self.now))
            self.carry(node)
        self.later(max(self.now + TICK, node.frozen + 1), lambda: self.beat(node, life))

    def carry(self, node: Node) -> None:
        """What the live carrier does: keep, send, apply."""
        while node.keeper is not None:
            effects = node.keeper.member.take()
            kept = node.keeper.keep(effects)
            if not kept:
                self.note(f"{node.name} in doubt: {node.keeper.member.doubtful}")
            for message in effects.messages if kept else ():
                self.post(node, message)
            for told in effects.told if kept else ():
                self.apply(node, told.place, told.entry, told.state)
            if not (effects.records or effects.told):
                break
            node.keeper.shorten(partial(self.snapshot, node))

    def snapshot(self, node: Node) -> dict[str, Any]:
        return {"log": [list(each) for each in node.state]}

    def apply(self, node: Node, index: int, entry: Entry, state: dict[str, Any] | None) -> None:
        if state is not None:
            node.state = [(each[0], each[1]) for each in state["log"]]
            return
        known = self.committed.setdefault(index, entry)
        if known != entry:
            raise self.broken(f"entry {index} is {known} and, at {node.name}, {entry}")
        if node.state and node.state[-1][0] != index - 1:
            raise self.broken(f"{node.name} applied {index} after {node.state[-1][0]}")
        node.state.append((index, entry.body))

    def post(self, node: Node, message: Message) -> None:
        self.messages += 1
        way = (node.name, message.to)
        if self.cuts.get(way, 0) > self.now or self.random.random() < (0.3 if self.loss > self.now else 0.002):
            return
        for _ in range(1 + (self.random.random() < 0.02)):
            late = self.random.expovariate(1 / 2e6) if self.random.random() < 0.97 else self.random.uniform(0, 3e9)
            to = self.nodes[message.to]
            self.later(self.now + 200_000 + int(late), partial(self.arrive, to, to.life, node.name, message))

    def arrive(self, node: Node, life: int, sender: str, message: Message) -> None:
        if node.keeper is None or node.life != life:
            return              # a connection ends with the process that it led to
        if self.now < node.frozen:
            node.unread.append((sender, message))
            return
        self.hear(node, sender, message)

    def hear(self, node: Node, sender: str, message: Message) -> None:
        if node.keeper is not None:
            getattr(node.keeper.member, message.kind)(node.clock(self.now), sender, **message.fields)
            self.carry(node)

    # Faults.

    def fault(self) -> None:
        kind, node = self.random.choice(FAULTS), self.nodes[self.random.choice(self.names)]
        length = int(self.random.choice((0.2, 1, 2, 4, 8)) * SECOND * self.random.random())
        if kind == "propose":
            holder = next((each for each in self.nodes.values()
                           if self.now >= each.frozen and each.holds(self.now)), None)
            if holder is not None and holder.member is not None:
                body = {"do": "say", "n": self.proposed()}
                index = holder.member.propose(holder.clock(self.now), body)
                self.carry(holder)
                if index is not None:
                    self.later(self.now + SECOND, lambda: self.surely(index, body))
            return
        self.note(f"{kind} {node.name} for {length / SECOND:.2f} s")
        if kind == "freeze":
            self.freeze(node, length)
        elif kind in ("kill", "old", "forget", "flip"):
            self.kill(node, kind if node.name == self.liar and self.lies else "kill", length)
        elif kind == "refuse" and node.keeper is not None:
            node.disk.refuse = {"sync", "put"}
            self.later(self.now + length, node.disk.refuse.clear)
            self.later(self.now + length + SECOND, lambda: self.kill(node, "kill", SECOND))
        elif kind == "loss":
            self.loss = self.now + length
        elif kind == "leave" and node.member is not None and self.now >= node.frozen:
            node.member.hand_over(node.clock(self.now))
            self.carry(node)
            self.later(self.now + 200 * MS, lambda: self.kill(node, "kill", length))
        elif kind in ("cut", "one-way"):
            side = set(self.random.sample(self.names, self.random.randint(1, len(self.names) - 1)))
            for one in self.names:
                for other in self.names:
                    if one in side and other not in side:
                        self.cuts[one, other] = self.now + length
                        if kind == "cut":
                            self.cuts[other, one] = self.now + length

    def freeze(self, node: Node, length: int) -> None:
        node.frozen = max(node.frozen, self.now + length)
        life = node.life
        self.later(node.frozen, lambda: self.wake(node, life))

    def wake(self, node: Node, life: int) -> None:
        if node.life == life and self.now >= node.frozen:
            unread, node.unread = node.unread, []
            for sender, message in unread:
                self.hear(node, sender, message)

    def kill(self, node: Node, kind: str, length: int) -> None:
        if node.keeper is None:
            return
        node.keeper.close()
        node.keeper = None
        node.disk.lies = False
        node.disk.refuse.clear()
        node.disk.crash(back=self.random.randint(1, 6) if kind in ("old", "forget") else 0)
        if kind == "flip" and FILE in node.disk.cached:
            node.disk.flip(FILE, self.random.randrange(1 << 30), self.random.randint(1, 255))
        life = node.life
        self.later(self.now + length, lambda: self.start(node) if node.life == life and not node.keeper else None)

    def heal(self) -> None:
        self.cuts.clear()
        self.loss = 0
        self.per_second = 0
        for node in self.nodes.values():
            node.disk.refuse.clear()
            if node.frozen > self.now:
                node.frozen = self.now
                self.wake(node, node.life)
            if node.member is None:
                self.start(node)
            elif node.member.doubtful or node.member.given_up:
                self.kill(node, "kill", 0)

    # What has to hold.

    def check(self) -> None:
        holders = [(node.name, node.member.term) for node in self.nodes.values()
                   if node.member and node.holds(self.now)]
        if len(holders) > 1:
            raise self.broken(f"{' and '.join(name for name, _ in holders)} hold at once")
        if holders:
            self.without = 0
            name, term = holders[0]
            if self.held.setdefault(term, name) != name:
                raise self.broken(f"{name} and {self.held[term]} held the term {term}")
        elif not self.without:
            self.without = self.now
        else:
            self.longest_without = max(self.longest_without, self.now - self.without)

    def surely(self, index: int, body: dict[str, Any]) -> None:
        if index in self.committed and self.committed[index].body == body:
            self.sure.append(index)

    def settled(self) -> None:
        if not any(node.member is not None and node.member.role is Role.HOLDING for node in self.nodes.values()):
            raise self.broken("nobody holds, long after all faults were over")
        if self.longest_without > 60 * SECOND:
            raise self.broken("nobody held for a minute")
        ends = {node.name: node.state[-1][0] if node.state else 0 for node in self.nodes.values()}
        if len(set(ends.values())) > 1 or max(ends.values()) < max(self.committed, default=0):
            raise self.broken(f"they know different entries long after all faults were over: {ends}, "
                              f"{max(self.committed)} was committed")
        for index in self.sure:
            if index > max(ends.values()):
                raise self.broken(f"entry {index} was told as done and is not there")

    def note(self, text: str) -> None:
        self.trace.append(f"{self.now / SECOND:.3f} {text}")

    def broken(self, text: str) -> InvariantViolation:
        return InvariantViolation(f"{text} (seed {self.seed}, at {self.now / SECOND:.3f} s)")
