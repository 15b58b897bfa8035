"""Chooses the proxy that relays requests to a core machine. No I/O.

The candidates are the proxies that rank first by rendezvous hashing for this node, so the proxies of a fleet choose
different relays. A relay that delivered an answer is preferred. A relay that did not answer, or did not reach the core
machine, is skipped for `RELAY_SKIP_US`.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.hashing import rendezvous_select

MAX_CANDIDATES = 8  # chosen from all proxies
RELAY_SKIP_US = 1_000_000


class RelaySelector:
    """The relays of one proxy, identified by address."""

    def __init__(self, node: str, peers: Callable[[], dict[str, str]]) -> None:
        """Start without a preferred relay.

        Args:
            node: The name of this proxy.
            peers: Returns the addresses of the other proxies by name; a new dict object whenever they have changed.
        """
        self._node, self._peers = node, peers
        self._known_peers: dict[str, str] | None = None  # the peers from which the candidates were chosen
        self._candidates: list[str] = []
        self._preferred: str | None = None  # the relay of the last answer
        self._skip_until: dict[str, int] = {}  # by relay
        self._skip_for_member_until: dict[tuple[str, str], int] = {}  # by relay and core machine

    def select(self, member: str, now: int) -> str | None:
        """Return the relay for a request to a core machine, or None if all candidates are skipped."""
        self._update_candidates()
        if self._preferred is not None and self._is_usable(self._preferred, member, now):
            return self._preferred
        usable = (relay for relay in self._candidates if self._is_usable(relay, member, now))
        return next(usable, None)

    def on_answer(self, relay: str) -> None:
        """Prefer the relay, since it delivered an answer."""
        if relay in self._candidates:
            self._preferred = relay

    def on_timeout(self, relay: str, now: int) -> None:
        """Skip the relay for all core machines for a while, since it did not answer."""
        self._skip_until[relay] = now + RELAY_SKIP_US

    def on_unreached(self, relay: str, member: str, now: int) -> None:
        """Skip the relay for this core machine for a while, since it answered without reaching that machine."""
        self._skip_for_member_until[relay, member] = now + RELAY_SKIP_US

    def _is_usable(self, relay: str, member: str, now: int) -> bool:
        return self._skip_until.get(relay, now) <= now and self._skip_for_member_until.get((relay, member), now) <= now

    def _update_candidates(self) -> None:
        peers = self._peers()
        if peers is self._known_peers:
            return
        self._known_peers = peers
        self._candidates = [peers[node] for node in rendezvous_select(self._node, peers, MAX_CANDIDATES)]
        if self._preferred not in self._candidates:
            self._preferred = None
        self._skip_until = {relay: until for relay, until in self._skip_until.items() if relay in self._candidates}
        self._skip_for_member_until = {
            (relay, member): until
            for (relay, member), until in self._skip_for_member_until.items()
            if relay in self._candidates
        }
