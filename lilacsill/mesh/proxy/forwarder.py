"""Routes the requests of the clients on this machine, and keeps the set of requests in flight."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.tenants.tenant import Tenant

from .active_config import ActiveConfig
from .forwarded_request import ForwardedRequest
from .graceful_shutdown import GracefulShutdown
from .reasons import RefusalReason
from .request_counters import RequestCounters
from .request_head import client_timeout_us
from .request_owner import InFlightRequest
from .request_permits import RequestPermits
from .response_writer import ResponseWriter, retry_after
from .route_statistics import RouteStatistics
from .routes import Route
from .tenant_check import KeyRefusal, check_tenant, request_priority
from .upstreams import Upstreams

UNKNOWN_CONFIG_RETRY_AFTER = (b"Retry-After", b"0.2")  # in seconds; the configuration arrives soon after a start
MEMORY_RETRY_AFTER = (b"Retry-After", b"0.2")  # in seconds


class Forwarder:
    """Matches requests to routes and forwards them. Implements `request_owner.RequestOwner`."""

    def __init__(
        self,
        reactor: Reactor,
        config: ActiveConfig,
        upstreams: Upstreams,
        service: str,
        rng: Random,
        is_config_current: Callable[[], bool],
    ) -> None:
        """Create a forwarder.

        Args:
            reactor: Clock and timers of the process.
            config: The routes, tenants and limits in use.
            upstreams: The backends of all services.
            service: The service of the backend on this machine; forwarded requests name it as their caller.
            rng: Source of randomness for traffic splits and jitter.
            is_config_current: Returns whether `config` is known to be the configuration in force.
        """
        self.reactor, self.config, self.upstreams, self.rng = reactor, config, upstreams, rng
        self.caller = service.encode()
        self.statistics = RouteStatistics()
        self.counters = RequestCounters()
        self.permits = RequestPermits(reactor, rng, self.counters)
        self.in_flight: set[InFlightRequest] = set()
        self.is_config_current = is_config_current
        self.shutdown: GracefulShutdown | None = None  # set on SIGTERM

    def forward(
        self, request: HttpMessage, response: ResponseWriter, is_complete: bool = True
    ) -> ForwardedRequest | None:
        """Forward a request to a backend.

        Args:
            request: The request. Without `is_complete`, the rest of its body is passed to `ForwardedRequest.add_body`.
            response: Receives the response, possibly before this method returns.
            is_complete: Whether the whole body has been received.

        Returns:
            The request, which may be over already; None if it was refused for its route, its key or the shutdown.
        """
        host = request.fields.get(b"host", b"").lower().partition(b":")[0]
        route = self.config.match(host, request.target.partition(b"?")[0])
        if route is None:
            self._refuse_without_route(response)
            return None
        tenant = check_tenant(self.config, route, request, self.is_config_current)
        if isinstance(tenant, KeyRefusal):
            self._refuse_key(tenant, response)
            return None
        if self.shutdown is not None and not self._can_finish(self.shutdown, request, route):
            self.counters.responses[503] += 1
            response.send_response(503, [retry_after(route.target_us, self.rng)], b"this proxy shuts down\n")
            return None
        forwarded = ForwardedRequest(self, request, route, response, is_complete, tenant)
        self.in_flight.add(forwarded)
        forwarded.start()
        return forwarded

    def refuse_for_memory(self, response: ResponseWriter) -> None:
        """Refuse a large request before it is forwarded, because the memory of this process is nearly spent."""
        self.counters.refusals[RefusalReason.MEMORY] += 1
        self.counters.responses[503] += 1
        response.send_response(503, [MEMORY_RETRY_AFTER], b"out of memory for large requests\n")

    def request_ended(self, request: InFlightRequest) -> None:
        """Remove a request from the set of requests in flight."""
        self.in_flight.discard(request)

    def _refuse_without_route(self, response: ResponseWriter) -> None:
        # 404 requires the configuration in force: an outdated one may lack a route that exists.
        if self.is_config_current():
            self.counters.responses[404] += 1
            response.send_response(404, [], b"no route\n")
        else:
            self._refuse_without_config(response)

    def _refuse_without_config(self, response: ResponseWriter) -> None:
        self.counters.responses[503] += 1
        response.send_response(503, [UNKNOWN_CONFIG_RETRY_AFTER], b"the configuration is not known\n")

    def _refuse_key(self, refusal: KeyRefusal, response: ResponseWriter) -> None:
        if refusal is KeyRefusal.UNDECIDED:
            self.counters.refusals[RefusalReason.KEY_UNDECIDED] += 1
            self._refuse_without_config(response)
            return
        self.counters.refusals[RefusalReason.UNKNOWN_KEY] += 1
        self.counters.responses[401] += 1
        response.send_response(401, [], b"no tenant has this key\n")

    def priority(self, route: Route, tenant: Tenant | None) -> int:
        """Return the priority of a tenant's request on a route; lower is more urgent."""
        return request_priority(route, tenant, self.config.has_tenants)

    def _can_finish(self, shutdown: GracefulShutdown, request: HttpMessage, route: Route) -> bool:
        time_left_us = min(client_timeout_us(request), route.timeout_us)
        return shutdown.can_finish(self.reactor.now(), time_left_us)
