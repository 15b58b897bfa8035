"""Proxies are record_notification of changes soon, and in a burst at a pace that a registry can bear."""

from __future__ import annotations

from lilacsill.mesh.registry.pacing import BATCHING_DELAY_US, MAX_PAUSE_US, PAUSE_PER_PROXY_US, NotificationPacer

S = 1_000_000
TARGET_PROXIES = 430  # of one registry, where 4,500 proxies poll two of 21 each


def count_notifications(proxies: int, changes_per_s: int, seconds: int) -> int:
    """Play a burst of changes, each of which concerns all proxies; return how often these are record_notification."""
    pacer, count = NotificationPacer(), 0
    notify_at: int | None = None
    for now in range(0, seconds * S, S // changes_per_s):
        if notify_at is not None and notify_at <= now:
            pacer.record_notification(proxies, notify_at)
            count, notify_at = count + 1, None
        if notify_at is None:
            notify_at = now + pacer.delay_us(now)
    return count


def test_a_change_after_a_quiet_time_goes_out_at_once() -> None:
    pacer = NotificationPacer()
    pacer.record_notification(TARGET_PROXIES, 0)
    assert pacer.delay_us(1 * S) == BATCHING_DELAY_US


def test_a_change_right_after_a_notification_waits_for_the_pause_to_end() -> None:
    pacer = NotificationPacer()
    pacer.record_notification(TARGET_PROXIES, 0)
    assert pacer.delay_us(0) == TARGET_PROXIES * PAUSE_PER_PROXY_US


def test_a_small_fleet_is_notified_of_every_change() -> None:
    pacer = NotificationPacer()
    pacer.record_notification(BATCHING_DELAY_US // PAUSE_PER_PROXY_US, 0)
    assert pacer.delay_us(0) == BATCHING_DELAY_US


def test_a_burst_causes_a_few_notifications_a_second() -> None:
    count = count_notifications(TARGET_PROXIES, 50, 10)
    assert 30 <= count <= 1 + 10 * S / (TARGET_PROXIES * PAUSE_PER_PROXY_US)


def test_no_proxy_waits_longer_than_the_longest_pause_however_many_there_are() -> None:
    assert count_notifications(100_000, 50, 10) >= 10 * S / MAX_PAUSE_US - 2
