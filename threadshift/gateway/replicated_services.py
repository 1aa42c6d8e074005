"""What one front end holds in common with its peers: the record, and what follows from it here. Nothing here
decides."""
from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent

from threadshift.batches.cancels import Cancels
from threadshift.conf.peering import PeersConfig
from threadshift.consensus.book import Machine
from threadshift.consensus.member import Told
from threadshift.eviction.force import Forces
from threadshift.gateway.batch_service import BatchService, Front
from threadshift.gateway.eviction_service import EvictionService
from threadshift.gateway.rollout_service import RolloutService
from threadshift.interface import SECOND
from threadshift.peers.carrier import Carrier, NotHeard, now
from threadshift.rollout.plan import Rollouts

FORMS = 10 * SECOND        # between two looks whether the record knows what this program reads
ENTER = 5 * SECOND
LEAVE = 2                  # beats that a handing over of the right is given


class ReplicatedServices:
    """Made with the front end, started with its listeners, ended last."""

    def __init__(self, front: Front, told: PeersConfig, version: str = "", disk: Any = None):
        """Raises what opening its files raises."""
        self.front, self.told_peers = front, told
        self.told_forms = 0
        self.cancels, self.forces, self.rollouts = Cancels(), Forces(), Rollouts()
        machines: dict[str, Machine] = {"batches": self.cancels, "eviction": self.forces, "rollouts": self.rollouts}
        self.carrier = Carrier(told, front.name, machines, self, front.chance, disk)
        self.eviction_service = EvictionService(front, self.carrier, self.forces)
        self.carrier.answers["policies"] = self.eviction_service.policies
        front.deferred_calls.eviction_order = self.eviction_service.evictor.order
        self.rollout_service = RolloutService(front, told, self.carrier, self.rollouts, self.eviction_service,
                                             version, front.api.recent)
        self.carrier.answers["report"] = self.rollout_service.report
        self.carrier.duties.append(self.rollout_service.duties)
        self.carrier.began.append(self.rollout_service.conductor.new_holder)
        try:
            self.batch_service = BatchService(front, self.carrier, self.cancels, told.folder, told.undo, disk)
        except BaseException:
            self.carrier.stop()
            raise
        self.carrier.answers["batch"] = self.batch_service.counts
        self.carrier.duties.append(self.cancels.due)
        self.carrier.began.append(self.cancels.new_holder)

    def start(self) -> None:
        """Raises OSError; nothing is left open then."""
        try:
            self.carrier.start()
        except OSError:
            self.stop()
            raise
        self.batch_service.start()
        self.front.api.batch_service, self.front.api.recent = self.batch_service, self.rollout_service

    def tick(self, at: int) -> None:
        self.batch_service.tick(at)
        self.eviction_service.tick(at)
        if at - self.told_forms >= FORMS and self.carrier.member.age(now()) is not None:
            self.told_forms = at
            if self.carrier.book.reads.get(self.front.name) != self.carrier.book.forms:
                gevent.spawn(self.tell_forms)

    def tell_forms(self) -> None:
        """Which entries this program reads: a later form is written only once every voter reads it."""
        with suppress(NotHeard):
            self.carrier.tell_forms(ENTER)

    def told(self, told: Told, changed: bool) -> None:
        """An entry was applied, or all of them at once."""
        if told.state is not None:
            self.batch_service.told(list(self.cancels.all.values()))
            self.eviction_service.told(self.forces.now)
            self.rollout_service.told()
        elif changed and str(told.entry.body.get("do")).startswith("rollout."):
            self.rollout_service.told()
        elif changed and str(told.entry.body.get("do")).startswith("evict."):
            self.eviction_service.told(self.forces.now)
            self.rollout_service.told()
        elif changed and str(told.entry.body.get("do")).startswith("rollout."):
            self.rollout_service.told()
        elif changed and str(told.entry.body.get("do")).startswith("batch."):
            body = told.entry.body
            id_ = body.get("cancel") or body["id"]
            self.batch_service.told([self.cancels.all[id_]] if id_ in self.cancels.all else [])

    def order(self, method: str, path: str, told: dict[str, Any]) -> dict[str, Any]:
        """An operator's order. May take some seconds; raises errors.Problem, ValueError, KeyError."""
        words = path.strip("/").split("/")[1:]
        if words == ["eviction"] and method == "GET":
            return self.eviction_service.show()
        if words == ["eviction"] and method == "POST":
            return self.eviction_service.set(str(told["policy"]), {str(name): int(value) for name, value in
                                                           told.get("parameters", {}).items()},
                                     str(told.get("why", ""))[:1000], bool(told.get("silent-too")))
        if words[:1] == ["rollouts"] and method == "GET":
            return self.rollout_service.show("".join(words[1:2]))
        if words == ["rollouts"] and method == "POST":
            return self.rollout_service.start(told, str(told.get("who", "an operator"))[:200])
        if words[:1] == ["rollouts"] and method == "POST" and words[-1] in ("pause", "resume", "abort"):
            return self.rollout_service.move(words[-1], "".join(words[1:-1]), str(told.get("why", ""))[:1000])
        raise ValueError(f"no {method} {path[:100]}")

    def note(self, event: str, **fields: Any) -> None:
        self.front.note(event, **fields)

    @property
    def leaving(self) -> int:
        """ns that handing over may take."""
        return LEAVE * self.told_peers.timing.beat

    def leave(self) -> None:
        self.carrier.leave()

    def stop(self) -> None:
        self.batch_service.stop()
        self.carrier.stop()

    def status(self) -> dict[str, Any]:
        force = self.forces.now
        return {"record": self.carrier.status(), "batches": self.batch_service.status(), "at": now(),
                "eviction": {"epoch": force.epoch, "policy": force.policy,
                             "own": self.eviction_service.evictor.force.epoch,
                             "lacks": self.eviction_service.evictor.lacks, "workers": self.eviction_service.epochs},
                "version": self.rollout_service.version}
