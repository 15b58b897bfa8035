"""Asks core machines for other proxies that cannot reach them: once, directly, and few at a time. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import ClaimReply, Message, Relay, RelayReply, TokenReply

from .core_links import CoreLinks
from .counters import RelayCounters

MAX_RELAYS_IN_FLIGHT = 64
MAX_TIMEOUT_US = 300_000  # no request waits for longer
US_PER_MS = 1_000

SendReply = Callable[[Message], None]


class RelayServer:
    """One proxy's service to the others."""

    def __init__(self, core_links: CoreLinks, members: CoreMembers, counters: RelayCounters) -> None:
        """Begin with nothing in flight.

        Args:
            core_links: The direct way to core machines.
            members: The core machines that this proxy knows; no other address is asked.
            counters: Count what was relayed.
        """
        self._core_links, self._members, self._counters = core_links, members, counters
        self._in_flight = 0

    def relay(self, relay: Relay, send_reply: SendReply) -> None:
        """Ask the core machine, or reply at once that it is not asked."""
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
