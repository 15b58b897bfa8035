"""The load table: what each server holds, and how fast it works that off."""

from __future__ import annotations

from ..interface import AttemptEnded, LatencyModelRestored, Outcome, Settings
from .outcomes import AT_ONCE, LEAVES_WORK
from .records import SECOND, Server

FRESH_US = SECOND  # a report this young counts in full; older ones fade to the mean as FRESH_US / age
GAIN, SERVICE_GAIN = 0.1, 0.3  # weight of a new sample in smoothed figures; in those the server has smoothed
PRIOR = 4  # a learned pace counts half after this many answers
FORGET_US = 5 * SECOND  # a pace not confirmed for this long counts half: a server shunned must be seen again
FADE, FADE_US = 10, SECOND  # what a bad end weighs halves in so many latencies, at most this
SLOWER = 1.25  # than before may a fleet be, while it may yet be cold
LATE = 5  # an answer later than this many typical ones tells of a stall, not of the fleet's pace


class LoadTable:
    """What each server holds, by its reports and this balancer's own count, and how fast it works it off."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self.column = next((fields.index(f) for f in ("inflight", "queue") if f in fields), -1)
        self.service_column = fields.index("latency_ms") if "latency_ms" in fields else -1
        self.hinted = settings.capacity_hints
        self.cuts: list[float] = []
        self.mean, self.mean_hint = 0.0, 1.0  # of the table: loads heard of, capacity hints
        self.mean_service = 0.0  # and reported service times
        self.news_at = 0  # when the median server was last heard of
        self.cost = 0.0  # mean cost of a request by its hints
        self.pace = 0.0  # fleet: time per unit of load
        self.typical = 0.0  # fleet: latency of answers
        self.answers = self.stood_at = 0
        self.known = LatencyModelRestored(0.0, 0.0, 0)  # from before

    def look(self, servers: list[Server], now: int, stood_at: int) -> None:
        """What the entries come to in the mean. `stood_at`: waiting before that was the caller's own."""
        self.stood_at = stood_at
        heard = [s.own(now) + max(0.0, s.others) for s in servers if s.heard_at]
        self.mean = sum(heard) / len(heard) if heard else 0.0
        self.news_at = sorted(s.news_at for s in servers)[len(servers) // 2] if servers else 0
        known = [s.service for s in servers if s.service]
        self.mean_service = sum(known) / len(known) if known else 0.0
        if self.hinted and servers:
            self.mean_hint = sum(s.hint for s in servers) / len(servers)

    def others(self, s: Server, now: int) -> float:
        """What all others hold at a server: as reported, an old report fading to the mean of the table.

        A server not heard from enters at that mean; a cold one at its part of it, for nobody sends it more.
        """
        mean = self.mean * s.warmth
        if not s.heard_at:
            return mean
        age = max(FRESH_US, now - s.heard_at)
        return mean + (max(0.0, s.others) - mean) * FRESH_US / age

    def size_of(self, cost_us: int) -> float:
        """The work of a request as a multiple of the mean request's; 1 where nothing tells it."""
        if not cost_us:
            return 1.0
        self.cost += (GAIN / 4 if self.cost else 1.0) * (cost_us - self.cost)
        return cost_us / self.cost

    def holds(self, now: int, s: Server, held: float, asked_at: int = -1) -> None:
        """Take in what is told, unsmoothed. Asked for after a bad end, it counts what still runs of that."""
        s.others, s.heard_at, s.news_at = held - len(s.open), now, now
        if asked_at >= s.ghosts.since:
            s.ghosts.clear()

    def remember(self, e: LatencyModelRestored) -> None:
        """Else cold servers that nobody calls so teach a pace that refuses all."""
        if not self.answers and e.service_time_us:
            self.pace, self.typical, self.answers, self.known = e.service_time_us, e.typical_latency_us, e.answers, e

    def works(self, s: Server, service_ms: float) -> None:
        """Learn from a reported service time, waiting left out, how fast a server works."""
        if service_ms > 0:
            s.service += (SERVICE_GAIN if s.service else 1.0) * (service_ms - s.service)

    def pace_of(self, s: Server, now: int, warmth: float) -> float:
        """Time a server takes per unit of load: the inverse of its relative capacity."""
        pace = (self.pace or 1.0) / warmth
        if self.hinted:
            pace *= self.mean_hint / s.hint
        if s.service:
            pace *= s.service / self.mean_service
        if s.samples:
            w = s.samples / (s.samples + PRIOR) * FORGET_US / (FORGET_US + now - s.ended_at)
            # One out for longer than answers take tells it before it ends, and before all queues are full.
            since = (now - max(sent, self.stood_at) for sent in s.open.values())
            late = sum(max(0.0, age - s.latency) for age in since)
            pace += w * ((s.latency + GAIN * late) / s.load - pace)
        return pace

    def ended(self, now: int, s: Server, e: AttemptEnded, load_at_send: float, timed: bool = True) -> None:
        """Learn from an attempt that has just been taken off s.open; `timed`: its latency is the server's."""
        s.ended_at = now
        if self.column >= 0 and len(e.report) > self.column:
            # The report holds our own attempts too: what remains after them is the others' share.
            others = e.report[self.column] - len(s.open) - 1
            afresh = not s.heard_at or s.ghosts.at(now)  # it counts what still runs, and replaces the guess
            gain = 1.0 if afresh else max(GAIN, min(1.0, (now - s.heard_at) / FRESH_US))
            s.ghosts.clear()
            s.others += gain * (others - s.others)
            s.heard_at = s.news_at = now
            # The load at sending may be an old guess: a jam grown unseen made every server look slow (bajio).
            load_at_send = max(load_at_send, e.report[self.column])
        if 0 <= self.service_column < len(e.report):
            self.works(s, e.report[self.service_column])
        slow = e.outcome is Outcome.TIMEOUT and e.latency_us > self.typical
        if timed and (e.outcome is Outcome.OK or slow):
            gain = max(GAIN, 1 / (s.samples + 1))
            s.latency += gain * (e.latency_us - s.latency)
            s.load += gain * (load_at_send - s.load)
            s.samples += 1
        if e.outcome is Outcome.OK:
            s.answered_at = now
            s.bounced.clear()
        if e.outcome is Outcome.OK and timed:
            # The first answers wait for connections: those that come next weigh more.
            gain = max(GAIN / 4, 2 / (self.answers + 2))
            self.answers += 1
            latency = min(e.latency_us, LATE * self.typical) if gain <= GAIN else e.latency_us
            self.typical += gain * (latency - self.typical)
            # Of a warm one: a young fleet is not a slow one.
            pace = s.warmth * latency / load_at_send
            most = SLOWER * self.known.service_time_us if now < self.known.capped_until_us else pace
            self.pace += gain * (min(pace, most) - self.pace)
        half_us = min(FADE_US, int(FADE * self.typical) or FADE_US)
        if e.outcome in LEAVES_WORK:
            s.ghosts.add(now, half_us)
        if e.outcome in AT_ONCE:
            # Balls stay: a server that ends attempts at once must not look light for it, whatever it reports.
            s.bounced.add(now, half_us)
