"""The BGP state machine (RFC 4271, section 8), free of sockets: events come in with `now`, acts go out to ports.

A `Session` is one connection's machine; a `Neighbour` is one configured peer, with the session it dials or waits for
and, for a moment, the one of a second connection until the collision is resolved (section 6.8). Times are ns.

What is as the RFC has it and what is chosen: connect-retry, hold and keepalive timers with jitter of 0.75 to 1;
damping of peers that fail again and again (idle-hold, section 8.1.1), doubling from FIRST_IDLE to MOST_IDLE;
a connection that comes in while one is established is closed as a collision; DelayOpen is not offered. A hold time
of 0 (never expire) is refused: a dead front end must not keep its routes. TCP MD5 is not offered: its keys need
privileges.
"""
from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from threadshift.bgp import codec
from threadshift.bgp.codec import Fault
from threadshift.bgp.path import Capabilities, Family, Path, Prefix
from threadshift.interface import SECOND

CONNECT_RETRY = 5 * SECOND     # the RFC's 120 s is for routers; a hall's router is back within seconds
OPEN_WAIT = 10 * SECOND        # from TCP up to the peer's OPEN; the RFC's 4 minutes would hide a peer that stalls
KEEPALIVE_PART = 3             # keepalives a hold time (section 10)
FIRST_IDLE, MOST_IDLE = SECOND, 60 * SECOND      # pause after a failure, doubling; a peer mended waits a minute
STEADY = 30 * SECOND           # established so long, its earlier failures are forgiven
JITTER = 0.25                  # section 10: timers take 0.75 to 1 of their length


class State(Enum):
    IDLE = "idle"
    CONNECT = "connect"
    ACTIVE = "active"
    OPEN_SENT = "open sent"
    OPEN_CONFIRM = "open confirm"
    ESTABLISHED = "established"


# A peer that still holds the session of our last life, until its hold time ends it, says one of these: it is well,
# and damping it would keep us away for long after.
NOT_YET = (codec.REJECTED, codec.COLLISION)

FSM_SUBCODE = {State.OPEN_SENT: 1, State.OPEN_CONFIRM: 2, State.ESTABLISHED: 3}      # RFC 6608


@dataclass(frozen=True, slots=True)
class LocalSpeaker:
    """This speaker."""

    asn: int
    router: int                  # id, by which collisions are resolved
    hold: int                    # s, offered
    can: Capabilities


@dataclass(frozen=True, slots=True)
class RemotePeer:
    """A configured peer."""

    name: str
    asn: int
    passive: bool = False        # waits to be dialled

    def is_internal(self, local: LocalSpeaker) -> bool:
        return self.asn == local.asn


class Wire(Protocol):
    """One connection's bytes. dial() ends in tcp_up() or tcp_failed() of its session later."""

    session: Session

    def dial(self) -> None: ...
    def send(self, data: bytes) -> None: ...
    def close(self) -> None: ...


class Routes(Protocol):
    """Who is told of a neighbour's session and of what it announces."""

    def up(self, now: int, neighbour: Neighbour) -> None: ...
    def down(self, now: int, neighbour: Neighbour, why: str) -> None: ...
    def announced(self, neighbour: Neighbour, prefixes: Sequence[Prefix], path: Path) -> None: ...
    def withdrawn(self, neighbour: Neighbour, prefixes: Sequence[Prefix]) -> None: ...
    def end_of_rib(self, neighbour: Neighbour, family: Family) -> None: ...
    def refresh_asked(self, neighbour: Neighbour, family: Family) -> None: ...
    def noted(self, neighbour: Neighbour, problem: str) -> None: ...


class Session:
    """One connection's machine. It hears messages itself, from its own reader."""

    def __init__(self, neighbour: Neighbour, wire: Wire, dials: bool):
        self.neighbour, self.wire, self.dials = neighbour, wire, dials
        wire.session = self
        self.state = State.IDLE
        self.timers: dict[str, int] = {}
        self.hold = 0                    # ns, agreed on
        self.router = 0                  # the peer's id, once heard
        self.can = Capabilities()        # the peer's
        self.now = 0
        self.reader = codec.Reader(self)

    # Events from outside.

    def start(self, now: int) -> None:
        """ManualStart or AutomaticStart, with or without passive establishment."""
        self.now = now
        if self.state is not State.IDLE:
            return
        if self.dials:
            self.enter(State.CONNECT)
            self.set("connect-retry", CONNECT_RETRY)
            self.wire.dial()
        else:
            self.enter(State.ACTIVE)

    def stop(self, now: int, subcode: int, reason: str) -> None:
        """ManualStop: a CEASE with a shutdown communication where a peer listens, then idle."""
        self.now = now
        if self.state in FSM_SUBCODE:
            self.wire.send(codec.write_notification(codec.CEASE, subcode, codec.write_reason(reason)))
        self.end(f"stopped here: {reason}", failed=False)

    def tcp_up(self, now: int) -> None:
        """TcpConnectionConfirmed, or an incoming connection that was given to this session."""
        self.now = now
        if self.state not in (State.CONNECT, State.ACTIVE):
            return
        self.timers.clear()
        local = self.neighbour.local
        self.reader = codec.Reader(self)
        self.enter(State.OPEN_SENT)
        self.set("hold", OPEN_WAIT, jitter=False)
        self.wire.send(codec.write_open(local.asn, local.hold, local.router, local.can))

    def tcp_failed(self, now: int) -> None:
        """TcpConnectionFails, in any state."""
        self.now = now
        if self.state is State.CONNECT:
            self.enter(State.ACTIVE)
            self.set("connect-retry", CONNECT_RETRY)
        elif self.state is State.OPEN_SENT and self.dials:
            self.timers.clear()
            self.enter(State.ACTIVE)
            self.set("connect-retry", CONNECT_RETRY)
        elif self.state is not State.IDLE and not (self.state is State.ACTIVE and not self.dials):
            self.end("the connection ended")

    def data(self, now: int, data: bytes) -> None:
        """Bytes from the peer."""
        self.now = now
        if self.state not in FSM_SUBCODE:
            return
        try:
            self.reader.feed(data)
        except Fault as fault:
            self.fail(fault)

    def due(self) -> int | None:
        return min(self.timers.values(), default=None)

    def tick(self, now: int) -> None:
        self.now = now
        for name in sorted(self.timers, key=lambda each: (self.timers[each], each)):
            if name in self.timers and self.timers[name] <= now:
                del self.timers[name]
                self.lapse(name)

    # Timers.

    def set(self, name: str, length: int, jitter: bool = True) -> None:
        part = 1 - JITTER * self.neighbour.chance() if jitter else 1.0
        self.timers[name] = self.now + int(length * part)

    def lapse(self, name: str) -> None:
        if name == "hold":
            self.fail(Fault(codec.HOLD_EXPIRED, 0, text="nothing heard within the hold time"))
        elif name == "keepalive":
            self.wire.send(codec.write_keepalive())
            self.set("keepalive", self.hold // KEEPALIVE_PART)
        elif self.state is State.CONNECT:
            self.wire.close()
            self.set("connect-retry", CONNECT_RETRY)
            self.wire.dial()
        elif self.state is State.ACTIVE and self.dials:
            self.enter(State.CONNECT)
            self.set("connect-retry", CONNECT_RETRY)
            self.wire.dial()

    # Messages, called by the reader.

    def opened(self, asn: int, hold: int, router: int, can: Capabilities) -> None:
        if self.state is not State.OPEN_SENT:
            raise self.out_of_order("OPEN")
        local, remote = self.neighbour.local, self.neighbour.remote
        if asn != remote.asn:
            raise Fault(codec.OPEN_ERROR, codec.BAD_PEER_AS, text=f"AS {asn} answers, {remote.asn} was expected")
        if router == local.router and remote.is_internal(local):
            raise Fault(codec.OPEN_ERROR, codec.BAD_IDENTIFIER, text="the peer has our router id")
        if hold == 0:
            raise Fault(codec.OPEN_ERROR, codec.BAD_HOLD_TIME, text="a hold time of 0 keeps a dead peer's routes")
        self.router, self.can, self.hold = router, can, min(local.hold, hold) * SECOND
        self.reader.four_octets = can.four_octets is not None
        self.enter(State.OPEN_CONFIRM)
        if not self.neighbour.resolve(self):
            return
        self.wire.send(codec.write_keepalive())
        self.set("keepalive", self.hold // KEEPALIVE_PART)
        self.set("hold", self.hold, jitter=False)

    def kept_alive(self) -> None:
        if self.state is State.OPEN_SENT:
            raise self.out_of_order("KEEPALIVE")
        self.set("hold", self.hold, jitter=False)
        if self.state is State.OPEN_CONFIRM:
            self.enter(State.ESTABLISHED)
            self.neighbour.established(self)

    def notified(self, code: int, subcode: int, data: bytes) -> None:
        reason = codec.read_reason(data) if code == codec.CEASE and subcode in (
            codec.ADMIN_SHUTDOWN, codec.ADMIN_RESET) else ""
        self.reader.ended = True
        self.end(f"the peer says error {code}/{subcode}{': ' + reason if reason else ''}",
                 damped=code != codec.CEASE or subcode not in NOT_YET)

    def update(self) -> None:
        """What every UPDATE does, whatever it says."""
        if self.state is not State.ESTABLISHED:
            raise self.out_of_order("UPDATE")
        self.set("hold", self.hold, jitter=False)

    def announced(self, prefixes: Sequence[Prefix], path: Path) -> None:
        self.update()
        self.neighbour.routes.announced(self.neighbour, prefixes, path)

    def withdrawn(self, prefixes: Sequence[Prefix]) -> None:
        self.update()
        self.neighbour.routes.withdrawn(self.neighbour, prefixes)

    def end_of_rib(self, family: Family) -> None:
        self.update()
        self.neighbour.routes.end_of_rib(self.neighbour, family)

    def refresh_asked(self, family: Family) -> None:
        if self.state is not State.ESTABLISHED:
            raise self.out_of_order("ROUTE-REFRESH")
        self.neighbour.routes.refresh_asked(self.neighbour, family)

    def noted(self, problem: str) -> None:
        self.neighbour.routes.noted(self.neighbour, problem)

    # Ends.

    def out_of_order(self, what: str) -> Fault:
        return Fault(codec.FSM_ERROR, FSM_SUBCODE[self.state], text=f"{what} came in state {self.state.value}")

    def fail(self, fault: Fault) -> None:
        self.reader.ended = True
        self.wire.send(codec.write_notification(fault.code, fault.subcode, fault.data))
        self.end(f"{fault} (sent {fault.code}/{fault.subcode})")

    def dropped(self) -> None:
        """Lost a collision (section 6.8)."""
        self.reader.ended = True
        if self.state in FSM_SUBCODE:
            self.wire.send(codec.write_notification(codec.CEASE, codec.COLLISION))
        self.timers.clear()
        self.state = State.IDLE
        self.wire.close()

    def end(self, why: str, failed: bool = True, damped: bool = True) -> None:
        was = self.state
        self.timers.clear()
        self.state = State.IDLE
        self.wire.close()
        self.neighbour.ended(self, was, why, failed, damped)

    def enter(self, state: State) -> None:
        self.state = state


class Neighbour:
    """One configured peer. `wire(dials)` makes a port for a session."""

    def __init__(self, local: LocalSpeaker, remote: RemotePeer, routes: Routes, wire: Callable[[Neighbour], Wire],
                 chance: Callable[[], float]):
        self.local, self.remote, self.routes, self.wire, self.chance = local, remote, routes, wire, chance
        self.session = Session(self, wire(self), not remote.passive)
        self.second: Session | None = None
        self.wanted = False
        self.idle_until: int | None = None
        self.pause = 0
        self.since = 0                   # established since, 0: not
        self.now = 0
        self.last = ""                   # why the last session ended
        self.ups = self.downs = 0

    # Events.

    def start(self, now: int) -> None:
        self.now, self.wanted, self.idle_until = now, True, None
        self.session.start(now)

    def begin(self, now: int) -> None:
        """As start(), in its turn among all peers that want to dial (pace.py)."""
        if self.remote.passive:
            self.start(now)
        else:
            self.now, self.wanted, self.idle_until = now, True, now

    def stop(self, now: int, subcode: int, reason: str) -> None:
        self.now, self.wanted, self.idle_until = now, False, None
        if self.second is not None:
            second, self.second = self.second, None
            second.stop(now, subcode, reason)
        self.session.stop(now, subcode, reason)

    def incoming(self, now: int, wire: Wire) -> Session | None:
        """A connection from this peer: the session that has it now, None where it is not wanted."""
        self.now = now
        if not self.wanted or self.idle_until is not None or self.second is not None or (
                self.session.state is State.ESTABLISHED):
            return None
        if self.session.state in (State.CONNECT, State.ACTIVE, State.IDLE):
            if self.session.state is State.CONNECT:
                self.session.wire.close()           # our dialling is overtaken
            taken = Session(self, wire, self.session.dials)
            taken.state = State.ACTIVE
            self.session = taken
            taken.tcp_up(now)
            return taken
        self.second = Session(self, wire, False)
        self.second.state = State.ACTIVE
        self.second.tcp_up(now)
        return self.second

    def due(self) -> int | None:
        dues = [self.session.due(), self.second.due() if self.second else None, self.idle_until]
        return min((each for each in dues if each is not None), default=None)

    def dials_at(self) -> int | None:
        """When its timers would have it dial."""
        if self.remote.passive:
            return None
        return self.idle_until if self.idle_until is not None else self.session.timers.get("connect-retry")

    def tick(self, now: int) -> None:
        self.now = now
        if self.idle_until is not None and self.idle_until <= now:
            self.idle_until = None
            self.renew()
            self.session.start(now)
        for session in (self.session, self.second):
            if session is not None:
                session.tick(now)

    # From its sessions.

    @property
    def established_session(self) -> Session | None:
        return self.session if self.session.state is State.ESTABLISHED else None

    def resolve(self, session: Session) -> bool:
        """Section 6.8: of two connections the one that the higher router id opened stays. Whether this one does."""
        other = self.second if session is self.session else self.session
        if other is None or other.state is not State.OPEN_CONFIRM:
            return True
        ours_stays = self.local.router > session.router or self.local.router == session.router and (
            self.local.asn > self.remote.asn)            # RFC 6286, section 2.3
        dialled, came = (self.session, self.second) if self.second else (self.session, None)
        keep, drop = (dialled, came) if ours_stays else (came, dialled)
        assert keep is not None and drop is not None
        self.session, self.second = keep, None
        drop.dropped()
        return keep is session

    def established(self, session: Session) -> None:
        self.now = session.now
        if self.second is not None:
            loser = self.second if session is self.session else self.session
            self.session, self.second = session, None
            loser.dropped()
        self.since, self.ups = session.now, self.ups + 1
        self.routes.up(session.now, self)

    def ended(self, session: Session, was: State, why: str, failed: bool, damped: bool) -> None:
        """`damped`: whether our pause grows by it."""
        self.now, self.last = session.now, why
        if session is self.second:
            self.second = None
            return
        if was is State.ESTABLISHED:
            self.downs += 1
            if session.now - self.since >= STEADY:
                self.pause = 0
            self.since = 0
            self.routes.down(session.now, self, why)
        if self.second is not None:
            self.session, self.second = self.second, None       # the other connection goes on alone
            return
        if failed and self.wanted and self.idle_until is None:
            self.pause = max(FIRST_IDLE, min(MOST_IDLE, 2 * self.pause) if damped else self.pause)
            self.idle_until = session.now + int(self.pause * (1 - JITTER * self.chance()))

    def renew(self) -> None:
        self.session = Session(self, self.wire(self), not self.remote.passive)

    @property
    def state(self) -> State:
        return self.session.state
