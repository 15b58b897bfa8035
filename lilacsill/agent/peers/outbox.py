"""Packs records into datagrams: records for the member first, then gossip, then counts in the remaining space."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .datagram import MAX_RECORD_BYTES
from .gossip import Gossip
from .records import Record, encode


class Outbox:
    """Queues of records by destination member, in order."""

    def __init__(self, updates: Gossip, counts: Callable[[int], list[bytes]]) -> None:
        """Create an empty outbox.

        Args:
            updates: The gossip updates that fill the remaining space of datagrams.
            counts: Returns encoded rows of counts that fit into the given number of bytes.
        """
        self._updates, self._counts = updates, counts
        self._queued: dict[int, list[bytes]] = {}

    def send(self, member: int, record: Record) -> None:
        """Queue a record for a member."""
        self._queued.setdefault(member, []).append(encode(record))

    def pack(self) -> Iterable[tuple[int, list[bytes]]]:
        """Yield for each datagram its destination and its encoded records, until the queues are empty."""
        while self._queued:
            member, queued = next(iter(self._queued.items()))
            packed: list[bytes] = []
            free_bytes = MAX_RECORD_BYTES
            while queued and len(queued[0]) <= free_bytes:
                free_bytes -= len(queued[0])
                packed.append(queued.pop(0))
            if not queued:
                del self._queued[member]
                updates = self._updates.take(free_bytes)
                packed += updates + self._counts(free_bytes - sum(map(len, updates)))
            yield member, packed
