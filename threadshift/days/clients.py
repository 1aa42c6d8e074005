"""The clients of a fault scenario: an open loop of calls to the front ends, with timeouts, departures and retries."""
from __future__ import annotations

import json
import time

import gevent
from gevent.pool import Pool

from threadshift.conf.values import Address
from threadshift.days.fault_scenario import FaultScenario
from threadshift.days.traffic import ANY_FRONT_END, ClientCall, client_calls, next_in_chain
from threadshift.interface import MS, SECOND, Effect
from threadshift.invoke.client import Client, NoAnswer, Reply
from threadshift.standins.common import Record

EXTRA_WAIT = SECOND        # ns that a client waits past its time left, to see whether an answer still comes
MAX_CALLS = 5000           # under way at a time; with more, the machine and not the gateway would be measured
STALL_CHECK_INTERVAL = 0.02    # s; how often stalls of this process itself are looked for
LONG_POLL = 10             # s that one request for a deferred answer may wait


class Clients:
    """Makes the calls of a scenario against front ends."""

    def __init__(self, scenario: FaultScenario, seed: int, fronts: list[Address], record: Record):
        self.scenario, self.seed, self.fronts, self.record = scenario, seed, fronts, record
        self.idle: list[list[Client]] = [[] for _ in fronts]
        self.pool = Pool(MAX_CALLS)

    def run(self, start: int) -> None:
        """Makes all calls from this time (monotonic ns) on; returns once each has ended."""
        stall_check = gevent.spawn(self.record_stalls)
        for each in client_calls(self.scenario, self.seed):
            gevent.sleep(max(0, start + each.at - time.monotonic_ns()) / SECOND)
            if self.pool.full():
                self.record.note("skipped", mark=each.mark)
                continue
            self.pool.spawn(self.call_until_done, each)
        self.pool.join()
        stall_check.kill()

    def record_stalls(self) -> None:
        """Records each time in which this process did not run, so that the audit can allow for it."""
        before = time.monotonic_ns()
        while True:
            gevent.sleep(STALL_CHECK_INTERVAL)
            now = time.monotonic_ns()
            if now - before > 5 * STALL_CHECK_INTERVAL * SECOND:
                self.record.note("stood-still", since=before)
            before = now

    def call_until_done(self, it: ClientCall) -> None:
        """Makes a first call and its repetitions, each with a mark of its own; then the calls of its chain."""
        number = 0
        while True:
            mark = f"{it.mark}r{number}" if number else it.mark
            final, may_repeat = self.call_once(it, mark, number)
            if final == "completed" and it.chain:
                it, number = next_in_chain(it), 0
            elif may_repeat and number < it.traffic.retries:
                gevent.sleep((it.traffic.retry_after << number) / SECOND)
                number += 1
            else:
                return

    def call_once(self, it: ClientCall, mark: str, number: int) -> tuple[str, bool]:
        """Makes one call. Returns its final answer, and whether repeating it is harmless and wanted."""
        effect = it.type.effect
        routed = self.scenario.router is not None     # then each call has its own connection, steered by the router
        front = 0 if routed else it.front
        self.record.note("try", mark=mark, first=it.mark, front=ANY_FRONT_END if routed else front,
                         type=it.type.name, effect=effect.value,
                         left_ms=it.left // MS, deferred=it.deferred, work_ms=it.work / MS, tenant=it.tenant,
                         quits=bool(it.quits_after))
        start = time.monotonic_ns()
        client = self.idle[front].pop() if self.idle[front] else Client(self.fronts[front])
        limit = it.quits_after or it.left + EXTRA_WAIT
        try:
            with gevent.Timeout(limit / SECOND):
                reply = self.request(client, it, mark, number, start)
        except gevent.Timeout:
            client.close()
            self.record.note("quit" if it.quits_after else "no-answer", mark=mark)
            return "", False
        except NoAnswer as problem:
            self.record.note("broke", mark=mark, problem=str(problem))
            return "", effect is Effect.REPEATABLE or "refused" in str(problem)
        if routed:
            client.close()
        else:
            self.idle[front].append(client)
        final = reply.headers.get("final", "not-taken")
        ran = reply.status != 200 and b'"may-have-run": true' in reply.body
        self.record.note("answer", mark=mark, final=final, status=reply.status, may_have_run=ran,
                         served_by=reply.headers.get("activation", "").rsplit("-", 2)[0])
        return final, final == "rejected" or final == "aborted" and effect is Effect.REPEATABLE

    def request(self, client: Client, it: ClientCall, mark: str, number: int, start: int) -> Reply:
        """Sends one call and waits for its answer; that of a deferred call is collected by long polls."""
        body = json.dumps({"mark": mark, "work_ms": round(it.work / MS, 3)}, separators=(",", ":")).encode()
        reply = client.request("POST", f"/v1/functions/{it.function}/calls", {
            "Time-Left": str(it.left // MS), "Work-Hint": str(it.hint // MS), "Tenant": it.tenant or None,
            "Idempotency-Key": mark if it.type.effect is Effect.DEDUPLICATED else None,
            "Repetition": "?1" if number else None, "Prefer": "respond-async" if it.deferred else None}, body)
        while reply.status == 202:
            if time.monotonic_ns() > start + it.left + EXTRA_WAIT:
                raise NoAnswer("a deferred call without its final answer")
            reply = client.request("GET", f"/v1/calls/{reply.headers['activation']}", {"Prefer": f"wait={LONG_POLL}"})
        return reply
