"""Shared budgets by escrow (O'Neil, 1986; bounded counters, Balegas et al., 2015).

No I/O; the caller passes the time in. A budget is divided into one equal share for each agent of the list, and each
agent owns its share for good. It may lend what it does not need: the lender writes a lease off until it is surely over,
the borrower counts it from the time of its *request*, so that every delay of a datagram is at the borrower's expense.
Both clocks are monotonic, and their rates differ by less than DRIFT. Nobody coordinates, and an agent that hears from
nobody has its own share.

At no time do the rights that all agents may use add up to more than the budget:

- What is lent does not count in the lender's share from the grant until lease * (1 + DRIFT) later. The borrower, who
  asked before that, stops at lease * (1 - DRIFT) after its request.
- A grant counts once, for a request that is still open. A request older than the newest one of its borrower is void.
- There is one lease between two agents. A further grant replaces it, later and never smaller, so that what the lender
  has written off is at all times at least what the borrower counts, whichever grant that was.
- A borrower that returns a lease closes all its requests to that lender, so that no late grant revives it.
- A process that has just started does not know what the incarnation before it had lent. Only the part of its share that
  is never lent counts, until every lease is over. Nothing of this is saved or restored.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from .records import SHARE_UNITS

DRIFT = 0.01  # largest difference of the rates of two monotonic clocks
NEVER_LENT = SHARE_UNITS // 10  # of the own share
MIN_LEASE = SHARE_UNITS // 100  # less is neither asked for nor lent
MAX_OPEN_REQUESTS = 32
MAX_LEASES = 16  # borrowed at once; each is renewed when half of it is over
NEVER = 2**62  # a time that does not come


@dataclass(slots=True, frozen=True)
class Right:
    """What may be spent, in units of an own share."""

    amount: int  # until `until`
    until: int  # time in microseconds
    amount_after: int  # from then on, unless something changes


class Lease(NamedTuple):
    """A lease, in the books of its lender or its borrower."""

    amount: int  # in SHARE_UNITS
    until: int  # time in microseconds
    nonce: int  # of the request


NO_LEASE = Lease(0, 0, 0)


class Escrow:
    """One budget in one process.

    Attributes:
        lease_us: The length of a lease in microseconds.
        full_share_from: From when on all of the own share counts.
        need: How much of the budget this process could use, in SHARE_UNITS.
        has_duplicate: Whether another process spends under this number, so that nothing is surely this one's.
    """

    def __init__(self, now: int, lease_us: int, no_earlier_leases: bool = False) -> None:
        """Create the budget.

        Args:
            now: The time in microseconds.
            lease_us: The length of a lease.
            no_earlier_leases: Whether no earlier incarnation can have lent anything, as where there is one agent.
        """
        self.lease_us = lease_us
        self.full_share_from = now if no_earlier_leases else now + self.lent_us
        self._lent: dict[tuple[int, int], Lease] = {}  # by borrower and its incarnation
        self._borrowed: dict[int, Lease] = {}  # by lender
        self._requested_at: dict[tuple[int, int], int] = {}  # open requests, by lender and nonce
        self._newest_requests: dict[int, tuple[int, int]] = {}  # by borrower: its incarnation and nonce
        self.need = SHARE_UNITS
        self.has_duplicate = False

    @property
    def lent_us(self) -> int:
        """How long a lender writes a lease off, from the grant on."""
        return int(self.lease_us * (1 + DRIFT)) + 1

    @property
    def borrowed_us(self) -> int:
        """How long a borrower counts a lease, from its request on."""
        return int(self.lease_us * (1 - DRIFT))

    # The process's own spending

    def right(self, now: int) -> Right:
        """Return what may be spent.

        It is computed at every use: a process that did not run until a lease was over has nothing of it.
        """
        self._expire(now)
        if self.has_duplicate:
            return Right(0, NEVER, 0)
        own = self._own(now)
        ends = [lease.until for lease in self._borrowed.values()]
        if now < self.full_share_from:
            ends.append(self.full_share_from)
        return Right(own + _total(self._borrowed), min(ends, default=NEVER), own)

    def lent(self, now: int) -> int:
        """Return how much is lent now."""
        self._expire(now)
        return _total(self._lent)

    def borrowed(self, now: int) -> int:
        """Return how much is borrowed now."""
        self._expire(now)
        return _total(self._borrowed)

    def _own(self, now: int) -> int:
        if now < self.full_share_from:
            return NEVER_LENT
        return SHARE_UNITS - _total(self._lent)

    def _expire(self, now: int) -> None:
        if self._lent:
            self._lent = {key: lease for key, lease in self._lent.items() if lease.until > now}
        if self._borrowed:
            self._borrowed = {key: lease for key, lease in self._borrowed.items() if lease.until > now}

    # Requests and grants

    def choose_lenders(self, now: int, others: list[int], rng: Random) -> list[int]:
        """Return the agents to ask now: lenders whose lease is half over, and up to two others if there is need."""
        self._expire(now)
        half_over = now + self.borrowed_us // 2
        renewals = [lender for lender, lease in self._borrowed.items() if lease.until <= half_over and lender in others]
        if self.need - self.right(now).amount <= MIN_LEASE:
            return renewals
        may_borrow_more = len(self._borrowed) < MAX_LEASES
        new_lenders = [other for other in others if other not in self._borrowed] if may_borrow_more else []
        return renewals + rng.sample(new_lenders, min(2, len(new_lenders)))

    def open_request(self, now: int, lender: int, nonce: int) -> int:
        """Open a request to an agent; return how much to ask for, 0 where there is no need or no room."""
        for key in [key for key, at in self._requested_at.items() if at + self.borrowed_us <= now]:
            del self._requested_at[key]
        borrowed = self._borrowed.get(lender, NO_LEASE).amount
        wanted = self.need - self.right(now).amount + borrowed
        if wanted <= MIN_LEASE or len(self._requested_at) >= MAX_OPEN_REQUESTS:
            return 0
        self._requested_at[lender, nonce] = now
        return wanted

    def handle_request(self, now: int, borrower: int, incarnation: int, nonce: int, wanted: int) -> int:
        """Grant a request as far as possible.

        A request that comes twice or after a newer one is void.

        Returns:
            How much the borrower has from now on, its previous lease included; 0: nothing is granted, and a previous
            lease stays as it is.
        """
        if (incarnation, nonce) <= self._newest_requests.get(borrower, (-1, -1)):
            return 0
        self._newest_requests[borrower] = incarnation, nonce
        self._expire(now)
        if now < self.full_share_from or self.has_duplicate:
            return 0
        before = self._lent.get((borrower, incarnation), NO_LEASE).amount
        spare = min(self._own(now) - NEVER_LENT, self._own(now) - self.need) + before
        amount = min(max(wanted, before), spare)
        # With less than before, the lender would assume that the borrower knows of it.
        if amount < max(before, MIN_LEASE):
            return 0
        self._lent[borrower, incarnation] = Lease(amount, now + self.lent_us, nonce)
        return amount

    def handle_grant(self, now: int, lender: int, nonce: int, amount: int) -> bool:
        """Take a grant; return whether it counts: its request is open, and the lease is not over."""
        requested_at = self._requested_at.pop((lender, nonce), None)
        if requested_at is None or requested_at + self.borrowed_us <= now:
            return False
        if nonce < self._borrowed.get(lender, NO_LEASE).nonce:
            return False  # a later grant has replaced it
        self._borrowed[lender] = Lease(amount, requested_at + self.borrowed_us, nonce)
        return True

    def return_unneeded(self, now: int) -> list[tuple[int, int]]:
        """Give up leases that are no longer needed; return their lenders and nonces, for the lenders to be told."""
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
        """Take a lease back that its borrower has given up, unless a later grant has replaced it."""
        lease = self._lent.get((borrower, incarnation))
        if lease is not None and lease.nonce == nonce:
            del self._lent[borrower, incarnation]


def _total(leases: dict[int, Lease] | dict[tuple[int, int], Lease]) -> int:
    return sum(lease.amount for lease in leases.values())
