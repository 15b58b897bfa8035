"""Calls of the administration API, their output, and the exit codes of commands."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Any

import click
import httpx
import msgspec
from rich.console import Console
from rich.table import Table

TIMEOUT_S = 40.0
"""Above the longest wait of a call, 30 s for the log."""
PAGE_ITEMS = 500


class Exit(IntEnum):
    """The exit codes, which scripts may rely on."""

    OK = 0
    NO_ANSWER = 1
    """The service cannot be reached, or failed."""
    USAGE = 2
    NOT_THERE = 3
    CONFLICT = 4
    NOT_ALLOWED = 5
    INVALID = 6


EXITS_BY_STATUS = {
    401: Exit.NOT_ALLOWED,
    403: Exit.NOT_ALLOWED,
    404: Exit.NOT_THERE,
    409: Exit.CONFLICT,
    412: Exit.CONFLICT,
    400: Exit.INVALID,
    413: Exit.INVALID,
    415: Exit.INVALID,
    422: Exit.INVALID,
}


class Caller:
    """A client of the API for one command.

    Args:
        url: The API's URL.
        token: The credential to present.
        as_json: Print JSON instead of tables.
        ca: A PEM file that the API's certificate is verified with; None: the system's.
    """

    def __init__(self, url: str, token: str, as_json: bool, ca: str | None = None) -> None:
        self._client = httpx.Client(
            base_url=url, timeout=TIMEOUT_S, verify=ca or True, headers={"Authorization": f"Bearer {token}"}
        )
        self.as_json = as_json

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None, **query: Any
    ) -> httpx.Response:
        """Call the API.

        Raises:
            click.exceptions.Exit: The answer is no success; a line says why.
        """
        kind = "application/merge-patch+json" if method == "PATCH" else "application/json"
        try:
            answer = self._client.request(
                method,
                path,
                content=msgspec.json.encode(body) if body is not None else None,
                headers={**(headers or {}), **({"Content-Type": kind} if body is not None else {})},
                params={key: value for key, value in query.items() if value is not None},
            )
        except httpx.HTTPError as error:
            raise self._end(Exit.NO_ANSWER, f"{self._client.base_url}: {error}") from None
        if answer.is_success:
            return answer
        try:
            reason = answer.json()["detail"]
        except (ValueError, KeyError):
            reason = answer.text[:200] or answer.reason_phrase
        raise self._end(EXITS_BY_STATUS.get(answer.status_code, Exit.NO_ANSWER), f"{reason} ({answer.status_code})")

    def pages(self, path: str, **query: Any) -> list[dict[str, Any]]:
        """Fetch all items of a list, page by page."""
        found: list[dict[str, Any]] = []
        cursor: str | None = None
        while True:
            page = self.call("GET", path, limit=PAGE_ITEMS, cursor=cursor, **query).json()
            found += page["items"]
            cursor = page.get("next")
            if cursor is None:
                return found

    def change(self, path: str, merge: dict[str, Any], dry_run: bool) -> dict[str, Any]:
        """Change a resource at its current revision, so that no concurrent change is overwritten."""
        tag = self.call("GET", path).headers["ETag"]
        found: dict[str, Any] = self.call("PATCH", path, merge, {"If-Match": tag}, dry_run=_flag(dry_run)).json()
        return found

    def show(self, value: Any, columns: Sequence[str] = ()) -> None:
        """Print a value.

        Args:
            value: One object, or a list of them.
            columns: The keys to print as a table; empty: one line for each key.
        """
        rows = value if isinstance(value, list) else [value]
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
        elif columns:
            table = Table(box=None, header_style="bold")
            for column in columns:
                table.add_column(column)
            for row in rows:
                table.add_row(*(_text(row.get(column)) for column in columns))
            Console().print(table)
        else:
            for row in rows:
                for key, item in row.items():
                    click.echo(f"{key:<14} {_text(item)}")

    @staticmethod
    def _end(code: Exit, reason: str) -> click.exceptions.Exit:
        click.echo(f"lilacsill: {reason}", err=True)
        return click.exceptions.Exit(code)


def _flag(value: bool) -> str | None:
    return "true" if value else None


def _text(value: Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={_text(item)}" for key, item in value.items() if item not in (0, 0.0, "", None)) or "-"
    if isinstance(value, list):
        return ", ".join(map(_text, value)) or "-"
    return "-" if value in (None, "") else str(value)
