"""Each mechanism of the rules on tenants is needed: with one taken away, a test of its rule fails."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.mesh import test_tenant_calls as calls
from tests.mesh import test_tenant_directory as directory
from tests.mesh.test_tenant_calls import SECRET, tenant, tenants
from tests.planted_defects import PATCH, Plant, assert_is_found, broken

from . import defects_tenants as defects

DEFECTS = [
    broken(defects.the_schema_knows_no_tenants, calls.test_the_first_call_of_a_deployment_with_tenants_is_acknowledged),
    broken(
        defects.the_quick_check_takes_anything,
        calls.test_an_invalid_tenant_is_refused_and_its_keys_are_not_shown,
        {"RatePerS": -1},
        "0.RatePerS",
    ),
    broken(
        defects.keys_are_taken_by_nobody,
        calls.test_no_two_tenants_have_the_same_key,
        tenants(tenant("c", 1, SECRET)),
        "tenants a and c have the same key",
    ),
    broken(
        defects.tenants_of_one_call_are_not_compared,
        calls.test_a_call_with_overtaken_tenants_of_the_same_key_is_refused,
    ),
    broken(defects.a_read_leaves_tenants_out, calls.test_a_read_is_laid_out_as_the_first_call),
    broken(defects.a_repair_keeps_the_index_of_keys, calls.test_a_repaired_copy_knows_whose_the_keys_are),
    broken(defects.a_refusal_shows_the_key, calls.test_no_key_is_in_a_log_line_a_status_or_an_answer, PATCH),
    broken(
        defects.an_update_takes_keys_from_their_new_owner,
        directory.test_keys_that_go_round_end_with_their_new_owners_in_any_order,
        (0, 1, 2),
    ),
    broken(defects.revoked_keys_stay, directory.test_an_update_replaces_what_requests_see_of_a_tenant),
    broken(
        defects.the_last_tenant_that_comes_is_in_force, directory.test_an_update_replaces_what_requests_see_of_a_tenant
    ),
    broken(defects.a_rate_of_zero_is_a_limit, directory.test_a_tenant_is_read_with_its_defaults),
]


@pytest.mark.parametrize("defect, test, arguments", DEFECTS)
def test_a_planted_defect_is_found(
    defect: Plant, test: Callable[..., None], arguments: tuple[object, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_is_found(defect, test, arguments, monkeypatch)
