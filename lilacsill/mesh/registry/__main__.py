"""`python -m lilacsill.mesh.registry`: one registry, as the settings file tells; with a command, what operators ask."""

from __future__ import annotations

import sys

from lilacsill.mesh.runtime.start import run_process


def process() -> int:
    from .process import Process

    return run_process("registry", Process)


def main() -> int:
    if len(sys.argv) == 1:
        return process()
    from lilacsill.mesh.runtime.commands import Commands, run_command

    return run_command("registry", Commands)


if __name__ == "__main__":
    sys.exit(main())
