"""A roster feed: sends the full list on hello, then changes; late, with gaps, flapping, empty or stale on order."""
from __future__ import annotations

from typing import Any

import gevent

from threadshift.conf import values
from threadshift.conf.values import Address
from threadshift.links.codec import VERSION, Frame
from threadshift.standins.common import Peer, Record, Server

KEEPALIVE_INTERVAL = 5     # s


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
            gevent.sleep(KEEPALIVE_INTERVAL)
            for peer in self.peers:
                peer.send("ping")

    def execute_order(self, words: list[str]) -> None:
        order, rest = words[0], words[1:]
        if order == "worker":
            facts: dict[str, Any] = dict(zip(rest[2::2], rest[3::2], strict=True))
            for name, convert in (("cell", int), ("started", int), ("size", float)):
                if name in facts:
                    facts[name] = convert(facts[name])
            self.workers[rest[0]] = {"worker": rest[0], "address": str(values.address(rest[1])), "state": "ready",
                                     **facts}
            self.publish_worker(rest[0])
        elif order == "state":
            self.workers[rest[0]]["state"] = rest[1]
            self.publish_worker(rest[0])
        elif order == "drop":
            gone = {**self.workers.pop(rest[0]), "state": "gone"}
            self.publish("changes", [gone])
        elif order == "list":
            self.publish("list", list(self.workers.values()))
        elif order == "empty":
            self.publish("list", [])
        elif order == "gap":
            self.generation += 1
        else:
            self.faults.order(*words)

    def publish_worker(self, name: str) -> None:
        self.publish("changes", [dict(self.workers[name])])

    def publish(self, kind: str, workers: list[dict[str, Any]]) -> None:
        """Sends a list or changes to every connected peer, after the delay of `late` if that fault is active.

        Peers that connect afterwards receive the full list instead."""
        self.generation += 1
        delay = self.faults.amount("late")
        for peer in self.peers:
            if peer.name:
                self.call_later(delay, self.send_list, peer, kind, self.generation, workers)

    def send_list(self, peer: Peer, kind: str, generation: int, workers: list[dict[str, Any]]) -> None:
        self.record.note("told", front=peer.name, full=kind == "list",
                         states={each["worker"]: each["state"] for each in workers})
        peer.send(kind, generation=generation, workers=workers)

    def handle_frame(self, peer: Peer, frame: Frame) -> None:
        if frame["kind"] == "hello":
            peer.name = frame["name"] or "?"
            peer.send("hello", version=VERSION, name="roster")
            self.send_list(peer, "list", self.generation, [dict(each) for each in self.workers.values()])
