"""Records of a balancer: its state for each backend, each open request and each attempt.

Clock times are in microseconds; 0 means never.
"""

from __future__ import annotations

from zlib import crc32

from ..interface import (
    Backend,
    BackendId,
    BackendState,
    DedupScope,
    Idempotency,
    PeerHealthChanged,
    RequestArrived,
    RequestClass,
)
from ..mechanisms.decay import DecayingWeight

SECOND_US = 1_000_000
PAIRS_PER_ROUND = 4  # pairs of backends sampled for a request before it is queued or rejected
MIN_CAPACITY_HINT = 1e-6  # avoids a division by 0: service times are divided by the hint
AttemptKey = tuple[int, int]  # request number and attempt number


class BackendRecord:
    """State of one backend as known to this balancer.

    Attributes:
        id: Identity of the backend.
        id_hash: 32-bit hash of the identity, equal at every balancer.
        zone: Zone number.
        cell: Cell number.
        state: State according to discovery.
        capacity_hint: Capacity relative to other backends, above 0.
        started_at: Clock time of the latest start according to discovery.
        in_maintenance: Whether an operator has taken the backend out of service.
        maintenance_changed_at: Clock time of the latest change of `in_maintenance`.
        in_flight: Clock times at which this balancer's attempts in flight were sent, by attempt, oldest first.
        probe_sent_at: Clock time at which the probe in flight was sent; 0 if none is in flight.
        probe_waiters: Requests that wait for the load report of that probe.
        updated_at: Clock time of the latest load report, or of the latest reset if that is later.
        reported_at: Clock time of the latest load report; 0 without one.
        responded_at: Clock time of the latest response.
        ended_at: Clock time at which an attempt of this balancer last ended.
        sent_at: Clock time at which this balancer last sent an attempt.
        service_time_us: Predicted service time per request in flight, as of the sampler's latest refresh.
        capacity_fraction: Fraction of its full capacity during warm-up, at most 1, as of that refresh.
        abandoned: Decaying count of attempts of this balancer that ended but may still run at the backend.
        immediate_failures: Decaying count of attempts that failed at once, so that they do not make the backend look
            idle.
        other_load: Smoothed number of requests in flight at the backend from other balancers.
        reported_service_ms: Smoothed reported service time, milliseconds; 0 if none was reported.
        mean_latency_us: Smoothed latency of attempts at the backend.
        mean_load: Smoothed load of the backend at the times when these attempts were sent.
        sample_count: Number of samples in `mean_latency_us` and `mean_load`.
        failure_rate: Smoothed fraction of failed attempts, 0 to 1.
        consecutive_failures: Number of failed attempts since the latest response.
        ejected_until: Clock time at which the ejection ends.
        ejection_us: Duration of the latest ejection without factor and jitter; 0 if it is neither ejected nor on trial.
        trial_limit: Limit of attempts in flight during the trial after an ejection; None outside a trial.
        peer_health: Latest health report of other balancers.
    """

    __slots__ = (
        "abandoned",
        "responded_at",
        "capacity_fraction",
        "capacity_hint",
        "cell",
        "consecutive_failures",
        "ejected_until",
        "ejection_us",
        "ended_at",
        "failure_rate",
        "id",
        "immediate_failures",
        "in_flight",
        "in_maintenance",
        "mean_latency_us",
        "mean_load",
        "other_load",
        "peer_health",
        "probe_sent_at",
        "probe_waiters",
        "reported_at",
        "reported_service_ms",
        "maintenance_changed_at",
        "sample_count",
        "sent_at",
        "service_time_us",
        "started_at",
        "state",
        "id_hash",
        "trial_limit",
        "updated_at",
        "zone",
    )

    def __init__(self, listed: Backend, now: int) -> None:
        self.id, self.id_hash = listed.id, crc32(backend_name(listed.id).encode())
        self.in_flight: dict[AttemptKey, int] = {}
        self.probe_sent_at = 0
        self.probe_waiters: list[RequestRecord] = []
        self.in_maintenance, self.maintenance_changed_at = False, 0
        self.update_from(listed)
        self.reset(now)

    def update_from(self, listed: Backend) -> None:
        """Update the record from an entry of the list of backends."""
        self.zone, self.cell, self.state = listed.zone, listed.cell, listed.state
        self.capacity_hint, self.started_at = max(listed.capacity_hint, MIN_CAPACITY_HINT), listed.started_at

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to the backend."""
        return self.state is BackendState.READY and not self.in_maintenance

    def own_load(self, now: int) -> float:
        """Return this balancer's load on the backend: attempts in flight plus decayed abandoned attempts."""
        return len(self.in_flight) + self.abandoned.value_at(now)

    def reset(self, now: int) -> None:
        """Discard the statistics of an earlier process of the backend."""
        self.updated_at = now
        self.reported_at = self.responded_at = self.ended_at = self.sent_at = 0
        self.service_time_us = self.capacity_fraction = 1.0
        self.abandoned = DecayingWeight()
        self.immediate_failures = DecayingWeight()
        self.other_load = self.reported_service_ms = 0.0
        self.mean_latency_us = self.mean_load = 0.0
        self.sample_count = 0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = self.ejection_us = 0
        self.trial_limit: int | None = None
        self.peer_health = PeerHealthChanged(self.id, False, 0, 0)


class AttemptRecord:
    """State of an attempt at the time when it was sent.

    Attributes:
        number: Number of the attempt within its request, from 0.
        backend: Backend that received the attempt.
        sent_at: Clock time at which it was sent, or at which the upload of its request was complete.
        load: Estimated load of the backend, including this attempt.
    """

    __slots__ = ("backend", "load", "number", "sent_at")

    def __init__(self, number: int, backend: BackendRecord, sent_at: int, load: float) -> None:
        self.number, self.backend, self.sent_at, self.load = number, backend, sent_at, load


class RequestRecord:
    """State of a request until it is answered and all its attempts have ended.

    Attributes:
        id: Number of the request.
        request_class: Class of the request.
        deadline: Clock time of the client's time-out.
        target_at: Clock time until which a response has its full value.
        queue_until: Clock time until which the request may be queued before its first attempt.
        is_idempotent: Whether the request may be executed any number of times.
        is_repeatable: Whether the request may be executed more than once, possibly under conditions.
        low_priority: Whether other requests take precedence.
        is_answered: Whether the final answer was given or is no longer due.
        uniform_draw: Random number, uniform in 0..1. It is drawn once per request, so that a queued request does not
            draw repeatedly until a warming backend accepts it.
        affinity_key: Key that related requests share; 0 for none.
        relative_cost: Estimated cost as a multiple of the mean request's cost; 1 without an estimate.
        attempt_count: Number of attempts started.
        in_flight: Attempts in flight by number.
        may_have_run: Attempts that the backend may have executed, oldest first.
        tried: Backends of all attempts so far.
        sampled_pair: Pair of sampled backends whose load reports are awaited; None if there is none.
        awaiting_report: Backends of the pair whose load reports have not arrived.
        pairs_drawn: Number of pairs whose load reports were awaited so far.
        max_pairs: Limit of `pairs_drawn`, at which the request is queued or rejected.
    """

    __slots__ = (
        "affinity_key",
        "attempt_count",
        "awaiting_report",
        "deadline",
        "id",
        "in_flight",
        "is_answered",
        "is_idempotent",
        "is_repeatable",
        "low_priority",
        "max_pairs",
        "may_have_run",
        "pairs_drawn",
        "queue_until",
        "relative_cost",
        "request_class",
        "sampled_pair",
        "target_at",
        "tried",
        "uniform_draw",
    )

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        now: int,
        uniform_draw: float,
        relative_cost: float,
    ) -> None:
        self.id, self.request_class, self.deadline = event.request, request_class, now + event.timeout_us
        target_us = request_class.latency_target_us + int(request_class.target_per_cost * event.cost_hint_us)
        self.target_at = min(now + target_us, self.deadline)
        # Half of the client's time-out: a rejection after that, without any attempt, costs the client more than an
        # early one. A request that waits for busy backends may exceed this limit.
        self.queue_until = min(self.target_at, now + event.timeout_us // 2)
        self.is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        self.is_repeatable = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        self.low_priority = self.is_answered = False
        self.uniform_draw = uniform_draw
        self.affinity_key = event.affinity_key
        self.relative_cost = relative_cost
        self.attempt_count = 0
        self.in_flight: dict[int, AttemptRecord] = {}
        self.may_have_run: list[AttemptRecord] = []
        self.tried: list[BackendRecord] = []
        self.sampled_pair: tuple[BackendRecord, BackendRecord] | None = None
        self.awaiting_report: list[BackendRecord] = []
        self.pairs_drawn, self.max_pairs = 0, PAIRS_PER_ROUND

    def may_reject(self) -> bool:
        """Return whether the request may be rejected, which promises that a retry by the client is harmless."""
        request_class = self.request_class
        deduplicated_everywhere = (
            request_class.idempotency is Idempotency.DEDUPLICATED and request_class.dedup_scope is DedupScope.ALL
        )
        return not self.may_have_run or self.is_idempotent or deduplicated_everywhere


def backend_name(backend: BackendId) -> str:
    """Return the identity of a backend as text, in hexadecimal if it is bytes."""
    return backend.hex() if isinstance(backend, bytes) else str(backend)
