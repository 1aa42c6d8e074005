"""What all commands share: reading of parameters, the error that ends one, the group they hang on."""
from __future__ import annotations

import json

import click

from threadshift.conf import installation, values
from threadshift.conf.installation import Installation
from threadshift.conf.reading import ConfigurationError
from threadshift.errors import ThreadshiftError


class Of(click.ParamType):
    """A parameter read by one of the configuration's own readers."""

    def __init__(self, name: str, read):
        self.name, self.read = name, read

    def convert(self, value, param, ctx):
        if not isinstance(value, str):
            return value
        try:
            return self.read(value)
        except ValueError as problem:
            self.fail(f"'{value}': {problem}", param, ctx)


ADDRESS, TIME = Of("address", values.address), Of("time", values.duration)


def ended(problem: ThreadshiftError) -> SystemExit:
    """What ends a command: what happened and where, and what can be done."""
    return SystemExit(f"threadshift: {problem}\n  {problem.help}")


def told(path: str) -> Installation:
    try:
        return installation.read(path)
    except ConfigurationError as problem:
        raise ended(problem) from None


@click.group()
@click.version_option(package_name="threadshift", message="%(version)s")
def main() -> None:
    """A gateway that runs calls of many small functions on workers which load them on demand."""


ADMIN = click.option("--to", type=ADDRESS, default="127.0.0.1:9090", help="The front end's admin address.")


def ordered(to, method: str, path: str, body: str = "", headers: dict | None = None) -> dict:
    """The answer of a front end's admin listener, or of its clients'."""
    from threadshift.invoke.client import Client, NoAnswer
    try:
        reply = Client(to).request(method, path, headers or {}, body.encode())
        told = json.loads(reply.body)
    except (NoAnswer, ValueError) as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    if reply.status != 200:
        raise SystemExit(f"threadshift: {told['detail']}")
    return told
