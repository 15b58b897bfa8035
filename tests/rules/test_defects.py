"""Each mechanism of the rules is needed: with one taken away, a test of its rule fails."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.mesh import test_chain, test_malformed_response_heads, test_poll_server
from tests.mesh.proxy import test_admission, test_graceful_shutdown, test_retry_budget
from tests.mesh.proxy import test_answers_for_a_backend_at_work as test_answers
from tests.planted_defects import PATCH, Plant, assert_is_found, broken

from . import (
    defects,
    test_budget,
    test_config,
    test_denied,
    test_drain,
    test_gone,
    test_keys,
    test_lost,
    test_mixed,
    test_quota_waits,
    test_shares,
    test_starved,
    test_twice,
    test_unasked,
)

DEFECTS = [
    broken(defects.a_caller_may_say_who_it_is, test_unasked.test_the_name_of_the_caller_is_that_of_the_machine),
    broken(
        defects.a_connection_with_the_rest_of_a_body_due_is_used_again,
        test_unasked.test_after_an_early_answer_nothing_goes_where_the_rest_of_the_body_is_due,
    ),
    broken(
        defects.any_key_is_a_tenants,
        test_keys.test_a_key_that_no_tenant_has_is_refused_where_the_configuration_is_current,
        "unknown",
    ),
    broken(
        defects.keys_are_checked_when_their_connection_begins,
        test_keys.test_a_key_that_was_taken_away_ends_with_the_next_request_of_an_open_connection,
    ),
    broken(defects.tenants_are_taken_as_complete, test_keys.test_tenants_that_have_not_come_yet_are_waited_for),
    broken(
        defects.a_caller_may_say_who_it_is,
        test_keys.test_a_backend_sees_the_tenant_and_not_the_key_also_on_a_retry,
    ),
    broken(
        defects.limited_tenants_ask_nobody,
        test_quota_waits.test_a_request_with_a_token_runs_and_one_beyond_the_quota_gets_429,
    ),
    broken(
        defects.requests_wait_for_permits_as_long_as_their_clients,
        test_quota_waits.test_without_a_decision_the_refusal_is_not_late,
    ),
    broken(
        defects.a_token_that_is_waited_for_is_taken_though_the_client_left,
        test_quota_waits.test_a_client_that_leaves_while_its_request_waits_runs_nothing,
    ),
    broken(
        defects.operations_are_not_claimed,
        test_twice.test_of_the_same_operation_at_two_proxies_at_once_one_runs_and_the_other_is_in_progress,
    ),
    broken(
        defects.a_client_that_leaves_ends_its_operation,
        test_twice.test_a_client_that_leaves_and_repeats_gets_the_response_of_its_first_request,
    ),
    broken(
        defects.repeats_keep_the_first_attempt_id,
        test_twice.test_a_repeat_at_another_proxy_gets_the_first_response_under_its_own_attempt_id,
    ),
    broken(
        defects.what_may_have_run_is_released,
        test_twice.test_what_may_have_run_without_a_response_runs_at_no_other_backend_and_no_other_proxy,
        "closes",
    ),
    broken(
        defects.a_leaving_proxy_says_that_it_is_ready,
        test_graceful_shutdown.test_a_proxy_is_not_ready_from_sigterm_on,
        PATCH,
    ),
    broken(
        defects.a_leaving_proxy_keeps_its_connections,
        test_graceful_shutdown.test_a_late_request_is_refused_at_once_and_reaches_no_backend,
        PATCH,
    ),
    broken(
        defects.connects_of_cancelled_offers_go_on,
        test_gone.test_an_offer_that_is_cancelled_before_its_link_is_open_is_never_made,
    ),
    broken(
        defects.every_attempt_draws_its_part,
        test_shares.test_retries_and_rejections_stay_in_the_part_of_their_request,
    ),
    broken(
        defects.registries_reply_when_the_wait_is_over,
        test_poll_server.test_a_proxy_that_lacks_changes_gets_them_at_once,
        test_poll_server.Registry(),
    ),
    broken(
        defects.requests_wait_whatever_their_target,
        test_admission.test_a_request_that_would_wait_too_long_is_rejected_at_once,
    ),
    broken(
        defects.nobody_is_suspected,
        test_chain.test_a_lost_member_delays_a_call_by_less_than_a_third_of_the_bound,
        2,
    ),
    broken(
        defects.late_requests_are_taken,
        test_graceful_shutdown.test_a_late_request_is_refused_at_once_and_reaches_no_backend,
        PATCH,
    ),
    broken(
        defects.a_suspected_read_is_given_up,
        test_answers.test_reads_at_a_silent_backend_are_waited_for_where_no_retry_is_left,
        PATCH,
    ),
    broken(
        defects.a_connection_closes_behind_a_head_that_did_not_say_so,
        test_answers.test_a_connection_whose_last_head_was_sent_before_the_shutdown_serves_one_more_request,
    ),
    broken(
        defects.a_leaving_proxy_forgets_unsent_bytes,
        test_answers.test_a_leaving_proxy_stays_until_its_clients_have_their_responses,
        PATCH,
    ),
    broken(
        defects.a_backend_that_drains_takes_requests,
        test_drain.test_a_backend_that_drains_is_not_reached_by_proxies_that_have_not_heard_of_it,
    ),
    broken(
        defects.whoever_is_at_an_address_takes_requests,
        test_drain.test_a_request_for_an_earlier_backend_does_not_reach_the_one_at_its_address,
    ),
    broken(
        defects.the_budget_is_never_spent,
        test_retry_budget.test_retries_of_all_proxies_together_stay_in_the_bound,
        5,
    ),
    broken(defects.any_answer_is_the_answer, test_mixed.test_an_answer_to_another_request_is_given_to_nobody),
    broken(defects.answers_need_no_seal, test_mixed.test_an_answer_without_a_seal_is_no_success),
    broken(
        defects.any_three_digits_are_a_status,
        test_malformed_response_heads.test_a_write_that_is_answered_with_an_invalid_status_fails,
        b"000",
        b"",
    ),
    broken(
        defects.the_end_of_a_client_cancels_nothing,
        test_gone.test_a_request_at_its_backend_ends_with_its_connection_there,
        "GET",
        "/reads/a",
    ),
    broken(
        defects.a_cancelled_exchange_keeps_its_link,
        test_gone.test_a_request_in_the_queue_of_the_backends_proxy_never_runs,
    ),
    broken(
        defects.the_end_of_a_link_cancels_nothing_at_the_backend,
        test_gone.test_a_request_at_its_backend_ends_with_its_connection_there,
        "POST",
        "/writes/a",
    ),
    broken(
        defects.a_cancelled_request_stays_in_the_queue,
        test_gone.test_a_request_in_the_queue_of_the_backends_proxy_never_runs,
    ),
    broken(
        defects.a_connection_with_many_requests_is_not_read,
        test_gone.test_requests_behind_others_on_the_connection_never_run,
    ),
    broken(defects.a_cancelled_request_is_tried_again, test_gone.test_a_client_that_has_left_gets_no_retry),
    broken(
        defects.the_break_off_comes_at_a_fixed_time,
        test_lost.test_the_break_off_comes_in_the_last_sixth_of_the_grace_period,
        2,
    ),
    broken(
        defects.connections_are_idle_while_a_request_is_in_flight,
        test_denied.test_a_connection_with_a_request_in_flight_is_not_idle_however_long_it_takes,
    ),
    broken(defects.services_are_drawn_independently, test_shares.test_each_part_gets_its_share, 8, (50.0, 50.0)),
    broken(defects.all_proxies_begin_with_the_same_part, test_shares.test_each_part_gets_its_share, 64, (50.0, 50.0)),
    broken(
        defects.a_replaced_backend_never_returns,
        test_drain.test_a_late_heartbeat_of_an_earlier_backend_ends_the_present_one_for_a_short_time_only,
    ),
    broken(
        defects.any_heartbeat_takes_the_place,
        test_drain.test_late_heartbeats_among_those_of_the_present_backend_change_nothing,
    ),
    broken(
        defects.heartbeats_that_were_overtaken_count,
        test_drain.test_a_heartbeat_that_was_overtaken_does_not_count_for_a_return,
    ),
    broken(
        defects.a_backend_that_has_ended_may_return,
        test_drain.test_a_backend_that_ended_without_a_drain_does_not_come_back_with_a_late_heartbeat,
    ),
    broken(
        defects.a_health_check_counts_for_ever,
        test_drain.test_a_health_check_that_no_heartbeat_follows_counts_for_a_short_time,
    ),
    broken(
        defects.heads_have_a_limit_of_our_own,
        test_denied.test_a_head_may_be_as_long_as_the_configuration_says,
        65_536,
        200,
    ),
    broken(
        defects.a_connection_keeps_its_first_limits,
        test_denied.test_a_raised_limit_reaches_a_connection_that_is_kept,
        *test_denied.RAISED_BODY_LIMIT,
    ),
    broken(
        defects.lowered_limits_end_a_request_that_is_arriving,
        test_denied.test_a_request_that_is_arriving_when_the_limit_changes_has_the_higher_one,
        test_denied.HIGH,
        test_denied.LOW,
    ),
    broken(
        defects.raised_limits_wait_for_the_next_request,
        test_denied.test_a_request_that_is_arriving_when_the_limit_changes_has_the_higher_one,
        test_denied.LOW,
        test_denied.HIGH,
    ),
    broken(
        defects.every_attempt_has_all_of_the_time,
        test_budget.test_each_attempt_is_handed_what_is_left_of_the_clients_time,
        "GET",
        "/reads/a",
    ),
    broken(
        defects.the_last_item_that_comes_is_in_force, test_config.test_an_item_never_goes_back_in_one_run_of_a_proxy
    ),
    broken(
        defects.a_proof_counts_for_a_moment,
        test_config.test_proxies_stay_ready_while_a_member_of_the_store_is_lost,
        "tail",
        PATCH,
    ),
    broken(
        defects.no_route_is_starved,
        test_starved.test_no_kind_is_starved_by_the_others,
        test_starved.KINDS["urgent and idle"],
        2.0,
    ),
    broken(
        defects.a_reset_ends_an_answer_as_a_close_does,
        test_mixed.test_an_answer_without_a_length_that_is_reset_is_no_success,
    ),
    broken(
        defects.answers_without_a_length_are_refused,
        test_mixed.test_an_answer_without_a_length_is_complete_with_the_end_of_its_connection,
        "answers until it closes",
        9,
    ),
]


@pytest.mark.parametrize("defect, test, arguments", DEFECTS)
def test_a_planted_defect_is_found(
    defect: Plant, test: Callable[..., None], arguments: tuple[object, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_is_found(defect, test, arguments, monkeypatch)
