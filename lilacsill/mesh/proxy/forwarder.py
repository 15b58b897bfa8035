"""Where the requests of this machine's clients begin: their route, and all of them that are in flight."""

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
from .request_head import client_patience_us
from .request_owner import InFlightRequest
from .request_permits import RequestPermits
from .response_writer import ResponseWriter, retry_after
from .route_statistics import RouteStatistics
from .routes import Route
from .tenant_check import KeyRefusal, check_tenant, request_priority
from .upstreams import Upstreams

UNKNOWN_CONFIG_RETRY_AFTER = (b"Retry-After", b"0.2")  # seconds; the configuration comes soon after a start


class Forwarder:
    """Routes requests and forwards them; `request_owner.RequestOwner` of all of them."""

    def __init__(
        self,
        reactor: Reactor,
        config: ActiveConfig,
        upstreams: Upstreams,
        service: str,
        rng: Random,
        is_config_current: Callable[[], bool],
    ) -> None:
        """Begin without requests; `service` is that of the backend on this machine, and marks its requests."""
        self.reactor, self.config, self.upstreams, self.rng = reactor, config, upstreams, rng
        self.caller = service.encode()
        self.statistics = RouteStatistics()
        self.counters = RequestCounters()
        self.permits = RequestPermits(reactor, rng, self.counters)
        self.in_flight: set[InFlightRequest] = set()
        self.is_config_current = is_config_current
        self.shutdown: GracefulShutdown | None = None  # from SIGTERM on

    def forward(
        self, request: HttpMessage, response: ResponseWriter, is_complete: bool = True
    ) -> ForwardedRequest | None:
        """Forward a request to a backend.

        Args:
            request: The request; with `is_complete` false, more of its body comes (`ForwardedRequest.add_body`).
            response: Where its response goes; it may be called before this returns.
            is_complete: Whether the body has come completely.

        Returns:
            None where the request was answered without having been offered.
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

    def request_ended(self, request: InFlightRequest) -> None:
        """Forget a request that has its response."""
        self.in_flight.discard(request)

    def _refuse_without_route(self, response: ResponseWriter) -> None:
        # Only a proxy that knows the configuration in force may say that a route is not there.
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
        """Return how urgent a request of a tenant is on a route; lower is more urgent."""
        return request_priority(route, tenant, self.config.has_tenants)

    def _can_finish(self, shutdown: GracefulShutdown, request: HttpMessage, route: Route) -> bool:
        time_left_us = min(client_patience_us(request), route.timeout_us)
        return shutdown.can_finish(self.reactor.now(), time_left_us)
