"""Events: what the caller passes to `Balancer.handle`, in the order in which it happened."""

from __future__ import annotations

from dataclasses import dataclass

from .backends import Backend, BackendId, ListKind, Outcome
from .checks import require
from .settings import Tenant


@dataclass(slots=True)
class BackendsChanged:
    """An update of the list of backends. A balancer's first event is one of kind CACHED, even if it is empty.

    Attributes:
        kind: How the update changes the list.
        backends: The entries; empty for FAILED.
    """

    kind: ListKind
    backends: list[Backend]


@dataclass(slots=True)
class TenantChanged:
    """A tenant was added, changed or removed. Its requests in flight continue either way.

    Attributes:
        tenant: Number of the tenant, as requests name it; those of `Settings.tenants` count from 0.
        definition: The tenant as it is now; None if it was removed.
    """

    tenant: int
    definition: Tenant | None


@dataclass(slots=True)
class MaintenanceChanged:
    """An operator takes a backend out of service or returns it.

    A backend in maintenance gets no new work whatever discovery says, and is warming up when it returns. A backend
    that discovery has not listed yet can be taken out, too.

    Attributes:
        backend: Identity of the backend.
        in_maintenance: Whether the backend is out of service from now on.
    """

    backend: BackendId
    in_maintenance: bool


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request; the balancer owes it one final answer within `timeout_us`.

    Attributes:
        request: Number of the request; no open request has the same.
        request_class: Index into `Settings.classes`.
        timeout_us: Time until the client gives up; microseconds.
        tenant: Index into `Settings.tenants`, or a number that TenantChanged introduced; 0 by default.
        affinity_key: Equal keys mean related requests; 0, the default, for none.
        cost_hint_us: Estimated work on a standard core; microseconds, 0, the default, if unknown.
        is_retry: The client marked the request as a retry; False by default.
    """

    request: int
    request_class: int
    timeout_us: int
    tenant: int = 0
    affinity_key: int = 0
    cost_hint_us: int = 0
    is_retry: bool = False


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has begun; the attempt serves the client from now on.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class UploadChanged:
    """The body of an attempt is still being sent, or has now been sent completely.

    The backend has not begun the request before; time until then says nothing about its speed.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
        complete: Whether the last byte has been sent.
    """

    request: int
    attempt: int
    complete: bool


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; each attempt ends exactly once.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt: 0, 1, 2 ... in the order of the request's Send actions.
        backend: Backend of the attempt.
        outcome: How it ended.
        latency_us: Time from its start to its end; microseconds.
        is_answered: The client has its response and is owed nothing more.
        report: Load report of the backend by `Settings.report_fields`; empty, the default, if none was attached.
    """

    request: int
    attempt: int
    backend: BackendId
    outcome: Outcome
    latency_us: int
    is_answered: bool
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; it is owed nothing more.

    Attributes:
        request: Number of the request.
    """

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer asked for is due.

    Attributes:
        token: The token of the SetTimer action.
    """

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe ended; each Probe action ends exactly once.

    Attributes:
        backend: Backend that was probed.
        outcome: How the probe ended.
        latency_us: Time from its start to its end; microseconds.
        report: Load report of the backend by `Settings.report_fields`; empty, the default, if none was attached.
    """

    backend: BackendId
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessageReceived:
    """Another balancer sent a message, which may be late or wrong.

    Attributes:
        peer: Number of the sender among the balancers.
        payload: The message, 256 bytes at most.
    """

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class FleetChanged:
    """The number of balancers or this balancer's share of the warm-up budget changed.

    Without this event the number is the one of the settings and all shares are equal.

    Attributes:
        balancer_count: Balancers of the fleet, this one included.
        warm_up_share: Share of the warm-up budget that this balancer may spend until `until_us`; 0 to 1.
        until_us: Clock time at which `warm_up_share` ends; microseconds.
        warm_up_share_after: Its share from `until_us` on, unless another event changes it; 0 to 1.
    """

    balancer_count: int
    warm_up_share: float
    until_us: int
    warm_up_share_after: float

    def __post_init__(self) -> None:
        require(self.balancer_count >= 1, "balancer_count", "must be 1 or more")
        require(
            0 <= self.warm_up_share <= 1 and 0 <= self.warm_up_share_after <= 1,
            "warm_up_share, warm_up_share_after",
            "must lie in 0..1",
        )


@dataclass(slots=True, frozen=True)
class PeerHealthChanged:
    """What other balancers report about the health of one backend changed.

    The report is ignored if the backend has answered this balancer after `observed_at_us`.

    Attributes:
        backend: Identity of the backend.
        ejected: Several balancers found it unhealthy, and it gets nothing; otherwise it is sampled less often.
        observed_at_us: Clock time of the latest observation; microseconds.
        expires_at_us: Clock time at which the report expires; microseconds.
    """

    backend: BackendId
    ejected: bool
    observed_at_us: int
    expires_at_us: int


@dataclass(slots=True, frozen=True)
class LatencyModelRestored:
    """What an earlier incarnation of this balancer learned about response times.

    It is used until the first response arrives and counts as `answers` responses from then on. Until `capped_until_us`
    a slow response is attributed to a backend that may be warming up, not to a slower fleet.

    Attributes:
        service_time_us: Time of a warm backend for each request in flight; microseconds, 0 if unknown.
        typical_latency_us: Mean latency of responses; microseconds.
        answers: Number of responses that the model rests on.
        capped_until_us: Clock time at which the cap ends; microseconds, 0, the default, for no cap.
    """

    service_time_us: float
    typical_latency_us: float
    answers: int
    capped_until_us: int = 0

    def __post_init__(self) -> None:
        require(
            self.service_time_us >= 0 and self.typical_latency_us >= 0,
            "service_time_us, typical_latency_us",
            "must be 0 or more",
        )
        require(self.answers >= 0, "answers", "must be 0 or more")


Event = (
    BackendsChanged
    | TenantChanged
    | MaintenanceChanged
    | RequestArrived
    | StreamStarted
    | UploadChanged
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessageReceived
    | FleetChanged
    | PeerHealthChanged
    | LatencyModelRestored
)
