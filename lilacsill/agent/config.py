"""Parses the platform's configuration, the file that RELAY_CONFIG names, into typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from lilacsill.address import Address, parse_address
from lilacsill.balancing.interface import Settings
from lilacsill.balancing.settings_parser import SettingsError, parse_settings
from lilacsill.clock import Clock

from .discovery.listing import Listing, ListingParser


class ConfigError(Exception):
    """The configuration is missing or invalid; the message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one agent."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # of all random number generators
    sockets: int  # maximum number of file descriptors
    memory_mb: float  # memory limit
    known: Listing  # the initial list of backends
    parser: ListingParser
    settings: Settings
    connect_timeout_us: int
    conn_idle_us: int  # after which a backend closes an idle connection
    admin: Address | None = None  # of the admin API; None: disabled
    listen_fd: int | None = None  # inherited client listener; None: the agent opens `listen`
    peers_allowed: bool = False  # whether agents may exchange datagrams
    peer_listen: Address | None = None  # local address for datagrams of other agents
    peers: tuple[Address, ...] = ()  # addresses of all agents, including this one, by agent number


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Load the file that RELAY_CONFIG names.

    Raises:
        ConfigError: The file is missing or invalid.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        doc = json.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from error
    except ValueError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    try:
        return _parse_config(doc, env, clock)
    except KeyError as error:
        raise ConfigError(f"RELAY_CONFIG: {error} is missing") from None
    except (TypeError, AttributeError, ValueError, OverflowError, SettingsError) as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None


def reload(env: Mapping[str, str], clock: Clock) -> Config:
    """Load the file again while the agent runs.

    RELAY_DISCOVERY is ignored, since its value dates from the start of the process; the address in the file is used.

    Raises:
        ConfigError: The file is missing or invalid.
    """
    return load({name: value for name, value in env.items() if name != "RELAY_DISCOVERY"}, clock)


def _parse_config(doc: dict[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    settings = doc["settings"]
    allowed = settings["allowed"]
    admin = env.get("RELAY_ADMIN_ADDR") or doc.get("admin_addr")
    parser = ListingParser(clock, tuple(settings.get("localities") or ()), tuple(settings.get("skus") or ()))
    return Config(
        name=str(doc.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or doc["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or doc["discovery"]),
        seed=int(doc["seed"], 16),
        sockets=int((doc.get("limits") or {}).get("sockets") or 1024),
        memory_mb=float((doc.get("limits") or {}).get("memory_mb") or 192),
        known=parser.parse(doc["known"]),
        parser=parser,
        # The agent does not transport messages of the decision module to other balancers; `lilacsill.agent.peers`
        # exchanges the agents' reports instead.
        settings=replace(parse_settings(settings), can_message_peers=False),
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        conn_idle_us=int(allowed["connIdleUs"]),
        admin=parse_address(admin) if admin else None,
        listen_fd=int(env["RELAY_LISTEN_FD"]) if env.get("RELAY_LISTEN_FD") else None,
        peers_allowed=bool(allowed.get("peers")),
        peer_listen=parse_address(doc["peer_listen"]) if doc.get("peer_listen") else None,
        peers=tuple(map(parse_address, doc.get("peers") or ())),
    )
