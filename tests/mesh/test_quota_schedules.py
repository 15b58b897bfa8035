"""Quotas over all proxies in virtual time: no schedule breaks the bound, and planted defects do."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lilacsill.mesh.quota import quota_client
from lilacsill.mesh.quota.quota_decision import GRANTED
from lilacsill.mesh.quota.quota_limits import QuotaLimits, TenantLimit
from lilacsill.mesh.quota.quota_owner import ChainView, QuotaOwner
from lilacsill.mesh.quota.token_bucket import TokenBucket
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.records import TokenGrant
from lilacsill.mesh.simulation.quotas import QuotaDay
from lilacsill.mesh.simulation.store_fleet import RuleBroken
from lilacsill.mesh.store.quotas import StoreQuotas, TenantLimits

Patch = pytest.MonkeyPatch
ORDINARY_SEEDS, SWEEP_SEEDS, SEEDS_OF_A_TEST = 24, 300, 6
SEARCHED_SEEDS = 48  # in which a planted defect must show


def play(seed: int) -> str:
    """Return what was broken, with the faults of the day; empty if nothing was."""
    day = QuotaDay(seed)
    try:
        day.play()
    except RuleBroken as error:
        return f"seed {seed}: {error}\n" + "\n".join(day.story)
    return ""


def broken_days(first: int) -> list[str]:
    return [broken for seed in range(first, first + SEEDS_OF_A_TEST) if (broken := play(seed))]


@pytest.mark.parametrize("first", range(0, ORDINARY_SEEDS, SEEDS_OF_A_TEST))
def test_no_schedule_gives_a_tenant_more_than_its_quota(first: int) -> None:
    assert broken_days(first) == []


@pytest.mark.sweep
@pytest.mark.parametrize("first", range(ORDINARY_SEEDS, SWEEP_SEEDS, SEEDS_OF_A_TEST))
def test_no_schedule_of_a_sweep_gives_a_tenant_more_than_its_quota(first: int) -> None:
    assert broken_days(first) == []


# Planted defects


def every_member_grants_for_every_tenant(patch: Patch) -> None:
    patch.setattr(QuotaOwner, "_owns", lambda self, tenant: True)
    patch.setattr(CoreMembers, "owner_of", lambda self, key: self.next_candidate() if self.addresses else None)


def an_owner_without_leases_grants(patch: Patch) -> None:
    patch.setattr(StoreQuotas, "may_grant", lambda self: self._replica.in_chain)


def a_bucket_opens_with_the_burst(patch: Patch) -> None:
    def open_bucket(self: QuotaLimits, limit: TenantLimit, opens_with_balance: bool, since_us: int) -> TokenBucket:
        return TokenBucket(limit.rate, self.capacity(limit), limit.burst, since_us)

    patch.setattr(QuotaLimits, "open_bucket", open_bucket)


def a_bucket_opens_with_a_balance_after_each_restart(patch: Patch) -> None:
    real = QuotaOwner.__init__

    def begin(self: QuotaOwner, *arguments: Any) -> None:
        real(self, *arguments)
        self._opens_with_balance = True

    patch.setattr(QuotaOwner, "__init__", begin)


def a_bucket_outlives_the_ownership(patch: Patch) -> None:
    def on_view_change(self: QuotaOwner, view: ChainView) -> None:
        self._view = view

    patch.setattr(QuotaOwner, "on_view_change", on_view_change)


def a_bucket_has_earned_tokens_before_its_owner_began(patch: Patch) -> None:
    real = QuotaLimits.open_bucket

    def open_bucket(self: QuotaLimits, limit: TenantLimit, opens_with_balance: bool, since_us: int) -> TokenBucket:
        return real(self, limit, opens_with_balance, since_us - 60_000_000)

    patch.setattr(QuotaLimits, "open_bucket", open_bucket)


def a_bucket_has_no_capacity(patch: Patch) -> None:
    patch.setattr(QuotaLimits, "capacity", lambda self, limit: 1e9)


def denials_are_ignored(patch: Patch) -> None:
    patch.setattr(quota_client, "_denied", lambda retry_after_us: GRANTED)


def a_grant_is_given_out_twice(patch: Patch) -> None:
    real = quota_client.QuotaClient._decide

    def decide(self: quota_client.QuotaClient, grant: TokenGrant, waiting: Any) -> None:
        real(self, TokenGrant(grant.tenant, 2 * grant.granted, grant.retry_after_ms), waiting)

    patch.setattr(quota_client.QuotaClient, "_decide", decide)


def a_lowered_limit_is_not_noticed(patch: Patch) -> None:
    real = TenantLimits.limit_of

    def limit_of(self: TenantLimits, tenant: str) -> TenantLimit | None:
        decoded = self._decoded.get(tenant)
        return real(self, tenant) if decoded is None else decoded.limit

    patch.setattr(TenantLimits, "limit_of", limit_of)


def a_bucket_is_charged_for_one_request_of_a_demand(patch: Patch) -> None:
    def take(self: TokenBucket, wanted: int, now: int) -> int:
        if self.balance(now) < 1:
            return 0
        self._balance -= 1
        return wanted

    patch.setattr(TokenBucket, "take", take)


DEFECTS: list[Callable[[Patch], None]] = [
    every_member_grants_for_every_tenant,
    an_owner_without_leases_grants,
    a_bucket_opens_with_the_burst,
    a_bucket_opens_with_a_balance_after_each_restart,
    a_bucket_outlives_the_ownership,
    a_bucket_has_earned_tokens_before_its_owner_began,
    a_bucket_has_no_capacity,
    denials_are_ignored,
    a_grant_is_given_out_twice,
    a_lowered_limit_is_not_noticed,
    a_bucket_is_charged_for_one_request_of_a_demand,
]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.__name__)
def test_a_planted_defect_shows_in_some_schedule(defect: Callable[[Patch], None], monkeypatch: Patch) -> None:
    defect(monkeypatch)
    assert any(play(seed) for seed in range(SEARCHED_SEEDS))
