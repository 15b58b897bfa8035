"""Tenants that come, change and go while the module runs."""

from __future__ import annotations

import pytest

from lilacsill.balancing.interface import Outcome, RequestArrived, Send, Tenant, TenantChanged
from lilacsill.balancing.logic.records import RequestRecord
from tests.balancing.helpers import MS, SECOND, Drive, only


def ask(d: Drive, tenant: int) -> RequestRecord:
    d.requests += 1
    d.event(RequestArrived(d.requests, 0, SECOND, tenant))
    return d.balancer.attempts.requests[d.requests]


def test_a_tenant_that_comes_is_known_and_one_that_is_gone_is_not() -> None:
    d = Drive(tenants=(Tenant("first"),))
    with pytest.raises(ValueError, match="tenant: no tenant 7"):
        ask(d, 7)
    d.event(TenantChanged(7, Tenant("seventh", 100.0)))
    assert not ask(d, 7).low_priority
    d.event(TenantChanged(7, None))
    with pytest.raises(ValueError, match="tenant: no tenant 7"):
        ask(d, 7)
    assert not ask(d, 0).low_priority


def test_what_a_removed_tenant_has_in_hand_is_finished_and_its_successor_inherits_nothing() -> None:
    d = Drive()
    d.event(TenantChanged(1, Tenant("firm", 2.0)))
    _, actions = d.request(tenant=1)
    (send,) = only(actions, Send)
    assert [ask(d, 1).low_priority for _ in range(3)] == [False, True, True]  # two a second at the most
    d.event(TenantChanged(1, None))
    d.event(TenantChanged(1, Tenant("firm", 2.0)))
    assert not ask(d, 1).low_priority
    d.end(send, Outcome.OK)
    assert send.request not in d.balancer.attempts.requests


def test_a_smaller_quota_counts_at_once_and_a_larger_one_fills_with_time() -> None:
    d = Drive()
    d.event(TenantChanged(3, Tenant("firm", 1000.0)))
    assert not ask(d, 3).low_priority
    d.event(TenantChanged(3, Tenant("firm", 1.0)))
    assert [ask(d, 3).low_priority for _ in range(2)] == [False, True]
    d.event(TenantChanged(3, Tenant("firm", 100.0)))
    assert ask(d, 3).low_priority
    d.wait(50 * MS)
    assert not ask(d, 3).low_priority
