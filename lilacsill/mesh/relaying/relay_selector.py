"""Chooses the proxy through which a core machine is asked. No I/O.

The first by rendezvous hashing for this node are the candidates, so the proxies of a fleet choose different ones. One
that has worked is kept. One that did not answer, or did not reach the core machine, is passed over for a second.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.hashing import rendezvous_select

CANDIDATES = 8  # of all proxies
PASSED_OVER_US = 1_000_000


class RelaySelector:
    """The relays of one proxy, by their addresses."""

    def __init__(self, node: str, peers: Callable[[], dict[str, str]]) -> None:
        """Begin without experience.

        Args:
            node: The name of this proxy.
            peers: Returns the addresses of the other proxies by name; another dict whenever they have changed.
        """
        self._node, self._peers = node, peers
        self._known_peers: dict[str, str] | None = None  # that the candidates are chosen of
        self._candidates: list[str] = []
        self._preferred: str | None = None  # through which the last answer came
        self._silent_until: dict[str, int] = {}  # by relay
        self._unreached_until: dict[tuple[str, str], int] = {}  # by relay and core machine

    def select(self, member: str, now: int) -> str | None:
        """Return the relay for a question to a core machine; None if all candidates are passed over."""
        self._follow_peers()
        if self._preferred is not None and self._is_usable(self._preferred, member, now):
            return self._preferred
        usable = (relay for relay in self._candidates if self._is_usable(relay, member, now))
        return next(usable, None)

    def on_answer(self, relay: str) -> None:
        """Prefer a relay that has brought an answer."""
        if relay in self._candidates:
            self._preferred = relay

    def on_timeout(self, relay: str, now: int) -> None:
        """Pass over a relay that did not answer."""
        self._silent_until[relay] = now + PASSED_OVER_US

    def on_unreached(self, relay: str, member: str, now: int) -> None:
        """Pass over a relay that answered without reaching the core machine, for questions to this one."""
        self._unreached_until[relay, member] = now + PASSED_OVER_US

    def _is_usable(self, relay: str, member: str, now: int) -> bool:
        return self._silent_until.get(relay, now) <= now and self._unreached_until.get((relay, member), now) <= now

    def _follow_peers(self) -> None:
        peers = self._peers()
        if peers is self._known_peers:
            return
        self._known_peers = peers
        self._candidates = [peers[node] for node in rendezvous_select(self._node, peers, CANDIDATES)]
        if self._preferred not in self._candidates:
            self._preferred = None
        self._silent_until = {relay: until for relay, until in self._silent_until.items() if relay in self._candidates}
        self._unreached_until = {
            (relay, member): until
            for (relay, member), until in self._unreached_until.items()
            if relay in self._candidates
        }
