"""Reload on SIGHUP: the configuration, the operator file and the secrets between agents are read again."""

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
from .descriptors import EXHAUSTED

if TYPE_CHECKING:
    from .peers.channel import Channel

log = logging.getLogger("lilacsill")

# Where no descriptor is left to read a file with: the delay before another attempt, and how many there are.
RETRY_DELAY_S, MAX_RETRIES = 0.1, 30


class Reload:
    """Reads the files again and applies what they say.

    A file that cannot be used is one line in the log and changes nothing; the other files are applied all the same.
    """

    def __init__(
        self, parts: Parts, clock: Clock, options: Options, budget: DescriptorBudget, peers: Channel | None = None
    ) -> None:
        self._parts, self._clock, self._budget, self._peers = parts, clock, budget, peers
        self._operator_path, self._operator = options.operator_path, options.operator
        self._loop = asyncio.get_running_loop()

    def begin(self) -> None:
        """Read all files again."""
        self._try(self._reload_configuration, MAX_RETRIES)
        if self._operator_path is not None:
            self._try(self._reload_operator_file, MAX_RETRIES)
        if self._peers is not None:
            self._try(self._peers.read_secrets, MAX_RETRIES)

    def _try(self, read: Callable[[], None], retries_left: int) -> None:
        """Read a file, on the spare descriptor if need be, and retry later where there is none left at all."""
        try:
            with self._parts.spare.released():
                read()
        except ConfigError as error:
            cause = error.__cause__
            if isinstance(cause, OSError) and cause.errno in EXHAUSTED and retries_left:
                if retries_left == MAX_RETRIES:
                    self._parts.server.descriptors_exhausted("a file of the configuration")
                self._loop.call_later(RETRY_DELAY_S, self._try, read, retries_left - 1)
            else:
                log.error("the old configuration stays: %s", error)

    def _reload_configuration(self) -> None:
        discovery = config.reload(os.environ, self._clock).discovery
        log.info("configuration read again; discovery at %s:%d", discovery.host, discovery.port)
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
        log.info("operator file read again%s", f"; a restart is needed for {', '.join(later)}" if later else "")
