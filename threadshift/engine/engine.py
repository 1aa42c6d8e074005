"""Drives a Dispatcher for the requests of one front end, without sockets, clocks or greenlets.

Create a RequestEngine(dispatcher, workers, clients) with the two ports that carry out its steps. admit() returns a
PendingRequest, whose on_send_ended() and on_client_gone() report what became of it. The answer to a load order or a
probe goes to on_answered() of its PendingWorkerQuery. Call tick() when the time that due() returns has come. Every
call takes `now` in nanoseconds of a monotonic clock; a `now` before the last one counts as the last one.

Beyond carrying out the dispatcher's decisions, the engine only settles how things end (the simulator, which drives
a Dispatcher through the package adapter, does the same itself):

- the first completed answer in time goes to the client and is final
- a send without an outcome at its request's deadline ends as a timeout
- a cancelled send ends at once
- a load order or a probe without an answer ends as a timeout

The same calls lead to the same steps.
"""
from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import Any, NamedTuple, Protocol

from threadshift.choice import NEVER_RAN, Dispatcher
from threadshift.interface import (
    SECOND, Action, Activation, Copy, EarlierRun, Effect, Outcome, Report, Step, WorkerListing)

MIN_PRUNED_DEADLINES = 1_024   # entries of the heap, below which those of what has ended may stay
PROBE_TIMEOUT = SECOND     # far longer than any answer takes on a network: a probe without one by then is lost


class FinalKind(Enum):
    """How a request was answered."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Answer(NamedTuple):
    """The final answer to a request. `reason` is a short code for logs and clients."""

    final: FinalKind
    reason: str
    body: bytes = b""
    error: str = ""              # the error that the function itself returned, by name; the call completed
    retry_after: int = 0         # ns after which the client may retry; 0: no advice
    may_have_run: bool = False


class Call(NamedTuple):
    """One call as a client requests it. Its fields are stored by name."""

    type: str
    function: str
    left: int                    # ns until the client gives up
    body: bytes = b""
    tenant: str = ""
    mark: str = ""               # idempotency key: workers recognize repeats of a deduplicated call by it
    work: int = 0                # cost hint in ns
    lanes: int = 1
    load_time: int = 0           # ns
    again: bool = False          # the client repeats an earlier call


@dataclass(slots=True, eq=False)
class SendRecord:
    """One send of a request: to which worker, when, and how it ended."""

    worker: str
    sent_at: int
    outcome: Outcome | None = None
    copy: Copy = Copy.UNKNOWN
    waited: int = 0              # ns that the worker took


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was admitted, until its answer is final and its last send has ended."""

    engine: RequestEngine
    id: str
    call: Call
    admitted_at: int
    deadline: int
    activation: Activation = field(init=False)
    sends: list[SendRecord] = field(default_factory=list)
    answer: Answer | None = None
    answered_at: int = 0
    earlier_runs: tuple[EarlierRun, ...] = ()    # of the same call, in earlier requests
    client_gone: bool = False    # the client left before its answer
    client: Any = None           # whatever the ClientPort stores with it

    def on_send_ended(self, now: int, number: int, outcome: Outcome, *, body: bytes = b"", error: str = "",
                      copy: Copy = Copy.UNKNOWN, report: Report | None = None, waited: int | None = None) -> None:
        """Reports the end of a send. A second report for the same send is counted and dropped.

        `waited` is the time that the worker took, where the port can tell it from the time spent in this process."""
        self.engine.on_send_ended(self, now, number, outcome, body, error, copy, report, waited)

    def on_client_gone(self, now: int) -> None:
        """Reports that the client is gone, so that it needs no answer."""
        self.engine.on_client_gone(self, now)

    def time_left(self, now: int) -> int:
        """ns until the deadline; negative after it."""
        return self.deadline - now

    @property
    def is_settled(self) -> bool:
        """Whether the client needs no answer any more."""
        return self.answer is not None or self.client_gone


@dataclass(slots=True, eq=False)
class PendingWorkerQuery:
    """A load order or a probe that waits for its worker's answer."""

    engine: RequestEngine
    worker: str
    function: str = ""           # of a load order; empty for a probe
    is_done: bool = False

    def on_answered(self, now: int, outcome: Outcome, *, copies: int = 0, report: Report | None = None) -> None:
        """Reports the answer, or why there is none. Further reports are ignored."""
        self.engine.on_query_answered(self, now, outcome, copies, report)


class SendDeadline(NamedTuple):
    """A send that is withdrawn unless its first byte has been written by a certain time."""

    pending: PendingRequest
    number: int


class WorkerPort(Protocol):
    """Carries steps to workers. A returned outcome is final: no report will follow."""

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None: ...
    def cancel(self, worker: str, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome: ...
    # Whether nothing of the send was written yet; it is not sent then.
    def withdraw(self, worker: str, pending: PendingRequest, number: int) -> bool: ...
    def order_load(self, worker: str, query: PendingWorkerQuery) -> Outcome | None: ...
    def probe(self, worker: str, query: PendingWorkerQuery) -> Outcome | None: ...


class ClientPort(Protocol):
    """Delivers final answers to clients."""

    # Whether the client has disconnected and that has not been read yet.
    def has_unread_disconnect(self, pending: PendingRequest) -> bool: ...
    def on_answered(self, pending: PendingRequest) -> None: ...
    # Nothing more will be reported for the request.
    def on_finished(self, pending: PendingRequest) -> None: ...


class RequestEngine:
    """Carries out the decisions of a Dispatcher, of which it is the only owner."""

    def __init__(self, dispatcher: Dispatcher, workers: WorkerPort, clients: ClientPort,
                 load_order_timeout: int = 10 * SECOND):
        self.dispatcher, self.workers, self.clients, self.load_order_timeout = (
            dispatcher, workers, clients, load_order_timeout)
        self.now = 0
        self.requests: dict[str, PendingRequest] = {}   # without a final answer, or with open sends
        self.owed = 0                           # how many of them have no final answer yet
        # Heap of (due time, serial number, what ends then).
        self.deadlines: list[tuple[int, int, PendingRequest | PendingWorkerQuery | SendDeadline]] = []
        self.prune_at = MIN_PRUNED_DEADLINES    # entries at which those of what has ended are removed
        self.next_serial = count().__next__
        self.queued_steps: deque[Step] = deque()
        self.is_executing = False
        self.postponed_steps: list[Step] = []   # until the next tick
        self.counts: Counter[str] = Counter()
        self.final_deadline: int | None = None  # when the last answer is due, once this front end shuts down

    # Requests and events.

    def admit(self, now: int, request_id: str, call: Call, client: Any = None, received_at: int | None = None,
              earlier_runs: tuple[EarlierRun, ...] = ()) -> PendingRequest:
        """Takes over a call, whose type must be known. From here on it gets exactly one final answer.

        Its time left counts from `received_at`, which is `now` where it is not given: however long the caller took
        since it read its clock, the deadline stays the client's. `earlier_runs` are what
        Dispatcher.earlier_runs() returned of earlier requests with the same call."""
        now = self.advance_clock(now)
        deadline = (now if received_at is None else received_at) + call.left
        if self.final_deadline is not None:
            deadline = min(deadline, self.final_deadline)
        call = call._replace(left=deadline - now)
        pending = PendingRequest(self, request_id, call, now, max(now, deadline), client=client,
                                 earlier_runs=earlier_runs)
        pending.activation = self.dispatcher.admit(
            now, request_id, call.type, call.function, call.left, tenant=call.tenant, cost_hint=call.work,
            lanes=call.lanes, load_time=call.load_time, is_client_retry=call.again, earlier_runs=earlier_runs)
        self.requests[request_id] = pending
        self.owed += 1
        self.counts["taken"] += 1
        heapq.heappush(self.deadlines, (pending.deadline, self.next_serial(), pending))
        if len(self.deadlines) >= self.prune_at:
            self.prune_deadlines()
        self.execute_steps(now, pending.activation.start(now))
        return pending

    def shorten_deadlines(self, now: int, last: int) -> None:
        """Before a shutdown: all requests, also those admitted later, are answered by `last`."""
        self.final_deadline = last
        for pending in self.requests.values():
            if pending.deadline > last:
                pending.deadline = last
                heapq.heappush(self.deadlines, (last, self.next_serial(), pending))
        self.dispatcher.shorten_deadlines(last)

    def update_workers(self, now: int, listings: list[WorkerListing], full: bool) -> None:
        """Passes on the workers that are new or changed; with `full`, those not listed are gone."""
        now = self.advance_clock(now)
        self.execute_steps(now, self.dispatcher.update_workers(now, listings, full))

    def prune_deadlines(self) -> None:
        """Removes the entries of what has ended: thousands of requests a second may end long before their time."""
        self.deadlines = [entry for entry in self.deadlines if not self.is_obsolete(entry[2])]
        heapq.heapify(self.deadlines)
        self.prune_at = max(MIN_PRUNED_DEADLINES, 2 * len(self.deadlines))

    def due(self) -> int:
        """When tick() has to be called next."""
        if self.postponed_steps:
            return self.now
        while self.deadlines and self.is_obsolete(self.deadlines[0][2]):
            heapq.heappop(self.deadlines)
        return min(self.dispatcher.due(), self.deadlines[0][0]) if self.deadlines else self.dispatcher.due()

    def tick(self, now: int) -> None:
        """Ends what has run out of time by now: the dispatcher's timers first, then the engine's own deadlines."""
        now = self.advance_clock(now)
        steps, self.postponed_steps = self.postponed_steps, []
        self.execute_steps(now, steps)
        self.execute_steps(now, self.dispatcher.tick(now))
        while self.deadlines and self.deadlines[0][0] <= now:
            _, _, item = heapq.heappop(self.deadlines)
            if isinstance(item, PendingRequest):
                self.on_deadline(item, now)
            elif isinstance(item, SendDeadline):
                self.withdraw_send(*item, now)
            elif not item.is_done:
                item.on_answered(now, Outcome.TIMEOUT)

    def answer_overdue(self, now: int) -> None:
        """Answers the requests whose deadline has passed, after a stall of this process.

        Everything else that follows from their end waits for the next tick: it may lead to sends, before which
        updates of workers that arrived during the stall must be read."""
        now = self.advance_clock(now)
        steps = self.dispatcher.give_up_overdue(now)
        for step in steps:
            pending = self.requests.get(step.activation.id) if step.activation else None
            if step.action in (Action.REJECT, Action.ABORT) and pending and not pending.is_settled:
                self.answer_client(pending, now, build_refusal(pending, step, now))
        self.postponed_steps += steps

    def on_send_ended(self, pending: PendingRequest, now: int, number: int, outcome: Outcome, body: bytes = b"",
                      error: str = "", copy: Copy = Copy.UNKNOWN, report: Report | None = None,
                      waited: int | None = None) -> None:
        """Records the end of a send; the first completed one in time answers the client."""
        now, sent = self.advance_clock(now), pending.sends[number]
        if sent.outcome is not None:
            self.counts["late"] += 1
            return
        sent.outcome, sent.copy = outcome, copy
        sent.waited = now - sent.sent_at if waited is None else min(waited, now - sent.sent_at)
        self.counts[outcome.value] += 1
        final = outcome is Outcome.COMPLETED and not pending.is_settled and now <= pending.deadline
        if final:
            self.answer_client(pending, now, Answer(FinalKind.COMPLETED, "completed", body, error))
        self.execute_steps(now, pending.activation.on_send_ended(
            now, number, outcome, sent.waited, copy=copy, final=final, report=report))
        self.release(pending)

    def on_client_gone(self, pending: PendingRequest, now: int) -> None:
        """The client left before its answer: the dispatcher ends what is still under way for it."""
        if pending.is_settled:
            return
        now, pending.client_gone = self.advance_clock(now), True
        self.owed -= 1
        self.counts["left"] += 1
        self.execute_steps(now, pending.activation.on_client_gone(now))
        self.release(pending)

    def on_query_answered(self, query: PendingWorkerQuery, now: int, outcome: Outcome, copies: int,
                          report: Report | None) -> None:
        """Passes the end of a load order or a probe to the dispatcher, once."""
        if query.is_done:
            return
        now, query.is_done = self.advance_clock(now), True
        self.execute_steps(now, self.dispatcher.on_load_ended(now, query.worker, query.function, outcome, copies)
                           if query.function
                           else self.dispatcher.on_report(now, query.worker, outcome, report))

    # Steps.

    def execute_steps(self, now: int, steps: Iterable[Step]) -> None:
        """Carries out steps in order. Steps that follow from a port's immediate outcome are queued behind them."""
        self.queued_steps.extend(steps)
        if self.is_executing:
            return
        self.is_executing = True
        try:
            while self.queued_steps:
                self.execute_step(self.queued_steps.popleft(), now)
        finally:
            self.is_executing = False

    def execute_step(self, step: Step, now: int) -> None:
        """Carries out one step of the dispatcher."""
        pending = self.requests.get(step.activation.id) if step.activation else None
        if step.action is Action.SEND and pending:
            number = len(pending.sends)
            pending.sends.append(SendRecord(step.worker, now))
            self.counts["sends"] += 1
            if not pending.is_settled and self.clients.has_unread_disconnect(pending):
                self.on_client_gone(pending, now)
            # Nothing is sent for a request that has its answer, whatever the order of the steps.
            outcome = Outcome.NEVER_SENT if pending.is_settled else self.workers.send(step.worker, pending, number)
            if outcome is not None:
                self.on_send_ended(pending, now, number, outcome)
            elif step.amount:
                heapq.heappush(self.deadlines, (now + step.amount, self.next_serial(), SendDeadline(pending, number)))
        elif step.action is Action.CANCEL and pending:
            self.cancel_send(pending, now, step.amount, notify_worker=True)
        elif step.action in (Action.REJECT, Action.ABORT) and pending:
            if not pending.is_settled:
                self.answer_client(pending, now, build_refusal(pending, step, now))
            self.release(pending)
        elif step.action is Action.LOAD:
            self.send_query(PendingWorkerQuery(self, step.worker, step.function), now, self.load_order_timeout,
                            self.workers.order_load)
        elif step.action is Action.PROBE:
            self.send_query(PendingWorkerQuery(self, step.worker), now, PROBE_TIMEOUT, self.workers.probe)

    def send_query(self, query: PendingWorkerQuery, now: int, timeout: int, port: Any) -> None:
        """Gives a load order or a probe to the port's method and sets its deadline."""
        self.counts["orders" if query.function else "questions"] += 1
        heapq.heappush(self.deadlines, (now + timeout, self.next_serial(), query))
        outcome = port(query.worker, query)
        if outcome is not None:
            self.on_query_answered(query, now, outcome, 0, None)

    def cancel_send(self, pending: PendingRequest, now: int, number: int, notify_worker: bool) -> None:
        """Ends a send that has no outcome. One that is still in this process's buffer never ran."""
        sent = pending.sends[number]
        if sent.outcome is None:
            outcome = self.workers.cancel(sent.worker, pending, number, notify_worker)
            self.on_send_ended(pending, now, number,
                               outcome if notify_worker or outcome is Outcome.NEVER_SENT else Outcome.TIMEOUT)

    def withdraw_send(self, pending: PendingRequest, number: int, now: int) -> None:
        """Ends a send of which no byte was written."""
        sent = pending.sends[number]
        if sent.outcome is None and self.workers.withdraw(sent.worker, pending, number):
            self.on_send_ended(pending, now, number, Outcome.NEVER_SENT)

    def on_deadline(self, pending: PendingRequest, now: int) -> None:
        """Ends all open sends of a request whose time is up, and the request."""
        for number, sent in enumerate(pending.sends):
            if sent.outcome is None:
                self.cancel_send(pending, now, number, notify_worker=False)
        if not pending.is_settled:
            # The dispatcher answers two ticks earlier. This guards against a fault there; the count shows it.
            self.counts["overdue"] += 1
            self.answer_client(pending, now, Answer(FinalKind.ABORTED, "overdue", may_have_run=may_have_run(pending)))
            self.execute_steps(now, pending.activation.on_client_gone(now))
        self.release(pending)

    def answer_client(self, pending: PendingRequest, now: int, answer: Answer) -> None:
        """Sets the final answer and delivers it. No other place answers a client."""
        pending.answer, pending.answered_at = answer, now
        self.owed -= 1
        self.counts[f"answered {answer.final.value}"] += 1
        self.clients.on_answered(pending)

    def release(self, pending: PendingRequest) -> None:
        """Withdraws what is not sent yet once the client needs no answer, and forgets a finished request."""
        # This does not depend on whether cancels are allowed: the client is answered, or gone.
        for number in range(len(pending.sends) if pending.is_settled else 0):
            self.withdraw_send(pending, number, self.now)
        if pending.is_settled:
            self.drop_bodies(pending)
        if pending.is_settled and pending.activation.is_finished and pending.id in self.requests:
            del self.requests[pending.id]
            self.clients.on_finished(pending)
            # Breaks reference cycles. With one left by each call, garbage collections stop the process for tens
            # of milliseconds.
            pending.client = None
            pending.activation.sends.clear()
            pending.activation.possible_runs.clear()

    @staticmethod
    def drop_bodies(pending: PendingRequest) -> None:
        """Drops what was received for a request that needs no answer any more, and of which nothing is left to send.

        The heaps refer to it until its deadline has come, and its last send may go on as long."""
        pending.call = pending.call._replace(body=b"")
        if pending.answer is not None:
            pending.answer = pending.answer._replace(body=b"")

    def advance_clock(self, now: int) -> int:
        """The time that counts as now; it never goes back."""
        self.now = max(self.now, now)
        return self.now

    @staticmethod
    def is_obsolete(item: PendingRequest | PendingWorkerQuery | SendDeadline) -> bool:
        """Whether an entry of the heap has ended already, so that its deadline does not matter."""
        if isinstance(item, SendDeadline):
            return item.pending.sends[item.number].outcome is not None
        return (item.is_done if isinstance(item, PendingWorkerQuery)
                else item.is_settled and item.activation.is_finished)


def may_have_run(pending: PendingRequest) -> bool:
    """Whether any of its sends, or of earlier ones of its call, may have run, judged by how they ended so far."""
    return bool(pending.earlier_runs) or any(sent.outcome not in NEVER_RAN for sent in pending.sends)


def build_refusal(pending: PendingRequest, step: Step, now: int) -> Answer:
    """The answer for a rejection or an abort. Its reason is taken from the last send, if there was one."""
    last = pending.sends[-1].outcome if pending.sends else None
    if pending.activation.answer_due <= now:
        reason = "time-up"
    elif pending.sends:
        reason = f"last-send-{last.value.replace(' ', '-')}" if last else "send-under-way"
    else:
        reason = "over-share" if pending.activation.low_priority else "no-room"
    ran = may_have_run(pending)
    if step.action is Action.ABORT:
        return Answer(FinalKind.ABORTED, reason, may_have_run=ran)
    # A repeatable call may be retried although it may have run; the answer says both.
    return Answer(FinalKind.REJECTED, reason, retry_after=step.amount,
                  may_have_run=ran and pending.activation.type_stats.effect is not Effect.ONCE_ONLY)
