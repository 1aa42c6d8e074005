"""One member of the consensus group: a voter, or one of the many members without a vote. Free of I/O and clocks.

The protocol is Raft, as published by Ongaro and Ousterhout, with pre-vote and check-quorum from Ongaro's thesis.
Leases and disks that lose data need the following beyond it (docs/fleet-design.md has the argument):

- A leader's lease ends by its own clock before any voter that supported it would vote again. It is counted from the
  time when the message that was answered had been sent, and shortened by the bound on how much clocks differ in rate.
- An entry is committed only by answers that are younger than that lease, so what a voter promised before a restart
  counts for a limited time.
- A voter that starts does not trust its file alone. It abstains for a lease and a margin and then asks the other
  voters for their terms and log positions. Once it has answers from so many that each majority it may have been part
  of includes one of them, it takes part again, never below the term and position that it learned. A file that was
  rolled back or lost then does no more harm than a voter that was away.

Events arrive as method calls with `now`, ns of a clock that never goes back and that runs on while the machine
sleeps. take_output() returns, in the order in which they have to be processed: records to write, messages to send
once the records are on disk, and committed entries to apply. A caller that cannot write the records calls
mark_failed() and discards the rest.
"""
from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from threadshift.consensus.persistent_state import (
    LogEntry,
    LogPosition,
    PersistentState,
    entries_record,
    snapshot_record,
    term_record,
)
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS

CLOCK_RATE_DIVISOR = 100   # clocks differ in rate by less than 1/100; crystals keep to 1e-4
NEVER = 1 << 62            # ns, of a lease that does not end
MAX_ENTRIES_PER_MESSAGE = 64       # some tens of kilobytes
NON_VOTER_INTERVAL_FACTOR = 4      # heartbeat intervals between messages to a non-voter, which tolerates data 1 s old
VOTER_COUNTS = (1, 3, 5)   # more cost without benefit; two stop as soon as one is away


class Timing(NamedTuple):
    """Intervals, ns. After a leader fails, the next one is usually elected within two and a half leases."""

    heartbeat_interval: int = 200 * MS
    lease: int = 1500 * MS     # a voter that heard a leader does not vote for another one for this long


class InvalidVoters(ThreadshiftError):
    """A list of voters that is not allowed."""

    help = "name 1, 3 or 5 of the front ends as voters, the same in every configuration file of the installation"


class Role(Enum):
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"   # asks whether the others would vote for it
    CANDIDATE = "standing"
    LEADER = "holding"


class Message(NamedTuple):
    """One message to another member."""

    to: str
    kind: str                  # a key of MESSAGE_HANDLERS
    fields: dict[str, Any]     # the arguments of the handler


# Kind of message as on the wire: the method of Member that handles it. The parameter names of these methods are the
# fields of the messages on the wire.
MESSAGE_HANDLERS = {
    "asked": "on_vote_request",
    "voted": "on_vote",
    "handed": "on_leadership_transfer",
    "told": "on_append_entries",
    "snapshot": "on_install_snapshot",
    "had": "on_append_response",
    "who": "on_recovery_query",
    "word": "on_recovery_response",
}


class CommittedEntry(NamedTuple):
    """A committed entry; or, if `state` is set, a snapshot that includes all entries up to this index."""

    log_index: int
    entry: LogEntry
    state: dict[str, Any] | None = None


class Output(NamedTuple):
    """What the caller has to do: write the records, then send the messages, then apply the committed entries."""

    rewrites_file: bool        # the records replace the whole file
    records: list[dict[str, Any]]
    messages: list[Message]
    committed: list[CommittedEntry]


@dataclass(slots=True)
class Progress:
    """What a leader knows of another member."""

    match_index: int = 0       # its log is equal to the leader's up to this index
    next_index: int = 1        # of the first entry to send to it
    acknowledged_at: int = 0   # when the last message that it answered had been sent
    is_durable: bool = False   # whether it may vote and what it stores survives a restart
    sent_at: int = 0           # when the last message was sent to it


@dataclass(slots=True)
class Recovery:
    """State of a voter after its start, until it has learned enough to take part again."""

    abstains_until: int
    nonce: int                 # identifies the answers to its queries
    next_query_at: int = 0
    answers: dict[str, tuple[int, LogPosition]] = field(default_factory=dict)      # voter: its term, last position


def check_voters(voters: Sequence[str]) -> tuple[str, ...]:
    """Returns the names in order. Raises InvalidVoters."""
    if len(set(voters)) != len(voters):
        raise InvalidVoters("a voter is named twice")
    if len(voters) == 2:
        raise InvalidVoters("two voters stand still as soon as one is away, which is worse than a single voter")
    if len(voters) not in VOTER_COUNTS:
        raise InvalidVoters(f"{len(voters)} voters; there may be 1, 3 or 5")
    return tuple(sorted(voters))


class Member:
    """The state machine of one member. All methods are called in order by one caller."""

    def __init__(self, now: int, name: str, voters: Sequence[str], others: Collection[str],
                 chance: Callable[[], float], persistent_state: PersistentState | None = None,
                 timing: Timing | None = None):
        """`voters` are all voters, `others` all further members, `persistent_state` is the content of the file;
        `chance` returns a random number from 0 to 1."""
        persistent_state = persistent_state or PersistentState()
        self.name, self.voters, self.chance, self.timing = name, check_voters(voters), chance, timing or Timing()
        self.others = sorted({*voters, *others} - {name})
        self.term, self.vote = persistent_state.term, persistent_state.vote
        # `base` is the position of the last entry that the snapshot `state` includes; `log` has the entries after it.
        self.base, self.state, self.log = persistent_state.base, persistent_state.state, list(persistent_state.log)
        self.commit_index = self.applied_index = self.base[1]
        self.role, self.leader = Role.FOLLOWER, ""
        self.leader_heard_at = 0         # 0: never
        self.election_deadline = 0       # when it starts an election, or gives up a candidacy
        self.votes: set[str] = set()     # the voters that granted their vote, or pre-vote
        self.progress: dict[str, Progress] = {}
        self.term_start_index = self.elected_at = 0      # of a leader: the first entry of its term, its election
        self.floor: tuple[int, LogPosition] = 0, (0, 0)  # the term and log position learned in the recovery
        self.failure = ""                # why its file is not trusted any more
        self.has_resigned = False        # it is shutting down and does not become the leader again
        self.rewrites_file, self.records, self.messages = False, list[dict[str, Any]](), list[Message]()
        self.applies_snapshot = persistent_state.state is not None
        self.before_output = self.applied_index, self.applies_snapshot      # at the last take_output()
        self.recovery: Recovery | None = None
        if name in self.voters and len(self.voters) > 1:
            self.recovery = Recovery(
                now + self.timing.lease + self.timing.lease // CLOCK_RATE_DIVISOR + self.timing.heartbeat_interval,
                int(chance() * (1 << 53)))
        self.reset_election_deadline(now)

    # Queries of its own process.

    @property
    def last_position(self) -> LogPosition:
        return (self.log[-1].term, self.base[1] + len(self.log)) if self.log else self.base

    @property
    def can_vote(self) -> bool:
        """Whether it may vote, and its acknowledgements count towards a majority."""
        return self.name in self.voters and self.recovery is None and not self.failure

    def holds_lease(self, now: int) -> bool:
        """Whether it is the leader and may act for all at this moment. Has to be checked before each act, also after
        the process was suspended."""
        return self.role is Role.LEADER and now < self.lease_end() and self.commit_index >= self.term_start_index

    def lease_end(self) -> int:
        """When its lease as the leader ends, by the answers so far."""
        return self.quorum_acknowledged_at() + self.leader_lease() if len(self.voters) > 1 else NEVER

    def leader_lease(self) -> int:
        """The lease that a leader counts on: the voters' lease, shortened by the difference in clock rates."""
        return self.timing.lease - 2 * self.timing.lease // CLOCK_RATE_DIVISOR

    def quorum_acknowledged_at(self) -> int:
        """The latest time such that a majority has answered a message sent at or after it."""
        times = sorted((self.progress[each].acknowledged_at if self.progress[each].is_durable else 0
                        for each in self.voters if each != self.name), reverse=True)
        return times[len(self.voters) // 2 - 1]

    def staleness(self, now: int) -> int | None:
        """How long ago it last heard from a leader, ns; 0 if it is the leader, None if it never heard from one."""
        if self.holds_lease(now):
            return 0
        return now - self.leader_heard_at if self.leader_heard_at else None

    # Events from its own process.

    def tick(self, now: int) -> None:
        """Has to be called at least once per heartbeat interval."""
        if self.recovery is not None:
            self.query_voters(now, self.recovery)
        if self.role is Role.LEADER:
            # A leader whose lease ended a whole lease ago steps down: members that it cannot hear may follow another.
            if self.progress and now >= max(self.lease_end(), self.elected_at) + self.timing.lease:
                self.become_follower(now, self.term, "")
            else:
                self.send_heartbeats(now)
        elif now >= self.election_deadline:
            if (self.role is Role.FOLLOWER and self.can_vote and self.last_position >= self.floor[1]
                    and not self.has_resigned):
                self.start_election(now, pre=True)
            else:
                self.role = Role.FOLLOWER
                self.reset_election_deadline(now)

    def propose(self, now: int, body: dict[str, Any]) -> int | None:
        """Appends an entry and returns its index, or None without a lease. The entry counts only once take_output()
        returns it as committed."""
        if not self.holds_lease(now):
            return None
        self.append_entry(LogEntry(self.term, body))
        self.replicate(now)
        return self.last_position[1]

    def compact(self, state: dict[str, Any]) -> None:
        """Replaces all applied entries by `state`, which is the state after the last of them."""
        position = (self.term_at(self.applied_index), self.applied_index)
        self.log, self.base, self.state = self.log[self.applied_index - self.base[1]:], position, state
        self.rewrite_file()

    def mark_failed(self, reason: str) -> None:
        """Its file is not reliable: until a restart it neither leads nor votes, and no majority counts it."""
        self.failure = reason
        self.role, self.progress = Role.FOLLOWER, {}
        self.records, self.messages = [], []
        # The last output is discarded: its entries are returned again once a leader reports that they are committed.
        self.applied_index, self.applies_snapshot = self.before_output
        self.commit_index = max(self.base[1], self.applied_index)

    def transfer_leadership(self, now: int) -> None:
        """Resigns before a shutdown, and asks the voter with the longest log to succeed it."""
        self.has_resigned = True
        if self.role is not Role.LEADER:
            return
        successors = [(peer.match_index, peer.acknowledged_at, name)
                      for name, peer in self.progress.items() if peer.is_durable]
        self.become_follower(now, self.term, "")
        if successors:
            self.enqueue(max(successors)[2], "handed", term=self.term)

    def take_output(self) -> Output:
        """Returns everything that the events since the last call require."""
        committed = []
        self.before_output = self.applied_index, self.applies_snapshot
        if self.applies_snapshot:
            self.applies_snapshot, self.applied_index = False, self.base[1]
            committed.append(CommittedEntry(self.base[1], LogEntry(self.base[0], {}), self.state))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            committed.append(CommittedEntry(self.applied_index, self.log[self.applied_index - self.base[1] - 1]))
        output = Output(self.rewrites_file, self.records, self.messages, committed)
        self.rewrites_file, self.records, self.messages = False, [], []
        return output

    # Messages of other members.

    def receive(self, now: int, sender: str, kind: str, fields: dict[str, Any]) -> None:
        """Handles one message of another member."""
        getattr(self, MESSAGE_HANDLERS[kind])(now, sender, **fields)

    # Elections.

    def on_vote_request(self, now: int, sender: str, term: int, pre: bool, last: LogPosition,
                        handed: bool = False) -> None:
        """A candidate requests a vote for `term`, or a pre-vote. `last` is the last position of its log; `handed` is
        set if the leader asked it to stand."""
        if not self.can_vote or sender not in self.voters:
            return
        has_live_leader = self.role is Role.LEADER and now < self.lease_end() or (
            self.leader_heard_at > 0 and now - self.leader_heard_at < self.timing.lease)
        is_up_to_date = tuple(last) >= max(self.last_position, self.floor[1]) and term > self.floor[0]
        if has_live_leader and not handed:
            yes = False                     # a leader that is heard is not replaced, and no term is started for it
        elif pre:
            yes = term > self.term and is_up_to_date
        else:
            if term > self.term:
                self.become_follower(now, term, "")
            yes = (term == self.term and self.vote in ("", sender) and is_up_to_date
                   and self.role is Role.FOLLOWER)
            if yes and not self.vote:
                self.vote = sender
                self.records.append(term_record(self.term, sender))
                self.reset_election_deadline(now)
        self.enqueue(sender, "voted", term=term, pre=pre, yes=yes, known=self.term)

    def on_vote(self, now: int, sender: str, term: int, pre: bool, yes: bool, known: int) -> None:
        """The answer to a vote request; `known` is the term of the sender."""
        if known > self.term:
            self.become_follower(now, known, "")
            return
        if not yes or sender not in self.voters or now >= self.election_deadline:
            return      # too late: after a suspension it counts no vote that its voter may have lost in a restart
        if self.role is (Role.PRE_CANDIDATE if pre else Role.CANDIDATE) and term == self.term + pre:
            self.votes.add(sender)
            self.count_votes(now)

    def start_election(self, now: int, pre: bool, handed: bool = False) -> None:
        self.role, self.votes = (Role.PRE_CANDIDATE if pre else Role.CANDIDATE), {self.name}
        self.election_deadline = now + self.timing.lease // 2
        self.term = max(self.term, self.floor[0])
        if not pre:
            self.term, self.vote, self.leader = self.term + 1, self.name, ""
            self.records.append(term_record(self.term, self.name))
        for each in self.voters:
            if each != self.name:
                self.enqueue(each, "asked", term=self.term + pre, pre=pre, last=self.last_position, handed=handed)
        self.count_votes(now)

    def count_votes(self, now: int) -> None:
        """Becomes a candidate after a majority of pre-votes, the leader after a majority of votes."""
        if 2 * len(self.votes) <= len(self.voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(now, pre=False)
            return
        self.role, self.leader = Role.LEADER, self.name
        self.progress = {each: Progress(next_index=self.last_index + 1) for each in self.others}
        self.term_start_index, self.elected_at = self.last_index + 1, now
        self.append_entry(LogEntry(self.term, {"do": "hold", "holder": self.name}))
        self.replicate(now)

    def on_leadership_transfer(self, now: int, sender: str, term: int) -> None:
        """The leader resigns and asks this member to succeed it."""
        if self.can_vote and sender == self.leader and term == self.term and self.last_position >= self.floor[1] and (
                self.role is Role.FOLLOWER and not self.has_resigned):
            self.leader_heard_at = 0
            self.start_election(now, pre=False, handed=True)

    # Replication of the log.

    def on_append_entries(self, now: int, sender: str, term: int, before: LogPosition,
                          entries: Sequence[Sequence[Any]], commit: int, at: int) -> None:
        """A leader's heartbeat, with the entries that follow the position `before` and its commit index; `at` is
        its sending time by the leader's clock."""
        if not self.accepts_leader(now, sender, term, at):
            return
        start = before[1]
        received = [LogEntry(each[0], each[1]) for each in entries]
        if start < self.base[1]:            # the snapshot includes these
            received, start = received[self.base[1] - start:], self.base[1]
        elif start > self.last_index or self.term_at(start) != before[0]:
            self.answer_append(sender, False, min(self.last_index, start - 1), at)
            return
        for index, entry in enumerate(received, start + 1):
            if index > self.last_index or self.term_at(index) != entry.term:
                if index <= self.commit_index:
                    self.mark_failed(f"entry {index} was committed and is now sent with other content: "
                                     "a disk lost data without reporting it")
                    return
                del self.log[index - self.base[1] - 1:]
                rest = received[index - start - 1:]
                self.log += rest
                self.records.append(entries_record(index, rest))
                break
        known_index = start + len(received)
        self.commit_index = max(self.commit_index, min(commit, known_index))
        self.answer_append(sender, True, known_index, at)

    def on_install_snapshot(self, now: int, sender: str, term: int, base: LogPosition, state: dict[str, Any],
                            at: int) -> None:
        """A leader's snapshot up to `base`, sent in place of entries that the leader does not have any more."""
        if not self.accepts_leader(now, sender, term, at):
            return
        if base[1] > self.commit_index:
            keeps_log = base[1] <= self.last_index and self.term_at(base[1]) == base[0]
            self.log = self.log[base[1] - self.base[1]:] if keeps_log else []
            self.base, self.state = (base[0], base[1]), state
            self.commit_index, self.applies_snapshot = base[1], True
            self.rewrite_file()
        self.answer_append(sender, True, base[1], at)

    def accepts_leader(self, now: int, sender: str, term: int, at: int) -> bool:
        """Whether a leader's message is of the current term or a later one; otherwise the sender gets this term."""
        if term < self.term or sender not in self.voters:
            self.enqueue(sender, "had", term=self.term, yes=False, index=0, at=at, keeps=False)
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(now, term, sender)
        self.leader, self.leader_heard_at = sender, now
        self.reset_election_deadline(now)
        return True

    def answer_append(self, sender: str, yes: bool, index: int, at: int) -> None:
        self.enqueue(sender, "had", term=self.term, yes=yes, index=index, at=at, keeps=self.can_vote)

    def on_append_response(self, now: int, sender: str, term: int, yes: bool, index: int, at: int,
                           keeps: bool) -> None:
        """The answer to entries or a snapshot: whether the log matches up to `index`. `at` is the sending time of the
        message that it answers, by this member's clock; `keeps` is whether the sender counts towards a majority."""
        if term > self.term:
            self.become_follower(now, term, "")
            return
        peer = self.progress.get(sender)
        if self.role is not Role.LEADER or term != self.term or peer is None or at < peer.acknowledged_at or at > now:
            return
        peer.acknowledged_at, peer.is_durable = at, keeps
        if yes:
            peer.match_index, peer.next_index = min(index, self.last_index), min(index, self.last_index) + 1
        else:
            peer.match_index, peer.next_index = 0, max(1, min(peer.next_index - 1, index + 1))
            self.send_entries(now, sender)
        commit_before = self.commit_index
        self.advance_commit_index(now)
        if self.commit_index > commit_before:
            self.replicate(now)
        elif yes and peer.next_index <= self.last_index and now > at:
            self.send_entries(now, sender)

    def advance_commit_index(self, now: int) -> None:
        """Commits what a majority has stored, by answers no older than the lease, and only entries of its own
        term."""
        since = now - self.leader_lease()
        match_indexes = sorted([self.last_index, *(
            self.progress[each].match_index
            if self.progress[each].is_durable and self.progress[each].acknowledged_at > since else 0
            for each in self.voters if each != self.name)], reverse=True)
        majority_index = match_indexes[len(self.voters) // 2]
        if majority_index > self.commit_index and self.term_at(majority_index) == self.term:
            self.commit_index = majority_index

    # Recovery of a voter after its start.

    def query_voters(self, now: int, recovery: Recovery) -> None:
        if now >= recovery.abstains_until and now >= recovery.next_query_at:
            recovery.next_query_at = now + self.timing.heartbeat_interval
            for each in self.voters:
                if each != self.name:
                    self.enqueue(each, "who", nonce=recovery.nonce)

    def on_recovery_query(self, now: int, sender: str, nonce: int) -> None:
        """A voter that started asks for the term and log position. A failed member answers too: it has stored no less
        than it reports."""
        self.enqueue(sender, "word", nonce=nonce, term=self.term, last=self.last_position)

    def on_recovery_response(self, now: int, sender: str, nonce: int, term: int, last: LogPosition) -> None:
        recovery = self.recovery
        if recovery is None or nonce != recovery.nonce or sender not in self.voters:
            return
        recovery.answers[sender] = term, (last[0], last[1])
        # With so many answers, each majority that this member may have been part of includes one of their senders.
        if len(recovery.answers) > len(self.voters) - 1 - len(self.voters) // 2:
            self.floor = (max(known_term for known_term, _ in recovery.answers.values()),
                          max(position for _, position in recovery.answers.values()))
            self.recovery = None
            self.reset_election_deadline(now)

    # Helpers.

    @property
    def last_index(self) -> int:
        return self.base[1] + len(self.log)

    def term_at(self, index: int) -> int:
        return self.base[0] if index == self.base[1] else self.log[index - self.base[1] - 1].term

    def become_follower(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self.records.append(term_record(term, ""))
        self.role, self.leader, self.progress = Role.FOLLOWER, leader, {}
        self.reset_election_deadline(now)

    def reset_election_deadline(self, now: int) -> None:
        """Waits a lease and a random part, so that members do not start elections at the same time."""
        self.election_deadline = now + self.timing.lease + int(self.chance() * self.timing.lease / 2)

    def enqueue(self, to: str, kind: str, **fields: Any) -> None:
        self.messages.append(Message(to, kind, fields))

    def append_entry(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self.records.append(entries_record(self.last_index, [entry]))

    def rewrite_file(self) -> None:
        assert self.state is not None
        self.rewrites_file = True
        self.records = [snapshot_record(self.base, self.state), term_record(self.term, self.vote)]
        if self.log:
            self.records.append(entries_record(self.base[1] + 1, self.log))

    def replicate(self, now: int) -> None:
        """Sends new entries or a new commit index to all members at once."""
        for each in self.others:
            self.send_entries(now, each)
        self.advance_commit_index(now)

    def send_heartbeats(self, now: int) -> None:
        for each in self.others:
            interval = self.timing.heartbeat_interval * (1 if each in self.voters else NON_VOTER_INTERVAL_FACTOR)
            if now >= self.progress[each].sent_at + interval:
                self.send_entries(now, each)
        self.advance_commit_index(now)

    def send_entries(self, now: int, to: str) -> None:
        """Sends one member the entries that follow its log, or a snapshot if they are compacted."""
        peer = self.progress[to]
        peer.sent_at = now
        if peer.next_index <= self.base[1]:
            self.enqueue(to, "snapshot", term=self.term, base=self.base, state=self.state, at=now)
            return
        before = peer.next_index - 1
        entries = self.log[before - self.base[1]:before - self.base[1] + MAX_ENTRIES_PER_MESSAGE]
        self.enqueue(to, "told", term=self.term, before=(self.term_at(before), before),
                     entries=[list(each) for each in entries], commit=self.commit_index, at=now)
