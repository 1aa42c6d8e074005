"""The five rules, checked from records alone, independent of how the front ends keep them.

The complete list of allowances:
- SLACK for the delay between two processes of a busy machine.
- Sends and load orders are recorded when a worker reads them, which is later than they were sent. What a worker read
  while it stood still or was cut off, or within CATCH_UP_TIME afterwards, may have been sent at any time since then.
- A call that a killed front end held needs no answer. Its front end is known from the sends; only if nothing was sent
  and a router chose the front end, any front end may have held the call.
- An answer may be late by the time for which its front end, or its client, stood still.
- COLD_EXTRA_CALLS calls may exceed the budget of a cold worker, as the rule permits by chance.
- A connection refused before anything was sent needs no answer: no front end accepted the call.
"""
from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from threadshift.audit.records import RecordedEvent, group_by_mark, select_events
from threadshift.interface import MS, SECOND, Deployment, NamespaceType

SLACK = 150 * MS           # between two processes of a busy machine
CATCH_UP_TIME = SECOND     # after a standstill, in which a worker still reads what arrived during it
NEVER = 1 << 62            # ns; later than any recorded time
MAX_WINDOWS = 4            # load windows that are looked back on if load orders were held up
COLD_EXTRA_CALLS = 3       # in one fall time, over the budget of a cold worker


@dataclass(frozen=True)
class Breach:
    """A violation of one rule."""

    rule: int
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.text}"


@dataclass
class Span:
    """A time in which a process could not act."""

    start: int
    end: int

    def covers(self, t: int) -> bool:
        return self.start <= t <= self.end


def delayed_readings(seen: list[RecordedEvent]) -> dict[str, list[Span]]:
    """By worker: the times in which it may have read frames that were sent long before."""
    spans: dict[str, list[Span]] = defaultdict(list)
    for each in seen:
        if each.event == "stood-still":
            spans[each.source].append(Span(each["since"], each.t + CATCH_UP_TIME))
        elif each.event == "order" and each.source not in ("conductor", "store", "roster") and (
                each["words"][0] in ("stall", "cut")):
            length = float(each["words"][1].rstrip("s")) * SECOND
            spans[each.source].append(Span(each.t, each.t + int(length) + CATCH_UP_TIME))
    return spans


def standstills(seen: list[RecordedEvent]) -> dict[str, list[Span]]:
    """By process: the times in which the conductor had stopped it, or clients stood still by themselves."""
    spans: dict[str, list[Span]] = defaultdict(list)
    stopped: dict[str, int] = {}
    for each in seen:
        if each.event == "stopped":
            stopped[each["who"]] = each.t
        elif each.event == "goes-on" and each["who"] in stopped:
            spans[each["who"]].append(Span(stopped.pop(each["who"]), each.t + SLACK))
        elif each.event == "stood-still":
            spans[each.source].append(Span(each["since"], each.t + SLACK))
    return spans


def deaths(seen: list[RecordedEvent]) -> dict[str, list[Span]]:
    """By process: the times from its kill to its next start. If it was stopped when killed, the time begins with the
    stop."""
    spans: dict[str, list[Span]] = defaultdict(list)
    stopped: dict[str, int] = {}
    for each in seen:
        if each.event == "stopped":
            stopped[each["who"]] = each.t
        elif each.event == "goes-on":
            stopped.pop(each["who"], None)
        elif each.event == "killing":
            spans[each["who"]].append(Span(stopped.pop(each["who"], each.t), NEVER))
        elif each.event in ("front-up", "worker-up"):
            who = each.fields.get("worker") or f"front-{each['front']}"
            if spans[who]:
                spans[who][-1].end = each.t
    return spans


def is_excused(try_: RecordedEvent, senders: set[str], died: dict[str, list[Span]]) -> bool:
    """Whether a try needs no answer because a front end that may have held it was killed."""
    end = try_.t + (try_["left_ms"] + 1000) * MS + SLACK
    # If a router chose the front end, a try without an answer does not say which one; the sender of its sends does.
    holders = senders or {f"front-{try_['front']}"}
    spans = [span for who, found in died.items() for span in found
             if who in holders or not senders and try_["front"] < 0 and who.startswith("front")]
    return any(span.start <= end and span.end >= try_.t for span in spans)


def answered_once_in_time(seen: list[RecordedEvent]) -> Iterator[Breach]:
    """Rule 1: each activation gets one final answer, within its time."""
    died, still = deaths(seen), standstills(seen)
    for mark, events in group_by_mark(
            select_events(seen, "try", "answer", "quit", "no-answer", "broke", "invoke")).items():
        tries = select_events(events, "try")
        if not tries:
            continue
        one = tries[0]
        answers = select_events(events, "answer")
        if len(answers) > 1:
            yield Breach(1, f"{mark} has {len(answers)} final answers")
        if not answers and not select_events(events, "quit") and not is_excused(
                one, {each["front"] for each in select_events(events, "invoke")}, died) and not (
                select_events(events, "broke") and not select_events(events, "invoke")
                and "refused" in select_events(events, "broke")[0]["problem"]):
            yield Breach(1, f"{mark} has no final answer: {events[-1].event}")
        for answer in answers:
            if answer["final"] == "not-taken":
                continue
            allowed = one.t + one["left_ms"] * MS + SLACK
            # A refusal at admission does not name its front end; behind a router it may have been any.
            who = answer.fields.get("served_by") or (f"front-{one['front']}" if one["front"] >= 0 else "front")
            stops = [span for name, spans in still.items() for span in spans
                     if name == "clients" or name == who or who == "front" and name.startswith("front")]
            if answer.t > allowed and not any(
                    span.start <= answer.t and span.end >= allowed - SLACK for span in stops):
                yield Breach(1, f"{mark} was answered {(answer.t - allowed + SLACK) // MS} ms after its deadline")
    yield from nothing_after(seen)


def nothing_after(seen: list[RecordedEvent]) -> Iterator[Breach]:
    """Rule 1: nothing is sent for an activation after its final answer."""
    delayed = delayed_readings(seen)
    for mark, events in group_by_mark(select_events(seen, "answer", "invoke")).items():
        answers = select_events(events, "answer")
        for invoke in select_events(events, "invoke"):
            if answers and invoke.t > answers[0].t + SLACK and not any(
                    span.covers(invoke.t) for span in delayed[invoke.source]):
                yield Breach(1, f"{mark} was sent to {invoke.source} {(invoke.t - answers[0].t) // MS} ms after its "
                                "final answer")


def no_double_effect(seen: list[RecordedEvent], it: Deployment) -> Iterator[Breach]:
    """Rule 2: no activation runs twice unless its effect allows that, and two sends are open at a time only if the
    deployment allows that."""
    types = {each.name: each for each in it.types}
    # Groups as the workers report them. Workers that report no cell form one cell, and "all" is always one group.
    groups = {name: {each.source: each.fields.get(name) for each in select_events(seen, "up")}
              for name in ("all", "zone", "cell")}
    delayed = delayed_readings(seen)
    lives: dict[str, list[int]] = defaultdict(list)
    for each in seen:
        if each.event == "up":
            lives[each.source].append(each.t)
        elif each.event == "killing":
            lives[each["who"]].append(each.t)
    for mark, events in group_by_mark(select_events(
            seen, "try", "invoke", "run", "turned", "answer", "done", "cancel", "cut-off")).items():
        tries = select_events(events, "try")
        if not tries:
            continue
        effect = tries[0]["effect"]
        # The sends that are not proven never to run, in order. A refusal by a worker removes the latest send to it.
        may_run: list[RecordedEvent] = []
        for each in events:
            if each.event == "turned":
                sent = next((one for one in reversed(may_run) if one.source == each.source), None)
                if sent is not None:
                    may_run.remove(sent)
            elif each.event == "invoke":
                if may_run and effect == "once-only":
                    yield Breach(2, f"once-only {mark} was sent to {each.source} though "
                                    f"{may_run[0].source} may run it")
                elif may_run and effect == "deduplicated":
                    yield from sent_within_dedup_window(mark, may_run, each, types[tries[0]["type"]], groups, delayed)
                if not it.may_duplicate and effect != "once-only":
                    yield from sent_one_at_a_time(mark, may_run, each, events, lives, delayed)
                may_run.append(each)
            elif each.event == "answer" and each["final"] == "rejected":
                sent_before = [one for one in may_run if one.t <= each.t]
                refused = [one for one in select_events(events, "turned") if each.t < one.t <= each.t + SLACK]
                harmless = effect == "repeatable" or (
                    effect == "deduplicated" and types[tries[0]["type"]].dedup_scope == "all")
                if len(sent_before) > len(refused) and not harmless:
                    yield Breach(2, f"{effect} {mark} was rejected though it may have run")
        runs = select_events(events, "run")
        if effect == "once-only" and len(runs) > 1:
            yield Breach(2, f"once-only {mark} ran {len(runs)} times, on {', '.join(each.source for each in runs)}")


def sent_within_dedup_window(mark: str, may_run: list[RecordedEvent], later: RecordedEvent, type_: NamespaceType,
                             groups: dict[str, dict[str, Any]], delayed: dict[str, list[Span]]) -> Iterator[Breach]:
    """A deduplicated call that may have run is sent only to workers that deduplicate it, and only while they do."""
    first = may_run[0]
    if groups[type_.dedup_scope].get(later.source) != groups[type_.dedup_scope].get(first.source):
        yield Breach(2, f"deduplicated {mark} was sent to {later.source}, outside the {type_.dedup_scope} of "
                        f"{first.source}, which may run it")
    if later.t - first.t > type_.dedup_window + SLACK and not any(
            span.covers(later.t) for span in delayed[later.source]):
        yield Breach(2, f"deduplicated {mark} was sent again {(later.t - first.t) // MS} ms after it may have run, "
                        f"and is deduplicated for {type_.dedup_window // MS} ms")


def sent_one_at_a_time(mark: str, may_run: list[RecordedEvent], later: RecordedEvent, events: list[RecordedEvent],
                       lives: dict[str, list[int]], delayed: dict[str, list[Span]]) -> Iterator[Breach]:
    """Each earlier send had ended: by an answer, a cancellation or the end of its connection. The record of that end
    may be a little later than the new send."""
    # A worker that was cut off reads sends and cancellations long after they were sent, so their order there says
    # nothing. This occurred in days with a zone cut and 50 or more front ends.
    if any(span.covers(later.t) for span in delayed[later.source]):
        return
    for sent in may_run:
        ended = any(each.source == sent.source and sent.t <= each.t <= later.t + SLACK
                    for each in select_events(events, "done", "turned", "cancel", "cut-off"))
        died = any(sent.t <= t <= later.t + SLACK for t in lives[sent.source])
        if not ended and not died and not any(span.end >= sent.t and span.start <= later.t + SLACK
                                              for span in delayed[sent.source]):
            yield Breach(2, f"{mark} was sent to {later.source} while its send to {sent.source} was open")


def drains_are_respected(seen: list[RecordedEvent], grace: int) -> Iterator[Breach]:
    """Rule 3: a worker is sent nothing new once the grace has passed since the front end learnt that it drains or is
    gone."""
    delayed = delayed_readings(seen)
    notified: dict[tuple[str, str], int] = {}   # (front end, worker): when the front end was notified
    announced: dict[str, int] = {}              # worker: when it announced its drain itself, to all front ends
    up: set[str] = set()
    for each in seen:
        if each.event == "told":
            listed = each["states"]
            if each["full"]:        # workers that a full list lacks are gone
                listed = {**{worker: "gone" for worker in up if worker not in listed}, **listed}
            for worker, state in listed.items():
                if state == "ready":
                    notified.pop((each["front"], worker), None)
                else:
                    notified.setdefault((each["front"], worker), each.t)
        elif each.event == "up":
            # A new process: notifications about the previous one do not apply to it.
            up.add(each.source)
            notified = {key: t for key, t in notified.items() if key[1] != each.source}
            announced.pop(each.source, None)
        elif each.event == "order" and each.fields.get("words") == ["drain"]:
            announced.setdefault(each.source, each.t)
        elif each.event in ("invoke", "hold"):
            since = min(notified.get((each["front"], each.source), NEVER), announced.get(each.source, NEVER))
            if each.t > since + grace + SLACK and not any(
                    span.covers(each.t) for span in delayed[each.source]):
                yield Breach(3, f"{each.event} reached {each.source} {(each.t - since) // MS} ms after "
                                f"{each['front']} was notified that it drains or is gone")


def cold_capacity(it: Deployment, cores: int, age: int) -> float:
    """The work in ms that a cold worker of this age can be sent within the fall time."""
    able = it.cold_share + (1 - it.cold_share) * age / it.cold_time
    return it.fall_multiple * able * cores * it.fall_time / MS


def cold_workers_are_spared(seen: list[RecordedEvent], it: Deployment, cores: int) -> Iterator[Breach]:
    """Rule 4: no cold worker is sent more than its capacity."""
    if not it.cold_time:
        return
    up: dict[str, int] = {}
    sent: dict[str, deque] = defaultdict(deque)
    for each in seen:
        if each.event == "up":
            up[each.source], sent[each.source] = each.t, deque()
        elif each.event == "fell-over":
            yield Breach(4, f"{each.source} fell over")
        elif each.event == "invoke" and each.source in up and each.t - up[each.source] < it.cold_time:
            recent = sent[each.source]
            recent.append((each.t, each["work_ms"]))
            while recent[0][0] <= each.t - it.fall_time:
                recent.popleft()
            capacity = cold_capacity(it, cores, each.t - up[each.source])
            work = sum(work for _, work in recent)
            if work > capacity and len(recent) > COLD_EXTRA_CALLS:
                yield Breach(4, f"{each.source}, {(each.t - up[each.source]) // MS} ms old, was sent {work:.0f} ms "
                                f"of work within {it.fall_time // MS} ms and can take {capacity:.0f}")


def loads_are_limited(seen: list[RecordedEvent], it: Deployment) -> Iterator[Breach]:
    """Rule 5: the load orders of a front end within the load window are limited by the calls it admitted in it."""
    if not it.load_window:
        return
    admitted: dict[str, deque[int]] = defaultdict(deque)
    ordered: dict[str, deque[tuple[int, int]]] = defaultdict(deque)     # (when read, longest possible delay)
    served = {each["mark"]: each.fields.get("served_by", "") for each in select_events(seen, "answer")}
    still, delayed = standstills(seen), delayed_readings(seen)
    for each in seen:
        if each.event == "try":
            front = f"front-{each['front']}" if each["front"] >= 0 else served.get(each["mark"], "")
            # Calls that arrive while the front end stands still are admitted when it continues.
            admitted[front].append(max([each.t, *(span.end - SLACK for span in still[front] if span.covers(each.t))]))
        elif each.event == "hold":
            # Orders held up by a cut or a standstill arrive together and may have been sent at any time since it
            # began. So the time in which orders are counted is longer by that delay, and the free orders of as many
            # further windows are allowed.
            front = each["front"]
            held_up = max([each.t - span.start for span in delayed[each.source] if span.covers(each.t)], default=0)
            ordered[front].append((each.t, held_up))
            reach = it.load_window + max(
                (wait for t, wait in ordered[front] if t > each.t - it.load_window), default=0)
            while ordered[front][0][0] <= each.t - MAX_WINDOWS * it.load_window:
                ordered[front].popleft()
            while admitted[front] and admitted[front][0] <= each.t - MAX_WINDOWS * it.load_window - SLACK:
                admitted[front].popleft()
            count = sum(t > each.t - reach + SLACK for t, _ in ordered[front])
            calls = sum(t > each.t - reach - SLACK for t in admitted[front])
            allowed = it.load_free * (1 + -(-(reach - it.load_window) // it.load_window)) + it.load_ratio * calls
            if count > allowed:
                yield Breach(5, f"{front} gave {count} load orders within {reach // MS} ms, "
                                f"{allowed:.1f} are allowed")


def breaches(seen: list[RecordedEvent], it: Deployment, cores: int) -> list[Breach]:
    """All breaches, in the order of the rules."""
    return [*answered_once_in_time(seen), *no_double_effect(seen, it), *drains_are_respected(seen, it.drain_grace),
            *cold_workers_are_spared(seen, it, cores), *loads_are_limited(seen, it)]
