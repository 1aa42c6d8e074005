"""How much memory this process may use: the least of what the machine, its control group and its own limits allow."""
from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

CONTROL_GROUPS = Path("/sys/fs/cgroup")
OWN_GROUP = Path("/proc/self/cgroup")


def memory_limit() -> int:
    """The memory that this process and its siblings may use, in bytes."""
    machine = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    own = [resource.getrlimit(kind)[0] for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA)]
    return min([machine, *(limit for limit in own if limit != resource.RLIM_INFINITY), *group_limits()])


def group_limits() -> Iterator[int]:
    """The limits of this process's control group and of those around it (version 2, memory.max); none elsewhere."""
    with suppress(OSError):
        line = next((each for each in OWN_GROUP.read_text().splitlines() if each.startswith("0::")), "")
        group = CONTROL_GROUPS / line.removeprefix("0::").lstrip("/")
        for folder in (group, *group.parents):
            with suppress(OSError, ValueError):         # the root has none, and "max" is no limit
                yield int((folder / "memory.max").read_text())
