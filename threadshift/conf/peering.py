"""The `peers` block of a configuration: who the front ends of an installation are, and which of them are voters."""
from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from threadshift.batches.cancels import WINDOW
from threadshift.conf import values
from threadshift.conf.reading import Block, Directive, Word, nearest
from threadshift.conf.values import Address
from threadshift.consensus.member import Timing, Voters, checked
from threadshift.interface import MS, SECOND

# shorter, a busy process loses it; longer, a minute without a holder
LEAST_LEASE, MOST_LEASE = 300 * MS, 60 * SECOND
BEATS = 7                  # of a holder within a lease: some may be lost
MOST_MEMBERS = 200
FACTS = ("hall", "machine")


class Peer(NamedTuple):
    """One front end of the installation."""

    name: str
    address: Address
    voter: bool
    hall: str = ""
    machine: str = ""


class Peering(NamedTuple):
    """All of them, as every configuration file of the installation has to say."""

    peers: tuple[Peer, ...]
    folder: Path               # what must last of this front end lies here
    timing: Timing
    undo: int                  # ns, in which a cancelled batch may be restored

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(each.name for each in self.peers if each.voter)

    def peer(self, name: str) -> Peer | None:
        return next((each for each in self.peers if each.name == name), None)


PEERS = Block({
    "folder": Word(Path, wanted=True),
    "lease": Word(values.duration, Timing().lease),
    "undo": Word(values.duration, WINDOW),
})


def peering(block: Directive, names: list[str]) -> Peering:
    """Reads it; `names` are the front ends of this file, each of which must be named in it. Raises ConfigurationError."""
    lines = block.block or []
    members = [line for line in lines if line.name in ("voter", "follower")]
    for line in lines:
        if line not in members and line.name not in PEERS.known:
            close = nearest(line.name, [*PEERS.known, "voter", "follower"])
            raise line.wrong(f"unknown directive '{line.name}'{close}")
    found = PEERS.read([line for line in lines if line not in members], block, block.file)
    peers: dict[str, Peer] = {}
    for line in members:
        it = member(line)
        if it.name in peers:
            raise line.wrong(f"'{it.name}' stands twice")
        if it.address in (each.address for each in peers.values()):
            raise line.wrong(f"{it.address} stands twice: each listens for its peers at an address of its own")
        peers[it.name] = it
    if not LEAST_LEASE <= found["lease"] <= MOST_LEASE:
        raise block.wrong(f"'lease': from {LEAST_LEASE // MS}ms to {MOST_LEASE // SECOND}s")
    if len(peers) > MOST_MEMBERS:
        raise block.wrong(f"{len(peers)} front ends; at most {MOST_MEMBERS} hold a record in common")
    try:
        checked([each.name for each in peers.values() if each.voter])
    except Voters as problem:
        raise block.wrong(f"{problem}; {problem.help}") from None
    for name in names:
        if name not in peers:
            raise block.wrong(f"'{name}' is a front end of this file and is not named here{nearest(name, peers)}")
    lease = found["lease"]
    return Peering(tuple(peers.values()), found["folder"], Timing(lease // BEATS, lease), found["undo"])


def member(line: Directive) -> Peer:
    """'voter front-0 127.0.0.1:7001 hall east machine m1'."""
    if len(line.words) < 2 or len(line.words) % 2:
        raise line.wrong(f"'{line.name}' takes a name and an address, then {' and '.join(FACTS)} with a word each")
    facts = dict(zip(line.words[2::2], line.words[3::2], strict=True))
    for fact in facts:
        if fact not in FACTS:
            raise line.wrong(f"'{fact}' is not told of a front end{nearest(fact, FACTS)}")
    try:
        return Peer(values.name(line.words[0]), values.address(line.words[1]), line.name == "voter",
                    **{fact: values.name(word) for fact, word in facts.items()})
    except ValueError as problem:
        raise line.wrong(f"'{line.name} {' '.join(line.words)}': {problem}") from None
