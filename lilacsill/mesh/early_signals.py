"""Handles signals that arrive during startup. Import this module first: importing the others takes time."""

from __future__ import annotations

import os
import signal
from types import FrameType


def handle_early_signals() -> None:
    """Ignore SIGHUP and exit with status 0 on SIGTERM, until the process registers its own handlers."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # startup reads the settings anyway
    signal.signal(signal.SIGTERM, _exit)


def _exit(_number: int, _frame: FrameType | None) -> None:
    """Exit at once: the process has not accepted any connection."""
    os._exit(0)
