"""The load table: what each server holds, and how fast it works that off."""

from __future__ import annotations

from ..interface import AttemptEnded, LatencyModelRestored, Outcome, Settings
from .outcomes import FAILED_IMMEDIATELY, MAY_STILL_RUN
from .records import SECOND_US, BackendRecord

FRESH_US = SECOND_US  # a report this young counts in full; older ones fade to the mean as FRESH_US / age
GAIN, SERVICE_GAIN = 0.1, 0.3  # weight of a new sample in smoothed figures; in those the server has smoothed
PRIOR = 4  # a learned pace counts half after this many answers
FORGET_US = 5 * SECOND_US  # a pace not confirmed for this long counts half: a server shunned must be seen again
FADE, FADE_US = 10, SECOND_US  # what a bad end weighs halves in so many latencies, at most this
SLOWER = 1.25  # than before may a fleet be, while it may yet be cold
LATE = 5  # an answer later than this many typical ones tells of a stall, not of the fleet's pace


class LoadTable:
    """What each server holds, by its reports and this balancer's own count, and how fast it works it off."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self.load_column = next((fields.index(f) for f in ("inflight", "queue") if f in fields), -1)
        self.service_column = fields.index("latency_ms") if "latency_ms" in fields else -1
        self.uses_capacity_hints = settings.capacity_hints
        self.band_cutoffs: list[float] = []
        self.mean_load, self.mean_capacity_hint = 0.0, 1.0  # of the table: loads heard of, capacity hints
        self.mean_service_ms = 0.0  # and reported service times
        self.median_updated_at = 0  # when the median server was last heard of
        self.mean_cost_us = 0.0  # mean cost of a request by its hints
        self.service_time_us = 0.0  # fleet: time per unit of load
        self.typical_latency_us = 0.0  # fleet: latency of answers
        self.answer_count = self.resumed_at = 0
        self.restored = LatencyModelRestored(0.0, 0.0, 0)  # from before

    def refresh(self, servers: list[BackendRecord], now: int, stood_at: int) -> None:
        """What the entries come to in the mean. `stood_at`: waiting before that was the caller's own."""
        self.resumed_at = stood_at
        heard = [s.own_load(now) + max(0.0, s.other_load) for s in servers if s.reported_at]
        self.mean_load = sum(heard) / len(heard) if heard else 0.0
        self.median_updated_at = sorted(s.updated_at for s in servers)[len(servers) // 2] if servers else 0
        known = [s.reported_service_ms for s in servers if s.reported_service_ms]
        self.mean_service_ms = sum(known) / len(known) if known else 0.0
        if self.uses_capacity_hints and servers:
            self.mean_capacity_hint = sum(s.capacity_hint for s in servers) / len(servers)

    def other_load(self, s: BackendRecord, now: int) -> float:
        """What all others hold at a server: as reported, an old report fading to the mean of the table.

        A server not heard from enters at that mean; a cold one at its part of it, for nobody sends it more.
        """
        mean = self.mean_load * s.capacity_fraction
        if not s.reported_at:
            return mean
        age = max(FRESH_US, now - s.reported_at)
        return mean + (max(0.0, s.other_load) - mean) * FRESH_US / age

    def relative_cost(self, cost_us: int) -> float:
        """The work of a request as a multiple of the mean request's; 1 where nothing tells it."""
        if not cost_us:
            return 1.0
        self.mean_cost_us += (GAIN / 4 if self.mean_cost_us else 1.0) * (cost_us - self.mean_cost_us)
        return cost_us / self.mean_cost_us

    def record_report(self, now: int, s: BackendRecord, held: float, asked_at: int = -1) -> None:
        """Take in what is told, unsmoothed. Asked for after a bad end, it counts what still runs of that."""
        s.other_load, s.reported_at, s.updated_at = held - len(s.in_flight), now, now
        if asked_at >= s.abandoned.since:
            s.abandoned.clear()

    def restore(self, e: LatencyModelRestored) -> None:
        """Else cold servers that nobody calls so teach a pace that refuses all."""
        if not self.answer_count and e.service_time_us:
            self.service_time_us, self.typical_latency_us, self.answer_count, self.restored = (
                e.service_time_us,
                e.typical_latency_us,
                e.answers,
                e,
            )

    def record_service_time(self, s: BackendRecord, service_ms: float) -> None:
        """Learn from a reported service time, waiting left out, how fast a server works."""
        if service_ms > 0:
            s.reported_service_ms += (SERVICE_GAIN if s.reported_service_ms else 1.0) * (
                service_ms - s.reported_service_ms
            )

    def predicted_service_time(self, s: BackendRecord, now: int, warmth: float) -> float:
        """Time a server takes per unit of load: the inverse of its relative capacity."""
        pace = (self.service_time_us or 1.0) / warmth
        if self.uses_capacity_hints:
            pace *= self.mean_capacity_hint / s.capacity_hint
        if s.reported_service_ms:
            pace *= s.reported_service_ms / self.mean_service_ms
        if s.sample_count:
            w = s.sample_count / (s.sample_count + PRIOR) * FORGET_US / (FORGET_US + now - s.ended_at)
            # One out for longer than answers take tells it before it ends, and before all queues are full.
            since = (now - max(sent, self.resumed_at) for sent in s.in_flight.values())
            late = sum(max(0.0, age - s.mean_latency_us) for age in since)
            pace += w * ((s.mean_latency_us + GAIN * late) / s.mean_load - pace)
        return pace

    def record_attempt(
        self, now: int, s: BackendRecord, e: AttemptEnded, load_at_send: float, timed: bool = True
    ) -> None:
        """Learn from an attempt that has just been taken off s.open; `timed`: its latency is the server's."""
        s.ended_at = now
        if self.load_column >= 0 and len(e.report) > self.load_column:
            # The report holds our own attempts too: what remains after them is the others' share.
            others = e.report[self.load_column] - len(s.in_flight) - 1
            afresh = not s.reported_at or s.abandoned.value_at(now)  # it counts what still runs, and replaces the guess
            gain = 1.0 if afresh else max(GAIN, min(1.0, (now - s.reported_at) / FRESH_US))
            s.abandoned.clear()
            s.other_load += gain * (others - s.other_load)
            s.reported_at = s.updated_at = now
            # The load at sending may be an old guess: a jam grown unseen made every server look slow (bajio).
            load_at_send = max(load_at_send, e.report[self.load_column])
        if 0 <= self.service_column < len(e.report):
            self.record_service_time(s, e.report[self.service_column])
        slow = e.outcome is Outcome.TIMEOUT and e.latency_us > self.typical_latency_us
        if timed and (e.outcome is Outcome.OK or slow):
            gain = max(GAIN, 1 / (s.sample_count + 1))
            s.mean_latency_us += gain * (e.latency_us - s.mean_latency_us)
            s.mean_load += gain * (load_at_send - s.mean_load)
            s.sample_count += 1
        if e.outcome is Outcome.OK:
            s.answered_at = now
            s.immediate_failures.clear()
        if e.outcome is Outcome.OK and timed:
            # The first answers wait for connections: those that come next weigh more.
            gain = max(GAIN / 4, 2 / (self.answer_count + 2))
            self.answer_count += 1
            latency = min(e.latency_us, LATE * self.typical_latency_us) if gain <= GAIN else e.latency_us
            self.typical_latency_us += gain * (latency - self.typical_latency_us)
            # Of a warm one: a young fleet is not a slow one.
            pace = s.capacity_fraction * latency / load_at_send
            most = SLOWER * self.restored.service_time_us if now < self.restored.capped_until_us else pace
            self.service_time_us += gain * (min(pace, most) - self.service_time_us)
        half_us = min(FADE_US, int(FADE * self.typical_latency_us) or FADE_US)
        if e.outcome in MAY_STILL_RUN:
            s.abandoned.add(now, half_us)
        if e.outcome in FAILED_IMMEDIATELY:
            # Balls stay: a server that ends attempts at once must not look light for it, whatever it reports.
            s.immediate_failures.add(now, half_us)
