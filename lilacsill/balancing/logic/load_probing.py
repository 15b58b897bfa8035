"""LoadProber: both samples of a request tell their load before they are compared, where that is cheap."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import Outcome, Probe, ProbeEnded
from .context import Context
from .membership import Membership
from .records import RequestRecord, BackendRecord
from .sampling import Sampler


class LoadProber:
    """Probes out, and the requests that wait for their echoes."""

    def __init__(self, core: Context, members: Membership, sampler: Sampler) -> None:
        self.context, self.members, self.sampler, self.table = core, members, sampler, sampler.table
        self.missing: Callable[[BackendRecord, float, int], None]  # hears each echo before it counts
        self.settle: Callable[[RequestRecord], None]  # what to do once the pair is known; admission sets it
        self.left: Callable[[RequestRecord], int]

    def refresh_pair(self, r: RequestRecord, pair: tuple[BackendRecord, BackendRecord]) -> None:
        """Bring the entries of both samples up to date where that is cheap, then compare them."""
        # With a request a second each of fifty servers is heard of once a minute: two samples were as one.
        now, bound = self.context.now, self.sampler.ask_us
        r.sampled_pair = pair
        asks = self.sampler.asks_now()
        r.awaiting_report = [s for s in dict.fromkeys(pair) if now - s.reported_at > bound] if asks else []
        if not r.awaiting_report:
            return self.settle(r)
        for s in r.awaiting_report:
            if not s.probe_sent_at or now - s.probe_sent_at > bound:
                self._probe(s)
            s.probe_waiters.append(r)
        r.pairs_drawn += 1
        self.context.call_at(now + min(bound, self.left(r)), self._unanswered, (r, r.pairs_drawn))

    def probe_if_stale(self, s: BackendRecord) -> None:
        """Ask one whose answers are overdue, unless it has just been heard of."""
        now = self.context.now
        if (
            not (s.in_maintenance or s.probe_sent_at)
            and self.sampler.asks_now()
            and now - s.reported_at > self.sampler.ask_us
        ):
            self._probe(s)

    def _probe(self, s: BackendRecord) -> None:
        s.probe_sent_at = self.context.now
        self.context.actions.append(Probe(s.id))

    def _unanswered(self, what: tuple[RequestRecord, int]) -> None:
        r, pairs = what
        if r.sampled_pair is not None and r.pairs_drawn == pairs and not r.is_answered:
            self.settle(r)

    def on_probe_ended(self, e: ProbeEnded) -> None:
        """An echo tells the load only: that a process answers beside its queue is no proof that it works."""
        s = self.members.backends.get(e.backend)
        if s is None:
            return
        self.sampler.saturation.clear()
        self.sampler.outliers.record_probe(s, self.context.now, e.outcome)
        asked_at, s.probe_sent_at, askers, s.probe_waiters = s.probe_sent_at, 0, s.probe_waiters, []
        heard = e.outcome is Outcome.OK and 0 <= self.table.load_column < len(e.report)
        if heard:
            self.missing(s, e.report[self.table.load_column], asked_at)
            self.table.record_report(self.context.now, s, e.report[self.table.load_column], asked_at)
        for r in askers:
            if r.sampled_pair is not None and not r.is_answered and s in r.awaiting_report:
                if heard:
                    r.awaiting_report.remove(s)
                if not r.awaiting_report or not heard:
                    self.settle(r)
