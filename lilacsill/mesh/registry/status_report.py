"""The status of a registry as operators see it (`python -m lilacsill.mesh.registry status`)."""

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

    endpoint: Endpoint | None  # None: it was removed
    heard_ms: int  # since any registry heard from its proxy
    reporters: list[str]  # nodes that report that they cannot reach it


class RegistryStatus(msgspec.Struct):
    """The whole report."""

    incarnation: int  # of the directory
    directory_version: int
    config_seq: int  # of the local copy of the configuration
    sure: bool  # the local copy is the configuration in force
    unsure_reason: str = msgspec.field(name="why_unsure")  # the key is the same in the status of all programs
    age_ms: int | None  # of the newest proof; None: there never was one
    core_hosts: list[str]
    registry_versions: dict[str, DirectoryPosition]  # by host: what is known of the directories of other registries
    endpoints: list[EntryStatus]
    log: list[str]


def status_report(
    directory: Directory, config: LocalConfig, core_hosts: CoreHosts, gossip_client: GossipClient, now: int
) -> RegistryStatus:
    """Return the status as of now."""
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
