"""Hollow proxies: all that a proxy does for control, on real links, many to a process; no traffic and no listeners for
clients. They are made of the proxy's own parts.

Light ones of a process share endpoint records and load tables, since 4,500 times 4,500 of them would not fit in one
machine; whole ones share nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from lilacsill.address import Address, parse_address
from lilacsill.mesh.proxy.offer_server import OfferServer
from lilacsill.mesh.proxy.discovery import DiscoveryClient
from lilacsill.mesh.proxy.backend_gateway import BackendGateway
from lilacsill.mesh.proxy.forwarder import Forwarder
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.proxy.failure_detector import FailureDetector
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.proxy.retry_budget import RetryBudgetSettings
from lilacsill.mesh.proxy.upstreams import Upstreams
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint, IndirectPing, Message
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import RpcClientPool
from lilacsill.mesh.runtime.settings import Settings, TimingBounds

from . import fleet

SLOTS = 9
RETRY_BUDGET = RetryBudgetSettings(0.2, 10_000_000, 60.0)
Answered = Callable[[Message | None], None]


def settings_of(number: int, services: int, network: int, seeds: tuple[Address, ...]) -> Settings:
    told = fleet.endpoint(number, services, network)
    return Settings(
        path="",
        node_name=told.node,
        zone=told.zone,
        ip=told.host,
        internal_ports=(told.port, told.port + 15),
        seeds=seeds,
        fresh_start=False,
        loss_counts=False,
        max_lost_machines=1,
        max_lost_zones=0,
        data_dir="",
        heartbeat_interval_us=500_000,
        timing=TimingBounds(),
        listen={},
        backend_address=Address(told.host, told.port + 16),
        service=told.service,
        max_memory_mb=300,
        max_open_files=4096,
        link_mbps=1000.0,
        disk_mb=0,
    )


class Shared:
    """What the light proxies of one process have in common."""

    def __init__(self) -> None:
        self.tables: dict[str, EndpointTable] = {}
        self._endpoints: dict[str, Endpoint] = {}

    def one(self, endpoint: Endpoint) -> Endpoint:
        """The same record for all who were told the same."""
        held = self._endpoints.get(endpoint.node)
        if held == endpoint:
            return held
        self._endpoints[endpoint.node] = endpoint
        return endpoint


class Links:
    """A proxy's questions to its neighbours, while it is there."""

    def __init__(self, reactor: Reactor, proxy: HollowProxy) -> None:
        self.now, self._reactor, self._proxy, self.peers = reactor.now, reactor, proxy, RpcClientPool(reactor)

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object:
        return None if self._proxy.over else self._reactor.after(delay_us, call, *arguments)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None:
        if self._proxy.cut:
            self._reactor.after(timeout_us, answered, None)
        else:
            self.peers.client(parse_address(address)).request(message, timeout_us, answered)


class SharedEndpoints(KnownEndpoints):
    """Endpoints whose records are those of all light proxies of the process."""

    shared: Shared | None

    def update(self, endpoint: Endpoint, now: int) -> None:
        super().update(endpoint if self.shared is None else self.shared.one(endpoint), now)


class HollowDiscovery(DiscoveryClient):
    """Stops with its proxy, and sends nothing while that is cut off."""

    proxy: HollowProxy

    def _keep_polling(self) -> None:
        if not self.proxy.over:
            super()._keep_polling()

    def _poll(self, registry: str, wait_ms: int) -> None:
        if not self.proxy.cut:
            super()._poll(registry, wait_ms)

    def close_links(self) -> None:
        self._peers.retain(set())


class HollowProxy:
    """One. `on_update` is called whenever a registry has told it something."""

    def __init__(
        self,
        reactor: Reactor,
        settings: Settings,
        number: int,
        shared: Shared | None,
        pings: bool,
        on_update: Callable[[HollowProxy], None],
    ) -> None:
        """Raises OSError."""
        self.number, self.settings, self._reactor = number, settings, reactor
        self.over = self.cut = False
        assert settings.backend_address is not None
        self._lifecycle = BackendLifecycle(1_000_000)
        self._gateway = BackendGateway(reactor, self._lifecycle, settings.backend_address)
        rng = Random(number)
        upstreams = Upstreams(reactor, self._gateway, settings.node_name, RETRY_BUDGET, rng)
        self.config = ActiveConfig()
        if shared is not None:
            upstreams.tables = shared.tables
        self._links = Links(reactor, self)
        self.endpoints = SharedEndpoints(settings.node_name, upstreams)
        self.endpoints.shared = shared
        self.failure_detector = FailureDetector(self._links, settings.node_name, self.endpoints.peers, self._on_suspect)
        self.discovery = HollowDiscovery(
            settings,
            reactor,
            self.config,
            self._lifecycle,
            self.endpoints,
            self.failure_detector.suspects,
            lambda: on_update(self),
        )
        self.discovery.proxy = self
        self._forwarder = Forwarder(
            reactor, self.config, upstreams, settings.service, rng, self.discovery.is_config_current
        )
        self._listen()
        self._lifecycle.on_health_check(
            f"i-{number:08x}-{self.discovery.endpoint().incarnation}", settings.service, SLOTS
        )
        self.discovery.start()
        if pings:
            self.failure_detector.start()

    def _listen(self) -> None:
        self._offers = OfferServer(
            self._reactor, Address(self.settings.ip, self.settings.internal_ports[0]), self._gateway, self
        )

    def _on_suspect(self) -> None:
        self.discovery.poll_now()

    def status(self) -> bytes:
        return b"{}"

    def indirect_ping(self, request: IndirectPing, reply: Callable[[Message], None]) -> None:
        self.failure_detector.indirect_ping(request, reply)

    def leave(self) -> None:
        """As on SIGTERM."""
        self.discovery.announce_leaving()

    def lose(self) -> None:
        """Cut off from all others."""
        self.cut = True
        self._close()

    def come_back(self) -> None:
        """Joined with the others again: the same life, with what it knew."""
        self.cut = False
        self._listen()

    def end(self) -> None:
        self.over = self.cut = True
        self._close()

    def _close(self) -> None:
        self.discovery.close_links()
        self._links.peers.retain(set())
        self._offers.close()
        for sink in list(self._offers.links):
            sink.link.close()
