"""Retry budget: it bounds the attempts beyond the first one as a share of requests."""

from __future__ import annotations

RETRY_SHARE = 0.15  # tokens that each request adds: further attempts as a share of first ones
RETRY_BURST = 10.0  # bound of the tokens


class RetryBudget:
    """A token bucket; retries and hedged attempts take one token each.

    Attributes:
        tokens: Attempts that may be made beyond the first ones.
    """

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def on_request(self) -> None:
        """Add the share of one request."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def is_empty(self) -> bool:
        """Return whether there is no complete token."""
        return self.tokens < 1.0

    def take(self) -> None:
        """Take one token."""
        self.tokens -= 1.0
