"""The way of a proxy's questions to core machines: direct, or through another proxy. No I/O.

A question that may have been sent is never sent again here: those who ask have rules of their own for that. Only one
that a relay states not to have sent goes through the next.
"""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import Environment, OnReply
from lilacsill.mesh.runtime.messages import Claim, Message, Relay, RelayReply, TokenRequest

from .core_links import CoreLinks
from .counters import RelayCounters
from .relay_selector import RelaySelector

RELAYED_TIMEOUT_US = 100_000  # for an answer through other proxies, however many are asked
RELAY_MARGIN_US = 10_000  # a relay stops to wait so much earlier, so that its own answer comes in time
MIN_TIMEOUT_US = 2 * RELAY_MARGIN_US  # with less time left no relay is asked
MAX_RELAYS = 3  # that are asked for one question
US_PER_MS = 1_000


class RelayedLinks:
    """The links of a process, as quotas and operations use them."""

    def __init__(
        self, environment: Environment, core_links: CoreLinks, selector: RelaySelector, counters: RelayCounters
    ) -> None:
        """Begin with the direct way to all core machines.

        Args:
            environment: Clock, timers and links.
            core_links: The direct way.
            selector: Chooses the relays.
            counters: Count what was relayed.
        """
        self.now, self.after, self.call_soon = environment.now, environment.after, environment.call_soon
        self.environment, self.selector, self.counters = environment, selector, counters
        self._core_links = core_links

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Send a question; `answered` is called once, later, with None if there was no answer in time."""
        if not isinstance(message, TokenRequest | Claim):
            self.environment.ask(address, message, timeout_us, answered)
        elif self._core_links.reachability.is_reachable(address):
            self._core_links.ask(address, message, timeout_us, answered)
        else:
            self._core_links.probe(address)
            self._ask_unreachable(address, message, timeout_us, answered)

    def _ask_unreachable(self, address: str, message: TokenRequest | Claim, timeout_us: int, answered: OnReply) -> None:
        relay = self.selector.select(address, self.now())
        if relay is None:
            self._core_links.ask(address, message, timeout_us, answered)
        else:
            _RelayedQuestion(self, address, message, timeout_us, answered).send(relay)


class _RelayedQuestion:
    """One question on its way through other proxies."""

    def __init__(
        self, links: RelayedLinks, member: str, request: TokenRequest | Claim, timeout_us: int, answered: OnReply
    ) -> None:
        self._links, self._member, self._request, self._answered = links, member, request, answered
        self._end_at = links.now() + min(timeout_us, RELAYED_TIMEOUT_US)
        self._relays_left = MAX_RELAYS

    def send(self, relay: str) -> None:
        """Send it to this relay."""
        self._relays_left -= 1
        timeout_us = self._end_at - self._links.now()
        timeout_ms = max(1, (timeout_us - RELAY_MARGIN_US) // US_PER_MS)
        message = Relay(self._member, self._request, timeout_ms)
        self._links.environment.ask(relay, message, timeout_us, lambda reply: self._on_reply(relay, reply))

    def _on_reply(self, relay: str, reply: Message | None) -> None:
        selector, now = self._links.selector, self._links.now()
        if not isinstance(reply, RelayReply):
            selector.on_timeout(relay, now)
            self._finish(None)
        elif reply.reply is not None:
            selector.on_answer(relay)
            self._finish(reply.reply)
        else:
            selector.on_unreached(relay, self._member, now)
            self._on_no_answer(reply.is_sent)

    def _on_no_answer(self, is_sent: bool) -> None:
        """Ask the next relay, if nothing was sent and there is time."""
        now = self._links.now()
        relay = self._links.selector.select(self._member, now)
        if is_sent or relay is None or self._relays_left == 0 or self._end_at - now < MIN_TIMEOUT_US:
            self._finish(None)
        else:
            self.send(relay)

    def _finish(self, reply: Message | None) -> None:
        if reply is None:
            self._links.counters.unanswered += 1
        else:
            self._links.counters.answered += 1
        self._answered(reply)
