"""The log: a ring in memory, written out when something goes wrong, and little else.

Writing costs processor time on small machines; what led to a fault is worth it, a calm day's lines are not.
"""
from __future__ import annotations

import sys
import time
from collections import deque

import picologging

LINES = 200
QUIET_S = 1.0  # the ring is written out at most so often


class Ring(picologging.Handler):
    """Keeps the latest lines. A warning writes out what led to it, and itself."""

    def __init__(self, lines: int = LINES) -> None:
        super().__init__()
        self._lines: deque[str] = deque(maxlen=lines)
        self._written_at = 0.0
        self._format = picologging.Formatter("%(levelname)s %(message)s").format

    def emit(self, record: picologging.LogRecord) -> None:
        self._lines.append(f"{time.monotonic():.3f} {self._format(record)}")
        if record.levelno >= picologging.WARNING:
            self.write_out()

    def handle(self, record: picologging.LogRecord) -> bool:
        self.emit(record)
        return True

    def write_out(self) -> None:
        now = time.monotonic()
        if now - self._written_at < QUIET_S:
            return
        self._written_at = now
        text = "\n".join(self._lines)
        self._lines.clear()
        if text:
            print(text, file=sys.stderr, flush=True)

    def tail(self) -> list[str]:
        """What it holds, for operators who ask."""
        return list(self._lines)


ring = Ring()
log = picologging.Logger("mesh", picologging.INFO)
log.handlers = [ring]
