"""What a proxy does from SIGTERM to its exit.

1. It announces that it leaves, is not ready any more, and closes each connection of a client with its next answer.
2. When clients have had time to notice and nothing is in flight or unsent, or when the grace period is almost over, it
   breaks off what is left and closes its listeners.
3. When the last answers are sent, the event loop stops.
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

CHECK_US = 50_000
NOTICE_US = 2_600_000  # clients go elsewhere after two readiness checks that failed


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
        """Prepare the sequence; `grace_us` is the time from SIGTERM until the platform kills the process."""
        self._reactor, self._grace_us = reactor, grace_us
        self._kill_margin_us = kill_margin_us(grace_us)
        self._forwarder, self._clients = forwarder, clients
        self._gateway, self._offer_server, self._discovery = gateway, offer_server, discovery
        self._started_at: int | None = None

    @property
    def is_started(self) -> bool:
        """Whether the process shuts down."""
        return self._started_at is not None

    def start(self) -> None:
        """Begin; a second call changes nothing."""
        if self._started_at is not None:
            return
        log.info("graceful shutdown started")
        now = self._started_at = self._reactor.now()
        take_all_us = min(NOTICE_US, self._grace_us // 2)
        self._forwarder.shutdown = GracefulShutdown(now + take_all_us, now + self._grace_us - self._kill_margin_us)
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
            # The backend may still be at work on these. Answers that wait behind them on their connections are sent.
            for request in list(self._forwarder.in_flight):
                request.break_off()
            if self._forwarder.counters.broken_off:
                log.warning(
                    "%d requests broken off at the end of the grace period", self._forwarder.counters.broken_off
                )
        if is_late or (elapsed_us > NOTICE_US and not self._is_busy):
            self._clients.listener.close()
            self._offer_server.close()
            self._clients.close_idle()
            self._reactor.after(CHECK_US, self._stop, started_at)
        else:
            self._reactor.after(CHECK_US, self._drain, started_at)

    def _stop(self, started_at: int) -> None:
        elapsed_us = self._reactor.now() - started_at
        if elapsed_us > self._grace_us - self._kill_margin_us // 2 or not self._is_busy:
            if self._forwarder.counters.failed_attempts:
                log.flush()
            self._reactor.stop()
        else:
            self._reactor.after(CHECK_US, self._stop, started_at)
