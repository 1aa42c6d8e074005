"""Operators' orders over HTTP, at a listener of their own: never where clients are."""
from __future__ import annotations

import json
from typing import Any, Protocol

from threadshift.errors import ThreadshiftError
from threadshift.gateway.service_announcer import OPERATOR_ORDERS
from threadshift.invoke import requests
from threadshift.invoke.http import Exchange
from threadshift.invoke.requests import Problem, Response


class Ordered(Protocol):
    """The front end that takes the orders."""

    service_announcer: Any
    replicated_services: Any

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
            exchange.respond(requests.problem_response(it))

    def answer(self, exchange: Exchange) -> object:
        if exchange.path == "/v1/status" and exchange.method == "GET":
            return self.front.status()
        if exchange.path.split("/")[2:3] and exchange.path.split("/")[2] in ("eviction", "rollouts"):
            return self.in_common(exchange)
        word = exchange.path.removeprefix("/v1/bgp/")
        if word not in OPERATOR_ORDERS or exchange.method != "POST" or not exchange.path.startswith("/v1/bgp/"):
            raise Problem(404, "no-such-order", f"no {exchange.method} {exchange.path[:100]}; there are POST "
                                                f"/v1/bgp/ with one of {', '.join(OPERATOR_ORDERS)}, "
                                                "and GET /v1/status")
        if self.front.service_announcer is None:
            raise Problem(409, "no-bgp", "this front end announces nothing: its configuration has no 'bgp' block")
        prefix = exchange.body.decode(errors="replace").strip()
        try:
            held = self.front.service_announcer.say(word, prefix or None)
        except (ValueError, KeyError):
            raise Problem(400, "no-such-address", f"{prefix[:60]!r} is not announced here", "address") from None
        self.front.note("operator", order=f"bgp {word}", addresses=held)
        return {"order": word, "addresses": held}

    def in_common(self, exchange: Exchange) -> object:
        """Orders that go to the record: GET to look, POST with JSON to change."""
        if self.front.replicated_services is None:
            raise Problem(409, "no-peers", "this front end holds nothing in common: no 'peers' block")
        try:
            told = json.loads(exchange.body) if exchange.body else {}
            if not isinstance(told, dict):
                raise ValueError("a JSON object is wanted")
            return self.front.replicated_services.order(exchange.method, exchange.path, told)
        except ThreadshiftError as it:
            raise Problem(409, type(it).__name__, f"{it}; {it.help}") from None
        except (ValueError, KeyError, TypeError) as it:
            raise Problem(400, "bad-request", repr(it)[:300]) from None

    def on_client_gone(self, exchange: Exchange) -> None:
        """Nothing here waits."""
