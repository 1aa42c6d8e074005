"""Eviction, as one front end carries it: the policy in force to its workers, what they hold to each other,
complaints to
the record. Nothing here decides."""
from __future__ import annotations

import time
from typing import Any, Protocol

import gevent

from threadshift.eviction.force import Force, Forces, Lacking
from threadshift.eviction.node import FRESH, Evictor
from threadshift.eviction.policies import digest
from threadshift.interface import SECOND
from threadshift.links.codec import Frame
from threadshift.peers.consensus_service import ConsensusService, NotHeard

EACH = SECOND              # between two words to each worker, where nothing else is said
ENTER = 5 * SECOND         # until an entry must have been told back
TELL = 700_000_000         # ns within which peers tell what they and their workers have
MOST_HOLDERS = 8           # of one function, told to a worker: more than any keeps on purpose


class Links(Protocol):
    """The front end's workers."""

    links: dict[str, Any]
    name: str

    def note(self, event: str, **fields: Any) -> None: ...


class EvictionService:
    def __init__(self, front: Links, consensus: ConsensusService, forces: Forces):
        self.front, self.consensus, self.forces = front, consensus, forces
        self.evictor = Evictor(front.name)
        self.has: dict[str, dict[str, str]] = {}         # worker: its policies, with their digests
        self.epochs: dict[str, int] = {}                 # worker: the epoch that it goes by
        self.copies: dict[str, tuple[int, list[str]]] = {}      # worker: (when told, what it holds)
        self.lacks: dict[str, str] = {}                  # worker: why it does not go by the policy in force
        self.where: dict[str, list[str]] = {}            # function: who holds it
        self.complained: set[tuple[str, int]] = set()
        self.spoke = 0

    # Links ask and tell.

    def more(self, worker: str) -> dict[str, Any]:
        """What goes out with a hello or a ping."""
        _, names = self.copies.get(worker, (0, []))
        holders = {name: [other for other in self.where[name] if other != worker][:MOST_HOLDERS]
                   for name in names if len(self.where.get(name, ())) > 1}
        return {"eviction": self.forces.now.told(), "holders": holders}

    def look(self, now: int) -> None:
        """Who holds what, by what was told lately; once for all workers, as they are told together."""
        self.where = {}
        for worker, (at, names) in sorted(self.copies.items()):
            if now - at <= FRESH:
                for name in names:
                    self.where.setdefault(name, []).append(worker)

    def heard(self, worker: str, frame: Frame) -> None:
        """A worker's hello or pong. What is not of the right type counts as not told."""
        if isinstance(policies := frame.get("policies"), dict):
            self.has[worker] = {str(name): str(text) for name, text in policies.items()}
        if isinstance(epoch := frame.get("epoch"), int):
            self.epochs[worker] = epoch
        if isinstance(copies := frame.get("copies"), list):
            self.copies[worker] = time.monotonic_ns(), [each for each in copies if isinstance(each, str)]
        if isinstance(lacks := frame.get("lacks"), str):
            if lacks and self.lacks.get(worker) != lacks:
                self.front.note("policy-lacking", level="warning", worker=worker, problem=lacks[:200],
                                help=Lacking.help)
            self.lacks[worker] = lacks
        if isinstance(what := frame.get("complaint"), str) and what:
            self.complain(worker, what)

    def complain(self, node: str, what: str) -> None:
        epoch = self.forces.now.epoch
        if (node, epoch) in self.complained or self.epochs.get(node, epoch) != epoch:
            return
        self.complained.add((node, epoch))
        self.front.note("policy-complaint", level="warning", node=node, epoch=epoch, what=what[:200])
        self.enter({"do": "evict.complaint", "id": f"complaint-{node}-{epoch}", "node": node, "epoch": epoch,
                    "what": what[:200], "of": max(1, len(self.has) + len(self.consensus.links) + 1)})

    def enter(self, body: dict[str, Any]) -> None:
        def run() -> None:
            try:
                self.consensus.propose(body, ENTER)
            except NotHeard:
                self.complained.discard((body["node"], body["epoch"]))      # again, with its next word
        gevent.spawn(run)

    # The front end's own.

    def told(self, force: Force) -> None:
        """The record put a policy in force: workers hear of it at once."""
        if self.evictor.hear(force.told()):
            self.front.note("policy-in-force", epoch=force.epoch, policy=force.policy, why=force.why,
                            lacks=self.evictor.lacks)
            self.speak()

    def tick(self, now: int) -> None:
        if now - self.spoke >= EACH:
            self.spoke = now
            self.look(now)
            self.speak()
            for worker in [each for each in self.copies if each not in self.front.links]:
                for known in (self.has, self.epochs, self.copies, self.lacks):
                    known.pop(worker, None)
            if self.evictor.complaint:
                self.complain(self.front.name, self.evictor.complaint)

    def speak(self) -> None:
        for link in self.front.links.values():
            link.tell()

    # Operators and peers.

    def policies(self, name: str = "", say: dict[str, Any] | None = None) -> dict[str, Any]:
        """A peer's question: what stands here and at the workers heard here."""
        own = {each: digest(policy) for each, policy in self.evictor.policies.items()}
        return {"nodes": {self.front.name: own, **self.has},
                "epochs": {self.front.name: self.evictor.force.epoch, **self.epochs}}

    def everywhere(self) -> tuple[dict[str, dict[str, str]], dict[str, int], list[str]]:
        """All nodes heard with their policies, the epochs they go by, and front ends that were not heard."""
        found = self.consensus.query_all("policies", {}, TELL)
        nodes: dict[str, dict[str, str]] = {}
        epochs: dict[str, int] = {}
        for each in found.values():
            nodes.update(each["nodes"] if each else {})
            for node, epoch in (each["epochs"] if each else {}).items():
                epochs[node] = max(epoch, epochs.get(node, 0))
        return nodes, epochs, sorted(name for name, each in found.items() if each is None)

    def set(self, policy: str, parameters: dict[str, int], why: str, silent_too: bool = False) -> dict[str, Any]:
        """Puts a policy in force for all. Raises Lacking, NotHeard."""
        body = self.checked(policy, parameters, silent_too)
        self.consensus.propose({"do": "evict.set", "id": self.consensus.new_id("evict"), "why": why, **body}, ENTER)
        return self.show()

    def checked(self, policy: str, parameters: dict[str, int], silent_too: bool = False) -> dict[str, Any]:
        """A policy as an entry names it, where every node heard has it. Raises Lacking."""
        it = self.evictor.policies.get(policy)
        if it is None:
            raise Lacking(f"no policy '{policy[:100]}'; there are {', '.join(sorted(self.evictor.policies))}")
        wrong = sorted(set(parameters) - set(it.parameters))
        if wrong:
            raise Lacking(f"{policy} takes no '{wrong[0]}'; it takes {', '.join(it.parameters) or 'none'}")
        text = digest(it)
        nodes, _, silent = self.everywhere()
        lacking = sorted(node for node, has in nodes.items() if has.get(policy) != text)
        if lacking or silent and not silent_too:
            raise Lacking(f"{policy} is not, or is another text, at {', '.join(lacking)}" if lacking else
                          f"not heard, so not known to have it: {', '.join(silent)}")
        return {"policy": policy, "digest": text, "parameters": parameters}

    def show(self) -> dict[str, Any]:
        _, epochs, silent = self.everywhere()
        it = self.forces.now
        return {**it.told(), "why": it.why, "behind": sorted(n for n, epoch in epochs.items() if epoch < it.epoch),
                "nodes": len(epochs), "complaints": self.forces.complaints, "not-heard": silent}
