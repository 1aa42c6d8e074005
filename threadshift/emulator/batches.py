"""Batches of several front ends on a virtual clock.

The cancels, queue, store and state machine are the real ones; the consensus members are those of record.py, with its
cuts, freezes and kills; workers are simulated.

Disks fail and lose what was not synced, but a successful sync is durable here: each call is stored in one place only,
and a store that lost the record of a send would send the call again (docs/fleet-design.md, Open).

Invariants: a once-only call runs at most once; an accepted call has exactly one final answer in the end; a call that
was answered as cancelled does not run afterwards; and in the end all front ends have the same cancels."""
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

CALLS_PATH = Path("/calls")
MAX_TIME_LEFT = 25 * SECOND            # of a call when it is accepted
QUEUE_CHECK_INTERVAL = 100 * MS
FIRST_CANCELS_TIMEOUT = 10 * SECOND    # after which a front end sends calls without knowing the cancels


class BatchFrontEnd:
    """The steps of gateway/batch_service.py without its sockets; records and actions are in the same order."""

    def __init__(self, world: BatchSimulation, node: Node):
        self.world, self.node, self.started_at = world, node, node.clock(world.now)
        self.cancels = Cancels()
        self.book = Book({"batches": self.cancels}, world.voters)
        self.shelf = Shelf(CALLS_PATH, node.disk)
        self.queue = Queue(8)
        self.calls: dict[str, Waiting] = {}
        self.possibly_sent: set[str] = set()     # sent calls of which a byte may have been written
        now, wall = self.started_at, world.now
        for kept in sorted(self.shelf.calls.values(), key=lambda each: each.order):
            if kept.answer is not None:
                world.record_final(kept.ivk, kept.answer["final"])
                continue
            it = Waiting(kept.ivk, kept.tenant, kept.batch, kept.order, now + kept.remaining(wall), "t",
                         kept.tries + kept.out, parked=kept.parked)
            self.calls[it.ivk] = self.queue.add(it)
            if kept.may_have_run:
                self.queue.end(it)
                self.finish(it, "aborted")

    def keep(self, records: list[dict[str, Any]]) -> bool:
        """Stores records; returns False where the disk fails."""
        try:
            self.shelf.write(records)
        except ThreadshiftError:
            return False
        replacement = self.shelf.wrote(records)
        if replacement:
            self.shelf.journal.renew(*replacement)
        return True

    def accept(self, ivk: str, batch: str, effect: str, left: int) -> None:
        """Accepts a call once it is stored."""
        order, now = self.shelf.orders + 1, self.node.clock(self.world.now)
        stopped = self.queue.stopped.get(("t", batch))
        if self.keep([record("take", ivk=ivk, tenant="t", batch=batch, order=order, at=self.world.now, left=left,
                             effect=effect, parked=stopped.id if stopped else "", call={})]):
            self.calls[ivk] = self.queue.add(Waiting(ivk, "t", batch, order, now + left, "t"))
            self.world.accepted[ivk] = effect

    def tick(self) -> None:
        """Ends calls whose time is over, and sends those whose turn it is."""
        now = self.node.clock(self.world.now)
        for it in self.queue.ended(now):
            self.finish(it, "cancelled" if it.parked else "rejected")
        member = self.node.member
        if member is None or member.age(now) is None and now - self.started_at < FIRST_CANCELS_TIMEOUT:
            return
        out = list(self.queue.next(now))
        if out and not self.keep([record("out", ivk=each.ivk) for each in out]):
            for it in out:
                self.queue.taken_back(it)
            return
        for it in out:
            self.possibly_sent.discard(it.ivk)
            self.world.send(self, it)

    def on_send_ended(self, it: Waiting, end: str) -> None:
        if it.over or not it.out:
            return
        final = self.queue.returned(it, self.node.clock(self.world.now), end == "completed", end == "unrun", end)
        if final:
            self.finish(it, "completed" if end == "completed" else "aborted" if end == "lost" else "rejected")
        else:
            self.keep_returned(it)

    def keep_returned(self, it: Waiting) -> None:
        self.keep([record("back", ivk=it.ivk, tries=it.tries, parked=it.parked)])

    def finish(self, it: Waiting, final: str) -> None:
        """Answers a call once its final answer is stored; tries again when the disk fails."""
        self.calls.pop(it.ivk, None)
        if self.keep([record("end", ivk=it.ivk, at=self.world.now, answer={"final": final})]):
            if final == "cancelled" and it.ends - self.node.clock(self.world.now) > 2 * MOMENT + QUEUE_CHECK_INTERVAL:
                self.world.check_closed(it)
            self.world.record_final(it.ivk, final)
        else:
            self.world.schedule(self.world.now + SECOND, partial(self.retry_finish, it, final, self.node.life))

    def retry_finish(self, it: Waiting, final: str, life: int) -> None:
        if self.node.life == life and self.node.keeper is not None:
            self.finish(it, final)

    def on_cancels(self, cancels: list[Cancel]) -> None:
        """Applies cancels from the log: stops, restores or ends their calls."""
        for cancel in cancels:
            before = set(self.queue.under.get(cancel.id, ()))
            out, restored, over = self.queue.heard(cancel)
            for it in out:
                if it.ivk not in self.possibly_sent:
                    self.queue.taken_back(it)
                    self.keep_returned(it)
            new = [ivk for ivk in self.queue.under.get(cancel.id, ()) if ivk not in before]
            if new:
                self.keep([record("stop", cancel=cancel.id, ivks=new)])
            if restored:
                self.keep([record("free", cancel=cancel.id)])
            for it in over:
                self.finish(it, "cancelled")


class BatchSimulation(ConsensusSimulation):
    """One random history."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, seconds: int = 30):
        super().__init__(seed, voters, others, seconds, lies=False)
        self.fronts: dict[str, BatchFrontEnd] = {}
        self.accepted: dict[str, str] = {}       # call: effect
        self.finals: dict[str, str] = {}
        self.runs: dict[str, int] = {}
        self.number = 0
        for name in self.names:
            self.schedule(self.now + self.random.randrange(SECOND), partial(self.run_clients, self.nodes[name]))

    # Each node has a front end.

    def apply_effects(self, node: Node) -> None:
        if node.keeper is not None and node.front_end_life != node.life:
            node.front_end_life = node.life
            self.fronts[node.name] = BatchFrontEnd(self, node)
            self.run_timer_of_front_end(node, node.life)
        super().apply_effects(node)

    def apply(self, node: Node, index: int, entry: Entry, state: dict[str, Any] | None) -> None:
        super().apply(node, index, entry, state)
        front = self.fronts[node.name]
        told = Told(index, entry, state["book"] if state is not None else None)
        if front.book.apply(told):
            front.on_cancels(list(front.cancels.all.values()))

    def snapshot(self, node: Node) -> dict[str, Any]:
        return {**super().snapshot(node), "book": self.fronts[node.name].book.state()}

    def kill(self, node: Node, kind: str, length: int) -> None:
        if node.keeper is not None:
            self.fronts[node.name].shelf.close()
        super().kill(node, kind, length)

    def run_timer_of_front_end(self, node: Node, life: int) -> None:
        if node.life != life or node.keeper is None:
            return
        if self.now >= node.frozen_until:
            self.fronts[node.name].tick()
            if node.is_leader(self.now) and node.member is not None:
                for body in self.fronts[node.name].cancels.due(node.clock(self.now)):
                    node.member.propose(node.clock(self.now), body)
                self.apply_effects(node)
        self.schedule(max(self.now + QUEUE_CHECK_INTERVAL, node.frozen_until + 1),
                      lambda: self.run_timer_of_front_end(node, life))

    # Clients and workers.

    def run_clients(self, node: Node) -> None:
        if self.now >= self.end:
            return
        if node.keeper is not None and self.now >= node.frozen_until:
            draw, front = self.random, self.fronts[node.name]
            for _ in range(draw.randrange(6)):
                self.number += 1
                front.accept(f"c{self.number}", draw.choice("ab"), draw.choice(("once-only", "repeatable")),
                             draw.randrange(SECOND, MAX_TIME_LEFT))
            kind = draw.random()
            if kind < 0.25:
                self.propose({"do": "batch.cancel", "id": f"k{self.number}-{node.name}", "tenant": "t",
                              "at": self.now, "batch": draw.choice("ab"),
                              "window": draw.randrange(SECOND, 8 * SECOND), "part": 0.0})
            elif kind < 0.6 and front.cancels.open:
                id_ = draw.choice(sorted(front.cancels.open.values()))
                self.propose({"do": "batch.restore", "id": f"restore-{id_}", "cancel": id_})
        self.schedule(self.now + self.random.randrange(2 * SECOND), partial(self.run_clients, node))

    def propose(self, body: dict[str, Any]) -> None:
        for node in self.nodes.values():
            if node.member is not None and self.now >= node.frozen_until and node.is_leader(self.now):
                node.member.propose(node.clock(self.now), body)
                self.apply_effects(node)

    def send(self, front: BatchFrontEnd, it: Waiting) -> None:
        """Sends a call to a simulated worker. Once a byte is written, it may run even if the front end dies."""
        node, life, tries = front.node, front.node.life, it.tries
        self.schedule(self.now + self.random.randrange(20 * MS),
                      partial(self.on_first_byte_sent, front, it, life, tries))
        if self.random.random() < 0.1:
            self.schedule_reply(node, life, self.now + 30 * MS, lambda: front.on_send_ended(it, "unrun")
                       if it.tries == tries and it.ivk not in front.possibly_sent else None)

    def on_first_byte_sent(self, front: BatchFrontEnd, it: Waiting, life: int, tries: int) -> None:
        node = front.node
        if node.life != life or node.keeper is None or it.over or not it.out or it.tries != tries:
            return
        if self.now < node.frozen_until:
            self.schedule(node.frozen_until + 1, partial(self.on_first_byte_sent, front, it, life, tries))
            return
        front.possibly_sent.add(it.ivk)
        at = self.now + self.random.randrange(10 * MS, 400 * MS)
        lost = self.random.random() < 0.08
        if not lost or self.random.random() < 0.5:
            self.schedule(at, partial(self.on_run, it.ivk))
        self.schedule_reply(node, life, at + MS, lambda: front.on_send_ended(it, "lost" if lost else "completed")
                   if it.tries == tries else None)

    def on_run(self, ivk: str) -> None:
        self.runs[ivk] = self.runs.get(ivk, 0) + 1
        if self.runs[ivk] > 1 and self.accepted[ivk] == "once-only":
            raise self.violation(f"{ivk} (once-only) ran twice")
        if self.finals.get(ivk) == "cancelled":
            raise self.violation(f"{ivk} ran after it was answered as cancelled")

    def schedule_reply(self, node: Node, life: int, at: int, action: Callable[[], None]) -> None:
        def arrives() -> None:
            if node.life != life or node.keeper is None:
                return
            if self.now < node.frozen_until:
                self.schedule(node.frozen_until + 1, arrives)
            else:
                action()
        self.schedule(at, arrives)

    def check_closed(self, it: Waiting) -> None:
        """Checks that the log has closed the cancel of a parked call that ended before its own deadline."""
        if not any(entry.body["do"] == "batch.close" and entry.body["cancel"] == it.parked
                   for entry in self.committed.values()):
            raise self.violation(f"{it.ivk} was ended by its cancel, which the log has not closed")

    def record_final(self, ivk: str, final: str) -> None:
        before = self.finals.setdefault(ivk, final)
        if before != final:
            raise self.violation(f"{ivk} was answered as {before} and is answered as {final}")

    def check_final_state(self) -> None:
        self.run_until(self.now + MAX_TIME_LEFT + 15 * SECOND)
        super().check_final_state()
        unanswered = [ivk for ivk in self.accepted if ivk not in self.finals]
        if unanswered:
            raise self.violation(f"{len(unanswered)} of {len(self.accepted)} calls have no final answer, "
                                 f"such as {unanswered[0]}")
        cancels = [front.cancels.dump() for front in self.fronts.values()]
        if any(each != cancels[0] for each in cancels):
            raise self.violation("front ends have different cancels")

    @property
    def closed(self) -> int:
        return sum(each.state == CLOSED for each in next(iter(self.fronts.values())).cancels.all.values())
