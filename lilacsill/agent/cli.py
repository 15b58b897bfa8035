"""The command line of the agent."""

from __future__ import annotations

import argparse
import sys

EXAMPLES = """examples:
  RELAY_CONFIG=config.json python -m lilacsill
  RELAY_CONFIG=config.json python -m lilacsill --operator deploy/operator.toml
  python -m lilacsill check-config --operator deploy/operator.toml

RELAY_CONFIG names the platform's configuration, LILACSILL_OPERATOR the operator file where --operator does not.
Hosted mode has commands of its own: hosted, tenants, pools, credentials, events, status, store; each tells of itself
with --help.

Exit status: 0 after an orderly stop, 1 if the address cannot be listened on, 2 for a configuration that cannot be
used, with one line that names file, section, key and what is allowed."""


class Arguments(argparse.Namespace):
    """The parsed command line."""

    command: str
    operator: str | None


def parse(argv: list[str]) -> Arguments:
    """Parse the command line; exits with status 2 where it is wrong."""
    parser = argparse.ArgumentParser(
        prog="python -m lilacsill",
        description="A client-side load balancing agent.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "command",
        nargs="?",
        choices=("run", "check-config"),
        default="run",
        help="run the agent (the default), or check what it would read and end",
    )
    parser.add_argument("--operator", metavar="PATH", help="the operator file (TOML)")
    return parser.parse_args(argv, Arguments())


def report_checked(checked: list[str]) -> int:
    """Print the names of files that check-config found valid; return the exit status."""
    if not checked:
        print("lilacsill: nothing to check: neither RELAY_CONFIG nor an operator file is named", file=sys.stderr)
        return 2
    for name in checked:
        print(f"{name}: ok")
    return 0
