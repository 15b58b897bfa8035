"""Eligibility: determines which backends may be sampled for a request."""

from __future__ import annotations

from ..interface import DedupScope
from .load_table import FULL_WEIGHT_AGE_US, STALE_AGE_US, LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .probe_policy import ProbePolicy
from .records import BackendRecord, RequestRecord
from .warm_up_budget import WarmUpBudget

MAX_UNPREDICTED_ATTEMPTS = 3.0  # attempts in flight at a backend, of all balancers together, whatever is predicted
TARGET_SHARE = 0.45  # limit of the predicted time as a fraction of the time to the target: the rest allows for variance
LOW_PRIORITY_SHARE = 0.2  # the same for low-priority requests
ESTIMATE_SHARE = 0.75  # of the time to the target: limit of a prediction from outdated reports or the mean load
# A backend that cannot be probed and has no attempt of this balancer in flight is tried again this long after its
# latest report or send.
UNOBSERVED_RETRY_US = 250_000
MAX_DRAW_PEER_UNHEALTHY = 0.5  # fraction of requests that may sample a backend which one other balancer finds unhealthy
UNREPORTED_FACTOR = 2  # multiple of the median age of reports after which a backend without a report may hang


class Eligibility:
    """Combines idempotency rules, outlier detection, the warm-up budget and predicted times.

    Attributes:
        unpredicted_load: This balancer's part of MAX_UNPREDICTED_ATTEMPTS.
    """

    def __init__(
        self,
        members: Membership,
        table: LoadTable,
        outliers: OutlierDetector,
        warm_up: WarmUpBudget,
        probe_policy: ProbePolicy,
        has_peer_reports: bool,
    ) -> None:
        self._context, self._members, self._table = members.context, members, table
        self._outliers, self._warm_up, self._probe_policy = outliers, warm_up, probe_policy
        self._has_peer_reports = has_peer_reports
        classes = self._context.settings.classes
        self._strictest_target_us = {
            c.name: min(other.latency_target_us for other in classes if other.value >= c.value) for c in classes
        }
        # Up to this age a load report alone decides whether a backend is feasible.
        self._fresh_report_us: int | None = None
        if probe_policy.is_worthwhile:
            self._fresh_report_us = probe_policy.timeout_us
        elif has_peer_reports:
            self._fresh_report_us = STALE_AGE_US
        self.set_balancer_count(self._context.settings.balancer_count)

    def set_balancer_count(self, balancer_count: int) -> None:
        """Set the number of balancers in the fleet."""
        self.unpredicted_load = MAX_UNPREDICTED_ATTEMPTS / balancer_count

    def candidates(self, request: RequestRecord) -> list[BackendRecord]:
        """Return the ready backends that the idempotency rules allow for a request."""
        if not request.may_have_run or request.is_idempotent:
            return self._members.ready
        return [backend for backend in self._members.ready if self.may_run_on(request, backend)]

    def may_run_on(self, request: RequestRecord, backend: BackendRecord) -> bool:
        """Return whether a backend accepts work and the idempotency rules allow the request to run on it.

        The result can change while a probe is in flight: the list of backends changes and dedup windows end.
        """
        if not backend.accepts_work or not request.may_have_run or request.is_idempotent:
            return backend.accepts_work
        request_class, first = request.request_class, request.may_have_run[0]
        window_end = first.sent_at + request_class.dedup_window_us - 2 * self._context.settings.tick_us
        if not request.is_repeatable or self._context.now >= window_end:
            return False
        if request_class.dedup_scope is DedupScope.ALL:
            return True
        if request_class.dedup_scope is DedupScope.ZONE:
            return backend.zone == first.backend.zone
        return backend.cell == first.backend.cell

    def admits(self, request: RequestRecord, backend: BackendRecord) -> bool:
        """Return whether health and warm-up allow a request to sample a backend."""
        now = self._context.now
        if self._has_peer_reports and self._is_unreported_by_all(request, backend):
            return False
        peer_health = backend.peer_health
        if (
            peer_health.expires_at_us > now
            and peer_health.observed_at_us > backend.responded_at  # a response to this balancer is better evidence
            and (peer_health.ejected or request.uniform_draw > MAX_DRAW_PEER_UNHEALTHY)
        ):
            return False
        return self._warm_up.admits(backend, now, request.uniform_draw) and self._outliers.admits(
            backend, now, self._table.typical_latency_us
        )

    def time_limit(self, request: RequestRecord) -> float:
        """Return the limit of the predicted time for a backend to be sampled, microseconds."""
        if not self._table.service_time_us:
            return float("inf")
        # Queues at backends that are acceptable for a class with a long target must be acceptable for each class of at
        # least its value, too.
        share = LOW_PRIORITY_SHARE if request.low_priority else TARGET_SHARE
        time_left_us = request.target_at - self._context.now
        return min(time_left_us, self._strictest_target_us[request.request_class.name]) * share

    def is_feasible(
        self,
        request: RequestRecord,
        backend: BackendRecord,
        limit_us: float,
        time_left_us: int,
        was_probed: bool = False,
    ) -> bool:
        """Return whether predicted time and load allow a request to sample a backend.

        Args:
            request: Request to send.
            backend: Backend to check.
            limit_us: Limit of the predicted time, microseconds.
            time_left_us: Time to the target, microseconds.
            was_probed: Whether no better information will follow: no probe was needed, or none is awaited any longer.
        """
        now = self._context.now
        # Expensive requests that not even an idle backend could answer in time took a third of the fleet's capacity.
        # They are admitted only while most backends are idle: they displace little then, and cost estimates are rough.
        cost = request.relative_cost
        can_meet_target = (
            cost <= 1.0 or cost * backend.service_time_us * min(1.0, self._table.mean_load) <= time_left_us
        )
        if self._fresh_report_us is not None and now - backend.reported_at <= self._fresh_report_us:
            return self._is_feasible_by_report(request, backend, limit_us, can_meet_target)
        if not was_probed and self._probe_policy.is_active():
            return can_meet_target  # the probe decides, not an outdated report
        own_load, few_balancers = backend.own_load(now), self.unpredicted_load >= 1.0
        # One of few balancers knows too little to reject by an estimate: a request may try a backend on which this
        # balancer has almost no load. With many balancers the estimate decides, except for warming backends, which have
        # a budget: forty balancers with one free attempt each overloaded a slow fleet for seconds. Abandoned attempts
        # count as own load; otherwise they would be repeated forever.
        if own_load < 1.0 and (few_balancers or backend.capacity_fraction < 1.0):
            return can_meet_target
        unobserved_us = now - max(backend.reported_at, backend.sent_at)
        if few_balancers and not backend.in_flight and unobserved_us > UNOBSERVED_RETRY_US:
            return can_meet_target  # no other event would ever correct the estimate
        predicted_us = (own_load + self._table.other_load(backend, now) + cost) * backend.service_time_us
        if predicted_us <= limit_us:
            return True
        estimate_limit_us = time_left_us if few_balancers else ESTIMATE_SHARE * time_left_us
        return own_load < self.unpredicted_load and predicted_us <= estimate_limit_us

    def _is_feasible_by_report(
        self, request: RequestRecord, backend: BackendRecord, limit_us: float, can_meet_target: bool
    ) -> bool:
        now = self._context.now
        load = backend.own_load(now) + self._table.other_load(backend, now)
        if load < 1.0:
            return can_meet_target
        # A response after the target keeps part of its value, which extends the limit.
        late_us = 0.0
        if not request.low_priority:
            late_us = request.request_class.late_value * (request.deadline - request.target_at)
        return (load + request.relative_cost) * backend.service_time_us <= limit_us + TARGET_SHARE * late_us

    def _is_unreported_by_all(self, request: RequestRecord, backend: BackendRecord) -> bool:
        """Return whether no balancer has reported the load of a backend for a long time.

        Where peers share every report, such a backend probably hangs; when each balancer had to detect that itself, a
        tenth of all requests was lost. Requests with a low draw still try the backend. Warming backends get a longer
        limit, since they are reported less often.
        """
        now = self._context.now
        fraction = self._warm_up.capacity_fraction(backend, now)
        unreported_us = (now - backend.updated_at) * request.uniform_draw * fraction
        return unreported_us > UNREPORTED_FACTOR * max(FULL_WEIGHT_AGE_US, now - self._table.median_updated_at)
