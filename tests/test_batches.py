"""Batches: the queue, the cancels, the store and the replicated state, and whole histories on a virtual clock."""
import json
import tempfile
import time
import unittest
from contextlib import closing
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.live import Live, ScriptedWorker, free_port, until
from threadshift.batches.cancels import (
    ACCIDENT_CANCELS, ACCIDENT_FACTOR, CLOSED, OPEN, RESTORED, Cancel, Cancels, CancelOver, NoSuchCancel)
from threadshift.batches.queue import FINAL_ANSWER_MARGIN, LATENCY_ALLOWANCE, RETRY_PAUSE, BatchCall, BatchQueue
from threadshift.batches.store import BatchStore, UnsupportedVersion, make_record
from threadshift.consensus.state_machines import StateMachineRegistry
from threadshift.consensus.persistent_state import LogEntry
from threadshift.consensus.member import CommittedEntry
from threadshift.emulator.batches import BatchSimulation, BatchFrontEnd
from threadshift.emulator.disk import SimulatedDisk
from threadshift.emulator.record import InvariantViolation
from threadshift.interface import MS, SECOND
from threadshift.links.codec import VERSION, encode
from threadshift.standins.disk import FaultyDisk

NOW = 1_000 * SECOND
PATH = Path("/calls")


def call(n, batch="eve", deadline=NOW + 60 * SECOND, tenant="t"):
    return BatchCall(f"c{n}", tenant, batch, n, deadline, "check")


def make_queue(count=6, max_out=100, out_limit=4.0, **fields):
    """Returns a queue and the calls that wait in it."""
    queue = BatchQueue(max_out)
    queue.out_limit = out_limit
    return queue, [queue.add(call(n, **fields)) for n in range(count)]


def cancel(id_="k", state=OPEN, batch="eve", tenant="t"):
    return Cancel(id_, tenant, batch, 1, 60 * SECOND, 0, "", state)


def names(calls):
    return [each.id for each in calls]


class Queues(unittest.TestCase):
    def test_calls_go_out_in_order_up_to_the_limit_and_batches_take_turns(self):
        queue, _ = make_queue()
        queue.add(call(50, "other"))
        self.assertEqual(names(queue.take_ready(NOW)), ["c0", "c50", "c1", "c2"])
        self.assertEqual(queue.out_count, 4)
        self.assertEqual(names(queue.take_ready(NOW)), [])

    def test_limit_grows_with_completions_and_halves_with_rejections(self):
        queue, _ = make_queue(600)
        for _ in range(20):
            for each in list(queue.take_ready(NOW)):
                queue.on_returned(each, NOW, True, False, "completed")
        grown = queue.out_limit
        self.assertGreater(grown, 8)
        out = list(queue.take_ready(NOW))
        for each in out:
            self.assertFalse(queue.on_returned(each, NOW, False, True, "no-room"))
        self.assertEqual(queue.out_limit, grown / 2)        # calls rejected together cut the limit once

    def test_limit_yields_to_other_requests(self):
        # Guards against a limit that grows with every completion: 3,000 restored calls left new ones only a third of
        # the capacity.
        queue, _ = make_queue(4_000, out_limit=1.0)
        now = NOW
        for took, least, most in ((100 * MS, 10, 45), (100 * MS + LATENCY_ALLOWANCE, 20, 80), (300 * MS, 1, 1)):
            for _ in range(30):
                now += SECOND // 4
                for each in list(queue.take_ready(now)):
                    queue.on_returned(each, now, True, False, "completed", took=took)
            self.assertGreaterEqual(queue.out_limit, least)
            self.assertLessEqual(queue.out_limit, most)

    def test_rejected_call_waits_again_at_its_old_position_after_a_pause(self):
        queue, calls = make_queue()
        first = next(iter(queue.take_ready(NOW)))
        self.assertFalse(queue.on_returned(first, NOW, False, True, "no-room", retry_after=SECOND))
        self.assertEqual((first.state, first.tries, first.reasons), ("waiting", 1, ["no-room"]))
        self.assertNotIn(first, list(queue.take_ready(NOW + RETRY_PAUSE)))
        for each in calls:
            queue.withdraw(each)
        self.assertEqual(names(queue.take_ready(NOW + SECOND))[0], "c0")

    def test_cancel_parks_waiting_calls_and_restore_returns_exactly_those(self):
        queue, calls = make_queue()
        out = [next(queue.take_ready(NOW)) for _ in range(2)]
        queue.finish(calls[5])                           # cancelled alone, before its batch
        self.assertEqual(queue.park(cancel()), out)
        queue.withdraw(out[0])                           # it never began
        late = queue.add(call(7))
        counts = queue.counts("t", "eve", NOW)
        self.assertEqual((counts.parked, counts.out, counts.waiting, counts.done), (5, 1, 0, 1))
        self.assertEqual(list(queue.take_ready(NOW)), [])
        self.assertEqual(names(queue.restore(cancel(state=RESTORED))), ["c0", "c2", "c3", "c4", "c7"])
        self.assertEqual(late.state, "waiting")
        self.assertEqual(names(queue.take_ready(NOW)), ["c0", "c2", "c3"])

    def test_applying_a_cancel_repeatedly_has_one_effect(self):
        queue, _ = make_queue()
        for state, rest in ((OPEN, 6), (RESTORED, 0)):
            for _ in range(3):
                queue.apply_cancel(cancel(state=state))
                self.assertEqual(queue.counts("t", "eve", NOW).parked, rest)
        queue, _ = make_queue()
        queue.apply_cancel(cancel())
        self.assertEqual([len(queue.apply_cancel(cancel(state=CLOSED))[2]) for _ in range(3)], [6, 0, 0])
        self.assertEqual(queue.counts("t", "eve", NOW).done, 6)
        queue.apply_cancel(cancel(state=RESTORED))       # a restore after close brings nothing back
        self.assertEqual(list(queue.take_ready(NOW)), [])

    def test_parked_call_ends_shortly_before_its_deadline(self):
        queue, calls = make_queue(2)
        queue.park(cancel())
        self.assertEqual(queue.expire(NOW + 60 * SECOND - FINAL_ANSWER_MARGIN - 1), [])
        self.assertEqual(queue.expire(NOW + 60 * SECOND - FINAL_ANSWER_MARGIN), calls)
        self.assertEqual((queue.restore(cancel(state=RESTORED)), queue.counts("t", "eve", NOW).done), ([], 2))

    def test_call_restored_without_time_left_is_not_sent_out(self):
        queue, calls = make_queue(1, deadline=NOW + 40 * MS)
        queue.park(cancel())
        queue.restore(cancel(state=RESTORED))
        self.assertEqual((list(queue.take_ready(NOW)), queue.expire(NOW)), ([], calls))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from("add next done unrun ran back cancel restore close time drop".split()),
                    max_size=60), st.randoms(use_true_random=False))
    def test_whatever_comes_each_call_ends_once_and_nothing_out_is_parked(self, acts, random):
        it, now, n, ended, out, open_, number = BatchQueue(8), NOW, 0, [], [], None, 0
        for act in acts:
            now += random.randrange(SECOND)
            some = random.choice(out) if out else None
            if act == "add":
                n += 1
                it.add(call(n, deadline=now + random.randrange(30 * SECOND)))
            elif act == "next":
                out += list(it.take_ready(now))
            elif act in ("done", "unrun", "ran") and some:
                out.remove(some)
                if it.on_returned(some, now, act == "done", act == "unrun", act):
                    ended.append(some)
            elif act == "back" and some:
                out.remove(some)
                it.withdraw(some)
            elif act == "cancel" and open_ is None:
                number += 1
                open_ = cancel(f"k{number}")
                it.apply_cancel(open_)
            elif act in ("restore", "close") and open_ is not None:
                open_.state = RESTORED if act == "restore" else CLOSED
                ended += it.apply_cancel(open_)[2]
                open_ = None
            elif act == "time":
                ended += it.expire(now)
            elif act == "drop" and it.calls:
                one = random.choice(sorted(it.calls.values(), key=lambda each: each.order))
                if not one.is_out:
                    it.finish(one)
                    ended.append(one)
            self.assertEqual(len(set(names(ended))), len(ended))
            self.assertEqual(it.out_count, len(out))
            self.assertFalse([each for each in out if each.parked_by or each.is_done])
            self.assertEqual(len(it.calls) + len(ended), n)
            for each in it.calls.values():
                self.assertEqual(bool(each.parked_by), open_ is not None and not each.is_out, each)


class ReplicatedState(unittest.TestCase):
    def cancels(self, *entries):
        cancels = Cancels()
        for position, (do, fields) in enumerate(entries, 1):
            cancels.apply(position, {"do": f"batch.{do}", **fields})
        return cancels

    @staticmethod
    def asked(id_="k", batch="eve", at=0, part=0.0, tenant="t"):
        return "cancel", {"id": id_, "tenant": tenant, "batch": batch, "window": SECOND, "at": at, "part": part}

    def test_entries_in_every_order_have_a_defined_result(self):
        for entries, state in (
                ([self.asked()], OPEN), ([self.asked(), ("restore", {"cancel": "k"})], RESTORED),
                ([self.asked(), ("close", {"cancel": "k"}), ("restore", {"cancel": "k"})], CLOSED),
                ([self.asked(), ("restore", {"cancel": "k"}), ("close", {"cancel": "k"})], RESTORED),
                ([("restore", {"cancel": "k"}), self.asked()], OPEN)):
            self.assertEqual(self.cancels(*entries).all["k"].state, state)
        it = self.cancels(self.asked(), self.asked("k2"))
        self.assertEqual(list(it.all), ["k"])        # the second cancel of the batch has no effect
        with self.assertRaises(NoSuchCancel):
            it.find("k", "another tenant")
        self.assertTrue(issubclass(CancelOver, Exception))

    def test_probable_accidents_get_a_longer_window(self):
        it = self.cancels(*(self.asked(f"k{n}", f"b{n}", n * SECOND) for n in range(ACCIDENT_CANCELS)),
                          self.asked("most", "b9", 900 * SECOND, part=0.6),
                          self.asked("usual", "b10", 1800 * SECOND, part=0.4))
        self.assertEqual([each.window // SECOND for each in it.all.values()],
                         [1, 1, ACCIDENT_FACTOR, ACCIDENT_FACTOR, 1])

    def test_new_leader_restarts_the_window(self):
        it = self.cancels(self.asked())
        self.assertEqual(it.due_entries(NOW), [])
        self.assertEqual([each["do"] for each in it.due_entries(NOW + SECOND)], ["batch.close"])
        it.on_became_leader()
        self.assertEqual(it.due_entries(NOW + SECOND), [])
        again = Cancels()
        again.load(it.dump())
        self.assertEqual((again.due_entries(NOW), len(again.due_entries(NOW + SECOND))), ([], 1))

    def test_entry_is_applied_once_and_unknown_entries_are_retained(self):
        told = [CommittedEntry(n, LogEntry(1, body)) for n, body in enumerate((
            {"do": "hold", "holder": "a"}, {"do": "batch.cancel", **self.asked()[1]},
            {"do": "batch.cancel", **self.asked()[1]}, {"do": "moon.phase", "id": "m"},
            {"do": "batch.restore", "form": 2, "id": "r", "cancel": "k"}), 1)]
        old = StateMachineRegistry({"batches": Cancels()})
        self.assertEqual([old.apply(each) for each in [*told, *told]], [False, True] + [False] * 8)
        self.assertEqual([place for place, _ in old.unknown_entries], [4, 5])

        class Newer(Cancels):
            entry_forms = {**Cancels.entry_forms, "batch.restore": 2}

        for machines, left, state in (({"batches": Cancels()}, 2, OPEN), ({"batches": Newer()}, 1, RESTORED)):
            new = StateMachineRegistry(machines)
            new.apply(CommittedEntry(5, LogEntry(1, {}), old.dump()))
            self.assertEqual((len(new.unknown_entries), machines["batches"].all["k"].state, new.applied_index),
                             (left, state, 5))
        without = StateMachineRegistry({})
        without.load(old.dump())
        self.assertEqual(without.dump()["machines"], old.dump()["machines"])      # passed on unchanged

    def test_later_form_is_written_once_every_voter_reads_it(self):
        class Newer(Cancels):
            entry_forms = {**Cancels.entry_forms, "batch.restore": 2}

        it = StateMachineRegistry({"batches": Newer()}, ["a", "b"])
        for who, forms, may in (("a", 2, 1), ("b", 1, 1), ("b", 2, 2)):
            it.apply(CommittedEntry(it.applied_index + 1, LogEntry(1, {
                "do": "reads", "who": who, "forms": {"batch.restore": forms}})))
            self.assertEqual(it.writable_form("batch.restore"), may)


class Stores(unittest.TestCase):
    def make_store(self, disk, *records):
        store = BatchStore(PATH, disk)
        for each in records:
            store.write([each])
            store.on_written([each])
        return store

    @staticmethod
    def take(ivk, effect="once-only", **more):
        return make_record("take", ivk=ivk, tenant="t", batch="eve", order=1, at=100 * SECOND, left=10 * SECOND,
                      effect=effect, parked="", call={"type": "submit", "function": "f", "left": 10 * SECOND}, **more)

    def test_recovery_after_a_crash_runs_nothing_twice(self):
        disk = SimulatedDisk(lambda: 0.0)
        self.make_store(disk, self.take("a"), self.take("b"), self.take("c", "repeatable"), self.take("d"),
                   make_record("out", ivk="b"), make_record("out", ivk="c"), make_record("out", ivk="d"),
                   make_record("back", ivk="d", tries=1), make_record("stop", cancel="k", ivks=["a"]))
        disk.crash()
        it = BatchStore(PATH, disk)
        self.assertEqual({name: (each.out, each.may_have_run, each.parked) for name, each in it.calls.items()},
                         {"a": (False, False, "k"), "b": (True, True, ""), "c": (True, False, ""),
                          "d": (False, False, "")})

    def test_time_passes_while_no_process_runs_and_a_clock_set_back_adds_none(self):
        it = self.make_store(SimulatedDisk(), self.take("a"))
        for wall, left in ((100, 10), (104, 6), (200, -90), (40, 10)):
            self.assertEqual(it.calls["a"].remaining(wall * SECOND), left * SECOND)

    def test_long_file_is_rewritten_with_all_calls_and_unknown_fields(self):
        disk = SimulatedDisk()
        it = self.make_store(disk, self.take("a", colour="blue"))
        anew = []
        for _ in range(1_200):
            for each in (self.take("b"), make_record("forget", ivk="b")):
                anew = anew or it.on_written([each])
        self.assertEqual([(each["ivk"], each.get("colour")) for each in anew[:1]], [("a", "blue")])
        it.journal.rewrite(*anew)
        it.close()
        self.assertEqual(BatchStore(PATH, disk).calls["a"].extra, {"colour": "blue"})

    def test_file_of_a_later_version_is_left_unchanged(self):
        disk = SimulatedDisk()
        it = self.make_store(disk)
        it.write([{"form": 2, "do": "take"}])
        it.close()
        with self.assertRaisesRegex(UnsupportedVersion, "form 2"):
            BatchStore(PATH, disk)
        BatchStore(Path("/other"), disk)         # the first file is no longer open


def peers(folder):
    """The block that lets a front end store batches."""
    return f"peers {{\n folder {folder}\n voter front-0 127.0.0.1:{free_port()}\n}}"


class ForgetfulWorker(ScriptedWorker):
    """Ends the connection of the first call that it reads, and is not reached until it has forgotten its mark."""

    MEMORY_SPAN_S = 1.0            # as in the configuration of tests/live.py

    def __init__(self, name):
        super().__init__(name, None)
        self.marks = []
        self.unreachable_until = 0.0

    def converse(self, sock):
        if time.monotonic() < self.unreachable_until:
            return
        sock.sendall(encode("hello", version=VERSION, name=self.name, started=1))
        for frame in self.frames(sock):
            if frame["kind"] == "ping":
                sock.sendall(encode("pong"))
            elif frame["kind"] == "invoke":
                self.marks.append(frame.get("mark"))
                self.unreachable_until = time.monotonic() + 1.5 * self.MEMORY_SPAN_S
                return


class Tries(unittest.TestCase):
    def test_a_deduplicated_call_that_may_have_run_is_not_tried_again_after_its_mark_is_forgotten(self):
        """Guards against tries that each count the span in which workers know a mark from nothing (review/7)."""
        with tempfile.TemporaryDirectory() as folder:
            worker = ForgetfulWorker("w0")
            it = Live(0, extra=peers(folder))
            it.extra.append(worker)
            it.list("w0", worker.address)
            with it, closing(it.client()) as client:
                until(lambda: it.front.replicated_services
                      and it.front.replicated_services.consensus.status()["holds"], 10)
                ivk = client.request("POST", "/v1/functions/file-a/calls", {
                    "Prefer": "respond-async", "Batch": "eve", "Idempotency-Key": "m"}, b"x").headers["activation"]
                stored = it.front.replicated_services.batch_service.store.calls[ivk]
                until(lambda: worker.marks)
                tries = it.front.replicated_services.batch_service.calls[ivk][0]
                until(lambda: tries.tries or stored.answer)
                is_known_after_a_crash = stored.may_have_run or stored.answer is not None
                until(lambda: client.request("GET", f"/v1/calls/{ivk}").status != 202, 8)
                answer = client.request("GET", f"/v1/calls/{ivk}")
                self.assertEqual((worker.marks, answer.headers["final"]), (["m"], "aborted"))
                self.assertTrue(json.loads(answer.body)["may-have-run"])
                self.assertTrue(is_known_after_a_crash)


class Departures(unittest.TestCase):
    def test_a_call_that_goes_out_again_before_its_first_departure_is_stored_is_sent_once(self):
        """Guards against a call that is sent twice if its batch is cancelled and restored meanwhile (review/6)."""
        with tempfile.TemporaryDirectory() as folder:
            it = Live(1, extra=peers(folder))
            with it, closing(it.client()) as client:
                until(lambda: it.front.replicated_services
                      and it.front.replicated_services.consensus.status()["holds"], 10)
                batch_service = it.front.replicated_services.batch_service
                delayed, persist = [], batch_service.persist

                def delay_departures(records, then):
                    if records and records[0]["do"] == "out":
                        delayed.append(then)
                    else:
                        persist(records, then)
                batch_service.persist = delay_departures
                client.request("POST", "/v1/functions/submit-a/calls", {
                    "Prefer": "respond-async", "Batch": "eve"}, b"x")
                until(lambda: len(delayed) == 1)
                tenant = next(iter(batch_service.calls.values()))[0].tenant
                for state in (OPEN, RESTORED):
                    batch_service.on_cancels_changed([cancel(state=state, tenant=tenant)])
                until(lambda: len(delayed) == 2)
                for then in delayed:
                    then(True)
                until(lambda: it.front.engine.counts["answered completed"])
                self.assertEqual((it.front.engine.counts["taken"], it.front.engine.counts["sends"]), (1, 1))
                self.assertEqual(it.front.api.capacity.used, 0)


class Answers(unittest.TestCase):
    def test_answer_is_not_given_out_before_it_is_stored(self):
        # Guards against an answer given out but not stored: after a crash the same call was reported as aborted.
        with tempfile.TemporaryDirectory() as folder:
            it = Live(1, extra=peers(folder))
            disk = it.front.disk = FaultyDisk()
            with it, closing(it.client()) as client:
                until(lambda: it.front.replicated_services
                      and it.front.replicated_services.consensus.status()["holds"], 10)
                batch_service = it.front.replicated_services.batch_service
                answer = client.request("POST", "/v1/functions/check-a/calls", {
                    "Prefer": "respond-async", "Batch": "eve"}, b'{"mark":"m","work_ms":300}')
                ivk = answer.headers["activation"]
                until(lambda: batch_service.pending)
                disk.order("full")
                until(lambda: batch_service.last_failure)
                self.assertEqual(client.request("GET", f"/v1/calls/{ivk}").status, 202)
                until(lambda: client.request("GET", f"/v1/calls/{ivk}").status == 200)
                self.assertEqual(batch_service.store.calls[ivk].answer["final"], "completed")


class DoesNotStoreCallsThatGoOut(BatchFrontEnd):
    def keep(self, records):
        return super().keep([each for each in records if each["do"] != "out"])


class WithdrawsCallsThatBegan(BatchFrontEnd):
    def on_cancels(self, cancels):
        self.possibly_sent.clear()
        super().on_cancels(cancels)


class AnswersBeforeItStores(BatchFrontEnd):
    def finish(self, it, final):
        self.world.record_final(it.id, final)
        super().finish(it, final)


class ClosesByLocalClock(BatchFrontEnd):
    def tick(self):
        now = self.node.clock(self.world.now)
        for id_ in self.cancels.open.values():
            cancel = self.cancels.all[id_]
            cancel.heard = cancel.heard or now
            if now - cancel.heard > cancel.window:
                for each in self.queue.close(cancel):
                    self.finish(each, "cancelled")
        super().tick()


class EmulatedHistories(unittest.TestCase):
    """Five front ends on a virtual clock, cut off, stopped and killed (emulator/batches.py)."""

    def test_random_histories_keep_all_guarantees(self):
        finals = set()
        for seed in range(6):
            it = BatchSimulation(seed, seconds=15)
            it.run()
            finals |= set(it.finals.values())
        self.assertEqual(finals, {"completed", "rejected", "aborted", "cancelled"})

    def test_planted_faults_are_found(self):
        for front in (DoesNotStoreCallsThatGoOut, WithdrawsCallsThatBegan, AnswersBeforeItStores, ClosesByLocalClock):
            with self.subTest(front.__name__), mock.patch("threadshift.emulator.batches.BatchFrontEnd", front), (
                    self.assertRaises(InvariantViolation)):
                for seed in range(8):
                    BatchSimulation(seed, seconds=15).run()


if __name__ == "__main__":
    unittest.main()
