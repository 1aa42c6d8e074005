import json
import os
import random
import tempfile
import time
import unittest
from types import SimpleNamespace as Of

import gevent

from tests.live import until
from tests.platform import (
    Client, Coordinator, Platform, Worker, begin, configuration, event, instance, params, request, serve)
from threadshift.audit.records import RecordedEvent
from threadshift.audit.rules import breaches
from threadshift.conf.settings import InvalidInput
from threadshift.fastcgi import connection_eviction
from threadshift.fastcgi.codec import ABORT, GET_VALUES, HEADER, STDIN, pair, record, stream
from threadshift.frames.codec import CANCEL, ERROR, EXPIRED, FROM_WORKER, FULL, INVOKE, LOAD, MISS, OK, encode
from threadshift.interface import MS, SECOND
from threadshift.invoke.poll_monitor import PollMonitor
from threadshift.node import front_end_config
from threadshift.node.descriptors import Descriptors
from threadshift.node.shutdown import Shutdown, Stage
from threadshift.timer import ticks

A = "00000000000000a1"


def answers(code, fields="", body=b"", after=b""):
    """The script of a worker that answers every call with this code."""
    def script(worker, sock, frame):
        if frame.code == INVOKE:
            sock.sendall(encode(code, frame.id, fields, body, FROM_WORKER) + after)
    return script


def raw(make):
    """The script of a worker that answers each call with the bytes that make() returns."""
    def script(worker, sock, frame):
        if frame.code == INVOKE:
            sock.sendall(make(frame))
    return script


def silent(worker, sock, frame):
    pass


class Service(unittest.TestCase):
    def test_a_call_goes_through_unchanged(self):
        with Platform() as it:
            body = bytes(range(256)) * 64
            self.assertEqual(it.call(body=body), (200, {"Content-Type": "application/octet-stream"}, b"did " + body))
            frame = it.workers[0].frames_with(INVOKE)[0]
            self.assertEqual((frame.id.hex(), frame.fields["class"], frame.fields["key"], frame.body),
                             (A, "check", "00000000000000f1", body))
            self.assertLess(int(frame.fields["wait"]), 901)
            self.assertEqual(it.call(id_="00000000000000a2", body=b"")[0], 200)

    def test_many_requests_on_one_connection_are_answered_in_any_order(self):
        def late(worker, sock, frame):
            if frame.code == INVOKE:
                gevent.spawn_later(0.002 * (32 - frame.body[0]), serve, worker, sock, frame)
        with Platform([late, late]) as it:
            client = it.client()
            data = b"".join(request(n + 1, f"{n:016x}", bytes((n,)), HTTP_X_SPEC="lanes:64") for n in range(32))
            for at in range(0, len(data), 700):
                client.send(data[at:at + 700])
            for n in range(32):
                self.assertEqual(client.answer(n + 1)[2], b"did " + bytes((n,)))
            client.ask(1, "00000000000000ff")       # the number is free again
            self.assertEqual(client.answer(1)[0], 200)

    def test_the_health_check_succeeds_while_it_can_serve(self):
        with Platform() as it:
            def alive():
                return it.client().alive()[0]
            self.assertEqual(alive(), 200)
            it.node.end()
            self.assertEqual(alive(), 503)
        with Platform([]) as it:
            client = it.client()
            client.send(begin() + params(1, {"SCRIPT_NAME": "/alive"}) + stream(STDIN, 1, b""))
            self.assertEqual(client.answer()[0], 503)

    def test_outcomes_of_sends_as_statuses_to_clients(self):
        for script, type_, expected in (
                (answers(OK, "how=init,stats=inflight:7;util:0.6", b"r"), "submit", 200),
                (answers(ERROR), "submit", 502), (answers(FULL), "submit", 503),
                (answers(MISS, "how=init_error"), "submit", 503),
                (answers(EXPIRED), "submit", 503), (answers(ERROR), "check", 503)):
            with Platform([script]) as it:
                status, headers, _ = it.call(type_=type_, left="300")
                self.assertEqual(status, expected)
                self.assertEqual("X-Wait-Ms" in headers, status == 503)

    def test_the_call_of_a_client_that_leaves_is_cancelled(self):
        with Platform([silent]) as it:
            client = it.client()
            client.ask()
            until(lambda: it.workers[0].frames_with(INVOKE))
            client.abort()
            until(lambda: it.workers[0].frames_with(CANCEL))
            self.assertEqual(it.workers[0].frames_with(CANCEL)[0].id.hex(), A)
            # The next request with the same FastCGI id gets its own answer and nothing of the old one.
            it.workers[0].script = serve
            client.ask(id_="00000000000000a2", body=b"new")
            self.assertEqual(client.answer()[2], b"did new")
            self.assertTrue(client.silent())

    def test_a_send_whose_time_is_up_is_cancelled_and_its_call_answered(self):
        with Platform([silent]) as it:
            self.assertEqual(it.call(type_="submit", left="80")[0], 502)
            until(lambda: it.workers[0].frames_with(CANCEL))
            until(lambda: not it.node.engine.requests)
            self.assertFalse(it.node.links["s-0"].routes)

    def test_a_late_duplicate_answer_does_not_end_the_next_send(self):
        # A second 'full' for the first send must not end the send after it as one that never ran.
        def script(worker, sock, frame):
            if frame.code == INVOKE and not worker.frames_with(INVOKE)[1:]:
                sock.sendall(encode(FULL, frame.id, sender=FROM_WORKER))
                gevent.spawn_later(0.03, sock.sendall, encode(FULL, frame.id, sender=FROM_WORKER))
            elif frame.code == INVOKE:
                gevent.spawn_later(0.1, serve, worker, sock, frame)
        with Platform([script]) as it:
            link, ends = it.node.links["s-0"], []
            call = Of(type="submit", function="00000000000000f1", body=b"x", mark="")
            pending = Of(id=A, call=call,
                         on_send_ended=lambda now, number, outcome, **_: ends.append((number, outcome)),
                         time_left=lambda now: SECOND)
            self.assertIsNone(link.invoke(pending, 0, SECOND))
            until(lambda: len(ends) == 1)
            self.assertIsNone(link.invoke(pending, 1, SECOND))
            until(lambda: len(ends) == 2)
            self.assertEqual([outcome.value for _, outcome in ends], ["full", "completed"])


class BadClients(unittest.TestCase):
    def test_invalid_input_is_refused_in_time_and_never_reaches_a_worker(self):
        good = request()
        cases = {
            "noise": b"\xff" * 100, "version": b"\x02" + good[1:], "begin too short": record(1, 1, b"x"),
            "role": begin(role=9), "number 0": HEADER.pack(1, STDIN, 0, 0, 0), "begun twice": begin() + begin(),
            "parameters": begin() + record(4, 1, b"\x7f\x7fab") + record(4, 1) + record(5, 1),
            "body first": begin() + record(STDIN, 1, b"x"), "answers of ours": begin() + record(6, 1, b"x"),
            "endless parameters": begin() + record(4, 1, b"x" * 60_000) * 2, "class": request(type_="dance"),
            "no id": request(id_=None), "id": request(id_="xyz"), "left": request(left="-1"),
            "huge": request(left="1e99"), "not a number": request(left="nan"), "body": request(body=b"x" * 20_000),
            "length": request(CONTENT_LENGTH="-7"), "spec": request(HTTP_X_SPEC="lanes:nan"),
            "half": good[:60], "silent": b"", "withdrawn": begin() + record(ABORT, 1), "hint": request(
                HTTP_X_SIZE_MS="inf")}
        with Platform() as it:
            clients = {}
            for name, data in cases.items():
                clients[name] = it.client()
                clients[name].send(data)

            def outcome(client):
                try:
                    return client.answer()
                except OSError:
                    return None
            with gevent.Timeout(2.9, AssertionError("not refused in time")):
                for name, client in clients.items():
                    got = outcome(client)
                    self.assertTrue(got is None or got[0] != 200, (name, got))
            self.assertEqual(it.workers[0].frames_with(INVOKE), [])
            self.assertEqual(it.call()[0], 200)

    def test_a_body_of_sixty_megabytes_is_neither_stored_nor_read_to_its_end(self):
        with Platform() as it:
            client = it.client()
            client.send(begin() + params(1, {"SCRIPT_NAME": "/ops/check"}) + record(STDIN, 1, bytes(60_000)))
            self.assertEqual(client.answer()[0], 413)
            try:
                for _ in range(1000):
                    client.send(record(STDIN, 1, bytes(60_000)))
            except OSError:
                pass
            self.assertTrue(client.closed())

    def test_a_second_request_with_an_open_id_does_not_affect_the_first(self):
        def late(worker, sock, frame):
            gevent.spawn_later(0.1, serve, worker, sock, frame)
        with Platform([late]) as it:
            first, second = it.client(), it.client()
            first.ask(body=b"one")
            until(lambda: it.workers[0].frames_with(INVOKE))
            second.ask(body=b"two")
            self.assertEqual(second.answer()[0], 409)
            self.assertEqual(first.answer()[2], b"did one")
            self.assertEqual(len(it.workers[0].frames_with(INVOKE)), 1)

    def test_requests_above_the_limit_of_a_connection_are_refused_and_the_rest_served(self):
        def late(worker, sock, frame):
            gevent.spawn_later(0.1, serve, worker, sock, frame)
        with Platform([late]) as it:
            client = it.client()
            client.send(b"".join(request(n + 1, f"{n:016x}", HTTP_X_SPEC="lanes:64") for n in range(40)))
            got = [client.answer(n + 1)[0] for n in range(40)]
            self.assertEqual(got, [200] * 32 + [503] * 8)

    def test_values_and_unknown_types_are_answered(self):
        with Platform() as it:
            client = it.client()
            client.send(record(GET_VALUES, 0, pair(b"FCGI_MPXS_CONNS", b"")))
            self.assertIn(b"FCGI_MPXS_CONNS1", client.sock.recv(100))
            client.send(record(77, 0, b"x"))
            self.assertEqual(client.sock.recv(100)[1], 11)

    def test_silent_connections_are_closed_for_new_ones(self):
        with Platform(limits={"cores": 1.0, "memory_mb": 96, "sockets": 32}) as it:
            quiet = [it.client() for _ in range(it.node.listener.max_connections())]
            until(lambda: len(it.node.listener.connections) == len(quiet))
            gevent.sleep(0.03)
            self.assertEqual(it.call()[0], 200)

    def test_answered_connections_are_closed_unless_a_request_lies_unread_on_them(self):
        # A request that is read from a connection after it was closed to make room cannot be answered.
        with Platform(limits={"cores": 1.0, "memory_mb": 96, "sockets": 32}) as it:
            max_connections, reserved = it.node.listener.max_connections(), it.node.descriptors.reserved_for_clients
            for n in range(2 * max_connections):
                self.assertEqual(it.call(id_=f"{n:016x}")[0], 200)
                gevent.sleep(connection_eviction.ACTIVITY_GRACE / SECOND if n >= reserved - 1 else 0)
            self.assertLessEqual(len(it.node.listener.connections), max_connections)
            client = it.clients[-1]
            connection = next(iter(it.node.listener.connections - {
                each for each in it.node.listener.connections
                if each.sock.getpeername() != client.sock.getsockname()}))
            client.ask(id_="00000000000000ff")
            self.assertFalse(connection.end())
            self.assertEqual(client.answer()[0], 200)
            self.assertTrue(connection.end())


class BadWorkers(unittest.TestCase):
    def test_an_invalid_answer_is_never_served(self):
        good = encode(OK, bytes.fromhex(A), "how=reused", b"right", FROM_WORKER)
        cases = {"noise": b"\x07" * 40, "check": good[:-1] + bytes((good[-1] ^ 1,)), "mark": b"\x01" + good[1:],
                 "code": good[:1] + b"\x63" + good[2:],
                 "fields": encode(OK, bytes.fromhex(A), "how", b"", FROM_WORKER), "3 GB": HEAD_OF_3_GB,
                 "cut off": good[:-3]}
        for name, data in cases.items():
            def script(worker, sock, frame, data=data, name=name):
                if frame.code == INVOKE:
                    sock.sendall(data)
                    if name == "cut off":
                        sock.close()
            with Platform([script]) as it:
                # The call may have run, so a once-only one is neither sent again nor rejected.
                self.assertEqual(it.call(type_="submit")[0], 502, name)
                self.assertEqual(len(it.workers[0].frames_with(INVOKE)), 1, name)
                until(lambda it=it: it.log.of("link-broke"))

    def test_answers_without_a_send_are_dropped(self):
        for make in (lambda it: encode(OK, bytes(8), "", b"whose", FROM_WORKER) + encode(
                        OK, it.id, "", b"right", FROM_WORKER),
                     lambda it: encode(OK, it.id, "", b"right", FROM_WORKER) * 2):
            with Platform([raw(make)]) as it:
                self.assertEqual(it.call()[2], b"right")
                self.assertEqual(it.call(id_="00000000000000a2")[2], b"right")
                self.assertEqual(it.log.of("link-broke"), [])

    def test_a_valid_answer_before_an_invalid_one_is_served(self):
        with Platform([raw(lambda it: encode(OK, it.id, "", b"right", FROM_WORKER) + b"\x09" * 30)]) as it:
            self.assertEqual(it.call()[2], b"right")
            until(lambda: it.log.of("link-broke"))

    def test_a_reset_ends_a_once_only_call_and_a_repeatable_one_is_sent_again(self):
        def reset(worker, sock, frame):
            if frame.code == INVOKE:
                sock.close()
        with Platform([reset, reset, serve]) as it:
            self.assertIn(it.call(type_="submit", item="00000000000000f3")[0], (200, 502))
            self.assertEqual(sum(len(worker.frames_with(INVOKE)) for worker in it.workers), 1)
            self.assertIn(it.call(id_="00000000000000a2")[0], (200, 503))

    def test_nothing_runs_on_a_worker_that_is_gone(self):
        with Platform([serve]) as it:
            it.workers[0].stop()
            until(lambda: not it.node.links["s-0"].up)
            self.assertEqual(it.call(type_="submit", left="300")[0], 503)

    def test_nothing_is_sent_on_an_idle_connection_that_the_worker_closed(self):
        with Platform([serve]) as it:
            self.assertEqual(it.call(type_="submit")[0], 200)
            for sock in it.workers[0].open:
                sock.close()
            self.assertEqual(it.call(id_="00000000000000a2", type_="submit")[0], 200)

    def test_a_send_over_another_connection_than_the_first_choice_is_cancelled_there(self):
        # It was recorded as waiting on the first choice, which had been closed, so that a cancel missed it.
        with Platform([silent]) as it:
            link = it.node.links["s-0"]
            link.dial()
            until(lambda: len(link.connections) == 2 and len(it.workers[0].open) == 2)
            first = link.connections[0].sock.getsockname()
            next(sock for sock in it.workers[0].open if sock.getpeername() == first).shutdown(2)
            call = Of(type="submit", function="00000000000000f1", body=b"x", mark="")
            pending = Of(id=A, call=call, on_send_ended=lambda now, number, outcome, **_: None,
                         time_left=lambda now: SECOND)
            self.assertIsNone(link.invoke(pending, 0, SECOND))
            self.assertTrue(link.busy)
            self.assertEqual(link.cancel(pending, 0, True).value, "cancelled")
            self.assertFalse(link.busy)
            until(lambda: it.workers[0].frames_with(CANCEL))

    def test_load_orders_are_sent_at_once_or_not_at_all(self):
        with Platform([silent]) as it:
            link, ends = it.node.links["s-0"], []
            asked = Of(function="00000000000000f1", on_answered=lambda now, outcome, **_: ends.append(outcome.value))
            self.assertIsNone(link.order_load(asked))
            until(lambda: it.workers[0].frames_with(LOAD))
            self.assertEqual(it.workers[0].frames_with(LOAD)[0].fields, {"key": "00000000000000f1", "n": "1"})
            it.workers[0].stop()
            until(lambda: ends == ["reset"])
            self.assertEqual(link.order_load(asked).value, "unreachable")


HEAD_OF_3_GB = bytes((FROM_WORKER, OK)) + bytes(2) + (3 << 30).to_bytes(4, "big") + bytes.fromhex(A)


class WorkerList(unittest.TestCase):
    def test_updates_are_applied_across_breaks_and_repeated_events(self):
        with Platform([serve]) as it:
            until(lambda: it.coordinator.last_event_ids == [0])
            other = Worker()
            it.extra.append(other)
            it.coordinator.open[-1].sendall(it.coordinator.encoded(event(2, instance("s-9", other.address)))[:40])
            it.coordinator.open[-1].shutdown(2)
            it.coordinator.events.append(event(2, instance("s-9", other.address)))
            until(lambda: "s-9" in it.node.links)
            self.assertEqual(it.coordinator.last_event_ids[1:], [1])
            it.coordinator.publish(event(2, instance("s-8", other.address)))
            it.coordinator.publish(event(3, instance("s-9", other.address, "Terminating")))
            until(lambda: not it.node.engine.dispatcher.workers["s-9"].ready)
            self.assertNotIn("s-8", it.node.links)

    def test_a_new_worker_at_the_address_of_one_that_is_gone(self):
        with Platform([serve]) as it:
            at = it.workers[0].address
            it.coordinator.publish(event(2, instance("s-0", at, "Gone"), instance("s-7", at)))
            until(lambda: "s-7" in it.node.links and it.node.links["s-7"].up)
            self.assertEqual(it.call()[0], 200)
            until(lambda: "s-0" not in it.node.links)

    def test_a_silent_stream_is_reconnected(self):
        with Platform([serve]) as it:
            it.coordinator.is_silent = True
            until(lambda: len(it.coordinator.last_event_ids) > 1)
            self.assertTrue(it.node.is_discovery_lost)

    def test_a_reload_moves_the_stream_unless_the_configuration_is_invalid(self):
        with Platform([serve]) as it, tempfile.NamedTemporaryFile("w") as file:
            other = Coordinator([event(2, instance("s-0", it.workers[0].address, "Terminating"))])
            it.extra.append(other)
            it.environment["NODE_CONFIG"] = file.name
            for text in ("{", json.dumps(configuration(coordinator="nowhere"))):
                file.seek(0)
                file.truncate()
                file.write(text)
                file.flush()
                it.node.reload()
            self.assertEqual(len(it.log.of("reload-refused")), 2)
            file.seek(0)
            file.truncate()
            file.write(json.dumps(configuration(coordinator=str(other.address))))
            file.flush()
            it.node.reload()
            until(lambda: not it.node.engine.dispatcher.workers["s-0"].ready)
            self.assertEqual(other.last_event_ids, [1])


class OrderlyShutdown(unittest.TestCase):
    def test_it_serves_for_a_while_after_the_request_and_answers_everything_pending(self):
        def late(worker, sock, frame):
            if frame.code == INVOKE:
                gevent.spawn_later(0.5, serve, worker, sock, frame)
        with Platform([late]) as it:
            earlier = it.client()
            it.node.end()
            gevent.sleep(0.6)
            fresh = Client(it.address)              # still accepted
            fresh.ask(left="950")
            until(lambda: it.workers[0].frames_with(INVOKE))
            until(lambda: it.node.listener.closing)
            earlier.ask(id_="00000000000000a2")
            self.assertEqual(earlier.answer()[0], 503)
            self.assertEqual(fresh.answer()[0], 200)
            it.running.join(3)
            self.assertTrue(it.running.ready())
            self.assertRaises(OSError, Client, it.address)
            fresh.close()

    def test_stages(self):
        shutdown = Shutdown(10 * SECOND)
        self.assertIs(shutdown.stage(5, 9), Stage.RUNNING)
        shutdown.begin(SECOND)
        shutdown.begin(2 * SECOND)
        self.assertIs(shutdown.stage(SECOND + 700 * MS, 0), Stage.ACCEPTING)
        self.assertIs(shutdown.stage(2 * SECOND, 1), Stage.REFUSING)
        self.assertIs(shutdown.stage(2 * SECOND, 0), Stage.REFUSING)
        self.assertIs(shutdown.stage(2 * SECOND + 60 * MS, 0), Stage.DONE)
        self.assertIs(shutdown.stage(5 * SECOND, 1), Stage.DONE)     # well before the kill


class Audited(unittest.TestCase):
    def test_the_rules_hold_for_what_crossed_the_sockets(self):
        """Workers serve, fail, refuse, reset, or answer twice, invalidly or late, at random; and one drains."""
        seen, rng, late_sends = [], random.Random(5), {}
        finals = {200: "completed", 503: "rejected", 502: "aborted"}

        def note(source, event_, **facts):
            seen.append(RecordedEvent(time.monotonic_ns(), event_, source, facts))

        def worker_at(name):
            def script(worker, sock, frame):
                if frame.code == LOAD:
                    note(name, "hold", front="front-0")
                    return serve(worker, sock, frame)
                if frame.code == CANCEL:
                    return note(name, "cancel", mark=frame.id.hex())
                facts = dict(front="front-0", mark=frame.id.hex(), work_ms=1.0)
                note(name, "invoke", **facts)
                behaviour = rng.choice(
                    ("ok", "ok", "ok", "error", "full", "miss", "reset", "twice", "invalid", "late"))
                if behaviour in ("full", "miss"):
                    note(name, "turned", kind=behaviour, **facts)
                    return sock.sendall(encode({"full": FULL, "miss": MISS}[behaviour], frame.id, sender=FROM_WORKER))
                note(name, "run", **facts)
                open_late_sends = late_sends.setdefault(sock, [])
                if behaviour == "late":
                    open_late_sends.append(frame.id.hex())
                elif behaviour in ("reset", "invalid"):
                    # An invalid answer closes the connection, which ends all sends that are open on it.
                    for mark in (frame.id.hex(), *open_late_sends):
                        note(name, "cut-off", mark=mark)
                else:
                    note(name, "done", mark=frame.id.hex())
                if behaviour == "error":
                    return sock.sendall(encode(ERROR, frame.id, sender=FROM_WORKER))
                if behaviour == "reset":
                    return sock.close()
                if behaviour == "invalid":
                    return sock.sendall(bytes((FROM_WORKER,)) + frame.id * 4)
                answer = encode(OK, frame.id, "how=reused", frame.id, FROM_WORKER)
                if behaviour == "late":
                    return gevent.spawn_later(0.6, sock.sendall, answer)
                return sock.sendall(answer * (1 + (behaviour == "twice")))
            return script

        names = ["s-0", "s-1", "s-2"]
        with Platform([worker_at(name) for name in names]) as it:
            def ask(n):
                client, mark = Client(it.address), f"{n:016x}"
                type_ = ("check", "submit")[n % 2]
                note("clients", "try", mark=mark, first=mark, front=0, type=type_, deferred=False, left_ms=400,
                     effect=("repeatable", "once-only")[n % 2])
                client.ask(1, mark, left="400", type_=type_, item=f"{n % 7:016x}")
                status, _, body = client.answer()
                note("clients", "answer", mark=mark, final=finals[status], status=status)
                client.close()
                self.assertTrue(status != 200 or body == bytes.fromhex(mark))
                return status
            asks = [gevent.spawn_later(0.004 * n, ask, n) for n in range(200)]
            gevent.sleep(0.4)
            note("roster", "told", front="front-0", full=False, states={"s-1": "draining"})
            it.coordinator.publish(event(2, instance("s-1", it.workers[1].address, "Terminating")))
            gevent.joinall(asks)
            self.assertEqual({ask.get() for ask in asks}, {200, 502, 503})
            seen.sort(key=lambda each: each.t)
            self.assertEqual([str(each) for each in breaches(seen, it.config.deployment, 1)], [])
            self.assertTrue(any(each.event == "run" for each in seen))
            # The audit reports a broken rule: here the first once-only call runs a second time.
            once = next(each for each in seen if each.event == "run" and int(each["mark"], 16) % 2)
            twice = sorted([*seen, RecordedEvent(once.t + MS, "run", "s-2", once.fields)], key=lambda each: each.t)
            self.assertTrue(list(breaches(twice, it.config.deployment, 1)))


class UnreadTime(unittest.TestCase):
    def test_only_the_time_in_which_input_may_have_waited_is_subtracted(self):
        # An event loop that waited for input found it at once: a call of 70 ms lost 5 ms when that was subtracted.
        monitor, now = PollMonitor(), 100 * MS
        for before, idle, last, wanted in (
                (90, 91, 96, 4), (90, 99, 99, 10), (20, 91, 96, 80), (20, 21, 99, 80), (90, 98, 98, 10)):
            monitor.previous_poll, monitor.wait_started, monitor.last_poll = before * MS, idle * MS, last * MS
            self.assertEqual(monitor.unread_time(now), wanted * MS)
        monitor.stop()
        self.assertEqual(monitor.unread_time(now), 0)

    def test_a_deadline_between_two_ticks_gets_a_tick_of_its_own(self):
        due = [time.monotonic_ns() + 8 * MS]
        fired = []
        for now, _ in ticks(50 * MS, lambda: len(fired) == 2, lambda: due[0]):
            fired.append(now)
            due[0] = now + SECOND
        self.assertLess(fired[0] - due[0] + SECOND, 25 * MS)
        self.assertGreater(fired[1] - fired[0], 25 * MS)


class Configuration(unittest.TestCase):
    def test_an_error_is_one_line_that_names_the_setting(self):
        good = configuration()
        broken = json.loads(json.dumps(good["settings"]))
        broken["lanes"][0]["effect"] = "magic"
        cases = (
            ({}, "NODE_CONFIG is not set"), (["/nowhere/at/all"], "No such file"), ("{", "not JSON"),
            ("[1]", "object"),
            (good | {"settings": None}, "settings"), (good | {"settings": broken}, "lanes.0.effect=magic"),
            (good | {"listen": "x"}, "listen=x"), (good | {"seed": "xyz"}, "seed"),
            (good | {"coordinator": "127.0.0.1"}, "coordinator"), (good | {"limits": {"memory_mb": 1}}, "too little"),
            (good | {"known": {"index": 1, "updates": 3}}, "updates"), (good | {"settings": {"lanes": []}}, "lanes"))
        for content, words in cases:
            with tempfile.NamedTemporaryFile("w") as file:
                file.write(content if isinstance(content, str) else json.dumps(content))
                file.flush()
                environment = {} if content == {} else {
                    "NODE_CONFIG": content[0] if isinstance(content, list) else file.name}
                with self.assertRaises(InvalidInput, msg=words) as caught:
                    front_end_config.read_config(environment)
                self.assertIn(words, str(caught.exception))
                self.assertNotIn("\n", str(caught.exception))

    def test_derived_limits_follow_memory_and_sockets(self):
        for memory, sockets in ((32, 256), (96, 256), (192, 1024)):
            config = front_end_config.parse_config(
                configuration(limits={"memory_mb": memory, "sockets": sockets}), {}, "f")
            self.assertLess(config.max_activations * 2 * (16 << 10), config.memory_bytes // 4)
            for workers in (12, 120, 400):
                descriptors = Descriptors(config.max_sockets)
                dialled = workers * config.link_settings(workers).max_connections
                clients = descriptors.client_limit(dialled)
                self.assertGreaterEqual(clients, sockets // 3)
                # Connections that do not fit beside the clients are not dialled.
                dialled_at_most = next(n for n in range(dialled + 1)
                            if n == dialled or not descriptors.has_room_for_worker(clients, n))
                self.assertLess(clients + dialled_at_most, sockets - 20)
            descriptors = Descriptors(config.max_sockets)
            self.assertTrue(descriptors.clients_must_yield(descriptors.client_limit(0))
                            and not descriptors.clients_must_yield(descriptors.reserved_for_clients))

    def test_updates_in_the_configuration_are_applied_at_once(self):
        with Platform([]) as it:
            pass
        config = front_end_config.parse_config(configuration(known={"index": 3, "updates": [
            event(1, instance("s-0", "127.0.0.1:9"), full=True), event(3, instance("s-0", "127.0.0.1:9", "Gone"))]}),
            {}, "f")
        it.node.coordinator.apply_known(config.known_updates)
        self.assertEqual(it.node.coordinator.sequence.last, 3)
        self.assertEqual(os.path.basename(config.name), "n0")
