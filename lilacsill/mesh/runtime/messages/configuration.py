"""Messages about the configuration: calls that registries pass to the store, and what registries follow."""

from __future__ import annotations

import msgspec

from ..records import Freshness, Item
from .base import Message


class Patch(Message):
    """An operator's change."""

    body: bytes  # JSON
    hops: int  # how often it was forwarded


class Read(Message):
    """An operator's read of the complete configuration."""

    hops: int


class Reply(Message):
    """The answer to `Patch` and `Read`."""

    status: int  # of HTTP
    body: bytes  # JSON


class Follow(Message):
    """A registry asks a member of the store for newer items of the configuration (a long poll)."""

    seq: int
    wait_ms: int
    hops: int


class ConfigUpdate(msgspec.Struct, array_like=True, gc=False):
    """What the configuration in force has beyond the requested sequence number."""

    seq: int  # of its last change
    items: list[Item]
    freshness: Freshness


class FollowReply(Message):
    """The answer to `Follow`."""

    update: ConfigUpdate | None  # None: no holder of a read lease was reached
    core_addresses: list[str]  # control addresses of all core machines known


class Status(Message):
    """An operator asks a process for its status (`python -m lilacsill.mesh.store status`)."""


class StatusReply(Message):
    """The status of a process."""

    text: bytes  # JSON
