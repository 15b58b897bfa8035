"""The command line of the agent."""

from __future__ import annotations

import argparse
import sys

EXAMPLES = """examples:
  RELAY_CONFIG=config.json python -m lilacsill
  RELAY_CONFIG=config.json python -m lilacsill --operator deploy/operator.toml
  python -m lilacsill check-config --operator deploy/operator.toml

RELAY_CONFIG is the path of the platform's configuration. LILACSILL_OPERATOR is the path of the operator file if
--operator is not given. Hosted mode has its own commands: hosted, tenants, pools, credentials, events, status, store;
each of them describes its options with --help.

Exit status: 0 after a graceful stop, 1 if the agent cannot listen on its address, 2 if the configuration is invalid;
the error is then printed in one line with the file, section, key and allowed values."""


class Arguments(argparse.Namespace):
    """The parsed command line."""

    command: str
    operator: str | None


def parse(argv: list[str]) -> Arguments:
    """Parse the command line; exit with status 2 if it is invalid."""
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
        help="run the agent (the default), or validate its configuration files and exit",
    )
    parser.add_argument("--operator", metavar="PATH", help="the operator file (TOML)")
    return parser.parse_args(argv, Arguments())


def report_checked(checked: list[str]) -> int:
    """Print the paths of the files that check-config has validated; return the exit status."""
    if not checked:
        print("lilacsill: nothing to check: neither RELAY_CONFIG nor an operator file is set", file=sys.stderr)
        return 2
    for name in checked:
        print(f"{name}: ok")
    return 0
