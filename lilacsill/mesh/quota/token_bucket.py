"""A token bucket: tokens come at a steady rate up to a capacity, and each request takes one. No I/O."""

from __future__ import annotations

from math import ceil

US_PER_S = 1_000_000
MAX_WAIT_US = 3_600 * US_PER_S  # that is stated; at a very low rate a token takes longer than a message can say
ROUNDING = 1e-9  # tokens; sums of floats may be off by so much


class TokenBucket:
    """Tokens are floats, times microseconds of its owner's monotonic clock.

    Attributes:
        rate: Tokens a second.
        capacity: The balance never exceeds it.
    """

    def __init__(self, rate: float, capacity: float, balance: float, since_us: int) -> None:
        """Begin with a balance at the moment `since_us`, which may lie in the past."""
        self.rate, self.capacity = rate, capacity
        self._balance, self._updated_at_us = min(balance, capacity), since_us

    def balance(self, now: int) -> float:
        """Return the tokens that are there at this time."""
        if now > self._updated_at_us:
            earned = self.rate * (now - self._updated_at_us) / US_PER_S
            self._balance = min(self.capacity, self._balance + earned)
            self._updated_at_us = now
        return self._balance

    def take(self, wanted: int, now: int) -> int:
        """Take so many tokens, or all complete ones where there are fewer. Return how many were taken."""
        taken = min(wanted, int(self.balance(now) + ROUNDING))
        self._balance = max(0.0, self._balance - taken)
        return taken

    def time_until_token_us(self, now: int) -> int:
        """Return how long it is until there is a complete token, `MAX_WAIT_US` at most; 0: there is one."""
        missing = 1.0 - self.balance(now)
        if missing <= ROUNDING:
            return 0
        return ceil(min(MAX_WAIT_US, missing * US_PER_S / self.rate))

    def change(self, rate: float, capacity: float, now: int) -> None:
        """Change rate and capacity from this time on. What is beyond a lower capacity is lost at once."""
        self._balance = min(self.balance(now), capacity)
        self.rate, self.capacity = rate, capacity
