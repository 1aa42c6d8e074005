"""Which policy is in force for all, as the record has it. Free of I/O; fed by entries alone.

Its epoch is the place of the entry that put it in force; a node told of two takes the later. A policy that
misbehaves on several nodes is taken out of force by their complaints: one sick node alone takes out nothing, for a
node whose policy fails where it holds everywhere else is the one that fails."""
from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.eviction.policies import BUILT_IN, digest, label

FEWEST = 2                 # nodes that must complain, and ...
PART = 4                   # ... one of so many of those that there are


class Lacking(ThreadshiftError):
    """Nodes that lack a policy that should come into force."""

    help = "install the policy's package on the nodes named, in the same version, and try again"


@dataclass(slots=True)
class Force:
    """One policy in force."""

    epoch: int = 0
    policy: str = label(BUILT_IN)
    digest: str = digest(BUILT_IN)
    parameters: dict[str, int] = field(default_factory=dict)
    why: str = "built in"

    def told(self) -> dict[str, Any]:
        """As it crosses the wire."""
        return {"epoch": self.epoch, "policy": self.policy, "digest": self.digest, "parameters": self.parameters}


class Forces:
    """The machine."""

    entry_forms = {"evict.set": 1, "evict.complaint": 1}

    def __init__(self) -> None:
        self.now = Force()
        self.complaints: dict[str, str] = {}         # node: what it complains of, in this epoch

    def apply(self, place: int, body: dict[str, Any]) -> Force:
        if body["do"] == "evict.set":
            self.complaints = {}
            self.now = Force(place, body["policy"], body["digest"], dict(body["parameters"]), body.get("why", ""))
            return self.now
        if body["epoch"] != self.now.epoch or self.now.policy == label(BUILT_IN):
            return self.now                 # about one that is not in force any more, or that nothing replaces
        self.complaints[body["node"]] = body["what"]
        if len(self.complaints) >= max(FEWEST, -(-body["of"] // PART)):
            told = "; ".join(f"{node}: {what}" for node, what in sorted(self.complaints.items()))
            self.complaints = {}
            self.now = Force(place, why=f"{self.now.policy} taken out of force: {told[:500]}")
        return self.now

    def dump(self) -> dict[str, Any]:
        return {"now": {**self.now.told(), "why": self.now.why}, "complaints": self.complaints}

    def load(self, state: dict[str, Any]) -> None:
        self.now = Force(**state["now"]) if state else Force()
        self.complaints = dict(state.get("complaints", {}))
