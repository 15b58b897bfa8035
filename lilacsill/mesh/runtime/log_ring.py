"""The log: the latest lines are kept in memory, and written to standard error only when something goes wrong.

Writing costs processor time, which is scarce on small machines. For the same reason picologging, which does the
writing, is loaded with the first warning: it takes 2.5 MB.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from picologging import Logger

MAX_LINES = 200  # kept in memory
MIN_WRITE_INTERVAL_S = 1.0  # a storm of warnings must not cost more than one write in this time


class LogRing:
    """Keeps the latest lines. A warning writes out all of them, itself last."""

    def __init__(self, max_lines: int = MAX_LINES) -> None:
        self._lines: deque[str] = deque(maxlen=max_lines)
        self._written_at_s = -MIN_WRITE_INTERVAL_S
        self._writer: Logger | None = None

    def info(self, text: str, *arguments: object) -> None:
        """Keep a line; `text` is formatted with the arguments by `%`."""
        self._lines.append(f"{time.monotonic():.3f} {text % arguments if arguments else text}")

    def warning(self, text: str, *arguments: object) -> None:
        """Keep a line, and write out all that are kept."""
        self.info(text, *arguments)
        self.flush()

    def exception(self, text: str, *arguments: object) -> None:
        """Log a warning with the traceback of the exception that is being handled."""
        import traceback  # 1 MB, which a process without failures does not need

        self.info(text, *arguments)
        self._lines.append(traceback.format_exc().rstrip())
        self.flush()

    def flush(self) -> None:
        """Write out the lines that are kept, unless lines were written a moment ago."""
        now_s = time.monotonic()
        if now_s - self._written_at_s < MIN_WRITE_INTERVAL_S or not self._lines:
            return
        self._written_at_s = now_s
        if self._writer is None:
            import picologging

            self._writer = picologging.Logger("mesh", picologging.WARNING)  # without a level it drops every line
            self._writer.addHandler(picologging.StreamHandler())
        self._writer.warning("%s", "\n".join(self._lines))
        self._lines.clear()

    def tail(self) -> list[str]:
        """Return the lines that are kept, for the status of the process."""
        return list(self._lines)


log = LogRing()
"""The log of this process."""
