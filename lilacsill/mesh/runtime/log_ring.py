"""The log: keeps the latest lines in memory, and writes them to standard error only after a warning.

Writing costs CPU time, which is scarce on small machines. picologging, which writes the lines, takes 2.5 MB and is
therefore imported with the first warning.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from picologging import Logger

MAX_LINES = 200  # kept in memory
MIN_WRITE_INTERVAL_S = 1.0  # limits the cost of a burst of warnings to one write in this time


class LogRing:
    """Ring buffer of log lines. A warning writes all buffered lines, the warning last."""

    def __init__(self, max_lines: int = MAX_LINES) -> None:
        self._lines: deque[str] = deque(maxlen=max_lines)
        self._written_at_s = -MIN_WRITE_INTERVAL_S
        self._writer: Logger | None = None

    def info(self, text: str, *arguments: object) -> None:
        """Buffer a line; `text` is formatted with the arguments by `%`."""
        self._lines.append(f"{time.monotonic():.3f} {text % arguments if arguments else text}")

    def warning(self, text: str, *arguments: object) -> None:
        """Buffer a line, and write all buffered lines."""
        self.info(text, *arguments)
        self.flush()

    def exception(self, text: str, *arguments: object) -> None:
        """Log a warning with the traceback of the exception that is being handled."""
        import traceback  # imported lazily: takes 1 MB of memory that a process without failures does not need

        self.info(text, *arguments)
        self._lines.append(traceback.format_exc().rstrip())
        self.flush()

    def flush(self) -> None:
        """Write the buffered lines, unless lines were written within `MIN_WRITE_INTERVAL_S`."""
        now_s = time.monotonic()
        if now_s - self._written_at_s < MIN_WRITE_INTERVAL_S or not self._lines:
            return
        self._written_at_s = now_s
        if self._writer is None:
            import picologging

            self._writer = picologging.Logger("mesh", picologging.WARNING)  # drops every line if no level is given
            self._writer.addHandler(picologging.StreamHandler())
        self._writer.warning("%s", "\n".join(self._lines))
        self._lines.clear()

    def tail(self) -> list[str]:
        """Return the buffered lines, for the status of the process."""
        return list(self._lines)


log = LogRing()
"""The log of this process."""
