"""The backends of all services, as this proxy sees and reaches them."""

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
    """Endpoints and retry budgets by service, and the ways to the proxies beside the backends."""

    def __init__(
        self, reactor: Reactor, gateway: BackendGateway, node: str, budget: RetryBudgetSettings, rng: Random
    ) -> None:
        self._reactor, self._gateway, self._node = reactor, gateway, node
        self._budget_settings, self._rng = budget, rng
        self._budgets: dict[str, RetryBudget] = {}
        self._attempts = 0
        self.tables: dict[str, EndpointTable] = {}
        self.links = ExchangeLinks(reactor)
        self.proxies = 1  # how many there are; they share the slack of the retry budget

    def table(self, service: str) -> EndpointTable:
        """Return the endpoints of a service; there may be none."""
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = EndpointTable(self._rng)
        return table

    def budget(self, service: str) -> RetryBudget:
        """Return this proxy's part in the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_settings)
        return budget

    def try_retry(self, service: str, now: int) -> bool:
        """Take one retry out of the budget of a service. Returns False, and takes nothing, where it is spent."""
        return self.budget(service).try_spend(now, self.proxies)

    def next_attempt(self) -> int:
        """Return a new number of an attempt."""
        self._attempts += 1
        return self._attempts

    def offer(self, endpoint: Endpoint, offer: Offer, listener: OutcomeListener) -> Exchange:
        """Offer a request to the backend of this machine, or to the proxy beside another one."""
        if endpoint.node == self._node:
            return LocalExchange(self._reactor, self._gateway, offer, listener)
        return self.links.offer(Address(endpoint.host, endpoint.port), offer, listener)
