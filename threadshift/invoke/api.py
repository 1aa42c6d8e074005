"""The invoke API: exchanges to calls on the engine, final answers back to who waits for them."""
from __future__ import annotations

import json
import re
import time
from collections.abc import Callable, Mapping
from itertools import count, cycle
from typing import Any, Protocol

import gevent

from threadshift.conf.gateway_config import GatewayConfig
from threadshift.engine.engine import Answer, Call, FinalKind, RequestEngine, PendingRequest
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.admission import Admission
from threadshift.invoke.deferred import DeferredCall, DeferredCallStore
from threadshift.invoke.http import Exchange, serialize
from threadshift.invoke.poll_monitor import CATCH_UP_TIME, STALL_THRESHOLD, PollMonitor
from threadshift.invoke.requests import (
    BATCH_CANCEL_PATH, BATCH_PATH, CALL_PATH, CALLS_PATH, CANCEL_RESTORE_PATH, Problem, Response)
from threadshift.invoke.shares import SharedCapacity
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.log import Log

BUSY_PAUSE = SECOND        # ns; when to come back after a refusal at the door, in the mean: it sheds a burst
PAUSES = 16                # of them, from half to one and a half: all told the same, a burst would come back as one
STRIDE = 7                 # between two used in turn: prime to PAUSES, so that neighbours are far apart
STATUS_KEPT = 250 * MS     # ns for which one rendering of the status serves all who ask: it costs many calls' time

PAUSE_OF = [BUSY_PAUSE // 2 + BUSY_PAUSE * (n * STRIDE % PAUSES) // (PAUSES - 1) for n in range(PAUSES)]


def busy(status: int, kind: str, detail: str, pause: int = BUSY_PAUSE) -> Problem:
    """Not taken: a rejection at the door, which promises that nothing ran."""
    return Problem(status, kind, detail,
                   headers=[("Final", FinalKind.REJECTED.value), *requests.retry_headers(pause)])


def ready(response: Response) -> Response:
    """Rendered once, for everybody who gets the same."""
    response.serialized = serialize(response)
    return response


OVERLOADED = [ready(requests.problem_response(busy(503, "overloaded", "this front end is at its limit", pause)))
              for pause in PAUSE_OF]


class Counts(Protocol):
    """Who counts activations as they end."""

    def record(self, now: int, pending: PendingRequest) -> None: ...


class Batches(Protocol):
    """Who keeps the calls of batches, where front ends hold anything in common."""

    def accept(self, exchange: Exchange, call: Call, batch: str) -> None: ...
    def owns(self, pending: PendingRequest) -> bool: ...
    def answered(self, pending: PendingRequest) -> None: ...
    def handle(self, exchange: Exchange, act: Callable[[], dict[str, Any]]) -> None: ...
    def show(self, tenant: str, batch: str) -> dict[str, Any]: ...
    def cancel(self, tenant: str, batch: str) -> dict[str, Any]: ...
    def restore(self, tenant: str, id_: str) -> dict[str, Any]: ...
    def drop(self, ivk: str) -> Answer | None: ...
    def state_of(self, ivk: str) -> dict[str, Any] | None: ...


class Invoke:
    """Answers exchanges; the engine's port to clients."""

    def __init__(self, told: GatewayConfig, name: str, base: str, deferred_calls: DeferredCallStore,
                 admission: Admission, log: Log, status: Callable[[], dict[str, Any]], weight: Mapping[str, float]):
        self.told, self.base, self.deferred_calls, self.admission = told, base, deferred_calls, admission
        self.log, self.status = log, status
        self.functions = requests.FunctionTable(told)
        self.closing = False
        self.capacity = SharedCapacity(told.bounds.activations, weight)   # for activations under way
        self.refusal_counters = RefusalCounters()
        self.overloaded, self.pauses = cycle(OVERLOADED), cycle(PAUSE_OF)
        self.status_at, self.status_told = 0, b""
        self.poll_monitor = PollMonitor()
        self.read_updates: Callable[[], None] = lambda: None    # lets news of the roster that has arrived be read
        self.engine: RequestEngine
        self.batch_service: Batches | None = None
        self.recent: Counts
        boot = f"{time.time_ns() // MS:x}"
        serial = count(1).__next__
        self.number = lambda: f"{name}-{boot}-{serial()}"
        self.name = name

    def reload(self, told: GatewayConfig) -> None:
        """Another configuration, for calls from now on."""
        self.told, self.functions = told, requests.FunctionTable(told)
        self.capacity.limit = told.bounds.activations

    # Exchanges.

    def handle(self, exchange: Exchange) -> None:
        try:
            self.route(exchange)
        except Problem as it:
            exchange.respond(requests.problem_response(it))

    def route(self, exchange: Exchange) -> None:
        path = exchange.path.split("?")[0]
        if CALLS_PATH.fullmatch(path):
            self.only(exchange, "POST")
            self.take(exchange, path)
        elif match := CALL_PATH.fullmatch(path):
            if exchange.method == "DELETE":
                self.drop(exchange, match[1])
                return
            self.only(exchange, "GET")
            self.collect(exchange, match[1])
        elif path == "/v1/status":
            self.only(exchange, "GET")
            exchange.respond(Response(200, [("Content-Type", "application/json")], self.status_now()))
        elif match := (BATCH_CANCEL_PATH.fullmatch(path) or CANCEL_RESTORE_PATH.fullmatch(path)
                       or BATCH_PATH.fullmatch(path)):
            self.of_batches(exchange, match)
        else:
            raise Problem(404, "no-such-path", f"nothing stands at {path[:100]}")

    def status_now(self) -> bytes:
        """Clients may ask as often as they like; what it costs is bounded."""
        now = time.monotonic_ns()
        if not self.status_told or now - self.status_at >= STATUS_KEPT:
            self.status_at, self.status_told = now, json.dumps(self.status()).encode()
        return self.status_told

    @staticmethod
    def only(exchange: Exchange, method: str) -> None:
        if exchange.method != method:
            raise Problem(405, "wrong-method", f"{method} is answered here", headers=[("Allow", method)])

    def batches(self) -> Batches:
        """Raises Problem."""
        if self.batch_service is None and self.told.peering is not None:
            raise busy(503, "not-joined-in", "what is held in common cannot be opened yet")
        if self.batch_service is None:
            raise Problem(404, "no-batches", "no batches are kept here: the configuration has no 'peers' block")
        return self.batch_service

    def of_batches(self, exchange: Exchange, match: re.Match[str]) -> None:
        """An order on a batch, or a question about one. Its tenant is that of the header."""
        it, tenant, name = self.batches(), exchange.headers.get("tenant", ""), match[1]
        self.only(exchange, "GET" if match.re is BATCH_PATH else "POST")
        act = {BATCH_PATH: it.show, BATCH_CANCEL_PATH: it.cancel, CANCEL_RESTORE_PATH: it.restore}[match.re]
        it.handle(exchange, lambda: act(tenant, name))

    def drop(self, exchange: Exchange, ivk: str) -> None:
        """One deferred call of a batch is cancelled by itself."""
        try:
            answer = self.batches().drop(ivk)
        except KeyError:
            raise Problem(404, "no-such-call", "no call of a batch with this id waits here", "id") from None
        if answer is None:
            raise Problem(409, "under-way", "it is out at a worker and may have begun; its answer will stand")
        exchange.respond(requests.final_response(answer, ivk))

    def take(self, exchange: Exchange, path: str) -> None:
        # First, as what is refused must cost as little as can be: at the limit all else is work for nothing.
        tenant = exchange.headers.get("tenant", "")
        if not self.admission.admit(exchange.headers.get("repetition") == "?1", tenant):
            exchange.connection.read_pause = self.admission.read_pause(tenant)
            self.refusal_counters.record(time.monotonic_ns(), "overloaded", self.capacity.key(tenant))
            exchange.respond(next(self.overloaded))
            return
        call = requests.parse_call(path, exchange.headers, exchange.body, self.functions)
        wish = requests.parse_preference(exchange.headers.get("prefer", ""))
        # It may have lain unread since the event loop looked last: its client's time ran all the while.
        unread = max(exchange.unread_time, self.poll_monitor.unread_time(time.monotonic_ns()))
        if unread >= STALL_THRESHOLD:
            # The roster's word, or a worker's, may lie unread too, and rule 3 counts from when it came. Found by a
            # hunt: calls read first after a standstill went to workers that had long been told of as draining.
            gevent.sleep(CATCH_UP_TIME / SECOND)
            unread += CATCH_UP_TIME
        self.read_updates()
        call = call._replace(left=call.left - unread)
        if call.left <= 0:
            raise self.turned_away(503, "too-late", "its time left was up before it could be read", tenant)
        if self.closing:
            raise self.turned_away(503, "closing", "this front end is going down", tenant)
        if not self.capacity.has_room(tenant):
            raise self.turned_away(503, "too-many-activations",
                                   f"{self.capacity.used} are under way here, "
                                   f"{self.capacity.used_by[self.capacity.key(tenant)]} of them on this behalf",
                                   tenant)
        if wish.deferred and not self.deferred_calls.has_room(tenant):
            raise self.turned_away(429, "too-many-deferred", "the waiting list is full", tenant)
        batch = requests.batch_name(exchange.headers, wish)
        if batch:
            self.batches().accept(exchange, call, batch)
            return
        self.capacity.acquire(tenant)
        if wish.deferred:
            self.take_deferred(exchange, call)
            return
        exchange.pending = True        # taken may be answered before admit() returns
        exchange.pending = self.engine.admit(time.monotonic_ns(), self.number(), call, exchange)

    def turned_away(self, status: int, kind: str, detail: str, tenant: str) -> Problem:
        self.refusal_counters.record(time.monotonic_ns(), kind, self.capacity.key(tenant))
        return busy(status, kind, detail, next(self.pauses))

    def take_deferred(self, exchange: Exchange, call: Call) -> None:
        ivk = self.number()
        it = self.deferred_calls.add(ivk, call.tenant)
        exchange.respond(requests.accepted_response(ivk, self.base))
        self.engine.admit(time.monotonic_ns(), ivk, call, it)

    def collect(self, exchange: Exchange, ivk: str) -> None:
        it = self.deferred_calls.find(ivk)
        if it is None:
            raise Problem(404, "no-such-call", "never accepted here, or no longer kept", "id")
        wish = requests.parse_preference(exchange.headers.get("prefer", ""))
        if it.answer is not None:
            it.is_collected = True
            exchange.respond(requests.final_response(it.answer, ivk))
        elif wish.wait:
            exchange.awaited_call = it
            self.deferred_calls.add_waiter(
                it, exchange, time.monotonic_ns() + min(wish.wait, self.told.bounds.longest_wait))
        else:
            exchange.respond(self.pending(ivk))

    def pending(self, ivk: str) -> Response:
        return requests.pending_response(
            ivk, self.batch_service.state_of(ivk) if self.batch_service is not None else None)

    def on_client_gone(self, exchange: Exchange) -> None:
        """The client of an unanswered exchange is gone."""
        if exchange.awaited_call is not None:
            exchange.awaited_call.waiters.pop(exchange, None)
        elif isinstance(exchange.pending, PendingRequest) and not exchange.pending.is_settled:
            self.capacity.release(exchange.pending.call.tenant)
            exchange.pending.on_client_gone(time.monotonic_ns())

    def tick(self, now: int) -> None:
        for exchange, it in self.deferred_calls.tick(now):
            exchange.respond(self.pending(it.activation_id))
        self.log_refusals(now)

    def log_refusals(self, now: int, flush: bool = False) -> None:
        for line in self.refusal_counters.due_reports(now, flush):
            self.log.note("turned-away", level="warning", **line)

    # The engine's port.

    def has_unread_disconnect(self, pending: PendingRequest) -> bool:
        return False        # who has closed one direction may still read; a close of both is read as soon as it comes

    def on_answered(self, pending: PendingRequest) -> None:
        answer = pending.answer
        assert answer is not None
        self.capacity.release(pending.call.tenant)
        if answer.final is not FinalKind.COMPLETED:
            self.refusal_counters.record(pending.answered_at, f"{answer.final.value}-{answer.reason}",
                                         self.capacity.key(pending.call.tenant))
        self.recent.record(pending.answered_at, pending)
        if isinstance(pending.client, DeferredCall):
            for exchange in self.deferred_calls.finish(pending.answered_at, pending.client, answer):
                exchange.respond(requests.final_response(answer, pending.id))
        elif self.batch_service is not None and self.batch_service.owns(pending):
            self.batch_service.answered(pending)
        else:
            pending.client.respond(requests.final_response(answer, pending.id))
        self.tell(pending, answer)

    def on_finished(self, pending: PendingRequest) -> None:
        if pending.client_gone and not (self.batch_service is not None and self.batch_service.owns(pending)):
            self.recent.record(self.engine.now, pending)
            self.tell(pending, Answer(FinalKind.ABORTED, "client-left"))

    def tell(self, pending: PendingRequest, answer: Answer) -> None:
        """The one event of a final answer; completed in time is the usual, and told only where all is."""
        usual = (answer.final is FinalKind.COMPLETED
                 and pending.engine.now - pending.admitted_at <= pending.activation.type_stats.target_latency)
        level = "debug" if usual else "info"
        if not self.log.is_enabled(level):
            return
        self.log.note(
            "final", level=level, activation=pending.id, function=pending.call.function, type=pending.call.type,
            tenant=pending.call.tenant, final="left" if pending.client_gone else answer.final.value,
            reason=answer.reason,
            took_ms=round((pending.engine.now - pending.admitted_at) / MS, 3),
            left_ms=pending.time_left(pending.engine.now) // MS,
            may_have_run=answer.may_have_run,
            sends=[{"worker": sent.worker, "after_ms": round((sent.sent_at - pending.admitted_at) / MS, 3),
                    "waited_ms": round(sent.waited / MS, 3), "copy": sent.copy.value,
                    "outcome": sent.outcome.value if sent.outcome else "out"} for sent in pending.sends])
