"""The proxy side of quotas: requests of limited tenants wait here for tokens from the quota owners. No I/O.

Each owner has at most one token request in flight. It carries the demands of all client requests that wait for this
owner; those that arrive meanwhile go into the next one. A token is used only for a client request that was counted in
the token request. It was therefore granted after the client request was received and before that arrives at a backend,
so a delayed answer cannot move client requests from one quota window into another. Tokens granted in excess of the
client requests that still wait are lost.

While no view is known, or an owner does not answer or does not decide, other core machines are asked for the view.
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

TOKEN_REQUEST_TIMEOUT_US = 300_000
MAX_DENIAL_CACHE_US = 100_000  # a denial also applies to later requests of the tenant for this long
US_PER_MS = 1_000

Waiting = dict[str, list[PendingToken]]  # by tenant, in the order of the requests


class _Denial(msgspec.Struct, frozen=True):
    """The cached denial of a tenant's last token request."""

    valid_until_us: int  # until then requests are denied without asking the owner
    next_token_at_us: int


class QuotaClient:
    """The client requests of one proxy that wait for tokens.

    Args:
        environment: clock, timers and the links to the members of the store.
        members: the members known to this proxy; updated from each answer.
    """

    def __init__(self, environment: Environment, members: CoreMembers) -> None:
        self._environment, self._members = environment, members
        self._probe = ViewProbe(environment, members, self._dispatch)
        self._queues: Waiting = {}  # client requests that are not part of a token request in flight
        self._in_flight: set[str] = set()  # addresses of owners with a token request in flight
        self._backing_off: set[str] = set()  # addresses of owners that get no token request until their backoff ends
        self._is_dispatch_scheduled = False
        self._denials: dict[str, _Denial] = {}

    def request(self, tenant: str, timeout_us: int, on_decision: OnDecision) -> PendingToken:
        """Request a token for one client request.

        Args:
            tenant: the tenant whose quota the token is taken from.
            timeout_us: how long the request may wait; after that its decision is UNAVAILABLE.
            on_decision: called once, never from inside this call; not called if the request is cancelled.
        """
        pending = PendingToken(tenant, on_decision)
        now = self._environment.now()
        denial = self._denials.get(tenant)
        if denial is not None and now < denial.valid_until_us:
            self._environment.call_soon(pending.decide, _denied(denial.next_token_at_us - now))
            return pending
        pending.timer = self._environment.after(timeout_us, pending.decide, UNAVAILABLE)
        self._queues.setdefault(tenant, []).append(pending)
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._environment.call_soon(self._on_scheduled_dispatch)
        return pending

    def _on_scheduled_dispatch(self) -> None:
        self._is_dispatch_scheduled = False
        self._dispatch()

    # Token requests

    def _dispatch(self) -> None:
        """Send a token request for all waiting client requests to each owner that has none in flight."""
        self._drop_decided()
        by_owner: dict[str, Waiting] = {}
        for tenant, waiting in self._queues.items():
            owner = self._members.owner_of(tenant)
            if owner is None:
                self._probe.ask()
                return
            if owner not in self._in_flight and owner not in self._backing_off:
                by_owner.setdefault(owner, {})[tenant] = waiting
        for owner, waiting_by_tenant in by_owner.items():
            self._ask(owner, waiting_by_tenant)

    def _drop_decided(self) -> None:
        """Remove client requests that were cancelled or have timed out."""
        remaining = {tenant: _still_pending(waiting) for tenant, waiting in self._queues.items()}
        self._queues = {tenant: waiting for tenant, waiting in remaining.items() if waiting}

    def _ask(self, owner: str, waiting_by_tenant: Waiting) -> None:
        for tenant in waiting_by_tenant:
            del self._queues[tenant]
        self._in_flight.add(owner)
        demands = [TokenDemand(tenant, len(waiting)) for tenant, waiting in waiting_by_tenant.items()]
        on_answer = partial(self._on_answer, owner, waiting_by_tenant)
        self._environment.ask(owner, TokenRequest(demands), TOKEN_REQUEST_TIMEOUT_US, on_answer)

    def _on_answer(self, owner: str, waiting_by_tenant: Waiting, answer: Message | None) -> None:
        self._in_flight.discard(owner)
        undecided = dict(waiting_by_tenant)
        if isinstance(answer, TokenReply):
            self._members.update_view(answer.view_number, answer.members)
            for grant in answer.grants:
                self._decide(grant, undecided.pop(grant.tenant, []))
        if undecided:
            self._requeue(owner, undecided)
        else:
            self._probe.reset_backoff()
        self._dispatch()

    def _decide(self, grant: TokenGrant, waiting: Iterable[PendingToken]) -> None:
        self._cache_denial(grant)
        still_pending = _still_pending(waiting)
        for pending in still_pending[: grant.granted]:
            pending.decide(GRANTED)
        for pending in still_pending[grant.granted :]:
            pending.decide(_denied(grant.retry_after_ms * US_PER_MS))

    def _cache_denial(self, grant: TokenGrant) -> None:
        """Deny later requests of the tenant without asking the owner, while no new token can be available."""
        self._denials.pop(grant.tenant, None)
        if grant.retry_after_ms <= 0:
            return
        now = self._environment.now()
        retry_after_us = grant.retry_after_ms * US_PER_MS
        self._denials[grant.tenant] = _Denial(now + min(retry_after_us, MAX_DENIAL_CACHE_US), now + retry_after_us)

    # Owners that do not decide

    def _requeue(self, owner: str, undecided: Waiting) -> None:
        """Put undecided requests back at the front of their queues, and back off from their owner."""
        for tenant, waiting in undecided.items():
            self._queues[tenant] = [*waiting, *self._queues.get(tenant, ())]
        is_still_owner = any(self._members.owner_of(tenant) == owner for tenant in undecided)
        if not is_still_owner:
            return
        if owner not in self._backing_off:
            self._backing_off.add(owner)
            self._environment.after(self._probe.next_backoff_us(), self._resume, owner)
        self._probe.ask()

    def _resume(self, owner: str) -> None:
        self._backing_off.discard(owner)
        self._dispatch()


def _still_pending(waiting: Iterable[PendingToken]) -> list[PendingToken]:
    return [pending for pending in waiting if pending.is_pending]


def _denied(retry_after_us: int) -> QuotaDecision:
    return QuotaDecision(QuotaVerdict.DENIED, max(1, retry_after_us))
