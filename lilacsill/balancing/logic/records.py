"""Records of one balancer: what it knows about each backend and about each open request.

Clock times are microseconds; 0 means never.
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
PAIRS_PER_ROUND = 4  # pairs of samples drawn for one request before it is queued or rejected
MIN_CAPACITY_HINT = 1e-6  # service times are divided by the hint
AttemptKey = tuple[int, int]  # numbers of the request and of its attempt


class BackendRecord:
    """What this balancer knows about one backend.

    Attributes:
        id: Identity of the backend.
        tag: 32-bit hash of the identity, the same at every balancer.
        zone: Number of its zone.
        cell: Number of its cell.
        state: State according to discovery.
        capacity_hint: Capacity relative to other backends, above 0.
        started_at: Clock time of its latest start according to discovery.
        in_maintenance: An operator has taken it out of service.
        returned_at: Clock time at which an operator last changed that.
        in_flight: Own attempts in flight, oldest first, with the clock time at which each was sent.
        probe_sent_at: Clock time at which the probe in flight was sent; 0 if none is in flight.
        probe_waiters: Requests that wait for the report of that probe.
        updated_at: Clock time of the latest information of any kind.
        reported_at: Clock time of the latest load report.
        answered_at: Clock time of the latest response.
        ended_at: Clock time at which an attempt last ended.
        sent_at: Clock time at which an attempt was last sent.
        service_time_us: Predicted time for each request in flight; as of the latest refresh of the sampler.
        capacity_fraction: Share of its capacity while it warms up, at most 1; as of the same refresh.
        abandoned: Own attempts that have ended here and may still run there.
        immediate_failures: Attempts that ended at once, which must not make the backend look idle.
        other_load: Requests in flight there from other balancers, smoothed.
        reported_service_ms: Reported service time, smoothed, milliseconds; 0 if none was reported.
        mean_latency_us: Smoothed latency of its attempts.
        mean_load: Smoothed load at the time when these were sent.
        sample_count: Attempts that the two means rest on.
        failure_rate: Smoothed share of failed attempts, 0 to 1.
        consecutive_failures: Failed attempts since the latest response.
        ejected_until: Clock time at which its ejection ends.
        ejection_us: Length of its latest ejection before jitter; 0 if it is not ejected or on trial.
        trial_limit: Attempts that may be in flight while it is on trial after an ejection; None if it is not.
        peer_health: What other balancers report about its health.
    """

    __slots__ = (
        "abandoned",
        "answered_at",
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
        "returned_at",
        "sample_count",
        "sent_at",
        "service_time_us",
        "started_at",
        "state",
        "tag",
        "trial_limit",
        "updated_at",
        "zone",
    )

    def __init__(self, listed: Backend, now: int) -> None:
        self.id, self.tag = listed.id, crc32(backend_name(listed.id).encode())
        self.in_flight: dict[AttemptKey, int] = {}
        self.probe_sent_at = 0
        self.probe_waiters: list[RequestRecord] = []
        self.in_maintenance, self.returned_at = False, 0
        self.update_from(listed)
        self.reset(now)

    def update_from(self, listed: Backend) -> None:
        """Take over an entry of the list of backends."""
        self.zone, self.cell, self.state = listed.zone, listed.cell, listed.state
        self.capacity_hint, self.started_at = max(listed.capacity_hint, MIN_CAPACITY_HINT), listed.started_at

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to it."""
        return self.state is BackendState.READY and not self.in_maintenance

    def own_load(self, now: int) -> float:
        """Return the own attempts that run there: those in flight, and the abandoned ones decayed by age."""
        return len(self.in_flight) + self.abandoned.value_at(now)

    def reset(self, now: int) -> None:
        """Forget what was learned about an earlier process."""
        self.updated_at = now
        self.reported_at = self.answered_at = self.ended_at = self.sent_at = 0
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
    """One attempt of a request, as of its start.

    Attributes:
        number: Number of the attempt, from 0.
        backend: Backend that it was sent to.
        sent_at: Clock time at which it was sent.
        load: Estimated load of the backend with this attempt.
    """

    __slots__ = ("backend", "load", "number", "sent_at")

    def __init__(self, number: int, backend: BackendRecord, sent_at: int, load: float) -> None:
        self.number, self.backend, self.sent_at, self.load = number, backend, sent_at, load


class RequestRecord:
    """A request, until it is answered and its attempts have ended.

    Attributes:
        id: Number of the request.
        request_class: Class of the request.
        deadline: Clock time at which the client gives up.
        target_at: Clock time until which a response earns the full value.
        queue_until: Clock time until which it may be queued without any attempt.
        is_idempotent: It may be repeated at will.
        is_repeatable: It may run more than once under some conditions.
        low_priority: It gives way to other requests.
        is_answered: Its final answer is given, or no longer owed.
        uniform_draw: Uniform number in 0..1. It is drawn once, so that a queued request does not draw again and
            again until a warming backend accepts it.
        affinity_key: Equal keys mean related requests; 0 for none.
        relative_cost: Estimated work as a multiple of the mean request's; 1 without an estimate.
        attempt_count: Attempts started so far.
        in_flight: Attempts in flight by number.
        may_have_run: Attempts that are not proven never to have run, oldest first.
        tried: Backends of all attempts.
        sampled_pair: Two sampled backends whose load reports are awaited; None if there are none.
        awaiting_report: Those of the pair that have not reported yet.
        pairs_drawn: Pairs whose reports were awaited so far.
        max_pairs: Bound of `pairs_drawn` before the request is queued or rejected.
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
        # A rejection after half of the client's time without an attempt costs the client more than an early one.
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
        """Return whether a rejection is truthful: it promises that a retry by the client is harmless."""
        request_class = self.request_class
        deduplicated_everywhere = (
            request_class.idempotency is Idempotency.DEDUPLICATED and request_class.dedup_scope is DedupScope.ALL
        )
        return not self.may_have_run or self.is_idempotent or deduplicated_everywhere


def backend_name(backend: BackendId) -> str:
    """Return the identity of a backend as text: hexadecimal for bytes."""
    return backend.hex() if isinstance(backend, bytes) else str(backend)
