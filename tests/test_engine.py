import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import deployment, listing
from threadshift.choice import NEVER_RAN, Dispatcher
from threadshift.engine.engine import MIN_PRUNED_DEADLINES, Answer, Call, FinalKind, RequestEngine
from threadshift.interface import (
    MS, SECOND, Copy, Effect, Outcome, WorkerState)

TIME_LEFT = 2500 * MS


class Fleet:
    """The ports of an engine, which record with the time what is sent, cancelled, ordered and answered."""

    def __init__(self, immediate_outcomes=()):
        self.engine, self.log, self.answers, self.finished = None, [], {}, set()
        self.immediate_outcomes = list(immediate_outcomes)      # of the next sends
        self.queries = []
        self.cancels_unsent = False         # whether a cancelled send was never written
        self.waiting = set()                # (worker, request id) of sends that are not written yet
        self.gone_unread = set()            # requests with a client that has left, which was not read yet

    def send(self, worker, pending, number):
        self.log.append(("send", self.engine.now, pending.id, worker, pending.is_settled))
        return self.immediate_outcomes.pop(0) if self.immediate_outcomes else None

    def cancel(self, worker, pending, number, notify_worker):
        self.log.append(("cancel", self.engine.now, pending.id, worker, notify_worker))
        return Outcome.NEVER_SENT if self.cancels_unsent else Outcome.CANCELLED

    def withdraw(self, worker, pending, number):
        if (worker, pending.id) in self.waiting:
            self.log.append(("withdrawn", self.engine.now, pending.id, worker, pending.is_settled))
            return True
        return False

    def order_load(self, worker, query):
        self.queries.append(query)
        self.log.append(("hold", self.engine.now, query.function, worker, False))

    def probe(self, worker, query):
        self.queries.append(query)

    def has_unread_disconnect(self, pending):
        return pending.id in self.gone_unread

    def on_answered(self, pending):
        self.answers.setdefault(pending.id, []).append(pending.answer)

    def on_finished(self, pending):
        self.finished.add(pending.id)

    def sends(self, request_id="a"):
        return [entry[3] for entry in self.log if entry[0] == "send" and entry[2] == request_id]


def make_engine(workers=4, immediate_outcomes=(), **changes):
    fleet = Fleet(immediate_outcomes)
    it = fleet.engine = RequestEngine(Dispatcher(1, deployment(**changes), 0), fleet, fleet)
    it.update_workers(0, [listing(f"w{n}") for n in range(workers)], full=True)
    return it, fleet


def make_call(effect=Effect.REPEATABLE, left=TIME_LEFT, **facts):
    return Call(effect.value, "f", left, **facts)


class Answers(unittest.TestCase):
    def test_only_the_first_completed_answer_is_delivered(self):
        it, fleet = make_engine()
        pending = it.admit(0, "a", make_call())
        pending.on_send_ended(10 * MS, 0, Outcome.COMPLETED, body=b"x")
        pending.on_send_ended(11 * MS, 0, Outcome.COMPLETED, body=b"y")
        self.assertEqual(fleet.answers, {"a": [Answer(FinalKind.COMPLETED, "completed", b"x")]})
        self.assertEqual((it.counts["late"], it.owed, it.requests, fleet.finished), (1, 0, {}, {"a"}))

    def test_final_answers_by_effect_and_how_the_sends_ended(self):
        # effect, outcomes of the sends, final answer, whether it may have run; a third retry is over the budget
        cases = (
            (Effect.ONCE_ONLY, [Outcome.RESET], FinalKind.ABORTED, True),
            (Effect.ONCE_ONLY, [Outcome.UNREACHABLE] * 4, FinalKind.REJECTED, False),
            (Effect.ONCE_ONLY, [Outcome.UNREACHABLE, Outcome.RESET], FinalKind.ABORTED, True),
            (Effect.REPEATABLE, [Outcome.RESET] * 3, FinalKind.REJECTED, True),
            (Effect.DEDUPLICATED, [Outcome.NEVER_SENT] * 4, FinalKind.REJECTED, False),
        )
        for effect, outcomes, final, ran in cases:
            it, fleet = make_engine(immediate_outcomes=outcomes)
            pending = it.admit(0, "a", make_call(effect))
            self.assertEqual([each.final for each in fleet.answers["a"]], [final], (effect, outcomes))
            self.assertEqual(pending.answer.may_have_run, ran, (effect, outcomes))
            self.assertEqual(len(fleet.sends()), len(outcomes), (effect, outcomes))

    def test_a_request_is_answered_before_its_deadline_and_every_send_ends(self):
        for may_cancel in (True, False):
            it, fleet = make_engine(may_cancel=may_cancel)
            pending = it.admit(0, "a", make_call(Effect.ONCE_ONLY, left=300 * MS))
            while it.due() <= 300 * MS:
                it.tick(it.due())
            self.assertEqual([each.final for each in fleet.answers["a"]], [FinalKind.ABORTED])
            self.assertLess(pending.answered_at, pending.deadline)
            self.assertEqual((it.requests, it.owed, it.counts["overdue"]), ({}, 0, 0))
            pending.on_send_ended(400 * MS, 0, Outcome.COMPLETED)
            self.assertEqual(len(fleet.answers["a"]), 1)

    def test_bodies_are_not_held_until_the_deadline_of_a_request_that_has_ended(self):
        """Guards against bodies of answered requests that the heap of deadlines holds, uncounted, for seconds."""
        for outcomes in ([], [Outcome.UNREACHABLE] * 4):
            it, fleet = make_engine(immediate_outcomes=outcomes)
            pending = it.admit(0, "a", make_call(body=b"sent"))
            if not outcomes:
                pending.on_send_ended(10 * MS, 0, Outcome.COMPLETED, body=b"received")
            self.assertEqual(len(fleet.answers["a"]), 1)
            held = [each for _, _, each in it.deadlines if each is pending]
            self.assertEqual([(each.call.body, each.answer.body) for each in held], [(b"", b"")])

    def test_requests_that_have_ended_do_not_pile_up_until_their_deadlines(self):
        """Guards against thousands of ended requests that the heaps hold for as long as their clients would wait."""
        it, fleet = make_engine()
        pending = it.admit(0, "first", make_call())
        for number in range(4 * MIN_PRUNED_DEADLINES):
            it.admit(number, str(number), make_call()).on_client_gone(number)
        self.assertLessEqual(len(it.deadlines), MIN_PRUNED_DEADLINES + 1)
        self.assertLessEqual(len(it.dispatcher.timers), MIN_PRUNED_DEADLINES + 1)
        self.assertIn(pending, [each for _, _, each in it.deadlines])
        self.assertIn(pending.activation, [each for _, _, each in it.dispatcher.timers])

    def test_an_answer_that_is_read_after_a_stall_is_too_late(self):
        it, fleet = make_engine()
        pending = it.admit(0, "a", make_call(left=300 * MS))
        pending.on_send_ended(SECOND, 0, Outcome.COMPLETED)
        it.tick(SECOND)
        self.assertEqual([each.final for each in fleet.answers["a"]], [FinalKind.REJECTED])

    def test_overdue_requests_are_answered_after_a_stall_before_anything_else_is_decided(self):
        """Guards against overdue answers that wait until everything that arrived during a stall is read."""
        for effect, may_cancel in ((Effect.REPEATABLE, True), (Effect.REPEATABLE, False), (Effect.ONCE_ONLY, True)):
            it, fleet = make_engine(may_cancel=may_cancel)
            overdue = it.admit(0, "a", make_call(effect, left=300 * MS))
            it.admit(0, "b", make_call(effect, left=SECOND + 1))      # its time is not up, though its answer is due
            before = len(fleet.log)
            it.answer_overdue(SECOND)
            self.assertEqual(list(fleet.answers), ["a"])
            self.assertEqual((len(fleet.log), it.owed), (before, 1))
            self.assertEqual(it.due(), SECOND)
            overdue.on_send_ended(SECOND, 0, Outcome.COMPLETED)      # it was unread; the answer stays the first one
            it.tick(SECOND)
            self.assertEqual([each.final for each in fleet.answers["a"]],
                             [FinalKind.ABORTED if effect is Effect.ONCE_ONLY else FinalKind.REJECTED])
            while it.due() <= 2 * SECOND:
                it.tick(it.due())
            self.assertEqual((it.requests, it.owed, fleet.finished), ({}, 0, {"a", "b"}))

    def test_a_worker_is_not_blamed_for_a_stall_in_which_a_request_became_overdue(self):
        outcomes = []
        for answers_first in (True, False):
            it, fleet = make_engine(may_cancel=True)
            pending = it.admit(0, "a", make_call(left=300 * MS))
            if answers_first:
                it.answer_overdue(SECOND)
            it.tick(SECOND)
            outcomes.append((pending.sends[0].outcome, fleet.log, fleet.answers["a"][0]._replace(retry_after=0)))
        self.assertEqual(*outcomes)
        self.assertIs(outcomes[0][0], Outcome.CANCELLED)

    def test_time_spent_in_this_process_does_not_count_as_the_workers(self):
        it, fleet = make_engine()
        pending = it.admit(0, "a", make_call())
        pending.on_send_ended(2 * SECOND, 0, Outcome.COMPLETED, copy=Copy.FOUND, waited=10 * MS)
        worker = it.dispatcher.workers[pending.sends[0].worker]
        self.assertEqual((pending.sends[0].waited, worker.relative_latency < 0.05), (10 * MS, True))

    def test_a_client_that_left_gets_no_answer(self):
        it, fleet = make_engine()
        pending = it.admit(0, "a", make_call())
        pending.on_client_gone(5 * MS)
        pending.on_client_gone(6 * MS)
        pending.on_send_ended(7 * MS, 0, Outcome.COMPLETED)
        self.assertEqual((fleet.answers, it.owed, it.requests, fleet.finished), ({}, 0, {}, {"a"}))

    def test_a_cancelled_send_never_ran_only_if_nothing_of_it_was_written(self):
        for unsent in (True, False):
            it, fleet = make_engine(workers=1)
            fleet.cancels_unsent = unsent
            pending = it.admit(0, "a", make_call())
            it.execute_steps(0, it.dispatcher.collect_steps(it.dispatcher.finish, pending.activation, None))
            self.assertEqual(pending.sends[0].outcome in NEVER_RAN, unsent)

    def test_a_load_order_and_a_probe_without_an_answer_end(self):
        it, fleet = make_engine(loads_on_miss=False, may_probe=True, front_ends=100)
        it.dispatcher.pressure_share = 1.0
        # Both functions are believed to have copies, so that a probe's answer could move the call.
        for worker in it.dispatcher.ready_workers:
            worker.warm_until |= {"f": 3 * SECOND, "g": 3 * SECOND}
        pending, now = it.admit(SECOND, "a", make_call()), SECOND
        fleet.queries[0].on_answered(now, Outcome.COMPLETED)
        pending.on_send_ended(now, 0, Outcome.MISS)
        it.admit(now, "b", Call("repeatable", "g", TIME_LEFT))
        self.assertEqual([query.function for query in fleet.queries[1:]], ["f", ""])
        while now < 11 * SECOND:
            now = max(now + 1, it.due())
            it.tick(now)
        self.assertTrue(all(query.is_done for query in fleet.queries))
        before = len(fleet.log)
        fleet.queries[1].on_answered(now, Outcome.COMPLETED, copies=1)
        self.assertEqual(len(fleet.log), before)

    def test_a_clock_that_goes_back_counts_as_stopped(self):
        it, fleet = make_engine()
        it.admit(5 * SECOND, "a", make_call())
        pending = it.admit(SECOND, "b", make_call())
        self.assertEqual((pending.admitted_at, pending.deadline), (5 * SECOND, 5 * SECOND + TIME_LEFT))


EFFECTS = st.sampled_from(list(Effect))
EVENTS = st.lists(st.one_of(
    st.tuples(st.just("take"), EFFECTS, st.integers(1, 3000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome)), st.sampled_from(list(Copy))),
    st.tuples(st.just("again"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("left"), st.integers(0, 50)),
    st.tuples(st.just("roster"), st.integers(0, 4), st.sampled_from(list(WorkerState)), st.integers(0, 2)),
    st.tuples(st.just("held"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("at once"), st.sampled_from([Outcome.UNREACHABLE, Outcome.FULL, Outcome.RESET])),
    st.tuples(st.just("wait"), st.integers(0, 700)),
    st.tuples(st.just("jump"), st.integers(-500, 5000)),
    st.tuples(st.just("stall"), st.integers(50, 3000)),
), max_size=60)


class Play:
    """Plays a list of events on an engine and checks what it promises."""

    def __init__(self, test, may_cancel, may_twice):
        self.test, self.may_twice = test, may_twice
        self.it, self.fleet = make_engine(workers=5, may_cancel=may_cancel, may_duplicate=may_twice, max_sends=4)
        self.now, self.calls, self.jumped, self.unready = 0, [], 0, {}

    def play(self, events):
        for event in events:
            getattr(self, event[0].replace(" ", "_"))(*event[1:])
            for name, request in [entry[3:1:-1] for entry in self.fleet.log if entry[0] == "send"][self.checked:]:
                self.test.assertNotIn(name, self.unready, request)
            self.checked = sum(entry[0] == "send" for entry in self.fleet.log)
        self.wait(20_000)
        self.check()

    checked = 0

    def take(self, effect, left):
        request_id = f"c{len(self.calls)}"
        self.calls.append(self.it.admit(self.now, request_id, Call(effect.value, f"f{left % 3}", left * MS)))

    def open_send(self, pick):
        sends = [(pending, n) for pending in self.calls for n, sent in enumerate(pending.sends)
                 if sent.outcome is None]
        return sends[pick % len(sends)] if sends else None

    def end(self, pick, outcome, copy):
        if found := self.open_send(pick):
            found[0].on_send_ended(self.now, found[1], outcome, copy=copy)

    def again(self, pick, outcome):
        ended = [(pending, n) for pending in self.calls for n, sent in enumerate(pending.sends) if sent.outcome]
        if ended:
            pending, number = ended[pick % len(ended)]
            pending.on_send_ended(self.now, number, outcome)

    def left(self, pick):
        if self.calls:
            self.calls[pick % len(self.calls)].on_client_gone(self.now)

    def roster(self, pick, state, age):
        name = f"w{pick}"
        if state is WorkerState.READY:
            self.unready.pop(name, None)
        else:
            self.unready[name] = self.now
        self.it.update_workers(self.now, [listing(
            name, state, started_at=age and max(1, self.now - age))], full=False)

    def held(self, pick, outcome):
        if self.fleet.queries:
            self.fleet.queries[pick % len(self.fleet.queries)].on_answered(self.now, outcome, copies=1)

    def at_once(self, outcome):
        self.fleet.immediate_outcomes.append(outcome)

    def wait(self, ms):
        until = self.now + ms * MS
        while self.it.due() <= until:
            self.now = max(self.now, self.it.due())
            self.it.tick(self.now)
        self.now = max(self.now, until)

    def jump(self, ms):
        """The process stalls, or its clock goes back: no timer fires in between."""
        self.now = max(0, self.now + ms * MS)
        self.jumped += ms > 0
        self.it.tick(self.now)

    def stall(self, ms):
        """The process stalls. Overdue requests are answered before a tick, and before what arrived is read."""
        self.now += ms * MS
        self.jumped += 1
        self.it.answer_overdue(self.now)
        self.test.assertFalse([pending.id for pending in self.calls
                               if not pending.is_settled and pending.deadline + MS < self.now])

    def check(self):
        test = self.test
        test.assertEqual((self.it.requests, self.it.owed, self.it.counts["overdue"] * (not self.jumped)), ({}, 0, 0))
        for pending in self.calls:
            answers = self.fleet.answers.get(pending.id, [])
            test.assertEqual(len(answers), 0 if pending.client_gone else 1, pending.id)
            test.assertIn(pending.id, self.fleet.finished)
            if answers and not self.jumped:
                test.assertLessEqual(pending.answered_at, pending.deadline)
            entries = [entry for entry in self.fleet.log if entry[0] == "send" and entry[2] == pending.id]
            test.assertFalse(any(entry[4] for entry in entries), "sent after its answer")
            risky = 0
            for sent in pending.sends:
                test.assertFalse(risky and pending.call.type == Effect.ONCE_ONLY.value, "once-only sent twice")
                risky += sent.outcome not in NEVER_RAN
            if answers and answers[0].final is FinalKind.REJECTED and pending.call.type == Effect.ONCE_ONLY.value:
                test.assertFalse(risky, "once-only rejected though it may have run")


class Properties(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(EVENTS, st.booleans(), st.booleans())
    def test_any_order_of_events_keeps_the_promises(self, events, may_cancel, may_twice):
        Play(self, may_cancel, may_twice).play(events)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(EVENTS)
    def test_the_same_calls_bring_the_same_steps(self, events):
        logs = []
        for _ in range(2):
            play = Play(self, True, False)
            play.play(events)
            logs.append((play.fleet.log, play.fleet.answers))
        self.assertEqual(*logs)


if __name__ == "__main__":
    unittest.main()
