"""The BGP state machine: every event in every state, timers, damping, the limit of dials, collisions."""
import unittest

from threadshift.bgp import codec
from threadshift.bgp.codec import Reader
from threadshift.bgp.dial_limiter import DIALS_PER_SECOND, MAX_BURST, DialLimiter
from threadshift.bgp.path import Capabilities, Family
from threadshift.bgp.session import (
    CONNECT_RETRY_TIME, MAX_PAUSE, MIN_PAUSE, OPEN_TIMEOUT, STABLE_AFTER, LocalSpeaker, Neighbour, RemotePeer, State)
from threadshift.interface import SECOND

CAPABILITIES = Capabilities(frozenset(Family), 65001)
LOCAL = LocalSpeaker(65001, 100, 9, CAPABILITIES)
IDLE, CONNECT, ACTIVE, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED = State


class RecordingHandler:
    """Records every call of any method."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))


class RecordingTransport:
    """Records in `log` what a session does with its connection."""

    def __init__(self, log):
        self.log, self.session = log, None
        self.out = []

    def dial(self):
        self.log.append("dial")

    def send(self, data):
        handler = RecordingHandler()
        Reader(handler).feed(data)
        self.out += handler.calls
        self.log.append(
            handler.calls[0][0] if handler.calls[0][0] != "notified" else handler.calls[0][1:3])

    def close(self):
        self.log.append("close")


class RecordingObserver(RecordingHandler):
    pass


def opened(asn=65000, hold=9, router=200):
    return codec.write_open(asn, hold, router, Capabilities(frozenset(Family), asn))


ALIVE, BYE = codec.write_keepalive(), codec.write_notification(6, 2, codec.write_reason("maintenance"))
UPDATE, REFRESH = codec.write_end_of_rib(Family.IPV4), codec.write_refresh(Family.IPV4)


class Rig:
    """A neighbour that was brought into a state, and the log of its connections."""

    def __init__(self, state=IDLE, passive=False, chance=lambda: 0.0):
        self.log, self.observer, self.now = [], RecordingObserver(), 0
        self.it = Neighbour(LOCAL, RemotePeer("r", 65000, passive), self.observer,
                            lambda neighbour: RecordingTransport(self.log), chance)
        if state is IDLE:
            return
        self.it.start(0)
        if state is ACTIVE and not passive:
            self.it.session.tcp_failed(0)
        if state in (OPEN_SENT, OPEN_CONFIRM, ESTABLISHED):
            if passive:
                self.it.incoming(0, RecordingTransport(self.log))
            else:
                self.it.session.tcp_up(0)
        if state in (OPEN_CONFIRM, ESTABLISHED):
            self.it.session.receive(0, opened())
        if state is ESTABLISHED:
            self.it.session.receive(0, ALIVE)
        assert self.it.state is state, (self.it.state, state)
        self.log.clear()

    def event(self, name):
        session = self.it.session
        if name in EVENTS:
            EVENTS[name](self, session)
        return self.it.state, self.log

    def until(self, now):
        while (due := self.it.next_timeout()) is not None and due <= now:
            self.it.tick(due)
        self.it.tick(now)


EVENTS = {
    "start": lambda rig, it: rig.it.start(1),
    "stop": lambda rig, it: rig.it.stop(1, codec.ADMIN_SHUTDOWN, "bye"),
    "tcp up": lambda rig, it: it.tcp_up(1),
    "tcp failed": lambda rig, it: it.tcp_failed(1),
    "open": lambda rig, it: it.receive(1, opened()),
    "wrong as": lambda rig, it: it.receive(1, opened(asn=7)),
    "hold 0": lambda rig, it: it.receive(1, opened(hold=0)),
    "bad header": lambda rig, it: it.receive(1, b"\0" * 19),
    "keepalive": lambda rig, it: it.receive(1, ALIVE),
    "update": lambda rig, it: it.receive(1, UPDATE),
    "bad update": lambda rig, it: it.receive(1, codec.message(2, b"\0\x09\0\0")),
    "refresh": lambda rig, it: it.receive(1, REFRESH),
    "notification": lambda rig, it: it.receive(1, BYE),
    "hold time": lambda rig, it: it.on_timer("hold") if "hold" in it.timers else None,
    "keepalive time": lambda rig, it: it.on_timer("keepalive") if "keepalive" in it.timers else None,
    "retry time": lambda rig, it: it.on_timer("connect-retry") if "connect-retry" in it.timers else None,
}
# For each event, and each state in the order of State: the next state and the log of the connection.
UNCHANGED = [IDLE, []], [CONNECT, []], [ACTIVE, []]
TABLE = {
    "start": ([CONNECT, ["dial"]], [CONNECT, []], [ACTIVE, []], [OPEN_SENT, []], [OPEN_CONFIRM, []],
              [ESTABLISHED, []]),
    "stop": ([IDLE, ["close"]], [IDLE, ["close"]], [IDLE, ["close"]], *([IDLE, [(6, 2), "close"]],) * 3),
    "tcp up": ([IDLE, []], [OPEN_SENT, ["opened"]], [OPEN_SENT, ["opened"]], [OPEN_SENT, []], [OPEN_CONFIRM, []],
               [ESTABLISHED, []]),
    "tcp failed": ([IDLE, []], [ACTIVE, []], [IDLE, ["close"]], [ACTIVE, []], [IDLE, ["close"]], [IDLE, ["close"]]),
    "open": (*UNCHANGED, [OPEN_CONFIRM, ["kept_alive"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "wrong as": (*UNCHANGED, [IDLE, [(2, 2), "close"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "hold 0": (*UNCHANGED, [IDLE, [(2, 6), "close"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "bad header": (*UNCHANGED, *([IDLE, [(1, 1), "close"]],) * 3),
    "keepalive": (*UNCHANGED, [IDLE, [(5, 1), "close"]], [ESTABLISHED, []], [ESTABLISHED, []]),
    "update": (*UNCHANGED, [IDLE, [(5, 1), "close"]], [IDLE, [(5, 2), "close"]], [ESTABLISHED, []]),
    "bad update": (*UNCHANGED, *([IDLE, [(3, 1), "close"]],) * 3),
    "refresh": (*UNCHANGED, [IDLE, [(5, 1), "close"]], [IDLE, [(5, 2), "close"]], [ESTABLISHED, []]),
    "notification": (*UNCHANGED, *([IDLE, ["close"]],) * 3),
    "hold time": (*UNCHANGED, *([IDLE, [(4, 0), "close"]],) * 3),
    "keepalive time": (*UNCHANGED, [OPEN_SENT, []], [OPEN_CONFIRM, ["kept_alive"]], [ESTABLISHED, ["kept_alive"]]),
    "retry time": ([IDLE, []], [CONNECT, ["close", "dial"]], [CONNECT, ["dial"]], [OPEN_SENT, []],
                   [OPEN_CONFIRM, []], [ESTABLISHED, []]),
}


class StateMachine(unittest.TestCase):
    def test_every_event_in_every_state(self):
        self.assertEqual(set(TABLE), set(EVENTS))
        for event, row in TABLE.items():
            for state, expected in zip(State, row, strict=True):
                self.assertEqual(list(Rig(state).event(event)), expected, (event, state))

    def test_a_passive_peer_is_not_dialled(self):
        rig = Rig(IDLE, passive=True)
        rig.it.start(0)
        self.assertEqual((rig.it.state, rig.log, rig.it.next_timeout()), (ACTIVE, [], None))
        self.assertEqual(Rig(ESTABLISHED, passive=True).it.state, ESTABLISHED)

    def test_hold_and_keepalive_times(self):
        rig = Rig(OPEN_CONFIRM)
        self.assertEqual(rig.it.session.hold_time, 9 * SECOND)
        rig = Rig(OPEN_SENT)
        rig.it.session.receive(0, opened(hold=3))
        self.assertEqual(rig.it.session.hold_time, 3 * SECOND)
        rig = Rig(ESTABLISHED)
        for n in range(1, 5):
            rig.until(n * 2 * SECOND)
            rig.it.session.receive(n * 2 * SECOND, ALIVE)
        self.assertEqual(rig.log, ["kept_alive"] * 2)
        rig.until(8 * SECOND + 9 * SECOND - 1)
        self.assertEqual(rig.it.state, ESTABLISHED)
        rig.until(17 * SECOND)
        self.assertEqual((rig.it.state, rig.it.downs), (IDLE, 1))
        self.assertIn("hold time", rig.it.last_end_reason)

    def test_a_peer_that_sends_no_open_is_disconnected(self):
        rig = Rig(OPEN_SENT)
        rig.until(OPEN_TIMEOUT)
        self.assertEqual((rig.it.state, rig.log), (IDLE, [(4, 0), "close"]))

    def test_a_dial_that_hangs_is_retried(self):
        rig = Rig(CONNECT)
        rig.until(2 * CONNECT_RETRY_TIME)
        self.assertEqual(rig.log, ["close", "dial"] * 2)

    def test_failures_are_damped_until_a_session_is_stable(self):
        rig, now, pauses = Rig(ESTABLISHED), 0, []
        for _ in range(9):
            rig.it.session.receive(now, BYE)
            pauses.append(rig.it.idle_until - now)
            now = rig.it.idle_until
            rig.until(now)
            rig.it.session.tcp_up(now)
            rig.it.session.receive(now, opened() + ALIVE)
            self.assertEqual(rig.it.state, ESTABLISHED)
        self.assertEqual(pauses[:3], [MIN_PAUSE, 2 * MIN_PAUSE, 4 * MIN_PAUSE])
        self.assertEqual(pauses[-1], MAX_PAUSE)
        rig.it.session.receive(now + STABLE_AFTER, BYE)
        self.assertEqual(rig.it.idle_until - now - STABLE_AFTER, MIN_PAUSE)

    def test_a_peer_that_still_holds_the_previous_session_is_not_damped(self):
        """Damping would keep a restarted machine away for long after the hold time of its previous session."""
        for subcode in (codec.CONNECTION_REJECTED, codec.CONNECTION_COLLISION):
            rig, now = Rig(ESTABLISHED), 0
            for _ in range(9):
                rig.it.session.receive(now, codec.write_notification(codec.CEASE, subcode))
                self.assertEqual(rig.it.idle_until - now, MIN_PAUSE)
                now = rig.it.idle_until
                rig.until(now)
                rig.it.session.tcp_up(now)
            rig.it.session.receive(now, opened() + ALIVE + BYE)
            self.assertEqual(rig.it.idle_until - now, 2 * MIN_PAUSE)

    def test_a_peer_that_returns_after_an_hour(self):
        rig, now = Rig(ESTABLISHED), 0
        rig.event("notification")
        while now < 3600 * SECOND:
            now = rig.it.next_timeout()
            rig.it.tick(now)
            if rig.it.state is CONNECT:
                rig.it.session.tcp_failed(now)
        dials = rig.log.count("dial")
        self.assertTrue(300 < dials < 1500, dials)
        rig.until(rig.it.next_timeout())
        rig.it.session.tcp_up(rig.now or now + 60 * SECOND)
        rig.it.session.receive(now + 60 * SECOND, opened() + ALIVE)
        self.assertEqual((rig.it.state, rig.it.ups), (ESTABLISHED, 2))

    def test_a_shutdown_communication_is_reported(self):
        rig = Rig(ESTABLISHED)
        rig.event("notification")
        self.assertIn("maintenance", rig.it.last_end_reason)
        self.assertEqual(rig.observer.calls[-1][0], "down")

    def test_messages_after_the_end_of_a_session_are_not_read(self):
        rig = Rig(ESTABLISHED)
        rig.it.session.receive(1, BYE + UPDATE + opened())
        self.assertEqual([call[0] for call in rig.observer.calls], ["up", "down"])


class LimitedDials(unittest.TestCase):
    """The dials of all peers share one rate."""

    def test_a_healthy_peer_beside_a_hundred_that_flap(self):
        rigs, limiter, dials = [Rig() for _ in range(100)], DialLimiter(0), []
        for rig in rigs:
            rig.it.start_limited(0)
        for step in range(1200):
            now = step * SECOND // 20
            for it in limiter.due_neighbours([rig.it for rig in rigs], now):
                it.tick(now)
            for rig in rigs:
                if rig.it.state is CONNECT:
                    dials.append(now)
                    rig.it.session.tcp_up(now)
                    rig.it.session.receive(now, BYE)
            if step == 300:
                healthy = Rig()
                healthy.it.start_limited(now)
                rigs.append(healthy)
            if step > 302:
                self.assertIn("dial", rigs[-1].log)         # it does not wait behind them
        self.assertLessEqual(max(sum(at <= each < at + SECOND for each in dials) for at in dials),
                             DIALS_PER_SECOND + MAX_BURST)
        self.assertTrue(all("dial" in rig.log for rig in rigs))

    def test_other_timers_are_not_limited(self):
        rig, limiter = Rig(ESTABLISHED), DialLimiter(0)
        limiter.tokens = 0.0
        self.assertEqual(limiter.due_neighbours([rig.it], 3 * SECOND), [rig.it])        # its keepalive
        self.assertEqual(limiter.due_neighbours([Rig(IDLE).it], 3 * SECOND), [])

    def test_passive_peers_start_at_once(self):
        rig = Rig(passive=True)
        rig.it.start_limited(0)
        self.assertEqual((rig.it.state, rig.it.next_dial_at()), (ACTIVE, None))


class Collisions(unittest.TestCase):
    """Section 6.8: the connection opened by the side with the higher router id stays."""

    def collide(self, router):
        rig = Rig(OPEN_SENT)
        ours, transport = rig.it.session, RecordingTransport(rig.log)
        theirs = rig.it.incoming(0, transport)
        ours.receive(1, opened(router=router))
        theirs.receive(2, opened(router=router))
        return rig, ours, theirs

    def test_which_connection_stays(self):
        for router, stays in ((99, "ours"), (101, "theirs")):
            rig, ours, theirs = self.collide(router)
            kept, dropped = (ours, theirs) if stays == "ours" else (theirs, ours)
            self.assertIs(rig.it.session, kept)
            self.assertEqual((kept.state, dropped.state, rig.it.second_session), (OPEN_CONFIRM, IDLE, None))
            self.assertIn((6, 7), rig.log)
            kept.receive(3, ALIVE)
            self.assertEqual((rig.it.state, rig.it.ups), (ESTABLISHED, 1))
            dropped.tcp_failed(4)
            self.assertEqual(rig.it.state, ESTABLISHED)

    def test_while_established_a_second_connection_is_refused(self):
        self.assertIsNone(Rig(ESTABLISHED).it.incoming(1, RecordingTransport([])))

    def test_while_dialling_an_incoming_connection_is_accepted(self):
        for state in (CONNECT, ACTIVE):
            rig = Rig(state)
            session = rig.it.incoming(1, RecordingTransport(rig.log))
            session.receive(2, opened() + ALIVE)
            self.assertEqual(rig.it.state, ESTABLISHED)

    def test_one_of_two_connections_fails(self):
        rig = Rig(OPEN_CONFIRM)
        theirs = rig.it.incoming(1, RecordingTransport(rig.log))
        rig.it.session.tcp_failed(2)
        self.assertIs(rig.it.session, theirs)
        theirs.receive(3, opened() + ALIVE)
        self.assertEqual((rig.it.state, rig.it.idle_until), (ESTABLISHED, None))

    def test_before_the_start_and_in_a_pause_connections_are_refused(self):
        self.assertIsNone(Rig(IDLE).it.incoming(1, RecordingTransport([])))
        rig = Rig(ESTABLISHED)
        rig.event("notification")
        self.assertIsNone(rig.it.incoming(2, RecordingTransport([])))


if __name__ == "__main__":
    unittest.main()
