"""The guard of a link that another process has opened: its share of the memory, and whether it may be closed."""

from __future__ import annotations

from .link import Link
from .memory_budget import MemoryBudget
from .reactor import Reactor

MIN_COUNTED_BYTES = 16 * 1024  # links that hold less are not counted
# A link that has carried messages stays open so long without any; its peer may be about to send the next one.
MIN_IDLE_US = 10_000_000


class IncomingLink:
    """Implements `link.LinkGuard` and `connection_limit.LimitedConnection`."""

    def __init__(self, reactor: Reactor, budget: MemoryBudget, link: Link) -> None:
        """Start to guard a link."""
        self._reactor, self.link = reactor, link
        self._account = budget.open_account(self.evict)
        self._last_activity_at = reactor.now()
        link.guard = self

    @property
    def idle_since(self) -> int | None:
        """Since when the link has been idle, if it may be closed: one that has carried nothing is closed first."""
        if not self.link.has_received:
            return self._last_activity_at - MIN_IDLE_US
        is_idle = self._reactor.now() - self._last_activity_at > MIN_IDLE_US
        return self._last_activity_at if is_idle else None

    def evict(self) -> None:
        """Close the link, and report its end at once."""
        self.link.close()
        self.link.connection_lost()

    def on_activity(self) -> None:
        """Report what the link holds."""
        self._last_activity_at = now = self._reactor.now()
        used = self.link.buffered_bytes
        if used < MIN_COUNTED_BYTES:
            used = 0
        if used or self._account.used:
            self._account.update(used, now)

    def on_closed(self) -> None:
        """Release the account."""
        self._account.close()
