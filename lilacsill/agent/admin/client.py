"""A client of the admin API, and helpers for the commands that print its responses."""

from __future__ import annotations

import argparse
import json
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

TIMEOUT_S = 2.0


def get(address: str, call: str) -> dict[str, Any]:
    """Make a GET call such as `peers` to the admin API at `address` and return the response.

    Raises:
        OSError: The agent cannot be reached or responds with an error status.
        ValueError: The response is not valid JSON.
    """
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(f"http://{address}/-/{call}", timeout=TIMEOUT_S) as response:
        body: dict[str, Any] = json.loads(response.read())
    return body


def build_parser(command: str, description: str, examples: str) -> argparse.ArgumentParser:
    """Return the parser of a command that calls one agent; the caller may add options."""
    parser = argparse.ArgumentParser(
        prog=f"python -m lilacsill {command}",
        epilog=examples,
        description=description,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("door", help="host:port of the agent's admin API (admin_addr)")
    parser.add_argument("--json", action="store_true", help="print the complete response as JSON")
    return parser


def print_responses(
    arguments: argparse.Namespace, calls: list[str], format_table: Callable[[dict[str, Any]], str]
) -> int:
    """Make the calls and print the merged responses; return the exit status."""
    merged: dict[str, Any] = {}
    try:
        for call in calls:
            merged |= get(arguments.door, call)
    except (OSError, ValueError) as error:
        print(f"lilacsill: {arguments.door}: {_reason(error)}", file=sys.stderr)
        return 1
    print(json.dumps(merged, indent=2) if arguments.json else format_table(merged))
    return 0


def _reason(error: Exception) -> str:
    if not isinstance(error, urllib.error.HTTPError):
        return str(getattr(error, "reason", None) or error)
    try:
        return str(json.loads(error.read())["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {error.code}"
