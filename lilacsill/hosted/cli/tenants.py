"""``python -m lilacsill tenants``. The docstrings of commands are their help."""

from __future__ import annotations

from typing import Any

import click

from .options import api, caller_of, limits_of, value_of

TENANT_COLUMNS = ("name", "state", "pool", "weight", "quota_per_s", "hosts", "revision")


@click.group()
def tenants() -> None:
    """Add, list, show, change and remove tenants."""


@tenants.command("list")
@click.option("--state", type=click.Choice(["active", "suspended", "removing"]))
@click.option("--pool")
@api
def list_tenants(state: str | None, pool: str | None, **options: Any) -> None:
    """All tenants by name."""
    caller = caller_of(options)
    caller.show(caller.pages("/v1/tenants", state=state, pool=pool), TENANT_COLUMNS)


@tenants.command()
@click.argument("name")
@api
def show(name: str, **options: Any) -> None:
    """One tenant, and its account of use."""
    caller = caller_of(options)
    found = caller.call("GET", f"/v1/tenants/{name}").json()
    found["last_hour"] = caller.call("GET", f"/v1/tenants/{name}/usage").json()["total"]
    caller.show(found)


@tenants.command(
    help=(
        "A new tenant.\n"
        "\n"
        "\b\n"
        "python -m lilacsill tenants add norvalle --pool saltillo --weight 3 --limit in_flight=200\n"
    )
)
@click.argument("name")
@click.option("--pool", required=True)
@click.option("--weight", type=float, default=1.0, show_default=True, help="its part where others want theirs too")
@click.option("--quota", "quota_per_s", type=float, default=0.0, help="requests a second within its share")
@click.option("--host", "hosts", multiple=True, help="a Host that is this tenant's alone; may be given again")
@click.option(
    "--limit",
    "limits",
    multiple=True,
    metavar="KEY=N",
    help="in_flight, connections, requests_per_s, new_connections_per_s, body_bytes",
)
@click.option("--dry-run", is_flag=True)
@api
def add(name: str, limits: tuple[str, ...], dry_run: bool, hosts: tuple[str, ...], **options: Any) -> None:
    """A new tenant."""
    caller = caller_of(options)
    body = {"name": name, "hosts": list(hosts), "limits": limits_of(limits), **options}
    caller.show(caller.call("POST", "/v1/tenants", body, dry_run="true" if dry_run else None).json())


@tenants.command(
    "set",
    help=(
        "Change keys of a tenant; values are JSON, or text. A change that somebody else made in between is refused.\n"
        "\n"
        "\b\n"
        "python -m lilacsill tenants set norvalle weight=5 limits.in_flight=400 state=suspended\n"
    ),
)
@click.argument("name")
@click.argument("changes", nargs=-1, required=True, metavar="KEY=VALUE...")
@click.option("--dry-run", is_flag=True)
@api
def set_tenant(name: str, changes: tuple[str, ...], dry_run: bool, **options: Any) -> None:
    """Change keys of a tenant; values are JSON, or text. A change that somebody else made in between is refused."""
    caller = caller_of(options)
    merge: dict[str, Any] = {}
    for change in changes:
        key, _, value = change.partition("=")
        target = merge
        *parents, leaf = key.split(".")
        for parent in parents:
            target = target.setdefault(parent, {})
        target[leaf] = value_of(value)
    caller.show(caller.change(f"/v1/tenants/{name}", merge, dry_run))


@tenants.command()
@click.argument("name")
@api
def suspend(name: str, **options: Any) -> None:
    """Refuse its requests from now on; `set NAME state=active` takes it back."""
    caller = caller_of(options)
    caller.show(caller.change(f"/v1/tenants/{name}", {"state": "suspended"}, False))


@tenants.command()
@click.argument("name")
@click.option("--yes", is_flag=True, help="do not ask")
@api
def remove(name: str, yes: bool, **options: Any) -> None:
    """Refuse its requests at once, let what is in hand end, then forget it and its credentials."""
    caller = caller_of(options)
    if not yes:
        click.confirm(f"Remove tenant {name} and its credentials?", abort=True)
    caller.show(caller.call("DELETE", f"/v1/tenants/{name}").json())


@tenants.command()
@click.argument("name")
@click.option("--drop-old", is_flag=True, help="remove its other client credentials once the new one is in force")
@api
def rotate(name: str, drop_old: bool, **options: Any) -> None:
    """A new client credential; the old ones stay good until they are removed."""
    caller = caller_of(options)
    previous = caller.pages("/v1/credentials", tenant=name, role="client")
    issued = caller.call("POST", "/v1/credentials", {"role": "client", "tenant": name}).json()
    caller.show(issued)
    if drop_old:
        for credential in previous:
            caller.call("DELETE", f"/v1/credentials/{credential['id']}")
