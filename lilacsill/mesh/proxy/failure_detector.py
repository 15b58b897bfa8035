"""Failure detection among proxies with pings, indirect pings and suspicion, as in SWIM.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
2002. No I/O; time and messages are passed in.

Rendezvous hashing assigns three monitors to each proxy without coordination. If a proxy does not answer a ping, two
other proxies ping it as well. If they cannot reach it either, it is reported to the registries as a suspect; the
registries accept a suspicion that two proxies report. A proxy that was stalled itself, or that finds most of its
monitored proxies unresponsive, assumes that its own connection is at fault and suspects no further proxies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

from lilacsill.mesh.runtime.hashing import rendezvous_select
from lilacsill.mesh.runtime.messages import IndirectPing, IndirectPingReply, Message, Ping, Suspect

from .watch_list import WatchList

MONITORS = 3  # per proxy
INDIRECT_PING_HELPERS = 2  # proxies that ping an unresponsive one as well
PERIOD_US = 500_000  # between pings
PING_TIMEOUT_US = 350_000
INDIRECT_PING_TIMEOUT_US = 500_000
STALL_THRESHOLD_US = 200_000  # a round delayed by more means that this process was stalled
UNRELIABLE_AFTER_STALL_US = 1_500_000  # no proxies become suspects for this long after a stall


class Environment(Protocol):
    """The clock, the timers and the links of the process."""

    def now(self) -> int:
        """Return the current time in microseconds."""

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object:
        """Call a function after a delay."""

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """Send a request; `answered` is called once, with None if no reply arrives in time."""


class FailureDetector:
    """The failure detector of one proxy."""

    def __init__(
        self,
        environment: Environment,
        node: str,
        peers: Callable[[], dict[str, str]],
        on_suspect: Callable[[], None],
    ) -> None:
        """Create a detector that does nothing until it is started.

        Args:
            environment: Clock, timers and links.
            node: The name of this proxy.
            peers: Returns the addresses of the other proxies by name; a new dict object after each change.
            on_suspect: Called when a proxy is added to `suspects`.
        """
        self._environment, self._node, self._peers, self._on_suspect = environment, node, peers, on_suspect
        self._last_round_at = environment.now()
        self._unreliable_until = 0
        self._pings_in_flight: set[str] = set()  # nodes whose reply is due
        self._unresponsive: set[str] = set()  # nodes that did not answer their latest ping
        self.suspects: set[str] = set()
        self._known_peers: dict[str, str] | None = None  # that the watch list was built from
        self._watch_list = WatchList(node, MONITORS)

    def start(self) -> None:
        """Start to ping."""
        self._environment.after(PERIOD_US, self._round)

    def monitored(self) -> list[str]:
        """Return the names of the proxies that this one monitors."""
        peers = self._peers()
        if peers is not self._known_peers:
            self._known_peers = peers
            self._watch_list.sync(peers)
        return self._watch_list.monitored

    def _round(self) -> None:
        self._check_for_stall()
        self._last_round_at = self._environment.now()
        self._environment.after(PERIOD_US, self._round)
        peers, monitored = self._peers(), self.monitored()
        self._unresponsive &= set(monitored)
        self.suspects &= set(monitored)
        for node in monitored:
            if node not in self._pings_in_flight:
                self._pings_in_flight.add(node)
                self._environment.ask(peers[node], Ping(), PING_TIMEOUT_US, partial(self._on_pong, node))

    def _check_for_stall(self) -> None:
        now = self._environment.now()
        if now - self._last_round_at > PERIOD_US + STALL_THRESHOLD_US:
            self._unreliable_until = now + UNRELIABLE_AFTER_STALL_US

    def _on_pong(self, node: str, reply: Message | None) -> None:
        self._pings_in_flight.discard(node)
        if isinstance(reply, IndirectPingReply):
            self._unresponsive.discard(node)
            self.suspects.discard(node)
            return
        self._unresponsive.add(node)
        self._check_for_stall()  # the reply may have arrived, but is unread
        peers = self._peers()
        if not self._is_unreliable() and node in peers and node not in self.suspects:
            self._ping_indirectly(node, peers)

    def _ping_indirectly(self, node: str, peers: dict[str, str]) -> None:
        # The helpers depend only on the unresponsive proxy, so that all its monitors ask the same few.
        helpers = [
            helper for helper in rendezvous_select(node, peers, INDIRECT_PING_HELPERS + 1) if helper != self._node
        ][:INDIRECT_PING_HELPERS]
        replies: list[bool | None] = []
        for helper in helpers:
            self._environment.ask(
                peers[helper],
                IndirectPing(peers[node]),
                INDIRECT_PING_TIMEOUT_US,
                partial(self._on_indirect_pong, node, replies, len(helpers)),
            )

    def _on_indirect_pong(
        self, node: str, replies: list[bool | None], helper_count: int, reply: Message | None
    ) -> None:
        replies.append(reply.reachable if isinstance(reply, IndirectPingReply) else None)
        if len(replies) < helper_count:
            return
        # At least one helper must have replied, and none may have reached the proxy.
        unreachable = False in replies and True not in replies
        if unreachable and not self._is_unreliable() and node in self._unresponsive:
            self.suspects.add(node)
            self._on_suspect()

    def _is_unreliable(self) -> bool:
        monitored = self.monitored()
        if self._environment.now() < self._unreliable_until:
            return True
        return 2 * len(self._unresponsive & set(monitored)) > max(2, len(monitored))

    def indirect_ping(self, request: IndirectPing, reply: Callable[[Message], None]) -> None:
        """Ping a third proxy on behalf of another one, and reply whether it answered."""

        def on_pong(pong: Message | None) -> None:
            reply(IndirectPingReply(isinstance(pong, IndirectPingReply)))

        self._environment.ask(request.address, Ping(), PING_TIMEOUT_US, on_pong)


def with_incarnations(suspects: Iterable[str], incarnations: dict[str, int]) -> list[Suspect]:
    """Return the suspects sorted by name, each with its incarnation; unknown nodes are left out."""
    return [Suspect(node, incarnations[node]) for node in sorted(suspects) if node in incarnations]
