"""What a request of a limited tenant waits for: the decision on its token."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

import msgspec

from lilacsill.timers import Timer


class QuotaVerdict(Enum):
    """What became of a request for a token."""

    GRANTED = auto()  # the request may be forwarded, once
    DENIED = auto()  # it is beyond the quota
    UNAVAILABLE = auto()  # nobody who may decide has answered in time


class QuotaDecision(msgspec.Struct, frozen=True):
    """The decision on one request.

    Attributes:
        verdict: What became of it.
        retry_after_us: With DENIED, how long it is until the tenant has another token.
    """

    verdict: QuotaVerdict
    retry_after_us: int = 0


GRANTED = QuotaDecision(QuotaVerdict.GRANTED)
UNAVAILABLE = QuotaDecision(QuotaVerdict.UNAVAILABLE)

OnDecision = Callable[[QuotaDecision], None]


class PendingToken:
    """One request that waits for a token. Its callback is called at most once."""

    def __init__(self, tenant: str, on_decision: OnDecision) -> None:
        self.tenant = tenant
        self._on_decision: OnDecision | None = on_decision
        self.timer: Timer | None = None  # of its patience

    @property
    def is_pending(self) -> bool:
        """Whether the request still waits."""
        return self._on_decision is not None

    def cancel(self) -> None:
        """Wait no longer: the callback is not called. A token that is granted meanwhile is lost."""
        self._on_decision = None
        if self.timer is not None:
            self.timer.cancel()

    def decide(self, decision: QuotaDecision) -> None:
        """Pass the decision on, unless the request waits no longer."""
        on_decision = self._on_decision
        if on_decision is not None:
            self.cancel()
            on_decision(decision)
