"""The proxy process: creates its components and connects them to listeners, signals and readiness checks."""

from __future__ import annotations

import signal
from collections.abc import Callable
from random import Random

import msgspec

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import ControlServer, Respond
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import IndirectPing, Message, OperationQuery, OperationReply, Relay
from lilacsill.mesh.runtime.metrics_server import PROXY_PORT, Encode, MetricsServer
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.reactor_environment import ReactorEnvironment
from lilacsill.mesh.runtime.resource_limits import limits_of_proxy
from lilacsill.mesh.runtime.settings import Settings, SettingsError, load_settings

from .active_config import ActiveConfig
from .backend_gateway import BackendGateway
from .backend_lifecycle import BackendLifecycle, EndpointState
from .client_listener import ClientListener
from .discovery import DiscoveryClient
from .failure_detector import FailureDetector
from .forwarder import Forwarder
from .health_probe import HealthProbe
from .heartbeat_api import HeartbeatApi
from .known_endpoints import KnownEndpoints
from .offer_server import OfferServer
from .retry_budget import RetryBudgetSettings
from .shared_state import SharedState
from .shutdown_sequence import ShutdownSequence
from .upstreams import Upstreams


class Process:
    """One proxy, with all its components."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Start the proxy. Raises OSError, SettingsError."""
        if settings.backend_address is None:
            raise SettingsError(settings.path, "AppAddress", "is required: a proxy needs the address of its backend")
        self._settings, self._reactor = settings, reactor
        self._limits = limits = limits_of_proxy(settings)
        self._lifecycle = BackendLifecycle(settings.timing.drain_us)
        self._gateway = BackendGateway(reactor, self._lifecycle, settings.backend_address)
        self._config, rng = ActiveConfig(), Random()
        upstreams = Upstreams(reactor, self._gateway, settings.node_name, self._retry_budget_settings(), rng)
        self._endpoints = KnownEndpoints(settings.node_name, upstreams)
        self._failure_detector = FailureDetector(
            ReactorEnvironment(reactor), settings.node_name, self._endpoints.peers, self._on_suspect
        )
        self._discovery = DiscoveryClient(
            settings,
            ReactorEnvironment(reactor),
            self._config,
            self._lifecycle,
            self._endpoints,
            self._failure_detector.suspects,
            self._on_update,
        )
        self._forwarder = Forwarder(
            reactor, self._config, upstreams, settings.service, rng, self._discovery.is_config_current
        )
        self._shared_state = SharedState(
            settings,
            ReactorEnvironment(reactor),
            lambda: self._discovery.registries.addresses,
            self._endpoints.peers,
        )
        self._forwarder.permits.quota = self._shared_state.quota
        self._forwarder.permits.operations = self._shared_state.operations
        self._offer_server = OfferServer(
            reactor, Address(settings.ip, settings.internal_ports[0]), self._gateway, self, limits
        )
        self._clients = ClientListener(reactor, settings.listen["Outgoing"], self._forwarder, limits)
        heartbeats = HeartbeatApi(reactor, self._gateway, self._discovery.announce)
        self._heartbeat_server = ControlServer(
            reactor, settings.listen["ControlPort"], heartbeats.handle, limits=limits
        )
        self._readiness_server = ControlServer(
            reactor, settings.listen["ReadyCheck"], self._on_readiness_check, limits=limits
        )
        self._health_probe = HealthProbe(
            reactor,
            self._gateway.pool,
            self._lifecycle,
            settings.service,
            lambda: self._config.health_path(settings.service),
            self._discovery.announce,
        )
        self._metrics_server = MetricsServer(
            reactor, Address(settings.ip, PROXY_PORT), self._load_metrics_encoder, limits
        )
        self._shutdown = ShutdownSequence(
            reactor,
            settings.timing.grace_period_us,
            self._forwarder,
            self._clients,
            self._gateway,
            self._offer_server,
            self._discovery,
        )
        reactor.on_signal(signal.SIGTERM, self._shutdown.start)
        reactor.on_signal(signal.SIGHUP, self._on_settings_changed)
        self._discovery.start()
        self._failure_detector.start()

    def _retry_budget_settings(self) -> RetryBudgetSettings:
        timing = self._settings.timing
        # An earlier process may have spent the slack of this window, unless the whole site starts for the first time.
        slack_from = 0 if self._settings.fresh_start else self._reactor.now() + timing.retry_window_us
        return RetryBudgetSettings(timing.retry_ratio, timing.retry_window_us, timing.retry_slack, slack_from)

    # Events

    def _on_suspect(self) -> None:
        log.info("proxies suspected to be unreachable: %s", " ".join(sorted(self._failure_detector.suspects)))
        self._discovery.poll_now()

    def _on_update(self) -> None:
        """Apply what a registry has sent about this proxy's service and backend."""
        service = self._lifecycle.service or self._settings.service
        self._gateway.pool.set_max_connections(self._config.max_connections(service))
        if self._apply_reported_drain():
            self._gateway.drain()
        self._health_probe.start()

    def _apply_reported_drain(self) -> bool:
        """Take over a drain that the backend reported to an earlier run of this proxy, as known to the registries.

        Returns:
            Whether the drain has been started by this call.
        """
        own = self._endpoints.get(self._settings.node_name)
        if own is None or own.state != EndpointState.DRAINING or not own.server:
            return False
        return self._lifecycle.on_reported_drain(own.server, self._reactor.now())

    def _on_readiness_check(self, request: Request, respond: Respond) -> None:
        ready = self._discovery.is_config_current() and not self._shutdown.is_started
        respond(200 if ready else 503, b"{}")

    def _on_settings_changed(self) -> None:
        """Validate the settings file and log an error in it. Changes take effect at the next start only."""
        try:
            load_settings(self._settings.path)
        except SettingsError as error:
            log.warning("%s", error)

    # Queries of other proxies and of operators

    def status(self) -> bytes:
        """Return the status report as JSON."""
        from .status_report import status_report  # imported on first use, to save memory

        report = status_report(
            self._settings.node_name,
            self._shutdown.is_started,
            self._forwarder,
            self._gateway,
            self._discovery,
            self._failure_detector,
            self._shared_state,
            self._reactor.now(),
        )
        return msgspec.json.encode(report)

    def _load_metrics_encoder(self) -> Encode:
        from .metrics import encode_metrics  # imported on first use, to save memory

        return lambda: encode_metrics(
            self._forwarder,
            self._gateway,
            self._discovery,
            self._failure_detector,
            self._shared_state,
            self._reactor.now(),
        )

    def operation(self, query: OperationQuery) -> OperationReply:
        """Return the outcome of an operation that this proxy owns, for another proxy."""
        return self._shared_state.operations.reply_to(query)

    def indirect_ping(self, request: IndirectPing, reply: Callable[[Message], None]) -> None:
        """Ping a third proxy on behalf of the sender, and reply whether it answered."""
        self._failure_detector.indirect_ping(request, reply)

    def relay(self, relay: Relay, reply: Callable[[Message], None]) -> None:
        """Forward a request of the sender to a core machine, and reply with the answer."""
        self._shared_state.relay_server.relay(relay, reply)
