"""The queue, the cancels, the shelf and the book, each driven as a table of calls."""
import tempfile
import unittest
from contextlib import closing
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.live import Live, free_port, until
from threadshift.batches.cancels import (
    ACCIDENT, CLOSED, MANY, OPEN, RESTORED, Cancel, Cancels, CancelOver, NoSuchCancel)
from threadshift.batches.queue import AGAIN, AND, MOMENT, Queue, Waiting
from threadshift.batches.shelf import Later, Shelf, record
from threadshift.consensus.book import Book
from threadshift.consensus.kept import Entry
from threadshift.consensus.member import Told
from threadshift.emulator.batches import BatchSimulation, BatchFrontEnd
from threadshift.emulator.disk import SimulatedDisk
from threadshift.emulator.record import InvariantViolation
from threadshift.interface import MS, SECOND
from threadshift.standins.disk import FaultyDisk

NOW = 1_000 * SECOND
PATH = Path("/calls")


def call(n, batch="eve", ends=NOW + 60 * SECOND, tenant="t"):
    return Waiting(f"c{n}", tenant, batch, n, ends, "check")


def queue(count=6, most=100, room=4.0, **facts):
    it = Queue(most)
    it.room = room
    return it, [it.add(call(n, **facts)) for n in range(count)]


def cancel(id_="k", state=OPEN, batch="eve", tenant="t"):
    return Cancel(id_, tenant, batch, 1, 60 * SECOND, 0, "", state)


def names(calls):
    return [each.ivk for each in calls]


class Queues(unittest.TestCase):
    def test_calls_go_out_in_order_so_many_at_a_time_and_batches_take_turns(self):
        it, _ = queue()
        it.add(call(50, "other"))
        self.assertEqual(names(it.next(NOW)), ["c0", "c50", "c1", "c2"])
        self.assertEqual(it.out, 4)
        self.assertEqual(names(it.next(NOW)), [])

    def test_room_grows_with_what_completes_and_halves_with_what_finds_none(self):
        it, _ = queue(600)
        for _ in range(20):
            for each in list(it.next(NOW)):
                it.returned(each, NOW, True, False, "completed")
        grown = it.room
        self.assertGreater(grown, 8)
        out = list(it.next(NOW))
        for each in out:
            self.assertFalse(it.returned(each, NOW, False, True, "no-room"))
        self.assertEqual(it.room, grown / 2)        # refused together they cut once

    def test_it_takes_what_others_leave(self):
        # Guards what additive increase by completions alone did: 3,000 restored calls left new ones a third.
        it, _ = queue(4_000, room=1.0)
        now = NOW
        for took, least, most in ((100 * MS, 10, 45), (100 * MS + AND, 20, 80), (300 * MS, 1, 1)):
            for _ in range(30):
                now += SECOND // 4
                for each in list(it.next(now)):
                    it.returned(each, now, True, False, "completed", took=took)
            self.assertGreaterEqual(it.room, least)
            self.assertLessEqual(it.room, most)

    def test_what_did_not_run_waits_again_at_its_place_after_a_pause(self):
        it, calls = queue()
        first = next(iter(it.next(NOW)))
        self.assertFalse(it.returned(first, NOW, False, True, "no-room", come_back=SECOND))
        self.assertEqual((first.state, first.tries, first.reasons), ("waiting", 1, ["no-room"]))
        self.assertNotIn(first, list(it.next(NOW + AGAIN)))
        for each in calls:
            it.taken_back(each)
        self.assertEqual(names(it.next(NOW + SECOND))[0], "c0")

    def test_a_cancel_parks_what_waits_and_its_restore_brings_back_just_that(self):
        it, calls = queue()
        out = [next(it.next(NOW)) for _ in range(2)]
        it.end(calls[5])                                 # cancelled by itself, before
        self.assertEqual(it.cancelled(cancel()), out)
        it.taken_back(out[0])                            # it never began
        late = it.add(call(7))
        counts = it.counts("t", "eve", NOW)
        self.assertEqual((counts.parked, counts.out, counts.waiting, counts.done), (5, 1, 0, 1))
        self.assertEqual(list(it.next(NOW)), [])
        self.assertEqual(names(it.restored(cancel(state=RESTORED))), ["c0", "c2", "c3", "c4", "c7"])
        self.assertEqual(late.state, "waiting")
        self.assertEqual(names(it.next(NOW)), ["c0", "c2", "c3"])

    def test_told_any_number_of_times_a_cancel_has_one_effect(self):
        it, _ = queue()
        for state, rest in ((OPEN, 6), (RESTORED, 0)):
            for _ in range(3):
                it.heard(cancel(state=state))
                self.assertEqual(it.counts("t", "eve", NOW).parked, rest)
        it, _ = queue()
        it.heard(cancel())
        self.assertEqual([len(it.heard(cancel(state=CLOSED))[2]) for _ in range(3)], [6, 0, 0])
        self.assertEqual(it.counts("t", "eve", NOW).done, 6)
        it.heard(cancel(state=RESTORED))                 # restore after close brings nothing back
        self.assertEqual(list(it.next(NOW)), [])

    def test_a_parked_call_ends_a_moment_before_its_own_time(self):
        it, calls = queue(2)
        it.cancelled(cancel())
        self.assertEqual(it.ended(NOW + 60 * SECOND - MOMENT - 1), [])
        self.assertEqual(it.ended(NOW + 60 * SECOND - MOMENT), calls)
        self.assertEqual((it.restored(cancel(state=RESTORED)), it.counts("t", "eve", NOW).done), ([], 2))

    def test_restored_with_no_time_left_it_is_not_sent_out(self):
        it, calls = queue(1, ends=NOW + 40 * MS)
        it.cancelled(cancel())
        it.restored(cancel(state=RESTORED))
        self.assertEqual((list(it.next(NOW)), it.ended(NOW)), ([], calls))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from("add next done unrun ran back cancel restore close time drop".split()),
                    max_size=60), st.randoms(use_true_random=False))
    def test_whatever_comes_each_call_ends_once_and_nothing_out_is_parked(self, acts, random):
        it, now, n, ended, out, open_, number = Queue(8), NOW, 0, [], [], None, 0
        for act in acts:
            now += random.randrange(SECOND)
            some = random.choice(out) if out else None
            if act == "add":
                n += 1
                it.add(call(n, ends=now + random.randrange(30 * SECOND)))
            elif act == "next":
                out += list(it.next(now))
            elif act in ("done", "unrun", "ran") and some:
                out.remove(some)
                if it.returned(some, now, act == "done", act == "unrun", act):
                    ended.append(some)
            elif act == "back" and some:
                out.remove(some)
                it.taken_back(some)
            elif act == "cancel" and open_ is None:
                number += 1
                open_ = cancel(f"k{number}")
                it.heard(open_)
            elif act in ("restore", "close") and open_ is not None:
                open_.state = RESTORED if act == "restore" else CLOSED
                ended += it.heard(open_)[2]
                open_ = None
            elif act == "time":
                ended += it.ended(now)
            elif act == "drop" and it.calls:
                one = random.choice(sorted(it.calls.values(), key=lambda each: each.order))
                if not one.out:
                    it.end(one)
                    ended.append(one)
            self.assertEqual(len(set(names(ended))), len(ended))
            self.assertEqual(it.out, len(out))
            self.assertFalse([each for each in out if each.parked or each.over])
            self.assertEqual(len(it.calls) + len(ended), n)
            for each in it.calls.values():
                self.assertEqual(bool(each.parked), open_ is not None and not each.out, each)


class Records(unittest.TestCase):
    def cancels(self, *entries):
        it = Cancels()
        for place, (do, fields) in enumerate(entries, 1):
            it.apply(place, {"do": f"batch.{do}", **fields})
        return it

    @staticmethod
    def asked(id_="k", batch="eve", at=0, part=0.0, tenant="t"):
        return "cancel", {"id": id_, "tenant": tenant, "batch": batch, "window": SECOND, "at": at, "part": part}

    def test_each_order_of_orders_has_an_answer(self):
        for entries, state in (
                ([self.asked()], OPEN), ([self.asked(), ("restore", {"cancel": "k"})], RESTORED),
                ([self.asked(), ("close", {"cancel": "k"}), ("restore", {"cancel": "k"})], CLOSED),
                ([self.asked(), ("restore", {"cancel": "k"}), ("close", {"cancel": "k"})], RESTORED),
                ([("restore", {"cancel": "k"}), self.asked()], OPEN)):
            self.assertEqual(self.cancels(*entries).all["k"].state, state)
        it = self.cancels(self.asked(), self.asked("k2"))
        self.assertEqual(list(it.all), ["k"])            # cancelled already: the second stops nothing
        with self.assertRaises(NoSuchCancel):
            it.find("k", "another tenant")
        self.assertTrue(issubclass(CancelOver, Exception))

    def test_accidents_get_the_longer_window(self):
        it = self.cancels(*(self.asked(f"k{n}", f"b{n}", n * SECOND) for n in range(MANY)),
                          self.asked("most", "b9", 900 * SECOND, part=0.6),
                          self.asked("usual", "b10", 1800 * SECOND, part=0.4))
        self.assertEqual([each.window // SECOND for each in it.all.values()], [1, 1, ACCIDENT, ACCIDENT, 1])

    def test_a_window_is_counted_by_who_holds_and_anew_by_who_comes_to_hold(self):
        it = self.cancels(self.asked())
        self.assertEqual(it.due(NOW), [])
        self.assertEqual([each["do"] for each in it.due(NOW + SECOND)], ["batch.close"])
        it.new_holder()
        self.assertEqual(it.due(NOW + SECOND), [])
        again = Cancels()
        again.load(it.dump())
        self.assertEqual((again.due(NOW), len(again.due(NOW + SECOND))), ([], 1))

    def test_a_book_applies_an_entry_once_and_keeps_what_it_does_not_know(self):
        told = [Told(n, Entry(1, body)) for n, body in enumerate((
            {"do": "hold", "holder": "a"}, {"do": "batch.cancel", **self.asked()[1]},
            {"do": "batch.cancel", **self.asked()[1]}, {"do": "moon.phase", "id": "m"},
            {"do": "batch.restore", "form": 2, "id": "r", "cancel": "k"}), 1)]
        old = Book({"batches": Cancels()})
        self.assertEqual([old.apply(each) for each in [*told, *told]], [False, True] + [False] * 8)
        self.assertEqual([place for place, _ in old.strange], [4, 5])

        class Newer(Cancels):
            words = {**Cancels.words, "batch.restore": 2}

        for machines, left, state in (({"batches": Cancels()}, 2, OPEN), ({"batches": Newer()}, 1, RESTORED)):
            new = Book(machines)
            new.apply(Told(5, Entry(1, {}), old.state()))
            self.assertEqual((len(new.strange), machines["batches"].all["k"].state, new.place), (left, state, 5))
        without = Book({})
        without.load(old.state())
        self.assertEqual(without.state()["machines"], old.state()["machines"])      # passed on as it came

    def test_a_later_form_is_written_once_every_voter_reads_it(self):
        class Newer(Cancels):
            words = {**Cancels.words, "batch.restore": 2}

        it = Book({"batches": Newer()}, ["a", "b"])
        for who, forms, may in (("a", 2, 1), ("b", 1, 1), ("b", 2, 2)):
            it.apply(Told(it.place + 1, Entry(1, {"do": "reads", "who": who, "forms": {"batch.restore": forms}})))
            self.assertEqual(it.may_write("batch.restore"), may)


class Shelves(unittest.TestCase):
    def shelf(self, disk, *records):
        it = Shelf(PATH, disk)
        for each in records:
            it.write([each])
            it.wrote([each])
        return it

    @staticmethod
    def take(ivk, effect="once-only", **more):
        return record("take", ivk=ivk, tenant="t", batch="eve", order=1, at=100 * SECOND, left=10 * SECOND,
                      effect=effect, parked="", call={"type": "submit", "function": "f", "left": 10 * SECOND}, **more)

    def test_what_a_crash_leaves_errs_on_the_side_that_runs_nothing_twice(self):
        disk = SimulatedDisk(lambda: 0.0)
        self.shelf(disk, self.take("a"), self.take("b"), self.take("c", "repeatable"), self.take("d"),
                   record("out", ivk="b"), record("out", ivk="c"), record("out", ivk="d"),
                   record("back", ivk="d", tries=1), record("stop", cancel="k", ivks=["a"]))
        disk.crash()
        it = Shelf(PATH, disk)
        self.assertEqual({name: (each.out, each.may_have_run, each.parked) for name, each in it.calls.items()},
                         {"a": (False, False, "k"), "b": (True, True, ""), "c": (True, False, ""),
                          "d": (False, False, "")})

    def test_its_own_time_goes_on_while_it_lies_and_a_clock_set_back_gives_it_no_more(self):
        it = self.shelf(SimulatedDisk(), self.take("a"))
        for wall, left in ((100, 10), (104, 6), (200, -90), (40, 10)):
            self.assertEqual(it.calls["a"].remaining(wall * SECOND), left * SECOND)

    def test_a_long_file_begins_anew_with_all_that_stands_and_what_it_does_not_know(self):
        disk = SimulatedDisk()
        it = self.shelf(disk, self.take("a", colour="blue"))
        anew = []
        for _ in range(1_200):
            for each in (self.take("b"), record("forget", ivk="b")):
                anew = anew or it.wrote([each])
        self.assertEqual([(each["ivk"], each.get("colour")) for each in anew[:1]], [("a", "blue")])
        it.journal.renew(*anew)
        it.close()
        self.assertEqual(Shelf(PATH, disk).calls["a"].extra, {"colour": "blue"})

    def test_a_later_form_is_left_alone(self):
        disk = SimulatedDisk()
        it = self.shelf(disk)
        it.write([{"form": 2, "do": "take"}])
        it.close()
        with self.assertRaisesRegex(Later, "form 2"):
            Shelf(PATH, disk)
        Shelf(Path("/other"), disk)         # and is not held open


class Answers(unittest.TestCase):
    def test_an_answer_that_could_not_be_kept_is_not_told_before_it_is(self):
        # Guards an answer told and not kept: after a crash the same call was told as aborted.
        with tempfile.TemporaryDirectory() as folder:
            it = Live(1, extra=f"peers {{\n folder {folder}\n voter front-0 127.0.0.1:{free_port()}\n}}")
            disk = it.front.disk = FaultyDisk()
            with it, closing(it.client()) as client:
                until(lambda: it.front.replicated_services
                      and it.front.replicated_services.carrier.status()["holds"], 10)
                batching = it.front.replicated_services.batch_service
                answer = client.request("POST", "/v1/functions/check-a/calls", {
                    "Prefer": "respond-async", "Batch": "eve"}, b'{"mark":"m","work_ms":300}')
                ivk = answer.headers["activation"]
                until(lambda: batching.pending)
                disk.order("full")
                until(lambda: batching.last_failure)
                self.assertEqual(client.request("GET", f"/v1/calls/{ivk}").status, 202)
                until(lambda: client.request("GET", f"/v1/calls/{ivk}").status == 200)
                self.assertEqual(batching.store.calls[ivk].answer["final"], "completed")


class ForgetsThatItWentOut(BatchFrontEnd):
    def keep(self, records):
        return super().keep([each for each in records if each["do"] != "out"])


class TakesBackWhatBegan(BatchFrontEnd):
    def on_cancels(self, cancels):
        self.possibly_sent.clear()
        super().on_cancels(cancels)


class TellsBeforeItKeeps(BatchFrontEnd):
    def finish(self, it, final):
        self.world.record_final(it.ivk, final)
        super().finish(it, final)


class ClosesByItsOwnClock(BatchFrontEnd):
    def tick(self):
        now = self.node.clock(self.world.now)
        for id_ in self.cancels.open.values():
            it = self.cancels.all[id_]
            it.heard = it.heard or now
            if now - it.heard > it.window:
                for each in self.queue.over(it):
                    self.finish(each, "cancelled")
        super().tick()


class Drawn(unittest.TestCase):
    """Five front ends on a virtual clock, cut, frozen and killed (emulator/batches.py)."""

    def test_drawn_histories_keep_all_promises(self):
        finals = set()
        for seed in range(6):
            it = BatchSimulation(seed, seconds=15)
            it.run()
            finals |= set(it.finals.values())
        self.assertEqual(finals, {"completed", "rejected", "aborted", "cancelled"})

    def test_planted_faults_are_found(self):
        for front in (ForgetsThatItWentOut, TakesBackWhatBegan, TellsBeforeItKeeps, ClosesByItsOwnClock):
            with self.subTest(front.__name__), mock.patch("threadshift.emulator.batches.BatchFrontEnd", front), (
                    self.assertRaises(InvariantViolation)):
                for seed in range(8):
                    BatchSimulation(seed, seconds=15).run()


if __name__ == "__main__":
    unittest.main()
