"""The sampling set and the band choice: who may be sampled, and which of two samples takes the request."""

from __future__ import annotations

from itertools import chain

from ..interface import DedupScope, Idempotency
from ..mechanisms.bands import cutoffs, lower_band
from .affinity import AffinityMap
from .load_table import FORGET_US, FRESH_US, LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .peer_reports import peers_told
from .records import RequestRecord, BackendRecord
from .saturation import SaturationCache
from .warm_up_budget import WarmUpBudget

IDLE = 3.0  # attempts that all balancers together may hold at a server whatever is predicted
HEADROOM = 0.45  # predicted time to an answer, as a share of the time to the aim: the rest is for the spread
GUESSED = 0.75  # of the time to the aim may a prediction take that rests on the mean of the table
GIVE_WAY = 0.2  # the same for a client's retry and for requests beyond their tenant's share
DRAWS = 16  # samples drawn until two fit the request; no more servers than this are looked at one by one
SHUN_US = 250_000  # where it cannot be asked, one that holds nothing of ours is tried again after so long
REINDEX = 4  # the cutoffs of n servers serve n / 4 picks: the cost of a pick must not grow with n
PROBE_SPEND = 0.01  # the most of the goal that asking both samples of every request may cost
LOOKED_AT = 0.5  # of requests may still sample a server that another balancer has found ill
ASK_SHARE = 0.05  # asking may take, and a report may be old, this share of the time to the aim


class Sampler:
    """Two uniform samples among the servers that are fit, compared by band."""

    def __init__(self, members: Membership, table: LoadTable, health: OutlierDetector, cold: WarmUpBudget) -> None:
        self.context, self.members, self.table = members.context, members, table
        settings, classes = self.context.settings, self.context.settings.classes
        self.outliers, self.warm_up, self.peer_fanout = health, cold, peers_told(settings, table.load_column)
        self.strictest_target_us = {
            c.name: min(d.latency_target_us for d in classes if d.value >= c.value) for c in classes
        }
        self.set_balancer_count(settings.balancer_count)
        # LoadProber both samples of each request must be cheap, and there must be something to learn by it.
        self.asks = settings.can_probe and table.load_column >= 0 and 2 * settings.prices.probe <= PROBE_SPEND
        self.ask_us = int(ASK_SHARE * min(c.latency_target_us for c in settings.classes))
        # So young an entry is known, and no free pass is needed to learn of it.
        self.known_us = self.ask_us if self.asks else FORGET_US if self.peer_fanout else -1
        self.saturation, self.affinity = SaturationCache(), AffinityMap()
        self.picks_left = 0  # picks that the cutoffs still serve

    def set_balancer_count(self, siblings: int) -> None:
        self.unpredicted_load = IDLE / siblings

    def candidates(self, r: RequestRecord) -> list[BackendRecord]:
        if not r.may_have_run or r.request_class.idempotency is Idempotency.IDEMPOTENT:
            return self.members.ready
        return [s for s in self.members.ready if self.may_run_on(r, s)]

    def late(self) -> bool:
        """Whether the caller's core is full: its timers come late by more than an echo may take."""
        return self.context.timer_lag_us > self.ask_us

    def asks_now(self) -> bool:
        """Whether an echo can come in time. To a late caller none does, and what asking costs is the first
        thing to leave out."""
        return self.asks and not self.late()

    def may_run_on(self, r: RequestRecord, s: BackendRecord) -> bool:
        """Rules 2 and 3: asked again when an echo is in, for lists and windows change while it is awaited."""
        if not s.accepts_work or not r.may_have_run or r.request_class.idempotency is Idempotency.IDEMPOTENT:
            return s.accepts_work
        _, first, sent = r.may_have_run[0]
        until = sent + r.request_class.dedup_window_us - 2 * self.context.settings.tick_us
        if r.request_class.idempotency is Idempotency.NOT_IDEMPOTENT or self.context.now >= until:
            return False
        same = s.zone == first.zone if r.request_class.dedup_scope is DedupScope.ZONE else s.cell == first.cell
        return same or r.request_class.dedup_scope is DedupScope.ALL

    def admits(self, r: RequestRecord, s: BackendRecord) -> bool:
        # Where peers tell every answer, a server of which nothing is heard hangs: balancers that each found
        # out by themselves lost a tenth of all requests. Some still try it; of cold ones less is heard.
        now = self.context.now
        silence = (
            (now - s.updated_at) * r.uniform_draw * self.warm_up.capacity_fraction(s, now) if self.peer_fanout else 0
        )
        if silence > 2 * max(FRESH_US, self.context.now - self.table.median_updated_at):
            return False
        if (
            s.peer_health.expires_at_us > now
            and s.peer_health.observed_at_us > s.answered_at
            and (s.peer_health.ejected or r.uniform_draw > LOOKED_AT)
        ):
            return False  # others found it ill; what it has answered here since goes first
        return self.warm_up.admits(s, now, r.uniform_draw) and self.outliers.admits(
            s, now, self.table.typical_latency_us
        )

    def draw_pair(self, r: RequestRecord, pool: list[BackendRecord]) -> tuple[BackendRecord, BackendRecord] | None:
        """Two uniform samples with replacement among the servers that are fit for this request."""
        now, limit = self.context.now, self.time_limit(r)
        # Only where time is short: entries grow old and may be asked about again without any news.
        if self.late() and self.saturation.covers(r, now, limit):
            return None
        pair = self._draw(r, pool, limit, r.target_at - now)
        if pair is None:
            by_luck = self.peer_fanout > 0 or any(self.warm_up.capacity_fraction(s, now) < 1.0 for s in pool)
            busy = any(self.admits(r, s) for s in pool[:DRAWS])
            self.saturation.record(r, now, limit, busy, self.context.timer_lag_us, by_luck)
        return pair

    def _draw(
        self, r: RequestRecord, pool: list[BackendRecord], limit: float, left: int
    ) -> tuple[BackendRecord, BackendRecord] | None:
        random, n = self.context.rng.random, len(pool)
        self._refresh()
        fit: list[BackendRecord] = []
        homes = (
            s for s in self.affinity.backends_for(r.affinity_key) if self.may_run_on(r, s)
        )  # uniform over the keys
        drawn = (pool[int(random() * n)] for _ in range(max(2, min(DRAWS, n // 2))))  # over those that fit
        for s in chain(homes, drawn):
            if s not in r.tried and self.admits(r, s) and self.is_feasible(r, s, limit, left):
                fit.append(s)
                if len(fit) == 2:
                    return fit[0], fit[1]
        if n <= DRAWS:
            fit = [s for s in pool if self.admits(r, s)]
            fit = [s for s in fit if s not in r.tried] or fit
            fit = [s for s in fit if self.is_feasible(r, s, limit, left)]
        if not fit:
            return None
        return fit[int(random() * len(fit))], fit[int(random() * len(fit))]

    def _refresh(self) -> None:
        """Look at all entries: their mean and cutoffs, which then serve for some picks in a large fleet."""
        self.picks_left -= 1
        if self.picks_left >= 0:
            return
        now, n = self.context.now, len(self.members.ready)
        self.picks_left = n // REINDEX
        self.outliers.refresh(self.members.ready, now, self.table.typical_latency_us, self.context.resumed_at)
        self.warm_up.refresh(self.members.ready, now, self.table.service_time_us)
        self.table.refresh(self.members.ready, now, self.context.resumed_at)
        for s in self.members.ready:
            s.capacity_fraction = self.warm_up.capacity_fraction(s, now)
            s.service_time_us = self.table.predicted_service_time(s, now, s.capacity_fraction)
        self.table.band_cutoffs = cutoffs([self._rank(s) for s in self.members.ready]) if n else []

    def time_limit(self, r: RequestRecord) -> float:
        """The longest predicted time to an answer with which a server may still be sampled."""
        if not self.table.service_time_us:
            return float("inf")
        # A class that can wait longer must not crowd the servers beyond what one worth as much can bear.
        share = GIVE_WAY if r.low_priority else HEADROOM
        return min(r.target_at - self.context.now, self.strictest_target_us[r.request_class.name]) * share

    def is_feasible(self, r: RequestRecord, s: BackendRecord, limit: float, left: int, asked: bool = False) -> bool:
        """Whether a server may be sampled, by its predicted time and what it holds of ours. `asked`: its
        entry is as good as it gets."""
        # Heavy requests that not even an idle server could answer in time took a third of the fleet. While
        # most servers hold nothing they displace little, and hints are rough: then they may try.
        workable = (
            r.relative_cost <= 1.0 or r.relative_cost * s.service_time_us * min(1.0, self.table.mean_load) <= left
        )
        if self.context.now - s.reported_at <= self.known_us:
            # Known, not guessed: no pass here, but one that holds nothing is fit.
            held = s.own_load(self.context.now) + self.table.other_load(s, self.context.now)
            # Nor is it refused for what comes after the aim but keeps part of its worth.
            late = 0.0 if r.low_priority else r.request_class.late_value * (r.deadline - r.target_at)
            return workable if held < 1.0 else (held + r.relative_cost) * s.service_time_us <= limit + HEADROOM * late
        own, few = s.own_load(self.context.now), self.unpredicted_load >= 1.0
        if not asked and self.asks_now():
            return workable  # refused on what it says, not on what it was once taken for
        # A balancer among few knows too little to refuse by a guess: a server that holds next to nothing of
        # ours may be tried. Forty with a pass each sent a slow fleet too much for seconds: there the guess
        # decides, but for cold servers, which have a budget. Failed attempts count as held, or are for ever.
        if own < 1.0 and (few or s.capacity_fraction < 1.0):
            return workable
        if few and not s.in_flight and self.context.now - max(s.reported_at, s.sent_at) > SHUN_US:
            return workable  # nobody else would ever correct the entry
        predicted = (own + self.table.other_load(s, self.context.now) + r.relative_cost) * s.service_time_us
        return predicted <= limit or (own < self.unpredicted_load and predicted <= (left if few else GUESSED * left))

    def _rank(self, s: BackendRecord) -> float:
        """What the bands are made of."""
        # A random fraction, or small counts tie: with half the servers idle the median itself is idle.
        held = (
            s.own_load(self.context.now)
            + self.table.other_load(s, self.context.now)
            + s.immediate_failures.value_at(self.context.now)
        )
        return (held + self.context.rng.random()) * s.service_time_us

    def choose(self, r: RequestRecord, pair: tuple[BackendRecord, BackendRecord]) -> tuple[BackendRecord, float]:
        """The sample in the lower band, and what it will hold with this request."""
        one, other = pair
        rng = None if r.affinity_key else self.context.rng
        s = one if lower_band(rng, self.table.band_cutoffs, self._rank(one), self._rank(other)) else other
        return s, s.own_load(self.context.now) + self.table.other_load(s, self.context.now) + r.relative_cost
