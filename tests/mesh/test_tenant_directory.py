"""Tenants in a proxy: whose a key is, whatever the order in which items come."""

from __future__ import annotations

from itertools import permutations
from random import Random
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.tenants.directory import TenantDirectory
from lilacsill.mesh.tenants.tenant import TENANT, Tenant, parse_tenant

from .stage import Stage

SECRET = "qf75rjvz48wuakn2ftim"
STEPS, NAMES, KEYS = 400, "abcde", [f"k{number}" for number in range(12)]


def item(name: str, version: int, keys: list[str] | None, **fields: Any) -> Item:
    """A tenant's item; without keys, its tombstone."""
    body = None if keys is None else msgspec.json.encode({"Name": name, "ApiKeys": keys, **fields})
    return Item(TENANT, name, version, version, body)


def owners(directory: TenantDirectory, keys: list[str]) -> dict[str, str]:
    found = {key: directory.find_by_key(key.encode()) for key in keys}
    return {key: tenant.name for key, tenant in found.items() if tenant is not None}


def test_a_tenant_is_read_with_its_defaults() -> None:
    assert parse_tenant(item("a", 1, ["k"])) == Tenant("a", rank=1, rate_per_s=0.0, burst=0.0)
    read = parse_tenant(item("a", 1, ["k"], Rank=0, RatePerS=2.5, BurstSize=7, Other=[1]))
    assert read == Tenant("a", rank=0, rate_per_s=2.5, burst=7.0)
    assert read.is_limited and not parse_tenant(item("a", 1, [], RatePerS=0, BurstSize=9)).is_limited


def test_a_tenant_shows_no_key() -> None:
    directory = TenantDirectory()
    directory.apply(item("a", 1, [SECRET]))
    assert SECRET not in repr(directory.find_by_key(SECRET.encode())) + repr(directory) + str(vars(Tenant))


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_keys_that_go_round_end_with_their_new_owners_in_any_order(order: tuple[int, ...]) -> None:
    directory = TenantDirectory()
    for name, key in zip("abc", ["k1", "k2", "k3"], strict=True):
        directory.apply(item(name, 1, [key]))
    update = [item("a", 2, ["k2"]), item("b", 2, ["k3"]), item("c", 2, ["k1"])]
    for position in order:
        directory.apply(update[position])
    assert owners(directory, ["k1", "k2", "k3"]) == {"k2": "a", "k3": "b", "k1": "c"}


@pytest.mark.parametrize("order", list(permutations(range(2))))
def test_a_key_of_a_removed_tenant_ends_with_its_new_owner_in_any_order(order: tuple[int, ...]) -> None:
    directory = TenantDirectory()
    directory.apply(item("a", 1, ["k1", "k2"]))
    update = [item("a", 2, None), item("b", 1, ["k1"])]
    for position in order:
        directory.apply(update[position])
    assert owners(directory, ["k1", "k2"]) == {"k1": "b"} and len(directory) == 1


@pytest.mark.parametrize("seed", range(20))
def test_random_updates_leave_each_key_with_its_owner(seed: int) -> None:
    rng = Random(seed)
    directory, expected = TenantDirectory(), dict[str, str]()
    for version in range(1, STEPS):
        changed = rng.sample(NAMES, rng.randint(1, 3))
        free = [key for key in KEYS if expected.get(key) in (None, *changed)]
        rng.shuffle(free)
        given = {name: [free.pop() for _ in range(min(len(free), rng.randint(0, 4)))] for name in changed}
        removed = {name for name in changed if rng.random() < 0.2}
        expected = {key: name for key, name in expected.items() if name not in changed}
        expected |= {key: name for name in changed if name not in removed for key in given[name]}
        for name in changed:
            directory.apply(item(name, version, None if name in removed else given[name]))
        assert owners(directory, KEYS) == expected


def test_an_update_replaces_what_requests_see_of_a_tenant() -> None:
    config = ActiveConfig()
    assert not config.has_tenants
    config.apply([item("a", 3, [SECRET], RatePerS=5)], 3)
    config.apply([item("a", 2, ["other"], RatePerS=9)], 4)  # older
    tenant = config.tenants.find_by_key(SECRET.encode())
    assert config.has_tenants and tenant is not None and tenant.rate_per_s == 5
    config.apply([item("a", 5, [SECRET], RatePerS=1)], 5)
    tenant = config.tenants.find_by_key(SECRET.encode())
    assert tenant is not None and tenant.rate_per_s == 1
    config.apply([item("a", 6, [])], 6)
    assert config.has_tenants and config.tenants.find_by_key(SECRET.encode()) is None
    config.apply([item("a", 7, None)], 7)
    assert not config.has_tenants


@pytest.mark.parametrize(("kind", "is_keyed"), [("read_only", False), ("writes", False), ("keyed_write", True)])
def test_a_route_knows_whether_it_is_public_and_keyed(kind: str, is_keyed: bool) -> None:
    config = ActiveConfig()
    config.apply([Stage.route("closed", kind, 1)], 1)
    config.apply([Item("route", "open", 2, 2, public(Stage.route("open", kind, 2)))], 2)
    closed, opened = config.match(b"h.example", b"/closed/a"), config.match(b"h.example", b"/open/a")
    assert closed is not None and opened is not None
    assert (closed.is_public, opened.is_public) == (False, True)
    assert closed.is_keyed is is_keyed and closed.is_idempotent is (kind == "read_only")


def public(route: Item) -> bytes:
    assert route.body is not None
    body = msgspec.json.decode(route.body)
    body["Rule"]["Public"] = True
    return msgspec.json.encode(body)
