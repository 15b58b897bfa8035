"""Options that commands share, and the values of their arguments."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import click

from .caller import Caller, Exit

if TYPE_CHECKING:
    from lilacsill.agent.operator.sections import HostedSection


def api(command: Any) -> Any:
    """Add the options of every command that calls the API."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="JSON in place of a table"),
        click.option("--ca", help="PEM file that the API's certificate is checked against"),
        click.option("--token", envvar="LILACSILL_TOKEN", required=True, help="a credential; or LILACSILL_TOKEN"),
        click.option(
            "--api",
            envvar="LILACSILL_API",
            default="http://127.0.0.1:8081",
            show_default=True,
            help="where the administration API is; or LILACSILL_API",
        ),
    ):
        command = option(command)
    return command


def caller_of(options: dict[str, Any]) -> Caller:
    """Make the caller from the options that `api` adds, and remove these."""
    return Caller(options.pop("api"), options.pop("token"), options.pop("as_json"), options.pop("ca"))


def limits_of(pairs: Sequence[str]) -> dict[str, Any]:
    """Parse `KEY=VALUE` pairs."""
    return {key: value_of(value) for key, _, value in (pair.partition("=") for pair in pairs)}


def value_of(text: str) -> Any:
    """Parse a value: JSON or, where it is none, a string."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def section_of(operator: str | None) -> HostedSection:
    """Read the section [hosted] of the operator file; without a file its defaults.

    Raises:
        click.exceptions.Exit: The file is not valid; a line says why.
    """
    from lilacsill.agent.operator.file import OperatorError, load
    from lilacsill.agent.operator.sections import HostedSection

    if operator is None:
        return HostedSection()
    try:
        return load(operator).hosted
    except OperatorError as error:
        click.echo(f"lilacsill: {error}", err=True)
        raise click.exceptions.Exit(Exit.USAGE) from None
