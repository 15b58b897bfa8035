"""A tenant that sends many times its rate for some seconds, through all proxies."""

from __future__ import annotations

from random import Random

from .client import ClientWorld
from .customers import ClientKey, Tenant
from .observations import ClientRequest
from .repeats import SingleRequest

US_PER_S = 1_000_000
HOT_FACTOR = 7.5
HOT_US = 6 * US_PER_S  # longer than a window of the quota


class HotTenant:
    """Sends reads at an even rate, each on a connection of its own, until its time is over."""

    def __init__(self, world: ClientWorld, tenant: Tenant, key: ClientKey, proxy_ips: list[str], rng: Random) -> None:
        """Start to send."""
        self._world, self._key, self._proxy_ips, self._rng = world, key, proxy_ips, rng
        self._gap_us = int(US_PER_S / (HOT_FACTOR * tenant.rate_per_s))
        self._routes = [route for route in world.workload.routes if route.idempotent and not route.is_public]
        self._ends_at = world.reactor.now() + HOT_US
        self._send()

    def _send(self) -> None:
        now = self._world.reactor.now()
        if self._world.is_over or now >= self._ends_at:
            return
        route, ip = self._rng.choice(self._routes), self._rng.choice(self._proxy_ips)
        request = ClientRequest(self._world.next_attempt_id(), ip, route.name, route.idempotent, now, now)
        request.tenant, request.credential = self._key.tenant, self._key.credential
        SingleRequest(self._world, request)
        self._world.reactor.after(self._gap_us, self._send)
