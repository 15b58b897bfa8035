"""Operations run once, whichever proxies their requests come to and whatever is lost between."""

from __future__ import annotations

import pytest

from lilacsill.mesh.operations import operation_table
from lilacsill.mesh.operations.claim_client import PendingClaim
from lilacsill.mesh.operations.operation_gate import OperationGate, OperationRun, Permission
from lilacsill.mesh.operations.operation_name import operation_name
from lilacsill.mesh.operations.operation_table import OperationRecord, OperationTable, RecordState, Refusal
from lilacsill.mesh.runtime.messages import ClaimReply, ClaimStatus, OperationQuery, OperationReply, OperationState
from lilacsill.mesh.runtime.records import OperationOwner, StoredResponse
from tests.planted_defects import Plant, assert_is_found, broken

from .world import HEAD, OTHER, PATIENCE_US, World

ONE, TWO = "10.1.0.1:7000", "10.1.0.2:7000"
RESPONSE = StoredResponse(200, [(b"Server-Seal", b"s")], b"body")


def may_run(permission: Permission | None) -> OperationRun:
    assert isinstance(permission, OperationRun)
    return permission


def test_tenant_and_key_make_the_name_without_ambiguity() -> None:
    assert operation_name("ab", b"c") != operation_name("a", b"bc")
    assert operation_name("", b"1:a") != operation_name("a", b"1:")
    assert len(operation_name("ä", b"k")) == 32


def test_a_repeat_at_any_proxy_gets_the_response_of_the_first_run() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    may_run(world.request(one)).answer(RESPONSE)
    assert world.request(one) == RESPONSE and world.request(two) == RESPONSE
    assert two.replays == 1 and not len(two.table)


def test_while_it_runs_a_repeat_is_in_progress_everywhere() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    may_run(world.request(one))
    assert world.request(one) is Refusal.IN_PROGRESS and world.request(two) is Refusal.IN_PROGRESS


def test_of_two_requests_at_two_proxies_at_once_one_runs() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    permissions: list[Permission] = []
    one.request("tenant", b"k", PATIENCE_US, permissions.append)
    two.request("tenant", b"k", PATIENCE_US, permissions.append)
    one.request("tenant", b"k", PATIENCE_US, permissions.append)
    world.run()
    assert sum(isinstance(permission, OperationRun) for permission in permissions) == 1
    assert permissions.count(Refusal.IN_PROGRESS) == 2


def test_what_may_have_run_never_runs_again() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    may_run(world.request(one)).record_unknown()
    assert world.request(one) is Refusal.UNKNOWN and world.request(two) is Refusal.UNKNOWN


def test_a_released_operation_runs_elsewhere_and_is_surrendered() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    may_run(world.request(one)).release()
    second = may_run(world.request(two))
    assert world.request(one) is Refusal.IN_PROGRESS  # its own claim was surrendered
    second.answer(RESPONSE)
    assert world.request(one) == RESPONSE


# An operation that nobody had run was answered with 502 for as long as its record lasted.
def test_a_claim_that_was_said_to_come_second_is_given_up_by_its_owner_where_it_came_first_after_all() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    stranger = OperationOwner(TWO, 9, 1)
    world.replies[HEAD] = ClaimReply(ClaimStatus.OWNED, stranger, 1, [HEAD, OTHER])  # it has lost its place
    assert world.request(one) is Refusal.UNKNOWN
    del world.replies[HEAD]
    name = operation_name("tenant", b"k")
    world.owners[name] = OperationOwner(ONE, 1, 1)  # the claim of the first proxy, as the next head holds it
    may_run(world.request(two)).answer(RESPONSE)
    assert world.request(one) == RESPONSE


def test_a_released_operation_runs_again_under_its_claim_without_a_question() -> None:
    world = World()
    one = world.proxy(ONE)
    may_run(world.request(one)).release()
    may_run(world.request(one))
    assert len(world.claims) == 1


def test_an_old_claim_is_replaced_before_the_operation_runs() -> None:
    world = World()
    one = world.proxy(ONE)
    may_run(world.request(one)).release()
    world.run(operation_table.CLAIM_REUSE_US)
    may_run(world.request(one))
    assert world.claims[-1].replaces == world.claims[0].owner != world.claims[-1].owner


def test_a_grant_that_comes_late_runs_nothing_once_the_claim_is_surrendered() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    permissions: list[Permission] = []
    world.reply_delay_us[HEAD] = 50_000
    pending = one.request("tenant", b"k", PATIENCE_US, permissions.append)
    assert pending is not None
    world.run(10_000)
    pending.cancel()  # its client has left
    world.reply_delay_us.clear()
    may_run(world.request(two, run_us=20_000))  # one was asked, and has surrendered
    world.run()
    assert not permissions
    assert world.request(one) is Refusal.IN_PROGRESS


def test_a_grant_that_comes_late_spares_the_next_request_its_question() -> None:
    world = World()
    one = world.proxy(ONE)
    world.reply_delay_us[HEAD] = 50_000
    permissions: list[Permission] = []
    pending = one.request("tenant", b"k", PATIENCE_US, permissions.append)
    assert pending is not None
    world.run(10_000)
    pending.cancel()
    world.run()
    may_run(world.request(one))
    assert len(world.claims) == 1 and not permissions


def test_a_proxy_that_was_restarted_knows_nothing_of_its_earlier_run() -> None:
    world = World()
    may_run(world.request(world.proxy(ONE, incarnation=1)))
    one, two = world.proxy(ONE, incarnation=2), world.proxy(TWO)
    assert world.request(two) is Refusal.UNKNOWN and world.request(one) is Refusal.UNKNOWN


def test_an_earlier_run_is_not_answered_for() -> None:
    world = World()
    one = world.proxy(ONE, incarnation=2)
    may_run(world.request(one)).release()
    earlier = world.claims[0].owner
    query = OperationQuery(world.claims[0].operation, type(earlier)(ONE, 1, earlier.claim))
    assert one.reply_to(query) == OperationReply(OperationState.UNKNOWN, None)


def test_an_owner_that_does_not_answer_leaves_it_open() -> None:
    world = World()
    one, two = world.proxy(ONE), world.proxy(TWO)
    may_run(world.request(one)).answer(RESPONSE)
    world.lost.add(ONE)
    assert world.request(two) is Refusal.UNAVAILABLE
    world.lost.clear()
    assert world.request(two) == RESPONSE


def test_the_head_is_found_through_another_member() -> None:
    world = World()
    one = world.proxy(ONE)
    one.claims.members.update_view(0, [OTHER, HEAD])
    may_run(world.request(one))
    assert one.claims.members.head() == HEAD


def test_without_any_member_the_decision_comes_with_the_end_of_the_patience() -> None:
    world = World()
    one = world.proxy(ONE)
    world.lost = {HEAD, OTHER}
    began_at = world.clock
    decided: list[tuple[Permission, int]] = []
    one.request("tenant", b"k", PATIENCE_US, lambda permission: decided.append((permission, world.clock)))
    world.run()
    (permission, decided_at), *_ = decided
    assert permission is Refusal.UNAVAILABLE
    assert PATIENCE_US <= decided_at - began_at <= PATIENCE_US + 1_000
    world.lost.clear()
    may_run(world.request(one))


def test_an_own_claim_that_is_not_committed_yet_is_asked_for_again() -> None:
    world = World()
    one = world.proxy(ONE)
    permissions: list[Permission] = []
    pending = one.request("tenant", b"k", PATIENCE_US, permissions.append)
    assert pending is not None
    (record,) = one.table._records.values()
    world.replies[HEAD] = world.replies[OTHER] = ClaimReply(ClaimStatus.OWNED, record.claim, 1, [HEAD, OTHER])
    world.run(20_000)
    assert not permissions
    world.replies.clear()
    world.run()
    may_run(permissions[0])


def test_a_head_that_takes_no_more_operations_refuses() -> None:
    world = World()
    world.replies = {HEAD: ClaimReply(ClaimStatus.FULL, None, 1, [HEAD]), OTHER: ClaimReply(3, None, 1, [HEAD])}
    assert world.request(world.proxy(ONE)) is Refusal.FULL


@pytest.mark.parametrize("state", [RecordState.ANSWERED, RecordState.RELEASED, RecordState.UNKNOWN])
def test_records_end_and_their_bytes_with_them(state: RecordState) -> None:
    world = World()
    one = world.proxy(ONE)
    run = may_run(world.request(one))
    if state is RecordState.ANSWERED:
        run.answer(RESPONSE)
        assert one.table.stored_bytes > 0
    elif state is RecordState.RELEASED:
        run.release()
    else:
        run.record_unknown()
    world.run(69_000_000)
    one.table.begin("other", world.clock)
    assert len(one.table) == 2
    world.run(2_000_000)
    one.table.begin("third", world.clock)
    assert len(one.table) == 2 and one.table.stored_bytes == 0


def test_a_running_operation_is_never_forgotten() -> None:
    world = World()
    one = world.proxy(ONE)
    may_run(world.request(one))
    world.run(200_000_000)
    assert world.request(one) is Refusal.IN_PROGRESS


def test_at_the_bounds_new_operations_are_refused_and_known_ones_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    one = world.proxy(ONE)
    may_run(world.request(one)).answer(RESPONSE)
    with monkeypatch.context() as patch:
        patch.setattr(operation_table, "MAX_RECORDS", 1)
        assert world.request(one, b"new") is Refusal.FULL and world.request(one) == RESPONSE
    with monkeypatch.context() as patch:
        patch.setattr(operation_table, "MAX_STORED_BYTES", operation_table.MAX_RESPONSE_BYTES)
        assert world.request(one, b"new") is Refusal.FULL and world.request(one) == RESPONSE


def test_a_response_that_is_too_long_leaves_the_outcome_unknown() -> None:
    world = World()
    one = world.proxy(ONE)
    too_long = StoredResponse(200, [], bytes(operation_table.MAX_RESPONSE_BYTES + 1))
    may_run(world.request(one)).answer(too_long)
    assert world.request(one) is Refusal.UNKNOWN and one.table.stored_bytes == 0


# Planted defects


def a_surrendered_claim_may_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperationRecord, "is_surrendered", property(lambda self: False, lambda self, value: None))


def a_grant_runs_whoever_waits(patch: pytest.MonkeyPatch) -> None:
    original = OperationGate.conclude

    def conclude(self: OperationGate, record: OperationRecord, decision: object) -> object:
        record.is_surrendered = False
        return original(self, record, decision)  # type: ignore[arg-type]

    patch.setattr(OperationGate, "conclude", conclude)
    a_surrendered_claim_may_run(patch)


def every_run_of_a_proxy_answers(patch: pytest.MonkeyPatch) -> None:
    original = OperationTable.reply_to

    def reply_to(self: OperationTable, query: OperationQuery, now: int) -> OperationReply:
        record = self._records.get(query.operation)
        return original(self, OperationQuery(query.operation, record.claim) if record else query, now)

    patch.setattr(OperationTable, "reply_to", reply_to)


def claims_are_used_for_ever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(operation_table, "CLAIM_REUSE_US", 1 << 60)


def unknown_outcomes_are_released(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperationTable, "record_unknown", OperationTable.release)


def nobody_is_in_progress(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperationRecord, "is_in_progress", False)


def a_lost_head_is_asked_for_ever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PendingClaim, "_on_undecided", lambda self, address: None)


DEFECTS = [
    broken(a_surrendered_claim_may_run, test_a_released_operation_runs_elsewhere_and_is_surrendered),
    broken(a_grant_runs_whoever_waits, test_a_grant_that_comes_late_runs_nothing_once_the_claim_is_surrendered),
    broken(every_run_of_a_proxy_answers, test_an_earlier_run_is_not_answered_for),
    broken(claims_are_used_for_ever, test_an_old_claim_is_replaced_before_the_operation_runs),
    broken(unknown_outcomes_are_released, test_what_may_have_run_never_runs_again),
    broken(nobody_is_in_progress, test_while_it_runs_a_repeat_is_in_progress_everywhere),
    broken(a_lost_head_is_asked_for_ever, test_the_head_is_found_through_another_member),
]


@pytest.mark.parametrize("defect, test, arguments", DEFECTS)
def test_a_planted_defect_is_found(
    defect: Plant, test: object, arguments: tuple[object, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_is_found(defect, test, arguments, monkeypatch)  # type: ignore[arg-type]
