"""Which faults a soak brings about, and when: drawn by seed, in series that overlap. No I/O."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

US_PER_S = 1_000_000


class Fault(StrEnum):
    """What may happen to a machine. The number of the event picks the machine."""

    RESTART_PROXY = "restart proxy"  # SIGTERM, and a start once it has ended
    TERMINATE_TWICE = "terminate proxy twice"  # the same with a second SIGTERM and a SIGHUP in between
    RELOAD = "reload"  # SIGHUP to all processes of a machine
    KILL_CORE = "kill core machine"
    RESTART_CORE = "restart core machine"
    KILL_PROXY = "kill proxy"
    RESTART_ALL_PROXIES = "restart all proxies"  # SIGTERM to all at once
    FREEZE_PROXY = "freeze proxy"
    FREEZE_CORE = "freeze core machine"
    THROTTLE_PROXY = "throttle proxy"  # a processor quota: it runs for a part of each tenth of a second
    SLOW_BACKEND = "slow backend"
    REPLACE_BACKEND = "replace backend"
    CHANGE = "change"  # of the configuration
    RACING_CHANGES = "racing changes"
    KILL_ALL_CORES = "kill all core machines"  # their disks stay
    KILL_OWNER = "kill the proxy of an operation in flight"
    FREEZE_OWNER = "freeze the proxy of an operation in flight"
    HOT_TENANT = "hot tenant"  # a tenant sends many times its rate
    REVOKE_KEY = "revoke key"
    ADD_KEY = "add key"
    LOWER_LIMIT = "lower limit"
    RAISE_LIMIT = "raise limit"


class ClosingFault(StrEnum):
    """What ends the day: everything acknowledged must be there afterwards."""

    KILL_ALL = "kill all"
    KILL_ALL_WIPE_ONE = "kill all, wipe one core disk"


class FaultEvent(msgspec.Struct, frozen=True):
    """One fault at a time of the soak, in microseconds from its start."""

    at: int
    fault: Fault
    number: int


class FaultPlan(msgspec.Struct, frozen=True):
    """All faults of one soak."""

    events: tuple[FaultEvent, ...]
    closing: ClosingFault


FIRST_AT_US = 2 * US_PER_S
MEAN_GAP_US = 1_200_000  # between two series
Series = tuple[tuple[tuple[Fault, ...], int], ...]
SERIES: Series = (  # faults that come one shortly after the other; the weights say how often
    ((Fault.RESTART_PROXY,), 4),
    ((Fault.RESTART_PROXY, Fault.RESTART_PROXY, Fault.RESTART_PROXY), 3),
    ((Fault.RESTART_PROXY, Fault.SLOW_BACKEND), 3),
    ((Fault.TERMINATE_TWICE,), 2),
    ((Fault.RELOAD, Fault.CHANGE, Fault.RELOAD), 3),
    ((Fault.KILL_CORE, Fault.CHANGE, Fault.RACING_CHANGES), 2),
    ((Fault.RESTART_CORE, Fault.CHANGE), 2),
    ((Fault.CHANGE, Fault.RACING_CHANGES), 4),
    ((Fault.SLOW_BACKEND,), 2),
    ((Fault.REPLACE_BACKEND, Fault.RESTART_PROXY), 1),
    ((Fault.KILL_PROXY,), 1),
    ((Fault.RESTART_ALL_PROXIES,), 1),
    ((Fault.FREEZE_PROXY, Fault.RESTART_PROXY), 1),
    ((Fault.FREEZE_CORE, Fault.RACING_CHANGES), 1),
    ((Fault.THROTTLE_PROXY, Fault.RESTART_PROXY), 2),
)
SHARED_SERIES: Series = (  # of shared deployments: the same faults, and those of tenants, keys, quotas and operations
    *SERIES,
    ((Fault.KILL_CORE, Fault.KILL_PROXY), 3),
    ((Fault.KILL_OWNER, Fault.KILL_OWNER), 4),
    ((Fault.KILL_OWNER, Fault.KILL_CORE), 2),
    ((Fault.FREEZE_OWNER,), 2),
    ((Fault.FREEZE_OWNER, Fault.KILL_OWNER), 1),
    ((Fault.KILL_ALL_CORES,), 2),
    ((Fault.HOT_TENANT, Fault.KILL_CORE), 3),
    ((Fault.HOT_TENANT, Fault.RESTART_CORE), 2),
    ((Fault.HOT_TENANT, Fault.FREEZE_CORE), 2),
    ((Fault.HOT_TENANT, Fault.LOWER_LIMIT), 2),
    ((Fault.RAISE_LIMIT, Fault.KILL_CORE), 1),
    ((Fault.REVOKE_KEY, Fault.ADD_KEY), 4),
    ((Fault.REVOKE_KEY, Fault.FREEZE_PROXY), 1),
    ((Fault.LOWER_LIMIT,), 1),
)
NUMBER_BITS = 32  # of an event
MAX_STEP_US = 1_300_000  # between two faults of a series


def draw_plan(rng: Random, duration_us: int, series: Series = SERIES) -> FaultPlan:
    """Return a plan whose faults lie between `FIRST_AT_US` and `duration_us`."""
    events: list[FaultEvent] = []
    at = FIRST_AT_US
    while at < duration_us:
        drawn = rng.choices([faults for faults, _ in series], [weight for _, weight in series])[0]
        fault_at = at
        for fault in drawn:
            events.append(FaultEvent(fault_at, fault, rng.getrandbits(NUMBER_BITS)))
            fault_at += int(rng.uniform(0, MAX_STEP_US))
        at += int(rng.expovariate(1 / MEAN_GAP_US))
    events = [event for event in events if event.at < duration_us]
    events.sort(key=lambda event: event.at)
    return FaultPlan(tuple(events), rng.choice(list(ClosingFault)))
