"""The command group bgp: shows announcements and sends operators' orders on them."""
from __future__ import annotations

import click

from threadshift.cli.base import ADMIN, main, request_json


@main.group()
def bgp() -> None:
    """Announcements of service addresses: their state, and operators' orders on them."""


@bgp.command("show")
@ADMIN
def bgp_show(to) -> None:
    """Shows addresses with their standing and its reason, and peers with their state."""
    found = request_json(to, "GET", "/v1/status")["announcements"]
    if found is None:
        raise SystemExit("threadshift: this front end announces nothing: its configuration has no 'bgp' block")
    for prefix, address in found["addresses"].items():
        order = f"  operator says {address['operator']}" if address["operator"] else ""
        others = f"  others {address['others']}" if address["others"] is not None else ""
        click.echo(f"{prefix:24}{address['standing']:10}{address['reason']:16}for {address['for-s']} s  "
                   f"changes {address['changes']}  flaps {address['flaps']}{others}{order}")
    for name, peer in found["peers"].items():
        up = f"up {peer['up-s']} s" if peer["up-s"] is not None else f"again in {peer['again-ms']} ms  {peer['last']}"
        click.echo(f"peer {name:19}{peer['state']:14}AS {peer['as']}  told {peer['told']}  heard {peer['heard']}  "
                   f"{up}")


def add_order_command(order: str, text: str) -> None:
    """Adds the sub-command that sends this order."""
    @bgp.command(order, help=text)
    @click.argument("prefix", required=False)
    @ADMIN
    def send_order(prefix: str | None, to) -> None:
        addresses = request_json(to, "POST", f"/v1/bgp/{order}", prefix or "")["addresses"]
        click.echo(f"{order}: {', '.join(addresses)}")


for each_order, each_text in (
        ("withdraw", "Withdraws PREFIX, or all, until another order."),
        ("announce", "Announces PREFIX, or all, at full preference whatever the service's state."),
        ("last-resort", "Announces PREFIX, or all, at the worst preference."),
        ("auto", "Takes an operator's order back: the service's state decides again.")):
    add_order_command(each_order, each_text)
