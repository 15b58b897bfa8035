"""`python -m crier`: one registry, as the settings file tells; with a command, what operators ask."""
from __future__ import annotations

import sys

from guild.start import start


def process() -> int:
    from .process import Process
    return start("crier", Process)


def main() -> int:
    if len(sys.argv) == 1:
        return process()
    from guild.commands import Commands, run
    return run("crier", Commands)


if __name__ == "__main__":
    sys.exit(main())
