"""What an eviction policy is told of one item that takes memory."""
from __future__ import annotations

from typing import NamedTuple


class Facts(NamedTuple):
    """What is known of one item that takes memory: a copy at a worker, or a stored answer at a front end."""

    name: str
    size: int                    # bytes
    load: int = 0                # ns that loading it again takes
    idle: int = 0                # ns since its last use
    kept: int = 0                # ns since it was loaded
    uses: int = 0                # since it was loaded
    recent: int = 0              # uses in the last minute
    pinned: bool = False         # must not be evicted
    busy: bool = False           # in use at this moment
    tenant: str = ""
    version: str = ""
    elsewhere: int = -1          # copies of it at other nodes, by recent reports; -1: unknown
    number: int = 0              # distinguishes several items of one name at a node
