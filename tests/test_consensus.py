import random
import unittest
from pathlib import Path
from unittest import mock

from threadshift.consensus.durable_member import COMPACT_AFTER_ENTRIES, SoleVoterDamaged, DurableMember
from threadshift.consensus.persistent_state import (
    LogEntry,
    PersistentState,
    InvalidLog,
    UnsupportedVersion,
    entries_record,
    snapshot_record,
    term_record,
)
from threadshift.consensus.member import Member, Timing, InvalidVoters, check_voters
from threadshift.emulator.disk import SimulatedDisk
from threadshift.emulator.explore import Budget, explore
from threadshift.emulator.record import FILE, InvariantViolation, ConsensusSimulation
from threadshift.interface import MS, SECOND
from threadshift.peers.queries import query_peers
from threadshift.storage.journal import Journal

NOW = 100 * SECOND
TIMING = Timing()


class Group:
    """Members on one clock, by default the voters a, b, c. Their messages arrive at once.

    `cut` has the names of members without connections, or (sender, receiver) for one direction of one connection."""

    def __init__(self, names="abc", others=(), is_recovered=True):
        self.now, self.cut, self.applied = NOW, set(), {}
        self.members = {name: Member(NOW, name, list(names), others, random.Random(name).random, PersistentState(),
                                     TIMING)
                        for name in [*names, *others]}
        for each in self.members.values():
            if is_recovered:
                each.recovery = None
        self.deliver()

    def __getitem__(self, name):
        return self.members[name]

    def deliver(self):
        moved = True
        while moved:
            moved = False
            for name, member in self.members.items():
                output = member.take_output()
                self.applied.setdefault(name, []).extend(each.entry.body for each in output.committed)
                for message in output.messages:
                    moved = True
                    if not {(name, message.to), name, message.to} & self.cut:
                        self.members[message.to].receive(self.now, name, message.kind, message.fields)

    def advance(self, ns, step=50 * MS):
        until = self.now + ns
        while self.now < until:
            self.now += step
            for name, member in self.members.items():
                if name not in self.cut:
                    member.tick(self.now)
            self.deliver()

    def leader(self):
        return "".join(name for name, each in self.members.items() if each.holds_lease(self.now))

    def propose_number(self, n):
        index = self[self.leader()].propose(self.now, {"n": n})
        self.deliver()
        return index


class Members(unittest.TestCase):
    def test_voters_are_one_three_or_five(self):
        for names, message in (("ab", "two voters stand still"), ("aba", "twice"), ("abcd", "4 voters"),
                               ("", "0 voters")):
            with self.assertRaisesRegex(InvalidVoters, message):
                check_voters(names)
        for names in ("a", "abc", "abcde"):
            self.assertEqual(check_voters(names), tuple(names))

    def test_one_of_three_becomes_leader_and_all_apply_entries_in_order(self):
        group = Group(others=("f", "g"))
        group.advance(3 * SECOND)
        self.assertEqual(len(group.leader()), 1)
        for n in range(5):
            group.propose_number(n)
        group.advance(SECOND)
        for name in "abcfg":
            self.assertEqual([each["n"] for each in group.applied[name] if "n" in each], [0, 1, 2, 3, 4], name)
            self.assertLess(group[name].staleness(group.now), SECOND)

    def test_voter_that_starts_abstains_queries_the_others_and_takes_part(self):
        group = Group(is_recovered=False)
        group.advance(TIMING.lease)
        self.assertTrue(all(each.recovery for each in group.members.values()))
        group.advance(4 * SECOND)
        self.assertEqual(len(group.leader()), 1)

    def test_voter_that_starts_waits_for_both_other_voters(self):
        # Guards against a file that was rolled back without notice: with an answer from only one other voter, a voter
        # that lost its vote could vote twice in the same term.
        group = Group(is_recovered=False)
        group.cut = {"c"}
        group.advance(20 * SECOND)
        self.assertEqual(group.leader(), "")
        group.cut = set()
        group.advance(4 * SECOND)
        self.assertEqual(len(group.leader()), 1)

    def test_isolated_leader_loses_its_lease_before_the_next_and_a_returning_voter_does_not_replace_it(self):
        group = Group()
        group.advance(3 * SECOND)
        first = group.leader()
        other = next(name for name in "abc" if name != first)
        group.cut = {other}
        group.advance(20 * SECOND)
        self.assertEqual((group.leader(), group[first].term), (first, group[first].term))
        term, group.cut = group[first].term, set()
        group.advance(3 * SECOND)
        self.assertEqual((group.leader(), group[first].term), (first, term))     # the returning voter starts no term
        group.cut = {first}
        group.advance(TIMING.lease)
        self.assertEqual(group.leader(), "")
        group.advance(2 * TIMING.lease)
        self.assertNotIn(group.leader(), ("", first))

    def test_leader_that_resumes_after_a_suspension_has_no_lease(self):
        group = Group()
        group.advance(3 * SECOND)
        frozen = group[group.leader()]
        self.assertTrue(frozen.holds_lease(group.now))
        self.assertFalse(frozen.holds_lease(group.now + TIMING.lease))
        self.assertIsNone(frozen.propose(group.now + TIMING.lease, {"n": 1}))

    def test_leader_that_receives_nothing_steps_down_for_another(self):
        group = Group()
        group.advance(3 * SECOND)
        first = group.leader()
        group.cut = {(other, first) for other in "abc"}        # it can send but not receive
        group.advance(5 * TIMING.lease)
        self.assertNotIn(group.leader(), ("", first))

    def test_leadership_is_transferred_within_a_heartbeat_interval(self):
        group = Group()
        group.advance(3 * SECOND)
        first = group.leader()
        group[first].transfer_leadership(group.now)
        self.assertEqual(group.leader(), "")
        group.deliver()
        group.advance(TIMING.heartbeat_interval)
        self.assertNotIn(group.leader(), ("", first))
        group.advance(10 * SECOND)
        self.assertNotEqual(group.leader(), first)             # it has resigned and is no candidate again

    def test_failed_member_does_not_vote_and_counts_towards_no_majority(self):
        group = Group()
        group.advance(3 * SECOND)
        first = group.leader()
        others = [name for name in "abc" if name != first]
        for name in others:
            group[name].mark_failed("no sync")
        group[first].propose(group.now, {"n": 1})
        group.advance(3 * TIMING.lease)
        self.assertEqual(group.leader(), "")                   # one of three has stored the entry
        self.assertNotIn({"n": 1}, group.applied[first])

    def test_entry_is_committed_only_by_answers_younger_than_the_lease(self):
        group = Group()
        group.advance(3 * SECOND)
        leader = group[group.leader()]
        at = leader.progress[next(iter(leader.progress))].acknowledged_at
        leader.log.append(LogEntry(leader.term, {"n": 9}))
        for each in leader.progress.values():
            each.match_index = leader.last_index
        leader.advance_commit_index(at + TIMING.lease)
        self.assertLess(leader.commit_index, leader.last_index)
        leader.advance_commit_index(at + MS)
        self.assertEqual(leader.commit_index, leader.last_index)

    def test_single_voter_leads_and_replicates_to_non_voters(self):
        group = Group("a", others=("f",))
        group.advance(3 * SECOND)
        self.assertEqual(group.leader(), "a")
        group.propose_number(1)
        group.advance(2 * SECOND)
        self.assertIn({"n": 1}, group.applied["f"])

    def test_member_far_behind_receives_a_snapshot(self):
        group = Group(others=("f",))
        group.advance(3 * SECOND)
        group.cut = {"f"}
        for n in range(4):
            group.propose_number(n)
        leader = group[group.leader()]
        leader.compact({"all": "so far"})
        group.propose_number(9)
        group.cut = set()
        group.advance(2 * SECOND)
        self.assertEqual((group["f"].state, group["f"].applied_index), ({"all": "so far"}, leader.applied_index))
        self.assertEqual(group.applied["f"][-1], {"n": 9})


class StoredFiles(unittest.TestCase):
    def open_member(self, disk, voters="abc"):
        return DurableMember(NOW, FILE, "a", list(voters), (), lambda: 0.5, disk)

    def test_state_is_read_from_its_records(self):
        records = [term_record(3, "b"), entries_record(1, [LogEntry(1, {"x": 1}), LogEntry(3, {"x": 2})]),
                   entries_record(2, [LogEntry(4, {"x": 3})]), snapshot_record((1, 1), {"s": 1}),
                   entries_record(2, [LogEntry(4, {"x": 3})]), term_record(4, "")]
        state = PersistentState.from_records(records)
        self.assertEqual((state.term, state.vote, state.base, state.state, state.log),
                         (4, "", (1, 1), {"s": 1}, [LogEntry(4, {"x": 3})]))

    def test_later_form_and_inconsistent_records_are_rejected(self):
        with self.assertRaisesRegex(UnsupportedVersion, "form 2"):
            PersistentState.from_records([{"form": 2, "term": 1, "vote": ""}])
        for records in ([entries_record(2, [LogEntry(1, {})])], [{"form": 1, "term": 1}],
                        [{"form": 1, "entries": [[1]], "at": 1}]):
            with self.assertRaises(InvalidLog):
                PersistentState.from_records(records)

    def test_damaged_file_is_moved_aside_except_by_a_sole_voter(self):
        for voters in ("abc", "a"):
            disk = SimulatedDisk()
            durable_member = self.open_member(disk, voters)
            durable_member.journal.append(term_record(1, "a"), term_record(2, "a"))
            durable_member.journal.append(term_record(3, "a"))
            durable_member.close()
            disk.flip(FILE, 3)
            if voters == "a":
                with self.assertRaisesRegex(SoleVoterDamaged, "no record begins"):
                    self.open_member(disk, voters)
                continue
            durable_member = self.open_member(disk)
            self.assertIn("no record begins", durable_member.quarantine_reason)
            self.assertEqual((durable_member.member.term, bool(durable_member.member.recovery)), (0, True))
            self.assertTrue(disk.read(Path("/record.damaged")))

    def test_output_is_discarded_if_the_sync_fails(self):
        disk = SimulatedDisk()
        durable_member = self.open_member(disk, "a")
        disk.refuse = {"sync"}
        durable_member.member.tick(NOW + 10 * SECOND)
        self.assertFalse(durable_member.persist(durable_member.member.take_output()))
        self.assertIn("no sync", durable_member.member.failure)
        self.assertEqual(durable_member.member.take_output().committed, [])
        self.assertFalse(durable_member.member.holds_lease(NOW + 10 * SECOND))

    def test_long_file_is_compacted(self):
        disk = SimulatedDisk()
        durable_member = self.open_member(disk, "a")
        durable_member.member.tick(NOW + 10 * SECOND)
        applied = 0
        for n in range(COMPACT_AFTER_ENTRIES + 20):
            durable_member.member.propose(NOW + 10 * SECOND, {"n": n})
            output = durable_member.member.take_output()
            self.assertTrue(durable_member.persist(output))
            applied += len(output.committed)
            durable_member.compact_if_long(lambda so_far=applied: {"n": so_far})
        self.assertTrue(durable_member.persist(durable_member.member.take_output()))
        durable_member.close()
        self.assertLess(len(list(Journal(FILE, disk=disk).read())), 40)
        durable_member = self.open_member(disk, "a")
        self.assertEqual(durable_member.member.last_index, applied)
        self.assertEqual(durable_member.member.take_output().committed[0].state, {"n": COMPACT_AFTER_ENTRIES})


class LosesVotes(DurableMember):
    """Planted fault: terms and votes are not written."""

    def persist(self, output):
        return super().persist(output._replace(records=[
            each for each in output.records if "vote" not in each or "state" in each]))


class TrustsFile(DurableMember):
    """Planted fault: a voter that starts takes part at once."""

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.member.recovery = None


class StaleLeaseCheck(DurableMember):
    """Planted fault: the lease is checked by the time of the last tick."""

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        member = self.member
        last_tick, tick = [0], member.tick
        member.tick = lambda now: (last_tick.__setitem__(0, now), tick(now))
        member.holds_lease = lambda now: Member.holds_lease(member, last_tick[0])


class LongLease(DurableMember):
    """Planted fault: a leader counts on a lease longer than that of the voters."""

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        member = self.member
        member.leader_lease = lambda: member.timing.lease * 3 // 2


class LongLeaseMember(Member):
    """Planted fault: a leader counts on a lease longer than that of the voters."""

    def leader_lease(self):
        return 2 * self.timing.lease


class TrustsFileMember(Member):
    """Planted fault: a voter that starts takes part at once."""

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.recovery = None


NO_EVENTS = Budget(0, 0, 0, 0, 0, 0, 0)
# An entry is committed by a and b; c has not received it.
COMMITTED_BY_TWO = ("a proposes", "b hears told of a", "a hears had of b")


class RandomHistories(unittest.TestCase):
    """Random histories with failing processes, links and disks (emulator/record.py), reproducible by their seeds."""

    def test_random_histories_keep_the_invariants(self):
        for voters, others, seeds in ((3, 2, 60), (5, 2, 12), (1, 2, 8)):
            for seed in range(seeds):
                history = ConsensusSimulation(seed, voters, others, lies=voters > 1)
                history.run()
        self.assertTrue(history.committed)

    def test_planted_faults_are_found(self):
        for make, seeds in ((LosesVotes, 10), (TrustsFile, 12), (LongLease, 10), (StaleLeaseCheck, 100)):
            with self.subTest(make.__name__), self.assertRaises(InvariantViolation):
                for seed in range(seeds if make is not StaleLeaseCheck else 94):
                    ConsensusSimulation(seed if make is not StaleLeaseCheck else 93 - seed, 3, 0, make=make).run()


class ExploredHistories(unittest.TestCase):
    """All orders of events up to a depth (emulator/explore.py)."""

    def test_no_order_of_events_breaks_an_invariant(self):
        for depth, budget, path in ((4, Budget(2, 1, 1, 1, 1, 1, 1), ()),
                                    (6, Budget(2, 0, 0, 1, 1, 0, 0), COMMITTED_BY_TWO)):
            states, whole = explore(depth, budget=budget, path=path)
            self.assertEqual(whole, depth)
            self.assertGreater(states, 1000)

    def test_planted_faults_are_found(self):
        with self.assertRaisesRegex(InvariantViolation, "are leaders at the same time"):
            explore(7, make=LongLeaseMember, budget=NO_EVENTS, path=("time passes", "a stands still"))
        after = (*COMMITTED_BY_TWO, "b is killed, its file goes back", *3 * ["time passes"], "c ticks")
        with self.assertRaisesRegex(InvariantViolation, "entry 2 is"):
            explore(8, make=TrustsFileMember, budget=NO_EVENTS, path=after)
        states, _ = explore(8, budget=NO_EVENTS, path=after)
        self.assertGreater(states, 10)


class Queries(unittest.TestCase):
    """Guards against replies of peers that have not applied yet what the asker has seen committed."""

    class Peer:
        """A link to a peer that has applied one more entry at each query, up to a last one."""

        def __init__(self, applied, last):
            self.applied, self.last = applied, last

        def query(self, what, fields, limit):
            self.applied = min(self.applied + 1, self.last)
            return {"applied": self.applied}

    def test_peers_are_asked_until_they_have_applied_the_entry(self):
        links = {"late": self.Peer(2, 5), "stuck": self.Peer(2, 4), "old": mock.Mock(query=lambda *_: {}),
                 "silent": mock.Mock(query=lambda *_: None), "ahead": self.Peer(8, 9)}
        replies = query_peers(links, "batch", {}, 200 * MS, applied=5)
        self.assertEqual(replies, {"late": {"applied": 5}, "stuck": None, "old": None, "silent": None,
                                   "ahead": {"applied": 9}})
        self.assertEqual(query_peers({"old": links["old"]}, "report", {}, 200 * MS, applied=0), {"old": {}})


if __name__ == "__main__":
    unittest.main()
