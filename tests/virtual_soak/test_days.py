"""Shared deployments in virtual time: no day breaks a rule, as backends and clients see it, and planted defects do."""

from __future__ import annotations

import pytest

from lilacsill.mesh.virtual_soak.__main__ import DayReport, play

from .defects import DEFECTS, Plant

ORDINARY_DAYS = 4
SWEPT_DAYS, DAYS_OF_A_TEST = 96, 4
SEARCHED_DAYS = 12  # in which a planted defect must show
MIN_SERVED, MIN_REPEATED = 100, 10  # a day with less was not judged


def violations(report: DayReport) -> list[str]:
    return [f"seed {report.seed}: {violation}" for violation in report.violations]


@pytest.mark.parametrize("seed", range(ORDINARY_DAYS))
def test_a_day_of_a_shared_deployment_breaks_no_rule(seed: int) -> None:
    report = play(seed)
    assert violations(report) == []
    assert report.served > MIN_SERVED and report.repeated > MIN_REPEATED


@pytest.mark.sweep
@pytest.mark.parametrize("first", range(ORDINARY_DAYS, ORDINARY_DAYS + SWEPT_DAYS, DAYS_OF_A_TEST))
def test_days_of_a_shared_deployment_break_no_rule(first: int) -> None:
    found = [violation for seed in range(first, first + DAYS_OF_A_TEST) for violation in violations(play(seed))]
    assert found == []


@pytest.mark.sweep
@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.__name__)
def test_a_planted_defect_breaks_a_rule_on_some_day(defect: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    defect(monkeypatch)
    assert any(play(seed).violations for seed in range(SEARCHED_DAYS)), f"not found in {SEARCHED_DAYS} days"
