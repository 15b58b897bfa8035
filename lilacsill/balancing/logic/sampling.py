"""Sampling: two uniform samples among the eligible backends, compared by band."""

from __future__ import annotations

from itertools import chain

from ..mechanisms.bands import cutoffs, lower_band
from .affinity import AffinityMap
from .eligibility import Eligibility
from .load_table import LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .probe_policy import ProbePolicy
from .records import BackendRecord, RequestRecord
from .saturation import SaturationCache
from .warm_up_budget import WarmUpBudget

MAX_DRAWS = 16  # samples drawn until two are eligible; no more backends than this are searched one by one
MIN_DRAWS = 2
DRAWN_SHARE = 2  # at most one draw for each two candidates
PICKS_PER_REFRESH = 4  # cutoffs of n backends serve n / 4 picks: the cost of a pick must not grow with n

Pair = tuple[BackendRecord, BackendRecord]


class Sampler:
    """Draws pairs of backends for requests, and chooses between the two.

    Attributes:
        members: The backends.
        table: Their load.
        outliers: Their health.
        warm_up: The budget of those that are warming up.
        probe_policy: Whether to probe the samples.
        eligibility: Which backends may be sampled.
        saturation: Cache of futile searches.
        affinity: Backends by key.
        picks_left: Picks that the cutoffs still serve.
    """

    def __init__(
        self,
        members: Membership,
        table: LoadTable,
        outliers: OutlierDetector,
        warm_up: WarmUpBudget,
        has_peer_reports: bool,
    ) -> None:
        self.context, self.members, self.table = members.context, members, table
        self.outliers, self.warm_up = outliers, warm_up
        self.probe_policy = ProbePolicy(self.context, table.load_column is not None)
        self.eligibility = Eligibility(members, table, outliers, warm_up, self.probe_policy, has_peer_reports)
        self.saturation, self.affinity = SaturationCache(), AffinityMap()
        self.picks_left = 0
        self._has_peer_reports = has_peer_reports

    def draw_pair(self, request: RequestRecord, candidates: list[BackendRecord]) -> Pair | None:
        """Return two uniform samples with replacement among the eligible candidates, or None if there are none."""
        now, limit_us = self.context.now, self.eligibility.time_limit(request)
        # Only where CPU is short: reports age and may be requested again without any other change.
        if self.probe_policy.is_caller_late() and self.saturation.covers(request, now, limit_us):
            return None
        pair = self._draw(request, candidates, limit_us, request.target_at - now)
        if pair is None:
            depends_on_draw = self._has_peer_reports or any(
                self.warm_up.capacity_fraction(backend, now) < 1.0 for backend in candidates
            )
            is_busy = any(self.eligibility.admits(request, backend) for backend in candidates[:MAX_DRAWS])
            lag_us = self.context.timer_lag_us
            self.saturation.record(request, now, limit_us, is_busy, lag_us, depends_on_draw)
        return pair

    def choose(self, request: RequestRecord, pair: Pair) -> tuple[BackendRecord, float]:
        """Return the sample in the lower band, and its estimated load with this request."""
        now = self.context.now
        first, second = pair
        # Samples by key are in random order already.
        rng = None if request.affinity_key else self.context.rng
        is_first = lower_band(rng, self.table.band_cutoffs, self._rank(first), self._rank(second))
        chosen = first if is_first else second
        return chosen, chosen.own_load(now) + self.table.other_load(chosen, now) + request.relative_cost

    def _draw(
        self, request: RequestRecord, candidates: list[BackendRecord], limit_us: float, time_left_us: int
    ) -> Pair | None:
        random, count = self.context.rng.random, len(candidates)
        admits, is_feasible = self.eligibility.admits, self.eligibility.is_feasible
        self._refresh()
        by_key = (
            backend
            for backend in self.affinity.backends_for(request.affinity_key)
            if self.eligibility.may_run_on(request, backend)
        )
        draws = max(MIN_DRAWS, min(MAX_DRAWS, count // DRAWN_SHARE))
        at_random = (candidates[int(random() * count)] for _ in range(draws))
        eligible: list[BackendRecord] = []
        for backend in chain(by_key, at_random):
            if (
                backend not in request.tried
                and admits(request, backend)
                and is_feasible(request, backend, limit_us, time_left_us)
            ):
                eligible.append(backend)
                if len(eligible) == 2:
                    return eligible[0], eligible[1]
        if count <= MAX_DRAWS:
            eligible = [backend for backend in candidates if admits(request, backend)]
            eligible = [backend for backend in eligible if backend not in request.tried] or eligible
            eligible = [backend for backend in eligible if is_feasible(request, backend, limit_us, time_left_us)]
        if not eligible:
            return None
        return eligible[int(random() * len(eligible))], eligible[int(random() * len(eligible))]

    def _refresh(self) -> None:
        """Recalculate means, predictions and cutoffs, which then serve some picks in a large fleet."""
        self.picks_left -= 1
        if self.picks_left >= 0:
            return
        ready, now, resumed_at = self.members.ready, self.context.now, self.context.resumed_at
        self.picks_left = len(ready) // PICKS_PER_REFRESH
        self.outliers.refresh(ready, now, self.table.typical_latency_us, resumed_at)
        self.warm_up.refresh(ready, now, self.table.service_time_us)
        self.table.refresh(ready, now, resumed_at)
        for backend in ready:
            fraction = backend.capacity_fraction = self.warm_up.capacity_fraction(backend, now)
            backend.service_time_us = self.table.predicted_service_time(backend, now, fraction)
        self.table.band_cutoffs = cutoffs([self._rank(backend) for backend in ready]) if ready else []

    def _rank(self, backend: BackendRecord) -> float:
        """Return the value that bands compare: predicted time of what the backend has in flight."""
        now = self.context.now
        load = backend.own_load(now) + self.table.other_load(backend, now) + backend.immediate_failures.value_at(now)
        # Without a random fraction small counts tie: with half the backends idle the median itself is idle.
        return (load + self.context.rng.random()) * backend.service_time_us
