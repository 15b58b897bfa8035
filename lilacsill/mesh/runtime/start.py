"""Start and exit of a process: settings, event loop, exit status."""

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
    """Run a program until it stops its event loop; then exit with status 0, without returning.

    Args:
        name: Name of the program, for messages on standard error.
        process: Creates the program's main object, which registers its callbacks with the event loop.

    Returns:
        The exit status if the program cannot start. 2: the settings are invalid; 1: an address cannot be bound.
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
    gc.freeze()  # excludes modules and tables, which live until the exit, from later collections
    try:
        reactor.run()
    except AssertionError:
        log.flush()
        raise
    del running
    # All durable data is on disk. A regular exit would close files, which can exceed the grace period on a slow disk.
    sys.stderr.flush()
    os._exit(0)
