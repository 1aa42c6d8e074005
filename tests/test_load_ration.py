"""The ration of load orders: within the window, and over restarts in a row whatever the processes before gave."""
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import deployment, listing
from tests.live import Live
from threadshift.choice import Dispatcher
from threadshift.gateway.front_end import TAKEOVER_TIME
from threadshift.interface import MS, SECOND, Effect
from threadshift.load_ration import LoadRation

WINDOW = 5 * SECOND
ORDER, ADMIT, ADMIT_MANY, WITHDRAW, RESTART = "order", "admit", "admit many", "withdraw", "restart"
MANY = 40
RATIONS = st.tuples(st.sampled_from((0.0, 0.5, 1.0, 2.0, 6.0)), st.sampled_from((0.0, 0.05, 0.2, 1.0)))
DELAYS = st.sampled_from((0, 10 * MS, 500 * MS, SECOND, 2 * SECOND))


def changes(*kinds):
    """Sequences of changes of these kinds, each after a delay."""
    return st.lists(st.tuples(st.sampled_from(kinds), DELAYS), min_size=20, max_size=60)


class FrontEndOrders:
    """One front end whose processes order whatever their ration allows, and the rule as the users state it."""

    def __init__(self, test, free, ratio, window=WINDOW):
        self.test, self.free, self.ratio, self.window = test, free, ratio, window
        self.now, self.admissions, self.orders = SECOND, [], []
        self.ration = LoadRation(window, free, ratio)

    def restart(self):
        self.ration = LoadRation(self.window, self.free, self.ratio)
        self.ration.assume_predecessor(self.now)

    def admit(self):
        self.admissions.append((self.now, self.ration.record_admission(self.now)))

    def order(self):
        """Orders a load if the ration allows it, and checks the rule; returns whether it was allowed."""
        if not self.ration.may_order(self.now):
            return False
        self.ration.record_order(self.now)
        self.orders.append(self.now)
        since = self.now - self.window
        ordered = sum(at > since for at in self.orders)
        admitted = sum(at > since and admission.counts for at, admission in self.admissions)
        self.test.assertLessEqual(ordered, self.free + self.ratio * admitted + 1e-9)
        return True

    def play(self, played):
        for what, delay in played:
            self.now += delay
            if what == ORDER:
                while self.order():
                    pass
            elif what in (ADMIT, ADMIT_MANY):
                for _ in range(MANY if what == ADMIT_MANY else 1):
                    self.admit()
            elif what == RESTART:
                self.restart()
            elif self.admissions:
                self.ration.withdraw(self.admissions[len(self.orders) % len(self.admissions)][1])


class Rule(unittest.TestCase):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(RATIONS, changes(ORDER, ORDER, ORDER, ADMIT, ADMIT, ADMIT, ADMIT_MANY, RESTART))
    def test_it_holds_over_restarts_in_a_row(self, ration, played):
        """Guards against orders of earlier processes that outlast the calls that allowed them (review/10)."""
        FrontEndOrders(self, *ration).play(played)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(RATIONS, changes(ORDER, ORDER, ADMIT, ADMIT, ADMIT_MANY, WITHDRAW))
    def test_it_holds_while_clients_withdraw_their_calls(self, ration, played):
        FrontEndOrders(self, *ration).play(played)

    def test_a_process_killed_after_a_burst_leaves_the_ration_to_the_next_ones(self):
        """Guards against orders for calls that have left the window in the next process (review/10)."""
        for restarts in (1, 3):
            front = FrontEndOrders(self, 6, 0.2)
            for _ in range(450):                    # 150 calls/s for 3 s
                front.admit()
                front.now += SECOND // 150
            front.now += SECOND // 2
            for _ in range(24):                     # 20 calls/s, each of a function that wants a load
                front.admit()
                front.order()
                front.now += 50 * MS
            self.assertGreaterEqual(len(front.orders), 6)
            for _ in range(restarts):
                front.restart()
                front.now += SECOND
            for _ in range(200):
                front.admit()
                front.order()
                front.now += 50 * MS


class Restart(unittest.TestCase):
    def test_the_calls_of_a_new_process_bring_loads_at_once(self):
        """Guards against a start after which nothing is loaded until a whole window has passed."""
        front = FrontEndOrders(self, 6, 0.2)
        front.restart()
        for _ in range(10):
            front.now += 10 * MS
            front.admit()
            front.order()
        self.assertEqual(len(front.orders), 2)

    def test_the_free_orders_are_there_again_once_the_window_has_passed(self):
        front = FrontEndOrders(self, 6, 0.2)
        front.restart()
        front.now += WINDOW - 1
        self.assertFalse(front.order())
        front.now += 1
        self.assertEqual(sum(front.order() for _ in range(9)), 6)

    def test_without_a_window_nothing_limits_the_orders_of_a_new_process(self):
        front = FrontEndOrders(self, 6, 0.2, window=0)
        front.restart()
        self.assertTrue(all(front.ration.may_order(front.now) for _ in range(99)))
        self.assertFalse(front.ration.orders)

    def test_a_limit_of_very_many_free_orders_takes_no_memory(self):
        ration = LoadRation(WINDOW, 1e15, 0.0)
        ration.assume_predecessor(0)
        self.assertFalse(ration.orders)

    def test_a_process_beside_the_one_that_it_replaces_orders_nothing_until_that_one_stops(self):
        """Guards against two processes of one front end that both give its free orders while versions are swapped."""
        front = FrontEndOrders(self, 6, 0.2)
        old, new = front.ration, LoadRation(WINDOW, 6, 0.2)
        stops_at = front.now + SECOND
        new.assume_predecessor(stops_at)
        for _ in range(800):
            front.now += 10 * MS
            if front.now >= stops_at:
                old.stop()
            for front.ration in (old, new):
                front.admit()
                while front.order():
                    self.assertEqual(front.now < stops_at, front.ration is old)
        self.assertGreater(front.orders[-1], stops_at + WINDOW)

    def test_a_front_end_of_the_daemon_that_ends_orders_no_more_and_the_next_one_waits_for_that(self):
        """Guards against free orders given by both processes of a swap of versions."""
        with Live() as live:
            ration = live.front.engine.dispatcher.load_ration
            self.assertLessEqual(ration.predecessor_ended_at, live.front.started_at)
            self.assertFalse(ration.is_stopped)
            live.front.end()
            self.assertTrue(ration.is_stopped)
        with Live(replaces_running=True) as live:
            ration, now = live.front.engine.dispatcher.load_ration, time.monotonic_ns()
            self.assertLess(now, ration.predecessor_ended_at)
            self.assertLessEqual(ration.predecessor_ended_at, now + TAKEOVER_TIME)

    def test_the_decisions_keep_to_it(self):
        """Guards against load orders that a new process gives from the free ones of the process before."""
        calls = 9
        for now, most in ((SECOND, 1), (5 * SECOND, 1), (6 * SECOND, 6)):
            front = Dispatcher(1, deployment(load_window=WINDOW, load_free=6.0, load_ratio=0.2), SECOND)
            front.load_ration.assume_predecessor(SECOND)
            front.update_workers(SECOND, [listing("w")], True)
            given = 0
            for n in range(calls):                  # they earn 1.8 orders
                function = front.admit(now, str(n), Effect.REPEATABLE.value, f"f{n}", SECOND).function
                front.open_load_orders, front.load_limit = 0, 99.0      # only the ration limits orders then
                given += front.order_load(front.workers["w"], function, now)
            self.assertIn(given, (most, most + 1))


if __name__ == "__main__":
    unittest.main()
