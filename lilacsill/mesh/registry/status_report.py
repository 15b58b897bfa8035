"""The status report of a registry for operators (`python -m lilacsill.mesh.registry status`)."""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Endpoint

from .core_hosts import CoreHosts
from .directory import Directory, Entry
from .gossip_client import DirectoryPosition, GossipClient
from .local_config import LocalConfig


class EntryStatus(msgspec.Struct):
    """One entry of the directory."""

    endpoint: Endpoint | None  # None: the node was removed
    heard_ms: int  # time since any registry heard from the proxy
    reporters: list[str]  # nodes that reported the proxy as unreachable


class RegistryStatus(msgspec.Struct):
    """The status report."""

    incarnation: int  # of the directory
    directory_version: int
    config_seq: int  # sequence number of the local copy of the configuration
    sure: bool  # the local copy is known to be the configuration in force
    unsure_reason: str = msgspec.field(name="why_unsure")  # all programs use this key in their status
    age_ms: int | None  # age of the newest freshness proof; None: no proof was received
    core_hosts: list[str]
    registry_versions: dict[str, DirectoryPosition]  # by host: position in the directory of each other registry
    endpoints: list[EntryStatus]
    log: list[str]


def status_report(
    directory: Directory, config: LocalConfig, core_hosts: CoreHosts, gossip_client: GossipClient, now: int
) -> RegistryStatus:
    """Return the current status."""
    return RegistryStatus(
        incarnation=directory.incarnation,
        directory_version=directory.version,
        config_seq=config.cache.seq,
        sure=config.is_current,
        unsure_reason=config.freshness.stale_reason(now),
        age_ms=config.freshness.age_ms(now),
        core_hosts=sorted(core_hosts.all),
        registry_versions=gossip_client.positions,
        endpoints=[_entry_status(entry, now) for entry in directory.entries.values()],
        log=log.tail(),
    )


def _entry_status(entry: Entry, now: int) -> EntryStatus:
    return EntryStatus(
        endpoint=entry.endpoint, heard_ms=(now - entry.last_heard_at) // 1000, reporters=sorted(entry.reports)
    )
