"""The base class of all errors of this package: what happened, where, and what an operator can do about it.

Every error is a type of its own in its package. tests/test_errors.py compares `docs/operate/errors.md`, which has a
row for each type, with the code.
"""
from __future__ import annotations


class ThreadshiftError(Exception):
    """`str()` says what happened and where. `help` is one sentence of each type on what an operator can do."""

    help = "report it: this error has no advice of its own"

    def __init__(self, what: str = "", where: str = ""):
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where

    def as_fields(self) -> dict[str, str]:
        """What happened, where, and the advice, as fields of a log line or of an API's answer."""
        return {"problem": self.what, **({"where": self.where} if self.where else {}), "help": self.help}
