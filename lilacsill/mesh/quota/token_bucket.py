"""A token bucket: tokens accrue at a constant rate up to a capacity, and each request takes one. No I/O."""

from __future__ import annotations

from math import ceil

US_PER_S = 1_000_000
MAX_WAIT_US = 3_600 * US_PER_S  # upper bound of the reported wait; at a very low rate it would not fit into a message
ROUNDING_TOKENS = 1e-9  # tolerance for the rounding errors of float sums


class TokenBucket:
    """A token bucket. Tokens are floats; times are microseconds of the owner's monotonic clock.

    Attributes:
        rate: Tokens per second.
        capacity: The maximum balance in tokens.
    """

    def __init__(self, rate: float, capacity: float, balance: float, since_us: int) -> None:
        """Create a bucket that had this balance at `since_us`, which may be in the past."""
        self.rate, self.capacity = rate, capacity
        self._balance, self._updated_at_us = min(balance, capacity), since_us

    def balance(self, now: int) -> float:
        """Return the tokens available at this time."""
        if now > self._updated_at_us:
            earned = self.rate * (now - self._updated_at_us) / US_PER_S
            self._balance = min(self.capacity, self._balance + earned)
            self._updated_at_us = now
        return self._balance

    def take(self, wanted: int, now: int) -> int:
        """Take `wanted` tokens, or all whole tokens if there are fewer, and return the number taken."""
        taken = min(wanted, int(self.balance(now) + ROUNDING_TOKENS))
        self._balance = max(0.0, self._balance - taken)
        return taken

    def time_until_token_us(self, now: int) -> int:
        """Return the time until a whole token is available, at most `MAX_WAIT_US`; 0 if there is one now."""
        missing = 1.0 - self.balance(now)
        if missing <= ROUNDING_TOKENS:
            return 0
        return ceil(min(MAX_WAIT_US, missing * US_PER_S / self.rate))

    def change(self, rate: float, capacity: float, now: int) -> None:
        """Change rate and capacity from this time on. Tokens in excess of a lower capacity are lost at once."""
        self._balance = min(self.balance(now), capacity)
        self.rate, self.capacity = rate, capacity
