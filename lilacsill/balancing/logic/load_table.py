"""The load table: the load of each backend, and how fast it serves requests."""

from __future__ import annotations

from ..interface import AttemptEnded, LatencyModelRestored, Outcome, Settings
from .outcomes import FAILED_IMMEDIATELY, MAY_STILL_RUN
from .records import SECOND_US, BackendRecord

FRESH_US = SECOND_US  # a report this young counts fully; an older one decays to the mean as FRESH_US / age
GAIN = 0.1  # least weight of a new sample in smoothed figures of one backend
FLEET_GAIN = GAIN / 4  # the same in figures of the fleet
SERVICE_TIME_GAIN = 0.3  # weight of a new reported service time, which the backend has smoothed already
PRIOR_SAMPLES = 4  # a learned service time counts half after this many samples
FORGET_US = 5 * SECOND_US  # a service time not confirmed for this long counts half: an avoided backend gets retried
DECAY_LATENCIES, MAX_HALVING_US = 10, SECOND_US  # half-life of failed attempts in typical latencies, and its bound
MAX_SLOWDOWN = 1.25  # of a restored service time while backends may be warming up
MAX_LATENCIES = 5  # a latency above this many typical ones is a stall, not the fleet's service time
LOAD_FIELDS = ("inflight", "queue")  # fields of a report that hold the load, the preferred one first
SERVICE_TIME_FIELD = "latency_ms"


class LoadTable:
    """Load and service time of each backend, from its reports and from this balancer's own attempts.

    Attributes:
        load_column: Position of the load in a report; None if reports have none.
        service_column: Position of the service time in a report; None if reports have none.
        uses_capacity_hints: Capacity hints are meaningful.
        band_cutoffs: Cutoffs of the bands as of the latest refresh.
        mean_load: Mean load of the backends that have reported.
        mean_capacity_hint: Mean capacity hint.
        mean_service_ms: Mean reported service time, milliseconds; 0 if none was reported.
        median_updated_at: Clock time of the latest information about the median backend, microseconds.
        mean_cost_us: Mean estimated cost of requests, microseconds; 0 without estimates.
        service_time_us: Time of a warm backend of the fleet for each request in flight, microseconds; 0 if unknown.
        typical_latency_us: Mean latency of responses, microseconds; 0 if unknown.
        answer_count: Responses that these two rest on.
        resumed_at: Waiting before this clock time was the caller's own, microseconds.
        restored: What an earlier incarnation knew.
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
        self.answer_count = self.resumed_at = 0
        self.restored = LatencyModelRestored(0.0, 0.0, 0)

    def refresh(self, backends: list[BackendRecord], now: int, resumed_at: int) -> None:
        """Recalculate the means.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            resumed_at: Waiting before this clock time was the caller's own, microseconds.
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
        """Return the load in a report, or None if it has none."""
        if self.load_column is None or len(report) <= self.load_column:
            return None
        return report[self.load_column]

    def other_load(self, backend: BackendRecord, now: int) -> float:
        """Return the load from other balancers: as reported, an old report decayed to the mean of the table.

        A backend without any report counts with that mean; a warming one with its share of it, since no balancer
        sends it more.
        """
        mean = self.mean_load * backend.capacity_fraction
        if not backend.reported_at:
            return mean
        age_us = max(FRESH_US, now - backend.reported_at)
        return mean + (max(0.0, backend.other_load) - mean) * FRESH_US / age_us

    def relative_cost(self, cost_hint_us: int) -> float:
        """Return the estimated cost as a multiple of the mean request's, and learn the mean; 1 without a hint."""
        if not cost_hint_us:
            return 1.0
        gain = FLEET_GAIN if self.mean_cost_us else 1.0
        self.mean_cost_us += gain * (cost_hint_us - self.mean_cost_us)
        return cost_hint_us / self.mean_cost_us

    def record_report(self, now: int, backend: BackendRecord, load: float, requested_at: int | None = None) -> None:
        """Take over a reported load unsmoothed.

        Args:
            now: Clock time, microseconds.
            backend: Backend of the report.
            load: Its load, all balancers' requests included.
            requested_at: Clock time at which the report was requested, microseconds; None if it was not. Requested
                after a failed attempt, it counts what still runs of that.
        """
        backend.other_load = load - len(backend.in_flight)
        backend.reported_at = backend.updated_at = now
        if requested_at is not None and requested_at >= backend.abandoned.since:
            backend.abandoned.clear()

    def restore(self, event: LatencyModelRestored) -> None:
        """Take over what an earlier incarnation knew, unless responses have taught more already.

        Without it, backends that are warming up unknown to anybody would teach a service time that rejects everything.
        """
        if not self.answer_count and event.service_time_us:
            self.service_time_us, self.typical_latency_us = event.service_time_us, event.typical_latency_us
            self.answer_count, self.restored = event.answers, event

    def record_service_time(self, backend: BackendRecord, service_ms: float) -> None:
        """Learn from a reported service time in milliseconds, which excludes waiting, how fast a backend works."""
        if service_ms > 0:
            gain = SERVICE_TIME_GAIN if backend.reported_service_ms else 1.0
            backend.reported_service_ms += gain * (service_ms - backend.reported_service_ms)

    def predicted_service_time(self, backend: BackendRecord, now: int, capacity_fraction: float) -> float:
        """Return the predicted time for each request in flight, microseconds: the inverse of relative capacity."""
        predicted_us = (self.service_time_us or 1.0) / capacity_fraction
        if self.uses_capacity_hints:
            predicted_us *= self.mean_capacity_hint / backend.capacity_hint
        if backend.reported_service_ms:
            predicted_us *= backend.reported_service_ms / self.mean_service_ms
        samples = backend.sample_count
        if samples:
            weight = samples / (samples + PRIOR_SAMPLES) * FORGET_US / (FORGET_US + now - backend.ended_at)
            # An attempt in flight for longer than responses take is evidence before it ends, and before all queues
            # are full.
            ages = (now - max(sent_at, self.resumed_at) for sent_at in backend.in_flight.values())
            excess_us = sum(max(0.0, age - backend.mean_latency_us) for age in ages)
            learned_us = (backend.mean_latency_us + GAIN * excess_us) / backend.mean_load
            predicted_us += weight * (learned_us - predicted_us)
        return predicted_us

    def record_attempt(
        self, now: int, backend: BackendRecord, event: AttemptEnded, load_at_send: float, is_timed: bool = True
    ) -> None:
        """Learn from an attempt that has just been removed from `backend.in_flight`.

        Args:
            now: Clock time, microseconds.
            backend: Backend of the attempt.
            event: The end of the attempt.
            load_at_send: Estimated load of the backend when it was sent.
            is_timed: Its latency is the backend's; otherwise the caller has stood still meanwhile.
        """
        backend.ended_at = now
        load = self.reported_load(event.report)
        if load is not None:
            self._record_attached_load(now, backend, load)
            # The estimate at sending may be old: a queue that had grown unseen made every backend look slow.
            load_at_send = max(load_at_send, load)
        if self.service_column is not None and self.service_column < len(event.report):
            self.record_service_time(backend, event.report[self.service_column])
        was_slow = event.outcome is Outcome.TIMEOUT and event.latency_us > self.typical_latency_us
        if is_timed and (event.outcome is Outcome.OK or was_slow):
            self._record_latency(backend, event.latency_us, load_at_send)
        if event.outcome is Outcome.OK:
            backend.answered_at = now
            backend.immediate_failures.clear()
            if is_timed:
                self._record_fleet_latency(now, backend, event.latency_us, load_at_send)
        halving_us = min(MAX_HALVING_US, int(DECAY_LATENCIES * self.typical_latency_us) or MAX_HALVING_US)
        if event.outcome in MAY_STILL_RUN:
            backend.abandoned.add(now, halving_us)
        if event.outcome in FAILED_IMMEDIATELY:
            # A backend that ends attempts at once must not look idle for it, whatever it reports.
            backend.immediate_failures.add(now, halving_us)

    def _record_attached_load(self, now: int, backend: BackendRecord, load: float) -> None:
        # The report includes our own attempts: what remains without them is the others' load.
        others = load - len(backend.in_flight) - 1
        # A first report replaces the guess, and so does one that counts what still runs of abandoned attempts.
        replaces_guess = not backend.reported_at or backend.abandoned.value_at(now)
        gain = 1.0 if replaces_guess else max(GAIN, min(1.0, (now - backend.reported_at) / FRESH_US))
        backend.abandoned.clear()
        backend.other_load += gain * (others - backend.other_load)
        backend.reported_at = backend.updated_at = now

    def _record_latency(self, backend: BackendRecord, latency_us: int, load_at_send: float) -> None:
        gain = max(GAIN, 1 / (backend.sample_count + 1))
        backend.mean_latency_us += gain * (latency_us - backend.mean_latency_us)
        backend.mean_load += gain * (load_at_send - backend.mean_load)
        backend.sample_count += 1

    def _record_fleet_latency(self, now: int, backend: BackendRecord, latency_us: int, load_at_send: float) -> None:
        # The first responses wait for connections: the next ones weigh more.
        gain = max(FLEET_GAIN, 2 / (self.answer_count + 2))
        self.answer_count += 1
        bounded_us = min(latency_us, MAX_LATENCIES * self.typical_latency_us) if gain <= GAIN else latency_us
        self.typical_latency_us += gain * (bounded_us - self.typical_latency_us)
        # As of a warm backend: a fleet that is warming up is not a slow one.
        service_time_us = backend.capacity_fraction * bounded_us / load_at_send
        if now < self.restored.capped_until_us:
            service_time_us = min(service_time_us, MAX_SLOWDOWN * self.restored.service_time_us)
        self.service_time_us += gain * (service_time_us - self.service_time_us)
