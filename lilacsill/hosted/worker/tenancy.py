"""The tenants in one worker: routes, limits, flows at the core, and the usage account."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lilacsill.http1.message import Message

from ...clock import Clock
from ..decisions.directory import Directory, Tenant
from ..decisions.fair_queue import FairQueue
from ..decisions.limits import TenantLimiter
from ..decisions.refusals import LimitExceeded, Refusal, RefusalCause
from ..decisions.usage import UsageAccount
from ..resources import Kind, Resource, State, TenantSpec
from .pools import PoolRuntime

ANONYMOUS = 0
"""The uid and flow of connections that have not presented a valid credential; uids of tenants start at 1."""
REFUSED_WEIGHT = 1 / 8
"""The part of a tenant's weight for reading connections whose last request was refused by a limit."""
COST_GAIN = 0.2
"""Weight of a new measurement in the smoothed cost of a request."""
INITIAL_COST_US = 300.0
"""The cost of a request until the first measurement."""


def refused_flow(uid: int) -> int:
    """Return the second flow of a tenant, for connections whose last request was refused by a limit.

    Clients that retry at once do not delay the tenant's other connections.
    """
    return -uid


@dataclass(slots=True, eq=False)
class TenantState:
    """The state of one incarnation of a tenant that has used this worker."""

    uid: int
    name: str
    limiter: TenantLimiter
    weight: float
    is_leaving: bool = False
    """The tenant is being removed, or is removed."""
    demand: int = 0
    """Requests since the last report."""

    @property
    def is_idle(self) -> bool:
        """Whether the tenant has neither a request in flight nor a connection."""
        return not self.limiter.in_flight and not self.limiter.connections


class Tenancy:
    """All state by tenant. A tenant that is configured and idle costs its entry in the directory only.

    Args:
        clock: The clock of the event loop, in microseconds.
        wall_s: Reads the wall clock, in seconds of Unix time.
        workers: The number of workers.
        make_pool: Makes the runtime of a pool of the directory.
        on_drained: Is called with the uid of a tenant that is being removed once nothing is left of it here.
    """

    def __init__(
        self,
        clock: Clock,
        wall_s: Callable[[], float],
        workers: int,
        make_pool: Callable[[str, Directory], PoolRuntime],
        on_drained: Callable[[int], None],
    ) -> None:
        self._clock, self._wall_s, self._workers = clock, wall_s, workers
        self._make_pool, self._on_drained = make_pool, on_drained
        self.directory = Directory()
        self.fair_queue = FairQueue()
        self.fair_queue.join(ANONYMOUS, 1.0)
        self.account = UsageAccount()
        self.pools: dict[str, PoolRuntime] = {}
        self.states: dict[int, TenantState] = {}  # by uid
        self._limit_shares: dict[int, float] = {}  # by uid
        self._request_cost_us = INITIAL_COST_US  # beyond reading it
        self._read_us, self._accepted = 0.0, 0  # since the last measurement

    def now_us(self) -> int:
        """Read the clock of the event loop."""
        return self._clock.now()

    def _minute(self) -> int:
        return int(self._wall_s() // 60)

    def route(self, request: Message) -> tuple[TenantState, PoolRuntime] | Refusal:
        """Find the tenant and the pool of a request, or why it is refused."""
        found = self.directory.route(
            request.header(b"authorization"), request.header(b"host") or "", request.header(b"tenant")
        )
        if isinstance(found, Refusal):
            row = self.account.row(ANONYMOUS, self._minute())
            row.requests += 1
            row.count_refusal(found.cause)
            return found
        tenant, pool = found
        state = self.states.get(tenant.uid) or self._add_state(tenant)
        runtime = self.pools.get(pool.name)
        if runtime is None:
            runtime = self.pools[pool.name] = self._make_pool(pool.name, self.directory)
        runtime.set_tenant(tenant)
        return state, runtime

    def _add_state(self, tenant: Tenant) -> TenantState:
        limiter = TenantLimiter(tenant.spec.limits, self._limit_share(tenant.uid))
        state = self.states[tenant.uid] = TenantState(tenant.uid, tenant.name, limiter, tenant.spec.weight)
        self._join_fair_queue(tenant.uid, tenant.spec.weight)
        return state

    def _limit_share(self, uid: int) -> float:
        return self._limit_shares.get(uid, 1.0 / self._workers)

    def _join_fair_queue(self, uid: int, weight: float) -> None:
        self.fair_queue.join(uid, weight)
        self.fair_queue.join(refused_flow(uid), REFUSED_WEIGHT * weight)

    def bind_connection(self, previous: int, state: TenantState) -> LimitExceeded | None:
        """Move a connection to the tenant whose credential it presents, unless a limit of that tenant refuses it.

        Args:
            previous: The uid of the connection's tenant until now.
            state: The other tenant.
        """
        exceeded = state.limiter.admit_connection(self.now_us())
        if exceeded is None:
            self.connection_closed(previous)
        return exceeded

    def connection_closed(self, tenant: int) -> None:
        """Count a connection of a tenant as closed."""
        state = self.states.get(tenant)
        if state is not None:
            state.limiter.connection_closed()
            self._forget_if_drained(state)

    def is_leaving(self, tenant: int) -> bool:
        """Say whether a tenant is being removed, or is removed."""
        state = self.states.get(tenant)
        return state is not None and state.is_leaving

    def record_read(self, tenant: int, bytes_in: int, cost_us: float) -> None:
        """Account for data that was read from a connection of a tenant."""
        self._read_us += cost_us
        row = self.account.row(tenant, self._minute())
        row.bytes_in += bytes_in
        row.cpu_us += cost_us

    def record_accepted(self, state: TenantState) -> None:
        """Account for a request that is passed on, and charge its further cost to the tenant's flow."""
        state.demand += 1
        self._accepted += 1
        self.fair_queue.charge(state.uid, self._request_cost_us, self.now_us())
        row = self.account.row(state.uid, self._minute())
        row.requests += 1
        row.cpu_us += self._request_cost_us

    def record_refusal(self, tenant: int, cause: RefusalCause) -> None:
        """Account for a request that is refused."""
        state = self.states.get(tenant)
        if state is not None:
            state.demand += 1
        row = self.account.row(tenant, self._minute())
        row.requests += 1
        row.count_refusal(cause)

    def record_answer(self, state: TenantState, status: int | None, bytes_out: int, within_target: bool) -> None:
        """Account for the end of a request; `status` is None where the client has gone."""
        row = self.account.row(state.uid, self._minute())
        row.bytes_out += bytes_out
        if status == 200:
            row.served += 1
            row.within_target += within_target
        elif status in (429, 503):
            row.count_refusal(RefusalCause.BY_MODULE)
        else:
            row.failed += 1
        self._forget_if_drained(state)

    def update_request_cost(self, cpu_us: float) -> None:
        """Measure the further cost of a request: the CPU time since the last call, without the time for reading."""
        if self._accepted:
            cost_us = max(0.0, cpu_us - self._read_us) / self._accepted
            self._request_cost_us += COST_GAIN * (cost_us - self._request_cost_us)
        self._read_us, self._accepted = 0.0, 0

    def put(self, resource: Resource) -> None:
        """Apply a new or changed resource."""
        previous = self.directory.tenants.get(resource.name) if resource.kind is Kind.TENANT else None
        if previous is not None and previous.uid != resource.uid:  # removed and created again between two updates
            self._remove_incarnation(previous.uid)
        self.directory.put(resource)
        if isinstance(resource.spec, TenantSpec):
            if previous is not None and previous.uid == resource.uid and previous.spec.pool != resource.spec.pool:
                runtime = self.pools.get(previous.spec.pool)
                if runtime is not None:
                    runtime.forget_tenant(resource.uid)
            self._apply_spec(resource.uid, resource.spec)
        elif resource.kind is Kind.POOL:
            self._pool_changed(resource.name)

    def _apply_spec(self, uid: int, spec: TenantSpec) -> None:
        state = self.states.get(uid)
        if state is not None:
            state.limiter.limits, state.weight = spec.limits, spec.weight
            self._join_fair_queue(uid, spec.weight)
        if spec.state is not State.REMOVING:
            return
        if state is None:
            self._on_drained(uid)
        else:
            state.is_leaving = True
            self._forget_if_drained(state)

    def drop(self, kind: Kind, name: str, revision: int) -> None:
        """Apply the removal of a resource."""
        tenant = self.directory.tenants.get(name) if kind is Kind.TENANT else None
        self.directory.drop(kind, name, revision)
        if tenant is not None:
            self._remove_incarnation(tenant.uid)
        elif kind is Kind.POOL:
            runtime = self.pools.pop(name, None)
            if runtime is not None:
                runtime.retire()

    def _remove_incarnation(self, uid: int) -> None:
        """Forget a removed tenant, except for its requests in flight and its connections until they end."""
        state = self.states.get(uid)
        if state is not None:
            state.is_leaving = True
        for runtime in self.pools.values():
            runtime.forget_tenant(uid)
        if state is not None and state.is_idle:
            self._forget(state)

    def set_limit_shares(self, shares: dict[int, float]) -> None:
        """Set this worker's share of the limits of tenants, by uid; the others have an even share."""
        self._limit_shares = shares
        for uid, state in self.states.items():
            state.limiter.share = self._limit_share(uid)

    def _pool_changed(self, name: str) -> None:
        runtime, pool = self.pools.get(name), self.directory.pools[name]
        if runtime is None:
            return
        if runtime.has_settings_of(pool) and runtime.pool.uid == pool.uid:
            runtime.set_discovery(pool)
        else:
            del self.pools[name]
            runtime.retire()

    def _forget_if_drained(self, state: TenantState) -> None:
        if state.is_leaving and state.is_idle:
            self._forget(state)
            self._on_drained(state.uid)

    def _forget(self, state: TenantState) -> None:
        self.states.pop(state.uid, None)
        self.fair_queue.leave(state.uid)
        self.fair_queue.leave(refused_flow(state.uid))
        self._limit_shares.pop(state.uid, None)
        for runtime in self.pools.values():
            runtime.forget_tenant(state.uid)
