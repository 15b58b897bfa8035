"""Changes are told soon, and in a storm at a pace that a registry can bear."""

from __future__ import annotations

from lilacsill.mesh.registry.pacing import BATCHING_DELAY_US, MAX_PAUSE_US, PAUSE_PER_PROXY_US, NotificationPacer

TARGET_PROXIES = 430  # that hang on one of 21 registries, of 4,500 on two each


def count_notifications(proxies: int, changes_per_s: int, seconds: int) -> int:
    """So many changes a second, each of which all proxies lack."""
    pacer, count, due = NotificationPacer(), 0, -1
    gap_us = 1_000_000 // changes_per_s
    for now in range(0, seconds * 1_000_000, gap_us):
        if 0 <= due <= now:
            pacer.notified(proxies, due)
            count, due = count + 1, -1
        if due < 0:
            due = now + pacer.delay_us(now)
    return count


def test_a_change_after_a_quiet_time_is_told_at_once() -> None:
    pacer = NotificationPacer()
    pacer.notified(TARGET_PROXIES, 0)
    assert pacer.delay_us(1_000_000) == BATCHING_DELAY_US
    assert pacer.delay_us(0) == TARGET_PROXIES * PAUSE_PER_PROXY_US


def test_a_small_fleet_is_told_of_every_change() -> None:
    pacer = NotificationPacer()
    pacer.notified(BATCHING_DELAY_US // PAUSE_PER_PROXY_US, 0)
    assert pacer.delay_us(0) == BATCHING_DELAY_US


def test_a_storm_is_told_a_few_times_a_second_and_never_later_than_half_a_second() -> None:
    assert count_notifications(TARGET_PROXIES, 50, 10) <= 1 + 10 * 1_000_000 / (TARGET_PROXIES * PAUSE_PER_PROXY_US)
    assert count_notifications(TARGET_PROXIES, 50, 10) >= 30
    assert count_notifications(100_000, 50, 10) >= 10 * 1_000_000 / MAX_PAUSE_US - 2
