"""Clients of a day: an open loop of calls to the front ends, with patience, departures and retries of their own."""
from __future__ import annotations

import json
import time

import gevent
from gevent.pool import Pool

from threadshift.conf.values import Address
from threadshift.days.day import Day
from threadshift.days.traffic import ANY, Try, follower, tries
from threadshift.interface import MS, SECOND, Effect
from threadshift.invoke.client import Client, NoAnswer, Reply
from threadshift.standins.common import Record

OVERTIME = SECOND          # ns that a client waits past its time left, to see whether an answer still comes
MOST = 5000                # tries under way; past it the machine, not the gateway, is what is measured
BEAT = 0.02                # s; how often our own standstill is looked for
LONG_WAIT = 10             # s asked for at a time


class Clients:
    """Plays the tries of a day from a start on; returns once each has ended."""

    def __init__(self, day: Day, seed: int, fronts: list[Address], record: Record):
        self.day, self.seed, self.fronts, self.record = day, seed, fronts, record
        self.idle: list[list[Client]] = [[] for _ in fronts]
        self.pool = Pool(MOST)

    def run(self, start: int) -> None:
        beat = gevent.spawn(self.beat)
        for each in tries(self.day, self.seed):
            gevent.sleep(max(0, start + each.at - time.monotonic_ns()) / SECOND)
            if self.pool.full():
                self.record.note("skipped", mark=each.mark)
                continue
            self.pool.spawn(self.ask, each)
        self.pool.join()
        beat.kill()

    def beat(self) -> None:
        before = time.monotonic_ns()
        while True:
            gevent.sleep(BEAT)
            now = time.monotonic_ns()
            if now - before > 5 * BEAT * SECOND:
                self.record.note("stood-still", since=before)
            before = now

    def ask(self, it: Try) -> None:
        """A first try and its repetitions, each a call of its own with a mark of its own; then its chain."""
        number = 0
        while True:
            mark = f"{it.mark}r{number}" if number else it.mark
            final, again = self.once(it, mark, number)
            if final == "completed" and it.chain:
                it, number = follower(it), 0
            elif again and number < it.traffic.retries:
                gevent.sleep((it.traffic.retry_after << number) / SECOND)
                number += 1
            else:
                return

    def once(self, it: Try, mark: str, number: int) -> tuple[str, bool]:
        """The final answer, and whether trying again is harmless and wanted."""
        effect = it.type.effect
        routed = self.day.router is not None     # then a try has a connection of its own, steered by the router
        front = 0 if routed else it.front
        self.record.note("try", mark=mark, first=it.mark, front=ANY if routed else front,
                         type=it.type.name, effect=effect.value,
                         left_ms=it.left // MS, deferred=it.deferred, work_ms=it.work / MS, tenant=it.tenant,
                         quits=bool(it.quits_after))
        start = time.monotonic_ns()
        client = self.idle[front].pop() if self.idle[front] else Client(self.fronts[front])
        limit = it.quits_after or it.left + OVERTIME
        try:
            with gevent.Timeout(limit / SECOND):
                reply = self.call(client, it, mark, number, start)
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

    def call(self, client: Client, it: Try, mark: str, number: int, start: int) -> Reply:
        body = json.dumps({"mark": mark, "work_ms": round(it.work / MS, 3)}, separators=(",", ":")).encode()
        reply = client.request("POST", f"/v1/functions/{it.function}/calls", {
            "Time-Left": str(it.left // MS), "Work-Hint": str(it.hint // MS), "Tenant": it.tenant or None,
            "Idempotency-Key": mark if it.type.effect is Effect.DEDUPLICATED else None,
            "Repetition": "?1" if number else None, "Prefer": "respond-async" if it.deferred else None}, body)
        while reply.status == 202:
            if time.monotonic_ns() > start + it.left + OVERTIME:
                raise NoAnswer("a deferred call without its final answer")
            reply = client.request("GET", f"/v1/calls/{reply.headers['activation']}", {"Prefer": f"wait={LONG_WAIT}"})
        return reply
