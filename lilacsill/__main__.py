"""The entry point ``python -m lilacsill``: runs the agent or a sub-command.

The agent is configured by the platform file that RELAY_CONFIG names and by an optional operator file. SIGHUP reloads
both; SIGTERM drains the clients and stops.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from lilacsill.agent.assembly import Options, budget_for, check_reserve
from lilacsill.agent.config import Config, ConfigError, load
from lilacsill.agent.run import serve
from lilacsill.clock import Clock

# Sub-commands of hosted mode, which parse their own arguments.
HOSTED_COMMANDS = frozenset(("hosted", "tenants", "pools", "credentials", "events", "status", "store"))


def main(argv: list[str]) -> int:
    """Run the command line; return the exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    # Ignoring a SIGHUP that arrives before its handler is installed is safe: the files are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    command, path = "run", os.environ.get("LILACSILL_OPERATOR") or None
    if argv and argv[0] in HOSTED_COMMANDS:
        from lilacsill.hosted.cli.main import main as hosted

        return hosted(argv)
    if argv and argv[0] == "peers":
        from lilacsill.agent.peers.cli import main as peers

        return peers(argv[1:])
    if argv and argv[0] == "recovery":
        from lilacsill.agent.recovery.cli import main as recovery

        return recovery(argv[1:])
    if argv:
        # Imported here, since the platform starts the agent without arguments, and an agent with a memory limit of
        # 32 MB has no room for argparse.
        from lilacsill.agent.cli import parse

        arguments = parse(argv)
        command, path = arguments.command, arguments.operator or path
    try:
        options = _load_options(path)
        if command == "check-config":
            return _check_config(options, clock)
        config = load(os.environ, clock)
    except ConfigError as error:
        print(f"lilacsill: {error}", file=sys.stderr)
        return 2
    return asyncio.run(serve(config, clock, options))


def _load_options(path: str | None) -> Options:
    if path is None:
        return Options()
    from lilacsill.agent.operator.file import OperatorError
    from lilacsill.agent.operator.file import load as load_operator

    try:
        return Options(path, load_operator(path))
    except OperatorError as error:
        raise ConfigError(str(error)) from None


def _check_config(options: Options, clock: Clock) -> int:
    """Load and validate every file that `run` would load; return the exit status."""
    from lilacsill.agent.cli import report_checked

    checked: list[str] = []
    config: Config | None = None
    if os.environ.get("RELAY_CONFIG"):
        config = load(os.environ, clock)
        checked.append(os.environ["RELAY_CONFIG"])
    if options.operator_path is not None:
        if config is not None:
            check_reserve(options.admission(), budget_for(config))
        if options.operator is not None and options.operator.recovery.folder:
            from lilacsill.agent.recovery.store import check_folder

            check_folder(options.operator.recovery.folder, options.operator_path)
        checked.append(options.operator_path)
    return report_checked(checked)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
