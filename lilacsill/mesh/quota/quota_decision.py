"""Decisions on token requests of limited tenants, and the requests that wait for them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

import msgspec

from lilacsill.timers import Timer


class QuotaVerdict(Enum):
    """The outcome of a request for a token."""

    GRANTED = auto()  # the request may be forwarded, once
    DENIED = auto()  # the quota is exhausted
    UNAVAILABLE = auto()  # no member that may decide answered in time


class QuotaDecision(msgspec.Struct, frozen=True):
    """The decision on one request.

    Attributes:
        verdict: The outcome.
        retry_after_us: With DENIED, the time until the tenant has another token.
    """

    verdict: QuotaVerdict
    retry_after_us: int = 0


GRANTED = QuotaDecision(QuotaVerdict.GRANTED)
UNAVAILABLE = QuotaDecision(QuotaVerdict.UNAVAILABLE)

OnDecision = Callable[[QuotaDecision], None]


class PendingToken:
    """One client request that waits for a token. Its callback is called at most once."""

    def __init__(self, tenant: str, on_decision: OnDecision) -> None:
        self.tenant = tenant
        self._on_decision: OnDecision | None = on_decision
        self.timer: Timer | None = None  # decides UNAVAILABLE when the request times out

    @property
    def is_pending(self) -> bool:
        """Whether the request still waits."""
        return self._on_decision is not None

    def cancel(self) -> None:
        """Cancel the wait; the callback is not called. A token granted for this request is lost."""
        self._on_decision = None
        if self.timer is not None:
            self.timer.cancel()

    def decide(self, decision: QuotaDecision) -> None:
        """Call the callback with the decision, unless the request was decided or cancelled before."""
        on_decision = self._on_decision
        if on_decision is not None:
            self.cancel()
            on_decision(decision)
