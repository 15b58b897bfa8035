"""Messages for discovery and failure detection: of proxies with registries, among registries and among proxies."""

from __future__ import annotations

from ..records import Endpoint, Freshness, Item, Suspect, SuspicionReport
from .base import Message


class Poll(Message):
    """A proxy's long poll of a registry for updates of the directory and the configuration."""

    endpoint: Endpoint  # the proxy's own record
    registry_incarnation: int  # of the polled registry, from its last reply
    directory_version: int  # up to which the proxy has the directory of the polled registry
    config_seq: int  # sequence number of the proxy's configuration; -1: the registry must not send items
    newest_seq: int  # highest sequence number of the configuration known to the proxy
    wait_ms: int  # maximum time for which the registry may hold the request
    suspects: list[Suspect]


class PollReply(Message):
    """The reply to `Poll`: the updates that the proxy lacks."""

    registry_incarnation: int
    directory_version: int
    endpoints: list[Endpoint]
    removed: list[str]  # names of removed nodes
    config_seq: int  # after applying `items`, the proxy's configuration is complete up to this sequence number
    items: list[Item]  # a bounded part of the items that the proxy lacks
    newest_seq: int  # sequence number of the configuration at this registry
    freshness: Freshness | None  # of the proof that `newest_seq` is in force; None: the registry has no current proof
    registry_addresses: list[str]  # of all registries


class Ping(Message):
    """A liveness check between proxies that monitor each other."""


class IndirectPing(Message):
    """Request to a neighbour to ping a third proxy (SWIM's ping-req)."""

    address: str


class IndirectPingReply(Message):
    """The reply to `IndirectPing`: whether the third proxy replied to the neighbour."""

    reachable: bool


class Gossip(Message):
    """A registry's long poll of another registry for changes of its directory."""

    registry_incarnation: int
    directory_version: int
    wait_ms: int


class GossipReply(Message):
    """The reply to `Gossip`: changed entries, recently contacted nodes, and reports of unreachable nodes."""

    registry_incarnation: int
    directory_version: int
    endpoints: list[Endpoint]
    alive: list[str]  # names of the nodes that the replying registry heard from recently
    suspects: list[SuspicionReport]  # received by the replying registry from the reporters themselves
