"""The proxy's part: requests of limited tenants wait here for tokens of the owners of their quotas. No I/O.

One question at a time is open to each owner. It carries the demands of all that wait for it, so what comes meanwhile
goes with the next one. A token is given only to a request that its question has counted. So it was granted between the
moment at which the request was sent and that at which it arrives at a backend, and no delay of an answer moves requests
from one window of the quota into another. What is granted beyond the requests that still wait is lost.

While no view is known, or an owner does not answer or decide, other core machines are asked for the view.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Message, TokenReply, TokenRequest
from lilacsill.mesh.runtime.records import TokenDemand, TokenGrant

from .quota_decision import GRANTED, UNAVAILABLE, OnDecision, PendingToken, QuotaDecision, QuotaVerdict
from .view_probe import ViewProbe

QUESTION_TIMEOUT_US = 300_000
MAX_DENIED_US = 100_000  # for which a denial answers later requests of the tenant, too
US_PER_MS = 1_000

Waiting = dict[str, list[PendingToken]]  # by tenant, in the order of the requests


class _Denial(msgspec.Struct, frozen=True):
    """The last denial of a tenant."""

    valid_until_us: int  # until then no owner is asked
    next_token_at_us: int


class QuotaClient:
    """The requests of one proxy that wait for tokens.

    Args:
        environment: clock, timers and the way to the members.
        members: the members as this proxy knows them; it learns from each answer.
    """

    def __init__(self, environment: Environment, members: CoreMembers) -> None:
        self._environment, self._members = environment, members
        self._probe = ViewProbe(environment, members, self._dispatch)
        self._queues: Waiting = {}  # those that no open question carries
        self._asked: set[str] = set()  # addresses with an open question
        self._paused: set[str] = set()  # addresses that get no question for the moment
        self._is_dispatch_scheduled = False
        self._denials: dict[str, _Denial] = {}

    def request(self, tenant: str, patience_us: int, on_decision: OnDecision) -> PendingToken:
        """Ask for a token for one request.

        Args:
            tenant: whose quota it takes from.
            patience_us: how long the request waits; then it is decided as UNAVAILABLE.
            on_decision: called once and never from inside this call, unless the request is cancelled.
        """
        pending = PendingToken(tenant, on_decision)
        now = self._environment.now()
        denial = self._denials.get(tenant)
        if denial is not None and now < denial.valid_until_us:
            self._environment.call_soon(pending.decide, _denied(denial.next_token_at_us - now))
            return pending
        pending.timer = self._environment.after(patience_us, pending.decide, UNAVAILABLE)
        self._queues.setdefault(tenant, []).append(pending)
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._environment.call_soon(self._on_scheduled_dispatch)
        return pending

    def _on_scheduled_dispatch(self) -> None:
        self._is_dispatch_scheduled = False
        self._dispatch()

    # Questions

    def _dispatch(self) -> None:
        """Ask each owner that has no open question for all that waits for it."""
        self._drop_decided()
        by_owner: dict[str, Waiting] = {}
        for tenant, waiting in self._queues.items():
            owner = self._members.owner_of(tenant)
            if owner is None:
                self._probe.ask()
                return
            if owner not in self._asked and owner not in self._paused:
                by_owner.setdefault(owner, {})[tenant] = waiting
        for owner, waiting_by_tenant in by_owner.items():
            self._ask(owner, waiting_by_tenant)

    def _drop_decided(self) -> None:
        """Forget requests that were cancelled or have run out of patience."""
        remaining = {tenant: _still_pending(waiting) for tenant, waiting in self._queues.items()}
        self._queues = {tenant: waiting for tenant, waiting in remaining.items() if waiting}

    def _ask(self, owner: str, waiting_by_tenant: Waiting) -> None:
        for tenant in waiting_by_tenant:
            del self._queues[tenant]
        self._asked.add(owner)
        demands = [TokenDemand(tenant, len(waiting)) for tenant, waiting in waiting_by_tenant.items()]
        on_answer = partial(self._on_answer, owner, waiting_by_tenant)
        self._environment.ask(owner, TokenRequest(demands), QUESTION_TIMEOUT_US, on_answer)

    def _on_answer(self, owner: str, waiting_by_tenant: Waiting, answer: Message | None) -> None:
        self._asked.discard(owner)
        undecided = dict(waiting_by_tenant)
        if isinstance(answer, TokenReply):
            self._members.update_view(answer.view_number, answer.members)
            for grant in answer.grants:
                self._decide(grant, undecided.pop(grant.tenant, []))
        if undecided:
            self._wait_on(owner, undecided)
        else:
            self._probe.on_decision()
        self._dispatch()

    def _decide(self, grant: TokenGrant, waiting: Iterable[PendingToken]) -> None:
        self._note_denial(grant)
        still_pending = _still_pending(waiting)
        for pending in still_pending[: grant.granted]:
            pending.decide(GRANTED)
        for pending in still_pending[grant.granted :]:
            pending.decide(_denied(grant.retry_after_ms * US_PER_MS))

    def _note_denial(self, grant: TokenGrant) -> None:
        """Answer requests of the tenant without a question, for as long as no other token can be there."""
        self._denials.pop(grant.tenant, None)
        if grant.retry_after_ms <= 0:
            return
        now = self._environment.now()
        retry_after_us = grant.retry_after_ms * US_PER_MS
        self._denials[grant.tenant] = _Denial(now + min(retry_after_us, MAX_DENIED_US), now + retry_after_us)

    # Owners that do not decide

    def _wait_on(self, owner: str, undecided: Waiting) -> None:
        """Let requests wait on, before those that came later, and give their owner a moment."""
        for tenant, waiting in undecided.items():
            self._queues[tenant] = [*waiting, *self._queues.get(tenant, ())]
        is_still_owner = any(self._members.owner_of(tenant) == owner for tenant in undecided)
        if not is_still_owner:
            return
        if owner not in self._paused:
            self._paused.add(owner)
            self._environment.after(self._probe.next_pause_us(), self._resume, owner)
        self._probe.ask()

    def _resume(self, owner: str) -> None:
        self._paused.discard(owner)
        self._dispatch()


def _still_pending(waiting: Iterable[PendingToken]) -> list[PendingToken]:
    return [pending for pending in waiting if pending.is_pending]


def _denied(retry_after_us: int) -> QuotaDecision:
    return QuotaDecision(QuotaVerdict.DENIED, max(1, retry_after_us))
