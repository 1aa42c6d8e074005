"""What a front end that starts has to assume of the process that ran before it. Free of I/O.

The limit on load orders within a window applies to a front end, not to a process. A front end that is restarted or
upgraded within the window, and did not count what its previous process ordered, would order all its free copies
twice.
"""
from __future__ import annotations

from threadshift.choice import Dispatcher
from threadshift.interface import Deployment

MAX_PREVIOUS_ORDERS = 100_000      # more than a process can give within a window


def count_free_orders_as_given(dispatcher: Dispatcher, deployment: Deployment, now: int) -> None:
    """Counts every free load order of the window as given just before the start. The share of admitted calls that
    brings further orders is not affected.

    This costs a deployment whose workers load by order alone: until the window has passed, only one call in
    1/load_ratio brings a copy. Where workers load on a miss themselves, the first calls load all the same.
    """
    if deployment.load_window:
        free_orders = int(max(0.0, min(deployment.load_free, MAX_PREVIOUS_ORDERS)))
        dispatcher.recent_load_orders.extend([now] * free_orders)
