"""A proxy's leases on its callers' credit: most requests are paid for without a round trip. No I/O.

A lease is renewed before it is used up, so that a caller that is busy here finds credit here. A caller that has become
idle keeps a small lease for some time, since it may return. If a lease is too small and the home node is not known to
be out of credit, a request waits for the pending answer. A node that gets no answer from the home node spends its
lease, and then its floor: its own share of a reserve that is set aside for that.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

import msgspec

from .account import ROUNDING, US_PER_S
from .contract import Tier
from .messages import LeaseGrant, LeaseRejection, LeaseRequest

LEASE_US = 2_000_000  # length of a lease
RENEWAL_US = LEASE_US // 3  # a lease with less time than this is renewed
PREFETCH_S = 1.2  # seconds of spending to ask for: a round trip between regions, and one to the replica
RETRY_US = 100_000  # between two requests for one caller
FADE_US = 1_000_000  # time constant of the smoothed spending rate
REPORT_US = 250_000  # between two reports of what was spent
REQUEST_TIMEOUT_US = 1_000_000  # after it a request counts as unanswered
MAX_WAIT_US = 700_000  # for which a caller's request waits for an answer of the home node
IDLE_US = 8_000_000  # for this time a caller that has become idle keeps a lease
IDLE_SHARE = 1 / 32  # of the burst, in that lease
EXHAUSTED_US = 300_000  # for which no request waits after the home node could not lend all that was wanted
LOW_SHARE = 0.6  # a lease with less than this share of what is wanted is renewed
EXPIRY_US = 10 * LEASE_US  # an unused lease is forgotten after this


class Payment(Enum):
    """What became of an attempt to pay."""

    PAID = auto()
    PENDING = auto()  # an answer of the home node is due, after which to try again
    REJECTED = auto()


class PaymentResult(NamedTuple):
    """Whether a request is paid for."""

    payment: Payment
    retry_us: int = 0  # of a rejected one: until there will be credit


PAID = PaymentResult(Payment.PAID)
PENDING = PaymentResult(Payment.PENDING)


class CallerLease(msgspec.Struct):
    """The lease on one caller's credit. Totals count from the start of this incarnation of the holder."""

    tier: Tier
    floor_updated_at_us: int  # the time for which `floor` is right
    rate_updated_at_us: int  # the time for which `spending_rate` is right
    spent: float = 0.0  # in total, on leases
    limit: float = 0.0  # of that total
    ends_at_us: int = 0
    floor: float = 0.0  # credit of this node's own share of the reserve
    spending_rate: float = 0.0  # credits a second, smoothed
    shortfall: float = 0.0  # the largest cost that could not be paid
    number: int = 0  # of the last request
    asked_at_us: int = 0
    is_pending: bool = False  # the last request has no answer yet
    exhausted_until_us: int = 0  # the home node was out of credit, and will have some then
    used_at_us: int = 0
    reported: float = 0.0  # the total spent that was reported last

    @property
    def remaining(self) -> float:
        """Credit that may still be spent."""
        return self.limit - self.spent

    def advance(self, now: int) -> None:
        """Bring the lease up to this time: end it if it is over, and add to the floor what was earned."""
        if now >= self.ends_at_us:
            self.limit = self.spent
        earned = self.tier.floor_rate * (now - self.floor_updated_at_us) / US_PER_S
        self.floor = min(self.tier.floor_burst, self.floor + earned)
        self.floor_updated_at_us = now

    def record_demand(self, cost: float, now: int) -> None:
        """Count a request into the smoothed spending rate, whether it is paid for or not."""
        self.spending_rate = self._faded_rate(now) + cost * US_PER_S / FADE_US
        self.rate_updated_at_us = now

    def wanted(self, now: int) -> float:
        """Return the credit that should be here."""
        for_idle = self.tier.home_burst * IDLE_SHARE if now - self.used_at_us < IDLE_US else 0.0
        return max(self._faded_rate(now) * PREFETCH_S, self.shortfall, for_idle)

    def _faded_rate(self, now: int) -> float:
        passed_us = max(0, now - self.rate_updated_at_us)
        return self.spending_rate * max(0.0, 1 - passed_us / FADE_US)

    def has_excess(self, wanted: float, now: int) -> bool:
        """Return whether credit should be returned."""
        return self.remaining > 2 * wanted + 1 and now - self.used_at_us > REPORT_US

    def needs_request(self, wanted: float, now: int) -> bool:
        """Return whether to ask for credit or to report."""
        since_request_us = now - self.asked_at_us
        is_low = wanted > 0 and self.remaining < max(LOW_SHARE * wanted, self.shortfall)
        is_ending = wanted > 0 and self.ends_at_us - now < RENEWAL_US
        if (is_low or is_ending) and since_request_us >= RETRY_US:
            return True
        return self.spent > self.reported and since_request_us >= REPORT_US

    def is_expired(self, now: int) -> bool:
        """Return whether the lease has ended and its caller has been idle for long."""
        return now - self.used_at_us > EXPIRY_US and now >= self.ends_at_us


class Allowance:
    """All leases of one proxy."""

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self.leases: dict[str, CallerLease] = {}

    def spend(self, caller: str, tier: Tier, cost: float, now: int) -> PaymentResult:
        """Pay for a request, if there is credit here."""
        lease = self._lease(caller, tier, now)
        lease.used_at_us = now
        lease.record_demand(cost, now)
        lease.advance(now)
        if lease.spent + cost <= lease.limit + ROUNDING:
            lease.spent += cost
            return PAID
        lease.shortfall = max(lease.shortfall, cost)
        if now < lease.exhausted_until_us:
            return PaymentResult(Payment.REJECTED, max(lease.exhausted_until_us - now, RETRY_US))
        if not lease.is_pending or now - lease.asked_at_us < MAX_WAIT_US:
            return PENDING
        # The home node does not answer.
        if cost <= lease.floor + ROUNDING:
            lease.floor -= cost
            return PAID
        return PaymentResult(Payment.REJECTED, int(max(RETRY_US, US_PER_S * cost / tier.rate)))

    def _lease(self, caller: str, tier: Tier, now: int) -> CallerLease:
        lease = self.leases.get(caller)
        if lease is None:
            lease = self.leases[caller] = CallerLease(tier, now, now)
        elif lease.tier != tier:
            lease.tier = tier
            lease.floor = min(lease.floor, tier.floor_burst)
        return lease

    def due_requests(self, now: int) -> list[LeaseRequest]:
        """Return the requests to send now. To be called several times a second, and after a rejection."""
        requests = []
        for caller, lease in list(self.leases.items()):
            lease.advance(now)
            if lease.is_pending and now - lease.asked_at_us < REQUEST_TIMEOUT_US:
                continue
            lease.is_pending = False
            wanted = lease.wanted(now)
            has_excess = lease.has_excess(wanted, now)
            if has_excess or lease.needs_request(wanted, now):
                requests.append(self._request(caller, lease, wanted, has_excess, now))
            elif lease.is_expired(now):
                del self.leases[caller]
        return requests

    def _request(self, caller: str, lease: CallerLease, wanted: float, has_excess: bool, now: int) -> LeaseRequest:
        if has_excess:
            # The rest is not spent from now on, whether the home node receives the request or not.
            lease.limit = lease.spent + wanted
        lease.number += 1
        lease.asked_at_us, lease.is_pending, lease.reported = now, True, lease.spent
        return LeaseRequest(caller, lease.tier.name, self._holder, lease.number, lease.spent, wanted, has_excess)

    def on_answer(self, caller: str, answer: LeaseGrant | LeaseRejection, now: int) -> None:
        """Take the answer to the last request; an answer to an older one is ignored."""
        lease = self.leases.get(caller)
        if lease is None or not lease.is_pending or answer.number != lease.number:
            return
        lease.is_pending = False
        if isinstance(answer, LeaseRejection):
            return
        lease.exhausted_until_us = now + max(answer.retry_us, EXHAUSTED_US) if answer.retry_us else 0
        ends_at_us = lease.asked_at_us + answer.valid_us
        if ends_at_us <= now:
            return
        lease.limit, lease.ends_at_us, lease.shortfall = answer.limit, ends_at_us, 0.0
