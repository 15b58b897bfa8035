"""Short soaks of real processes by seed; `.ci/run` plays them by themselves (`pytest -m soak`)."""

from __future__ import annotations

import pytest

from lilacsill.mesh.soak.__main__ import describe, play
from lilacsill.mesh.soak.soak_run import SoakSettings

pytestmark = [pytest.mark.soak, pytest.mark.xdist_group("mesh on loopback")]

SECONDS = 20.0
QUOTA_EXCEEDED = 429
MIN_REPEATED = 20  # operations: a soak with fewer repeats has not judged them
MIN_SERVED_SHARE = 0.5  # of the requests: a mesh that serves less was not judged


@pytest.mark.parametrize("seed", [8, 12])  # short deadlines and a kill of all; mixed work and the loss of a disk
def test_a_seeded_soak_breaks_no_rule(seed: int) -> None:
    report = play(SoakSettings(seed, SECONDS))
    assert not report.violations, describe(report)
    assert report.served > MIN_SERVED_SHARE * report.requests and report.changes_acknowledged > 1, describe(report)


@pytest.mark.parametrize("seed", [5])  # kills of core machines one after the other, hot tenants
def test_a_seeded_soak_of_a_shared_deployment_breaks_no_rule(seed: int) -> None:
    report = play(SoakSettings(seed, SECONDS, shared=True))
    assert not report.violations, describe(report)
    owed = report.requests - report.statuses.get(QUOTA_EXCEEDED, 0)  # a hot tenant sends mostly beyond its limit
    assert report.served > MIN_SERVED_SHARE * owed and report.changes_acknowledged > 1, describe(report)
    assert report.operations_repeated > MIN_REPEATED, describe(report)


# A keyed write with a long body got no response by its deadline and half a second more.
@pytest.mark.parametrize("seed", [103])
def test_a_seeded_soak_of_a_larger_shared_deployment_breaks_no_rule(seed: int) -> None:
    report = play(SoakSettings(seed, SECONDS, core_machines=5, proxies=16, clients=64, shared=True))
    assert not report.violations, describe(report)
