"""The invoke API's words: HTTP requests as calls, final answers as responses. Free of I/O.

docs/invoke-api.md has the whole of it. A request that cannot be understood is a `Problem` that names its field
(RFC 9457); it was not taken, so no final answer is owed for it.
"""
from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from threadshift.conf.installation import FunctionClass, Installation
from threadshift.desk.desk import Answer, Call, Final
from threadshift.errors import Cause
from threadshift.interface import MS, SECOND, Effect, NamespaceType

FUNCTION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
MARK = re.compile(r"[\x21-\x7e]{1,128}")       # of an idempotency key, quoted or not
CALLS = re.compile(r"/v1/functions/([^/?]+)/calls")
DEFERRED = re.compile(r"/v1/calls/([A-Za-z0-9._:-]{1,128})")
NAMED = r"([A-Za-z0-9][A-Za-z0-9._:-]{0,127})"
BATCH = re.compile(rf"/v1/batches/{NAMED}")
BATCH_CANCEL = re.compile(rf"/v1/batches/{NAMED}/cancel")
CANCEL = re.compile(rf"/v1/cancels/{NAMED}/restore")
MOST_NAMES = 10_000        # functions whose look-up is remembered at once
PROBLEM_TYPES = "urn:threadshift:problem:"      # a URN needs no page behind it (RFC 9457, section 3.1.1)

Headers = list[tuple[str, str]]


@dataclass
class Problem(Cause):
    """Why a request was not taken."""

    help = "none: its client is told what to change, and when to come back"

    status: int
    kind: str
    detail: str
    where: str = ""             # the field that is wrong
    headers: Headers = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(self.detail, self.where)


@dataclass(slots=True)
class Response:
    status: int
    headers: Headers
    body: bytes = b""
    serialized: bytes = b""      # all of it as bytes, where it is the same for all clients


@dataclass(slots=True)
class Preference:
    """RFC 7240: what the Prefer header asks for."""

    deferred: bool = False
    wait: int | None = None      # ns


def prefer(text: str) -> Preference:
    found = Preference()
    for part in text.split(","):
        name, _, value = part.split(";")[0].partition("=")
        name, value = name.strip().lower(), value.strip().strip('"')
        if name == "respond-async":
            found.deferred = True
        elif name == "wait":
            if not re.fullmatch(r"\d{1,6}", value):
                raise Problem(400, "bad-request", "Prefer: wait takes whole seconds", "Prefer")
            found.wait = int(value) * SECOND
    return found


def batch_of(headers: Mapping[str, str], wish: Preference) -> str:
    """The batch that a call belongs to, empty: none. Raises Problem."""
    name = headers.get("batch", "")
    if name and not re.fullmatch(NAMED, name):
        raise Problem(400, "bad-request", "Batch takes a name of letters, digits and . _ : -, 128 at most", "Batch")
    if name and not wish.deferred:
        raise Problem(400, "bad-request", "only deferred calls belong to a batch: Prefer: respond-async", "Batch")
    return name


def whole_ms(headers: Mapping[str, str], name: str) -> int | None:
    """A header of whole milliseconds, as ns; None where it is absent."""
    text = headers.get(name.lower())
    if text is None:
        return None
    if not re.fullmatch(r"\d{1,9}", text):
        raise Problem(400, "bad-request", f"{name} takes whole milliseconds, found {text[:40]!r}", name)
    return int(text) * MS


def call_of(path: str, headers: Mapping[str, str], body: bytes, functions: Functions) -> Call:
    """A POST to a function as the call it asks for. Raises Problem."""
    match = CALLS.fullmatch(path)
    name = unquote(match[1]) if match else ""
    known, type_ = functions.find(name)
    tenants = functions.told.deployment.tenants
    left = whole_ms(headers, "Time-Left")
    if left == 0:
        raise Problem(400, "bad-request", "Time-Left is used up", "Time-Left")
    mark = headers.get("idempotency-key", "").strip('"')
    if mark and not MARK.fullmatch(mark):
        raise Problem(400, "bad-request", "Idempotency-Key takes 1 to 128 visible characters", "Idempotency-Key")
    if type_.effect is Effect.DEDUPLICATED and not mark:
        raise Problem(400, "bad-request", f"calls of type {type_.name} need one", "Idempotency-Key")
    tenant = headers.get("tenant", "")
    if tenant and tenants and tenant not in (each.name for each in tenants):
        raise Problem(403, "no-such-tenant", f"no tenant {tenant[:64]!r} here", "Tenant")
    again = headers.get("repetition", "?0")
    if again not in ("?0", "?1"):
        raise Problem(400, "bad-request", "Repetition takes ?0 or ?1", "Repetition")
    return Call(type_.name, name, min(left or type_.action_timeout, type_.action_timeout), body, tenant, mark,
                whole_ms(headers, "Work-Hint") or 0, known.lanes, known.load_time, again == "?1")


class Functions:
    """What the configuration says of each function, remembered by name: patterns are matched one by one."""

    def __init__(self, told: Installation):
        self.told = told
        self.known: dict[str, tuple[FunctionClass, NamespaceType]] = {}

    def find(self, name: str) -> tuple[FunctionClass, NamespaceType]:
        """Raises Problem."""
        found = self.known.get(name)
        if found is not None:
            return found
        if not FUNCTION.fullmatch(name):
            raise Problem(400, "bad-request", "a function's name has letters, digits and . _ : @ -, 128 at most",
                          "name")
        found = self.told.function(name)
        if found is None:
            raise Problem(404, "no-such-function", f"no 'functions' block matches {name}", "name")
        if len(self.known) >= MOST_NAMES:
            self.known.clear()
        self.known[name] = found
        return found


def problem(it: Problem) -> Response:
    fields = {"type": PROBLEM_TYPES + it.kind, "title": it.kind.replace("-", " "), "status": it.status,
              "detail": it.detail}
    if it.where:
        fields["field"] = it.where
    return Response(it.status, [("Content-Type", "application/problem+json"), *it.headers],
                    json.dumps(fields).encode())


def retry_after(ns: int) -> Headers:
    """Whole seconds for everybody (RFC 9110), the exact time beside it for those who know threadshift."""
    return [("Retry-After", str(math.ceil(ns / SECOND))), ("Retry-After-Ms", str(math.ceil(ns / MS)))] if ns else []


def final(answer: Answer, ivk: str) -> Response:
    """A final answer as a response: 200; 429 or 503; 504 or 502."""
    marks = [("Activation", ivk), ("Final", answer.final.value)]
    if answer.final is Final.COMPLETED:
        error = [("Function-Error", answer.error[:200])] if answer.error.isascii() and answer.error else []
        return Response(200, [("Content-Type", "application/octet-stream"), *marks, *error], answer.body)
    if answer.reason == "cancelled":
        status, detail = 410, "cancelled; it did not run"
    elif answer.final is Final.REJECTED:
        status = 429 if answer.reason == "over-share" else 503
        detail = "not done; trying again is harmless"
    else:
        status = 504 if answer.reason in ("time-up", "overdue", "last-send-timeout") else 502
        detail = "given up; it may have run" if answer.may_have_run else "given up; it did not run"
    body = {"type": PROBLEM_TYPES + answer.final.value, "title": answer.final.value, "status": status,
            "detail": detail, "reason": answer.reason, "activation": ivk, "may-have-run": answer.may_have_run}
    return Response(status, [("Content-Type", "application/problem+json"), *marks,
                             *retry_after(answer.come_back)], json.dumps(body).encode())


def accepted(ivk: str, base: str) -> Response:
    where = f"{base}/v1/calls/{ivk}"
    return Response(202, [("Content-Type", "application/json"), ("Location", where), ("Activation", ivk),
                          ("Preference-Applied", "respond-async")],
                    json.dumps({"activation": ivk, "state": "pending"}).encode())


def pending(ivk: str, more: dict[str, Any] | None = None) -> Response:
    return Response(202, [("Content-Type", "application/json"), ("Activation", ivk)],
                    json.dumps({"activation": ivk, "state": "pending", **(more or {})}).encode())
