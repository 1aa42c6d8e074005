"""Eviction at one front end: passes the active policy to its workers, tells them which others hold the same
functions, and enters complaints into the record.

This module takes no decisions.
"""
from __future__ import annotations

import time
from typing import Any, Protocol

import gevent

from threadshift.eviction.active_policy import ActivePolicy, ActivePolicyState, Lacking
from threadshift.eviction.node import HOLDERS_MAX_AGE, Evictor
from threadshift.eviction.policies import digest
from threadshift.interface import SECOND
from threadshift.links.codec import Frame
from threadshift.peers.consensus_service import ConsensusService, NotHeard

UPDATE_INTERVAL = SECOND             # between updates to each worker, where nothing else is sent
PROPOSE_TIMEOUT = 5 * SECOND         # for an entry of the record to be applied here
PEER_TIMEOUT = 700_000_000           # for peers to report the policies of their nodes
MAX_HOLDERS = 8                      # of one function, named to a worker; no function is kept by more on purpose


class FrontEndLinks(Protocol):
    """The front end, as far as its links to workers are used here."""

    links: dict[str, Any]
    name: str

    def note(self, event: str, **fields: Any) -> None: ...


class EvictionService:
    """Keeps the workers of one front end informed of the active eviction policy."""

    def __init__(self, front: FrontEndLinks, consensus: ConsensusService, policy_state: ActivePolicyState):
        self.front, self.consensus, self.policy_state = front, consensus, policy_state
        self.evictor = Evictor(front.name)
        self.worker_policies: dict[str, dict[str, str]] = {}    # by worker: its policies and their digests
        self.epochs: dict[str, int] = {}                        # by worker: the epoch that it applies
        self.copies: dict[str, tuple[int, list[str]]] = {}      # by worker: (when reported, what it holds)
        self.problems: dict[str, str] = {}                      # by worker: why it does not apply the active policy
        self.holders: dict[str, list[str]] = {}                 # by function: the workers that hold it
        self.complained: set[tuple[str, int]] = set()           # (node, epoch) whose complaint was entered
        self.updated_at = 0

    # Called by links.

    def extra_fields(self, worker: str) -> dict[str, Any]:
        """The fields that are added to a hello or a ping."""
        _, names = self.copies.get(worker, (0, []))
        holders = {name: [other for other in self.holders[name] if other != worker][:MAX_HOLDERS]
                   for name in names if len(self.holders.get(name, ())) > 1}
        return {"eviction": self.policy_state.active.as_message(), "holders": holders}

    def update_holders(self, now: int) -> None:
        """Computes from recent reports which workers hold which functions; once for all workers, as all are updated
        at the same time."""
        self.holders = {}
        for worker, (at, names) in sorted(self.copies.items()):
            if now - at <= HOLDERS_MAX_AGE:
                for name in names:
                    self.holders.setdefault(name, []).append(worker)

    def on_frame(self, worker: str, frame: Frame) -> None:
        """Handles a worker's hello or pong. Fields that do not have the right type are ignored."""
        if isinstance(policies := frame.get("policies"), dict):
            self.worker_policies[worker] = {str(name): str(value) for name, value in policies.items()}
        if isinstance(epoch := frame.get("epoch"), int):
            self.epochs[worker] = epoch
        if isinstance(copies := frame.get("copies"), list):
            self.copies[worker] = time.monotonic_ns(), [each for each in copies if isinstance(each, str)]
        if isinstance(lacks := frame.get("lacks"), str):
            if lacks and self.problems.get(worker) != lacks:
                self.front.note("policy-lacking", level="warning", worker=worker, problem=lacks[:200],
                                help=Lacking.help)
            self.problems[worker] = lacks
        if isinstance(what := frame.get("complaint"), str) and what:
            self.report_complaint(worker, what)

    def report_complaint(self, node: str, what: str) -> None:
        """Enters a node's complaint about the active policy into the record, once for each epoch."""
        epoch = self.policy_state.active.epoch
        if (node, epoch) in self.complained or self.epochs.get(node, epoch) != epoch:
            return
        self.complained.add((node, epoch))
        self.front.note("policy-complaint", level="warning", node=node, epoch=epoch, what=what[:200])
        self.propose({"do": "evict.complaint", "id": f"complaint-{node}-{epoch}", "node": node, "epoch": epoch,
                      "what": what[:200], "of": max(1, len(self.worker_policies) + len(self.consensus.links) + 1)})

    def propose(self, body: dict[str, Any]) -> None:
        def run() -> None:
            try:
                self.consensus.propose(body, PROPOSE_TIMEOUT)
            except NotHeard:
                self.complained.discard((body["node"], body["epoch"]))      # it is entered again with its next report
        gevent.spawn(run)

    # Called by the front end and the record.

    def on_policy_changed(self, policy: ActivePolicy) -> None:
        """Another policy became active: passes it to the workers at once."""
        if self.evictor.update_policy(policy.as_message()):
            self.front.note("policy-in-force", epoch=policy.epoch, policy=policy.policy, why=policy.why,
                            lacks=self.evictor.policy_mismatch)
            self.update_workers()

    def tick(self, now: int) -> None:
        if now - self.updated_at >= UPDATE_INTERVAL:
            self.updated_at = now
            self.update_holders(now)
            self.update_workers()
            for worker in [each for each in self.copies if each not in self.front.links]:
                for known in (self.worker_policies, self.epochs, self.copies, self.problems):
                    known.pop(worker, None)
            if self.evictor.complaint:
                self.report_complaint(self.front.name, self.evictor.complaint)

    def update_workers(self) -> None:
        for link in self.front.links.values():
            link.send_ping()

    # Operators and peers.

    def local_policies(self, peer: str = "", request: dict[str, Any] | None = None) -> dict[str, Any]:
        """Answers a peer: the policies and epochs of this front end and of its workers."""
        own = {each: digest(policy) for each, policy in self.evictor.policies.items()}
        return {"nodes": {self.front.name: own, **self.worker_policies},
                "epochs": {self.front.name: self.evictor.active_policy.epoch, **self.epochs}}

    def gather_policies(self) -> tuple[dict[str, dict[str, str]], dict[str, int], list[str]]:
        """Asks all front ends. Returns the policies of all nodes, the epochs that these apply, and the front ends
        that did not answer."""
        found = self.consensus.query_all("policies", {}, PEER_TIMEOUT)
        nodes: dict[str, dict[str, str]] = {}
        epochs: dict[str, int] = {}
        for each in found.values():
            nodes.update(each["nodes"] if each else {})
            for node, epoch in (each["epochs"] if each else {}).items():
                epochs[node] = max(epoch, epochs.get(node, 0))
        return nodes, epochs, sorted(name for name, each in found.items() if each is None)

    def set_policy(self, policy: str, parameters: dict[str, int], why: str,
                   silent_too: bool = False) -> dict[str, Any]:
        """Makes a policy the active one on all nodes. Raises Lacking, NotHeard."""
        body = self.checked_policy(policy, parameters, silent_too)
        self.consensus.propose({"do": "evict.set", "id": self.consensus.new_id("evict"), "why": why, **body},
                             PROPOSE_TIMEOUT)
        return self.show()

    def checked_policy(self, policy: str, parameters: dict[str, int], silent_too: bool = False) -> dict[str, Any]:
        """The fields of an entry that names a policy, after a check that every node has it. Raises Lacking."""
        found = self.evictor.policies.get(policy)
        if found is None:
            raise Lacking(f"no policy '{policy[:100]}'; available are {', '.join(sorted(self.evictor.policies))}")
        unknown = sorted(set(parameters) - set(found.parameters))
        if unknown:
            raise Lacking(f"{policy} has no parameter '{unknown[0]}'; it has {', '.join(found.parameters) or 'none'}")
        expected = digest(found)
        nodes, _, silent = self.gather_policies()
        lacking = sorted(node for node, digests in nodes.items() if digests.get(policy) != expected)
        if lacking or silent and not silent_too:
            raise Lacking(f"{policy} is missing or differs at {', '.join(lacking)}" if lacking else
                          f"did not answer, so may lack the policy: {', '.join(silent)}")
        return {"policy": policy, "digest": expected, "parameters": parameters}

    def show(self) -> dict[str, Any]:
        _, epochs, silent = self.gather_policies()
        active = self.policy_state.active
        return {**active.as_message(), "why": active.why,
                "behind": sorted(node for node, epoch in epochs.items() if epoch < active.epoch),
                "nodes": len(epochs), "complaints": self.policy_state.complaints, "not-heard": silent}
