"""Settings of a balancer, fixed when it is created."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

from .backends import DiscoveryMode
from .checks import require, require_finite_non_negative


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    DEDUPLICATED = "keyed"  # the backends of one scope deduplicate attempts within a time window
    NOT_IDEMPOTENT = "unsafe"  # must not be executed twice


class DedupScope(Enum):
    """Group of backends that share the deduplication of a request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same targets and retry rules.

    Attributes:
        name: Name of the class.
        latency_target_us: Latency up to which a response has its full value; microseconds, above 0.
        deadline_us: Total time that the client waits, including its own retries; microseconds, above 0.
        idempotency: Whether a request may be executed more than once; IDEMPOTENT by default.
        dedup_scope: Backends that deduplicate together, for DEDUPLICATED only; ALL by default.
        dedup_window_us: Time from the first attempt that may have run during which backends drop duplicates, for
            DEDUPLICATED only; microseconds, 0 by default.
        value: Value of a response within the latency target, in the caller's unit; 1.0 by default.
        late_value: Fraction of the value that a response after the latency target keeps, 0 to 1; 0.0 by default.
        target_per_cost: Multiple of a request's estimated cost that is added to its latency target; 0.0 by default.
    """

    name: str
    latency_target_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_us: int = 0
    value: float = 1.0
    late_value: float = 0.0
    target_per_cost: float = 0.0

    def __post_init__(self) -> None:
        require(self.latency_target_us > 0, "latency_target_us", "must be above 0")
        require(self.deadline_us > 0, "deadline_us", "must be above 0")
        require(self.dedup_window_us >= 0, "dedup_window_us", "must not be negative")
        require_finite_non_negative(self.value, "value")
        require(0 <= self.late_value <= 1, "late_value", "must lie in 0..1")
        require_finite_non_negative(self.target_per_cost, "target_per_cost")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota.

    Attributes:
        name: Name of the tenant.
        quota_per_s: Quota in requests per second over all balancers; 0.0 for no quota (default).
        share: Share of the capacity, in the caller's unit; 0.0 by default. The library does not use it.
    """

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0

    def __post_init__(self) -> None:
        require_finite_non_negative(self.quota_per_s, "quota_per_s")


@dataclass(slots=True, frozen=True)
class Prices:
    """Costs that are deducted from the value of responses, in the same unit; each is 0.0 by default.

    Attributes:
        cross_zone: Price of each attempt that crosses zones; the total is divided by the number of first tries.
        waste: Price of backend work that led to no response, as a fraction of the offered work.
        late_fail: Price of requests that fail after their latency target, as a factor on their value.
        probe: Price of each probe; the total is divided by the number of first tries.
        peer: Price of each 256 bytes delivered to another balancer; the total is divided by the number of first tries.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    peer: float = 0.0

    def __post_init__(self) -> None:
        for name in ("cross_zone", "waste", "late_fail", "probe", "peer"):
            require_finite_non_negative(getattr(self, name), name)


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of a balancer, fixed when it is created.

    Attributes:
        classes: Request classes, at least one; `RequestArrived.request_class` is an index into this tuple.
        tenants: Initial tenants; none by default.
        zone: Number of the zone in which this balancer runs; 0 by default.
        balancer_count: Number of balancers in the fleet, including this one; 1 by default.
        balancer_index: Index of this balancer in the fleet, from 0; 0 by default.
        report_fields: Names of the fields of a load report, in order; none by default.
        discovery: How updates of the list of backends are delivered; PUSH by default.
        poll_within_us: With POLL, an update that is not requested within this time is treated as received;
            microseconds, 10 s by default.
        can_cancel: Whether attempts can be cancelled; True by default.
        can_probe: Whether backends can be probed for their load; False by default.
        can_message_peers: Whether balancers can exchange short messages, which may be lost; False by default.
        can_hedge: Whether two attempts of a request may be in flight at the same time; True by default.
        max_attempts: Upper bound of the attempts of a request; 6 by default.
        can_advise_retry: Whether a rejection may carry a retry delay; False by default.
        max_retry_after_us: Upper bound of that delay; microseconds, 1 s by default.
        tick_us: Minimum interval between two rounds of events; microseconds, 1 ms by default.
        answer_grace_us: Time after the client's deadline during which a final answer is still accepted;
            microseconds, 0 by default.
        over_quota_value: Fraction of its value that a request over its tenant's quota keeps, 0 to 1; 1.0 by default.
        capacity_hints: Whether `Backend.capacity_hint` is valid; False by default.
        warm_up_start_fraction: Minimum fraction of its capacity with which a backend starts, above 0 and at most 1;
            1.0 by default.
        warm_up_us: Time from its start until a backend has its full capacity; microseconds, 0 by default.
        overload_multiple: Multiple of its current capacity above which a warming backend collapses if it receives
            that load within `overload_window_us`; 3.0 by default.
        overload_window_us: Time window of `overload_multiple`; microseconds, 1 s by default.
        prices: Costs that are deducted from the value of responses; none by default.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    balancer_count: int = 1
    balancer_index: int = 0
    report_fields: tuple[str, ...] = ()
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    poll_within_us: int = 10_000_000
    can_cancel: bool = True
    can_probe: bool = False
    can_message_peers: bool = False
    can_hedge: bool = True
    max_attempts: int = 6
    can_advise_retry: bool = False
    max_retry_after_us: int = 1_000_000
    tick_us: int = 1_000
    answer_grace_us: int = 0
    over_quota_value: float = 1.0
    capacity_hints: bool = False
    warm_up_start_fraction: float = 1.0
    warm_up_us: int = 0
    overload_multiple: float = 3.0
    overload_window_us: int = 1_000_000
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        require(len(self.classes) > 0, "classes", "at least one is needed")
        require(self.balancer_count >= 1, "balancer_count", "must be 1 or more")
        require(0 <= self.balancer_index < self.balancer_count, "balancer_index", "must lie in 0..balancer_count - 1")
        require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        require(self.tick_us >= 0, "tick_us", "must not be negative")
        require(self.answer_grace_us >= 0, "answer_grace_us", "must not be negative")
        require(self.poll_within_us > 0, "poll_within_us", "must be above 0")
        require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")
        require(0 <= self.over_quota_value <= 1, "over_quota_value", "must lie in 0..1")
        require(0 < self.warm_up_start_fraction <= 1, "warm_up_start_fraction", "must lie above 0 and at most at 1")
        require(self.warm_up_us >= 0, "warm_up_us", "must not be negative")
        require(
            isfinite(self.overload_multiple) and self.overload_multiple > 0,
            "overload_multiple",
            "must be finite and above 0",
        )
        require(self.overload_window_us > 0, "overload_window_us", "must be above 0")
