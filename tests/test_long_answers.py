"""Long answers of workers reach their clients, and cost no other request of the same connection its own answer."""
import unittest
from unittest import mock

from tests.live import until
from tests.platform import Platform
from threadshift.fastcgi.connection import Connection
from threadshift.frames.codec import FROM_WORKER, INVOKE, OK, encode

LONG_ANSWER = 1_500_000        # bytes; a frame of a worker may have twice as many with this memory
LONG, LIMITS = "00000000000000f2", {"cores": 1.0, "memory_mb": 192, "sockets": 256}


def answer(worker, sock, frame):
    """Answers requests for one function at length."""
    if frame.code == INVOKE:
        body = bytes(LONG_ANSWER) if frame.fields["key"] == LONG else b"did"
        sock.sendall(encode(OK, frame.id, "how=reused", body, FROM_WORKER))


class LongAnswers(unittest.TestCase):
    def test_a_long_answer_and_those_beside_it_reach_their_client(self):
        """Guards against an answer over 1 MiB that ends its client's connection and all on it (review/9)."""
        with Platform(scripts=(answer,), limits=LIMITS) as it:
            client = it.client()
            for number in range(1, 6):
                client.ask(number, f"{number:016x}", type_="submit", item=LONG if number == 3 else f"{number:016x}")
            answers = [client.answer(number) for number in range(1, 6)]
            self.assertEqual([each[0] for each in answers], [200] * 5)
            self.assertEqual(answers[2][2], bytes(LONG_ANSWER))

    def test_long_answers_that_are_not_read_fail_alone(self):
        with Platform(scripts=(answer,), limits=LIMITS) as it:
            client = it.client()
            with mock.patch.object(Connection, "write"):        # as while the socket takes nothing
                for number in range(1, 12):
                    client.ask(number, f"{number:016x}", item=LONG if number % 2 else f"{number:016x}")
                until(lambda: it.node.engine.counts["taken"] == 11 and not it.node.engine.owed)
                connection, = it.node.listener.connections
            connection.write()
            statuses = [client.answer(number)[0] for number in range(1, 12)]
            self.assertEqual(len(it.log.of("response-too-long")), statuses.count(502))
            self.assertTrue(statuses.count(502))
            self.assertEqual(statuses.count(200) + statuses.count(502), it.node.engine.counts["answered completed"])
            self.assertEqual(it.call()[0], 200)


if __name__ == "__main__":
    unittest.main()
