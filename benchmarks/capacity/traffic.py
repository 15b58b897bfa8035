"""Counts what the links of this process carry."""

from __future__ import annotations

from collections import Counter

import lilacsill.mesh.proxy.offer_server
import lilacsill.mesh.runtime.link
import lilacsill.mesh.runtime.rpc
from lilacsill.net.stream import Stream
from lilacsill.mesh.runtime.link import Link
from lilacsill.mesh.runtime.messages import Message

BYTES: Counter[str] = Counter()  # sent, received
SENT: Counter[str] = Counter()  # messages, by type


class CountingStream(Stream):
    """Counts bytes on their way out."""

    __slots__ = ()

    def send(self, data: bytes) -> None:
        BYTES["sent"] += len(data)
        super().send(data)


class CountingLink(Link):
    """Counts messages on their way out and bytes on their way in."""

    __slots__ = ()

    def send(self, message: Message, number: int = 0) -> int:
        SENT[type(message).__name__] += 1
        return super().send(message, number)

    def data_received(self, data: bytes) -> None:
        BYTES["received"] += len(data)
        super().data_received(data)


def count() -> None:
    """All links that this process opens or accepts from now on are counted."""
    for module in (lilacsill.mesh.runtime.rpc, lilacsill.mesh.proxy.offer_server):
        module.Link = CountingLink  # type: ignore[attr-defined]
    lilacsill.mesh.runtime.link.Stream = CountingStream  # type: ignore[attr-defined]
