"""The memory and the connections that the listeners of a process may use, derived from its settings."""

from __future__ import annotations

import msgspec

from .memory_budget import MemoryBudget, budget_bytes
from .settings import Settings

RESERVED_DESCRIPTORS = 200  # the platform keeps them for files outside the data folder
MIN_SOCKETS = 64
# Shares of the sockets. The rest is for connections that the process opens itself.
CLIENT_SHARE = 0.375  # of a proxy
PROXY_LINK_SHARE = 0.375
CORE_LINK_SHARE = 0.75  # of a registry or a store, which have no clients
CONTROL_SHARE = 0.0625  # each control, readiness and metrics listener
DECODED_CALL_FACTOR = 32  # a call of many small values takes so many times its size while it is checked
DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS = 300, 4096


class ResourceLimits(msgspec.Struct, frozen=True):
    """What the listeners of one process may use.

    Attributes:
        memory: The budget that all connections share.
        clients: Maximum number of connections of clients.
        links: Maximum number of links that other processes open.
        callers: Maximum number of connections to each control, readiness or metrics listener.
    """

    memory: MemoryBudget
    clients: int
    links: int
    callers: int


def resource_limits(memory_mb: int, descriptors: int, link_share: float) -> ResourceLimits:
    """Return the limits of a process with so much memory and so many descriptors."""
    sockets = max(MIN_SOCKETS, descriptors - RESERVED_DESCRIPTORS)
    return ResourceLimits(
        memory=MemoryBudget(budget_bytes(memory_mb)),
        clients=int(sockets * CLIENT_SHARE),
        links=int(sockets * link_share),
        callers=int(sockets * CONTROL_SHARE),
    )


def limits_of_proxy(settings: Settings) -> ResourceLimits:
    """Return the limits of a proxy process."""
    return resource_limits(settings.max_memory_mb, settings.max_open_files, PROXY_LINK_SHARE)


def limits_of_core(settings: Settings) -> ResourceLimits:
    """Return the limits of a registry or a store process."""
    return resource_limits(settings.max_memory_mb, settings.max_open_files, CORE_LINK_SHARE)


def max_call_bytes(settings: Settings) -> int:
    """Return the maximum size of an operator's call, for a core machine with these settings."""
    return budget_bytes(settings.max_memory_mb) // DECODED_CALL_FACTOR


def default_limits() -> ResourceLimits:
    """Return the limits of a process whose settings name none."""
    return resource_limits(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS, PROXY_LINK_SHARE)
