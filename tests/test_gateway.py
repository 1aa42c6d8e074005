"""The daemon as users start it: real processes that are killed, ended, reloaded and kept from starting."""
import json
import os
import re
import select
import signal
import socket as plain_socket
import tempfile
import time
import unittest
from contextlib import ExitStack, closing
from dataclasses import replace
from pathlib import Path
from unittest import mock

import gevent
from gevent import socket

from tests.live import Live, block_process, until
from threadshift.conf.values import Address
from threadshift.gateway.demo import Demo
from threadshift.gateway.restart_backoff import FIRST_DELAY, MAX_DELAY, STABLE_RUNTIME, RestartBackoff
from threadshift.interface import MS, SECOND, WorkerState
from threadshift.invoke.client import Client, NoAnswer
from threadshift.standins.common import Record
from threadshift.standins.ports import free_ports
from threadshift.standins.rig import PortTaken, Rig
from threadshift.standins.worker import Machine, Worker


def call(port, path="/v1/functions/text-upper/calls", body=b"x", method="POST", **headers):
    with closing(Client(Address("127.0.0.1", port))) as client:
        return client.request(method, path, {name.replace("_", "-"): value for name, value in headers.items()}, body)


def is_serving(port):
    try:
        return call(port).status == 200
    except NoAnswer:
        return False


class Daemon(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.port = free_ports(1)[0]
        cls.demo = Demo(Path(cls.folder.name), cls.port, 2, 3)
        cls.demo.__enter__()
        conf = Path(cls.folder.name) / "threadshift.conf"
        cls.own_ports = int(re.search(r"own-ports (\d+)", conf.read_text())[1])

    @classmethod
    def tearDownClass(cls):
        cls.demo.__exit__()
        cls.folder.cleanup()

    def pid(self, index):
        return json.loads(call(self.own_ports + index, "/v1/status", method="GET").body)["pid"]

    def log(self):
        return (Path(self.folder.name) / "front.err").read_text()

    def test_front_ends_share_a_port_and_have_ports_of_their_own(self):
        fronts = {call(self.port).headers["activation"].rsplit("-", 2)[0] for _ in range(60)}
        self.assertEqual(fronts, {"front-0", "front-1", "front-2"})
        for _ in range(6):
            first = call(self.port, prefer="respond-async")
            location = first.headers["location"]
            port, path = re.fullmatch(r"http://127\.0\.0\.1:(\d+)(/.*)", location).groups()
            reply = call(int(port), path, b"", "GET", prefer="wait=5")
            self.assertEqual((reply.status, reply.body), (200, b"X"))

    def test_a_front_end_that_dies_is_restarted_while_others_serve(self):
        killed = self.pid(1)
        os.kill(killed, signal.SIGKILL)
        until(lambda: is_serving(self.own_ports + 1) and self.pid(1) != killed, 10)
        self.assertIn("front-end-died", self.log())
        self.assertTrue(all(is_serving(self.own_ports + n) for n in range(3)))

    def test_a_reload_applies_bounds_and_refuses_a_bad_file(self):
        conf = Path(self.folder.name) / "threadshift.conf"
        valid = conf.read_text()
        supervisor = self.demo.rig.processes["front"]
        self.assertEqual(call(self.port, body=b"x" * 3000).status, 200)
        conf.write_text(valid + "bounds {\n    boddy 2K\n}\n")
        supervisor.signal(signal.SIGHUP)
        until(lambda: self.log().count("reload-refused") >= 3)
        self.assertIn("nearest known is 'body'", self.log())
        conf.write_text(valid + "bounds {\n    body 2K\n}\n")
        supervisor.signal(signal.SIGHUP)
        until(lambda: len(re.findall(r"\breloaded\b", self.log())) >= 3)
        self.assertEqual(call(self.port, body=b"x" * 3000).status, 413)
        conf.write_text(valid)
        supervisor.signal(signal.SIGHUP)
        until(lambda: len(re.findall(r"\breloaded\b", self.log())) >= 6)


class DemosAtOnce(unittest.TestCase):
    def test_each_gets_ports_of_its_own(self):
        """Guards against two demonstrations that choose the same ports: one of them refused its connections."""
        with tempfile.TemporaryDirectory() as folder, ExitStack() as running:
            demos = [Demo(Path(folder, str(n)), port, 1, 2) for n, port in enumerate(free_ports(2))]
            for each in demos:
                each.rig.folder.mkdir()
                running.push(each.__exit__)
            gevent.joinall([gevent.spawn(each.start) for each in demos], raise_error=True)
            for each in demos:
                self.assertTrue(is_serving(each.port))
                self.assertNotIn("front-end-died", (each.rig.folder / "front.err").read_text())

    def test_a_port_that_another_process_has_taken_is_noticed(self):
        with Live() as live, Rig(Path("unused")) as rig:
            rig.processes["front"] = mock.Mock(alive=True, process=mock.Mock(pid=1))
            with self.assertRaises(PortTaken):
                rig.wait_until_linked("front", Address("127.0.0.1", live.port), 2, 5)
            rig.processes.clear()


class Ending(unittest.TestCase):
    def test_a_drain_answers_pending_calls_and_accepts_no_new_ones(self):
        with Live() as live:
            live.call("f")
            client = live.client()
            client.request("GET", "/v1/status")
            pending = gevent.spawn(live.call, "f", b"held", work_hint="400")
            until(lambda: live.front.engine.owed)
            began = time.monotonic()
            live.front.end()
            until(lambda: live.front.api.closing)
            late = client.request("POST", "/v1/functions/f/calls", {}, b"late")
            self.assertEqual((late.status, late.headers["final"], late.keep_alive), (503, "rejected", False))
            with self.assertRaises(NoAnswer):
                live.call("f")
            live.running.join(5)
            self.assertEqual((pending.value.status, pending.value.body), (200, b"held"))
            self.assertLess(time.monotonic() - began, 2)

    def test_a_drain_ends_in_the_configured_time_whatever_is_pending(self):
        with Live(bounds="drain 300ms") as live:
            for worker in live.workers.values():
                worker.execute_order(["hang", "9s"])
            pending = gevent.spawn(live.call, "submit-x")
            until(lambda: live.front.engine.owed)
            began = time.monotonic()
            live.front.end()
            live.running.join(5)
            self.assertLess(time.monotonic() - began, 1)
            pending.kill()

    def test_a_port_in_use_is_logged_and_tried_again_after_growing_delays(self):
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            conf = Path(folder) / "c.conf"
            conf.write_text(f"listen 127.0.0.1:{taken.getsockname()[1]}\nroster file none\n"
                            "type a {\ntarget-latency 1s\naction-timeout 1s\neffect repeatable\n}\n")
            with Rig(Path(folder)) as rig:
                supervisor = rig.start("front", "run", str(conf))
                errors = Path(folder) / "front.err"
                until(lambda: errors.exists() and errors.read_text().count("front-end-died") >= 3, 15)
                # A thread that accepts SIGTERM would end the process without a drain, now and then.
                for status in Path(f"/proc/{supervisor.process.pid}/task").glob("*/status"):
                    blocked = int(re.search(r"SigBlk:\s*(\w+)", status.read_text())[1], 16)
                    # The main thread waits for signals, which are then not blocked.
                    main = status.parent.name == str(supervisor.process.pid)
                    self.assertTrue(blocked >> signal.SIGTERM - 1 & 1 or main, status)
                supervisor.stop()
                self.assertEqual(supervisor.process.returncode, 0)
                delays = [int(each) for each in re.findall(r'"again_ms": (\d+)', errors.read_text())]
                self.assertEqual(delays[:3], [0, FIRST_DELAY // MS, 2 * FIRST_DELAY // MS])
                self.assertIn("Address already in use", errors.read_text())
                self.assertNotIn("Traceback", errors.read_text())


class Stalls(unittest.TestCase):
    def test_a_stall_is_detected_and_logged(self):
        with Live() as live:
            time.sleep(0.2)                 # stalls the whole process, as SIGSTOP does
            # Not just any stall: on a busy machine one may have been logged while the gateway started.
            until(lambda: live.front.longest_stall >= 100 * MS)
            self.assertGreaterEqual(max(each["late_ms"] for each in live.log.of("stalled")), 100)

    def test_a_stall_tells_whether_the_process_computed(self):
        """Guards against a stall of which nobody can say whether it is a fault of this program."""
        with Live() as live:
            block_process(0.2)
            until(lambda: live.front.longest_stall >= 100 * MS)
            stopped = max(live.log.of("stalled"), key=lambda each: each["late_ms"])
            self.assertLess(stopped["cpu_ms"], 100)
            until_cpu = time.thread_time_ns() + 200 * MS
            while time.thread_time_ns() < until_cpu:
                pass
            until(lambda: any(each["cpu_ms"] >= 200 for each in live.log.of("stalled")))
            self.assertLessEqual({"late_ms", "owed", "cpu_ms", "major_faults"}, set(live.log.of("stalled")[-1]))

    def test_a_stall_right_after_another_is_detected_too(self):
        """Guards against missing a stall in the wait that follows another one."""
        with Live() as live:
            block_process(0.09)
            until(lambda: live.log.of("stalled"))
            block_process(0.2)
            until(lambda: live.front.longest_stall >= 150 * MS)

    def test_overdue_calls_are_answered_before_what_arrived_during_a_stall_is_read(self):
        """Guards against answers 381 ms after a stopped front end went on, on a machine with little room."""
        with Live(1) as live:
            live.call("f")
            live.workers["w0"].execute_order(["hang", "9s"])
            call = gevent.spawn(live.call, "f", time_left="300")
            until(lambda: live.front.engine.owed)
            ticks, tick = [], live.front.engine.tick
            ticks_before, answer = [], live.front.engine.answer_client

            def record_tick(now):
                ticks.append(now)
                tick(now)

            def record_answer(*arguments):
                ticks_before.append(len(ticks))
                answer(*arguments)
            live.front.engine.tick, live.front.engine.answer_client = record_tick, record_answer
            block_process(0.5)
            self.assertEqual(call.get(timeout=2).status, 503)
            self.assertEqual(ticks_before, [0])

    def test_a_call_that_waited_unread_loses_that_time(self):
        """Guards against giving a call that is read after a stall its whole time again and answering it too late."""
        with Live() as live:
            live.call("f")
            for left, status in ((600, 503), (300, 503)):
                with plain_socket.create_connection(("127.0.0.1", live.port)) as sock:
                    began = time.monotonic()
                    sock.sendall(f"POST /v1/functions/f/calls HTTP/1.1\r\nHost: x\r\nTime-Left: {left}\r\n"
                                 "Work-Hint: 500\r\nContent-Length: 1\r\n\r\nx".encode())
                    time.sleep(0.4)         # stalls the process while the bytes wait in the socket
                    until(lambda sock=sock: select.select([sock], [], [], 0)[0])
                    took = time.monotonic() - began
                    self.assertEqual(int(sock.recv(4096).split()[1]), status, left)
                    self.assertLess(took, 0.75)

    def test_a_call_read_after_a_stall_waits_for_updates_of_the_worker_list(self):
        """Guards against sending a call that is read first to a worker whose drain the feed announced long before."""
        with Live() as live:
            live.call("f")
            home = next(name for name, worker in live.front.engine.dispatcher.workers.items() if worker.warm_until)
            draining = replace(live.front.registry.known[home].entry, state=WorkerState.DRAINING)
            send = live.front.send
            receivers = []
            live.front.send = lambda worker, pending, number: (
                receivers.append(worker) or send(worker, pending, number))
            # The update is unread when the call is read: the next greenlet to run applies it.
            live.front.api.poll_monitor.unread_time = lambda now: (
                gevent.spawn(live.front.on_list, [draining], False) and 200 * MS)
            self.assertEqual(live.call("f").status, 200)
            self.assertNotIn(home, receivers)

    def test_an_answer_read_after_a_stall_waits_for_updates_of_the_worker_list(self):
        """Guards against an answer that is read first and causes a load order to a worker that drains already."""
        with Live() as live:
            live.call("f")
            draining = replace(live.front.registry.known["w0"].entry, state=WorkerState.DRAINING)
            states, on_send_ended = [], live.front.engine.on_send_ended

            def record_state(*arguments, **more):
                states.append(live.front.registry.state(live.front.registry.known["w0"]))
                on_send_ended(*arguments, **more)
            live.front.engine.on_send_ended = record_state
            job = gevent.spawn(live.call, "f", work_hint="100")
            until(lambda: live.front.engine.owed)
            live.front.api.poll_monitor.unread_time = lambda now: (
                gevent.spawn(live.front.on_list, [draining], False) and 200 * MS)
            job.join()
            self.assertEqual(states, [WorkerState.DRAINING])

    def test_restart_delays(self):
        backoff, now = RestartBackoff(), 100 * SECOND
        delays = []
        for _ in range(12):
            backoff.on_started(now)
            delays.append(backoff.on_died(now + MS) - now - MS)
        self.assertEqual(delays[:4], [0, FIRST_DELAY, 2 * FIRST_DELAY, 4 * FIRST_DELAY])
        self.assertEqual(delays[-1], MAX_DELAY)
        backoff.on_started(now)
        self.assertEqual(backoff.on_died(now + STABLE_RUNTIME), now + STABLE_RUNTIME)


class Membership(unittest.TestCase):
    """Updates of workers from the feed and from the workers themselves, through a running front end."""

    def test_an_update_while_links_to_gone_workers_are_ended_does_not_end_the_process(self):
        """Guards against a crash in production: ending a link lets other greenlets run, and so updates."""
        with Live() as live:
            listed = {name: live.front.registry.known[name].entry for name in live.workers}
            live.front.on_list([replace(each, state=WorkerState.GONE) for each in listed.values()], False)
            for name, other in (("w0", "w1"), ("w1", "w0")):
                link, returning = live.front.links[name], replace(listed[other])
                link.stop = lambda stop=link.stop, returning=returning: (
                    live.front.on_list([returning], False), stop())
            live.front.remove_gone_workers()
            self.assertEqual(len(live.front.links), 1)

    def test_an_update_while_the_links_are_ended_does_not_end_the_process_early(self):
        with Live() as live:
            for link in live.front.links.values():
                link.stop = lambda stop=link.stop: (live.front.links.setdefault("late", mock.Mock()), stop())
            live.front.end()
            live.running.join(5)
            self.assertTrue(live.running.successful())

    def test_a_lost_feed_is_logged_and_the_last_list_remains_valid(self):
        with Live() as live:
            live.feed.stop()
            until(lambda: live.log.of("roster-lost"))
            self.assertEqual(live.call("f").status, 200)

    def test_a_gap_in_the_feed_leads_to_a_full_list(self):
        with Live() as live:
            live.feed.execute_order(["gap"])
            live.worker("late")
            until(lambda: "late" in live.front.links and live.front.links["late"].up)
            self.assertIn("generation", live.log.of("roster-lost")[0]["problem"])

    def test_a_worker_that_reports_its_drain_gets_no_new_calls(self):
        with Live() as live:
            live.call("f")
            first = next(name for name, it in live.workers.items() if it.functions)
            live.workers[first].execute_order(["drain"])
            until(lambda: live.log.of("worker-drains"))
            before = live.workers[first].functions.keys()
            for n in range(10):
                self.assertEqual(live.call(f"g{n}").status, 200)
            self.assertEqual(live.workers[first].functions.keys(), before)

    def test_a_worker_that_moves_is_connected_to_at_its_new_address(self):
        with Live(workers=1) as live:
            live.call("f")
            old = live.workers["w0"]
            live.worker("w0")
            old.stop()
            until(lambda: live.front.links["w0"].up and live.front.links["w0"].address != old.address)
            self.assertEqual(live.call("f").status, 200)

    def test_a_worker_that_is_gone_loses_its_link(self):
        with Live() as live:
            live.feed.execute_order(["drop", "w1"])
            until(lambda: "w1" not in live.front.links)
            self.assertEqual(live.call("f").status, 200)


class KindsOfAddresses(unittest.TestCase):
    def test_clients_and_workers_over_unix_sockets_and_ipv6(self):
        with tempfile.TemporaryDirectory() as folder:
            for address in (Address("", 0, f"{folder}/w"), Address("::1", free_ports(1)[0])):
                with Live(workers=0, extra=f"admin unix:{folder}/admin\n") as live:
                    worker = Worker(address, Machine("w9"), live.store.address, Record(None))
                    worker.start()
                    live.extra.append(worker)
                    live.list("w9", address)
                    until(lambda live=live: "w9" in live.front.links and live.front.links["w9"].up)
                    self.assertEqual(live.call("f").status, 200, address)
                    with closing(Client(Address("", 0, f"{folder}/admin"))) as admin:
                        status = json.loads(admin.request("GET", "/v1/status").body)
                    self.assertTrue(status["workers"]["w9"]["link"])


class Loading(unittest.TestCase):
    def test_a_corrupt_pack_is_never_run(self):
        with Live() as live:
            live.store.execute_order(["corrupt", "9s"])
            reply = live.call("submit-x", time_left="700")
            self.assertEqual(reply.headers["final"], "rejected")
            self.assertFalse(any(state.copies for it in live.workers.values() for state in it.functions.values()))
            self.assertTrue(any("digest" in state.failed for it in live.workers.values()
                                for state in it.functions.values()))
            live.store.execute_order(["corrupt", "1us"])
            until(lambda: live.call("submit-x").status == 200)

    def test_a_miss_leads_to_a_load_order_and_the_call_continues(self):
        with Live(loads_on_miss=False, fleet="    loads-on-miss no\n") as live:
            reply = live.call("f")
            self.assertEqual((reply.status, live.front.engine.counts["miss"], live.front.engine.counts["orders"]),
                             (200, 1, 1))


if __name__ == "__main__":
    unittest.main()
