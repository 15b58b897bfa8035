"""Sends requests to core machines on behalf of proxies that cannot reach them. No I/O.

Each request is sent once and directly. The number in flight is limited.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import ClaimReply, Message, Relay, RelayReply, TokenReply

from .core_links import CoreLinks
from .counters import RelayCounters

MAX_RELAYS_IN_FLIGHT = 64
MAX_TIMEOUT_US = 300_000  # no client request waits longer than this
US_PER_MS = 1_000

SendReply = Callable[[Message], None]


class RelayServer:
    """Relays the requests of other proxies at this proxy."""

    def __init__(self, core_links: CoreLinks, members: CoreMembers, counters: RelayCounters) -> None:
        """Start with no requests in flight.

        Args:
            core_links: Direct links to core machines.
            members: The core machines known to this proxy; requests to other addresses are refused.
            counters: Counters of relayed requests.
        """
        self._core_links, self._members, self._counters = core_links, members, counters
        self._in_flight = 0

    def relay(self, relay: Relay, send_reply: SendReply) -> None:
        """Send the request to the core machine, or reply at once that it was not sent."""
        if not self._may_send(relay.address):
            self._counters.refused += 1
            send_reply(RelayReply(False, None))
            return
        self._counters.served += 1
        self._in_flight += 1
        timeout_us = min(max(1, relay.timeout_ms) * US_PER_MS, MAX_TIMEOUT_US)
        self._core_links.ask(relay.address, relay.request, timeout_us, partial(self._on_reply, send_reply))

    def _may_send(self, address: str) -> bool:
        if self._in_flight >= MAX_RELAYS_IN_FLIGHT or not self._members.is_core_address(address):
            return False
        self._core_links.probe(address)
        return self._core_links.reachability.is_reachable(address)

    def _on_reply(self, send_reply: SendReply, reply: Message | None) -> None:
        self._in_flight -= 1
        send_reply(RelayReply(True, reply if isinstance(reply, TokenReply | ClaimReply) else None))
