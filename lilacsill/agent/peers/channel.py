"""The channel of one agent to the others: the fleet's logic, the UDP socket and the bridge to the agent."""

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
from .agent_bridge import AgentBridge
from .datagram import fleet_id
from .fleet import Fleet, FleetSettings
from .records import MAX_AGENTS
from .transport import UdpTransport

log = logging.getLogger(__name__)

MIN_SECRET_BYTES = 16


class Channel:
    """The channel to other agents.

    Raises:
        ConfigError: The configuration or the secrets file is invalid (raised at construction).
    """

    def __init__(self, config: Config, section: PeersSection, clock: Clock, agent: Agent, incarnation: int = 0) -> None:
        """Create the channel.

        Args:
            config: The configuration of the agent.
            section: The section of the operator file.
            clock: The agent's clock.
            agent: The agent.
            incarnation: A number greater than that of all earlier processes, where the state is saved; 0: derive it
                from the wall clock.
        """
        self._section, self._clock = section, clock
        listen = check_peers(config)
        settings = FleetSettings(
            own_number=config.settings.balancer_index,
            agents=len(config.peers),
            configured_agents=config.settings.balancer_count,
            fleet=fleet_id(section.fleet),
            secrets=load_secrets(section.secrets_file),
            period_us=section.period_ms * 1000,
            lease_us=section.lease_ms * 1000,
            seed=config.seed,
        )
        self.fleet = Fleet(settings, clock.now(), incarnation or time.time_ns() // 1_000_000)
        self._bridge = AgentBridge(
            clock, self.fleet, config.settings.zone, config.settings.warm_up_us, agent.fleet_changed, agent.estimates
        )
        agent.add_observer(self._bridge)
        self._transport = UdpTransport(clock, self.fleet, listen, config.peers, self._on_event)
        self._bridge.wake = self._transport.wake
        if section.records or section.metrics:
            from .event_export import EventExport

            self.fleet.events.listener = EventExport(section, config.name, clock, self.fleet).add

    def start(self) -> None:
        """Join the fleet.

        Raises:
            OSError: The address cannot be bound, for another reason than its use by another process.
        """
        self._transport.start()
        self._on_event()
        log.info(
            "started the channel between agents: %d other agents, own number %d, incarnation %d",
            self.fleet.settings.agents - 1,
            self.fleet.settings.own_number,
            self.fleet.incarnation,
        )

    def stop(self) -> None:
        """Announce to other agents that this process ends, and close the socket."""
        self._transport.stop()
        self._on_event()

    def read_secrets(self) -> None:
        """Reload the secrets file.

        Raises:
            ConfigError: The file is invalid; the old secrets stay in use.
        """
        secrets = load_secrets(self._section.secrets_file)
        if secrets != self.fleet.codec.secrets:
            self.fleet.codec.secrets = secrets
            log.info("reloaded the secrets for datagrams between agents: %d secrets", len(secrets))

    def describe(self) -> Mapping[str, Any]:
        """Return the response of the admin API to `peers`."""
        return {
            "open": self._transport.is_open,
            "unsent": self._transport.unsent,
            **self.fleet.describe(self._clock.now()),
        }

    def notes(self) -> Mapping[str, Any]:
        """Return the response of the admin API to `notes`: the newest events."""
        now = self._clock.now()
        return {
            "notes": [
                {
                    "ago_s": round((now - event.at) / 1e6, 3),
                    "kind": event.kind.value,
                    "cause": list(event.cause),
                    **event.facts,
                }
                for event in self.fleet.events.events
            ]
        }

    def _on_event(self) -> None:
        self._bridge.is_channel_open = self._transport.is_open
        self._bridge.on_fleet_event()


def check_peers(config: Config) -> Address:
    """Check the configuration of the channel; return the address to receive on.

    Raises:
        ConfigError: The configuration is invalid; the text names file, key and bound.
    """
    if config.peer_listen is None:
        raise ConfigError("RELAY_CONFIG: peer_listen: missing, but required since [peers] is enabled")
    if not 1 <= len(config.peers) <= MAX_AGENTS:
        raise ConfigError(f"RELAY_CONFIG: peers: {len(config.peers)} addresses, 1 to {MAX_AGENTS} are allowed")
    if config.settings.balancer_index >= len(config.peers):
        raise ConfigError(
            f"RELAY_CONFIG: settings.me: {config.settings.balancer_index} is not among the {len(config.peers)} "
            "addresses of peers, which count from 0"
        )
    if len(set(config.peers)) < len(config.peers):
        raise ConfigError("RELAY_CONFIG: peers: an address is listed twice; each agent needs its own")
    return config.peer_listen


def load_secrets(path: str) -> tuple[bytes, ...]:
    """Return the secrets of a file, one a line: the first one signs, all are accepted; none for an empty path.

    Raises:
        ConfigError: The file cannot be read, or a secret is too short.
    """
    if not path:
        return ()
    try:
        lines = tuple(line for line in Path(path).read_bytes().split() if line)
        mode = os.stat(path).st_mode
    except OSError as error:
        raise ConfigError(f"[peers] secrets_file: {path}: {error.strerror}") from error
    if not lines:
        raise ConfigError(f"[peers] secrets_file: {path}: the file contains no secret")
    for number, line in enumerate(lines, 1):
        if len(line) < MIN_SECRET_BYTES:
            raise ConfigError(
                f"[peers] secrets_file: {path}: line {number}: the secret has {len(line)} bytes, at least "
                f"{MIN_SECRET_BYTES} are required"
            )
    if mode & 0o077:
        log.warning("[peers] secrets_file: %s is accessible to its group or to other users", path)
    return lines
