"""Operators' orders over HTTP, at a listener of their own: never where clients are."""
from __future__ import annotations

import json
from typing import Any, Protocol

from threadshift.gateway.hall import WORDS
from threadshift.invoke import requests
from threadshift.invoke.http import Exchange
from threadshift.invoke.requests import Problem, Response


class Ordered(Protocol):
    """The front end that takes the orders."""

    hall: Any

    def status(self) -> dict[str, Any]: ...
    def note(self, event: str, **fields: Any) -> None: ...


class Admin:
    """GET /v1/status; POST /v1/bgp/WORD with an address, or nothing for all, as the body."""

    closing = False

    def __init__(self, front: Ordered):
        self.front = front

    def handle(self, exchange: Exchange) -> None:
        try:
            exchange.respond(Response(200, [("Content-Type", "application/json")],
                                      json.dumps(self.answer(exchange)).encode()))
        except Problem as it:
            exchange.respond(requests.problem(it))

    def answer(self, exchange: Exchange) -> object:
        if exchange.path == "/v1/status" and exchange.method == "GET":
            return self.front.status()
        word = exchange.path.removeprefix("/v1/bgp/")
        if word not in WORDS or exchange.method != "POST" or not exchange.path.startswith("/v1/bgp/"):
            raise Problem(404, "no-such-order", f"no {exchange.method} {exchange.path[:100]}; there are POST "
                                                f"/v1/bgp/ with one of {', '.join(WORDS)}, and GET /v1/status")
        if self.front.hall is None:
            raise Problem(409, "no-bgp", "this front end announces nothing: its configuration has no 'bgp' block")
        prefix = exchange.body.decode(errors="replace").strip()
        try:
            held = self.front.hall.say(word, prefix or None)
        except (ValueError, KeyError):
            raise Problem(400, "no-such-address", f"{prefix[:60]!r} is not announced here", "address") from None
        self.front.note("operator", order=f"bgp {word}", addresses=held)
        return {"order": word, "addresses": held}

    def gone(self, exchange: Exchange) -> None:
        """Nothing here waits."""
