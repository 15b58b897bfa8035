"""``python -m lilacsill pools|credentials``. The docstrings of commands are their help."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from .options import api, caller_of

POOL_COLUMNS = ("name", "discovery", "revision")
CREDENTIAL_COLUMNS = ("id", "role", "tenant", "description", "revision")


@click.group()
def pools() -> None:
    """Add, list, show, change and remove pools."""


@pools.command("list")
@api
def list_pools(**options: Any) -> None:
    """All pools by name."""
    caller = caller_of(options)
    caller.show(caller.pages("/v1/pools"), POOL_COLUMNS)


@pools.command("show")
@click.argument("name")
@api
def show_pool(name: str, **options: Any) -> None:
    """One pool with its settings."""
    caller = caller_of(options)
    caller.show(caller.call("GET", f"/v1/pools/{name}").json())


@pools.command(
    "add",
    help=(
        "A new pool.\n\n\b\npython -m lilacsill pools add saltillo --discovery 10.2.0.1:8500 --settings saltillo.json\n"
    ),
)
@click.argument("name")
@click.option("--discovery", required=True, metavar="HOST:PORT")
@click.option(
    "--settings",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="JSON file: the settings in the platform's form, without tenants",
)
@api
def add_pool(name: str, discovery: str, settings: str, **options: Any) -> None:
    """A new pool."""
    caller = caller_of(options)
    try:
        facts = json.loads(Path(settings).read_text())
    except ValueError as error:
        raise click.BadParameter(f"{settings}: no JSON: {error}") from None
    caller.show(
        caller.call("POST", "/v1/pools", {"name": name, "discovery": discovery, "settings": facts}).json(), POOL_COLUMNS
    )


@pools.command("move")
@click.argument("name")
@click.option("--discovery", required=True, metavar="HOST:PORT")
@api
def move_pool(name: str, discovery: str, **options: Any) -> None:
    """Learn the pool's servers elsewhere from now on."""
    caller = caller_of(options)
    caller.show(caller.change(f"/v1/pools/{name}", {"discovery": discovery}, False), POOL_COLUMNS)


@pools.command("remove")
@click.argument("name")
@api
def remove_pool(name: str, **options: Any) -> None:
    """Remove a pool that no tenant is in."""
    caller_of(options).call("DELETE", f"/v1/pools/{name}")


@click.group()
def credentials() -> None:
    """Issue, list and revoke credentials."""


@credentials.command("list")
@click.option("--tenant")
@click.option("--role", type=click.Choice(["client", "tenant-admin", "auditor", "operator"]))
@api
def list_credentials(tenant: str | None, role: str | None, **options: Any) -> None:
    """All credentials by id; no secret is shown."""
    caller = caller_of(options)
    caller.show(caller.pages("/v1/credentials", tenant=tenant, role=role), CREDENTIAL_COLUMNS)


@credentials.command()
@click.option("--role", type=click.Choice(["client", "tenant-admin", "auditor", "operator"]), required=True)
@click.option("--tenant")
@click.option("--description", default="")
@api
def issue(role: str, tenant: str | None, description: str, **options: Any) -> None:
    """A new credential; its secret is shown this once."""
    caller = caller_of(options)
    caller.show(
        caller.call("POST", "/v1/credentials", {"role": role, "tenant": tenant, "description": description}).json()
    )


@credentials.command()
@click.argument("credential_id", metavar="ID")
@api
def revoke(credential_id: str, **options: Any) -> None:
    """It opens nothing any more, on any worker."""
    caller_of(options).call("DELETE", f"/v1/credentials/{credential_id}")
