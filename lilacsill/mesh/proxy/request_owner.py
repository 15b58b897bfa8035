"""What all requests of a proxy share, as one of them sees it."""

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
    """A request that has no response yet."""

    def break_off(self) -> None:
        """Answer at once, since the process ends. The request may have run."""


class RequestOwner(Protocol):
    """What all requests of this proxy share, and the one that is notified of their ends."""

    reactor: Reactor
    rng: Random
    upstreams: Upstreams
    statistics: RouteStatistics
    counters: RequestCounters
    permits: RequestPermits
    caller: bytes  # the service of the backend on this machine, which all its requests are marked with

    def priority(self, route: Route, tenant: Tenant | None) -> int:
        """Return how urgent a request of a tenant is on a route; lower is more urgent."""

    def request_ended(self, request: InFlightRequest) -> None:
        """Forget the request."""
