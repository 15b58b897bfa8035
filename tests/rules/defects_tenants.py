"""Planted defects of the rules on tenants: each takes one mechanism away."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.store import calls, state
from lilacsill.mesh.store.call_form import SchemaProblem
from lilacsill.mesh.store.call_schema import CALL_SCHEMA
from lilacsill.mesh.store.rejections import KeyTaken, Rejection
from lilacsill.mesh.store.state import ConfigState
from lilacsill.mesh.tenants import tenant
from lilacsill.mesh.tenants.directory import TenantDirectory

Patch = pytest.MonkeyPatch


def the_schema_knows_no_tenants(patch: Patch) -> None:
    replaced: Any = CALL_SCHEMA["ReplaceItems"]["schema"]
    patch.delitem(replaced, "Customers")
    patch.setattr(calls, "_validator", None)
    patch.setattr(calls, "schema_problem", lambda document: SchemaProblem("$", "unknown field"))


def the_quick_check_takes_anything(patch: Patch) -> None:
    patch.setattr(calls, "schema_problem", lambda document: None)


def keys_are_taken_by_nobody(patch: Patch) -> None:
    patch.setattr(ConfigState, "key_owner", lambda self, key: None)


def tenants_of_one_call_are_not_compared(patch: Patch) -> None:
    def add_tenant(self: calls._Owners, change: calls.Change) -> Rejection | None:
        return None

    patch.setattr(calls._Owners, "_add_tenant", add_tenant)


def a_read_leaves_tenants_out(patch: Patch) -> None:
    patch.setattr(state, "TENANT", "nothing")


def a_repair_keeps_the_index_of_keys(patch: Patch) -> None:
    def replace_ranges(self: ConfigState, ranges: Iterable[int], items: Iterable[Item], seq: int | None) -> None:
        index = self._key_index
        real(self, ranges, items, seq)
        self._key_index = index

    real = ConfigState.replace_ranges
    patch.setattr(ConfigState, "replace_ranges", replace_ranges)


def a_refusal_shows_the_key(patch: Patch) -> None:
    def add_tenant(self: calls._Owners, change: calls.Change) -> Rejection | None:
        return KeyTaken(change.body["ApiKeys"][0], change.name)

    patch.setattr(calls._Owners, "_add_tenant", add_tenant)


def an_update_takes_keys_from_their_new_owner(patch: Patch) -> None:
    def release_keys(self: TenantDirectory, name: str) -> None:
        for key in self._keys.pop(name, ()):
            self._owners.pop(key, None)

    patch.setattr(TenantDirectory, "_release_keys", release_keys)


def revoked_keys_stay(patch: Patch) -> None:
    patch.setattr(TenantDirectory, "_release_keys", lambda self, name: None)


def the_last_tenant_that_comes_is_in_force(patch: Patch) -> None:
    def apply(self: ActiveConfig, items: list[Item], seq: int) -> None:
        for item in items:
            self.tenants.apply(item)

    patch.setattr(ActiveConfig, "apply", apply)


def a_rate_of_zero_is_a_limit(patch: Patch) -> None:
    patch.setattr(tenant.Tenant, "is_limited", property(lambda self: True))
