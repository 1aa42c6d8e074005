"""Emulates a day: the same day file, clients, orders and records as a day that is played with real processes."""
from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from threadshift.audit.records import Seen
from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.days.fault_scenario import FaultScenario
from threadshift.days.orders import FaultOrder, draw_orders, worker_zones
from threadshift.days.traffic import ANY_FRONT_END, ClientCall, client_calls, next_in_chain
from threadshift.engine.engine import Call, FinalKind, PendingRequest
from threadshift.emulator.clock import Clock
from threadshift.choice import Dispatcher
from threadshift.emulator.front import CALL, ModelFront, Policy
from threadshift.emulator.network import OTHER, Network
from threadshift.emulator.router import ModelHall, ModelRouter
from threadshift.emulator.store import MB, ModelStore
from threadshift.emulator.worker import ModelWorker
from threadshift.gateway.service_announcer import OPERATOR_ORDERS
from threadshift.interface import MS, SECOND, Effect, WorkerState
from threadshift.discovery.registry import WorkerEntry
from threadshift.standins.worker import Machine

START = 1_000 * SECOND     # virtual; times of 0 mean "never" in many places
OVERTIME = SECOND          # that clients wait past their time left, as the stand-in's do


class Emulation:
    """One day, once. `records` holds lines by source; write() leaves them as a played day does."""

    def __init__(self, day: FaultScenario, seed: int, policy: Policy = Dispatcher):
        self.day, self.seed, self.policy = day, seed, policy
        self.clock = Clock(START)
        self.records: dict[str, list[dict[str, Any]]] = {}
        self.zones = worker_zones(day)
        self.network = Network(self.clock, seed, self.zones)
        self.store = ModelStore(self.clock, day.store, self.noter("store"))
        self.network.fronts = self.fronts = dict[str, ModelFront]()
        self.lives: list[ModelFront] = []    # of front ends, one a start
        self.entries: dict[str, WorkerEntry] = {}
        self.late = 0
        self.late_until = 0
        self.ended: set[str] = set()         # marks of tries that were answered
        self.router = ModelRouter(self.clock, day.router, self.network.delay, self.noter("router")) if (
            day.router) else None

    def noter(self, source: str, **always: Any) -> Callable[..., None]:
        lines = self.records.setdefault(source, [])

        def note(event: str, **fields: Any) -> None:
            lines.append({"t": self.clock.now, "e": event, **always, **fields})
        return note

    def run(self) -> None:
        """The whole day, warm from the start, as a played day waits until its fleet is warm."""
        conductor = self.noter("conductor")
        for name in self.zones:
            self.start_worker(name)
        self.clock.run(self.clock.now + self.day.config.deployment.cold_time)
        for name in self.zones:
            self.entries[name] = self.entry(name)
        for n in range(self.day.front_ends):
            self.start_front(n)
        begin = self.clock.now + (SECOND // 2 if self.router is None else self.router.it.converge + SECOND)
        conductor("day", seed=self.seed, start=begin, grace=self.day.config.deployment.drain_grace)
        clients = self.noter("clients")
        for each in client_calls(self.day, self.seed):
            self.clock.at(begin + each.at, self.ask, each, 0, clients)
        for order in draw_orders(self.day, self.seed):
            self.clock.at(begin + order.at, self.carry_out, order, conductor)
        if self.router is not None:
            conductor("router", converge=self.router.it.converge, steer=self.router.it.steer)
        longest = max(each.action_timeout for each in self.day.config.deployment.types)
        self.clock.run(begin + self.day.length + 4 * longest + 5 * SECOND)
        conductor("over")

    def seen(self) -> list[Seen]:
        """The records as the audit reads them."""
        found = [Seen(line["t"], line["e"], source, line) for source, lines in sorted(self.records.items())
                 for line in lines]
        return sorted(found, key=lambda each: each.t)

    def write(self, folder: Path, text: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text(text)
        for source, lines in self.records.items():
            (folder / f"{source}.jsonl").write_text("".join(
                json.dumps(line, separators=(",", ":")) + "\n" for line in lines))

    # Processes.

    def start_worker(self, name: str) -> None:
        told, fleet = self.day.config.deployment, self.day.fleet
        machine = Machine(name, self.zones[name], 1.0, fleet.cores, fleet.memory / MB, fleet.loads,
                          keep=told.idle_keep_alive, cold_share=told.cold_share, cold_time=told.cold_time,
                          fall_multiple=told.fall_multiple, fall_time=told.fall_time,
                          report_every=fleet.report_every, loads_on_miss=told.loads_on_miss)
        self.network.workers[name] = ModelWorker(self.clock, machine, self.store, self.noter(name, worker=name))

    def entry(self, name: str, state: WorkerState = WorkerState.READY) -> WorkerEntry:
        it = self.network.workers[name]
        return WorkerEntry(name, Address("127.0.0.1", 1), state, self.zones[name], 0, 1.0, it.started)

    def start_front(self, n: int) -> None:
        name = f"front-{n}"
        zone = self.day.fleet.zones[n % len(self.day.fleet.zones)]
        front = self.fronts[name] = ModelFront(self.clock, self.day, name, zone, self.network, self.seed,
                                               self.answered, self.refused, self.policy)
        self.lives.append(front)
        if self.router is not None:
            front.hall = ModelHall(self.clock, front, self.router, n)
        self.noter("conductor")("front-up", front=n)
        self.tell(list(self.entries.values()), True, [name])

    def tell(self, entries: list[WorkerEntry], full: bool, to: list[str] | None = None) -> None:
        """News from the roster, late where that is ordered."""
        late = self.late if self.clock.now < self.late_until and to is None else 0
        for name in to or list(self.fronts):
            self.clock.after(late + self.network.delay(), self.told, name, entries, full)

    def told(self, name: str, entries: list[WorkerEntry], full: bool) -> None:
        front = self.fronts[name]
        if front.alive:
            self.noter("roster")("told", front=name, full=full,
                                 states={each.worker: each.state.value for each in entries})
            front.hear(OTHER, front.listed, entries, full)

    def carry_out(self, order: FaultOrder, note: Callable[..., None]) -> None:
        note("order", who=order.who, words=order.words)
        words = order.words.split()
        if words[0].startswith("!"):
            getattr(self, words[0][1:].replace("-", "_"))(order.who, *words[1:])
        elif order.who == "roster":
            self.roster_order(words)
        elif order.who == "store":
            if words[0] == "release":
                self.store.release += 1
            else:
                self.store.faults.order(words[0], values.duration(words[1]), float(words[2]))
        else:
            for name in self.zones if order.who == "workers" else [order.who]:
                self.worker_order(name, words)

    def roster_order(self, words: list[str]) -> None:
        if words[0] == "late":
            self.late, self.late_until = int(float(words[2]) * SECOND), self.clock.now + values.duration(words[1])
            return
        state = WorkerState(words[2])
        self.entries[words[1]] = self.entry(words[1], state)
        self.tell([self.entries[words[1]]], False)

    def worker_order(self, name: str, words: list[str]) -> None:
        it = self.network.workers[name]
        it.note("order", words=words)
        if words[0] == "drain":
            it.draining = True
            for front in self.fronts.values():
                self.clock.after(self.network.delay(), front.hear, OTHER, front.drains, name)
        elif words[0] == "flush":
            it.flush()
        else:
            it.faults.order(words[0], values.duration(words[1]), float(words[2]) if len(words) > 2 else 1.0)

    def kill(self, who: str) -> None:
        note = self.noter("conductor")
        note("killing", who=who)
        if who.startswith("front"):
            self.fronts[who].end()
            for pending in self.fronts[who].engine.requests.values():
                if not pending.is_settled:
                    pending.client[0]("broke", mark=pending.client[1], problem="reset")
        else:
            self.network.die(who)
        note("killed", who=who)

    def renew(self, who: str) -> None:
        if who.startswith("front"):
            if self.fronts[who].alive:
                self.kill(who)
            self.start_front(int(who.removeprefix("front-")))
            return
        if self.network.workers[who].alive:
            self.kill(who)
        self.start_worker(who)
        self.noter("conductor")("worker-up", worker=who)
        self.entries[who] = self.entry(who)
        self.tell([self.entries[who]], False)

    def stop(self, who: str) -> None:
        self.noter("conductor")("stopped", who=who)
        front = self.fronts[who]
        front.stop()
        if self.router is not None and front.hall is not None:
            # Its last keepalive left up to a third of the hold time ago.
            hold = self.router.it.hold * SECOND
            self.clock.after(int(hold * (1 - front.chance() / 3)), self.router.silent, front.hall)

    def go_on(self, who: str) -> None:
        self.noter("conductor")("goes-on", who=who)
        front = self.fronts[who]
        front.go_on()
        if self.router is not None and front.hall is not None:
            self.router.goes_on(front.hall)

    def drain(self, who: str) -> None:
        self.noter("conductor")("drains", who=who)
        self.fronts[who].drain()

    def reload(self, who: str) -> None:
        """Its file as it was: nothing changes, as in a played day."""
        self.noter("conductor")("reloads", who=who)

    def say(self, who: str, word: str) -> None:
        """An operator's word on its announcements."""
        hall = self.fronts[who].hall
        if hall is not None:
            hall.say(OPERATOR_ORDERS[word])

    # Clients.

    def ask(self, it: ClientCall, number: int, note: Callable[..., None]) -> None:
        mark = f"{it.mark}r{number}" if number else it.mark
        n = it.front if self.router is None else self.router.steer()
        note("try", mark=mark, first=it.mark, front=it.front if self.router is None else ANY_FRONT_END,
             type=it.type.name, effect=it.type.effect.value, left_ms=it.left // MS,
             deferred=it.deferred, work_ms=it.work / MS, tenant=it.tenant, quits=bool(it.quits_after))
        front = self.fronts.get(f"front-{n}")
        if front is None or not front.alive or front.closing:
            note("broke", mark=mark, problem="refused")
            self.again(it, number, note, True)
            return
        if front.hall is not None:
            front.hall.arrivals.record(self.clock.now)
        # The mark and the true work travel as the call's own mark: the models read them, the decisions do not.
        known = self.day.config.function(it.function)
        call = Call(it.type.name, it.function, it.left, b"", it.tenant, f"{mark} {it.work}", it.hint,
                    known[0].lanes if known else 1, known[0].load_time if known else 0, number > 0)
        self.clock.after(self.network.delay(), self.knock, front, call, (note, mark, it, number, n))
        if it.quits_after:
            self.clock.after(it.quits_after, self.quit, front, mark, note)

    def knock(self, front: ModelFront, call: Call, client: tuple) -> None:
        """A call reaches its front end, or finds that it ended while the call was on its way. Found by a history."""
        if front.alive:
            front.hear(CALL, front.take, call, client)
            return
        note, mark, it, number, _ = client
        note("broke", mark=mark, problem="refused")
        self.again(it, number, note, True)

    def quit(self, front: ModelFront, mark: str, note: Callable[..., None]) -> None:
        if mark in self.ended:
            return
        note("quit", mark=mark)
        front.hear(OTHER, self.leave, front, mark)

    def leave(self, front: ModelFront, mark: str) -> None:
        pending = next((each for each in front.engine.requests.values()
                        if each.client and each.client[1] == mark), None)
        if pending is not None:
            pending.on_client_gone(self.clock.now)

    def answered(self, pending: PendingRequest) -> None:
        self.clock.after(self.network.delay(), self.received, pending, pending.client)

    def refused(self, client: tuple) -> None:
        """At the door, as its time was up before it was read."""
        note, mark, it, number, n = client
        self.ended.add(mark)
        note("answer", mark=mark, final=FinalKind.REJECTED.value, status=503, may_have_run=False,
             served_by=f"front-{n}")
        self.again(it, number, note, True)

    def received(self, pending: PendingRequest, client: tuple) -> None:
        note, mark, it, number, n = client
        self.ended.add(mark)
        answer = pending.answer
        assert answer is not None
        note("answer", mark=mark, final=answer.final.value,
             status=200 if answer.final is FinalKind.COMPLETED else 503,
             may_have_run=answer.may_have_run, served_by=f"front-{n}")
        self.again(it, number, note, answer.final is FinalKind.REJECTED
                   or answer.final is FinalKind.ABORTED and it.type.effect is Effect.REPEATABLE)
        if answer.final is FinalKind.COMPLETED and it.chain:
            self.clock.after(0, self.ask, next_in_chain(it), 0, note)

    def again(self, it: ClientCall, number: int, note: Callable[..., None], wanted: bool) -> None:
        if wanted and number < it.traffic.retries and not it.quits_after:
            self.clock.after(it.traffic.retry_after << number, self.ask, it, number + 1, note)
