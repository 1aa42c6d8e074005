"""The eviction policy that is active on all nodes: a replicated state machine, changed only by entries of the log.
Free of I/O.

The epoch of a policy is the log position of the entry that activated it; of two policies a node uses the one with the
later epoch. A policy that misbehaves on several nodes is deactivated by their complaints. One node alone deactivates
nothing: where the policy works on all other nodes, it is that node that is at fault."""
from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from threadshift.errors import ThreadshiftError
from threadshift.eviction.policies import BUILT_IN, digest, label

# A policy is deactivated once MIN_COMPLAINTS nodes complain, and at least one in NODES_PER_COMPLAINT of all nodes.
MIN_COMPLAINTS = 2
NODES_PER_COMPLAINT = 4


class Lacking(ThreadshiftError):
    """Some nodes do not have the policy that was to be activated. The class name is sent to operators."""

    help = "install the policy's package on the nodes named, in the same version, and try again"


@dataclass(slots=True)
class ActivePolicy:
    """One activated policy. The fields are stored under their own names."""

    epoch: int = 0
    policy: str = label(BUILT_IN)
    digest: str = digest(BUILT_IN)
    parameters: dict[str, int] = field(default_factory=dict)
    why: str = "built in"

    def as_message(self) -> dict[str, Any]:
        """Returns the fields that are sent to nodes."""
        return {"epoch": self.epoch, "policy": self.policy, "digest": self.digest, "parameters": self.parameters}


class ActivePolicyState:
    """The replicated state machine: the active policy and the complaints about it."""

    entry_forms = {"evict.set": 1, "evict.complaint": 1}

    def __init__(self) -> None:
        self.active = ActivePolicy()
        self.complaints: dict[str, str] = {}         # node: its complaint in this epoch

    def apply(self, place: int, body: dict[str, Any]) -> ActivePolicy:
        """Applies an entry. Returns the policy that is active after it."""
        if body["do"] == "evict.set":
            self.complaints = {}
            self.active = ActivePolicy(place, body["policy"], body["digest"], dict(body["parameters"]),
                                       body.get("why", ""))
            return self.active
        if body["epoch"] != self.active.epoch or self.active.policy == label(BUILT_IN):
            return self.active          # the complaint is about an earlier epoch, or about the built-in policy
        self.complaints[body["node"]] = body["what"]
        if len(self.complaints) >= max(MIN_COMPLAINTS, -(-body["of"] // NODES_PER_COMPLAINT)):
            complaints = "; ".join(f"{node}: {what}" for node, what in sorted(self.complaints.items()))
            self.complaints = {}
            # This text is replicated state: it has to be the same in every version of the program.
            self.active = ActivePolicy(place, why=f"{self.active.policy} taken out of force: {complaints[:500]}")
        return self.active

    def dump(self) -> dict[str, Any]:
        return {"now": {**self.active.as_message(), "why": self.active.why}, "complaints": self.complaints}

    def load(self, state: dict[str, Any]) -> None:
        self.active = ActivePolicy(**state["now"]) if state else ActivePolicy()
        self.complaints = dict(state.get("complaints", {}))
