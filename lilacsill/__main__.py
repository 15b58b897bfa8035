"""Starts the agent: ``python -m lilacsill``, configured by RELAY_CONFIG and, beyond the platform, an operator file.

SIGHUP reads both again; SIGTERM stops in order.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from lilacsill.clock import Clock
from lilacsill.agent.config import Config, ConfigError, load
from lilacsill.agent.assembly import Options, budget_for, check_reserve
from lilacsill.agent.run import serve

# Sub-commands of hosted mode, which bring a command line of their own.
HOSTED = frozenset(("hosted", "tenants", "pools", "credentials", "events", "status", "store"))


def main(argv: list[str]) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    # One that comes before it is handled is no loss: the files are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    command, path = "run", os.environ.get("LILACSILL_OPERATOR") or None
    if argv and argv[0] in HOSTED:
        from lilacsill.hosted.cli.main import main as hosted

        return hosted(argv)
    if argv and argv[0] == "peers":
        from lilacsill.agent.peers.cli import main as peers

        return peers(argv[1:])
    if argv and argv[0] == "recovery":
        from lilacsill.agent.recovery.cli import main as recovery

        return recovery(argv[1:])
    if argv:
        # The platform's run line has no arguments, and an agent with 32 MB has no use for argparse.
        from lilacsill.agent.cli import parse

        arguments = parse(argv)
        command, path = arguments.command, arguments.operator or path
    try:
        options = _options(path)
        if command == "check-config":
            return _check(options, clock)
        config = load(os.environ, clock)
    except ConfigError as e:
        print(f"lilacsill: {e}", file=sys.stderr)
        return 2
    return asyncio.run(serve(config, clock, options))


def _options(path: str | None) -> Options:
    if path is None:
        return Options()
    from lilacsill.agent.operator.file import OperatorError
    from lilacsill.agent.operator.file import load as load_operator

    try:
        return Options(path, load_operator(path))
    except OperatorError as e:
        raise ConfigError(str(e)) from None


def _check(options: Options, clock: Clock) -> int:
    """All that a start would read, without one."""
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
