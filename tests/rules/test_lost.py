"""LOST at the end of a process: what it breaks off is broken off in the last sixth of the grace period."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy import graceful_shutdown
from lilacsill.mesh.proxy.graceful_shutdown import kill_margin_us
from lilacsill.mesh.proxy.shutdown_sequence import READINESS_PROPAGATION_US

S = 1_000_000
LAST_TO_BE_EXCUSED_US = 3 * S  # a request that was sent later is not excused, however long its backend is at work


@pytest.mark.parametrize("grace_s", [1, 2, 3, 6, 10, 30, 120])
def test_the_break_off_comes_in_the_last_sixth_of_the_grace_period(grace_s: int) -> None:
    grace_us = grace_s * S
    abort_at = grace_us - kill_margin_us(grace_us)
    assert grace_us * 5 / 6 < abort_at < grace_us
    assert kill_margin_us(grace_us) <= graceful_shutdown.MAX_KILL_MARGIN_US


def test_whatever_comes_is_taken_only_while_it_is_excused() -> None:
    assert READINESS_PROPAGATION_US <= LAST_TO_BE_EXCUSED_US
