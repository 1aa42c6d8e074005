"""The BGP state machine (RFC 4271, section 8), without sockets: events come in with `now`, actions go to ports.

A `Session` is the state machine of one connection. A `Neighbour` is one configured peer; it has one session, and a
second one for a moment if both sides connect, until the collision is resolved (section 6.8). Times are ns.

Choices within the RFC: the connect-retry and keepalive timers are shortened by jitter of up to a quarter. Peers that
fail repeatedly are damped (idle hold, section 8.1.1) with a pause that doubles from MIN_PAUSE to MAX_PAUSE. An
incoming connection while a session is established is closed as a collision. DelayOpen is not supported. A hold
time of 0 (never expire) is refused, since it would keep the routes of a dead front end. TCP MD5 is not supported, as
setting its keys needs privileges.
"""
from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from threadshift.bgp import codec
from threadshift.bgp.codec import ProtocolError
from threadshift.bgp.path import Capabilities, Family, Path, Prefix
from threadshift.interface import SECOND

CONNECT_RETRY_TIME = 5 * SECOND    # RFC 4271 suggests 120 s for routers; the router of a zone is back within seconds
OPEN_TIMEOUT = 10 * SECOND         # for the peer's OPEN; the RFC's 4 minutes would hide a peer that stalls
KEEPALIVES_PER_HOLD_TIME = 3       # RFC 4271, section 10
MIN_PAUSE = SECOND                 # after a failure; doubles with each further one
MAX_PAUSE = 60 * SECOND            # also the longest wait for a peer that has recovered
STABLE_AFTER = 30 * SECOND         # a session established for this long clears the earlier failures
TIMER_JITTER = 0.25                # RFC 4271, section 10: timers take 0.75 to 1 of their length


class State(Enum):
    """States of RFC 4271, section 8.2.2."""

    IDLE = "idle"
    CONNECT = "connect"
    ACTIVE = "active"
    OPEN_SENT = "open sent"
    OPEN_CONFIRM = "open confirm"
    ESTABLISHED = "established"


# Subcodes of CEASE that a healthy peer sends while it still holds the session of our previous process, until its hold
# time ends that session. Damping such a peer would keep this front end away for long afterwards.
UNDAMPED_CEASES = (codec.CONNECTION_REJECTED, codec.CONNECTION_COLLISION)

FSM_ERROR_SUBCODES = {State.OPEN_SENT: 1, State.OPEN_CONFIRM: 2, State.ESTABLISHED: 3}       # RFC 6608


@dataclass(frozen=True, slots=True)
class LocalSpeaker:
    """The configuration of this BGP speaker."""

    asn: int
    router_id: int               # decides which of two colliding connections stays
    hold_time_s: int             # offered
    capabilities: Capabilities


@dataclass(frozen=True, slots=True)
class RemotePeer:
    """The configuration of a peer."""

    name: str
    asn: int
    passive: bool = False        # the peer dials

    def is_internal(self, local: LocalSpeaker) -> bool:
        return self.asn == local.asn


class Transport(Protocol):
    """The TCP connection of a session. dial() leads to tcp_up() or tcp_failed() of the session later."""

    session: Session

    def dial(self) -> None: ...
    def send(self, data: bytes) -> None: ...
    def close(self) -> None: ...


class NeighbourObserver(Protocol):
    """Is notified of a neighbour's session and of its announcements."""

    def up(self, now: int, neighbour: Neighbour) -> None: ...
    def down(self, now: int, neighbour: Neighbour, why: str) -> None: ...
    def announced(self, neighbour: Neighbour, prefixes: Sequence[Prefix], path: Path) -> None: ...
    def withdrawn(self, neighbour: Neighbour, prefixes: Sequence[Prefix]) -> None: ...
    def end_of_rib(self, neighbour: Neighbour, family: Family) -> None: ...
    def refresh_asked(self, neighbour: Neighbour, family: Family) -> None: ...
    def noted(self, neighbour: Neighbour, problem: str) -> None: ...


class Session:
    """The state machine of one connection, and the message handler of its reader."""

    def __init__(self, neighbour: Neighbour, transport: Transport, dials: bool):
        self.neighbour, self.transport, self.dials = neighbour, transport, dials
        transport.session = self
        self.state = State.IDLE
        self.timers: dict[str, int] = {}
        self.hold_time = 0                       # ns, negotiated
        self.router_id = 0                       # the peer's, from its OPEN
        self.capabilities = Capabilities()       # the peer's
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
            self.start_timer("connect-retry", CONNECT_RETRY_TIME)
            self.transport.dial()
        else:
            self.enter(State.ACTIVE)

    def stop(self, now: int, subcode: int, reason: str) -> None:
        """ManualStop: sends a CEASE with a shutdown communication if the peer is connected."""
        self.now = now
        if self.state in FSM_ERROR_SUBCODES:
            self.transport.send(codec.write_notification(codec.CEASE, subcode, codec.write_reason(reason)))
        self.end(f"stopped here: {reason}", failed=False)

    def tcp_up(self, now: int) -> None:
        """TcpConnectionConfirmed, or an incoming connection assigned to this session."""
        self.now = now
        if self.state not in (State.CONNECT, State.ACTIVE):
            return
        self.timers.clear()
        local = self.neighbour.local
        self.reader = codec.Reader(self)
        self.enter(State.OPEN_SENT)
        self.start_timer("hold", OPEN_TIMEOUT, jitter=False)
        self.transport.send(codec.write_open(local.asn, local.hold_time_s, local.router_id, local.capabilities))

    def tcp_failed(self, now: int) -> None:
        """TcpConnectionFails, in any state."""
        self.now = now
        if self.state is State.CONNECT:
            self.enter(State.ACTIVE)
            self.start_timer("connect-retry", CONNECT_RETRY_TIME)
        elif self.state is State.OPEN_SENT and self.dials:
            self.timers.clear()
            self.enter(State.ACTIVE)
            self.start_timer("connect-retry", CONNECT_RETRY_TIME)
        elif self.state is not State.IDLE and not (self.state is State.ACTIVE and not self.dials):
            self.end("the connection ended")

    def receive(self, now: int, data: bytes) -> None:
        """Processes bytes from the peer."""
        self.now = now
        if self.state not in FSM_ERROR_SUBCODES:
            return
        try:
            self.reader.feed(data)
        except ProtocolError as error:
            self.fail(error)

    def next_timeout(self) -> int | None:
        return min(self.timers.values(), default=None)

    def tick(self, now: int) -> None:
        """Runs the timers that have expired, in order."""
        self.now = now
        for name in sorted(self.timers, key=lambda each: (self.timers[each], each)):
            if name in self.timers and self.timers[name] <= now:
                del self.timers[name]
                self.on_timer(name)

    # Timers.

    def start_timer(self, name: str, length: int, jitter: bool = True) -> None:
        factor = 1 - TIMER_JITTER * self.neighbour.chance() if jitter else 1.0
        self.timers[name] = self.now + int(length * factor)

    def on_timer(self, name: str) -> None:
        if name == "hold":
            self.fail(ProtocolError(codec.HOLD_TIMER_EXPIRED, 0, text="no message within the hold time"))
        elif name == "keepalive":
            self.transport.send(codec.write_keepalive())
            self.start_timer("keepalive", self.hold_time // KEEPALIVES_PER_HOLD_TIME)
        elif self.state is State.CONNECT:
            self.transport.close()
            self.start_timer("connect-retry", CONNECT_RETRY_TIME)
            self.transport.dial()
        elif self.state is State.ACTIVE and self.dials:
            self.enter(State.CONNECT)
            self.start_timer("connect-retry", CONNECT_RETRY_TIME)
            self.transport.dial()

    # Messages, called by the reader.

    def opened(self, asn: int, hold_time: int, router_id: int, capabilities: Capabilities) -> None:
        """OPEN; `hold_time` is in seconds."""
        if self.state is not State.OPEN_SENT:
            raise self.unexpected("OPEN")
        local, remote = self.neighbour.local, self.neighbour.remote
        if asn != remote.asn:
            raise ProtocolError(codec.OPEN_ERROR, codec.BAD_PEER_AS,
                                text=f"the peer is AS {asn}, {remote.asn} is configured")
        if router_id == local.router_id and remote.is_internal(local):
            raise ProtocolError(codec.OPEN_ERROR, codec.BAD_BGP_IDENTIFIER, text="the peer has our router id")
        if hold_time == 0:
            raise ProtocolError(codec.OPEN_ERROR, codec.UNACCEPTABLE_HOLD_TIME,
                                text="a hold time of 0 would keep the routes of a dead peer")
        self.router_id, self.capabilities, self.hold_time = (
            router_id, capabilities, min(local.hold_time_s, hold_time) * SECOND)
        self.reader.four_octet_as = capabilities.four_octet_asn is not None
        self.enter(State.OPEN_CONFIRM)
        if not self.neighbour.resolve_collision(self):
            return
        self.transport.send(codec.write_keepalive())
        self.start_timer("keepalive", self.hold_time // KEEPALIVES_PER_HOLD_TIME)
        self.start_timer("hold", self.hold_time, jitter=False)

    def kept_alive(self) -> None:
        """KEEPALIVE."""
        if self.state is State.OPEN_SENT:
            raise self.unexpected("KEEPALIVE")
        self.start_timer("hold", self.hold_time, jitter=False)
        if self.state is State.OPEN_CONFIRM:
            self.enter(State.ESTABLISHED)
            self.neighbour.on_established(self)

    def notified(self, code: int, subcode: int, data: bytes) -> None:
        """NOTIFICATION."""
        reason = codec.read_reason(data) if code == codec.CEASE and subcode in (
            codec.ADMIN_SHUTDOWN, codec.ADMIN_RESET) else ""
        self.reader.ended = True
        self.end(f"the peer sent error {code}/{subcode}{': ' + reason if reason else ''}",
                 damped=code != codec.CEASE or subcode not in UNDAMPED_CEASES)

    def on_update(self) -> None:
        """Checks the state and restarts the hold timer, for every UPDATE."""
        if self.state is not State.ESTABLISHED:
            raise self.unexpected("UPDATE")
        self.start_timer("hold", self.hold_time, jitter=False)

    def announced(self, prefixes: Sequence[Prefix], path: Path) -> None:
        self.on_update()
        self.neighbour.observer.announced(self.neighbour, prefixes, path)

    def withdrawn(self, prefixes: Sequence[Prefix]) -> None:
        self.on_update()
        self.neighbour.observer.withdrawn(self.neighbour, prefixes)

    def end_of_rib(self, family: Family) -> None:
        self.on_update()
        self.neighbour.observer.end_of_rib(self.neighbour, family)

    def refresh_asked(self, family: Family) -> None:
        """ROUTE-REFRESH."""
        if self.state is not State.ESTABLISHED:
            raise self.unexpected("ROUTE-REFRESH")
        self.neighbour.observer.refresh_asked(self.neighbour, family)

    def noted(self, problem: str) -> None:
        """A malformed part of a message that was ignored."""
        self.neighbour.observer.noted(self.neighbour, problem)

    # The end of the session.

    def unexpected(self, message: str) -> ProtocolError:
        return ProtocolError(codec.FSM_ERROR, FSM_ERROR_SUBCODES[self.state],
                             text=f"{message} is not allowed in state {self.state.value}")

    def fail(self, error: ProtocolError) -> None:
        """Ends the session with the NOTIFICATION of an error."""
        self.reader.ended = True
        self.transport.send(codec.write_notification(error.code, error.subcode, error.data))
        self.end(f"{error} (sent {error.code}/{error.subcode})")

    def close_as_collision(self) -> None:
        """Closes the connection that does not stay after a collision (section 6.8)."""
        self.reader.ended = True
        if self.state in FSM_ERROR_SUBCODES:
            self.transport.send(codec.write_notification(codec.CEASE, codec.CONNECTION_COLLISION))
        self.timers.clear()
        self.state = State.IDLE
        self.transport.close()

    def end(self, why: str, failed: bool = True, damped: bool = True) -> None:
        """Closes the connection and goes to idle; see Neighbour.on_session_ended."""
        previous = self.state
        self.timers.clear()
        self.state = State.IDLE
        self.transport.close()
        self.neighbour.on_session_ended(self, previous, why, failed, damped)

    def enter(self, state: State) -> None:
        self.state = state


class Neighbour:
    """One configured peer. `new_transport` makes the transport of a new session."""

    def __init__(self, local: LocalSpeaker, remote: RemotePeer, observer: NeighbourObserver,
                 new_transport: Callable[[Neighbour], Transport], chance: Callable[[], float]):
        self.local, self.remote, self.observer, self.new_transport, self.chance = (
            local, remote, observer, new_transport, chance)
        self.session = Session(self, new_transport(self), not remote.passive)
        self.second_session: Session | None = None
        self.is_started = False
        self.idle_until: int | None = None       # end of the present pause
        self.pause = 0                           # latest length before jitter
        self.since = 0                           # when the session was established; 0 if it is not
        self.now = 0
        self.last_end_reason = ""               # of the last session
        self.ups = self.downs = 0

    # Events from outside.

    def start(self, now: int) -> None:
        """Starts a session at once."""
        self.now, self.is_started, self.idle_until = now, True, None
        self.session.start(now)

    def start_limited(self, now: int) -> None:
        """Like start(), but dials only when the limiter of all dials allows it (dial_limiter.py)."""
        if self.remote.passive:
            self.start(now)
        else:
            self.now, self.is_started, self.idle_until = now, True, now

    def stop(self, now: int, subcode: int, reason: str) -> None:
        """Ends both sessions with a CEASE; starts none until start()."""
        self.now, self.is_started, self.idle_until = now, False, None
        if self.second_session is not None:
            second, self.second_session = self.second_session, None
            second.stop(now, subcode, reason)
        self.session.stop(now, subcode, reason)

    def incoming(self, now: int, transport: Transport) -> Session | None:
        """Accepts a connection from this peer; returns its session, or None if the connection is refused."""
        self.now = now
        if not self.is_started or self.idle_until is not None or self.second_session is not None or (
                self.session.state is State.ESTABLISHED):
            return None
        if self.session.state in (State.CONNECT, State.ACTIVE, State.IDLE):
            if self.session.state is State.CONNECT:
                self.session.transport.close()      # abandons our own dial
            accepted = Session(self, transport, self.session.dials)
            accepted.state = State.ACTIVE
            self.session = accepted
            accepted.tcp_up(now)
            return accepted
        self.second_session = Session(self, transport, False)
        self.second_session.state = State.ACTIVE
        self.second_session.tcp_up(now)
        return self.second_session

    def next_timeout(self) -> int | None:
        timeouts = [self.session.next_timeout(), self.second_session.next_timeout() if self.second_session else None,
                    self.idle_until]
        return min((each for each in timeouts if each is not None), default=None)

    def next_dial_at(self) -> int | None:
        """When a timer will dial; None if none will."""
        if self.remote.passive:
            return None
        return self.idle_until if self.idle_until is not None else self.session.timers.get("connect-retry")

    def tick(self, now: int) -> None:
        """Runs expired timers and starts a new session after a pause."""
        self.now = now
        if self.idle_until is not None and self.idle_until <= now:
            self.idle_until = None
            self.renew_session()
            self.session.start(now)
        for session in (self.session, self.second_session):
            if session is not None:
                session.tick(now)

    # Events from its sessions.

    @property
    def established_session(self) -> Session | None:
        return self.session if self.session.state is State.ESTABLISHED else None

    def resolve_collision(self, session: Session) -> bool:
        """Section 6.8: of two connections the one opened by the higher router id stays. True if `session` stays."""
        other = self.second_session if session is self.session else self.session
        if other is None or other.state is not State.OPEN_CONFIRM:
            return True
        ours_stays = self.local.router_id > session.router_id or self.local.router_id == session.router_id and (
            self.local.asn > self.remote.asn)       # RFC 6286, section 2.3
        dialled, accepted = (self.session, self.second_session) if self.second_session else (self.session, None)
        keep, drop = (dialled, accepted) if ours_stays else (accepted, dialled)
        assert keep is not None and drop is not None
        self.session, self.second_session = keep, None
        drop.close_as_collision()
        return keep is session

    def on_established(self, session: Session) -> None:
        self.now = session.now
        if self.second_session is not None:
            loser = self.second_session if session is self.session else self.session
            self.session, self.second_session = session, None
            loser.close_as_collision()
        self.since, self.ups = session.now, self.ups + 1
        self.observer.up(session.now, self)

    def on_session_ended(self, session: Session, previous: State, why: str, failed: bool, damped: bool) -> None:
        """Pauses before the next session if `failed`; the pause grows if `damped`."""
        self.now, self.last_end_reason = session.now, why
        if session is self.second_session:
            self.second_session = None
            return
        if previous is State.ESTABLISHED:
            self.downs += 1
            if session.now - self.since >= STABLE_AFTER:
                self.pause = 0
            self.since = 0
            self.observer.down(session.now, self, why)
        if self.second_session is not None:
            self.session, self.second_session = self.second_session, None       # the other connection continues
            return
        if failed and self.is_started and self.idle_until is None:
            self.pause = max(MIN_PAUSE, min(MAX_PAUSE, 2 * self.pause) if damped else self.pause)
            self.idle_until = session.now + int(self.pause * (1 - TIMER_JITTER * self.chance()))

    def renew_session(self) -> None:
        self.session = Session(self, self.new_transport(self), not self.remote.passive)

    @property
    def state(self) -> State:
        return self.session.state
