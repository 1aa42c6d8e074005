"""Orders of operators over HTTP, at a listener of its own that clients have no access to."""
from __future__ import annotations

import json
from typing import Any, Protocol

from threadshift.bgp.standing import OPERATOR_ORDERS
from threadshift.errors import ThreadshiftError
from threadshift.invoke import requests
from threadshift.invoke.http import Exchange
from threadshift.invoke.requests import Problem, Response


class AdministeredFrontEnd(Protocol):
    """The front end that carries out the orders."""

    service_announcer: Any
    replicated_services: Any

    def status(self) -> dict[str, Any]: ...
    def note(self, event: str, **fields: Any) -> None: ...


class Admin:
    """Handles GET /v1/status, POST /v1/bgp/ORDER with an address as the body (empty: all addresses), and requests on
    eviction policies and rollouts."""

    closing = False

    def __init__(self, front: AdministeredFrontEnd):
        self.front = front

    def handle(self, exchange: Exchange) -> None:
        try:
            exchange.respond(Response(200, [("Content-Type", "application/json")],
                                      json.dumps(self.answer(exchange)).encode()))
        except Problem as problem:
            exchange.respond(requests.problem_response(problem))

    def answer(self, exchange: Exchange) -> object:
        if exchange.path == "/v1/status" and exchange.method == "GET":
            return self.front.status()
        if exchange.path.split("/")[2:3] and exchange.path.split("/")[2] in ("eviction", "rollouts"):
            return self.replicated_request(exchange)
        order = exchange.path.removeprefix("/v1/bgp/")
        if order not in OPERATOR_ORDERS or exchange.method != "POST" or not exchange.path.startswith("/v1/bgp/"):
            raise Problem(404, "no-such-order", f"no {exchange.method} {exchange.path[:100]}; available are POST "
                                                f"/v1/bgp/ with one of {', '.join(OPERATOR_ORDERS)}, "
                                                "and GET /v1/status")
        if self.front.service_announcer is None:
            raise Problem(409, "no-bgp", "announcements are not configured: there is no 'bgp' block")
        prefix = exchange.body.decode(errors="replace").strip()
        try:
            addresses = self.front.service_announcer.apply_operator_order(order, prefix or None)
        except (ValueError, KeyError):
            raise Problem(400, "no-such-address", f"{prefix[:60]!r} is not announced here", "address") from None
        self.front.note("operator", order=f"bgp {order}", addresses=addresses)
        return {"order": order, "addresses": addresses}

    def replicated_request(self, exchange: Exchange) -> object:
        """Handles a request on replicated state: GET reads it, POST with JSON changes it."""
        if self.front.replicated_services is None:
            raise Problem(409, "no-peers", "this front end has no 'peers' block, or has not joined its peers yet")
        try:
            body = json.loads(exchange.body) if exchange.body else {}
            if not isinstance(body, dict):
                raise ValueError("the body must be a JSON object")
            return self.front.replicated_services.handle(exchange.method, exchange.path, body)
        except ThreadshiftError as error:
            raise Problem(409, type(error).__name__, f"{error}; {error.help}") from None
        except (ValueError, KeyError, TypeError) as error:
            raise Problem(400, "bad-request", repr(error)[:300]) from None

    def on_client_gone(self, exchange: Exchange) -> None:
        """Every request is answered at once, so there is nothing to cancel."""
