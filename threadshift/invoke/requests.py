"""The invoke API's requests and responses: parses HTTP requests into calls, renders final answers. Free of I/O.

docs/invoke-api.md describes the API. A request that cannot be parsed raises a `Problem` that names the field at fault
(RFC 9457). It was not accepted, so no final answer is owed for it.
"""
from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from threadshift.conf.gateway_config import FunctionClass, GatewayConfig
from threadshift.engine.engine import Answer, Call, FinalKind
from threadshift.errors import ThreadshiftError
from threadshift.interface import MS, SECOND, Effect, NamespaceType

FUNCTION_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")       # without the quotes that may surround it
CALLS_PATH = re.compile(r"/v1/functions/([^/?]+)/calls")
CALL_PATH = re.compile(r"/v1/calls/([A-Za-z0-9._:-]{1,128})")
NAME_PATTERN = r"([A-Za-z0-9][A-Za-z0-9._:-]{0,127})"
BATCH_PATH = re.compile(rf"/v1/batches/{NAME_PATTERN}")
BATCH_CANCEL_PATH = re.compile(rf"/v1/batches/{NAME_PATTERN}/cancel")
CANCEL_RESTORE_PATH = re.compile(rf"/v1/cancels/{NAME_PATTERN}/restore")
MAX_CACHED_NAMES = 10_000
MAX_TENANT_LENGTH = 256                   # characters
PROBLEM_TYPE_PREFIX = "urn:threadshift:problem:"     # a URN need not resolve to a page (RFC 9457, section 3.1.1)

Headers = list[tuple[str, str]]


@dataclass
class Problem(ThreadshiftError):
    """Why a request was not accepted."""

    help = "none: the answer tells the client what to change and when to retry"

    status: int
    kind: str
    detail: str
    where: str = ""             # the header or field at fault
    headers: Headers = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(self.detail, self.where)


@dataclass(slots=True)
class Response:
    """A response to a client."""

    status: int
    headers: Headers
    body: bytes = b""
    serialized: bytes = b""      # all of it as bytes, where it is the same for all clients


@dataclass(slots=True)
class Preference:
    """What the Prefer header asks for (RFC 7240)."""

    deferred: bool = False
    wait: int | None = None      # ns


def parse_preference(text: str) -> Preference:
    """Parses a Prefer header. Raises Problem."""
    found = Preference()
    for part in text.split(","):
        name, _, value = part.split(";")[0].partition("=")
        name, value = name.strip().lower(), value.strip().strip('"')
        if name == "respond-async":
            found.deferred = True
        elif name == "wait":
            if not re.fullmatch(r"\d{1,6}", value):
                raise Problem(400, "bad-request", "Prefer: wait must be a whole number of seconds", "Prefer")
            found.wait = int(value) * SECOND
    return found


def batch_name(headers: Mapping[str, str], preference: Preference) -> str:
    """The batch that a call belongs to; empty if none. Raises Problem."""
    name = headers.get("batch", "")
    if name and not re.fullmatch(NAME_PATTERN, name):
        raise Problem(400, "bad-request", "Batch must be a name of at most 128 letters, digits and . _ : -", "Batch")
    if name and not preference.deferred:
        raise Problem(400, "bad-request", "only deferred calls may belong to a batch; add Prefer: respond-async",
                      "Batch")
    return name


def parse_milliseconds(headers: Mapping[str, str], name: str) -> int | None:
    """A header that holds whole milliseconds, in ns; None if it is absent. Raises Problem."""
    text = headers.get(name.lower())
    if text is None:
        return None
    if not re.fullmatch(r"\d{1,9}", text):
        raise Problem(400, "bad-request", f"{name} must be a whole number of milliseconds, not {text[:40]!r}", name)
    return int(text) * MS


def parse_call(path: str, headers: Mapping[str, str], body: bytes, functions: FunctionTable) -> Call:
    """Parses a POST to a function into a call. Raises Problem."""
    match = CALLS_PATH.fullmatch(path)
    name = unquote(match[1]) if match else ""
    function_class, type_ = functions.find(name)
    tenants = functions.config.deployment.tenants
    left = parse_milliseconds(headers, "Time-Left")
    if left == 0:
        raise Problem(400, "bad-request", "Time-Left is 0", "Time-Left")
    mark = headers.get("idempotency-key", "").strip('"')
    if mark and not IDEMPOTENCY_KEY.fullmatch(mark):
        raise Problem(400, "bad-request", "Idempotency-Key must have 1 to 128 visible ASCII characters",
                      "Idempotency-Key")
    if type_.effect is Effect.DEDUPLICATED and not mark:
        raise Problem(400, "bad-request", f"calls of type {type_.name} require an Idempotency-Key", "Idempotency-Key")
    tenant = headers.get("tenant", "")
    if len(tenant) > MAX_TENANT_LENGTH:
        raise Problem(400, "bad-request", f"Tenant must have at most {MAX_TENANT_LENGTH} characters", "Tenant")
    if tenant and tenants and tenant not in (each.name for each in tenants):
        raise Problem(403, "no-such-tenant", f"tenant {tenant[:64]!r} is not configured", "Tenant")
    repetition = headers.get("repetition", "?0")
    if repetition not in ("?0", "?1"):
        raise Problem(400, "bad-request", "Repetition must be ?0 or ?1", "Repetition")
    return Call(type_.name, name, min(left or type_.action_timeout, type_.action_timeout), body, tenant, mark,
                parse_milliseconds(headers, "Work-Hint") or 0, function_class.lanes,
                function_class.load_time, repetition == "?1")


class FunctionTable:
    """Looks up functions in the configuration. Results are cached by name, as patterns are matched one by one."""

    def __init__(self, config: GatewayConfig):
        self.config = config
        self.cache: dict[str, tuple[FunctionClass, NamespaceType]] = {}

    def find(self, name: str) -> tuple[FunctionClass, NamespaceType]:
        """Raises Problem."""
        found = self.cache.get(name)
        if found is not None:
            return found
        if not FUNCTION_NAME.fullmatch(name):
            raise Problem(400, "bad-request", "a function name must have at most 128 letters, digits and . _ : @ -",
                          "name")
        found = self.config.function(name)
        if found is None:
            raise Problem(404, "no-such-function", f"no 'functions' block matches {name}", "name")
        if len(self.cache) >= MAX_CACHED_NAMES:
            self.cache.clear()
        self.cache[name] = found
        return found


def problem_response(problem: Problem) -> Response:
    fields = {"type": PROBLEM_TYPE_PREFIX + problem.kind, "title": problem.kind.replace("-", " "),
              "status": problem.status, "detail": problem.detail}
    if problem.where:
        fields["field"] = problem.where
    return Response(problem.status, [("Content-Type", "application/problem+json"), *problem.headers],
                    json.dumps(fields).encode())


def retry_headers(ns: int) -> Headers:
    """Retry-After in whole seconds (RFC 9110) and the exact Retry-After-Ms; no headers for 0 ns."""
    return [("Retry-After", str(math.ceil(ns / SECOND))), ("Retry-After-Ms", str(math.ceil(ns / MS)))] if ns else []


def final_response(answer: Answer, activation_id: str) -> Response:
    """A final answer as a response: 200; 410; 429 or 503; 504 or 502."""
    marks = [("Activation", activation_id), ("Final", answer.final.value)]
    if answer.final is FinalKind.COMPLETED:
        error = [("Function-Error", answer.error[:200])] if answer.error.isascii() and answer.error else []
        return Response(200, [("Content-Type", "application/octet-stream"), *marks, *error], answer.body)
    if answer.reason == "cancelled":
        status, detail = 410, "cancelled; the call may have run" if answer.may_have_run else (
            "cancelled; the call did not run")
    elif answer.final is FinalKind.REJECTED:
        status = 429 if answer.reason == "over-share" else 503
        detail = "rejected; the call was not completed, and retrying it is safe"
    else:
        status = 504 if answer.reason in ("time-up", "overdue", "last-send-timeout") else 502
        detail = "aborted; the call may have run" if answer.may_have_run else "aborted; the call did not run"
    body = {"type": PROBLEM_TYPE_PREFIX + answer.final.value, "title": answer.final.value, "status": status,
            "detail": detail, "reason": answer.reason, "activation": activation_id,
            "may-have-run": answer.may_have_run}
    return Response(status, [("Content-Type", "application/problem+json"), *marks,
                             *retry_headers(answer.retry_after)], json.dumps(body).encode())


def accepted_response(activation_id: str, base_url: str) -> Response:
    location = f"{base_url}/v1/calls/{activation_id}"
    return Response(202, [("Content-Type", "application/json"), ("Location", location),
                          ("Activation", activation_id), ("Preference-Applied", "respond-async")],
                    json.dumps({"activation": activation_id, "state": "pending"}).encode())


def pending_response(activation_id: str, more: dict[str, Any] | None = None) -> Response:
    return Response(202, [("Content-Type", "application/json"), ("Activation", activation_id)],
                    json.dumps({"activation": activation_id, "state": "pending", **(more or {})}).encode())
