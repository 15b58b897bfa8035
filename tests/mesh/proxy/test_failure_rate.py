"""The failure rate of a backend."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.failure_rate import HALVING_US, FailureRate

S = 1_000_000


def test_it_grows_with_failures_and_fades_without_outcomes() -> None:
    rate = FailureRate()
    for _ in range(10):
        rate.record(False, 60 * S)
    assert rate.current(60 * S) > 0.7 > 0.4 > rate.current(63 * S) > 0.2


def test_it_halves_in_its_time() -> None:
    rate = FailureRate()
    rate.record(False, S)
    assert rate.current(S + HALVING_US) == pytest.approx(rate.current(S) / 2)


def test_it_falls_with_successes() -> None:
    rate = FailureRate()
    rate.record(False, S)
    before = rate.current(S)
    rate.record(True, S)
    assert 0 < rate.current(S) < before
