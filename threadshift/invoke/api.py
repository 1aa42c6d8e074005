"""The invoke API: exchanges to calls on the desk, final answers back to who waits for them."""
from __future__ import annotations

import json
import time
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol

import gevent

from threadshift.conf.installation import Installation
from threadshift.desk.desk import Answer, Call, Desk, Final, Held
from threadshift.interface import MS, SECOND
from threadshift.invoke import requests
from threadshift.invoke.admission import Admission
from threadshift.invoke.deferred import Deferral, Deferrals
from threadshift.invoke.http import Exchange, whole
from threadshift.invoke.looks import Looks
from threadshift.invoke.requests import CALLS, DEFERRED, Problem, Response
from threadshift.log import Log

STALL = 100 * MS           # a timer so late, or a call unread so long, means that the process stood still
SETTLE = 10 * MS           # after that, until all that came meanwhile is read: several rounds of the loop
BUSY_PAUSE = SECOND        # ns; when to come back after a refusal at the door: a second sheds a burst


def busy(status: int, kind: str, detail: str) -> Problem:
    """Not taken: a rejection at the door, which promises that nothing ran."""
    return Problem(status, kind, detail, headers=[("Final", Final.REJECTED.value), *requests.retry_after(BUSY_PAUSE)])


OVERLOADED = requests.problem(busy(503, "overloaded", "this front end is at its limit"))
OVERLOADED.ready = whole(OVERLOADED)


class Counts(Protocol):
    """Who counts activations as they end."""

    def note(self, now: int, held: Held) -> None: ...


class Invoke:
    """Answers exchanges; the desk's port to clients."""

    def __init__(self, told: Installation, name: str, base: str, deferrals: Deferrals, admission: Admission,
                 log: Log, status: Callable[[], dict[str, Any]]):
        self.told, self.base, self.deferrals, self.admission = told, base, deferrals, admission
        self.log, self.status = log, status
        self.functions = requests.Functions(told)
        self.closing = False
        self.looks = Looks()
        self.desk: Desk
        self.recent: Counts
        boot = f"{time.time_ns() // MS:x}"
        serial = count(1).__next__
        self.number = lambda: f"{name}-{boot}-{serial()}"
        self.name = name

    def reload(self, told: Installation) -> None:
        """Another configuration, for calls from now on."""
        self.told, self.functions = told, requests.Functions(told)

    # Exchanges.

    def handle(self, exchange: Exchange) -> None:
        try:
            self.route(exchange)
        except Problem as it:
            exchange.respond(requests.problem(it))

    def route(self, exchange: Exchange) -> None:
        path = exchange.path.split("?")[0]
        if CALLS.fullmatch(path):
            self.only(exchange, "POST")
            self.take(exchange, path)
        elif match := DEFERRED.fullmatch(path):
            self.only(exchange, "GET")
            self.collect(exchange, match[1])
        elif path == "/v1/status":
            self.only(exchange, "GET")
            exchange.respond(Response(200, [("Content-Type", "application/json")],
                                      json.dumps(self.status()).encode()))
        else:
            raise Problem(404, "no-such-path", f"nothing stands at {path[:100]}")

    @staticmethod
    def only(exchange: Exchange, method: str) -> None:
        if exchange.method != method:
            raise Problem(405, "wrong-method", f"{method} is answered here", headers=[("Allow", method)])

    def take(self, exchange: Exchange, path: str) -> None:
        # First, as what is refused must cost as little as can be: at the limit all else is work for nothing.
        if not self.admission.admit(exchange.headers.get("repetition") == "?1"):
            exchange.connection.pause = self.admission.pause
            exchange.respond(OVERLOADED)
            return
        call = requests.call_of(path, exchange.headers, exchange.body, self.functions)
        wish = requests.prefer(exchange.headers.get("prefer", ""))
        # It may have lain unread since the event loop looked last: its client's time ran all the while.
        unread = max(exchange.unread, self.looks.unread(time.monotonic_ns()))
        if unread >= STALL:
            # The roster's word, or a worker's, may lie unread too, and rule 3 counts from when it came. Found by a
            # hunt: calls read first after a standstill went to workers that had long been told of as draining.
            gevent.sleep(SETTLE / SECOND)
            unread += SETTLE
        call = call._replace(left=call.left - unread)
        if call.left <= 0:
            raise busy(503, "too-late", "its time left was up before it could be read")
        if self.closing:
            raise busy(503, "closing", "this front end is going down")
        if self.desk.owed >= self.told.bounds.activations:
            raise busy(503, "too-many-activations", f"{self.desk.owed} are under way here")
        if not wish.deferred:
            exchange.held = True        # taken may be answered before take() returns
            exchange.held = self.desk.take(time.monotonic_ns(), self.number(), call, exchange)
            return
        if not self.deferrals.room():
            raise busy(429, "too-many-deferred", "the waiting list is full")
        self.take_deferred(exchange, call)

    def take_deferred(self, exchange: Exchange, call: Call) -> None:
        ivk = self.number()
        it = self.deferrals.add(ivk)
        exchange.respond(requests.accepted(ivk, self.base))
        self.desk.take(time.monotonic_ns(), ivk, call, it)

    def collect(self, exchange: Exchange, ivk: str) -> None:
        it = self.deferrals.find(ivk)
        if it is None:
            raise Problem(404, "no-such-call", "never accepted here, or no longer kept", "id")
        wish = requests.prefer(exchange.headers.get("prefer", ""))
        if it.answer is not None:
            it.collected = True
            exchange.respond(requests.final(it.answer, ivk))
        elif wish.wait:
            exchange.waits = it
            self.deferrals.wait(it, exchange, time.monotonic_ns() + min(wish.wait, self.told.bounds.longest_wait))
        else:
            exchange.respond(requests.pending(ivk))

    def gone(self, exchange: Exchange) -> None:
        """The client of an unanswered exchange is gone."""
        if exchange.waits is not None:
            exchange.waits.waiters.pop(exchange, None)
        elif isinstance(exchange.held, Held):
            exchange.held.left(time.monotonic_ns())

    def tick(self, now: int) -> None:
        for exchange, it in self.deferrals.tick(now):
            exchange.respond(requests.pending(it.ivk))

    # The desk's port.

    def answered(self, held: Held) -> None:
        answer = held.answer
        assert answer is not None
        self.recent.note(held.answered_at, held)
        if isinstance(held.client, Deferral):
            for exchange in self.deferrals.finish(held.answered_at, held.client, answer):
                exchange.respond(requests.final(answer, held.ivk))
        else:
            held.client.respond(requests.final(answer, held.ivk))
        self.tell(held, answer)

    def over(self, held: Held) -> None:
        if held.gone:
            self.recent.note(self.desk.now, held)
            self.tell(held, Answer(Final.ABORTED, "client-left"))

    def tell(self, held: Held, answer: Answer) -> None:
        """The one event of a final answer; completed in time is the usual, and told only where all is."""
        usual = answer.final is Final.COMPLETED and held.desk.now - held.taken <= held.act.kind.target
        level = "debug" if usual else "info"
        if not self.log.wanted(level):
            return
        self.log.note(
            "final", level=level, activation=held.ivk, function=held.call.function, type=held.call.type,
            tenant=held.call.tenant, final="left" if held.gone else answer.final.value, reason=answer.reason,
            took_ms=round((held.desk.now - held.taken) / MS, 3), left_ms=held.time_left(held.desk.now) // MS,
            may_have_run=answer.may_have_run,
            sends=[{"worker": sent.worker, "after_ms": round((sent.at - held.taken) / MS, 3),
                    "waited_ms": round(sent.waited / MS, 3), "copy": sent.copy.value,
                    "outcome": sent.outcome.value if sent.outcome else "out"} for sent in held.sends])
