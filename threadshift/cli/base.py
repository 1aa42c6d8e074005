"""What all commands share: parameter types, reporting of errors, requests to a front end, and the top-level group."""
from __future__ import annotations

import json

import click

from threadshift.conf import gateway_config, values
from threadshift.conf.gateway_config import GatewayConfig
from threadshift.conf.reading import ConfigurationError
from threadshift.errors import ThreadshiftError


class ConfigValue(click.ParamType):
    """A parameter that is parsed as the same value in a configuration file."""

    def __init__(self, name: str, parse):
        self.name, self.parse = name, parse

    def convert(self, value, param, ctx):
        if not isinstance(value, str):
            return value
        try:
            return self.parse(value)
        except ValueError as problem:
            self.fail(f"'{value}': {problem}", param, ctx)


ADDRESS = ConfigValue("address", values.address)
TIME = ConfigValue("time", values.duration)


def exit_with(problem: ThreadshiftError) -> SystemExit:
    """The exit of a command after an error; prints what happened and where, and what can be done."""
    return SystemExit(f"threadshift: {problem}\n  {problem.help}")


def read_config(path: str) -> GatewayConfig:
    """Reads a configuration file; an error in it ends the command."""
    try:
        return gateway_config.read(path)
    except ConfigurationError as problem:
        raise exit_with(problem) from None


@click.group()
@click.version_option(package_name="threadshift", message="%(version)s")
def main() -> None:
    """A gateway that runs calls of many small functions on workers which load them on demand."""


ADMIN = click.option("--to", type=ADDRESS, default="127.0.0.1:9090", help="The front end's admin address.")


def request_json(to, method: str, path: str, body: str = "", headers: dict | None = None) -> dict:
    """The JSON answer of a front end's admin or client listener; any answer but 200 ends the command."""
    from threadshift.invoke.client import Client, NoAnswer
    try:
        reply = Client(to).request(method, path, headers or {}, body.encode())
        answer = json.loads(reply.body)
    except (NoAnswer, ValueError) as problem:
        raise SystemExit(f"threadshift: {to}: {problem}") from None
    if reply.status != 200:
        raise SystemExit(f"threadshift: {answer['detail']}")
    return answer
