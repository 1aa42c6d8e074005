"""The command groups rollout, batch and eviction: operations that all front ends of an installation share."""
from __future__ import annotations

import json

import click

from threadshift.cli.base import ADDRESS, ADMIN, main, request_json

GATEWAY = click.option("--to", type=ADDRESS, default="127.0.0.1:8080", help="The gateway's address.")
TENANT = click.option("--tenant", default=None, help="The batch's tenant.")


def show(answer: dict) -> None:
    """Prints one line a field, nested ones indented."""
    for name, value in answer.items():
        if isinstance(value, dict):
            click.echo(f"{name}")
            for key, each in value.items():
                click.echo(f"  {key:24}{each}")
        else:
            click.echo(f"{name:18}{', '.join(map(str, value)) if isinstance(value, list) else value}")


def parse_parameters(parameters: tuple[str, ...]) -> dict[str, int]:
    """Reads the NAME=NUMBER parameters of a policy."""
    try:
        return {name: int(value) for name, value in (each.split("=") for each in parameters)}
    except ValueError as problem:
        raise SystemExit(f"threadshift: --parameter: {problem}") from None


@main.group()
def rollout() -> None:
    """Staged changes of settings, of the program, or of the eviction policy."""


@rollout.command("start")
@ADMIN
@click.option("--set", "settings", multiple=True, help="'BLOCK: DIRECTIVE WORDS', such as 'bounds: drain 20s'.")
@click.option("--tree", type=click.Path(), default=None,
              help="The folder of another version of the program, the same on each machine.")
@click.option("--policy", default=None, help="An eviction policy that is put in force at the end: NAME@VERSION.")
@click.option("--parameter", "parameters", multiple=True, help="A parameter of the policy: NAME=NUMBER.")
@click.option("--hold", type=float, default=60, help="Seconds for which each stage must hold before the next.")
@click.option("--stages", default="0,0.2,0.5,1", help="Shares of the front ends; 0 is one of them.")
@click.option("--who", default="an operator")
def rollout_start(to, settings, tree, policy, parameters, hold, stages, who) -> None:
    """Starts a rollout; only one may be under way."""
    changes = []
    for each in settings:
        block, colon, rest = each.partition(":")
        words = rest.split()
        if not colon or len(words) < 2:
            raise SystemExit(f"threadshift: --set '{each}': BLOCK: DIRECTIVE WORDS is wanted")
        changes.append([block.strip(), words[0], words[1:]])
    try:
        shares = [float(each) for each in stages.split(",")]
    except ValueError as problem:
        raise SystemExit(f"threadshift: --stages: {problem}") from None
    values = parse_parameters(parameters)
    order = {"settings": changes, "tree": tree, "hold-s": hold, "stages": shares, "who": who,
             "eviction": {"policy": policy, "parameters": values} if policy else None}
    show(request_json(to, "POST", "/v1/rollouts", json.dumps(order)))


@rollout.command("show")
@ADMIN
@click.argument("rollout_id", default="")
def rollout_show(to, rollout_id) -> None:
    """Shows the rollout under way, or the last one."""
    show(request_json(to, "GET", f"/v1/rollouts/{rollout_id}".rstrip("/")))


def add_rollout_command(order: str, text: str) -> None:
    """Adds the sub-command that sends this order."""
    @rollout.command(order, help=text)
    @ADMIN
    @click.option("--why", default="", help="The reason, recorded with the order.")
    def send_order(to, why) -> None:
        show(request_json(to, "POST", f"/v1/rollouts/{order}", json.dumps({"why": why})))


for each_order, each_text in (("pause", "Pauses the rollout at its present stage."),
                              ("resume", "Continues the rollout."),
                              ("abort", "Rolls the change back on all front ends.")):
    add_rollout_command(each_order, each_text)


@main.group()
def batch() -> None:
    """Batches of deferred calls: their state, cancel, restore."""


def request_batch(to, method: str, path: str, tenant: str | None) -> None:
    """Sends a request for one tenant and prints the answer."""
    show(request_json(to, method, path, headers={"Tenant": tenant}))


@batch.command("show")
@click.argument("name")
@GATEWAY
@TENANT
def batch_show(name, to, tenant) -> None:
    """Shows the state of batch NAME at all front ends."""
    request_batch(to, "GET", f"/v1/batches/{name}", tenant)


@batch.command("cancel")
@click.argument("name")
@GATEWAY
@TENANT
def batch_cancel(name, to, tenant) -> None:
    """Cancels batch NAME; prints the id by which it may be restored, and until when."""
    request_batch(to, "POST", f"/v1/batches/{name}/cancel", tenant)


@batch.command("restore")
@click.argument("cancel")
@GATEWAY
@TENANT
def batch_restore(cancel, to, tenant) -> None:
    """Restores exactly the calls that CANCEL stopped."""
    request_batch(to, "POST", f"/v1/cancels/{cancel}/restore", tenant)


@main.group()
def eviction() -> None:
    """The policy that decides on all nodes which copies are evicted first when memory is short."""


@eviction.command("show")
@ADMIN
def eviction_show(to) -> None:
    """Shows the policy in force, and the front ends that do not follow it yet."""
    show(request_json(to, "GET", "/v1/eviction"))


@eviction.command("set")
@click.argument("policy")
@ADMIN
@click.option("--parameter", "parameters", multiple=True, help="NAME=NUMBER")
@click.option("--why", default="")
@click.option("--silent-too", is_flag=True, help="Even if some front ends do not answer.")
def eviction_set(policy, to, parameters, why, silent_too) -> None:
    """Puts POLICY, NAME@VERSION, in force for all nodes."""
    order = {"policy": policy, "parameters": parse_parameters(parameters), "why": why, "silent-too": silent_too}
    show(request_json(to, "POST", "/v1/eviction", json.dumps(order)))
