"""Signals that come before a process can handle them. Load this module before any other: the rest takes time."""

from __future__ import annotations

import os
import signal
from types import FrameType


def handle_early_signals() -> None:
    """Make SIGHUP harmless and SIGTERM an end in order, until the process registers its own handlers."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the settings are about to be read anyway
    signal.signal(signal.SIGTERM, _exit)


def _exit(_number: int, _frame: FrameType | None) -> None:
    """End at once: the process has accepted nothing yet."""
    os._exit(0)
