"""A roster feed: full lists on hello, then changes; late, with gaps, flapping, empty or stale by order."""
from __future__ import annotations

from typing import Any

import gevent

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.links.codec import VERSION, Frame
from threadshift.standins.common import Peer, Record, Server

KEEPALIVE = 5              # s


class RosterFeed(Server):
    """Orders: worker NAME ADDRESS [FACT VALUE ...], state NAME STATE, drop NAME, list, empty, gap, late L SECONDS."""

    def __init__(self, address: Address, record: Record):
        super().__init__(address)
        self.record = record
        self.workers: dict[str, dict[str, Any]] = {}
        self.generation = 0

    def start(self) -> None:
        super().start()
        self.group.spawn(self.keep_alive)

    def keep_alive(self) -> None:
        while True:
            gevent.sleep(KEEPALIVE)
            for peer in self.peers:
                peer.send("ping")

    def execute_order(self, words: list[str]) -> None:
        order, rest = words[0], words[1:]
        if order == "worker":
            facts: dict[str, Any] = dict(zip(rest[2::2], rest[3::2], strict=True))
            for name, read in (("cell", int), ("started", int), ("size", float)):
                if name in facts:
                    facts[name] = read(facts[name])
            self.workers[rest[0]] = {"worker": rest[0], "address": str(values.address(rest[1])), "state": "ready",
                                     **facts}
            self.change(rest[0])
        elif order == "state":
            self.workers[rest[0]]["state"] = rest[1]
            self.change(rest[0])
        elif order == "drop":
            gone = {**self.workers.pop(rest[0]), "state": "gone"}
            self.tell("changes", [gone])
        elif order == "list":
            self.tell("list", list(self.workers.values()))
        elif order == "empty":
            self.tell("list", [])
        elif order == "gap":
            self.generation += 1
        else:
            self.faults.order(*words)

    def change(self, name: str) -> None:
        self.tell("changes", [dict(self.workers[name])])

    def tell(self, kind: str, workers: list[dict[str, Any]]) -> None:
        """To everybody connected, after the lateness in force; to those who come later as a full list."""
        self.generation += 1
        late = self.faults.amount("late")
        for peer in self.peers:
            if peer.name:
                self.later(late, self.say, peer, kind, self.generation, workers)

    def say(self, peer: Peer, kind: str, generation: int, workers: list[dict[str, Any]]) -> None:
        self.record.note("told", front=peer.name, full=kind == "list",
                         states={each["worker"]: each["state"] for each in workers})
        peer.send(kind, generation=generation, workers=workers)

    def hear(self, peer: Peer, frame: Frame) -> None:
        if frame["kind"] == "hello":
            peer.name = frame["name"] or "?"
            peer.send("hello", version=VERSION, name="roster")
            self.say(peer, "list", self.generation, [dict(each) for each in self.workers.values()])


