"""Sends health checks to the backend while the proxy has not received a heartbeat from it.

A restarted proxy then need not wait for the next heartbeat: the response to a health check names the incarnation of the
backend. A draining backend should not answer with success; if it does, the registries still report its drain.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_connection import BackendConnection
from .backend_lifecycle import HEALTH_CHECK_VALID_US, BackendLifecycle
from .backend_pool import BackendPool
from .reasons import FailureReason
from .server_load import reported_slots

RETRY_US = 400_000
TIMEOUT_US = 1_000_000
OK = 200  # HTTP status
DEFAULT_SLOTS = 1  # if the backend does not report its slots


class HealthCheck:
    """One health check, sent on a connection of the pool."""

    def __init__(
        self, reactor: Reactor, pool: BackendPool, path: bytes, on_done: Callable[[str | None, int], None]
    ) -> None:
        """Send the check.

        Args:
            reactor: Provides the timer for the timeout.
            pool: Connections to the backend.
            path: The request target.
            on_done: Called once with the backend's incarnation, or None if it is not healthy, and its number of slots.
        """
        self.attempt_id, self.idempotent = b"", True
        self._reactor, self._pool, self._path, self._on_done = reactor, pool, path, on_done
        pool.acquire(self.idempotent, self._on_connected, self._on_not_connected)

    def _on_connected(self, connection: BackendConnection) -> None:
        headers: Headers = [(b"Host", b"backend")]
        connection.send_request(self, b"GET", self._path, headers, b"", content_length=0, body_complete=True)
        self._reactor.after(TIMEOUT_US, self._on_timeout, connection)

    def _on_not_connected(self, error: OSError) -> None:
        self._on_done(None, DEFAULT_SLOTS)

    def _on_timeout(self, connection: BackendConnection) -> None:
        if connection.handler is self:
            self._pool.discard(connection)
            self.on_failed(FailureReason.TIMED_OUT)

    def on_response(self, response: HttpMessage) -> None:
        """Read the incarnation and the number of slots from a complete response."""
        server = response.header(b"answering-server") if response.status == OK else None
        slots = reported_slots(response.fields.get(b"server-load", b""))
        self._on_done(server or None, DEFAULT_SLOTS if slots is None else slots)

    def on_response_part(self, response: HttpMessage) -> None:
        """Discard a part of the body of a long response."""
        response.take_body()

    def on_failed(self, reason: FailureReason) -> None:
        """Report the backend as not healthy: the check timed out or its connection failed."""
        self._on_done(None, DEFAULT_SLOTS)


class HealthProbe:
    """Repeats the health check until the backend answers with success."""

    def __init__(
        self,
        reactor: Reactor,
        pool: BackendPool,
        lifecycle: BackendLifecycle,
        service: str,
        health_path: Callable[[], bytes | None],
        on_changed: Callable[[], None],
    ) -> None:
        """Create a probe that is idle until it is started.

        Args:
            reactor: Timers of the process.
            pool: Connections to the backend.
            lifecycle: Receives the result.
            service: The service that the backend belongs to.
            health_path: Returns the path of the service's health check; None until the configuration is known.
            on_changed: Called when the state of the backend has changed and must be announced to other machines.
        """
        self._reactor, self._pool, self._lifecycle, self._service = reactor, pool, lifecycle, service
        self._health_path, self._on_changed = health_path, on_changed
        self._running = False

    def start(self) -> None:
        """Send a check now, unless one is in progress, the incarnation is known already, or the path is not known."""
        path = self._health_path()
        if self._lifecycle.server or self._running or path is None:
            return
        self._running = True
        HealthCheck(self._reactor, self._pool, path, self._on_result)

    def _on_result(self, server: str | None, slots: int) -> None:
        if server is None:
            self._reactor.after(RETRY_US, self._retry)
        elif self._lifecycle.on_health_check(server, self._service, slots, self._reactor.now()):
            log.info("backend %s of service %s identified by a health check, %d slots", server, self._service, slots)
            self._reactor.after(HEALTH_CHECK_VALID_US, self._on_expired)
            self._on_changed()

    def _on_expired(self) -> None:
        if self._lifecycle.expire_health_check(self._reactor.now()):
            log.info("backend %s is not ready: no heartbeat since its health check", self._lifecycle.server)
            self._on_changed()

    def _retry(self) -> None:
        self._running = False
        self.start()
