"""Builds the offers of one request: the common fields, and the time left at each attempt."""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.messages import Offer
from lilacsill.mesh.tenants.tenant import Tenant

from .endpoint_table import EndpointLoad
from .request_body import RequestBody
from .request_head import client_timeout_us, declared_length, forwarded_headers
from .request_owner import RequestOwner
from .routes import Route


class OfferTemplate:
    """Builds the offers of one request.

    Attributes:
        arrived_at: Arrival time of the request, in microseconds of the reactor's clock.
        deadline: When the client or the route times out, whichever is earlier, on the same clock.
    """

    def __init__(self, owner: RequestOwner, request: HttpMessage, route: Route, tenant: Tenant | None) -> None:
        """Create the template for a request that arrives now."""
        self._owner, self._request, self._route = owner, request, route
        timeout_us = client_timeout_us(request)
        self.arrived_at = owner.reactor.now()
        self.deadline = self.arrived_at + min(timeout_us, route.timeout_us)
        # A client that retries after a refusal has already used up a part of the latency target.
        time_spent_us = owner.statistics.time_spent_us(route.name, timeout_us)
        self._target_at = self.arrived_at + route.target_us - time_spent_us
        self._priority = owner.priority(route, tenant)
        self._headers = forwarded_headers(request, owner.caller, tenant.name if tenant is not None else None)

    def offer_to(self, entry: EndpointLoad, service: str, body: RequestBody, may_have_run: bool, now: int) -> Offer:
        """Return an offer to an endpoint of a service, with the body as received so far."""
        request, route = self._request, self._route
        return Offer(
            server=entry.endpoint.server,
            service=service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=self._headers,
            body=body.data,
            body_complete=body.is_complete,
            content_length=declared_length(request),
            time_left_ms=(self.deadline - now) // 1000,
            target_left_ms=(self._target_at - now) // 1000,
            priority=self._priority,
            idempotent=route.is_idempotent,
            may_have_run=may_have_run,
            expected_ms=self._owner.statistics.expected_ms(route.name) or 0,
        )
