"""Every order of events, to a stated depth, over the real text of consensus/member.py.

Three voters, one of which has just come to hold the right. What may happen next: a message is heard, lost or heard
twice, in the order of its link or in any; time passes for all by a part of a lease; a member acts by its timer; one
stands still; one is killed and comes back with its file as it was, or as it was before its last write; whoever holds
the right proposes. Each kind has a budget, so that the number of states stays finite; states that are the same are
looked at once. What has to hold is that of emulator/record.py."""
from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from threadshift.consensus.kept import Entry, Kept
from threadshift.consensus.member import Member, Message, Timing
from threadshift.emulator.record import InvariantViolation

TIMING = Timing(beat=1_000, lease=9_000)
STEP = 5_000               # of time: two of them pass a lease, one a beat
NAMES = ("a", "b", "c")


class Budget(NamedTuple):
    """How often each may happen in one history."""

    time: int = 5
    lose: int = 1
    repeat: int = 1
    kill: int = 1
    old: int = 1               # of the kills: the file is as it was before the last write
    propose: int = 1
    lapse: int = 1             # time passes for one alone: the others stood still


@dataclass
class World:
    """One state: members, their files as lists of records, messages under way, what was seen of committed entries."""

    members: dict[str, Member]
    files: dict[str, list[list[dict[str, Any]]]]     # writes, each a list of records
    air: list[tuple[str, Message]]
    left: Budget
    now: dict[str, int]
    known: dict[int, Entry] = field(default_factory=dict)
    path: tuple[str, ...] = ()
    orderly: bool = True       # messages on one link come in their order, as over one connection

    def copy(self) -> World:
        members = {name: clone(each) for name, each in self.members.items()}
        return World(members, {name: list(each) for name, each in self.files.items()}, list(self.air), self.left,
                     dict(self.now), dict(self.known), self.path, self.orderly)

    def key(self) -> tuple:
        return (tuple(print_of(each) for each in self.members.values()), tuple(self.now.values()), self.left,
                (repr(sorted(self.air, key=lambda each: (each[0], each[1].to))),) if self.orderly else
                frozenset(Counter(repr(each) for each in self.air).items()),
                tuple(repr(each[-2:]) for each in self.files.values()))


def clone(it: Member) -> Member:
    new = object.__new__(type(it))
    new.__dict__.update(it.__dict__)
    new.log, new.yes = list(it.log), set(it.yes)
    new.peers = {name: replace(each) for name, each in it.peers.items()}
    new.records, new.messages = [], []
    if it.returning is not None:
        new.returning = replace(it.returning, words=dict(it.returning.words))
    return new


def print_of(it: Member) -> tuple:
    return (it.term, it.vote, it.role, it.holder, it.heard, it.due, it.commit, it.applied, tuple(map(repr, it.log)),
            frozenset(it.yes), it.floor, repr(sorted(it.peers.items())), repr(it.returning))


def carry(world: World, name: str) -> None:
    effects = world.members[name].take()
    if effects.records:
        world.files[name].append(effects.records)
    world.air += [(name, each) for each in effects.messages]
    for told in effects.told:
        if world.known.setdefault(told.place, told.entry) != told.entry:
            raise InvariantViolation(f"entry {told.place} is {world.known[told.place]} and, at {name}, {told.entry}: "
                         f"{'; '.join(world.path)}")


def check(world: World) -> None:
    holders = [name for name, each in world.members.items() if each.holds(world.now[name])]
    if len(holders) > 1:
        raise InvariantViolation(f"{holders} hold at once: {'; '.join(world.path)}")


def start(make: Callable[..., Member] = Member, budget: Budget | None = None, orderly: bool = True,
          path: Sequence[str] = ()) -> World:
    """All take part, and `a` has just come to hold the right; then what `path` says happened."""
    now = 100 * TIMING.lease
    members = {name: make(now, name, NAMES, (), lambda: 0.5, Kept(), TIMING)
               for name in NAMES}
    world = World(members, {name: [] for name in NAMES}, [], Budget(), dict.fromkeys(NAMES, now))
    for each in members.values():
        each.returning = None
    members["a"].due = now
    members["a"].tick(now)
    carry(world, "a")
    while world.air:
        heard(world, 0, False)
    world.orderly = orderly
    for step in path:
        world = next(new for new in nexts(world, make) if new.path[-1] == step)
    world.left, world.path = budget or Budget(), ()
    return world


def heard(world: World, place: int, stays: bool) -> None:
    sender, message = world.air[place] if stays else world.air.pop(place)
    getattr(world.members[message.to], message.kind)(world.now[message.to], sender, **message.fields)
    carry(world, message.to)


def killed(world: World, name: str, old: bool, make: Callable[..., Member]) -> None:
    if old:
        world.files[name].pop()
    kept = Kept.of([record for write in world.files[name] for record in write])
    world.members[name] = make(world.now[name], name, NAMES, (), lambda: 0.5, kept, TIMING)
    # What was on its way to the life before is gone with its connections; what it had sent may still be read.
    world.air = [each for each in world.air if each[1].to != name]
    carry(world, name)


def lose(world: World, place: int) -> None:
    world.air.pop(place)


def passes(world: World, of: Collection[str] = NAMES, ns: int = STEP) -> None:
    world.now.update({name: world.now[name] + ns for name in of})


def stands_still(world: World, name: str) -> None:
    """Time passes, and one does nothing in it, its timer included."""
    passes(world, ns=2 * STEP)
    world.members[name].due += 2 * STEP


def ticks(world: World, name: str) -> None:
    world.members[name].tick(world.now[name])
    carry(world, name)


def proposes(world: World, name: str) -> None:
    world.members[name].propose(world.now[name], {"n": world.left.propose})
    carry(world, name)


def nexts(world: World, make: Callable[..., Member]) -> Iterator[World]:
    """Every state that may follow."""
    left = world.left

    def after(text: str, used: str, act: Callable[..., None], *words: Any) -> World:
        new = world.copy()
        new.path += (text,)
        for name in used.split():
            new.left = new.left._replace(**{name: getattr(new.left, name) - 1})
        act(new, *words)
        check(new)
        return new

    seen = set()
    for place, (sender, message) in enumerate(world.air):
        link = (sender, message.to) if world.orderly else repr((sender, message))
        if link in seen:
            continue
        seen.add(link)
        text = f"{message.to} hears {message.kind} of {sender}"
        yield after(text, "", heard, place, False)
        if left.lose:
            yield after(f"lost: {text}", "lose", lose, place)
        if left.repeat:
            yield after(f"repeated: {text}", "repeat", heard, place, True)
    if left.time:
        yield after("time passes", "time", passes)
    for name, member in world.members.items():
        if left.lapse:
            yield after(f"{name} stands still", "lapse", stands_still, name)
        it = clone(member)
        it.tick(world.now[name])
        if it.messages or print_of(it) != print_of(member):
            yield after(f"{name} ticks", "", ticks, name)
        if left.propose and member.holds(world.now[name]):
            yield after(f"{name} proposes", "propose", proposes, name)
        if left.kill:
            yield after(f"{name} is killed", "kill", killed, name, False, make)
            if left.old and world.files[name]:
                yield after(f"{name} is killed, its file goes back", "kill old", killed, name, True, make)


def explore(depth: int, most: int = 1 << 62, make: Callable[..., Member] = Member,
            budget: Budget | None = None, orderly: bool = True, path: Sequence[str] = ()) -> tuple[int, int]:
    """Looks at all states up to this depth, breadth first, `most` of them at the most: how many states there were,
    and the depth that was looked at whole. Raises InvariantViolation with the path."""
    first = start(make, budget, orderly, path)
    seen, queue, whole = {first.key()}, deque([(first, 0)]), 0
    while queue:
        world, at = queue.popleft()
        whole = at
        if at == depth:
            return len(seen), depth
        for new in nexts(world, make):
            key = new.key()
            if key not in seen:
                if len(seen) >= most:
                    return len(seen), whole
                seen.add(key)
                queue.append((new, at + 1))
    return len(seen), whole
