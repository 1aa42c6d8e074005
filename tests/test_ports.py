"""Reserved ports: no other rig draws them, and a front end may listen at them again and again."""
import unittest
from contextlib import closing
from unittest import mock

from gevent import socket

from threadshift.conf.values import Address
from threadshift.links.sockets import listener
from threadshift.standins import ports
from threadshift.standins.ports import LOOPBACK, ReservedPorts, free_ports


class Reserved(unittest.TestCase):
    def setUp(self):
        self.ports = ReservedPorts()
        self.addCleanup(self.ports.release)

    def draws(self, *drawn):
        """Makes these the next ports that are drawn."""
        return mock.patch.object(ports, "draw_port", side_effect=drawn)

    def test_a_port_between_two_starts_of_its_process_is_not_drawn_again(self):
        """Guards against two days that ran at once and drew the same port: `cannot-start`, address already in use."""
        taken = self.ports.reserve(1)[0]
        other = free_ports(1)[0]
        for shared in (False, True):
            listener(Address(LOOPBACK, taken), shared).close()       # the process was started, and killed
            with self.draws(taken, other):
                self.assertEqual(free_ports(1), [other])
            rival = ReservedPorts()
            self.addCleanup(rival.release)
            with self.draws(taken, other):
                self.assertEqual(rival.reserve(1), [other])
            rival.release()

    def test_a_client_is_refused_until_the_process_listens_and_then_served(self):
        address = (LOOPBACK, self.ports.reserve(1)[0])
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address, 1)
        for _ in range(2):
            with closing(listener(Address(*address), shared=False)) as sock:
                with closing(socket.create_connection(address, 1)):
                    sock.accept()[0].close()

    def test_consecutive_ports_are_all_reserved_or_none(self):
        first = self.ports.reserve_consecutive(3)
        self.ports.release()
        self.ports.hold(first + 2)
        with self.draws(first + 1, first):               # the second port of the first draw is taken
            self.assertEqual(self.ports.reserve_consecutive(2), first)
        self.assertEqual(len(self.ports.sockets), 3)

    def test_released_ports_are_free(self):
        port = self.ports.reserve(1)[0]
        self.ports.release()
        with self.draws(port):
            self.assertEqual(free_ports(1), [port])
