"""What all commands share: parameter types, reporting of errors, requests to a front end, and the top-level group."""
from __future__ import annotations

import json
from importlib import import_module
from typing import TYPE_CHECKING

import click

from threadshift.conf import values
from threadshift.errors import ThreadshiftError

if TYPE_CHECKING:
    from threadshift.conf.gateway_config import GatewayConfig

# By command or group of commands, the module that defines it. Only the module of the command that is run is imported:
# a front end is a command too, and what it imports delays each of its starts.
COMMAND_MODULES = {
    "audit": "threadshift.cli.days",
    "bad-day": "threadshift.cli.days",
    "batch": "threadshift.cli.common",
    "bgp": "threadshift.cli.announce",
    "call": "threadshift.cli.serve",
    "check": "threadshift.cli.serve",
    "demo": "threadshift.cli.serve",
    "emulate": "threadshift.cli.days",
    "eviction": "threadshift.cli.common",
    "front-end": "threadshift.cli.front_end",
    "hunt": "threadshift.cli.trials",
    "node": "threadshift.cli.serve",
    "play": "threadshift.cli.days",
    "rollout": "threadshift.cli.common",
    "run": "threadshift.cli.serve",
    "standin": "threadshift.cli.standins",
    "status": "threadshift.cli.serve",
    "trial": "threadshift.cli.trials",
}


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
    from threadshift.conf import gateway_config
    from threadshift.conf.reading import ConfigurationError
    try:
        return gateway_config.read(path)
    except ConfigurationError as problem:
        raise exit_with(problem) from None


class LazyGroup(click.Group):
    """A group that imports the module of a command when it is asked for; the module adds the command to the group."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in COMMAND_MODULES:
            import_module(COMMAND_MODULES[cmd_name])
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup)
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
