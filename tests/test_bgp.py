"""Front ends with speakers against a router of our own, over TCP on loopback."""
import ipaddress
import json
import signal
import tempfile
import time
import unittest
from contextlib import closing
from pathlib import Path

import gevent
import gevent.server

from tests.live import ANY, Live, free_port, until
from threadshift.bgp.announce import Standing
from threadshift.bgp.session import State
from threadshift.conf.values import Address
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.common import Record
from threadshift.standins.rig import Rig
from threadshift.standins.router import Router

NET = ipaddress.ip_network("192.0.2.1/32")
BGP = """
bgp {{
    local-as 65001
    router-id 10.0.0.1
    next-hop 127.0.1.1
    hold-time {hold}
    reflects yes
    fade 600ms
    converge 300ms
    peer hall {{
        address 127.0.0.1:{router}
        as 65000
        source 127.0.1.1
    }}
{addresses}
}}
admin 127.0.0.1:{admin}
"""
ONE = "    address 192.0.2.1/32 {\n    }\n"


class Hall:
    """One front end, its workers, and a router."""

    def __init__(self, addresses=ONE, hold="9s", converge=50_000_000, **facts):
        self.admin, port = free_port(), free_port()
        self.live = Live(host="127.0.1.1", extra=BGP.format(
            hold=hold, router=port, addresses=addresses, admin=self.admin), **facts)
        self.router = Router(65000, Address("127.0.0.1", port), [("front-0", "127.0.1.1", 65001)],
                             [("192.0.2.1/32", ANY, self.live.port)], converge, 9, Record(None))
        self.live.extra.append(self.router)

    def __enter__(self):
        self.router.start()
        self.live.__enter__()
        until(lambda: self.router.steers)
        return self

    def __exit__(self, *_):
        self.live.__exit__()

    @property
    def held(self):
        return self.live.front.service_announcer.announcer.held[NET]

    @property
    def neighbour(self):
        return self.live.front.service_announcer.speaker.neighbours["hall"]

    def route(self):
        """The route that the router holds, None where there is none."""
        return next(iter(self.router.speaker.heard.of(NET)), None)

    def call(self, function="f"):
        """A call by a client of the service address."""
        with closing(Client(self.router.services[0][1])) as client:
            return client.request("POST", f"/v1/functions/{function}/calls", {}, b"x")

    def order(self, word, body=""):
        with closing(Client(Address("127.0.0.1", self.admin))) as client:
            return client.request("POST", f"/v1/bgp/{word}", {}, body.encode())


class Announced(unittest.TestCase):
    def test_served_by_route_then_left_in_order(self):
        with Hall() as hall:
            self.assertEqual(hall.call().status, 200)
            self.assertEqual((hall.route().med, hall.route().as_path), (100, (65001,)))
            hall.live.front.end()
            until(lambda: hall.route() is None or hall.route().med == 900)
            self.assertEqual(hall.live.call("f").status, 200)           # what still arrives is answered
            until(lambda: hall.route() is None)
            self.assertEqual(hall.live.call("f").status, 200)
            hall.live.running.join(5)
            with self.assertRaises(NoAnswer):
                hall.live.call("f")
            until(lambda: "drained" in hall.router.speaker.neighbours["front-0"].last)

    def test_sessions_that_flap_during_a_drain_do_not_hold_it_up(self):
        with Hall() as hall:
            began = time.monotonic()
            hall.live.front.end()
            until(lambda: hall.live.front.service_announcer.drain.standing is Standing.LAST)
            hall.router.execute_order(["reset", "front-0"])
            hall.live.running.join(5)
            self.assertLess(time.monotonic() - began, 2)

    def test_with_no_worker_the_last_resort_stays_and_a_cold_fleet_is_not_full(self):
        with Hall(fleet="    cold-time 60s\n    cold-share 20%\n    fall-multiple 9\n") as hall:
            until(lambda: hall.held.verdict.reason == "cold")            # both workers have only just started
            self.assertEqual(hall.held.verdict.standing, Standing.POOR)
            for name in hall.live.workers:
                hall.live.feed.execute_order(["drop", name])
            until(lambda: hall.route().med == 900)
            self.assertEqual(hall.held.verdict.reason, "no-worker")
            self.assertEqual(hall.call("submit-x").headers["final"], "rejected")
            for name, worker in hall.live.workers.items():
                hall.live.list(name, worker.address)
            until(lambda: hall.live.front.service_announcer.signs(time.monotonic_ns()).fit == 2)
            self.assertEqual(hall.route().med, 900)                      # slow up
            until(lambda: hall.held.wish and hall.held.wish.reason == "cold")

    def test_workers_that_die_unseen_by_the_roster_count_as_unfit(self):
        with Hall() as hall:
            for worker in hall.live.workers.values():
                worker.stop()
            until(lambda: hall.route().med == 900)

    def test_the_operators_word(self):
        with Hall() as hall:
            self.assertEqual(json.loads(hall.order("withdraw").body)["addresses"], [str(NET)])
            until(lambda: hall.route() is None)
            hall.order("last-resort", "192.0.2.1/32")
            until(lambda: hall.route() and hall.route().med == 900)
            hall.order("auto")
            until(lambda: hall.route().med == 100)
            for word, body, status in (("withdraw", "192.0.2.9/32", 400), ("withdraw", "x", 400), ("dance", "", 404)):
                self.assertEqual(hall.order(word, body).status, status)
            # A withdrawal that races an announcement: the last word counts.
            for word in ("withdraw", "announce", "withdraw", "auto", "withdraw", "announce"):
                hall.order(word)
            until(lambda: hall.route() and hall.route().med == 100)

    def test_five_hundred_addresses(self):
        addresses = "".join(f"    address 10.9.{n // 250}.{n % 250}/32 {{\n    }}\n" for n in range(499)) + ONE
        with Hall(addresses) as hall:
            until(lambda: len(hall.router.speaker.heard.routes["front-0"]) == 500)
            self.assertLess(hall.live.front.service_announcer.speaker.sent, 12)
            hall.order("withdraw")
            until(lambda: not hall.router.speaker.heard.routes["front-0"])



class Peers(unittest.TestCase):
    """The speaker survives its peers, and calls do not notice."""

    def test_each_fault_ends_in_a_new_session_or_goes_on(self):
        with Hall() as hall:
            for fault, ends in (("reset", True), ("garbage", True), ("malformed", False), ("refresh", False),
                                ("down", True)):
                ups = hall.neighbour.ups
                hall.router.execute_order([fault, "front-0"])
                if ends:
                    until(lambda ups=ups: hall.neighbour.downs >= ups)
                if fault == "down":
                    hall.router.execute_order(["up", "front-0"])
                hall.neighbour.pause = 0                # damping has a test of its own
                if hall.neighbour.idle_until:
                    hall.neighbour.idle_until = time.monotonic_ns()
                peer = hall.router.speaker.neighbours["front-0"]
                if peer.idle_until:
                    peer.pause, peer.idle_until = 0, time.monotonic_ns()
                until(lambda: hall.neighbour.state is State.ESTABLISHED and hall.route() is not None, 15)
                self.assertEqual(hall.neighbour.ups, ups + ends, fault)
                self.assertEqual(hall.live.call("f").status, 200)

    def test_a_peer_that_falls_silent_is_let_go_at_the_hold_time(self):
        with Hall(hold="3s") as hall:
            began = time.monotonic()
            hall.router.execute_order(["stall", "front-0"])
            until(lambda: hall.neighbour.downs, 8)
            self.assertTrue(1.9 < time.monotonic() - began < 4.5)
            self.assertIn("hold time", hall.neighbour.last)

    def test_a_machine_that_vanished_and_is_back_within_the_hold_time(self):
        """The router still holds its old session and refuses the new one, until the hold time has ended the old."""
        with Hall(hold="3s") as hall:
            hall.router.execute_order(["stall", "front-0"])      # as if every packet from here on were lost
            hall.neighbour.session.wire.connection.sock.shutdown(2)
            began, peer = time.monotonic(), hall.router.speaker.neighbours["front-0"]
            until(lambda: "6/7" in hall.neighbour.last, 3)
            self.assertEqual(peer.downs, 0)
            until(lambda: peer.downs, 5)
            until(lambda: hall.neighbour.state is State.ESTABLISHED and hall.route() is not None, 6)
            self.assertLess(time.monotonic() - began, 3 + 4)

    def test_peers_that_accept_and_say_nothing_slow_no_call(self):
        silent = [gevent.server.StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(60)) for _ in range(20)]
        for server in silent:
            server.start()
        peers = "".join(f"    peer p{n} {{\n    address 127.0.0.1:{server.server_port}\n    as 65000\n    }}\n"
                        for n, server in enumerate(silent))
        with Hall(ONE + peers) as hall:
            for _ in range(20):
                self.assertEqual(hall.call().status, 200)
        for server in silent:
            server.stop()


class Standstills(unittest.TestCase):
    def test_a_front_end_that_stands_still_past_its_hold_time_is_left(self):
        """SIGSTOP for 4 s: with a hold time of 3 s its route goes and comes back, with 30 s it stays."""
        with tempfile.TemporaryDirectory() as folder, Rig(Path(folder)) as rig:
            port, holds = free_port(), {"front-0": 3, "front-1": 30}
            router = Router(65000, Address("127.0.0.1", port), [
                (name, f"127.0.1.{n + 1}", 65001 + n) for n, name in enumerate(holds)], [], 0, 90, Record(None))
            router.start()
            for n, (name, hold) in enumerate(holds.items()):
                text = BGP.format(hold=f"{hold}s", router=port, addresses=ONE, admin=free_port()).replace(
                    "127.0.1.1", f"127.0.1.{n + 1}").replace("local-as 65001", f"local-as {65001 + n}")
                conf = Path(folder) / f"{name}.conf"
                conf.write_text(f"listen 127.0.1.{n + 1}:{free_port()}\nroster file none\ntype a {{\n"
                                f"target-latency 1s\naction-timeout 1s\neffect repeatable\n}}\n{text}")
                rig.front_end(name, conf)
            routes = router.speaker.heard.routes
            until(lambda: all(routes.get(name) for name in holds), 15)
            for name in holds:
                rig.processes[name].signal(signal.SIGSTOP)
            began = time.monotonic()
            until(lambda: not routes.get("front-0"), 6)
            self.assertTrue(1.9 < time.monotonic() - began < 4.5)
            gevent.sleep(max(0, began + 4 - time.monotonic()))
            for name in holds:
                rig.processes[name].signal(signal.SIGCONT)
            until(lambda: routes.get("front-0"), 15)
            self.assertEqual(router.speaker.neighbours["front-1"].downs, 0)
            router.stop()


if __name__ == "__main__":
    unittest.main()
