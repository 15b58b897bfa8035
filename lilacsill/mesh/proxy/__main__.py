"""Run the proxy of one machine, or an operator's command: `python -m lilacsill.mesh.proxy`."""

from __future__ import annotations

import sys

from lilacsill.mesh.early_signals import handle_early_signals


def run() -> int:
    """Run the proxy until it is shut down. Return the exit status."""
    handle_early_signals()
    from lilacsill.mesh.runtime.start import run_process

    from .process import Process

    return run_process("proxy", Process)


def main() -> int:
    """Run the proxy, or the operator's command that the arguments name. Return the exit status."""
    if len(sys.argv) == 1:
        return run()
    from lilacsill.mesh.runtime.commands import Commands, run_command

    return run_command("proxy", Commands)


if __name__ == "__main__":
    sys.exit(main())
