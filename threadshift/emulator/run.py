"""Runs a fault scenario on the virtual clock, with the same clients, orders and records as with real processes."""
from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from threadshift.audit.records import RecordedEvent
from threadshift.bgp.standing import OPERATOR_ORDERS
from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.days.fault_scenario import FaultScenario
from threadshift.days.orders import FaultOrder, draw_orders, worker_zones
from threadshift.days.traffic import ANY_FRONT_END, ClientCall, client_calls, next_in_chain
from threadshift.engine.engine import Call, FinalKind, PendingRequest
from threadshift.emulator.clock import Clock
from threadshift.choice import Dispatcher
from threadshift.emulator.front import CALL_COST, ModelFront, Policy
from threadshift.emulator.network import OTHER_COST, Network
from threadshift.emulator.router import ModelServiceAnnouncer, ModelRouter
from threadshift.emulator.store import MB, ModelStore
from threadshift.emulator.worker import ModelWorker
from threadshift.interface import MS, SECOND, Effect, WorkerState
from threadshift.discovery.registry import WorkerEntry
from threadshift.standins.worker import Machine

START = 1_000 * SECOND     # virtual; not 0, as a time of 0 means "never" in many places
CLIENT_MARGIN = SECOND     # how long clients wait past their time left, as in the stand-in


class Emulation:
    """One run of a scenario.

    `records` has the recorded events by source, which write() stores in the same files as a run of real processes."""

    def __init__(self, day: FaultScenario, seed: int, policy: Policy = Dispatcher):
        self.day, self.seed, self.policy = day, seed, policy
        self.clock = Clock(START)
        self.records: dict[str, list[dict[str, Any]]] = {}
        self.zones = worker_zones(day)
        self.network = Network(self.clock, seed, self.zones)
        self.store = ModelStore(self.clock, day.store, self.recorder("store"))
        self.network.fronts = self.fronts = dict[str, ModelFront]()
        self.front_ends_started: list[ModelFront] = []    # one for each start
        self.entries: dict[str, WorkerEntry] = {}
        self.feed_delay = 0
        self.feed_delay_until = 0
        self.answered_marks: set[str] = set()       # of attempts
        self.router = ModelRouter(self.clock, day.router, self.network.delay, self.recorder("router")) if (
            day.router) else None

    def recorder(self, source: str, **always: Any) -> Callable[..., None]:
        """A function that records events of one source; each has the fields `always`."""
        lines = self.records.setdefault(source, [])

        def note(event: str, **fields: Any) -> None:
            lines.append({"t": self.clock.now, "e": event, **always, **fields})
        return note

    def run(self) -> None:
        """Runs the whole scenario. It begins with warm workers, as a run of real processes waits for them."""
        conductor = self.recorder("conductor")
        for name in self.zones:
            self.start_worker(name)
        self.clock.run(self.clock.now + self.day.config.deployment.cold_time)
        for name in self.zones:
            self.entries[name] = self.make_entry(name)
        for n in range(self.day.front_ends):
            self.start_front_end(n)
        begin = self.clock.now + (SECOND // 2 if self.router is None else self.router.settings.converge + SECOND)
        conductor("day", seed=self.seed, start=begin, grace=self.day.config.deployment.drain_grace)
        clients = self.recorder("clients")
        for each in client_calls(self.day, self.seed):
            self.clock.at(begin + each.at, self.send_attempt, each, 0, clients)
        for order in draw_orders(self.day, self.seed):
            self.clock.at(begin + order.at, self.execute_order, order, conductor)
        if self.router is not None:
            conductor("router", converge=self.router.settings.converge, steer=self.router.settings.steer)
        max_timeout = max(each.action_timeout for each in self.day.config.deployment.types)
        self.clock.run(begin + self.day.length + 4 * max_timeout + 5 * SECOND)
        conductor("over")

    def recorded_events(self) -> list[RecordedEvent]:
        """All recorded events in order of time, as the audit reads them."""
        found = [RecordedEvent(line["t"], line["e"], source, line) for source, lines in sorted(self.records.items())
                 for line in lines]
        return sorted(found, key=lambda each: each.t)

    def write(self, folder: Path, text: str) -> None:
        """Writes the scenario file and the recorded events."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text(text)
        for source, lines in self.records.items():
            (folder / f"{source}.jsonl").write_text("".join(
                json.dumps(line, separators=(",", ":")) + "\n" for line in lines))

    # Processes.

    def start_worker(self, name: str) -> None:
        deployment, fleet = self.day.config.deployment, self.day.fleet
        machine = Machine(name, self.zones[name], 1.0, fleet.cores, fleet.memory / MB, fleet.loads,
                          idle_keep_alive=deployment.idle_keep_alive, cold_share=deployment.cold_share,
                          cold_time=deployment.cold_time,
                          fall_multiple=deployment.fall_multiple, fall_time=deployment.fall_time,
                          report_every=fleet.report_every, loads_on_miss=deployment.loads_on_miss)
        self.network.workers[name] = ModelWorker(self.clock, machine, self.store, self.recorder(name, worker=name))

    def make_entry(self, name: str, state: WorkerState = WorkerState.READY) -> WorkerEntry:
        it = self.network.workers[name]
        return WorkerEntry(name, Address(name, 1), state, self.zones[name], 0, 1.0, it.started)

    def start_front_end(self, n: int) -> None:
        name = f"front-{n}"
        zone = self.day.fleet.zones[n % len(self.day.fleet.zones)]
        front = self.fronts[name] = ModelFront(self.clock, self.day, name, zone, self.network, self.seed,
                                               self.on_answered, self.on_rejected, self.policy)
        self.front_ends_started.append(front)
        if self.router is not None:
            front.service_announcer = ModelServiceAnnouncer(self.clock, front, self.router, n)
        self.recorder("conductor")("front-up", front=n)
        self.publish(list(self.entries.values()), True, [name])

    def publish(self, entries: list[WorkerEntry], full: bool, to: list[str] | None = None) -> None:
        """Sends worker entries to front ends, after the delay of the order `late` if it is active.

        `to` names the front ends; None means all."""
        delay = self.feed_delay if self.clock.now < self.feed_delay_until and to is None else 0
        for name in to or list(self.fronts):
            self.clock.after(delay + self.network.delay(), self.deliver_list, name, entries, full)

    def deliver_list(self, name: str, entries: list[WorkerEntry], full: bool) -> None:
        front = self.fronts[name]
        if front.alive:
            self.recorder("roster")("told", front=name, full=full,
                                 states={each.worker: each.state.value for each in entries})
            front.receive(OTHER_COST, front.on_list, entries, full)

    def execute_order(self, order: FaultOrder, note: Callable[..., None]) -> None:
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
            self.feed_delay, self.feed_delay_until = (
                int(float(words[2]) * SECOND), self.clock.now + values.duration(words[1]))
            return
        state = WorkerState(words[2])
        self.entries[words[1]] = self.make_entry(words[1], state)
        self.publish([self.entries[words[1]]], False)

    def worker_order(self, name: str, words: list[str]) -> None:
        it = self.network.workers[name]
        it.note("order", words=words)
        if words[0] == "drain":
            it.draining = True
            for front in self.fronts.values():
                self.clock.after(self.network.delay(), front.receive, OTHER_COST, front.on_worker_draining, name)
        elif words[0] == "flush":
            it.flush()
        else:
            it.faults.order(words[0], values.duration(words[1]), float(words[2]) if len(words) > 2 else 1.0)

    def kill(self, who: str) -> None:
        note = self.recorder("conductor")
        note("killing", who=who)
        if who.startswith("front"):
            self.fronts[who].end()
            for pending in self.fronts[who].engine.requests.values():
                if not pending.is_settled:
                    pending.client[0]("broke", mark=pending.client[1], problem="reset")
        else:
            self.network.kill_worker(who)
        note("killed", who=who)

    def renew(self, who: str) -> None:
        if who.startswith("front"):
            if self.fronts[who].alive:
                self.kill(who)
            self.start_front_end(int(who.removeprefix("front-")))
            return
        if self.network.workers[who].alive:
            self.kill(who)
        self.start_worker(who)
        self.recorder("conductor")("worker-up", worker=who)
        self.entries[who] = self.make_entry(who)
        self.publish([self.entries[who]], False)

    def stop(self, who: str) -> None:
        self.recorder("conductor")("stopped", who=who)
        front = self.fronts[who]
        front.suspend()
        if self.router is not None and front.service_announcer is not None:
            # Keepalives are sent every third of the hold time, so the last one was sent up to that long ago.
            hold = self.router.settings.hold * SECOND
            self.clock.after(int(hold * (1 - front.random() / 3)), self.router.on_hold_time_over,
                             front.service_announcer)

    def go_on(self, who: str) -> None:
        self.recorder("conductor")("goes-on", who=who)
        front = self.fronts[who]
        front.resume()
        if self.router is not None and front.service_announcer is not None:
            self.router.on_resumed(front.service_announcer)

    def drain(self, who: str) -> None:
        self.recorder("conductor")("drains", who=who)
        self.fronts[who].drain()

    def reload(self, who: str) -> None:
        """Records a reload of the unchanged configuration file, which changes nothing."""
        self.recorder("conductor")("reloads", who=who)

    def say(self, who: str, word: str) -> None:
        """Applies an operator order to the announcements of a front end."""
        announcer = self.fronts[who].service_announcer
        if announcer is not None:
            announcer.set_operator_override(OPERATOR_ORDERS[word])

    # Clients.

    def send_attempt(self, attempt: ClientCall, number: int, note: Callable[..., None]) -> None:
        """Sends an attempt, or its `number`th retry, to a front end."""
        mark = f"{attempt.mark}r{number}" if number else attempt.mark
        n = attempt.front if self.router is None else self.router.steer()
        note("try", mark=mark, first=attempt.mark, front=attempt.front if self.router is None else ANY_FRONT_END,
             type=attempt.type.name, effect=attempt.type.effect.value, left_ms=attempt.left // MS,
             deferred=attempt.deferred, work_ms=attempt.work / MS, tenant=attempt.tenant,
             quits=bool(attempt.quits_after))
        front = self.fronts.get(f"front-{n}")
        if front is None or not front.alive or front.closing:
            note("broke", mark=mark, problem="refused")
            self.retry(attempt, number, note, True)
            return
        if front.service_announcer is not None:
            front.service_announcer.arrivals.record(self.clock.now)
        # The call's mark carries the client's mark and the true work for simulated workers, not for the dispatcher.
        settings = self.day.config.function(attempt.function)
        call = Call(attempt.type.name, attempt.function, attempt.left, b"", attempt.tenant, f"{mark} {attempt.work}",
                    attempt.hint, settings[0].lanes if settings else 1, settings[0].load_time if settings else 0,
                    number > 0)
        self.clock.after(self.network.delay(), self.on_arrival, front, call, (note, mark, attempt, number, n))
        if attempt.quits_after:
            self.clock.after(attempt.quits_after, self.disconnect, front, mark, note)

    def on_arrival(self, front: ModelFront, call: Call, client: tuple) -> None:
        """Delivers a call, or breaks it where the front end has ended while the call was under way."""
        if front.alive:
            front.receive(CALL_COST, front.admit, call, client)
            return
        note, mark, attempt, number, _ = client
        note("broke", mark=mark, problem="refused")
        self.retry(attempt, number, note, True)

    def disconnect(self, front: ModelFront, mark: str, note: Callable[..., None]) -> None:
        """Closes the client's connection, unless the attempt was answered."""
        if mark in self.answered_marks:
            return
        note("quit", mark=mark)
        front.receive(OTHER_COST, self.on_disconnected, front, mark)

    def on_disconnected(self, front: ModelFront, mark: str) -> None:
        pending = next((each for each in front.engine.requests.values()
                        if each.client and each.client[1] == mark), None)
        if pending is not None:
            pending.on_client_gone(self.clock.now)

    def on_answered(self, pending: PendingRequest) -> None:
        self.clock.after(self.network.delay(), self.on_answer_received, pending, pending.client)

    def on_rejected(self, client: tuple) -> None:
        """Answers a call that admission rejected, or whose time was over before it was read."""
        note, mark, attempt, number, n = client
        self.answered_marks.add(mark)
        note("answer", mark=mark, final=FinalKind.REJECTED.value, status=503, may_have_run=False,
             served_by=f"front-{n}")
        self.retry(attempt, number, note, True)

    def on_answer_received(self, pending: PendingRequest, client: tuple) -> None:
        note, mark, attempt, number, n = client
        self.answered_marks.add(mark)
        answer = pending.answer
        assert answer is not None
        note("answer", mark=mark, final=answer.final.value,
             status=200 if answer.final is FinalKind.COMPLETED else 503,
             may_have_run=answer.may_have_run, served_by=f"front-{n}")
        self.retry(attempt, number, note, answer.final is FinalKind.REJECTED
                   or answer.final is FinalKind.ABORTED and attempt.type.effect is Effect.REPEATABLE)
        if answer.final is FinalKind.COMPLETED and attempt.chain:
            self.clock.after(0, self.send_attempt, next_in_chain(attempt), 0, note)

    def retry(self, attempt: ClientCall, number: int, note: Callable[..., None], is_wanted: bool) -> None:
        if is_wanted and number < attempt.traffic.retries and not attempt.quits_after:
            self.clock.after(attempt.traffic.retry_after << number, self.send_attempt, attempt, number + 1, note)
