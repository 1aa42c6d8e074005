"""The batches of one front end: its queue and its shelf between the invoke API, the engine and the record.

Nothing here decides. Whatever has to be kept before an act goes through one writer, which writes all that waits at
once and then does what waited for it, in order; it writes on a thread, so that no call waits for an fsync."""
from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent.event import Event

from threadshift.batches.cancels import CLOSED, OPEN, Cancel, CancelOver, Cancels, NoSuchCancel
from threadshift.batches.queue import Counts, Queue, Waiting
from threadshift.batches.shelf import Kept, Shelf, record
from threadshift.choice import NEVER_RAN
from threadshift.conf.gateway_config import GatewayConfig
from threadshift.engine.engine import Answer, Call, FinalKind, RequestEngine, PendingRequest
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.api import Invoke
from threadshift.invoke.deferred import DeferredCall, InMemoryStore
from threadshift.invoke.http import Exchange
from threadshift.invoke.requests import Problem, Response
from threadshift.log import exception_fields
from threadshift.peers.carrier import Carrier, NotHeard
from threadshift.peers.carrier import now as clock

PART = 4                   # of the activations that may be under way, one part is for batches: others find the rest
TELL = 700 * MS            # within which peers tell their counts, or are named as not heard
ENTER = 5 * SECOND         # until an entry must have been told back: two elections
# after a start, calls wait so long for the record's word before they go on with what is known
HEAR_FIRST = 10 * SECOND
AGAIN = 500 * MS           # until an answer that could not be kept is tried again
SWEEP = 5 * SECOND         # between two looks for answers kept long enough
LATE = 5 * SECOND          # a cancel heard so long after it was asked for is told as heard late
WORDS = 16                 # orders of clients on batches under way at a time
STOPPED = ("waiting", "out", "parked", "done")


class Unkept(ThreadshiftError):
    """A call that could not be kept, and so was not accepted."""

    help = "free disk space or mend the disk under 'peers folder', then restart the front end"


class Front(Protocol):
    """What of a front end is used here and in replicated_services.py."""

    name: str
    told: GatewayConfig
    chance: Callable[[], float]
    api: Invoke
    engine: RequestEngine
    deferred_calls: InMemoryStore
    links: dict[str, Any]

    def read_updates(self) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...


class BatchService:
    def __init__(self, front: Front, carrier: Carrier, cancels: Cancels, folder: Path, undo: int,
                 disk: Any = None):
        """Raises what opening the shelf raises."""
        self.front, self.carrier, self.cancels, self.undo = front, carrier, cancels, undo
        self.shelf = Shelf(folder / f"{front.name}.calls", disk)
        self.queue = Queue(max(1, front.told.bounds.activations // PART))
        self.calls: dict[str, tuple[Waiting, Call, DeferredCall]] = {}
        self.pending: dict[str, PendingRequest] = {}
        self.writes: list[tuple[list[dict[str, Any]], Callable[[bool], None]]] = []
        self.wake = Event()
        self.failed = ""
        self.started, self.swept, self.under_way = time.monotonic_ns(), 0, 0
        self.order = self.shelf.orders
        self.greenlet: gevent.Greenlet | None = None
        self.recover()

    def start(self) -> None:
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()
        self.shelf.close()

    # What is kept.

    def keep(self, records: list[dict[str, Any]], then: Callable[[bool], None]) -> None:
        """Does `then` once the records are kept, or could not be: with False. In the order of the calls."""
        self.writes.append((records, then))
        self.wake.set()

    def run(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.writes:
                waiting, self.writes = self.writes, []
                records = [each for some, _ in waiting for each in some]
                good = self.write(records)
                for _, then in waiting:
                    try:
                        then(good)
                    except Exception as fault:      # ours: one call's, and the others' acts still follow
                        self.front.note("fault", level="error", **exception_fields(fault))

    def write(self, records: list[dict[str, Any]]) -> bool:
        pool = gevent.get_hub().threadpool
        problem = pool.apply(failure, (self.shelf.write, records))
        if problem is None and (anew := self.shelf.wrote(records)):
            problem = pool.apply(failure, (self.shelf.journal.renew, *anew))
        if problem is not None:
            if str(problem) != self.failed:
                self.failed = str(problem)
                self.front.note("calls-not-kept", level="error", **problem.as_fields())
            return False
        self.failed = ""
        return True

    def recover(self) -> None:
        """What an earlier life left."""
        now, wall = time.monotonic_ns(), time.time_ns()
        for kept in sorted(self.shelf.calls.values(), key=lambda each: each.order):
            deferral = self.front.deferred_calls.add(kept.ivk, kept.tenant)
            if kept.answer is not None:
                self.front.deferred_calls.finish(now, deferral, answer_of(kept.answer))
                continue
            it = Waiting(kept.ivk, kept.tenant, kept.batch, kept.order, now + kept.remaining(wall), kept.call["type"],
                         kept.tries + kept.out, parked=kept.parked)
            self.calls[kept.ivk] = it, call_of(kept), deferral
            self.queue.add(it)
            if kept.may_have_run:
                self.queue.end(it)
                self.final(it, Answer(FinalKind.ABORTED, "front-end-died", may_have_run=True))
        if self.shelf.calls:
            self.front.note("calls-recovered", calls=len(self.calls), in_doubt=len(self.writes))

    # Calls.

    def accept(self, exchange: Exchange, call: Call, batch: str) -> None:
        """A deferred call of a batch: kept, then told as accepted."""
        if self.failed:
            raise Problem(503, "cannot-be-kept", "the disk that keeps batches fails")
        now, ivk = time.monotonic_ns(), self.front.api.number()
        self.order += 1
        it = Waiting(ivk, call.tenant, batch, self.order, now + call.left, call.type)
        deferral = self.front.deferred_calls.add(ivk, call.tenant)
        effect = next(each.effect for each in self.front.told.deployment.types if each.name == call.type)
        stopped = self.queue.stopped.get((call.tenant, batch))
        taken = record("take", ivk=ivk, tenant=call.tenant, batch=batch, order=it.order, at=time.time_ns(),
                       left=call.left, effect=effect.value, parked=stopped.id if stopped else "",
                       call=call._asdict())

        def kept(good: bool) -> None:
            if not good:
                self.front.deferred_calls.finish(
                    time.monotonic_ns(), deferral, Answer(FinalKind.REJECTED, "not-kept"))
                self.front.deferred_calls.forget(deferral)
                exchange.respond(requests.problem_response(Problem(503, "cannot-be-kept", Unkept.help)))
                return
            self.calls[ivk] = it, call, deferral
            self.queue.add(it)
            exchange.respond(requests.accepted_response(ivk, self.front.api.base))

        self.keep([taken], kept)

    def tick(self, now: int) -> None:
        for it in self.queue.ended(now):
            self.final(it, Answer(FinalKind.REJECTED, "cancelled") if it.parked
                       else Answer(FinalKind.REJECTED, "time-up"))
        if not self.front.api.closing and (
                self.carrier.member.age(clock()) is not None or now - self.started >= HEAR_FIRST):
            out = []
            for it in self.queue.next(now):
                if not self.front.api.capacity.has_room(it.tenant):
                    self.queue.taken_back(it)
                    break
                self.front.api.capacity.acquire(it.tenant)
                out.append(it)
            if out:
                self.keep([record("out", ivk=each.ivk) for each in out], lambda good: self.release(out, good))
        if now - self.swept >= SWEEP:
            self.swept = now
            self.sweep()

    def release(self, out: list[Waiting], good: bool) -> None:
        """Hands calls to the decisions; those that a cancel took back meanwhile stay."""
        self.front.read_updates()
        now = time.monotonic_ns()
        for it in out:
            if it.over or not it.out or not good:
                self.front.api.capacity.release(it.tenant)
                if not it.over:
                    self.queue.taken_back(it)
                    self.back(it)
                continue
            _, call, _ = self.calls[it.ivk]
            name = f"{it.ivk}~{it.tries}" if it.tries else it.ivk
            # taken may be answered before take() returns
            self.pending.pop(it.ivk, None)
            pending = self.front.engine.admit(now, name, call._replace(left=it.ends - now, again=False), it)
            if it.out and not pending.is_settled:
                self.pending[it.ivk] = pending

    def owns(self, pending: PendingRequest) -> bool:
        return isinstance(pending.client, Waiting)

    def answered(self, pending: PendingRequest) -> None:
        """The decisions' final answer to a try."""
        it, answer = pending.client, pending.answer
        assert answer is not None
        self.pending.pop(it.ivk, None)
        now = time.monotonic_ns()
        if self.queue.returned(it, now, answer.final is FinalKind.COMPLETED, answer.final is FinalKind.REJECTED,
                               answer.reason, answer.retry_after, now - pending.admitted_at):
            self.final(it, answer)
        else:
            self.back(it)

    def back(self, it: Waiting) -> None:
        """It waits again. Should this not be kept, it is taken as in doubt: that errs on the safe side."""
        self.keep([record("back", ivk=it.ivk, tries=it.tries, parked=it.parked)], lambda good: None)

    def final(self, it: Waiting, answer: Answer) -> None:
        """One final answer, kept before it is told."""
        _, _, deferral = self.calls.pop(it.ivk)
        self.keep_final(it, answer, deferral)

    def keep_final(self, it: Waiting, answer: Answer, deferral: DeferredCall) -> None:
        """Tries again where the disk fails, as long as its own time lasts: told and not kept, it could be told as
        something else after a crash."""
        told = record("end", ivk=it.ivk, at=time.time_ns(), answer={
            "final": answer.final.value, "reason": answer.reason, "body": answer.body, "error": answer.error,
            "may_have_run": answer.may_have_run})

        def kept(good: bool) -> None:
            if not good and time.monotonic_ns() + AGAIN < it.ends:
                gevent.spawn_later(AGAIN / SECOND, self.keep_final, it, answer, deferral)
                return
            for exchange in self.front.deferred_calls.finish(time.monotonic_ns(), deferral, answer):
                exchange.respond(requests.final_response(answer, it.ivk))

        self.keep([told], kept)

    def sweep(self) -> None:
        """Answers kept long enough are let go."""
        before = time.time_ns() - self.front.told.bounds.keep_results
        old = [each.ivk for each in self.shelf.calls.values() if each.answer is not None and each.answered < before]
        if old:
            self.keep([record("forget", ivk=each) for each in old], lambda good: None)

    def drop(self, ivk: str) -> Answer | None:
        """One call cancelled by itself: its final answer, None where it may have begun. Raises KeyError."""
        it, _, _ = self.calls[ivk]
        if it.out and not self.take_back(it):
            return None
        self.queue.end(it)
        answer = Answer(FinalKind.REJECTED, "cancelled")
        self.final(it, answer)
        return answer

    def take_back(self, it: Waiting) -> bool:
        """Takes a call back from the decisions, where it provably never began."""
        pending = self.pending.get(it.ivk)
        if pending is not None:
            if any(sent.outcome not in NEVER_RAN for sent in pending.sends):
                return False
            self.pending.pop(it.ivk)
            pending.on_client_gone(time.monotonic_ns())
            self.front.api.capacity.release(it.tenant)
        self.queue.taken_back(it)
        return True

    # What the record says.

    def told(self, cancels: list[Cancel]) -> None:
        """Whatever it says of these cancels now; any number of times."""
        for cancel in cancels:
            before = set(self.queue.under.get(cancel.id, ()))
            out, restored, over = self.queue.heard(cancel)
            taken = [each for each in out if self.take_back(each)]
            if cancel.state == OPEN:
                new = [ivk for ivk in self.queue.under.get(cancel.id, ()) if ivk not in before]
                late = time.time_ns() - cancel.at
                if new or out:
                    self.keep([record("stop", cancel=cancel.id, ivks=new)], lambda good: None)
                    self.keep([record("back", ivk=each.ivk, tries=each.tries, parked=each.parked) for each in taken],
                              lambda good: None)
                    self.front.note("batch-stopped", cancel=cancel.id, batch=cancel.batch, parked=len(new),
                                    out=len(out) - len(taken), heard_late_ms=late // MS if late > LATE else 0)
            elif restored:
                self.keep([record("free", cancel=cancel.id)], lambda good: None)
                self.front.note("batch-restored", cancel=cancel.id, batch=cancel.batch, calls=len(restored))
            for each in over:
                self.final(each, Answer(FinalKind.REJECTED, "cancelled"))
            if over:
                self.front.note("batch-closed", cancel=cancel.id, batch=cancel.batch, calls=len(over))

    # What clients ask of batches.

    def counts(self, name: str, say: dict[str, Any]) -> dict[str, Any]:
        """A peer's question: how a batch stands here, and what of the tenant waits in all."""
        it = self.queue.counts(str(say["tenant"]), str(say["batch"]), time.monotonic_ns())
        return {**{each: getattr(it, each) for each in STOPPED}, "nearest": it.nearest,
                "of-tenant": self.queue.waiting_of(str(say["tenant"]))}

    def everywhere(self, tenant: str, batch: str) -> tuple[Counts, int, list[str]]:
        """How a batch stands at all who are heard, what of its tenant waits, and who was not heard."""
        say = {"tenant": tenant, "batch": batch}
        found = self.carrier.ask_all("batch", say, TELL)
        told = [each for each in found.values() if each is not None and "nearest" in each]
        all_ = Counts(**{name: sum(each[name] for each in told) for name in STOPPED})
        all_.nearest = min((each["nearest"] for each in told if each["nearest"]), default=0)
        silent = sorted(name for name, each in found.items() if each is None or "nearest" not in each)
        return all_, sum(each["of-tenant"] for each in told), silent

    def handle(self, exchange: Exchange, act: Callable[[], dict[str, Any]]) -> None:
        """Does what a client asks of batches, on a greenlet of its own: it may take some seconds."""
        if self.under_way >= WORDS:
            raise Problem(503, "too-many-orders", f"{WORDS} orders on batches are under way here",
                          headers=requests.retry_headers(SECOND))
        self.under_way += 1

        def run() -> None:
            try:
                exchange.respond(Response(200, [("Content-Type", "application/json")], json.dumps(act()).encode()))
            except Problem as it:
                exchange.respond(requests.problem_response(it))
            except NotHeard as it:
                exchange.respond(requests.problem_response(Problem(503, "record-not-heard", f"{it}; {it.help}",
                                                          headers=requests.retry_headers(SECOND))))
            except ThreadshiftError as it:
                status = 404 if isinstance(it, NoSuchCancel) else 409
                exchange.respond(requests.problem_response(Problem(status, kind_of(it), f"{it}; {it.help}")))
            finally:
                self.under_way -= 1

        gevent.spawn(run)

    def show(self, tenant: str, batch: str) -> dict[str, Any]:
        counts, _, silent = self.everywhere(tenant, batch)
        open_ = self.cancels.open.get((tenant, batch))
        return {"batch": batch, **told_counts(counts), "not-heard": silent,
                "cancel": self.tell(self.cancels.all[open_]) if open_ else None}

    def cancel(self, tenant: str, batch: str) -> dict[str, Any]:
        """Raises Problem, NotHeard."""
        before, waits, silent = self.everywhere(tenant, batch)
        if not (before.waiting or before.out or before.parked or silent):
            raise Problem(404, "no-such-batch", f"nothing of batch {batch!r} waits or is out at any front end"
                                                + (f"; {before.done} calls of it are done" if before.done else ""))
        id_ = self.carrier.new_id("cancel")
        part = before.waiting / waits if waits else 0.0
        done = self.carrier.propose({"do": "batch.cancel", "id": id_, "tenant": tenant, "batch": batch, "part": part,
                                     "window": self.undo, "at": time.time_ns()}, ENTER)
        it = done or self.cancels.all[id_]
        counts, _, silent = self.everywhere(tenant, batch)
        return {**self.tell(it), "already": it.id != id_, "stopped": told_counts(counts), "not-heard": silent}

    def restore(self, tenant: str, id_: str) -> dict[str, Any]:
        """Raises NoSuchCancel, CancelOver, NotHeard."""
        it = self.known(tenant, id_)
        if it.state == OPEN:
            self.carrier.propose({"do": "batch.restore", "id": f"restore-{id_}", "cancel": id_}, ENTER)
        if it.state == CLOSED:
            raise CancelOver(f"cancel {id_} is closed: what it stopped was answered as cancelled")
        counts, _, silent = self.everywhere(tenant, it.batch)
        return {**self.tell(it), **told_counts(counts), "not-heard": silent}

    def known(self, tenant: str, id_: str) -> Cancel:
        """A cancel, also one that another front end has told of and that has not come here yet. Raises NoSuchCancel,
        NotHeard."""
        try:
            return self.cancels.find(id_, tenant)
        except NoSuchCancel:
            self.carrier.catch_up(ENTER)
            return self.cancels.find(id_, tenant)

    def tell(self, it: Cancel) -> dict[str, Any]:
        left = it.window - (time.time_ns() - it.at)
        return {"cancel": it.id, "batch": it.batch, "state": it.state, "accident": it.accident,
                "undo-ms": max(0, left) // MS if it.state == OPEN else 0}

    def status(self) -> dict[str, Any]:
        return {"calls": len(self.calls), "out": self.queue.out, "room": round(self.queue.room, 1),
                "parked": sum(map(len, self.queue.under.values())), "open-cancels": len(self.cancels.open),
                "writes-waiting": len(self.writes), "problem": self.failed}

    def state_of(self, ivk: str) -> dict[str, Any] | None:
        """What is told of a call that has no final answer yet, None where it is no batch's."""
        if ivk not in self.calls:
            return None
        it = self.calls[ivk][0]
        more: dict[str, Any] = {"tries": it.tries, "left-ms": max(0, it.ends - time.monotonic_ns()) // MS}
        if it.parked and it.parked in self.cancels.all:
            more["cancel"] = self.tell(self.cancels.all[it.parked])
        return {"batch": it.batch, "state": it.state, **more}


def failure(act: Callable[..., None], *words: Any) -> ThreadshiftError | None:
    """What act() raised, if anything: handed back, as the pool of threads would print it with its lines."""
    try:
        act(*words)
    except ThreadshiftError as problem:
        return problem
    return None


def told_counts(it: Counts) -> dict[str, Any]:
    return {**{name: getattr(it, name) for name in STOPPED}, "nearest-end-ms": it.nearest // MS}


def kind_of(it: ThreadshiftError) -> str:
    """'NoSuchCancel' as 'no-such-cancel'."""
    return "".join(f"-{letter.lower()}" if letter.isupper() else letter for letter in type(it).__name__).strip("-")


def call_of(kept: Kept) -> Call:
    return Call(**{name: value for name, value in kept.call.items() if name in Call._fields})


def answer_of(told: dict[str, Any]) -> Answer:
    return Answer(FinalKind(told["final"]), told["reason"], told["body"], told["error"], 0, told["may_have_run"])
