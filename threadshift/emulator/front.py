"""A simulated front end: the real engine, dispatcher, worker registry and admission with simulated connections.

Its processor handles one event at a time, in order of arrival. Events that arrive meanwhile wait, and their waiting
time is the lag on which admission rejects requests.

A broken connection has the same meaning as in the real links: a frame that was not written never ran, and one that
was written and not answered may have run.
"""
from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from threadshift.choice import Dispatcher
from threadshift.days.fault_scenario import FaultScenario
from threadshift.engine.engine import PendingWorkerQuery, Call, PendingRequest, RequestEngine
from threadshift.emulator.clock import Clock
from threadshift.emulator.network import Network
from threadshift.emulator.worker import Job, ModelWorker
from threadshift.interface import Copy, Deployment, Outcome, Report, WorkerState
from threadshift.invoke.admission import READING_INTERVAL, Admission
from threadshift.invoke.shares import weights
from threadshift.links.redial import ReconnectBackoff
from threadshift.discovery.registry import WorkerEntry, WorkerRegistry

# Processor time of a call that is read, parsed and dispatched, and of one that admission rejects; answers of workers
# are in network.py. A served call costs 320 us in all, which is that of a real one at saturation with 12 workers.
CALL_COST = 190_000            # ns
REFUSED_COST = 110_000         # ns

Policy = Callable[[int, Deployment, int], Dispatcher]


class ModelFront:
    """One front end process; a restart makes a new one."""

    def __init__(self, clock: Clock, day: FaultScenario, name: str, zone: str, network: Network, seed: int,
                 answered: Callable[[PendingRequest], None], refuse: Callable[[Any], None],
                 policy: Policy = Dispatcher):
        self.clock, self.day, self.name, self.zone, self.network = clock, day, name, zone, network
        generator = random.Random(f"{seed} {name} {clock.now}")
        self.random = generator.random
        deployment = day.config.deployment._replace(front_ends=day.front_ends, zone=zone)
        dispatcher = policy(generator.getrandbits(63), deployment, clock.now)
        if hasattr(dispatcher, "set_network"):
            dispatcher.set_network(network)         # a policy for comparison that knows the true state of the workers
        dispatcher.load_ration.assume_predecessor(clock.now)
        self.engine = RequestEngine(dispatcher, self, self, day.config.bounds.load_order)
        self.registry = WorkerRegistry(deployment.drain_grace)
        self.deliver_answer, self.deliver_refusal = answered, refuse
        self.admission = Admission(min(each.target_latency for each in deployment.types), weights(deployment.tenants))
        self.service_announcer: Any = None          # its ModelServiceAnnouncer, if it announces routes
        self.alive, self.closing = True, False
        self.inbox: deque[tuple] = deque()          # events that wait for the processor
        self.busy_until = self.queued_cost = 0      # the latter is the processor time that the inbox needs
        self.processor_time = 0                     # in all
        self.probe_count = 0                        # in all
        self.backlog: list[tuple] | None = None     # events received while the process is suspended
        self.unread_time = 0                        # how long the current event waited unread
        self.backoffs: dict[str, ReconnectBackoff] = {}
        self.links: dict[str, int] = {}             # worker: the start time in the hello of its process
        self.dialling: set[str] = set()
        self.unanswered: dict[str, dict[Any, None]] = {}        # worker: sends and queries without an answer
        self.last_number = 0
        clock.after(0, self.tick)

    # Timer and processor.

    def tick(self) -> None:
        if not self.alive or self.backlog is not None:
            return
        if self.engine.due() <= self.clock.now:
            self.engine.tick(self.clock.now)
        self.apply_listings(self.registry.tick(self.clock.now))
        # The real timer runs every tick; here nothing changes in between, so the next one that is due is enough.
        due = max(self.clock.now + self.day.config.deployment.tick, self.engine.due())
        if self.registry.empty_since is not None:
            due = min(due, self.clock.now + self.registry.grace // 2)
        self.clock.at(due, self.tick)

    def receive(self, cost: int, action: Callable[..., None], *arguments: Any) -> None:
        """Takes an event: runs it now, or queues it while the process is busy or suspended; a dead one drops it."""
        if not self.alive:
            return
        it = (cost, action, arguments, self.clock.now)
        if self.backlog is not None:
            self.backlog.append(it)
        elif self.inbox or self.clock.now < self.busy_until:
            if not self.inbox:
                self.clock.at(self.busy_until, self.process_next)
            self.inbox.append(it)
            self.queued_cost += cost
        else:
            self.process(*it)

    def process(self, cost: int, action: Callable[..., None], arguments: tuple, received_at: int) -> None:
        self.busy_until = self.clock.now + cost
        self.processor_time += cost
        # The time for which an event waited unread counts against the client's time, as in invoke/poll_monitor.py.
        self.unread_time = self.clock.now - received_at
        action(*arguments)
        self.unread_time = 0

    def process_next(self) -> None:
        """Runs the next event once the processor is free."""
        if not self.alive or self.backlog is not None or not self.inbox:
            return
        it = self.inbox.popleft()
        self.queued_cost -= it[0]
        self.process(*it)
        if self.inbox:
            self.clock.at(self.busy_until, self.process_next)

    @property
    def lag(self) -> int:
        """How late a timer would run now."""
        return max(0, self.busy_until - self.clock.now) + self.queued_cost

    # Clients and the worker list.

    def admit(self, call: Call, client: Any) -> None:
        """Admits or rejects a call; what it waited unread is taken from its time."""
        if self.clock.now - self.admission.last_reading_at >= READING_INTERVAL:
            self.admission.record_lag(self.clock.now, self.lag)
        if call.left <= self.unread_time or self.closing or not self.admission.admit(call.again, call.tenant):
            self.busy_until -= CALL_COST - REFUSED_COST
            self.processor_time -= CALL_COST - REFUSED_COST
            self.deliver_refusal(client)
            return
        call = call._replace(left=call.left - self.unread_time)
        self.last_number += 1
        self.engine.admit(self.clock.now, f"{self.name}-{self.last_number}", call, client)

    def on_list(self, entries: list[WorkerEntry], full: bool) -> None:
        self.apply_listings(self.registry.apply_current(self.clock.now, self.clock.now, entries, full))
        for each in entries:
            if each.state is not WorkerState.GONE and each.worker not in self.links:
                self.dial(each.worker)

    def apply_listings(self, listings: list) -> None:
        if listings:
            self.engine.update_workers(self.clock.now, listings, full=False)

    def on_worker_draining(self, worker: str) -> None:
        self.apply_listings(self.registry.on_draining(worker))

    def suspend(self) -> None:
        """Stops the process, as SIGSTOP does."""
        if self.backlog is None:
            self.backlog = []

    def resume(self) -> None:
        """Handles what was received meanwhile: news of workers first, then answers, the timer, and last the calls.

        The real process gets this order by CATCH_UP_TIME in invoke/api.py."""
        if self.backlog is None:
            return                  # this process was not suspended
        backlog, self.backlog = self.backlog, None
        waiting = [*self.inbox, *backlog]
        self.inbox.clear()
        self.queued_cost = 0
        first = (self.on_list, self.on_worker_draining)
        self.process_all([each for each in waiting if each[1] in first])
        self.process_all([each for each in waiting if each[1] not in first and each[0] != CALL_COST])
        self.tick()
        self.process_all([each for each in waiting if each[0] == CALL_COST])

    def process_all(self, waiting: list[tuple]) -> None:
        for it in waiting:
            self.process(*it)

    def drain(self) -> None:
        """Begins an orderly end, by withdrawing its routes if it announces any."""
        if self.service_announcer is not None:
            self.service_announcer.drain.begin(
                self.clock.now, self.service_announcer.arrivals.per_second(self.clock.now))
        else:
            self.close()

    def close(self) -> None:
        """Refuses new calls; the process ends with its last answer, or when the drain time is over."""
        if not self.closing:
            self.closing = True
            self.clock.after(self.day.config.bounds.drain, self.end)
            self.end_if_done()

    def end_if_done(self) -> None:
        if self.closing and not self.engine.owed:
            self.end()

    def end(self) -> None:
        """Ends the process."""
        self.alive = False
        if self.service_announcer is not None:
            self.service_announcer.router.on_session_lost(self.service_announcer)

    def is_linked(self, worker: str) -> bool:
        return worker in self.links

    def dial(self, worker: str, again: bool = False) -> None:
        """Connects to a worker and receives its hello before anything is sent, as the real links do.

        The hello has the worker's start time. Without it, the only worker was flooded when it came back cold, before
        the worker list had its new start time."""
        if not self.alive or worker in self.links or worker in self.dialling and not again:
            return
        self.dialling.discard(worker)
        if self.registry.known[worker].entry.state is WorkerState.GONE:
            return
        it = self.network.find_alive(worker)
        if it is None:
            self.dialling.add(worker)
            self.clock.at(
                self.backoffs.setdefault(worker, ReconnectBackoff(self.random)).on_disconnected(self.clock.now),
                self.dial, worker, True)
            return
        self.links[worker] = it.started
        self.backoffs.setdefault(worker, ReconnectBackoff(self.random)).on_connected(self.clock.now)
        self.apply_listings(self.registry.on_hello(self.clock.now, self.clock.now, worker, it.started))
        if it.draining:
            self.on_worker_draining(worker)

    def linked_worker(self, worker: str) -> ModelWorker | None:
        """The worker, if connected. One that has just died is still connected, and what is sent to it is lost."""
        it = self.network.workers.get(worker)
        return it if it is not None and self.links.get(worker) == it.started else None

    def on_answered(self, pending: PendingRequest) -> None:
        if self.service_announcer is not None:
            self.service_announcer.recent.record(self.clock.now, pending)
        self.deliver_answer(pending)
        if self.closing:
            self.clock.after(0, self.end_if_done)

    def has_unread_disconnect(self, pending: PendingRequest) -> bool:
        return False        # disconnects are handled in the order in which they arrive

    def on_finished(self, pending: PendingRequest) -> None:
        """Does nothing: nothing is stored for a request here."""

    # The engine's port to workers.

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None:
        it = self.linked_worker(worker)
        if it is None:
            return Outcome.UNREACHABLE
        key = (pending, number)
        self.unanswered.setdefault(worker, {})[key] = None
        mark, work = pending.call.mark.split(" ")
        job = Job(self.name, mark, pending.call.function, pending.activation.type_stats.effect.value, int(work),
                  pending.deadline,
                  lambda outcome, copy, report: self.network.send_to_front_end(
                      self, it, self.on_send_answered, worker, key, outcome, copy, report))
        self.network.send_to_worker(self, it, it.invoke, job, pending.call.work, max(1, pending.call.lanes))
        return None

    def on_send_answered(self, worker: str, key: tuple, outcome: Outcome | None, copy: Copy,
                         report: Report | None) -> None:
        if outcome is None:
            self.on_connection_lost(worker)
            return
        if self.unanswered.get(worker, {}).pop(key, key) is not None:
            return
        pending, number = key
        pending.on_send_ended(self.clock.now, number, outcome, copy=copy, report=report)

    def on_connection_lost(self, worker: str) -> None:
        """Ends all sends and queries to a worker whose connection broke: they may have run."""
        unanswered, self.unanswered[worker] = list(self.unanswered.get(worker, ())), {}
        self.links.pop(worker, None)
        if worker not in self.dialling:
            self.dialling.add(worker)
            self.clock.at(
                self.backoffs.setdefault(worker, ReconnectBackoff(self.random)).on_disconnected(self.clock.now),
                self.dial, worker, True)
        for key in unanswered:
            if isinstance(key, PendingWorkerQuery):
                key.on_answered(self.clock.now, Outcome.RESET)
            else:
                key[0].on_send_ended(self.clock.now, key[1], Outcome.RESET)

    def cancel(self, worker: str, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome:
        self.unanswered.get(worker, {}).pop((pending, number), None)
        it = self.linked_worker(worker)
        if notify_worker and it is not None:
            self.network.send_to_worker(self, it, it.cancel, self.name, pending.call.mark.split(" ")[0])
        return Outcome.CANCELLED

    def withdraw(self, worker: str, pending: PendingRequest, number: int) -> bool:
        return False        # a simulated connection transmits everything at once

    def order_load(self, worker: str, order: PendingWorkerQuery) -> Outcome | None:
        it = self.linked_worker(worker)
        if it is None:
            return Outcome.UNREACHABLE
        self.unanswered.setdefault(worker, {})[order] = None
        self.network.send_to_worker(
            self, it, it.order_load, self.name, order.function,
            lambda outcome, copies: self.network.send_to_front_end(
                self, it, self.on_load_order_answered, worker, order, outcome, copies))
        return None

    def on_load_order_answered(self, worker: str, order: PendingWorkerQuery, outcome: Outcome, copies: int) -> None:
        self.unanswered.get(worker, {}).pop(order, None)
        order.on_answered(self.clock.now, outcome, copies=copies)

    def probe(self, worker: str, question: PendingWorkerQuery) -> Outcome | None:
        it = self.linked_worker(worker)
        self.probe_count += 1
        if it is None:
            return Outcome.UNREACHABLE
        self.unanswered.setdefault(worker, {})[question] = None
        self.network.send_to_worker(
            self, it, self.network.send_to_front_end, self, it, self.on_probe_answered, worker, question)
        return None

    def on_probe_answered(self, worker: str, question: PendingWorkerQuery) -> None:
        self.unanswered.get(worker, {}).pop(question, None)
        it = self.network.workers.get(worker)
        question.on_answered(self.clock.now, Outcome.COMPLETED if it else Outcome.RESET,
                          report=it.report if it else None)
