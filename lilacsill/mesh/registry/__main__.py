"""Run a registry as its settings file says (`python -m lilacsill.mesh.registry`), or an operator's command."""

from __future__ import annotations

import sys

from lilacsill.mesh.early_signals import handle_early_signals


def run() -> int:
    """Run the registry."""
    handle_early_signals()
    from lilacsill.mesh.runtime.start import run_process

    from .process import Process

    return run_process("registry", Process)


def main() -> int:
    """Run a command if the arguments name one, else the registry."""
    if len(sys.argv) == 1:
        return run()
    from lilacsill.mesh.runtime.commands import Commands, run_command

    return run_command("registry", Commands)


if __name__ == "__main__":
    sys.exit(main())
