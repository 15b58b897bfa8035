"""Messages between a member of the chain and its successor."""

from __future__ import annotations

from ..records import Item
from .base import Message


class SummaryRequest(Message):
    """Request for a summary of the successor's items."""

    view_number: int
    to_learner: bool = False  # True: to a learner; a machine that lost its disk must not reply as the former member


class Summary(Message):
    """The reply to `SummaryRequest`: a summary of the successor's items."""

    complete: bool
    seq: int
    digests: list[int]  # one digest per range of names (`lilacsill.mesh.store.digests`)


class Replicate(Message):
    """Items for the successor, which is complete up to `seq` after the last message.

    A repair consists of several messages. Each replaces all items of the successor in `ranges`.
    """

    view_number: int
    seq: int
    items: list[Item]
    is_repair: bool
    ranges: list[int]
    last: bool
    tombstone_floor: int = 0  # tombstones up to this sequence number are collected
    to_learner: bool = False  # the reply of a learner does not acknowledge the changes


class ReplicateReply(Message):
    """The reply to `Replicate`: all members from the sender to the tail have the changes up to `seq` on disk."""

    ok: bool
    seq: int
