"""Front ends with BGP speakers against the stand-in router, over TCP on loopback."""
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
from threadshift.bgp.standing import Standing
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
ADDRESS_BLOCK = "    address 192.0.2.1/32 {\n    }\n"


class Setup:
    """One front end with its workers, and a router."""

    def __init__(self, addresses=ADDRESS_BLOCK, hold="9s", converge=50_000_000, **facts):
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
    def state(self):
        return self.live.front.service_announcer.announcer.states[NET]

    @property
    def neighbour(self):
        return self.live.front.service_announcer.speaker.neighbours["hall"]

    def route(self):
        """The route that the router received; None if there is none."""
        return next(iter(self.router.speaker.adj_rib_in.paths(NET)), None)

    def call(self, function="f"):
        """Makes a call to the service address."""
        with closing(Client(self.router.services[0][1])) as client:
            return client.request("POST", f"/v1/functions/{function}/calls", {}, b"x")

    def order(self, word, body=""):
        """Gives an operator's order to the front end."""
        with closing(Client(Address("127.0.0.1", self.admin))) as client:
            return client.request("POST", f"/v1/bgp/{word}", {}, body.encode())


class Announced(unittest.TestCase):
    def test_serves_while_announced_and_drains(self):
        with Setup() as setup:
            self.assertEqual(setup.call().status, 200)
            self.assertEqual((setup.route().med, setup.route().as_path), (100, (65001,)))
            setup.live.front.end()
            until(lambda: setup.route() is None or setup.route().med == 900)
            self.assertEqual(setup.live.call("f").status, 200)           # late connections are still served
            until(lambda: setup.route() is None)
            self.assertEqual(setup.live.call("f").status, 200)
            setup.live.running.join(5)
            with self.assertRaises(NoAnswer):
                setup.live.call("f")
            until(lambda: "drained" in setup.router.speaker.neighbours["front-0"].last_end_reason)

    def test_flapping_sessions_do_not_delay_a_drain(self):
        with Setup() as setup:
            began = time.monotonic()
            setup.live.front.end()
            until(lambda: setup.live.front.service_announcer.drain.standing is Standing.LAST)
            setup.router.execute_order(["reset", "front-0"])
            setup.live.running.join(5)
            self.assertLess(time.monotonic() - began, 2)

    def test_no_worker_means_last_resort_and_a_cold_fleet_less_than_full(self):
        with Setup(fleet="    cold-time 60s\n    cold-share 20%\n    fall-multiple 9\n") as setup:
            until(lambda: setup.state.decision.reason == "cold")          # both workers have just started
            self.assertEqual(setup.state.decision.standing, Standing.POOR)
            for name in setup.live.workers:
                setup.live.feed.execute_order(["drop", name])
            until(lambda: setup.route().med == 900)
            self.assertEqual(setup.state.decision.reason, "no-worker")
            self.assertEqual(setup.call("submit-x").headers["final"], "rejected")
            for name, worker in setup.live.workers.items():
                setup.live.list(name, worker.address)
            until(lambda: setup.live.front.service_announcer.health(time.monotonic_ns()).fit == 2)
            self.assertEqual(setup.route().med, 900)                      # the standing rises slowly
            until(lambda: setup.state.candidate and setup.state.candidate.reason == "cold")

    def test_stopped_workers_that_are_still_listed_are_unfit(self):
        with Setup() as setup:
            for worker in setup.live.workers.values():
                worker.stop()
            until(lambda: setup.route().med == 900)

    def test_operator_orders(self):
        with Setup() as setup:
            self.assertEqual(json.loads(setup.order("withdraw").body)["addresses"], [str(NET)])
            until(lambda: setup.route() is None)
            setup.order("last-resort", "192.0.2.1/32")
            until(lambda: setup.route() and setup.route().med == 900)
            setup.order("auto")
            until(lambda: setup.route().med == 100)
            for word, body, status in (("withdraw", "192.0.2.9/32", 400), ("withdraw", "x", 400), ("dance", "", 404)):
                self.assertEqual(setup.order(word, body).status, status)
            # Of several orders in quick succession the last one counts.
            for word in ("withdraw", "announce", "withdraw", "auto", "withdraw", "announce"):
                setup.order(word)
            until(lambda: setup.route() and setup.route().med == 100)

    def test_five_hundred_addresses(self):
        addresses = "".join(
            f"    address 10.9.{n // 250}.{n % 250}/32 {{\n    }}\n" for n in range(499)) + ADDRESS_BLOCK
        with Setup(addresses) as setup:
            until(lambda: len(setup.router.speaker.adj_rib_in.routes["front-0"]) == 500)
            self.assertLess(setup.live.front.service_announcer.speaker.messages_sent, 12)
            setup.order("withdraw")
            until(lambda: not setup.router.speaker.adj_rib_in.routes["front-0"])



class Peers(unittest.TestCase):
    """Faults of peers end in a new session at most, and affect no call."""

    def test_each_fault_ends_in_a_new_session_or_none(self):
        with Setup() as setup:
            for fault, ends in (("reset", True), ("garbage", True), ("malformed", False), ("refresh", False),
                                ("down", True)):
                ups = setup.neighbour.ups
                setup.router.execute_order([fault, "front-0"])
                if ends:
                    until(lambda ups=ups: setup.neighbour.downs >= ups)
                if fault == "down":
                    setup.router.execute_order(["up", "front-0"])
                setup.neighbour.pause = 0                # damping is tested in test_bgp_session
                if setup.neighbour.idle_until:
                    setup.neighbour.idle_until = time.monotonic_ns()
                peer = setup.router.speaker.neighbours["front-0"]
                if peer.idle_until:
                    peer.pause, peer.idle_until = 0, time.monotonic_ns()
                until(lambda: setup.neighbour.state is State.ESTABLISHED and setup.route() is not None, 15)
                self.assertEqual(setup.neighbour.ups, ups + ends, fault)
                self.assertEqual(setup.live.call("f").status, 200)

    def test_a_silent_peer_is_disconnected_at_the_hold_time(self):
        with Setup(hold="3s") as setup:
            began = time.monotonic()
            setup.router.execute_order(["stall", "front-0"])
            until(lambda: setup.neighbour.downs, 8)
            self.assertTrue(1.9 < time.monotonic() - began < 4.5)
            self.assertIn("hold time", setup.neighbour.last_end_reason)

    def test_a_machine_that_restarts_within_the_hold_time(self):
        """The router refuses the new session until the hold time has ended the previous one."""
        with Setup(hold="3s") as setup:
            setup.router.execute_order(["stall", "front-0"])      # as if all further packets were lost
            setup.neighbour.session.transport.connection.sock.shutdown(2)
            began, peer = time.monotonic(), setup.router.speaker.neighbours["front-0"]
            until(lambda: "6/7" in setup.neighbour.last_end_reason, 3)
            self.assertEqual(peer.downs, 0)
            until(lambda: peer.downs, 5)
            until(lambda: setup.neighbour.state is State.ESTABLISHED and setup.route() is not None, 6)
            self.assertLess(time.monotonic() - began, 3 + 4)

    def test_peers_that_accept_and_stay_silent_slow_no_call(self):
        silent = [gevent.server.StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(60)) for _ in range(20)]
        for server in silent:
            server.start()
        peers = "".join(f"    peer p{n} {{\n    address 127.0.0.1:{server.server_port}\n    as 65000\n    }}\n"
                        for n, server in enumerate(silent))
        with Setup(ADDRESS_BLOCK + peers) as setup:
            for _ in range(20):
                self.assertEqual(setup.call().status, 200)
        for server in silent:
            server.stop()


class Standstills(unittest.TestCase):
    def test_a_front_end_stopped_for_longer_than_its_hold_time_loses_its_route(self):
        """SIGSTOP for 4 s: with a hold time of 3 s its route is withdrawn and returns, with 30 s it stays."""
        with tempfile.TemporaryDirectory() as folder, Rig(Path(folder)) as rig:
            port, holds = free_port(), {"front-0": 3, "front-1": 30}
            router = Router(65000, Address("127.0.0.1", port), [
                (name, f"127.0.1.{n + 1}", 65001 + n) for n, name in enumerate(holds)], [], 0, 90, Record(None))
            router.start()
            for n, (name, hold) in enumerate(holds.items()):
                text = BGP.format(hold=f"{hold}s", router=port, addresses=ADDRESS_BLOCK, admin=free_port()).replace(
                    "127.0.1.1", f"127.0.1.{n + 1}").replace("local-as 65001", f"local-as {65001 + n}")
                conf = Path(folder) / f"{name}.conf"
                conf.write_text(f"listen 127.0.1.{n + 1}:{free_port()}\nroster file none\ntype a {{\n"
                                f"target-latency 1s\naction-timeout 1s\neffect repeatable\n}}\n{text}")
                rig.front_end(name, conf)
            routes = router.speaker.adj_rib_in.routes
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
