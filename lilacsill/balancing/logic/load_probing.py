"""LoadProber: both samples of a request tell their load before they are compared, where that is cheap."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import Outcome, Probe, ProbeEnded
from .context import Core
from .membership import Membership
from .records import Request, Server
from .sampling import Sampler


class LoadProber:
    """Probes out, and the requests that wait for their echoes."""

    def __init__(self, core: Core, members: Membership, sampler: Sampler) -> None:
        self.core, self.members, self.sampler, self.table = core, members, sampler, sampler.table
        self.missing: Callable[[Server, float, int], None]  # hears each echo before it counts
        self.settle: Callable[[Request], None]  # what to do once the pair is known; admission sets it
        self.left: Callable[[Request], int]

    def ask(self, r: Request, pair: tuple[Server, Server]) -> None:
        """Bring the entries of both samples up to date where that is cheap, then compare them."""
        # With a request a second each of fifty servers is heard of once a minute: two samples were as one.
        now, bound = self.core.now, self.sampler.ask_us
        r.pair = pair
        asks = self.sampler.asks_now()
        r.silent = [s for s in dict.fromkeys(pair) if now - s.heard_at > bound] if asks else []
        if not r.silent:
            return self.settle(r)
        for s in r.silent:
            if not s.asked_at or now - s.asked_at > bound:
                self._probe(s)
            s.askers.append(r)
        r.pairs += 1
        self.core.later(now + min(bound, self.left(r)), self._unanswered, (r, r.pairs))

    def look_again(self, s: Server) -> None:
        """Ask one whose answers are overdue, unless it has just been heard of."""
        now = self.core.now
        if not (s.out or s.asked_at) and self.sampler.asks_now() and now - s.heard_at > self.sampler.ask_us:
            self._probe(s)

    def _probe(self, s: Server) -> None:
        s.asked_at = self.core.now
        self.core.actions.append(Probe(s.id))

    def _unanswered(self, what: tuple[Request, int]) -> None:
        r, pairs = what
        if r.pair is not None and r.pairs == pairs and not r.done:
            self.settle(r)

    def probed(self, e: ProbeEnded) -> None:
        """An echo tells the load only: that a process answers beside its queue is no proof that it works."""
        s = self.members.servers.get(e.backend)
        if s is None:
            return
        self.sampler.full.news()
        self.sampler.health.echoed(s, self.core.now, e.outcome)
        asked_at, s.asked_at, askers, s.askers = s.asked_at, 0, s.askers, []
        heard = e.outcome is Outcome.OK and 0 <= self.table.column < len(e.report)
        if heard:
            self.missing(s, e.report[self.table.column], asked_at)
            self.table.holds(self.core.now, s, e.report[self.table.column], asked_at)
        for r in askers:
            if r.pair is not None and not r.done and s in r.silent:
                if heard:
                    r.silent.remove(s)
                if not r.silent or not heard:
                    self.settle(r)
