"""Explores every order of events up to a given depth, with the real code of consensus/member.py.

There are three voters, one of which has just become the leader. The next event is one of these: a message is
delivered, lost or delivered twice, in the order of its link or in any order; time advances for all by a part of a
lease; a member's timer runs; a member pauses; a member is killed and restarts with its file as it was, or as it was
before its last write; the leader proposes an entry. Each kind has a budget, which keeps the number of states finite;
equal states are explored once. The invariants are those of emulator/record.py."""
from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from threadshift.consensus.persistent_state import LogEntry, PersistentState
from threadshift.consensus.member import Member, Message, Timing
from threadshift.emulator.record import InvariantViolation

TIMING = Timing(heartbeat_interval=1_000, lease=9_000)
TIME_STEP = 5_000          # two of them are longer than a lease, one is longer than a beat
NAMES = ("a", "b", "c")


class Budget(NamedTuple):
    """How often each kind of event may occur in one history."""

    time: int = 5
    lose: int = 1
    repeat: int = 1
    kill: int = 1
    old: int = 1               # of the kills: those that undo the file's last write
    propose: int = 1
    lapse: int = 1             # pauses of one member


@dataclass
class World:
    """One state: the members, their files as lists of records, messages under way, and all committed entries."""

    members: dict[str, Member]
    files: dict[str, list[list[dict[str, Any]]]]     # writes, each a list of records
    messages: list[tuple[str, Message]]
    left: Budget
    now: dict[str, int]
    committed: dict[int, LogEntry] = field(default_factory=dict)
    path: tuple[str, ...] = ()
    orderly: bool = True       # messages on one link arrive in order, as over one connection

    def copy(self) -> World:
        members = {name: clone(each) for name, each in self.members.items()}
        return World(members, {name: list(each) for name, each in self.files.items()}, list(self.messages), self.left,
                     dict(self.now), dict(self.committed), self.path, self.orderly)

    def key(self) -> tuple:
        return (tuple(fingerprint(each) for each in self.members.values()), tuple(self.now.values()), self.left,
                (repr(sorted(self.messages, key=lambda each: (each[0], each[1].to))),) if self.orderly else
                frozenset(Counter(repr(each) for each in self.messages).items()),
                tuple(repr(each[-2:]) for each in self.files.values()))


def clone(it: Member) -> Member:
    """A copy that can take an event without changing the original."""
    new = object.__new__(type(it))
    new.__dict__.update(it.__dict__)
    new.log, new.votes = list(it.log), set(it.votes)
    new.progress = {name: replace(each) for name, each in it.progress.items()}
    new.records, new.messages = [], []
    if it.recovery is not None:
        new.recovery = replace(it.recovery, answers=dict(it.recovery.answers))
    return new


def fingerprint(it: Member) -> tuple:
    """The state of a member by which equal states are recognized."""
    return (it.term, it.vote, it.role, it.leader, it.leader_heard_at, it.election_deadline,
            it.commit_index, it.applied_index, tuple(map(repr, it.log)),
            frozenset(it.votes), it.floor, repr(sorted(it.progress.items())), repr(it.recovery))


def apply_effects(world: World, name: str) -> None:
    """Writes a member's records, sends its messages, and checks the entries that it applies."""
    output = world.members[name].take_output()
    if output.records:
        world.files[name].append(output.records)
    world.messages += [(name, each) for each in output.messages]
    for told in output.committed:
        if world.committed.setdefault(told.log_index, told.entry) != told.entry:
            raise InvariantViolation(f"entry {told.log_index} is {world.committed[told.log_index]} and, at {name}, "
                                     f"{told.entry}: {'; '.join(world.path)}")


def check(world: World) -> None:
    """Raises InvariantViolation if there is more than one leader."""
    leaders = [name for name, each in world.members.items() if each.holds_lease(world.now[name])]
    if len(leaders) > 1:
        raise InvariantViolation(f"{leaders} are leaders at the same time: {'; '.join(world.path)}")


def start(make: Callable[..., Member] = Member, budget: Budget | None = None, orderly: bool = True,
          path: Sequence[str] = ()) -> World:
    """The state in which all members take part and `a` has just become the leader, after the events of `path`."""
    now = 100 * TIMING.lease
    members = {name: make(now, name, NAMES, (), lambda: 0.5, PersistentState(), TIMING)
               for name in NAMES}
    world = World(members, {name: [] for name in NAMES}, [], Budget(), dict.fromkeys(NAMES, now))
    for each in members.values():
        each.recovery = None
    members["a"].election_deadline = now
    members["a"].tick(now)
    apply_effects(world, "a")
    while world.messages:
        deliver(world, 0, False)
    world.orderly = orderly
    for step in path:
        world = next(new for new in next_states(world, make) if new.path[-1] == step)
    world.left, world.path = budget or Budget(), ()
    return world


def deliver(world: World, place: int, is_repeated: bool) -> None:
    """Delivers the message at this place; one that is repeated stays to be delivered again."""
    sender, message = world.messages[place] if is_repeated else world.messages.pop(place)
    world.members[message.to].receive(world.now[message.to], sender, message.kind, message.fields)
    apply_effects(world, message.to)


def restart(world: World, name: str, old: bool, make: Callable[..., Member]) -> None:
    """Kills a member and restarts it from its file; `old` undoes the file's last write."""
    if old:
        world.files[name].pop()
    persistent_state = PersistentState.from_records([record for write in world.files[name] for record in write])
    world.members[name] = make(world.now[name], name, NAMES, (), lambda: 0.5, persistent_state, TIMING)
    # Messages to the killed process are lost with its connections; those that it had sent may still arrive.
    world.messages = [each for each in world.messages if each[1].to != name]
    apply_effects(world, name)


def lose(world: World, place: int) -> None:
    world.messages.pop(place)


def advance_time(world: World, of: Collection[str] = NAMES, ns: int = TIME_STEP) -> None:
    world.now.update({name: world.now[name] + ns for name in of})


def pause(world: World, name: str) -> None:
    """Advances the time of all while one member does nothing, so that its timer is late too."""
    advance_time(world, ns=2 * TIME_STEP)
    world.members[name].election_deadline += 2 * TIME_STEP


def run_timer(world: World, name: str) -> None:
    world.members[name].tick(world.now[name])
    apply_effects(world, name)


def propose(world: World, name: str) -> None:
    world.members[name].propose(world.now[name], {"n": world.left.propose})
    apply_effects(world, name)


def next_states(world: World, make: Callable[..., Member]) -> Iterator[World]:
    """Every state that one event leads to."""
    left = world.left

    def after(text: str, used: str, action: Callable[..., None], *arguments: Any) -> World:
        new = world.copy()
        new.path += (text,)
        for name in used.split():
            new.left = new.left._replace(**{name: getattr(new.left, name) - 1})
        action(new, *arguments)
        check(new)
        return new

    seen = set()
    for place, (sender, message) in enumerate(world.messages):
        link = (sender, message.to) if world.orderly else repr((sender, message))
        if link in seen:
            continue
        seen.add(link)
        text = f"{message.to} hears {message.kind} of {sender}"
        yield after(text, "", deliver, place, False)
        if left.lose:
            yield after(f"lost: {text}", "lose", lose, place)
        if left.repeat:
            yield after(f"repeated: {text}", "repeat", deliver, place, True)
    if left.time:
        yield after("time passes", "time", advance_time)
    for name, member in world.members.items():
        if left.lapse:
            yield after(f"{name} stands still", "lapse", pause, name)
        it = clone(member)
        it.tick(world.now[name])
        if it.messages or fingerprint(it) != fingerprint(member):
            yield after(f"{name} ticks", "", run_timer, name)
        if left.propose and member.holds_lease(world.now[name]):
            yield after(f"{name} proposes", "propose", propose, name)
        if left.kill:
            yield after(f"{name} is killed", "kill", restart, name, False, make)
            if left.old and world.files[name]:
                yield after(f"{name} is killed, its file goes back", "kill old", restart, name, True, make)


def explore(depth: int, max_states: int = 1 << 62, make: Callable[..., Member] = Member,
            budget: Budget | None = None, orderly: bool = True, path: Sequence[str] = ()) -> tuple[int, int]:
    """Explores the states up to this depth, breadth first, `max_states` of them at most.

    Returns the number of states and the depth that was explored completely. Raises InvariantViolation with the
    path to the violation."""
    first = start(make, budget, orderly, path)
    seen, queue, complete_depth = {first.key()}, deque([(first, 0)]), 0
    while queue:
        world, at = queue.popleft()
        complete_depth = at
        if at == depth:
            return len(seen), depth
        for new in next_states(world, make):
            key = new.key()
            if key not in seen:
                if len(seen) >= max_states:
                    return len(seen), complete_depth
                seen.add(key)
                queue.append((new, at + 1))
    return len(seen), complete_depth
