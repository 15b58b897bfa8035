"""``python -m lilacsill hosted|tenants|pools|credentials|events|status|store``."""

from __future__ import annotations

import asyncio
import sys

import click

from .caller import Exit
from .observe import events, status
from .options import section_of
from .pools import credentials, pools
from .store import store
from .tenants import tenants

HELP = """One service for many tenants. Codes: 0 done, 1 no answer, 2 usage, 3 not there, 4 conflict, 5 not allowed,
6 invalid."""


@click.group(help=HELP, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="lilacsill", message="%(version)s")
def cli() -> None:
    """Group the commands of the hosted service."""


def main(argv: list[str]) -> int:
    """Run a command.

    Returns:
        The exit code; usage errors are printed as one line.
    """
    try:
        return int(cli.main(argv, prog_name="python -m lilacsill", standalone_mode=False) or 0)
    except click.ClickException as error:
        error.show()
        return Exit.USAGE
    except click.exceptions.Abort:
        return Exit.NO_ANSWER


@cli.command(
    help=(
        "Run the service until SIGTERM.\n"
        "\n"
        "\b\n"
        "python -m lilacsill store bootstrap --operator deploy/operator.toml\n"
        "python -m lilacsill hosted --operator deploy/operator.toml\n"
    )
)
@click.option("--operator", metavar="PATH", help="the operator file; section [hosted]")
@click.option("--log-format", type=click.Choice(["json", "text"]), default="json", show_default=True)
def hosted(operator: str | None, log_format: str) -> None:
    """Run the service until SIGTERM."""
    from ..log import configure
    from ..run import serve

    section = section_of(operator)
    configure(log_format)
    raise click.exceptions.Exit(asyncio.run(serve(section, operator)))


for command in (tenants, pools, credentials, events, status, store):
    cli.add_command(command)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
