"""The account of one caller at its owner: a token bucket whose credit is granted to proxies in leases. No I/O.

Invariant: the sum of the credit in the account and the outstanding credit (granted and not reported as spent) is at
most the burst, and grows only at the rate. So in any window at most burst + rate x window is spent over all proxies. A
lease that ends without a report counts as spent: credit may be lost this way, but none is created.
"""

from __future__ import annotations

import msgspec

from .messages import AccountState, GrantedLease, LeaseState

US_PER_S = 1e6
ROUNDING_CREDITS = 1e-9  # tolerance for the rounding errors of float sums
RETENTION_US = 10_000_000  # an ended lease is kept this long to accept late reports
MAX_GRANT_SHARE = 0.5  # of the credit; the maximum grant to one holder, so that other holders can get credit
SMALL_GRANT_CREDITS = 4.0  # a grant up to this size may exceed `MAX_GRANT_SHARE`
ZERO_RATE_WAIT_US = 60_000_000  # reported as the time until there is credit if the rate is 0


class Account(msgspec.Struct):
    """A token bucket. Credits are floats; times are microseconds of the owner's monotonic clock."""

    rate: float  # credits per second
    burst: float
    credit: float
    updated_at_us: int  # the time at which `credit` was computed
    leases: dict[str, GrantedLease] = {}  # by holder
    number: int = 0  # of the last grant

    def outstanding(self) -> float:
        """Return the credit that is granted to holders and not reported as spent."""
        return sum(lease.granted - lease.reported for lease in self.leases.values())

    def advance(self, now: int) -> None:
        """Advance the account to this time: add the accrued credit and end the leases that have expired."""
        earned = self.rate * max(0, now - self.updated_at_us) / US_PER_S
        self.credit += max(0.0, min(earned, self.burst - self.credit - self.outstanding()))
        self.updated_at_us = max(self.updated_at_us, now)
        for holder in [name for name, lease in self.leases.items() if now >= lease.ends_at_us]:
            lease = self.leases[holder]
            lease.reported = lease.granted  # it counts as spent
            if now >= lease.ends_at_us + RETENTION_US:
                del self.leases[holder]

    def grant(self, holder: str, spent: float, wanted: float, returns_excess: bool, lease_us: int, now: int) -> float:
        """Apply a holder's report, and grant it the wanted credit as far as available.

        Reports and limits are totals, so that late, duplicate and lost reports are harmless.

        Args:
            holder: node and incarnation of the proxy.
            spent: the total credit that the holder has spent.
            wanted: the desired credit, including the credit that the holder already has.
            returns_excess: whether the holder has stopped spending the credit in excess of `wanted`.
            lease_us: duration of the lease.
            now: time in microseconds.

        Returns:
            The limit of the holder's total spending.
        """
        self.advance(now)
        lease = self.leases.setdefault(holder, GrantedLease(spent, spent, 0))
        if now >= lease.ends_at_us or spent > lease.granted:
            lease.granted = lease.reported = spent  # the rest of the lease is void; the holder knows this too
        lease.reported = min(lease.granted, max(lease.reported, spent))
        amount = self._grantable(wanted - (lease.granted - lease.reported), returns_excess)
        self.credit -= amount
        lease.granted += amount
        # If the tier was lowered, the returned credit may exceed the burst.
        self.credit = min(self.credit, max(0.0, self.burst - self.outstanding()))
        lease.ends_at_us = now + lease_us
        self.number += 1
        assert self.credit >= -ROUNDING_CREDITS
        return lease.granted

    def _grantable(self, missing: float, returns_excess: bool) -> float:
        """Return the credit to grant to a holder that is missing this much; negative if the holder returns credit."""
        if missing > 0:
            return min(missing, self.credit, max(SMALL_GRANT_CREDITS, self.credit * MAX_GRANT_SHARE))
        return missing if returns_excess else 0.0

    def is_full(self) -> bool:
        """Return whether the account is full, so that it can be evicted: a new account starts with the same credit."""
        return not self.leases and self.credit >= self.burst - ROUNDING_CREDITS

    def time_until_us(self, amount: float) -> int:
        """Return the time in microseconds until this much credit is available."""
        if self.rate <= 0:
            return ZERO_RATE_WAIT_US
        return int(US_PER_S * max(0.0, amount - self.credit) / self.rate)

    def change_tier(self, rate: float, burst: float, now: int) -> None:
        """Change rate and burst. Credit is kept up to the new burst; leases stay valid until they end."""
        self.advance(now)
        self.rate, self.burst = rate, burst
        self.credit = max(0.0, min(self.credit, burst - self.outstanding()))

    def to_state(self, epoch: int, tier: str, now: int) -> AccountState:
        """Return a copy of the account for another node."""
        leases = tuple(
            LeaseState(holder, lease.granted, lease.reported, max(0, lease.ends_at_us - now))
            for holder, lease in self.leases.items()
        )
        return AccountState(epoch, self.number, tier, self.credit, leases)


def account_from_state(state: AccountState, rate: float, burst: float, now: int) -> Account:
    """Return the account at a new owner. No credit accrues while the account is transferred."""
    leases = {
        lease.holder: GrantedLease(lease.granted, lease.reported, now + lease.remaining_us) for lease in state.leases
    }
    return Account(rate, burst, state.credit, now, leases, state.number)
