"""Packs records into datagrams: what is owed to a member first, and news in the room that is left."""
from __future__ import annotations

from collections.abc import Iterable

from .datagram import ROOM
from .gossip import Gossip
from .records import Record, encode


class Outbox:
    """Records by the member they are for, in the order in which they were queued."""

    def __init__(self, news: Gossip) -> None:
        self._news = news
        self._owed: dict[int, list[bytes]] = {}

    def send(self, to: int, record: Record) -> None:
        self._owed.setdefault(to, []).append(encode(record))

    def packed(self) -> Iterable[tuple[int, list[bytes]]]:
        """Member and encoded records that fit one datagram, until nothing is owed."""
        while self._owed:
            to, owed = next(iter(self._owed.items()))
            fits: list[bytes] = []
            room = ROOM
            while owed and len(owed[0]) <= room:
                room -= len(owed[0])
                fits.append(owed.pop(0))
            if not owed:
                del self._owed[to]
                fits += self._news.take(room)
            yield to, fits
