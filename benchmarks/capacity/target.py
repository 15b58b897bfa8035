"""The size that the mesh is planned for, and what control may cost there: the one place of these figures."""

from __future__ import annotations

import msgspec


class Target(msgspec.Struct, frozen=True):
    """The fleet in two years. The names are those of the first table of `docs/CAPACITY.md`."""

    backends: int = 4_500  # each with a proxy beside it
    services: int = 150
    calls_per_s: int = 470_000
    call_depth: int = 13
    added_p99_ms: float = 0.69  # by the mesh to a call
    regions: int = 6
    zones: int = 15
    changes_per_day: int = 6_000
    in_force_s: float = 3.0  # everywhere, from the acknowledgement of a change
    agent_cpu_percent: float = 1.1  # of one core, for control
    agent_memory_mb: int = 64  # for control
    agent_kb_per_s: float = 6.0  # for control, both directions
    control_machines: int = 21
    failures_per_day: int = 14
    restarts_per_day: int = 1_600


TARGET = Target()
