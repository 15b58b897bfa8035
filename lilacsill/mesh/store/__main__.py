"""Run one replica of the store, or an operator's command: `python -m lilacsill.mesh.store`."""

from __future__ import annotations

import sys

from lilacsill.mesh.runtime.start import run_process


def process() -> int:
    from .process import Process

    return run_process("store", Process)


def main() -> int:
    if len(sys.argv) == 1:
        return process()
    from lilacsill.mesh.runtime.commands import run_command

    from .commands import Store

    return run_command("store", Store)


if __name__ == "__main__":
    sys.exit(main())
