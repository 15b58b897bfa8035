"""Gossip: each update is piggybacked on a fixed number of datagrams, least often sent first (SWIM, section 4.1)."""

from __future__ import annotations

from collections.abc import Hashable
from math import ceil, log10

from .records import Record, encode

SENDS_PER_DIGIT = 4  # datagrams that carry an update, for each decimal digit of the number of agents
MAX_UPDATES = 4096
MIN_RECORD_BYTES = 24  # with less space left in a datagram, no further update is tried


class Gossip:
    """Encoded updates by subject; a newer update replaces an older one of the same subject."""

    def __init__(self, agents: int) -> None:
        self.sends = SENDS_PER_DIGIT * ceil(log10(agents + 1))  # datagrams that carry an update before it is dropped
        self._updates: dict[Hashable, tuple[int, bytes]] = {}  # times sent so far, and the encoded record

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, subject: Hashable, record: Record) -> None:
        """Spread a record, in place of the previous one of its subject."""
        self._updates.pop(subject, None)
        if len(self._updates) >= MAX_UPDATES:  # drop the update sent most often
            del self._updates[max(self._updates, key=lambda subject: self._updates[subject][0])]
        self._updates[subject] = (0, encode(record))

    def drop_subjects(self, *prefix: Hashable) -> None:
        """Drop the updates whose subject is a tuple that begins with `prefix`."""
        for subject in [key for key in self._updates if isinstance(key, tuple) and key[: len(prefix)] == prefix]:
            del self._updates[subject]

    def take(self, free_bytes: int) -> list[bytes]:
        """Return updates that fit into `free_bytes` together, and count each as sent once more."""
        taken: list[bytes] = []
        if not self._updates:
            return taken
        for subject, (sent, encoded) in sorted(self._updates.items(), key=lambda item: item[1][0]):
            if len(encoded) <= free_bytes:
                taken.append(encoded)
                free_bytes -= len(encoded)
                if sent + 1 >= self.sends:
                    del self._updates[subject]
                else:
                    self._updates[subject] = (sent + 1, encoded)
            if free_bytes < MIN_RECORD_BYTES:
                break
        return taken
