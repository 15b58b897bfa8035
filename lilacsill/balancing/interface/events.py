"""Events that the caller passes to `Balancer.handle`, in the order of their occurrence."""

from __future__ import annotations

from dataclasses import dataclass

from .backends import Backend, BackendId, ListKind, Outcome
from .checks import require
from .settings import Tenant


@dataclass(slots=True)
class BackendsChanged:
    """An update of the list of backends, or a failure to get one.

    The first event of a balancer has kind CACHED, even if that list is empty.

    Attributes:
        kind: How to apply the entries to the list.
        backends: Entries of the update; empty for FAILED.
    """

    kind: ListKind
    backends: list[Backend]


@dataclass(slots=True)
class TenantChanged:
    """A tenant was added, changed or removed. Its requests in flight continue.

    Attributes:
        tenant: Number of the tenant in `RequestArrived.tenant`; `Settings.tenants` are numbered from 0.
        definition: New definition of the tenant; None if it was removed.
    """

    tenant: int
    definition: Tenant | None


@dataclass(slots=True)
class MaintenanceChanged:
    """An operator took a backend out of service or returned it to service.

    A backend in maintenance receives no new work, regardless of its state in discovery, and warms up when it returns
    to service. The backend need not be in the discovery list yet.

    Attributes:
        backend: Identity of the backend.
        in_maintenance: Whether the backend is now out of service.
    """

    backend: BackendId
    in_maintenance: bool


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request; the balancer must give exactly one final answer within `timeout_us`.

    Attributes:
        request: Number of the request, unique among open requests.
        request_class: Index into `Settings.classes`.
        timeout_us: Time until the client's time-out; microseconds.
        tenant: Index into `Settings.tenants`, or a number from a TenantChanged event; 0 by default.
        affinity_key: Key that related requests share; 0 for none (default).
        cost_hint_us: Estimated work on a standard core; microseconds, 0 if unknown (default).
        is_retry: Whether the client marked the request as a retry; False by default.
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
    """A streamed response started; the attempt serves the client from now on.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class UploadChanged:
    """The upload of an attempt's request body is in progress or complete.

    The backend starts to process the request when the upload is complete; upload time does not measure its speed.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
        complete: Whether the last byte of the body has been sent.
    """

    request: int
    attempt: int
    complete: bool


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; there is exactly one such event for each attempt.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt: 0, 1, 2 ... in the order of the request's Send actions.
        backend: Backend of the attempt.
        outcome: How the attempt ended.
        latency_us: Time from the start of the attempt to its end; microseconds.
        is_answered: Whether the client has received its response, so that no final answer is due.
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
    """The client disconnected; no final answer is due.

    Attributes:
        request: Number of the request.
    """

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer of a SetTimer action fired.

    Attributes:
        token: Token of the SetTimer action.
    """

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe ended; there is exactly one such event for each Probe action.

    Attributes:
        backend: Backend that was probed.
        outcome: How the probe ended.
        latency_us: Time from the start of the probe to its end; microseconds.
        report: Load report of the backend by `Settings.report_fields`; empty, the default, if none was attached.
    """

    backend: BackendId
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessageReceived:
    """A message of another balancer arrived; its content may be outdated or wrong.

    Attributes:
        peer: Index of the sending balancer.
        payload: Message body, 256 bytes at most.
    """

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class FleetChanged:
    """The number of balancers or this balancer's share of the warm-up budget changed.

    Until the first such event, the number is `Settings.balancer_count` and all shares are equal.

    Attributes:
        balancer_count: Number of balancers in the fleet, including this one.
        warm_up_share: Fraction of the warm-up budget that this balancer may spend until `until_us`; 0 to 1.
        until_us: Clock time at which `warm_up_share` ends; microseconds.
        warm_up_share_after: Fraction from `until_us` on, unless another event changes it; 0 to 1.
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
    """The health of a backend as reported by other balancers changed.

    The report is ignored if this balancer received a response from the backend after `observed_at_us`.

    Attributes:
        backend: Identity of the backend.
        ejected: True: several balancers found the backend unhealthy, and it receives no requests. False: it is sampled
            less often.
        observed_at_us: Clock time of the latest observation; microseconds.
        expires_at_us: Clock time at which the report expires; microseconds.
    """

    backend: BackendId
    ejected: bool
    observed_at_us: int
    expires_at_us: int


@dataclass(slots=True, frozen=True)
class LatencyModelRestored:
    """Latency statistics that an earlier incarnation of this balancer learned.

    The model is used until the first response arrives, and has the weight of `answers` responses from then on. Until
    `capped_until_us` a slow response is attributed to a backend that may be warming up, not to a slower fleet.

    Attributes:
        service_time_us: Service time of a warm backend per request in flight; microseconds, 0 if unknown.
        typical_latency_us: Mean latency of responses; microseconds.
        answers: Number of responses from which the model was learned.
        capped_until_us: Clock time at which the cap on service times ends; microseconds, 0 for no cap (default).
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
