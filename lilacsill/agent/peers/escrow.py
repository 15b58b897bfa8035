"""Shared budgets by escrow (O'Neil, 1986; bounded counters, Balegas et al., 2015).

No I/O; the caller passes the time in. A budget is divided into one equal share for each listed agent, and each agent
owns its share permanently. It may lend what it does not need: the lender deducts a lease until it has certainly
expired, while the borrower counts the term from the time of its *request*, so that any delay of a datagram shortens the
borrower's use. Both clocks are monotonic, and their rates differ by less than MAX_CLOCK_DRIFT. There is no coordinator,
and an agent that receives nothing from others still has its own share.

The rights that all agents may use never add up to more than the budget:

- A lender deducts what it lends from its share for lease * (1 + MAX_CLOCK_DRIFT) from the grant on. The borrower sent
  its request before the grant and stops using the lease at lease * (1 - MAX_CLOCK_DRIFT) after that request.
- A grant counts once, for a request that is still open. A request older than the borrower's newest one is ignored.
- There is at most one lease from one agent to another. A further grant replaces it, ends later and is never smaller, so
  that the lender always deducts at least what the borrower counts, whichever grant the borrower has received.
- A borrower that returns a lease closes all its requests to that lender, so that no late grant revives it.
- A process that has just started does not know what its previous incarnation had lent. Until every lease has expired,
  it counts only the reserved part of its share, which is never lent. No lease is saved or restored.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from .records import SHARE_UNITS

MAX_CLOCK_DRIFT = 0.01  # relative, between the rates of two monotonic clocks
RESERVED_UNITS = SHARE_UNITS // 10  # the part of the own share that is never lent
MIN_LEASE_UNITS = SHARE_UNITS // 100  # smaller amounts are neither requested nor lent
MAX_OPEN_REQUESTS = 32
MAX_LEASES = 16  # borrowed at a time; each is renewed at half of its term
NEVER_US = 2**62  # a time in microseconds that is never reached


@dataclass(slots=True, frozen=True)
class Right:
    """What may be spent, in SHARE_UNITS."""

    amount: int  # valid until `until`
    until: int  # time in microseconds
    amount_after: int  # from `until` on, unless something changes


class Lease(NamedTuple):
    """A lease as its lender or its borrower records it."""

    amount: int  # in SHARE_UNITS
    until: int  # time in microseconds
    nonce: int  # of the request


NO_LEASE = Lease(0, 0, 0)


class Escrow:
    """One budget in one process.

    Attributes:
        lease_us: The term of a lease in microseconds.
        full_share_from: The time in microseconds from which on the whole own share counts.
        need: How much of the budget this process could use, in SHARE_UNITS.
        has_duplicate: Whether another process has the same agent number and may spend the same share. This process then
            spends nothing.
    """

    def __init__(self, now: int, lease_us: int, no_earlier_leases: bool = False) -> None:
        """Create the budget.

        Args:
            now: The time in microseconds.
            lease_us: The term of a lease in microseconds.
            no_earlier_leases: Whether no earlier incarnation can have lent anything, for example with a single agent.
        """
        self.lease_us = lease_us
        self.full_share_from = now if no_earlier_leases else now + self.lender_lease_us
        self._lent: dict[tuple[int, int], Lease] = {}  # by borrower and its incarnation
        self._borrowed: dict[int, Lease] = {}  # by lender
        self._requested_at: dict[tuple[int, int], int] = {}  # open requests, by lender and nonce
        self._newest_requests: dict[int, tuple[int, int]] = {}  # by borrower: its incarnation and nonce
        self.need = SHARE_UNITS
        self.has_duplicate = False

    @property
    def lender_lease_us(self) -> int:
        """How long a lender deducts a lease, in microseconds from the grant on."""
        return int(self.lease_us * (1 + MAX_CLOCK_DRIFT)) + 1

    @property
    def borrower_lease_us(self) -> int:
        """How long a borrower counts a lease, in microseconds from its request on."""
        return int(self.lease_us * (1 - MAX_CLOCK_DRIFT))

    # The process's own spending

    def right(self, now: int) -> Right:
        """Return what may be spent.

        It is computed at every use, so that a process that was stalled past the end of a lease does not use it.
        """
        self._expire(now)
        if self.has_duplicate:
            return Right(0, NEVER_US, 0)
        own = self._own(now)
        ends = [lease.until for lease in self._borrowed.values()]
        if now < self.full_share_from:
            ends.append(self.full_share_from)
        return Right(own + _total(self._borrowed), min(ends, default=NEVER_US), own)

    def lent(self, now: int) -> int:
        """Return the amount lent to others now, in SHARE_UNITS."""
        self._expire(now)
        return _total(self._lent)

    def borrowed(self, now: int) -> int:
        """Return the amount borrowed from others now, in SHARE_UNITS."""
        self._expire(now)
        return _total(self._borrowed)

    def _own(self, now: int) -> int:
        if now < self.full_share_from:
            return RESERVED_UNITS
        return SHARE_UNITS - _total(self._lent)

    def _expire(self, now: int) -> None:
        if self._lent:
            self._lent = {key: lease for key, lease in self._lent.items() if lease.until > now}
        if self._borrowed:
            self._borrowed = {key: lease for key, lease in self._borrowed.items() if lease.until > now}

    # Requests and grants

    def choose_lenders(self, now: int, others: list[int], rng: Random) -> list[int]:
        """Return the agents to send requests to: lenders whose lease is half over, and up to two others if needed."""
        self._expire(now)
        half_over = now + self.borrower_lease_us // 2
        renewals = [lender for lender, lease in self._borrowed.items() if lease.until <= half_over and lender in others]
        if self.need - self.right(now).amount <= MIN_LEASE_UNITS:
            return renewals
        may_borrow_more = len(self._borrowed) < MAX_LEASES
        new_lenders = [other for other in others if other not in self._borrowed] if may_borrow_more else []
        return renewals + rng.sample(new_lenders, min(2, len(new_lenders)))

    def open_request(self, now: int, lender: int, nonce: int) -> int:
        """Open a request to an agent; return the amount, 0 if too little is needed or too many are open."""
        for key in [key for key, at in self._requested_at.items() if at + self.borrower_lease_us <= now]:
            del self._requested_at[key]
        borrowed = self._borrowed.get(lender, NO_LEASE).amount
        wanted = self.need - self.right(now).amount + borrowed
        if wanted <= MIN_LEASE_UNITS or len(self._requested_at) >= MAX_OPEN_REQUESTS:
            return 0
        self._requested_at[lender, nonce] = now
        return wanted

    def handle_request(self, now: int, borrower: int, incarnation: int, nonce: int, wanted: int) -> int:
        """Grant a request as far as possible.

        A repeated request, or one that arrives after a newer one, is ignored.

        Returns:
            The amount of the borrower's lease from now on, which replaces its previous lease; 0: nothing is granted,
            and a previous lease stays as it is.
        """
        if (incarnation, nonce) <= self._newest_requests.get(borrower, (-1, -1)):
            return 0
        self._newest_requests[borrower] = incarnation, nonce
        self._expire(now)
        if now < self.full_share_from or self.has_duplicate:
            return 0
        before = self._lent.get((borrower, incarnation), NO_LEASE).amount
        spare = min(self._own(now) - RESERVED_UNITS, self._own(now) - self.need) + before
        amount = min(max(wanted, before), spare)
        # Not a smaller lease than before: the grant may get lost, and the borrower would still count the larger one.
        if amount < max(before, MIN_LEASE_UNITS):
            return 0
        self._lent[borrower, incarnation] = Lease(amount, now + self.lender_lease_us, nonce)
        return amount

    def handle_grant(self, now: int, lender: int, nonce: int, amount: int) -> bool:
        """Apply a grant; return whether it counts: its request is open, and the lease has not expired."""
        requested_at = self._requested_at.pop((lender, nonce), None)
        if requested_at is None or requested_at + self.borrower_lease_us <= now:
            return False
        if nonce < self._borrowed.get(lender, NO_LEASE).nonce:
            return False  # a later grant has replaced it
        self._borrowed[lender] = Lease(amount, requested_at + self.borrower_lease_us, nonce)
        return True

    def return_unneeded(self, now: int) -> list[tuple[int, int]]:
        """Drop leases that are no longer needed; return lender and nonce of each, to notify the lenders."""
        self._expire(now)
        excess = self._own(now) + _total(self._borrowed) - self.need
        returned: list[tuple[int, int]] = []
        for lender, lease in sorted(self._borrowed.items(), key=lambda item: item[1]):
            if lease.amount <= excess:
                del self._borrowed[lender]
                for key in [key for key in self._requested_at if key[0] == lender]:
                    del self._requested_at[key]
                returned.append((lender, lease.nonce))
                excess -= lease.amount
        return returned

    def handle_return(self, borrower: int, incarnation: int, nonce: int) -> None:
        """End a lease that its borrower has returned, unless a later grant has replaced it."""
        lease = self._lent.get((borrower, incarnation))
        if lease is not None and lease.nonce == nonce:
            del self._lent[borrower, incarnation]


def _total(leases: dict[int, Lease] | dict[tuple[int, int], Lease]) -> int:
    return sum(lease.amount for lease in leases.values())
