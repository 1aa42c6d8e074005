"""Batches over several front ends on a virtual clock: the real cancels, queue, shelf and book on the drawn record of
record.py, with its cuts, standstills and kills, over modelled workers.

Disks fail and lose what was not synced; they do not lie here: a shelf stands in one place, and one that forgets that
a call went out sends it again (docs/fleet-design.md, Open). What has to hold: a once-only call runs at most once; a
call that was accepted has one final answer in the end, and never another; nothing that was told as cancelled runs
after; and in the end all front ends know the same cancels."""
from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from threadshift.batches.cancels import CLOSED, Cancel, Cancels
from threadshift.batches.queue import MOMENT, Queue, Waiting
from threadshift.batches.shelf import Shelf, record
from threadshift.consensus.book import Book
from threadshift.consensus.kept import Entry
from threadshift.consensus.member import Told
from threadshift.emulator.record import Node, ConsensusSimulation
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND

CALLS = Path("/calls")
LEFT = 25 * SECOND         # of a call's own time, at the most
PACE = 100 * MS            # of a front end's look at its queue
HEAR_FIRST = 10 * SECOND


class BatchFrontEnd:
    """What gateway/batch_service.py does, without its sockets; the order of what is kept and done is the same."""

    def __init__(self, world: BatchSimulation, node: Node):
        self.world, self.node, self.began = world, node, node.clock(world.now)
        self.cancels = Cancels()
        self.book = Book({"batches": self.cancels}, world.voters)
        self.shelf = Shelf(CALLS, node.disk)
        self.queue = Queue(8)
        self.calls: dict[str, Waiting] = {}
        self.begun: set[str] = set()             # out, and a byte of it may have left
        now, wall = self.began, world.now
        for kept in sorted(self.shelf.calls.values(), key=lambda each: each.order):
            if kept.answer is not None:
                world.told(kept.ivk, kept.answer["final"])
                continue
            it = Waiting(kept.ivk, kept.tenant, kept.batch, kept.order, now + kept.remaining(wall), "t",
                         kept.tries + kept.out, parked=kept.parked)
            self.calls[it.ivk] = self.queue.add(it)
            if kept.may_have_run:
                self.queue.end(it)
                self.final(it, "aborted")

    def keep(self, records: list[dict[str, Any]]) -> bool:
        try:
            self.shelf.write(records)
        except ThreadshiftError:
            return False
        anew = self.shelf.wrote(records)
        if anew:
            self.shelf.journal.renew(*anew)
        return True

    def accept(self, ivk: str, batch: str, effect: str, left: int) -> None:
        order, now = self.shelf.orders + 1, self.node.clock(self.world.now)
        stopped = self.queue.stopped.get(("t", batch))
        if self.keep([record("take", ivk=ivk, tenant="t", batch=batch, order=order, at=self.world.now, left=left,
                             effect=effect, parked=stopped.id if stopped else "", call={})]):
            self.calls[ivk] = self.queue.add(Waiting(ivk, "t", batch, order, now + left, "t"))
            self.world.accepted[ivk] = effect

    def tick(self) -> None:
        now = self.node.clock(self.world.now)
        for it in self.queue.ended(now):
            self.final(it, "cancelled" if it.parked else "rejected")
        member = self.node.member
        if member is None or member.age(now) is None and now - self.began < HEAR_FIRST:
            return
        out = list(self.queue.next(now))
        if out and not self.keep([record("out", ivk=each.ivk) for each in out]):
            for it in out:
                self.queue.taken_back(it)
            return
        for it in out:
            self.begun.discard(it.ivk)
            self.world.send(self, it)

    def returned(self, it: Waiting, end: str) -> None:
        if it.over or not it.out:
            return
        final = self.queue.returned(it, self.node.clock(self.world.now), end == "completed", end == "unrun", end)
        if final:
            self.final(it, "completed" if end == "completed" else "aborted" if end == "lost" else "rejected")
        else:
            self.back(it)

    def back(self, it: Waiting) -> None:
        self.keep([record("back", ivk=it.ivk, tries=it.tries, parked=it.parked)])

    def final(self, it: Waiting, final: str) -> None:
        """Told only once it is kept; where the disk fails it is tried again."""
        self.calls.pop(it.ivk, None)
        if self.keep([record("end", ivk=it.ivk, at=self.world.now, answer={"final": final})]):
            if final == "cancelled" and it.ends - self.node.clock(self.world.now) > 2 * MOMENT + PACE:
                self.world.closes(it)
            self.world.told(it.ivk, final)
        else:
            self.world.later(self.world.now + SECOND, partial(self.again, it, final, self.node.life))

    def again(self, it: Waiting, final: str, life: int) -> None:
        if self.node.life == life and self.node.keeper is not None:
            self.final(it, final)

    def heard(self, cancels: list[Cancel]) -> None:
        for cancel in cancels:
            before = set(self.queue.under.get(cancel.id, ()))
            out, restored, over = self.queue.heard(cancel)
            for it in out:
                if it.ivk not in self.begun:
                    self.queue.taken_back(it)
                    self.back(it)
            new = [ivk for ivk in self.queue.under.get(cancel.id, ()) if ivk not in before]
            if new:
                self.keep([record("stop", cancel=cancel.id, ivks=new)])
            if restored:
                self.keep([record("free", cancel=cancel.id)])
            for it in over:
                self.final(it, "cancelled")


class BatchSimulation(ConsensusSimulation):
    """One drawn history."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, seconds: int = 30):
        super().__init__(seed, voters, others, seconds, lies=False)
        self.fronts: dict[str, BatchFrontEnd] = {}
        self.accepted: dict[str, str] = {}       # activation: effect
        self.finals: dict[str, str] = {}
        self.runs: dict[str, int] = {}
        self.number = 0
        for name in self.names:
            self.later(self.now + self.random.randrange(SECOND), partial(self.clients, self.nodes[name]))

    # The record's nodes carry a front end each.

    def carry(self, node: Node) -> None:
        if node.keeper is not None and node.front_of != node.life:
            node.front_of = node.life
            self.fronts[node.name] = BatchFrontEnd(self, node)
            self.look(node, node.life)
        super().carry(node)

    def apply(self, node: Node, index: int, entry: Entry, state: dict[str, Any] | None) -> None:
        super().apply(node, index, entry, state)
        front = self.fronts[node.name]
        told = Told(index, entry, state["book"] if state is not None else None)
        if front.book.apply(told):
            front.heard(list(front.cancels.all.values()))

    def snapshot(self, node: Node) -> dict[str, Any]:
        return {**super().snapshot(node), "book": self.fronts[node.name].book.state()}

    def kill(self, node: Node, kind: str, length: int) -> None:
        if node.keeper is not None:
            self.fronts[node.name].shelf.close()
        super().kill(node, kind, length)

    def look(self, node: Node, life: int) -> None:
        if node.life != life or node.keeper is None:
            return
        if self.now >= node.frozen:
            self.fronts[node.name].tick()
            if node.holds(self.now) and node.member is not None:
                for body in self.fronts[node.name].cancels.due(node.clock(self.now)):
                    node.member.propose(node.clock(self.now), body)
                self.carry(node)
        self.later(max(self.now + PACE, node.frozen + 1), lambda: self.look(node, life))

    # Clients and workers.

    def clients(self, node: Node) -> None:
        if self.now >= self.end:
            return
        if node.keeper is not None and self.now >= node.frozen:
            draw, front = self.random, self.fronts[node.name]
            for _ in range(draw.randrange(6)):
                self.number += 1
                front.accept(f"c{self.number}", draw.choice("ab"), draw.choice(("once-only", "repeatable")),
                             draw.randrange(SECOND, LEFT))
            kind = draw.random()
            if kind < 0.25:
                self.enter({"do": "batch.cancel", "id": f"k{self.number}-{node.name}", "tenant": "t", "at": self.now,
                            "batch": draw.choice("ab"), "window": draw.randrange(SECOND, 8 * SECOND), "part": 0.0})
            elif kind < 0.6 and front.cancels.open:
                id_ = draw.choice(sorted(front.cancels.open.values()))
                self.enter({"do": "batch.restore", "id": f"restore-{id_}", "cancel": id_})
        self.later(self.now + self.random.randrange(2 * SECOND), partial(self.clients, node))

    def enter(self, body: dict[str, Any]) -> None:
        for node in self.nodes.values():
            if node.member is not None and self.now >= node.frozen and node.holds(self.now):
                node.member.propose(node.clock(self.now), body)
                self.carry(node)

    def send(self, front: BatchFrontEnd, it: Waiting) -> None:
        """To a modelled worker: in a moment its first byte leaves, and then it runs whatever becomes of us."""
        node, life, tries = front.node, front.node.life, it.tries
        self.later(self.now + self.random.randrange(20 * MS), partial(self.leaves, front, it, life, tries))
        if self.random.random() < 0.1:
            self.reply(node, life, self.now + 30 * MS, lambda: front.returned(it, "unrun")
                       if it.tries == tries and it.ivk not in front.begun else None)

    def leaves(self, front: BatchFrontEnd, it: Waiting, life: int, tries: int) -> None:
        node = front.node
        if node.life != life or node.keeper is None or it.over or not it.out or it.tries != tries:
            return
        if self.now < node.frozen:
            self.later(node.frozen + 1, partial(self.leaves, front, it, life, tries))
            return
        front.begun.add(it.ivk)
        at = self.now + self.random.randrange(10 * MS, 400 * MS)
        lost = self.random.random() < 0.08
        if not lost or self.random.random() < 0.5:
            self.later(at, partial(self.ran, it.ivk))
        self.reply(node, life, at + MS, lambda: front.returned(it, "lost" if lost else "completed")
                   if it.tries == tries else None)

    def ran(self, ivk: str) -> None:
        self.runs[ivk] = self.runs.get(ivk, 0) + 1
        if self.runs[ivk] > 1 and self.accepted[ivk] == "once-only":
            raise self.broken(f"{ivk} (once-only) ran twice")
        if self.finals.get(ivk) == "cancelled":
            raise self.broken(f"{ivk} ran after it was told as cancelled")

    def reply(self, node: Node, life: int, at: int, act: Callable[[], None]) -> None:
        def arrives() -> None:
            if node.life != life or node.keeper is None:
                return
            if self.now < node.frozen:
                self.later(node.frozen + 1, arrives)
            else:
                act()
        self.later(at, arrives)

    def closes(self, it: Waiting) -> None:
        """A parked call is over long before its own time: the record must have closed its cancel."""
        if not any(entry.body["do"] == "batch.close" and entry.body["cancel"] == it.parked
                   for entry in self.committed.values()):
            raise self.broken(f"{it.ivk} was closed, and the record never said so")

    def told(self, ivk: str, final: str) -> None:
        before = self.finals.setdefault(ivk, final)
        if before != final:
            raise self.broken(f"{ivk} was told as {before} and is told as {final}")

    def settled(self) -> None:
        self.play(self.now + LEFT + 15 * SECOND)
        super().settled()
        open_ = [ivk for ivk in self.accepted if ivk not in self.finals]
        if open_:
            raise self.broken(f"{len(open_)} of {len(self.accepted)} calls have no final answer, such as {open_[0]}")
        cancels = [front.cancels.dump() for front in self.fronts.values()]
        if any(each != cancels[0] for each in cancels):
            raise self.broken("front ends know different cancels")

    @property
    def closed(self) -> int:
        return sum(each.state == CLOSED for each in next(iter(self.fronts.values())).cancels.all.values())
