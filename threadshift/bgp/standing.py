"""How preferable a service address is announced, and the orders by which an operator fixes that."""
from __future__ import annotations

from enum import IntEnum


class Standing(IntEnum):
    """The preference at which an address is announced; a greater value is a worse one."""

    FULL = 0
    LESSER = 1
    POOR = 2
    LAST = 3                 # last resort: used only if no other front end is left
    WITHDRAWN = 4


# None: the front end decides by itself again.
OPERATOR_ORDERS = {
    "announce": Standing.FULL, "last-resort": Standing.LAST, "withdraw": Standing.WITHDRAWN, "auto": None}
