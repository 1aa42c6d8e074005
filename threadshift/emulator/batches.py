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
from threadshift.batches.queue import FINAL_ANSWER_MARGIN, BatchCall, BatchQueue
from threadshift.batches.store import BatchStore, make_record
from threadshift.consensus.state_machines import StateMachineRegistry
from threadshift.consensus.persistent_state import LogEntry
from threadshift.consensus.member import CommittedEntry
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
        self.state_machines = StateMachineRegistry({"batches": self.cancels}, world.voters)
        self.store = BatchStore(CALLS_PATH, node.disk)
        self.queue = BatchQueue(8)
        self.calls: dict[str, BatchCall] = {}
        self.possibly_sent: set[str] = set()     # sent calls of which a byte may have been written
        now, wall = self.started_at, world.now
        for kept in sorted(self.store.calls.values(), key=lambda each: each.order):
            if kept.answer is not None:
                world.record_final(kept.ivk, kept.answer["final"])
                continue
            it = BatchCall(kept.ivk, kept.tenant, kept.batch, kept.order, now + kept.remaining(wall), "t",
                           kept.tries + kept.out, parked_by=kept.parked)
            self.calls[it.id] = self.queue.add(it)
            if kept.may_have_run:
                self.queue.finish(it)
                self.finish(it, "aborted")

    def keep(self, records: list[dict[str, Any]]) -> bool:
        """Stores records; returns False where the disk fails."""
        try:
            self.store.write(records)
        except ThreadshiftError:
            return False
        replacement = self.store.on_written(records)
        if replacement:
            self.store.journal.rewrite(*replacement)
        return True

    def accept(self, ivk: str, batch: str, effect: str, left: int) -> None:
        """Accepts a call once it is stored."""
        order, now = self.store.last_order + 1, self.node.clock(self.world.now)
        stopped = self.queue.open_cancels.get(("t", batch))
        if self.keep([make_record("take", ivk=ivk, tenant="t", batch=batch, order=order, at=self.world.now, left=left,
                             effect=effect, parked=stopped.id if stopped else "", call={})]):
            self.calls[ivk] = self.queue.add(BatchCall(ivk, "t", batch, order, now + left, "t"))
            self.world.accepted[ivk] = effect

    def tick(self) -> None:
        """Ends calls whose time is over, and sends those whose turn it is."""
        now = self.node.clock(self.world.now)
        for it in self.queue.expire(now):
            self.finish(it, "cancelled" if it.parked_by else "rejected")
        member = self.node.member
        if member is None or member.staleness(now) is None and now - self.started_at < FIRST_CANCELS_TIMEOUT:
            return
        out = list(self.queue.take_ready(now))
        if out and not self.keep([make_record("out", ivk=each.id) for each in out]):
            for it in out:
                self.queue.withdraw(it)
            return
        for it in out:
            self.possibly_sent.discard(it.id)
            self.world.send(self, it)

    def on_send_ended(self, it: BatchCall, end: str) -> None:
        if it.is_done or not it.is_out:
            return
        final = self.queue.on_returned(it, self.node.clock(self.world.now), end == "completed", end == "unrun", end)
        if final:
            self.finish(it, "completed" if end == "completed" else "aborted" if end == "lost" else "rejected")
        else:
            self.keep_returned(it)

    def keep_returned(self, it: BatchCall) -> None:
        self.keep([make_record("back", ivk=it.id, tries=it.tries, parked=it.parked_by)])

    def finish(self, it: BatchCall, final: str) -> None:
        """Answers a call once its final answer is stored; tries again when the disk fails."""
        self.calls.pop(it.id, None)
        if self.keep([make_record("end", ivk=it.id, at=self.world.now, answer={"final": final})]):
            if final == "cancelled" and (
                    it.deadline - self.node.clock(self.world.now) > 2 * FINAL_ANSWER_MARGIN + QUEUE_CHECK_INTERVAL):
                self.world.check_closed(it)
            self.world.record_final(it.id, final)
        else:
            self.world.schedule(self.world.now + SECOND, partial(self.retry_finish, it, final, self.node.life))

    def retry_finish(self, it: BatchCall, final: str, life: int) -> None:
        if self.node.life == life and self.node.durable_member is not None:
            self.finish(it, final)

    def on_cancels(self, cancels: list[Cancel]) -> None:
        """Applies cancels from the log: stops, restores or ends their calls."""
        for cancel in cancels:
            before = set(self.queue.parked.get(cancel.id, ()))
            out, restored, over = self.queue.apply_cancel(cancel)
            for it in out:
                if it.id not in self.possibly_sent:
                    self.queue.withdraw(it)
                    self.keep_returned(it)
            new = [ivk for ivk in self.queue.parked.get(cancel.id, ()) if ivk not in before]
            if new:
                self.keep([make_record("stop", cancel=cancel.id, ivks=new)])
            if restored:
                self.keep([make_record("free", cancel=cancel.id)])
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
        if node.durable_member is not None and node.front_end_life != node.life:
            node.front_end_life = node.life
            self.fronts[node.name] = BatchFrontEnd(self, node)
            self.run_timer_of_front_end(node, node.life)
        super().apply_effects(node)

    def apply(self, node: Node, index: int, entry: LogEntry, state: dict[str, Any] | None) -> None:
        super().apply(node, index, entry, state)
        front = self.fronts[node.name]
        told = CommittedEntry(index, entry, state["book"] if state is not None else None)
        if front.state_machines.apply(told):
            front.on_cancels(list(front.cancels.all.values()))

    def snapshot(self, node: Node) -> dict[str, Any]:
        return {**super().snapshot(node), "book": self.fronts[node.name].state_machines.dump()}

    def kill(self, node: Node, kind: str, length: int) -> None:
        if node.durable_member is not None:
            self.fronts[node.name].store.close()
        super().kill(node, kind, length)

    def run_timer_of_front_end(self, node: Node, life: int) -> None:
        if node.life != life or node.durable_member is None:
            return
        if self.now >= node.frozen_until:
            self.fronts[node.name].tick()
            if node.is_leader(self.now) and node.member is not None:
                for body in self.fronts[node.name].cancels.due_entries(node.clock(self.now)):
                    node.member.propose(node.clock(self.now), body)
                self.apply_effects(node)
        self.schedule(max(self.now + QUEUE_CHECK_INTERVAL, node.frozen_until + 1),
                      lambda: self.run_timer_of_front_end(node, life))

    # Clients and workers.

    def run_clients(self, node: Node) -> None:
        if self.now >= self.end:
            return
        if node.durable_member is not None and self.now >= node.frozen_until:
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

    def send(self, front: BatchFrontEnd, it: BatchCall) -> None:
        """Sends a call to a simulated worker. Once a byte is written, it may run even if the front end dies."""
        node, life, tries = front.node, front.node.life, it.tries
        self.schedule(self.now + self.random.randrange(20 * MS),
                      partial(self.on_first_byte_sent, front, it, life, tries))
        if self.random.random() < 0.1:
            self.schedule_reply(node, life, self.now + 30 * MS, lambda: front.on_send_ended(it, "unrun")
                       if it.tries == tries and it.id not in front.possibly_sent else None)

    def on_first_byte_sent(self, front: BatchFrontEnd, it: BatchCall, life: int, tries: int) -> None:
        node = front.node
        if node.life != life or node.durable_member is None or it.is_done or not it.is_out or it.tries != tries:
            return
        if self.now < node.frozen_until:
            self.schedule(node.frozen_until + 1, partial(self.on_first_byte_sent, front, it, life, tries))
            return
        front.possibly_sent.add(it.id)
        at = self.now + self.random.randrange(10 * MS, 400 * MS)
        lost = self.random.random() < 0.08
        if not lost or self.random.random() < 0.5:
            self.schedule(at, partial(self.on_run, it.id))
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
            if node.life != life or node.durable_member is None:
                return
            if self.now < node.frozen_until:
                self.schedule(node.frozen_until + 1, arrives)
            else:
                action()
        self.schedule(at, arrives)

    def check_closed(self, it: BatchCall) -> None:
        """Checks that the log has closed the cancel of a parked call that ended before its own deadline."""
        if not any(entry.body["do"] == "batch.close" and entry.body["cancel"] == it.parked_by
                   for entry in self.committed.values()):
            raise self.violation(f"{it.id} was ended by its cancel, which the log has not closed")

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
