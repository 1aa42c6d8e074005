"""One member of the record: a voter, or one of the many that only follow. Free of I/O and clocks.

Raft, as published by Ongaro and Ousterhout, with pre-vote and check-quorum from Ongaro's thesis, and what leases and
disks that lie ask for beyond it (docs/fleet-design.md has the argument):

- A holder's right ends by its own clock before any voter that supported it would vote again: a lease counted from
  when the message that was answered left, shortened by the stated bound on how clocks differ in rate.
- An entry is committed only by answers that are younger than that lease, so what a voter promised before it restarted
  counts for a stated time at the most.
- A voter that starts does not trust its file alone. It abstains for a lease and a margin, then asks the other voters
  what they know; with the word of so many that every majority it may have been part of is among them, it takes part,
  never below what it heard: a file that was rolled back, or vanished, is then no worse than a voter that was away.

What is told comes in by methods with `now`, ns of a clock that does not go back and that runs on while the machine
sleeps. take() gives what follows, in this order: records to be kept, messages to be sent once they are, entries that
are committed. A caller that cannot keep the records says doubt(), and throws the rest away.
"""
from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from threadshift.consensus.kept import Entry, Kept, Place, entries_record, snapshot_record, term_record
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS

RATE = 100                 # clocks differ in rate by less than one part in so many: crystals keep to 1e-4
NEVER = 1 << 62            # ns
MOST = 64                  # entries in one message: some tens of kilobytes
SLOW = 4                   # beats between two messages to who only follows; they bear a second of age
VOTERS = (1, 3, 5)         # more only cost; two stand still as soon as one is away


class Timing(NamedTuple):
    """Paces, ns. A holder that is gone is followed by another within two leases and a half, mostly."""

    beat: int = 200 * MS       # between two messages of a holder
    lease: int = 1500 * MS     # a voter that heard a holder votes for nobody else so long


class Voters(ThreadshiftError):
    """A list of voters that cannot be."""

    help = "name 1, 3 or 5 of the front ends as voters, the same in every configuration file of the installation"


class Role(Enum):
    FOLLOWING = "following"
    ASKING = "asking"          # whether it would be voted for
    STANDING = "standing"      # for the term that it began
    HOLDING = "holding"


class Message(NamedTuple):
    """One message to another member: which of its methods hears it, and with what."""

    to: str
    kind: str                  # the method of Member that hears it
    fields: dict[str, Any]


class Told(NamedTuple):
    """A committed entry; or, where `state` is set, all up to this index at once."""

    place: int                 # its index
    entry: Entry
    state: dict[str, Any] | None = None


class Effects(NamedTuple):
    """What follows from what was told: to be kept, then sent, then applied. `anew`: the records replace all kept."""

    anew: bool
    records: list[dict[str, Any]]
    messages: list[Message]
    told: list[Told]


@dataclass(slots=True)
class Other:
    """What a holder knows of another member."""

    match: int = 0             # its log is as ours up to here ...
    next: int = 1              # ... and it is sent what comes from here on
    at: int = 0                # when the last message that it answered had left
    keeps: bool = False        # whether what it holds would outlive it, and it would vote
    sent: int = 0


@dataclass(slots=True)
class Returning:
    """A voter that started, until it knows enough to take part again."""

    until: int                 # it abstains until then ...
    nonce: int                 # ... and then asks, under this
    due: int = 0
    words: dict[str, tuple[int, Place]] = field(default_factory=dict)


def checked(voters: Sequence[str]) -> tuple[str, ...]:
    """Raises Voters."""
    if len(set(voters)) != len(voters):
        raise Voters("a voter is named twice")
    if len(voters) == 2:
        raise Voters("two voters stand still as soon as one is away, so they bear less than one alone")
    if len(voters) not in VOTERS:
        raise Voters(f"{len(voters)} voters; there may be 1, 3 or 5")
    return tuple(sorted(voters))


class Member:
    def __init__(self, now: int, name: str, voters: Sequence[str], others: Collection[str],
                 chance: Callable[[], float], kept: Kept | None = None, timing: Timing | None = None):
        """`voters` are all of them, `others` all further members; `kept` is what stood in its file."""
        kept = kept or Kept()
        self.name, self.voters, self.chance, self.timing = name, checked(voters), chance, timing or Timing()
        self.others = sorted({*voters, *others} - {name})
        self.term, self.vote = kept.term, kept.vote
        self.base, self.state, self.log = kept.base, kept.state, list(kept.log)
        self.commit = self.applied = self.base[1]
        self.role, self.holder = Role.FOLLOWING, ""
        self.heard = 0                   # when a holder was heard last, 0: never
        self.due = 0                     # when it asks for votes, or gives up standing
        self.yes: set[str] = set()
        self.peers: dict[str, Other] = {}
        self.first = self.since = 0      # index of the first entry of the term it holds; when it was elected
        self.floor: tuple[int, Place] = 0, (0, 0)
        self.doubtful = ""
        self.given_up = False            # it is leaving, and holds nothing any more
        self.anew, self.records, self.messages = False, list[dict[str, Any]](), list[Message]()
        self.told_anew = kept.state is not None
        self.before = self.applied, self.told_anew      # at the last take()
        self.returning: Returning | None = None
        if name in self.voters and len(self.voters) > 1:
            self.returning = Returning(now + self.timing.lease + self.timing.lease // RATE + self.timing.beat,
                                       int(chance() * (1 << 53)))
        self.patience(now)

    # What is asked of it.

    @property
    def last(self) -> Place:
        return (self.log[-1].term, self.base[1] + len(self.log)) if self.log else self.base

    @property
    def able(self) -> bool:
        """Whether it may vote, and what it says it keeps counts."""
        return self.name in self.voters and self.returning is None and not self.doubtful

    def holds(self, now: int) -> bool:
        """Whether it may act for all at this moment. Asked before each act, also on waking."""
        return self.role is Role.HOLDING and now < self.right() and self.commit >= self.first

    def right(self) -> int:
        """When its right to hold ends, by the answers so far."""
        return self.support() + self.lease_of_mine() if len(self.voters) > 1 else NEVER

    def lease_of_mine(self) -> int:
        return self.timing.lease - 2 * self.timing.lease // RATE

    def support(self) -> int:
        """When the oldest of the answers that it needs had been asked for."""
        ats = sorted((self.peers[each].at if self.peers[each].keeps else 0
                      for each in self.voters if each != self.name), reverse=True)
        return ats[len(self.voters) // 2 - 1]

    def age(self, now: int) -> int | None:
        """For how long nothing was heard of the record, ns; None: nothing yet."""
        if self.holds(now):
            return 0
        return now - self.heard if self.heard else None

    # What it is told by its own process.

    def tick(self, now: int) -> None:
        """Wanted once a beat or more often."""
        if self.returning is not None:
            self.come_back(now, self.returning)
        if self.role is Role.HOLDING:
            # The right is gone for long: whoever cannot hear us answer may hear another.
            if self.peers and now >= max(self.right(), self.since) + self.timing.lease:
                self.follow(now, self.term, "")
            else:
                self.beat(now)
        elif now >= self.due:
            if self.role is Role.FOLLOWING and self.able and self.last >= self.floor[1] and not self.given_up:
                self.stand(now, pre=True)
            else:
                self.role = Role.FOLLOWING
                self.patience(now)

    def propose(self, now: int, body: dict[str, Any]) -> int | None:
        """An entry for all; its index, None where it does not hold the right. It counts once it is told back."""
        if not self.holds(now):
            return None
        self.add(Entry(self.term, body))
        self.spread(now)
        return self.last[1]

    def compact(self, state: dict[str, Any]) -> None:
        """Everything applied so far is in `state`: entries up to there need not be kept."""
        place = (self.term_at(self.applied), self.applied)
        self.log, self.base, self.state = self.log[self.applied - self.base[1]:], place, state
        self.write_anew()

    def doubt(self, why: str) -> None:
        """Its file failed it: until it is started again it holds nothing, votes for nobody and counts for nothing."""
        self.doubtful = why
        self.role, self.peers = Role.FOLLOWING, {}
        self.records, self.messages = [], []
        # What take() gave last is thrown away: its entries are told again once a holder says that they are committed.
        self.applied, self.told_anew = self.before
        self.commit = max(self.base[1], self.applied)

    def hand_over(self, now: int) -> None:
        """It is leaving: it holds nothing from here on, and asks the voter that knows most to follow it."""
        self.given_up = True
        if self.role is not Role.HOLDING:
            return
        able = [(it.match, it.at, each) for each, it in self.peers.items() if it.keeps]
        self.follow(now, self.term, "")
        if able:
            self.say(max(able)[2], "handed", term=self.term)

    def take(self) -> Effects:
        """What follows from all that was told since the last call."""
        told = []
        self.before = self.applied, self.told_anew
        if self.told_anew:
            self.told_anew, self.applied = False, self.base[1]
            told.append(Told(self.base[1], Entry(self.base[0], {}), self.state))
        while self.applied < self.commit:
            self.applied += 1
            told.append(Told(self.applied, self.log[self.applied - self.base[1] - 1]))
        it = Effects(self.anew, self.records, self.messages, told)
        self.anew, self.records, self.messages = False, [], []
        return it

    # Votes.

    def asked(self, now: int, sender: str, term: int, pre: bool, last: Place, handed: bool = False) -> None:
        """Somebody stands for a term, or asks whether it should."""
        if not self.able or sender not in self.voters:
            return
        hears = self.role is Role.HOLDING and now < self.right() or (
            self.heard > 0 and now - self.heard < self.timing.lease)
        good = tuple(last) >= max(self.last, self.floor[1]) and term > self.floor[0]
        if hears and not handed:
            yes = False                     # a holder is heard: nobody unseats it, and no term is begun for it
        elif pre:
            yes = term > self.term and good
        else:
            if term > self.term:
                self.follow(now, term, "")
            yes = term == self.term and self.vote in ("", sender) and good and self.role is Role.FOLLOWING
            if yes and not self.vote:
                self.vote = sender
                self.records.append(term_record(self.term, sender))
                self.patience(now)
        self.say(sender, "voted", term=term, pre=pre, yes=yes, known=self.term)

    def voted(self, now: int, sender: str, term: int, pre: bool, yes: bool, known: int) -> None:
        if known > self.term:
            self.follow(now, known, "")
            return
        if not yes or sender not in self.voters or now >= self.due:
            return      # too late: woken from a standstill, it counts no vote that a restart may have forgotten
        if self.role is (Role.ASKING if pre else Role.STANDING) and term == self.term + pre:
            self.yes.add(sender)
            self.elected(now)

    def stand(self, now: int, pre: bool, handed: bool = False) -> None:
        self.role, self.yes = (Role.ASKING if pre else Role.STANDING), {self.name}
        self.due = now + self.timing.lease // 2
        self.term = max(self.term, self.floor[0])
        if not pre:
            self.term, self.vote, self.holder = self.term + 1, self.name, ""
            self.records.append(term_record(self.term, self.name))
        for each in self.voters:
            if each != self.name:
                self.say(each, "asked", term=self.term + pre, pre=pre, last=self.last, handed=handed)
        self.elected(now)

    def elected(self, now: int) -> None:
        if 2 * len(self.yes) <= len(self.voters):
            return
        if self.role is Role.ASKING:
            self.stand(now, pre=False)
            return
        self.role, self.holder = Role.HOLDING, self.name
        self.peers = {each: Other(next=self.last_index + 1) for each in self.others}
        self.first, self.since = self.last_index + 1, now
        self.add(Entry(self.term, {"do": "hold", "holder": self.name}))
        self.spread(now)

    def handed(self, now: int, sender: str, term: int) -> None:
        """The holder leaves and wants us to follow it."""
        if self.able and sender == self.holder and term == self.term and self.last >= self.floor[1] and (
                self.role is Role.FOLLOWING and not self.given_up):
            self.heard = 0
            self.stand(now, pre=False, handed=True)

    # Entries.

    def told(self, now: int, sender: str, term: int, before: Place, entries: Sequence[Sequence[Any]], commit: int,
             at: int) -> None:
        """A holder's beat, with entries that follow the place `before`."""
        if not self.heeds(now, sender, term, at):
            return
        start = before[1]
        fresh = [Entry(each[0], each[1]) for each in entries]
        if start < self.base[1]:            # the snapshot holds these
            fresh, start = fresh[self.base[1] - start:], self.base[1]
        elif start > self.last_index or self.term_at(start) != before[0]:
            self.had_of(sender, False, min(self.last_index, start - 1), at)
            return
        for number, entry in enumerate(fresh, start + 1):
            if number > self.last_index or self.term_at(number) != entry.term:
                if number <= self.commit:
                    self.doubt(f"entry {number} was committed and is told as another: a disk has lied unnoticed")
                    return
                del self.log[number - self.base[1] - 1:]
                rest = fresh[number - start - 1:]
                self.log += rest
                self.records.append(entries_record(number, rest))
                break
        known = start + len(fresh)
        self.commit = max(self.commit, min(commit, known))
        self.had_of(sender, True, known, at)

    def snapshot(self, now: int, sender: str, term: int, base: Place, state: dict[str, Any], at: int) -> None:
        """All up to a place at once, as entries before it are not kept any more."""
        if not self.heeds(now, sender, term, at):
            return
        if base[1] > self.commit:
            follows = base[1] <= self.last_index and self.term_at(base[1]) == base[0]
            self.log = self.log[base[1] - self.base[1]:] if follows else []
            self.base, self.state = (base[0], base[1]), state
            self.commit, self.told_anew = base[1], True
            self.write_anew()
        self.had_of(sender, True, base[1], at)

    def heeds(self, now: int, sender: str, term: int, at: int) -> bool:
        """Whether a holder's message counts; an older one is told the newer term."""
        if term < self.term or sender not in self.voters:
            self.say(sender, "had", term=self.term, yes=False, index=0, at=at, keeps=False)
            return False
        if term > self.term or self.role is not Role.FOLLOWING:
            self.follow(now, term, sender)
        self.holder, self.heard = sender, now
        self.patience(now)
        return True

    def had_of(self, sender: str, yes: bool, index: int, at: int) -> None:
        self.say(sender, "had", term=self.term, yes=yes, index=index, at=at, keeps=self.able)

    def had(self, now: int, sender: str, term: int, yes: bool, index: int, at: int, keeps: bool) -> None:
        """The answer to told() or snapshot(); `at` is when that had left, by our own clock."""
        if term > self.term:
            self.follow(now, term, "")
            return
        it = self.peers.get(sender)
        if self.role is not Role.HOLDING or term != self.term or it is None or at < it.at or at > now:
            return
        it.at, it.keeps = at, keeps
        if yes:
            it.match, it.next = min(index, self.last_index), min(index, self.last_index) + 1
        else:
            it.match, it.next = 0, max(1, min(it.next - 1, index + 1))
            self.send(now, sender)
        before = self.commit
        self.advance(now)
        if self.commit > before:
            self.spread(now)
        elif yes and it.next <= self.last_index and now > at:
            self.send(now, sender)

    def advance(self, now: int) -> None:
        """Commits what a majority keeps, by answers no older than the lease; of its own term alone."""
        since = now - self.lease_of_mine()
        matches = sorted([self.last_index, *(
            self.peers[each].match if self.peers[each].keeps and self.peers[each].at > since else 0
            for each in self.voters if each != self.name)], reverse=True)
        most = matches[len(self.voters) // 2]
        if most > self.commit and self.term_at(most) == self.term:
            self.commit = most

    # A voter that started.

    def come_back(self, now: int, it: Returning) -> None:
        if now >= it.until and now >= it.due:
            it.due = now + self.timing.beat
            for each in self.voters:
                if each != self.name:
                    self.say(each, "who", nonce=it.nonce)

    def who(self, now: int, sender: str, nonce: int) -> None:
        """A voter that started asks what is known. The answer is true also of one in doubt: it keeps no less."""
        self.say(sender, "word", nonce=nonce, term=self.term, last=self.last)

    def word(self, now: int, sender: str, nonce: int, term: int, last: Place) -> None:
        it = self.returning
        if it is None or nonce != it.nonce or sender not in self.voters:
            return
        it.words[sender] = term, (last[0], last[1])
        # So many that of each majority we may have been part of another one is among them.
        if len(it.words) > len(self.voters) - 1 - len(self.voters) // 2:
            self.floor = max(known for known, _ in it.words.values()), max(place for _, place in it.words.values())
            self.returning = None
            self.patience(now)

    # Small things.

    @property
    def last_index(self) -> int:
        return self.base[1] + len(self.log)

    def term_at(self, index: int) -> int:
        return self.base[0] if index == self.base[1] else self.log[index - self.base[1] - 1].term

    def follow(self, now: int, term: int, holder: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self.records.append(term_record(term, ""))
        self.role, self.holder, self.peers = Role.FOLLOWING, holder, {}
        self.patience(now)

    def patience(self, now: int) -> None:
        """Until when silence is borne: by chance, so that not all stand at once."""
        self.due = now + self.timing.lease + int(self.chance() * self.timing.lease / 2)

    def say(self, to: str, kind: str, **fields: Any) -> None:
        self.messages.append(Message(to, kind, fields))

    def add(self, entry: Entry) -> None:
        self.log.append(entry)
        self.records.append(entries_record(self.last_index, [entry]))

    def write_anew(self) -> None:
        assert self.state is not None
        self.anew = True
        self.records = [snapshot_record(self.base, self.state), term_record(self.term, self.vote)]
        if self.log:
            self.records.append(entries_record(self.base[1] + 1, self.log))

    def spread(self, now: int) -> None:
        """To all at once: something is new."""
        for each in self.others:
            self.send(now, each)
        self.advance(now)

    def beat(self, now: int) -> None:
        for each in self.others:
            pace = self.timing.beat * (1 if each in self.voters else SLOW)
            if now >= self.peers[each].sent + pace:
                self.send(now, each)
        self.advance(now)

    def send(self, now: int, to: str) -> None:
        it = self.peers[to]
        it.sent = now
        if it.next <= self.base[1]:
            self.say(to, "snapshot", term=self.term, base=self.base, state=self.state, at=now)
            return
        before = it.next - 1
        rest = self.log[before - self.base[1]:before - self.base[1] + MOST]
        self.say(to, "told", term=self.term, before=(self.term_at(before), before),
                 entries=[list(each) for each in rest], commit=self.commit, at=now)
