"""The `peers` block of a configuration: the front ends of an installation, and which of them are voters."""
from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from threadshift.batches.cancels import DEFAULT_UNDO_WINDOW
from threadshift.conf import values
from threadshift.conf.reading import BlockSpec, Directive, DirectiveSpec, nearest
from threadshift.conf.values import Address
from threadshift.consensus.member import Timing, InvalidVoters, check_voters
from threadshift.interface import MS, SECOND

MIN_LEASE = 300 * MS       # with a shorter one, a busy process loses its lease
MAX_LEASE = 60 * SECOND    # with a longer one, no front end may hold the lease for a minute
HEARTBEATS_PER_LEASE = 7   # so that some may be lost
MAX_FRONT_ENDS = 200
LOCATION_KEYS = ("hall", "machine")


class Peer(NamedTuple):
    """One front end of the installation."""

    name: str
    address: Address
    voter: bool
    hall: str = ""
    machine: str = ""


class PeersConfig(NamedTuple):
    """All front ends of the installation, listed alike in each of its configuration files."""

    peers: tuple[Peer, ...]
    folder: Path               # holds the state of this front end that must survive a restart
    timing: Timing
    undo: int                  # ns, in which a cancelled batch may be restored

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(each.name for each in self.peers if each.voter)

    def peer(self, name: str) -> Peer | None:
        return next((each for each in self.peers if each.name == name), None)


PEERS = BlockSpec({
    "folder": DirectiveSpec(Path, required=True),
    "lease": DirectiveSpec(values.duration, Timing().lease),
    "undo": DirectiveSpec(values.duration, DEFAULT_UNDO_WINDOW),
})


def parse_peers(block: Directive, names: list[str]) -> PeersConfig:
    """Reads a `peers` block. `names` are the front ends of this file, which it must list.

    Raises ConfigurationError."""
    lines = block.block or []
    members = [line for line in lines if line.name in ("voter", "follower")]
    for line in lines:
        if line not in members and line.name not in PEERS.known:
            close = nearest(line.name, [*PEERS.known, "voter", "follower"])
            raise line.error(f"unknown directive '{line.name}'{close}")
    found = PEERS.read([line for line in lines if line not in members], block, block.file)
    peers: dict[str, Peer] = {}
    for line in members:
        peer = parse_member(line)
        if peer.name in peers:
            raise line.error(f"'{peer.name}' stands twice")
        if peer.address in (each.address for each in peers.values()):
            raise line.error(f"{peer.address} stands twice: each listens for its peers at an address of its own")
        peers[peer.name] = peer
    if not MIN_LEASE <= found["lease"] <= MAX_LEASE:
        raise block.error(f"'lease': from {MIN_LEASE // MS}ms to {MAX_LEASE // SECOND}s")
    if len(peers) > MAX_FRONT_ENDS:
        raise block.error(f"{len(peers)} front ends; at most {MAX_FRONT_ENDS} share a replicated record")
    try:
        check_voters([each.name for each in peers.values() if each.voter])
    except InvalidVoters as problem:
        raise block.error(f"{problem}; {problem.help}") from None
    for name in names:
        if name not in peers:
            raise block.error(f"'{name}' is a front end of this file and is not named here{nearest(name, peers)}")
    lease = found["lease"]
    return PeersConfig(tuple(peers.values()), found["folder"], Timing(lease // HEARTBEATS_PER_LEASE, lease),
                       found["undo"])


def parse_member(line: Directive) -> Peer:
    """Reads one front end: 'voter front-0 127.0.0.1:7001 hall east machine m1'."""
    if len(line.words) < 2 or len(line.words) % 2:
        raise line.error(
            f"'{line.name}' takes a name and an address, then {' and '.join(LOCATION_KEYS)} with a word each")
    location = dict(zip(line.words[2::2], line.words[3::2], strict=True))
    for key in location:
        if key not in LOCATION_KEYS:
            raise line.error(f"'{key}' is not known of a front end{nearest(key, LOCATION_KEYS)}")
    try:
        return Peer(values.name(line.words[0]), values.address(line.words[1]), line.name == "voter",
                    **{key: values.name(word) for key, word in location.items()})
    except ValueError as problem:
        raise line.error(f"'{line.name} {' '.join(line.words)}': {problem}") from None
