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
from .records import Request, Server
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
        self.core, self.members, self.table = members.core, members, table
        settings, classes = self.core.settings, self.core.settings.classes
        self.health, self.cold, self.tells = health, cold, peers_told(settings, table.column)
        self.bearable = {c.name: min(d.latency_target_us for d in classes if d.value >= c.value) for c in classes}
        self.among(settings.balancer_count)
        # LoadProber both samples of each request must be cheap, and there must be something to learn by it.
        self.asks = settings.can_probe and table.column >= 0 and 2 * settings.prices.probe <= PROBE_SPEND
        self.ask_us = int(ASK_SHARE * min(c.latency_target_us for c in settings.classes))
        # So young an entry is known, and no free pass is needed to learn of it.
        self.known_us = self.ask_us if self.asks else FORGET_US if self.tells else -1
        self.full, self.homes = SaturationCache(), AffinityMap()
        self.picks_left = 0  # picks that the cutoffs still serve

    def among(self, siblings: int) -> None:
        self.idle = IDLE / siblings

    def pool(self, r: Request) -> list[Server]:
        if not r.may_have_run or r.cls.idempotency is Idempotency.IDEMPOTENT:
            return self.members.ready
        return [s for s in self.members.ready if self.may_go(r, s)]

    def late(self) -> bool:
        """Whether the caller's core is full: its timers come late by more than an echo may take."""
        return self.core.lag_us > self.ask_us

    def asks_now(self) -> bool:
        """Whether an echo can come in time. To a late caller none does, and what asking costs is the first
        thing to leave out."""
        return self.asks and not self.late()

    def may_go(self, r: Request, s: Server) -> bool:
        """Rules 2 and 3: asked again when an echo is in, for lists and windows change while it is awaited."""
        if not s.serves or not r.may_have_run or r.cls.idempotency is Idempotency.IDEMPOTENT:
            return s.serves
        _, first, sent = r.may_have_run[0]
        until = sent + r.cls.dedup_window_us - 2 * self.core.settings.tick_us
        if r.cls.idempotency is Idempotency.NOT_IDEMPOTENT or self.core.now >= until:
            return False
        same = s.zone == first.zone if r.cls.dedup_scope is DedupScope.ZONE else s.cell == first.cell
        return same or r.cls.dedup_scope is DedupScope.ALL

    def admits(self, r: Request, s: Server) -> bool:
        # Where peers tell every answer, a server of which nothing is heard hangs: balancers that each found
        # out by themselves lost a tenth of all requests. Some still try it; of cold ones less is heard.
        now = self.core.now
        silence = (now - s.news_at) * r.luck * self.cold.warmth(s, now) if self.tells else 0
        if silence > 2 * max(FRESH_US, self.core.now - self.table.news_at):
            return False
        if (
            s.told.expires_at_us > now
            and s.told.observed_at_us > s.answered_at
            and (s.told.ejected or r.luck > LOOKED_AT)
        ):
            return False  # others found it ill; what it has answered here since goes first
        return self.cold.admits(s, now, r.luck) and self.health.admits(s, now, self.table.typical)

    def two(self, r: Request, pool: list[Server]) -> tuple[Server, Server] | None:
        """Two uniform samples with replacement among the servers that are fit for this request."""
        now, limit = self.core.now, self.limit(r)
        # Only where time is short: entries grow old and may be asked about again without any news.
        if self.late() and self.full.holds(r, now, limit):
            return None
        pair = self._draw(r, pool, limit, r.aim_at - now)
        if pair is None:
            by_luck = self.tells > 0 or any(self.cold.warmth(s, now) < 1.0 for s in pool)
            busy = any(self.admits(r, s) for s in pool[:DRAWS])
            self.full.found(r, now, limit, busy, self.core.lag_us, by_luck)
        return pair

    def _draw(self, r: Request, pool: list[Server], limit: float, left: int) -> tuple[Server, Server] | None:
        random, n = self.core.rng.random, len(pool)
        self._index()
        fit: list[Server] = []
        homes = (s for s in self.homes.of(r.key) if self.may_go(r, s))  # uniform over the keys
        drawn = (pool[int(random() * n)] for _ in range(max(2, min(DRAWS, n // 2))))  # over those that fit
        for s in chain(homes, drawn):
            if s not in r.tried and self.admits(r, s) and self.hopeful(r, s, limit, left):
                fit.append(s)
                if len(fit) == 2:
                    return fit[0], fit[1]
        if n <= DRAWS:
            fit = [s for s in pool if self.admits(r, s)]
            fit = [s for s in fit if s not in r.tried] or fit
            fit = [s for s in fit if self.hopeful(r, s, limit, left)]
        if not fit:
            return None
        return fit[int(random() * len(fit))], fit[int(random() * len(fit))]

    def _index(self) -> None:
        """Look at all entries: their mean and cutoffs, which then serve for some picks in a large fleet."""
        self.picks_left -= 1
        if self.picks_left >= 0:
            return
        now, n = self.core.now, len(self.members.ready)
        self.picks_left = n // REINDEX
        self.health.look(self.members.ready, now, self.table.typical, self.core.stood_at)
        self.cold.look(self.members.ready, now, self.table.pace)
        self.table.look(self.members.ready, now, self.core.stood_at)
        for s in self.members.ready:
            s.warmth = self.cold.warmth(s, now)
            s.pace = self.table.pace_of(s, now, s.warmth)
        self.table.cuts = cutoffs([self._rank(s) for s in self.members.ready]) if n else []

    def limit(self, r: Request) -> float:
        """The longest predicted time to an answer with which a server may still be sampled."""
        if not self.table.pace:
            return float("inf")
        # A class that can wait longer must not crowd the servers beyond what one worth as much can bear.
        share = GIVE_WAY if r.gives_way else HEADROOM
        return min(r.aim_at - self.core.now, self.bearable[r.cls.name]) * share

    def hopeful(self, r: Request, s: Server, limit: float, left: int, asked: bool = False) -> bool:
        """Whether a server may be sampled, by its predicted time and what it holds of ours. `asked`: its
        entry is as good as it gets."""
        # Heavy requests that not even an idle server could answer in time took a third of the fleet. While
        # most servers hold nothing they displace little, and hints are rough: then they may try.
        workable = r.size <= 1.0 or r.size * s.pace * min(1.0, self.table.mean) <= left
        if self.core.now - s.heard_at <= self.known_us:
            # Known, not guessed: no pass here, but one that holds nothing is fit.
            held = s.own(self.core.now) + self.table.others(s, self.core.now)
            # Nor is it refused for what comes after the aim but keeps part of its worth.
            late = 0.0 if r.gives_way else r.cls.late_value * (r.deadline - r.aim_at)
            return workable if held < 1.0 else (held + r.size) * s.pace <= limit + HEADROOM * late
        own, few = s.own(self.core.now), self.idle >= 1.0
        if not asked and self.asks_now():
            return workable  # refused on what it says, not on what it was once taken for
        # A balancer among few knows too little to refuse by a guess: a server that holds next to nothing of
        # ours may be tried. Forty with a pass each sent a slow fleet too much for seconds: there the guess
        # decides, but for cold servers, which have a budget. Failed attempts count as held, or are for ever.
        if own < 1.0 and (few or s.warmth < 1.0):
            return workable
        if few and not s.open and self.core.now - max(s.heard_at, s.sent_at) > SHUN_US:
            return workable  # nobody else would ever correct the entry
        predicted = (own + self.table.others(s, self.core.now) + r.size) * s.pace
        return predicted <= limit or (own < self.idle and predicted <= (left if few else GUESSED * left))

    def _rank(self, s: Server) -> float:
        """What the bands are made of."""
        # A random fraction, or small counts tie: with half the servers idle the median itself is idle.
        held = s.own(self.core.now) + self.table.others(s, self.core.now) + s.bounced.at(self.core.now)
        return (held + self.core.rng.random()) * s.pace

    def lighter(self, r: Request, pair: tuple[Server, Server]) -> tuple[Server, float]:
        """The sample in the lower band, and what it will hold with this request."""
        one, other = pair
        rng = None if r.key else self.core.rng
        s = one if lower_band(rng, self.table.cuts, self._rank(one), self._rank(other)) else other
        return s, s.own(self.core.now) + self.table.others(s, self.core.now) + r.size
