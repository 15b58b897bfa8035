"""One run of a proxy without sockets: it follows the configuration and decides on the permits of requests."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import cast

from lilacsill.address import Address
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.proxy.discovery import DiscoveryClient
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.proxy.request_counters import RequestCounters
from lilacsill.mesh.proxy.request_permits import RequestPermits
from lilacsill.mesh.proxy.shared_state import SharedState
from lilacsill.mesh.proxy.upstreams import Upstreams
from lilacsill.mesh.runtime.messages import Endpoint, Message, OperationQuery, Relay
from lilacsill.mesh.runtime.settings import Settings
from lilacsill.mesh.simulation.network import Machine


class NoTable:
    """Stands for the endpoints of one service: the soak chooses backends by itself."""

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Take no note of an endpoint."""

    def remove(self, node: str) -> None:
        """Take no note of the end of an endpoint."""


class NoLinks:
    """Stands for the links to other proxies."""

    def close_idle(self, address: Address) -> None:
        """Have nothing to close."""


class NoUpstreams:
    """Stands for `Upstreams`."""

    def __init__(self) -> None:
        self.proxy_count = 1
        self.tables: dict[str, NoTable] = {}
        self.links = NoLinks()

    def table(self, _service: str) -> NoTable:
        """Return a table that keeps nothing."""
        return NoTable()


class VirtualProxy:
    """The parts of a proxy that decide whether a request may run.

    Attributes:
        machine: Where it runs.
        config: The configuration that is in force here.
        discovery: Follows it.
        permits: Decides on quotas and operations.
    """

    def __init__(self, machine: Machine, settings: Settings, rng: Random) -> None:
        """Start on a machine whose process has begun."""
        self.machine, self.rng = machine, rng
        self.config = ActiveConfig()
        endpoints = KnownEndpoints(settings.node_name, cast(Upstreams, NoUpstreams()))
        self.discovery = DiscoveryClient(
            settings, machine, self.config, BackendLifecycle(0), endpoints, set(), lambda: None
        )
        self._shared_state = SharedState(
            settings, machine, lambda: self.discovery.registries.addresses, endpoints.peers
        )
        self.permits = RequestPermits(machine, rng, RequestCounters())
        self.permits.quota = self._shared_state.quota
        self.permits.operations = self._shared_state.operations
        machine.handlers = {OperationQuery: self._on_query, Relay: self._shared_state.relay_server.relay}
        self.discovery.start()

    @property
    def is_ready(self) -> bool:
        """Whether it is certain that the configuration here is the one in force."""
        return self.discovery.is_config_current()

    def _on_query(self, query: OperationQuery, reply: Callable[[Message], None]) -> None:
        reply(self._shared_state.operations.reply_to(query))
