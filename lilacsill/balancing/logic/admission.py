"""AdmissionControl: whether a request is worth a try now, is held, or is given up."""

from __future__ import annotations

from itertools import islice

from ..interface import RequestArrived
from ..interface.checks import require
from ..mechanisms.majority import usual
from .attempts import RETRY_BURST, RETRY_SHARE, AttemptManager
from .load_probing import LoadProber
from .records import ASK_PAIRS, SECOND, Request
from .sampling import Sampler
from .tenant_quotas import TenantQuotas

HOLD_US = SECOND // 50  # a held request is looked at this often
WAITING = 2.0  # requests that all balancers together may hold for each server while all are busy
SOON = 0.15  # such a one is looked at this often, as a share of the typical latency
ROOM = 4  # of those held by the slow start, looked at when an attempt ends
IN_TIME = 1.5  # and held while so many typical latencies are left to its aim


class AdmissionControl:
    """Takes requests in, and looks at those again that have no attempt out."""

    def __init__(self, sampler: Sampler, asking: LoadProber, attempts: AttemptManager, shares: TenantQuotas) -> None:
        self.core, self.sampler, self.asking = sampler.core, sampler, asking
        self.attempts, self.shares, self.table = attempts, shares, sampler.table
        self.windowed: dict[int, Request] = {}  # held by the slow start, oldest first
        self.patience: dict[int, list[int]] = {}  # of each class, for `usual`
        attempts.advance, attempts.look_again = self.advance, asking.look_again
        attempts.room, asking.missing = self._room, attempts.missing
        asking.settle, asking.left = self._settle, self._left

    def arrived(self, e: RequestArrived) -> None:
        now = self.core.now
        self._validate(e)
        size = self.table.size_of(e.cost_hint_us)
        r = Request(e, self.core.settings.classes[e.request_class], now, self.core.rng.random(), size)
        self.attempts.requests[e.request] = r
        self.attempts.budget = min(RETRY_BURST, self.attempts.budget + RETRY_SHARE)
        # A retry has lost part of its time to the aim unseen: served before first tries it came late. So has
        # one that the caller did not read while it stood still, and one with less patience than is usual.
        spent = e.timeout_us < usual(self.patience.setdefault(e.request_class, [0, 0]), e.timeout_us)
        r.gives_way = self.shares.over(e.tenant, now) or e.is_retry or spent or self.core.waited_unread()
        self.advance(r)

    def _validate(self, e: RequestArrived) -> None:
        """Raise a ValueError for a request that contradicts the settings, before anything is done for it."""
        classes = len(self.core.settings.classes)
        require(0 <= e.request_class < classes, "request_class", f"no class {e.request_class}")
        require(self.shares.knows(e.tenant), "tenant", f"no tenant {e.tenant}")
        require(e.request not in self.attempts.requests, "request", f"{e.request} is already open")

    def advance(self, r: Request) -> None:
        """Send the request where it may go; hold, refuse or fail it where it may not."""
        now = self.core.now
        self.attempts.waiting.discard(r.id)
        if self._left(r) <= 0 or r.sends >= self.core.settings.max_attempts:
            return self.attempts.finish(r)
        pool = self.sampler.pool(r)
        if not self._opened(r):
            return None
        pair = self.sampler.two(r, pool) if pool else None
        if pair is None:
            # Held while nobody may be sent to, but for operators, or a while where all are busy.
            busy, closed = bool(pool) and self.sampler.full.busy, not pool and bool(self.sampler.members.out)
            if r.sends == 0 and now < r.hold_until - self.core.margin and not busy and not closed:
                return self.core.later(min(now + HOLD_US, r.hold_until - self.core.margin), self._held, r)
            return self._wait(r) if busy and self._can_wait(r) else self.attempts.finish(r)
        self.asking.ask(r, pair)

    def _settle(self, r: Request) -> None:
        """Send to the lighter of the two samples, or draw again if neither can be hoped to answer in time."""
        assert r.pair is not None
        pair, limit, left = r.pair, self.sampler.limit(r), r.aim_at - self.core.now
        # A sample that answers goes before one that does not; if none does, the table decides.
        silent = r.silent if len(r.silent) < len(set(pair)) else []
        r.pair, r.silent = None, []
        able = [s for s in pair if self.sampler.may_go(r, s) and s not in silent]
        fit = [s for s in able if self.sampler.hopeful(r, s, limit, left, asked=True)]
        if fit and self._left(r) > 0:
            if not self._opened(r):  # others that asked at the same time went first
                return None
            return self.attempts.send(r, *self.sampler.lighter(r, (fit[0], fit[-1])))
        if r.pairs < r.pairs_most:
            return self.advance(r)
        return self._wait(r) if self._can_wait(r) else self.attempts.finish(r)

    def _opened(self, r: Request) -> bool:
        """Whether the slow start lets it go; else it is held as long as answers may open the way in time."""
        now = self.core.now
        if r.sends or self._window_open():
            self.windowed.pop(r.id, None)
            return True
        until = r.hold_until - self.core.margin
        if now >= until:
            self.windowed.pop(r.id, None)
            self.attempts.finish(r)
        elif r.id not in self.windowed:
            self.windowed[r.id] = r
            self.core.later(until, self._held, r)
        return False

    def _window_open(self) -> bool:
        now, servers = self.core.now, len(self.sampler.members.ready)
        return self.attempts.start.admits(now, servers, self.table.typical, self.core.stood_at)

    def _room(self) -> None:
        """An attempt has ended. Each of those held used to look for itself every 2 ms: at 2,000 requests a
        second that took the whole core, and nothing was sent any more."""
        for r in list(islice(self.windowed.values(), ROOM)):
            if not self._window_open():
                return
            self._held(r)

    def _can_wait(self, r: Request) -> bool:
        """Whether a place that frees up soon still serves it: one turned away comes back after its aim."""
        most = max(1.0, WAITING * len(self.sampler.members.ready) / self.core.siblings)
        in_time = self.core.now + IN_TIME * self.table.typical < r.aim_at
        room = self.table.typical > 0 and in_time and len(self.attempts.waiting) < most
        return room and not r.gives_way and r.size <= 1.0

    def _wait(self, r: Request) -> None:
        r.pairs_most = r.pairs + ASK_PAIRS
        self.attempts.waiting.add(r.id)
        self.core.later(self.core.now + int(SOON * self.table.typical), self._held, r)

    def _left(self, r: Request) -> int:
        """Time in which an answer is still worth something, and can be given."""
        return (r.deadline if r.cls.late_value else r.aim_at) - self.core.now - self.core.margin

    def _held(self, r: Request) -> None:
        self.windowed.pop(r.id, None)
        if not r.done and not r.out and r.pair is None:
            self.advance(r)
