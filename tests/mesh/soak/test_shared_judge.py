"""What the judge finds of tenants, keys, quotas and operations among observations that are written by hand.

Each rule has a history that breaks it, and one beside it that just does not.
"""

from __future__ import annotations

from signal import Signals
from typing import Any

import pytest

from lilacsill.mesh.simulation.loopback_processes import ProcessKey, Program
from lilacsill.mesh.soak.observations import (
    BackendWork,
    ClientRequest,
    ItemChange,
    ItemKind,
    ProcessEnd,
    ProcessStart,
    Record,
    RequestEnd,
    SignalSent,
    WorkEnd,
)
from lilacsill.mesh.soak.shared_judge import SharedJudge
from lilacsill.mesh.soak.timing_bounds import TimingBounds
from lilacsill.mesh.soak.violations import Rule
from lilacsill.mesh.soak.workload import SHARED_WORK

S, MS = 1_000_000, 1_000
INGRESS, EGRESS = "127.3.2.1", "127.3.2.2"
CORES = ("127.3.1.1", "127.3.1.2", "127.3.1.3")
SENT_AT = 100 * S
ACKNOWLEDGED_AT = 50 * S  # of the first configuration
TENANT, KEY, REVOKED_KEY = "tenant-1", "key-1", "key-2"
BOUNDS = TimingBounds(key_window_us=60 * S)
WITHIN_US, STRETCH_US, WINDOW_US = BOUNDS.config_within_us, BOUNDS.stretch_us, BOUNDS.quota_window_us


def request(attempt_id: str = "a", **fields: Any) -> ClientRequest:
    values: dict[str, Any] = {
        "ip": INGRESS,
        "route": "shelf",
        "idempotent": True,
        "sent_at": SENT_AT,
        "deadline_at": fields.get("sent_at", SENT_AT) + 3 * S,
        "end": RequestEnd.ANSWERED,
        "ended_at": fields.get("sent_at", SENT_AT) + 100 * MS,
        "status": 200,
        "sealed_by": attempt_id,
        "is_sealed": True,
        "is_intact": True,
        "tenant": TENANT,
        "credential": KEY,
    }
    return ClientRequest(attempt_id, **{**values, **fields})


def write(attempt_id: str, **fields: Any) -> ClientRequest:
    return request(attempt_id, route="reserve", idempotent=False, operation_key="k", **fields)


def ran(attempt_id: str = "a", at: int = SENT_AT + 5 * MS, **fields: Any) -> BackendWork:
    values: dict[str, Any] = {"end": WorkEnd.ANSWERED, "ended_at": at + 50 * MS, "began_at": at, "customer": TENANT}
    return BackendWork(attempt_id, EGRESS, at, **{**values, **fields})


def tenant(
    version: int, keys: tuple[str, ...], acknowledged_at: int | None, rate: int = 0, name: str = TENANT
) -> ItemChange:
    item = {"Name": name, "ApiKeys": list(keys), "RatePerS": rate, "BurstSize": rate}
    sent_at = ACKNOWLEDGED_AT if acknowledged_at is None else acknowledged_at - 10 * MS
    return ItemChange(name, version, item, sent_at, acknowledged_at, ItemKind.TENANT)


OTHER = tenant(1, ("key-9",), ACKNOWLEDGED_AT, name="tenant-2")
FIRST = tenant(1, (KEY, REVOKED_KEY), ACKNOWLEDGED_AT)
STARTS = [ProcessStart(ProcessKey(Program.STORE, ip), 0) for ip in CORES]


def broken(
    requests: list[ClientRequest],
    works: list[BackendWork],
    changes: tuple[ItemChange, ...] = (FIRST,),
    **observed: Any,
) -> list[Rule]:
    record = Record(requests=requests, changes=list(changes), **{"starts": STARTS, **observed})
    for work in works:
        record.work.setdefault(work.attempt_id, []).append(work)
    return [violation.rule for violation in SharedJudge(record, SHARED_WORK, BOUNDS).violations()]


def outage(ip: str, program: Program, begin: int, end: int) -> dict[str, Any]:
    """Return the observations of a kill and the next start."""
    key = ProcessKey(program, ip)
    return {
        "signals": [SignalSent(key, Signals.SIGKILL, begin)],
        "ends": [ProcessEnd(key, -9, begin, begin, True)],
        "starts": [*STARTS, ProcessStart(key, end)],
    }


# Operations


@pytest.mark.parametrize(
    ("second_began_at", "rules"),
    [
        pytest.param(SENT_AT + 60 * S - 1, [Rule.TWICE_BY_OPERATION], id="within the window"),
        pytest.param(SENT_AT + 60 * S, [], id="after the window"),
    ],
)
def test_two_runs_of_one_operation_are_found(second_began_at: int, rules: list[Rule]) -> None:
    second = write("b", sent_at=second_began_at - MS, end=RequestEnd.CLOSED, status=0)
    works = [ran("a"), ran("b", second_began_at)]
    assert broken([write("a"), second], works) == rules


def test_no_fault_excuses_a_second_run() -> None:
    second = write("b", status=502, sealed_by="", sent_at=SENT_AT + S)
    works = [ran("a", end=WorkEnd.DROPPED), ran("b", SENT_AT + S)]
    killed = outage(INGRESS, Program.PROXY, SENT_AT + MS, SENT_AT + S // 2)
    assert broken([write("a", end=RequestEnd.CLOSED, status=0), second], works, **killed) == [Rule.TWICE_BY_OPERATION]


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(write("b", sealed_by="a", sent_at=SENT_AT + S), id="a repeat"),
        pytest.param(request("b", route="reserve", operation_key="other"), id="another operation"),
        pytest.param(write("b", tenant="tenant-2", credential="key-9"), id="the same key of another tenant"),
    ],
)
def test_other_operations_and_repeats_that_do_not_run_are_no_second_run(second: ClientRequest) -> None:
    works = [ran("a")] if second.sealed_by == "a" else [ran("a"), ran("b", customer=second.tenant)]
    assert broken([write("a"), second], works, (FIRST, OTHER)) == []


def test_a_request_that_waited_and_never_began_is_no_run() -> None:
    waited = ran("b", end=WorkEnd.DROPPED, began_at=None)
    assert broken([write("a"), write("b", end=RequestEnd.CLOSED, status=0)], [ran("a"), waited]) == []


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"sealed_by": "b"}, id="a seal of its own, without a run"),
        pytest.param({"sealed_by": ""}, id="no seal"),
        pytest.param({"sealed_by": "a", "is_intact": False}, id="another body"),
        pytest.param({"sealed_by": "a", "is_own": False}, id="the first request's id"),
    ],
)
def test_a_repeat_with_another_response_is_found(fields: dict[str, Any]) -> None:
    repeat = write("b", sent_at=SENT_AT + S, **fields)
    assert broken([write("a"), repeat], [ran("a")]) == [Rule.MIXED_REPEAT]


def test_a_success_for_a_first_run_that_broke_off_is_found() -> None:
    first = write("a", end=RequestEnd.CLOSED, status=0)
    repeat = write("b", sealed_by="a", sent_at=SENT_AT + S)
    assert broken([first, repeat], [ran("a", end=WorkEnd.DROPPED)]) == [Rule.MIXED_REPEAT]


# Tenants and their keys


@pytest.mark.parametrize(
    ("sent", "work", "rules"),
    [
        pytest.param(request(), ran(), [], id="the tenant of the key"),
        pytest.param(request(), ran(customer="tenant-2"), [Rule.UNASKED_CUSTOMER], id="another tenant"),
        pytest.param(request(), ran(customer=None), [Rule.UNASKED_CUSTOMER], id="no tenant"),
        pytest.param(request(), ran(has_credential=True), [Rule.UNASKED_KEY], id="the key was passed on"),
        pytest.param(request(), ran("z"), [Rule.UNASKED], id="a request of nobody"),
        pytest.param(request(credential="key-9"), ran(), [Rule.ROUTE_KEY], id="a key of nobody"),
        pytest.param(request(credential="key-9"), ran(began_at=None, end=WorkEnd.REFUSED), [], id="it did not run"),
        pytest.param(request(route="feed", tenant="", credential=""), ran(customer=None), [], id="public"),
        pytest.param(request(route="feed", tenant="", credential=""), ran(), [Rule.UNASKED_CUSTOMER], id="forged"),
        pytest.param(request(tenant="", credential=""), ran(customer=None), [Rule.ROUTE_KEY], id="no key"),
    ],
)
def test_runs_for_the_wrong_tenant_are_found(sent: ClientRequest, work: BackendWork, rules: list[Rule]) -> None:
    assert broken([sent], [work]) == rules


def revoked(sent_after_us: int, *later: ItemChange, ip: str = INGRESS, **observed: Any) -> list[Rule]:
    """Return what a run breaks whose key was taken away so long before it was sent."""
    revocation = tenant(2, (KEY,), SENT_AT)
    sent_at = SENT_AT + sent_after_us
    sent = request(credential=REVOKED_KEY, sent_at=sent_at, ip=ip)
    return broken([sent], [ran(at=sent_at + MS)], (FIRST, revocation, *later), **observed)


def test_a_run_with_a_key_that_was_taken_away_is_found() -> None:
    assert revoked(WITHIN_US + 1) == [Rule.CONFIG_REVOKED]
    assert revoked(WITHIN_US) == []


def test_a_version_that_may_be_in_force_allows_its_keys() -> None:
    assert revoked(WITHIN_US + S, tenant(3, (REVOKED_KEY,), None)) == []
    assert revoked(WITHIN_US + S, tenant(3, (KEY,), None)) == [Rule.CONFIG_REVOKED]


@pytest.mark.parametrize("ip", [INGRESS, EGRESS])
def test_a_machine_out_of_touch_may_run_with_a_key_that_was_taken_away(ip: str) -> None:
    sent_after_us = WITHIN_US + BOUNDS.in_touch_us + S
    recent = outage(ip, Program.PROXY, SENT_AT + WITHIN_US, SENT_AT + WITHIN_US + S + MS)
    assert revoked(sent_after_us, **recent) == []
    earlier = outage(ip, Program.PROXY, SENT_AT, SENT_AT + WITHIN_US + S - 1)
    assert revoked(sent_after_us, **earlier) == [Rule.CONFIG_REVOKED]


def test_an_unstable_core_stretches_the_time_until_a_key_ends() -> None:
    restarted = outage(CORES[0], Program.STORE, SENT_AT + WITHIN_US + STRETCH_US - S, SENT_AT + WITHIN_US + STRETCH_US)
    assert revoked(WITHIN_US + STRETCH_US, **restarted) == []
    assert revoked(WITHIN_US + STRETCH_US + 1, **restarted) == [Rule.CONFIG_REVOKED]


def rejected(changes: tuple[ItemChange, ...], sent_at: int = SENT_AT, **fields: Any) -> list[Rule]:
    sent = request(status=401, sealed_by="", is_sealed=False, sent_at=sent_at, **fields)
    return broken([sent], [], changes)


def test_a_key_that_all_versions_in_force_have_must_not_be_rejected() -> None:
    assert rejected((FIRST,)) == [Rule.CONFIG_DENIED]
    assert rejected((FIRST, tenant(2, (), None))) == []
    assert rejected((FIRST,), credential="key-9") == []
    assert rejected((FIRST,), sent_at=ACKNOWLEDGED_AT + WITHIN_US) == []
    assert rejected((FIRST, tenant(2, (KEY, "key-3"), SENT_AT)), SENT_AT + S, credential="key-3") == []


@pytest.mark.parametrize(
    ("status", "count", "rules"),
    [
        pytest.param(404, 5, [], id="as many as allowed"),
        pytest.param(404, 6, [Rule.DENIED], id="too many"),
        pytest.param(429, 6, [], id="rejected for now"),
        pytest.param(503, 6, [], id="no answer of the kind"),
    ],
)
def test_too_many_rejected_requests_are_found(status: int, count: int, rules: list[Rule]) -> None:
    sent = [request(str(n), status=status, sealed_by="") for n in range(count)]
    assert broken(sent, []) == rules


def test_machines_out_of_touch_may_reject_ten_requests() -> None:
    killed = outage(INGRESS, Program.PROXY, SENT_AT - 2 * S, SENT_AT - S)
    sent = [request(str(n), status=401, sealed_by="") for n in range(11)]
    assert broken(sent[:10], [], **killed) == []
    assert broken(sent, [], **killed) == [Rule.DENIED]


def test_a_conflict_is_allowed_while_the_operation_is_in_work() -> None:
    conflicts = [write(str(n), status=409, sealed_by="", sent_at=SENT_AT + n * S) for n in range(6)]
    first = write("a", sent_at=SENT_AT, ended_at=SENT_AT + 5 * S + MS)
    assert broken([first, *conflicts], [ran("a")]) == []
    assert broken(conflicts, []) == [Rule.DENIED]


# Quotas

RATE = 10
ALLOWED = 86  # (10 x 5 + 10) x 1.1 + 20


def load(count: int, sent_at: int = SENT_AT, duration_us: int = WINDOW_US) -> list[ClientRequest]:
    """Return so many requests that are sent evenly, the last one at the end of the span."""
    gap_us = duration_us / (count - 1)
    return [request(f"{sent_at}-{n}", sent_at=sent_at + int(n * gap_us)) for n in range(count)]


def quota_broken(requests: list[ClientRequest], *changes: ItemChange, delay_us: int = 0, **observed: Any) -> list[Rule]:
    works = [ran(sent.attempt_id, sent.sent_at + delay_us) for sent in requests]
    first = tenant(1, (KEY,), ACKNOWLEDGED_AT, RATE)
    return broken(requests, works, (first, *changes), **observed)


def test_more_requests_in_a_window_than_the_limit_are_found() -> None:
    assert quota_broken(load(ALLOWED)) == []
    assert quota_broken(load(ALLOWED + 1)) == [Rule.QUOTA]


def test_requests_count_only_if_they_ran_inside_the_window() -> None:
    assert quota_broken(load(ALLOWED + 1, duration_us=WINDOW_US + 1)) == []
    assert quota_broken(load(ALLOWED + 1), delay_us=1) == []
    requests = load(ALLOWED + 1)
    rejected_request = request(requests[-1].attempt_id, sent_at=requests[-1].sent_at, status=429, sealed_by="")
    works = [ran(sent.attempt_id, sent.sent_at) for sent in requests[:-1]]
    assert broken([*requests[:-1], rejected_request], works, (tenant(1, (KEY,), ACKNOWLEDGED_AT, RATE),)) == []


def test_a_tenant_without_a_rate_has_no_limit() -> None:
    requests = load(500)
    assert broken(requests, [ran(sent.attempt_id, sent.sent_at) for sent in requests]) == []


LOWERED = tenant(2, (KEY,), SENT_AT, RATE // 2)  # (5 x 5 + 5) x 1.1 + 20 = 53
LOWERED_ALLOWED = 53


def test_a_lower_limit_binds_the_windows_that_begin_after_it_was_due() -> None:
    due_at = SENT_AT + WITHIN_US
    assert quota_broken(load(LOWERED_ALLOWED + 1, due_at), LOWERED) == [Rule.QUOTA]
    assert quota_broken(load(LOWERED_ALLOWED, due_at), LOWERED) == []
    assert quota_broken(load(LOWERED_ALLOWED + 1, due_at - MS), LOWERED) == []


def test_a_lower_limit_binds_once_every_proxy_has_been_in_touch() -> None:
    restarted_at = SENT_AT + 10 * S
    in_touch_at = restarted_at + BOUNDS.in_touch_us + 1
    absent = outage(INGRESS, Program.PROXY, SENT_AT - S, restarted_at)
    assert quota_broken(load(LOWERED_ALLOWED + 1, in_touch_at - MS), LOWERED, **absent) == []
    assert quota_broken(load(LOWERED_ALLOWED + 1, in_touch_at), LOWERED, **absent) == [Rule.QUOTA]


def test_a_limit_that_may_have_been_raised_counts() -> None:
    raised = tenant(2, (KEY,), None, 2 * RATE)
    assert quota_broken(load(ALLOWED + 1), raised) == []
