import random
import unittest
from pathlib import Path

from threadshift.consensus.keeper import LONG, Alone, Keeper
from threadshift.consensus.kept import Entry, Kept, Unfit, Unknown, entries_record, snapshot_record, term_record
from threadshift.consensus.member import Member, Timing, Voters, checked
from threadshift.emulator.disk import SimulatedDisk
from threadshift.emulator.explore import Budget, explore
from threadshift.emulator.record import FILE, InvariantViolation, ConsensusSimulation
from threadshift.interface import MS, SECOND
from threadshift.storage.journal import Journal

NOW = 100 * SECOND
T = Timing()


class Trio:
    """Voters a, b, c on one clock, whose messages arrive at once unless cut."""

    def __init__(self, names="abc", others=(), taking_part=True):
        self.now, self.cut, self.applied = NOW, set(), {}
        self.members = {name: Member(NOW, name, list(names), others, random.Random(name).random, Kept(), T)
                        for name in [*names, *others]}
        for each in self.members.values():
            if taking_part:
                each.returning = None
        self.pass_on()

    def __getitem__(self, name):
        return self.members[name]

    def pass_on(self):
        moved = True
        while moved:
            moved = False
            for name, member in self.members.items():
                effects = member.take()
                self.applied.setdefault(name, []).extend(each.entry.body for each in effects.told)
                for message in effects.messages:
                    moved = True
                    if not {(name, message.to), name, message.to} & self.cut:
                        getattr(self.members[message.to], message.kind)(self.now, name, **message.fields)

    def wait(self, ns, step=50 * MS):
        until = self.now + ns
        while self.now < until:
            self.now += step
            for name, member in self.members.items():
                if name not in self.cut:
                    member.tick(self.now)
            self.pass_on()

    def holder(self):
        return "".join(name for name, each in self.members.items() if each.holds(self.now))

    def say(self, n):
        index = self[self.holder()].propose(self.now, {"n": n})
        self.pass_on()
        return index


class Members(unittest.TestCase):
    def test_voters_are_one_three_or_five(self):
        for names, said in (("ab", "two voters stand still"), ("aba", "twice"), ("abcd", "4 voters"),
                            ("", "0 voters")):
            with self.assertRaisesRegex(Voters, said):
                checked(names)
        for names in ("a", "abc", "abcde"):
            self.assertEqual(checked(names), tuple(names))

    def test_one_of_three_comes_to_hold_and_all_are_told_entries_in_order(self):
        it = Trio(others=("f", "g"))
        it.wait(3 * SECOND)
        self.assertEqual(len(it.holder()), 1)
        for n in range(5):
            it.say(n)
        it.wait(SECOND)
        for name in "abcfg":
            self.assertEqual([each["n"] for each in it.applied[name] if "n" in each], [0, 1, 2, 3, 4], name)
            self.assertLess(it[name].age(it.now), SECOND)

    def test_a_voter_that_starts_abstains_asks_and_then_takes_part(self):
        it = Trio(taking_part=False)
        it.wait(T.lease)
        self.assertTrue(all(each.returning for each in it.members.values()))
        it.wait(4 * SECOND)
        self.assertEqual(len(it.holder()), 1)

    def test_with_one_of_three_away_a_voter_that_started_waits_for_both_others(self):
        # Guards a file rolled back unnoticed: with one other heard alone its forgotten vote would count twice.
        it = Trio(taking_part=False)
        it.cut = {"c"}
        it.wait(20 * SECOND)
        self.assertEqual(it.holder(), "")
        it.cut = set()
        it.wait(4 * SECOND)
        self.assertEqual(len(it.holder()), 1)

    def test_a_holder_cut_off_loses_its_right_before_another_has_it_and_is_not_unseated_when_it_is_not(self):
        it = Trio()
        it.wait(3 * SECOND)
        first = it.holder()
        other = next(name for name in "abc" if name != first)
        it.cut = {other}
        it.wait(20 * SECOND)
        self.assertEqual((it.holder(), it[first].term), (first, it[first].term))
        term, it.cut = it[first].term, set()
        it.wait(3 * SECOND)
        self.assertEqual((it.holder(), it[first].term), (first, term))     # who was away begins no term
        it.cut = {first}
        it.wait(T.lease)
        self.assertEqual(it.holder(), "")
        it.wait(2 * T.lease)
        self.assertNotIn(it.holder(), ("", first))

    def test_woken_from_a_standstill_a_holder_knows_that_its_right_is_over(self):
        it = Trio()
        it.wait(3 * SECOND)
        frozen = it[it.holder()]
        self.assertTrue(frozen.holds(it.now))
        self.assertFalse(frozen.holds(it.now + T.lease))
        self.assertIsNone(frozen.propose(it.now + T.lease, {"n": 1}))

    def test_heard_by_none_a_holder_steps_down_so_that_others_may_stand(self):
        it = Trio()
        it.wait(3 * SECOND)
        first = it.holder()
        it.cut = {(other, first) for other in "abc"}        # it is heard, and hears nothing
        it.wait(5 * T.lease)
        self.assertNotIn(it.holder(), ("", first))

    def test_handed_over_another_holds_within_a_beat(self):
        it = Trio()
        it.wait(3 * SECOND)
        first = it.holder()
        it[first].hand_over(it.now)
        self.assertEqual(it.holder(), "")
        it.pass_on()
        it.wait(T.beat)
        self.assertNotIn(it.holder(), ("", first))
        it.wait(10 * SECOND)
        self.assertNotEqual(it.holder(), first)             # it leaves, and does not stand again

    def test_in_doubt_about_its_file_a_member_votes_for_none_and_counts_for_nothing(self):
        it = Trio()
        it.wait(3 * SECOND)
        first = it.holder()
        others = [name for name in "abc" if name != first]
        for name in others:
            it[name].doubt("no sync")
        it[first].propose(it.now, {"n": 1})
        it.wait(3 * T.lease)
        self.assertEqual(it.holder(), "")                   # one keeps, that is no majority
        self.assertNotIn({"n": 1}, it.applied[first])

    def test_an_entry_counts_only_by_answers_younger_than_the_lease(self):
        it = Trio()
        it.wait(3 * SECOND)
        holder = it[it.holder()]
        at = holder.peers[next(iter(holder.peers))].at
        holder.log.append(Entry(holder.term, {"n": 9}))
        for each in holder.peers.values():
            each.match = holder.last_index
        holder.advance(at + T.lease)
        self.assertLess(holder.commit, holder.last_index)
        holder.advance(at + MS)
        self.assertEqual(holder.commit, holder.last_index)

    def test_one_voter_alone_holds_and_is_followed(self):
        it = Trio("a", others=("f",))
        it.wait(3 * SECOND)
        self.assertEqual(it.holder(), "a")
        it.say(1)
        it.wait(2 * SECOND)
        self.assertIn({"n": 1}, it.applied["f"])

    def test_who_was_away_for_long_is_brought_up_by_a_snapshot(self):
        it = Trio(others=("f",))
        it.wait(3 * SECOND)
        it.cut = {"f"}
        for n in range(4):
            it.say(n)
        holder = it[it.holder()]
        holder.compact({"all": "so far"})
        it.say(9)
        it.cut = set()
        it.wait(2 * SECOND)
        self.assertEqual((it["f"].state, it["f"].applied), ({"all": "so far"}, holder.applied))
        self.assertEqual(it.applied["f"][-1], {"n": 9})


class Files(unittest.TestCase):
    def keeper(self, disk, voters="abc"):
        return Keeper(NOW, FILE, "a", list(voters), (), lambda: 0.5, disk)

    def test_what_was_kept_is_read_again(self):
        records = [term_record(3, "b"), entries_record(1, [Entry(1, {"x": 1}), Entry(3, {"x": 2})]),
                   entries_record(2, [Entry(4, {"x": 3})]), snapshot_record((1, 1), {"s": 1}),
                   entries_record(2, [Entry(4, {"x": 3})]), term_record(4, "")]
        it = Kept.of(records)
        self.assertEqual((it.term, it.vote, it.base, it.state, it.log),
                         (4, "", (1, 1), {"s": 1}, [Entry(4, {"x": 3})]))

    def test_a_later_form_is_left_alone_and_what_does_not_follow_is_told(self):
        with self.assertRaisesRegex(Unknown, "form 2"):
            Kept.of([{"form": 2, "term": 1, "vote": ""}])
        for records in ([entries_record(2, [Entry(1, {})])], [{"form": 1, "term": 1}],
                        [{"form": 1, "entries": [[1]], "at": 1}]):
            with self.assertRaises(Unfit):
                Kept.of(records)

    def test_a_damaged_file_is_put_aside_with_others_up_and_refused_alone(self):
        for voters in ("abc", "a"):
            disk = SimulatedDisk()
            it = self.keeper(disk, voters)
            it.journal.append(term_record(1, "a"), term_record(2, "a"))
            it.journal.append(term_record(3, "a"))
            it.close()
            disk.flip(FILE, 3)
            if voters == "a":
                with self.assertRaisesRegex(Alone, "no record begins"):
                    self.keeper(disk, voters)
                continue
            it = self.keeper(disk)
            self.assertIn("no record begins", it.aside)
            self.assertEqual((it.member.term, bool(it.member.returning)), (0, True))
            self.assertTrue(disk.read(Path("/record.damaged")))

    def test_a_sync_that_fails_throws_away_what_was_about_to_be_said(self):
        disk = SimulatedDisk()
        it = self.keeper(disk, "a")
        disk.refuse = {"sync"}
        it.member.tick(NOW + 10 * SECOND)
        self.assertFalse(it.keep(it.member.take()))
        self.assertIn("no sync", it.member.doubtful)
        self.assertEqual(it.member.take().told, [])
        self.assertFalse(it.member.holds(NOW + 10 * SECOND))

    def test_the_file_begins_anew_once_it_is_long(self):
        disk = SimulatedDisk()
        it = self.keeper(disk, "a")
        it.member.tick(NOW + 10 * SECOND)
        applied = 0
        for n in range(LONG + 20):
            it.member.propose(NOW + 10 * SECOND, {"n": n})
            effects = it.member.take()
            self.assertTrue(it.keep(effects))
            applied += len(effects.told)
            it.shorten(lambda so_far=applied: {"n": so_far})
        self.assertTrue(it.keep(it.member.take()))
        it.close()
        self.assertLess(len(list(Journal(FILE, disk=disk).read())), 40)
        it = self.keeper(disk, "a")
        self.assertEqual(it.member.last_index, applied)
        self.assertEqual(it.member.take().told[0].state, {"n": LONG})


class NoVotesKept(Keeper):
    def keep(self, effects):
        return super().keep(effects._replace(records=[
            each for each in effects.records if "vote" not in each or "state" in each]))


class FileAlone(Keeper):
    def __init__(self, *words, **named):
        super().__init__(*words, **named)
        self.member.returning = None


class NoCheckOnWaking(Keeper):
    def __init__(self, *words, **named):
        super().__init__(*words, **named)
        it = self.member
        looked, tick = [0], it.tick
        it.tick = lambda now: (looked.__setitem__(0, now), tick(now))
        it.holds = lambda now: Member.holds(it, looked[0])


class LongRight(Keeper):
    def __init__(self, *words, **named):
        super().__init__(*words, **named)
        it = self.member
        it.lease_of_mine = lambda: it.timing.lease * 3 // 2


class LongRightMember(Member):
    def lease_of_mine(self):
        return 2 * self.timing.lease


class FileAloneMember(Member):
    def __init__(self, *words, **named):
        super().__init__(*words, **named)
        self.returning = None


NONE = Budget(0, 0, 0, 0, 0, 0, 0)
ON_TWO = ("a proposes", "b hears told of a", "a hears had of b")     # committed by a and b; c has not heard of it


class Drawn(unittest.TestCase):
    """Histories of processes, links and disks that fail (emulator/record.py); every seed the same verdict."""

    def test_drawn_histories_keep_all_promises(self):
        for voters, others, seeds in ((3, 2, 60), (5, 2, 12), (1, 2, 8)):
            for seed in range(seeds):
                it = ConsensusSimulation(seed, voters, others, lies=voters > 1)
                it.run()
        self.assertTrue(it.committed)

    def test_planted_faults_are_found(self):
        for make, seeds in ((NoVotesKept, 10), (FileAlone, 12), (LongRight, 10), (NoCheckOnWaking, 100)):
            with self.subTest(make.__name__), self.assertRaises(InvariantViolation):
                for seed in range(seeds if make is not NoCheckOnWaking else 94):
                    ConsensusSimulation(seed if make is not NoCheckOnWaking else 93 - seed, 3, 0, make=make).run()


class Explored(unittest.TestCase):
    """All orders of events to a depth (emulator/explore.py)."""

    def test_no_order_of_events_breaks_a_promise(self):
        for depth, budget, path in ((4, Budget(2, 1, 1, 1, 1, 1, 1), ()), (6, Budget(2, 0, 0, 1, 1, 0, 0), ON_TWO)):
            states, whole = explore(depth, budget=budget, path=path)
            self.assertEqual(whole, depth)
            self.assertGreater(states, 1000)

    def test_planted_faults_are_found(self):
        with self.assertRaisesRegex(InvariantViolation, "are leaders at the same time"):
            explore(7, make=LongRightMember, budget=NONE, path=("time passes", "a stands still"))
        after = (*ON_TWO, "b is killed, its file goes back", *3 * ["time passes"], "c ticks")
        with self.assertRaisesRegex(InvariantViolation, "entry 2 is"):
            explore(8, make=FileAloneMember, budget=NONE, path=after)
        states, _ = explore(8, budget=NONE, path=after)
        self.assertGreater(states, 10)


if __name__ == "__main__":
    unittest.main()
