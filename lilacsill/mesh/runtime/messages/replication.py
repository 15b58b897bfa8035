"""Messages from one member of the chain to its successor, and back."""

from __future__ import annotations

from ..records import Item
from .base import Message


class SummaryRequest(Message):
    """Request a summary of what the successor has."""

    view_number: int
    to_learner: bool = False  # a machine that lost its disk must not answer in the place that it had before


class Summary(Message):
    """A summary of what the successor has."""

    complete: bool
    seq: int
    digests: list[int]  # of the ranges of names, see `lilacsill.mesh.store.digests`


class Replicate(Message):
    """Items for the successor, which are complete up to `seq` with the last message.

    A repair comes in several messages. Each replaces all that the successor has in `ranges`.
    """

    view_number: int
    seq: int
    items: list[Item]
    is_repair: bool
    ranges: list[int]
    last: bool
    tombstone_floor: int = 0  # tombstones up to this sequence number are collected
    to_learner: bool = False  # the answer of a learner acknowledges nothing


class ReplicateReply(Message):
    """All members from the sender to the tail have everything up to `seq` on disk."""

    ok: bool
    seq: int
