"""What a proxy learns of a route from its requests."""

from __future__ import annotations

from lilacsill.mesh.proxy.route_statistics import MIN_SAMPLES, RouteStatistics


def test_the_usual_time_is_not_known_before_enough_samples() -> None:
    statistics = RouteStatistics()
    for _ in range(MIN_SAMPLES - 1):
        statistics.record_duration("reads", 100)
    assert statistics.expected_ms("reads") is None


def test_the_usual_time_is_the_mean_of_the_first_samples() -> None:
    statistics = RouteStatistics()
    for number in range(MIN_SAMPLES):
        statistics.record_duration("reads", 100 if number % 2 else 50)
    assert statistics.expected_ms("reads") == 75 and statistics.expected_ms("writes") is None


def test_a_client_with_less_than_the_usual_patience_has_spent_the_difference() -> None:
    statistics = RouteStatistics()
    for _ in range(20):
        statistics.time_spent_us("reads", 1_000_000)
    assert statistics.time_spent_us("reads", 700_000) == 300_000
