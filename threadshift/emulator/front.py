"""A front end in the emulator: the real engine, decisions, worker registry and admission behind modelled connections.

Its processor is one server, first come first served: what arrives while it is busy waits, and how long is the lag by
which admission refuses at the door.

What a broken connection proves is kept as the links have it: a frame that had not left never ran; one on its way, or
delivered and not answered, may have run.
"""
from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from threadshift.choice import Dispatcher
from threadshift.days.fault_scenario import FaultScenario
from threadshift.engine import previous_process
from threadshift.engine.engine import PendingWorkerQuery, Call, PendingRequest, RequestEngine
from threadshift.emulator.clock import Clock
from threadshift.emulator.network import Network
from threadshift.emulator.worker import Job, ModelWorker
from threadshift.interface import Copy, Deployment, Outcome, Report, WorkerState
from threadshift.invoke.admission import READING_INTERVAL, Admission
from threadshift.invoke.shares import weights
from threadshift.links.redial import ReconnectBackoff
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry

# ns of processor: a call read, parsed and placed, or refused at the door; what workers say is in network.py.
# Together a served call costs 320 us, as measured at saturation with 12 workers.
CALL, REFUSED = 190_000, 110_000

Policy = Callable[[int, Deployment, int], Dispatcher]


class ModelFront:
    """One life of a front end; a restart makes a new one."""

    def __init__(self, clock: Clock, day: FaultScenario, name: str, zone: str, network: Network, seed: int,
                 answered: Callable[[PendingRequest], None], refuse: Callable[[Any], None],
                 policy: Policy = Dispatcher):
        self.clock, self.day, self.name, self.zone, self.network = clock, day, name, zone, network
        chance = random.Random(f"{seed} {name} {clock.now}")
        self.chance = chance.random
        told = day.config.deployment._replace(front_ends=day.front_ends, zone=zone)
        dispatcher = policy(chance.getrandbits(63), told, clock.now)
        if hasattr(dispatcher, "see"):
            dispatcher.see(network)         # an oracle
        previous_process.count_free_orders_as_given(dispatcher, told, clock.now)
        self.engine = RequestEngine(dispatcher, self, self, day.config.bounds.load_order)
        self.registry = WorkerRegistry(told.drain_grace)
        self.tell, self.refuse = answered, refuse
        self.admission = Admission(min(each.target_latency for each in told.types), weights(told.tenants))
        self.hall: Any = None        # its announcements, where it has any
        self.alive, self.closing = True, False
        self.inbox: deque[tuple] = deque()          # what waits for the processor
        self.busy_until = self.waiting = 0          # ns; the work of the inbox
        self.used = 0                               # ns of processor, in all
        self.asks = 0                               # questions for load, in all
        self.backlog: list[tuple] | None = None     # what came while its process stood still
        self.held_up = 0                            # what is heard now may have waited so long unread
        self.backoffs: dict[str, ReconnectBackoff] = {}
        self.links: dict[str, int] = {}             # worker: the start, by its hello, of the life that is linked
        self.dialling: set[str] = set()
        self.out: dict[str, dict[Any, None]] = {}       # worker: what waits for its answer
        self.serial = 0
        clock.after(0, self.tick)

    # The one timer.

    def tick(self) -> None:
        if not self.alive or self.backlog is not None:
            return
        if self.engine.due() <= self.clock.now:
            self.engine.tick(self.clock.now)
        self.apply_listings(self.registry.tick(self.clock.now))
        # The live timer comes every tick; nothing happens here in between, so the next due one will do.
        due = max(self.clock.now + self.day.config.deployment.tick, self.engine.due())
        if self.registry.empty_since is not None:
            due = min(due, self.clock.now + self.registry.grace // 2)
        self.clock.at(due, self.tick)

    def hear(self, cost: int, act: Callable[..., None], *words: Any) -> None:
        """Something arrives. One busy reads it in turn, one that stands still later, one that is dead never."""
        if not self.alive:
            return
        it = (cost, act, words, self.clock.now)
        if self.backlog is not None:
            self.backlog.append(it)
        elif self.inbox or self.clock.now < self.busy_until:
            if not self.inbox:
                self.clock.at(self.busy_until, self.work)
            self.inbox.append(it)
            self.waiting += cost
        else:
            self.do(*it)

    def do(self, cost: int, act: Callable[..., None], words: tuple, came: int) -> None:
        self.busy_until = self.clock.now + cost
        self.used += cost
        self.held_up = self.clock.now - came    # unread, while the client's time ran (invoke/poll_monitor.py)
        act(*words)
        self.held_up = 0

    def work(self) -> None:
        """The processor is free for the next in turn."""
        if not self.alive or self.backlog is not None or not self.inbox:
            return
        it = self.inbox.popleft()
        self.waiting -= it[0]
        self.do(*it)
        if self.inbox:
            self.clock.at(self.busy_until, self.work)

    @property
    def lag(self) -> int:
        """How late a timer would come now, ns."""
        return max(0, self.busy_until - self.clock.now) + self.waiting

    # Clients and roster.

    def take(self, call: Call, client: Any) -> None:
        if self.clock.now - self.admission.last_reading_at >= READING_INTERVAL:
            self.admission.record_lag(self.clock.now, self.lag)
        if call.left <= self.held_up or self.closing or not self.admission.admit(call.again, call.tenant):
            self.busy_until -= CALL - REFUSED
            self.used -= CALL - REFUSED
            self.refuse(client)
            return
        call = call._replace(left=call.left - self.held_up)
        self.serial += 1
        self.engine.admit(self.clock.now, f"{self.name}-{self.serial}", call, client)

    def listed(self, entries: list[WorkerEntry], full: bool) -> None:
        self.apply_listings(self.registry.apply_current(self.clock.now, self.clock.now, entries, full))
        for each in entries:
            if each.state is not WorkerState.GONE and each.worker not in self.links:
                self.dial(each.worker)

    def apply_listings(self, listings: list) -> None:
        if listings:
            self.engine.update_workers(self.clock.now, listings, full=False)

    def drains(self, worker: str) -> None:
        self.apply_listings(self.registry.on_draining(worker))

    def stop(self) -> None:
        if self.backlog is None:
            self.backlog = []

    def go_on(self) -> None:
        """The roster's and workers' word that came meanwhile, then answers, the timer, and calls: what the
        CATCH_UP_TIME of invoke/api.py gives time for."""
        if self.backlog is None:
            return                  # another process by now
        backlog, self.backlog = self.backlog, None
        waiting = [*self.inbox, *backlog]
        self.inbox.clear()
        self.waiting = 0
        first = (self.listed, self.drains)
        self.hear_all([each for each in waiting if each[1] in first])
        self.hear_all([each for each in waiting if each[1] not in first and each[0] != CALL])
        self.tick()
        self.hear_all([each for each in waiting if each[0] == CALL])

    def hear_all(self, waiting: list[tuple]) -> None:
        for it in waiting:
            self.do(*it)

    def drain(self) -> None:
        """Told to end in order: routes first, where it announces any."""
        if self.hall is not None:
            self.hall.drain.begin(self.clock.now, self.hall.arrivals.per_second(self.clock.now))
        else:
            self.close()

    def close(self) -> None:
        """No new calls; the process ends with its last answer, or when its time for that is up."""
        if not self.closing:
            self.closing = True
            self.clock.after(self.day.config.bounds.drain, self.end)
            self.end_if_done()

    def end_if_done(self) -> None:
        if self.closing and not self.engine.owed:
            self.end()

    def end(self) -> None:
        self.alive = False
        if self.hall is not None:
            self.hall.router.lost(self.hall)

    def linked(self, worker: str) -> bool:
        return worker in self.links

    def dial(self, worker: str, again: bool = False) -> None:
        """A link, and the hello that tells when the worker started: before anything is sent to it, as with real ones.
        Found by a hunt: a lone worker back cold was flooded before the roster told of its start."""
        if not self.alive or worker in self.links or worker in self.dialling and not again:
            return
        self.dialling.discard(worker)
        if self.registry.known[worker].entry.state is WorkerState.GONE:
            return
        it = self.network.reach(worker)
        if it is None:
            self.dialling.add(worker)
            self.clock.at(
                self.backoffs.setdefault(worker, ReconnectBackoff(self.chance)).on_disconnected(self.clock.now),
                self.dial, worker, True)
            return
        self.links[worker] = it.started
        self.backoffs.setdefault(worker, ReconnectBackoff(self.chance)).on_connected(self.clock.now)
        self.apply_listings(self.registry.on_hello(self.clock.now, self.clock.now, worker, it.started))
        if it.draining:
            self.drains(worker)

    def link(self, worker: str) -> ModelWorker | None:
        """The worker, where its link stands. One that died a moment ago is still linked, and swallows."""
        it = self.network.workers.get(worker)
        return it if it is not None and self.links.get(worker) == it.started else None

    def on_answered(self, pending: PendingRequest) -> None:
        if self.hall is not None:
            self.hall.recent.record(self.clock.now, pending)
        self.tell(pending)
        if self.closing:
            self.clock.after(0, self.end_if_done)

    def has_unread_disconnect(self, pending: PendingRequest) -> bool:
        return False        # word of it is heard in the order in which it came

    def on_finished(self, pending: PendingRequest) -> None:
        """Nothing is kept here."""

    # The engine's port to workers.

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None:
        it = self.link(worker)
        if it is None:
            return Outcome.UNREACHABLE
        key = (pending, number)
        self.out.setdefault(worker, {})[key] = None
        mark, work = pending.call.mark.split(" ")
        job = Job(self.name, mark, pending.call.function, pending.activation.type_stats.effect.value, int(work),
                  pending.deadline,
                  lambda outcome, copy, report: self.network.back(self, it, self.replied, worker, key, outcome, copy,
                                                                  report))
        self.network.forth(self, it, it.invoke, job, pending.call.work, max(1, pending.call.lanes))
        return None

    def replied(self, worker: str, key: tuple, outcome: Outcome | None, copy: Copy, report: Report | None) -> None:
        if outcome is None:
            self.broke(worker)
            return
        if self.out.get(worker, {}).pop(key, key) is not None:
            return
        pending, number = key
        pending.on_send_ended(self.clock.now, number, outcome, copy=copy, report=report)

    def broke(self, worker: str) -> None:
        """The connection to a worker broke: all that waits there may have run."""
        waiting, self.out[worker] = list(self.out.get(worker, ())), {}
        self.links.pop(worker, None)
        if worker not in self.dialling:
            self.dialling.add(worker)
            self.clock.at(
                self.backoffs.setdefault(worker, ReconnectBackoff(self.chance)).on_disconnected(self.clock.now),
                self.dial, worker, True)
        for key in waiting:
            if isinstance(key, PendingWorkerQuery):
                key.on_answered(self.clock.now, Outcome.RESET)
            else:
                key[0].on_send_ended(self.clock.now, key[1], Outcome.RESET)

    def cancel(self, worker: str, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome:
        self.out.get(worker, {}).pop((pending, number), None)
        it = self.link(worker)
        if notify_worker and it is not None:
            self.network.forth(self, it, it.cancel, self.name, pending.call.mark.split(" ")[0])
        return Outcome.CANCELLED

    def withdraw(self, worker: str, pending: PendingRequest, number: int) -> bool:
        return False        # a modelled connection takes everything at once

    def order_load(self, worker: str, order: PendingWorkerQuery) -> Outcome | None:
        it = self.link(worker)
        if it is None:
            return Outcome.UNREACHABLE
        self.out.setdefault(worker, {})[order] = None
        self.network.forth(self, it, it.hold, self.name, order.function, lambda outcome, copies: self.network.back(
            self, it, self.held, worker, order, outcome, copies))
        return None

    def held(self, worker: str, order: PendingWorkerQuery, outcome: Outcome, copies: int) -> None:
        self.out.get(worker, {}).pop(order, None)
        order.on_answered(self.clock.now, outcome, copies=copies)

    def probe(self, worker: str, question: PendingWorkerQuery) -> Outcome | None:
        it = self.link(worker)
        self.asks += 1
        if it is None:
            return Outcome.UNREACHABLE
        self.out.setdefault(worker, {})[question] = None
        self.network.forth(self, it, self.network.back, self, it, self.reported, worker, question)
        return None

    def reported(self, worker: str, question: PendingWorkerQuery) -> None:
        self.out.get(worker, {}).pop(question, None)
        it = self.network.workers.get(worker)
        question.on_answered(self.clock.now, Outcome.COMPLETED if it else Outcome.RESET,
                          report=it.report if it else None)
