"""Five front ends as processes, three of them voters, with partitions, stopped processes and kills."""
import unittest

from tests.drawn import play
from tests.cluster import Cluster
from tests.test_eviction import PACKAGE
from threadshift.audit import cluster
from threadshift.eviction.node import last_copy_holder


def line(event, worker="w0", **fields):
    return {"e": event, "worker": worker, **fields}


class Checker(unittest.TestCase):
    """For each guarantee a history that the audit must reject, and one that it must not."""

    def test_histories(self):
        keeps = last_copy_holder("f", ["w0", "w1"])
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
    """Batches over front ends that replicate a log, while some of them fail."""

    def check_settled(self, it, ids, allowed=(200, 502)):
        """Checks that all calls have their one final answer and that no mark ran twice at any worker."""
        it.until(lambda: all(all(it.answer_statuses(name, some)) for name, some in ids.items()), 40)
        for name, some in ids.items():
            self.assertLessEqual(set(it.answer_statuses(name, some)), set(allowed), name)
        self.assertEqual(max(it.run_counts().values()), 1)
        runs = [each for each in it.events("run") if each["mark"]]
        self.assertEqual(cluster.answers(it.client_answers, runs)
                         + cluster.evictions(it.events("epoch", "evicted")), [])

    def order_batch(self, it, name, path, wanted=200):
        """Sends an order on a batch, again until the replicated log can be reached; returns the answer."""
        found = []

        def given():
            found[:] = it.request(name, "POST", path)
            return found[0] != 503
        it.until(given, 20)
        self.assertEqual(found[0], wanted, found)
        return found[1]

    def test_cancelled_and_restored_while_the_holder_stands_still_past_its_right(self):
        with Cluster() as it:
            holder = it.until(it.leader)
            ids = {name: it.submit(name, "eve", 12, work_ms=120) for name in it.names}
            told = self.order_batch(it, "f4", "/v1/batches/eve/cancel")
            self.assertEqual((told["not-heard"], told["stopped"]["waiting"]), ([], 0))
            self.assertEqual(sum(told["stopped"][each] for each in ("parked", "out", "done")), 60)
            self.assertGreater(told["stopped"]["parked"], 20)
            status, pending = it.request("f3", "GET", f"/v1/calls/{ids['f3'][-1]}")
            self.assertEqual((status, pending["state"], pending["cancel"]["cancel"]),
                             (202, "parked", told["cancel"]))
            it.freeze(holder)
            other = next(name for name in it.names if name != holder)
            back = self.order_batch(it, other, f"/v1/cancels/{told['cancel']}/restore")
            self.assertEqual((back["state"], back["not-heard"]), ("restored", [holder]))
            it.resume(holder)
            self.check_settled(it, ids)
            terms = [it.log_status(name)["term"] for name in it.names]
            self.assertGreater(min(terms), 1)            # another came to hold, and all follow it
            self.assertEqual(it.request(holder, "POST", f"/v1/cancels/{told['cancel']}/restore")[0], 200)
            self.assertEqual(it.request(holder, "POST", "/v1/cancels/none/restore")[0], 404)
            # All have told which entries they read, so that a later form could be written one day.
            it.until(lambda: len(it.log_status("f0")["reads"]) == 5, 15)
            self.assertEqual(it.request(holder, "POST", "/v1/batches/none/cancel")[0], 404)

    def test_front_end_killed_while_it_parks_calls_restores_them(self):
        with Cluster(fronts=4, workers=2) as it:
            it.until(it.leader)
            ids = {"f3": it.submit("f3", "eve", 30, work_ms=150)}
            cancelled = self.order_batch(it, "f0", "/v1/batches/eve/cancel")
            it.kill("f3")
            it.start("f3")
            it.until(lambda: it.status("f3"))
            it.until(lambda: it.log_status("f3")["applied"] >= it.log_status("f0")["applied"])
            status, shown = it.request("f0", "GET", "/v1/batches/eve")
            self.assertEqual((status, shown["waiting"], shown["cancel"]["state"]), (200, 0, "open"))
            self.order_batch(it, "f1", f"/v1/cancels/{cancelled['cancel']}/restore")
            self.check_settled(it, ids)
            # Calls that were out when the front end was killed may have run: they are not sent again.
            self.assertGreaterEqual(it.answer_statuses("f3", ids["f3"]).count(200), cancelled["stopped"]["parked"])

    def test_minority_behind_a_partition_cannot_cancel_and_the_log_closes_the_window(self):
        with Cluster(undo="1s") as it:
            leader = it.until(it.leader)
            follower = "f4"
            ids = {follower: it.submit(follower, "eve", 10, work_ms=150)}
            it.cut([leader, follower], 30)
            status, problem = it.request(follower, "POST", "/v1/batches/eve/cancel")
            self.assertEqual((status, problem["title"]), (503, "record not heard"))
            it.until(lambda: it.leader() not in ("", leader), 20)
            member = next(name for name in it.names if name not in (leader, follower))
            ids[member] = it.submit(member, "eve", 30, work_ms=150)
            cancelled = self.order_batch(it, member, "/v1/batches/eve/cancel")
            self.assertEqual(sorted(cancelled["not-heard"]), sorted([leader, follower]))
            # A cancel that the majority knows and this front end does not is not reported as unknown with a 404.
            for path, admin, expected in (
                    (f"/v1/cancels/{cancelled['cancel']}/restore", False, (503, "record not heard")),
                    ("/v1/rollouts/abort", True, (409, "NotHeard"))):
                status, problem = it.request(follower, "POST", path, admin=admin)
                self.assertEqual((status, problem["title"]), expected, problem)
            # The front end that did not hear of the cancel goes on.
            it.until(lambda: all(it.answer_statuses(follower, ids[follower])), 30)
            it.heal()
            # The cancel is closed by then: parked calls ended as cancelled, and those that went on stay done.
            self.check_settled(it, ids, (200, 410))
            self.assertEqual(it.answer_statuses(member, ids[member]).count(410), cancelled["stopped"]["parked"])
            self.assertEqual(set(it.answer_statuses(follower, ids[follower])), {200})
            self.assertEqual(it.request(member, "POST", f"/v1/cancels/{cancelled['cancel']}/restore")[0], 409)

    def test_random_mixtures_of_faults(self):
        for seed in (4, 9):
            violations, history = play(seed)
            self.assertEqual(violations, [], history)

    def test_disks_that_forget_or_fail_to_sync_lose_no_log_entries(self):
        it = Cluster(fronts=3, workers=2)
        for name in it.names:
            it.disk_orders[name] = it.folder / f"{name}.orders"
        with it:
            it.until(it.leader)
            ids = {"f2": it.submit("f2", "eve", 20, work_ms=200)}
            it.disk_orders["f0"].write_text("forgets\n")      # from now on confirms each sync and stores nothing
            cancelled = self.order_batch(it, "f2", "/v1/batches/eve/cancel")
            it.kill("f0")
            it.disk_orders["f0"].unlink()
            it.start("f0")
            it.until(lambda: (now := it.log_status("f0")) and not now["returning"] and now["applied"] >= 2, 20)
            self.assertEqual(it.request("f0", "GET", "/v1/batches/eve")[1]["cancel"]["cancel"], cancelled["cancel"])
            it.until(it.leader)
            it.disk_orders["f1"].write_text("sync-fails 1\n")
            self.order_batch(it, "f0", f"/v1/cancels/{cancelled['cancel']}/restore")
            it.until(lambda: it.log_status("f1")["doubt"])
            self.assertFalse(it.log_status("f1")["holds"])
            self.check_settled(it, ids)

    def test_bad_policy_rollout_and_batch_while_the_leader_is_cut_off_one_way_and_stopped(self):
        package = ("bad-policy", "bad", "Bad", PACKAGE)
        with Cluster(supervised=True, workers=4, memory_mb=120, package=package, undo="20s") as it:
            leader = it.until(it.leader)
            it.until(lambda: all(it.log_status(name) for name in it.names))
            ids = {name: it.submit(name, "eve", 10, work_ms=100) for name in it.names if name != leader}
            other, third = [name for name in it.names if name != leader][-2:]
            self.assertEqual(it.request(other, "POST", "/v1/eviction", body=b'{"policy": "bad@1"}',
                                        admin=True)[0], 200)
            self.assertEqual(it.request(other, "POST", "/v1/rollouts", admin=True, body=(
                b'{"settings": [["bounds", "idle", ["50s"]]], "hold-s": 2, "stages": [0, 1]}'))[0], 200)
            cancelled = self.order_batch(it, third, "/v1/batches/eve/cancel")
            it.cut([leader], 6, "forth")        # it receives, but what it sends is lost
            it.freeze(leader)
            self.order_batch(it, other, f"/v1/cancels/{cancelled['cancel']}/restore")
            for n in range(40):                 # memory gets short, so the bad policy is called
                it.request(third, "POST", f"/v1/functions/check-{n % 15}/calls", body=b"x")
            it.resume(leader)
            self.check_settled(it, ids)
            it.until(lambda: it.request(third, "GET", "/v1/eviction",
                                        admin=True)[1]["policy"] == "longest-idle@1", 30)
            # With no traffic to compare the rollout waits, or the leader's silence made it go back. There is never a
            # third version.
            found = it.request(other, "GET", "/v1/rollouts", admin=True)[1]
            self.assertLessEqual(set(found["runs"].values()) - {None}, {"", found["rollout"]})
            it.request(other, "POST", "/v1/rollouts/abort", admin=True)
            it.until(lambda: set(it.request(other, "GET", "/v1/rollouts",
                                            admin=True)[1]["runs"].values()) == {""}, 60)


if __name__ == "__main__":
    unittest.main()
