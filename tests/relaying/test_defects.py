"""Each mechanism of relaying is needed: with one taken away, a test fails."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lilacsill.mesh.runtime.messages import ClaimReply
from tests.planted_defects import Plant, assert_is_found, broken

from . import defects
from . import test_relaying as tests
from .world import CLAIM

DEFECTS = [
    broken(
        defects.nothing_is_relayed,
        tests.test_a_core_machine_that_does_not_answer_is_asked_through_another_proxy,
        CLAIM,
        ClaimReply,
    ),
    broken(defects.an_unproven_way_gets_all_the_time, tests.test_an_unproven_way_takes_a_part_of_the_patience),
    broken(defects.each_way_is_unproven, tests.test_a_core_machine_that_has_just_answered_gets_all_the_time),
    broken(defects.what_was_sent_is_sent_again, tests.test_a_relayed_question_that_is_not_answered_is_not_sent_again),
    broken(
        defects.one_slow_answer_makes_unreachable,
        tests.test_a_slow_answer_among_others_does_not_make_a_core_machine_unreachable,
    ),
    broken(defects.the_direct_way_is_never_tried_again, tests.test_the_direct_way_is_taken_again_soon_after_it_works),
    broken(defects.each_question_probes, tests.test_an_unreachable_core_machine_is_probed_rarely_and_with_nothing),
    broken(
        defects.a_relay_tries_although_it_is_cut_off, tests.test_a_relay_that_is_cut_off_as_well_is_replaced_at_once
    ),
    broken(defects.no_relay_is_kept, tests.test_a_relay_that_has_worked_is_kept),
    broken(
        defects.relays_that_do_not_answer_are_asked_again,
        tests.test_a_relay_that_does_not_answer_is_passed_over_for_a_second_for_all_core_machines,
    ),
    broken(
        defects.relays_that_do_not_reach_it_are_asked_again,
        tests.test_a_relay_that_reaches_one_core_machine_alone_is_passed_over_for_the_other,
    ),
    broken(
        defects.a_relay_is_passed_over_for_all_core_machines,
        tests.test_a_relay_that_reaches_one_core_machine_alone_is_passed_over_for_the_other,
    ),
    broken(defects.all_proxies_are_tried, tests.test_a_lost_core_machine_costs_a_bounded_number_of_questions),
    broken(defects.all_proxies_are_candidates, tests.test_a_lost_core_machine_costs_a_bounded_number_of_questions),
    broken(defects.relays_wait_for_all_the_time, tests.test_a_relay_that_does_not_answer_costs_less_than_the_patience),
    broken(
        defects.a_relay_waits_as_long_as_the_one_that_asks_it, tests.test_a_relay_that_waits_in_vain_says_so_in_time
    ),
    broken(defects.any_address_is_asked, tests.test_a_relay_asks_core_machines_alone),
    broken(defects.any_number_is_in_flight, tests.test_a_relay_asks_a_bounded_number_of_questions_at_once),
    broken(defects.places_in_flight_are_not_given_back, tests.test_a_relay_asks_a_bounded_number_of_questions_at_once),
    broken(defects.all_proxies_choose_the_same_relay, tests.test_proxies_choose_different_relays),
    broken(defects.candidates_stay_as_they_were, tests.test_a_proxy_that_is_gone_is_no_relay),
]


@pytest.mark.parametrize("defect, test, arguments", DEFECTS)
def test_a_planted_defect_is_found(
    defect: Plant, test: Callable[..., None], arguments: tuple[object, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_is_found(defect, test, arguments, monkeypatch)
