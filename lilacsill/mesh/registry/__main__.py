"""Runs a registry with its settings file (`python -m lilacsill.mesh.registry`), or an operator's command."""

from __future__ import annotations

import sys

from lilacsill.mesh.early_signals import handle_early_signals


def run() -> int:
    """Run the registry until it is stopped; return the exit status if it cannot start."""
    handle_early_signals()
    from lilacsill.mesh.runtime.start import run_process

    from .process import Process

    return run_process("registry", Process)


def main() -> int:
    """Run the command given on the command line, or the registry if there are no arguments."""
    if len(sys.argv) == 1:
        return run()
    from lilacsill.mesh.runtime.commands import Commands, run_command

    return run_command("registry", Commands)


if __name__ == "__main__":
    sys.exit(main())
