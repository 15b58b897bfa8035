"""Planted defects of shared budgets: each takes one guard away."""

from __future__ import annotations

from lilacsill.agent.peers import escrow as module
from lilacsill.agent.peers.escrow import Escrow, Lease
from lilacsill.agent.peers.records import SHARE_UNITS


class NoExpiryCheck(Escrow):
    def right(self, now: int) -> module.Right:
        own = self._own(now)
        return module.Right(own + sum(a for a, _, _ in self._borrowed.values()), 2**62, own)


class BorrowerCountsFromTheGrant(Escrow):
    def handle_grant(self, now: int, lender: int, nonce: int, amount: int) -> bool:
        if self._requested_at.pop((lender, nonce), None) is None:
            return False
        self._borrowed[lender] = Lease(amount, now + self.lease_us, nonce)
        return True


class NoDrift(Escrow):
    @property
    def lender_lease_us(self) -> int:
        return self.lease_us

    @property
    def borrower_lease_us(self) -> int:
        return self.lease_us


class WholeAfterARestart(Escrow):
    def __init__(self, now: int, lease_us: int) -> None:
        super().__init__(now, lease_us, no_earlier_leases=True)


class GrantsAnyAsk(Escrow):
    """What it has lent already is not counted once more asks come."""

    def handle_request(self, now: int, borrower: int, incarnation: int, nonce: int, wanted: int) -> int:
        self._lent.pop((borrower, incarnation), None)
        return super().handle_request(now, borrower, incarnation, nonce, wanted)


class TakesAnyGrant(Escrow):
    def handle_grant(self, now: int, lender: int, nonce: int, amount: int) -> bool:
        self._borrowed[lender] = Lease(amount, now + self.borrower_lease_us, nonce)
        return True


class LendsWhatItHolds(Escrow):
    def _own(self, now: int) -> int:
        return super()._own(now) + sum(a for a, _, _ in self._borrowed.values())


class KeepsWhatItReleases(Escrow):
    def return_unneeded(self, now: int) -> list[tuple[int, int]]:
        before = dict(self._borrowed)
        given = super().return_unneeded(now)
        self._borrowed = before
        return given


class ShrinksARenewal(Escrow):
    """Less than before, though the borrower may not have heard of it yet."""

    def handle_request(self, now: int, borrower: int, incarnation: int, nonce: int, wanted: int) -> int:
        amount = super().handle_request(now, borrower, incarnation, nonce, wanted)
        if amount:
            amount = min(amount, wanted)
            self._lent[borrower, incarnation] = Lease(amount, now + self.lender_lease_us, nonce)
        return amount


class AsksOutliveARelease(Escrow):
    def return_unneeded(self, now: int) -> list[tuple[int, int]]:
        asked = dict(self._requested_at)
        given = super().return_unneeded(now)
        self._requested_at = asked
        return given


class AnyReleaseCounts(Escrow):
    def handle_return(self, borrower: int, incarnation: int, nonce: int) -> None:
        self._lent.pop((borrower, incarnation), None)


class LendsBeforeItIsWhole(Escrow):
    def _own(self, now: int) -> int:
        return SHARE_UNITS - sum(a for a, _, _ in self._lent.values())
