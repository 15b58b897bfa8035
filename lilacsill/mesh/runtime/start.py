"""Start and end of a process: settings, event loop, exit status."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable
from typing import Any

from .log_ring import log
from .reactor import Reactor
from .settings import Settings, SettingsError, load_settings

EXIT_CANNOT_BIND, EXIT_BAD_SETTINGS = 1, 2


def run_process(name: str, process: Callable[[Settings, Reactor], Any]) -> int:
    """Run a program until it stops its loop; then the process exits with status 0 and this function does not return.

    Args:
        name: Of the program, for messages on standard error.
        process: Makes the program's main object, which registers itself with the loop.

    Returns:
        The exit status of a program that cannot start. 2: the settings cannot be used; 1: an address cannot be bound.
    """
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr, flush=True)
        return EXIT_BAD_SETTINGS
    reactor = Reactor()
    try:
        running = process(settings, reactor)
    except OSError as error:
        print(f"{name}: {error}", file=sys.stderr, flush=True)
        return EXIT_CANNOT_BIND
    gc.collect()
    gc.freeze()  # modules and tables stay for good; later collections need not visit them
    try:
        reactor.run()
    except AssertionError:
        log.flush()
        raise
    del running
    # What must last is on disk already. Closing files in order would wait for a slow disk, beyond the grace period.
    sys.stderr.flush()
    os._exit(0)
