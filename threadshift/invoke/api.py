"""The invoke API: passes calls from HTTP exchanges to the request engine, and final answers back to clients."""
from __future__ import annotations

import json
import re
import select
import time
from collections.abc import Callable, Mapping
from itertools import count, cycle
from typing import Any, Protocol

import gevent

from threadshift.conf.gateway_config import GatewayConfig
from threadshift.engine.engine import Answer, Call, FinalKind, PendingRequest, RequestEngine
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.admission import Admission
from threadshift.invoke.deferred import DeferredCall, DeferredCallStore
from threadshift.invoke.http import Exchange, serialize
from threadshift.invoke.poll_monitor import CATCH_UP_TIME, STALL_THRESHOLD, PollMonitor
from threadshift.invoke.refusal_counters import RefusalCounters
from threadshift.invoke.requests import (
    BATCH_CANCEL_PATH, BATCH_PATH, CALL_PATH, CALLS_PATH, CANCEL_RESTORE_PATH, Problem, Response)
from threadshift.invoke.shares import SharedCapacity
from threadshift.links.sockets import has_events
from threadshift.log import Log
from threadshift.memory_budget import AdmittedBytes

MEAN_RETRY_DELAY = SECOND            # that a refusal names; long enough to spread a burst
# Delays from half to one and a half times the mean are named in turn: if all were the same, a burst would return as
# one. The stride between two used in turn is prime to their number, so that neighbours differ widely.
RETRY_DELAY_COUNT = 16
RETRY_DELAY_STRIDE = 7
STATUS_CACHE_TIME = 250 * MS         # one rendering serves all who ask meanwhile, as it costs as much as many calls

RETRY_DELAYS = [MEAN_RETRY_DELAY // 2
                + MEAN_RETRY_DELAY * (n * RETRY_DELAY_STRIDE % RETRY_DELAY_COUNT) // (RETRY_DELAY_COUNT - 1)
                for n in range(RETRY_DELAY_COUNT)]


def rejection(status: int, kind: str, detail: str, retry_delay: int = MEAN_RETRY_DELAY) -> Problem:
    """A refusal of a call before it is accepted, which guarantees that nothing ran."""
    return Problem(status, kind, detail,
                   headers=[("Final", FinalKind.REJECTED.value), *requests.retry_headers(retry_delay)])


def preserialized(response: Response) -> Response:
    """Serializes a response once for all clients that get the same."""
    response.serialized = serialize(response)
    return response


OVERLOADED_RESPONSES = [
    preserialized(requests.problem_response(rejection(503, "overloaded", "this front end is overloaded", delay)))
    for delay in RETRY_DELAYS]


class CallRecorder(Protocol):
    """Counts calls as they end."""

    def record(self, now: int, pending: PendingRequest) -> None: ...


class BatchRequests(Protocol):
    """Handles calls of batches and requests about them, on front ends that have peers."""

    def accept(self, exchange: Exchange, call: Call, batch: str, received_at: int) -> None: ...
    def owns(self, pending: PendingRequest) -> bool: ...
    def on_answered(self, pending: PendingRequest) -> None: ...
    def handle(self, exchange: Exchange, action: Callable[[], dict[str, Any]]) -> None: ...
    def show(self, tenant: str, batch: str) -> dict[str, Any]: ...
    def cancel(self, tenant: str, batch: str) -> dict[str, Any]: ...
    def restore(self, tenant: str, cancel_id: str) -> dict[str, Any]: ...
    def cancel_call(self, activation_id: str) -> Answer | None: ...
    def state_of(self, activation_id: str) -> dict[str, Any] | None: ...


def has_closed(exchange: Exchange) -> bool:
    """Whether the client has closed its connection, read or not.

    A call is given up where the input of its connection ends, so one closed in one direction counts as well."""
    sock = exchange.connection.sock
    return sock.fileno() < 0 or has_events(sock, select.POLLRDHUP)


class InvokeApi:
    """Handles the exchanges of clients; the request engine's port to clients."""

    def __init__(self, config: GatewayConfig, name: str, base_url: str, deferred_calls: DeferredCallStore,
                 admission: Admission, log: Log, status: Callable[[], dict[str, Any]],
                 tenant_weights: Mapping[str, float], admitted_bytes: AdmittedBytes):
        self.config, self.base_url, self.deferred_calls, self.admission = config, base_url, deferred_calls, admission
        self.log, self.status = log, status
        self.functions = requests.FunctionTable(config)
        self.closing = False
        self.admitted_bytes = admitted_bytes
        self.capacity = SharedCapacity(config.bounds.activations, tenant_weights)   # for activations under way
        self.refusal_counters = RefusalCounters()
        self.overloaded_responses, self.retry_delays = cycle(OVERLOADED_RESPONSES), cycle(RETRY_DELAYS)
        self.status_rendered_at, self.rendered_status = 0, b""
        self.poll_monitor = PollMonitor()
        self.read_updates: Callable[[], None] = lambda: None    # reads updates of the worker list that have arrived
        self.engine: RequestEngine
        self.batch_service: BatchRequests | None = None
        self.call_recorder: CallRecorder
        boot = f"{time.time_ns() // MS:x}"
        serial = count(1).__next__
        self.new_id = lambda: f"{name}-{boot}-{serial()}"
        self.name = name

    def reload(self, config: GatewayConfig) -> None:
        """Uses another configuration for calls from now on."""
        self.config, self.functions = config, requests.FunctionTable(config)
        self.capacity.limit = config.bounds.activations

    # Exchanges.

    def handle(self, exchange: Exchange) -> None:
        try:
            self.route(exchange)
        except Problem as problem:
            exchange.respond(requests.problem_response(problem))

    def route(self, exchange: Exchange) -> None:
        path = exchange.path.split("?")[0]
        if CALLS_PATH.fullmatch(path):
            self.require_method(exchange, "POST")
            self.accept_call(exchange, path)
        elif match := CALL_PATH.fullmatch(path):
            if exchange.method == "DELETE":
                self.cancel_call(exchange, match[1])
                return
            self.require_method(exchange, "GET")
            self.collect_answer(exchange, match[1])
        elif path == "/v1/status":
            self.require_method(exchange, "GET")
            exchange.respond(Response(200, [("Content-Type", "application/json")], self.cached_status()))
        elif match := (BATCH_CANCEL_PATH.fullmatch(path) or CANCEL_RESTORE_PATH.fullmatch(path)
                       or BATCH_PATH.fullmatch(path)):
            self.handle_batch_request(exchange, match)
        else:
            raise Problem(404, "no-such-path", f"there is no resource at {path[:100]}")

    def cached_status(self) -> bytes:
        """The rendered status. Clients may ask for it as often as they like; what it costs is bounded."""
        now = time.monotonic_ns()
        if not self.rendered_status or now - self.status_rendered_at >= STATUS_CACHE_TIME:
            self.status_rendered_at, self.rendered_status = now, json.dumps(self.status()).encode()
        return self.rendered_status

    @staticmethod
    def require_method(exchange: Exchange, method: str) -> None:
        if exchange.method != method:
            raise Problem(405, "wrong-method", f"the method must be {method}", headers=[("Allow", method)])

    def require_batch_service(self) -> BatchRequests:
        """Raises Problem."""
        if self.batch_service is None and self.config.peering is not None:
            raise rejection(503, "not-joined-in", "this front end has not joined its peers yet")
        if self.batch_service is None:
            raise Problem(404, "no-batches", "batches are not available: the configuration has no 'peers' block")
        return self.batch_service

    def handle_batch_request(self, exchange: Exchange, match: re.Match[str]) -> None:
        """Handles a request to show, cancel or restore a batch. Its tenant is that of the header."""
        batches, tenant, name = self.require_batch_service(), exchange.headers.get("tenant", ""), match[1]
        self.require_method(exchange, "GET" if match.re is BATCH_PATH else "POST")
        action = {BATCH_PATH: batches.show, BATCH_CANCEL_PATH: batches.cancel,
                  CANCEL_RESTORE_PATH: batches.restore}[match.re]
        batches.handle(exchange, lambda: action(tenant, name))

    def cancel_call(self, exchange: Exchange, activation_id: str) -> None:
        """Cancels a single deferred call of a batch."""
        try:
            answer = self.require_batch_service().cancel_call(activation_id)
        except KeyError:
            raise Problem(404, "no-such-call", "no pending call of a batch has this id here", "id") from None
        if answer is None:
            raise Problem(409, "under-way", "the call was sent to a worker and may have begun; its answer will count")
        exchange.respond(requests.final_response(answer, activation_id))

    def accept_call(self, exchange: Exchange, path: str) -> None:
        # Admission comes first, as a refusal must cost as little as possible: under overload other work is wasted.
        tenant = exchange.headers.get("tenant", "")
        if not self.admission.admit(exchange.headers.get("repetition") == "?1", tenant):
            exchange.connection.read_pause = self.admission.read_pause(tenant)
            self.refusal_counters.record(time.monotonic_ns(), "overloaded", self.capacity.key(tenant))
            exchange.respond(next(self.overloaded_responses))
            return
        preference = requests.parse_preference(exchange.headers.get("prefer", ""))
        if not preference.deferred and has_closed(exchange):
            # Nobody waits for the answer. Thousands of such calls would delay those of other clients.
            self.refusal_counters.record(time.monotonic_ns(), "client-gone", self.capacity.key(tenant))
            return
        call = requests.parse_call(path, exchange.headers, exchange.body, self.functions)
        # The request may have been unread since the event loop's last poll. Its client's time ran meanwhile.
        now = time.monotonic_ns()
        unread_time = max(now - exchange.received_since, self.poll_monitor.unread_time(now))
        received_at = now - unread_time
        if unread_time >= STALL_THRESHOLD:
            # News of a draining worker, from the worker list or the worker itself, may be unread too, and rule 3 (no
            # sends to a worker known to drain) counts from its arrival. Without this wait, calls read first after a
            # stall went to workers whose drain had been announced long before.
            gevent.sleep(CATCH_UP_TIME / SECOND)
        self.read_updates()
        if received_at + call.left <= time.monotonic_ns():
            raise self.refusal(503, "too-late", "the time left for the call was up before it was read", tenant)
        if self.closing:
            raise self.refusal(503, "closing", "this front end is shutting down", tenant)
        if not self.capacity.has_room(tenant):
            raise self.refusal(503, "too-many-activations",
                               f"{self.capacity.used} activations are under way here, "
                               f"{self.capacity.used_by[self.capacity.key(tenant)]} of them for this tenant", tenant)
        if not self.admitted_bytes.has_room(len(call.body)):
            raise self.refusal(503, "memory-short", "the bodies of calls under way hold too much memory", tenant)
        if preference.deferred and not self.deferred_calls.has_room(tenant):
            raise self.refusal(429, "too-many-deferred", "the limit of deferred calls is reached", tenant)
        batch = requests.batch_name(exchange.headers, preference)
        if batch:
            self.require_batch_service().accept(exchange, call, batch, received_at)
            return
        self.capacity.acquire(tenant)
        activation_id = self.new_id()
        self.admitted_bytes.take(activation_id, len(call.body))
        if preference.deferred:
            self.accept_deferred_call(exchange, activation_id, call, received_at)
            return
        exchange.pending = True        # the call may be answered before admit() returns
        exchange.pending = self.engine.admit(time.monotonic_ns(), activation_id, call, exchange, received_at)

    def refusal(self, status: int, kind: str, detail: str, tenant: str) -> Problem:
        """Counts a refusal and returns the problem to raise."""
        self.refusal_counters.record(time.monotonic_ns(), kind, self.capacity.key(tenant))
        return rejection(status, kind, detail, next(self.retry_delays))

    def accept_deferred_call(self, exchange: Exchange, activation_id: str, call: Call, received_at: int) -> None:
        deferred_call = self.deferred_calls.add(activation_id, call.tenant)
        exchange.respond(requests.accepted_response(activation_id, self.base_url))
        self.engine.admit(time.monotonic_ns(), activation_id, call, deferred_call, received_at)

    def collect_answer(self, exchange: Exchange, activation_id: str) -> None:
        """Answers with the final answer of a deferred call, waiting for it if the client asks to."""
        deferred_call = self.deferred_calls.find(activation_id)
        if deferred_call is None:
            raise Problem(404, "no-such-call", "the call was never accepted here, or is no longer kept", "id")
        preference = requests.parse_preference(exchange.headers.get("prefer", ""))
        if deferred_call.answer is not None:
            deferred_call.is_collected = True
            exchange.respond(requests.final_response(deferred_call.answer, activation_id))
        elif preference.wait:
            exchange.awaited_call = deferred_call
            self.deferred_calls.add_waiter(
                deferred_call, exchange,
                time.monotonic_ns() + min(preference.wait, self.config.bounds.longest_wait))
        else:
            exchange.respond(self.pending_response(activation_id))

    def pending_response(self, activation_id: str) -> Response:
        return requests.pending_response(
            activation_id, self.batch_service.state_of(activation_id) if self.batch_service is not None else None)

    def on_client_gone(self, exchange: Exchange) -> None:
        """The client of an unanswered exchange has disconnected."""
        if exchange.awaited_call is not None:
            exchange.awaited_call.waiters.pop(exchange, None)
        elif isinstance(exchange.pending, PendingRequest) and not exchange.pending.is_settled:
            self.capacity.release(exchange.pending.call.tenant)
            exchange.pending.on_client_gone(time.monotonic_ns())

    def tick(self, now: int) -> None:
        for exchange, deferred_call in self.deferred_calls.tick(now):
            exchange.respond(self.pending_response(deferred_call.activation_id))
        self.log_refusals(now)

    def log_refusals(self, now: int, flush: bool = False) -> None:
        for fields in self.refusal_counters.due_reports(now, flush):
            self.log.note("turned-away", level="warning", **fields)

    # The request engine's port to clients.

    def has_unread_disconnect(self, pending: PendingRequest) -> bool:
        """Whether the client of a call that is not deferred has closed, however much it sent before is unread."""
        return isinstance(pending.client, Exchange) and has_closed(pending.client)

    def on_answered(self, pending: PendingRequest) -> None:
        answer = pending.answer
        assert answer is not None
        self.capacity.release(pending.call.tenant)
        self.admitted_bytes.release(pending.id)
        if answer.final is not FinalKind.COMPLETED:
            self.refusal_counters.record(pending.answered_at, f"{answer.final.value}-{answer.reason}",
                                         self.capacity.key(pending.call.tenant))
        self.call_recorder.record(pending.answered_at, pending)
        if isinstance(pending.client, DeferredCall):
            for exchange in self.deferred_calls.finish(pending.answered_at, pending.client, answer):
                exchange.respond(requests.final_response(answer, pending.id))
        elif self.batch_service is not None and self.batch_service.owns(pending):
            self.batch_service.on_answered(pending)
        else:
            pending.client.respond(requests.final_response(answer, pending.id))
        self.log_final_answer(pending, answer)

    def on_finished(self, pending: PendingRequest) -> None:
        self.admitted_bytes.release(pending.id)
        if pending.client_gone and not (self.batch_service is not None and self.batch_service.owns(pending)):
            self.call_recorder.record(self.engine.now, pending)
            self.log_final_answer(pending, Answer(FinalKind.ABORTED, "client-left"))

    def log_final_answer(self, pending: PendingRequest, answer: Answer) -> None:
        """Logs the one event of a final answer; at level debug if the call completed in time, as most do."""
        is_usual = (answer.final is FinalKind.COMPLETED
                    and pending.engine.now - pending.admitted_at <= pending.activation.type_stats.target_latency)
        level = "debug" if is_usual else "info"
        if not self.log.is_enabled(level):
            return
        self.log.note(
            "final", level=level, activation=pending.id, function=pending.call.function, type=pending.call.type,
            tenant=pending.call.tenant, final="left" if pending.client_gone else answer.final.value,
            reason=answer.reason, took_ms=round((pending.engine.now - pending.admitted_at) / MS, 3),
            left_ms=pending.time_left(pending.engine.now) // MS, may_have_run=answer.may_have_run,
            sends=[{"worker": sent.worker, "after_ms": round((sent.sent_at - pending.admitted_at) / MS, 3),
                    "waited_ms": round(sent.waited / MS, 3), "copy": sent.copy.value,
                    "outcome": sent.outcome.value if sent.outcome else "out"} for sent in pending.sends])
