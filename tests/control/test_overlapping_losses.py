"""Losses of power, restarts in order and cuts that overlap at will, among them as many lost disks as may be lost.

All machines are back in the end. Then everything that was acknowledged is read back, and calls are taken.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest

from lilacsill.mesh.simulation.schedules import drawn_overlaps

from .defects_point_3 import (
    a_view_forgets_the_ones_before,
    a_view_gives_votes_away,
    nobody_rebuilds_the_chain,
    short_chains_are_remembered,
    the_only_disk_acknowledges,
)

DAYS = range(400)
AT_ONCE = 10  # days a test; the sweep spreads its tests over the cores
HUNTED = range(1_000, 1_600)  # seeds in which a planted defect must show


def broken(seeds: Iterable[int]) -> list[str]:
    """What the days of these seeds break."""
    return [f"seed {seed}: {wrong}" for seed in seeds if (wrong := drawn_overlaps(seed).play())]


def test_some_losses_that_overlap_lose_nothing() -> None:
    assert broken(range(len(DAYS), len(DAYS) + AT_ONCE)) == []


@pytest.mark.sweep
@pytest.mark.parametrize("first", DAYS[::AT_ONCE])
def test_losses_that_overlap_lose_nothing(first: int) -> None:
    assert broken(range(first, first + AT_ONCE)) == []


@pytest.mark.sweep
@pytest.mark.parametrize(
    "plant",
    [
        a_view_forgets_the_ones_before,
        a_view_gives_votes_away,
        nobody_rebuilds_the_chain,
        short_chains_are_remembered,
        the_only_disk_acknowledges,
    ],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_defect_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert any(drawn_overlaps(seed).play() for seed in HUNTED)
