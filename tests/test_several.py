"""Five front ends as processes, three of them voters, with cuts, standstills and kills between them."""
import unittest

from tests.drawn import play
from tests.several import Several
from tests.test_eviction import PACKAGE
from threadshift.audit import cluster
from threadshift.eviction.node import keeper


def line(event, worker="w0", **fields):
    return {"e": event, "worker": worker, **fields}


class Checker(unittest.TestCase):
    """For each promise a history that it must reject, and one that it must not."""

    def test_histories(self):
        keeps = keeper("f", ["w0", "w1"])
        pending, done, gone = ({"mark": "m", "status": status, "t": t}
                               for status, t in ((202, 1), (200, 5), (410, 5)))
        ran, again = ({"mark": "m", "effect": "once-only", "t": t} for t in (3, 9))
        state = {"rollout": "r", "stages": [0.0, 0.5], "stage": 0, "state": "going"}
        for found, promise in (
                (cluster.answers([pending, done, done], [ran]), None),
                (cluster.answers([done, pending], []), "done stays done"),
                (cluster.answers([done, gone], []), "one final answer"),
                (cluster.answers([done], [ran, again]), "no double effect"),
                (cluster.answers([done], [{**ran, "effect": "repeatable"}, {**again, "effect": "repeatable"}]), None),
                (cluster.answers([gone], [again]), "cancelled stays cancelled"),
                (cluster.evictions([line("epoch", epoch=n, policy="a") for n in (4, 9)]), None),
                (cluster.evictions([line("epoch", epoch=n, policy="a") for n in (9, 4)]), "epochs never go back"),
                (cluster.evictions([line("epoch", w, epoch=4, policy=w) for w in "ab"]), "one policy an epoch"),
                (cluster.evictions([line("evicted", keeps, function="f", others=["w0", "w1"], spare=True)]),
                 "one keeper"),
                (cluster.evictions([line("evicted", keeps, function="f", others=["w0", "w1"], spare=False)]), None),
                (cluster.stages([(state, {"a": "r", "b": "", "c": None})]), None),
                (cluster.stages([(state, {"a": "r", "b": "r", "c": ""})]), "at most the stage's share is new"),
                (cluster.stages([(state, {"a": "r", "b": "q"})]), "no third version")):
            self.assertEqual([each.promise for each in found], [promise] if promise else [])


class Together(unittest.TestCase):
    def settle(self, it, ids, allowed=(200, 502)):
        """All calls have their one final answer, and no mark ran twice at any worker."""
        it.until(lambda: all(all(it.finals(name, some)) for name, some in ids.items()), 40)
        for name, some in ids.items():
            self.assertLessEqual(set(it.finals(name, some)), set(allowed), name)
        self.assertEqual(max(it.runs().values()), 1)
        runs = [each for each in it.lines("run") if each["mark"]]
        self.assertEqual(cluster.answers(it.told, runs) + cluster.evictions(it.lines("epoch", "evicted")), [])

    def orders(self, it, name, path, wanted=200):
        """An order on a batch, given again until the record is heard."""
        found = []

        def given():
            found[:] = it.ask(name, "POST", path)
            return found[0] != 503
        it.until(given, 20)
        self.assertEqual(found[0], wanted, found)
        return found[1]

    def test_cancelled_and_restored_while_the_holder_stands_still_past_its_right(self):
        with Several() as it:
            holder = it.until(it.holder)
            ids = {name: it.submit(name, "eve", 12, work_ms=120) for name in it.names}
            told = self.orders(it, "f4", "/v1/batches/eve/cancel")
            self.assertEqual((told["not-heard"], told["stopped"]["waiting"]), ([], 0))
            self.assertEqual(sum(told["stopped"][each] for each in ("parked", "out", "done")), 60)
            self.assertGreater(told["stopped"]["parked"], 20)
            status, pending = it.ask("f3", "GET", f"/v1/calls/{ids['f3'][-1]}")
            self.assertEqual((status, pending["state"], pending["cancel"]["cancel"]),
                             (202, "parked", told["cancel"]))
            it.freeze(holder)
            other = next(name for name in it.names if name != holder)
            back = self.orders(it, other, f"/v1/cancels/{told['cancel']}/restore")
            self.assertEqual((back["state"], back["not-heard"]), ("restored", [holder]))
            it.wake(holder)
            self.settle(it, ids)
            terms = [it.record(name)["term"] for name in it.names]
            self.assertGreater(min(terms), 1)            # another came to hold, and all follow it
            self.assertEqual(it.ask(holder, "POST", f"/v1/cancels/{told['cancel']}/restore")[0], 200)
            self.assertEqual(it.ask(holder, "POST", "/v1/cancels/none/restore")[0], 404)
            # All have told which entries they read, so that a later form could be written one day.
            it.until(lambda: len(it.record("f0")["reads"]) == 5, 15)
            self.assertEqual(it.ask(holder, "POST", "/v1/batches/none/cancel")[0], 404)

    def test_killed_while_it_parks_a_front_end_brings_back_what_the_cancel_stopped(self):
        with Several(fronts=4, workers=2) as it:
            it.until(it.holder)
            ids = {"f3": it.submit("f3", "eve", 30, work_ms=150)}
            told = self.orders(it, "f0", "/v1/batches/eve/cancel")
            it.kill("f3")
            it.start("f3")
            it.until(lambda: it.status("f3"))
            it.until(lambda: it.record("f3")["applied"] >= it.record("f0")["applied"])
            status, shown = it.ask("f0", "GET", "/v1/batches/eve")
            self.assertEqual((status, shown["waiting"], shown["cancel"]["state"]), (200, 0, "open"))
            self.orders(it, "f1", f"/v1/cancels/{told['cancel']}/restore")
            self.settle(it, ids)
            # Those that were out when it was killed may have run: they are not sent again.
            self.assertGreaterEqual(it.finals("f3", ids["f3"]).count(200), told["stopped"]["parked"])

    def test_a_cut_minority_moves_nothing_and_goes_on_and_a_window_closes_by_the_records_word(self):
        with Several(undo="1s") as it:
            holder = it.until(it.holder)
            follower = "f4"
            ids = {follower: it.submit(follower, "eve", 10, work_ms=150)}
            it.cut([holder, follower], 30)
            status, problem = it.ask(follower, "POST", "/v1/batches/eve/cancel")
            self.assertEqual((status, problem["title"]), (503, "record not heard"))
            it.until(lambda: it.holder() not in ("", holder), 20)
            inside = next(name for name in it.names if name not in (holder, follower))
            ids[inside] = it.submit(inside, "eve", 30, work_ms=150)
            told = self.orders(it, inside, "/v1/batches/eve/cancel")
            self.assertEqual(sorted(told["not-heard"]), sorted([holder, follower]))
            # What a majority knows and has not come here is not said to be unknown: no 404.
            for path, admin, told_as in ((f"/v1/cancels/{told['cancel']}/restore", False, (503, "record not heard")),
                                         ("/v1/rollouts/abort", True, (409, "NotHeard"))):
                status, problem = it.ask(follower, "POST", path, admin=admin)
                self.assertEqual((status, problem["title"]), told_as, problem)
            it.until(lambda: all(it.finals(follower, ids[follower])), 30)       # who did not hear of it goes on
            it.heal()
            # Closed by then: what was parked is over as cancelled, what went on is done and stays so.
            self.settle(it, ids, (200, 410))
            self.assertEqual(it.finals(inside, ids[inside]).count(410), told["stopped"]["parked"])
            self.assertEqual(set(it.finals(follower, ids[follower])), {200})
            self.assertEqual(it.ask(inside, "POST", f"/v1/cancels/{told['cancel']}/restore")[0], 409)

    def test_drawn_mixtures_of_faults(self):
        for seed in (4, 9):
            broken, line = play(seed)
            self.assertEqual(broken, [], line)

    def test_a_disk_that_forgets_and_one_whose_sync_fails_lose_nothing_of_the_record(self):
        it = Several(fronts=3, workers=2)
        for name in it.names:
            it.disks[name] = it.folder / f"{name}.orders"
        with it:
            it.until(it.holder)
            ids = {"f2": it.submit("f2", "eve", 20, work_ms=200)}
            it.disks["f0"].write_text("forgets\n")      # says yes to every sync from here on, and keeps nothing
            told = self.orders(it, "f2", "/v1/batches/eve/cancel")
            it.kill("f0")
            it.disks["f0"].unlink()
            it.start("f0")
            it.until(lambda: (now := it.record("f0")) and not now["returning"] and now["applied"] >= 2, 20)
            self.assertEqual(it.ask("f0", "GET", "/v1/batches/eve")[1]["cancel"]["cancel"], told["cancel"])
            it.until(it.holder)
            it.disks["f1"].write_text("sync-fails 1\n")
            self.orders(it, "f0", f"/v1/cancels/{told['cancel']}/restore")
            it.until(lambda: it.record("f1")["doubt"])
            self.assertFalse(it.record("f1")["holds"])
            self.settle(it, ids)

    def test_all_at_once_a_bad_policy_a_rollout_and_a_batch_behind_a_one_way_cut_of_a_holder_that_stands_still(self):
        package = ("bad-policy", "bad", "Bad", PACKAGE)
        with Several(supervised=True, workers=4, memory_mb=120, package=package, undo="20s") as it:
            holder = it.until(it.holder)
            it.until(lambda: all(it.record(name) for name in it.names))
            ids = {name: it.submit(name, "eve", 10, work_ms=100) for name in it.names if name != holder}
            other, third = [name for name in it.names if name != holder][-2:]
            self.assertEqual(it.ask(other, "POST", "/v1/eviction", body=b'{"policy": "bad@1"}', admin=True)[0], 200)
            self.assertEqual(it.ask(other, "POST", "/v1/rollouts", admin=True, body=(
                b'{"settings": [["bounds", "idle", ["50s"]]], "hold-s": 2, "stages": [0, 1]}'))[0], 200)
            told = self.orders(it, third, "/v1/batches/eve/cancel")
            it.cut([holder], 6, "forth")        # it hears, and is not heard
            it.freeze(holder)
            self.orders(it, other, f"/v1/cancels/{told['cancel']}/restore")
            for n in range(40):                 # memory is short, and the bad policy is asked
                it.ask(third, "POST", f"/v1/functions/check-{n % 15}/calls", body=b"x")
            it.wake(holder)
            self.settle(it, ids)
            it.until(lambda: it.ask(third, "GET", "/v1/eviction", admin=True)[1]["policy"] == "longest-idle@1", 30)
            # With no traffic to compare it stands, or the holder's silence sent it back; never a third version.
            found = it.ask(other, "GET", "/v1/rollouts", admin=True)[1]
            self.assertLessEqual(set(found["runs"].values()) - {None}, {"", found["rollout"]})
            it.ask(other, "POST", "/v1/rollouts/abort", admin=True)
            it.until(lambda: set(it.ask(other, "GET", "/v1/rollouts", admin=True)[1]["runs"].values()) == {""}, 60)


if __name__ == "__main__":
    unittest.main()
