"""The channel of one agent: its fleet's decisions, the socket, and the feed to and from the agent."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from lilacsill.address import Address
from lilacsill.clock import Clock

from ..agent import Agent
from ..config import Config, ConfigError
from ..operator.sections import PeersSection
from .datagram import fleet_id
from .feed import Feed
from .fleet import Fleet, Settings
from .records import MOST_AGENTS
from .shell import Shell

log = logging.getLogger(__name__)

SECRET_LEAST = 16  # bytes


class Channel:
    """Raises ConfigError where the configuration or the file of secrets cannot be used."""

    def __init__(self, config: Config, section: PeersSection, clock: Clock, agent: Agent, life: int = 0) -> None:
        """`life`: one that is greater than all earlier ones, where they are remembered; 0: the wall clock's."""
        self._section, self._clock = section, clock
        listen = check(config)
        settings = Settings(
            me=config.settings.balancer_index,
            agents=len(config.peers),
            told=config.settings.balancer_count,
            fleet=fleet_id(section.fleet),
            secrets=secrets(section.secrets_file),
            period_us=section.period_ms * 1000,
            lease_us=section.lease_ms * 1000,
            seed=config.seed,
        )
        self.fleet = Fleet(settings, clock.now(), life or time.time_ns() // 1_000_000)
        self._feed = Feed(
            clock, self.fleet, config.settings.zone, config.settings.warm_up_us, agent.fleet_changed, agent.estimates
        )
        agent.add_observer(self._feed)
        self._shell = Shell(clock, self.fleet, listen, config.peers, self._changed)
        self._feed.wake = self._shell.wake
        if section.records or section.metrics:
            from .telling import Telling

            self.fleet.notes.listener = Telling(section, config.name, clock, self.fleet).note

    def start(self) -> None:
        """Raises OSError."""
        self._shell.start()
        self._changed()
        log.info(
            "talks with %d other agents, number %d, life %d",
            self.fleet.settings.agents - 1,
            self.fleet.settings.me,
            self.fleet.life,
        )

    def stop(self) -> None:
        self._shell.stop()
        self._changed()

    def read_secrets(self) -> None:
        """Again, for SIGHUP. Raises ConfigError; the old ones stay then."""
        new = secrets(self._section.secrets_file)
        if new != self.fleet.gate.secrets:
            self.fleet.gate.secrets = new
            log.info("secrets between agents read again: %d", len(new))

    def describe(self) -> Mapping[str, Any]:
        return {"open": self._shell.open, "unsent": self._shell.unsent, **self.fleet.describe(self._clock.now())}

    def notes(self) -> Mapping[str, Any]:
        now = self._clock.now()
        return {
            "notes": [
                {"ago_s": round((now - n.at) / 1e6, 3), "kind": n.kind, "cause": list(n.cause), **n.facts}
                for n in self.fleet.notes.kept
            ]
        }

    def _changed(self) -> None:
        self._feed.takes_part = self._shell.open
        self._feed.changed()


def check(config: Config) -> Address:
    """Where datagrams come. Raises ConfigError, naming file, key and bound."""
    if config.peer_listen is None:
        raise ConfigError("RELAY_CONFIG: peer_listen: missing, and [peers] is enabled")
    if not 1 <= len(config.peers) <= MOST_AGENTS:
        raise ConfigError(f"RELAY_CONFIG: peers: {len(config.peers)} addresses, 1 to {MOST_AGENTS} are allowed")
    if config.settings.balancer_index >= len(config.peers):
        raise ConfigError(
            f"RELAY_CONFIG: settings.me: {config.settings.balancer_index} is not among the {len(config.peers)} "
            "addresses of peers, which count from 0"
        )
    if len(set(config.peers)) < len(config.peers):
        raise ConfigError("RELAY_CONFIG: peers: an address stands there twice, so that two agents would be one")
    return config.peer_listen


def secrets(path: str) -> tuple[bytes, ...]:
    """The lines of the file, first the one that signs; none for no path. Raises ConfigError."""
    if not path:
        return ()
    try:
        lines = tuple(line for line in Path(path).read_bytes().split() if line)
        mode = os.stat(path).st_mode
    except OSError as e:
        raise ConfigError(f"[peers] secrets_file: {path}: {e.strerror}") from e
    if not lines:
        raise ConfigError(f"[peers] secrets_file: {path}: no secret in it")
    for number, line in enumerate(lines, 1):
        if len(line) < SECRET_LEAST:
            raise ConfigError(
                f"[peers] secrets_file: {path}: line {number}: {len(line)} bytes, at least {SECRET_LEAST}"
            )
    if mode & 0o077:
        log.warning("[peers] secrets_file: %s can be read by others", path)
    return lines
