"""Retry budget: limits retries and hedged attempts to a fraction of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.15  # tokens that each request adds: the ratio of further attempts to first attempts
RETRY_BURST = 10.0  # limit of the tokens


class RetryBudget:
    """A token bucket; retries and hedged attempts take one token each.

    Attributes:
        tokens: Number of retries and hedged attempts that may be sent.
    """

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def on_request(self) -> None:
        """Add the tokens of a request."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def is_empty(self) -> bool:
        """Return whether less than one token is left."""
        return self.tokens < 1.0

    def take(self) -> None:
        """Take one token."""
        self.tokens -= 1.0
