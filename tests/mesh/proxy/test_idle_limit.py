"""How long a connection may have been idle before a request goes out on it."""

from __future__ import annotations

from lilacsill.mesh.proxy.idle_limit import LIMIT_LIFETIME_US, MAX_IDLE_FOR_WRITE_US, MAX_RESET_DELAY_US, IdleLimit

MS, S = 1_000, 1_000_000
KEEP_ALIVE_US = 4 * S


def test_a_write_needs_a_connection_that_was_just_in_use() -> None:
    limit = IdleLimit()
    assert limit.limit_us(True, KEEP_ALIVE_US, S) == KEEP_ALIVE_US
    assert limit.limit_us(False, KEEP_ALIVE_US, S) == MAX_IDLE_FOR_WRITE_US


def test_a_forgotten_connection_halves_the_limit_for_a_time() -> None:
    limit = IdleLimit()
    limit.record_reset(200 * MS, 5 * MS, S)
    assert limit.limit_us(True, KEEP_ALIVE_US, S) == 100 * MS and limit.resets == 1
    assert limit.limit_us(True, KEEP_ALIVE_US, S + LIMIT_LIFETIME_US) == KEEP_ALIVE_US


def test_the_shortest_finding_counts() -> None:
    limit = IdleLimit()
    limit.record_reset(200 * MS, 5 * MS, S)
    limit.record_reset(900 * MS, 5 * MS, S)
    assert limit.limit_us(True, KEEP_ALIVE_US, S) == 100 * MS


def test_a_reset_of_a_new_connection_or_a_late_one_says_nothing() -> None:
    limit = IdleLimit()
    limit.record_reset(0, 5 * MS, S)
    limit.record_reset(200 * MS, MAX_RESET_DELAY_US + 1, S)
    assert limit.limit_us(True, KEEP_ALIVE_US, S) == KEEP_ALIVE_US and limit.resets == 0
