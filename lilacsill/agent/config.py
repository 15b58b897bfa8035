"""RELAY_CONFIG as typed values."""

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
    """The configuration is missing or wrong; the text says what, in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors this process may hold
    memory_mb: float  # it may use
    known: Listing
    parser: ListingParser
    settings: Settings
    connect_timeout_us: int
    conn_idle_us: int
    admin: Address | None = None  # where operators call; None: nowhere
    listen_fd: int | None = None  # the clients' listener, inherited; None: one of its own
    peers_allowed: bool = False  # the platform lets agents send each other datagrams
    peer_listen: Address | None = None  # where they come
    peers: tuple[Address, ...] = ()  # of all agents, this one among them, in the order of their numbers


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file that RELAY_CONFIG names."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        doc = json.loads(Path(path).read_text())
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from e
    except ValueError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from None
    try:
        return _config(doc, env, clock)
    except KeyError as e:
        raise ConfigError(f"RELAY_CONFIG: {e} is missing") from None
    except (TypeError, AttributeError, ValueError, OverflowError, SettingsError) as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from None


def load_again(env: Mapping[str, str], clock: Clock) -> Config:
    """Read it anew while running. RELAY_DISCOVERY is as old as the process: now the file's address counts."""
    return load({k: v for k, v in env.items() if k != "RELAY_DISCOVERY"}, clock)


def _config(doc: dict[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    facts = doc["settings"]
    allowed = facts["allowed"]
    admin = env.get("RELAY_ADMIN_ADDR") or doc.get("admin_addr")
    parser = ListingParser(clock, tuple(facts.get("localities") or ()), tuple(facts.get("skus") or ()))
    return Config(
        name=str(doc.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or doc["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or doc["discovery"]),
        seed=int(doc["seed"], 16),
        sockets=int((doc.get("limits") or {}).get("sockets") or 1024),
        memory_mb=float((doc.get("limits") or {}).get("memory_mb") or 192),
        known=parser.parse(doc["known"]),
        parser=parser,
        # The module's own words between balancers are not carried: `lilacsill.agent.peers` talks for the agent.
        settings=replace(parse_settings(facts), can_message_peers=False),
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        conn_idle_us=int(allowed["connIdleUs"]),
        admin=parse_address(admin) if admin else None,
        listen_fd=int(env["RELAY_LISTEN_FD"]) if env.get("RELAY_LISTEN_FD") else None,
        peers_allowed=bool(allowed.get("peers")),
        peer_listen=parse_address(doc["peer_listen"]) if doc.get("peer_listen") else None,
        peers=tuple(map(parse_address, doc.get("peers") or ())),
    )
