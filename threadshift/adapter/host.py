"""Instances of the decision module, each fed its own events and speaking for itself."""
from __future__ import annotations

import sys
import traceback

from threadshift.adapter.codec import Frame, line, to_ms
from threadshift.choice import Dispatcher
from threadshift.conf.settings import Fields, Malformed, deployment, report
from threadshift.interface import MS, Copy, Action, WorkerListing, Outcome, WorkerState, Step

OUTCOMES = dict(enumerate((
    Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.UNREACHABLE,
    Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS)))
STATES = {0: WorkerState.GONE, 1: WorkerState.READY, 2: WorkerState.DRAINING}
COPIES = {0: Copy.UNKNOWN, 1: Copy.FOUND, 2: Copy.LOAD_STARTED, 3: Copy.WAITED, 4: Copy.LOAD_FAILED}
FAILED_LIST = 3
LONGEST_REMINDER = 70 * 60 * 1000 * MS
LOG_WORDS = str.maketrans("\r\n", "  ")


def listing(row: Fields) -> WorkerListing:
    return WorkerListing(row.text("worker"), row.read("mode", lambda text: STATES[int(text)]),
                   row.text("rackZone", ""), row.whole("cluster", 0), row.ns("onlineSince", 0),
                   row.number("powerHint", 1.0))


def outcome(event: Fields) -> Outcome:
    return event.read("outcome", lambda text: OUTCOMES[int(text)])


class Instance:
    """One front end: its dispatcher, the handles it holds and its one pending reminder."""

    def __init__(self, number: int, start: Fields, now: int):
        self.number = number
        self.dispatcher = Dispatcher(start.whole("entropy"), deployment(start), now)
        self.acts: dict[str, object] = {}      # owed an answer, or with sends still out
        self.handle = 0
        self.reminder: int | None = None

    def event(self, event: Fields, now: int, tables: dict[int, list[WorkerListing]]) -> list[Step]:
        """One event as the call it stands for."""
        word = event.word
        if word == "REQUEST":
            return self.request(event, now)
        if word == "VERDICT":
            return self.verdict(event, now)
        if word == "ELAPSED":
            if event.whole("handle") != self.handle:
                return []
            self.reminder = None
            return self.dispatcher.tick(now)
        if word == "VANISHED":
            act = self.acts.get(event.text("id"))
            return self.closed(act, act.on_client_gone(now)) if act else []
        if word == "STANDS":
            return self.dispatcher.on_load_ended(
                now, event.text("worker"), event.text("fn"), outcome(event),
                event.whole("instances", 0))
        if word == "STATUS_BACK":
            return self.dispatcher.on_report(
                now, event.text("worker"), outcome(event), report(event.text("usage", ""), ","))
        if word == "HEADERS":
            act = self.acts.get(event.text("id"))
            return act.on_answer_started(now, event.whole("go")) if act else []
        if word == "MEMBERS":
            scope = event.whole("scope")
            if scope == FAILED_LIST:
                return []
            number = event.whole("list")
            if number not in tables:
                raise Malformed(f"line {event.line}: MEMBERS names list {number}, which no TABLE has set")
            return self.dispatcher.update_workers(now, tables[number], full=scope != 0)
        return []

    def request(self, event: Fields, now: int) -> list[Step]:
        name = event.text("id")
        act = self.dispatcher.admit(
            now, name, event.text("type"), event.text("fn"), event.ns("timeLeft"),
            tenant=event.text("realm", ""), cost_hint=event.ns("predicted", 0), lanes=event.whole("atOnce", 1),
            load_time=event.ns("loadTimeMs", 0), is_client_retry=event.flag("againByClient", False))
        self.acts[name] = act
        return self.closed(act, act.start(now))

    def verdict(self, event: Fields, now: int) -> list[Step]:
        act = self.acts.get(event.text("id"))
        if act is None:
            return []
        return self.closed(act, act.on_send_ended(
            now, event.whole("go"), outcome(event), event.ns("waitTime", 0),
            copy=COPIES.get(event.whole("info", 0) % 8, Copy.UNKNOWN), final=event.flag("final", False),
            report=report(event.text("usage", ""), ",")))

    def closed(self, act, steps: list[Step]) -> list[Step]:
        """The steps, with the handle let go once nothing more can come for it."""
        if act.is_finished:
            self.acts.pop(act.id, None)
        return steps

    def encode(self, step: Step) -> str:
        i, act = self.number, step.activation
        if step.action in (Action.REJECT, Action.ABORT):
            self.closed(act, [])
        if step.action is Action.SEND:
            return line("DISPATCH", i=i, id=act.id, worker=step.worker)    # here it leaves at once
        if step.action is Action.CANCEL:
            return line("ABANDON", i=i, id=act.id, go=step.amount)
        if step.action is Action.REJECT:
            return line("OVERLOAD_REPLY", i=i, id=act.id,
                        stayAway=to_ms(step.amount) if step.amount else None)
        if step.action is Action.ABORT:
            return line("DROP_REQUEST", i=i, id=act.id)
        if step.action is Action.PROBE:
            return line("PING", i=i, worker=step.worker)
        return line("MOUNT", i=i, worker=step.worker, fn=step.function, instances=step.amount)

    def settle(self, now: int) -> list[str]:
        """After a batch: keep the one reminder that is wanted."""
        due = max(self.dispatcher.due(), now)
        if self.reminder is not None and self.reminder <= due:
            return []
        self.handle += 1
        self.reminder = due
        return [line("REMIND", i=self.number, handle=self.handle,
                     **{"in": to_ms(min(self.reminder - now, LONGEST_REMINDER))})]


class Host:
    """All instances of this process. They share the numbered lists of workers and nothing else."""

    def __init__(self) -> None:
        self.tables: dict[int, list[WorkerListing]] = {}
        self.instances: dict[int, Instance] = {}

    def reply(self, frame: Frame) -> list[str]:
        out: list[str] = []
        touched: dict[int, Instance] = {}
        rows: list[WorkerListing] = []
        wanted = 0
        for event in frame.lines:
            if wanted or event.word == "ROW":
                if event.word != "ROW" or not wanted:
                    raise Malformed(f"line {event.line}: {event.word} where {wanted} more ROW were announced")
                rows.append(listing(event))
                wanted -= 1
                continue
            if event.word == "TABLE":
                rows = []
                wanted = event.whole("lines")
                self.tables[event.whole("list")] = rows
                continue
            number = event.whole("i")
            try:
                if event.word == "START":
                    touched[number] = self.instances[number] = Instance(number, event, frame.now)
                elif event.word == "KILL":
                    self.instances.pop(number, None)
                    touched.pop(number, None)
                elif number in self.instances:
                    instance = touched[number] = self.instances[number]
                    out.extend(map(instance.encode, instance.event(event, frame.now, self.tables)))
            except Malformed:
                raise
            except Exception as problem:
                traceback.print_exc(file=sys.stderr)
                words = f"{type(problem).__name__}: {problem}".translate(LOG_WORDS)
                out.append(line("BAIL_OUT", i=number, words=words))
                self.instances.pop(number, None)
                touched.pop(number, None)
        if wanted:
            raise Malformed(f"frame {frame.number}: a TABLE lacks {wanted} ROW")
        for instance in touched.values():
            out.extend(instance.settle(frame.now))
        out.append(line("EOR", frame=frame.number))
        return out
