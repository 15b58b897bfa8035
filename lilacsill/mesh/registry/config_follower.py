"""Follows the configuration by long-polling the store replica on this machine."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Follow, FollowReply, Message

from .core_hosts import CoreHosts
from .local_config import LocalConfig

POLL_WAIT_MS = 400  # the store replies within this time; the proof in the reply must not be older than 0.9 s
REPLY_TIMEOUT_US = POLL_WAIT_MS * 1000 + 500_000  # 500 ms for the store to reach a replica with a read lease
RETRY_DELAY_US = 100_000  # after a request without a reply, or a reply without an update


class ConfigFollower:
    """Keeps the local copy of the configuration up to date."""

    def __init__(
        self,
        environment: Environment,
        store: str,
        config: LocalConfig,
        core_hosts: CoreHosts,
        on_core_hosts: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        """Initialize without sending a request; `start` sends the first one.

        Args:
            environment: Provides the clock, timers and requests.
            store: Address of the store replica on this machine.
            config: Updated with each change of the configuration.
            core_hosts: Updated with each reply.
            on_core_hosts: Called after each update of `core_hosts`.
            on_change: Called after a change of the configuration.
        """
        self._environment = environment
        self._store = store
        self._config = config
        self._core_hosts = core_hosts
        self._on_core_hosts = on_core_hosts
        self._on_change = on_change

    def start(self) -> None:
        """Send the first request; the next one is sent after each reply, or without a reply after `RETRY_DELAY_US`."""
        self._request()

    def _request(self) -> None:
        follow = Follow(self._config.cache.seq, POLL_WAIT_MS, 0)
        on_reply = partial(self._on_reply, self._environment.now())
        self._environment.ask(self._store, follow, REPLY_TIMEOUT_US, on_reply)

    def _on_reply(self, requested_at: int, reply: Message | None) -> None:
        if not isinstance(reply, FollowReply):
            self._environment.after(RETRY_DELAY_US, self._request)
            return
        update = reply.update
        if update is not None:
            self._config.freshness.record(update.freshness, requested_at)
        self._core_hosts.replace(reply.core_addresses)
        self._on_core_hosts()
        if update is None:
            self._environment.after(RETRY_DELAY_US, self._request)
            return
        if update.seq > self._config.cache.seq:
            self._config.cache.apply(update.items, update.seq)
            self._on_change()
        self._request()
