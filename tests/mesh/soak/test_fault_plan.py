"""Plans of faults, the workloads and what a report says, without processes."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from lilacsill.mesh.soak.__main__ import describe
from lilacsill.mesh.soak.fault_plan import (
    FIRST_AT_US,
    MAX_STEP_US,
    SHARED_SERIES,
    ClosingFault,
    Fault,
    FaultPlan,
    draw_plan,
)
from lilacsill.mesh.soak.soak_run import SoakReport, SoakSettings
from lilacsill.mesh.soak.tenant_faults import TENANT_FAULTS
from lilacsill.mesh.soak.violations import Rule, Violation
from lilacsill.mesh.soak.workload import HABITS, SHARED_WORK, WORKLOADS, Habit, Workload, choose_habit, response_body

DURATION_US = 30_000_000
SHARED_ONLY = {Fault.KILL_ALL_CORES, Fault.KILL_OWNER, Fault.FREEZE_OWNER, *TENANT_FAULTS}


def plan(seed: int) -> FaultPlan:
    return draw_plan(Random(seed), DURATION_US)


def test_a_seed_gives_the_same_plan_and_another_seed_another_one() -> None:
    assert plan(7) == plan(7) != plan(8)


def test_faults_come_in_order_within_the_soak() -> None:
    for seed in range(50):
        times = [event.at for event in plan(seed).events]
        assert times == sorted(times) and times[0] >= FIRST_AT_US and times[-1] < DURATION_US


def test_all_faults_come_up_and_overlap() -> None:
    plans = [plan(seed) for seed in range(50)]
    assert {event.fault for played in plans for event in played.events} == set(Fault) - SHARED_ONLY
    assert {played.closing for played in plans} == set(ClosingFault)
    leaving = [[event.at for event in played.events if event.fault is Fault.RESTART_PROXY] for played in plans]
    gaps_us = [later - earlier for times in leaving for earlier, later in itertools.pairwise(times)]
    assert min(gaps_us) < MAX_STEP_US < max(gaps_us)


def test_all_faults_come_up_in_shared_deployments() -> None:
    plans = [draw_plan(Random(seed), DURATION_US, SHARED_SERIES) for seed in range(50)]
    assert {event.fault for played in plans for event in played.events} == set(Fault)


def test_all_habits_come_up() -> None:
    assert {choose_habit(number) for number in range(len(HABITS))} == set(Habit)


@pytest.mark.parametrize("workload", [*WORKLOADS, SHARED_WORK], ids=lambda workload: workload.name)
def test_work_fits_the_patience_of_clients(workload: Workload) -> None:
    rng = Random(1)
    for route in workload.routes:
        assert all(0 < route.durations.draw_us(rng) < route.patience_ms * 1000 for _ in range(200))


def test_no_two_requests_have_the_same_body() -> None:
    assert len(response_body("a", 10_000)) == 10_000
    assert response_body("a", 100) != response_body("b", 100)


def test_a_report_names_seed_rules_and_log_lines() -> None:
    violation = Violation(Rule.TWICE, 3_500_000, "7-1 write", "7-1")
    report = SoakReport(SoakSettings(7), "mixed work", "kill all", 10, 8, 1, 2, [violation], 1_000_000, ["7-1 failed"])
    lines = describe(report).splitlines()
    assert lines[0].startswith("seed 7: mixed work, kill all; 10 requests, 8 served") and "1 violations" in lines[0]
    assert lines[1].startswith("  2.50 s TWICE") and "7-1 failed" in lines[2]
