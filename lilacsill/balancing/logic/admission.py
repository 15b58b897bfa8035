"""AdmissionControl: whether a request is worth a try now, is held, or is given up."""

from __future__ import annotations

from itertools import islice

from ..interface import RequestArrived
from ..interface.checks import require
from ..mechanisms.majority import usual
from .attempts import RETRY_BURST, RETRY_SHARE, AttemptManager
from .load_probing import LoadProber
from .records import ASK_PAIRS, SECOND_US, RequestRecord
from .sampling import Sampler
from .tenant_quotas import TenantQuotas

HOLD_US = SECOND_US // 50  # a held request is looked at this often
WAITING = 2.0  # requests that all balancers together may hold for each server while all are busy
SOON = 0.15  # such a one is looked at this often, as a share of the typical latency
ROOM = 4  # of those held by the slow start, looked at when an attempt ends
IN_TIME = 1.5  # and held while so many typical latencies are left to its aim


class AdmissionControl:
    """Takes requests in, and looks at those again that have no attempt out."""

    def __init__(self, sampler: Sampler, asking: LoadProber, attempts: AttemptManager, shares: TenantQuotas) -> None:
        self.context, self.sampler, self.asking = sampler.context, sampler, asking
        self.attempts, self.quotas, self.table = attempts, shares, sampler.table
        self.windowed: dict[int, RequestRecord] = {}  # held by the slow start, oldest first
        self.patience: dict[int, list[int]] = {}  # of each class, for `usual`
        attempts.advance, attempts.look_again = self.schedule, asking.probe_if_stale
        attempts.room, asking.missing = self._room, attempts.missing
        asking.settle, asking.left = self._settle, self.time_left_us

    def on_request_arrived(self, e: RequestArrived) -> None:
        now = self.context.now
        self._validate(e)
        size = self.table.relative_cost(e.cost_hint_us)
        r = RequestRecord(e, self.context.settings.classes[e.request_class], now, self.context.rng.random(), size)
        self.attempts.requests[e.request] = r
        self.attempts.budget = min(RETRY_BURST, self.attempts.budget + RETRY_SHARE)
        # A retry has lost part of its time to the aim unseen: served before first tries it came late. So has
        # one that the caller did not read while it stood still, and one with less patience than is usual.
        spent = e.timeout_us < usual(self.patience.setdefault(e.request_class, [0, 0]), e.timeout_us)
        r.low_priority = (
            self.quotas.is_over_quota(e.tenant, now) or e.is_retry or spent or self.context.is_reading_backlog()
        )
        self.schedule(r)

    def _validate(self, e: RequestArrived) -> None:
        """Raise a ValueError for a request that contradicts the settings, before anything is done for it."""
        classes = len(self.context.settings.classes)
        require(0 <= e.request_class < classes, "request_class", f"no class {e.request_class}")
        require(self.quotas.knows(e.tenant), "tenant", f"no tenant {e.tenant}")
        require(e.request not in self.attempts.requests, "request", f"{e.request} is already open")

    def schedule(self, r: RequestRecord) -> None:
        """Send the request where it may go; hold, refuse or fail it where it may not."""
        now = self.context.now
        self.attempts.waiting.discard(r.id)
        if self.time_left_us(r) <= 0 or r.attempt_count >= self.context.settings.max_attempts:
            return self.attempts.finish(r)
        pool = self.sampler.candidates(r)
        if not self._opened(r):
            return None
        pair = self.sampler.draw_pair(r, pool) if pool else None
        if pair is None:
            # Held while nobody may be sent to, but for operators, or a while where all are busy.
            busy, closed = (
                bool(pool) and self.sampler.saturation.is_busy,
                not pool and bool(self.sampler.members.in_maintenance),
            )
            if r.attempt_count == 0 and now < r.queue_until - self.context.answer_margin_us and not busy and not closed:
                return self.context.call_at(
                    min(now + HOLD_US, r.queue_until - self.context.answer_margin_us), self._held, r
                )
            return self._wait(r) if busy and self._can_wait(r) else self.attempts.finish(r)
        self.asking.refresh_pair(r, pair)

    def _settle(self, r: RequestRecord) -> None:
        """Send to the lighter of the two samples, or draw again if neither can be hoped to answer in time."""
        assert r.sampled_pair is not None
        pair, limit, left = r.sampled_pair, self.sampler.time_limit(r), r.target_at - self.context.now
        # A sample that answers goes before one that does not; if none does, the table decides.
        silent = r.awaiting_report if len(r.awaiting_report) < len(set(pair)) else []
        r.sampled_pair, r.awaiting_report = None, []
        able = [s for s in pair if self.sampler.may_run_on(r, s) and s not in silent]
        fit = [s for s in able if self.sampler.is_feasible(r, s, limit, left, asked=True)]
        if fit and self.time_left_us(r) > 0:
            if not self._opened(r):  # others that asked at the same time went first
                return None
            return self.attempts.send(r, *self.sampler.choose(r, (fit[0], fit[-1])))
        if r.pairs_drawn < r.max_pairs:
            return self.schedule(r)
        return self._wait(r) if self._can_wait(r) else self.attempts.finish(r)

    def _opened(self, r: RequestRecord) -> bool:
        """Whether the slow start lets it go; else it is held as long as answers may open the way in time."""
        now = self.context.now
        if r.attempt_count or self._window_open():
            self.windowed.pop(r.id, None)
            return True
        until = r.queue_until - self.context.answer_margin_us
        if now >= until:
            self.windowed.pop(r.id, None)
            self.attempts.finish(r)
        elif r.id not in self.windowed:
            self.windowed[r.id] = r
            self.context.call_at(until, self._held, r)
        return False

    def _window_open(self) -> bool:
        now, servers = self.context.now, len(self.sampler.members.ready)
        return self.attempts.window.admits(now, servers, self.table.typical_latency_us, self.context.resumed_at)

    def _room(self) -> None:
        """An attempt has ended. Each of those held used to look for itself every 2 ms: at 2,000 requests a
        second that took the whole core, and nothing was sent any more."""
        for r in list(islice(self.windowed.values(), ROOM)):
            if not self._window_open():
                return
            self._held(r)

    def _can_wait(self, r: RequestRecord) -> bool:
        """Whether a place that frees up soon still serves it: one turned away comes back after its aim."""
        most = max(1.0, WAITING * len(self.sampler.members.ready) / self.context.balancer_count)
        in_time = self.context.now + IN_TIME * self.table.typical_latency_us < r.target_at
        room = self.table.typical_latency_us > 0 and in_time and len(self.attempts.waiting) < most
        return room and not r.low_priority and r.relative_cost <= 1.0

    def _wait(self, r: RequestRecord) -> None:
        r.max_pairs = r.pairs_drawn + ASK_PAIRS
        self.attempts.waiting.add(r.id)
        self.context.call_at(self.context.now + int(SOON * self.table.typical_latency_us), self._held, r)

    def time_left_us(self, r: RequestRecord) -> int:
        """Time in which an answer is still worth something, and can be given."""
        return (
            (r.deadline if r.request_class.late_value else r.target_at)
            - self.context.now
            - self.context.answer_margin_us
        )

    def _held(self, r: RequestRecord) -> None:
        self.windowed.pop(r.id, None)
        if not r.is_answered and not r.in_flight and r.sampled_pair is None:
            self.schedule(r)
