"""Drives one Dispatcher without sockets, clocks or greenlets: calls in, steps out to ports.

Make a RequestEngine(dispatcher, workers, clients). admit() returns a PendingRequest; its on_send_ended() and
on_client_gone() report what became of it. The answer to a load order or a probe goes to on_answered() of its
PendingWorkerQuery. Call tick() when the time that due() returns has come.
Every call takes `now`, whole ns of a clock that does not go back; a `now` before the last one counts as the last one.

What the engine adds to the decisions is only what the bench's wire did for them: the first completed answer is handed
on and is final; a send with no outcome at the end of its activation's time ends as a time-out; a cancelled send ends
at once; an order or a question that nobody answers ends as a time-out. The same calls bring the same steps.
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
from threadshift.interface import SECOND, Activation, Copy, Action, Effect, WorkerListing, Outcome, Report, Step

ASK_WAIT = SECOND          # a question that nobody answered so long is lost; far above any answer on a network


class FinalKind(Enum):
    """The three final answers."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Answer(NamedTuple):
    """A final answer. `reason` is one word for logs and clients."""

    final: FinalKind
    reason: str
    body: bytes = b""
    error: str = ""              # the function's own error, by name; the call completed all the same
    retry_after: int = 0           # ns; 0: no advice
    may_have_run: bool = False


class Call(NamedTuple):
    """What a client asks for."""

    type: str
    function: str
    left: int                    # ns until its client gives up
    body: bytes = b""
    tenant: str = ""
    mark: str = ""               # by which a repeat of a deduplicated call is known
    work: int = 0                # cost hint in ns
    lanes: int = 1
    load_time: int = 0
    again: bool = False          # a repetition by the client


@dataclass(slots=True, eq=False)
class SendRecord:
    """One send as it left: where to, when, and how it ended."""

    worker: str
    sent_at: int
    outcome: Outcome | None = None
    copy: Copy = Copy.UNKNOWN
    waited: int = 0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """The handle of one activation taken."""

    engine: RequestEngine
    id: str
    call: Call
    admitted_at: int
    deadline: int
    activation: Activation = field(init=False)
    sends: list[SendRecord] = field(default_factory=list)
    answer: Answer | None = None
    answered_at: int = 0
    client_gone: bool = False    # its client quit first
    client: Any = None           # whatever the clients' port keeps with it

    def on_send_ended(self, now: int, number: int, outcome: Outcome, *, body: bytes = b"", error: str = "",
                      copy: Copy = Copy.UNKNOWN, report: Report | None = None, waited: int | None = None) -> None:
        """A send ended. What comes for a send that has ended before is counted and dropped. `waited` is what the
        worker took, where the port can tell that from what we took ourselves."""
        self.engine.on_send_ended(self, now, number, outcome, body, error, copy, report, waited)

    def on_client_gone(self, now: int) -> None:
        """The client is gone; no answer is owed."""
        self.engine.on_client_gone(self, now)

    def time_left(self, now: int) -> int:
        return self.deadline - now

    @property
    def is_settled(self) -> bool:
        return self.answer is not None or self.client_gone


@dataclass(slots=True, eq=False)
class PendingWorkerQuery:
    """A load order (function set) or a question for a report, on its way to a worker."""

    engine: RequestEngine
    worker: str
    function: str = ""
    is_done: bool = False

    def on_answered(self, now: int, outcome: Outcome, *, copies: int = 0, report: Report | None = None) -> None:
        self.engine.on_query_answered(self, now, outcome, copies, report)


class SendDeadline(NamedTuple):
    """A send that has to leave by a time, or not at all."""

    pending: PendingRequest
    number: int


class WorkerPort(Protocol):
    """What carries steps to workers. An outcome handed back at once means that nothing will follow."""

    def send(self, worker: str, pending: PendingRequest, number: int) -> Outcome | None: ...
    def cancel(self, worker: str, pending: PendingRequest, number: int, notify_worker: bool) -> Outcome: ...
    # True where it never left, and will not
    def withdraw(self, worker: str, pending: PendingRequest, number: int) -> bool: ...
    def order_load(self, worker: str, order: PendingWorkerQuery) -> Outcome | None: ...
    def probe(self, worker: str, question: PendingWorkerQuery) -> Outcome | None: ...


class ClientPort(Protocol):
    """What takes final answers to clients, and hears when nothing more can come for a handle."""

    # Whether the client has disconnected and that has not been read yet.
    def has_unread_disconnect(self, pending: PendingRequest) -> bool: ...
    def on_answered(self, pending: PendingRequest) -> None: ...
    def on_finished(self, pending: PendingRequest) -> None: ...


class RequestEngine:
    """The only owner of a Dispatcher."""

    def __init__(self, dispatcher: Dispatcher, workers: WorkerPort, clients: ClientPort,
                 order_wait: int = 10 * SECOND):
        self.dispatcher, self.workers, self.clients, self.order_wait = dispatcher, workers, clients, order_wait
        self.now = 0
        self.requests: dict[str, PendingRequest] = {}         # answer owed, or sends out
        self.owed = 0                           # of them, without their final answer
        # (due, serial, what ends then)
        self.times: list[tuple[int, int, PendingRequest | PendingWorkerQuery | SendDeadline]] = []
        self.serial = count().__next__
        self.todo: deque[Step] = deque()
        self.busy = False
        self.counts: Counter[str] = Counter()
        self.last: int | None = None            # when the last answer must be given, once we are to end

    # What comes in.

    def admit(self, now: int, ivk: str, call: Call, client: Any = None) -> PendingRequest:
        """A call is taken: from here on it is owed one final answer. Its type must be known."""
        now = self.clock(now)
        if self.last is not None:
            call = call._replace(left=min(call.left, self.last - now))
        pending = PendingRequest(self, ivk, call, now, now + max(0, call.left), client=client)
        pending.activation = self.dispatcher.admit(
            now, ivk, call.type, call.function, call.left, tenant=call.tenant, cost_hint=call.work, lanes=call.lanes,
            load_time=call.load_time, is_client_retry=call.again)
        self.requests[ivk] = pending
        self.owed += 1
        self.counts["taken"] += 1
        heapq.heappush(self.times, (pending.deadline, self.serial(), pending))
        self.execute_steps(now, pending.activation.start(now))
        return pending

    def shorten_deadlines(self, now: int, last: int) -> None:
        """This front end is to end: all that is owed, and all taken from here on, is answered by `last`."""
        self.last = last
        for pending in self.requests.values():
            if pending.deadline > last:
                pending.deadline = last
                heapq.heappush(self.times, (last, self.serial(), pending))
        self.dispatcher.shorten_deadlines(last)

    def update_workers(self, now: int, listings: list[WorkerListing], full: bool) -> None:
        now = self.clock(now)
        self.execute_steps(now, self.dispatcher.update_workers(now, listings, full))

    def due(self) -> int:
        while self.times and self.past(self.times[0][2]):
            heapq.heappop(self.times)
        return min(self.dispatcher.due(), self.times[0][0]) if self.times else self.dispatcher.due()

    def tick(self, now: int) -> None:
        """All that time alone ends by now: activations without an answer first, then sends, orders, questions."""
        now = self.clock(now)
        self.execute_steps(now, self.dispatcher.tick(now))
        while self.times and self.times[0][0] <= now:
            _, _, what = heapq.heappop(self.times)
            if isinstance(what, PendingRequest):
                self.time_up(what, now)
            elif isinstance(what, SendDeadline):
                self.withdraw_send(*what, now)
            elif not what.is_done:
                what.on_answered(now, Outcome.TIMEOUT)

    # What handles pass on.

    def on_send_ended(self, pending: PendingRequest, now: int, number: int, outcome: Outcome, body: bytes = b"",
              error: str = "", copy: Copy = Copy.UNKNOWN, report: Report | None = None,
              waited: int | None = None) -> None:
        now, sent = self.clock(now), pending.sends[number]
        if sent.outcome is not None:
            self.counts["late"] += 1
            return
        sent.outcome, sent.copy = outcome, copy
        sent.waited = now - sent.sent_at if waited is None else min(waited, now - sent.sent_at)
        self.counts[outcome.value] += 1
        final = outcome is Outcome.COMPLETED and not pending.is_settled and now <= pending.deadline
        if final:
            self.finish(pending, now, Answer(FinalKind.COMPLETED, "completed", body, error))
        self.execute_steps(now, pending.activation.on_send_ended(
            now, number, outcome, sent.waited, copy=copy, final=final, report=report))
        self.release(pending)

    def on_client_gone(self, pending: PendingRequest, now: int) -> None:
        if pending.is_settled:
            return
        now, pending.client_gone = self.clock(now), True
        self.owed -= 1
        self.counts["left"] += 1
        self.execute_steps(now, pending.activation.on_client_gone(now))
        self.release(pending)

    def on_query_answered(self, asked: PendingWorkerQuery, now: int, outcome: Outcome, copies: int,
                report: Report | None) -> None:
        if asked.is_done:
            return
        now, asked.is_done = self.clock(now), True
        self.execute_steps(now, self.dispatcher.on_load_ended(now, asked.worker, asked.function, outcome, copies)
                           if asked.function
                           else self.dispatcher.on_report(now, asked.worker, outcome, report))

    # What goes out.

    def execute_steps(self, now: int, steps: Iterable[Step]) -> None:
        """Carries out steps in order. What a port answers at once is heard after the steps before it."""
        self.todo.extend(steps)
        if self.busy:
            return
        self.busy = True
        try:
            while self.todo:
                self.step(self.todo.popleft(), now)
        finally:
            self.busy = False

    def step(self, step: Step, now: int) -> None:
        pending = self.requests.get(step.activation.id) if step.activation else None
        if step.action is Action.SEND and pending:
            number = len(pending.sends)
            pending.sends.append(SendRecord(step.worker, now))
            self.counts["sends"] += 1
            if not pending.is_settled and self.clients.has_unread_disconnect(pending):
                self.on_client_gone(pending, now)
            # Nothing leaves for an activation that has its answer, whatever order the steps came in.
            outcome = Outcome.NEVER_SENT if pending.is_settled else self.workers.send(step.worker, pending, number)
            if outcome is not None:
                self.on_send_ended(pending, now, number, outcome)
            elif step.amount:
                heapq.heappush(self.times, (now + step.amount, self.serial(), SendDeadline(pending, number)))
        elif step.action is Action.CANCEL and pending:
            self.cancel_send(pending, now, step.amount, notify_worker=True)
        elif step.action in (Action.REJECT, Action.ABORT) and pending:
            if not pending.is_settled:
                self.finish(pending, now, refusal(pending, step, now))
            self.release(pending)
        elif step.action is Action.LOAD:
            self.send_query(PendingWorkerQuery(self, step.worker, step.function), now, self.order_wait,
                            self.workers.order_load)
        elif step.action is Action.PROBE:
            self.send_query(PendingWorkerQuery(self, step.worker), now, ASK_WAIT, self.workers.probe)

    def send_query(self, asked: PendingWorkerQuery, now: int, wait: int, port: Any) -> None:
        self.counts["orders" if asked.function else "questions"] += 1
        heapq.heappush(self.times, (now + wait, self.serial(), asked))
        outcome = port(asked.worker, asked)
        if outcome is not None:
            self.on_query_answered(asked, now, outcome, 0, None)

    def cancel_send(self, pending: PendingRequest, now: int, number: int, notify_worker: bool) -> None:
        """Ends a send that has no outcome; one still in our own buffer never ran."""
        sent = pending.sends[number]
        if sent.outcome is None:
            outcome = self.workers.cancel(sent.worker, pending, number, notify_worker)
            self.on_send_ended(pending, now, number,
                               outcome if notify_worker or outcome is Outcome.NEVER_SENT else Outcome.TIMEOUT)

    def withdraw_send(self, pending: PendingRequest, number: int, now: int) -> None:
        """Ends a send of which nothing has left."""
        sent = pending.sends[number]
        if sent.outcome is None and self.workers.withdraw(sent.worker, pending, number):
            self.on_send_ended(pending, now, number, Outcome.NEVER_SENT)

    def time_up(self, pending: PendingRequest, now: int) -> None:
        for number, sent in enumerate(pending.sends):
            if sent.outcome is None:
                self.cancel_send(pending, now, number, notify_worker=False)
        if not pending.is_settled:
            # The dispatcher answers two ticks earlier; this stands against a fault there, loudly in the counts.
            self.counts["overdue"] += 1
            self.finish(pending, now, Answer(FinalKind.ABORTED, "overdue", may_have_run=may_have_run(pending)))
            self.execute_steps(now, pending.activation.on_client_gone(now))
        self.release(pending)

    def finish(self, pending: PendingRequest, now: int, answer: Answer) -> None:
        """The one place where a client is answered."""
        pending.answer, pending.answered_at = answer, now
        self.owed -= 1
        self.counts[f"answered {answer.final.value}"] += 1
        self.clients.on_answered(pending)

    def release(self, pending: PendingRequest) -> None:
        # What still waits to leave does not, whether or not cancels are allowed: its client is answered, or gone.
        for number in range(len(pending.sends) if pending.is_settled else 0):
            self.withdraw_send(pending, number, self.now)
        if pending.is_settled and pending.activation.is_finished and pending.id in self.requests:
            del self.requests[pending.id]
            self.clients.on_finished(pending)
            # Left as a ring, each call would wait for the collector, which then stands still for tens of ms.
            pending.client = None
            pending.activation.sends.clear()
            pending.activation.possible_runs.clear()

    # Small things.

    def clock(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    @staticmethod
    def past(what: PendingRequest | PendingWorkerQuery | SendDeadline) -> bool:
        if isinstance(what, SendDeadline):
            return what.pending.sends[what.number].outcome is not None
        return (what.is_done if isinstance(what, PendingWorkerQuery)
                else what.is_settled and what.activation.is_finished)


def may_have_run(pending: PendingRequest) -> bool:
    """Whether any of its sends may have run, by how they ended so far."""
    return any(sent.outcome not in NEVER_RAN for sent in pending.sends)


def refusal(pending: PendingRequest, step: Step, now: int) -> Answer:
    """A rejection or an abort with its reason, by what was seen last."""
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
    # A repeatable call may be tried again although it ran; the client is told both.
    return Answer(FinalKind.REJECTED, reason, retry_after=step.amount,
                  may_have_run=ran and pending.activation.type_stats.effect is not Effect.ONCE_ONLY)
