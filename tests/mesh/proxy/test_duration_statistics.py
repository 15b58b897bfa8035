"""Durations at one backend: what is expected of a request, and how slow the backend is."""

from __future__ import annotations

from lilacsill.mesh.proxy.duration_statistics import DEFAULT_DURATION_MS, DurationStatistics


def test_before_the_first_response_the_time_in_the_fleet_is_expected() -> None:
    durations = DurationStatistics()
    assert durations.expected_us("route", 40) == 40_000
    assert durations.expected_us("route") == 1000 * DEFAULT_DURATION_MS


def test_the_own_time_of_a_route_counts_before_that_of_the_fleet() -> None:
    durations = DurationStatistics()
    durations.record("route", 70.0, 50)
    assert durations.expected_us("route", 50) == 70_000


def test_a_request_is_short_beside_the_mean() -> None:
    durations = DurationStatistics()
    assert not durations.is_short("call", 1)  # there is no mean yet
    durations.mean_ms = 100.0
    assert durations.is_short("call", 15) and not durations.is_short("long", 150)


def test_the_slowdown_is_measured_within_each_route() -> None:
    durations = DurationStatistics()
    for _ in range(60):
        durations.record("quick", 70.0, 50)
        durations.record("slow", 700.0, 500)
    assert 1.3 < durations.slowdown < 1.5


def test_the_slowdown_is_reported_only_when_it_was_measured() -> None:
    durations = DurationStatistics()
    durations.record("route", 70.0, None)
    assert durations.reported_slowdown == 0.0
    durations.record("route", 70.0, 50)
    assert durations.reported_slowdown > 1.0
