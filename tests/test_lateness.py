"""The log tells where a request was when its time ended: unread, postponed, admitted, sent or in the outbox."""
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from tests.live import block_process, until
from tests.platform import Platform, serve
from threadshift.engine.engine import PendingRequest
from threadshift.fastcgi.connection import Connection
from threadshift.fastcgi.lateness import LOGGED_LATENESS, Progress, Stage
from threadshift.interface import MS, SECOND, Outcome


def pending(*outcomes):
    """A pending request whose sends have these outcomes."""
    request = PendingRequest(None, "a", None, 0, SECOND)
    request.sends = [SimpleNamespace(outcome=outcome) for outcome in outcomes]
    return request


class Stages(unittest.TestCase):
    def test_each_stage(self):
        read, due = Progress("a", 0, 10 * MS, SECOND), SECOND
        for progress, state, stage in (
                (Progress("a", 0, due, due), pending(None), Stage.UNREAD), (read, True, Stage.POSTPONED),
                (read, None, Stage.POSTPONED), (read, pending(), Stage.ADMITTED),
                (read, pending(Outcome.FULL), Stage.ADMITTED), (read, pending(Outcome.FULL, None), Stage.SENT)):
            self.assertIs(progress.stage(state), stage)
        self.assertEqual([read.is_late(due + LOGGED_LATENESS + n) for n in (-1, 0)], [False, True])
        self.assertEqual(read.fields(Stage.SENT, due + 60 * MS), {
            "id": "a", "where": "sent", "late_ms": 60, "unread_ms": 10, "since_read_ms": 1050})


class OnThePlatform(unittest.TestCase):
    def test_a_request_that_lay_unread_beyond_its_time(self):
        """Guards against late answers of which nothing tells that their requests were not read."""
        with Platform() as it:
            client = it.client()
            until(lambda: it.node.listener.connections)
            client.ask(left="30")
            block_process(0.2)
            self.assertEqual(client.answer()[0], 503)
            late, = it.log.of("request-late")
            self.assertEqual(late["where"], "unread")
            self.assertGreaterEqual(late["unread_ms"], 100)

    def test_a_response_that_its_client_does_not_read_in_time(self):
        with Platform() as it:
            client = it.client()
            with mock.patch.object(Connection, "write"):        # as while the socket takes nothing
                client.ask(left="100")
                until(lambda: it.node.listener.connections)
                connection, = it.node.listener.connections
                until(lambda: connection.unwritten)
                until(lambda: connection.unwritten[0].is_late(time.monotonic_ns()))
            connection.write()
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual([each["where"] for each in it.log.of("request-late")], ["outbox"])

    def test_a_request_in_time_is_not_logged(self):
        with Platform(scripts=(serve,)) as it:
            self.assertEqual(it.call()[0], 200)
            self.assertFalse(it.log.of("request-late"))
            self.assertIn("longest_unread_ms", it.node.state())


if __name__ == "__main__":
    unittest.main()
