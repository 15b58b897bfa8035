"""Tenants and routes of a shared soak, and which operations are sent again, without processes."""

from __future__ import annotations

from random import Random
from typing import Any

from lilacsill.mesh.soak.customers import KEYS_PER_TENANT, RATES_PER_S, Customers
from lilacsill.mesh.soak.observations import ClientRequest, RequestEnd
from lilacsill.mesh.soak.operator_client import route_item
from lilacsill.mesh.soak.repeats import REPEATED_SHARE, OperationRepeater
from lilacsill.mesh.soak.timing_bounds import KEY_WINDOWS_S, draw_bounds
from lilacsill.mesh.soak.workload import SHARED_WORK, seal, sealed_attempt

PROXIES = ["127.3.2.1", "127.3.2.2"]


class Calls:
    """A reactor that keeps what was scheduled."""

    def __init__(self) -> None:
        self.scheduled: list[tuple[int, tuple[Any, ...]]] = []

    def after(self, delay_us: int, _callback: Any, *arguments: Any) -> None:
        self.scheduled.append((delay_us, arguments))


def repeated(**fields: Any) -> int:
    """Return how many of a hundred ended operations are sent again."""
    world: Any = Calls()
    repeater = OperationRepeater(world, PROXIES, Random(1))
    for number in range(100):
        request = ClientRequest(f"a{number}", PROXIES[0], "reserve", False, 0, 1, operation_key=f"k{number}")
        request.end = fields.get("end", RequestEnd.ANSWERED)
        request.status = fields.get("status", 0)
        request.operation_key = fields.get("operation_key", request.operation_key)
        repeater.on_ended(request)
    return len(world.scheduled)


def test_a_seed_gives_the_same_tenants_each_with_two_keys_and_a_rate() -> None:
    tenants = Customers(Random(7)).tenants
    assert tenants == Customers(Random(7)).tenants != Customers(Random(8)).tenants
    assert [tenant.rate_per_s for tenant in tenants] == [tenant.burst for tenant in tenants] == list(RATES_PER_S)
    keys = [key for tenant in tenants for key in tenant.keys]
    assert len(set(keys)) == len(keys) == KEYS_PER_TENANT * len(tenants)


def test_a_tenant_is_laid_out_as_on_the_wire() -> None:
    item = Customers(Random(7)).tenants[0].item(7)
    assert set(item) == {"Name", "ApiKeys", "Rank", "RatePerS", "BurstSize", "ConfigVersion"}
    assert item["ConfigVersion"] == "r7" and isinstance(item["ApiKeys"], list)


def test_the_newest_version_of_a_tenant_is_the_one_that_keys_come_from() -> None:
    customers = Customers(Random(7))
    first, second = customers.tenants[2].keys
    assert customers.revoke(2).keys == (second,) and customers.key_of("tenant-3").credential == second
    assert customers.revoke(2).keys == () and not customers.key_of("tenant-3").credential
    added = customers.add_key(2).keys
    assert len(added) == 1 and added[0] not in (first, second)
    assert customers.lower_limit(2).rate_per_s < RATES_PER_S[2] < customers.raise_limit(2).rate_per_s
    assert customers.tenants[2].keys == added


def test_a_key_of_nobody_is_no_tenants_key() -> None:
    customers = Customers(Random(7))
    unknown = customers.unknown_key()
    assert not unknown.tenant and all(unknown.credential not in tenant.keys for tenant in customers.tenants)


def test_routes_of_shared_deployments_say_their_kind_and_whether_they_are_public() -> None:
    items = {route.name: route_item(route, 1, is_shared=True) for route in SHARED_WORK.routes}
    assert {name: item["RouteKind"] for name, item in items.items()} == {
        "shelf": "read_only",
        "reserve": "keyed_write",
        "fitment": "read_only",
        "feed": "read_only",
    }
    assert [name for name, item in items.items() if item["Public"]] == ["feed"]
    assert "Public" not in route_item(SHARED_WORK.routes[0], 1)


def test_operations_are_sent_again_after_any_failure_and_some_after_a_good_response() -> None:
    assert repeated(end=RequestEnd.CLOSED) == repeated(status=503) == repeated(status=409) == 100
    assert repeated(status=400) == repeated(status=401) == repeated(status=503, operation_key="") == 0
    assert 0 < repeated(status=200) < 2 * 100 * REPEATED_SHARE


def test_bounds_go_into_the_settings() -> None:
    drawn = {draw_bounds(Random(seed)).key_window_us // 1_000_000 for seed in range(20)}
    assert drawn == set(KEY_WINDOWS_S)
    assert "QuotaOver=0.1" in draw_bounds(Random(1)).settings()


def test_a_seal_names_its_attempt() -> None:
    assert sealed_attempt(seal("7-1")) == "7-1" and sealed_attempt(None) == sealed_attempt("other") == ""
