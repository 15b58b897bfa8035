"""Load table: estimates the load and the service time of each backend."""

from __future__ import annotations

from ..interface import AttemptEnded, LatencyModelRestored, Outcome, Settings
from .outcomes import FAILED_IMMEDIATELY, MAY_STILL_RUN
from .records import SECOND_US, BackendRecord

FULL_WEIGHT_AGE_US = SECOND_US  # age up to which a report has full weight; the weight of an older one is this / age
MIN_GAIN = 0.1  # minimum weight of a new sample in smoothed values of one backend
MIN_FLEET_GAIN = MIN_GAIN / 4  # minimum weight of a new sample in smoothed values of the fleet
SERVICE_TIME_GAIN = 0.3  # weight of a new reported service time, which the backend has already smoothed
PRIOR_SAMPLES = 4  # a learned service time has half its weight after this many samples
STALE_AGE_US = 5 * SECOND_US  # age at which a learned service time has half its weight: avoided backends are retried
HALVING_LATENCIES, MAX_HALVING_US = 10, SECOND_US  # halving time of failed attempts in typical latencies, and its limit
MAX_SLOWDOWN = 1.25  # limit of the factor on a restored service time while backends may be warming up
MAX_TYPICAL_LATENCIES = 5  # latencies are capped at this many typical ones: longer ones are stalls, not service times
LOAD_FIELDS = ("inflight", "queue")  # report fields that contain the load, in order of preference
SERVICE_TIME_FIELD = "latency_ms"


class LoadTable:
    """Estimates of load and service time of each backend, from load reports and this balancer's own attempts.

    Attributes:
        load_column: Index of the load in a report; None if reports do not contain it.
        service_column: Index of the service time in a report; None if reports do not contain it.
        uses_capacity_hints: Whether capacity hints are valid.
        band_cutoffs: Loads that separate the bands, as of the latest refresh.
        mean_load: Mean load of the backends with a load report.
        mean_capacity_hint: Mean capacity hint.
        mean_service_ms: Mean of the reported service times, milliseconds; 0 if none was reported.
        median_updated_at: Median of `BackendRecord.updated_at` over the backends, microseconds.
        mean_cost_us: Smoothed estimated cost of requests, microseconds; 0 without estimates.
        service_time_us: Service time of a warm backend per request in flight, microseconds; 0 if unknown.
        typical_latency_us: Smoothed latency of responses of the fleet, microseconds; 0 if unknown.
        response_count: Number of responses in `service_time_us` and `typical_latency_us`.
        resumed_at: Clock time at which the caller last resumed after a stall, microseconds; waiting before it is not
            attributed to backends.
        restored: Latency model of an earlier incarnation.
    """

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self.load_column = next((fields.index(name) for name in LOAD_FIELDS if name in fields), None)
        self.service_column = fields.index(SERVICE_TIME_FIELD) if SERVICE_TIME_FIELD in fields else None
        self.uses_capacity_hints = settings.capacity_hints
        self.band_cutoffs: list[float] = []
        self.mean_load, self.mean_capacity_hint = 0.0, 1.0
        self.mean_service_ms = 0.0
        self.median_updated_at = 0
        self.mean_cost_us = 0.0
        self.service_time_us = 0.0
        self.typical_latency_us = 0.0
        self.response_count = self.resumed_at = 0
        self.restored = LatencyModelRestored(0.0, 0.0, 0)

    def refresh(self, backends: list[BackendRecord], now: int, resumed_at: int) -> None:
        """Recalculate the means.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            resumed_at: Clock time at which the caller last resumed after a stall, microseconds.
        """
        self.resumed_at = resumed_at
        loads = [backend.own_load(now) + max(0.0, backend.other_load) for backend in backends if backend.reported_at]
        self.mean_load = sum(loads) / len(loads) if loads else 0.0
        updates = sorted(backend.updated_at for backend in backends)
        self.median_updated_at = updates[len(updates) // 2] if updates else 0
        service_times = [backend.reported_service_ms for backend in backends if backend.reported_service_ms]
        self.mean_service_ms = sum(service_times) / len(service_times) if service_times else 0.0
        if self.uses_capacity_hints and backends:
            self.mean_capacity_hint = sum(backend.capacity_hint for backend in backends) / len(backends)

    def reported_load(self, report: tuple[float, ...]) -> float | None:
        """Return the load in a report, or None if the report does not contain it."""
        if self.load_column is None or len(report) <= self.load_column:
            return None
        return report[self.load_column]

    def other_load(self, backend: BackendRecord, now: int) -> float:
        """Return the estimated load from other balancers; an old report decays towards the mean load.

        A backend without a report is assumed to have the mean load. For a warming backend the mean is scaled by its
        capacity fraction, since other balancers limit what they send to it, too.
        """
        mean = self.mean_load * backend.capacity_fraction
        if not backend.reported_at:
            return mean
        age_us = max(FULL_WEIGHT_AGE_US, now - backend.reported_at)
        return mean + (max(0.0, backend.other_load) - mean) * FULL_WEIGHT_AGE_US / age_us

    def relative_cost(self, cost_hint_us: int) -> float:
        """Return the estimated cost as a multiple of the mean cost, and update that mean; 1 without a hint."""
        if not cost_hint_us:
            return 1.0
        gain = MIN_FLEET_GAIN if self.mean_cost_us else 1.0
        self.mean_cost_us += gain * (cost_hint_us - self.mean_cost_us)
        return cost_hint_us / self.mean_cost_us

    def record_report(self, now: int, backend: BackendRecord, load: float, requested_at: int | None = None) -> None:
        """Record a reported load without smoothing.

        Args:
            now: Clock time, microseconds.
            backend: Backend of the report.
            load: Load of the backend, including the requests of all balancers.
            requested_at: Clock time at which the report was requested, microseconds; None if it was not requested. A
                report that was requested after the latest abandoned attempt includes abandoned attempts that still run.
        """
        backend.other_load = load - len(backend.in_flight)
        backend.reported_at = backend.updated_at = now
        if requested_at is not None and requested_at >= backend.abandoned.since:
            backend.abandoned.clear()

    def restore(self, event: LatencyModelRestored) -> None:
        """Restore the latency model of an earlier incarnation, unless responses have already arrived.

        Without it, backends whose warm-up is not known would lead to a learned service time that rejects all requests.
        """
        if not self.response_count and event.service_time_us:
            self.service_time_us, self.typical_latency_us = event.service_time_us, event.typical_latency_us
            self.response_count, self.restored = event.answers, event

    def record_service_time(self, backend: BackendRecord, service_ms: float) -> None:
        """Record a reported service time in milliseconds, which excludes queueing at the backend."""
        if service_ms > 0:
            gain = SERVICE_TIME_GAIN if backend.reported_service_ms else 1.0
            backend.reported_service_ms += gain * (service_ms - backend.reported_service_ms)

    def predicted_service_time(self, backend: BackendRecord, now: int, capacity_fraction: float) -> float:
        """Return the predicted service time per request in flight, microseconds: the inverse of relative capacity."""
        predicted_us = (self.service_time_us or 1.0) / capacity_fraction
        if self.uses_capacity_hints:
            predicted_us *= self.mean_capacity_hint / backend.capacity_hint
        if backend.reported_service_ms:
            predicted_us *= backend.reported_service_ms / self.mean_service_ms
        samples = backend.sample_count
        if samples:
            weight = samples / (samples + PRIOR_SAMPLES) * STALE_AGE_US / (STALE_AGE_US + now - backend.ended_at)
            # An attempt in flight for longer than the mean latency shows a slowdown before it ends, and before the
            # queues of the backends are full.
            ages = (now - max(sent_at, self.resumed_at) for sent_at in backend.in_flight.values())
            excess_us = sum(max(0.0, age - backend.mean_latency_us) for age in ages)
            learned_us = (backend.mean_latency_us + MIN_GAIN * excess_us) / backend.mean_load
            predicted_us += weight * (learned_us - predicted_us)
        return predicted_us

    def record_attempt(
        self, now: int, backend: BackendRecord, event: AttemptEnded, load_at_send: float, is_timed: bool = True
    ) -> None:
        """Record the outcome of an attempt that has just been removed from `backend.in_flight`.

        Args:
            now: Clock time, microseconds.
            backend: Backend of the attempt.
            event: End of the attempt.
            load_at_send: Estimated load of the backend at the time of sending.
            is_timed: Whether the latency measures the backend; False if the caller stalled during the attempt.
        """
        backend.ended_at = now
        load = self.reported_load(event.report)
        if load is not None:
            self._record_attached_load(now, backend, load)
            # The estimate at sending may be outdated: queues that had grown unnoticed made every backend look slow.
            load_at_send = max(load_at_send, load)
        if self.service_column is not None and self.service_column < len(event.report):
            self.record_service_time(backend, event.report[self.service_column])
        was_slow = event.outcome is Outcome.TIMEOUT and event.latency_us > self.typical_latency_us
        if is_timed and (event.outcome is Outcome.OK or was_slow):
            self._record_latency(backend, event.latency_us, load_at_send)
        if event.outcome is Outcome.OK:
            backend.responded_at = now
            backend.immediate_failures.clear()
            if is_timed:
                self._record_fleet_latency(now, backend, event.latency_us, load_at_send)
        halving_us = min(MAX_HALVING_US, int(HALVING_LATENCIES * self.typical_latency_us) or MAX_HALVING_US)
        if event.outcome in MAY_STILL_RUN:
            backend.abandoned.add(now, halving_us)
        if event.outcome in FAILED_IMMEDIATELY:
            # A backend that fails attempts at once must not look idle because of that, whatever load it reports.
            backend.immediate_failures.add(now, halving_us)

    def _record_attached_load(self, now: int, backend: BackendRecord, load: float) -> None:
        # The report includes this balancer's attempts, also the ended one; the rest is the load of the others.
        others = load - len(backend.in_flight) - 1
        # The first report replaces the estimate without smoothing, and so does a report while abandoned attempts are
        # counted, since it includes those that still run.
        replaces_guess = not backend.reported_at or backend.abandoned.value_at(now)
        gain = 1.0 if replaces_guess else max(MIN_GAIN, min(1.0, (now - backend.reported_at) / FULL_WEIGHT_AGE_US))
        backend.abandoned.clear()
        backend.other_load += gain * (others - backend.other_load)
        backend.reported_at = backend.updated_at = now

    def _record_latency(self, backend: BackendRecord, latency_us: int, load_at_send: float) -> None:
        gain = max(MIN_GAIN, 1 / (backend.sample_count + 1))
        backend.mean_latency_us += gain * (latency_us - backend.mean_latency_us)
        backend.mean_load += gain * (load_at_send - backend.mean_load)
        backend.sample_count += 1

    def _record_fleet_latency(self, now: int, backend: BackendRecord, latency_us: int, load_at_send: float) -> None:
        # The first responses include the time for connects, so later ones have more weight than in a plain mean.
        gain = max(MIN_FLEET_GAIN, 2 / (self.response_count + 2))
        self.response_count += 1
        bounded_us = (
            min(latency_us, MAX_TYPICAL_LATENCIES * self.typical_latency_us) if gain <= MIN_GAIN else latency_us
        )
        self.typical_latency_us += gain * (bounded_us - self.typical_latency_us)
        # Scaled to a warm backend, so that a fleet during warm-up does not count as slow.
        service_time_us = backend.capacity_fraction * bounded_us / load_at_send
        if now < self.restored.capped_until_us:
            service_time_us = min(service_time_us, MAX_SLOWDOWN * self.restored.service_time_us)
        self.service_time_us += gain * (service_time_us - self.service_time_us)
