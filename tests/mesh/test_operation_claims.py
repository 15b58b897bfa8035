"""An operation is granted to one owner, through losses within `Survive`, and planted defects are found."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import combinations

import pytest

from lilacsill.mesh.simulation.claim_day import drawn_claims
from lilacsill.mesh.store import claim_batch
from lilacsill.mesh.store.metrics import encode_metrics
from lilacsill.mesh.store.status import status_of

from . import defects_operations as defects
from . import operation_scenarios as scenarios

SAMPLE = 8  # days that are played outside the sweep, too
DAYS, AT_ONCE = 400, 20
Scenario = Callable[[], None]


def violations(seeds: Iterable[int]) -> list[str]:
    return [f"seed {seed}: {wrong}" for seed in seeds if (wrong := drawn_claims(seed).play())]


@pytest.mark.parametrize("pair", list(combinations(range(5), 2)), ids=str)
def test_a_grant_survives_the_loss_of_any_two_disks_with_power_lost_everywhere(pair: tuple[int, int]) -> None:
    scenarios.a_grant_survives_two_disks_and_all_power(*pair)


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.the_successor_of_a_lost_head_knows,
        scenarios.one_of_two_at_two_members_is_granted,
        scenarios.claims_of_one_batch_are_decided_in_turn,
        scenarios.a_claim_in_flight_at_a_view_change_is_unknown,
        scenarios.an_appended_claim_is_granted_when_it_is_repeated,
        scenarios.only_the_named_owner_is_replaced,
        scenarios.a_former_head_that_wakes_grants_nothing,
        scenarios.a_claim_waits_for_enough_copies,
        scenarios.records_are_kept_for_the_window_and_not_much_longer,
        scenarios.a_new_head_keeps_records_for_a_window_of_its_own,
        scenarios.a_head_that_keeps_its_place_keeps_its_time,
        scenarios.a_new_disk_is_filled_with_operations,
        scenarios.followers_do_not_see_operations,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_claims(scenario: Scenario) -> None:
    scenario()


def test_the_number_of_records_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claim_batch, "MAX_OPERATIONS", 2)
    scenarios.a_full_head_takes_no_more()


def test_some_days_with_claims_keep_the_rules() -> None:
    assert violations(range(DAYS, DAYS + SAMPLE)) == []


def test_operators_see_records_and_claims() -> None:
    scene = scenarios.ClaimScene(26)
    scene.claim(1)
    scene.claim(2)
    (tail,) = (store for store in scene.stores() if store.replica.is_tail)
    scene.send(scene.chain()[-1], 3)
    scene.run(1_000_000)
    status = status_of(scene.head())
    assert (status["operations"], status["operation_floor"], status["seq"] - status["config_seq"]) == (1, 0, 1)
    assert status["claims"] == {"granted": 1, "owned": 1, "unknown": 0, "full": 0, "replaced": 0}
    text = encode_metrics(tail, scene.time.now).decode()
    assert "lilacsill_operations 1.0" in text and 'lilacsill_claims_total{outcome="unknown"} 1.0' in text


@pytest.mark.sweep
@pytest.mark.parametrize("first", range(0, DAYS, AT_ONCE))
def test_days_with_claims_keep_the_rules(first: int) -> None:
    assert violations(range(first, first + AT_ONCE)) == []


@pytest.mark.parametrize(
    ("plant", "scenario"),
    [
        (defects.claims_are_granted_before_they_are_committed, scenarios.a_claim_in_flight_at_a_view_change_is_unknown),
        (defects.every_member_grants, scenarios.one_of_two_at_two_members_is_granted),
        (defects.copies_are_not_counted, scenarios.a_claim_waits_for_enough_copies),
        (defects.repeats_are_granted_without_a_majority, scenarios.a_former_head_that_wakes_grants_nothing),
        (defects.any_owner_is_replaced, scenarios.only_the_named_owner_is_replaced),
        (defects.no_owner_is_replaced, scenarios.only_the_named_owner_is_replaced),
        (defects.the_time_of_a_former_head_counts, scenarios.a_new_head_keeps_records_for_a_window_of_its_own),
        (defects.records_are_deleted_early, scenarios.records_are_kept_for_the_window_and_not_much_longer),
        (defects.records_are_never_deleted, scenarios.records_are_kept_for_the_window_and_not_much_longer),
        (defects.records_stay_on_disk, scenarios.records_are_kept_for_the_window_and_not_much_longer),
        (defects.each_view_begins_the_window_anew, scenarios.a_head_that_keeps_its_place_keeps_its_time),
        (defects.repairs_leave_operations_out, scenarios.a_new_disk_is_filled_with_operations),
        (defects.followers_are_woken_by_operations, scenarios.followers_do_not_see_operations),
        (defects.followers_get_operations, scenarios.followers_do_not_see_operations),
        (defects.the_first_claim_of_a_batch_is_not_seen, scenarios.claims_of_one_batch_are_decided_in_turn),
    ],
    ids=lambda planted: planted.__name__,
)
def test_a_planted_defect_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        scenario()


@pytest.mark.sweep
@pytest.mark.parametrize(
    "plant",
    [defects.claims_are_granted_before_they_are_committed, defects.every_member_grants, defects.any_owner_is_replaced],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_defect_is_found_by_days(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert any(drawn_claims(seed).play() for seed in range(1000, 1040))
