"""Quotas in virtual time: members of the store that own them, proxies that ask, tenants that send more than they may.

The stores are complete ones, with views, votes and leases. Judged is what arrives at backends: in no window of the
quota more than the rule allows of the requests that were sent and arrived in it, whatever the faults; and in calm times
no refusal of a tenant that stays clearly inside its quota. Faults by seed: kills, restarts within a view, freezes,
partitions of owners and proxies; limits that are lowered and raised.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from functools import partial

import msgspec

from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.quota.quota_decision import QuotaDecision, QuotaVerdict
from lilacsill.mesh.quota.quota_limits import QuotaLimits, TenantLimit
from lilacsill.mesh.runtime.core_members import CoreMembers, owner_of
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.settings import TimingBounds
from lilacsill.mesh.store.node import Store
from lilacsill.mesh.store.quotas import TENANT

from .network import MS, SECOND, Machine
from .store_fleet import Fleet, RuleBroken

CORES, PROXIES = 5, 6
LOST = 2  # core machines that may be lost at once
CLOCK_DRIFT = 0.002
FORMED_US = 5 * SECOND  # until all core machines are in the chain
FAULTS_FROM_US, LENGTH_US = 13 * SECOND, 35 * SECOND
RECOVERY_US = 4 * SECOND  # after a fault, until a tenant inside its quota is refused no more
FLAP_COUNT, FLAP_LOST_US, FLAP_BACK_US = 3, 1600 * MS, 1200 * MS
SPLIT_US = 3 * SECOND  # longer than the other faults: an owner with old rights must be able to break the bound
PATIENCE_US = 150 * MS
MAX_TRANSIT_US = 20 * MS  # from a proxy to a backend
RETRY_CHANGE_US = 100 * MS
CANCELLED_SHARE = 0.02  # of the requests, by their clients

FAULTS = (
    "kill_owner",
    "kill",
    "restart_owner",
    "restart_often",
    "freeze_owner",
    "isolate_owner",
    "isolate_one_way",
    "split",
    "split",  # an owner and half of the proxies on one side
    "flap",
    "partition_proxy",
    "freeze_proxy",
    "restart_proxy",
)


class Pattern(msgspec.Struct, frozen=True):
    """How a tenant sends.

    Attributes:
        limit: Its quota at the start.
        rate: Requests a second, at random times; 0: it sends bursts only.
        burst: Requests at once.
        burst_pause_us: Between two bursts.
        is_inside: Whether it stays clearly inside its quota.
        is_local: Whether all its requests come to one proxy.
    """

    limit: TenantLimit
    rate: float
    burst: int = 0
    burst_pause_us: int = 0
    is_inside: bool = False
    is_local: bool = False


PATTERNS = {
    "hot-small": Pattern(TenantLimit(2, 2), 100),
    "hot": Pattern(TenantLimit(5, 5), 250),
    "greedy": Pattern(TenantLimit(40, 40), 120),
    "pulsing": Pattern(TenantLimit(20, 20), 0, 40, 500 * MS, is_local=True),
    "lowered": Pattern(TenantLimit(60, 60), 70),
    "steady": Pattern(TenantLimit(40, 40), 25, is_inside=True),
    "small": Pattern(TenantLimit(5, 5), 2, is_inside=True),
    "bursty": Pattern(TenantLimit(10, 10), 0, 8, 1500 * MS, is_inside=True),
    "saving": Pattern(TenantLimit(30, 30), 0, 30, 4 * SECOND, is_inside=True),
}
CHANGED = "lowered"
BEYOND = [tenant for tenant, pattern in PATTERNS.items() if not pattern.is_inside]  # these exhaust their quotas
FLAPPED = "greedy"  # its quota changes hands often: a bucket is full again after a short absence
LOWER_LIMIT = TenantLimit(5, 5)


class Arrival(msgspec.Struct, frozen=True):
    """One request that a backend runs; times in microseconds."""

    sent_at: int
    arrived_at: int


class LimitPeriod(msgspec.Struct):
    """A time in which a limit may have been in force."""

    limit: TenantLimit
    begin: int
    end: int | None = None


class QuotaDay:
    """One schedule.

    Attributes:
        arrivals: By tenant, in the order of arrival at proxies.
        refused: By verdict, of requests inside the quota in calm times.
        story: The faults, for whoever looks into a broken rule.
    """

    def __init__(self, seed: int, fault_count: int = 5) -> None:
        self.fleet = Fleet(seed, CORES, LOST, drift=CLOCK_DRIFT)
        self.net, self.rng = self.fleet.net, self.fleet.rng
        self.limits = QuotaLimits(TimingBounds())
        self.arrivals: dict[str, list[Arrival]] = {tenant: [] for tenant in PATTERNS}
        self.periods = {tenant: [LimitPeriod(pattern.limit, 0)] for tenant, pattern in PATTERNS.items()}
        self.refused: dict[QuotaVerdict, int] = {}
        self.asked_inside = 0
        self.story: list[str] = []
        self._fault_count = fault_count
        self._disturbed: list[tuple[int, int]] = []
        self._refused_inside: list[tuple[int, str, QuotaVerdict]] = []
        self._version = 0
        self.proxies = [Machine(self.net, f"proxy-{i}", 1) for i in range(PROXIES)]
        self.clients: dict[str, QuotaClient] = {}
        for proxy in self.proxies:
            self.net.machines[proxy.address] = proxy
            self._start_proxy(proxy)

    def play(self) -> None:
        """Play the day, and judge it.

        Raises:
            RuleBroken: A tenant was given more than its quota, or refused inside it.
        """
        time = self.net.time
        for tenant, pattern in PATTERNS.items():
            time.at(FORMED_US, self._set_limit, tenant, pattern.limit, self._ignore)
            time.at(FORMED_US + SECOND, self._send_next, tenant, pattern)
        for _ in range(self._fault_count):
            time.at(self._random_time(), self._fault)
        time.at(self._random_time(), self._lower_and_raise)
        time.run(LENGTH_US)
        for tenant in PATTERNS:
            self._judge_bound(tenant)
        self._judge_refusals()

    def _random_time(self) -> int:
        return FAULTS_FROM_US + self.rng.randrange(LENGTH_US - FAULTS_FROM_US - 4 * SECOND)

    # Tenants

    def _send_next(self, tenant: str, pattern: Pattern) -> None:
        if pattern.burst:
            for _ in range(pattern.burst):
                self._send(tenant, pattern)
            self.net.time.after(pattern.burst_pause_us, self._send_next, tenant, pattern)
            return
        self._send(tenant, pattern)
        self.net.time.after(int(self.rng.expovariate(pattern.rate) * SECOND), self._send_next, tenant, pattern)

    def _send(self, tenant: str, pattern: Pattern) -> None:
        """Send a request to some proxy, which may have ended or be frozen."""
        proxy = self.proxies[0] if pattern.is_local else self.rng.choice(self.proxies)
        sent_at = self.net.time.now
        self.asked_inside += pattern.is_inside
        self.net.time.after(0, proxy.here(partial(self._on_request, proxy, tenant, sent_at)))

    def _on_request(self, proxy: Machine, tenant: str, sent_at: int) -> None:
        on_decision = partial(self._on_decision, tenant, sent_at)
        pending = self.clients[proxy.address].request(tenant, PATIENCE_US, on_decision)
        if self.rng.random() < CANCELLED_SHARE:
            self.net.time.after(self.rng.randrange(2 * MS), pending.cancel)

    def _on_decision(self, tenant: str, sent_at: int, decision: QuotaDecision) -> None:
        now = self.net.time.now
        if decision.verdict is QuotaVerdict.GRANTED:
            self.arrivals[tenant].append(Arrival(sent_at, now + self.rng.randrange(MAX_TRANSIT_US)))
        elif PATTERNS[tenant].is_inside:
            self._refused_inside.append((sent_at, tenant, decision.verdict))

    # Limits

    def _set_limit(self, tenant: str, limit: TenantLimit, on_acknowledged: Callable[[], None]) -> None:
        """Change a limit at the head of the chain, and repeat that until it is acknowledged."""
        retry = partial(self._set_limit, tenant, limit, on_acknowledged)

        def on_commit(is_committed: bool) -> None:
            if is_committed:
                on_acknowledged()
            else:
                self.net.time.after(RETRY_CHANGE_US, retry)

        head = self._head()
        if head is None:
            self.net.time.after(RETRY_CHANGE_US, retry)
            return
        self._version += 1
        seq = head.replica.state.seq + 1
        body = msgspec.json.encode({"Name": tenant, "RatePerS": limit.rate, "BurstSize": limit.burst})
        head.chain.replicate([Item(TENANT, tenant, self._version, seq, body)], seq, on_commit)

    def _head(self) -> Store | None:
        """Return the head of the newest view, if it may append."""
        stores = [self.fleet.stores[address] for address in self.fleet.up() if address in self.fleet.stores]
        writable = [store for store in stores if store.chain.may_append and not self._is_frozen(store)]
        return max(writable, key=lambda store: store.replica.view.number, default=None)

    def _is_frozen(self, store: Store) -> bool:
        return self.net.machines[store.replica.me.address].frozen_until > self.net.time.now

    def _lower_and_raise(self) -> None:
        self._change_limit(LOWER_LIMIT, lambda: self.net.time.after(7 * SECOND, self._raise))

    def _raise(self) -> None:
        self._change_limit(PATTERNS[CHANGED].limit, self._ignore)

    def _change_limit(self, limit: TenantLimit, then: Callable[[], None]) -> None:
        before = self.periods[CHANGED][-1]
        self.periods[CHANGED].append(LimitPeriod(limit, self.net.time.now))

        def on_acknowledged() -> None:
            before.end = self.net.time.now
            then()

        self._set_limit(CHANGED, limit, on_acknowledged)

    @staticmethod
    def _ignore() -> None:
        """Wait for nothing."""

    # Faults

    def _start_proxy(self, proxy: Machine) -> None:
        proxy.begin()
        cores = [f"10.0.0.{i + 1}:1" for i in range(CORES)]
        self.clients[proxy.address] = QuotaClient(proxy, CoreMembers(lambda: cores))

    def _fault(self) -> None:
        kind = self.rng.choice(FAULTS)
        for_us = 300 * MS + self.rng.randrange(3 * SECOND)
        if kind == "split":
            for_us += SPLIT_US
        elif kind == "flap":
            for_us = FLAP_COUNT * (FLAP_LOST_US + FLAP_BACK_US)
        now = self.net.time.now
        self._disturbed.append((now, now + for_us))
        self.story.append(f"{now} {kind} {for_us}")
        if kind == "flap":
            self._flap(FLAP_COUNT)
        elif kind.endswith("proxy"):
            self._disturb_proxy(kind, self.rng.choice(self.proxies), for_us)
        else:
            self._disturb_core(kind, self._victim(kind), for_us)

    def _victim(self, kind: str) -> Machine:
        """Return a core machine, mostly one that owns a quota which is exhausted."""
        if kind == "kill":
            return self.net.machines[self.rng.choice(self._running_cores())]
        return self._owner(self.rng.choice(BEYOND))

    def _running_cores(self) -> list[str]:
        return [address for address in self.fleet.up() if address in self.fleet.stores]

    def _owner(self, tenant: str) -> Machine:
        """Return the owner of a quota in the newest view that some core machine knows."""
        cores = self._running_cores()
        newest = max((self.fleet.stores[address].replica.view for address in cores), key=lambda view: view.number)
        owner = owner_of(tenant, [member.address for member in newest.chain])
        return self.net.machines[owner if owner is not None and owner in cores else cores[0]]

    def _flap(self, count: int) -> None:
        """Cut the owner off, let it come back, and cut the next one off, so that the quota changes hands often."""
        if not count:
            return
        owner = self._owner(FLAPPED).address
        partition = self.net.partition({owner}, set(self.fleet.stores) - {owner})
        self.net.time.after(FLAP_LOST_US, self.net.heal, partition)
        self.net.time.after(FLAP_LOST_US + FLAP_BACK_US, self._flap, count - 1)

    def _disturb_core(self, kind: str, machine: Machine, for_us: int) -> None:
        time = self.net.time
        address = machine.address
        if kind == "freeze_owner":
            machine.frozen_until = time.now + for_us
        elif kind.startswith("isolate"):
            others = set(self.fleet.stores) - {address}
            partition = self.net.partition({address}, others, one_way=kind == "isolate_one_way")
            time.after(for_us, self.net.heal, partition)
        elif kind == "split":
            minority = {address, *(proxy.address for proxy in self.rng.sample(self.proxies, PROXIES // 2))}
            partition = self.net.partition(minority, set(self.net.machines) - minority)
            time.after(for_us, self.net.heal, partition)
        elif kind == "restart_often":
            for i in range(6):
                time.after(i * for_us // 6, self._restart, address)
        elif kind == "restart_owner":
            self._restart(address)
        else:
            machine.end(power=self.rng.random() < 0.5)
            time.after(for_us, self.fleet.start, address)

    def _restart(self, address: str) -> None:
        machine = self.net.machines[address]
        if machine.up:
            machine.end(power=False)
        self.net.time.after(20 * MS, self.fleet.start, address)

    def _disturb_proxy(self, kind: str, proxy: Machine, for_us: int) -> None:
        time = self.net.time
        if kind == "freeze_proxy":
            proxy.frozen_until = time.now + for_us
        elif kind == "partition_proxy":
            cores = self.rng.sample(sorted(self.fleet.stores), 3)
            partition = self.net.partition({proxy.address}, set(cores), one_way=self.rng.random() < 0.5)
            time.after(for_us, self.net.heal, partition)
        elif proxy.up:
            proxy.end(power=False)
            self._start_proxy(proxy)

    # The judge

    def worst_share(self, tenant: str) -> float:
        """Return the largest part of what the rule allows that arrived in one window; above 1 the rule is broken."""
        arrivals = sorted(self.arrivals[tenant], key=lambda arrival: arrival.sent_at)
        sent = [arrival.sent_at for arrival in arrivals]
        worst = 0.0
        for first, arrival in enumerate(arrivals):
            end = arrival.sent_at + self.limits.window_us
            behind = bisect_left(sent, end, first)
            count = sum(other.arrived_at < end for other in arrivals[first:behind])
            worst = max(worst, count / self._allowed(tenant, arrival.sent_at, end))
        return worst

    def _allowed(self, tenant: str, begin: int, end: int) -> float:
        """Return what the highest limit allows that may have been in force at some time of this window."""
        periods = [
            period
            for period in self.periods[tenant]
            if period.begin < end and (period.end is None or period.end > begin)
        ]
        return max(self.limits.max_requests(period.limit) for period in periods)

    def _judge_bound(self, tenant: str) -> None:
        worst = self.worst_share(tenant)
        if worst > 1:
            raise RuleBroken(f"QUOTA: {tenant} was given {worst:.3f} of what it may in some window")

    def _judge_refusals(self) -> None:
        for sent_at, tenant, verdict in self._refused_inside:
            if self._is_calm(sent_at):
                self.refused[verdict] = self.refused.get(verdict, 0) + 1
                self.story.append(f"{sent_at} {tenant} {verdict.name}")
        if self.refused:
            raise RuleBroken(f"refused inside the quota, in calm times: {self.refused}")

    def _is_calm(self, sent_at: int) -> bool:
        latest_end = sent_at + PATIENCE_US
        return not any(begin <= latest_end and sent_at <= end + RECOVERY_US for begin, end in self._disturbed)
