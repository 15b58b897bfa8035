"""Finds tenants that ran more requests in one window than their limits allow. No I/O."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from .connectivity import Connectivity
from .observations import ItemChange, Record
from .tenant_versions import TenantVersions
from .timing_bounds import US_PER_S, TimingBounds
from .violations import Rule, Violation


class Arrival(msgspec.Struct, frozen=True, order=True):
    """A request that ran: when it was sent, and when it came to the backend that ran it."""

    sent_at: int
    arrived_at: int


class QuotaJudge:
    """Judges all tenants of one soak, summed over all proxies, in touch or not."""

    def __init__(
        self, record: Record, versions: TenantVersions, connectivity: Connectivity, bounds: TimingBounds
    ) -> None:
        self._record, self._versions, self._connectivity, self._bounds = record, versions, connectivity, bounds
        self._proxy_ips = {request.ip for request in record.requests}

    def violations(self) -> Iterator[Violation]:
        """Return the worst window of each tenant that broke its limit."""
        arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for request in self._record.requests:
            ran_at = [work.arrived_at for work in self._record.work.get(request.attempt_id, []) if work.began_at]
            if request.tenant and ran_at:
                arrivals[request.tenant].append(Arrival(request.sent_at, min(ran_at)))
        for tenant, arrived in arrivals.items():
            violation = self._worst_window(tenant, sorted(arrived))
            if violation is not None:
                yield violation

    def _worst_window(self, tenant: str, arrivals: list[Arrival]) -> Violation | None:
        versions = self._versions.of(tenant)
        binding_at = {change.version: self._binding_at(change) for change in versions}
        sent = [arrival.sent_at for arrival in arrivals]
        worst, worst_excess = None, 0.0
        for begin in sorted(set(sent)):
            end = begin + self._bounds.quota_window_us
            inside = arrivals[bisect_left(sent, begin) : bisect_right(sent, end)]
            ran = sum(arrival.arrived_at <= end for arrival in inside)
            allowed = self._allowed(versions, binding_at, begin, end)
            if allowed is not None and ran - allowed > worst_excess:
                worst_excess = ran - allowed
                detail = f"{tenant}: {ran} requests, {allowed:.1f} allowed"
                worst = Violation(Rule.QUOTA, begin, detail)
        return worst

    def _allowed(self, versions: list[ItemChange], binding_at: dict[int, int], begin: int, end: int) -> float | None:
        """Return the limit of one window, the largest that may be in force; None where there is none."""
        oldest = max((version for version, at in binding_at.items() if at <= begin), default=0)
        limits = [self._limit(change) for change in versions if change.version >= oldest and change.sent_at <= end]
        if not limits or None in limits:
            return None
        return max(limit for limit in limits if limit is not None)

    def _limit(self, change: ItemChange) -> float | None:
        if change.item is None or not change.item["RatePerS"]:
            return None
        window_s = self._bounds.quota_window_us / US_PER_S
        quota = change.item["RatePerS"] * window_s + change.item["BurstSize"]
        return float(quota * (1 + self._bounds.quota_over) + self._bounds.quota_slack)

    def _binding_at(self, change: ItemChange) -> int:
        """Return from when on windows must keep a version: every proxy has been in touch since it was due."""
        if change.acknowledged_at is None:
            return 1 << 62
        due_at = change.acknowledged_at + self._bounds.config_within_us
        return max((self._connectivity.first_in_touch(ip, due_at) for ip in self._proxy_ips), default=due_at)
