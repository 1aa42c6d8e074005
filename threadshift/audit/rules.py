"""The five rules, checked from records alone. Knows the promises and nothing of how they are kept.

Every excuse that is granted, and no other:
- SLACK for the way between two processes of one busy machine.
- Sends and orders are seen where a worker read them, later than they left. What a worker read while it stood still
  or was cut off, or within CATCHING_UP after, may have left at any time since that began.
- A client's call that a killed front end held needs no answer. Which one held it is told by who sent it on; only
  where nobody did, and a router chose, may it have been any.
- An answer may be late by the time for which its front end, or its client, stood still.
- COLD_SLACK calls may pass a cold worker's budget, as the rule leaves to chance.
- A connection refused before anything was sent on needs no answer: nobody took the call.
"""
from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from threadshift.audit.records import Seen, by, by_mark
from threadshift.interface import MS, SECOND, Deployment, NamespaceType

SLACK = 150 * MS           # ns between two processes of a busy machine
CATCHING_UP = SECOND       # ns after a standstill in which a worker still reads what came during it
NEVER = 1 << 62            # ns; no time
KEPT = 4                   # load windows looked back on at the most, where orders were held up
COLD_SLACK = 3             # calls that chance may put into one stretch over the budget


@dataclass(frozen=True)
class Breach:
    rule: int
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.text}"


@dataclass
class Span:
    """A time in which somebody could not act."""

    start: int
    end: int

    def covers(self, t: int) -> bool:
        return self.start <= t <= self.end


def late_readers(seen: list[Seen]) -> dict[str, list[Span]]:
    """For each worker, when it may have read frames that had come long before."""
    spans: dict[str, list[Span]] = defaultdict(list)
    for each in seen:
        if each.event == "stood-still":
            spans[each.source].append(Span(each["since"], each.t + CATCHING_UP))
        elif each.event == "order" and each.source not in ("conductor", "store", "roster") and (
                each["words"][0] in ("stall", "cut")):
            length = float(each["words"][1].rstrip("s")) * SECOND
            spans[each.source].append(Span(each.t, each.t + int(length) + CATCHING_UP))
    return spans


def standstills(seen: list[Seen]) -> dict[str, list[Span]]:
    """When a process was stopped by the conductor, or clients stood still by themselves."""
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


def deaths(seen: list[Seen]) -> dict[str, list[Span]]:
    """When a process was killed, until it was started again; one that stood still then was gone from there on."""
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
            who = each.facts.get("worker") or f"front-{each['front']}"
            if spans[who]:
                spans[who][-1].end = each.t
    return spans


def excused(try_: Seen, senders: set[str], died: dict[str, list[Span]]) -> bool:
    """What a front end held when it was killed is no longer its duty."""
    end = try_.t + (try_["left_ms"] + 1000) * MS + SLACK
    # Where a router chose the front end, a try without an answer does not tell which it was, but who sent it on does.
    holders = senders or {f"front-{try_['front']}"}
    spans = [span for who, found in died.items() for span in found
             if who in holders or not senders and try_["front"] < 0 and who.startswith("front")]
    return any(span.start <= end and span.end >= try_.t for span in spans)


def answered_once_in_time(seen: list[Seen]) -> Iterator[Breach]:
    """Rule 1."""
    died, still = deaths(seen), standstills(seen)
    for mark, events in by_mark(by(seen, "try", "answer", "quit", "no-answer", "broke", "invoke")).items():
        tries = by(events, "try")
        if not tries:
            continue
        one = tries[0]
        answers = by(events, "answer")
        if len(answers) > 1:
            yield Breach(1, f"{mark} has {len(answers)} final answers")
        if not answers and not by(events, "quit") and not excused(
                one, {each["front"] for each in by(events, "invoke")}, died) and not (
                by(events, "broke") and not by(events, "invoke") and "refused" in by(events, "broke")[0]["problem"]):
            yield Breach(1, f"{mark} has no final answer: {events[-1].event}")
        for answer in answers:
            if answer["final"] == "not-taken":
                continue
            allowed = one.t + one["left_ms"] * MS + SLACK
            # A refusal at the door does not tell who gave it; behind a router it may have been any front end.
            who = answer.facts.get("served_by") or (f"front-{one['front']}" if one["front"] >= 0 else "front")
            stops = [span for name, spans in still.items() for span in spans
                     if name == "clients" or name == who or who == "front" and name.startswith("front")]
            if answer.t > allowed and not any(
                    span.start <= answer.t and span.end >= allowed - SLACK for span in stops):
                yield Breach(1, f"{mark} was answered {(answer.t - allowed + SLACK) // MS} ms after its time left")
    yield from nothing_after(seen)


def nothing_after(seen: list[Seen]) -> Iterator[Breach]:
    """Rule 1: nothing is sent for an activation after its final answer."""
    late = late_readers(seen)
    for mark, events in by_mark(by(seen, "answer", "invoke")).items():
        answers = by(events, "answer")
        for invoke in by(events, "invoke"):
            if answers and invoke.t > answers[0].t + SLACK and not any(
                    span.covers(invoke.t) for span in late[invoke.source]):
                yield Breach(1, f"{mark} was sent to {invoke.source} {(invoke.t - answers[0].t) // MS} ms after its "
                                "final answer")


def no_double_effect(seen: list[Seen], it: Deployment) -> Iterator[Breach]:
    """Rule 2: nothing runs twice that must not, by effect; and two sends at once only where that is allowed."""
    types = {each.name: each for each in it.types}
    # By the workers' own word; all are one cell where they tell none, as all are one group where that is 'all'.
    groups = {name: {each.source: each.facts.get(name) for each in by(seen, "up")}
              for name in ("all", "zone", "cell")}
    late = late_readers(seen)
    lives: dict[str, list[int]] = defaultdict(list)
    for each in seen:
        if each.event == "up":
            lives[each.source].append(each.t)
        elif each.event == "killing":
            lives[each["who"]].append(each.t)
    for mark, events in by_mark(by(seen, "try", "invoke", "run", "turned", "answer", "done", "cancel",
                                   "cut-off")).items():
        tries = by(events, "try")
        if not tries:
            continue
        effect = tries[0]["effect"]
        # What was sent and is not proven never to have run, in turn: a refusal takes the latest send there back.
        maybe: list[Seen] = []
        for each in events:
            if each.event == "turned":
                sent = next((one for one in reversed(maybe) if one.source == each.source), None)
                if sent is not None:
                    maybe.remove(sent)
            elif each.event == "invoke":
                if maybe and effect == "once-only":
                    yield Breach(2, f"once-only {mark} was sent to {each.source} though {maybe[0].source} may run it")
                elif maybe and effect == "deduplicated":
                    yield from within_memory(mark, maybe, each, types[tries[0]["type"]], groups, late)
                if not it.may_duplicate and effect != "once-only":
                    yield from one_at_a_time(mark, maybe, each, events, lives, late)
                maybe.append(each)
            elif each.event == "answer" and each["final"] == "rejected":
                sent_before = [one for one in maybe if one.t <= each.t]
                refused = [one for one in by(events, "turned") if each.t < one.t <= each.t + SLACK]
                harmless = effect == "repeatable" or (
                    effect == "deduplicated" and types[tries[0]["type"]].dedup_scope == "all")
                if len(sent_before) > len(refused) and not harmless:
                    yield Breach(2, f"{effect} {mark} was rejected though it may have run")
        runs = by(events, "run")
        if effect == "once-only" and len(runs) > 1:
            yield Breach(2, f"once-only {mark} ran {len(runs)} times, on {', '.join(each.source for each in runs)}")


def within_memory(mark: str, maybe: list[Seen], later: Seen, type_: NamespaceType,
                  groups: dict[str, dict[str, Any]], late: dict[str, list[Span]]) -> Iterator[Breach]:
    """A deduplicated call that may have run goes only to workers that know of it, and while they remember."""
    first = maybe[0]
    if groups[type_.dedup_scope].get(later.source) != groups[type_.dedup_scope].get(first.source):
        yield Breach(2, f"deduplicated {mark} was sent to {later.source}, outside the {type_.dedup_scope} of "
                        f"{first.source}, which may run it")
    if later.t - first.t > type_.dedup_window + SLACK and not any(
            span.covers(later.t) for span in late[later.source]):
        yield Breach(2, f"deduplicated {mark} was sent again {(later.t - first.t) // MS} ms after it may have run, "
                        f"and is remembered for {type_.dedup_window // MS} ms")


def one_at_a_time(mark: str, maybe: list[Seen], later: Seen, events: list[Seen], lives: dict[str, list[int]],
                  late: dict[str, list[Span]]) -> Iterator[Breach]:
    """Each earlier send was answered, called off or broken off; what tells so may be read a little later."""
    # A worker that was cut off reads what was sent, and called off, long before: its order there tells nothing. Found
    # by days with a zone cut at 50 front ends and more.
    if any(span.covers(later.t) for span in late[later.source]):
        return
    for sent in maybe:
        over = any(each.source == sent.source and sent.t <= each.t <= later.t + SLACK
                   for each in by(events, "done", "turned", "cancel", "cut-off"))
        died = any(sent.t <= t <= later.t + SLACK for t in lives[sent.source])
        if not over and not died and not any(span.end >= sent.t and span.start <= later.t + SLACK
                                             for span in late[sent.source]):
            yield Breach(2, f"{mark} was sent to {later.source} while its send to {sent.source} was out")


def drains_are_kept(seen: list[Seen], grace: int) -> Iterator[Breach]:
    """Rule 3: nothing new to a worker past the grace after word that it drains or is gone."""
    late = late_readers(seen)
    told: dict[tuple[str, str], int] = {}       # (front, worker): since when it knows
    own: dict[str, int] = {}                    # worker: since when it says so itself, to all
    up: set[str] = set()
    for each in seen:
        if each.event == "told":
            listed = each["states"]
            if each["full"]:        # whom a full list lacks is gone
                listed = {**{worker: "gone" for worker in up if worker not in listed}, **listed}
            for worker, state in listed.items():
                if state == "ready":
                    told.pop((each["front"], worker), None)
                else:
                    told.setdefault((each["front"], worker), each.t)
        elif each.event == "up":
            # Another process: word on the one before says nothing of it.
            up.add(each.source)
            told = {key: t for key, t in told.items() if key[1] != each.source}
            own.pop(each.source, None)
        elif each.event == "order" and each.facts.get("words") == ["drain"]:
            own.setdefault(each.source, each.t)
        elif each.event in ("invoke", "hold"):
            since = min(told.get((each["front"], each.source), NEVER), own.get(each.source, NEVER))
            if each.t > since + grace + SLACK and not any(
                    span.covers(each.t) for span in late[each.source]):
                yield Breach(3, f"{each.event} reached {each.source} {(each.t - since) // MS} ms after "
                                f"{each['front']} was told that it drains or is gone")


def borne(it: Deployment, cores: int, age: int) -> float:
    """ms of work that a worker of this age, not yet warm, bears within the fall time."""
    able = it.cold_share + (1 - it.cold_share) * age / it.cold_time
    return it.fall_multiple * able * cores * it.fall_time / MS


def cold_workers_stand(seen: list[Seen], it: Deployment, cores: int) -> Iterator[Breach]:
    """Rule 4: no cold worker is sent more than it bears."""
    if not it.cold_time:
        return
    up: dict[str, int] = {}
    pushed: dict[str, deque] = defaultdict(deque)
    for each in seen:
        if each.event == "up":
            up[each.source], pushed[each.source] = each.t, deque()
        elif each.event == "fell-over":
            yield Breach(4, f"{each.source} fell over")
        elif each.event == "invoke" and each.source in up and each.t - up[each.source] < it.cold_time:
            recent = pushed[each.source]
            recent.append((each.t, each["work_ms"]))
            while recent[0][0] <= each.t - it.fall_time:
                recent.popleft()
            bears = borne(it, cores, each.t - up[each.source])
            work = sum(work for _, work in recent)
            if work > bears and len(recent) > COLD_SLACK:
                yield Breach(4, f"{each.source}, {(each.t - up[each.source]) // MS} ms old, was sent {work:.0f} ms "
                                f"of work within {it.fall_time // MS} ms and bears {bears:.0f}")


def loads_are_rationed(seen: list[Seen], it: Deployment) -> Iterator[Breach]:
    """Rule 5: load orders of a front end within the window, against what it took in that window."""
    if not it.load_window:
        return
    taken: dict[str, deque[int]] = defaultdict(deque)
    ordered: dict[str, deque[tuple[int, int]]] = defaultdict(deque)     # (when read, held up for so long at most)
    served = {each["mark"]: each.facts.get("served_by", "") for each in by(seen, "answer")}
    still, late = standstills(seen), late_readers(seen)
    for each in seen:
        if each.event == "try":
            front = f"front-{each['front']}" if each["front"] >= 0 else served.get(each["mark"], "")
            # What came while the front end stood still is taken when it goes on.
            taken[front].append(max([each.t, *(span.end - SLACK for span in still[front] if span.covers(each.t))]))
        elif each.event == "hold":
            # Orders that a cut or a standstill held up arrive together and may have left at any time since it began:
            # they count in the time that is longer by so much, to which as many windows' free orders belong.
            front = each["front"]
            held_up = max([each.t - span.start for span in late[each.source] if span.covers(each.t)], default=0)
            ordered[front].append((each.t, held_up))
            reach = it.load_window + max(
                (wait for t, wait in ordered[front] if t > each.t - it.load_window), default=0)
            while ordered[front][0][0] <= each.t - KEPT * it.load_window:
                ordered[front].popleft()
            while taken[front] and taken[front][0] <= each.t - KEPT * it.load_window - SLACK:
                taken[front].popleft()
            count = sum(t > each.t - reach + SLACK for t, _ in ordered[front])
            asked = sum(t > each.t - reach - SLACK for t in taken[front])
            most = it.load_free * (1 + -(-(reach - it.load_window) // it.load_window)) + it.load_ratio * asked
            if count > most:
                yield Breach(5, f"{front} gave {count} load orders within {reach // MS} ms, {most:.1f} are allowed")


def breaches(seen: list[Seen], it: Deployment, cores: int) -> list[Breach]:
    """All that is broken, in the order of the rules."""
    return [*answered_once_in_time(seen), *no_double_effect(seen, it), *drains_are_kept(seen, it.drain_grace),
            *cold_workers_stand(seen, it, cores), *loads_are_rationed(seen, it)]
