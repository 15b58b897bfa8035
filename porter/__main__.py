"""`python -m porter`: the proxy of one machine, as the settings file tells; with a command, what operators ask."""
from __future__ import annotations

import sys

from guild.start import start


def process() -> int:
    from .process import Process
    return start("porter", Process)


def main() -> int:
    if len(sys.argv) == 1:
        return process()
    from guild.commands import Commands, run
    return run("porter", Commands)


if __name__ == "__main__":
    sys.exit(main())
