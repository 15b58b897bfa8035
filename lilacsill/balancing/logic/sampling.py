"""Sampling: draws two uniform samples of the eligible backends and compares them by load band."""

from __future__ import annotations

from itertools import chain

from ..mechanisms.bands import cutoffs, prefers_first
from .affinity import AffinityMap
from .eligibility import Eligibility
from .load_table import LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .probe_policy import ProbePolicy
from .records import BackendRecord, RequestRecord
from .saturation import SaturationCache
from .warm_up_budget import WarmUpBudget

MAX_DRAWS = 16  # limit of the draws for two eligible samples; up to this many candidates are also searched one by one
MIN_DRAWS = 2
CANDIDATES_PER_DRAW = 2  # at most one draw per this many candidates
BACKENDS_PER_PICK = 4  # cutoffs of n backends serve n / 4 picks, so that the cost of a pick does not grow with n

Pair = tuple[BackendRecord, BackendRecord]


class Sampler:
    """Draws a pair of backends for a request and chooses one of them.

    Attributes:
        members: Backends of the balancer.
        table: Load and service times of the backends.
        outliers: Outlier detection.
        warm_up: Budget of sends to warming backends.
        probe_policy: Whether sampled backends are probed.
        eligibility: Which backends may be sampled for a request.
        saturation: Cache of futile searches.
        affinity: Backends by affinity key.
        picks_until_refresh: Number of picks until the cutoffs are recalculated.
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
        self.picks_until_refresh = 0
        self._has_peer_reports = has_peer_reports

    def draw_pair(self, request: RequestRecord, candidates: list[BackendRecord]) -> Pair | None:
        """Return two uniform samples of the eligible candidates, with replacement; None if the search finds none."""
        now, limit_us = self.context.now, self.eligibility.time_limit(request)
        # The cache is used only while the CPU is saturated: otherwise a search may succeed without an event that clears
        # the cache, since reports age and can be requested again.
        if self.probe_policy.is_cpu_saturated() and self.saturation.covers(request, now, limit_us):
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
        """Return the sample in the lower band and its estimated load, including this request."""
        now = self.context.now
        first, second = pair
        # Samples by affinity key are already in random order.
        rng = None if request.affinity_key else self.context.rng
        is_first = prefers_first(rng, self.table.band_cutoffs, self._rank(first), self._rank(second))
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
        draws = max(MIN_DRAWS, min(MAX_DRAWS, count // CANDIDATES_PER_DRAW))
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
        """Recalculate means, predictions and cutoffs, unless the current ones are still valid for further picks."""
        self.picks_until_refresh -= 1
        if self.picks_until_refresh >= 0:
            return
        ready, now, resumed_at = self.members.ready, self.context.now, self.context.resumed_at
        self.picks_until_refresh = len(ready) // BACKENDS_PER_PICK
        self.outliers.refresh(ready, now, self.table.typical_latency_us, resumed_at)
        self.warm_up.refresh(ready, now, self.table.service_time_us)
        self.table.refresh(ready, now, resumed_at)
        for backend in ready:
            fraction = backend.capacity_fraction = self.warm_up.capacity_fraction(backend, now)
            backend.service_time_us = self.table.predicted_service_time(backend, now, fraction)
        self.table.band_cutoffs = cutoffs([self._rank(backend) for backend in ready]) if ready else []

    def _rank(self, backend: BackendRecord) -> float:
        """Return the value by which bands rank a backend: the predicted time of its requests in flight."""
        now = self.context.now
        load = backend.own_load(now) + self.table.other_load(backend, now) + backend.immediate_failures.value_at(now)
        # Without the random fraction small counts tie: if half of the backends are idle, the median load is that of an
        # idle backend.
        return (load + self.context.rng.random()) * backend.service_time_us
