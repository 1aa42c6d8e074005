"""What a front end that starts must take an earlier life of its own to have done. Free of I/O.

A window limit is promised of a front end, not of a process: one that is restarted or upgraded within the window and
knew nothing of before would order all its free copies twice. Found by a hunt, on a day with an upgrade.
"""
from __future__ import annotations

from threadshift.choice import Dispatcher
from threadshift.interface import Deployment


def count_free_orders_as_given(dispatcher: Dispatcher, told: Deployment, now: int) -> None:
    """Counts every free load order of the window as given just before the start; the share of calls taken stays.

    The price is paid by a fleet that loads by order alone: until the window has passed, one call in 1/ratio brings a
    copy. Where workers load on a miss themselves, the first calls load all the same."""
    if told.load_window:
        dispatcher.recent_load_orders.extend([now] * int(told.load_free))
