"""The batches of one front end: connects its queue and its store with the invoke API, the engine and the record.

This module takes no decisions. Whatever has to be stored before an action goes through one writer, which writes all
waiting records at once and then runs the actions that waited for them, in order. It writes on a thread, so that no
call waits for an fsync.
"""
from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent.event import Event

from threadshift.batches.cancels import CLOSED, OPEN, Cancel, CancelOver, Cancels, NoSuchCancel
from threadshift.batches.queue import BatchCall, BatchCounts, BatchQueue, pause_before_retry
from threadshift.batches.store import BatchStore, StoredCall, make_record
from threadshift.choice import NEVER_RAN
from threadshift.conf.gateway_config import GatewayConfig
from threadshift.engine.engine import Answer, Call, FinalKind, PendingRequest, RequestEngine
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.api import InvokeApi
from threadshift.invoke.deferred import DeferredCall, InMemoryStore
from threadshift.invoke.http import Exchange
from threadshift.invoke.requests import Problem, Response
from threadshift.log import exception_fields
from threadshift.peers.consensus_service import ConsensusService, NotHeard
from threadshift.peers.consensus_service import now as clock

CAPACITY_DIVISOR = 4                 # batches may use one in four of the activations; other calls find the rest
PEER_TIMEOUT = 700 * MS              # a peer that has not reported its counts by then is named as not heard
PROPOSE_TIMEOUT = 5 * SECOND         # for an entry of the record to be applied here: as long as two elections
# After a start, calls wait this long for news from the record before they go on with what is known.
RECORD_WAIT = 10 * SECOND
ANSWER_RETRY_DELAY = 500 * MS        # until an answer that could not be stored is written again
SWEEP_INTERVAL = 5 * SECOND          # between two checks for answers that were kept for long enough
LATE_CANCEL = 5 * SECOND             # a cancel that arrives this long after it was requested is logged as late
MAX_REQUESTS = 16                    # of clients on batches, handled at a time
COUNT_NAMES = ("waiting", "out", "parked", "done")


class Unkept(ThreadshiftError):
    """A call that could not be stored, and so was not accepted."""

    help = "free disk space or mend the disk under 'peers folder', then restart the front end"


class Front(Protocol):
    """The front end, as far as this module and replicated_services.py use it."""

    name: str
    config: GatewayConfig
    chance: Callable[[], float]
    api: InvokeApi
    engine: RequestEngine
    deferred_calls: InMemoryStore
    links: dict[str, Any]

    def read_updates(self) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


class BatchService:
    """Accepts, sends out and answers the calls of batches, and handles requests on batches."""

    def __init__(self, front: Front, consensus: ConsensusService, cancels: Cancels, folder: Path, undo_window: int,
                 disk: Any = None):
        """Raises what opening the store raises."""
        self.front, self.consensus, self.cancels, self.undo_window = front, consensus, cancels, undo_window
        self.store = BatchStore(folder / f"{front.name}.calls", disk)
        self.queue = BatchQueue(max(1, front.config.bounds.activations // CAPACITY_DIVISOR))
        self.calls: dict[str, tuple[BatchCall, Call, DeferredCall]] = {}
        self.pending: dict[str, PendingRequest] = {}
        self.writes: list[tuple[list[dict[str, Any]], Callable[[bool], None]]] = []
        self.wake = Event()
        self.last_failure = ""
        self.started_at, self.swept_at, self.requests_under_way = time.monotonic_ns(), 0, 0
        self.last_order = self.store.last_order
        self.greenlet: gevent.Greenlet | None = None
        self.recover()

    def start(self) -> None:
        self.greenlet = gevent.spawn(self.write_loop)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        self.store.close()

    # Storage.

    def persist(self, records: list[dict[str, Any]], then: Callable[[bool], None]) -> None:
        """Writes the records, then calls `then` with whether they were stored. Keeps the order of the calls."""
        self.writes.append((records, then))
        self.wake.set()

    def write_loop(self) -> None:
        """Writes what is waiting, and then calls the functions that waited for it."""
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.writes:
                waiting, self.writes = self.writes, []
                records = [each for some, _ in waiting for each in some]
                is_stored = self.write(records)
                for _, then in waiting:
                    try:
                        then(is_stored)
                    except Exception as fault:      # a bug in the handling of one call; the others go on
                        self.front.note("fault", level="error", **exception_fields(fault))

    def write(self, records: list[dict[str, Any]]) -> bool:
        """Writes records on a thread; whether they were stored. Logs each new failure once."""
        pool = gevent.get_hub().threadpool
        problem = pool.apply(exception_of, (self.store.write, records))
        if problem is None and (renewal := self.store.on_written(records)):
            problem = pool.apply(exception_of, (self.store.journal.rewrite, *renewal))
        if problem is not None:
            if str(problem) != self.last_failure:
                self.last_failure = str(problem)
                self.front.note("calls-not-kept", level="error", **problem.as_fields())
            return False
        self.last_failure = ""
        return True

    def recover(self) -> None:
        """Takes over the calls that an earlier process of this front end left."""
        now, wall = time.monotonic_ns(), time.time_ns()
        for kept in sorted(self.store.calls.values(), key=lambda each: each.order):
            deferred_call = self.front.deferred_calls.add(kept.ivk, kept.tenant)
            if kept.answer is not None:
                self.front.deferred_calls.finish(now, deferred_call, stored_answer(kept.answer))
                continue
            entry = BatchCall(kept.ivk, kept.tenant, kept.batch, kept.order, now + kept.remaining(wall),
                            kept.call["type"], kept.tries + kept.out, parked_by=kept.parked)
            self.calls[kept.ivk] = entry, stored_call(kept), deferred_call
            self.queue.add(entry)
            if kept.may_have_run:
                self.queue.finish(entry)
                self.finish(entry, Answer(FinalKind.ABORTED, "front-end-died", may_have_run=True))
        if self.store.calls:
            self.front.note("calls-recovered", calls=len(self.calls), in_doubt=len(self.writes))

    # Calls.

    def accept(self, exchange: Exchange, call: Call, batch: str, received_at: int) -> None:
        """Stores a deferred call of a batch, then answers that it is accepted. Its time counts from `received_at`."""
        if self.last_failure:
            raise Problem(503, "cannot-be-kept", "the disk on which batches are stored fails")
        now, activation_id = time.monotonic_ns(), self.front.api.new_id()
        self.last_order += 1
        entry = BatchCall(activation_id, call.tenant, batch, self.last_order, received_at + call.left, call.type)
        deferred_call = self.front.deferred_calls.add(activation_id, call.tenant)
        effect = next(each.effect for each in self.front.config.deployment.types if each.name == call.type)
        stopped = self.queue.open_cancels.get((call.tenant, batch))
        taken = make_record("take", ivk=activation_id, tenant=call.tenant, batch=batch, order=entry.order,
                       at=time.time_ns(), left=entry.deadline - now, effect=effect.value,
                       parked=stopped.id if stopped else "", call=call._asdict())

        def on_written(is_stored: bool) -> None:
            if not is_stored:
                self.front.deferred_calls.finish(
                    time.monotonic_ns(), deferred_call, Answer(FinalKind.REJECTED, "not-kept"))
                self.front.deferred_calls.forget(deferred_call)
                exchange.respond(requests.problem_response(Problem(503, "cannot-be-kept", Unkept.help)))
                return
            self.calls[activation_id] = entry, call, deferred_call
            self.queue.add(entry)
            exchange.respond(requests.accepted_response(activation_id, self.front.api.base_url))

        self.persist([taken], on_written)

    def tick(self, now: int) -> None:
        for entry in self.queue.expire(now):
            self.finish(entry, self.refusal(entry, "cancelled" if entry.parked_by else "time-up"))
        if not self.front.api.closing and (
                self.consensus.member.staleness(clock()) is not None or now - self.started_at >= RECORD_WAIT):
            out: list[tuple[BatchCall, int]] = []
            for entry in self.queue.take_ready(now):
                if not self.front.api.capacity.has_room(entry.tenant):
                    self.queue.withdraw(entry)
                    break
                self.front.api.capacity.acquire(entry.tenant)
                out.append((entry, entry.departures))
            if out:
                self.persist([make_record("out", ivk=entry.id) for entry, _ in out],
                             lambda is_stored: self.dispatch(out, is_stored))
        if now - self.swept_at >= SWEEP_INTERVAL:
            self.swept_at = now
            self.forget_old_answers()

    def dispatch(self, out: list[tuple[BatchCall, int]], is_stored: bool) -> None:
        """Passes calls to the engine, each with the number of its departure.

        Left out are those that a cancel withdrew meanwhile, also where they have gone out again since: their later
        departure is passed on by itself."""
        self.front.read_updates()
        now = time.monotonic_ns()
        for entry, departure in out:
            if entry.is_out and entry.departures != departure:
                self.front.api.capacity.release(entry.tenant)
                continue
            if entry.is_done or not entry.is_out or not is_stored:
                self.front.api.capacity.release(entry.tenant)
                if not entry.is_done:
                    self.queue.withdraw(entry)
                    self.requeue(entry)
                continue
            _, call, _ = self.calls[entry.id]
            name = f"{entry.id}~{entry.tries}" if entry.tries else entry.id
            # The call may be answered before admit() returns.
            self.pending.pop(entry.id, None)
            pending = self.front.engine.admit(now, name, call._replace(left=entry.deadline - now, again=False), entry,
                                              earlier_runs=entry.earlier_runs)
            if entry.is_out and not pending.is_settled:
                self.pending[entry.id] = pending

    def owns(self, pending: PendingRequest) -> bool:
        return isinstance(pending.client, BatchCall)

    def on_answered(self, pending: PendingRequest) -> None:
        """The final answer of the engine to one try of a call."""
        entry, answer = pending.client, pending.answer
        assert answer is not None
        self.pending.pop(entry.id, None)
        now = time.monotonic_ns()
        entry.may_have_run = entry.may_have_run or answer.may_have_run
        entry.earlier_runs = self.front.engine.dispatcher.earlier_runs(pending.activation)
        may_retry = answer.final is FinalKind.REJECTED and self.may_repeat(
            entry, now + pause_before_retry(answer.retry_after))
        if not self.queue.on_returned(entry, now, answer.final is FinalKind.COMPLETED, may_retry, answer.reason,
                                      answer.retry_after, now - pending.admitted_at):
            self.requeue(entry)
        elif answer.final is FinalKind.REJECTED:
            self.finish(entry, self.refusal(entry, answer.reason, answer.retry_after))
        else:
            self.finish(entry, answer)

    def may_repeat(self, entry: BatchCall, when: int) -> bool:
        """Whether the call, which may have run in earlier tries, may be sent again at that time."""
        return self.front.engine.dispatcher.may_repeat(entry.type, entry.earlier_runs, when)

    @staticmethod
    def refusal(entry: BatchCall, reason: str, retry_after: int = 0) -> Answer:
        """The final answer to a call that is not sent again.

        Where it may have run and must not run twice, it does not promise that a repeat is harmless: for how long
        workers know the repeat, its client cannot tell."""
        if entry.earlier_runs:
            return Answer(FinalKind.ABORTED, reason, may_have_run=True)
        return Answer(FinalKind.REJECTED, reason, retry_after=retry_after, may_have_run=entry.may_have_run)

    def requeue(self, entry: BatchCall) -> None:
        """Lets a call wait again. If this cannot be stored, the call counts as possibly run, which is safe."""
        self.persist(self.back_records([entry]), lambda is_stored: None)

    def back_records(self, entries: list[BatchCall]) -> list[dict[str, Any]]:
        """The records of calls that wait again.

        There is none for a call that may have run and must not run twice: after a crash nothing would tell how long
        ago that was, so it has to be found as one that was out."""
        return [make_record("back", ivk=each.id, tries=each.tries, parked=each.parked_by) for each in entries
                if not each.earlier_runs]

    def finish(self, entry: BatchCall, answer: Answer) -> None:
        """Stores the final answer of a call, then gives it to its client."""
        _, _, deferred_call = self.calls.pop(entry.id)
        self.persist_answer(entry, answer, deferred_call)

    def persist_answer(self, entry: BatchCall, answer: Answer, deferred_call: DeferredCall) -> None:
        """Stores an answer and then gives it to the client. Retries while the disk fails and the call has time left.

        An answer that was given but not stored could be followed by a different one after a crash."""
        end = make_record("end", ivk=entry.id, at=time.time_ns(), answer={
            "final": answer.final.value, "reason": answer.reason, "body": answer.body, "error": answer.error,
            "may_have_run": answer.may_have_run})

        def on_written(is_stored: bool) -> None:
            if not is_stored and time.monotonic_ns() + ANSWER_RETRY_DELAY < entry.deadline:
                gevent.spawn_later(ANSWER_RETRY_DELAY / SECOND, self.persist_answer, entry, answer, deferred_call)
                return
            for exchange in self.front.deferred_calls.finish(time.monotonic_ns(), deferred_call, answer):
                exchange.respond(requests.final_response(answer, entry.id))

        self.persist([end], on_written)

    def forget_old_answers(self) -> None:
        """Removes answers that were kept for long enough."""
        before = time.time_ns() - self.front.config.bounds.keep_results
        old = [each.ivk for each in self.store.calls.values() if each.answer is not None and each.answered < before]
        if old:
            self.persist([make_record("forget", ivk=each) for each in old], lambda is_stored: None)

    def cancel_call(self, activation_id: str) -> Answer | None:
        """Cancels one call: its final answer, or None if it may have begun. Raises KeyError."""
        entry, _, _ = self.calls[activation_id]
        if entry.is_out and not self.withdraw(entry):
            return None
        self.queue.finish(entry)
        answer = self.refusal(entry, "cancelled")
        self.finish(entry, answer)
        return answer

    def withdraw(self, entry: BatchCall) -> bool:
        """Withdraws a call from the engine if it certainly never began; returns whether it was withdrawn."""
        pending = self.pending.get(entry.id)
        if pending is not None:
            if any(sent.outcome not in NEVER_RAN for sent in pending.sends):
                return False
            self.pending.pop(entry.id)
            pending.on_client_gone(time.monotonic_ns())
            self.front.api.capacity.release(entry.tenant)
        self.queue.withdraw(entry)
        return True

    # Changes of the record.

    def on_cancels_changed(self, cancels: list[Cancel]) -> None:
        """Acts on the current state of these cancels; may be called any number of times for the same state."""
        for cancel in cancels:
            before = set(self.queue.parked.get(cancel.id, ()))
            out, restored, closed = self.queue.apply_cancel(cancel)
            withdrawn = [each for each in out if self.withdraw(each)]
            if cancel.state == OPEN:
                new = [ivk for ivk in self.queue.parked.get(cancel.id, ()) if ivk not in before]
                late = time.time_ns() - cancel.at
                if new or out:
                    self.persist([make_record("stop", cancel=cancel.id, ivks=new)], lambda is_stored: None)
                    self.persist(self.back_records(withdrawn), lambda is_stored: None)
                    self.front.note("batch-stopped", cancel=cancel.id, batch=cancel.batch, parked=len(new),
                                    out=len(out) - len(withdrawn),
                                    heard_late_ms=late // MS if late > LATE_CANCEL else 0)
            elif restored:
                self.persist([make_record("free", cancel=cancel.id)], lambda is_stored: None)
                self.front.note("batch-restored", cancel=cancel.id, batch=cancel.batch, calls=len(restored))
            for each in closed:
                self.finish(each, self.refusal(each, "cancelled"))
            if closed:
                self.front.note("batch-closed", cancel=cancel.id, batch=cancel.batch, calls=len(closed))

    # Requests of clients on batches.

    def local_counts(self, peer: str, request: dict[str, Any]) -> dict[str, Any]:
        """Answers a peer: the counts of a batch here, and how many calls of the tenant wait in all."""
        counts = self.queue.counts(str(request["tenant"]), str(request["batch"]), time.monotonic_ns())
        return {**{each: getattr(counts, each) for each in COUNT_NAMES}, "nearest": counts.nearest,
                "of-tenant": self.queue.waiting_count(str(request["tenant"]))}

    def total_counts(self, tenant: str, batch: str) -> tuple[BatchCounts, int, list[str]]:
        """Asks all front ends. Returns the counts of a batch, the number of calls of its tenant that wait, and
        the names of the front ends that did not answer.

        Counts from before a cancel or restore that was applied here would be wrong: a front end that has not applied
        it in time counts as one that did not answer."""
        request = {"tenant": tenant, "batch": batch}
        found = self.consensus.query_all("batch", request, PEER_TIMEOUT, self.consensus.state_machines.applied_index)
        reports = [each for each in found.values() if each is not None and "nearest" in each]
        total = BatchCounts(**{name: sum(each[name] for each in reports) for name in COUNT_NAMES})
        total.nearest = min((each["nearest"] for each in reports if each["nearest"]), default=0)
        silent = sorted(name for name, each in found.items() if each is None or "nearest" not in each)
        return total, sum(each["of-tenant"] for each in reports), silent

    def handle(self, exchange: Exchange, action: Callable[[], dict[str, Any]]) -> None:
        """Handles a request on a greenlet of its own, as it may take some seconds. Raises Problem."""
        if self.requests_under_way >= MAX_REQUESTS:
            raise Problem(503, "too-many-orders", f"{MAX_REQUESTS} requests on batches are under way here",
                          headers=requests.retry_headers(SECOND))
        self.requests_under_way += 1

        def run() -> None:
            try:
                exchange.respond(Response(200, [("Content-Type", "application/json")], json.dumps(action()).encode()))
            except Problem as problem:
                exchange.respond(requests.problem_response(problem))
            except NotHeard as problem:
                exchange.respond(requests.problem_response(Problem(
                    503, "record-not-heard", f"{problem}; {problem.help}", headers=requests.retry_headers(SECOND))))
            except ThreadshiftError as problem:
                status = 404 if isinstance(problem, NoSuchCancel) else 409
                exchange.respond(requests.problem_response(
                    Problem(status, problem_kind(problem), f"{problem}; {problem.help}")))
            finally:
                self.requests_under_way -= 1

        gevent.spawn(run)

    def show(self, tenant: str, batch: str) -> dict[str, Any]:
        counts, _, silent = self.total_counts(tenant, batch)
        open_ = self.cancels.open.get((tenant, batch))
        return {"batch": batch, **count_fields(counts), "not-heard": silent,
                "cancel": self.cancel_fields(self.cancels.all[open_]) if open_ else None}

    def cancel(self, tenant: str, batch: str) -> dict[str, Any]:
        """Raises Problem, NotHeard."""
        before, waiting_of_tenant, silent = self.total_counts(tenant, batch)
        if not (before.waiting or before.out or before.parked or silent):
            raise Problem(404, "no-such-batch", f"no call of batch {batch!r} waits or is under way at any front end"
                                                + (f"; {before.done} of its calls are done" if before.done else ""))
        cancel_id = self.consensus.new_id("cancel")
        part = before.waiting / waiting_of_tenant if waiting_of_tenant else 0.0
        done = self.consensus.propose({
            "do": "batch.cancel", "id": cancel_id, "tenant": tenant, "batch": batch, "part": part,
            "window": self.undo_window, "at": time.time_ns()}, PROPOSE_TIMEOUT)
        cancel = done or self.cancels.all[cancel_id]
        counts, _, silent = self.total_counts(tenant, batch)
        return {**self.cancel_fields(cancel), "already": cancel.id != cancel_id,
                "stopped": count_fields(counts), "not-heard": silent}

    def restore(self, tenant: str, cancel_id: str) -> dict[str, Any]:
        """Raises NoSuchCancel, CancelOver, NotHeard."""
        cancel = self.find_cancel(tenant, cancel_id)
        if cancel.state == OPEN:
            self.consensus.propose({"do": "batch.restore", "id": f"restore-{cancel_id}", "cancel": cancel_id},
                                 PROPOSE_TIMEOUT)
        if cancel.state == CLOSED:
            raise CancelOver(f"cancel {cancel_id} is closed: the calls that it stopped were answered as cancelled")
        counts, _, silent = self.total_counts(tenant, cancel.batch)
        return {**self.cancel_fields(cancel), **count_fields(counts), "not-heard": silent}

    def find_cancel(self, tenant: str, cancel_id: str) -> Cancel:
        """Finds a cancel, also one that was made at another front end and has not been applied here yet.

        Raises NoSuchCancel, NotHeard."""
        try:
            return self.cancels.find(cancel_id, tenant)
        except NoSuchCancel:
            self.consensus.catch_up(PROPOSE_TIMEOUT)
            return self.cancels.find(cancel_id, tenant)

    def cancel_fields(self, cancel: Cancel) -> dict[str, Any]:
        left = cancel.window - (time.time_ns() - cancel.at)
        return {"cancel": cancel.id, "batch": cancel.batch, "state": cancel.state, "accident": cancel.accident,
                "undo-ms": max(0, left) // MS if cancel.state == OPEN else 0}

    def status(self) -> dict[str, Any]:
        return {"calls": len(self.calls), "out": self.queue.out_count, "room": round(self.queue.out_limit, 1),
                "parked": sum(map(len, self.queue.parked.values())), "open-cancels": len(self.cancels.open),
                "writes-waiting": len(self.writes), "problem": self.last_failure}

    def state_of(self, activation_id: str) -> dict[str, Any] | None:
        """What a client is told of a call without a final answer; None if the call belongs to no batch."""
        if activation_id not in self.calls:
            return None
        entry = self.calls[activation_id][0]
        more: dict[str, Any] = {"tries": entry.tries, "left-ms": max(0, entry.deadline - time.monotonic_ns()) // MS}
        if entry.parked_by and entry.parked_by in self.cancels.all:
            more["cancel"] = self.cancel_fields(self.cancels.all[entry.parked_by])
        return {"batch": entry.batch, "state": entry.state, **more}


def exception_of(function: Callable[..., None], *arguments: Any) -> ThreadshiftError | None:
    """The error that the function raised, if any; returned, as the thread pool would print its traceback."""
    try:
        function(*arguments)
    except ThreadshiftError as problem:
        return problem
    return None


def count_fields(counts: BatchCounts) -> dict[str, Any]:
    return {**{name: getattr(counts, name) for name in COUNT_NAMES}, "nearest-end-ms": counts.nearest // MS}


def problem_kind(error: ThreadshiftError) -> str:
    """'NoSuchCancel' as 'no-such-cancel'."""
    return "".join(f"-{letter.lower()}" if letter.isupper() else letter for letter in type(error).__name__).strip("-")


def stored_call(kept: StoredCall) -> Call:
    return Call(**{name: value for name, value in kept.call.items() if name in Call._fields})


def stored_answer(fields: dict[str, Any]) -> Answer:
    return Answer(FinalKind(fields["final"]), fields["reason"], fields["body"], fields["error"], 0,
                  fields["may_have_run"])
