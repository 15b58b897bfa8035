"""Finds what breaks the rules that shared deployments add: tenants, keys, quotas and operations. No I/O."""

from __future__ import annotations

from .connectivity import Connectivity
from .observations import Record
from .operation_judge import OperationJudge
from .quota_judge import QuotaJudge
from .tenant_judge import TenantJudge
from .tenant_versions import TenantVersions
from .timing_bounds import TimingBounds
from .violations import Violation
from .workload import Workload


class SharedJudge:
    """Judges one record."""

    def __init__(self, record: Record, workload: Workload, bounds: TimingBounds) -> None:
        connectivity = Connectivity(record, bounds)
        versions = TenantVersions(record, connectivity, bounds)
        self._operations = OperationJudge(record, bounds)
        self._tenants = TenantJudge(record, workload, versions, connectivity, self._operations)
        self._quotas = QuotaJudge(record, versions, connectivity, bounds)

    def violations(self) -> list[Violation]:
        """Return all broken rules in the order of time."""
        found = [*self._operations.violations(), *self._tenants.violations(), *self._quotas.violations()]
        return sorted(found, key=lambda violation: violation.at)
