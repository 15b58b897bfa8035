"""Planted defects of shared state as a whole: each takes one guard away, at a proxy or at a member of the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.operations import claim_client, operation_gate
from lilacsill.mesh.operations.claim_client import ClaimOutcome, PendingClaim
from lilacsill.mesh.operations.operation_name import operation_name
from lilacsill.mesh.operations.operation_table import OperationTable, RecordState
from lilacsill.mesh.proxy import request_head, request_permits, tenant_check
from lilacsill.mesh.proxy.request_permits import LocalResponse
from lilacsill.mesh.runtime.records import StoredResponse
from lilacsill.mesh.store.state import ConfigState
from lilacsill.mesh.tenants.directory import TenantDirectory
from lilacsill.mesh.tenants.tenant import Tenant
from lilacsill.mesh.virtual_soak import exchange
from tests.mesh import defects_operations as operations
from tests.mesh import test_quota_schedules as quotas
from tests.operations import test_schedules as proxies
from tests.rules import defects as rules

Patch = pytest.MonkeyPatch


# Keys


def a_key_that_was_taken_away_stays(patch: Patch) -> None:
    patch.setattr(TenantDirectory, "_release_keys", lambda self, name: None)


def unknown_keys_pass(patch: Patch) -> None:
    real = tenant_check.check_tenant

    def check(*arguments: Any) -> Any:
        tenant = real(*arguments)
        return tenant if isinstance(tenant, Tenant) else None

    patch.setattr(exchange, "check_tenant", check)


def keys_of_clients_are_passed_on(patch: Patch) -> None:
    patch.setattr(request_head, "REPLACED_HEADERS", request_head.REPLACED_HEADERS - {b"credential"})


def followers_do_not_see_tenants(patch: Patch) -> None:
    """A registry is never sent a new version of a tenant."""
    real = ConfigState.config_items_since

    def config_items_since(self: ConfigState, seq: int) -> Any:
        return [item for item in real(self, seq) if item.kind != "tenant" or not seq]

    patch.setattr(ConfigState, "config_items_since", config_items_since)


# Operations


def operations_ask_nobody(patch: Patch) -> None:
    """Each proxy runs what it has not run itself: the intent is never written."""
    real = PendingClaim.__init__

    def begin(self: PendingClaim, client: Any, claim: Any, patience_us: int, on_decision: Any) -> None:
        real(self, client, claim, patience_us, on_decision)
        client.on_granted(claim.operation, claim.owner)
        self._environment.call_soon(self._decide, ClaimOutcome.GRANTED)

    patch.setattr(PendingClaim, "__init__", begin)


def an_owner_that_does_not_answer_is_replaced(patch: Patch) -> None:
    real = PendingClaim._on_owner_reply

    def on_owner_reply(self: PendingClaim, owner: Any, reply: Any) -> None:
        if reply is None:
            self._claim = msgspec.structs.replace(self._claim, replaces=owner)
            self._send_claim()
        else:
            real(self, owner, reply)

    patch.setattr(PendingClaim, "_on_owner_reply", on_owner_reply)
    patch.setattr(claim_client, "QUERY_TIMEOUT_US", 40_000)  # so that patience is left for the claim


def operations_in_progress_run_again(patch: Patch) -> None:
    patch.setattr("lilacsill.mesh.operations.operation_table.IN_PROGRESS_STATES", (RecordState.CLAIMING,))


def responses_are_not_kept(patch: Patch) -> None:
    def answer(self: OperationTable, record: Any, response: StoredResponse, now: int) -> None:
        self.release(record, now)

    patch.setattr(OperationTable, "answer", answer)


def repeats_get_an_empty_body(patch: Patch) -> None:
    real = request_permits.replay

    def replay(response: StoredResponse, attempt_id: bytes) -> LocalResponse:
        return msgspec.structs.replace(real(response, attempt_id), body=b"")

    patch.setattr(request_permits, "replay", replay)


def repeats_get_the_attempt_of_the_first_run(patch: Patch) -> None:
    patch.setattr(
        request_permits,
        "replay",
        lambda response, attempt_id: LocalResponse(response.status, response.headers, response.body),
    )


def all_operations_of_a_tenant_are_one(patch: Patch) -> None:
    real = operation_name
    patch.setattr(operation_gate, "operation_name", lambda tenant, key: real(tenant, b""))


Plant = Callable[[Patch], None]

DEFECTS: list[Plant] = [
    a_key_that_was_taken_away_stays,
    unknown_keys_pass,
    keys_of_clients_are_passed_on,
    followers_do_not_see_tenants,
    rules.a_caller_may_say_who_it_is,
    rules.limited_tenants_ask_nobody,
    quotas.every_member_grants_for_every_tenant,
    quotas.a_bucket_has_no_capacity,
    quotas.denials_are_ignored,
    quotas.a_grant_is_given_out_twice,
    quotas.a_lowered_limit_is_not_noticed,
    quotas.a_bucket_is_charged_for_one_request_of_a_demand,
    operations_ask_nobody,
    an_owner_that_does_not_answer_is_replaced,
    operations_in_progress_run_again,
    responses_are_not_kept,
    repeats_get_an_empty_body,
    repeats_get_the_attempt_of_the_first_run,
    all_operations_of_a_tenant_are_one,
    operations.any_owner_is_replaced,
    operations.every_member_grants,
    proxies.unknown_is_released,
]
