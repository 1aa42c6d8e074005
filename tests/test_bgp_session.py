import unittest

from threadshift.bgp import codec
from threadshift.bgp.codec import Reader
from threadshift.bgp.pace import PER_SECOND, SAVED, Pace
from threadshift.bgp.path import Capabilities, Family
from threadshift.bgp.session import (
    CONNECT_RETRY, FIRST_IDLE, MOST_IDLE, OPEN_WAIT, STEADY, LocalSpeaker, Neighbour, RemotePeer, State)
from threadshift.interface import SECOND

CAN = Capabilities(frozenset(Family), 65001)
US = LocalSpeaker(65001, 100, 9, CAN)
IDLE, CONNECT, ACTIVE, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED = State


class Ears:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *words: self.calls.append((name, *words))


class Wire:
    def __init__(self, log):
        self.log, self.session = log, None
        self.out = []

    def dial(self):
        self.log.append("dial")

    def send(self, data):
        ears = Ears()
        Reader(ears).feed(data)
        self.out += ears.calls
        self.log.append(ears.calls[0][0] if ears.calls[0][0] != "notified" else ears.calls[0][1:3])

    def close(self):
        self.log.append("close")


class Routes(Ears):
    pass


def opened(asn=65000, hold=9, router=200):
    return codec.write_open(asn, hold, router, Capabilities(frozenset(Family), asn))


ALIVE, BYE = codec.write_keepalive(), codec.write_notification(6, 2, codec.write_reason("maintenance"))
UPDATE, REFRESH = codec.write_end_of_rib(Family.IPV4), codec.write_refresh(Family.IPV4)


class Rig:
    """A neighbour in a state, and what it does."""

    def __init__(self, state=IDLE, passive=False, chance=lambda: 0.0):
        self.log, self.routes, self.now = [], Routes(), 0
        self.it = Neighbour(US, RemotePeer("r", 65000, passive), self.routes,
                            lambda neighbour: Wire(self.log), chance)
        if state is IDLE:
            return
        self.it.start(0)
        if state is ACTIVE and not passive:
            self.it.session.tcp_failed(0)
        if state in (OPEN_SENT, OPEN_CONFIRM, ESTABLISHED):
            if passive:
                self.it.incoming(0, Wire(self.log))
            else:
                self.it.session.tcp_up(0)
        if state in (OPEN_CONFIRM, ESTABLISHED):
            self.it.session.data(0, opened())
        if state is ESTABLISHED:
            self.it.session.data(0, ALIVE)
        assert self.it.state is state, (self.it.state, state)
        self.log.clear()

    def event(self, name):
        session = self.it.session
        if name in EVENTS:
            EVENTS[name](self, session)
        return self.it.state, self.log

    def until(self, now):
        while (due := self.it.due()) is not None and due <= now:
            self.it.tick(due)
        self.it.tick(now)


EVENTS = {
    "start": lambda rig, it: rig.it.start(1),
    "stop": lambda rig, it: rig.it.stop(1, codec.ADMIN_SHUTDOWN, "bye"),
    "tcp up": lambda rig, it: it.tcp_up(1),
    "tcp failed": lambda rig, it: it.tcp_failed(1),
    "open": lambda rig, it: it.data(1, opened()),
    "wrong as": lambda rig, it: it.data(1, opened(asn=7)),
    "hold 0": lambda rig, it: it.data(1, opened(hold=0)),
    "bad header": lambda rig, it: it.data(1, b"\0" * 19),
    "keepalive": lambda rig, it: it.data(1, ALIVE),
    "update": lambda rig, it: it.data(1, UPDATE),
    "bad update": lambda rig, it: it.data(1, codec.message(2, b"\0\x09\0\0")),
    "refresh": lambda rig, it: it.data(1, REFRESH),
    "notification": lambda rig, it: it.data(1, BYE),
    "hold time": lambda rig, it: it.lapse("hold") if "hold" in it.timers else None,
    "keepalive time": lambda rig, it: it.lapse("keepalive") if "keepalive" in it.timers else None,
    "retry time": lambda rig, it: it.lapse("connect-retry") if "connect-retry" in it.timers else None,
}
# Event: for idle, connect, active, open sent, open confirm, established: the next state and what is done.
NONE = [IDLE, []], [CONNECT, []], [ACTIVE, []]
TABLE = {
    "start": ([CONNECT, ["dial"]], [CONNECT, []], [ACTIVE, []], [OPEN_SENT, []], [OPEN_CONFIRM, []],
              [ESTABLISHED, []]),
    "stop": ([IDLE, ["close"]], [IDLE, ["close"]], [IDLE, ["close"]], *([IDLE, [(6, 2), "close"]],) * 3),
    "tcp up": ([IDLE, []], [OPEN_SENT, ["opened"]], [OPEN_SENT, ["opened"]], [OPEN_SENT, []], [OPEN_CONFIRM, []],
               [ESTABLISHED, []]),
    "tcp failed": ([IDLE, []], [ACTIVE, []], [IDLE, ["close"]], [ACTIVE, []], [IDLE, ["close"]], [IDLE, ["close"]]),
    "open": (*NONE, [OPEN_CONFIRM, ["kept_alive"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "wrong as": (*NONE, [IDLE, [(2, 2), "close"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "hold 0": (*NONE, [IDLE, [(2, 6), "close"]], [IDLE, [(5, 2), "close"]], [IDLE, [(5, 3), "close"]]),
    "bad header": (*NONE, *([IDLE, [(1, 1), "close"]],) * 3),
    "keepalive": (*NONE, [IDLE, [(5, 1), "close"]], [ESTABLISHED, []], [ESTABLISHED, []]),
    "update": (*NONE, [IDLE, [(5, 1), "close"]], [IDLE, [(5, 2), "close"]], [ESTABLISHED, []]),
    "bad update": (*NONE, *([IDLE, [(3, 1), "close"]],) * 3),
    "refresh": (*NONE, [IDLE, [(5, 1), "close"]], [IDLE, [(5, 2), "close"]], [ESTABLISHED, []]),
    "notification": (*NONE, *([IDLE, ["close"]],) * 3),
    "hold time": (*NONE, *([IDLE, [(4, 0), "close"]],) * 3),
    "keepalive time": (*NONE, [OPEN_SENT, []], [OPEN_CONFIRM, ["kept_alive"]], [ESTABLISHED, ["kept_alive"]]),
    "retry time": ([IDLE, []], [CONNECT, ["close", "dial"]], [CONNECT, ["dial"]], [OPEN_SENT, []],
                   [OPEN_CONFIRM, []], [ESTABLISHED, []]),
}


class Machine(unittest.TestCase):
    def test_every_event_in_every_state(self):
        self.assertEqual(set(TABLE), set(EVENTS))
        for event, row in TABLE.items():
            for state, expected in zip(State, row, strict=True):
                self.assertEqual(list(Rig(state).event(event)), expected, (event, state))

    def test_a_passive_peer_waits_to_be_dialled(self):
        rig = Rig(IDLE, passive=True)
        rig.it.start(0)
        self.assertEqual((rig.it.state, rig.log, rig.it.due()), (ACTIVE, [], None))
        self.assertEqual(Rig(ESTABLISHED, passive=True).it.state, ESTABLISHED)

    def test_hold_and_keepalive_times(self):
        rig = Rig(OPEN_CONFIRM)
        self.assertEqual(rig.it.session.hold, 9 * SECOND)
        rig = Rig(OPEN_SENT)
        rig.it.session.data(0, opened(hold=3))
        self.assertEqual(rig.it.session.hold, 3 * SECOND)
        rig = Rig(ESTABLISHED)
        for n in range(1, 5):
            rig.until(n * 2 * SECOND)
            rig.it.session.data(n * 2 * SECOND, ALIVE)
        self.assertEqual(rig.log, ["kept_alive"] * 2)
        rig.until(8 * SECOND + 9 * SECOND - 1)
        self.assertEqual(rig.it.state, ESTABLISHED)
        rig.until(17 * SECOND)
        self.assertEqual((rig.it.state, rig.it.downs), (IDLE, 1))
        self.assertIn("hold time", rig.it.last)

    def test_a_peer_that_stalls_before_its_open_is_let_go(self):
        rig = Rig(OPEN_SENT)
        rig.until(OPEN_WAIT)
        self.assertEqual((rig.it.state, rig.log), (IDLE, [(4, 0), "close"]))

    def test_a_dial_that_hangs_is_tried_again(self):
        rig = Rig(CONNECT)
        rig.until(2 * CONNECT_RETRY)
        self.assertEqual(rig.log, ["close", "dial"] * 2)

    def test_failures_are_damped_and_forgiven(self):
        rig, now, pauses = Rig(ESTABLISHED), 0, []
        for _ in range(9):
            rig.it.session.data(now, BYE)
            pauses.append(rig.it.idle_until - now)
            now = rig.it.idle_until
            rig.until(now)
            rig.it.session.tcp_up(now)
            rig.it.session.data(now, opened() + ALIVE)
            self.assertEqual(rig.it.state, ESTABLISHED)
        self.assertEqual(pauses[:3], [FIRST_IDLE, 2 * FIRST_IDLE, 4 * FIRST_IDLE])
        self.assertEqual(pauses[-1], MOST_IDLE)
        rig.it.session.data(now + STEADY, BYE)
        self.assertEqual(rig.it.idle_until - now - STEADY, FIRST_IDLE)

    def test_a_peer_that_still_holds_our_last_session_is_asked_again_at_one_pace(self):
        """Else damping would keep a machine that vanished and came back away for long after the hold time."""
        for subcode in (codec.REJECTED, codec.COLLISION):
            rig, now = Rig(ESTABLISHED), 0
            for _ in range(9):
                rig.it.session.data(now, codec.write_notification(codec.CEASE, subcode))
                self.assertEqual(rig.it.idle_until - now, FIRST_IDLE)
                now = rig.it.idle_until
                rig.until(now)
                rig.it.session.tcp_up(now)
            rig.it.session.data(now, opened() + ALIVE + BYE)
            self.assertEqual(rig.it.idle_until - now, 2 * FIRST_IDLE)

    def test_a_peer_that_is_back_after_an_hour(self):
        rig, now = Rig(ESTABLISHED), 0
        rig.event("notification")
        while now < 3600 * SECOND:
            now = rig.it.due()
            rig.it.tick(now)
            if rig.it.state is CONNECT:
                rig.it.session.tcp_failed(now)
        dials = rig.log.count("dial")
        self.assertTrue(300 < dials < 1500, dials)
        rig.until(rig.it.due())
        rig.it.session.tcp_up(rig.now or now + 60 * SECOND)
        rig.it.session.data(now + 60 * SECOND, opened() + ALIVE)
        self.assertEqual((rig.it.state, rig.it.ups), (ESTABLISHED, 2))

    def test_a_reason_is_heard(self):
        rig = Rig(ESTABLISHED)
        rig.event("notification")
        self.assertIn("maintenance", rig.it.last)
        self.assertEqual(rig.routes.calls[-1][0], "down")

    def test_nothing_is_read_behind_what_ended_the_session(self):
        rig = Rig(ESTABLISHED)
        rig.it.session.data(1, BYE + UPDATE + opened())
        self.assertEqual([call[0] for call in rig.routes.calls], ["up", "down"])


class Paced(unittest.TestCase):
    """Dials of all peers share one rate."""

    def test_a_hundred_that_flap_and_one_that_is_well(self):
        rigs, pace, dials = [Rig() for _ in range(100)], Pace(0), []
        for rig in rigs:
            rig.it.begin(0)
        for step in range(1200):
            now = step * SECOND // 20
            for it in pace.turns([rig.it for rig in rigs], now):
                it.tick(now)
            for rig in rigs:
                if rig.it.state is CONNECT:
                    dials.append(now)
                    rig.it.session.tcp_up(now)
                    rig.it.session.data(now, BYE)
            if step == 300:
                well = Rig()
                well.it.begin(now)
                rigs.append(well)
            if step > 302:
                self.assertIn("dial", rigs[-1].log)         # it waits behind none of them
        self.assertLessEqual(max(sum(at <= each < at + SECOND for each in dials) for at in dials),
                             PER_SECOND + SAVED)
        self.assertTrue(all("dial" in rig.log for rig in rigs))

    def test_other_timers_wait_for_no_turn(self):
        rig, pace = Rig(ESTABLISHED), Pace(0)
        pace.saved = 0.0
        self.assertEqual(pace.turns([rig.it], 3 * SECOND), [rig.it])        # its keepalive
        self.assertEqual(pace.turns([Rig(IDLE).it], 3 * SECOND), [])

    def test_passive_peers_begin_at_once(self):
        rig = Rig(passive=True)
        rig.it.begin(0)
        self.assertEqual((rig.it.state, rig.it.dials_at()), (ACTIVE, None))


class Collisions(unittest.TestCase):
    """Section 6.8: the connection opened by the side with the higher router id stays."""

    def both(self, router):
        rig = Rig(OPEN_SENT)
        ours, wire = rig.it.session, Wire(rig.log)
        theirs = rig.it.incoming(0, wire)
        ours.data(1, opened(router=router))
        theirs.data(2, opened(router=router))
        return rig, ours, theirs

    def test_which_stays(self):
        for router, stays in ((99, "ours"), (101, "theirs")):
            rig, ours, theirs = self.both(router)
            kept, dropped = (ours, theirs) if stays == "ours" else (theirs, ours)
            self.assertIs(rig.it.session, kept)
            self.assertEqual((kept.state, dropped.state, rig.it.second), (OPEN_CONFIRM, IDLE, None))
            self.assertIn((6, 7), rig.log)
            kept.data(3, ALIVE)
            self.assertEqual((rig.it.state, rig.it.ups), (ESTABLISHED, 1))
            dropped.tcp_failed(4)
            self.assertEqual(rig.it.state, ESTABLISHED)

    def test_while_established_a_second_is_not_taken(self):
        self.assertIsNone(Rig(ESTABLISHED).it.incoming(1, Wire([])))

    def test_while_dialling_the_incoming_one_is_taken(self):
        for state in (CONNECT, ACTIVE):
            rig = Rig(state)
            session = rig.it.incoming(1, Wire(rig.log))
            session.data(2, opened() + ALIVE)
            self.assertEqual(rig.it.state, ESTABLISHED)

    def test_one_of_two_that_breaks_leaves_the_other(self):
        rig = Rig(OPEN_CONFIRM)
        theirs = rig.it.incoming(1, Wire(rig.log))
        rig.it.session.tcp_failed(2)
        self.assertIs(rig.it.session, theirs)
        theirs.data(3, opened() + ALIVE)
        self.assertEqual((rig.it.state, rig.it.idle_until), (ESTABLISHED, None))

    def test_not_wanted_or_in_its_pause_it_takes_none(self):
        self.assertIsNone(Rig(IDLE).it.incoming(1, Wire([])))
        rig = Rig(ESTABLISHED)
        rig.event("notification")
        self.assertIsNone(rig.it.incoming(2, Wire([])))


if __name__ == "__main__":
    unittest.main()
