"""``python -m lilacsill events|status``: the log of changes, and the status of the service."""

from __future__ import annotations

from typing import Any

import click

from .options import api, caller_of

EVENT_COLUMNS = ("revision", "verb", "kind", "name", "actor", "request_id")
WORKER_COLUMNS = ("number", "serving", "have", "starts", "connections", "cpu_s", "rss_mb")
POOL_COLUMNS = (
    "name",
    "tenants",
    "usable",
    "servers",
    "in_hand",
    "excess",
    "latency_ms",
    "requests",
    "served",
    "refused",
    "failed",
)
TENANT_COLUMNS = (
    "name",
    "state",
    "pool",
    "weight",
    "per_s",
    "quota_per_s",
    "in_flight",
    "requests",
    "served",
    "refused",
    "failed",
    "weight_part",
    "cpu_part",
)
FOLLOW_WAIT_S = 20
"""Seconds that one call waits for a change with --follow."""
PAGE_ITEMS = 500


@click.command()
@click.option("--follow", is_flag=True, help="go on until interrupted")
@click.option("--after", type=int, default=0, help="behind this revision")
@click.option("--kind", type=click.Choice(["pool", "tenant", "credential"]))
@click.option("--name")
@api
def events(follow: bool, after: int, kind: str | None, name: str | None, **options: Any) -> None:
    """The log of every change."""
    caller = caller_of(options)
    while True:
        page = caller.call(
            "GET",
            "/v1/events",
            after=after,
            limit=PAGE_ITEMS,
            kind=kind,
            name=name,
            wait_s=FOLLOW_WAIT_S if follow else None,
        ).json()
        if page["items"]:
            if caller.as_json:
                for item in page["items"]:
                    caller.show(item)
            else:
                caller.show(page["items"], EVENT_COLUMNS)
        elif not follow and page["after"] == after:
            return
        after = page["after"]


@click.command()
@api
def status(**options: Any) -> None:
    """Workers, and the busiest pools and tenants of the last hour."""
    caller = caller_of(options)
    found = caller.call("GET", "/v1/status").json()
    if caller.as_json:
        caller.show(found)
        return
    click.echo(f"revision {found['revision']}, {found['tenants']} tenants, {found['pools']} pools")
    caller.show(found["workers"], WORKER_COLUMNS)
    if found["busiest_pools"]:
        caller.show(found["busiest_pools"], POOL_COLUMNS)
    if found["busiest"]:
        caller.show(found["busiest"], TENANT_COLUMNS)
