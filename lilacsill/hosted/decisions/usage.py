"""The usage account: what each tenant requested and got, by minute, with a bounded number of minutes."""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from .refusals import RefusalCause

RETAINED_MINUTES = 60


class MinuteUsage(msgspec.Struct):
    """The requests of one tenant that ended in one minute."""

    minute: int = msgspec.field(name="at")
    """Minutes of Unix time."""
    requests: int = 0
    served: int = 0
    within_target: int = msgspec.field(default=0, name="in_aim")
    """Requests that were served within the latency target of their class."""
    failed: int = 0
    refused: dict[str, int] = {}
    """Refused requests by the text of their `RefusalCause`."""
    bytes_in: int = 0
    bytes_out: int = 0
    cpu_us: float = 0.0

    def count_refusal(self, cause: RefusalCause) -> None:
        """Count one refused request."""
        self.refused[cause.value] = self.refused.get(cause.value, 0) + 1

    def add(self, other: MinuteUsage) -> None:
        """Add the counters of another row."""
        self.requests += other.requests
        self.served += other.served
        self.within_target += other.within_target
        self.failed += other.failed
        self.bytes_in += other.bytes_in
        self.bytes_out += other.bytes_out
        self.cpu_us += other.cpu_us
        for cause, count in other.refused.items():
            self.refused[cause] = self.refused.get(cause, 0) + count


class UsageAccount:
    """The account of one worker, or of all workers together.

    Its keys are uids of tenants: a new tenant with the name of a removed one starts at 0.
    """

    def __init__(self, retained_minutes: int = RETAINED_MINUTES) -> None:
        self._retained_minutes = retained_minutes
        self._tenants: dict[int, deque[MinuteUsage]] = {}

    def row(self, tenant: int, minute: int) -> MinuteUsage:
        """Get the row to add to. After a step back of the clock that is the latest row."""
        rows = self._rows_of(tenant)
        if not rows or rows[-1].minute < minute:
            rows.append(MinuteUsage(minute))
        return rows[-1]

    def merge(self, tenant: int, usage: MinuteUsage) -> None:
        """Add a row that a worker reports. A late one is added to its minute, or to the oldest that is retained."""
        rows = self._rows_of(tenant)
        for row in reversed(rows):
            if row.minute == usage.minute:
                row.add(usage)
                return
        if not rows or rows[-1].minute < usage.minute:
            rows.append(MinuteUsage(usage.minute))
            rows[-1].add(usage)
        else:
            rows[0].add(usage)

    def _rows_of(self, tenant: int) -> deque[MinuteUsage]:
        return self._tenants.setdefault(tenant, deque(maxlen=self._retained_minutes))

    def take_all(self) -> dict[int, list[MinuteUsage]]:
        """Return all rows by tenant, and clear the account."""
        taken = {tenant: list(rows) for tenant, rows in self._tenants.items() if rows}
        self._tenants.clear()
        return taken

    def rows(self, tenant: int) -> list[MinuteUsage]:
        """List a tenant's rows, oldest first."""
        return list(self._tenants.get(tenant, ()))

    def total(self, tenant: int) -> MinuteUsage:
        """Sum a tenant's rows up."""
        total = MinuteUsage(0)
        for row in self._tenants.get(tenant, ()):
            total.add(row)
        return total

    def as_json(self, tenant: int) -> list[dict[str, Any]]:
        """List a tenant's rows with the names of the administration API."""
        return [msgspec.to_builtins(row) for row in self.rows(tenant)]
