"""Following the configuration: a long poll of the store's member on this machine, repeated after each reply."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.address import Address
from lilacsill.mesh.runtime.messages import Follow, FollowReply, Message
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import RpcClientPool

from .core_hosts import CoreHosts
from .local_config import LocalConfig

POLL_WAIT_MS = 400  # the store may wait for so long; the proof that comes with the reply must not be older than 0.9 s
REPLY_TIMEOUT_US = POLL_WAIT_MS * 1000 + 500_000  # the wait, and time for the store to reach a holder of a read lease
RETRY_DELAY_US = 100_000  # after a request without a usable reply


class ConfigFollower:
    """Keeps the local configuration up to date."""

    def __init__(
        self,
        reactor: Reactor,
        rpc_clients: RpcClientPool,
        store: Address,
        config: LocalConfig,
        core_hosts: CoreHosts,
        on_core_hosts: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        """Prepare to follow; `start` sends the first request.

        Args:
            reactor: Keeps the time.
            rpc_clients: Sends the requests.
            store: Address of the store's member on this machine.
            config: Is updated.
            core_hosts: Is updated.
            on_core_hosts: Called after each update of `core_hosts`.
            on_change: Called after a change of the configuration.
        """
        self._reactor = reactor
        self._rpc_clients = rpc_clients
        self._store = store
        self._config = config
        self._core_hosts = core_hosts
        self._on_core_hosts = on_core_hosts
        self._on_change = on_change

    def start(self) -> None:
        """Begin to follow, without end."""
        self._request()

    def _request(self) -> None:
        self._rpc_clients.client(self._store).request(
            Follow(self._config.cache.seq, POLL_WAIT_MS, 0),
            REPLY_TIMEOUT_US,
            partial(self._on_reply, self._reactor.now()),
        )

    def _on_reply(self, requested_at: int, reply: Message | None) -> None:
        if not isinstance(reply, FollowReply):
            self._reactor.after(RETRY_DELAY_US, self._request)
            return
        update = reply.update
        if update is not None:
            self._config.freshness.record(update.freshness, requested_at)
        self._core_hosts.replace(reply.core_addresses)
        self._on_core_hosts()
        if update is None:
            self._reactor.after(RETRY_DELAY_US, self._request)
            return
        if update.seq > self._config.cache.seq:
            self._config.cache.apply(update.items, update.seq)
            self._on_change()
        self._request()
