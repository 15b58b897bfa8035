"""The backends of all services: endpoint tables, retry budgets, and sending of offers."""

from __future__ import annotations

from random import Random

from lilacsill.address import Address
from lilacsill.mesh.runtime.messages import Endpoint, Offer
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .endpoint_table import EndpointTable
from .exchange import Exchange, LocalExchange, OutcomeListener
from .exchange_links import ExchangeLinks
from .retry_budget import RetryBudget, RetryBudgetSettings


class Upstreams:
    """Endpoint tables and retry budgets by service, and the links to the proxies of the backends."""

    def __init__(
        self, reactor: Reactor, gateway: BackendGateway, node: str, budget: RetryBudgetSettings, rng: Random
    ) -> None:
        self._reactor, self._gateway, self._node = reactor, gateway, node
        self._budget_settings, self._rng = budget, rng
        self._budgets: dict[str, RetryBudget] = {}
        self._last_attempt_number = 0
        self.tables: dict[str, EndpointTable] = {}
        self.links = ExchangeLinks(reactor)
        self.proxy_count = 1  # in the fleet; the proxies share the slack of the retry budget

    def table(self, service: str) -> EndpointTable:
        """Return the endpoint table of a service, which may be empty."""
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = EndpointTable(self._rng)
        return table

    def budget(self, service: str) -> RetryBudget:
        """Return this proxy's part of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_settings)
        return budget

    def try_retry(self, service: str, now: int) -> bool:
        """Spend one retry of the budget of a service. Return False if the budget is exhausted."""
        return self.budget(service).try_spend(now, self.proxy_count)

    def next_attempt_number(self) -> int:
        """Return a new attempt number."""
        self._last_attempt_number += 1
        return self._last_attempt_number

    def offer(self, endpoint: Endpoint, offer: Offer, listener: OutcomeListener) -> Exchange:
        """Offer a request to the backend of this machine, or to the proxy on the machine of another backend."""
        if endpoint.node == self._node:
            return LocalExchange(self._reactor, self._gateway, offer, listener)
        return self.links.offer(Address(endpoint.host, endpoint.port), offer, listener)
