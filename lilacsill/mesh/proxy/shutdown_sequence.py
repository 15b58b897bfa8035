"""The graceful shutdown of a proxy, from SIGTERM to its exit.

1. The proxy announces that it is leaving, fails its readiness check, and closes each client connection with the next
   response.
2. It closes its listeners once clients have had time to notice and nothing is in flight or unsent. If this takes until
   the grace period is almost over, it aborts the requests that are still in flight, and then closes its listeners.
3. It stops the event loop when the last responses have been sent, at the latest half the kill margin before the kill.
"""

from __future__ import annotations

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .client_listener import ClientListener
from .discovery import DiscoveryClient
from .forwarder import Forwarder
from .graceful_shutdown import GracefulShutdown, kill_margin_us
from .offer_server import OfferServer

CHECK_INTERVAL_US = 50_000
READINESS_PROPAGATION_US = 2_600_000  # clients switch to another proxy after two failed readiness checks


class ShutdownSequence:
    """The graceful shutdown of one process."""

    def __init__(
        self,
        reactor: Reactor,
        grace_us: int,
        forwarder: Forwarder,
        clients: ClientListener,
        gateway: BackendGateway,
        offer_server: OfferServer,
        discovery: DiscoveryClient,
    ) -> None:
        """Create the sequence; `grace_us` is the time from SIGTERM until the platform kills the process."""
        self._reactor, self._grace_us = reactor, grace_us
        self._kill_margin_us = kill_margin_us(grace_us)
        self._forwarder, self._clients = forwarder, clients
        self._gateway, self._offer_server, self._discovery = gateway, offer_server, discovery
        self._started_at: int | None = None

    @property
    def is_started(self) -> bool:
        """Whether the shutdown has begun."""
        return self._started_at is not None

    def start(self) -> None:
        """Start the shutdown. Further calls have no effect."""
        if self._started_at is not None:
            return
        log.info("graceful shutdown started, grace period %d ms", self._grace_us // 1000)
        now = self._started_at = self._reactor.now()
        accept_all_us = min(READINESS_PROPAGATION_US, self._grace_us // 2)
        self._forwarder.shutdown = GracefulShutdown(now + accept_all_us, now + self._grace_us - self._kill_margin_us)
        self._clients.start_draining()
        self._discovery.announce_shutdown()
        self._drain(now)

    @property
    def _is_busy(self) -> bool:
        has_requests = self._forwarder.in_flight or self._gateway.requests
        return bool(has_requests) or self._clients.has_unsent or self._offer_server.has_unsent

    def _drain(self, started_at: int) -> None:
        elapsed_us = self._reactor.now() - started_at
        is_late = elapsed_us > self._grace_us - self._kill_margin_us
        if is_late:
            # Backends may still be processing these. Aborting them lets pipelined responses behind them be sent.
            for request in list(self._forwarder.in_flight):
                request.abort_for_shutdown()
            if self._forwarder.counters.aborted_for_shutdown:
                log.warning(
                    "aborted %d requests in flight at the end of the grace period",
                    self._forwarder.counters.aborted_for_shutdown,
                )
        if is_late or (elapsed_us > READINESS_PROPAGATION_US and not self._is_busy):
            self._clients.listener.close()
            self._offer_server.close()
            self._clients.close_idle()
            self._reactor.after(CHECK_INTERVAL_US, self._stop, started_at)
        else:
            self._reactor.after(CHECK_INTERVAL_US, self._drain, started_at)

    def _stop(self, started_at: int) -> None:
        elapsed_us = self._reactor.now() - started_at
        if elapsed_us > self._grace_us - self._kill_margin_us // 2 or not self._is_busy:
            if self._forwarder.counters.failed_attempts:
                log.flush()
            self._reactor.stop()
        else:
            self._reactor.after(CHECK_INTERVAL_US, self._stop, started_at)
