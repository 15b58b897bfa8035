"""The attempt plan: sends, second copies, how attempts end, and the one final answer."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from .. import interface as q
from .concurrency_window import ConcurrencyWindow
from .context import Core
from .outcomes import tells_full
from .outlier_detection import FAST
from .peer_reports import PeerReports
from .records import Request, Server
from .sampling import Sampler
from .tenant_quotas import TenantQuotas

OVERDUE = 2.0  # an attempt out for so many typical latencies is asked about,
LOOKS = 16  # for so many of the oldest requests in hand
SURE = 0.5  # an echo may be off by less than this
UNDER_WAY_US = 5_000  # an attempt sent so shortly before the probe may not have come when it was answered
ADVICE = 4.0  # typical latencies until the refused may come back: sooner they compete, and are late
RETRY_SHARE, RETRY_BURST = 0.15, 10.0  # repeats that may load the servers, as a share of first tries


class AttemptManager:
    """The requests in hand, by id."""

    def __init__(self, core: Core, sampler: Sampler, peers: PeerReports, shares: TenantQuotas) -> None:
        self.core, self.sampler, self.peers, self.shares = core, sampler, peers, shares
        self.table, self.health, self.cold = sampler.table, sampler.health, sampler.cold
        self.requests: dict[int, Request] = {}
        self.waiting: set[int] = set()  # requests held because all servers are busy
        self.budget, self._beating = RETRY_BURST, False
        self.room: Callable[[], None]  # an attempt has ended; admission sets it
        self.look_again: Callable[[Server], None]  # asking sets it
        self.start = ConcurrencyWindow(core.settings.balancer_count)
        self.advance: Callable[[Request], None]  # what becomes of one whose attempt failed; admission sets it

    def send(self, r: Request, s: Server, load: float) -> None:
        now, attempt = self.core.now, r.sends
        r.sends += 1
        r.out[attempt] = (s, now, load)
        r.may_have_run.append((attempt, s, now))
        r.tried.append(s)
        s.open[(r.id, attempt)] = s.sent_at = now
        self.start.sent(now)
        self.cold.sent(s, now)
        if not self._beating:
            self.core.beat(self._beats)
        self.core.actions.append(q.Send(r.id, s.id, max(1, r.deadline - now - self.core.margin)))
        if (
            r.cls.idempotency is not q.Idempotency.NOT_IDEMPOTENT
            and self.table.typical
            and self.core.settings.can_hedge
        ):
            at = now + int(3 * self.table.typical)
            if at + self.table.typical < r.aim_at:
                self.core.later(at, self._overdue, (r, attempt))

    def _beats(self) -> bool:
        self._beating = self.start.out > 0
        # The oldest in hand: is their answer late, or will it never come?
        for r in islice(self.requests.values(), LOOKS):
            for s, sent, _ in r.out.values():
                if self._hangs(r, sent):
                    self.look_again(s)
        return self._beating

    def _hangs(self, r: Request, sent: int) -> bool:
        """Whether an attempt is overdue, and another one could still be made in its place."""
        typical, now = self.table.typical, self.core.now
        overdue = now - sent > OVERDUE * typical > 0 and now + typical < r.aim_at and not r.done
        return overdue and r.cls.idempotency is not q.Idempotency.NOT_IDEMPOTENT and self.core.settings.can_cancel

    def missing(self, s: Server, held: float, asked_at: int) -> None:
        """A server that holds fewer than are out to it has ended one without an answer that could be read.
        That attempt costs nothing any more, and what may be repeated is tried elsewhere."""
        if held > len(s.open) - SURE or asked_at < s.sent_at + UNDER_WAY_US or not s.open:
            return
        (number, attempt), sent = next(iter(s.open.items()))
        r = self.requests.get(number)
        if r is not None and self._hangs(r, sent):
            self.core.actions.append(q.Cancel(number, attempt))

    def _overdue(self, what: tuple[Request, int]) -> None:
        """An attempt takes unusually long: try elsewhere while the aim can still be made."""
        r, attempt = what
        if r.done or attempt not in r.out or len(r.out) > 1 or self.budget < 1.0:
            return
        pool = self.sampler.pool(r)
        pair = self.sampler.two(r, pool) if pool and r.sends < self.core.settings.max_attempts else None
        if pair is None:
            return
        server, load = self.sampler.lighter(r, pair)
        if server is not r.out[attempt][0]:
            self.budget -= 1.0
            self.send(r, server, load)

    def ended(self, e: q.AttemptEnded) -> None:
        now, r = self.core.now, self.requests.get(e.request)
        if r is None or e.attempt not in r.out:
            return
        self.sampler.full.news()
        s, sent, load = r.out.pop(e.attempt)
        if s.open.pop((r.id, e.attempt), None) is not None:
            self.start.ended(now, e.outcome is q.Outcome.OK)
        self.table.ended(now, s, e, load, timed=sent >= self.core.stood_at)
        if self.peers.tells and e.outcome is q.Outcome.OK and len(e.report) > self.table.column:
            self.peers.tell(s, e.report[self.table.column] - 1)
        # A time-out tells against a server only if it has answered nothing since: else it is late, not ill.
        # One that says it is full answers: that is load, and the table has it.
        full = tells_full(e, self.table.column, self.table.mean)
        if not full and (e.outcome is not q.Outcome.TIMEOUT or s.answered_at <= sent):
            self.health.ended(s, now, e.outcome, e.latency_us < FAST * self.table.typical)
        self.shares.learn(len(s.open) + 1, max(0.0, s.others))
        if e.outcome in q.NEVER_RAN:
            r.may_have_run = [m for m in r.may_have_run if m[0] != e.attempt]
        if e.is_answered and not r.done:
            self._drop(r)
        if r.done and not r.out:
            self.requests.pop(r.id, None)
        elif not r.out:
            # Unpaid repeats at full servers made twenty attempts of a request. A failed connect loads none.
            if e.outcome is not q.Outcome.CONNECT_FAILED:
                if self.budget < 1.0:
                    self.finish(r)
                    return self.room()
                self.budget -= 1.0
            self.advance(r)
        self.room()

    def streaming(self, e: q.StreamStarted | q.UploadChanged) -> None:
        """While its request is written, and while its answer streams, an attempt is no work for a server."""
        r = self.requests.get(e.request)
        if r is None or e.attempt not in r.out:
            return
        s, now, key = r.out[e.attempt][0], self.core.now, (r.id, e.attempt)
        if s.open.pop(key, None) is not None:
            self.start.ended(now, isinstance(e, q.StreamStarted))
        if isinstance(e, q.StreamStarted):
            r.done, s.answered_at = True, now
            self._cancel(r, but=e.attempt)
        elif e.complete:
            self.start.sent(now)
            s.open[key], r.out[e.attempt] = now, (s, now, r.out[e.attempt][2])
        self.room()

    def gone(self, e: q.ClientDisconnected) -> None:
        r = self.requests.get(e.request)
        if r is not None and not r.done:
            self._drop(r)

    def finish(self, r: Request) -> None:
        """Give the one final answer."""
        advice = min(int(ADVICE * self.table.typical), self.core.settings.max_retry_after_us)
        advice *= self.core.settings.can_advise_retry
        self.core.actions.append(q.Reject(r.id, advice) if r.may_refuse() else q.Fail(r.id))
        self._drop(r)

    def _drop(self, r: Request) -> None:
        r.done = True
        self.waiting.discard(r.id)
        self._cancel(r)
        if not r.out:
            self.requests.pop(r.id, None)

    def _cancel(self, r: Request, but: int = -1) -> None:
        if self.core.settings.can_cancel:
            self.core.actions.extend(q.Cancel(r.id, a) for a in r.out if a != but)
