"""The state that one front end replicates with its peers: the record, and the services that act on it.

This module takes no decisions.
"""
from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent

from threadshift.batches.cancels import Cancels
from threadshift.conf.peering import PeersConfig
from threadshift.consensus.state_machines import StateMachine
from threadshift.consensus.member import CommittedEntry
from threadshift.eviction.active_policy import ActivePolicyState
from threadshift.gateway.batch_service import BatchService, Front
from threadshift.gateway.eviction_service import EvictionService
from threadshift.gateway.rollout_service import RolloutService
from threadshift.interface import SECOND
from threadshift.peers.consensus_service import ConsensusService, NotHeard, now
from threadshift.rollout.plan import Rollouts

FORMS_CHECK_INTERVAL = 10 * SECOND   # between checks whether the record knows which entries this program reads
PROPOSE_TIMEOUT = 5 * SECOND
HANDOVER_BEATS = 2                   # heartbeats that a handover of the leadership is given


class ReplicatedServices:
    """The record, and the services for batches, eviction policies and rollouts that act on it."""

    def __init__(self, front: Front, peering: PeersConfig, version: str = "", disk: Any = None):
        """Raises what opening its files raises."""
        self.front, self.peering = front, peering
        self.forms_checked_at = 0
        self.cancels, self.policy_state, self.rollouts = Cancels(), ActivePolicyState(), Rollouts()
        machines: dict[str, StateMachine] = {
            "batches": self.cancels, "eviction": self.policy_state,
                                        "rollouts": self.rollouts}
        self.consensus = ConsensusService(peering, front.name, machines, self, front.chance, disk)
        self.eviction_service = EvictionService(front, self.consensus, self.policy_state)
        self.consensus.query_handlers["policies"] = self.eviction_service.local_policies
        front.deferred_calls.eviction_order = self.eviction_service.evictor.eviction_order
        self.rollout_service = RolloutService(front, peering, self.consensus, self.rollouts, self.eviction_service,
                                             version, front.api.call_recorder)
        self.consensus.query_handlers["report"] = self.rollout_service.report
        self.consensus.duties.append(self.rollout_service.duties)
        self.consensus.election_listeners.append(self.rollout_service.coordinator.on_became_leader)
        try:
            self.batch_service = BatchService(front, self.consensus, self.cancels, peering.folder, peering.undo, disk)
        except BaseException:
            self.consensus.stop()
            raise
        self.consensus.query_handlers["batch"] = self.batch_service.local_counts
        self.consensus.duties.append(self.cancels.due_entries)
        self.consensus.election_listeners.append(self.cancels.on_became_leader)

    def start(self) -> None:
        """Raises OSError, with nothing left open."""
        try:
            self.consensus.start()
        except OSError:
            self.stop()
            raise
        self.batch_service.start()
        self.front.api.batch_service, self.front.api.call_recorder = self.batch_service, self.rollout_service

    def tick(self, at: int) -> None:
        self.batch_service.tick(at)
        self.eviction_service.tick(at)
        if at - self.forms_checked_at >= FORMS_CHECK_INTERVAL and self.consensus.member.staleness(now()) is not None:
            self.forms_checked_at = at
            if (self.consensus.state_machines.announced_forms.get(self.front.name)
                    != self.consensus.state_machines.supported_forms):
                gevent.spawn(self.publish_forms)

    def publish_forms(self) -> None:
        """Records which forms of entries this program reads. A later form is used only once every voter reads it."""
        with suppress(NotHeard):
            self.consensus.announce_forms(PROPOSE_TIMEOUT)

    def on_committed(self, told: CommittedEntry, changed: bool) -> None:
        """Called when an entry of the record was applied, or a snapshot of all of them."""
        if told.state is not None:
            self.batch_service.on_cancels_changed(list(self.cancels.all.values()))
            self.eviction_service.on_policy_changed(self.policy_state.active)
            self.rollout_service.on_rollouts_changed()
        elif changed and str(told.entry.body.get("do")).startswith("rollout."):
            self.rollout_service.on_rollouts_changed()
        elif changed and str(told.entry.body.get("do")).startswith("evict."):
            self.eviction_service.on_policy_changed(self.policy_state.active)
            self.rollout_service.on_rollouts_changed()
        elif changed and str(told.entry.body.get("do")).startswith("rollout."):
            self.rollout_service.on_rollouts_changed()
        elif changed and str(told.entry.body.get("do")).startswith("batch."):
            body = told.entry.body
            cancel_id = body.get("cancel") or body["id"]
            self.batch_service.on_cancels_changed(
                [self.cancels.all[cancel_id]] if cancel_id in self.cancels.all else [])

    def handle(self, method: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Handles an operator's request. May take some seconds. Raises ThreadshiftError, ValueError, KeyError."""
        words = path.strip("/").split("/")[1:]
        if words == ["eviction"] and method == "GET":
            return self.eviction_service.show()
        if words == ["eviction"] and method == "POST":
            return self.eviction_service.set_policy(
                str(body["policy"]),
                {str(name): int(value) for name, value in body.get("parameters", {}).items()},
                str(body.get("why", ""))[:1000], bool(body.get("silent-too")))
        if words[:1] == ["rollouts"] and method == "GET":
            return self.rollout_service.show("".join(words[1:2]))
        if words == ["rollouts"] and method == "POST":
            return self.rollout_service.start(body, str(body.get("who", "an operator"))[:200])
        if words[:1] == ["rollouts"] and method == "POST" and words[-1] in ("pause", "resume", "abort"):
            return self.rollout_service.control(words[-1], "".join(words[1:-1]), str(body.get("why", ""))[:1000])
        raise ValueError(f"no {method} {path[:100]}")

    def note(self, event: str, **fields: Any) -> None:
        self.front.note(event, **fields)

    @property
    def handover_time(self) -> int:
        """The time, in ns, that a handover of the leadership may take."""
        return HANDOVER_BEATS * self.peering.timing.heartbeat_interval

    def leave(self) -> None:
        self.consensus.leave()

    def stop(self) -> None:
        self.batch_service.stop()
        self.consensus.stop()

    def status(self) -> dict[str, Any]:
        policy = self.policy_state.active
        return {"record": self.consensus.status(), "batches": self.batch_service.status(), "at": now(),
                "eviction": {"epoch": policy.epoch, "policy": policy.policy,
                             "own": self.eviction_service.evictor.active_policy.epoch,
                             "lacks": self.eviction_service.evictor.policy_mismatch,
                             "workers": self.eviction_service.epochs},
                "version": self.rollout_service.version}
