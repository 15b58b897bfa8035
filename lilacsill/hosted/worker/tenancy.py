"""The tenants as one worker has them: routes, what each holds, whose turn it is, and the account of use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...clock import Clock
from ...http1.message import Message
from ..decisions.directory import Directory, Tenant
from ..decisions.fair_queue import FairQueue
from ..decisions.limits import TenantLimiter
from ..decisions.refusals import LimitExceeded, Refusal, RefusalCause
from ..decisions.usage import UsageAccount
from ..resources import Kind, Resource, State, TenantSpec
from .pools import PoolRuntime

ANONYMOUS = 0  # who has shown no good credential yet; uids count from 1
REFUSED_PART = 1 / 8  # of a tenant's weight, for reading the connections whose last request was refused as over share
COST_GAIN = 0.2  # weight of a new figure in the smoothed cost of a request
COST_US = 300.0  # until the first figure


def refused_turn(uid: int) -> int:
    """A tenant's second account: what a client that asks again at once costs, its others do not wait for."""
    return -uid


@dataclass(slots=True, eq=False)
class Held:
    """One incarnation of a tenant, here."""

    uid: int
    name: str
    holdings: TenantLimiter
    weight: float
    leaving: bool = False
    demand: int = 0  # requests since the last report


class Tenancy:
    """All state by tenant. A tenant that is configured and idle costs its entry in the directory and no more."""

    def __init__(
        self,
        clock: Clock,
        wall_s: Callable[[], float],
        workers: int,
        make_pool: Callable[[str, Directory], PoolRuntime],
        drained: Callable[[int], None],
    ) -> None:
        self._clock, self._wall_s, self._workers = clock, wall_s, workers
        self._make_pool, self._drained = make_pool, drained
        self.directory = Directory()
        self.turns = FairQueue()
        self.turns.join(ANONYMOUS, 1.0)
        self.account = UsageAccount()
        self.pools: dict[str, PoolRuntime] = {}
        self.held: dict[int, Held] = {}  # those that have used this worker
        self._parts: dict[int, float] = {}
        self.cost_us = COST_US  # of a request, behind what reading it took
        self._read_us, self._taken = 0.0, 0

    def now(self) -> int:
        return self._clock.now()

    def minute(self) -> int:
        return int(self._wall_s() // 60)

    # Who asks

    def route(self, request: Message) -> tuple[Held, PoolRuntime] | Refusal:
        found = self.directory.route(
            request.header(b"authorization"), request.header(b"host") or "", request.header(b"tenant")
        )
        if isinstance(found, Refusal):
            row = self.account.row(ANONYMOUS, self.minute())
            row.requests += 1
            row.count_refusal(found.cause)
            return found
        tenant, pool = found
        held = self.held.get(tenant.uid) or self._hold(tenant)
        runtime = self.pools.get(pool.name)
        if runtime is None:
            runtime = self.pools[pool.name] = self._make_pool(pool.name, self.directory)
        runtime.knows(tenant)
        return held, runtime

    def _hold(self, tenant: Tenant) -> Held:
        part = self._parts.get(tenant.uid, 1.0 / self._workers)
        holdings = TenantLimiter(tenant.spec.limits, part)
        held = self.held[tenant.uid] = Held(tenant.uid, tenant.name, holdings, tenant.spec.weight)
        self._join(tenant.uid, tenant.spec.weight)
        return held

    def _join(self, uid: int, weight: float) -> None:
        self.turns.join(uid, weight)
        self.turns.join(refused_turn(uid), REFUSED_PART * weight)

    def bind(self, before: int, held: Held) -> LimitExceeded | None:
        """A connection that was `before`'s shows the credential of another tenant."""
        over = held.holdings.admit_connection(self.now())
        if over is None:
            self.connection_closed(before)
        return over

    def connection_closed(self, tenant: int) -> None:
        held = self.held.get(tenant)
        if held is not None:
            held.holdings.connection_closed()
            self._end_if_idle(held)

    def leaving(self, tenant: int) -> bool:
        held = self.held.get(tenant)
        return held is not None and held.leaving

    # What becomes of requests

    def read(self, tenant: int, nbytes: int, cost_us: float) -> None:
        self._read_us += cost_us
        row = self.account.row(tenant, self.minute())
        row.bytes_in += nbytes
        row.cpu_us += cost_us

    def took(self, held: Held) -> None:
        held.demand += 1
        self._taken += 1
        self.turns.charge(held.uid, self.cost_us, self.now())
        row = self.account.row(held.uid, self.minute())
        row.requests += 1
        row.cpu_us += self.cost_us

    def refused(self, tenant: int, cause: RefusalCause) -> None:
        held = self.held.get(tenant)
        if held is not None:
            held.demand += 1
        row = self.account.row(tenant, self.minute())
        row.requests += 1
        row.count_refusal(cause)

    def answered(self, held: Held, status: int, nbytes: int, in_aim: bool) -> None:
        row = self.account.row(held.uid, self.minute())
        row.bytes_out += nbytes
        if status == 200:
            row.served += 1
            row.within_target += in_aim
        elif status in (429, 503):
            row.count_refusal(RefusalCause.BY_MODULE)
        else:
            row.failed += 1
        self._end_if_idle(held)

    def cost_is(self, cpu_us: float) -> None:
        """The process has used so much since the last time: what reading did not use is the requests'."""
        if self._taken:
            self.cost_us += COST_GAIN * (max(0.0, cpu_us - self._read_us) / self._taken - self.cost_us)
        self._read_us, self._taken = 0.0, 0

    # What the supervisor tells

    def put(self, r: Resource) -> None:
        old = self.directory.tenants.get(r.name) if r.kind is Kind.TENANT else None
        if old is not None and old.uid != r.uid:  # removed and created again between two updates
            self.gone(old.uid)
        self.directory.put(r)
        if isinstance(r.spec, TenantSpec):
            if old is not None and old.uid == r.uid and old.spec.pool != r.spec.pool:
                runtime = self.pools.get(old.spec.pool)
                if runtime is not None:
                    runtime.forget(r.uid)
            held = self.held.get(r.uid)
            if held is not None:
                held.holdings.limits, held.weight = r.spec.limits, r.spec.weight
                self._join(r.uid, r.spec.weight)
            if r.spec.state is State.REMOVING:
                if held is None:
                    self._drained(r.uid)
                else:
                    held.leaving = True
                    self._end_if_idle(held)
        elif r.kind is Kind.POOL:
            self._pool_changed(r.name)

    def drop(self, kind: Kind, name: str, revision: int) -> None:
        tenant = self.directory.tenants.get(name) if kind is Kind.TENANT else None
        self.directory.drop(kind, name, revision)
        if tenant is not None:
            self.gone(tenant.uid)
        elif kind is Kind.POOL:
            runtime = self.pools.pop(name, None)
            if runtime is not None:
                runtime.leave()

    def gone(self, uid: int) -> None:
        """Nothing of this incarnation is kept but what is in hand, which ends by itself."""
        held = self.held.get(uid)
        if held is not None:
            held.leaving = True
        for runtime in self.pools.values():
            runtime.forget(uid)
        if held is not None and not held.holdings.in_flight and not held.holdings.connections:
            self._forget(held)

    def parts(self, parts: dict[int, float]) -> None:
        self._parts = parts
        for uid, held in self.held.items():
            held.holdings.share = parts.get(uid, 1.0 / self._workers)

    def _pool_changed(self, name: str) -> None:
        runtime, pool = self.pools.get(name), self.directory.pools[name]
        if runtime is None:
            return
        if runtime.same_settings(pool) and runtime.pool.uid == pool.uid:
            runtime.move(pool)
        else:
            del self.pools[name]
            runtime.leave()

    def _end_if_idle(self, held: Held) -> None:
        if held.leaving and not held.holdings.in_flight and not held.holdings.connections:
            self._forget(held)
            self._drained(held.uid)

    def _forget(self, held: Held) -> None:
        self.held.pop(held.uid, None)
        self.turns.leave(held.uid)
        self.turns.leave(refused_turn(held.uid))
        self._parts.pop(held.uid, None)
        for runtime in self.pools.values():
            runtime.forget(held.uid)
