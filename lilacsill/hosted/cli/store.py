"""``python -m lilacsill store``: the state on disk, without a running service.

The docstrings of commands are their help.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

import click

from .caller import Exit
from .options import section_of

if TYPE_CHECKING:
    from ..store.sqlite import SqliteStore

Result = TypeVar("Result")


@click.group()
def store() -> None:
    """The state on disk; these commands need no running service."""


@store.command()
@click.option("--operator", metavar="PATH")
def bootstrap(operator: str | None) -> None:
    """The first operator's credential, shown once. Before the service's first start."""
    from ..supervisor.service import Service
    from ..supervisor.service import bootstrap as create_first

    token = _with_store(section_of(operator).store, lambda opened: create_first(Service(opened)))
    if token is None:
        click.echo("lilacsill: there is an operator already", err=True)
        raise click.exceptions.Exit(Exit.CONFLICT)
    click.echo(token)


@store.command()
@click.argument("path")
def verify(path: str) -> None:
    """Check the file, and the chain of its log."""
    lines = _with_store(path, lambda opened: opened.verify())
    click.echo(f"{path}: ok, {lines} changes")


@store.command()
@click.argument("path")
@click.argument("to")
def backup(path: str, to: str) -> None:
    """A consistent copy, also while the service runs."""
    _with_store(path, lambda opened: opened.backup(to))
    click.echo(f"{to}: written")


@store.command()
@click.argument("backup")
@click.argument("path")
def restore(backup: str, path: str) -> None:
    """Put a verified backup in the place of a store that is not in use; the old one stays beside it."""
    from ..run import wall_ms
    from ..store.interface import StoreError
    from ..store.sqlite import restore as restore_store

    try:
        revision = restore_store(backup, path, wall_ms)
    except (StoreError, OSError) as error:
        click.echo(f"lilacsill: {error}", err=True)
        raise click.exceptions.Exit(Exit.NO_ANSWER) from None
    click.echo(f"{path}: restored at revision {revision}")


def _with_store(path: str, use: Callable[[SqliteStore], Result]) -> Result:
    """Open a store and use it; a failure ends the command."""
    from ..run import wall_ms
    from ..store.interface import StoreError
    from ..store.sqlite import SqliteStore

    try:
        opened = SqliteStore(path, wall_ms)
        try:
            return use(opened)
        finally:
            opened.close()
    except StoreError as error:
        click.echo(f"lilacsill: {error}", err=True)
        raise click.exceptions.Exit(Exit.NO_ANSWER) from None
