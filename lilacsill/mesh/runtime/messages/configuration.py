"""Messages about the configuration: operators' calls, which registries forward to the store, and updates."""

from __future__ import annotations

import msgspec

from ..records import Freshness, Item
from .base import Message


class CallOrigin(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Identifies a call at the registry that received it from its caller."""

    registry: str  # address of the registry
    number: int  # unique among all calls of the registry, also of earlier runs


class Patch(Message):
    """An operator's change of the configuration."""

    body: bytes  # JSON
    hops: int  # number of times that the request was forwarded
    origin: CallOrigin | None = None  # None: from a sender that cannot be asked whether the caller still waits


class CallerCheck(Message):
    """Question to a registry: does the caller still wait for the response to a call?"""

    number: int  # of the `CallOrigin`


class CallerCheckReply(Message):
    """The reply to `CallerCheck`."""

    is_waiting: bool


class Read(Message):
    """An operator's read of the complete configuration."""

    hops: int


class Reply(Message):
    """The reply to `Patch` and `Read`."""

    status: int  # HTTP status
    body: bytes  # JSON


class Follow(Message):
    """A registry's long poll of a store member for newer items of the configuration."""

    seq: int
    wait_ms: int
    hops: int


class ConfigUpdate(msgspec.Struct, array_like=True, gc=False):
    """The changes of the configuration in force after the requested sequence number."""

    seq: int  # after applying `items`, the receiver is complete up to this sequence number
    items: list[Item]
    freshness: Freshness


class FollowReply(Message):
    """The reply to `Follow`."""

    update: ConfigUpdate | None  # None: no reply from a member that holds a read lease
    core_addresses: list[str]  # control addresses of all known core machines


class Status(Message):
    """An operator's request for the status of a process (`python -m lilacsill.mesh.store status`)."""


class StatusReply(Message):
    """The status of a process."""

    text: bytes  # JSON
