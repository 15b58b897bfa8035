"""Reloads the configuration, the operator file and the secrets shared by agents on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from lilacsill.clock import Clock

from . import config
from .admission.settings import DescriptorBudget
from .assembly import Options, Parts, check_reserve
from .config import ConfigError
from .descriptors import EXHAUSTION_ERRNOS

if TYPE_CHECKING:
    from .peers.channel import Channel

log = logging.getLogger("lilacsill")

# If no file descriptor is left to read a file: the delay before each retry, and the number of retries.
RETRY_DELAY_S, MAX_RETRIES = 0.1, 30


class Reload:
    """Reads the files again and applies their contents.

    A file that is missing or invalid is logged and changes nothing; the other files are still applied.
    """

    def __init__(
        self, parts: Parts, clock: Clock, options: Options, budget: DescriptorBudget, peers: Channel | None = None
    ) -> None:
        self._parts, self._clock, self._budget, self._peers = parts, clock, budget, peers
        self._operator_path, self._operator = options.operator_path, options.operator
        self._loop = asyncio.get_running_loop()

    def begin(self) -> None:
        """Start to reload all files."""
        self._read_or_retry(self._reload_configuration, MAX_RETRIES)
        if self._operator_path is not None:
            self._read_or_retry(self._reload_operator_file, MAX_RETRIES)
        if self._peers is not None:
            self._read_or_retry(self._peers.read_secrets, MAX_RETRIES)

    def _read_or_retry(self, read: Callable[[], None], retries_left: int) -> None:
        """Call `read`, with the spare descriptor released; schedule a retry if no descriptor is left."""
        try:
            with self._parts.spare.released():
                read()
        except ConfigError as error:
            cause = error.__cause__
            if isinstance(cause, OSError) and cause.errno in EXHAUSTION_ERRNOS and retries_left:
                if retries_left == MAX_RETRIES:
                    self._parts.server.descriptors_exhausted("a file of the configuration")
                self._loop.call_later(RETRY_DELAY_S, self._read_or_retry, read, retries_left - 1)
            else:
                log.error("reload failed; keeping the previous configuration: %s", error)

    def _reload_configuration(self) -> None:
        discovery = config.reload(os.environ, self._clock).discovery
        log.info("configuration reloaded; discovery at %s:%d", discovery.host, discovery.port)
        self._parts.agent.set_discovery(discovery)

    def _reload_operator_file(self) -> None:
        from .operator.file import OperatorError, load, needs_restart

        assert self._operator_path is not None and self._operator is not None
        try:
            new = load(self._operator_path)
        except OperatorError as error:
            raise ConfigError(str(error)) from error.__cause__
        admission = new.admission.settings()
        check_reserve(admission, self._budget)
        later = needs_restart(self._operator, new)
        self._operator = new
        self._parts.admission.apply_settings(admission)
        log.info("operator file reloaded%s", f"; changes that need a restart: {', '.join(later)}" if later else "")
