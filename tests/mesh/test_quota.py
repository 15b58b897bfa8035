"""Quotas: the bucket, the limits, the owner and the client, with the clock and the messages in the test's hands."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.quota.quota_client import MAX_DENIAL_CACHE_US, TOKEN_REQUEST_TIMEOUT_US, QuotaClient
from lilacsill.mesh.quota.quota_decision import QuotaDecision, QuotaVerdict
from lilacsill.mesh.quota.quota_limits import QuotaLimits, TenantLimit
from lilacsill.mesh.quota.quota_owner import UNKNOWN_TENANT_RETRY_MS, ChainView, QuotaOwner
from lilacsill.mesh.quota.token_bucket import TokenBucket
from lilacsill.mesh.runtime.core_members import CoreMembers, owner_of
from lilacsill.mesh.runtime.messages import Item, Message, TokenReply, TokenRequest, decode, encode
from lilacsill.mesh.runtime.records import TokenDemand, TokenGrant
from lilacsill.mesh.runtime.settings import TimingBounds
from lilacsill.mesh.simulation.network import MS, SECOND, Machine, Net
from lilacsill.mesh.simulation.store_fleet import Fleet
from lilacsill.mesh.store.metrics import encode_metrics
from lilacsill.mesh.store.quotas import TENANT
from lilacsill.mesh.store.status import status_of
from lilacsill.mesh.tenants.tenant import parse_tenant

LIMITS = QuotaLimits(TimingBounds())
SMALL, LARGE = TenantLimit(5, 5), TenantLimit(128, 128)
ADDRESSES = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
PATIENCE_US = 150 * MS


# Bucket and limits


def test_a_bucket_grants_complete_tokens_as_they_come() -> None:
    bucket = TokenBucket(rate=5, capacity=5, balance=0, since_us=0)
    assert (bucket.take(3, 400 * MS), bucket.time_until_token_us(400 * MS)) == (2, 200 * MS)
    assert (bucket.take(9, 10 * SECOND), bucket.take(1, 10 * SECOND)) == (5, 0)


def test_a_lower_limit_cuts_the_balance_and_a_higher_one_adds_nothing() -> None:
    bucket = TokenBucket(rate=5, capacity=50, balance=50, since_us=0)
    bucket.change(rate=1, capacity=3, now=0)
    assert bucket.balance(0) == 3
    bucket.change(rate=100, capacity=90, now=0)
    assert bucket.balance(0) == 3


@pytest.mark.parametrize("limit", [SMALL, LARGE, TenantLimit(0.1), TenantLimit(5000, 1)])
def test_a_bucket_and_two_openings_stay_inside_the_bound(limit: TenantLimit) -> None:
    earned = limit.rate * 5
    spent = LIMITS.capacity(limit) + earned * 1.005 + 2 * LIMITS.opening_balance(limit)
    assert spent < LIMITS.max_requests(limit)


def test_the_bound_is_that_of_the_page() -> None:
    assert (LIMITS.max_requests(SMALL), round(LIMITS.max_requests(LARGE))) == (53, 865)


# Owner


class Member:
    """The surroundings of an owner."""

    def __init__(self, view: ChainView | None = None) -> None:
        self.time = 100 * SECOND
        self.may = True
        self.suspended_us = 0  # behind the check of the right to grant
        self.limits: dict[str, TenantLimit] = {"shop": SMALL, "open": TenantLimit(0, 7)}
        self.address = ADDRESSES[0]
        self.owner = QuotaOwner(self.address, view or ChainView(4, [self.address]), LIMITS, self)

    def now(self) -> int:
        return self.time

    def may_grant(self) -> bool:
        self.time += self.suspended_us
        return self.may

    def limit_of(self, tenant: str) -> TenantLimit | None:
        return self.limits.get(tenant)

    def ask(self, count: int, tenant: str = "shop") -> list[TokenGrant]:
        replies: list[Any] = []
        self.owner.handle_token_request(TokenRequest([TokenDemand(tenant, count)]), replies.append)
        return list(replies[0].grants)

    def granted(self, count: int) -> int:
        return self.ask(count)[0].granted


def test_a_new_owner_begins_without_tokens_and_earns_them_from_its_begin_on() -> None:
    member = Member()
    assert member.ask(2) == [TokenGrant("shop", 0, 200)]
    member.time += SECOND
    assert member.granted(9) == 5
    idle = Member()
    idle.time += 60 * SECOND
    assert idle.granted(99) == int(LIMITS.capacity(SMALL))


def test_no_grant_without_the_right_to_grant_or_for_a_tenant_of_another_member() -> None:
    member = Member(ChainView(4, ADDRESSES))
    other = next(name for name in map(str, range(99)) if owner_of(name, ADDRESSES) != member.address)
    member.limits[other] = LARGE
    member.time += SECOND
    assert member.ask(1, other) == []
    member.owner.on_view_change(ChainView(5, [member.address]))
    member.may = False
    assert member.ask(1) == []


def test_tenants_that_are_unknown_get_nothing_and_those_without_a_limit_all() -> None:
    member = Member()
    assert member.ask(3, "nobody") == [TokenGrant("nobody", 0, UNKNOWN_TENANT_RETRY_MS)]
    assert member.ask(3000, "open") == [TokenGrant("open", 3000, 0)]
    assert (member.owner.unknown_tenants, list(member.owner.usage)) == (3, ["open"])


def test_a_member_that_is_suspended_behind_its_check_grants_what_was_there_before() -> None:
    member = Member()
    member.time += SECOND
    member.suspended_us = 10 * SECOND
    assert member.granted(99) == 5
    assert member.granted(99) == int(LIMITS.capacity(SMALL))


@pytest.mark.parametrize("rate", [1e-12, 1e-18, 5e-324])
def test_a_tenant_of_a_very_low_rate_costs_no_other_one_its_tokens(rate: float) -> None:
    member = Member()
    member.limits |= {"shop": TenantLimit(rate), "yard": SMALL}
    member.time += 3 * SECOND
    replies: list[Message] = []
    member.owner.handle_token_request(TokenRequest([TokenDemand("shop", 1), TokenDemand("yard", 1)]), replies.append)
    reply = decode(encode(replies[0]))
    assert isinstance(reply, TokenReply)
    assert [(grant.tenant, grant.granted) for grant in reply.grants] == [("shop", 0), ("yard", 1)]


def test_a_lowered_limit_holds_with_the_next_demand() -> None:
    member = Member()
    member.limits["shop"] = LARGE
    member.time += 9 * SECOND
    assert member.granted(10) == 10
    member.limits["shop"] = TenantLimit(1, 1)
    assert member.granted(500) == int(LIMITS.capacity(TenantLimit(1, 1)))


def test_a_bucket_passes_into_the_next_view_alone() -> None:
    member = Member()
    member.time += SECOND
    member.owner.on_view_change(ChainView(5, [member.address, "10.0.0.77:1"][:1]))
    assert member.granted(9) == 0  # nothing was asked before: it opens anew
    member.time += SECOND
    assert member.granted(3) == 3
    member.owner.on_view_change(ChainView(6, [member.address]))
    assert member.granted(9) == 2
    member.time += SECOND
    assert member.granted(1) == 1
    member.owner.on_view_change(ChainView(8, [member.address]))
    assert member.granted(9) == 0


def test_a_member_that_was_not_the_owner_between_two_views_opens_anew() -> None:
    member = Member()
    member.time += SECOND
    assert member.granted(1) == 1
    member.owner.on_view_change(ChainView(5, ["10.0.0.9:1"]))
    member.owner.on_view_change(ChainView(6, [member.address]))
    assert member.granted(9) == 0


@pytest.mark.parametrize(("known_for_us", "opening"), [(4 * SECOND, 0), (6 * SECOND, 5)])
def test_a_bucket_opens_with_a_balance_only_after_a_window_in_the_view_before(known_for_us: int, opening: int) -> None:
    member = Member(ChainView(4, ["10.0.0.9:1"]))
    member.time += known_for_us
    member.owner.on_view_change(ChainView(5, [member.address]))
    assert member.granted(99) == opening == int(LIMITS.opening_balance(SMALL)) * (opening > 0)


# Client


class Members:
    """A proxy, and members of the store that the test answers for."""

    def __init__(self, knows_view: bool = True) -> None:
        self.net = Net(1, 500)
        self.proxy = Machine(self.net, "proxy", 1)
        self.proxy.begin()
        self.asked: list[tuple[str, TokenRequest]] = []
        self.replies: list[Callable[[Message], None]] = []
        for address in ADDRESSES:
            machine = self.net.machines[address] = Machine(self.net, address, 1)
            machine.begin()
            machine.handlers = {TokenRequest: partial(self._handle, address)}
        members = CoreMembers(lambda: ADDRESSES)
        if knows_view:
            members.update_view(3, ADDRESSES)
        self.client = QuotaClient(self.proxy, members)
        self.decisions: list[QuotaDecision] = []

    def _handle(self, address: str, request: TokenRequest, reply: Callable[[Message], None]) -> None:
        self.asked.append((address, request))
        self.replies.append(reply)

    def request(self, tenant: str = "shop") -> Any:
        return self.client.request(tenant, PATIENCE_US, self.decisions.append)

    def run(self, us: int = 5 * MS) -> None:
        self.net.time.run(self.net.time.now + us)

    def answer(self, *grants: TokenGrant, view: int = 3, members: list[str] = ADDRESSES) -> None:
        self.replies.pop(0)(TokenReply(list(grants), view, members))
        self.run()

    def verdicts(self) -> list[QuotaVerdict]:
        return [decision.verdict for decision in self.decisions]


GRANTED, DENIED, UNAVAILABLE = QuotaVerdict.GRANTED, QuotaVerdict.DENIED, QuotaVerdict.UNAVAILABLE


def test_one_question_carries_all_that_wait_and_the_next_one_what_came_meanwhile() -> None:
    members = Members()
    for _ in range(3):
        members.request()
    members.run()
    assert members.asked == [(owner_of("shop", ADDRESSES), TokenRequest([TokenDemand("shop", 3)]))]
    for _ in range(2):
        members.request()
    members.run()
    assert len(members.asked) == 1
    members.answer(TokenGrant("shop", 3, 0))
    assert members.verdicts() == [GRANTED] * 3
    assert members.asked[1][1] == TokenRequest([TokenDemand("shop", 2)])


def test_what_is_beyond_the_grant_is_denied_until_the_next_token() -> None:
    members = Members()
    for _ in range(3):
        members.request()
    members.run()
    members.answer(TokenGrant("shop", 2, 70))
    assert members.verdicts() == [GRANTED, GRANTED, DENIED]
    assert members.decisions[2].retry_after_us == 70 * MS


def test_a_denial_answers_later_requests_for_a_short_time_and_not_from_inside_the_call() -> None:
    members = Members()
    members.request()
    members.run()
    members.answer(TokenGrant("shop", 0, 5_000))
    members.request()
    assert members.verdicts() == [DENIED]
    members.run()
    assert members.verdicts() == [DENIED, DENIED]
    assert len(members.asked) == 1
    members.run(MAX_DENIAL_CACHE_US)
    members.request()
    members.run()
    assert len(members.asked) == 2


def test_tokens_of_cancelled_requests_are_lost() -> None:
    members = Members()
    waiting = [members.request() for _ in range(2)]
    members.run()
    for pending in waiting:
        pending.cancel()
    members.request()  # not counted by the question that is open
    members.answer(TokenGrant("shop", 2, 0))
    assert members.decisions == []
    members.answer(TokenGrant("shop", 1, 0))
    assert members.verdicts() == [GRANTED]


def test_without_a_view_a_member_is_asked_for_it_first() -> None:
    members = Members(knows_view=False)
    members.request()
    members.run()
    assert members.asked[0][1] == TokenRequest([])
    members.answer(view=7)
    assert members.asked[1] == (owner_of("shop", ADDRESSES), TokenRequest([TokenDemand("shop", 1)]))
    members.answer(TokenGrant("shop", 1, 0))
    assert members.verdicts() == [GRANTED]


def test_a_member_that_is_no_longer_the_owner_names_the_view_in_which_another_is() -> None:
    members = Members()
    members.request()
    members.run()
    others = [address for address in ADDRESSES if address != members.asked[0][0]]
    members.answer(view=4, members=others)
    assert members.asked[1] == (owner_of("shop", others), TokenRequest([TokenDemand("shop", 1)]))


def test_where_nobody_decides_requests_run_out_of_patience() -> None:
    members = Members()
    members.request()
    members.run(PATIENCE_US - 10 * MS)
    assert members.decisions == []
    members.run(20 * MS)
    assert members.verdicts() == [UNAVAILABLE]


def test_after_an_owner_that_does_not_answer_another_member_is_asked_for_the_view() -> None:
    members = Members()
    members.request()
    members.run(TOKEN_REQUEST_TIMEOUT_US + 5 * MS)
    owner = members.asked[0][0]
    others = [address for address in ADDRESSES if address != owner]
    members.request()
    assert members.asked[1][1] == TokenRequest([])
    members.replies.pop(0)  # the owner stays silent
    members.answer(view=4, members=others)
    assert members.asked[2] == (owner_of("shop", others), TokenRequest([TokenDemand("shop", 1)]))


def test_questions_to_an_owner_that_does_not_decide_become_rarer() -> None:
    members = Members()
    for _ in range(100):
        members.request()
        members.run(10 * MS)
        while members.replies:
            members.answer()
    assert len([request for _, request in members.asked if request.demands]) < 15
    assert len(members.asked) < 30


# A member of the store


def test_a_member_of_the_store_grants_what_its_configuration_allows() -> None:
    fleet = Fleet(1, cores=3)
    fleet.net.time.run(4 * SECOND)
    body = msgspec.json.encode({"Name": "shop", "ApiKeys": ["secret"], "Rank": 1, "RatePerS": 5, "BurstSize": 5})
    for store in fleet.stores.values():
        store.replica.state.apply([Item(TENANT, "shop", 1, 1, body)], 1)
    replies: list[Any] = []
    for store in fleet.stores.values():
        store.handlers[TokenRequest](TokenRequest([TokenDemand("shop", 2), TokenDemand("nobody", 1)]), replies.append)
    grants = [grant for reply in replies for grant in reply.grants]
    assert sorted(grants, key=lambda grant: grant.tenant) == [
        TokenGrant("nobody", 0, UNKNOWN_TENANT_RETRY_MS),
        TokenGrant("shop", 2, 0),
    ]
    assert {(reply.view_number, tuple(reply.members)) for reply in replies} == {(0, tuple(ADDRESSES))}
    owner = fleet.stores[str(owner_of("shop", ADDRESSES))]
    quotas = status_of(owner)["quotas"]["shop"]
    assert (quotas["granted"], quotas["denied"]) == (2, 0)
    metrics = encode_metrics(owner, owner.replica.environment.now()).decode()
    assert 'lilacsill_quota_granted_total{tenant="shop"} 2.0' in metrics
    assert "secret" not in metrics


def test_a_member_without_leases_grants_nothing() -> None:
    fleet = Fleet(1, cores=3)
    fleet.net.time.run(4 * SECOND)
    fleet.net.partition({ADDRESSES[0]}, set(ADDRESSES[1:]))
    store = fleet.stores[ADDRESSES[0]]
    tenant = next(name for name in map(str, range(99)) if owner_of(name, ADDRESSES) == ADDRESSES[0])
    replies: list[Any] = []
    store.handlers[TokenRequest](TokenRequest([TokenDemand(tenant, 1)]), replies.append)
    fleet.net.time.run(5 * SECOND)
    store.handlers[TokenRequest](TokenRequest([TokenDemand(tenant, 1)]), replies.append)
    assert [len(reply.grants) for reply in replies] == [1, 0]


HIGHEST, SMALLEST = 2**53, 5e-324  # numbers that an operator may set


@pytest.mark.parametrize("burst", [0.0, SMALLEST, HIGHEST])
@pytest.mark.parametrize("rate", [SMALLEST, 1.0, HIGHEST])
def test_a_quota_at_its_limits_is_decided_and_the_answer_can_be_sent(rate: float, burst: float) -> None:
    member = Member()
    member.limits["shop"] = TenantLimit(rate, burst)
    for wait_us in (0, SECOND, 10**15):
        member.time += wait_us
        (grant,) = grants = member.ask(3)
        assert 0 <= grant.granted <= 3 and (grant.granted == 3) == (grant.retry_after_ms == 0)
        assert decode(encode(TokenReply(grants, 1, []))) == TokenReply(grants, 1, [])


def test_the_highest_numbers_of_a_tenant_are_read() -> None:
    body = {"Name": "shop", "ConfigVersion": "r1", "ApiKeys": ["k"], "Rank": HIGHEST}
    body |= {"RatePerS": HIGHEST, "BurstSize": SMALLEST}
    tenant = parse_tenant(Item("tenant", "shop", 1, 1, msgspec.json.encode(body)))
    assert (tenant.rank, tenant.rate_per_s, tenant.burst) == (HIGHEST, HIGHEST, SMALLEST)
