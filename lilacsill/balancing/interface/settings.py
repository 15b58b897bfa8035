"""Settings: what a balancer is given once, when it is created."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

from .backends import DiscoveryMode
from .checks import require, require_finite_non_negative


class Idempotency(Enum):
    """What happens if a request runs more than once."""

    IDEMPOTENT = "safe"  # it may be repeated at will
    DEDUPLICATED = "keyed"  # backends of one scope drop repeats for a while
    NOT_IDEMPOTENT = "unsafe"  # it must not run twice


class DedupScope(Enum):
    """Which backends drop the repeats of a deduplicated request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: Name of the class.
        latency_target_us: A response within this time earns the full value; microseconds, above 0.
        deadline_us: The client's total wait over all its tries; microseconds, above 0.
        idempotency: What a repeat does; IDEMPOTENT by default.
        dedup_scope: Which backends drop repeats, for DEDUPLICATED only; ALL by default.
        dedup_window_us: How long repeats are dropped, from the first attempt that may have run, for DEDUPLICATED
            only; microseconds, 0 by default.
        value: Value of a response in time, in the caller's unit; 1.0 by default.
        late_value: Share of the value that a response after the target earns, 0 to 1; 0.0 by default.
        target_per_cost: The target grows by this multiple of the request's estimated cost; 0.0 by default.
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
    """A customer and its quota.

    Attributes:
        name: Name of the tenant.
        quota_per_s: Requests a second within its quota, over all balancers; 0.0, the default, for no quota.
        share: Its share of the capacity, in the caller's unit; 0.0 by default. No decision reads it.
    """

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0

    def __post_init__(self) -> None:
        require_finite_non_negative(self.quota_per_s, "quota_per_s")


@dataclass(slots=True, frozen=True)
class Prices:
    """What is deducted from the value of responses, in the same unit; each is 0.0 by default.

    Attributes:
        cross_zone: Each attempt that crosses zones, per first try.
        waste: Backend work that served no response, as a share of the work offered.
        late_fail: Value of requests that failed after their target.
        probe: Each probe, per first try.
        peer: Each 256 bytes delivered to another balancer, per first try.
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
    """What a balancer is given once, when it is created.

    Attributes:
        classes: Classes of requests, at least one; `RequestArrived.request_class` is an index into them.
        tenants: Tenants known from the start; none by default.
        zone: Number of the zone that this balancer runs in; 0 by default.
        balancer_count: Balancers of the fleet, this one included; 1 by default.
        balancer_index: Number of this balancer among them, from 0; 0 by default.
        report_fields: Meaning of each number in a load report; none by default.
        discovery: How updates of the list of backends arrive; PUSH by default.
        poll_within_us: With POLL, an update that was not asked for within this time counts as received;
            microseconds, 10 s by default.
        can_cancel: Attempts can be cancelled; True by default.
        can_probe: Backends can be probed for their load; False by default.
        can_message_peers: Balancers can send each other short messages, which may be lost; False by default.
        can_hedge: Two attempts of one request may be in flight at once; True by default.
        max_attempts: Attempts of one request; 6 by default.
        can_advise_retry: A rejection may carry a time after which to retry; False by default.
        max_retry_after_us: Upper bound of that time; microseconds, 1 s by default.
        tick_us: Events arrive in rounds at least this far apart; microseconds, 1 ms by default.
        answer_grace_us: A final answer this late after the client's deadline still counts; microseconds, 0 by
            default.
        over_quota_value: Share of its value that a request beyond its tenant's quota keeps, 0 to 1; 1.0 by default.
        capacity_hints: `Backend.capacity_hint` is meaningful; False by default.
        warm_up_start_fraction: A backend starts with at least this share of its capacity, above 0 and at most 1;
            1.0 by default.
        warm_up_us: A backend has its full capacity this long after its start; microseconds, 0 by default.
        overload_multiple: A warming backend that is sent more than this multiple of its capacity within
            `overload_window_us` collapses; 3.0 by default.
        overload_window_us: Window of `overload_multiple`; microseconds, 1 s by default.
        prices: What is deducted from the value of responses; nothing by default.
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
