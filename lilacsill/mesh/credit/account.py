"""The account of one caller at its home node: a token bucket that is lent out in leases. No I/O.

The invariant: the credit in the account and the credit that is lent and not reported as spent are together at most the
burst, and grow by the rate alone. So in any window at most the burst and the rate times the window is spent, wherever
that happens. A lease that ends without a report counts as spent: that much may be lost, but no credit is created.
"""

from __future__ import annotations

import msgspec

from .messages import AccountState, GrantedLease, LeaseState

US_PER_S = 1e6
ROUNDING = 1e-9  # credits; sums of floats may be off by so much
RETENTION_US = 10_000_000  # how long an ended lease is remembered, for its late reports
LOAN_SHARE = 0.5  # of the credit, to one holder at once, since others may ask
SMALL_LOAN = 4.0  # credits; so much is lent at once even if that is a larger share
NEVER_US = 60_000_000  # stands for the time until there is credit, where the rate is 0


class Account(msgspec.Struct):
    """A token bucket. Credits are floats, times microseconds of the home node's monotonic clock."""

    rate: float  # credits a second
    burst: float
    credit: float
    updated_at_us: int  # the time for which `credit` is right
    leases: dict[str, GrantedLease] = {}  # by holder
    number: int = 0  # of the last grant

    def lent(self) -> float:
        """Return the credit that holders may still spend."""
        return sum(lease.granted - lease.reported for lease in self.leases.values())

    def advance(self, now: int) -> None:
        """Bring the account up to this time: add what was earned, end the leases that are over."""
        earned = self.rate * max(0, now - self.updated_at_us) / US_PER_S
        self.credit += max(0.0, min(earned, self.burst - self.credit - self.lent()))
        self.updated_at_us = max(self.updated_at_us, now)
        for holder in [name for name, lease in self.leases.items() if now >= lease.ends_at_us]:
            lease = self.leases[holder]
            lease.reported = lease.granted  # it counts as spent
            if now >= lease.ends_at_us + RETENTION_US:
                del self.leases[holder]

    def lend(self, holder: str, spent: float, wanted: float, returns_excess: bool, lease_us: int, now: int) -> float:
        """Take a holder's report, and lend it what it wants as far as there is credit.

        Reports and limits are totals, so that reports that come late, twice or not at all do no harm.

        Args:
            holder: node and incarnation.
            spent: the total that the holder has spent.
            wanted: credit that it wants to have, with what it has already.
            returns_excess: whether it has given up what it has beyond that.
            lease_us: length of the lease.
            now: microseconds.

        Returns:
            The total that the holder may spend.
        """
        self.advance(now)
        lease = self.leases.setdefault(holder, GrantedLease(spent, spent, 0))
        if now >= lease.ends_at_us or spent > lease.granted:
            lease.granted = lease.reported = spent  # the rest of its lease is void, which the holder knows
        lease.reported = min(lease.granted, max(lease.reported, spent))
        loan = self._loan(wanted - (lease.granted - lease.reported), returns_excess)
        self.credit -= loan
        lease.granted += loan
        # After the tier was lowered more may be returned than fits.
        self.credit = min(self.credit, max(0.0, self.burst - self.lent()))
        lease.ends_at_us = now + lease_us
        self.number += 1
        assert self.credit >= -ROUNDING
        return lease.granted

    def _loan(self, missing: float, returns_excess: bool) -> float:
        """How much to lend to a holder that is missing so much; negative: it returns credit."""
        if missing > 0:
            return min(missing, self.credit, max(SMALL_LOAN, self.credit * LOAN_SHARE))
        return missing if returns_excess else 0.0

    def is_full(self) -> bool:
        """Return whether the account can be forgotten: a new one begins with as much."""
        return not self.leases and self.credit >= self.burst - ROUNDING

    def time_until_us(self, amount: float) -> int:
        """Return the time until there is so much credit."""
        if self.rate <= 0:
            return NEVER_US
        return int(US_PER_S * max(0.0, amount - self.credit) / self.rate)

    def change_tier(self, rate: float, burst: float, now: int) -> None:
        """Change rate and burst. Saved credit stays up to the new burst; leases run on to their end."""
        self.advance(now)
        self.rate, self.burst = rate, burst
        self.credit = max(0.0, min(self.credit, burst - self.lent()))

    def to_state(self, epoch: int, tier: str, now: int) -> AccountState:
        """Return the account as it is copied to another node."""
        leases = tuple(
            LeaseState(holder, lease.granted, lease.reported, max(0, lease.ends_at_us - now))
            for holder, lease in self.leases.items()
        )
        return AccountState(epoch, self.number, tier, self.credit, leases)


def account_from_state(state: AccountState, rate: float, burst: float, now: int) -> Account:
    """Return the account at another home node. Nothing was earned while it was moved."""
    leases = {
        lease.holder: GrantedLease(lease.granted, lease.reported, now + lease.remaining_us) for lease in state.leases
    }
    return Account(rate, burst, state.credit, now, leases, state.number)
