"""Messages about which endpoints exist: between proxies and registries, among registries, and among proxies."""

from __future__ import annotations

from ..records import Endpoint, Freshness, Item, Suspect, SuspicionReport
from .base import Message


class Poll(Message):
    """A proxy asks a registry for everything that is newer than what it has (a long poll)."""

    endpoint: Endpoint  # the proxy's own record
    registry_incarnation: int  # of this registry, from its last reply
    directory_version: int  # of this registry's directory that the proxy has
    config_seq: int  # sequence number of the configuration that the proxy has; -1: it wants no items
    newest_seq: int  # highest sequence number that the proxy knows to exist
    wait_ms: int  # how long the registry may wait for something new
    suspects: list[Suspect]


class PollReply(Message):
    """What is newer than what the proxy has."""

    registry_incarnation: int
    directory_version: int
    endpoints: list[Endpoint]
    removed: list[str]  # nodes
    config_seq: int  # with `items` the configuration is complete up to this number
    items: list[Item]  # a bounded part of what is missing
    newest_seq: int  # of the configuration at this registry
    freshness: Freshness | None  # of `newest_seq` as the state in force; None: this registry has no current proof
    registry_addresses: list[str]  # of all registries


class Ping(Message):
    """Liveness check between proxies that monitor each other."""


class IndirectPing(Message):
    """Ask a neighbour to ping a third proxy (SWIM's ping-req)."""

    address: str


class IndirectPingReply(Message):
    """Whether the third proxy answered the neighbour."""

    reachable: bool


class Gossip(Message):
    """A registry asks another one for newer entries of its directory (a long poll)."""

    registry_incarnation: int
    directory_version: int
    wait_ms: int


class GossipReply(Message):
    """Changed entries, and which nodes that registry has heard from directly of late."""

    registry_incarnation: int
    directory_version: int
    endpoints: list[Endpoint]
    alive: list[str]  # nodes
    suspects: list[SuspicionReport]  # that were made to that registry itself
