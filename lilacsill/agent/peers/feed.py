"""Between the agent and its fleet: what the agent sees becomes counts and judgements, and what the fleet has come to
goes to the module as events. Nothing here waits or sends."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from lilacsill.balancing import interface as q
from lilacsill.clock import Clock

from ..discovery.listing import Listing
from ..inbound.validation import DownstreamRequest
from .counts import ATTEMPTS, CROSSINGS, REFUSALS, REQUESTS
from .fleet import BUDGETS, Fleet
from .records import State

log = logging.getLogger(__name__)

COLD = BUDGETS.index("cold")
LOOK_US = 100_000  # between looks at who is ill, while something goes wrong
IDLE_LOOK_US = 1_000_000  # and while nothing does that this observer hears of: probes fail unheard
ILL_LASTS_US = 4_000_000  # a judgement that nobody renews ends after so long
WELL = (q.Outcome.OK, q.Outcome.CANCELLED)  # after anything else it is worth asking the module who is ill
REFUSED = 503
CALLS = 4096
HEADROOM = 1.25  # above the own part of all traffic, what is asked of a budget
LINES_MOST = 20  # of the log, a minute
MINUTE_US = 60_000_000


class Feed:
    """The agent's observer. `post` hands an event to the module, `beliefs` is what the module holds true."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        zone: int,
        warm_up_us: int,
        post: Callable[[q.FleetChanged | q.PeerHealthChanged], None],
        beliefs: Callable[[], list[q.BackendEstimate]],
    ) -> None:
        self._clock, self._fleet, self._zone, self._warm_up = clock, fleet, zone, warm_up_us
        self._post, self._beliefs = post, beliefs
        self._calls: OrderedDict[int, tuple[int, int]] = OrderedDict()  # tenant and class of the newest requests
        self._zones: dict[str, int] = {}
        self._started: dict[str, int] = {}
        self._ill: set[str] = set()
        self._bad = False  # something went wrong since the last look
        self._looked_at = 0
        self._told: tuple[int, float, int, float] | None = None
        self._hearsay: dict[str, q.PeerHealthChanged] = {}
        self._lines, self._minute, self._unsaid = 0, 0, 0
        self.takes_part = False  # the channel is open
        self.wake: Callable[[], None] = lambda: None  # of the channel: what is then to be sent goes out

    # What the agent sees

    def request_arrived(self, call: DownstreamRequest) -> None:
        self._calls[call.number] = min(call.tenant, 255), min(call.request_class, 255)
        if len(self._calls) > CALLS:  # an attempt may end after its request; a client that left is not told of
            self._calls.popitem(last=False)
        self._count(REQUESTS, call.number)

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: q.BackendId,
        outcome: q.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        self._count(ATTEMPTS, number)
        if self._zones.get(str(backend), self._zone) != self._zone:
            self._count(CROSSINGS, number)
        if outcome is q.Outcome.OK:
            self._fleet.judgements.answered(str(backend), self._clock.now())
        elif outcome not in WELL and not self._bad:
            self._bad = True
            self._clock.after(LOOK_US, self.wake)  # nothing need come from others before the look

    def request_answered(self, number: int, status: int) -> None:
        if status == REFUSED:
            self._count(REFUSALS, number)

    def backends_listed(self, listing: Listing) -> None:
        if listing.complete:
            self._zones.clear()
            self._started.clear()
        for m in listing.members:
            name = str(m.backend.id)
            if m.backend.state is q.BackendState.GONE:
                self._zones.pop(name, None)
                self._started.pop(name, None)
            else:
                self._zones[name], self._started[name] = m.backend.zone, m.backend.started_at
        self._fleet.judgements.listed(self._started, self._clock.now())

    def _count(self, kind: int, number: int) -> None:
        call = self._calls.get(number)
        if call is not None:
            self._fleet.counts.count(kind, *call)

    # What the fleet has come to

    def changed(self) -> None:
        """After every event between agents."""
        now = self._clock.now()
        if now - self._looked_at >= (LOOK_US if self._bad or self._ill else IDLE_LOOK_US):
            self._looked_at = now
            self._look(now)
        self._tell_module(now)
        self._say(now)

    def _look(self, now: int) -> None:
        self._bad = False
        self._ill = {str(b.backend) for b in self._beliefs() if not b.healthy}
        if self._ill or self._fleet.judgements.claims:
            self._fleet.ill(self._ill, now, ILL_LASTS_US)
        cold = any(s and now - s < self._warm_up for s in self._started.values())
        self._fleet.need(COLD, HEADROOM * self._part_of_traffic() if cold else 0.0)

    def _part_of_traffic(self) -> float:
        """As a multiple of the equal part; 1 while too little is known."""
        total = self._fleet.counts.total()[REQUESTS]
        mine = self._fleet.counts.total(self._fleet.settings.me)[REQUESTS]
        return mine * self._fleet.siblings.number / total if total >= 100 else 1.0

    def _tell_module(self, now: int) -> None:
        share, until, after = self._fleet.share(COLD, now) if self.takes_part else (0.0, 2**62, 0.0)
        told = self._fleet.siblings.number, share, until, after
        if told != self._told:
            self._told = told
            self._post(q.FleetChanged(*told))
        if not self._hearsay and not self._fleet.judgements.standing:
            return  # nearly always
        heard: dict[str, q.PeerHealthChanged] = {}
        for h in self._fleet.hearsay(now):
            event = heard[h.backend] = q.PeerHealthChanged(h.backend, h.excluded, h.seen_at, h.until)
            before = self._hearsay.get(h.backend)
            if before != event:
                self._post(event)
            if before is None or before.ejected != event.ejected:
                self._fleet.acted(now, h)
        for name in self._hearsay.keys() - heard.keys():
            self._post(q.PeerHealthChanged(name, False, 0, 0))
        self._hearsay = heard

    # The log

    def _say(self, now: int) -> None:
        changes, self._fleet.changes = self._fleet.changes, []
        if now - self._minute > MINUTE_US:
            if self._unsaid:
                log.info("%d further changes among agents are not in this log", self._unsaid)
            self._minute, self._lines, self._unsaid = now, 0, 0
        for c in changes:
            if c.before is State.UNKNOWN:
                continue
            self._lines += 1
            if self._lines > LINES_MOST:
                self._unsaid += 1
            else:
                log.info(
                    "agent %d is %s, was %s (said by %d, story %d.%d)",
                    c.member,
                    c.after.name.lower(),
                    c.before.name.lower(),
                    c.by,
                    *c.cause,
                )
