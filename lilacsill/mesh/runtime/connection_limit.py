"""Makes room for a new connection at a listener that has as many as it may have."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol


class LimitedConnection(Protocol):
    """A connection that may be closed in favor of another."""

    @property
    def idle_since(self) -> int | None:
        """Since when only the peer could go on, in microseconds of the reactor's clock; None: it must stay open."""

    def evict(self) -> None:
        """Close the connection at once, and free what it holds."""


def make_room(connections: Collection[LimitedConnection], maximum: int) -> bool:
    """Return whether one more connection may be accepted.

    If there are `maximum` already, the one whose peer has been idle for longest is closed. There is no room if all of
    them are at work.
    """
    if len(connections) < maximum:
        return True
    longest_idle: LimitedConnection | None = None
    oldest = 0
    for connection in connections:
        idle_since = connection.idle_since
        if idle_since is not None and (longest_idle is None or idle_since < oldest):
            longest_idle, oldest = connection, idle_since
    if longest_idle is None:
        return False
    longest_idle.evict()
    return True
