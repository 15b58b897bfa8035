"""Eligibility: which backends may be sampled for a request."""

from __future__ import annotations

from ..interface import DedupScope
from .load_table import FORGET_US, FRESH_US, LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .probe_policy import ProbePolicy
from .records import BackendRecord, RequestRecord
from .warm_up_budget import WarmUpBudget

MAX_UNPREDICTED = 3.0  # attempts that all balancers together may have in flight at a backend whatever is predicted
TARGET_SHARE = 0.45  # predicted time as a share of the time to the target: the rest is for the variance
LOW_PRIORITY_SHARE = 0.2  # the same for a request that gives way
GUESS_SHARE = 0.75  # of the time to the target that a prediction may take which rests on the mean of the table
RETRY_UNKNOWN_US = 250_000  # a backend that cannot be probed and has no attempt of ours is tried again after this
MAX_DRAW_PEER_UNHEALTHY = 0.5  # share of requests that may sample a backend which one other balancer reports unhealthy
UNREPORTED_FACTOR = 2  # times the age of the median information: a backend silent for longer may hang


class Eligibility:
    """Combines the rules of repeats, outlier detection, the warm-up budget and predictions.

    Attributes:
        unpredicted_load: Attempts that this balancer may have in flight at a backend whatever is predicted.
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
        # A report this young is knowledge, not a guess, and decides alone.
        self._known_us: int | None = None
        if probe_policy.is_worthwhile:
            self._known_us = probe_policy.timeout_us
        elif has_peer_reports:
            self._known_us = FORGET_US
        self.set_balancer_count(self._context.settings.balancer_count)

    def set_balancer_count(self, balancer_count: int) -> None:
        """Take over the number of balancers."""
        self.unpredicted_load = MAX_UNPREDICTED / balancer_count

    def candidates(self, request: RequestRecord) -> list[BackendRecord]:
        """Return the backends that the rules of repeats allow for a request."""
        if not request.may_have_run or request.is_idempotent:
            return self._members.ready
        return [backend for backend in self._members.ready if self.may_run_on(request, backend)]

    def may_run_on(self, request: RequestRecord, backend: BackendRecord) -> bool:
        """Return whether a backend accepts work and the rules of repeats allow the request there.

        The answer changes with time: lists and dedup windows change while a probe is awaited.
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
        """Return whether health and warm-up let a backend be sampled for a request."""
        now = self._context.now
        if self._has_peer_reports and self._is_silent_to_all(request, backend):
            return False
        peer_health = backend.peer_health
        if (
            peer_health.expires_at_us > now
            and peer_health.observed_at_us > backend.answered_at  # a response to this balancer is better evidence
            and (peer_health.ejected or request.uniform_draw > MAX_DRAW_PEER_UNHEALTHY)
        ):
            return False
        return self._warm_up.admits(backend, now, request.uniform_draw) and self._outliers.admits(
            backend, now, self._table.typical_latency_us
        )

    def time_limit(self, request: RequestRecord) -> float:
        """Return the longest predicted time with which a backend may be sampled, microseconds."""
        if not self._table.service_time_us:
            return float("inf")
        # A class with a long target must not queue more at backends than a class of at least its value can bear.
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
        """Return whether a backend may be sampled by its predicted time and its load.

        Args:
            request: The request.
            backend: The backend.
            limit_us: Longest predicted time, microseconds.
            time_left_us: Time to the target, microseconds.
            was_probed: What is known about the backend is as good as it gets.
        """
        now = self._context.now
        # Expensive requests that not even an idle backend could answer in time took a third of the fleet. While most
        # backends are idle they displace little, and estimates are rough: then they may try.
        cost = request.relative_cost
        is_workable = cost <= 1.0 or cost * backend.service_time_us * min(1.0, self._table.mean_load) <= time_left_us
        if self._known_us is not None and now - backend.reported_at <= self._known_us:
            return self._is_feasible_as_known(request, backend, limit_us, is_workable)
        if not was_probed and self._probe_policy.is_active():
            return is_workable  # the probe decides, not an old report
        own_load, few_balancers = backend.own_load(now), self.unpredicted_load >= 1.0
        # A balancer among few knows too little to reject by a guess: it may try a backend with next to no attempts of
        # ours. Forty balancers with a free attempt each overloaded a slow fleet for seconds: there the guess decides,
        # except for warming backends, which have a budget. Abandoned attempts count, or they would repeat forever.
        if own_load < 1.0 and (few_balancers or backend.capacity_fraction < 1.0):
            return is_workable
        unknown_us = now - max(backend.reported_at, backend.sent_at)
        if few_balancers and not backend.in_flight and unknown_us > RETRY_UNKNOWN_US:
            return is_workable  # no other event would ever correct the entry
        predicted_us = (own_load + self._table.other_load(backend, now) + cost) * backend.service_time_us
        if predicted_us <= limit_us:
            return True
        guess_limit_us = time_left_us if few_balancers else GUESS_SHARE * time_left_us
        return own_load < self.unpredicted_load and predicted_us <= guess_limit_us

    def _is_feasible_as_known(
        self, request: RequestRecord, backend: BackendRecord, limit_us: float, is_workable: bool
    ) -> bool:
        now = self._context.now
        load = backend.own_load(now) + self._table.other_load(backend, now)
        if load < 1.0:
            return is_workable
        # A response after the target keeps part of its value.
        late_us = 0.0
        if not request.low_priority:
            late_us = request.request_class.late_value * (request.deadline - request.target_at)
        return (load + request.relative_cost) * backend.service_time_us <= limit_us + TARGET_SHARE * late_us

    def _is_silent_to_all(self, request: RequestRecord, backend: BackendRecord) -> bool:
        """Return whether no balancer has reported anything about a backend for long.

        Where peers share every report, such a backend hangs: balancers that each found out by themselves lost a tenth
        of all requests. Some requests still try it. Less is reported about warming backends.
        """
        now = self._context.now
        fraction = self._warm_up.capacity_fraction(backend, now)
        unreported_us = (now - backend.updated_at) * request.uniform_draw * fraction
        return unreported_us > UNREPORTED_FACTOR * max(FRESH_US, now - self._table.median_updated_at)
