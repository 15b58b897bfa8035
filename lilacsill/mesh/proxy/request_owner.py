"""The interface to the state that all requests of a proxy share."""

from __future__ import annotations

from random import Random
from typing import Protocol

from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.tenants.tenant import Tenant

from .request_counters import RequestCounters
from .request_permits import RequestPermits
from .route_statistics import RouteStatistics
from .routes import Route
from .upstreams import Upstreams


class InFlightRequest(Protocol):
    """A request without a complete response yet."""

    def abort_for_shutdown(self) -> None:
        """End the request at once because the process shuts down. The request may have run."""


class RequestOwner(Protocol):
    """State that all requests of this proxy share. It is notified when a request ends."""

    reactor: Reactor
    rng: Random
    upstreams: Upstreams
    statistics: RouteStatistics
    counters: RequestCounters
    permits: RequestPermits
    caller: bytes  # the service of the backend on this machine, sent as `Calling-Service`

    def priority(self, route: Route, tenant: Tenant | None) -> int:
        """Return the priority of a tenant's request on a route; lower is more urgent."""

    def request_ended(self, request: InFlightRequest) -> None:
        """Remove a request that has ended from the requests in flight."""
