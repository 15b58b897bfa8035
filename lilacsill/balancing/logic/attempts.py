"""The attempt plan: sends, second copies, how attempts end, and the one final answer."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from .. import interface as q
from .concurrency_window import ConcurrencyWindow
from .context import Context
from .outcomes import is_overload_rejection
from .outlier_detection import FAST
from .peer_reports import PeerReports
from .records import RequestRecord, BackendRecord
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

    def __init__(self, core: Context, sampler: Sampler, peers: PeerReports, shares: TenantQuotas) -> None:
        self.context, self.sampler, self.peers, self.quotas = core, sampler, peers, shares
        self.table, self.outliers, self.warm_up = sampler.table, sampler.outliers, sampler.warm_up
        self.requests: dict[int, RequestRecord] = {}
        self.waiting: set[int] = set()  # requests held because all servers are busy
        self.budget, self._beating = RETRY_BURST, False
        self.room: Callable[[], None]  # an attempt has ended; admission sets it
        self.look_again: Callable[[BackendRecord], None]  # asking sets it
        self.window = ConcurrencyWindow(core.settings.balancer_count)
        self.advance: Callable[[RequestRecord], None]  # what becomes of one whose attempt failed; admission sets it

    def send(self, r: RequestRecord, s: BackendRecord, load: float) -> None:
        now, attempt = self.context.now, r.attempt_count
        r.attempt_count += 1
        r.in_flight[attempt] = (s, now, load)
        r.may_have_run.append((attempt, s, now))
        r.tried.append(s)
        s.in_flight[(r.id, attempt)] = s.sent_at = now
        self.window.record_send(now)
        self.warm_up.record_send(s, now)
        if not self._beating:
            self.context.repeat_while(self._beats)
        self.context.actions.append(q.Send(r.id, s.id, max(1, r.deadline - now - self.context.answer_margin_us)))
        if (
            r.request_class.idempotency is not q.Idempotency.NOT_IDEMPOTENT
            and self.table.typical_latency_us
            and self.context.settings.can_hedge
        ):
            at = now + int(3 * self.table.typical_latency_us)
            if at + self.table.typical_latency_us < r.target_at:
                self.context.call_at(at, self._overdue, (r, attempt))

    def _beats(self) -> bool:
        self._beating = self.window.in_flight > 0
        # The oldest in hand: is their answer late, or will it never come?
        for r in islice(self.requests.values(), LOOKS):
            for s, sent, _ in r.in_flight.values():
                if self._hangs(r, sent):
                    self.look_again(s)
        return self._beating

    def _hangs(self, r: RequestRecord, sent: int) -> bool:
        """Whether an attempt is overdue, and another one could still be made in its place."""
        typical, now = self.table.typical_latency_us, self.context.now
        overdue = now - sent > OVERDUE * typical > 0 and now + typical < r.target_at and not r.is_answered
        return (
            overdue
            and r.request_class.idempotency is not q.Idempotency.NOT_IDEMPOTENT
            and self.context.settings.can_cancel
        )

    def missing(self, s: BackendRecord, held: float, asked_at: int) -> None:
        """A server that holds fewer than are out to it has ended one without an answer that could be read.
        That attempt costs nothing any more, and what may be repeated is tried elsewhere."""
        if held > len(s.in_flight) - SURE or asked_at < s.sent_at + UNDER_WAY_US or not s.in_flight:
            return
        (number, attempt), sent = next(iter(s.in_flight.items()))
        r = self.requests.get(number)
        if r is not None and self._hangs(r, sent):
            self.context.actions.append(q.Cancel(number, attempt))

    def _overdue(self, what: tuple[RequestRecord, int]) -> None:
        """An attempt takes unusually long: try elsewhere while the aim can still be made."""
        r, attempt = what
        if r.is_answered or attempt not in r.in_flight or len(r.in_flight) > 1 or self.budget < 1.0:
            return
        pool = self.sampler.candidates(r)
        pair = (
            self.sampler.draw_pair(r, pool) if pool and r.attempt_count < self.context.settings.max_attempts else None
        )
        if pair is None:
            return
        server, load = self.sampler.choose(r, pair)
        if server is not r.in_flight[attempt][0]:
            self.budget -= 1.0
            self.send(r, server, load)

    def on_attempt_ended(self, e: q.AttemptEnded) -> None:
        now, r = self.context.now, self.requests.get(e.request)
        if r is None or e.attempt not in r.in_flight:
            return
        self.sampler.saturation.clear()
        s, sent, load = r.in_flight.pop(e.attempt)
        if s.in_flight.pop((r.id, e.attempt), None) is not None:
            self.window.record_end(now, e.outcome is q.Outcome.OK)
        self.table.record_attempt(now, s, e, load, timed=sent >= self.context.resumed_at)
        if self.peers.fanout and e.outcome is q.Outcome.OK and len(e.report) > self.table.load_column:
            self.peers.send_report(s, e.report[self.table.load_column] - 1)
        # A time-out tells against a server only if it has answered nothing since: else it is late, not ill.
        # One that says it is full answers: that is load, and the table has it.
        full = is_overload_rejection(e, self.table.load_column, self.table.mean_load)
        if not full and (e.outcome is not q.Outcome.TIMEOUT or s.answered_at <= sent):
            self.outliers.record_attempt(s, now, e.outcome, e.latency_us < FAST * self.table.typical_latency_us)
        self.quotas.record_traffic(len(s.in_flight) + 1, max(0.0, s.other_load))
        if e.outcome in q.NEVER_RAN:
            r.may_have_run = [m for m in r.may_have_run if m[0] != e.attempt]
        if e.is_answered and not r.is_answered:
            self._drop(r)
        if r.is_answered and not r.in_flight:
            self.requests.pop(r.id, None)
        elif not r.in_flight:
            # Unpaid repeats at full servers made twenty attempts of a request. A failed connect loads none.
            if e.outcome is not q.Outcome.CONNECT_FAILED:
                if self.budget < 1.0:
                    self.finish(r)
                    return self.room()
                self.budget -= 1.0
            self.advance(r)
        self.room()

    def on_progress(self, e: q.StreamStarted | q.UploadChanged) -> None:
        """While its request is written, and while its answer streams, an attempt is no work for a server."""
        r = self.requests.get(e.request)
        if r is None or e.attempt not in r.in_flight:
            return
        s, now, key = r.in_flight[e.attempt][0], self.context.now, (r.id, e.attempt)
        if s.in_flight.pop(key, None) is not None:
            self.window.record_end(now, isinstance(e, q.StreamStarted))
        if isinstance(e, q.StreamStarted):
            r.is_answered, s.answered_at = True, now
            self._cancel(r, but=e.attempt)
        elif e.complete:
            self.window.record_send(now)
            s.in_flight[key], r.in_flight[e.attempt] = now, (s, now, r.in_flight[e.attempt][2])
        self.room()

    def on_client_disconnected(self, e: q.ClientDisconnected) -> None:
        r = self.requests.get(e.request)
        if r is not None and not r.is_answered:
            self._drop(r)

    def finish(self, r: RequestRecord) -> None:
        """Give the one final answer."""
        advice = min(int(ADVICE * self.table.typical_latency_us), self.context.settings.max_retry_after_us)
        advice *= self.context.settings.can_advise_retry
        self.context.actions.append(q.Reject(r.id, advice) if r.may_reject() else q.Fail(r.id))
        self._drop(r)

    def _drop(self, r: RequestRecord) -> None:
        r.is_answered = True
        self.waiting.discard(r.id)
        self._cancel(r)
        if not r.in_flight:
            self.requests.pop(r.id, None)

    def _cancel(self, r: RequestRecord, but: int = -1) -> None:
        if self.context.settings.can_cancel:
            self.context.actions.extend(q.Cancel(r.id, a) for a in r.in_flight if a != but)
