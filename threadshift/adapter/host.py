"""Hosts dispatchers for the simulator: each instance is one front end and gets its own events."""
from __future__ import annotations

import sys
import traceback

from threadshift.adapter.codec import Batch, format_line, format_ms
from threadshift.choice import Dispatcher
from threadshift.conf.settings import FieldReader, InvalidInput, parse_deployment, parse_load_report
from threadshift.interface import MS, Action, Copy, Outcome, Step, WorkerListing, WorkerState

# The protocol's numbers of outcomes, worker states and copies.
OUTCOMES = dict(enumerate((
    Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.UNREACHABLE,
    Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS)))
STATES = {0: WorkerState.GONE, 1: WorkerState.READY, 2: WorkerState.DRAINING}
COPIES = {0: Copy.UNKNOWN, 1: Copy.FOUND, 2: Copy.LOAD_STARTED, 3: Copy.WAITED, 4: Copy.LOAD_FAILED}
FAILED_SCOPE = 3                            # of a MEMBERS event that reports a failed list
MAX_REMINDER_DELAY = 70 * 60 * 1000 * MS    # 70 minutes
LINE_BREAKS_TO_SPACES = str.maketrans("\r\n", "  ")


def parse_listing(row: FieldReader) -> WorkerListing:
    """A worker's listing from a ROW line."""
    return WorkerListing(row.text("worker"), row.read("mode", lambda text: STATES[int(text)]),
                         row.text("rackZone", ""), row.whole("cluster", 0), row.ns("onlineSince", 0),
                         row.number("powerHint", 1.0))


def parse_outcome(event: FieldReader) -> Outcome:
    """The outcome that an event carries as a number."""
    return event.read("outcome", lambda text: OUTCOMES[int(text)])


class DispatcherInstance:
    """One front end: its dispatcher, its activations and the reminder that it has set with the simulator."""

    def __init__(self, number: int, start: FieldReader, now: int):
        self.number = number
        self.dispatcher = Dispatcher(start.whole("entropy"), parse_deployment(start), now)
        if now:                     # not the first start of the day
            self.dispatcher.load_ration.assume_predecessor(now)
        self.activations: dict[str, object] = {}    # without an answer, or with open sends
        self.reminder_handle = 0
        self.reminder: int | None = None            # when the reminder is due

    def handle_event(self, event: FieldReader, now: int, tables: dict[int, list[WorkerListing]]) -> list[Step]:
        """Calls the dispatcher for one event. Unknown events are ignored."""
        keyword = event.keyword
        if keyword == "REQUEST":
            return self.handle_request(event, now)
        if keyword == "VERDICT":
            return self.handle_send_end(event, now)
        if keyword == "ELAPSED":
            if event.whole("handle") != self.reminder_handle:
                return []
            self.reminder = None
            return self.dispatcher.tick(now)
        if keyword == "VANISHED":
            activation = self.activations.get(event.text("id"))
            return self.drop_if_finished(activation, activation.on_client_gone(now)) if activation else []
        if keyword == "STANDS":
            return self.dispatcher.on_load_ended(
                now, event.text("worker"), event.text("fn"), parse_outcome(event),
                event.whole("instances", 0))
        if keyword == "STATUS_BACK":
            return self.dispatcher.on_report(
                now, event.text("worker"), parse_outcome(event), parse_load_report(event.text("usage", ""), ","))
        if keyword == "HEADERS":
            activation = self.activations.get(event.text("id"))
            return activation.on_answer_started(now, event.whole("go")) if activation else []
        if keyword == "MEMBERS":
            scope = event.whole("scope")
            if scope == FAILED_SCOPE:
                return []
            number = event.whole("list")
            if number not in tables:
                raise InvalidInput(f"line {event.line}: MEMBERS names list {number}, which no TABLE has set")
            return self.dispatcher.update_workers(now, tables[number], full=scope != 0)
        return []

    def handle_request(self, event: FieldReader, now: int) -> list[Step]:
        """Admits a request."""
        name = event.text("id")
        activation = self.dispatcher.admit(
            now, name, event.text("type"), event.text("fn"), event.ns("timeLeft"),
            tenant=event.text("realm", ""), cost_hint=event.ns("predicted", 0), lanes=event.whole("atOnce", 1),
            load_time=event.ns("loadTimeMs", 0), is_client_retry=event.flag("againByClient", False))
        self.activations[name] = activation
        return self.drop_if_finished(activation, activation.start(now))

    def handle_send_end(self, event: FieldReader, now: int) -> list[Step]:
        """Reports the end of a send."""
        activation = self.activations.get(event.text("id"))
        if activation is None:
            return []
        return self.drop_if_finished(activation, activation.on_send_ended(
            now, event.whole("go"), parse_outcome(event), event.ns("waitTime", 0),
            copy=COPIES.get(event.whole("info", 0) % 8, Copy.UNKNOWN), final=event.flag("final", False),
            report=parse_load_report(event.text("usage", ""), ",")))

    def drop_if_finished(self, activation, steps: list[Step]) -> list[Step]:
        """Forgets the activation once nothing more can come for it. Returns `steps` unchanged."""
        if activation.is_finished:
            self.activations.pop(activation.id, None)
        return steps

    def encode_step(self, step: Step) -> str:
        """A step of the dispatcher as a line of the reply."""
        i, activation = self.number, step.activation
        if step.action in (Action.REJECT, Action.ABORT):
            self.drop_if_finished(activation, [])
        if step.action is Action.SEND:
            # The simulator sends it at once, so the time limit of the step has no use here.
            return format_line("DISPATCH", i=i, id=activation.id, worker=step.worker)
        if step.action is Action.CANCEL:
            return format_line("ABANDON", i=i, id=activation.id, go=step.amount)
        if step.action is Action.REJECT:
            return format_line("OVERLOAD_REPLY", i=i, id=activation.id,
                               stayAway=format_ms(step.amount) if step.amount else None)
        if step.action is Action.ABORT:
            return format_line("DROP_REQUEST", i=i, id=activation.id)
        if step.action is Action.PROBE:
            return format_line("PING", i=i, worker=step.worker)
        return format_line("MOUNT", i=i, worker=step.worker, fn=step.function, instances=step.amount)

    def update_reminder(self, now: int) -> list[str]:
        """After a batch: the line that sets an earlier reminder, if the dispatcher needs one."""
        due = max(self.dispatcher.due(), now)
        if self.reminder is not None and self.reminder <= due:
            return []
        self.reminder_handle += 1
        self.reminder = due
        return [format_line("REMIND", i=self.number, handle=self.reminder_handle,
                            **{"in": format_ms(min(self.reminder - now, MAX_REMINDER_DELAY))})]


class DispatcherHost:
    """All instances of this process. They share only the numbered lists of workers."""

    def __init__(self) -> None:
        self.tables: dict[int, list[WorkerListing]] = {}
        self.instances: dict[int, DispatcherInstance] = {}

    def handle_batch(self, batch: Batch) -> list[str]:
        """The reply to a batch, as lines. Raises InvalidInput. An instance that fails is dropped and reported."""
        reply: list[str] = []
        touched: dict[int, DispatcherInstance] = {}
        rows: list[WorkerListing] = []
        missing_rows = 0
        for event in batch.lines:
            if missing_rows or event.keyword == "ROW":
                if event.keyword != "ROW" or not missing_rows:
                    raise InvalidInput(
                        f"line {event.line}: {event.keyword} where {missing_rows} more ROW were announced")
                rows.append(parse_listing(event))
                missing_rows -= 1
                continue
            if event.keyword == "TABLE":
                rows = []
                missing_rows = event.whole("lines")
                self.tables[event.whole("list")] = rows
                continue
            number = event.whole("i")
            try:
                if event.keyword == "START":
                    touched[number] = self.instances[number] = DispatcherInstance(number, event, batch.now)
                elif event.keyword == "KILL":
                    self.instances.pop(number, None)
                    touched.pop(number, None)
                elif number in self.instances:
                    instance = touched[number] = self.instances[number]
                    reply.extend(map(instance.encode_step, instance.handle_event(event, batch.now, self.tables)))
            except InvalidInput:
                raise
            except Exception as problem:
                traceback.print_exc(file=sys.stderr)
                description = f"{type(problem).__name__}: {problem}".translate(LINE_BREAKS_TO_SPACES)
                reply.append(format_line("BAIL_OUT", i=number, words=description))
                self.instances.pop(number, None)
                touched.pop(number, None)
        if missing_rows:
            raise InvalidInput(f"frame {batch.number}: a TABLE lacks {missing_rows} ROW")
        for instance in touched.values():
            reply.extend(instance.update_reminder(batch.now))
        reply.append(format_line("EOR", frame=batch.number))
        return reply
