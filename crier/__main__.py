"""`python -m crier`: one registry, as the settings file tells."""
from __future__ import annotations

import sys

from guild.start import start


def main() -> int:
    from .process import Process
    return start("crier", Process)


if __name__ == "__main__":
    sys.exit(main())
