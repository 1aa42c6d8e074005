"""A front end in the emulator: the real desk, decisions and membership behind modelled connections.

What a broken connection proves is kept as the links have it: a frame that had not left never ran; one on its way, or
delivered and not answered, may have run.
"""
from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from threadshift.choice import Dispatcher
from threadshift.days.day import Day
from threadshift.desk.desk import Asked, Call, Desk, Held
from threadshift.emulator.clock import Clock
from threadshift.emulator.network import Network
from threadshift.emulator.worker import Job, ModelWorker
from threadshift.interface import MS, Copy, Outcome, Report
from threadshift.links.redial import Redial
from threadshift.roster.membership import Entry, Membership

CONNECT = 300 * MS         # until a dial that nobody answers counts as failed; a day's `bounds connect` where told


class ModelFront:
    """One life of a front end; a restart makes a new one."""

    def __init__(self, clock: Clock, day: Day, name: str, zone: str, network: Network, seed: int,
                 answered: Callable[[Held], None], refuse: Callable[[Any], None]):
        self.clock, self.day, self.name, self.zone, self.network = clock, day, name, zone, network
        chance = random.Random(f"{seed} {name} {clock.now}")
        self.chance = chance.random
        told = day.told.deployment._replace(front_ends=day.front_ends, zone=zone)
        self.desk = Desk(Dispatcher(chance.getrandbits(63), told, clock.now), self, self, day.told.bounds.load_order)
        self.membership = Membership(told.drain_grace)
        self.tell, self.refuse = answered, refuse
        self.alive = True
        self.backlog: list[tuple] | None = None     # what came while its process stood still ...
        self.stopped = 0                            # ... since then
        self.held_up = 0                            # what is heard now may have waited so long unread
        self.redials: dict[str, Redial] = {}
        self.not_before: dict[str, int] = {}
        self.out: dict[str, dict[Any, None]] = {}       # worker: what waits for its answer
        self.serial = 0
        clock.after(0, self.tick)

    # The one timer.

    def tick(self) -> None:
        if not self.alive:
            return
        if self.backlog is not None:
            return
        if self.desk.due() <= self.clock.now:
            self.desk.tick(self.clock.now)
        self.told_of(self.membership.tick(self.clock.now))
        # The live timer comes every tick; nothing happens here in between, so the next due one will do.
        due = max(self.clock.now + self.day.told.deployment.tick, self.desk.due())
        if self.membership.empty_since is not None:
            due = min(due, self.clock.now + self.membership.grace // 2)
        self.clock.at(due, self.tick)

    def hear(self, act: Callable[..., None], *words: Any) -> None:
        """Something arrives; a process that stands still reads it later, one that is dead never."""
        if not self.alive:
            return
        if self.backlog is not None:
            self.backlog.append((act, words))
            return
        act(*words)

    # Clients and roster.

    def take(self, call: Call, client: Any) -> None:
        if call.left <= self.held_up:
            self.refuse(client)
            return
        call = call._replace(left=call.left - self.held_up)
        self.serial += 1
        self.desk.take(self.clock.now, f"{self.name}-{self.serial}", call, client)

    def listed(self, entries: list[Entry], full: bool) -> None:
        self.told_of(self.membership.listed(self.clock.now, self.clock.now, entries, full))

    def told_of(self, listings: list) -> None:
        if listings:
            self.desk.roster(self.clock.now, listings, full=False)

    def drains(self, worker: str) -> None:
        self.told_of(self.membership.draining(worker))

    def stop(self) -> None:
        if self.backlog is None:
            self.backlog, self.stopped = [], self.clock.now

    def go_on(self) -> None:
        """The timer is first, as it is late; then what came meanwhile."""
        if self.backlog is None:
            return                  # another process by now
        backlog, self.backlog, self.held_up = self.backlog, None, self.clock.now - self.stopped
        self.tick()
        for act, words in backlog:
            act(*words)
        self.held_up = 0

    def answered(self, held: Held) -> None:
        self.tell(held)

    def over(self, held: Held) -> None:
        """Nothing is kept here."""

    # The desk's port to workers.

    def send(self, worker: str, held: Held, number: int) -> Outcome | None:
        it = self.network.reach(self.name, self.zone, worker)
        if it is None or self.clock.now < self.not_before.get(worker, 0):
            return self.refused(worker)
        key = (held, number)
        self.out.setdefault(worker, {})[key] = None
        mark, work = held.call.mark.split(" ")
        job = Job(self.name, mark, held.call.function, held.act.kind.effect.value, int(work), held.deadline,
                  lambda outcome, copy, report: self.network.back(self, it, self.replied, worker, key, outcome, copy,
                                                                  report))
        self.network.forth(self, it, self.deliver, it, job, held.call.work, max(1, held.call.lanes))
        return None

    @staticmethod
    def deliver(it: ModelWorker, job: Job, hint: int, lanes: int) -> None:
        it.invoke(job, hint)
        shelf = it.shelves.get(job.function)
        if shelf is not None:
            shelf.lanes = lanes

    def replied(self, worker: str, key: tuple, outcome: Outcome | None, copy: Copy, report: Report | None) -> None:
        if outcome is None:
            self.broke(worker)
            return
        if self.out.get(worker, {}).pop(key, key) is not None:
            return
        held, number = key
        held.returned(self.clock.now, number, outcome, copy=copy, report=report)

    def refused(self, worker: str) -> Outcome:
        """A dial that fails, or the pause after one."""
        if self.clock.now >= self.not_before.get(worker, 0):
            redial = self.redials.setdefault(worker, Redial(self.chance))
            self.not_before[worker] = redial.broke(self.clock.now)
        return Outcome.UNREACHABLE

    def broke(self, worker: str) -> None:
        """The connection to a worker broke: all that waits there may have run."""
        waiting, self.out[worker] = list(self.out.get(worker, ())), {}
        self.redials.setdefault(worker, Redial(self.chance))
        self.not_before[worker] = self.redials[worker].broke(self.clock.now)
        for key in waiting:
            if isinstance(key, Asked):
                key.answered(self.clock.now, Outcome.RESET)
            else:
                key[0].returned(self.clock.now, key[1], Outcome.RESET)

    def cancel(self, worker: str, held: Held, number: int, tell: bool) -> Outcome:
        self.out.get(worker, {}).pop((held, number), None)
        return Outcome.CANCELLED

    def hold(self, worker: str, order: Asked) -> Outcome | None:
        it = self.network.reach(self.name, self.zone, worker)
        if it is None:
            return self.refused(worker)
        self.out.setdefault(worker, {})[order] = None
        self.network.forth(self, it, it.hold, self.name, order.fn, lambda outcome, copies: self.network.back(
            self, it, self.held, worker, order, outcome, copies))
        return None

    def held(self, worker: str, order: Asked, outcome: Outcome, copies: int) -> None:
        self.out.get(worker, {}).pop(order, None)
        order.answered(self.clock.now, outcome, copies=copies)

    def ask(self, worker: str, question: Asked) -> Outcome | None:
        it = self.network.reach(self.name, self.zone, worker)
        if it is None:
            return self.refused(worker)
        self.out.setdefault(worker, {})[question] = None
        self.network.forth(self, it, self.network.back, self, it, self.reported, worker, question)
        return None

    def reported(self, worker: str, question: Asked) -> None:
        self.out.get(worker, {}).pop(question, None)
        it = self.network.workers.get(worker)
        question.answered(self.clock.now, Outcome.COMPLETED if it else Outcome.RESET,
                          report=it.report if it else None)
