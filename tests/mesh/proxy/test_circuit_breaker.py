"""The circuit breaker before a backend that has fallen silent."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.circuit_breaker import (
    MAX_BACKOFF_US,
    MIN_BACKOFF_US,
    TRIAL_TIMEOUT_US,
    WRITE_TRIAL_DELAY_US,
    CircuitBreaker,
)

MS, S = 1_000, 1_000_000


@pytest.mark.parametrize(
    ("in_flight", "now", "is_silent"),
    [
        pytest.param([(900 * MS, 100 * MS)], 2 * S, False, id="one alone may be a long one"),
        pytest.param([(900 * MS, 100 * MS)] * 2, S + 300 * MS, False, id="others have been answered"),
        pytest.param([(900 * MS, 300 * MS)] * 2, 2 * S, False, id="both are usual"),
        pytest.param([(900 * MS, 100 * MS), (800 * MS, 100 * MS)], 2 * S, True, id="both are overdue"),
    ],
)
def test_a_backend_is_silent_when_all_that_is_in_flight_is_overdue(
    in_flight: list[tuple[int, int]], now: int, is_silent: bool
) -> None:
    breaker = CircuitBreaker()
    breaker.record_response(S)
    assert breaker.is_silent(in_flight, now) is is_silent


def test_an_open_breaker_rejects_all_until_the_backoff_is_over() -> None:
    breaker = CircuitBreaker()
    breaker.record_failure(2 * S)
    assert not breaker.is_closed
    assert breaker.rejects(True, 2 * S) and breaker.rejects(True, 2 * S + MIN_BACKOFF_US - 1)


def test_one_read_at_a_time_is_the_trial() -> None:
    breaker = CircuitBreaker()
    breaker.record_failure(2 * S)
    trial_at = 2 * S + MIN_BACKOFF_US
    assert breaker.rejects(False, trial_at) and not breaker.rejects(True, trial_at)
    assert breaker.rejects(True, trial_at + 1)
    assert not breaker.rejects(True, trial_at + TRIAL_TIMEOUT_US)  # the first one does not delay the next for ever


def test_the_backoff_doubles_with_each_failure_up_to_its_limit() -> None:
    breaker = CircuitBreaker()
    for number in range(6):
        now = number * 10 * S
        backoff_us = min(2**number * MIN_BACKOFF_US, MAX_BACKOFF_US)
        breaker.record_failure(now)
        assert breaker.rejects(True, now + backoff_us - 1) and not breaker.rejects(True, now + backoff_us)


def test_a_response_closes_the_breaker() -> None:
    breaker = CircuitBreaker()
    breaker.record_failure(3 * S)
    breaker.record_response(4 * S)
    assert breaker.is_closed and not breaker.rejects(False, 4 * S)


def test_a_write_is_the_trial_where_no_read_comes() -> None:
    breaker = CircuitBreaker()
    breaker.record_failure(5 * S)
    write_at = 5 * S + MIN_BACKOFF_US + WRITE_TRIAL_DELAY_US
    assert breaker.rejects(False, write_at - 1) and not breaker.rejects(False, write_at)
