"""A proxy's leases on its callers' credit, which pay for most requests without a round trip. No I/O.

A lease is renewed before it is used up, so that credit is available at the proxies where a caller is active. A caller
that has become idle keeps a small lease for some time, since it may return. If a lease is too small and the account is
not known to be out of credit, a request waits for the pending answer of the account owner. A proxy that gets no answer
from the owner spends its lease, and then its share of the reserve, which is set aside for this case.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

import msgspec

from .account import ROUNDING_CREDITS, US_PER_S
from .contract import Tier
from .messages import LeaseGrant, LeaseRejection, LeaseRequest

LEASE_US = 2_000_000  # duration of a lease
RENEWAL_US = LEASE_US // 3  # a lease with less remaining time is renewed
PREFETCH_S = 1.2  # spending to request in advance: covers a round trip between regions and one to the replica
RETRY_US = 100_000  # minimum interval between two lease requests for one caller
RATE_DECAY_US = 1_000_000  # time constant of the smoothed spending rate
REPORT_US = 250_000  # minimum interval between two reports of spent credit
REQUEST_TIMEOUT_US = 1_000_000  # after this time a lease request counts as unanswered
MAX_WAIT_US = 700_000  # maximum time for which a caller's request waits for the account owner
IDLE_US = 8_000_000  # an idle caller keeps a lease for this time
IDLE_SHARE = 1 / 32  # of the burst; the size of the lease of an idle caller
MIN_EXHAUSTED_US = 300_000  # minimum time after a partial grant in which requests do not wait for credit
LOW_SHARE = 0.6  # a lease with less than this share of the wanted credit is renewed
EXPIRY_US = 10 * LEASE_US  # an unused lease is removed after this time


class Payment(Enum):
    """The outcome of an attempt to pay for a request."""

    PAID = auto()
    PENDING = auto()  # an answer of the account owner is pending; retry after it
    REJECTED = auto()


class PaymentResult(NamedTuple):
    """The result of an attempt to pay for a request."""

    payment: Payment
    retry_us: int = 0  # if rejected: time until credit is available


PAID = PaymentResult(Payment.PAID)
PENDING = PaymentResult(Payment.PENDING)


class CallerLease(msgspec.Struct):
    """The lease on one caller's credit. Totals count from the start of this incarnation of the holder."""

    tier: Tier
    reserve_updated_at_us: int  # the time at which `reserve` was computed
    rate_updated_at_us: int  # the time at which `spending_rate` was computed
    spent: float = 0.0  # total credit spent from leases
    limit: float = 0.0  # maximum of `spent`
    ends_at_us: int = 0
    reserve: float = 0.0  # credit from this node's share of the reserve
    spending_rate: float = 0.0  # credits per second, smoothed
    shortfall: float = 0.0  # the largest cost that could not be paid
    number: int = 0  # of the last lease request
    asked_at_us: int = 0
    is_pending: bool = False  # the last lease request has no answer yet
    exhausted_until_us: int = 0  # the account is out of credit until this time
    used_at_us: int = 0
    reported: float = 0.0  # the value of `spent` in the last report

    @property
    def remaining(self) -> float:
        """Credit that may still be spent."""
        return self.limit - self.spent

    def advance(self, now: int) -> None:
        """Advance the lease to this time: end it if it has expired, and add the accrued credit to the reserve."""
        if now >= self.ends_at_us:
            self.limit = self.spent
        earned = self.tier.reserve_rate * (now - self.reserve_updated_at_us) / US_PER_S
        self.reserve = min(self.tier.reserve_burst, self.reserve + earned)
        self.reserve_updated_at_us = now

    def record_demand(self, cost: float, now: int) -> None:
        """Add a request to the smoothed spending rate, regardless of whether it is paid for."""
        self.spending_rate = self._decayed_rate(now) + cost * US_PER_S / RATE_DECAY_US
        self.rate_updated_at_us = now

    def wanted(self, now: int) -> float:
        """Return the credit that this proxy should hold for the caller."""
        for_idle = self.tier.account_burst * IDLE_SHARE if now - self.used_at_us < IDLE_US else 0.0
        return max(self._decayed_rate(now) * PREFETCH_S, self.shortfall, for_idle)

    def _decayed_rate(self, now: int) -> float:
        passed_us = max(0, now - self.rate_updated_at_us)
        return self.spending_rate * max(0.0, 1 - passed_us / RATE_DECAY_US)

    def has_excess(self, wanted: float, now: int) -> bool:
        """Return whether the proxy should return credit."""
        return self.remaining > 2 * wanted + 1 and now - self.used_at_us > REPORT_US

    def needs_request(self, wanted: float, now: int) -> bool:
        """Return whether to send a lease request, to get credit or to report spending."""
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
    """The leases of one proxy on the accounts of its callers."""

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self.leases: dict[str, CallerLease] = {}

    def spend(self, caller: str, tier: Tier, cost: float, now: int) -> PaymentResult:
        """Pay for a request from the local credit, if there is enough."""
        lease = self._lease(caller, tier, now)
        lease.used_at_us = now
        lease.record_demand(cost, now)
        lease.advance(now)
        if lease.spent + cost <= lease.limit + ROUNDING_CREDITS:
            lease.spent += cost
            return PAID
        lease.shortfall = max(lease.shortfall, cost)
        if now < lease.exhausted_until_us:
            return PaymentResult(Payment.REJECTED, max(lease.exhausted_until_us - now, RETRY_US))
        if not lease.is_pending or now - lease.asked_at_us < MAX_WAIT_US:
            return PENDING
        # The account owner does not answer: spend the reserve.
        if cost <= lease.reserve + ROUNDING_CREDITS:
            lease.reserve -= cost
            return PAID
        return PaymentResult(Payment.REJECTED, int(max(RETRY_US, US_PER_S * cost / tier.rate)))

    def _lease(self, caller: str, tier: Tier, now: int) -> CallerLease:
        lease = self.leases.get(caller)
        if lease is None:
            lease = self.leases[caller] = CallerLease(tier, now, now)
        elif lease.tier != tier:
            lease.tier = tier
            lease.reserve = min(lease.reserve, tier.reserve_burst)
        return lease

    def due_requests(self, now: int) -> list[LeaseRequest]:
        """Return the lease requests to send now. Called several times a second, and after a rejection."""
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
            # The excess is not spent from now on, regardless of whether the account owner receives the request.
            lease.limit = lease.spent + wanted
        lease.number += 1
        lease.asked_at_us, lease.is_pending, lease.reported = now, True, lease.spent
        return LeaseRequest(caller, lease.tier.name, self._holder, lease.number, lease.spent, wanted, has_excess)

    def on_answer(self, caller: str, answer: LeaseGrant | LeaseRejection, now: int) -> None:
        """Apply the answer to the last lease request. Answers to older requests are ignored."""
        lease = self.leases.get(caller)
        if lease is None or not lease.is_pending or answer.number != lease.number:
            return
        lease.is_pending = False
        if isinstance(answer, LeaseRejection):
            return
        lease.exhausted_until_us = now + max(answer.retry_us, MIN_EXHAUSTED_US) if answer.retry_us else 0
        ends_at_us = lease.asked_at_us + answer.valid_us
        if ends_at_us <= now:
            return
        lease.limit, lease.ends_at_us, lease.shortfall = answer.limit, ends_at_us, 0.0
