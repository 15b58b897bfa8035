"""Run one replica of the store, or an operator command: `python -m lilacsill.mesh.store [COMMAND]`."""

from __future__ import annotations

import sys

from lilacsill.mesh.early_signals import handle_early_signals


def run() -> int:
    """Run the replica. Return the exit status."""
    handle_early_signals()
    from lilacsill.mesh.runtime.start import run_process

    from .process import Process

    return run_process("store", Process)


def main() -> int:
    """Run the command given on the command line, or the replica if there is none. Return the exit status."""
    if len(sys.argv) == 1:
        return run()
    from lilacsill.mesh.runtime.commands import run_command

    from .commands import Store

    return run_command("store", Store)


if __name__ == "__main__":
    sys.exit(main())
